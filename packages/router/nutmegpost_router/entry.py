"""The part of a router that callers talk to."""

import asyncio
from collections.abc import Awaitable, Callable
import json
import time
from typing import NamedTuple
import urllib.parse
import uuid

from nutmegpost_core import burn
from nutmegpost_core import chat
from nutmegpost_core import configuration
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import quarantine
from nutmegpost_core import sse
from nutmegpost_core import wire
from nutmegpost_router import http_server
from nutmegpost_router import log
from nutmegpost_router import metrics
from nutmegpost_router import relay
from nutmegpost_router import services
from nutmegpost_router import view

__all__ = ["Entry", "EntryPorts"]

ADDRESS_KEEP_S = 30
# Longest time that an answer may take; the request may run on after it.
REQUEST_LIMIT_S = 3_600.0
PERMITS_MAX = 16
REQUEST_ID_LENGTH_MAX = 64
CHAT_ID_LENGTH_MAX = 128
QUERY_FIELDS_MAX = 8
_CHAT_PATH = "/v1/chat/completions"
_SERVICE_PREFIX = "/v1/services/"
_ANSWERED = ("X-Outcome", errors.Outcome.ANSWERED.value)


class EntryPorts(NamedTuple):
    """What the entry needs of the rest of the router.

    Attributes:
        view: What this router knows.
        relay: What following a chat request needs.
        addresses: Gives the routers to use for an engine, best first.
        issue: Issues a permit to an account.
        call: Calls a plain service: account, service, operation, body,
            permit or None, age in seconds.
        doubt: Makes the error of a call with a permit honest.
        taking: Whether new requests are taken.
        metrics: The metrics.
        burn: The service-level counts.
    """

    view: view.View
    relay: relay.Ports
    addresses: Callable[[str, str], list[str]]
    issue: Callable[[str], str]
    call: Callable[
        [str, str, str, bytes, str | None, float],
        Awaitable[services.ServiceAnswer],
    ]
    doubt: Callable[[errors.RequestError, str], errors.RequestError]
    taking: Callable[[], bool]
    metrics: metrics.Metrics
    burn: burn.BurnCounter


class _Chat(NamedTuple):
    """A chat request that was checked."""

    submit: wire.Submit
    work_class: configuration.WorkClass
    is_streamed: bool
    began: float


class _Timing:
    """When the parts of an answer came."""

    def __init__(self, began: float):
        self._began = began
        self._last = began
        self.last_event = b""
        self.first_token_s: float | None = None
        self.worst_gap_s = 0.0

    def frames(self, now: float) -> float:
        """Takes the arrival of frames; returns the time since the last."""
        gap = now - self._last
        if self.first_token_s is None:
            self.first_token_s = now - self._began
        else:
            self.worst_gap_s = max(self.worst_gap_s, gap)
        self._last = now
        return gap


