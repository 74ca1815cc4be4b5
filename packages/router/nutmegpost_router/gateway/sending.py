"""One attempt of a request at an endpoint."""

import asyncio
import enum
import functools
from typing import NamedTuple

from nutmegpost_core import calls
from nutmegpost_core import catalog
from nutmegpost_core import dispatch
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import roster
from nutmegpost_core import timeouts
from nutmegpost_core import vms
from nutmegpost_router import http_client
from nutmegpost_router import http_server
from nutmegpost_router import log
from nutmegpost_router.gateway import crash_guard
from nutmegpost_router.gateway import event_relay
from nutmegpost_router.gateway import held_attempts
from nutmegpost_router.gateway import metrics
from nutmegpost_router.gateway import pending_request
from nutmegpost_router.gateway import ports
from nutmegpost_router.gateway import replacements
from nutmegpost_router.gateway import state
from nutmegpost_router.gateway import stream_origins

__all__ = ["AttemptEnd", "AttemptResult", "Sender"]

# Longest idle time of a pooled connection that is reused. The endpoint may have
# closed an idle connection; a request that must not be repeated is sent only on
# a connection that was used very recently, or on a new one.
_IDLE_LIMIT_REPEATABLE_S = 4.0
_IDLE_LIMIT_ONCE_S = 0.5
# Interval at which a request that waits for its answer checks whether the
# endpoint is silent.
_SILENCE_POLL_S = 0.25
# Interval at which an attempt that another one should replace tries to reserve
# that one. A try costs as much as the choice of an endpoint.
_REPLACEMENT_POLL_S = 0.5
# Version of a stream that can go on nowhere, as what began it is not known.
_NO_SOFTWARE = ""
# Time to read the body of a rejection, to reuse the connection.
_REJECTION_BODY_TIMEOUT_S = 0.1


