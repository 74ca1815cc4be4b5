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

__all__ = [
    "Choice",
    "Load",
    "Policy",
    "Source",
    "choose",
    "load_bound",
    "tie_s",
]


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
        fetch_tokens_s: Prompt tokens that an endpoint fetches in a second
            from the cache of another; 0 when it cannot.
        reread_weight: Cost of a second of reading what another endpoint has
            in its cache, against a second of waiting.
        fetch_weight: The same for what is fetched and so not read again.
        running_s: Delay that each running request adds.
        other_zone_s: Cost of an endpoint in another availability zone.
        slow_s: Cost of an endpoint that is still warming up.
        tie_s: Costs that differ by less are decided by the order of endpoints
            that all routers share; see `tie_s`.
    """

    load_multiple: float = 2.0
    load_extra: float = 3.0
    read_tokens_s: float = 48_200.0
    fetch_tokens_s: float = 0.0
    reread_weight: float = 12.0
    fetch_weight: float = 1.0
    running_s: float = 0.004
    other_zone_s: float = 0.001
    slow_s: float = 0.5
    tie_s: float = 0.05


# Share of each router in the width of a tie.
TIE_PER_ROUTER_S = 0.012


def tie_s(routers: int) -> float:
    """Returns how wide a tie is in a fleet of some routers.

    The more routers there are, the less each knows of what the others placed,
    and the more their shared order must decide.
    """
    return TIE_PER_ROUTER_S * routers


# A fetch of fewer tokens takes longer than to read them.
FETCH_TOKENS_MIN = 200
# Time to set up a fetch.
FETCH_SETUP_S = 0.0025


class Source(NamedTuple):
    """Where a prompt can be fetched from.

    Attributes:
        endpoint: The endpoint that has it in its cache.
        tokens: Tokens that it has beyond the one that fetches.
    """

    endpoint: roster.Endpoint
    tokens: int


class Choice(NamedTuple):
    """The endpoint chosen and what decided.

    Attributes:
        endpoint: The endpoint.
        cached_tokens: Prompt tokens that are expected in its cache.
        reread_tokens: Prompt tokens that another endpoint has in its cache
            and this one must read.
        source: Where the prompt is fetched from, or None.
        guess: Where it may be as well, when no cache is known to have it: the
            endpoint that other routers would choose first. A fetch of what is
            not there takes next to nothing.
        cost: Estimated cost in seconds.
        bound: Load beyond which no endpoint gets more.
        load: Its load before this request.
    """

    endpoint: roster.Endpoint
    cached_tokens: int
    reread_tokens: int
    source: Source | None
    cost: float
    bound: int
    load: Load
    guess: roster.Endpoint | None = None

    @property
    def ready_tokens(self) -> int:
        """Prompt tokens that need not be read."""
        return self.cached_tokens + (self.source.tokens if self.source else 0)


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
    leaving: Sequence[roster.Endpoint] = (),
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
        leaving: Endpoints that take no more work but have their caches.

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
    length = hints.prompt_tokens if hints else 0
    parts = hints.parts if hints else ()
    shared = parts[:-1] if len(parts) > 1 else parts
    everywhere = (*endpoints, *leaving)
    held = max(caches.cached(item.name, shared) for item in everywhere)
    holder = max(
        (
            Source(item, caches.fetchable(item.name, shared, now))
            for item in everywhere
        ),
        key=lambda item: item.tokens,
    )

    def rate(endpoint: roster.Endpoint) -> Choice:
        load = loads[endpoint.name]
        cached = caches.cached(endpoint.name, parts)
        lacking = max(0, held - cached)
        source = None
        if policy.fetch_tokens_s and holder.tokens - cached >= FETCH_TOKENS_MIN:
            source = Source(holder.endpoint, holder.tokens - cached)
        cost = _cost(policy, load, length - cached, lacking, source)
        if endpoint.zone != zone:
            cost += policy.other_zone_s
        if endpoint.slow_until > now:
            cost += policy.slow_s
        reread = lacking - (source.tokens if source else 0)
        return Choice(endpoint, cached, reread, source, cost, bound, load)

    key = shared[-1].identity if shared else ""
    step_s = max(
        policy.tie_s, sum(part.tokens for part in shared) / policy.read_tokens_s
    )
    best = min(
        map(rate, candidates),
        key=lambda item: _preference(item, key, step_s),
    )
    lacking = sum(part.tokens for part in shared) - best.ready_tokens
    if best.source or not policy.fetch_tokens_s or lacking < FETCH_TOKENS_MIN:
        return best
    others = [
        item
        for item in everywhere
        if item != best.endpoint and item.name not in suspects
    ]
    guess = min(others, key=lambda item: _order(item, key), default=None)
    return best._replace(guess=guess)


def _order(endpoint: roster.Endpoint, key: str) -> int:
    """Returns the place of an endpoint among those of a prompt."""
    return xxhash.xxh3_64_intdigest(f"{key}#{endpoint.name}".encode())


def _cost(
    policy: Policy, load: Load, unread: int, lacking: int, source: Source | None
) -> float:
    """Returns the estimated cost in seconds, but for the place of the endpoint.

    Args:
        policy: Weights.
        load: Load of the endpoint.
        unread: Prompt tokens that it does not have in its cache.
        lacking: Those of them that another endpoint has.
        source: Where they are fetched from, or None.
    """
    seconds = policy.running_s * load.running
    fetched = source.tokens if source else 0
    reread = max(0, lacking - fetched)
    weighed = policy.reread_weight * reread + policy.fetch_weight * fetched
    waiting = max(0, unread - fetched) + load.unread_tokens
    if fetched:
        seconds += FETCH_SETUP_S + fetched / policy.fetch_tokens_s
    return seconds + (weighed + waiting) / policy.read_tokens_s


def _preference(
    choice: Choice, key: str, step_s: float
) -> tuple[float, int, int]:
    """Returns what the best choice has the least of.

    Args:
        choice: A choice.
        key: Names the prompt; empty for a plain call.
        step_s: Costs that differ by less are equal. It is no less than the time
            to read the prompt: two routers that see other loads shall not have
            it read at two endpoints.
    """
    if not key:
        return choice.cost, choice.load.running, 0
    order = _order(choice.endpoint, key)
    return round(choice.cost / step_s), order, choice.load.running
