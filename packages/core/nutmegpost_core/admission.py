"""Admission control: early refusal of requests that would miss their target.

A request that misses its target only delays others, so it is refused before
it runs, and the response says when a retry may succeed.
"""

from collections.abc import Iterable, Sequence
import math
from typing import NamedTuple

from nutmegpost_core import configuration

__all__ = [
    "RETRY_AFTER_MAX_S",
    "RETRY_AFTER_MIN_S",
    "WaitingRequest",
    "ServiceRate",
    "select_refusals",
    "retry_after_s",
    "expected_wait_s",
    "class_weights",
]

RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_MAX_S = 60.0


class WaitingRequest(NamedTuple):
    """A waiting request, as admission control sees it.

    Attributes:
        key: Identifier of the request.
        deadline: Latest start that meets the target, monotonic seconds.
        cost: Estimated tokens.
        worth: Value of the request relative to others.
        backlog: Estimated tokens of all waiting requests of its account.
    """

    key: str
    deadline: float
    cost: float
    worth: float
    backlog: float


class ServiceRate(NamedTuple):
    """Rate at which an endpoint starts waiting requests.

    Attributes:
        concurrency: Requests that are served at the same time.
        mean_cost: Mean estimated tokens of a served request.
        tokens_per_s: Estimated tokens served per second; None before the
            first measurement.
    """

    concurrency: int
    mean_cost: float
    tokens_per_s: float | None


def expected_wait_s(
    waiting: int, backlog: float, service_rate: ServiceRate
) -> float:
    """Returns the expected wait of a request behind others, in seconds.

    The first `concurrency` starts each wait for a running request to end and
    are paced by the mean cost; later starts are paced by the cost of the
    waiting requests.

    Args:
        waiting: Number of requests that start before it.
        backlog: Their estimated tokens.
        service_rate: Rate at which requests start.
    """
    if service_rate.tokens_per_s is None:
        return 0.0
    if service_rate.tokens_per_s <= 0.0:
        return math.inf
    paced_by_running = min(waiting, service_rate.concurrency) + 1
    share_paced_by_waiting = max(0, waiting - service_rate.concurrency) / max(
        1, waiting
    )
    return (
        paced_by_running * service_rate.mean_cost
        + share_paced_by_waiting * backlog
    ) / service_rate.tokens_per_s


def select_refusals(
    requests: Sequence[WaitingRequest],
    newest_key: str,
    service_rate: ServiceRate,
    now: float,
    waiting: int = 0,
    backlog: float = 0.0,
) -> list[str]:
    """Selects the requests to refuse when a new one joins the queue.

    Args:
        requests: The waiting requests of one rank, earliest deadline first.
        newest_key: Key of the new request. Requests before it are not delayed
            by it, so they stay even when they are expected to be late.
        service_rate: Rate at which requests of the rank start.
        now: Monotonic time, seconds.
        waiting: Number of more urgent requests, which start before all of
            these.
        backlog: Estimated tokens of the more urgent requests.

    Returns:
        Keys to refuse. For each request that would start too late, the
        request of least worth among it and those before it is refused;
        at equal worth, one of the account with the largest backlog.
    """
    refused: list[str] = []
    admitted: list[WaitingRequest] = []
    is_delayed = False
    for request in requests:
        admitted.append(request)
        backlog += request.cost
        is_delayed = is_delayed or request.key == newest_key
        if not is_delayed:
            continue
        lateness_s = _lateness_s(admitted, service_rate, now, waiting, backlog)
        while admitted and lateness_s > 0.0:
            victim = min(admitted, key=_refusal_order)
            admitted.remove(victim)
            backlog -= victim.cost
            refused.append(victim.key)
            if victim.key == newest_key:
                # Without the new request the others are no later than before.
                return refused
            if victim is request:
                break
            lateness_s = _lateness_s(
                admitted, service_rate, now, waiting, backlog
            )
    return refused


def _lateness_s(
    admitted: Sequence[WaitingRequest],
    service_rate: ServiceRate,
    now: float,
    waiting: int,
    backlog: float,
) -> float:
    """Seconds by which the last request starts after its deadline."""
    last = admitted[-1]
    ahead = waiting + len(admitted) - 1
    return (
        now
        + expected_wait_s(ahead, backlog - last.cost, service_rate)
        - last.deadline
    )


def _refusal_order(request: WaitingRequest) -> tuple[float, float, float]:
    return request.worth, -request.backlog, -request.deadline


def retry_after_s(wait_s: float, target_wait_s: float) -> float:
    """Returns the delay after which a retry may succeed, in seconds.

    Args:
        wait_s: Expected wait now, seconds.
        target_wait_s: Longest wait that meets the target, seconds.
    """
    excess_s = wait_s - target_wait_s
    if not math.isfinite(excess_s):
        return RETRY_AFTER_MAX_S
    return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, excess_s))


def class_weights(
    classes: Iterable[configuration.WorkClass],
) -> dict[str, float]:
    """Returns the weight of each work class.

    The weight is the worth divided by the target time to the first token: of
    two classes of the same worth, the one with the tighter target loses more
    by a delay. Weights are scaled so that the smallest is 1.

    Args:
        classes: The declared classes.
    """
    worth_per_s = {
        work_class["name"]: work_class["worth"]
        * 1000.0
        / work_class["first_token_ms"]
        for work_class in classes
    }
    weight_unit = min(worth_per_s.values(), default=1.0)
    return {name: weight / weight_unit for name, weight in worth_per_s.items()}
