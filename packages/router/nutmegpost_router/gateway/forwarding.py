"""Request handling: admission, attempts at endpoints, and the response.

A request that must not be repeated is retried only while it is certain that it
has not run. A repeatable request is retried, and a resumable stream continues
at another endpoint, within the retry budget that all gateways share.
"""

import asyncio
from typing import NamedTuple, NoReturn

from nutmegpost_core import calls
from nutmegpost_core import catalog
from nutmegpost_core import dispatch
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import timeouts
from nutmegpost_router import http_client
from nutmegpost_router import http_server
from nutmegpost_router import log
from nutmegpost_router.gateway import crash_guard
from nutmegpost_router.gateway import hedges
from nutmegpost_router.gateway import held_attempts
from nutmegpost_router.gateway import links
from nutmegpost_router.gateway import load_queries
from nutmegpost_router.gateway import loads
from nutmegpost_router.gateway import losses
from nutmegpost_router.gateway import metrics
from nutmegpost_router.gateway import peer_relay
from nutmegpost_router.gateway import pending_request
from nutmegpost_router.gateway import ports
from nutmegpost_router.gateway import repeats
from nutmegpost_router.gateway import replacements
from nutmegpost_router.gateway import sending
from nutmegpost_router.gateway import state
from nutmegpost_router.gateway import stream_origins
from nutmegpost_router.gateway import waiting_requests

__all__ = ["Forwarder"]

# Weight of a lost response in outlier detection. A lost response is always
# abnormal; a failure response often is not.
_LOST_FAILURE_WEIGHT = 2.0
# Interval at which a waiting request checks whether a prefill has finished.
_PREFILL_POLL_S = 0.02
# Bad Gateway: the endpoint failed before the deadline.
_STATUS_BAD_GATEWAY = 502
# Lowest status of an answer that is no success.
_STATUS_FAILURE = 300
# Retry-After values by reason. Endpoints and configurations are read twice a
# second; a full endpoint has a free slot after one or two responses.
_RETRY_AFTER_NO_ENDPOINT_S = 0.5
_RETRY_AFTER_FULL_S = 0.3
_RETRY_AFTER_STARTING_S = 0.3
_RETRY_AFTER_CRASHING_S = 30.0
_RETRY_AFTER_UNKNOWN_ORIGIN_S = 30.0
# Callers that are refused at once must not return at once.
_RETRY_AFTER_EVACUATED_S = 1.0
_RETRY_JITTER_EVACUATED_S = 1.0
# Other gateways take requests at once.
_RETRY_AFTER_STOPPING_S = 0.1


class _Stop(NamedTuple):
    """Times of a planned stop, monotonic, seconds.

    Attributes:
        late_from: Time from which callers know that the gateway stops.
        end: Time at which open requests are ended.
    """

    late_from: float
    end: float


