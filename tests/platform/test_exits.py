"""What callers get whose connections are open when a gateway exits."""

import asyncio
import contextlib
import json
import signal
import sys

import harness
import pytest
import standin

DEADLINE_MS = 10_000
BODY = b"{}"
PIECE_BYTES = 8192
PIECES = 50
GRACE_S = 4.0
ADDRESS_TTL_S = 0.5
# A part of each answer that is read at once, and the pause after it.
READ_BYTES = 4096
PAUSE_S = 0.02
# An answer read with these lasts beyond the grace.
LONG_PAUSE_S = 0.08


@contextlib.asynccontextmanager
async def _gateway(tmp_path):
    """Yields a gateway process and its fleet of no other gateway."""
    runners = [
        standin.Runner("p1", "plain", 64),
        standin.Runner("e1", "engines", 64),
    ]
    config = standin.configuration(1)
    for route in config["routes"]:
        route["timeoutMs"] = DEADLINE_MS
    async with standin.Fleet(runners, gateways=0, config=config) as fleet:
        config = fleet.settings() | {"address_ttl_s": ADDRESS_TTL_S}
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(config))
        program = [sys.executable, "-m", "nutmegpost_platform.main"]
        gateway = harness.Process(
            config["name"],
            ["env", f"NUTMEGPOST_BOOT={path}", *program],
            tmp_path / "gateway.log",
        )
        gateway.start()
        gateway.public_address = config["public_address"]
        try:
            await _wait_until_served(gateway)
            yield gateway, fleet
        finally:
            await gateway.kill()


async def _wait_until_served(gateway):
    async def is_served():
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            async with _connect(gateway) as caller:
                await caller.send("/look/1", "first")
                return (await caller.read_head()).startswith(b"HTTP/1.1 200")
        return False

    await harness.wait_until(is_served, "an answer of the gateway")


class _Caller:
    """A caller on one connection, with a narrow window."""

    def __init__(self, sock):
        self._socket = sock
        self._loop = asyncio.get_running_loop()

    async def send(self, path, identity, pause_s=0.0):
        method = "GET" if path.startswith("/look") else "POST"
        fields = [
            f"{method} {path} HTTP/1.1",
            f"Host: {standin.HOST}",
            f"Attempt-Id: {identity}",
            f"Deadline-Ms: {DEADLINE_MS}",
            f"Authorization: Bearer {standin.API_KEY}",
            f"Content-Length: {len(BODY)}",
        ]
        if path.startswith("/draft"):
            fields += ["Model: m", "Token-Count: 60,40", "Prompt-Prefix: aa:20"]
        head = "\r\n".join([*fields, "", ""]).encode()
        await self._loop.sock_sendall(self._socket, head[:20])
        await asyncio.sleep(pause_s)
        await self._loop.sock_sendall(self._socket, head[20:] + BODY)

    async def read(self, pause_s=0.0):
        """Returns what comes next; nothing if the connection has ended."""
        await asyncio.sleep(pause_s)
        try:
            return await self._loop.sock_recv(self._socket, READ_BYTES)
        except ConnectionError:
            return b""

    async def read_head(self):
        return await self.read()

    async def read_to_end(self, pause_s=PAUSE_S):
        data = b""
        while piece := await self.read(pause_s):
            data += piece
        return data


@contextlib.asynccontextmanager
async def _connect(gateway):
    sock = harness.narrow_socket()
    host, _, port = gateway.public_address.partition(":")
    with contextlib.closing(sock):
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (host, int(port)))
        yield _Caller(sock)


async def _answer_at_length(runner, exchange):
    request = exchange.request
    runner.executed.append(request.headers["attempt-id"])
    fields = runner.response_fields(request)
    body = b"x" * PIECE_BYTES * PIECES
    exchange.send(standin.http_server.Response(200, fields, body))


async def _stream_at_length(runner, exchange):
    request = exchange.request
    runner.executed.append(request.headers["attempt-id"])
    fields = runner.response_fields(request)
    exchange.start(200, [*fields, ("Content-Type", "text/event-stream")])
    for number in range(1, PIECES + 1):
        exchange.write(b"id: %d\ndata: %s\n\n" % (number, b"x" * PIECE_BYTES))
    exchange.finish()


async def _begin_and_hang(runner, exchange):
    await standin.send_events(runner, exchange, 1, 3)
    await exchange.disconnected.wait()


