"""Guarantees while processes are killed, paused, stalled and replaced."""

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
SETTLE_S = 5.0
CALL_TIMEOUT_S = 30.0
LONG_ANSWER_BYTES = 400_000


async def _issue_permit(deployment: harness.Deployment, router: str) -> str:
    key = deployment.keys["press-line-1"]
    headers = {"authorization": f"Bearer {key}"}
    target = "/v1/addresses?permits=1"
    answer = await deployment.get_json(
        deployment.address(router), target, **headers
    )
    return answer["permits"][0]


async def _call(
    deployment: harness.Deployment,
    router: str,
    permit: str,
    timeout: float = CALL_TIMEOUT_S,
) -> str:
    """Calls the service through a router and returns the reported outcome.

    Returns "refused" if the router refused the connection, and "unknown" if
    the connection failed or timed out later.
    """
    headers = {
        "authorization": f"Bearer {deployment.keys['press-line-1']}",
        "idempotency-key": permit,
    }
    target = f"/v1/services/{deployment.service}/{deployment.operation}"
    try:
        reply = await http.request(
            deployment.address(router), "POST", target, headers, b"{}", timeout
        )
    except ConnectionRefusedError:
        return "refused"
    except OSError:
        return "unknown"
    return reply.headers["x-outcome"]


async def _wait_until_executed(deployment: harness.Deployment, permit: str):
    async def is_executed() -> bool:
        return permit in await deployment.executions()

    await harness.wait_until(is_executed, "execution of the call")


async def _wait_until_arrived(deployment: harness.Deployment, permit: str):
    async def has_arrived() -> bool:
        for name in deployment.vm_names("service"):
            rows = (await deployment.records(name))["rows"]
            if any(row[2] == permit for row in rows):
                return True
        return False

    await harness.wait_until(has_arrived, "arrival of the call")


async def _set_service_faults(deployment: harness.Deployment, **faults):
    for name in deployment.vm_names("service"):
        await deployment.set_faults(name, **faults)


def _run(tmp_path, check, **options):
    async def main():
        options.setdefault("engines", ENGINES)
        async with harness.deployment(tmp_path, **options) as deployment:
            await check(deployment)

    asyncio.run(main())


# Non-repeatable calls


def test_one_permit_at_all_routers_at_once(tmp_path):
    async def check(deployment: harness.Deployment):
        routers = deployment.vm_names("router")
        for issuer in routers:
            permit = await _issue_permit(deployment, issuer)
            outcomes = await asyncio.gather(
                *(_call(deployment, router, permit) for router in routers * 2)
            )
            assert set(outcomes) == {"answered"}
            assert (await deployment.executions())[permit] == 1

    _run(tmp_path, check)


def test_issuer_killed_between_dispatch_and_answer(tmp_path):
    async def check(deployment: harness.Deployment):
        await _set_service_faults(deployment, hang_after=True)
        permit = await _issue_permit(deployment, "router-1")
        call = asyncio.create_task(_call(deployment, "router-2", permit))
        await _wait_until_executed(deployment, permit)
        await deployment.processes["router-1"].kill()
        await _set_service_faults(deployment, hang_after=False)
        assert await call == "unknown"
        assert await _call(deployment, "router-3", permit) == "unknown"
        deployment.processes["router-1"].start()
        await deployment.wait_until_healthy("router-1")
        for router in deployment.vm_names("router"):
            assert await _call(deployment, router, permit) == "unknown"
        assert (await deployment.executions())[permit] == 1

    _run(tmp_path, check)


