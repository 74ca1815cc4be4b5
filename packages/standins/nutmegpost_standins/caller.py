"""Stand-in for a caller: keeps addresses, streams chats and checks them.

The caller knows every token that the answer to its own request must have, so
it sees one that is missing, doubled or of another request.
"""

import asyncio
import json
import random
from typing import Any, NamedTuple
import urllib.parse

from nutmegpost_standins import batching
from nutmegpost_standins import command
from nutmegpost_standins import http
from nutmegpost_standins import sse

__all__ = ["CallResult", "Caller", "ChatResult", "Options", "run"]

_PERMITS = 2
_RETRY_AFTER_S_MAX = 2.0
_FAILED_FOR_S = 2.0
_RETRY_WAIT_S = 0.1


class ChatResult(NamedTuple):
    """What became of a chat request.

    Attributes:
        outcome: `answered`, `not-run` or `unknown`.
        fault: What was wrong with the answer; empty when it was whole.
        code: Code of the last error; empty for none.
        served_by: Engine that answered.
        entry: Address that the answer came through last.
        tokens: Tokens received.
        first_token_s: Seconds to the first token; -1 without one.
        total_s: Seconds to the end.
        resumed: Times the stream was resumed.
        tries: Times it was sent.
        prompt_tokens: Prompt tokens by the usage.
        cached_tokens: Prompt tokens found in the cache by the usage.
    """

    outcome: str
    fault: str
    code: str
    served_by: str
    entry: str
    tokens: int
    first_token_s: float
    total_s: float
    resumed: int
    tries: int
    prompt_tokens: int
    cached_tokens: int


class CallResult(NamedTuple):
    """What became of a call of a plain service.

    Attributes:
        outcome: `answered`, `not-run` or `unknown`.
        code: Code of the last error; empty for none.
        status: HTTP status of the last answer; 0 without one.
        body: Body of the last answer.
        permit: Idempotency key it was sent with; empty for none.
        tries: Times it was sent.
    """

    outcome: str
    code: str
    status: int
    body: Any
    permit: str
    tries: int


class _Addresses(NamedTuple):
    addresses: list[str]
    expires: float


class _RefusedError(Exception):
    """A request ended without its answer."""

    def __init__(self, body: dict[str, Any], status: int):
        error = body.get("error") or {}
        super().__init__(error.get("message", ""))
        self.code = error.get("code", "internal")
        self.outcome = error.get("outcome") or "unknown"
        self.retry_after = error.get("retry_after")
        self.permit = error.get("permit") or ""
        self.status = status


class _Stream:
    """What has come of one answer."""

    def __init__(self, digest: str, tokens: int, start: float):
        self._digest = digest
        self._tokens = tokens
        self.start = start
        self.received = 0
        self.fault = ""
        self.last_event = ""
        self.first_token_s = -1.0
        self.usage: dict[str, int] = {}
        self.is_done = False

    def add(self, event: sse.Event, now: float) -> None:
        """Takes the next event.

        Raises:
            _RefusedError: The event is an error.
        """
        if event.name == "error":
            raise _RefusedError(json.loads(event.data), 200)
        if event.data == "[DONE]":
            self._finish()
            return
        if event.id:
            self.last_event = event.id
        chunk = json.loads(event.data)
        self.usage = chunk.get("usage") or self.usage
        for choice in chunk["choices"]:
            self._add_text(choice["delta"].get("content") or "", now)

    def _add_text(self, text: str, now: float) -> None:
        for token in text.split():
            wanted = f"{self._digest}-{self.received}"
            if token != wanted and not self.fault:
                self.fault = f"token {token!r} in place of {wanted!r}"
            if not self.received:
                self.first_token_s = now - self.start
            self.received += 1

    def _finish(self) -> None:
        self.is_done = True
        if self.received != self._tokens and not self.fault:
            self.fault = f"{self.received} tokens in place of {self._tokens}"


