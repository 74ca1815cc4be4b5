"""The way of one request: checks, attempts at endpoints, and its answer.

A request that may not be repeated is sent on only while it is certain that it
has not run. One that may be repeated is retried, and a stream that may be
resumed goes on at another endpoint, within the budget that all gateways share.
"""

import asyncio

from nutmegpost_core import calls
from nutmegpost_core import catalog
from nutmegpost_core import crashes
from nutmegpost_core import dispatch
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import roster
from nutmegpost_core import timeouts
from nutmegpost_core import vms
from nutmegpost_router import http_client
from nutmegpost_router import http_server
from nutmegpost_router import log
from nutmegpost_router.gateway import loads
from nutmegpost_router.gateway import metrics
from nutmegpost_router.gateway import ports
from nutmegpost_router.gateway import sending
from nutmegpost_router.gateway import state

__all__ = ["Forwarder"]

# Sends of one request that may end as rejected, beside those that run.
_REJECTIONS_MAX = 3
# A broken answer is never ordinary; an endpoint's own failure often is.
_LOST_WEIGHT = 2.0
# Less time than this is not enough for another attempt.
_LEFT_MIN_S = 0.03
# Time between two looks at whether a prompt was read meanwhile.
_READING_POLL_S = 0.02
# Time between a broken answer and a refused connection that counts as one
# crash; endpoints that crash are back after some seconds.
_CRASH_WINDOW_S = 3.0
# Bad Gateway: the endpoint failed, and time is left.
_STATUS_NO_ANSWER = 502
# Longest time that a request waits to learn if its endpoint went down.
_LOOK_S = 0.05
# When callers are told to come back, by reason. Endpoints and configurations
# are read twice a second; a full endpoint has room after an answer or two.
_RETRY_AFTER_NO_ENDPOINT_S = 0.5
_RETRY_AFTER_FULL_S = 0.3
_RETRY_AFTER_STARTING_S = 0.3
_RETRY_AFTER_CRASHING_S = 30.0
# A request waits in an endpoint's own queue up to this multiple of its slots.
_QUEUED_MULTIPLE = 2.0


