"""Figures of a measured run: reuse, skew, service by rank and by account."""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from nutmegpost_standins import enginemodel
from nutmegpost_standins import policies

__all__ = ["Service", "percentile", "reuse", "service", "tokens_per_s"]


class Service(NamedTuple):
    """Service of some requests.

    Attributes:
        requests: How many there were.
        within: Share whose first token met the target.
        first_p50_s: Time to the first token, seconds.
        first_p95_s: The same, 95th percentile.
        first_p99_s: The same, 99th percentile.
    """

    requests: int
    within: float
    first_p50_s: float
    first_p95_s: float
    first_p99_s: float


def percentile(values: Iterable[float], share: float) -> float:
    """Returns a percentile; 0 of nothing."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def reuse(requests: Sequence[enginemodel.Request], warm_s: float) -> float:
    """Returns the share of prompt tokens that was found in a cache."""
    counted = [r for r in requests if r.arrived >= warm_s and r.dispatched]
    prompt = sum(request.prompt for request in counted)
    return sum(request.cached for request in counted) / max(1, prompt)


def service(
    fleet: policies.Fleet,
    start_s: float,
    stop_s: float,
    wanted: Callable[[enginemodel.Request], bool],
) -> Service:
    """Returns the service of the requests that arrived in a time."""
    found = [
        request
        for request in fleet.requests
        if start_s <= request.arrived < stop_s and wanted(request)
    ]
    times = [r.first - r.arrived for r in found if r.first is not None]
    met = sum(
        r.first is not None and r.first - r.arrived <= r.first_token_s
        for r in found
    )
    return Service(
        len(found),
        met / max(1, len(found)),
        percentile(times, 0.50),
        percentile(times, 0.95),
        percentile(times, 0.99),
    )


def tokens_per_s(
    fleet: policies.Fleet,
    start_s: float,
    stop_s: float,
    wanted: Callable[[enginemodel.Request], bool],
) -> float:
    """Returns the answer tokens a second of the requests that ended."""
    tokens = sum(
        request.answer
        for request in fleet.requests
        if request.done is not None
        and start_s <= request.done < stop_s
        and wanted(request)
    )
    return tokens / (stop_s - start_s)
