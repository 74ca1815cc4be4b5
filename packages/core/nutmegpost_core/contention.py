"""Admission of requests to a service while demand exceeds its capacity.

A router decides for each request whether it is sent now, waits at the router,
or is refused at once. Waiting requests are ordered by rank, by whether they
can still meet their target, and by deadline. What an account or a prompt sends
beyond its share, by `demand_shares`, goes last.

Routers know the load of their peers with a lag, so while a service is
contended each one takes only a part of the capacity that it sees free. One
that sees none still keeps its equal share of the capacity in flight, and at
least one request, so that no slot stays idle because of an old figure.
"""

from collections.abc import Iterator
import math
import random
from typing import NamedTuple

from nutmegpost_core import admission
from nutmegpost_core import demand_shares
from nutmegpost_core import quantile

__all__ = [
    "Capacity",
    "Quota",
    "Refusal",
    "Request",
    "ServiceQueue",
    "Waiter",
    "load_trust_s",
    "is_exhausted",
    "limit",
    "quota",
    "requests_per_slot_max",
]

# Requests per slot of an endpoint with a queue that orders by urgency.
REQUESTS_PER_SLOT_MAX = 2.0
# Requests at a plain endpoint beyond its slots, as a share of them. They keep
# the slots busy between an answer and the next request.
PLAIN_QUEUE_SHARE = 1 / 3
# Requests per slot up to which the excess of a source is sent, so that other
# requests find a place in the queue of an endpoint and start next.
EXCESS_REQUESTS_PER_SLOT = 7 / 6
# Shortest time for which a load that leaves no room is trusted: an interval
# between load reports, and its transfer.
LOAD_TRUST_MIN_S = 0.1
# Routers that are expected to send at the same time into the capacity that all
# see free, as a share of all.
CLAIMING_SHARE = 0.5
# Time after the last request that found no room during which a service counts
# as contended: some intervals between load reports.
CONTENDED_S = 1.0

# Share of the target after which a request counts as late if it still waits;
# the rest covers the variation of the time that an endpoint takes.
TARGET_SHARE = 0.8
# Dues closer than this are equal, and the account that received least is first.
DUE_STEP_S = 0.02
# Shortest time in which a waiting request can be sent and answered, including
# the interval at which routers look for those without a chance.
ATTEMPT_MIN_S = 0.05
# Part of a predicted wait that is certain. Rates change within seconds.
CERTAIN_WAIT_SHARE = 0.6
# Share of its remaining time that a refused caller is asked to stay away for.
RETURN_SHARE_MAX = 1 / 3
RETURN_MIN_S = 0.02
# Time after the agreed return for which a returning caller still goes first.
PROMISE_S = 1.0
# Part of the agreed time that must have passed for that.
PROMISE_EARLY_SHARE = 0.8
PROMISES_MAX = 4096

_DURATION_WEIGHT = 0.05
_DURATION_QUANTILE = 0.25
_DURATION_STEP = 0.05
# Assumed duration before the first answer.
_DURATION_S = 0.05
ROUTES_MAX = 4096


class Request(NamedTuple):
    """A request that asks for capacity.

    Attributes:
        account: Client account; empty for none.
        prompt: Identity of the shared part of the prompt; empty for none.
        route: Name of the route.
        rank: Priority; 0 is the highest.
        received: Monotonic time at which the caller sent it, seconds.
        target_s: Latency target, seconds; 0 for none.
        deadline: Monotonic time at which the caller stops waiting, seconds.
        cost: Endpoint time that it takes: tokens for a prompt, or 0 for the
            measured time of its route, seconds.
        digest: Identifies the request across the retries of its caller.
    """

    account: str
    prompt: str
    route: str
    rank: int
    received: float
    target_s: float
    deadline: float
    cost: float
    digest: str


