"""Early refusal of work that cannot meet its target, and what it is worth.

A request that will miss its target only delays others, so it is refused
before it runs, and the caller learns when a repeat may succeed.
"""

from collections.abc import Iterable, Sequence
import math
from typing import NamedTuple

from nutmegpost_core import configuration

__all__ = [
    "RETRY_AFTER_MAX_S",
    "RETRY_AFTER_MIN_S",
    "Claim",
    "Pace",
    "overdue",
    "retry_after_s",
    "wait_s",
    "weights",
]

RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_MAX_S = 60.0


class Claim(NamedTuple):
    """What one waiting request asks of the queue.

    Attributes:
        key: Name of the request.
        deadline: Latest start that meets the target, monotonic seconds.
        cost: Estimated tokens.
        worth: Value of the request against others.
        backlog: Estimated tokens that its account has waiting.
    """

    key: str
    deadline: float
    cost: float
    worth: float
    backlog: float


class Pace(NamedTuple):
    """How fast waiting requests start.

    Attributes:
        width: Requests that are served at once.
        mean_cost: Mean estimated tokens of the requests served.
        rate: Tokens a second; None when nothing is known yet.
    """

    width: int
    mean_cost: float
    rate: float | None


def wait_s(waiting: int, backlog: float, pace: Pace) -> float:
    """Returns the expected wait of a request behind others.

    The first starts are paced by the requests that run, the later ones by
    those that wait.

    Args:
        waiting: Requests that start first.
        backlog: Their estimated tokens.
        pace: How fast requests start.
    """
    if pace.rate is None:
        return 0.0
    if pace.rate <= 0.0:
        return math.inf
    paced = min(waiting, pace.width) + 1
    rest = max(0, waiting - pace.width) / max(1, waiting)
    return (paced * pace.mean_cost + rest * backlog) / pace.rate


def overdue(
    claims: Sequence[Claim],
    newest: str,
    pace: Pace,
    now: float,
    waiting: int = 0,
    backlog: float = 0.0,
) -> list[str]:
    """Returns the requests to refuse when a new one joins the others.

    Args:
        claims: The waiting requests of one rank, earliest deadline first.
        newest: Key of the new one. Those before it are not delayed by it, so
            they stay even when they are expected to be late.
        pace: How fast requests of the rank start.
        now: Monotonic time, seconds.
        waiting: More urgent requests, which start before all of them.
        backlog: Estimated tokens of those.

    Returns:
        Keys to refuse. At each claim that would start too late, the least
        worth among it and those before it goes; of equal worth, one of the
        account with the largest backlog.
    """
    refused: list[str] = []
    kept: list[Claim] = []
    delayed = False
    for claim in claims:
        kept.append(claim)
        backlog += claim.cost
        delayed = delayed or claim.key == newest
        if not delayed:
            continue
        late = _lateness(kept, pace, now, waiting, backlog)
        while kept and late > 0.0:
            victim = min(kept, key=_refusal_order)
            kept.remove(victim)
            backlog -= victim.cost
            refused.append(victim.key)
            if victim.key == newest:
                # The others are late no more than they were without it.
                return refused
            if victim is claim:
                break
            late = _lateness(kept, pace, now, waiting, backlog)
    return refused


def _lateness(
    kept: Sequence[Claim],
    pace: Pace,
    now: float,
    waiting: int,
    backlog: float,
) -> float:
    """Seconds by which the last claim starts too late."""
    last = kept[-1]
    ahead = waiting + len(kept) - 1
    return now + wait_s(ahead, backlog - last.cost, pace) - last.deadline


def _refusal_order(claim: Claim) -> tuple[float, float, float]:
    return claim.worth, -claim.backlog, -claim.deadline


def retry_after_s(wait: float, target: float) -> float:
    """Returns when a repeat may succeed.

    Args:
        wait: Expected wait now, seconds.
        target: Longest wait that meets the target, seconds.
    """
    excess = wait - target
    if not math.isfinite(excess):
        return RETRY_AFTER_MAX_S
    return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, excess))


def weights(
    classes: Iterable[configuration.WorkClass],
) -> dict[str, float]:
    """Returns the weight of each class, from its worth and its target.

    The weight is the worth for each second of the target: of two classes of
    the same worth, the one with the tighter target loses more by a delay.
    The least weight is 1.

    Args:
        classes: The declared classes.
    """
    raw = {
        item["name"]: item["worth"] * 1000.0 / item["first_token_ms"]
        for item in classes
    }
    least = min(raw.values(), default=1.0)
    return {name: value / least for name, value in raw.items()}