class Forwarder:
    """Forwards the requests of callers to endpoints."""

    def __init__(
        self,
        local_state: state.State,
        protocols: ports.Ports,
        client: http_client.Client,
        counters: metrics.GatewayMetrics,
        load_exchange: loads.LoadExchange,
        queries: load_queries.LoadQueries,
        crashes: crash_guard.CrashGuard,
        origins: stream_origins.OriginExchange,
        endpoint_links: links.EndpointLinks,
        relay: peer_relay.PeerRelay,
    ):
        """Creates a forwarder with no request in flight.

        Args:
            local_state: State of the gateway.
            protocols: Protocol implementations of the deployment.
            client: Connections to endpoints.
            counters: Metrics.
            load_exchange: Sends down endpoints to the peers.
            queries: Asks for the loads of endpoints.
            crashes: Refuses requests that crash endpoints.
            origins: Knows what began the streams that callers take up.
            endpoint_links: Knows whether any endpoint can be reached.
            relay: Sends requests through peers.
        """
        self._state = local_state
        self._protocols = protocols
        self._counters = counters
        self._queries = queries
        self._crashes = crashes
        self._origins = origins
        self._links = endpoint_links
        self._relay = relay
        self._repeats = repeats.Repeats(local_state, counters)
        self._replacements = replacements.Replacements(
            local_state, self._repeats, crashes, endpoint_links, relay.has_peer
        )
        self._sender = sending.Sender(
            local_state,
            protocols,
            client,
            counters,
            origins,
            self._replacements,
            crashes,
        )
        self._waiting = waiting_requests.WaitingRequests(local_state, counters)
        self._hedges = hedges.Hedges(
            local_state,
            self._sender,
            self._repeats,
            crashes,
            endpoint_links,
            queries,
            counters,
            self._waiting.has_waiting,
        )
        self._losses = losses.Losses(
            local_state, client, load_exchange, crashes, endpoint_links
        )
        self._stop: _Stop | None = None
        # The requests that are being forwarded, and what ends them.
        self._open: dict[pending_request.PendingRequest, asyncio.Timeout] = {}

    def begin_stop(self, late_from: float, end: float) -> None:
        """Refuses late requests that may not end within the grace period.

        Args:
            late_from: Monotonic time from which a request is late, seconds.
            end: Monotonic time of the end of the grace period, seconds.
        """
        self._stop = _Stop(late_from, end)
        self._waiting.begin_stop()

    def end_requests(self) -> None:
        """Ends all requests whose answers have not begun, with an answer."""
        now = _now()
        for pending, scope in self._open.items():
            if not pending.exchange.started:
                scope.reschedule(now)

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Handles one request of a caller until its response is complete."""
        exchange.cancel_on_disconnect()
        now = _now()
        metadata: ports.RequestMetadata | None = None
        call: calls.Call | None = None
        try:
            metadata = self._protocols.caller_protocol.parse_request(
                exchange.request
            )
            call = self._admit(metadata, exchange.request, now)
            await self._forward(exchange, call)
        except errors.RequestError as caught:
            identity = metadata.identity if metadata else ""
            self._send_error(exchange, identity, call, caught)
        except asyncio.CancelledError:
            log.emit(
                events.CALLER_GONE,
                request=metadata.identity if metadata else "",
                after_ms=round((_now() - now) * 1000),
                begun=exchange.started,
                reason=exchange.loss_reason or "the process ends",
            )
            raise

    def _admit(
        self,
        metadata: ports.RequestMetadata,
        request: http_server.Request,
        now: float,
    ) -> calls.Call:
        active_catalog = self._state.catalog
        if active_catalog is None:
            raise errors.UnavailableError(
                "no configuration is known yet",
                retry_after=_RETRY_AFTER_STARTING_S,
            )
        route = active_catalog.route(metadata.host, request.target)
        if route is None:
            raise errors.UnknownNameError("no route for this host and path")
        account: catalog.Account | None = None
        if active_catalog.needs_key and not route.is_public:
            account = active_catalog.account(metadata.key)
            if account is None:
                raise errors.AccountError("unknown key")
        timeout_s = route.timeout_s
        if metadata.timeout_s is not None:
            timeout_s = min(timeout_s, metadata.timeout_s)
        rank = route.rank
        if account is not None and account.rank is not None:
            rank = account.rank
        return calls.Call(
            metadata.identity,
            route,
            catalog.choose_service(route, metadata.identity),
            account.name if account else "",
            rank,
            now + timeout_s,
            now,
            metadata.resume_after,
            metadata.hints,
            metadata.resumed_attempt,
        )

    async def _forward(
        self, exchange: http_server.Exchange, call: calls.Call
    ) -> None:
        request = exchange.request
        fingerprint = pending_request.fingerprint(
            call, request.target, request.body
        )
        refusal = self._crashes.admit(fingerprint, call.received)
        if refusal:
            raise errors.UnavailableError(
                refusal, retry_after=_RETRY_AFTER_CRASHING_S
            )
        if self._is_too_late(call):
            raise errors.UnavailableError(
                "the gateway stops before the deadline",
                retry_after=_RETRY_AFTER_STOPPING_S,
            )
        pending = pending_request.PendingRequest(exchange, call, fingerprint)
        try:
            async with asyncio.timeout(None) as scope:
                self._open[pending] = scope
                await self._attempt_until_answered(pending)
        except TimeoutError:
            if not scope.expired():
                raise
            pending.runs += pending.is_in_flight
            pending.reason = "the gateway stops"
            self._give_up(pending)
        finally:
            pending.release_replacement()
            del self._open[pending]

    def _is_too_late(self, call: calls.Call) -> bool:
        """Returns whether a planned stop may end a request that comes now."""
        return (
            self._stop is not None
            and call.received >= self._stop.late_from
            and call.deadline > self._stop.end
        )

    async def _attempt_until_answered(
        self, pending: pending_request.PendingRequest
    ) -> None:
        request = pending.exchange.request
        call = pending.call
        if call.resume_after and call.route.resumable:
            call, pending.software = await self._find_origin(call)
            pending.call = call
        pending.is_relayed = self._relay.is_relayed(request, call.identity)
        if not pending.is_relayed:
            # The gateway that relays a request has counted it.
            self._repeats.record_request(call)
            self._hedges.record_request(call.service)
        held: held_attempts.HeldAttempt | None = None
        try:
            while True:
                load = self._replacements.take(pending)
                goes_on = load is None and held is not None and held.is_open
                if self._links.is_isolated and not goes_on:
                    await self._send_through_peers(pending)
                    return
                choice, result = await self._attempt(pending, load, held)
                held = result.held or held
                await self._handle_result(pending, choice, result)
                if result.end is sending.AttemptEnd.ANSWERED:
                    return
        finally:
            if held is not None:
                held.end()

    async def _attempt(
        self,
        pending: pending_request.PendingRequest,
        load: pending_request.InFlightLoad | None,
        held: held_attempts.HeldAttempt | None,
    ) -> tuple[dispatch.Choice, sending.AttemptResult]:
        """Makes an attempt, or goes on with the one before.

        Args:
            pending: The request.
            load: Load of the attempt, if its endpoint is reserved.
            held: The attempt before, if it was given up for another one.

        Returns:
            The endpoint of the attempt, and how it ended.

        Raises:
            errors.RequestError: The request ends without another attempt.
        """
        if load is None and held is not None and held.is_open:
            choice = held.stream.load.choice
            self._record_kept(pending, choice)
            pending.is_in_flight = True
            result = await self._sender.go_on(pending, held)
        else:
            if load is None:
                choice = await self._choose_after_prefill(pending)
                load = pending_request.InFlightLoad(
                    self._state, pending.call, choice
                )
            choice = load.choice
            pending.is_in_flight = True
            is_answered = False
            try:
                if self._hedges.are_possible(pending, load):
                    choice, result = await self._hedges.send(
                        pending, load, self._handle_result
                    )
                else:
                    result = await self._sender.send(pending, load, held)
                is_answered = result.end is sending.AttemptEnd.ANSWERED
            finally:
                self._waiting.record_end(
                    pending.call, load.started, is_answered
                )
        pending.is_in_flight = False
        return choice, result

    async def _handle_result(
        self,
        pending: pending_request.PendingRequest,
        choice: dispatch.Choice,
        result: sending.AttemptResult,
    ) -> None:
        """Records how an attempt ended, and checks its endpoint if it failed.

        Raises:
            errors.RequestError: The request ends without another attempt.
        """
        if result.is_withdrawn:
            pending.reason = result.reason
            # What the budget has paid for was not sent.
            pending.is_repeat_paid = pending.has_arrived
            return
        if result.is_unreachable:
            await self._losses.handle_unreachable(
                choice.endpoint, result.is_refused
            )
        self._record_result(pending, choice, result)
        # The connection of a held attempt shows that its endpoint is up.
        if result.end is sending.AttemptEnd.LOST and result.held is None:
            await self._losses.check_for_crash(pending, choice.endpoint)

    def _record_kept(
        self, pending: pending_request.PendingRequest, choice: dispatch.Choice
    ) -> None:
        """Records that an attempt goes on that had been given up."""
        pending.runs -= 1
        pending.is_repeat_paid = False
        self._replacements.log_kept(
            pending, choice.endpoint.name, pending.reason
        )

    async def _send_through_peers(
        self, pending: pending_request.PendingRequest
    ) -> None:
        """Sends a request through a peer, as no endpoint can be reached.

        Args:
            pending: The request.

        Raises:
            errors.RequestError: The request ends without an answer.
        """
        call = pending.call
        if pending.exchange.started or not pending.may_run_again:
            self._give_up(pending)
        if pending.is_relayed:
            raise errors.UnavailableError(
                "no endpoint can be reached",
                retry_after=_RETRY_AFTER_NO_ENDPOINT_S,
            )
        pending.is_in_flight = True
        result = await self._relay.send(
            pending, lambda: self._may_send_again(pending)
        )
        pending.is_in_flight = False
        self._counters.sent_through_peer(result.end)
        if result.end is sending.AttemptEnd.ANSWERED:
            self._counters.request_ended(call.route.name, "answered")
            return
        pending.reason = result.reason
        if result.end is not sending.AttemptEnd.NOT_RUN:
            pending.runs += 1
        elif not pending.runs:
            raise errors.UnavailableError(
                f"no endpoint can be reached, and no peer helps: "
                f"{result.reason}",
                retry_after=_RETRY_AFTER_NO_ENDPOINT_S,
            )
        self._give_up(pending)

    async def _find_origin(self, call: calls.Call) -> tuple[calls.Call, str]:
        """Returns a take-up at the service at which its stream goes on.

        Returns:
            The call, and the only software version that can run it.

        Raises:
            errors.UnavailableError: It is not known what began the stream.
        """
        origin = await self._origins.find(call)
        if origin is None:
            retry_after_s = _RETRY_AFTER_UNKNOWN_ORIGIN_S
            if not self._state.caches_synced:
                retry_after_s = _RETRY_AFTER_STARTING_S
            raise errors.UnavailableError(
                "it is not known which software began the stream",
                retry_after=retry_after_s,
            )
        return call._replace(service=origin.service), origin.software

    async def _choose_after_prefill(
        self, pending: pending_request.PendingRequest
    ) -> dispatch.Choice:
        """Chooses an endpoint, waiting to avoid a duplicate prefill.

        A long prompt waits until the cache estimates are synced, and while the
        chosen endpoint prefills the same prompt for another request.
        """
        call = pending.call
        until = _now()
        if not pending.is_repeat_paid:
            until += timeouts.prefill_wait_s(call)
        while timeouts.has_long_prompt(call) and not self._state.caches_synced:
            if _now() >= until:
                break
            await asyncio.sleep(_PREFILL_POLL_S)
        await self._queries.learn(
            lambda: self._state.choose(
                call, pending.tried_endpoints, pending.software
            )
        )
        if self._waiting.is_enabled:
            choice = await self._admit_attempt(pending)
        else:
            choice = self._choose_endpoint(pending)
        if self._state.is_prefilling(call, choice.endpoint.name):
            choice = await self._choose_again(pending, choice, until)
        # The window of the budget takes repeats to arrive soon after this.
        if pending.has_arrived and not self._may_send_again(pending):
            pending.reason += "; no retry is left in the budget"
            self._give_up(pending)
        return choice

    def _may_send_again(self, pending: pending_request.PendingRequest) -> bool:
        """Returns whether the budget has paid for a repeat, or pays for it."""
        if pending.is_repeat_paid:
            pending.is_repeat_paid = False
            return True
        return self._repeats.try_spend(pending.call, pending.attempts + 1)

    async def _choose_again(
        self,
        pending: pending_request.PendingRequest,
        choice: dispatch.Choice,
        until: float,
    ) -> dispatch.Choice:
        """Waits while an endpoint prefills the same prompt, then chooses.

        Args:
            pending: The request.
            choice: The endpoint that prefills.
            until: Monotonic time up to which to wait, seconds.

        Raises:
            errors.RequestError: The request ends without another attempt.
        """
        call = pending.call
        while _now() < until:
            await asyncio.sleep(_PREFILL_POLL_S)
            if not self._state.is_prefilling(call, choice.endpoint.name):
                break
        # The wait may have used up the limit of the endpoint.
        current = self._state.choose(
            call, pending.tried_endpoints, pending.software
        )
        if current is None and self._state.is_closed(choice.endpoint.name):
            self._end_without_endpoint(pending)
        return current or choice

    def _choose_endpoint(
        self, pending: pending_request.PendingRequest
    ) -> dispatch.Choice:
        """Chooses the endpoint of the next attempt.

        Raises:
            errors.RequestError: The request ends without another attempt.
        """
        call = pending.call
        now = _now()
        if pending.attempts and self._is_exhausted(pending, now):
            self._give_up(pending)
        choice = self._state.choose(
            call, pending.tried_endpoints, pending.software
        )
        if choice is None:
            self._end_without_endpoint(pending)
        if replacements.is_full(choice):
            if pending.runs or pending.exchange.started:
                self._give_up(pending)
            raise errors.UnavailableError(
                "all endpoints are full", retry_after=_RETRY_AFTER_FULL_S
            )
        return choice

    async def _admit_attempt(
        self, pending: pending_request.PendingRequest
    ) -> dispatch.Choice:
        """Chooses the endpoint of the next attempt, and waits for its turn.

        Raises:
            errors.RequestError: The request ends without another attempt.
        """
        if pending.attempts and self._is_exhausted(pending, _now()):
            self._give_up(pending)
        admission = await self._waiting.admit(pending)
        refusal = admission.refusal
        if admission.choice is not None:
            return admission.choice
        if refusal is None:
            self._end_without_endpoint(pending)
        if pending.runs or pending.exchange.started:
            self._give_up(pending)
        raise errors.UnavailableError(
            f"not enough capacity: {refusal.reason}",
            retry_after=refusal.retry_after_s,
        )

    def _end_without_endpoint(
        self, pending: pending_request.PendingRequest
    ) -> NoReturn:
        """Ends a request that no endpoint may take.

        Raises:
            errors.RequestError: Always.
        """
        is_unsent = not (pending.runs or pending.exchange.started)
        if is_unsent and self._state.is_evacuated(pending.call.service):
            raise errors.UnavailableError(
                "the zones of all endpoints are evacuated",
                retry_after=_RETRY_AFTER_EVACUATED_S
                + _RETRY_JITTER_EVACUATED_S * self._state.rng.random(),
            )
        if pending.attempts:
            self._give_up(pending)
        return_after_s = self._state.return_after_s(pending.call.service)
        if return_after_s is not None:
            raise errors.UnavailableError(
                "all endpoints are at their limits or asked for a pause",
                retry_after=return_after_s,
            )
        raise errors.UnavailableError(
            "no endpoint may take the request",
            retry_after=_RETRY_AFTER_NO_ENDPOINT_S,
        )

    def _is_exhausted(
        self, pending: pending_request.PendingRequest, now: float
    ) -> bool:
        call = pending.call
        return (
            not pending.may_run_again
            or pending.attempts >= replacements.attempts_max(call.route)
            or call.deadline - now < replacements.ATTEMPT_TIME_MIN_S
        )

    def _give_up(self, pending: pending_request.PendingRequest) -> NoReturn:
        """Ends a request that was sent and has no complete response.

        Raises:
            errors.RequestError: Always; the failure response of an endpoint
                is relayed if there is one and no event was relayed.
        """
        if pending.exchange.started:
            raise errors.AttemptLostError(pending.reason)
        if pending.failure_response is not None:
            raise _EndpointFailureError(pending.failure_response)
        if not pending.runs:
            raise errors.UnavailableError(
                pending.reason, retry_after=_RETRY_AFTER_FULL_S
            )
        if pending.call.deadline - _now() < replacements.ATTEMPT_TIME_MIN_S:
            raise errors.AttemptLostError(pending.reason)
        raise errors.AttemptLostError(
            pending.reason, status=_STATUS_BAD_GATEWAY
        )

    def _record_result(
        self,
        pending: pending_request.PendingRequest,
        choice: dispatch.Choice,
        result: sending.AttemptResult,
    ) -> None:
        name = choice.endpoint.name
        now = _now()
        call = pending.call
        elapsed_ms = round((now - call.received) * 1000)
        if result.end is not sending.AttemptEnd.NOT_RUN:
            pending.runs += 1
        if not result.is_unreachable:
            pending.has_arrived = True
        pending.tried_endpoints.add(name)
        if result.end is sending.AttemptEnd.ANSWERED:
            self._state.outliers.record_result(name, True, now)
            if pending.exchange.status < _STATUS_FAILURE:
                self._crashes.record_answer(pending.fingerprint, now)
            self._counters.request_ended(call.route.name, "answered")
            log.emit(
                events.REQUEST_ANSWERED,
                request=call.identity,
                route=call.route.name,
                endpoint=name,
                status=pending.exchange.status,
                attempts=pending.attempts,
                after_ms=elapsed_ms,
            )
            return
        pending.reason = f"{name}: {result.reason}"
        if result.response is not None:
            pending.failure_response = result.response
        weight = (
            _LOST_FAILURE_WEIGHT
            if result.end is sending.AttemptEnd.LOST
            else 1.0
        )
        if not self._links.is_isolated and self._state.outliers.record_result(
            name, False, now, weight
        ):
            log.emit(events.ENGINE_EJECTED, engine=name)
        if (
            result.end is sending.AttemptEnd.LOST
            and not pending.has_relayed_event
        ):
            self._losses.record(name, pending, now)
        self._counters.attempt_failed(result.end)
        log.emit(
            events.ATTEMPT_FAILED,
            request=call.identity,
            attempt=pending.attempts,
            endpoint=name,
            end=result.end,
            reason=result.reason,
            after_ms=elapsed_ms,
            begun=pending.has_relayed_event,
            last_event=pending.last_event_id,
        )

    def _send_error(
        self,
        exchange: http_server.Exchange,
        identity: str,
        call: calls.Call | None,
        error: errors.RequestError,
    ) -> None:
        route = call.route.name if call else ""
        version = self._state.catalog.version if self._state.catalog else 0
        log.emit(
            events.REQUEST_ENDED,
            request=identity,
            route=route,
            status=error.status,
            outcome=error.outcome,
            reason=str(error),
            configuration=version,
            begun=exchange.started,
        )
        self._counters.request_ended(route, error.code)
        if exchange.started:
            exchange.abort()
        elif isinstance(error, _EndpointFailureError):
            exchange.send(error.response)
        else:
            exchange.send(self._protocols.caller_protocol.error_response(error))


class _EndpointFailureError(errors.RequestError):
    """An endpoint failed the request; its response is relayed."""

    code = "endpoint-failed"

    def __init__(self, response: http_server.Response):
        super().__init__(
            f"the endpoint failed with {response.status}",
            errors.Outcome.UNKNOWN,
        )
        self.status = response.status
        self.response = response


def _now() -> float:
    return asyncio.get_running_loop().time()