class Capacity(NamedTuple):
    """Capacity of a service, as one router knows it.

    Attributes:
        slots: Slots of the endpoints that take requests.
        limit: Requests at which these are full, waiting ones included.
        free: Requests for which they have room, by the known loads.
        own: Those of this router.
        routers: Number of routers.
        is_known: Whether anything is known of the peers' requests.
    """

    slots: int
    limit: float
    free: float
    own: int
    routers: int
    is_known: bool


class Refusal(NamedTuple):
    """Why a request is refused.

    Attributes:
        reason: `late` if it cannot finish before its deadline, or `queue` if
            more urgent requests take all places.
        retry_after_s: When the caller should return, seconds.
    """

    reason: str
    retry_after_s: float


class Waiter:
    """A request that waits for capacity.

    Attributes:
        request: The request.
        sequence: Order of arrival.
        is_returning: Whether its caller returns as agreed after a refusal.
        is_excess: Whether it is beyond the share of its account or prompt.
        entered: Monotonic time at which it began to wait, seconds.
    """

    __slots__ = ("entered", "is_excess", "is_returning", "request", "sequence")

    def __init__(
        self,
        request: Request,
        sequence: int,
        is_returning: bool,
        is_excess: bool,
        entered: float,
    ):
        """Creates a waiter; the arguments are the attributes."""
        self.request = request
        self.sequence = sequence
        self.is_returning = is_returning
        self.is_excess = is_excess
        self.entered = entered


def requests_per_slot_max(is_plain: bool, is_excess: bool = False) -> float:
    """Returns the requests per slot at which an endpoint is full.

    Args:
        is_plain: Whether the endpoint serves its queue in order of arrival, so
            that waiting at the router is better.
        is_excess: Whether it is full for the excess of a source.
    """
    if is_excess:
        return EXCESS_REQUESTS_PER_SLOT
    return 1 + PLAIN_QUEUE_SHARE if is_plain else REQUESTS_PER_SLOT_MAX


def limit(slots: int, per_slot: float) -> float:
    """Returns the requests in flight at which an endpoint is full.

    Args:
        slots: Requests that it runs concurrently; 0 if unknown.
        per_slot: Requests in flight for each slot.
    """
    return max(1, slots * per_slot) if slots else math.inf


def load_trust_s(capacity: Capacity, duration_s: float) -> float:
    """Returns how long a load is trusted that leaves an endpoint no room.

    After it, a router sends its share regardless. In this time the service
    runs one request of each router, so that these do not overload it.

    Args:
        capacity: Capacity of the service.
        duration_s: Mean time that an endpoint takes for a request, seconds.
    """
    turn_s = capacity.routers * duration_s / max(1, capacity.slots)
    return max(LOAD_TRUST_MIN_S, turn_s)


class Quota(NamedTuple):
    """Requests in flight that a router may have at a contended service.

    Attributes:
        share: Its equal part, which it may have also if no endpoint seems to
            have room.
        total: All that it may have while an endpoint has room.
    """

    share: float
    total: float


def is_exhausted(capacity: Capacity) -> bool:
    """Returns whether a router can send nothing, whatever waits."""
    return capacity.own >= _share(capacity) and not (
        capacity.free and capacity.is_known
    )


def quota(capacity: Capacity, rng: random.Random) -> Quota:
    """Returns the requests in flight that a router may have at a service.

    Args:
        capacity: Capacity of the service, which is contended.
        rng: Rounds the part of free capacity that is below one request.
    """
    share = _share(capacity)
    if not capacity.is_known:
        return Quota(share, share)
    claiming = max(1.0, capacity.routers * CLAIMING_SHARE)
    claimed = capacity.free / claiming
    if claiming > 1.0 and not math.isinf(claimed):
        claimed = math.floor(claimed + rng.random())
    return Quota(share, max(share, capacity.own + claimed))


def _share(capacity: Capacity) -> float:
    """Returns the equal part of the capacity that is one router's."""
    share = capacity.limit / capacity.routers
    return share if math.isinf(share) else max(1, math.floor(share))


class _Promise(NamedTuple):
    """When a refused caller was asked to return, monotonic seconds."""

    due: float
    until: float


