"""Endpoints that send bytes without end, in a head or a body.

Each test runs a gateway over real sockets and an endpoint that never ends its
answer, at full speed or one byte at a time. The request must end in time and
truthfully, the connection must be closed, the endpoint must be ejected and the
memory of the gateway must not grow with what the endpoint sends.
"""

import asyncio
import tracemalloc

import pytest
import standin

# Time limit of the routes below, seconds.
TIMEOUT_S = 1.0
# The rules allow half a second after the time limit of a route.
LATE_S = 0.5
# An answer is at most 8 MB; a gateway may hold it twice, received and joined.
MEMORY_BYTES_MAX = 24_000_000
# Bytes that a flooding endpoint writes at once.
BLOCK_BYTES = 65_536
TRICKLE_INTERVAL_S = 0.02

HEAD = b"HTTP/1.1 200 OK\r\n"
SIGNED = b"Attempt-Id: id-1\r\nServer-Seal: seal\r\n"
CHUNKED = HEAD + SIGNED + b"Transfer-Encoding: chunked\r\n\r\n"


def _chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


EVENT = b"id: 1\ndata: piece 1\n\n"
# The start of the answer, and the bytes that follow without end.
UNENDED_HEADS = {
    "status line": (b"HTTP/1.1 200 ", b"a"),
    "header value": (HEAD + b"X-Fill: ", b"a"),
    "header lines": (HEAD, b"X-Fill: a\r\n"),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
}
UNENDED_BODIES = {
    "body without a length": (HEAD + SIGNED + b"\r\n", b"a"),
    "chunks": (CHUNKED, _chunk(b"a")),
    "chunk extension": (CHUNKED + b"5;x=", b"a"),
}
UNENDED_STREAMS = {
    "one event": (CHUNKED + _chunk(b"id: 1\ndata: "), _chunk(b"a")),
    "events without an id": (CHUNKED, _chunk(b"data: a\n\n")),
    "comments": (CHUNKED, _chunk(b": a\n\n")),
    "the same event": (CHUNKED, _chunk(EVENT)),
    "chunk extension": (CHUNKED + _chunk(EVENT) + b"5;x=", b"a"),
    "garbage after an event": (CHUNKED + _chunk(EVENT), _chunk(b"a")),
}
SPEEDS = ["full speed", "trickle"]


