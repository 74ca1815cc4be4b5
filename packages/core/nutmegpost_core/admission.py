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


def wait_s(cost_ahead: float, rate: float | None) -> float:
    """Returns the expected wait behind some work.

    Args:
        cost_ahead: Estimated tokens that are served first.
        rate: Tokens served a second; None when nothing is known yet.
    """
    if rate is None:
        return 0.0
    if rate <= 0.0:
        return math.inf
    return cost_ahead / rate


def overdue(
    claims: Sequence[Claim],
    rate: float | None,
    now: float,
    ahead: float = 0.0,
) -> list[str]:
    """Returns the requests to refuse so that the others meet their targets.

    Args:
        claims: The waiting requests of one rank, earliest deadline first.
        rate: Tokens a second that the rank is served.
        now: Monotonic time, seconds.
        ahead: Estimated tokens of work that is served before all of them.

    Returns:
        Keys to refuse. At each claim that would start too late, the least
        worth among it and those before it goes; of equal worth, one of the
        account with the largest backlog.
    """
    if rate is None:
        return []
    refused: list[str] = []
    kept: list[Claim] = []
    for claim in claims:
        kept.append(claim)
        while kept and now + wait_s(ahead, rate) > claim.deadline:
            victim = min(kept, key=_refusal_order)
            kept.remove(victim)
            refused.append(victim.key)
            if victim is claim:
                break
            ahead -= victim.cost
        else:
            ahead += claim.cost
    return refused


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
