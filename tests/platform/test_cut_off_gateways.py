"""Gateways that lose their links to all endpoints, and to nothing else."""

import asyncio
import itertools
import socket
import tracemalloc

import pytest
import standin

# Time after the cut from which the requirements count.
SETTLED_S = 3.0
REQUESTS = 12
# The requirements allow a gateway that is cut off two thirds of what the others
# serve at the first attempt.
SERVED_SHARE_MIN = 2 / 3
# Time within which a request that nobody can serve is refused.
REFUSED_WITHIN_S = 1.0
# Several times what the buffers of the connections on the way hold.
MEMORY_BYTES_MAX = 8_000_000


def _fleet(gateways=3):
    runners = [
        *(standin.Runner(name, "plain", 8) for name in ("p1", "p2", "p3")),
        *(standin.Runner(name, "engines", 8) for name in ("e1", "e2", "e3")),
    ]
    return standin.Fleet(runners, gateways=gateways)


async def _send_all_kinds(fleet, name, count=REQUESTS, gateway_index=0):
    """Sends requests of all kinds to one gateway; returns the responses."""
    responses = []
    for number in range(count):
        path = ("/look/1", "/issue/1", "/draft/1", "/ask/1")[number % 4]
        send = fleet.send_request
        if path in ("/draft/1", "/ask/1"):
            send = fleet.send_stream_request
        responses.append(
            await send(path, f"{name}-{number}", gateway_index=gateway_index)
        )
    return responses


def _served(responses):
    return sum(response.status == 200 for response in responses)


@pytest.mark.parametrize("hangs", [True, False])
def test_callers_of_a_gateway_cut_off_from_all_endpoints_are_served(hangs):
    async def scenario():
        async with _fleet() as fleet:
            await fleet.wait_until_all_met()
            cut = standin.Cut(fleet, 0, hangs)
            assert _served(await _send_all_kinds(fleet, "before")) == REQUESTS
            cut.begin()
            tasks = [
                asyncio.create_task(_send_all_kinds(fleet, f"early-{index}", 4))
                for index in range(3)
            ]
            await asyncio.sleep(SETTLED_S)
            responses = await _send_all_kinds(fleet, "cut")
            assert _served(responses) >= SERVED_SHARE_MIN * REQUESTS
            await asyncio.gather(*tasks)
            executed = [
                identity
                for runner in fleet.runners.values()
                for identity in runner.executed
            ]
            assert len(executed) == len(set(executed))

    standin.run_scenario(scenario)


@pytest.mark.parametrize("hangs", [True, False])
def test_a_gateway_uses_its_own_links_again_after_a_cut(hangs):
    async def scenario():
        async with _fleet(gateways=2) as fleet:
            await fleet.wait_until_all_met()
            cut = standin.Cut(fleet, 0, hangs)
            cut.begin()
            await _send_all_kinds(fleet, "cut", 4)
            await asyncio.sleep(SETTLED_S)
            cut.end()
            await asyncio.sleep(1.0)
            await fleet.kill_gateway(1)
            responses = await _send_all_kinds(fleet, "after")
            assert _served(responses) == REQUESTS

    standin.run_scenario(scenario)


def test_the_peers_of_a_gateway_that_is_cut_off_keep_their_endpoints():
    async def scenario():
        async with _fleet() as fleet:
            await fleet.wait_until_all_met()
            cut = standin.Cut(fleet, 0, False)
            await _send_all_kinds(fleet, "before")
            cut.begin()
            await _send_all_kinds(fleet, "cut")
            await asyncio.sleep(0.5)
            now = asyncio.get_running_loop().time()
            for gateway in fleet.gateways[1:]:
                assert gateway.local_state.outliers.ejected(now) == set()
            assert not any(fleet.gateways[1].crashes.encode(now))

    standin.run_scenario(scenario)


def test_requests_are_refused_at_once_when_all_gateways_are_cut_off():
    async def scenario():
        async with _fleet() as fleet:
            await fleet.wait_until_all_met()
            cuts = [standin.Cut(fleet, index, True) for index in range(3)]
            for cut in cuts:
                cut.begin()
            for index in range(3):
                await _send_all_kinds(fleet, f"early-{index}", 1, index)
            await asyncio.sleep(SETTLED_S)
            for index in range(3):
                async with asyncio.timeout(4 * REFUSED_WITHIN_S):
                    responses = await _send_all_kinds(
                        fleet, f"refused-{index}", 4, index
                    )
                assert {response.status for response in responses} == {503}

    standin.run_scenario(scenario)


async def _send_events_without_end(runner, exchange):
    exchange.start(200, runner.response_fields(exchange.request))
    text = b"p" * 1000
    for first in itertools.count(1, 1000):
        ids = range(first, first + 1000)
        exchange.write(
            b"".join(b"id: %d\ndata: %b\n\n" % (n, text) for n in ids)
        )
        await exchange.drain()
        await asyncio.sleep(0)


# Guards against a stream kept in memory because its caller reads slowly.
def test_stream_through_a_peer_is_read_no_faster_than_its_caller_reads():
    async def scenario():
        async with _fleet(gateways=2) as fleet:
            await fleet.wait_until_all_met()
            standin.Cut(fleet, 0, False).begin()
            await _send_all_kinds(fleet, "cut", 4)
            for runner in fleet.runners.values():
                runner.behaviors = [_send_events_without_end]
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.connect(tuple(fleet.address("public_address")))
            reader, writer = await asyncio.open_connection(
                sock=caller, limit=1024
            )
            tracemalloc.start()
            try:
                writer.write(
                    b"POST /ask/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: slow\r\n"
                    b"Deadline-Ms: 3000\r\nAuthorization: Bearer %s\r\n"
                    b"Content-Length: 0\r\n\r\n"
                    % (standin.HOST.encode(), standin.API_KEY.encode())
                )
                assert (await reader.readline()).startswith(b"HTTP/1.1 200")
                await asyncio.sleep(2.0)
                _, peak = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
                writer.transport.abort()
            assert peak < MEMORY_BYTES_MAX

    standin.run_scenario(scenario)
