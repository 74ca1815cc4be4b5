"""Endpoint selection with delayed load reports and estimated prefix caches.

For a prompt, the cost of an endpoint combines the prefill time of the uncached
tokens with the work already queued there, so a returning chat is routed to its
cached prefix unless the queue there costs more. All routers break ties by the
same rendezvous hash order, so concurrent requests with the same uncached prompt
go to one endpoint. Requests to a plain service go to the least loaded endpoint.

The load of an endpoint is bounded by a multiple of the mean load of its
service, counted over all routers.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
import math
import random
from typing import NamedTuple

import xxhash

from nutmegpost_core import calls
from nutmegpost_core import prefill
from nutmegpost_core import prefixes
from nutmegpost_core import roster

__all__ = [
    "Choice",
    "FetchSource",
    "Load",
    "Policy",
    "Speeds",
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
        fetch_target_share: Share of its latency target for which a request
            waits at the holder of its prompt rather than have the prompt
            copied. A copy evicts prompts that other requests return to.
        running_request_s: Delay added by each running request, seconds.
        tie_target_share: Largest tie width as a share of the latency target of
            the request.
        cross_zone_s: Cost of an endpoint in another availability zone, seconds.
        warm_up_s: Cost of an endpoint that is warming up, seconds.
        cold_start_s: Time in which this cost falls to 0 at the end of the
            warm-up, seconds, so that load shifts gradually; 0 if it stays.
        tie_width_s: Endpoints whose cost is at most half of this above the
            lowest, in seconds, are ties, which rendezvous hashing resolves;
            see `tie_width_s`.
        delayed_work_s: Work of a request that takes longer at a slow endpoint,
            besides the prefill, seconds; 0 if no endpoint is slow.
    """

    load_multiple: float = 2.0
    load_slack: float = 3.0
    prefill_tokens_per_s: float = prefill.PREFILL_TOKENS_PER_S
    fetch_tokens_per_s: float = 0.0
    duplicate_prefill_weight: float = 12.0
    fetch_weight: float = 1.0
    fetch_target_share: float = 0.25
    running_request_s: float = 0.004
    tie_target_share: float = 0.25
    cross_zone_s: float = 0.001
    warm_up_s: float = 0.5
    cold_start_s: float = 0.0
    tie_width_s: float = 0.05
    delayed_work_s: float = 0.0


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
# Running requests by which the loads of endpoints of similar cost may differ.
_SIMILAR_REQUESTS = 1.5


class FetchSource(NamedTuple):
    """An endpoint from which cached prompt tokens can be fetched.

    Attributes:
        endpoint: Endpoint that has the tokens cached.
        tokens: Number of tokens to fetch from it.
    """

    endpoint: roster.Endpoint
    tokens: int


