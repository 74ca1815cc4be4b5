"""The public HTTP API of a router: authentication, chats, service calls."""

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

ADDRESS_TTL_S = 30
# Only the answer is abandoned at this limit; the request may still run.
ANSWER_TIMEOUT_S = 3_600.0
PERMIT_COUNT_MAX = 16
REQUEST_ID_LENGTH_MAX = 64
CHAT_ID_LENGTH_MAX = 128
QUERY_FIELD_COUNT_MAX = 8
_CHAT_PATH = "/v1/chat/completions"
_SERVICE_PREFIX = "/v1/services/"
_OUTCOME_ANSWERED = ("X-Outcome", errors.Outcome.ANSWERED.value)


class EntryPorts(NamedTuple):
    """Dependencies of the entry on the rest of the router.

    Attributes:
        view: The configuration, the endpoints and their owners.
        relay: Dependencies of relaying a chat request.
        router_addresses: Returns the public addresses of the live routers for
            a model and "account/chat", the owner of the chat's engine first;
            both may be empty.
        issue_permit: Issues a permit to an account and returns it.
        call_service: Calls a plain service; takes the account, service,
            operation, body, permit or None, and age in seconds.
        mark_outcome_unknown: Sets the outcome of an error to unknown if the
            permit that came with the call is authentic; returns the error.
        accepts_requests: Returns whether new requests are accepted.
        metrics: Metrics of the router.
        burn: Counters of the service-level error budgets.
    """

    view: view.View
    relay: relay.Ports
    router_addresses: Callable[[str, str], list[str]]
    issue_permit: Callable[[str], str]
    call_service: Callable[
        [str, str, str, bytes, str | None, float],
        Awaitable[services.ServiceAnswer],
    ]
    mark_outcome_unknown: Callable[
        [errors.RequestError, str], errors.RequestError
    ]
    accepts_requests: Callable[[], bool]
    metrics: metrics.Metrics
    burn: burn.BurnCounter


class _ChatRequest(NamedTuple):
    """A validated chat request.

    Attributes:
        submit: The request as sent to the owner of its engine.
        work_class: Class of the request.
        is_streamed: Whether the caller asked for a streamed answer.
        started_at: When the request was accepted, loop time.
    """

    submit: wire.Submit
    work_class: configuration.WorkClass
    is_streamed: bool
    started_at: float


class _StreamTiming:
    """Arrival times of the events of an answer.

    Attributes:
        last_event: Data of the last event; empty before the first.
        first_token_s: Time from the request to its first events, seconds;
            None before they arrive.
        worst_gap_s: Longest time between successive arrivals, seconds.
    """

    def __init__(self, started_at: float):
        self._started_at = started_at
        self._last_arrival = started_at
        self.last_event = b""
        self.first_token_s: float | None = None
        self.worst_gap_s = 0.0

    def record_arrival(self, now: float) -> float:
        """Records an arrival and returns the seconds since the previous one."""
        gap = now - self._last_arrival
        if self.first_token_s is None:
            self.first_token_s = now - self._started_at
        else:
            self.worst_gap_s = max(self.worst_gap_s, gap)
        self._last_arrival = now
        return gap