class ServiceQueue:
    """The requests that wait at one router for one service."""

    def __init__(self, rng: random.Random):
        """Creates an empty queue.

        Args:
            rng: Spreads the times at which refused callers return.
        """
        self._rng = rng
        self._waiters: dict[int, Waiter] = {}
        self._last_sequence = 0
        self._accounts = demand_shares.DemandShares()
        self._prompts = demand_shares.DemandShares()
        self._promises: dict[str, _Promise] = {}
        # Time at which the last refused caller was asked to return.
        self._last_return = -math.inf
        self._contended_until = -math.inf
        # Mean and low quantile of the time of an attempt, by route.
        self._durations: dict[str, tuple[float, float]] = {}
        self._mean_duration_s = _DURATION_S

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiters)

    @property
    def mean_duration_s(self) -> float:
        """Mean time from the sending of a request to its end, seconds."""
        return self._mean_duration_s

    def is_contended(self, now: float) -> bool:
        """Returns whether a request lately found no room, or waits."""
        return bool(self._waiters) or now < self._contended_until

    def record_no_room(self, now: float) -> None:
        """Records that a request found no room."""
        self._contended_until = now + CONTENDED_S

    def record_end(self, route: str, duration_s: float) -> None:
        """Records the time that an attempt took.

        Args:
            route: Name of its route.
            duration_s: Time from its sending to its end, seconds.
        """
        if len(self._durations) >= ROUTES_MAX:
            self._durations.clear()
        mean_s, low_s = self._durations.get(route, (duration_s, duration_s))
        self._durations[route] = (
            mean_s + _DURATION_WEIGHT * (duration_s - mean_s),
            quantile.track(
                low_s, duration_s, _DURATION_QUANTILE, _DURATION_STEP
            ),
        )
        self._mean_duration_s += _DURATION_WEIGHT * (
            duration_s - self._mean_duration_s
        )

    def arrive(self, request: Request, now: float) -> Waiter:
        """Counts a request that arrives; it waits only once it is added."""
        cost = self._cost(request)
        is_excess = self._accounts.record_arrival(request.account, cost, now)
        if request.prompt:
            is_excess |= self._prompts.record_arrival(request.prompt, cost, now)
        self._last_sequence += 1
        return Waiter(
            request,
            self._last_sequence,
            self._is_returning(request, now),
            is_excess,
            now,
        )

    def add(
        self, waiter: Waiter, capacity: Capacity, now: float
    ) -> Refusal | None:
        """Adds a request that found no room.

        Args:
            waiter: The request.
            capacity: Capacity of the service.
            now: Monotonic time, seconds.

        Returns:
            Why it is refused instead, as it cannot finish before its deadline;
            None if it waits.
        """
        self.record_no_room(now)
        own_order = self.order(waiter, now)
        ahead = sum(
            self.order(other, now) < own_order
            for other in self._waiters.values()
        )
        if self._cannot_finish(waiter, ahead, capacity, now):
            return self.refuse(waiter, "late", capacity, now)
        self._waiters[waiter.sequence] = waiter
        return None

    def remove(self, waiter: Waiter) -> None:
        """Removes a request that does not wait any more, if it did."""
        self._waiters.pop(waiter.sequence, None)

    def record_sent(self, waiter: Waiter) -> None:
        """Records that a request is sent."""
        cost = self._cost(waiter.request)
        self._accounts.record_served(waiter.request.account, cost)

    def in_order(self, now: float) -> Iterator[Waiter]:
        """Yields the waiting requests, the one to send first at the front."""
        yield from sorted(
            self._waiters.values(), key=lambda waiter: self.order(waiter, now)
        )

    def remove_unfinishable(
        self, capacity: Capacity, now: float
    ) -> list[tuple[Waiter, Refusal]]:
        """Removes the requests that cannot finish before their deadlines."""
        removed = []
        ahead = 0
        for waiter in self.in_order(now):
            if self._cannot_finish(waiter, ahead, capacity, now):
                self.remove(waiter)
                refusal = self.refuse(waiter, "late", capacity, now)
                removed.append((waiter, refusal))
            else:
                ahead += 1
        return removed

    def last(self, now: float) -> Waiter | None:
        """Returns the request that leaves first if the queue is too long."""
        return max(
            self._waiters.values(),
            key=lambda waiter: self.order(waiter, now),
            default=None,
        )

    def refuse(
        self, waiter: Waiter, reason: str, capacity: Capacity, now: float
    ) -> Refusal:
        """Returns a refusal, and remembers when the caller should return.

        Callers are told successive times, at the rate at which requests are
        sent and from when the queue is empty, so that each one finds room.
        """
        rate = self._rate_per_s(capacity)
        first = now + len(self._waiters) / rate
        at = max(first, self._last_return) + self._rng.uniform(0.5, 1.5) / rate
        longest_s = RETURN_SHARE_MAX * max(0.0, waiter.request.deadline - now)
        if at - now > longest_s:
            # Spreads those that cannot wait for their turn.
            at = now + self._rng.uniform(0.5, 1.0) * longest_s
        else:
            self._last_return = at
        after_s = max(min(RETURN_MIN_S, longest_s), at - now)
        if len(self._promises) >= PROMISES_MAX:
            self._promises.clear()
        self._promises[waiter.request.digest] = _Promise(
            now + PROMISE_EARLY_SHARE * after_s, now + after_s + PROMISE_S
        )
        return Refusal(reason, after_s)

    def order(
        self, waiter: Waiter, now: float
    ) -> tuple[bool, int, bool, bool, int, float, int]:
        """Returns the sort key of a request; the lowest is sent first."""
        request = waiter.request
        due = self._due(request)
        is_late = now > due
        if is_late:
            due = request.deadline
        return (
            waiter.is_excess,
            request.rank,
            not waiter.is_returning,
            is_late,
            math.floor(due / DUE_STEP_S),
            self._accounts.received(request.account),
            waiter.sequence,
        )

    def _due(self, request: Request) -> float:
        """Returns the latest start of a request that is to be on time."""
        mean_s, _ = self._durations.get(request.route, (0.0, 0.0))
        if not request.target_s:
            return request.deadline - mean_s
        return request.received + max(
            0.0, TARGET_SHARE * request.target_s - mean_s
        )

    def _cost(self, request: Request) -> float:
        if request.cost:
            return request.cost
        return self._durations.get(request.route, (_DURATION_S, 0.0))[0]

    def _rate_per_s(self, capacity: Capacity) -> float:
        """Returns the requests of this router that are sent per second."""
        in_flight = max(1.0, capacity.own, capacity.slots / capacity.routers)
        return in_flight / max(0.001, self._mean_duration_s)

    def _cannot_finish(
        self, waiter: Waiter, ahead: int, capacity: Capacity, now: float
    ) -> bool:
        """Returns whether a request cannot finish before its deadline.

        Args:
            waiter: The request.
            ahead: Number of requests that are sent before it.
            capacity: Capacity of the service.
            now: Monotonic time, seconds.
        """
        _, low_s = self._durations.get(waiter.request.route, (0.0, 0.0))
        wait_s = 0.0
        if ahead:
            rate = self._rate_per_s(capacity)
            wait_s = admission.expected_wait_s(
                ahead - 1,
                float(ahead - 1),
                admission.ServiceRate(max(1, capacity.own), 1.0, rate),
            )
        finish = now + CERTAIN_WAIT_SHARE * wait_s + max(low_s, ATTEMPT_MIN_S)
        return finish >= waiter.request.deadline

    def _is_returning(self, request: Request, now: float) -> bool:
        promise = self._promises.get(request.digest)
        if promise is None or now < promise.due:
            # A caller that returns early has no advantage of it.
            return False
        del self._promises[request.digest]
        return now <= promise.until
