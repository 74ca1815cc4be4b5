"""Endpoint selection with delayed load reports and estimated prefix caches.

For a prompt, the cost of an endpoint combines the prefill time of the uncached
tokens with the work already queued there, so a returning chat is routed to its
cached prefix unless the queue there costs more. All routers break ties by the
same rendezvous hash order, so concurrent requests with the same uncached prompt
go to one endpoint. Requests to a plain service go to the least loaded endpoint.

The load of an endpoint is bounded by a multiple of the mean load of its
service, counted over all routers.
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
    "FetchSource",
    "Load",
    "Policy",
    "choose",
    "load_bound",
    "tie_width_s",
]


class Load(NamedTuple):
    """Load of an endpoint over all routers.

    Attributes:
        running: Requests in flight.
        pending_prefill_tokens: Prompt tokens of these requests that the
            endpoint has not prefilled yet.
    """

    running: int = 0
    pending_prefill_tokens: int = 0


class Policy(NamedTuple):
    """Parameters of the cost function and the load bound.

    Attributes:
        load_multiple: Load bound as a multiple of the mean load.
        load_slack: Requests added to this bound.
        prefill_tokens_per_s: Prefill rate of an endpoint, tokens per second.
        fetch_tokens_per_s: Rate at which an endpoint fetches cached tokens
            from another endpoint, tokens per second; 0 if it cannot fetch.
        duplicate_prefill_weight: Cost of one second of prefilling tokens that
            another endpoint has cached, relative to one second of waiting.
        fetch_weight: Weight of the prefill time of the tokens that are fetched
            instead of prefilled again.
        running_request_s: Delay added by each running request, seconds.
        cross_zone_s: Cost of an endpoint in another availability zone, seconds.
        warm_up_s: Cost of an endpoint that is warming up, seconds.
        tie_width_s: Costs that differ by less than this, in seconds, are ties
            and resolved by rendezvous hashing; see `tie_width_s`.
    """

    load_multiple: float = 2.0
    load_slack: float = 3.0
    prefill_tokens_per_s: float = 48_200.0
    fetch_tokens_per_s: float = 0.0
    duplicate_prefill_weight: float = 12.0
    fetch_weight: float = 1.0
    running_request_s: float = 0.004
    cross_zone_s: float = 0.001
    warm_up_s: float = 0.5
    tie_width_s: float = 0.05


# Tie width added by each router of the fleet.
TIE_WIDTH_PER_ROUTER_S = 0.012


def tie_width_s(routers: int) -> float:
    """Returns the tie width for a fleet of the given size, seconds.

    With more routers, each one sees a smaller part of the recent dispatches, so
    more decisions must come from the hash order that all routers share.

    Args:
        routers: Number of routers in the fleet.
    """
    return TIE_WIDTH_PER_ROUTER_S * routers


# Fetching fewer tokens takes longer than prefilling them.
FETCH_TOKENS_MIN = 200
# Setup time of a fetch.
FETCH_SETUP_S = 0.0025


class FetchSource(NamedTuple):
    """An endpoint from which cached prompt tokens can be fetched.

    Attributes:
        endpoint: Endpoint that has the tokens cached.
        tokens: Number of tokens to fetch from it.
    """

    endpoint: roster.Endpoint
    tokens: int


class Choice(NamedTuple):
    """The chosen endpoint and the figures behind the choice.

    Attributes:
        endpoint: The chosen endpoint.
        cached_tokens: Prompt tokens expected in its cache.
        duplicate_prefill_tokens: Prompt tokens that another endpoint has cached
            and this endpoint must prefill again.
        source: Where cached tokens are fetched from, or None.
        cost: Estimated cost, seconds.
        bound: Load at which an endpoint gets no further requests.
        load: Load of the endpoint before this request.
        speculative_source: Endpoint to try a fetch from when no cache is known
            to have the prompt: the one that other routers would prefer, or
            None. The cost of a fetch that finds nothing is negligible.
    """

    endpoint: roster.Endpoint
    cached_tokens: int
    duplicate_prefill_tokens: int
    source: FetchSource | None
    cost: float
    bound: int
    load: Load
    speculative_source: roster.Endpoint | None = None

    @property
    def reusable_tokens(self) -> int:
        """Prompt tokens that need no prefill: cached or fetched."""
        return self.cached_tokens + (self.source.tokens if self.source else 0)


def load_bound(loads: Collection[Load], policy: Policy) -> int:
    """Returns the load at which an endpoint gets no further requests.

    Args:
        loads: Loads of all endpoints of the service.
        policy: Parameters of the bound.
    """
    if not loads:
        return 0
    mean = sum(load.running for load in loads) / len(loads)
    return max(1, math.floor(policy.load_multiple * mean + policy.load_slack))


def choose(
    endpoints: Sequence[roster.Endpoint],
    load_of: Callable[[str], Load],
    caches: prefixes.PrefixCaches,
    hints: calls.PromptHints | None,
    zone: str,
    now: float,
    policy: Policy,
    excluded: Collection[str] = (),
    ejected: Collection[str] = (),
    draining: Sequence[roster.Endpoint] = (),
) -> Choice | None:
    """Chooses the endpoint for one request.

    Args:
        endpoints: Usable endpoints of the service.
        load_of: Returns the load of an endpoint by its name.
        caches: Estimated cache contents of the endpoints.
        hints: Description of the prompt; None for a plain service.
        zone: Availability zone of this router.
        now: Monotonic time, seconds.
        policy: Parameters of the cost function and the load bound.
        excluded: Names of endpoints already tried for this request.
        ejected: Names of endpoints ejected as outliers; chosen only when no
            other endpoint is below the bound.
        draining: Endpoints that take no new requests but can serve fetches
            from their caches.

    Returns:
        The choice, or None when every endpoint is excluded or at the bound.
    """
    loads = {endpoint.name: load_of(endpoint.name) for endpoint in endpoints}
    bound = load_bound(loads.values(), policy)
    allowed = [
        endpoint
        for endpoint in endpoints
        if endpoint.name not in excluded
        and loads[endpoint.name].running < bound
    ]
    healthy = [endpoint for endpoint in allowed if endpoint.name not in ejected]
    candidates = healthy or allowed
    if not candidates:
        return None
    prompt_tokens = hints.prompt_tokens if hints else 0
    parts = hints.parts if hints else ()
    shared = parts[:-1] if len(parts) > 1 else parts
    cache_candidates = (*endpoints, *draining)
    best_cached = max(
        caches.cached_tokens(endpoint.name, shared)
        for endpoint in cache_candidates
    )
    best_source = max(
        (
            FetchSource(
                endpoint, caches.fetchable_tokens(endpoint.name, shared, now)
            )
            for endpoint in cache_candidates
        ),
        key=lambda source: source.tokens,
    )

    def evaluate(endpoint: roster.Endpoint) -> Choice:
        load = loads[endpoint.name]
        cached = caches.cached_tokens(endpoint.name, parts)
        cached_elsewhere = max(0, best_cached - cached)
        source = None
        if (
            policy.fetch_tokens_per_s
            and best_source.tokens - cached >= FETCH_TOKENS_MIN
        ):
            source = FetchSource(
                best_source.endpoint, best_source.tokens - cached
            )
        cost = _cost(
            policy, load, prompt_tokens - cached, cached_elsewhere, source
        )
        if endpoint.zone != zone:
            cost += policy.cross_zone_s
        if endpoint.warming_until > now:
            cost += policy.warm_up_s
        duplicate_prefill = cached_elsewhere - (source.tokens if source else 0)
        return Choice(
            endpoint, cached, duplicate_prefill, source, cost, bound, load
        )

    key = shared[-1].identity if shared else ""
    tie_s = max(
        policy.tie_width_s,
        sum(part.tokens for part in shared) / policy.prefill_tokens_per_s,
    )
    best = min(
        map(evaluate, candidates),
        key=lambda choice: _preference(choice, key, tie_s),
    )
    missing = sum(part.tokens for part in shared) - best.reusable_tokens
    if (
        best.source
        or not policy.fetch_tokens_per_s
        or missing < FETCH_TOKENS_MIN
    ):
        return best
    others = [
        endpoint
        for endpoint in cache_candidates
        if endpoint != best.endpoint and endpoint.name not in ejected
    ]
    speculative_source = min(
        others,
        key=lambda endpoint: _rendezvous_score(endpoint, key),
        default=None,
    )
    return best._replace(speculative_source=speculative_source)


def _rendezvous_score(endpoint: roster.Endpoint, key: str) -> int:
    """Returns the rendezvous hash of an endpoint for a prompt; lowest wins."""
    return xxhash.xxh3_64_intdigest(f"{key}#{endpoint.name}".encode())


def _cost(
    policy: Policy,
    load: Load,
    uncached: int,
    cached_elsewhere: int,
    source: FetchSource | None,
) -> float:
    """Returns the estimated cost in seconds, without zone and warm-up costs.

    Args:
        policy: Parameters of the cost function.
        load: Load of the endpoint.
        uncached: Prompt tokens that are not in the cache of the endpoint.
        cached_elsewhere: Tokens among these that another endpoint has cached.
        source: Where they are fetched from, or None.
    """
    seconds = policy.running_request_s * load.running
    fetched = source.tokens if source else 0
    duplicate_prefill = max(0, cached_elsewhere - fetched)
    weighted = (
        policy.duplicate_prefill_weight * duplicate_prefill
        + policy.fetch_weight * fetched
    )
    waiting = max(0, uncached - fetched) + load.pending_prefill_tokens
    if fetched:
        seconds += FETCH_SETUP_S + fetched / policy.fetch_tokens_per_s
    return seconds + (weighted + waiting) / policy.prefill_tokens_per_s


def _preference(
    choice: Choice, key: str, tie_s: float
) -> tuple[float, int, int]:
    """Returns the sort key of a choice; the lowest is the best.

    Args:
        choice: A candidate.
        key: Identity of the shared prompt prefix; empty for a plain call.
        tie_s: Width of the buckets that costs are rounded to, seconds. At least
            the prefill time of the prompt, so that two routers with different
            views of the load do not prefill it at two endpoints.
    """
    if not key:
        return choice.cost, choice.load.running, 0
    order = _rendezvous_score(choice.endpoint, key)
    return round(choice.cost / tie_s), order, choice.load.running
