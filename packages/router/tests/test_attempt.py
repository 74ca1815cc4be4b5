"""Attempts against a small scripted engine."""

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

    A step is a status with a body, or a list of pieces after which the
    connection closes; "hang" keeps it open without a word.
    """

    def __init__(self, script):
        self.script = list(script)
        self.asked = []

    async def handle(self, exchange):
        request = exchange.request
        self.asked.append(
            (request.method, request.headers.get("last-event-id"))
        )
        step = self.script.pop(0)
        if isinstance(step, tuple):
            exchange.send(http_server.Response(step[0], [], step[1]))
            return
        exchange.start(200, [])
        for piece in step:
            if piece == "hang":
                await exchange.disconnected.wait()
                return
            exchange.write(piece)
            await asyncio.sleep(0)
        if step and step[-1] == DONE:
            exchange.finish()
        else:
            exchange._connection.close()


def _attempt(script, resume=False, base=0):
    engine = _Engine(script)

    async def main():
        server = await http_server.serve(
            vms.Address("127.0.0.1", 0), engine.handle
        )
        port = server._server.sockets[0].getsockname()[1]
        address = vms.Address("127.0.0.1", port)
        submit = wire.Submit("r1", "press", "quick", "m", "c1", b"{}")
        run = runs.Run(submit, b"d", base)
        run.attempt = 7
        target = attempt.Target("e1", address, "key", 1, resume, lambda _: None)
        client = http_client.Client()
        end = await asyncio.wait_for(
            attempt.run_attempt(client, target, run), 30
        )
        client.close()
        await server.close()
        return end, run

    end, run = asyncio.run(main())
    return end, run, engine


@pytest.fixture(autouse=True)
def short_silence(monkeypatch):
    monkeypatch.setattr(attempt, "SILENCE_LIMIT_S", 0.1)
    monkeypatch.setattr(attempt, "HEAD_TIMEOUT_S", 0.3)


def test_a_stream_is_read_to_its_end():
    end, run, _ = _attempt([[_events(range(6)), DONE]])
    assert end.ending is attempt.Ending.DONE
    assert run.read(0) == TOKENS


def test_a_broken_stream_is_resumed_at_the_last_event():
    end, run, engine = _attempt(
        [[_events([0, 1])], [_events([2, 3, 4, 5]), DONE]]
    )
    assert end.ending is attempt.Ending.DONE
    assert run.read(0) == TOKENS
    assert engine.asked == [("POST", None), ("GET", "1")]


def test_a_silent_stream_is_resumed_on_a_new_connection():
    end, run, engine = _attempt(
        [[_events([0]), "hang"], [_events([1, 2, 3, 4, 5]), DONE]]
    )
    assert end.ending is attempt.Ending.DONE
    assert run.read(0) == TOKENS
    assert engine.asked == [("POST", None), ("GET", "0")]


def test_doubled_events_are_dropped_and_a_gap_is_asked_for():
    end, run, engine = _attempt(
        [
            [_events([0, 1, 1, 0, 2, 4])],
            [_events([3, 4, 5]), DONE],
        ]
    )
    assert end.ending is attempt.Ending.DONE
    assert run.read(0) == TOKENS
    assert engine.asked[1] == ("GET", "2")


def test_a_new_attempt_skips_what_the_caller_has():
    end, run, _ = _attempt([[_events(range(6)), DONE]], base=4)
    assert end.ending is attempt.Ending.DONE
    assert run.read(4) == TOKENS[4:]


def test_a_refusal_did_not_run():
    body = b'{"error": {"code": "leaving"}}'
    end, _, engine = _attempt([(503, body)])
    assert end.ending is attempt.Ending.NOT_RUN
    assert "leaving" in end.reason
    assert len(engine.asked) == 1


def test_a_stream_that_the_engine_does_not_know_is_lost():
    end, _, _ = _attempt([(404, b"")], resume=True)
    assert end.ending is attempt.Ending.LOST
    assert not end.unreachable


def test_an_error_event_loses_the_attempt():
    failed = b'event: error\ndata: {"error": {}}\n\n'
    end, run, _ = _attempt([[_events([0]), failed]])
    assert end.ending is attempt.Ending.LOST
    assert run.read(0) == TOKENS[:1]


def test_an_engine_that_stays_silent_is_given_up(monkeypatch):
    monkeypatch.setattr(attempt, "FRUITLESS_RESUMES_MAX", 3)
    end, _, engine = _attempt([["hang"]] * 4)
    assert end.ending is attempt.Ending.LOST
    assert len(engine.asked) == 3


def test_a_dead_engine_took_nothing():
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

    end = asyncio.run(main())
    assert end.ending is attempt.Ending.NOT_RUN
    assert end.unreachable
    assert end.crashed
