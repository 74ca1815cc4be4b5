"""A model of engines that read prompts, for experiments on dispatching.

Several routers place prompts whose parts come again. An engine reads one
prompt at a time, in chunks, the most urgent first, and keeps what it has read
in a cache of limited size. Routers hear of one another's placements and loads
with a delay. There is no network and there are no processes.
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

__all__ = ["Fleet", "Outcome", "Router", "Way"]

# The users' engines: tokens read in a second, tokens of a chunk, seconds from
# the end of reading to the first event, tokens of the memory.
READ_TOKENS_S = 48_200.0
CHUNK_TOKENS = 4_096
FIRST_EVENT_S = 0.014
CACHE_TOKENS = 433_514
# Delays with which a router hears of the placements and loads of the others.
PLACEMENT_DELAY_S = 0.025
LOAD_DELAY_S = 0.3
# Time for which a request occupies its engine after the first event.
ANSWER_S = 0.5


class Outcome(NamedTuple):
    """What became of a request.

    Attributes:
        call: The request.
        first_s: Seconds from its arrival to its first event.
        reread_tokens: Tokens read that some engine had in its cache.
    """

    call: calls.Call
    first_s: float
    reread_tokens: int


class _Job:
    def __init__(self, call: calls.Call, left: int, reread: int):
        self.call = call
        self.left = left
        self.reread = reread


class _Engine:
    """Reads prompts; `level` says in which order."""

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
        self._queue: list[tuple[int, int, _Job]] = []
        self._number = 0
        self._reading = False

    def start(self, call: calls.Call) -> None:
        """Takes a request."""
        assert call.hints is not None
        parts = call.hints.parts
        held = self.cache.cached_tokens(self.name, parts)
        elsewhere = self._fleet.best_cached(parts[:-1])
        job = _Job(
            call,
            call.hints.prompt_tokens - held,
            max(0, elsewhere - held),
        )
        self._number += 1
        heapq.heappush(self._queue, (self._level(call), self._number, job))
        self._read()

    def _read(self) -> None:
        if self._reading or not self._queue:
            return
        self._reading = True
        entry = heapq.heappop(self._queue)
        size = min(CHUNK_TOKENS, entry[2].left)
        clock = self._fleet.clock
        clock.at(
            clock.now + size / READ_TOKENS_S, lambda: self._was_read(entry)
        )

    def _was_read(self, entry: tuple[int, int, _Job]) -> None:
        self._reading = False
        job = entry[2]
        job.left -= CHUNK_TOKENS
        if job.left > 0:
            heapq.heappush(self._queue, entry)
        else:
            assert job.call.hints is not None
            self.cache.touch(self.name, job.call.hints.parts, CACHE_TOKENS)
            self._fleet.was_read(self.name, job.call, job.reread)
        self._read()


class Router:
    """What one router knows.

    Attributes:
        caches: Its estimate of the caches.
        own: Its part of each engine's load.
        told: What it heard of the parts of the others.
    """

    def __init__(self) -> None:
        self.caches = prefixes.PrefixCaches()
        self.own: dict[str, dispatch.Load] = {}
        self.told: dict[str, dispatch.Load] = {}

    def load(self, engine: str) -> dispatch.Load:
        """Returns the load of an engine as this router sees it."""
        own = self.own.get(engine, dispatch.Load())
        told = self.told.get(engine, dispatch.Load())
        return dispatch.Load(
            own.running + told.running,
            own.pending_prefill_tokens + told.pending_prefill_tokens,
        )

    def add(self, engine: str, running: int, unread: int) -> None:
        """Changes its own part of a load."""
        load = self.own.get(engine, dispatch.Load())
        self.own[engine] = dispatch.Load(
            load.running + running, load.pending_prefill_tokens + unread
        )


# Chooses the endpoint of a request by what a router knows.
Way = Callable[
    [Router, calls.Call, Sequence[roster.Endpoint], float], dispatch.Choice
]


class Fleet:
    """Routers and engines, and what became of each request."""

    def __init__(
        self,
        clock: enginemodel.Clock,
        routers: int,
        engines: Sequence[str],
        way: Way,
        level: Callable[[calls.Call], int] = urgency.level,
    ):
        """Starts with empty caches.

        Args:
            clock: Events in order of time.
            routers: Number of routers.
            engines: Names of the engines.
            way: How routers choose.
            level: In which order engines read; lower levels go first.
        """
        self.clock = clock
        self.outcomes: list[Outcome] = []
        self._routers = [Router() for _ in range(routers)]
        self._engines = {name: _Engine(name, self, level) for name in engines}
        self._way = way
        self._sent: dict[str, tuple[Router, int]] = {}
        clock.at(0.0, self._share_loads)

    def crash(self, name: str) -> None:
        """Ends an engine for good; every router knows at once."""
        del self._engines[name]
        for router in self._routers:
            router.caches.forget(name)
            router.own.pop(name, None)
            router.told.pop(name, None)

    def best_cached(self, parts: Sequence[calls.PromptPart]) -> int:
        """Returns the most tokens of a prompt that an engine has."""
        return max(
            item.cache.cached_tokens(name, parts)
            for name, item in self._engines.items()
        )

    def arrive(self, call: calls.Call) -> None:
        """Takes a request of a caller at some router."""
        assert call.hints is not None
        router = self.clock.random.choice(self._routers)
        endpoints = [_endpoint(name) for name in self._engines]
        choice = self._way(router, call, endpoints, self.clock.now)
        name = choice.endpoint.name
        unread = max(0, call.hints.prompt_tokens - choice.cached_tokens)
        router.add(name, 1, unread)
        self._sent[call.identity] = router, unread
        router.caches.touch(name, call.hints.parts, CACHE_TOKENS)
        self.clock.at(
            self.clock.now + PLACEMENT_DELAY_S,
            lambda: self._tell(router, name, call.hints),
        )
        self._engines[name].start(call)

    def was_read(self, name: str, call: calls.Call, reread: int) -> None:
        """Hears of an engine that has read a prompt."""
        router, unread = self._sent.pop(call.identity)
        router.add(name, 0, -unread)
        now = self.clock.now + FIRST_EVENT_S
        self.outcomes.append(Outcome(call, now - call.received, reread))
        self.clock.at(now + ANSWER_S, lambda: router.add(name, -1, 0))

    def _tell(
        self, teller: Router, name: str, hints: calls.PromptHints | None
    ) -> None:
        if hints is None or name not in self._engines:
            return
        for router in self._routers:
            if router is not teller:
                router.caches.touch(name, hints.parts[:-1], CACHE_TOKENS)

    def _share_loads(self) -> None:
        for router in self._routers:
            others = [item for item in self._routers if item is not router]
            router.told = {
                name: dispatch.Load(
                    sum(_own(item, name).running for item in others),
                    sum(
                        _own(item, name).pending_prefill_tokens
                        for item in others
                    ),
                )
                for name in self._engines
            }
        self.clock.at(self.clock.now + LOAD_DELAY_S, self._share_loads)


def _own(router: Router, name: str) -> dispatch.Load:
    return router.own.get(name, dispatch.Load())


def _endpoint(name: str) -> roster.Endpoint:
    return roster.Endpoint(name, "engines", name, "zone-a", 64, False, 0.0, 1)
