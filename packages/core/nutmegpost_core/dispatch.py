"""Which endpoint gets a request, from loads that lag and caches in part known.

For a prompt the choice weighs the time to read what is not cached against the
work that waits at an endpoint, so that a returning chat goes to its cache
unless the queue there costs more. Every router ranks the endpoints of a prompt
alike, so requests that nobody has a cache for meet at one endpoint. For a
plain service the least loaded endpoint is chosen.

No endpoint is loaded beyond a multiple of the mean of its service, counted
over all routers.
"""

from collections.abc import Callable, Collection, Sequence
import math
from typing import NamedTuple

import xxhash

from nutmegpost_core import calls
from nutmegpost_core import prefixes
from nutmegpost_core import roster

__all__ = ["Candidate", "Choice", "Load", "Policy", "choose", "load_bound"]


class Load(NamedTuple):
    """Load of an endpoint over all routers.

    Attributes:
        running: Requests that were sent and are not answered.
        unread_tokens: Tokens of their prompts that were not yet read.
    """

    running: int = 0
    unread_tokens: int = 0


class Policy(NamedTuple):
    """Weights of the choice.

    Attributes:
        load_multiple: Bound of the load as a multiple of the mean.
        load_extra: Requests that may be added to that bound.
        read_tokens_s: Prompt tokens that an endpoint reads in a second.
        reread_weight: Cost of a second of reading what another endpoint has
            in its cache, against a second of waiting.
        running_s: Delay that each running request adds.
        other_zone_s: Cost of an endpoint in another availability zone.
        slow_s: Cost of an endpoint that is still warming up.
    """

    load_multiple: float = 2.0
    load_extra: float = 3.0
    read_tokens_s: float = 48_200.0
    reread_weight: float = 3.0
    running_s: float = 0.004
    other_zone_s: float = 0.001
    slow_s: float = 0.5


class Candidate(NamedTuple):
    """An endpoint with its cost, the lowest is best."""

    cost: float
    endpoint: roster.Endpoint
    load: Load


class Choice(NamedTuple):
    """The endpoint chosen and what decided.

    Attributes:
        endpoint: The endpoint.
        cached_tokens: Prompt tokens that are expected in its cache.
        cost: Estimated cost in seconds.
        bound: Load beyond which no endpoint gets more.
        load: Its load before this request.
    """

    endpoint: roster.Endpoint
    cached_tokens: int
    cost: float
    bound: int
    load: Load


def load_bound(loads: Collection[Load], policy: Policy) -> int:
    """Returns the most requests that any endpoint of a service may have."""
    if not loads:
        return 0
    mean = sum(load.running for load in loads) / len(loads)
    return max(1, math.floor(policy.load_multiple * mean + policy.load_extra))


def choose(
    endpoints: Sequence[roster.Endpoint],
    load_of: Callable[[str], Load],
    caches: prefixes.Prefixes,
    hints: calls.PromptHints | None,
    zone: str,
    now: float,
    policy: Policy,
    avoid: Collection[str] = (),
    suspects: Collection[str] = (),
) -> Choice | None:
    """Chooses the endpoint of one request.

    Args:
        endpoints: Endpoints of the service that may get work.
        load_of: Gives the load of an endpoint.
        caches: What is known of the caches.
        hints: What is known of the prompt.
        zone: Availability zone of this router.
        now: Monotonic time, seconds.
        policy: Weights of the choice.
        avoid: Endpoints that already had this request.
        suspects: Endpoints that failed lately; used when there is no other.

    Returns:
        The choice; None when no endpoint may take the request.
    """
    loads = {endpoint.name: load_of(endpoint.name) for endpoint in endpoints}
    bound = load_bound(loads.values(), policy)
    allowed = [
        endpoint
        for endpoint in endpoints
        if endpoint.name not in avoid and loads[endpoint.name].running < bound
    ]
    sound = [item for item in allowed if item.name not in suspects]
    candidates = sound or allowed
    if not candidates:
        return None
    parts = hints.parts if hints else ()
    shared = parts[:-1] if len(parts) > 1 else parts
    held = {
        endpoint.name: caches.cached(endpoint.name, parts)
        for endpoint in candidates
    }
    best_shared = max(
        caches.cached(endpoint.name, shared) for endpoint in endpoints
    )
    length = hints.prompt_tokens if hints else 0

    def cost(endpoint: roster.Endpoint) -> float:
        load = loads[endpoint.name]
        cached = held[endpoint.name]
        reread = max(0, best_shared - cached)
        unread = max(0, length - cached) + load.unread_tokens
        seconds = unread / policy.read_tokens_s
        seconds += policy.reread_weight * reread / policy.read_tokens_s
        seconds += policy.running_s * load.running
        if endpoint.zone != zone:
            seconds += policy.other_zone_s
        if endpoint.slow_until > now:
            seconds += policy.slow_s
        return seconds

    key = shared[-1].identity if shared else ""
    costs = {endpoint.name: cost(endpoint) for endpoint in candidates}
    chosen = min(
        candidates,
        key=lambda item: (
            _tie(costs[item.name], key),
            _order(item.name, key),
            loads[item.name].running,
        ),
    )
    return Choice(
        chosen,
        held[chosen.name],
        costs[chosen.name],
        bound,
        loads[chosen.name],
    )


# Costs that differ by less are decided by the order that all routers share.
_TIE_S = 0.02


def _tie(cost: float, key: str) -> float:
    return round(cost / _TIE_S) if key else cost


def _order(name: str, key: str) -> int:
    if not key:
        return 0
    return xxhash.xxh3_64_intdigest(f"{key}#{name}".encode())