class Entry:
    """Serves the requests on the public port."""

    def __init__(self, ports: EntryPorts):
        self._ports = ports
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Number of requests that are being answered."""
        return self._in_flight

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Serves one request.

        Raises:
            errors.RequestError: The request ends with this error.
        """
        self._in_flight += 1
        try:
            await self._route(exchange)
        except errors.RequestError as caught:
            self._mark_outcome_unknown(exchange.request, caught)
            log.emit(
                events.REQUEST_REFUSED, code=caught.code, reason=str(caught)
            )
            self._ports.metrics.request_ended(
                "", caught.outcome.value, caught.code
            )
            raise
        finally:
            self._in_flight -= 1

    def _mark_outcome_unknown(
        self, request: http_server.Request, error: errors.RequestError
    ) -> None:
        """Sets the outcome to unknown if a copy may run at another router."""
        key = request.headers.get("idempotency-key")
        if key and request.target.startswith(_SERVICE_PREFIX):
            self._ports.mark_outcome_unknown(error, key)

    async def _route(self, exchange: http_server.Exchange) -> None:
        request = exchange.request
        path, _, query = request.target.partition("?")
        if path == "/v1/health":
            exchange.send(self._health_response())
            return
        account = self._ports.view.directory.authenticate(
            request.headers.get("authorization", "")
        )
        if path == "/v1/addresses" and request.method == "GET":
            exchange.send(self._addresses_response(account, query))
            return
        if request.method != "POST":
            raise errors.InvalidRequestError("no such call", 404)
        if path != _CHAT_PATH and not path.startswith(_SERVICE_PREFIX):
            raise errors.InvalidRequestError("no such call", 404)
        # A call with a permit is always forwarded to the permit's holder:
        # another router may run a copy of the call, so a refusal here could
        # wrongly report that it did not run.
        has_permit = "idempotency-key" in request.headers
        if not self._ports.accepts_requests() and (
            path == _CHAT_PATH or not has_permit
        ):
            raise self._stopping_error()
        if path == _CHAT_PATH:
            await self._handle_chat(exchange, account)
        else:
            await self._handle_service_call(exchange, account, path)

    def _health_response(self) -> http_server.Response:
        accepting = self._ports.accepts_requests()
        body = json.dumps({"taking": accepting}).encode()
        return _json_response(200 if accepting else 503, body)

    def _stopping_error(self) -> errors.StoppingError:
        addresses = ", ".join(self._ports.router_addresses("", ""))
        return errors.StoppingError(
            f"this router takes no request; use {addresses}", retry_after=1.0
        )

    def _addresses_response(
        self, account: configuration.Account, query: str
    ) -> http_server.Response:
        fields = _parse_query(query)
        model = fields.get("model", "")
        chat_id = fields.get("chat", "")
        if model:
            self._ports.view.directory.model(model)
        if chat_id:
            chat.validate_name(chat_id, "chat", CHAT_ID_LENGTH_MAX)
        chat_name = f"{account['name']}/{chat_id}"
        count = _parse_permit_count(fields.get("permits", "0"))
        body = {
            "addresses": self._ports.router_addresses(model, chat_name),
            "keep_s": ADDRESS_TTL_S,
            "permits": [
                self._ports.issue_permit(account["name"]) for _ in range(count)
            ],
        }
        return _json_response(200, json.dumps(body).encode())

    # Chats

    async def _handle_chat(
        self,
        exchange: http_server.Exchange,
        account: configuration.Account,
    ) -> None:
        request = self._parse_chat_request(exchange.request, account)
        timing = _StreamTiming(request.started_at)
        answer_task = asyncio.ensure_future(
            self._relay_answer(exchange, request, timing)
        )
        disconnect_task = asyncio.ensure_future(exchange.disconnected.wait())
        class_name = request.work_class["name"]
        loop_time = asyncio.get_running_loop().time
        try:
            await asyncio.wait(
                {answer_task, disconnect_task},
                timeout=ANSWER_TIMEOUT_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not answer_task.done() and not disconnect_task.done():
                raise errors.AttemptLostError("the answer took too long")
            if not answer_task.done():
                self._ports.metrics.request_ended(class_name, "unknown", "gone")
                return
            answer_task.result()
        except errors.RequestError as caught:
            self._report_failure(exchange, request, caught)
            return
        finally:
            answer_task.cancel()
            disconnect_task.cancel()
        self._ports.metrics.request_ended(class_name, "answered", "")
        self._ports.burn.record_answer(
            class_name,
            timing.first_token_s or 0.0,
            timing.worst_gap_s,
            loop_time() - request.started_at,
            loop_time(),
            model=request.submit.model,
        )

    def _parse_chat_request(
        self, request: http_server.Request, account: configuration.Account
    ) -> _ChatRequest:
        headers = request.headers
        request_id = headers.get("x-request-id") or uuid.uuid4().hex
        chat.validate_name(request_id, "X-Request-Id", REQUEST_ID_LENGTH_MAX)
        parsed = chat.parse(request.body, request_id)
        # Without a chat id, the digest of the content stands in for it, so
        # that copies of a request go to the same router, which detects them.
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
        is_streamed = parsed.request.get("stream", False)
        started_at = asyncio.get_running_loop().time()
        return _ChatRequest(submit, work_class, is_streamed, started_at)

    async def _relay_answer(
        self,
        exchange: http_server.Exchange,
        request: _ChatRequest,
        timing: _StreamTiming,
    ) -> None:
        batches: list[wire.Frames] = []
        async for frames in relay.stream_answer(
            self._ports.relay, request.submit
        ):
            self._record_frames(request, frames, timing)
            if request.is_streamed:
                _write_frames(exchange, request, frames)
                await exchange.drain()
            else:
                batches.append(frames)
        if not request.is_streamed:
            _send_complete(exchange, request, batches)

    def _record_frames(
        self, request: _ChatRequest, frames: wire.Frames, timing: _StreamTiming
    ) -> None:
        if frames.events:
            self._record_events(request, frames, timing)
        if frames.is_last:
            self._record_usage(request, timing.last_event)

    def _record_events(
        self, request: _ChatRequest, frames: wire.Frames, timing: _StreamTiming
    ) -> None:
        timing.last_event = frames.events[-1]
        class_name = request.work_class["name"]
        is_first = timing.first_token_s is None
        gap = timing.record_arrival(asyncio.get_running_loop().time())
        router_metrics = self._ports.metrics
        if is_first:
            router_metrics.first_token(class_name, gap)
        router_metrics.tokens_relayed(class_name, gap, len(frames.events))

    def _record_usage(self, request: _ChatRequest, event: bytes) -> None:
        try:
            usage = json.loads(event).get("usage") or {}
            self._ports.metrics.prompt_tokens_used(
                request.submit.model,
                int(usage.get("prompt_tokens", 0)),
                int(usage.get("cached_tokens", 0)),
            )
        except (ValueError, AttributeError, TypeError):
            self._ports.metrics.frame_dropped("no usage")

    def _report_failure(
        self,
        exchange: http_server.Exchange,
        request: _ChatRequest,
        error: errors.RequestError,
    ) -> None:
        class_name = request.work_class["name"]
        submit = request.submit
        log.emit(
            events.REQUEST_FAILED,
            request=submit.request_id,
            account=submit.account,
            code=error.code,
            reason=str(error),
        )
        self._ports.metrics.request_ended(
            class_name, error.outcome.value, error.code
        )
        if burn.uses_error_budget(error.status):
            self._ports.burn.record_failure(
                class_name,
                error.outcome,
                asyncio.get_running_loop().time(),
                model=submit.model,
            )
        response = http_server.error_response(error)
        if not exchange.started:
            id_header = ("X-Request-Id", submit.request_id)
            exchange.send(
                response._replace(headers=[*response.headers, id_header])
            )
            return
        exchange.write(sse.error_event(response.body))
        exchange.finish([("X-Outcome", error.outcome.value)])

    # Plain services

    async def _handle_service_call(
        self,
        exchange: http_server.Exchange,
        account: configuration.Account,
        path: str,
    ) -> None:
        started_at = time.monotonic()
        parts = path.removeprefix(_SERVICE_PREFIX).split("/")
        if len(parts) != 2:
            raise errors.UnknownNameError("expected SERVICE/OPERATION")
        service, operation = parts
        request = exchange.request
        answer = await self._ports.call_service(
            account["name"],
            service,
            operation,
            request.body,
            request.headers.get("idempotency-key"),
            time.monotonic() - started_at,
        )
        self._ports.metrics.request_ended(
            service, answer.outcome.value, answer.code
        )
        exchange.send(_service_response(answer))


def _service_response(answer: services.ServiceAnswer) -> http_server.Response:
    if answer.outcome is errors.Outcome.ANSWERED:
        return _json_response(answer.status, answer.body)
    error = errors.PermitError(
        answer.body.decode(errors="replace"), answer.fresh_permit or None
    )
    error.status = answer.status
    error.code = answer.code
    error.outcome = answer.outcome
    error.retry_after = answer.retry_after or None
    return http_server.error_response(error)


def _json_response(status: int, body: bytes) -> http_server.Response:
    headers = [("Content-Type", "application/json"), _OUTCOME_ANSWERED]
    return http_server.Response(status, headers, body)


def _parse_query(query: str) -> dict[str, str]:
    try:
        pairs = urllib.parse.parse_qsl(
            query,
            max_num_fields=QUERY_FIELD_COUNT_MAX,
            strict_parsing=bool(query),
        )
    except ValueError as caught:
        raise errors.InvalidRequestError(f"query: {caught}") from caught
    return dict(pairs)


def _parse_permit_count(text: str) -> int:
    if not text.isdigit() or int(text) > PERMIT_COUNT_MAX:
        raise errors.InvalidRequestError(
            f"permits: expected 0 to {PERMIT_COUNT_MAX}"
        )
    return int(text)


def _response_headers(
    request: _ChatRequest, engine: str, content_type: str
) -> list[tuple[str, str]]:
    return [
        ("Content-Type", content_type),
        ("X-Request-Id", request.submit.request_id),
        ("X-Served-By", engine),
    ]


def _write_frames(
    exchange: http_server.Exchange, request: _ChatRequest, frames: wire.Frames
) -> None:
    if not exchange.started:
        exchange.start(
            200, _response_headers(request, frames.engine, "text/event-stream")
        )
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
        exchange.finish([_OUTCOME_ANSWERED])


def _send_complete(
    exchange: http_server.Exchange,
    request: _ChatRequest,
    batches: list[wire.Frames],
) -> None:
    body = chat.assemble([data for frames in batches for data in frames.events])
    base_headers = _response_headers(
        request, batches[-1].engine, "application/json"
    )
    headers = [*base_headers, _OUTCOME_ANSWERED]
    exchange.send(http_server.Response(200, headers, body))