class Entry:
    """Answers the calls of the public port."""

    def __init__(self, ports: EntryPorts):
        self._ports = ports
        self._open = 0

    @property
    def open(self) -> int:
        """Requests that are being answered."""
        return self._open

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Answers one request.

        Raises:
            errors.RequestError: The request ends with this error.
        """
        self._open += 1
        try:
            await self._route(exchange)
        except errors.RequestError as caught:
            self._doubt(exchange.request, caught)
            log.emit(
                events.REQUEST_REFUSED, code=caught.code, reason=str(caught)
            )
            self._ports.metrics.request_ended(
                "", caught.outcome.value, caught.code
            )
            raise
        finally:
            self._open -= 1

    def _doubt(
        self, request: http_server.Request, error: errors.RequestError
    ) -> None:
        """Makes the outcome unknown where a copy may run elsewhere."""
        key = request.headers.get("idempotency-key")
        if key and request.target.startswith(_SERVICE_PREFIX):
            self._ports.doubt(error, key)

    async def _route(self, exchange: http_server.Exchange) -> None:
        request = exchange.request
        path, _, query = request.target.partition("?")
        if path == "/v1/health":
            exchange.send(self._health())
            return
        account = self._ports.view.directory.authenticate(
            request.headers.get("authorization", "")
        )
        if path == "/v1/addresses" and request.method == "GET":
            exchange.send(self._addresses(account, query))
            return
        if request.method != "POST":
            raise errors.InvalidRequestError("no such call", 404)
        if path != _CHAT_PATH and not path.startswith(_SERVICE_PREFIX):
            raise errors.InvalidRequestError("no such call", 404)
        # A call with a permit goes on to the holder of the permit: another
        # router may run a copy of it, so a refusal here would not be true.
        has_permit = "idempotency-key" in request.headers
        if not self._ports.taking() and (path == _CHAT_PATH or not has_permit):
            raise self._stopping()
        if path == _CHAT_PATH:
            await self._chat(exchange, account)
        else:
            await self._service(exchange, account, path)

    def _health(self) -> http_server.Response:
        taking = self._ports.taking()
        body = json.dumps({"taking": taking}).encode()
        return _json(200 if taking else 503, body)

    def _stopping(self) -> errors.StoppingError:
        others = ", ".join(self._ports.addresses("", ""))
        return errors.StoppingError(
            f"this router takes no request; use {others}", retry_after=1.0
        )

    def _addresses(
        self, account: configuration.Account, query: str
    ) -> http_server.Response:
        fields = _query(query)
        model = fields.get("model", "")
        chat_name = fields.get("chat", "")
        if model:
            self._ports.view.directory.model(model)
        if chat_name:
            chat.validate_name(chat_name, "chat", CHAT_ID_LENGTH_MAX)
        chat_name = f"{account['name']}/{chat_name}"
        count = _permit_count(fields.get("permits", "0"))
        body = {
            "addresses": self._ports.addresses(model, chat_name),
            "keep_s": ADDRESS_KEEP_S,
            "permits": [
                self._ports.issue(account["name"]) for _ in range(count)
            ],
        }
        return _json(200, json.dumps(body).encode())

    # Chats

    async def _chat(
        self,
        exchange: http_server.Exchange,
        account: configuration.Account,
    ) -> None:
        request = self._read_chat(exchange.request, account)
        timing = _Timing(request.began)
        work = asyncio.ensure_future(self._answer(exchange, request, timing))
        gone = asyncio.ensure_future(exchange.disconnected.wait())
        name = request.work_class["name"]
        now = asyncio.get_running_loop().time
        try:
            await asyncio.wait(
                {work, gone},
                timeout=REQUEST_LIMIT_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not work.done() and not gone.done():
                raise errors.AttemptLostError("the answer took too long")
            if not work.done():
                self._ports.metrics.request_ended(name, "unknown", "gone")
                return
            work.result()
        except errors.RequestError as caught:
            self._failed(exchange, request, caught)
            return
        finally:
            work.cancel()
            gone.cancel()
        self._ports.metrics.request_ended(name, "answered", "")
        self._ports.burn.record_answer(
            name,
            timing.first_token_s or 0.0,
            timing.worst_gap_s,
            now() - request.began,
            now(),
            model=request.submit.model,
        )

    def _read_chat(
        self, request: http_server.Request, account: configuration.Account
    ) -> _Chat:
        headers = request.headers
        request_id = headers.get("x-request-id") or uuid.uuid4().hex
        chat.validate_name(request_id, "X-Request-Id", REQUEST_ID_LENGTH_MAX)
        parsed = chat.parse(request.body, request_id)
        # Copies of one request without a chat meet at one router, which sees
        # that they are the same.
        digest = quarantine.digest(account["name"], parsed.content)
        chat_id = headers.get("x-chat-id") or digest.hex()
        chat.validate_name(chat_id, "X-Chat-Id", CHAT_ID_LENGTH_MAX)
        directory = self._ports.view.directory
        work_class = directory.work_class(account, headers.get("x-class", ""))
        model = directory.model(parsed.request["model"])
        last_event = headers.get("last-event-id", "")
        engine = sse.EventId.parse(last_event).engine if last_event else ""
        submit = wire.Submit(
            request_id=request_id,
            account=account["name"],
            work_class=work_class["name"],
            model=model["name"],
            chat=chat_id,
            body=parsed.body,
            engine=engine,
            last_event=last_event,
            digest=digest,
        )
        streamed = parsed.request.get("stream", False)
        began = asyncio.get_running_loop().time()
        return _Chat(submit, work_class, streamed, began)

    async def _answer(
        self,
        exchange: http_server.Exchange,
        request: _Chat,
        timing: _Timing,
    ) -> None:
        frames_seen: list[wire.Frames] = []
        async for frames in relay.follow(self._ports.relay, request.submit):
            self._measure(request, frames, timing)
            if request.is_streamed:
                _write(exchange, request, frames)
                await exchange.drain()
            else:
                frames_seen.append(frames)
        if not request.is_streamed:
            _send_whole(exchange, request, frames_seen)

    def _measure(
        self, request: _Chat, frames: wire.Frames, timing: _Timing
    ) -> None:
        if frames.events:
            self._measure_events(request, frames, timing)
        if frames.is_last:
            self._count_usage(request, timing.last_event)

    def _measure_events(
        self, request: _Chat, frames: wire.Frames, timing: _Timing
    ) -> None:
        timing.last_event = frames.events[-1]
        name = request.work_class["name"]
        is_first = timing.first_token_s is None
        gap = timing.frames(asyncio.get_running_loop().time())
        the_metrics = self._ports.metrics
        if is_first:
            the_metrics.first_token(name, gap)
        the_metrics.tokens_relayed(name, gap, len(frames.events))

    def _count_usage(self, request: _Chat, event: bytes) -> None:
        try:
            usage = json.loads(event).get("usage") or {}
            self._ports.metrics.prompt_tokens_used(
                request.submit.model,
                int(usage.get("prompt_tokens", 0)),
                int(usage.get("cached_tokens", 0)),
            )
        except (ValueError, AttributeError, TypeError):
            self._ports.metrics.frame_dropped("no usage")

    def _failed(
        self,
        exchange: http_server.Exchange,
        request: _Chat,
        error: errors.RequestError,
    ) -> None:
        name = request.work_class["name"]
        submit = request.submit
        log.emit(
            events.REQUEST_FAILED,
            request=submit.request_id,
            account=submit.account,
            code=error.code,
            reason=str(error),
        )
        self._ports.metrics.request_ended(name, error.outcome.value, error.code)
        if burn.uses_error_budget(error.status):
            self._ports.burn.record_failure(
                name,
                error.outcome,
                asyncio.get_running_loop().time(),
                model=submit.model,
            )
        response = http_server.error_response(error)
        if not exchange.started:
            head = ("X-Request-Id", submit.request_id)
            exchange.send(response._replace(headers=[*response.headers, head]))
            return
        exchange.write(sse.error_event(response.body))
        exchange.finish([("X-Outcome", error.outcome.value)])

    # Plain services

    async def _service(
        self,
        exchange: http_server.Exchange,
        account: configuration.Account,
        path: str,
    ) -> None:
        began = time.monotonic()
        parts = path.removeprefix(_SERVICE_PREFIX).split("/")
        if len(parts) != 2:
            raise errors.UnknownNameError("expected SERVICE/OPERATION")
        service, operation = parts
        request = exchange.request
        answer = await self._ports.call(
            account["name"],
            service,
            operation,
            request.body,
            request.headers.get("idempotency-key"),
            time.monotonic() - began,
        )
        self._ports.metrics.request_ended(
            service, answer.outcome.value, answer.code
        )
        exchange.send(_service_response(answer))


def _service_response(answer: services.ServiceAnswer) -> http_server.Response:
    if answer.outcome is errors.Outcome.ANSWERED:
        return _json(answer.status, answer.body)
    error = errors.PermitError(
        answer.body.decode(errors="replace"), answer.fresh_permit or None
    )
    error.status = answer.status
    error.code = answer.code
    error.outcome = answer.outcome
    error.retry_after = answer.retry_after or None
    return http_server.error_response(error)


def _json(status: int, body: bytes) -> http_server.Response:
    headers = [("Content-Type", "application/json"), _ANSWERED]
    return http_server.Response(status, headers, body)


def _query(query: str) -> dict[str, str]:
    try:
        pairs = urllib.parse.parse_qsl(
            query, max_num_fields=QUERY_FIELDS_MAX, strict_parsing=bool(query)
        )
    except ValueError as caught:
        raise errors.InvalidRequestError(f"query: {caught}") from caught
    return dict(pairs)


def _permit_count(text: str) -> int:
    if not text.isdigit() or int(text) > PERMITS_MAX:
        raise errors.InvalidRequestError(
            f"permits: expected 0 to {PERMITS_MAX}"
        )
    return int(text)


def _head(request: _Chat, engine: str, kind: str) -> list[tuple[str, str]]:
    return [
        ("Content-Type", kind),
        ("X-Request-Id", request.submit.request_id),
        ("X-Served-By", engine),
    ]


def _write(
    exchange: http_server.Exchange, request: _Chat, frames: wire.Frames
) -> None:
    if not exchange.started:
        exchange.start(200, _head(request, frames.engine, "text/event-stream"))
    prefix = b"id: %s/%d/" % (frames.engine.encode(), frames.attempt)
    parts = [
        b"%s%d\ndata: %s\n\n" % (prefix, sequence, data)
        for sequence, data in enumerate(frames.events, frames.first_sequence)
    ]
    if frames.is_last:
        parts.append(sse.format_event("", sse.DONE))
    if parts:
        exchange.write(b"".join(parts))
    if frames.is_last:
        exchange.finish([_ANSWERED])


def _send_whole(
    exchange: http_server.Exchange, request: _Chat, seen: list[wire.Frames]
) -> None:
    body = chat.assemble([data for frames in seen for data in frames.events])
    head = _head(request, seen[-1].engine, "application/json")
    headers = [*head, _ANSWERED]
    exchange.send(http_server.Response(200, headers, body))