class Caller:
    """One client account's program.

    It asks a router which addresses to use, keeps the answer for as long as
    it may, tries the next address when one fails, resumes a stream that
    breaks, and sends again what did not run.
    """

    def __init__(
        self,
        seeds: list[str],
        key: str,
        *,
        budget_s: float = 20.0,
        silence_s: float = 5.0,
        rng: random.Random | None = None,
        routes: dict[str, str] | None = None,
    ):
        """Creates a caller.

        Args:
            seeds: Addresses of routers to ask first.
            key: Key of the account.
            budget_s: Longest time for one request with its repeats, seconds.
            silence_s: Longest silence of a stream before it is resumed.
            rng: Source of randomness.
            routes: Addresses to connect to in place of others, by address.
        """
        self._seeds = list(seeds)
        self._key = key
        self._budget_s = budget_s
        self._silence_s = silence_s
        self._random = rng or random.Random()
        self._routes = routes or {}
        self._kept: dict[tuple[str, str], _Addresses] = {}
        self._permits: list[str] = []
        self._failed: dict[str, float] = {}

    async def addresses(self, model: str = "", chat: str = "") -> list[str]:
        """Returns addresses for a chat, best first.

        Raises:
            OSError: No router answered.
        """
        now = asyncio.get_running_loop().time()
        kept = self._kept.get((model, chat))
        if kept is None or kept.expires <= now:
            kept = await self._ask_addresses(model, chat)
            self._kept[model, chat] = kept
        good = [item for item in kept.addresses if not self._is_failed(item)]
        return good or kept.addresses

    def _is_failed(self, address: str) -> bool:
        now = asyncio.get_running_loop().time()
        return self._failed.get(address, -_FAILED_FOR_S) > now - _FAILED_FOR_S

    async def _ask_addresses(self, model: str, chat: str) -> _Addresses:
        permits = 0 if self._permits else _PERMITS
        query = {"model": model, "chat": chat, "permits": permits}
        given = {name: value for name, value in query.items() if value}
        target = f"/v1/addresses?{urllib.parse.urlencode(given)}"
        answer = await self._ask_any(target)
        self._permits += answer.get("permits", [])
        now = asyncio.get_running_loop().time()
        return _Addresses(answer["addresses"], now + answer["keep_s"])

    async def _ask_any(self, target: str) -> dict[str, Any]:
        order = self._random.sample(self._seeds, len(self._seeds))
        order.sort(key=self._is_failed)
        last = "no address"
        for address in order:
            try:
                reply = await http.request(
                    self._route(address),
                    "GET",
                    target,
                    self._headers(),
                    timeout=2.0,
                )
            except OSError as caught:
                self._note_failed(address)
                last = str(caught)
                continue
            if reply.status == 200:
                return json.loads(reply.body)
            last = f"status {reply.status} {reply.body[:200]!r}"
        raise ConnectionError(last)

    def _route(self, address: str) -> str:
        return self._routes.get(address, address)

    def _note_failed(self, address: str) -> None:
        self._failed[address] = asyncio.get_running_loop().time()

    def _forget(self, model: str, chat: str, address: str) -> None:
        self._note_failed(address)
        self._kept.pop((model, chat), None)

    def _headers(self, **more: str) -> dict[str, str]:
        headers = {"authorization": f"Bearer {self._key}"}
        for name, value in more.items():
            if value:
                headers[name.replace("_", "-")] = value
        return headers

    async def chat(
        self,
        model: str,
        messages: list[dict[str, str]],
        *,
        chat: str = "",
        work_class: str = "",
        tokens: int = 16,
        request_id: str = "",
    ) -> ChatResult:
        """Streams one answer.

        Args:
            model: Model to ask.
            messages: Messages of the chat so far.
            chat: Name of the chat.
            work_class: Class of the work.
            tokens: Length of the answer.
            request_id: Name of the request; drawn when left out.
        """
        loop = asyncio.get_running_loop()
        request_id = request_id or f"r{self._random.getrandbits(64):016x}"
        digest = batching.text_digest(messages)
        stream = _Stream(digest, tokens, loop.time())
        headers = self._headers(
            x_request_id=request_id, x_class=work_class, x_chat_id=chat
        )
        body = json.dumps(
            {
                "model": model,
                "messages": messages,
                "max_tokens": tokens,
                "stream": True,
            }
        ).encode()
        attempt = _Attempt(model, chat, headers, body, stream)
        await self._repeat(attempt)
        return self._result(attempt, loop.time() - stream.start)

    async def _repeat(self, attempt: "_Attempt") -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._budget_s
        while loop.time() < deadline:
            try:
                async with asyncio.timeout_at(deadline):
                    await self._try_chat(attempt)
                attempt.outcome = "answered"
                return
            except _RefusedError as refused:
                attempt.code = refused.code
                attempt.outcome = refused.outcome
                if not _may_repeat(refused):
                    return
                wait = refused.retry_after or _RETRY_WAIT_S
                self._forget(attempt.model, attempt.chat, attempt.entry)
            except (OSError, TimeoutError) as caught:
                attempt.code = type(caught).__name__
                # Nothing was heard, so it may have run.
                attempt.outcome = "unknown" if attempt.tries else "not-run"
                wait = _RETRY_WAIT_S
                self._forget(attempt.model, attempt.chat, attempt.entry)
            await asyncio.sleep(min(wait, _RETRY_AFTER_S_MAX))

    async def _try_chat(self, attempt: "_Attempt") -> None:
        addresses = await self.addresses(attempt.model, attempt.chat)
        attempt.entry = addresses[0]
        attempt.tries += 1
        headers = dict(attempt.headers)
        stream = attempt.stream
        if stream.last_event:
            headers["last-event-id"] = stream.last_event
            attempt.resumed += 1
        async with http.exchange(
            self._route(attempt.entry),
            "POST",
            "/v1/chat/completions",
            headers,
            attempt.body,
        ) as found:
            attempt.served_by = found.headers.get(
                "x-served-by", attempt.served_by
            )
            if found.status != 200:
                raise _RefusedError(_load(await found.read()), found.status)
            await self._read_stream(found, stream)

    async def _read_stream(self, found: http.Exchange, stream: _Stream) -> None:
        loop = asyncio.get_running_loop()
        events = sse.read(_until_silent(found, self._silence_s))
        async for event in events:
            stream.add(event, loop.time())
        if not stream.is_done:
            raise ConnectionResetError("stream ended before [DONE]")

    def _result(self, attempt: "_Attempt", total_s: float) -> ChatResult:
        stream = attempt.stream
        return ChatResult(
            attempt.outcome,
            stream.fault,
            "" if attempt.outcome == "answered" else attempt.code,
            attempt.served_by,
            attempt.entry,
            stream.received,
            stream.first_token_s,
            total_s,
            attempt.resumed,
            attempt.tries,
            stream.usage.get("prompt_tokens", 0),
            stream.usage.get("cached_tokens", 0),
        )

    async def permit(self) -> str:
        """Returns a permit for one call that may not be repeated.

        Raises:
            OSError: No router answered.
        """
        if not self._permits:
            self._kept[("", "")] = await self._ask_addresses("", "")
        return self._permits.pop() if self._permits else ""

    async def call(
        self,
        service: str,
        operation: str,
        body: Any,
        *,
        repeatable: bool = False,
        permit: str = "",
    ) -> CallResult:
        """Calls a plain service.

        A call that may not be repeated keeps its permit through all tries
        that may have run, and takes a new one only after `not-run`.

        Args:
            service: Service.
            operation: Operation of the service.
            body: JSON value to send.
            repeatable: Whether the operation may be repeated.
            permit: Permit to use first; asked for when left out.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._budget_s
        target = f"/v1/services/{service}/{operation}"
        data = json.dumps(body).encode()
        result = CallResult("not-run", "", 0, None, permit, 0)
        while loop.time() < deadline:
            if not repeatable and not result.permit:
                result = await self._with_permit(result)
            result = await self._try_call(target, data, result, deadline)
            if result.outcome == "answered":
                return result
            if 400 <= result.status < 428:
                return result
            if result.outcome == "not-run" and result.status not in (0, 428):
                result = result._replace(permit="")
            await asyncio.sleep(_RETRY_WAIT_S)
        return result

    async def _with_permit(self, result: CallResult) -> CallResult:
        try:
            return result._replace(permit=await self.permit())
        except OSError:
            return result

    async def _try_call(
        self, target: str, data: bytes, result: CallResult, deadline: float
    ) -> CallResult:
        headers = self._headers(idempotency_key=result.permit)
        left = deadline - asyncio.get_running_loop().time()
        address = ""
        try:
            address = (await self.addresses())[0]
            reply = await http.request(
                self._route(address),
                "POST",
                target,
                headers,
                data,
                max(left, 0.1),
            )
        except OSError as caught:
            self._forget("", "", address)
            is_unsent = isinstance(caught, ConnectionRefusedError)
            was = result.outcome if is_unsent or not address else "unknown"
            return result._replace(
                outcome=was,
                code=type(caught).__name__,
                status=0,
                tries=result.tries + 1,
            )
        return _call_result(reply, result)


class _Attempt:
    """The tries of one chat request."""

    def __init__(
        self,
        model: str,
        chat: str,
        headers: dict[str, str],
        body: bytes,
        stream: _Stream,
    ):
        self.model = model
        self.chat = chat
        self.headers = headers
        self.body = body
        self.stream = stream
        self.outcome = "not-run"
        self.code = ""
        self.entry = ""
        self.served_by = ""
        self.resumed = 0
        self.tries = 0


def _may_repeat(refused: _RefusedError) -> bool:
    if refused.status in (400, 401, 403, 404, 413, 422):
        return False
    return refused.outcome in ("not-run", "unknown")


def _load(data: bytes) -> dict[str, Any]:
    try:
        return json.loads(data)
    except ValueError:
        return {}


async def _until_silent(found: http.Exchange, silence_s: float) -> Any:
    pieces = found.pieces()
    while True:
        try:
            async with asyncio.timeout(silence_s):
                yield await anext(pieces)
        except StopAsyncIteration:
            return


def _call_result(reply: http.Reply, result: CallResult) -> CallResult:
    body = _load(reply.body)
    tries = result.tries + 1
    if reply.status == 200:
        return result._replace(
            outcome="answered", code="", status=200, body=body, tries=tries
        )
    refused = _RefusedError(body, reply.status)
    return CallResult(
        refused.outcome,
        refused.code,
        reply.status,
        body,
        refused.permit or result.permit,
        tries,
    )


class Options(NamedTuple):
    """Options of the command.

    Attributes:
        routers: Addresses of routers, with commas between them.
        key: Key of the account.
        model: Model to ask.
        chats: Number of chats.
        turns: Requests of each chat.
        tokens: Tokens of each answer.
        work_class: Class of the work.
        service: Service to call once; empty for none.
        operation: Operation of the service that may not be repeated.
        seed: Seed of the names.
    """

    routers: str
    key: str
    model: str
    chats: int = 4
    turns: int = 3
    tokens: int = 24
    work_class: str = ""
    service: str = ""
    operation: str = ""
    seed: int = 0


async def _run_chat(
    caller: Caller, options: Options, number: int
) -> list[ChatResult]:
    results = []
    messages: list[dict[str, str]] = []
    for turn in range(options.turns):
        text = " ".join(f"c{number}t{turn}w{word}" for word in range(200))
        messages.append({"role": "user", "content": text})
        result = await caller.chat(
            options.model,
            messages,
            chat=f"chat-{options.seed}-{number}",
            work_class=options.work_class,
            tokens=options.tokens,
        )
        results.append(result)
        answer = batching.text_digest(messages)
        messages.append({"role": "assistant", "content": answer})
    return results


def _print_chats(results: list[list[ChatResult]]) -> None:
    prompt = cached = 0
    for number, turns in enumerate(results):
        for turn, item in enumerate(turns):
            prompt += item.prompt_tokens
            cached += item.cached_tokens
            print(  # noqa: T201
                f"chat {number} turn {turn}: {item.outcome} by "
                f"{item.served_by or '-'} through {item.entry}, "
                f"{item.tokens} tokens, first after "
                f"{item.first_token_s * 1000:.1f} ms, cached "
                f"{item.cached_tokens} of {item.prompt_tokens}"
                f"{' FAULT ' + item.fault if item.fault else ''}"
                f"{' ' + item.code if item.code else ''}"
            )
    share = cached / prompt if prompt else 0.0
    print(f"cache reuse: {cached} of {prompt} prompt tokens ({share:.0%})")  # noqa: T201


async def run(options: Options) -> None:
    """Runs the chats and the call, and prints what became of them.

    Raises:
        SystemExit: A request was not answered whole.
    """
    caller = Caller(
        options.routers.split(","), options.key, rng=random.Random(options.seed)
    )
    results = await asyncio.gather(
        *(_run_chat(caller, options, number) for number in range(options.chats))
    )
    _print_chats(results)
    is_good = all(
        item.outcome == "answered" and not item.fault
        for turns in results
        for item in turns
    )
    if options.service:
        call = await caller.call(
            options.service, options.operation, {"coil": f"c-{options.seed}"}
        )
        print(  # noqa: T201
            f"{options.service}/{options.operation}: {call.outcome} "
            f"{call.code} after {call.tries} tries: {json.dumps(call.body)}"
        )
        is_good = is_good and call.outcome == "answered"
    if not is_good:
        raise SystemExit(1)


if __name__ == "__main__":
    command.run(Options, run)
