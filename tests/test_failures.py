"""What must hold while processes die, pause, fall silent and are replaced."""

import asyncio
import contextlib
import json
import signal

import harness
import load
import pytest

from nutmegpost_standins import http

pytestmark = [
    pytest.mark.processes,
    pytest.mark.xdist_group("processes"),
]

ACCOUNTS = ["press-line-1", "press-line-2", "shift-supervisors"]
ENGINES = 3
LEAVING_S = 5.0
CALL_S = 30.0


async def _permit(found: harness.Deployment, router: str) -> str:
    key = found.keys["press-line-1"]
    headers = {"authorization": f"Bearer {key}"}
    target = "/v1/addresses?permits=1"
    answer = await found.ask(found.address(router), target, **headers)
    return answer["permits"][0]


async def _call(
    found: harness.Deployment, router: str, permit: str, timeout: float = CALL_S
) -> str:
    """Calls through one router and returns the outcome that it tells."""
    headers = {
        "authorization": f"Bearer {found.keys['press-line-1']}",
        "idempotency-key": permit,
    }
    target = f"/v1/services/{found.service}/{found.operation}"
    try:
        reply = await http.request(
            found.address(router), "POST", target, headers, b"{}", timeout
        )
    except ConnectionRefusedError:
        return "refused"
    except OSError:
        return "unknown"
    return reply.headers["x-outcome"]


async def _until_executed(found: harness.Deployment, permit: str):
    async def is_executed() -> bool:
        return permit in await found.executions()

    await harness.until(is_executed, "the execution")


async def _until_arrived(found: harness.Deployment, permit: str):
    async def has_arrived() -> bool:
        for name in found.names("service"):
            rows = (await found.records(name))["rows"]
            if any(row[2] == permit for row in rows):
                return True
        return False

    await harness.until(has_arrived, "the arrival")


async def _set_services(found: harness.Deployment, **faults):
    for name in found.names("service"):
        await found.set_faults(name, **faults)


def _run(tmp_path, check, **options):
    async def main():
        options.setdefault("engines", ENGINES)
        async with harness.deployment(tmp_path, **options) as found:
            await check(found)

    asyncio.run(main())


# Calls that may not be repeated


def test_one_permit_at_all_routers_at_once(tmp_path):
    async def check(found: harness.Deployment):
        routers = found.names("router")
        for issuer in routers:
            permit = await _permit(found, issuer)
            outcomes = await asyncio.gather(
                *(_call(found, router, permit) for router in routers * 2)
            )
            assert set(outcomes) == {"answered"}
            assert (await found.executions())[permit] == 1

    _run(tmp_path, check)


def test_issuer_killed_between_dispatch_and_answer(tmp_path):
    async def check(found: harness.Deployment):
        await _set_services(found, hang_after=True)
        permit = await _permit(found, "router-1")
        call = asyncio.create_task(_call(found, "router-2", permit))
        await _until_executed(found, permit)
        await found.processes["router-1"].kill()
        await _set_services(found, hang_after=False)
        assert await call == "unknown"
        assert await _call(found, "router-3", permit) == "unknown"
        found.processes["router-1"].start()
        await found.until_healthy("router-1")
        for router in found.names("router"):
            assert await _call(found, router, permit) == "unknown"
        assert (await found.executions())[permit] == 1

    _run(tmp_path, check)


def test_issuer_frozen_and_waking_late(tmp_path):
    async def check(found: harness.Deployment):
        permit = await _permit(found, "router-1")
        issuer = found.processes["router-1"]
        issuer.signal(signal.SIGSTOP)
        others = ["router-2", "router-3", "router-4"]
        outcomes = await asyncio.gather(
            *(_call(found, router, permit) for router in others)
        )
        assert "answered" not in outcomes
        issuer.signal(signal.SIGCONT)
        await found.until_healthy("router-1")
        # What the issuer's sockets held may be read only now.
        await asyncio.sleep(LEAVING_S)
        executed = (await found.executions()).get(permit, 0)
        assert executed <= (0 if "not-run" in outcomes else 1)
        last = await _call(found, "router-2", permit)
        executed = (await found.executions()).get(permit, 0)
        assert executed <= 1
        assert not ("not-run" in (*outcomes, last) and executed)

    _run(tmp_path, check)


