"""A model of engines that prefill prompts, used to evaluate dispatching.

Several routers dispatch prompts with recurring parts. An engine prefills one
prompt at a time, in chunks and by priority level, and keeps its tokens in a
prefix cache of limited size. It can first fetch tokens from the cache of
another engine, one transfer at a time. Routers learn the placements and loads
of each other with a delay. The model runs in simulated time, without a network
or processes.
"""

from collections.abc import Callable, Sequence
import heapq
from typing import NamedTuple

from nutmegpost_core import calls
from nutmegpost_core import dispatch
from nutmegpost_core import prefixes
from nutmegpost_core import roster
from nutmegpost_core import urgency
from nutmegpost_standins import enginemodel

__all__ = ["EndpointChooser", "EngineRates", "Fleet", "Outcome", "Router"]

# Parameters of the users' engines. The first event follows the end of the
# prefill after a delay.
CHUNK_TOKENS = 4_096
FIRST_EVENT_DELAY_S = 0.014
CACHE_TOKENS = 433_514
# Delays with which a router learns the placements and loads of the others.
PLACEMENT_DELAY_S = 0.025
LOAD_DELAY_S = 0.3
# Time for which a request stays in flight after the first event.
ANSWER_DURATION_S = 0.5


class EngineRates(NamedTuple):
    """Speed of the engines.

    Attributes:
        prefill_tokens_per_s: Prefill rate, tokens per second.
        fetch_tokens_per_s: Rate at which tokens are fetched from the cache of
            another engine, tokens per second; 0 if they cannot be.
        fetch_setup_s: Setup time of a fetch, seconds.
    """

    prefill_tokens_per_s: float = 48_200.0
    fetch_tokens_per_s: float = 0.0
    fetch_setup_s: float = 0.0025


_DEFAULT_RATES = EngineRates()


class Outcome(NamedTuple):
    """The outcome of a request.

    Attributes:
        call: The request.
        first_event_s: Seconds from its arrival to its first event.
        duplicate_prefill_tokens: Tokens prefilled although another engine had
            them in its cache.
        fetched_tokens: Tokens fetched from the cache of another engine.
    """

    call: calls.Call
    first_event_s: float
    duplicate_prefill_tokens: int
    fetched_tokens: int


class _Prefill:
    def __init__(
        self,
        call: calls.Call,
        remaining_tokens: int,
        duplicate_tokens: int,
        fetched_tokens: int,
    ):
        self.call = call
        self.fetched_tokens = fetched_tokens
        self.remaining_tokens = remaining_tokens
        self.duplicate_tokens = duplicate_tokens


class _Engine:
    """Prefills prompts one at a time, those of a lower level first."""

    def __init__(
        self,
        name: str,
        fleet: "Fleet",
        level: Callable[[calls.Call], int],
    ):
        self.name = name
        self.cache = prefixes.PrefixCaches()
        self._fleet = fleet
        self._level = level
        self._queue: list[tuple[int, int, _Prefill]] = []
        self._sequence = 0
        self._is_busy = False
        self._link_free_at = 0.0

    def start(self, call: calls.Call, source: "_Engine | None") -> None:
        """Queues the prefill of a request.

        Args:
            call: The request.
            source: Engine from which its prompt is fetched first, or None.
        """
        assert call.hints is not None
        parts = call.hints.parts
        cached = self.cache.cached_tokens(self.name, parts)
        most_cached = self._fleet.most_cached_tokens(parts[:-1])
        fetched = 0
        if source is not None:
            available = source.cache.cached_tokens(source.name, parts[:-1])
            fetched = max(0, available - cached)
        prefill = _Prefill(
            call,
            call.hints.prompt_tokens - cached - fetched,
            max(0, most_cached - cached - fetched),
            fetched,
        )
        if not fetched:
            self._queue_prefill(prefill)
            return
        rates = self._fleet.rates
        clock = self._fleet.clock
        begin = max(clock.now, self._link_free_at) + rates.fetch_setup_s
        self._link_free_at = begin + fetched / rates.fetch_tokens_per_s
        clock.call_at(self._link_free_at, lambda: self._queue_prefill(prefill))

    def _queue_prefill(self, prefill: _Prefill) -> None:
        self._sequence += 1
        heapq.heappush(
            self._queue, (self._level(prefill.call), self._sequence, prefill)
        )
        self._start_chunk()

    def _start_chunk(self) -> None:
        if self._is_busy or not self._queue:
            return
        self._is_busy = True
        entry = heapq.heappop(self._queue)
        chunk_tokens = min(CHUNK_TOKENS, entry[2].remaining_tokens)
        clock = self._fleet.clock
        clock.call_at(
            clock.now + chunk_tokens / self._fleet.rates.prefill_tokens_per_s,
            lambda: self._finish_chunk(entry),
        )

    def _finish_chunk(self, entry: tuple[int, int, _Prefill]) -> None:
        self._is_busy = False
        prefill = entry[2]
        prefill.remaining_tokens -= CHUNK_TOKENS
        if prefill.remaining_tokens > 0:
            heapq.heappush(self._queue, entry)
        else:
            assert prefill.call.hints is not None
            self.cache.touch(self.name, prefill.call.hints.parts, CACHE_TOKENS)
            self._fleet.finish_prefill(self.name, prefill)
        self._start_chunk()