def test_issuer_paused_and_resumed(tmp_path):
    async def check(deployment: harness.Deployment):
        permit = await _issue_permit(deployment, "router-1")
        issuer = deployment.processes["router-1"]
        issuer.send_signal(signal.SIGSTOP)
        others = ["router-2", "router-3", "router-4"]
        outcomes = await asyncio.gather(
            *(_call(deployment, router, permit) for router in others)
        )
        assert "answered" not in outcomes
        issuer.send_signal(signal.SIGCONT)
        await deployment.wait_until_healthy("router-1")
        # The issuer reads what its sockets buffered only after it resumes.
        await asyncio.sleep(SETTLE_S)
        executed = (await deployment.executions()).get(permit, 0)
        assert executed <= (0 if "not-run" in outcomes else 1)
        last = await _call(deployment, "router-2", permit)
        executed = (await deployment.executions()).get(permit, 0)
        assert executed <= 1
        assert not ("not-run" in (*outcomes, last) and executed)

    _run(tmp_path, check)


def test_lost_answer_is_unknown_and_not_sent_again(tmp_path):
    async def check(deployment: harness.Deployment):
        await _set_service_faults(deployment, drop_after=True)
        permit = await _issue_permit(deployment, "router-1")
        assert await _call(deployment, "router-1", permit) == "unknown"
        await _set_service_faults(deployment, drop_after=False)
        for router in deployment.vm_names("router"):
            assert await _call(deployment, router, permit) == "unknown"
        assert (await deployment.executions())[permit] == 1

    _run(tmp_path, check)


def test_call_to_killed_service_is_not_run(tmp_path):
    async def check(deployment: harness.Deployment):
        for name in deployment.vm_names("service"):
            await deployment.processes[name].kill()
        permit = await _issue_permit(deployment, "router-1")
        assert await _call(deployment, "router-1", permit) == "not-run"
        for name in deployment.vm_names("service"):
            deployment.processes[name].start()
            await deployment.wait_until_available(
                deployment.address(name), "/v1/load"
            )
        repeats = [
            await _call(deployment, router, permit)
            for router in deployment.vm_names("router")
        ]
        executed = (await deployment.executions()).get(permit, 0)
        assert executed == ("answered" in repeats) <= 1

    _run(tmp_path, check)


def test_issuer_cut_off_from_the_service(tmp_path):
    async def check(deployment: harness.Deployment):
        names = deployment.vm_names("service")
        for name in names:
            await deployment.set_faults(f"relay:{name}", cut=True)
        permit = await _issue_permit(deployment, "router-1")
        outcomes = [
            await _call(deployment, router, permit)
            for router in deployment.vm_names("router")
        ]
        assert "answered" not in outcomes
        for name in names:
            await deployment.set_faults(f"relay:{name}", cut=False)
        outcomes.append(await _call(deployment, "router-1", permit))
        executed = (await deployment.executions()).get(permit, 0)
        assert executed == ("answered" in outcomes)

    names = [f"line-{number}" for number in range(1, 4)]
    _run(tmp_path, check, relayed=names)


def test_service_that_hangs_before_it_runs_the_call(tmp_path):
    async def check(deployment: harness.Deployment):
        await _set_service_faults(deployment, hang_before=True)
        permit = await _issue_permit(deployment, "router-1")
        call = asyncio.create_task(_call(deployment, "router-2", permit))
        await _wait_until_arrived(deployment, permit)
        repeat = asyncio.create_task(_call(deployment, "router-3", permit))
        await deployment.processes["router-2"].kill()
        assert await call == "unknown"
        await _set_service_faults(deployment, hang_before=False)
        assert await repeat == "answered"
        assert await _call(deployment, "router-4", permit) == "answered"
        assert (await deployment.executions())[permit] == 1

    _run(tmp_path, check)


def test_forged_permits_are_refused(tmp_path):
    async def check(deployment: harness.Deployment):
        permit = await _issue_permit(deployment, "router-1")
        place = len(permit) // 2
        other = "A" if permit[place] != "A" else "B"
        forged = permit[:place] + other + permit[place + 1 :]
        for router in deployment.vm_names("router"):
            assert await _call(deployment, router, forged) == "not-run"
            assert await _call(deployment, router, "no-permit") == "not-run"
        assert await deployment.executions() == {}

    _run(tmp_path, check)