def test_lost_answer_is_unknown_and_not_sent_again(tmp_path):
    async def check(found: harness.Deployment):
        await _set_services(found, drop_after=True)
        permit = await _permit(found, "router-1")
        assert await _call(found, "router-1", permit) == "unknown"
        await _set_services(found, drop_after=False)
        for router in found.names("router"):
            assert await _call(found, router, permit) == "unknown"
        assert (await found.executions())[permit] == 1

    _run(tmp_path, check)


def test_dead_service_is_not_run(tmp_path):
    async def check(found: harness.Deployment):
        for name in found.names("service"):
            await found.processes[name].kill()
        permit = await _permit(found, "router-1")
        assert await _call(found, "router-1", permit) == "not-run"
        for name in found.names("service"):
            found.processes[name].start()
            await found.until_answers(found.address(name), "/v1/load")
        repeats = [
            await _call(found, router, permit)
            for router in found.names("router")
        ]
        executed = (await found.executions()).get(permit, 0)
        assert executed == ("answered" in repeats) <= 1

    _run(tmp_path, check)


def test_issuer_cut_off_from_the_service(tmp_path):
    async def check(found: harness.Deployment):
        names = found.names("service")
        for name in names:
            await found.set_faults(f"relay:{name}", cut=True)
        permit = await _permit(found, "router-1")
        outcomes = [
            await _call(found, router, permit)
            for router in found.names("router")
        ]
        assert "answered" not in outcomes
        for name in names:
            await found.set_faults(f"relay:{name}", cut=False)
        outcomes.append(await _call(found, "router-1", permit))
        executed = (await found.executions()).get(permit, 0)
        assert executed == ("answered" in outcomes)

    names = [f"line-{number}" for number in range(1, 4)]
    _run(tmp_path, check, relayed=names)


def test_service_that_hangs_before_it_runs_the_call(tmp_path):
    async def check(found: harness.Deployment):
        await _set_services(found, hang_before=True)
        permit = await _permit(found, "router-1")
        call = asyncio.create_task(_call(found, "router-2", permit))
        await _until_arrived(found, permit)
        repeat = asyncio.create_task(_call(found, "router-3", permit))
        await found.processes["router-2"].kill()
        assert await call == "unknown"
        await _set_services(found, hang_before=False)
        assert await repeat == "answered"
        assert await _call(found, "router-4", permit) == "answered"
        assert (await found.executions())[permit] == 1

    _run(tmp_path, check)


def test_forged_permits_are_refused(tmp_path):
    async def check(found: harness.Deployment):
        permit = await _permit(found, "router-1")
        place = len(permit) // 2
        other = "A" if permit[place] != "A" else "B"
        forged = permit[:place] + other + permit[place + 1 :]
        for router in found.names("router"):
            assert await _call(found, router, forged) == "not-run"
            assert await _call(found, router, "no-permit") == "not-run"
        assert await found.executions() == {}

    _run(tmp_path, check)


# Streams


async def _long_chat(found: harness.Deployment, program, tokens: int = 300):
    messages = [{"role": "user", "content": "a long answer"}]
    return await program.chat(
        found.model, messages, chat_id="long", tokens=tokens
    )


def _check_whole(result):
    assert (result.outcome, result.mismatch) == ("answered", "")


async def _begun_chat(found: harness.Deployment):
    """Starts a long chat; returns its task, its entry and its engine."""
    program = found.caller("press-line-1", request_timeout_s=60.0)
    answer = await program.addresses(found.model, "long")
    task = asyncio.create_task(_long_chat(found, program))
    engines = []

    async def has_begun() -> bool:
        for name in found.names("engine"):
            state = await found.ask(found.address(name), "/standin/state")
            if state["running"]:
                engines.append(name)
                return True
        return False

    await harness.until(has_begun, "the stream")
    await asyncio.sleep(0.5)
    assert not task.done()
    (entry,) = [
        vm["name"] for vm in found.vm_list["vms"] if vm["address"] == answer[0]
    ]
    return task, entry, engines[0]


