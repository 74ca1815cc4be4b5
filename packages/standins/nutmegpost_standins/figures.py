"""Figures of a simulated run: cache reuse, service and throughput."""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from nutmegpost_standins import enginemodel
from nutmegpost_standins import policies

__all__ = ["Service", "percentile", "reuse", "service", "tokens_per_s"]


class Service(NamedTuple):
    """Latency figures of a set of requests.

    Attributes:
        requests: Number of requests.
        within: Share whose first token met the target.
        first_p50_s: Median time to the first token, seconds.
        first_p95_s: 95th percentile of this time, seconds.
        first_p99_s: 99th percentile of this time, seconds.
    """

    requests: int
    within: float
    first_p50_s: float
    first_p95_s: float
    first_p99_s: float


def percentile(values: Iterable[float], share: float) -> float:
    """Returns a percentile; 0 if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def reuse(requests: Sequence[enginemodel.Request], warm_s: float) -> float:
    """Returns the share of prompt tokens that engines found in their cache."""
    counted = [
        r for r in requests if r.arrived_at >= warm_s and r.dispatched_at
    ]
    prompt_tokens = sum(request.prompt_tokens for request in counted)
    return sum(request.cached_tokens for request in counted) / max(
        1, prompt_tokens
    )


def service(
    fleet: policies.Fleet,
    start_s: float,
    stop_s: float,
    is_selected: Callable[[enginemodel.Request], bool],
) -> Service:
    """Returns the service of selected requests that arrived in an interval."""
    selected = [
        request
        for request in fleet.requests
        if start_s <= request.arrived_at < stop_s and is_selected(request)
    ]
    times = [
        r.first_token_at - r.arrived_at
        for r in selected
        if r.first_token_at is not None
    ]
    met = sum(
        r.first_token_at is not None
        and r.first_token_at - r.arrived_at <= r.first_token_s
        for r in selected
    )
    return Service(
        len(selected),
        met / max(1, len(selected)),
        percentile(times, 0.50),
        percentile(times, 0.95),
        percentile(times, 0.99),
    )


def tokens_per_s(
    fleet: policies.Fleet,
    start_s: float,
    stop_s: float,
    is_selected: Callable[[enginemodel.Request], bool],
) -> float:
    """Returns the throughput of selected requests that ended in an interval."""
    tokens = sum(
        request.answer_tokens
        for request in fleet.requests
        if request.ended_at is not None
        and start_s <= request.ended_at < stop_s
        and is_selected(request)
    )
    return tokens / (stop_s - start_s)