# Streams


async def _send_long_chat(
    deployment: harness.Deployment, client, tokens: int = 300
):
    messages = [{"role": "user", "content": "a long answer"}]
    return await client.chat(
        deployment.model, messages, chat_id="long", tokens=tokens
    )


def _check_complete(result):
    assert (result.outcome, result.mismatch) == ("answered", "")


async def _start_chat(deployment: harness.Deployment):
    """Starts a long chat and waits until it streams.

    Returns:
        Its task, the name of its entry router and the name of its engine.
    """
    client = deployment.caller("press-line-1", request_timeout_s=60.0)
    answer = await client.addresses(deployment.model, "long")
    task = asyncio.create_task(_send_long_chat(deployment, client))
    engines = []

    async def is_streaming() -> bool:
        for name in deployment.vm_names("engine"):
            state = await deployment.get_json(
                deployment.address(name), "/standin/state"
            )
            if state["running"]:
                engines.append(name)
                return True
        return False

    await harness.wait_until(is_streaming, "start of the stream")
    await asyncio.sleep(0.5)
    assert not task.done()
    (entry,) = [
        vm["name"]
        for vm in deployment.vm_list["vms"]
        if vm["address"] == answer[0]
    ]
    return task, entry, engines[0]


def test_entry_killed_in_mid_stream(tmp_path):
    async def check(deployment: harness.Deployment):
        task, entry, _ = await _start_chat(deployment)
        await deployment.processes[entry].kill()
        result = await task
        _check_complete(result)
        assert result.resumptions
        assert result.router_address != entry

    _run(tmp_path, check)


@pytest.mark.parametrize("position", [0, 1, 2, 3])
def test_any_router_killed_in_mid_stream(tmp_path, position: int):
    async def check(deployment: harness.Deployment):
        chat_load = load.ChatLoad(
            deployment,
            ACCOUNTS,
            chats=2,
            tokens=60,
            sends_calls=False,
            request_timeout_s=60.0,
        )
        async with chat_load:
            await chat_load.wait_for_answers(6)
            victim = deployment.vm_names("router")[position]
            await deployment.processes[victim].kill()
            await chat_load.wait_for_answers(30)
        load.check_answers(chat_load.results)

    _run(tmp_path, check)


def test_engine_killed_in_mid_stream(tmp_path):
    async def check(deployment: harness.Deployment):
        task, _, engine = await _start_chat(deployment)
        await deployment.processes[engine].kill()
        result = await task
        _check_complete(result)
        assert result.served_by

    _run(tmp_path, check)


def test_silent_relay_before_the_engines(tmp_path):
    async def check(deployment: harness.Deployment):
        task, _, engine = await _start_chat(deployment)
        await deployment.set_faults(f"relay:{engine}", silent=True)
        _check_complete(await task)

    names = [f"runner-{number}" for number in range(1, ENGINES + 1)]
    _run(tmp_path, check, relayed=names)


def test_silent_relay_before_the_routers(tmp_path):
    async def check(deployment: harness.Deployment):
        task, entry, _ = await _start_chat(deployment)
        await deployment.set_faults(f"relay:{entry}", silent=True)
        result = await task
        _check_complete(result)
        assert result.resumptions

    names = [f"router-{number}" for number in range(1, 5)]
    _run(tmp_path, check, relayed=names)


def test_router_paused_and_resumed_under_load(tmp_path):
    async def check(deployment: harness.Deployment):
        chat_load = load.ChatLoad(
            deployment, ACCOUNTS, chats=2, request_timeout_s=60.0
        )
        async with chat_load:
            await chat_load.wait_for_answers(6)
            router = deployment.processes["router-2"]
            router.send_signal(signal.SIGSTOP)
            await chat_load.wait_for_answers(20)
            router.send_signal(signal.SIGCONT)
            await chat_load.wait_for_answers(20)
        load.check_answers(chat_load.results)
        assert set((await deployment.executions()).values()) <= {1}

    _run(tmp_path, check)