def test_entry_killed_in_mid_stream(tmp_path):
    async def check(found: harness.Deployment):
        task, entry, _ = await _begun_chat(found)
        await found.processes[entry].kill()
        result = await task
        _check_whole(result)
        assert result.resumptions
        assert result.router_address != entry

    _run(tmp_path, check)


@pytest.mark.parametrize("position", [0, 1, 2, 3])
def test_any_router_killed_in_mid_stream(tmp_path, position: int):
    async def check(found: harness.Deployment):
        runs = load.Load(
            found,
            ACCOUNTS,
            chats=2,
            tokens=60,
            releases=False,
            request_timeout_s=60.0,
        )
        async with runs:
            await runs.until_answered(6)
            victim = found.names("router")[position]
            await found.processes[victim].kill()
            await runs.until_answered(30)
        load.check_answers(runs.results)

    _run(tmp_path, check)


def test_engine_killed_in_mid_stream(tmp_path):
    async def check(found: harness.Deployment):
        task, _, engine = await _begun_chat(found)
        await found.processes[engine].kill()
        result = await task
        _check_whole(result)
        assert result.served_by

    _run(tmp_path, check)


def test_silent_relay_before_the_engines(tmp_path):
    async def check(found: harness.Deployment):
        task, _, engine = await _begun_chat(found)
        await found.set_faults(f"relay:{engine}", silent=True)
        _check_whole(await task)

    names = [f"runner-{number}" for number in range(1, ENGINES + 1)]
    _run(tmp_path, check, relayed=names)


def test_silent_relay_before_the_routers(tmp_path):
    async def check(found: harness.Deployment):
        task, entry, _ = await _begun_chat(found)
        await found.set_faults(f"relay:{entry}", silent=True)
        result = await task
        _check_whole(result)
        assert result.resumptions

    names = [f"router-{number}" for number in range(1, 5)]
    _run(tmp_path, check, relayed=names)


def test_paused_router_wakes_up_late(tmp_path):
    async def check(found: harness.Deployment):
        runs = load.Load(found, ACCOUNTS, chats=2, request_timeout_s=60.0)
        async with runs:
            await runs.until_answered(6)
            router = found.processes["router-2"]
            router.signal(signal.SIGSTOP)
            await runs.until_answered(20)
            router.signal(signal.SIGCONT)
            await runs.until_answered(20)
        load.check_answers(runs.results)
        assert set((await found.executions()).values()) <= {1}

    _run(tmp_path, check)


# Leaving and stopping


async def _arrivals(found: harness.Deployment, engine: str) -> int:
    rows = (await found.records(engine))["rows"]
    return sum(row[1] in ("arrive", "refused") for row in rows)


def test_leaving_engine_gets_nothing_new(tmp_path):
    async def check(found: harness.Deployment):
        engine = "runner-2"
        runs = load.Load(
            found, ACCOUNTS, releases=False, request_timeout_s=60.0
        )
        async with runs:
            await runs.until_answered(20)
            await found.set_faults(engine, leaving=True)
            await asyncio.sleep(LEAVING_S)
            before = await _arrivals(found, engine)
            await runs.until_answered(40)
            assert await _arrivals(found, engine) == before
        load.check_answers(runs.results)

    _run(tmp_path, check)


def test_engine_leaving_by_the_vm_list(tmp_path):
    async def check(found: harness.Deployment):
        engine = "runner-2"
        runs = load.Load(
            found, ACCOUNTS, releases=False, request_timeout_s=60.0
        )
        async with runs:
            await runs.until_answered(20)
            for vm in found.vm_list["vms"]:
                if vm["name"] == engine:
                    vm["state"] = "leaving"
            found.publish()
            await asyncio.sleep(LEAVING_S)
            before = await _arrivals(found, engine)
            await runs.until_answered(40)
            assert await _arrivals(found, engine) == before
        load.check_answers(runs.results)

    _run(tmp_path, check)


