import asyncio
import contextlib
import json

from nutmegpost_standins import batching
from nutmegpost_standins import engine
from nutmegpost_standins import http
from nutmegpost_standins import sse

MESSAGES = [{"role": "user", "content": "one two three"}]
CHAT = "/v1/chat/completions"


class EngineFixture:
    def __init__(self, **options):
        defaults = {"step_ms": 1.0, "load_lag_s": 0.01, "cache_event_lag_s": 0}
        self.engine = engine.Engine(
            engine.Options("127.0.0.1:0", **(defaults | options))
        )

    async def __aenter__(self):
        self.server = await http.serve("127.0.0.1:0", self.engine.handle)
        self.task = asyncio.create_task(self.engine.run())
        return self

    async def __aexit__(self, *_):
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task
        await self.server.close()

    async def send(self, method: str, target: str, value=None, **headers):
        body = b"" if value is None else json.dumps(value).encode()
        return await http.request(
            self.server.address, method, target, headers, body
        )

    async def chat(self, request_id: str, attempt: int = 1, tokens: int = 4):
        return await self.send(
            "POST", CHAT, _body(tokens), **_headers(request_id, attempt)
        )


def _body(tokens: int):
    return {"model": "m", "messages": MESSAGES, "max_tokens": tokens}


def _headers(request_id: str, attempt: int = 1):
    return {
        "x-request-id": request_id,
        "x-attempt": str(attempt),
        "x-cache-key": "k",
    }


def _events(body: bytes) -> list[sse.Event]:
    async def chunks():
        yield body

    async def collect():
        return [event async for event in sse.iter_events(chunks())]

    return asyncio.run(collect())


def test_stream_resumes_after_the_last_event_id():
    async def main():
        async with EngineFixture() as fixture:
            whole = await fixture.chat("a/1")
            target = "/v1/streams/a/1?attempt=1"
            resumed = await fixture.send(
                "GET", target, **{"last-event-id": "1"}
            )
            later_attempt = await fixture.send(
                "GET", "/v1/streams/a/1?attempt=2"
            )
            earlier_attempt = await fixture.send(
                "GET", "/v1/streams/a/1?attempt=0"
            )
            return whole, resumed, later_attempt.status, earlier_attempt.status

    whole, resumed, later_attempt, earlier_attempt = asyncio.run(main())
    events = _events(whole.body)
    assert [event.id for event in events] == ["0", "1", "2", "3", "4", ""]
    digest = batching.messages_digest(MESSAGES)
    first = json.loads(events[0].data)
    assert first["choices"][0]["delta"]["content"] == f"{digest}-0 "
    assert events[-1].data == "[DONE]"
    assert _events(resumed.body) == events[2:]
    assert (later_attempt, earlier_attempt) == (404, 409)


def test_cancel_reports_whether_the_request_ran():
    async def main():
        async with EngineFixture(batch=1, step_ms=20.0) as fixture:
            first = asyncio.create_task(fixture.chat("a/1", tokens=1000))
            await _wait_for_state(fixture, running=1)
            second = asyncio.create_task(fixture.chat("a/2"))
            await _wait_for_state(fixture, waiting=1)
            ran = []
            for request_id in ("a/2", "a/1", "a/3"):
                reply = await fixture.send(
                    "DELETE", f"/v1/streams/{request_id}?attempt=1"
                )
                ran.append(json.loads(reply.body)["ran"])
            late = await fixture.chat("a/3")
            await asyncio.gather(first, second)
            return ran, late.status

    assert asyncio.run(main()) == ([False, True, False], 409)


async def _wait_for_state(fixture: EngineFixture, **expected):
    for _ in range(500):
        reply = await fixture.send("GET", "/standin/state")
        state = json.loads(reply.body)
        if all(state[name] == value for name, value in expected.items()):
            return
        await asyncio.sleep(0.01)
    raise AssertionError(f"{expected} not reached: {state}")


def test_stale_fencing_token_is_refused():
    async def order(fenced: bool):
        async with EngineFixture(fenced=fenced) as fixture:
            order = {"fence": [2, 0], "version": "v2", "role": "both"}
            first = await fixture.send("POST", "/v1/orders", order)
            await _wait_for_state(fixture, version="v2", state="ready")
            order = {"fence": [1, 5], "version": "v1", "role": "both"}
            second = await fixture.send("POST", "/v1/orders", order)
            return first.status, second.status

    assert asyncio.run(order(True)) == (202, 409)
    assert asyncio.run(order(False)) == (202, 202)


def test_cache_events_and_kv_transfer():
    async def main():
        async with EngineFixture(cache_event_loss=0) as fixture:
            await fixture.chat("a/1")
            target = "/v1/cache-events?after=0&wait=5"
            events = json.loads((await fixture.send("GET", target)).body)
            kv = await fixture.send("GET", "/v1/kv/k")
            await http.request(
                fixture.server.address, "PUT", "/v1/kv/other", body=kv.body
            )
            copy = await fixture.send("GET", "/v1/kv/other")
            return events["events"], kv.body == copy.body

    rows, is_same = asyncio.run(main())
    assert [row[1:] for row in rows] == [["stored", "k", 7]]
    assert is_same


def test_refuses_while_leaving():
    async def main():
        async with EngineFixture() as fixture:
            await fixture.send("POST", "/standin/faults", {"leaving": True})
            reply = await fixture.chat("a/1")
            await _wait_for_state(fixture, state="leaving")
            rows = json.loads(
                (await fixture.send("GET", "/standin/records")).body
            )["rows"]
            return reply.status, reply.body, [row[1] for row in rows]

    status, body, kinds = asyncio.run(main())
    assert (status, kinds) == (503, ["refused"])
    assert json.loads(body)["error"]["code"] == "leaving"


def test_stalled_stream_resumes_on_a_new_connection():
    async def main():
        async with EngineFixture(step_ms=5.0) as fixture:
            task = asyncio.create_task(fixture.chat("a/1", tokens=100))
            await _wait_for_state(fixture, running=1)
            await fixture.send("POST", "/standin/faults", {"silent": True})
            await _wait_for_state(fixture, running=0)
            whole = await fixture.send("GET", "/v1/streams/a/1?attempt=1")
            is_silent = not task.done()
            task.cancel()
            return is_silent, whole.body

    is_silent, body = asyncio.run(main())
    assert is_silent
    assert len(_events(body)) == 102


def test_records_list_arrivals_and_executions():
    async def main():
        async with EngineFixture() as fixture:
            await fixture.chat("a/1")
            reply = await fixture.send("GET", "/standin/records")
            return json.loads(reply.body)

    records = asyncio.run(main())
    assert [row[1] for row in records["rows"]] == [
        "arrive",
        "begin",
        "finished",
    ]
    assert [row[4] for row in records["rows"]] == [1, 1, 0]
    assert records["executions"] == {"a/1#1": 1}


def test_later_attempt_cancels_the_earlier_one():
    async def main():
        async with EngineFixture(step_ms=5.0) as fixture:
            first = asyncio.create_task(fixture.chat("a/1", 1, tokens=1000))
            await _wait_for_state(fixture, running=1)
            second = await fixture.chat("a/1", 2)
            return (await first).body, second.body

    first, second = asyncio.run(main())
    assert _events(first)[-1].name == "error"
    assert _events(second)[-1].data == "[DONE]"
