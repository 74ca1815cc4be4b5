"""Stand-in for a client: discovers routers, streams chats, checks answers.

The tokens of an answer are a function of the request, so the client detects a
token that is missing, duplicated or part of the answer to another request.
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

_PERMITS_PER_READ = 2
_RETRY_AFTER_S_MAX = 2.0
_FAILED_ADDRESS_COOLDOWN_S = 2.0
_RETRY_DELAY_S = 0.1


class ChatResult(NamedTuple):
    """Result of a chat request after all retries.

    Attributes:
        outcome: `answered`, `not-run` or `unknown`.
        mismatch: First missing, duplicated or foreign token of the
            answer; empty when the answer was complete.
        code: Code of the last error; empty when the request was answered.
        served_by: Engine that answered.
        router_address: Router that the request was last sent to.
        tokens: Number of tokens received.
        first_token_s: Seconds to the first token; -1 when none arrived.
        total_s: Seconds from the first attempt to the end.
        resumptions: Number of times that the stream was resumed.
        attempts: Number of times that the request was sent.
        prompt_tokens: Prompt tokens that the engine reported.
        cached_tokens: Prompt tokens that the engine reported as served from
            its prefix cache.
    """

    outcome: str
    mismatch: str
    code: str
    served_by: str
    router_address: str
    tokens: int
    first_token_s: float
    total_s: float
    resumptions: int
    attempts: int
    prompt_tokens: int
    cached_tokens: int


class CallResult(NamedTuple):
    """Result of a call to a plain service after all retries.

    Attributes:
        outcome: `answered`, `not-run` or `unknown`.
        code: Code of the last error; empty when the call was answered.
        status: HTTP status of the last response; 0 without a response.
        body: Body of the last response.
        permit: Idempotency key of the call; empty for none.
        attempts: Number of attempts, also those without a reachable router.
    """

    outcome: str
    code: str
    status: int
    body: Any
    permit: str
    attempts: int


class _CachedAddresses(NamedTuple):
    addresses: list[str]
    expires: float


class _RequestFailedError(Exception):
    """A router or an engine answered a request with an error."""

    def __init__(self, body: dict[str, Any], status: int):
        error = body.get("error") or {}
        super().__init__(error.get("message", ""))
        self.code = error.get("code", "internal")
        self.outcome = error.get("outcome") or "unknown"
        self.retry_after = error.get("retry_after")
        self.permit = error.get("permit") or ""
        self.status = status


class _AnswerStream:
    """The part of one answer that has been received, over all connections."""

    def __init__(self, digest: str, tokens: int, start: float):
        self._digest = digest
        self._tokens = tokens
        self.start = start
        self.received = 0
        self.mismatch = ""
        self.last_event = ""
        self.first_token_s = -1.0
        self.usage: dict[str, int] = {}
        self.is_done = False

    def add(self, event: sse.Event, now: float) -> None:
        """Checks the tokens of an event and stores its id and usage.

        Raises:
            _RequestFailedError: The event is an error.
        """
        if event.name == "error":
            raise _RequestFailedError(json.loads(event.data), 200)
        if event.data == "[DONE]":
            self._check_length()
            return
        if event.id:
            self.last_event = event.id
        chunk = json.loads(event.data)
        self.usage = chunk.get("usage") or self.usage
        for choice in chunk["choices"]:
            self._add_text(choice["delta"].get("content") or "", now)

    def _add_text(self, text: str, now: float) -> None:
        for token in text.split():
            expected = f"{self._digest}-{self.received}"
            if token != expected and not self.mismatch:
                self.mismatch = f"token {token!r} instead of {expected!r}"
            if not self.received:
                self.first_token_s = now - self.start
            self.received += 1

    def _check_length(self) -> None:
        self.is_done = True
        if self.received != self._tokens and not self.mismatch:
            self.mismatch = f"{self.received} tokens instead of {self._tokens}"


class Caller:
    """Client of one account.

    It fetches the addresses to use from a router and caches them for the
    period that the router allows, fails over to the next address, resumes
    broken streams, and retries failed requests.
    """

    def __init__(
        self,
        seeds: list[str],
        key: str,
        *,
        request_timeout_s: float = 20.0,
        idle_timeout_s: float = 5.0,
        rng: random.Random | None = None,
        routes: dict[str, str] | None = None,
    ):
        """Initializes a client.

        Args:
            seeds: Addresses of routers from which address lists are fetched.
            key: API key of the account.
            request_timeout_s: Seconds for one request with its retries.
            idle_timeout_s: Seconds without data after which a stream is
                resumed.
            rng: Source of randomness.
            routes: Addresses to connect to instead, by advertised address.
        """
        self._seeds = list(seeds)
        self._key = key
        self._request_timeout_s = request_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._random = rng or random.Random()
        self._routes = routes or {}
        self._address_cache: dict[tuple[str, str], _CachedAddresses] = {}
        self._permits: list[str] = []
        self._failed_at: dict[str, float] = {}

    async def addresses(self, model: str = "", chat_id: str = "") -> list[str]:
        """Returns the router addresses for a chat, best first.

        Addresses that failed recently are left out unless all of them did.

        Raises:
            OSError: No router answered.
        """
        now = asyncio.get_running_loop().time()
        cached_addresses = self._address_cache.get((model, chat_id))
        if cached_addresses is None or cached_addresses.expires <= now:
            cached_addresses = await self._fetch_addresses(model, chat_id)
            self._address_cache[model, chat_id] = cached_addresses
        usable = [
            address
            for address in cached_addresses.addresses
            if not self._is_failed(address)
        ]
        return usable or cached_addresses.addresses

    def _is_failed(self, address: str) -> bool:
        now = asyncio.get_running_loop().time()
        return (
            self._failed_at.get(address, -_FAILED_ADDRESS_COOLDOWN_S)
            > now - _FAILED_ADDRESS_COOLDOWN_S
        )

    async def _fetch_addresses(
        self, model: str, chat_id: str
    ) -> _CachedAddresses:
        permits = 0 if self._permits else _PERMITS_PER_READ
        query = {"model": model, "chat": chat_id, "permits": permits}
        parameters = {name: value for name, value in query.items() if value}
        target = f"/v1/addresses?{urllib.parse.urlencode(parameters)}"
        answer = await self._get_from_any_router(target)
        self._permits += answer.get("permits", [])
        now = asyncio.get_running_loop().time()
        return _CachedAddresses(answer["addresses"], now + answer["keep_s"])

    async def _get_from_any_router(self, target: str) -> dict[str, Any]:
        candidates = self._random.sample(self._seeds, len(self._seeds))
        candidates.sort(key=self._is_failed)
        last_error = "no address"
        for address in candidates:
            try:
                reply = await http.request(
                    self._route(address),
                    "GET",
                    target,
                    self._headers(),
                    timeout=2.0,
                )
            except OSError as caught:
                self._mark_failed(address)
                last_error = str(caught)
                continue
            if reply.status == 200:
                return json.loads(reply.body)
            last_error = f"status {reply.status} {reply.body[:200]!r}"
        raise ConnectionError(last_error)

    def _route(self, address: str) -> str:
        return self._routes.get(address, address)

    def _mark_failed(self, address: str) -> None:
        self._failed_at[address] = asyncio.get_running_loop().time()

    def _evict_addresses(self, model: str, chat_id: str, address: str) -> None:
        self._mark_failed(address)
        self._address_cache.pop((model, chat_id), None)

    def _headers(self, **extra: str) -> dict[str, str]:
        headers = {"authorization": f"Bearer {self._key}"}
        for name, value in extra.items():
            if value:
                headers[name.replace("_", "-")] = value
        return headers

    async def chat(
        self,
        model: str,
        messages: list[dict[str, str]],
        *,
        chat_id: str = "",
        work_class: str = "",
        tokens: int = 16,
        request_id: str = "",
    ) -> ChatResult:
        """Sends a chat request and reads its answer, with retries.

        Args:
            model: Model that generates the answer.
            messages: Messages of the chat so far.
            chat_id: Identifier of the chat.
            work_class: Work class of the request.
            tokens: Length of the answer.
            request_id: Identifier of the request; random when empty.

        Returns:
            The result, whether or not the request was answered.
        """
        loop = asyncio.get_running_loop()
        request_id = request_id or f"r{self._random.getrandbits(64):016x}"
        digest = batching.messages_digest(messages)
        stream = _AnswerStream(digest, tokens, loop.time())
        headers = self._headers(
            x_request_id=request_id, x_class=work_class, x_chat_id=chat_id
        )
        body = json.dumps(
            {
                "model": model,
                "messages": messages,
                "max_tokens": tokens,
                "stream": True,
            }
        ).encode()
        chat_request = _ChatRequest(model, chat_id, headers, body, stream)
        await self._run_with_retries(chat_request)
        return self._result(chat_request, loop.time() - stream.start)

    async def _run_with_retries(self, chat_request: "_ChatRequest") -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._request_timeout_s
        while loop.time() < deadline:
            try:
                async with asyncio.timeout_at(deadline):
                    await self._send_chat(chat_request)
                chat_request.outcome = "answered"
                return
            except _RequestFailedError as failure:
                chat_request.code = failure.code
                chat_request.outcome = failure.outcome
                if not _is_retryable(failure):
                    return
                delay_s = failure.retry_after or _RETRY_DELAY_S
                self._evict_addresses(
                    chat_request.model,
                    chat_request.chat_id,
                    chat_request.router_address,
                )
            except (OSError, TimeoutError) as caught:
                chat_request.code = type(caught).__name__
                # No response arrived, so a request that was sent may have run.
                chat_request.outcome = (
                    "unknown" if chat_request.attempts else "not-run"
                )
                delay_s = _RETRY_DELAY_S
                self._evict_addresses(
                    chat_request.model,
                    chat_request.chat_id,
                    chat_request.router_address,
                )
            await asyncio.sleep(min(delay_s, _RETRY_AFTER_S_MAX))

    async def _send_chat(self, chat_request: "_ChatRequest") -> None:
        addresses = await self.addresses(
            chat_request.model, chat_request.chat_id
        )
        chat_request.router_address = addresses[0]
        chat_request.attempts += 1
        headers = dict(chat_request.headers)
        stream = chat_request.stream
        if stream.last_event:
            headers["last-event-id"] = stream.last_event
            chat_request.resumptions += 1
        async with http.exchange(
            self._route(chat_request.router_address),
            "POST",
            "/v1/chat/completions",
            headers,
            chat_request.body,
        ) as exchange:
            chat_request.served_by = exchange.headers.get(
                "x-served-by", chat_request.served_by
            )
            if exchange.status != 200:
                raise _RequestFailedError(
                    _parse_json(await exchange.read()), exchange.status
                )
            await self._read_stream(exchange, stream)

    async def _read_stream(
        self, exchange: http.Exchange, stream: _AnswerStream
    ) -> None:
        loop = asyncio.get_running_loop()
        events = sse.iter_events(
            _body_with_idle_timeout(exchange, self._idle_timeout_s)
        )
        async for event in events:
            stream.add(event, loop.time())
        if not stream.is_done:
            raise ConnectionResetError("stream ended before [DONE]")

    def _result(
        self, chat_request: "_ChatRequest", total_s: float
    ) -> ChatResult:
        stream = chat_request.stream
        return ChatResult(
            chat_request.outcome,
            stream.mismatch,
            "" if chat_request.outcome == "answered" else chat_request.code,
            chat_request.served_by,
            chat_request.router_address,
            stream.received,
            stream.first_token_s,
            total_s,
            chat_request.resumptions,
            chat_request.attempts,
            stream.usage.get("prompt_tokens", 0),
            stream.usage.get("cached_tokens", 0),
        )

    async def take_permit(self) -> str:
        """Removes and returns a permit for one call that is not repeatable.

        Returns:
            The permit; empty when the router issued none.

        Raises:
            OSError: No router answered.
        """
        if not self._permits:
            self._address_cache[("", "")] = await self._fetch_addresses("", "")
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
        """Calls a plain service, with retries.

        A call that is not repeatable keeps its permit as its idempotency key
        while an earlier attempt may have run. It takes another permit only
        after `not-run`.

        Args:
            service: Service.
            operation: Operation of the service.
            body: JSON value to send.
            repeatable: Whether the operation may run more than once.
            permit: First permit; fetched from a router when empty.

        Returns:
            The result, whether or not the call was answered.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._request_timeout_s
        target = f"/v1/services/{service}/{operation}"
        data = json.dumps(body).encode()
        result = CallResult("not-run", "", 0, None, permit, 0)
        while loop.time() < deadline:
            if not repeatable and not result.permit:
                result = await self._with_permit(result)
            result = await self._send_call(target, data, result, deadline)
            if result.outcome == "answered":
                return result
            if 400 <= result.status < 428:
                return result
            if result.outcome == "not-run" and result.status not in (0, 428):
                result = result._replace(permit="")
            await asyncio.sleep(_RETRY_DELAY_S)
        return result

    async def _with_permit(self, result: CallResult) -> CallResult:
        try:
            return result._replace(permit=await self.take_permit())
        except OSError:
            return result

    async def _send_call(
        self, target: str, data: bytes, result: CallResult, deadline: float
    ) -> CallResult:
        headers = self._headers(idempotency_key=result.permit)
        remaining_s = deadline - asyncio.get_running_loop().time()
        address = ""
        try:
            address = (await self.addresses())[0]
            reply = await http.request(
                self._route(address),
                "POST",
                target,
                headers,
                data,
                max(remaining_s, 0.1),
            )
        except OSError as caught:
            self._evict_addresses("", "", address)
            is_unsent = isinstance(caught, ConnectionRefusedError)
            outcome = result.outcome if is_unsent or not address else "unknown"
            return result._replace(
                outcome=outcome,
                code=type(caught).__name__,
                status=0,
                attempts=result.attempts + 1,
            )
        return _call_result(reply, result)