def test_rolling_replacement_of_all_routers(tmp_path):
    async def check(found: harness.Deployment):
        runs = load.Load(found, ACCOUNTS, chats=3, request_timeout_s=60.0)
        async with runs:
            await runs.until_answered(10)
            for name in found.names("router"):
                assert await found.processes[name].stop() == 0
                found.processes[name].start()
                await found.until_healthy(name)
                await runs.until_answered(10)
        load.check_answers(runs.results)
        assert [item for item in runs.results if item.resumptions] == []
        assert {item.outcome for item in runs.calls} == {"answered"}
        executions = await found.executions()
        assert set(executions.values()) == {1}
        assert len(executions) == len(runs.calls)

    _run(tmp_path, check)


def test_permit_outlives_its_issuer(tmp_path):
    async def check(found: harness.Deployment):
        permits = {
            name: await _permit(found, name) for name in found.names("router")
        }
        used = await _permit(found, "router-1")
        assert await _call(found, "router-1", used) == "answered"
        for name in found.names("router"):
            assert await found.processes[name].stop() == 0
            found.processes[name].start()
            await found.until_healthy(name)
        for issuer, permit in permits.items():
            assert await _call(found, issuer, permit) == "answered"
        assert await _call(found, "router-3", used) == "answered"
        assert set((await found.executions()).values()) == {1}

    _run(tmp_path, check)


def test_stop_waits_for_the_stream_in_progress(tmp_path):
    async def check(found: harness.Deployment):
        task, entry, _ = await _begun_chat(found)
        process = found.processes[entry]
        process.signal(signal.SIGTERM)
        result = await task
        _check_whole(result)
        assert result.resumptions == 0
        assert result.router_address in (
            vm["address"] for vm in found.vm_list["vms"] if vm["name"] == entry
        )
        assert await process.ended() == 0

    _run(tmp_path, check)


# The platform


def test_platform_down_for_a_while(tmp_path):
    async def check(found: harness.Deployment):
        runs = load.Load(found, ACCOUNTS, chats=2, request_timeout_s=60.0)
        async with runs:
            await runs.until_answered(6)
            await found.set_faults("platform", down=True)
            await runs.until_answered(20)
            found.document["load_bound"] = 2.0
            found.publish()
            await found.set_faults("platform", down=False)
            for name in found.names("router"):
                await _until_version(found, name, 2)
            await runs.until_answered(6)
        load.check_answers(runs.results)

    _run(tmp_path, check)


async def _until_version(found: harness.Deployment, name: str, version: int):
    async def is_in_force() -> bool:
        with contextlib.suppress(OSError, json.JSONDecodeError):
            status = await found.admin(name, "/admin/status")
            return status["configuration_version"] >= version
        return False

    await harness.until(is_in_force, f"version {version} on {name}")


# A request that crashes its engine

POISON = "poisonous"
CRASHES_MAX = 2


class _Restarts:
    """Starts engines that have died again, and counts their deaths."""

    def __init__(self, found: harness.Deployment):
        self._found = found
        self.count = 0

    async def run(self):
        while True:
            for name in self._found.names("engine"):
                process = self._found.processes[name]
                if not process.is_alive:
                    self.count += 1
                    process.start()
            await asyncio.sleep(0.1)


async def _send_poison(found: harness.Deployment, number: int):
    program = found.caller("press-line-3", number, request_timeout_s=5.0)
    messages = [{"role": "user", "content": f"a {POISON} question"}]
    return await program.chat(found.model, messages, chat_id=f"p{number}")


def test_request_that_crashes_engines(tmp_path):
    async def check(found: harness.Deployment):
        restarts = _Restarts(found)
        task = asyncio.create_task(restarts.run())
        runs = load.Load(
            found, ACCOUNTS, chats=1, releases=False, request_timeout_s=60.0
        )
        async with runs:
            await runs.until_answered(6)
            for number in range(6):
                result = await _send_poison(found, number)
                assert result.outcome != "answered"
            await runs.until_answered(20)
        task.cancel()
        load.check_answers(runs.results)
        assert 1 <= restarts.count <= CRASHES_MAX

    _run(tmp_path, check, engines=5, engine={"poison": POISON})
