"""Requests that a planned stop of a gateway finds open, or that come late."""

import asyncio
import contextlib

import pytest
import standin

# Grace of a planned stop, as the stand-in sets it.
GRACE_S = 4.0
DEADLINE_MS = 10_000
# Time after the stop signal at which a gateway takes no new connections.
LATE_S = 1.0
BODY = b"{}"
PATHS = ["/issue/1", "/look/1", "/ask/1", "/draft/1"]


def _fleet(gateways=1):
    config = standin.configuration(1)
    for route in config["routes"]:
        route["timeoutMs"] = DEADLINE_MS
    runners = [
        standin.Runner("p1", "plain", 64),
        standin.Runner("e1", "engines", 64),
    ]
    return standin.Fleet(runners, gateways=gateways, config=config)


class _Caller:
    """A caller on one connection, which sends its requests in parts."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    def send_head(self, path, identity, deadline_ms=DEADLINE_MS):
        fields = [
            f"POST {path} HTTP/1.1",
            f"Host: {standin.HOST}",
            f"Attempt-Id: {identity}",
            f"Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {standin.API_KEY}",
            f"Content-Length: {len(BODY)}",
        ]
        if path.startswith(("/ask", "/draft")):
            fields += ["Model: m", "Token-Count: 60,40", "Prompt-Prefix: aa:20"]
        self._writer.write("\r\n".join([*fields, "", ""]).encode())

    def send_body(self):
        self._writer.write(BODY)

    async def receive(self):
        """Returns the status and the body; 0 if the connection ends first."""
        try:
            head = await self._reader.readuntil(b"\r\n\r\n")
            _, separator, length = head.lower().partition(b"content-length: ")
            if not separator:
                rest = await self._reader.read()
                return int(head.split()[1]), rest
            size = int(length.split()[0])
            return int(head.split()[1]), await self._reader.readexactly(size)
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0, b""

    async def ask(self, path, identity, deadline_ms=DEADLINE_MS):
        self.send_head(path, identity, deadline_ms)
        self.send_body()
        return await self.receive()


@contextlib.asynccontextmanager
async def _connect(fleet):
    address = fleet.address("public_address")
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        yield _Caller(reader, writer)
    finally:
        writer.transport.abort()


def _executed(fleet):
    return [
        identity
        for runner in fleet.runners.values()
        for identity in runner.executed
    ]


def _hang(fleet):
    for runner in fleet.runners.values():
        runner.behaviors = [standin.hang] * 8


# Guards against requests that are taken late in the grace and cut at its end.
@pytest.mark.parametrize("path", PATHS)
def test_request_that_is_complete_late_in_the_grace_is_refused(path):
    async def scenario():
        async with _fleet() as fleet, _connect(fleet) as caller:
            _hang(fleet)
            caller.send_head(path, "late")
            await asyncio.sleep(0.1)
            fleet.gateways[0].stop()
            await asyncio.sleep(LATE_S)
            caller.send_body()
            async with asyncio.timeout(0.5):
                status, _ = await caller.receive()
            assert status == 503
            assert not _executed(fleet)

    standin.run_scenario(scenario)


@pytest.mark.parametrize("path", PATHS)
def test_request_that_ends_within_the_grace_is_taken_late(path):
    async def scenario():
        async with _fleet() as fleet, _connect(fleet) as caller:
            caller.send_head(path, "late", deadline_ms=1000)
            await asyncio.sleep(0.1)
            fleet.gateways[0].stop()
            await asyncio.sleep(LATE_S)
            caller.send_body()
            status, _ = await caller.receive()
            assert status == 200

    standin.run_scenario(scenario)


# Guards against requests that end without an answer at the end of the grace.
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("sent", ["before", "after"])
@pytest.mark.parametrize("connection", ["kept", "new"])
def test_request_that_outlasts_the_grace_is_answered(path, sent, connection):
    async def scenario():
        async with _fleet() as fleet, _connect(fleet) as caller:
            if connection == "kept":
                status, _ = await caller.ask("/look/1", "first")
                assert status == 200
            _hang(fleet)
            loop = asyncio.get_running_loop()
            stopped = loop.time()
            if sent == "after":
                fleet.gateways[0].stop()
            task = asyncio.create_task(caller.ask(path, "long"))
            await fleet.wait_until(lambda: "long" in _executed(fleet))
            fleet.gateways[0].stop()
            status, body = await task
            assert status in (502, 504)
            assert body
            assert loop.time() - stopped < GRACE_S
            assert _executed(fleet).count("long") == 1

    standin.run_scenario(scenario)


def test_stream_that_outlasts_the_grace_is_cut_after_its_last_event():
    async def scenario():
        async with _fleet() as fleet, _connect(fleet) as caller:
            runner = fleet.runners["e1"]

            async def begin_and_hang(runner, exchange):
                runner.executed.append("long")
                await standin.send_events(runner, exchange, 1, 3)
                await exchange.disconnected.wait()

            runner.behaviors = [begin_and_hang]
            task = asyncio.create_task(caller.ask("/draft/1", "long"))
            await fleet.wait_until(lambda: runner.executed)
            fleet.gateways[0].stop()
            status, body = await task
            assert status == 200
            assert b"id: 3\ndata: piece 3\n\n" in body
            assert not body.endswith(b"0\r\n\r\n")

    standin.run_scenario(scenario)