class UnendedRunner(standin.RawRunner):
    """An endpoint that answers each request with bytes that never end.

    Attributes:
        closed: Number of connections that the gateway closed.
    """

    def __init__(self, name, service, start, repeated, speed):
        super().__init__(name, service, 8)
        self.closed = 0
        self._answer_start = start
        self._repeated = repeated
        self._speed = speed

    @property
    def requests(self):
        """Number of requests received."""
        return len(self.executed)

    async def write_answer(self, writer, attempt):
        writer.write(self._answer_start.replace(b"id-1", attempt))
        await self._send_without_end(writer)

    def end_connection(self, writer):
        if self.requests:
            self.closed += 1
        super().end_connection(writer)

    async def _send_without_end(self, writer):
        block = self._repeated * (BLOCK_BYTES // len(self._repeated))
        while not writer.is_closing():
            if self._speed == "trickle":
                writer.write(self._repeated)
                await asyncio.sleep(TRICKLE_INTERVAL_S)
            else:
                writer.write(block)
            await writer.drain()


def _fleet(service, start, repeated, speed):
    config = standin.configuration(1)
    for route in config["routes"]:
        route["timeoutMs"] = TIMEOUT_S * 1000
        route["targetLatencyMs"] = 100
    runner = UnendedRunner("r1", service, start, repeated, speed)
    return standin.Fleet([runner], config=config), runner


async def _timed(response):
    loop = asyncio.get_running_loop()
    start = loop.time()
    try:
        return await response, loop.time() - start
    except standin.http_client.ExchangeError:
        return None, loop.time() - start


async def _check_ended(runner, elapsed_s):
    assert elapsed_s <= TIMEOUT_S + LATE_S
    async with asyncio.timeout(LATE_S):
        while runner.closed < runner.requests:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("speed", SPEEDS)
@pytest.mark.parametrize("name", [*UNENDED_HEADS, *UNENDED_BODIES])
def test_unsafe_request_ends_in_time_as_perhaps_executed(name, speed):
    async def scenario():
        start, repeated = (UNENDED_HEADS | UNENDED_BODIES)[name]
        fleet, runner = _fleet("plain", start, repeated, speed)
        async with fleet:
            response, elapsed_s = await _timed(
                fleet.send_request("/issue/1", "id-1", "POST", b"{}")
            )
            assert response.status in (502, 504)
            assert "server-seal" not in response.headers
            assert runner.requests == 1
            await _check_ended(runner, elapsed_s)

    standin.run_scenario(scenario)


@pytest.mark.parametrize("speed", SPEEDS)
@pytest.mark.parametrize("name", [*UNENDED_HEADS, *UNENDED_STREAMS])
def test_stream_that_is_no_answer_ends_in_time(name, speed):
    async def scenario():
        start, repeated = (UNENDED_HEADS | UNENDED_STREAMS)[name]
        fleet, runner = _fleet("engines", start, repeated, speed)
        async with fleet:
            response, elapsed_s = await _timed(
                fleet.send_stream_request("/ask/1", "id-1")
            )
            # None is a connection that ends within the response.
            assert response is None or response.status in (502, 504)
            assert runner.requests == 1
            await _check_ended(runner, elapsed_s)

    standin.run_scenario(scenario)


@pytest.mark.parametrize("speed", SPEEDS)
def test_rejection_with_an_unended_body_is_retried_at_once(speed):
    async def scenario():
        start = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n\r\n"
        fleet, runner = _fleet("plain", start, b"a", speed)
        other = standin.Runner("r2", "plain")
        fleet.runners["r2"] = other
        async with fleet:
            for number in range(6):
                response, elapsed_s = await _timed(
                    fleet.send_request(
                        "/issue/1", f"id-{number}", "POST", b"{}"
                    )
                )
                assert response.status == 200
                assert elapsed_s < TIMEOUT_S / 2
            assert runner.requests >= 1

    standin.run_scenario(scenario)


def test_endpoint_is_ejected_and_another_answers():
    async def scenario():
        start, repeated = UNENDED_HEADS["status line"]
        fleet, runner = _fleet("plain", start, repeated, "full speed")
        fleet.runners["r2"] = standin.Runner("r2", "plain")
        async with fleet:
            for number in range(12):
                response = await fleet.send_request("/look/1", f"id-{number}")
                assert response.status == 200
            assert 1 <= runner.requests <= 3

    standin.run_scenario(scenario)


@pytest.mark.parametrize("name", [*UNENDED_HEADS, *UNENDED_BODIES])
def test_memory_does_not_grow_with_what_is_sent(name):
    async def scenario():
        start, repeated = (UNENDED_HEADS | UNENDED_BODIES)[name]
        fleet, runner = _fleet("plain", start, repeated, "full speed")
        async with fleet:
            await fleet.send_request("/issue/1", "id-0", "POST", b"{}")
            tracemalloc.start()
            try:
                await asyncio.gather(
                    *(
                        fleet.send_request(
                            "/issue/1", f"id-{number}", "POST", b"{}"
                        )
                        for number in range(1, 9)
                    )
                )
                _, peak = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            assert runner.requests >= 2
            assert peak < MEMORY_BYTES_MAX

    standin.run_scenario(scenario)


FAILURE = b"HTTP/1.1 500 Failed\r\n" + SIGNED + b"\r\n"
REJECTION = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n\r\n"


# Guards against answers that fail because those of a faulty endpoint are large.
@pytest.mark.parametrize(
    "start", [UNENDED_BODIES["body without a length"][0], FAILURE, REJECTION]
)
def test_answers_of_other_endpoints_are_relayed_meanwhile(start):
    async def scenario():
        fleet, runner = _fleet("plain", start, b"a", "full speed")
        fleet.config["services"].append(
            {"name": "other", "healthPath": "/health", "maxConns": 50}
        )
        fleet.config["routes"].append(
            standin.route("other", "unsafe", "other", maxAttempts=1)
        )
        fleet.runners["o1"] = standin.Runner("o1", "other", 64)
        async with fleet:
            flood = [
                asyncio.create_task(
                    _timed(
                        fleet.send_request(
                            "/issue/1", f"flood-{number}", "POST", b"{}"
                        )
                    )
                )
                for number in range(24)
            ]
            statuses = []
            while not all(task.done() for task in flood):
                response = await fleet.send_request(
                    "/other/1", f"other-{len(statuses)}", "POST", b"{}"
                )
                statuses.append(response.status)
            assert runner.requests >= 8
            assert set(statuses) == {200}

    standin.run_scenario(scenario)


@pytest.mark.parametrize("name", UNENDED_STREAMS)
def test_memory_does_not_grow_with_streams_without_end(name):
    async def scenario():
        start, repeated = UNENDED_STREAMS[name]
        fleet, runner = _fleet("engines", start, repeated, "full speed")
        async with fleet:
            tracemalloc.start()
            try:
                await asyncio.gather(
                    *(
                        _timed(
                            fleet.send_stream_request("/ask/1", f"id-{number}")
                        )
                        for number in range(8)
                    )
                )
                _, peak = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            assert runner.requests >= 2
            assert peak < MEMORY_BYTES_MAX

    standin.run_scenario(scenario)


class _StalledRunner(standin.RawRunner):
    """An endpoint that sends a part of an answer and then nothing.

    Attributes:
        part_bytes: Size of the part.
    """

    part_bytes = 6_000_000

    async def write_answer(self, writer, attempt):
        head = HEAD + SIGNED.replace(b"id-1", attempt)
        writer.write(head + b"\r\n" + b"a" * self.part_bytes)
        await asyncio.sleep(standin.TIMEOUT_S)


# Guards against answers that fail because faulty ones hold all of the memory.
def test_large_answers_are_relayed_while_unended_ones_hold_memory():
    body = b"b" * 1_000_000

    async def answer(runner, exchange):
        fields = runner.response_fields(exchange.request)
        exchange.send(standin.http_server.Response(200, fields, body))

    async def scenario():
        other = standin.Runner("o1", "engines", 64)
        other.behaviors = [answer] * 5
        config = standin.configuration(1)
        config["routes"].append(
            standin.route("other", "unsafe", "engines", maxAttempts=1)
        )
        stalled = _StalledRunner("r1", "plain", 64)
        runners = [stalled, other]
        async with standin.Fleet(runners, config=config) as fleet:
            client = fleet.gateways[0]._client
            stalled_requests = []
            for number in (1, 2):
                stalled_requests.append(
                    asyncio.create_task(
                        fleet.send_request(
                            "/issue/1", f"stalled-{number}", "POST", b"{}"
                        )
                    )
                )
                await fleet.wait_until(
                    lambda number=number: (
                        client.buffered_body_bytes
                        >= number * stalled.part_bytes
                    )
                )
            for number in range(5):
                response = await fleet.send_request(
                    "/other/1", f"other-{number}", "POST", b"{}"
                )
                assert response.status == 200
                assert response.body == body
            for response in await asyncio.gather(*stalled_requests):
                assert response.status in (502, 504)

    standin.run_scenario(scenario)
