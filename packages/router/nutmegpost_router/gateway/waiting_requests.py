"""Requests that wait at this gateway for room at the endpoints of a service.

Active only with the setting `contention_queue_max`. The decisions are those of
`nutmegpost_core.contention`; this module supplies the loads, and wakes a
request when an attempt of this gateway ends or a load has fallen.
"""

import asyncio
import math
from typing import NamedTuple

from nutmegpost_core import calls
from nutmegpost_core import contention
from nutmegpost_core import dispatch
from nutmegpost_core import events
from nutmegpost_core import roster
from nutmegpost_router import log
from nutmegpost_router.gateway import metrics
from nutmegpost_router.gateway import pending_request
from nutmegpost_router.gateway import state

__all__ = ["Admission", "WaitingRequests"]

# Interval at which waiting requests are compared with the loads of the peers,
# and with their deadlines.
_TICK_S = 0.02
# The time to return after a refusal by a gateway that stops: others take
# requests at once.
_RETRY_AFTER_STOPPING_S = 0.1
_STOPPING = contention.Refusal("stopping", _RETRY_AFTER_STOPPING_S)
# Requests per slot above which not even the equal share of a gateway is sent.
_LOAD_PER_SLOT_MAX = 2.0


class Admission(NamedTuple):
    """The decision on a request.

    Attributes:
        choice: Endpoint to send it to, now; None if it is not to be sent.
        refusal: Why it is refused; None if it is sent, or if no endpoint may
            take it at all.
    """

    choice: dispatch.Choice | None = None
    refusal: contention.Refusal | None = None


class _Entry:
    """A waiting request, and what ends its wait.

    Attributes:
        pending: The request.
        waiter: The request in the queue.
        decision: The decision, once it is made.
    """

    __slots__ = ("decision", "pending", "waiter")

    def __init__(
        self,
        pending: pending_request.PendingRequest,
        waiter: contention.Waiter,
    ):
        self.pending = pending
        self.waiter = waiter
        self.decision: asyncio.Future[Admission] = (
            asyncio.get_running_loop().create_future()
        )

    def decide(self, admission: Admission) -> None:
        if not self.decision.done():
            self.decision.set_result(admission)