# Guards against answers of which a planned stop drops what is unsent.
@pytest.mark.parametrize("path", ["/look/1", "/draft/1"])
@pytest.mark.parametrize("stops", [True, False])
def test_answer_is_sent_to_its_end_before_the_process_exits(
    path, stops, tmp_path
):
    async def scenario():
        async with (
            _gateway(tmp_path) as (gateway, fleet),
            _connect(gateway) as caller,
        ):
            fleet.runners["p1"].behaviors = [_answer_at_length]
            fleet.runners["e1"].behaviors = [_stream_at_length]
            await caller.send(path, "long")
            head = await caller.read_head()
            await asyncio.sleep(0.3)
            if stops:
                gateway.send_signal(signal.SIGTERM)
            data = head + await caller.read_to_end()
            assert data.count(b"x") >= PIECE_BYTES * PIECES

    standin.run_scenario(scenario)


# Guards against answers that are cut at a stop without a line in the log.
def test_slow_caller_holds_a_stop_for_the_grace_and_is_named(tmp_path):
    async def scenario():
        async with (
            _gateway(tmp_path) as (gateway, fleet),
            _connect(gateway) as caller,
        ):
            fleet.runners["p1"].behaviors = [_answer_at_length]
            await caller.send("/look/1", "long")
            await caller.read_head()
            reading = asyncio.create_task(caller.read_to_end(LONG_PAUSE_S))
            await gateway.stop(GRACE_S)
            reading.cancel()
            over = gateway.entry(107)
            assert over["connections"] == 1
            assert over["requests"] == over["begun"] == 0
            assert over["unsent_bytes"] > 0

    standin.run_scenario(scenario)


def test_stream_that_a_stop_cuts_is_named(tmp_path):
    async def scenario():
        async with (
            _gateway(tmp_path) as (gateway, fleet),
            _connect(gateway) as caller,
        ):
            fleet.runners["e1"].behaviors = [_begin_and_hang]
            await caller.send("/draft/1", "long")
            await caller.read_head()
            await gateway.stop(GRACE_S)
            for number in 107, 103:
                entry = gateway.entry(number)
                assert entry["connections"] == 1
                assert entry["requests"] == entry["begun"] == 1

    standin.run_scenario(scenario)


# Guards against an end of an answer that the kernel could have sent.
def test_unsent_bytes_are_left_to_the_kernel_when_the_grace_is_over(tmp_path):
    async def scenario():
        async with (
            _gateway(tmp_path) as (gateway, fleet),
            _connect(gateway) as caller,
        ):
            fleet.runners["p1"].behaviors = [_answer_at_length]
            await caller.send("/look/1", "long")
            head = await caller.read_head()
            stopping = asyncio.create_task(gateway.stop(GRACE_S))
            data = head + await caller.read_to_end(LONG_PAUSE_S)
            await stopping
            assert data.count(b"x") >= PIECE_BYTES * PIECES
            assert gateway.entry(103)["unsent_bytes"] == 0

    standin.run_scenario(scenario)


# Guards against callers that are cut off as they begin a request.
def test_connection_accepted_just_before_the_listener_closes_is_served(
    tmp_path,
):
    async def scenario():
        async with _gateway(tmp_path) as (gateway, _):
            gateway.send_signal(signal.SIGTERM)
            await asyncio.sleep(1.6 * ADDRESS_TTL_S)
            async with _connect(gateway) as caller:
                await asyncio.sleep(0.7 * ADDRESS_TTL_S)
                await caller.send("/look/1", "late")
                assert (await caller.read_head()).startswith(b"HTTP/1.1 ")

    standin.run_scenario(scenario)


def test_request_whose_head_comes_in_parts_during_a_stop_is_answered(tmp_path):
    async def scenario():
        async with (
            _gateway(tmp_path) as (gateway, _),
            _connect(gateway) as caller,
        ):
            gateway.send_signal(signal.SIGTERM)
            await caller.send("/look/1", "slow", pause_s=3 * ADDRESS_TTL_S)
            assert (await caller.read_head()).startswith(b"HTTP/1.1 ")

    standin.run_scenario(scenario)


# Guards against resets that discard the end of an answer.
def test_answer_is_whole_though_the_next_request_comes_before_its_end(tmp_path):
    async def scenario():
        async with (
            _gateway(tmp_path) as (gateway, fleet),
            _connect(gateway) as caller,
        ):
            fleet.runners["p1"].behaviors = [_answer_at_length]
            await caller.send("/look/1", "long")
            data = await caller.read_head()
            gateway.send_signal(signal.SIGTERM)
            while data.count(b"x") < PIECE_BYTES * PIECES // 2:
                data += await caller.read(PAUSE_S)
            await caller.send("/look/2", "next")
            data += await caller.read_to_end()
            assert data.count(b"x") >= PIECE_BYTES * PIECES

    standin.run_scenario(scenario)