class AttemptEnd(enum.StrEnum):
    """How an attempt ended.

    Attributes:
        ANSWERED: The caller has the complete response.
        NOT_RUN: The endpoint did not run the request.
        FAILED: The endpoint responded with a server error.
        LOST: The response did not arrive or was incomplete.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    FAILED = "failed"
    LOST = "lost"


class AttemptResult(NamedTuple):
    """Result of one attempt.

    Attributes:
        end: How the attempt ended.
        reason: Why it failed; empty if it was answered.
        response: Failure response of the endpoint, or None.
        is_unreachable: Whether no connection to the endpoint could be made.
        is_refused: Whether the connection was refused.
        is_withdrawn: Whether the request was not sent, as the attempt before
            goes on, or the zone of the endpoint was evacuated.
        held: The attempt, if it can go on should its replacement fail at
            once; None otherwise.
    """

    end: AttemptEnd
    reason: str = ""
    response: http_server.Response | None = None
    is_unreachable: bool = False
    is_refused: bool = False
    is_withdrawn: bool = False
    held: held_attempts.HeldAttempt | None = None


class Sender:
    """Sends requests to endpoints and relays the responses."""

    def __init__(
        self,
        local_state: state.State,
        protocols: ports.Ports,
        client: http_client.Client,
        counters: metrics.GatewayMetrics,
        origins: stream_origins.OriginExchange,
        next_attempts: replacements.Replacements,
        crashes: crash_guard.CrashGuard,
    ):
        """Creates a sender.

        Args:
            local_state: State of the gateway.
            protocols: Protocol implementations of the deployment.
            client: Connections to endpoints.
            counters: Metrics.
            origins: Is told what began each stream.
            next_attempts: Reserves what replaces an attempt.
            crashes: Is told which requests endpoints begin to answer.
        """
        self._replacements = next_attempts
        self._state = local_state
        self._origins = origins
        self._crashes = crashes
        self._protocols = protocols
        self._client = client
        self._counters = counters

    async def send(
        self,
        pending: pending_request.PendingRequest,
        load: pending_request.InFlightLoad,
        held: held_attempts.HeldAttempt | None,
    ) -> AttemptResult:
        """Makes one attempt and relays its response to the caller.

        Args:
            pending: The request; its attempt count is incremented.
            load: Load of the attempt, at the chosen endpoint; is released.
            held: The attempt that this one replaces, or None. It is ended soon
                unless the endpoint rejects this one at once.

        Returns:
            How the attempt ended. Unless it ended as ANSWERED, the response to
            the caller is not complete.
        """
        call = pending.call
        now = _now()
        choice = load.choice
        endpoint = choice.endpoint
        pending.attempts += 1
        pending.is_kept = False
        log.emit(
            events.REQUEST_SENT,
            request=call.identity,
            attempt=pending.attempts,
            route=call.route.name,
            endpoint=endpoint.name,
            software=endpoint.software,
            resumes=call.resumed_attempt,
            after_event=pending.last_event_id,
            parts=call.part_names,
            running=choice.load.running,
            bound=choice.bound,
            cached=choice.cached_tokens,
            reread=choice.duplicate_prefill_tokens,
            fetched=choice.source.tokens if choice.source else 0,
            cost_ms=round(choice.cost * 1000),
            left_ms=round((call.deadline - now) * 1000),
            loads_age_ms=round(self._state.loads.age_s(now) * 1000),
            load_age_ms=_age_ms(
                self._state.loads.endpoint_age_s(endpoint.name, now)
            ),
            endpoints_revision=str(self._state.roster.revision),
            configuration=self._state.catalog.version
            if self._state.catalog
            else 0,
        )
        result: AttemptResult | None = None
        try:
            result = await self._exchange(pending, choice, load, held)
        finally:
            if result is None or result.held is None:
                load.release()
            if held is not None:
                # An endpoint that may have run the request takes it over.
                held.settle(
                    result is not None and result.end is AttemptEnd.NOT_RUN
                )
        return result

    async def go_on(
        self,
        pending: pending_request.PendingRequest,
        held: held_attempts.HeldAttempt,
    ) -> AttemptResult:
        """Goes on with an attempt whose replacement failed at once.

        Args:
            pending: The request.
            held: The attempt, which is open.

        Returns:
            How the attempt ended, as `send` does.
        """
        stream = held.release()
        pending.is_kept = False
        result: AttemptResult | None = None
        try:
            result = await self._relay_to_end(pending, stream)
        except BaseException:
            stream.response.abort()
            raise
        finally:
            if result is None or result.held is None:
                stream.load.release()
        return result

    async def _exchange(
        self,
        pending: pending_request.PendingRequest,
        choice: dispatch.Choice,
        load: pending_request.InFlightLoad,
        held: held_attempts.HeldAttempt | None,
    ) -> AttemptResult:
        call = pending.call
        remaining_s = call.deadline - _now()
        request = pending.exchange.request
        fields = self._protocols.endpoint_protocol.request_fields(
            ports.OutboundRequest(
                call,
                [
                    field
                    for field in request.fields
                    if field[0] != ports.RELAY_FIELD
                ],
                choice.endpoint.name,
                remaining_s,
                pending.last_event_id,
                self._fetch_address(choice),
            )
        )
        repeatable = call.route.repeatable
        late_after_s = timeout_s = timeouts.first_byte_timeout_s(
            call, remaining_s, self._replacements.are_possible(pending)
        )
        if repeatable:
            timeout_s = min(
                timeout_s, timeouts.silent_first_byte_timeout_s(call)
            )

        def extend() -> float:
            """Waits longer unless another attempt replaces a late one."""
            left_s = call.deadline - _now()
            until_late_s = late_after_s - (_now() - load.started)
            is_late = until_late_s <= 0 or self._is_silent(load.endpoint)
            if is_late:
                if self._ends_now(pending, load):
                    return 0.0
                return min(left_s, _REPLACEMENT_POLL_S)
            return min(left_s, until_late_s, _SILENCE_POLL_S)

        address = vms.parse_address(choice.endpoint.address)
        # All attempts have the identity of the request. The endpoint of an
        # earlier one may answer it twice, the second time late.
        is_address_tried = address in pending.tried_addresses
        pending.tried_addresses.add(address)
        try:
            stream = await self._client.stream(
                address,
                request.method,
                request.target,
                fields,
                request.body,
                timeout_s,
                fresh=is_address_tried,
                idle_limit_s=_IDLE_LIMIT_REPEATABLE_S
                if repeatable
                else _IDLE_LIMIT_ONCE_S,
                extend=extend,
                may_send=functools.partial(
                    self._may_send, choice.endpoint, held
                ),
            )
            load.record_sign()
        except http_client.WithdrawnError as caught:
            reason = self._withheld_reason(pending, choice.endpoint)
            return AttemptResult(
                AttemptEnd.NOT_RUN, reason or str(caught), is_withdrawn=True
            )
        except http_client.ConnectError as caught:
            return AttemptResult(
                AttemptEnd.NOT_RUN,
                str(caught),
                is_unreachable=True,
                is_refused=caught.refused,
            )
        except http_client.ExchangeError as caught:
            return AttemptResult(AttemptEnd.LOST, str(caught))
        try:
            return await self._read(pending, stream, choice, load, held)
        except BaseException:
            stream.abort()
            raise

    def _fetch_address(self, choice: dispatch.Choice) -> str:
        """Returns the address to fetch cached tokens from; empty for none."""
        source = choice.speculative_source
        if choice.source is not None:
            source = choice.source.endpoint
        if source is None or not self._state.may_fetch(source):
            return ""
        return source.address

    def _may_send(
        self,
        endpoint: roster.Endpoint,
        held: held_attempts.HeldAttempt | None,
    ) -> bool:
        """Returns whether to send a request now that there is a connection.

        The zone may have been evacuated while the connection was made.

        Args:
            endpoint: The endpoint.
            held: The attempt that the request replaces, or None; it is ended
                soon if the request is sent.
        """
        return self._state.may_send(endpoint) and (
            held is None or held.yield_to_next()
        )

    def _withheld_reason(
        self, pending: pending_request.PendingRequest, endpoint: roster.Endpoint
    ) -> str:
        """Logs and returns why a zone got no request; empty if it may."""
        if self._state.may_send(endpoint):
            return ""
        log.emit(
            events.REQUEST_WITHHELD,
            request=pending.call.identity,
            attempt=pending.attempts,
            endpoint=endpoint.name,
            zone=endpoint.zone,
        )
        return f"zone {endpoint.zone} is evacuated"

    def _is_silent(self, endpoint: str) -> bool:
        return self._state.liveness.is_silent(endpoint, _now())

    def _ends_now(
        self,
        pending: pending_request.PendingRequest,
        load: pending_request.InFlightLoad,
    ) -> bool:
        """Returns whether an attempt that brings nothing is to end.

        It ends at the deadline, or as another attempt replaces it.
        """
        return _now() >= pending.call.deadline or (
            self._replacements.try_reserve(pending, load.endpoint)
        )

    async def _read(
        self,
        pending: pending_request.PendingRequest,
        stream: http_client.Stream,
        choice: dispatch.Choice,
        load: pending_request.InFlightLoad,
        held: held_attempts.HeldAttempt | None,
    ) -> AttemptResult:
        call = pending.call
        head = self._protocols.endpoint_protocol.read_response_head(
            call, stream.status, stream.fields
        )
        if held is not None:
            held.settle(head.verdict is ports.Verdict.NOT_RUN)
        is_copy = not (head.names_request or stream.is_first)
        if head.verdict is ports.Verdict.FOREIGN or is_copy:
            stream.abort()
            return AttemptResult(AttemptEnd.LOST, "answer to another request")
        if head.load is not None:
            estimate = self._state.loads.total(load.endpoint).running
            self._counters.load_reported(head.load - estimate)
            self._state.loads.record_observation(
                load.endpoint, head.load, _now()
            )
        self._record_notices(call, choice.endpoint, head)
        # A rejection may come from another instance and names no limit then.
        if head.rate_limit is not None or head.verdict is ports.Verdict.RUN:
            self._state.record_rate_limit(load.endpoint, head.rate_limit)
        if (
            call.route.kind is catalog.RequestKind.STREAM
            and stream.status == 200
        ):
            return await self._relay(pending, stream, head, load)
        if head.verdict is ports.Verdict.NOT_RUN:
            return await self._read_rejection(stream, head)
        try:
            body = await stream.read_all(max(0.0, call.deadline - _now()))
        except http_client.ExchangeError as caught:
            stream.abort()
            return AttemptResult(AttemptEnd.LOST, str(caught))
        stream.close_with_idle_timeout(head.idle_s)
        response = http_server.Response(stream.status, head.fields, body)
        if stream.status >= 500:
            return AttemptResult(
                AttemptEnd.FAILED, f"failed with {stream.status}", response
            )
        if pending.exchange.started:
            return AttemptResult(
                AttemptEnd.LOST, f"status {stream.status} after a resume"
            )
        self._state.record_duration(call, load.endpoint, _now() - load.started)
        pending.exchange.send(response)
        return AttemptResult(AttemptEnd.ANSWERED)

    def _record_notices(
        self,
        call: calls.Call,
        endpoint: roster.Endpoint,
        head: ports.ResponseHead,
    ) -> None:
        """Records what the endpoint says of itself in a response."""
        if not self._state.record_speed(endpoint, head.speed):
            self._counters.speed_refused()
        if head.is_leaving:
            self._counters.notice_received("leaving")
            self._state.record_leaving(endpoint)
        if head.cold_text:
            self._state.cold.record(endpoint, head.cold_text)
        if head.pause_text:
            self._counters.notice_received("pause")
            self._state.record_pause(endpoint, head.pause_text, call.identity)

    async def _read_rejection(
        self, stream: http_client.Stream, head: ports.ResponseHead
    ) -> AttemptResult:
        """Ends an attempt that was rejected; does not wait for a slow body."""
        try:
            await stream.read_all(_REJECTION_BODY_TIMEOUT_S)
            stream.close_with_idle_timeout(head.idle_s)
        except http_client.ExchangeError:
            stream.abort()
        return AttemptResult(
            AttemptEnd.NOT_RUN, f"rejected with {stream.status}"
        )

    async def _relay(
        self,
        pending: pending_request.PendingRequest,
        stream: http_client.Stream,
        head: ports.ResponseHead,
        load: pending_request.InFlightLoad,
    ) -> AttemptResult:
        relay = event_relay.EventRelay(
            pending,
            stream.status,
            head.fields,
            load,
            lambda: self._begin_answer(pending, load),
        )
        return await self._relay_to_end(
            pending, held_attempts.OpenStream(stream, head, relay, load)
        )

    async def _relay_to_end(
        self,
        pending: pending_request.PendingRequest,
        stream: held_attempts.OpenStream,
    ) -> AttemptResult:
        """Relays a stream from where it is to its end.

        Returns:
            How the attempt ended. It is held if it ended for a replacement.
        """
        response, head, relay, load = stream
        try:
            if not relay.event_count:
                await self._relay_first_event(pending, response, relay, load)
                if relay.event_count:
                    load.finish_prefill()
                    self._state.record_duration(
                        pending.call, load.endpoint, _now() - load.started
                    )
                    self._state.record_prefilled(
                        pending.call, load.choice, _now() - load.started
                    )
            await self._relay_rest(pending, response, relay, load)
        except errors.PeerError as caught:
            held: held_attempts.HeldAttempt | None = None
            if pending.replacement is not None:
                held = held_attempts.HeldAttempt(stream)
            else:
                response.abort()
                pending.end_if_caller_is_late()
            return AttemptResult(AttemptEnd.LOST, str(caught), held=held)
        if relay.is_within_event or not pending.exchange.started:
            response.abort()
            return AttemptResult(
                AttemptEnd.LOST, "the stream ended within an event"
            )
        pending.exchange.finish()
        response.close_with_idle_timeout(head.idle_s)
        return AttemptResult(AttemptEnd.ANSWERED)

    def _begin_answer(
        self,
        pending: pending_request.PendingRequest,
        load: pending_request.InFlightLoad,
    ) -> None:
        """Prepares for the first event of an attempt."""
        if pending.on_first_event is not None:
            pending.on_first_event(load)
        # An endpoint that a request crashes does not begin to answer it.
        self._crashes.record_answer(pending.fingerprint, _now())
        self._record_origin(pending, load.choice.endpoint)

    def _record_origin(
        self,
        pending: pending_request.PendingRequest,
        endpoint: roster.Endpoint,
    ) -> None:
        """Records the endpoint that sends the first event of an attempt."""
        if pending.software is None:
            pending.software = endpoint.software
            if self._state.versions.uncertain([endpoint], _now()):
                pending.software = _NO_SOFTWARE
        if pending.call.route.resumable:
            self._origins.record(pending.call, pending.software)

    async def _relay_first_event(
        self,
        pending: pending_request.PendingRequest,
        stream: http_client.Stream,
        relay: event_relay.EventRelay,
        load: pending_request.InFlightLoad,
    ) -> None:
        """Relays data until the first new event or the end of the stream.

        Raises:
            errors.PeerError: The stream failed.
        """
        call = pending.call
        until = _now() + timeouts.first_byte_timeout_s(
            call,
            max(0.0, call.deadline - _now()),
            self._replacements.are_possible(pending),
        )
        while not relay.event_count:
            try:
                data = await stream.read(max(0.0, until - _now()))
            except http_client.ReadTimeoutError:
                if self._ends_now(pending, load):
                    raise
                until = min(call.deadline, _now() + _REPLACEMENT_POLL_S)
                continue
            if not data:
                return
            relay.add(data)
        self._counters.first_event(call.route.name, _now() - call.received)

    async def _relay_rest(
        self,
        pending: pending_request.PendingRequest,
        stream: http_client.Stream,
        relay: event_relay.EventRelay,
        load: pending_request.InFlightLoad,
    ) -> None:
        """Relays data until the end of the stream.

        Raises:
            errors.PeerError: The stream failed, or was silent for too long and
                goes on elsewhere.
        """
        call = pending.call
        silent_after: int | None = None
        while True:
            remaining_s = max(0.0, call.deadline - _now())
            timeout_s = timeouts.next_event_timeout_s(
                call, remaining_s, self._replacements.are_possible(pending)
            )
            if silent_after == relay.event_count:
                timeout_s = min(remaining_s, _REPLACEMENT_POLL_S)
            else:
                silent_after = None
                pending.is_kept = False
            try:
                if await stream.consume(relay.add, timeout_s):
                    return
            except http_client.ReadTimeoutError:
                if silent_after in (None, relay.event_count):
                    if self._ends_now(pending, load):
                        raise
                    silent_after = relay.event_count
            await pending.drain()


def _age_ms(age_s: float | None) -> int:
    """Returns an age in milliseconds; -1 for None."""
    return -1 if age_s is None else round(age_s * 1000)


def _now() -> float:
    return asyncio.get_running_loop().time()