class _ChatRequest:
    """A chat request and the state of its attempts."""

    def __init__(
        self,
        model: str,
        chat_id: str,
        headers: dict[str, str],
        body: bytes,
        stream: _AnswerStream,
    ):
        self.model = model
        self.chat_id = chat_id
        self.headers = headers
        self.body = body
        self.stream = stream
        self.outcome = "not-run"
        self.code = ""
        self.router_address = ""
        self.served_by = ""
        self.resumptions = 0
        self.attempts = 0


def _is_retryable(failure: _RequestFailedError) -> bool:
    if failure.status in (400, 401, 403, 404, 413, 422):
        return False
    return failure.outcome in ("not-run", "unknown")


def _parse_json(data: bytes) -> dict[str, Any]:
    try:
        return json.loads(data)
    except ValueError:
        return {}


async def _body_with_idle_timeout(
    exchange: http.Exchange, idle_timeout_s: float
) -> Any:
    chunks = exchange.body_chunks()
    while True:
        try:
            async with asyncio.timeout(idle_timeout_s):
                yield await anext(chunks)
        except StopAsyncIteration:
            return


def _call_result(reply: http.Reply, result: CallResult) -> CallResult:
    body = _parse_json(reply.body)
    attempts = result.attempts + 1
    if reply.status == 200:
        return result._replace(
            outcome="answered",
            code="",
            status=200,
            body=body,
            attempts=attempts,
        )
    failure = _RequestFailedError(body, reply.status)
    return CallResult(
        failure.outcome,
        failure.code,
        reply.status,
        body,
        failure.permit or result.permit,
        attempts,
    )