class WaitingRequests:
    """Admits requests, and holds those that have to wait."""

    def __init__(
        self, local_state: state.State, counters: metrics.GatewayMetrics
    ):
        """Creates an instance with no waiting request.

        Args:
            local_state: State of the gateway.
            counters: Metrics.
        """
        self._state = local_state
        self._counters = counters
        self._waiting_max = local_state.config.get("contention_queue_max", 0)
        self._queues: dict[str, contention.ServiceQueue] = {}
        self._entries: dict[str, dict[int, _Entry]] = {}
        # Services that are logged as contended.
        self._contended: set[str] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._is_stopping = False

    @property
    def is_enabled(self) -> bool:
        """Whether requests may wait here."""
        return self._waiting_max > 0

    @property
    def waiting(self) -> int:
        """Number of requests that wait here."""
        return sum(queue.waiting for queue in self._queues.values())

    def has_waiting(self, service: str) -> bool:
        """Returns whether requests for a service wait here."""
        return bool(self._entries.get(service))

    def begin_stop(self) -> None:
        """Refuses the waiting requests; no further one waits."""
        self._is_stopping = True
        for entries in self._entries.values():
            for entry in list(entries.values()):
                self._refuse(entry, _STOPPING)

    def record_end(
        self, call: calls.Call, started: float, is_answered: bool
    ) -> None:
        """Records that an attempt ended, and sends what waits for its place.

        Args:
            call: The request.
            started: Monotonic time at which the attempt began, seconds.
            is_answered: Whether the caller has the whole answer.
        """
        if not self.is_enabled:
            return
        queue = self._queue(call.service)
        if is_answered:
            queue.record_end(call.route.name, _now() - started)
        if queue.waiting:
            self._send_waiting(call.service)

    async def admit(self, pending: pending_request.PendingRequest) -> Admission:
        """Decides on a request, and waits until it can be sent.

        Args:
            pending: The request.

        Returns:
            The decision; the request must be sent or ended without delay.
        """
        call = pending.call
        now = _now()
        queue = self._queue(call.service)
        waiter = queue.arrive(self._request(pending), now)
        choice = self._find_room_now(pending, queue, waiter)
        while choice is None:
            admission = await self._wait(pending, queue, waiter)
            choice = admission.choice
            if choice is None:
                return admission
            if self._state.is_closed(choice.endpoint.name):
                # Another request used up its limit.
                choice = None
        queue.record_sent(waiter)
        return Admission(choice)

    def _find_room_now(
        self,
        pending: pending_request.PendingRequest,
        queue: contention.ServiceQueue,
        waiter: contention.Waiter,
    ) -> dispatch.Choice | None:
        """Returns an endpoint for a request that arrives; None for none."""
        service = pending.call.service
        if queue.is_contended(_now()):
            # Those that wait go first.
            self._send_waiting(service)
            return self._find_room_in_quota(pending, queue, waiter)
        if service in self._contended:
            self._contended.discard(service)
            log.emit(events.CONTENTION_ENDED, service=service)
        return self._find_room(pending, self._per_slot(service))

    async def _wait(
        self,
        pending: pending_request.PendingRequest,
        queue: contention.ServiceQueue,
        waiter: contention.Waiter,
    ) -> Admission:
        """Waits for the decision on a request that found no room."""
        service = pending.call.service
        now = _now()
        if not self._candidates(pending):
            return Admission()
        refusal: contention.Refusal | None = _STOPPING
        if not self._is_stopping:
            refusal = queue.add(waiter, self._capacity(service), now)
        if refusal is not None:
            self._record_refusal(pending, refusal, 0.0)
            return Admission(refusal=refusal)
        self._log_contention(service, now)
        entry = _Entry(pending, waiter)
        entries = self._entries.setdefault(service, {})
        entries[waiter.sequence] = entry
        if self.waiting > self._waiting_max:
            self._evict(now)
        self._set_timer()
        self._counters.set_waiting(self.waiting)
        admission: Admission | None = None
        try:
            admission = await entry.decision
        finally:
            if entry.decision.done() and not entry.decision.cancelled():
                self._release(entry.decision.result())
            queue.remove(waiter)
            entries.pop(waiter.sequence, None)
            self._record_wait(entry, admission, now)
        return admission

    def _release(self, admission: Admission) -> None:
        """Gives up the room that is kept until the request is sent."""
        if admission.choice is not None:
            self._state.loads.add(admission.choice.endpoint.name, -1, 0)

    def _record_wait(
        self, entry: _Entry, admission: Admission | None, entered: float
    ) -> None:
        waited_s = _now() - entered
        self._counters.set_waiting(self.waiting)
        if admission is None:
            self._counters.wait_ended("caller gone", waited_s)
        elif admission.refusal is not None:
            self._counters.wait_ended("refused", waited_s)
            self._record_refusal(entry.pending, admission.refusal, waited_s)
        elif admission.choice is None:
            self._counters.wait_ended("no endpoint", waited_s)
        else:
            self._counters.wait_ended("sent", waited_s)
            log.emit(
                events.REQUEST_WAITED,
                request=entry.pending.call.identity,
                service=entry.pending.call.service,
                waited_ms=round(waited_s * 1000),
                excess=entry.waiter.is_excess,
                returning=entry.waiter.is_returning,
            )

    def _record_refusal(
        self,
        pending: pending_request.PendingRequest,
        refusal: contention.Refusal,
        waited_s: float,
    ) -> None:
        self._counters.contention_refused(refusal.reason)
        log.emit(
            events.REQUEST_REFUSED_FOR_CAPACITY,
            request=pending.call.identity,
            service=pending.call.service,
            waited_ms=round(waited_s * 1000),
            left_ms=round((pending.call.deadline - _now()) * 1000),
            retry_after_ms=round(refusal.retry_after_s * 1000),
            reason=refusal.reason,
        )

    def _log_contention(self, service: str, now: float) -> None:
        if service in self._contended:
            return
        self._contended.add(service)
        capacity = self._capacity(service)
        log.emit(
            events.CONTENTION_BEGAN,
            service=service,
            free=capacity.free,
            slots=capacity.slots,
            own=capacity.own,
            known=capacity.is_known,
        )

    def _evict(self, now: float) -> None:
        """Refuses the waiting request that is sent last."""
        lasts = [
            (queue.order(waiter, now), service, waiter)
            for service, queue in self._queues.items()
            if (waiter := queue.last(now)) is not None
        ]
        _, service, waiter = max(lasts, key=lambda last: last[0])
        queue = self._queues[service]
        queue.remove(waiter)
        refusal = queue.refuse(waiter, "queue", self._capacity(service), now)
        self._refuse(self._entries[service][waiter.sequence], refusal)

    def _refuse(self, entry: _Entry, refusal: contention.Refusal) -> None:
        self._queue(entry.pending.call.service).remove(entry.waiter)
        entry.decide(Admission(refusal=refusal))

    def _set_timer(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_TICK_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        now = _now()
        for service, entries in self._entries.items():
            if not entries:
                continue
            queue = self._queues[service]
            self._send_waiting(service)
            for waiter, refusal in queue.remove_unfinishable(
                self._capacity(service), now
            ):
                entries[waiter.sequence].decide(Admission(refusal=refusal))
            for entry in entries.values():
                if not self._candidates(entry.pending):
                    queue.remove(entry.waiter)
                    entry.decide(Admission())
        if self.waiting:
            self._set_timer()

    def _send_waiting(self, service: str) -> None:
        """Sends the waiting requests for which there is room, in order."""
        queue = self._queues[service]
        if not queue.waiting or contention.is_exhausted(
            self._capacity(service)
        ):
            return
        for waiter in queue.in_order(_now()):
            entry = self._entries[service][waiter.sequence]
            choice = self._find_room_in_quota(entry.pending, queue, waiter)
            if choice is not None:
                # Keeps the room until the request is sent.
                self._state.loads.add(choice.endpoint.name, 1, 0)
                queue.remove(waiter)
                entry.decide(Admission(choice))
            elif not (entry.pending.tried_endpoints or entry.pending.software):
                # There is room for none of the others either.
                return

    def _find_room_in_quota(
        self,
        pending: pending_request.PendingRequest,
        queue: contention.ServiceQueue,
        waiter: contention.Waiter,
    ) -> dispatch.Choice | None:
        """Returns an endpoint while the service is contended, or None."""
        service = pending.call.service
        capacity = self._capacity(service, waiter.is_excess)
        quota = contention.quota(capacity, self._state.rng)
        choice: dispatch.Choice | None = None
        if capacity.own < quota.total:
            choice = self._find_room(
                pending, self._per_slot(service, waiter.is_excess)
            )
        if choice is None and capacity.own < quota.share:
            load_trust_s = contention.load_trust_s(
                capacity, queue.mean_duration_s
            )
            choice = self._choose_below(
                pending, _LOAD_PER_SLOT_MAX, load_trust_s
            )
        return choice

    def _find_room(
        self, pending: pending_request.PendingRequest, per_slot: float
    ) -> dispatch.Choice | None:
        """Returns the endpoint that is best among those with room, or None."""
        choice = self._state.choose(
            pending.call, pending.tried_endpoints, pending.software
        )
        if choice is None or choice.load.running < contention.limit(
            choice.endpoint.slots, per_slot
        ):
            return choice
        return self._choose_below(pending, per_slot)

    def _choose_below(
        self,
        pending: pending_request.PendingRequest,
        per_slot: float,
        load_trust_s: float = math.inf,
    ) -> dispatch.Choice | None:
        """Chooses among the endpoints below a load.

        Args:
            pending: The request.
            per_slot: Requests in flight for each slot.
            load_trust_s: Age up to which a load excludes an endpoint, seconds.
        """
        call = pending.call
        loads = self._state.loads
        sound = self._sound(call.service)
        now = _now()

        def is_full(endpoint: roster.Endpoint) -> bool:
            limit = contention.limit(endpoint.slots, per_slot)
            if loads.total(endpoint.name).running < limit:
                return False
            age_s = loads.endpoint_age_s(endpoint.name, now)
            return load_trust_s == math.inf or (
                age_s is not None and age_s <= load_trust_s
            )

        excluded = {
            endpoint.name
            for endpoint in self._state.usable(call.service)
            if endpoint not in sound or is_full(endpoint)
        }
        return self._state.choose(
            call, pending.tried_endpoints | excluded, pending.software
        )

    def _sound(self, service: str) -> list[roster.Endpoint]:
        """Returns the endpoints that are neither ejected nor silent.

        All of them if there are no others.
        """
        now = _now()
        usable = self._state.usable(service)
        avoided = self._state.outliers.ejected(
            now
        ) | self._state.liveness.avoided(False, now)
        sound = [
            endpoint for endpoint in usable if endpoint.name not in avoided
        ]
        return sound or list(usable)

    def _candidates(
        self, pending: pending_request.PendingRequest
    ) -> list[roster.Endpoint]:
        """Returns the endpoints that may take a request once they have room."""
        usable = self._state.usable(pending.call.service)
        excluded = set(pending.tried_endpoints)
        if pending.software is not None:
            excluded |= self._state.versions.uncertain(usable, _now())
        return [
            endpoint
            for endpoint in usable
            if endpoint.name not in excluded
            and pending.software in (None, endpoint.software)
            and not self._state.is_closed(endpoint.name)
        ]

    def _own(self, service: str) -> int:
        """Returns the requests of this gateway in flight at a service."""
        own = self._state.loads.own
        return sum(
            own[endpoint.name].running
            for endpoint in self._state.usable(service)
            if endpoint.name in own
        )

    def _capacity(
        self, service: str, is_excess: bool = False
    ) -> contention.Capacity:
        """Returns the capacity of a service, as this gateway knows it.

        Args:
            service: The service.
            is_excess: Whether it is for the excess of an account or prompt.
        """
        endpoints = self._sound(service)
        per_slot = self._per_slot(service, is_excess)
        limits = [
            contention.limit(endpoint.slots, per_slot) for endpoint in endpoints
        ]
        loads = self._state.loads
        now = _now()
        return contention.Capacity(
            sum(endpoint.slots for endpoint in endpoints),
            sum(limits),
            sum(
                max(0, limit - loads.total(endpoint.name).running)
                for limit, endpoint in zip(limits, endpoints, strict=True)
            ),
            self._own(service),
            self._state.fleet_size,
            self._state.fleet_size <= 1
            or any(
                loads.endpoint_age_s(endpoint.name, now) is not None
                for endpoint in endpoints
            ),
        )

    def _per_slot(self, service: str, is_excess: bool = False) -> float:
        """Returns the requests per slot at which an endpoint is full."""
        active_catalog = self._state.catalog
        entry = active_catalog and active_catalog.services.get(service)
        is_plain = not (entry and entry.cache_tokens)
        return contention.requests_per_slot_max(is_plain, is_excess)

    def _queue(self, service: str) -> contention.ServiceQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = contention.ServiceQueue(self._state.rng)
            self._queues[service] = queue
        return queue

    def _request(
        self, pending: pending_request.PendingRequest
    ) -> contention.Request:
        call = pending.call
        shared = call.shared_parts
        cost = 0.0
        if call.hints is not None:
            cost = float(
                call.hints.prompt_tokens
                + (
                    call.hints.output_tokens_hint
                    or call.hints.output_tokens_max
                )
            )
        return contention.Request(
            call.account,
            shared[-1].identity if shared else "",
            call.route.name,
            call.rank,
            call.received,
            call.route.target_s,
            call.deadline,
            cost,
            pending.fingerprint.request,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
