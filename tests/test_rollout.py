"""Changes of a model reach its engines, a few at a time and all of them."""

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
ROLLOUT_S = 90.0
SETTLED_S = 4.0
# A load takes at least this long, and longer beside another one.
WEIGHT_BYTES = 4_000_000
WEIGHT_BYTES_PER_S = 4_000_000
LOAD_S = WEIGHT_BYTES / WEIGHT_BYTES_PER_S
PLATFORM = {
    "weight_bytes": WEIGHT_BYTES,
    "weight_bytes_per_s": WEIGHT_BYTES_PER_S,
}


def _run(tmp_path, check, **options):
    async def main():
        options.setdefault("engines", ENGINES)
        options.setdefault("platform", PLATFORM)
        async with harness.deployment(tmp_path, **options) as found:
            await check(found)

    asyncio.run(main())


def _publish(found: harness.Deployment, version: str):
    found.document["models"][0]["version"] = version
    found.publish()


async def _states(found: harness.Deployment):
    states = {}
    for name in found.names("engine"):
        address = found.address(name)
        states[name] = await found.ask(address, "/standin/state")
    return states


async def _has_loaded(found: harness.Deployment, version: str) -> bool:
    return all(
        (state["version"], state["state"]) == (version, "ready")
        for state in (await _states(found)).values()
    )


async def _until_loaded(found: harness.Deployment, version: str):
    await harness.until(
        lambda: _has_loaded(found, version), f"{version} everywhere", ROLLOUT_S
    )


async def _until_loading(found: harness.Deployment) -> str:
    loading: list[str] = []

    async def is_loading() -> bool:
        states = await _states(found)
        loading[:] = [
            name for name, item in states.items() if item["state"] == "loading"
        ]
        return bool(loading)

    await harness.until(is_loading, "an engine that loads", ROLLOUT_S)
    return loading[0]


async def _owner(found: harness.Deployment, engine: str, router: str) -> str:
    rows = (await found.admin(router, "/admin/endpoints"))["endpoints"]
    (owner,) = [row["owner"] for row in rows if row["name"] == engine]
    return owner


async def _check_one_at_a_time(found: harness.Deployment):
    """Asserts from the engines' records that no two engines loaded at once."""
    begun = []
    loaded = dict.fromkeys(found.names("engine"), "2026-11")
    for order in observe.orders(await observe.merged_rows(found)):
        if loaded[order.engine] != order.version:
            loaded[order.engine] = order.version
            begun.append(order)
    for first, second in itertools.pairwise(begun):
        if first.engine != second.engine:
            assert second.at - first.at >= LOAD_S, begun


async def _check_nothing_aborted(found: harness.Deployment):
    for at, engine, kind, *rest in await observe.merged_rows(found):
        assert kind != "aborted", (at, engine, rest)


def test_new_version_reaches_all_engines_under_load(tmp_path):
    async def check(found: harness.Deployment):
        runs = load.Load(
            found, ACCOUNTS, chats=2, releases=False, request_timeout_s=60.0
        )
        async with runs:
            await runs.until_answered(6)
            _publish(found, "2026-12")
            await _until_loaded(found, "2026-12")
            await runs.until_answered(6)
        load.check_answers(runs.results)
        await _check_one_at_a_time(found)
        await _check_nothing_aborted(found)

    _run(tmp_path, check)


def test_owner_killed_in_mid_rollout(tmp_path):
    async def check(found: harness.Deployment):
        runs = load.Load(
            found, ACCOUNTS, chats=2, releases=False, request_timeout_s=60.0
        )
        async with runs:
            await runs.until_answered(6)
            _publish(found, "2026-12")
            engine = await _until_loading(found)
            owner = await _owner(found, engine, "router-1")
            await found.processes[owner].kill()
            await _until_loaded(found, "2026-12")
            await runs.until_answered(6)
        load.check_answers(runs.results)
        await _check_one_at_a_time(found)

    _run(tmp_path, check)


def test_two_edits_within_a_second(tmp_path):
    async def check(found: harness.Deployment):
        _publish(found, "2026-12")
        await asyncio.sleep(0.4)
        _publish(found, "2027-01")
        await _until_loaded(found, "2027-01")
        await asyncio.sleep(SETTLED_S)
        assert await _has_loaded(found, "2027-01")
        await _check_one_at_a_time(found)
        _check_fences_grow(observe.orders(await observe.merged_rows(found)))

    _run(tmp_path, check)


def _check_fences_grow(taken: list[observe.Order]):
    last: dict[str, tuple[int, ...]] = {}
    for order in taken:
        assert order.fence >= last.get(order.engine, order.fence), taken
        last[order.engine] = order.fence


@pytest.mark.parametrize("fenced", [True, False])
def test_owner_paused_while_the_version_changes(tmp_path, fenced: bool):
    async def check(found: harness.Deployment):
        _publish(found, "2026-12")
        engine = await _until_loading(found)
        owner = await _owner(found, engine, "router-1")
        found.processes[owner].signal(signal.SIGSTOP)
        _publish(found, "2027-01")
        await _until_loaded(found, "2027-01")
        found.processes[owner].signal(signal.SIGCONT)
        await observe.until_in_force(found, 3)
        await asyncio.sleep(SETTLED_S)
        await _until_loaded(found, "2027-01")
        taken = observe.orders(await observe.merged_rows(found))
        # The freshness check keeps old orders from engines without fences.
        _check_fences_grow(taken)

    _run(tmp_path, check, engine={"fenced": fenced})


def test_engine_that_dies_while_it_loads(tmp_path):
    async def check(found: harness.Deployment):
        _publish(found, "2026-12")
        engine = await _until_loading(found)
        await found.processes[engine].kill()
        await asyncio.sleep(1.0)
        found.processes[engine].start()
        await found.until_answers(found.address(engine), "/v1/load")
        await _until_loaded(found, "2026-12")

    _run(tmp_path, check)
