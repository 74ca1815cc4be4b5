"""Callers that take their answers late, slowly or not at all."""

import asyncio
import contextlib
import itertools
import socket

import pytest
import standin

from nutmegpost_router import http_server

DEADLINE_S = 1.5
IDLE_TIMEOUT_S = 0.5
# The bounds on ending a request; GONE allows half a second.
ENDED_WITHIN_S = 0.5


def _fleet(gateways=1):
    limits = standin.LIMITS | {"idleTimeoutMs": int(IDLE_TIMEOUT_S * 1000)}
    runners = [
        standin.Runner("e1", "engines", 8),
        standin.Runner("e2", "engines", 8),
        standin.Runner("p1", "plain"),
    ]
    config = standin.configuration(1, limits=limits)
    return standin.Fleet(runners, gateways, config)


async def _send_events_without_end(runner, exchange):
    runner.executed.append(exchange.request.headers["attempt-id"])
    exchange.start(200, runner.response_fields(exchange.request))
    for number in itertools.count(1):
        exchange.write(b"id: %d\ndata: %b\n\n" % (number, b"p" * 50_000))
        await exchange.drain()
        await asyncio.sleep(0)
        if exchange.disconnected.is_set():
            return


async def _send_megabytes(runner, exchange):
    fields = runner.response_fields(exchange.request)
    exchange.send(http_server.Response(200, fields, b"x" * 7_000_000))


@contextlib.asynccontextmanager
async def _slow_caller(fleet, path):
    """Sends a request and does not read; gives the connection's two ends."""
    server = fleet.gateways[0]._caller_server
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        await loop.sock_connect(sock, tuple(fleet.address("public_address")))
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {standin.HOST}\r\n"
            f"Attempt-Id: slow\r\nDeadline-Ms: {int(DEADLINE_S * 1000)}\r\n"
            f"Authorization: Bearer {standin.API_KEY}\r\n"
            "Content-Length: 0\r\n\r\n"
        )
        await loop.sock_sendall(sock, head.encode())
        await fleet.wait_until(
            lambda: any(not each.writable for each in server._connections)
        )
        (connection,) = (
            each for each in server._connections if not each.writable
        )
        yield sock, connection


def _assert_no_endpoint_is_blamed(fleet):
    now = asyncio.get_running_loop().time()
    for gateway in fleet.gateways:
        assert not gateway.local_state.outliers.ejected(now)
        metrics = gateway._counters.render()
        assert b"\nnutmegpost_gateway_attempts_failed_total{" not in metrics


@pytest.mark.parametrize("is_through_peer", [False, True])
def test_stream_of_a_caller_that_reads_nothing_ends_at_its_deadline(
    is_through_peer,
):
    async def scenario():
        async with _fleet(1 + is_through_peer) as fleet:
            if is_through_peer:
                await fleet.wait_until_all_met()
                standin.Cut(fleet, 0, False).begin()
                await fleet.send_stream_request("/ask/1", "first")
            for runner in fleet.runners.values():
                runner.behaviors = [_send_events_without_end]
            loop = asyncio.get_running_loop()
            start = loop.time()
            async with _slow_caller(fleet, "/ask/1") as (_, connection):
                async with asyncio.timeout(DEADLINE_S + ENDED_WITHIN_S):
                    await connection.lost.wait()
                assert loop.time() - start >= DEADLINE_S - 0.1
                await fleet.wait_until(
                    lambda: any(
                        "slow" in runner.cancelled
                        for runner in fleet.runners.values()
                    )
                )
            if not is_through_peer:
                _assert_no_endpoint_is_blamed(fleet)

    standin.run_scenario(scenario)


def test_caller_that_leaves_while_its_window_is_closed_cancels_its_stream():
    async def scenario():
        async with _fleet() as fleet:
            for runner in fleet.runners.values():
                runner.behaviors = [_send_events_without_end]
            async with _slow_caller(fleet, "/ask/1") as (sock, _):
                sock.close()
                async with asyncio.timeout(ENDED_WITHIN_S):
                    await fleet.wait_until(
                        lambda: any(
                            "slow" in runner.cancelled
                            for runner in fleet.runners.values()
                        )
                    )

    standin.run_scenario(scenario)


def test_answer_that_is_not_read_is_held_for_the_idle_timeout():
    async def scenario():
        async with _fleet() as fleet:
            fleet.runners["p1"].behaviors = [_send_megabytes]
            async with _slow_caller(fleet, "/issue/1") as (_, connection):
                await asyncio.sleep(IDLE_TIMEOUT_S / 2)
                assert not connection.lost.is_set()
                async with asyncio.timeout(2 * IDLE_TIMEOUT_S):
                    await connection.lost.wait()

    standin.run_scenario(scenario)


def test_caller_that_reads_slowly_until_its_deadline_blames_no_endpoint():
    async def scenario():
        async with _fleet() as fleet:
            for runner in fleet.runners.values():
                runner.behaviors = [_send_events_without_end]
            loop = asyncio.get_running_loop()
            async with _slow_caller(fleet, "/ask/1") as (sock, connection):
                with contextlib.suppress(ConnectionError):
                    while not connection.lost.is_set():
                        await loop.sock_recv(sock, 20_000)
                        await asyncio.sleep(0.001)
            await asyncio.sleep(0.1)
            _assert_no_endpoint_is_blamed(fleet)

    standin.run_scenario(scenario)
