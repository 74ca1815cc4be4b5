"""Rollouts of model versions reach all engines, one engine at a time."""

import asyncio
import itertools
import signal

import harness
import load
import observe
import pytest

pytestmark = [
    pytest.mark.processes,
    pytest.mark.xdist_group("processes"),
]

ACCOUNTS = ["press-line-1", "press-line-2"]
ENGINES = 4
ROLLOUT_TIMEOUT_S = 90.0
SETTLE_S = 4.0
WEIGHT_BYTES = 4_000_000
WEIGHT_BYTES_PER_S = 4_000_000
# Minimum duration of a load; it takes longer beside a concurrent load.
WEIGHT_LOAD_MIN_S = WEIGHT_BYTES / WEIGHT_BYTES_PER_S
PLATFORM = {
    "weight_bytes": WEIGHT_BYTES,
    "weight_bytes_per_s": WEIGHT_BYTES_PER_S,
}


def _run(tmp_path, check, **options):
    async def main():
        options.setdefault("engines", ENGINES)
        options.setdefault("platform", PLATFORM)
        async with harness.deployment(tmp_path, **options) as deployment:
            await check(deployment)

    asyncio.run(main())


def _publish(deployment: harness.Deployment, version: str):
    deployment.document["models"][0]["version"] = version
    deployment.publish()


async def _engine_states(deployment: harness.Deployment):
    states = {}
    for name in deployment.vm_names("engine"):
        address = deployment.address(name)
        states[name] = await deployment.get_json(address, "/standin/state")
    return states


async def _has_loaded(deployment: harness.Deployment, version: str) -> bool:
    return all(
        (state["version"], state["state"]) == (version, "ready")
        for state in (await _engine_states(deployment)).values()
    )


async def _wait_until_loaded(deployment: harness.Deployment, version: str):
    await harness.wait_until(
        lambda: _has_loaded(deployment, version),
        f"{version} on all engines",
        ROLLOUT_TIMEOUT_S,
    )


async def _wait_for_loading_engine(deployment: harness.Deployment) -> str:
    loading: list[str] = []

    async def is_loading() -> bool:
        states = await _engine_states(deployment)
        loading[:] = [
            name
            for name, state in states.items()
            if state["state"] == "loading"
        ]
        return bool(loading)

    await harness.wait_until(
        is_loading, "an engine in state loading", ROLLOUT_TIMEOUT_S
    )
    return loading[0]


async def _owner_of(
    deployment: harness.Deployment, engine: str, router: str
) -> str:
    rows = (await deployment.get_admin(router, "/admin/endpoints"))["endpoints"]
    (owner,) = [row["owner"] for row in rows if row["name"] == engine]
    return owner


async def _check_one_at_a_time(deployment: harness.Deployment):
    """Asserts from the engines' records that no two loads overlapped."""
    loads_started = []
    loaded_versions = dict.fromkeys(deployment.vm_names("engine"), "2026-11")
    for order in observe.extract_orders(
        await observe.merged_records(deployment)
    ):
        if loaded_versions[order.engine] != order.version:
            loaded_versions[order.engine] = order.version
            loads_started.append(order)
    for first, second in itertools.pairwise(loads_started):
        if first.engine != second.engine:
            assert second.time_s - first.time_s >= WEIGHT_LOAD_MIN_S, (
                loads_started
            )


async def _check_nothing_aborted(deployment: harness.Deployment):
    for at, engine, kind, *rest in await observe.merged_records(deployment):
        assert kind != "aborted", (at, engine, rest)


def test_new_version_reaches_all_engines_under_load(tmp_path):
    async def check(deployment: harness.Deployment):
        chat_load = load.ChatLoad(
            deployment,
            ACCOUNTS,
            chats=2,
            sends_calls=False,
            request_timeout_s=60.0,
        )
        async with chat_load:
            await chat_load.wait_for_answers(6)
            _publish(deployment, "2026-12")
            await _wait_until_loaded(deployment, "2026-12")
            await chat_load.wait_for_answers(6)
        load.check_answers(chat_load.results)
        await _check_one_at_a_time(deployment)
        await _check_nothing_aborted(deployment)

    _run(tmp_path, check)


def test_owner_killed_in_mid_rollout(tmp_path):
    async def check(deployment: harness.Deployment):
        chat_load = load.ChatLoad(
            deployment,
            ACCOUNTS,
            chats=2,
            sends_calls=False,
            request_timeout_s=60.0,
        )
        async with chat_load:
            await chat_load.wait_for_answers(6)
            _publish(deployment, "2026-12")
            engine = await _wait_for_loading_engine(deployment)
            owner = await _owner_of(deployment, engine, "router-1")
            await deployment.processes[owner].kill()
            await _wait_until_loaded(deployment, "2026-12")
            await chat_load.wait_for_answers(6)
        load.check_answers(chat_load.results)
        await _check_one_at_a_time(deployment)

    _run(tmp_path, check)


def test_two_edits_within_a_second(tmp_path):
    async def check(deployment: harness.Deployment):
        _publish(deployment, "2026-12")
        await asyncio.sleep(0.4)
        _publish(deployment, "2027-01")
        await _wait_until_loaded(deployment, "2027-01")
        await asyncio.sleep(SETTLE_S)
        assert await _has_loaded(deployment, "2027-01")
        await _check_one_at_a_time(deployment)
        _check_fences_never_decrease(
            observe.extract_orders(await observe.merged_records(deployment))
        )

    _run(tmp_path, check)


def _check_fences_never_decrease(orders: list[observe.Order]):
    last_fences: dict[str, tuple[int, ...]] = {}
    for order in orders:
        assert order.fence >= last_fences.get(order.engine, order.fence), orders
        last_fences[order.engine] = order.fence


@pytest.mark.parametrize("fenced", [True, False])
def test_owner_paused_while_the_version_changes(tmp_path, fenced: bool):
    async def check(deployment: harness.Deployment):
        _publish(deployment, "2026-12")
        engine = await _wait_for_loading_engine(deployment)
        owner = await _owner_of(deployment, engine, "router-1")
        deployment.processes[owner].send_signal(signal.SIGSTOP)
        _publish(deployment, "2027-01")
        await _wait_until_loaded(deployment, "2027-01")
        deployment.processes[owner].send_signal(signal.SIGCONT)
        await observe.wait_until_in_force(deployment, 3)
        await asyncio.sleep(SETTLE_S)
        await _wait_until_loaded(deployment, "2027-01")
        orders = observe.extract_orders(
            await observe.merged_records(deployment)
        )
        # For engines without fencing, the freshness check prevents outdated
        # orders.
        _check_fences_never_decrease(orders)

    _run(tmp_path, check, engine={"fenced": fenced})


def test_engine_killed_while_loading(tmp_path):
    async def check(deployment: harness.Deployment):
        _publish(deployment, "2026-12")
        engine = await _wait_for_loading_engine(deployment)
        await deployment.processes[engine].kill()
        await asyncio.sleep(1.0)
        deployment.processes[engine].start()
        await deployment.wait_until_available(
            deployment.address(engine), "/v1/load"
        )
        await _wait_until_loaded(deployment, "2026-12")

    _run(tmp_path, check)
