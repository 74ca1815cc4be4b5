"""One send of a request: to an endpoint, and its answer back to the caller."""

import asyncio
from collections.abc import Callable
import enum
from typing import NamedTuple

from nutmegpost_core import calls
from nutmegpost_core import catalog
from nutmegpost_core import dispatch
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import sse
from nutmegpost_core import timeouts
from nutmegpost_core import vms
from nutmegpost_router import http_client
from nutmegpost_router import http_server
from nutmegpost_router import log
from nutmegpost_router.gateway import metrics
from nutmegpost_router.gateway import ports
from nutmegpost_router.gateway import state

__all__ = ["End", "Job", "Result", "Sender"]

# An idle connection may have been closed by the endpoint without notice; a
# request that may run once goes on one that was used a moment ago, or a new.
_IDLE_REPEATABLE_S = 4.0
_IDLE_ONCE_S = 0.5


class End(enum.StrEnum):
    """How a send ended.

    ANSWERED: The caller has the whole answer.
    NOT_RUN: The endpoint did not run the request.
    FAILED: The endpoint answered with a failure of its own.
    LOST: The answer did not come, or broke off.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    FAILED = "failed"
    LOST = "lost"


class Result(NamedTuple):
    """How a send ended, why, and the failure that the endpoint answered."""

    end: End
    reason: str = ""
    response: http_server.Response | None = None


class Job:
    """One request on its way.

    Attributes:
        exchange: The caller's request and the way to answer it.
        call: The request as decisions see it.
        digest: What names it when it comes again.
        sends: Times that it was sent.
        runs: Endpoints that may have run it.
        avoid: Endpoints that had it.
        last_event: Id of the last event that the caller has.
        failure: The last failure that an endpoint answered, or None.
        reason: Why the last send failed.
    """

    def __init__(
        self,
        exchange: http_server.Exchange,
        call: calls.Call,
        digest: str,
    ):
        """Begins with nothing sent.

        Args:
            exchange: The caller's request and the way to answer it.
            call: The request as decisions see it.
            digest: What names it when it comes again.
        """
        self.exchange = exchange
        self.call = call
        self.digest = digest
        self.sends = 0
        self.runs = 0
        self.avoid: set[str] = set()
        self.last_event = call.resume_after
        self.failure: http_server.Response | None = None
        self.reason = ""

    @property
    def has_begun(self) -> bool:
        """Whether an endpoint ran it well enough to give an event.

        A request that crashes its endpoint does so as its run begins.
        """
        return self.last_event != self.call.resume_after

    @property
    def may_run_again(self) -> bool:
        """Whether another run is allowed."""
        if not self.runs:
            return True
        route = self.call.route
        return route.repeatable and self.runs < route.endpoints_max


class Sender:
    """Sends requests to endpoints."""

    def __init__(
        self,
        local_state: state.State,
        protocols: ports.Ports,
        client: http_client.Client,
        counters: metrics.GatewayMetrics,
        on_down: Callable[[str], None],
    ):
        """Prepares to send.

        Args:
            local_state: State of the gateway.
            protocols: Protocol implementations of the deployment.
            client: Connections to endpoints.
            counters: Metrics.
            on_down: PeerUpdate of each endpoint that refuses connections.
        """
        self._state = local_state
        self._protocols = protocols
        self._client = client
        self._counters = counters
        self._on_down = on_down

    async def send(self, job: Job, choice: dispatch.Choice) -> Result:
        """Sends a request to an endpoint and passes its answer on."""
        call = job.call
        now = _now()
        endpoint = choice.endpoint
        unread = 0
        if call.hints is not None:
            unread = max(0, call.hints.prompt_tokens - choice.reusable_tokens)
        job.sends += 1
        self._state.record_dispatch(call, choice)
        load = _HeldLoad(self._state, endpoint.name, unread)
        log.emit(
            events.REQUEST_SENT,
            request=call.identity,
            attempt=job.sends,
            route=call.route.name,
            endpoint=endpoint.name,
            running=choice.load.running,
            bound=choice.bound,
            cached=choice.cached_tokens,
            reread=choice.duplicate_prefill_tokens,
            fetched=choice.source.tokens if choice.source else 0,
            cost_ms=round(choice.cost * 1000),
            left_ms=round((call.deadline - now) * 1000),
            loads_age_ms=round(self._state.loads.age_s(now) * 1000),
            endpoints_revision=self._state.roster.revision,
            configuration=self._state.catalog.version
            if self._state.catalog
            else 0,
        )
        try:
            return await self._exchange(job, choice, load)
        finally:
            load.release()

    async def _exchange(
        self, job: Job, choice: dispatch.Choice, load: "_HeldLoad"
    ) -> Result:
        call = job.call
        left_s = call.deadline - _now()
        request = job.exchange.request
        fields = self._protocols.endpoint_protocol.request_fields(
            ports.OutboundRequest(
                call,
                request.fields,
                choice.endpoint.name,
                left_s,
                job.last_event,
                _fetch_address(choice),
            )
        )
        can_retry = self._can_retry(job)
        repeatable = call.route.repeatable
        try:
            stream = await self._client.stream(
                vms.parse_address(choice.endpoint.address),
                request.method,
                request.target,
                fields,
                request.body,
                timeouts.first_byte_timeout_s(call, left_s, can_retry),
                idle_limit_s=_IDLE_REPEATABLE_S if repeatable else _IDLE_ONCE_S,
            )
        except http_client.ConnectError as caught:
            if caught.refused:
                self._on_down(choice.endpoint.name)
            return Result(End.NOT_RUN, str(caught))
        except http_client.ExchangeError as caught:
            return Result(End.LOST, str(caught))
        try:
            return await self._read(job, stream, load)
        except BaseException:
            stream.abort()
            raise

    def _can_retry(self, job: Job) -> bool:
        """Returns whether another run could follow the one that begins."""
        call = job.call
        now = _now()
        left = self._state.budget.remaining(
            call.service, self._state.fleet_size, now
        )
        return (
            call.route.repeatable
            and job.runs + 1 < call.route.endpoints_max
            and left >= 1
        )

    async def _read(
        self, job: Job, stream: http_client.Stream, load: "_HeldLoad"
    ) -> Result:
        call = job.call
        answer = self._protocols.endpoint_protocol.read_response_head(
            call, stream.status, stream.fields
        )
        if answer.load is not None:
            self._state.loads.observed(load.endpoint, answer.load, _now())
        if answer.verdict is ports.Verdict.FOREIGN:
            stream.abort()
            return Result(End.LOST, "answer to another request")
        if (
            call.route.kind is catalog.RequestKind.STREAM
            and stream.status == 200
        ):
            return await self._relay(job, stream, answer, load)
        try:
            body = await stream.read_all(max(0.0, call.deadline - _now()))
        except http_client.ExchangeError as caught:
            stream.abort()
            if answer.verdict is ports.Verdict.NOT_RUN:
                return Result(End.NOT_RUN, f"rejected with {stream.status}")
            return Result(End.LOST, str(caught))
        stream.close_with_idle_timeout(answer.idle_s)
        response = http_server.Response(stream.status, answer.fields, body)
        if answer.verdict is ports.Verdict.NOT_RUN:
            return Result(End.NOT_RUN, f"rejected with {stream.status}")
        if stream.status >= 500:
            return Result(End.FAILED, f"failed with {stream.status}", response)
        if job.exchange.started:
            return Result(End.LOST, f"status {stream.status} after a resume")
        job.exchange.send(response)
        return Result(End.ANSWERED)

    async def _relay(
        self,
        job: Job,
        stream: http_client.Stream,
        answer: ports.ResponseHead,
        load: "_HeldLoad",
    ) -> Result:
        call = job.call
        exchange = job.exchange
        splitter = sse.Splitter()
        first = True
        while True:
            left_s = max(0.0, call.deadline - _now())
            can_retry = self._can_retry(job)
            wait = (
                timeouts.first_byte_timeout_s
                if first
                else timeouts.next_event_timeout_s
            )
            try:
                data = await stream.read(wait(call, left_s, can_retry))
                out = b"".join(self._new_events(job, splitter.feed(data)))
            except errors.PeerError as caught:
                stream.abort()
                return Result(End.LOST, str(caught))
            if not data:
                break
            if not out:
                continue
            if first:
                first = False
                load.read()
                self._state.record_prefilled(call, load.endpoint)
                self._counters.first_event(
                    call.route.name, _now() - call.received
                )
            if not exchange.started:
                exchange.start(stream.status, answer.fields)
            exchange.write(out)
            await exchange.drain()
        if splitter.incomplete or not exchange.started:
            stream.abort()
            return Result(End.LOST, "the stream ended within an event")
        exchange.finish()
        stream.close_with_idle_timeout(answer.idle_s)
        return Result(End.ANSWERED)

    def _new_events(self, job: Job, blocks: list[sse.RawEvent]) -> list[bytes]:
        """Returns the events that the caller does not have yet.

        Raises:
            errors.PeerError: The id of an event is not a number.
        """
        found = []
        for block in blocks:
            identity = block.event_id.decode("latin-1")
            if identity:
                if not identity.isdecimal():
                    raise errors.PeerError(
                        f"event id is not a number: {identity[:40]!r}"
                    )
                if job.last_event and int(identity) <= int(job.last_event):
                    continue
                job.last_event = identity
            found.append(block.data)
        return found


def _fetch_address(choice: dispatch.Choice) -> str:
    """Returns where the prompt is fetched from; empty for nowhere."""
    if choice.source is not None:
        return choice.source.endpoint.address
    return (
        choice.speculative_source.address if choice.speculative_source else ""
    )


class _HeldLoad:
    """The part of an endpoint's load that one send makes up."""

    def __init__(self, local_state: state.State, endpoint: str, unread: int):
        self._state = local_state
        self._endpoint = endpoint
        self._unread = unread
        local_state.loads.add(endpoint, 1, unread)

    @property
    def endpoint(self) -> str:
        """Name of the endpoint."""
        return self._endpoint

    def read(self) -> None:
        """Notes that the prompt was read."""
        self._state.loads.add(self._endpoint, 0, -self._unread)
        self._unread = 0

    def release(self) -> None:
        """Takes the send out of the load."""
        self._state.loads.add(self._endpoint, -1, -self._unread)


def _now() -> float:
    return asyncio.get_running_loop().time()
