"""Decides on hedges: second attempts of a request beside the first one.

A hedge costs endpoints extra work, so there must be evidence that the first
attempt is late for a reason that the second one does not meet, capacity to
spare, and a part of the requests of the service that operators allow for it.
"""

import collections
from collections.abc import Iterable
import enum
from typing import NamedTuple

__all__ = [
    "USUAL_MAX",
    "Evidence",
    "HedgeBudget",
    "Latencies",
    "Outlook",
    "Result",
    "Usual",
    "has_evidence",
    "is_contended",
    "is_faster",
]

# Slowdown from which an endpoint is slow, and below which one is as usual.
SLOW_MIN = 1.5
USUAL_MAX = 1.1
# Share of the slots of a service in use above which there is no spare capacity.
_CAPACITY_SHARE_MAX = 0.5
# Hedges that may be saved up, so that a quiet minute does not allow a burst.
_SAVED_MAX = 3.0
# Rounding error of a sum of ratios that must not delay a hedge.
_ROUNDING_TOLERANCE = 1e-9
# Samples of a route and service: kept, needed for the median, and needed for
# the 95th percentile.
_SAMPLES_KEPT = 100
_SAMPLES_MIN = 5
_SAMPLES_LATE_MIN = 20
_LATE_SHARE = 0.95


class Evidence(enum.StrEnum):
    """What a hedge needs.

    Attributes:
        SPEED: The endpoint of the first attempt reports to be slow, and that of
            the second one reports not to be.
        LATENCY: The first attempt is late.
    """

    SPEED = "speed"
    LATENCY = "latency"


class Result(enum.StrEnum):
    """What became of a hedge.

    Attributes:
        WON: The second attempt brought the answer.
        LOST: The first attempt brought the answer.
        FAILED: The second attempt ended without an answer, before the first.
        CANCELLED: The request ended while both attempts ran.
        CRASHING: Refused: the request may crash endpoints.
        CONTENDED: Refused: too much of the capacity is in use.
        NO_ENDPOINT: Refused: no other endpoint may take it.
        NOT_FASTER: Refused: the other endpoint would not answer first.
        OVER_RATIO: Refused: the ratio of hedges is used up.
        OVER_BUDGET: Refused: the retry budget is used up.
    """

    WON = "won"
    LOST = "lost"
    FAILED = "failed"
    CANCELLED = "cancelled"
    CRASHING = "refused-crashing"
    CONTENDED = "refused-contended"
    NO_ENDPOINT = "refused-no-endpoint"
    NOT_FASTER = "refused-not-faster"
    OVER_RATIO = "refused-ratio"
    OVER_BUDGET = "refused-budget"


class Usual(NamedTuple):
    """How long the requests of a route take at a service.

    Attributes:
        median_s: Median, seconds.
        late_s: 95th percentile, seconds; None with too few samples.
    """

    median_s: float
    late_s: float | None


class Outlook(NamedTuple):
    """The first attempt of a request while it runs.

    Attributes:
        elapsed_s: Time since it was sent, seconds.
        slowdown: Time that work takes at its endpoint; 1 is usual.
        reports_speed: Whether the endpoint reports its speed.
    """

    elapsed_s: float
    slowdown: float
    reports_speed: bool


class HedgeBudget:
    """Hedges that a router may make, as a share of its requests.

    The shares of all routers add up to that of the fleet, so they need not know
    of one another.
    """

    def __init__(self, ratio: float):
        """Creates a budget without savings.

        Args:
            ratio: Hedges per request of a service, 0 to 1.
        """
        self._ratio = ratio
        self._saved: dict[str, float] = {}

    def record_request(self, service: str) -> None:
        """Records a request of a caller."""
        saved = self._saved.get(service, 0.0) + self._ratio
        self._saved[service] = min(_SAVED_MAX, saved)

    def is_allowed(self, service: str) -> bool:
        """Returns whether a hedge for a service may be made now."""
        return self._saved.get(service, 0.0) >= 1 - _ROUNDING_TOLERANCE

    def spend(self, service: str) -> None:
        """Records a hedge, which must be allowed."""
        self._saved[service] = max(0.0, self._saved[service] - 1)


class Latencies:
    """Recent durations of requests by route and service."""

    def __init__(self) -> None:
        self._samples: dict[tuple[str, str], collections.deque[float]] = {}
        self._usual: dict[tuple[str, str], Usual] = {}

    def record(self, route: str, service: str, seconds: float) -> None:
        """Records the duration of a request.

        Args:
            route: Name of its route.
            service: Its service.
            seconds: Time to the complete answer, or to the first event of a
                stream.
        """
        samples = self._samples.setdefault(
            (route, service), collections.deque(maxlen=_SAMPLES_KEPT)
        )
        samples.append(seconds)
        self._usual.pop((route, service), None)

    def usual(self, route: str, service: str) -> Usual | None:
        """Returns what is usual; None with too few samples."""
        key = (route, service)
        known = self._usual.get(key)
        if known is not None:
            return known
        samples = self._samples.get(key, ())
        if len(samples) < _SAMPLES_MIN:
            return None
        ordered = sorted(samples)
        late_s = None
        if len(ordered) >= _SAMPLES_LATE_MIN:
            late_s = ordered[int(_LATE_SHARE * len(ordered))]
        usual = Usual(ordered[len(ordered) // 2], late_s)
        self._usual[key] = usual
        return usual


def has_evidence(evidence: Evidence, first: Outlook, usual: Usual) -> bool:
    """Returns whether the first attempt gives reason for a hedge."""
    if evidence is Evidence.SPEED:
        return first.reports_speed and first.slowdown >= SLOW_MIN
    return usual.late_s is not None and first.elapsed_s > usual.late_s


def is_faster(
    first: Outlook, other_slowdown: float, extra_s: float, usual: Usual
) -> bool:
    """Returns whether a second attempt is likely to answer first.

    It is not known for how long the endpoint of the first attempt has been
    slow: the mean of since its start and since now is taken. One that is later
    than its slowdown explains is expected to take as long again.

    Args:
        first: The first attempt.
        other_slowdown: Slowdown of the endpoint of the second attempt.
        extra_s: Work that the second attempt has in addition, seconds.
        usual: How long such requests take.
    """
    total_s = usual.median_s * first.slowdown
    if first.elapsed_s < total_s:
        since_start_s = total_s - first.elapsed_s
        undone_s = max(0.0, usual.median_s - first.elapsed_s)
        left_s = (since_start_s + undone_s * first.slowdown) / 2
    else:
        left_s = first.elapsed_s
    return (usual.median_s + extra_s) * other_slowdown < left_s


def is_contended(loads: Iterable[tuple[int, int]]) -> bool:
    """Returns whether a service has no capacity to spare.

    Args:
        loads: Requests in flight and slots of each of its endpoints. Requests
            beyond the slots are queued. A service with unknown slots has no
            capacity that is known to be spare.
    """
    running = slots = 0
    for endpoint_running, endpoint_slots in loads:
        if endpoint_running > endpoint_slots:
            return True
        running += endpoint_running
        slots += endpoint_slots
    return not slots or running > _CAPACITY_SHARE_MAX * slots