# Engines that leave, and routers that stop


async def _arrival_count(deployment: harness.Deployment, engine: str) -> int:
    rows = (await deployment.records(engine))["rows"]
    return sum(row[1] in ("arrive", "refused") for row in rows)


def test_leaving_engine_gets_no_new_request(tmp_path):
    async def check(deployment: harness.Deployment):
        engine = "runner-2"
        chat_load = load.ChatLoad(
            deployment, ACCOUNTS, sends_calls=False, request_timeout_s=60.0
        )
        async with chat_load:
            await chat_load.wait_for_answers(20)
            await deployment.set_faults(engine, leaving=True)
            await asyncio.sleep(SETTLE_S)
            before = await _arrival_count(deployment, engine)
            await chat_load.wait_for_answers(40)
            assert await _arrival_count(deployment, engine) == before
        load.check_answers(chat_load.results)

    _run(tmp_path, check)


def test_engine_leaving_by_the_vm_list(tmp_path):
    async def check(deployment: harness.Deployment):
        engine = "runner-2"
        chat_load = load.ChatLoad(
            deployment, ACCOUNTS, sends_calls=False, request_timeout_s=60.0
        )
        async with chat_load:
            await chat_load.wait_for_answers(20)
            for vm in deployment.vm_list["vms"]:
                if vm["name"] == engine:
                    vm["state"] = "leaving"
            deployment.publish()
            await asyncio.sleep(SETTLE_S)
            before = await _arrival_count(deployment, engine)
            await chat_load.wait_for_answers(40)
            assert await _arrival_count(deployment, engine) == before
        load.check_answers(chat_load.results)

    _run(tmp_path, check)


def test_rolling_replacement_of_all_routers(tmp_path):
    async def check(deployment: harness.Deployment):
        chat_load = load.ChatLoad(
            deployment, ACCOUNTS, chats=3, request_timeout_s=60.0
        )
        async with chat_load:
            await chat_load.wait_for_answers(10)
            for name in deployment.vm_names("router"):
                assert await deployment.processes[name].stop() == 0
                deployment.processes[name].start()
                await deployment.wait_until_healthy(name)
                await chat_load.wait_for_answers(10)
        load.check_answers(chat_load.results)
        assert [item for item in chat_load.results if item.resumptions] == []
        assert {item.outcome for item in chat_load.calls} == {"answered"}
        executions = await deployment.executions()
        assert set(executions.values()) == {1}
        assert len(executions) == len(chat_load.calls)

    _run(tmp_path, check)


def test_permit_outlives_its_issuer(tmp_path):
    async def check(deployment: harness.Deployment):
        permits = {
            name: await _issue_permit(deployment, name)
            for name in deployment.vm_names("router")
        }
        used = await _issue_permit(deployment, "router-1")
        assert await _call(deployment, "router-1", used) == "answered"
        for name in deployment.vm_names("router"):
            assert await deployment.processes[name].stop() == 0
            deployment.processes[name].start()
            await deployment.wait_until_healthy(name)
        for issuer, permit in permits.items():
            assert await _call(deployment, issuer, permit) == "answered"
        assert await _call(deployment, "router-3", used) == "answered"
        assert set((await deployment.executions()).values()) == {1}

    _run(tmp_path, check)


def test_stop_waits_for_the_stream_in_progress(tmp_path):
    async def check(deployment: harness.Deployment):
        task, entry, _ = await _start_chat(deployment)
        process = deployment.processes[entry]
        process.send_signal(signal.SIGTERM)
        result = await task
        _check_complete(result)
        assert result.resumptions == 0
        assert result.router_address in (
            vm["address"]
            for vm in deployment.vm_list["vms"]
            if vm["name"] == entry
        )
        assert await process.wait() == 0

    _run(tmp_path, check)


