"""Tests of attempts against a scripted engine."""

import asyncio

import pytest

from nutmegpost_core import vms
from nutmegpost_core import wire
from nutmegpost_router import attempt
from nutmegpost_router import http_client
from nutmegpost_router import http_server
from nutmegpost_router import runs

TOKENS = [b'{"t": %d}' % number for number in range(6)]
DONE = b"data: [DONE]\n\n"


def _events(numbers):
    return b"".join(
        b"id: %d\ndata: %s\n\n" % (number, TOKENS[number]) for number in numbers
    )


class _Engine:
    """Answers each request with the next step of a script.

    A step is a status with a body, or a list of chunks after which the
    connection closes; "hang" keeps it open without sending data.
    """

    def __init__(self, script):
        self.script = list(script)
        self.requests = []

    async def handle(self, exchange):
        request = exchange.request
        self.requests.append(
            (request.method, request.headers.get("last-event-id"))
        )
        step = self.script.pop(0)
        if isinstance(step, tuple):
            exchange.send(http_server.Response(step[0], [], step[1]))
            return
        exchange.start(200, [])
        for chunk in step:
            if chunk == "hang":
                await exchange.disconnected.wait()
                return
            exchange.write(chunk)
            await asyncio.sleep(0)
        if step and step[-1] == DONE:
            exchange.finish()
        else:
            exchange._connection.close()


def _run_attempt(script, resume=False, first_sequence=0):
    engine = _Engine(script)

    async def main():
        server = await http_server.serve(
            vms.Address("127.0.0.1", 0), engine.handle
        )
        port = server._server.sockets[0].getsockname()[1]
        address = vms.Address("127.0.0.1", port)
        submit = wire.Submit("r1", "press", "quick", "m", "c1", b"{}")
        run = runs.Run(submit, b"d", first_sequence)
        run.attempt = 7
        target = attempt.Target("e1", address, "key", 1, resume, lambda _: None)
        client = http_client.Client()
        result = await asyncio.wait_for(
            attempt.run_attempt(client, target, run), 30
        )
        client.close()
        await server.close()
        return result, run

    result, run = asyncio.run(main())
    return result, run, engine


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch):
    monkeypatch.setattr(attempt, "READ_TIMEOUT_S", 0.1)
    monkeypatch.setattr(attempt, "HEAD_TIMEOUT_S", 0.3)


def test_stream_is_read_to_its_end():
    result, run, _ = _run_attempt([[_events(range(6)), DONE]])
    assert result.ending is attempt.Ending.DONE
    assert run.read(0) == TOKENS


def test_broken_stream_is_resumed_after_last_event():
    result, run, engine = _run_attempt(
        [[_events([0, 1])], [_events([2, 3, 4, 5]), DONE]]
    )
    assert result.ending is attempt.Ending.DONE
    assert run.read(0) == TOKENS
    assert engine.requests == [("POST", None), ("GET", "1")]


def test_stream_is_resumed_after_read_timeout():
    result, run, engine = _run_attempt(
        [[_events([0]), "hang"], [_events([1, 2, 3, 4, 5]), DONE]]
    )
    assert result.ending is attempt.Ending.DONE
    assert run.read(0) == TOKENS
    assert engine.requests == [("POST", None), ("GET", "0")]


def test_duplicates_are_dropped_and_a_gap_is_resumed():
    result, run, engine = _run_attempt(
        [
            [_events([0, 1, 1, 0, 2, 4])],
            [_events([3, 4, 5]), DONE],
        ]
    )
    assert result.ending is attempt.Ending.DONE
    assert run.read(0) == TOKENS
    assert engine.requests[1] == ("GET", "2")


def test_new_attempt_drops_events_before_the_first_sequence():
    result, run, _ = _run_attempt([[_events(range(6)), DONE]], first_sequence=4)
    assert result.ending is attempt.Ending.DONE
    assert run.read(4) == TOKENS[4:]


def test_unavailable_engine_did_not_run_the_request():
    body = b'{"error": {"code": "leaving"}}'
    result, _, engine = _run_attempt([(503, body)])
    assert result.ending is attempt.Ending.NOT_RUN
    assert "leaving" in result.reason
    assert len(engine.requests) == 1


def test_stream_unknown_to_the_engine_is_lost():
    result, _, _ = _run_attempt([(404, b"")], resume=True)
    assert result.ending is attempt.Ending.LOST
    assert not result.unreachable


def test_error_event_ends_the_attempt_as_lost():
    error_event = b'event: error\ndata: {"error": {}}\n\n'
    result, run, _ = _run_attempt([[_events([0]), error_event]])
    assert result.ending is attempt.Ending.LOST
    assert run.read(0) == TOKENS[:1]


def test_attempt_is_lost_after_resumes_without_events(monkeypatch):
    monkeypatch.setattr(attempt, "STALLED_RESUMES_MAX", 3)
    result, _, engine = _run_attempt([["hang"]] * 4)
    assert result.ending is attempt.Ending.LOST
    assert len(engine.requests) == 3


def test_refused_connection_did_not_run_the_request():
    async def main():
        server = await http_server.serve(
            vms.Address("127.0.0.1", 0), _Engine([]).handle
        )
        port = server._server.sockets[0].getsockname()[1]
        await server.close()
        submit = wire.Submit("r1", "press", "quick", "m", "c1", b"{}")
        run = runs.Run(submit, b"d", 0)
        address = vms.Address("127.0.0.1", port)
        target = attempt.Target("e1", address, "key", 1, False, lambda _: None)
        return await attempt.run_attempt(http_client.Client(), target, run)

    result = asyncio.run(main())
    assert result.ending is attempt.Ending.NOT_RUN
    assert result.unreachable
    assert result.crashed
