import asyncio
from collections.abc import Awaitable, Callable
import json

import pytest

from nutmegpost_standins import batching
from nutmegpost_standins import caller
from nutmegpost_standins import http

MESSAGES = [{"role": "user", "content": "hello"}]
DIGEST = batching.messages_digest(MESSAGES)
TOKENS = 4

Answer = Callable[[http.Request, int], Awaitable[http.Response]]


def _chunk(number: int, digest: str = DIGEST) -> bytes:
    text = {"choices": [{"delta": {"content": f"{digest}-{number} "}}]}
    return b"id: e/1/%d\ndata: %s\n\n" % (number, json.dumps(text).encode())


def _stream(*chunks: bytes, is_cut: bool = False) -> http.Response:
    async def body():
        for chunk in chunks:
            yield chunk
            await asyncio.sleep(0)
        if is_cut:
            raise ConnectionResetError

    headers = {"content-type": "text/event-stream", "x-served-by": "e"}
    return http.Response(200, headers=headers, stream=body())


def _refusal(status: int, outcome: str, **more) -> http.Response:
    error = {"code": "c", "message": "m", "outcome": outcome, **more}
    return http.json_response({"error": error}, status)


class Router:
    """Serves address lists, and passes other requests to a function."""

    def __init__(self, answer: Answer):
        self._answer = answer
        self.requests: list[http.Request] = []
        self.address = ""

    async def handle(self, request: http.Request) -> http.Response:
        if request.path == "/v1/addresses":
            count = int(request.query.get("permits", "0"))
            request_count = len(self.requests)
            return http.json_response(
                {
                    "addresses": [self.address],
                    "keep_s": 30,
                    "permits": [f"p{request_count}-{n}" for n in range(count)],
                }
            )
        self.requests.append(request)
        return await self._answer(request, len(self.requests))


def _run(answer: Answer, send):
    async def main():
        router = Router(answer)
        server = await http.serve("127.0.0.1:0", router.handle)
        router.address = server.address
        client = caller.Caller([server.address], "key", request_timeout_s=5.0)
        try:
            return await send(client), router.requests
        finally:
            await server.close()

    return asyncio.run(main())


def _chat(answer: Answer):
    return _run(
        answer, lambda client: client.chat("m", MESSAGES, tokens=TOKENS)
    )


def _call(answer: Answer):
    return _run(answer, lambda client: client.call("s", "release", {}))


def test_complete_answer():
    async def answer(request, count):
        done = b"data: [DONE]\n\n"
        return _stream(*(_chunk(n) for n in range(TOKENS)), done)

    result, _ = _chat(answer)
    assert (result.outcome, result.mismatch, result.tokens) == (
        "answered",
        "",
        4,
    )
    assert result.served_by == "e"


@pytest.mark.parametrize(
    "chunks",
    [
        [_chunk(0), _chunk(1), _chunk(3)],
        [_chunk(0), _chunk(0), _chunk(1), _chunk(2), _chunk(3)],
        [_chunk(0), _chunk(1, "0" * 8), _chunk(2), _chunk(3)],
        [_chunk(0), _chunk(1)],
    ],
    ids=["missing", "doubled", "foreign", "short"],
)
def test_faulty_answer_is_reported(chunks: list[bytes]):
    async def answer(request, count):
        return _stream(*chunks, b"data: [DONE]\n\n")

    result, _ = _chat(answer)
    assert result.outcome == "answered"
    assert result.mismatch


def test_broken_stream_is_resumed_after_the_last_event():
    async def answer(request, count):
        if count == 1:
            return _stream(_chunk(0), _chunk(1), is_cut=True)
        return _stream(_chunk(2), _chunk(3), b"data: [DONE]\n\n")

    result, requests = _chat(answer)
    assert (result.outcome, result.mismatch) == ("answered", "")
    assert result.resumptions == 1
    assert requests[1].headers["last-event-id"] == "e/1/1"
    first, second = (request.headers["x-request-id"] for request in requests)
    assert first == second


def test_client_error_is_not_retried():
    async def answer(request, count):
        return _refusal(404, "not-run")

    result, requests = _chat(answer)
    assert result.outcome == "not-run"
    assert len(requests) == 1


def test_call_of_unknown_outcome_keeps_its_permit():
    async def answer(request, count):
        if count == 1:
            return http.Response(503, drop=True)
        if count == 2:
            return _refusal(504, "unknown")
        return http.json_response({})

    result, requests = _call(answer)
    assert result.outcome == "answered"
    keys = {request.headers["idempotency-key"] for request in requests}
    assert len(keys) == 1


def test_call_that_did_not_run_takes_another_permit():
    async def answer(request, count):
        if count == 1:
            return _refusal(503, "not-run")
        if count == 2:
            return _refusal(428, "not-run", permit="given")
        return http.json_response({})

    result, requests = _call(answer)
    assert result.outcome == "answered"
    keys = [request.headers["idempotency-key"] for request in requests]
    assert len(set(keys)) == 3
    assert keys[2] == "given"