# Guards against an end of an answer that a stop drops.
def test_stop_waits_until_an_answer_is_sent(tmp_path):
    async def check(deployment: harness.Deployment):
        loop = asyncio.get_running_loop()
        host, port = http.split_address(deployment.address("router-1"))
        permit = await _issue_permit(deployment, "router-1")
        body = json.dumps({"text": "x" * LONG_ANSWER_BYTES})
        path = f"/v1/services/{deployment.service}/{deployment.operation}"
        request = (
            f"POST {path} HTTP/1.1\r\nHost: {host}\r\n"
            f"Authorization: Bearer {deployment.keys['press-line-1']}\r\n"
            f"Idempotency-Key: {permit}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}"
        )
        with harness.narrow_socket() as sock:
            await loop.sock_connect(sock, (host, port))
            await loop.sock_sendall(sock, request.encode())
            answer = await loop.sock_recv(sock, 4096)
            assert answer.startswith(b"HTTP/1.1 200"), answer
            process = deployment.processes["router-1"]
            process.send_signal(signal.SIGTERM)
            while data := await loop.sock_recv(sock, 4096):
                answer += data
                await asyncio.sleep(0.02)
        assert answer.count(b"x") >= LONG_ANSWER_BYTES
        assert await process.wait() == 0

    _run(tmp_path, check)


# The platform


def test_platform_down_for_a_while(tmp_path):
    async def check(deployment: harness.Deployment):
        chat_load = load.ChatLoad(
            deployment, ACCOUNTS, chats=2, request_timeout_s=60.0
        )
        async with chat_load:
            await chat_load.wait_for_answers(6)
            await deployment.set_faults("platform", down=True)
            await chat_load.wait_for_answers(20)
            deployment.document["load_bound"] = 2.0
            deployment.publish()
            await deployment.set_faults("platform", down=False)
            for name in deployment.vm_names("router"):
                await _wait_for_version(deployment, name, 2)
            await chat_load.wait_for_answers(6)
        load.check_answers(chat_load.results)

    _run(tmp_path, check)


async def _wait_for_version(
    deployment: harness.Deployment, name: str, version: int
):
    async def is_in_force() -> bool:
        with contextlib.suppress(OSError, json.JSONDecodeError):
            status = await deployment.get_admin(name, "/admin/status")
            return status["configuration_version"] >= version
        return False

    await harness.wait_until(is_in_force, f"version {version} on {name}")


# A request that crashes its engine

POISON = "poisonous"
CRASHES_MAX = 2


class _EngineRestarter:
    """Restarts engines that have exited, and counts the exits."""

    def __init__(self, deployment: harness.Deployment):
        self._deployment = deployment
        self.exit_count = 0

    async def run(self):
        while True:
            for name in self._deployment.vm_names("engine"):
                process = self._deployment.processes[name]
                if not process.is_alive:
                    self.exit_count += 1
                    process.start()
            await asyncio.sleep(0.1)


async def _send_poison(deployment: harness.Deployment, number: int):
    client = deployment.caller("press-line-3", number, request_timeout_s=5.0)
    messages = [{"role": "user", "content": f"a {POISON} question"}]
    return await client.chat(deployment.model, messages, chat_id=f"p{number}")


def test_request_that_crashes_engines(tmp_path):
    async def check(deployment: harness.Deployment):
        restarter = _EngineRestarter(deployment)
        task = asyncio.create_task(restarter.run())
        chat_load = load.ChatLoad(
            deployment,
            ACCOUNTS,
            chats=1,
            sends_calls=False,
            request_timeout_s=60.0,
        )
        async with chat_load:
            await chat_load.wait_for_answers(6)
            for number in range(6):
                result = await _send_poison(deployment, number)
                assert result.outcome != "answered"
            await chat_load.wait_for_answers(20)
        task.cancel()
        load.check_answers(chat_load.results)
        assert 1 <= restarter.exit_count <= CRASHES_MAX

    _run(tmp_path, check, engines=5, engine={"poison": POISON})