class Forwarder:
    """Answers the requests of callers."""

    def __init__(
        self,
        local_state: state.State,
        protocols: ports.Ports,
        client: http_client.Client,
        counters: metrics.GatewayMetrics,
        sharing: loads.LoadSharing,
    ):
        """Prepares to serve.

        Args:
            local_state: State of the gateway.
            protocols: Protocol implementations of the deployment.
            client: Connections to endpoints.
            counters: Metrics.
            sharing: Tells the peers of endpoints that are down.
        """
        self._state = local_state
        self._protocols = protocols
        self._client = client
        self._counters = counters
        self._sharing = sharing
        self._sender = sending.Sender(
            local_state, protocols, client, counters, self._endpoint_down
        )
        self._looks: set[asyncio.Task[None]] = set()
        self._broken: dict[str, list[tuple[float, str]]] = {}

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Answers one request."""
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
            self._refuse(exchange, identity, call, caught)
        except asyncio.CancelledError:
            log.emit(
                events.CALLER_GONE,
                request=metadata.identity if metadata else "",
                after_ms=round((_now() - now) * 1000),
            )
            raise

    def _admit(
        self,
        metadata: ports.RequestMetadata,
        request: http_server.Request,
        now: float,
    ) -> calls.Call:
        found = self._state.catalog
        if found is None:
            raise errors.UnavailableError(
                "no configuration is known yet",
                retry_after=_RETRY_AFTER_STARTING_S,
            )
        route = found.route(metadata.host, request.target)
        if route is None:
            raise errors.UnknownNameError("no route for this host and path")
        account: catalog.Account | None = None
        if found.needs_key and not route.is_public:
            account = found.account(metadata.key)
            if account is None:
                raise errors.AccountError("unknown key")
        patience_s = route.timeout_s
        if metadata.timeout_s is not None:
            patience_s = min(patience_s, metadata.timeout_s)
        rank = route.rank
        if account is not None and account.rank is not None:
            rank = account.rank
        return calls.Call(
            metadata.identity,
            route,
            catalog.choose_service(route, metadata.identity),
            account.name if account else "",
            rank,
            now + patience_s,
            now,
            metadata.resume_after,
            metadata.hints,
        )

    async def _forward(
        self, exchange: http_server.Exchange, call: calls.Call
    ) -> None:
        request = exchange.request
        digest = crashes.digest(call.account, request.target, request.body)
        if self._state.crashes.is_refused(digest, call.received):
            raise errors.UnavailableError(
                "this request crashed endpoints before",
                retry_after=_RETRY_AFTER_CRASHING_S,
            )
        self._state.budget.record_request(call.service, call.received)
        job = sending.Job(exchange, call, digest)
        while True:
            choice = await self._settled_choice(job)
            result = await self._sender.send(job, choice)
            self._note_result(job, choice, result)
            if result.end is sending.End.LOST:
                await self._look_after(job, choice.endpoint)
            if result.end is sending.End.ANSWERED:
                return

    async def _settled_choice(self, job: sending.Job) -> dispatch.Choice:
        """Returns where to send next, once no prompt is read twice for it.

        A long prompt waits until the caches are known, and while another
        request of the same prompt is being read.
        """
        call = job.call
        until = _now() + timeouts.prefill_wait_s(call)
        while timeouts.has_long_prompt(call) and not self._state.caches_synced:
            if _now() >= until:
                break
            await asyncio.sleep(_READING_POLL_S)
        choice = self._next_choice(job)
        if not self._state.is_prefilling(call, choice.endpoint.name):
            return choice
        while _now() < until:
            await asyncio.sleep(_READING_POLL_S)
            if not self._state.is_prefilling(call, choice.endpoint.name):
                break
        return self._state.choose(call, job.avoid) or choice

    def _next_choice(self, job: sending.Job) -> dispatch.Choice:
        """Returns where to send next; raises when the request must end."""
        call = job.call
        now = _now()
        if job.sends and self._is_over(job, now):
            self._give_up(job)
        choice = self._state.choose(call, job.avoid)
        if choice is None:
            if job.sends:
                self._give_up(job)
            raise errors.UnavailableError(
                "no endpoint may take the request",
                retry_after=_RETRY_AFTER_NO_ENDPOINT_S,
            )
        if self._is_full(choice):
            if job.runs or job.exchange.started:
                self._give_up(job)
            raise errors.UnavailableError(
                "all endpoints are full", retry_after=_RETRY_AFTER_FULL_S
            )
        if job.sends and not self._state.budget.try_spend(
            call.service, self._state.fleet_size, now
        ):
            job.reason += "; no retry is left in the budget"
            self._give_up(job)
        return choice

    def _is_over(self, job: sending.Job, now: float) -> bool:
        call = job.call
        sends_max = call.route.endpoints_max + _REJECTIONS_MAX
        return (
            not job.may_run_again
            or job.sends >= sends_max
            or call.deadline - now < _LEFT_MIN_S
        )

    def _is_full(self, choice: dispatch.Choice) -> bool:
        slots = choice.endpoint.slots
        return slots > 0 and choice.load.running >= slots * _QUEUED_MULTIPLE

    def _give_up(self, job: sending.Job) -> None:
        """Ends a request that was sent and has no answer.

        Raises:
            errors.RequestError: Always, unless an answer was sent.
        """
        if job.exchange.started:
            raise errors.AttemptLostError(job.reason)
        if job.failure is not None:
            raise _Relayed(job.failure)
        if not job.runs:
            raise errors.UnavailableError(
                job.reason, retry_after=_RETRY_AFTER_FULL_S
            )
        if job.call.deadline - _now() < _LEFT_MIN_S:
            raise errors.AttemptLostError(job.reason)
        raise errors.AttemptLostError(job.reason, status=_STATUS_NO_ANSWER)

    def _note_result(
        self, job: sending.Job, choice: dispatch.Choice, result: sending.Result
    ) -> None:
        name = choice.endpoint.name
        now = _now()
        call = job.call
        elapsed_ms = round((now - call.received) * 1000)
        if result.end is not sending.End.NOT_RUN:
            job.runs += 1
        job.avoid.add(name)
        if result.end is sending.End.ANSWERED:
            self._state.outliers.record_result(name, True, now)
            self._state.crashes.clear(job.digest)
            self._counters.ended(call.route.name, "answered")
            log.emit(
                events.REQUEST_ANSWERED,
                request=call.identity,
                route=call.route.name,
                endpoint=name,
                status=job.exchange.status,
                attempts=job.sends,
                after_ms=elapsed_ms,
            )
            return
        job.reason = f"{name}: {result.reason}"
        if result.response is not None:
            job.failure = result.response
        weight = _LOST_WEIGHT if result.end is sending.End.LOST else 1.0
        if self._state.outliers.record_result(name, False, now, weight):
            log.emit(events.ENGINE_EJECTED, engine=name)
        if result.end is sending.End.LOST and not job.has_begun:
            self._note_broken(name, job.digest, now)
        self._counters.attempt_failed(result.end)
        log.emit(
            events.ATTEMPT_FAILED,
            request=call.identity,
            attempt=job.sends,
            endpoint=name,
            end=result.end,
            reason=result.reason,
            after_ms=elapsed_ms,
        )

    def _note_broken(self, name: str, digest: str, now: float) -> None:
        """Remembers a broken request for as long as a crash may explain it."""
        oldest = now - _CRASH_WINDOW_S
        self._broken = {
            endpoint: recent
            for endpoint, items in self._broken.items()
            if (recent := [item for item in items if item[0] >= oldest])
        }
        self._broken.setdefault(name, []).append((now, digest))

    async def _look_after(
        self, job: sending.Job, endpoint: roster.Endpoint
    ) -> None:
        """Finds out if an endpoint went down with a request.

        Raises:
            errors.AttemptLostError: The request crashed endpoints and is not
                sent again.
        """
        look = asyncio.create_task(self._look_at(endpoint))
        self._looks.add(look)
        look.add_done_callback(self._looks.discard)
        await asyncio.wait([look], timeout=_LOOK_S)
        if self._state.crashes.is_refused(job.digest, _now()):
            raise errors.AttemptLostError(
                "this request crashes endpoints", status=_STATUS_NO_ANSWER
            )

    async def _look_at(self, endpoint: roster.Endpoint) -> None:
        try:
            await self._client.probe(vms.parse_address(endpoint.address))
        except http_client.ConnectError as caught:
            if caught.refused:
                self._endpoint_down(endpoint.name)

    def _endpoint_down(self, name: str) -> None:
        """Charges the requests that broke just before with the crash."""
        now = _now()
        self._state.mark_endpoint_down(name)
        self._sharing.found_down(name)
        for at, digest in self._broken.pop(name, []):
            if now - at > _CRASH_WINDOW_S:
                continue
            if self._state.crashes.charge(digest, name, now):
                self._sharing.charged(digest, name)
                log.emit(events.REQUEST_CHARGED, digest=digest, endpoint=name)

    def _refuse(
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
        self._counters.ended(route, error.code)
        if exchange.started:
            exchange.abort()
        elif isinstance(error, _Relayed):
            exchange.send(error.response)
        else:
            exchange.send(self._protocols.caller_protocol.error_response(error))


class _Relayed(errors.RequestError):
    """The failure that an endpoint answered with is passed on."""

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