class Options(NamedTuple):
    """Options of the command.

    Attributes:
        routers: Comma-separated addresses of routers.
        key: API key of the account.
        model: Model that generates the answers.
        chats: Number of concurrent chats.
        turns: Number of requests per chat.
        tokens: Number of tokens per answer.
        work_class: Work class of the requests.
        service: Service to call once; empty for none.
        operation: Operation of the service that is not repeatable.
        seed: Seed of the random numbers and part of the chat identifiers.
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
    caller: Caller, options: Options, chat_number: int
) -> list[ChatResult]:
    results = []
    messages: list[dict[str, str]] = []
    for turn in range(options.turns):
        text = " ".join(f"c{chat_number}t{turn}w{word}" for word in range(200))
        messages.append({"role": "user", "content": text})
        result = await caller.chat(
            options.model,
            messages,
            chat_id=f"chat-{options.seed}-{chat_number}",
            work_class=options.work_class,
            tokens=options.tokens,
        )
        results.append(result)
        answer = batching.messages_digest(messages)
        messages.append({"role": "assistant", "content": answer})
    return results


def _print_chats(results: list[list[ChatResult]]) -> None:
    prompt = cached = 0
    for chat_number, turns in enumerate(results):
        for turn, result in enumerate(turns):
            prompt += result.prompt_tokens
            cached += result.cached_tokens
            print(  # noqa: T201
                f"chat {chat_number} turn {turn}: {result.outcome} by "
                f"{result.served_by or '-'} through {result.router_address}, "
                f"{result.tokens} tokens, first after "
                f"{result.first_token_s * 1000:.1f} ms, cached "
                f"{result.cached_tokens} of {result.prompt_tokens}"
                f"{' FAULT ' + result.mismatch if result.mismatch else ''}"
                f"{' ' + result.code if result.code else ''}"
            )
    share = cached / prompt if prompt else 0.0
    print(f"cache reuse: {cached} of {prompt} prompt tokens ({share:.0%})")  # noqa: T201


async def run(options: Options) -> None:
    """Runs the chats and the call, and prints their results.

    Raises:
        SystemExit: A request did not get its complete answer.
    """
    caller = Caller(
        options.routers.split(","), options.key, rng=random.Random(options.seed)
    )
    results = await asyncio.gather(
        *(
            _run_chat(caller, options, chat_number)
            for chat_number in range(options.chats)
        )
    )
    _print_chats(results)
    succeeded = all(
        result.outcome == "answered" and not result.mismatch
        for turns in results
        for result in turns
    )
    if options.service:
        call = await caller.call(
            options.service, options.operation, {"coil": f"c-{options.seed}"}
        )
        print(  # noqa: T201
            f"{options.service}/{options.operation}: {call.outcome} "
            f"{call.code} after {call.attempts} attempts: "
            f"{json.dumps(call.body)}"
        )
        succeeded = succeeded and call.outcome == "answered"
    if not succeeded:
        raise SystemExit(1)


if __name__ == "__main__":
    command.run(Options, run)