class Speeds(NamedTuple):
    """Endpoints that are slow now.

    Attributes:
        slowdowns: Time that work takes, as a multiple of the usual time, by
            name of the endpoint; 1 for the others.
        rng: Chooses among endpoints of similar cost.
    """

    slowdowns: Mapping[str, float]
    rng: random.Random


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
    def has_free_slot(self) -> bool:
        """Whether the endpoint can run the request at once, if known."""
        slots = self.endpoint.slots
        return not slots or self.load.running < slots

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
    target_s: float = 0.0,
    exhausted: Collection[str] = (),
    speeds: Speeds | None = None,
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
        target_s: Latency target of the request, seconds.
        exhausted: Names of endpoints whose request limit is used up. They do
            not count for the bound, since the others do their work.
        speeds: Which endpoints are slow now; None if all are as usual.

    Returns:
        The choice, or None when every endpoint is excluded, exhausted or at
        the bound.
    """
    loads = {endpoint.name: load_of(endpoint.name) for endpoint in endpoints}
    bound = load_bound(
        [load for name, load in loads.items() if name not in exhausted], policy
    )
    allowed = [
        endpoint
        for endpoint in endpoints
        if endpoint.name not in excluded
        and endpoint.name not in exhausted
        and loads[endpoint.name].running < bound
    ]
    healthy = [endpoint for endpoint in allowed if endpoint.name not in ejected]
    candidates = healthy or allowed
    if not candidates:
        return None
    prompt = _locate_prompt((*endpoints, *draining), caches, hints, now, policy)
    presumed = _presume_holder(prompt, endpoints, ejected)
    slowdowns = speeds.slowdowns if speeds else {}
    costs = [
        _cost(
            policy,
            loads[endpoint.name],
            presumed,
            endpoint,
            zone,
            now,
            target_s,
            slowdowns.get(endpoint.name, 1.0),
        )
        for endpoint in candidates
    ]
    if speeds and not prompt.key:
        best = _best_of_two(candidates, costs, loads, policy, speeds.rng)
    else:
        best = _best_index(candidates, costs, loads, prompt, policy, target_s)
    endpoint = candidates[best]
    source = prompt.source_for(endpoint.name, policy)
    cached = prompt.cached_by_endpoint.get(endpoint.name, 0)
    unknown = prompt.shared_tokens - cached - (source.tokens if source else 0)
    speculative_source = None
    if policy.fetch_tokens_per_s and unknown >= FETCH_TOKENS_MIN:
        # The presumed holder probably has all that the known source has.
        source = None
        speculative_source = _first_in_order(
            (*endpoints, *draining), {*ejected, endpoint.name}, prompt.key
        )
    duplicate_prefill = max(0, prompt.best_cached - cached)
    if source is not None:
        duplicate_prefill -= source.tokens
    return Choice(
        endpoint,
        cached,
        duplicate_prefill,
        source,
        costs[best],
        bound,
        loads[endpoint.name],
        speculative_source,
    )


class _LocatedPrompt(NamedTuple):
    """A prompt and where its tokens are cached.

    Attributes:
        tokens: Length of the prompt.
        shared_tokens: Length of the parts that other requests may share.
        key: Identity of the last shared part; empty for a plain call.
        cached_by_endpoint: Length of the longest cached prefix, by name of the
            endpoint, for the endpoints that have any.
        best_cached: Most shared tokens that one endpoint has cached.
        best_source: Endpoint from which most shared tokens can be fetched.
    """

    tokens: int
    shared_tokens: int
    key: str
    cached_by_endpoint: Mapping[str, int]
    best_cached: int
    best_source: FetchSource | None

    def fetched_tokens(self, name: str, policy: Policy) -> int:
        """Returns the tokens that an endpoint would fetch."""
        if self.best_source is None or not policy.fetch_tokens_per_s:
            return 0
        tokens = self.best_source.tokens - self.cached_by_endpoint.get(name, 0)
        return tokens if tokens >= FETCH_TOKENS_MIN else 0

    def source_for(self, name: str, policy: Policy) -> FetchSource | None:
        """Returns where an endpoint would fetch from, or None."""
        tokens = self.fetched_tokens(name, policy)
        if not tokens or self.best_source is None:
            return None
        return FetchSource(self.best_source.endpoint, tokens)


def _locate_prompt(
    endpoints: Sequence[roster.Endpoint],
    caches: prefixes.PrefixCaches,
    hints: calls.PromptHints | None,
    now: float,
    policy: Policy,
) -> _LocatedPrompt:
    """Returns where the tokens of a prompt are cached.

    Args:
        endpoints: Endpoints whose cache can be used or fetched from.
        caches: Estimated cache contents of the endpoints.
        hints: Description of the prompt; None for a plain service.
        now: Monotonic time, seconds.
        policy: Whether endpoints can fetch from one another.
    """
    if hints is None or not hints.parts:
        tokens = hints.prompt_tokens if hints else 0
        return _LocatedPrompt(tokens, 0, "", {}, 0, None)
    shared = hints.parts[:-1] if len(hints.parts) > 1 else hints.parts
    shared_tokens = sum(part.tokens for part in shared)
    cached = caches.cached_by_endpoint(hints.parts)
    best_cached = 0
    best_source: FetchSource | None = None
    for endpoint in endpoints:
        tokens = min(cached.get(endpoint.name, 0), shared_tokens)
        best_cached = max(best_cached, tokens)
        if not policy.fetch_tokens_per_s or tokens <= (
            best_source.tokens if best_source else 0
        ):
            continue
        fetchable = caches.fetchable_tokens(endpoint.name, shared, now)
        if fetchable > (best_source.tokens if best_source else 0):
            best_source = FetchSource(endpoint, fetchable)
    return _LocatedPrompt(
        hints.prompt_tokens,
        shared_tokens,
        shared[-1].identity,
        cached,
        best_cached,
        best_source,
    )


def _presume_holder(
    prompt: _LocatedPrompt,
    endpoints: Sequence[roster.Endpoint],
    ejected: Collection[str],
) -> _LocatedPrompt:
    """Returns where a prompt probably is cached if no holder is known.

    A router of a large fleet learns of few placements of the others. Most are
    at the first endpoint in rendezvous order, so that this one is as good as a
    known holder, and any other probably has to prefill the prompt again.

    Args:
        prompt: The prompt and where it is known to be cached.
        endpoints: Usable endpoints of the service.
        ejected: Names of those that are ejected as outliers.
    """
    if prompt.shared_tokens - prompt.best_cached < FETCH_TOKENS_MIN:
        return prompt
    first = _first_in_order(endpoints, ejected, prompt.key)
    if first is None:
        return prompt
    cached = {**prompt.cached_by_endpoint, first.name: prompt.shared_tokens}
    return prompt._replace(
        cached_by_endpoint=cached,
        best_cached=prompt.shared_tokens,
        best_source=FetchSource(first, prompt.shared_tokens),
    )


def _best_index(
    candidates: Sequence[roster.Endpoint],
    costs: Sequence[float],
    loads: Mapping[str, Load],
    prompt: _LocatedPrompt,
    policy: Policy,
    target_s: float,
) -> int:
    """Returns the index of the best candidate.

    Candidates that cost little more than the cheapest are ties, and rendezvous
    hashing orders them, so that routers with different views of the load choose
    the same one. Ties are at least as wide as the prefill time of the prompt,
    so that two routers do not prefill it at two endpoints, and otherwise narrow
    enough that the difference leaves the target within reach.
    """
    indices = range(len(candidates))
    if not prompt.key:
        return min(
            indices,
            key=lambda index: (
                costs[index],
                loads[candidates[index].name].running,
            ),
        )
    width_s = policy.tie_width_s
    if target_s:
        width_s = min(width_s, policy.tie_target_share * target_s)
    tie_s = max(width_s, prompt.shared_tokens / policy.prefill_tokens_per_s)
    cost_max = min(costs) + tie_s / 2
    return min(
        (index for index in indices if costs[index] <= cost_max),
        key=lambda index: _rendezvous_score(candidates[index], prompt.key),
    )


def _best_of_two(
    candidates: Sequence[roster.Endpoint],
    costs: Sequence[float],
    loads: Mapping[str, Load],
    policy: Policy,
    rng: random.Random,
) -> int:
    """Returns the index of the better of two random candidates of low cost.

    Estimates of speeds lag, and all routers have similar ones. If each took the
    cheapest, all would send their requests to the same endpoint. Candidates in
    another zone than the cheapest are left out, as traffic between zones costs.
    """
    cheapest = min(range(len(candidates)), key=costs.__getitem__)
    cost_max = costs[cheapest] + _SIMILAR_REQUESTS * policy.running_request_s
    similar = [
        index
        for index, endpoint in enumerate(candidates)
        if costs[index] <= cost_max
        and endpoint.zone == candidates[cheapest].zone
    ]
    drawn = rng.sample(similar, min(2, len(similar)))
    return min(
        drawn,
        key=lambda index: (loads[candidates[index].name].running, costs[index]),
    )


def _rendezvous_score(endpoint: roster.Endpoint, key: str) -> int:
    """Returns the rendezvous hash of an endpoint for a prompt; lowest wins."""
    return xxhash.xxh3_64_intdigest(f"{key}#{endpoint.name}".encode())


def _first_in_order(
    endpoints: Sequence[roster.Endpoint], excluded: Collection[str], key: str
) -> roster.Endpoint | None:
    """Returns the first endpoint in rendezvous order, or None.

    Args:
        endpoints: The endpoints.
        excluded: Names of those that are passed over.
        key: Identity of the shared prompt prefix.
    """
    return min(
        (endpoint for endpoint in endpoints if endpoint.name not in excluded),
        key=lambda endpoint: _rendezvous_score(endpoint, key),
        default=None,
    )


def _delay_s(
    policy: Policy, load: Load, endpoint: roster.Endpoint, slowdown: float
) -> float:
    """Returns the delay of the work of a request at an endpoint, seconds.

    It is that of slow work, and of a queue, which is worked off more slowly.
    """
    queued = max(0, load.running + 1 - endpoint.slots) if endpoint.slots else 0
    queue_s = policy.delayed_work_s * queued / max(1, endpoint.slots)
    return policy.delayed_work_s * (slowdown - 1.0) + queue_s * slowdown


def _warm_up_cost(policy: Policy, remaining_s: float) -> float:
    """Returns the cost of an endpoint that is warming up, seconds."""
    if remaining_s <= 0:
        return 0.0
    if not policy.cold_start_s:
        return policy.warm_up_s
    return policy.warm_up_s * min(1.0, remaining_s / policy.cold_start_s)


def _cost(
    policy: Policy,
    load: Load,
    prompt: _LocatedPrompt,
    endpoint: roster.Endpoint,
    zone: str,
    now: float,
    target_s: float,
    slowdown: float,
) -> float:
    """Returns the estimated cost of an endpoint, seconds.

    Args:
        policy: Parameters of the cost function.
        load: Load of the endpoint.
        prompt: The prompt and where it is cached.
        endpoint: The endpoint.
        zone: Availability zone of this router.
        now: Monotonic time, seconds.
        target_s: Latency target of the request, seconds.
        slowdown: Time that work takes at the endpoint; 1 is usual.
    """
    seconds = policy.running_request_s * load.running * slowdown
    if policy.delayed_work_s:
        seconds += _delay_s(policy, load, endpoint, slowdown)
    if endpoint.zone != zone:
        seconds += policy.cross_zone_s
    seconds += _warm_up_cost(policy, endpoint.warming_until - now)
    cached = prompt.cached_by_endpoint.get(endpoint.name, 0)
    fetched = prompt.fetched_tokens(endpoint.name, policy)
    if fetched:
        seconds += FETCH_SETUP_S + fetched / policy.fetch_tokens_per_s
        seconds += policy.fetch_target_share * target_s
    duplicate_prefill = max(0, prompt.best_cached - cached - fetched)
    weighted = (
        policy.duplicate_prefill_weight * duplicate_prefill
        + policy.fetch_weight * fetched
    )
    uncached = max(0, prompt.tokens - cached - fetched)
    waiting = (uncached + load.pending_prefill_tokens) * slowdown
    return seconds + (weighted + waiting) / policy.prefill_tokens_per_s