class Router:
    """The view that one router has of the engines.

    Attributes:
        caches: Its estimate of their prefix caches.
        own_loads: Load of each engine from its own requests.
        peer_loads: Load of each engine from the requests of other routers, as
            last received.
    """

    def __init__(self) -> None:
        self.caches = prefixes.PrefixCaches()
        self.own_loads: dict[str, dispatch.Load] = {}
        self.peer_loads: dict[str, dispatch.Load] = {}

    def load(self, engine: str) -> dispatch.Load:
        """Returns the load of an engine as this router sees it."""
        own = self.own_loads.get(engine, dispatch.Load())
        peers = self.peer_loads.get(engine, dispatch.Load())
        return dispatch.Load(
            own.running + peers.running,
            own.pending_prefill_tokens + peers.pending_prefill_tokens,
        )

    def add_load(self, engine: str, running: int, pending_tokens: int) -> None:
        """Adds to the load of an engine from its own requests."""
        load = self.own_loads.get(engine, dispatch.Load())
        self.own_loads[engine] = dispatch.Load(
            load.running + running, load.pending_prefill_tokens + pending_tokens
        )


# Chooses the endpoint of a request from the view of a router and the time.
EndpointChooser = Callable[
    [Router, calls.Call, Sequence[roster.Endpoint], float], dispatch.Choice
]


class Fleet:
    """Routers and engines, with the outcomes of all requests.

    Attributes:
        clock: Simulated time and randomness.
        rates: Speed of the engines.
        outcomes: Outcomes of the requests that were prefilled.
    """

    def __init__(
        self,
        clock: enginemodel.Clock,
        routers: int,
        engines: Sequence[str],
        choose: EndpointChooser,
        level: Callable[[calls.Call], int] = urgency.level,
        rates: EngineRates = _DEFAULT_RATES,
    ):
        """Starts with empty caches.

        Args:
            clock: Simulated time and randomness.
            routers: Number of routers.
            engines: Names of the engines.
            choose: Chooses the endpoint of a request.
            level: Returns the priority level of a request; lower levels are
                prefilled first.
            rates: Speed of the engines.
        """
        self.clock = clock
        self.rates = rates
        self.outcomes: list[Outcome] = []
        self._routers = [Router() for _ in range(routers)]
        self._engines = {name: _Engine(name, self, level) for name in engines}
        self._choose = choose
        self._prefilling: dict[str, tuple[Router, int]] = {}
        clock.call_at(0.0, self._share_loads)

    def crash(self, name: str) -> None:
        """Removes an engine permanently; all routers learn of it at once."""
        del self._engines[name]
        for router in self._routers:
            router.caches.forget(name)
            router.own_loads.pop(name, None)
            router.peer_loads.pop(name, None)

    def most_cached_tokens(self, parts: Sequence[calls.PromptPart]) -> int:
        """Returns the most tokens of a prompt that any engine has cached."""
        return max(
            engine.cache.cached_tokens(name, parts)
            for name, engine in self._engines.items()
        )

    def arrive(self, call: calls.Call) -> None:
        """Dispatches a request through a random router."""
        assert call.hints is not None
        router = self.clock.random.choice(self._routers)
        endpoints = [_endpoint(name) for name in self._engines]
        choice = self._choose(router, call, endpoints, self.clock.now)
        name = choice.endpoint.name
        pending_tokens = max(
            0, call.hints.prompt_tokens - choice.reusable_tokens
        )
        router.add_load(name, 1, pending_tokens)
        self._prefilling[call.identity] = router, pending_tokens
        router.caches.touch(name, call.hints.parts, CACHE_TOKENS)
        self.clock.call_at(
            self.clock.now + PLACEMENT_DELAY_S,
            lambda: self._share_placement(router, name, call.hints),
        )
        source = None
        if choice.source is not None:
            source = self._engines.get(choice.source.endpoint.name)
        self._engines[name].start(call, source)

    def finish_prefill(self, name: str, prefill: _Prefill) -> None:
        """Records the outcome of a request when its prefill has ended."""
        call = prefill.call
        router, pending_tokens = self._prefilling.pop(call.identity)
        router.add_load(name, 0, -pending_tokens)
        now = self.clock.now + FIRST_EVENT_DELAY_S
        self.outcomes.append(
            Outcome(
                call,
                now - call.received,
                prefill.duplicate_tokens,
                prefill.fetched_tokens,
            )
        )
        self.clock.call_at(
            now + ANSWER_DURATION_S, lambda: router.add_load(name, -1, 0)
        )

    def _share_placement(
        self, sender: Router, name: str, hints: calls.PromptHints | None
    ) -> None:
        if hints is None or name not in self._engines:
            return
        for router in self._routers:
            if router is not sender:
                router.caches.touch(name, hints.parts[:-1], CACHE_TOKENS)

    def _share_loads(self) -> None:
        for router in self._routers:
            others = [peer for peer in self._routers if peer is not router]
            router.peer_loads = {
                name: dispatch.Load(
                    sum(_own_load(peer, name).running for peer in others),
                    sum(
                        _own_load(peer, name).pending_prefill_tokens
                        for peer in others
                    ),
                )
                for name in self._engines
            }
        self.clock.call_at(self.clock.now + LOAD_DELAY_S, self._share_loads)


def _own_load(router: Router, name: str) -> dispatch.Load:
    return router.own_loads.get(name, dispatch.Load())


def _endpoint(name: str) -> roster.Endpoint:
    return roster.Endpoint(
        name, "engines", name, "zone-a", 64, False, 0.0, roster.Revision()
    )
