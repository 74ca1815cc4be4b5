"""A model of engines for experiments on decisions.

It knows a batch whose steps take longer when it is full, a prefix cache with
limited memory, and time as events. It has no network and no processes.
"""

import collections
from collections.abc import Callable
import heapq
import random
from typing import NamedTuple

__all__ = [
    "PREFILL_TOKENS_PER_STEP",
    "STEP_FULL_S",
    "Clock",
    "Engine",
    "Request",
    "step_s",
]

STEP_EMPTY_S = 0.015
STEP_FULL_S = 0.030
# Prompt tokens that are prefilled in the time of one step of one request.
PREFILL_TOKENS_PER_STEP = 150.0


class Request:
    """One request and what became of it."""

    __slots__ = (
        "account",
        "answer",
        "arrived",
        "cached",
        "chat",
        "dispatched",
        "done",
        "engine",
        "finish_s",
        "first",
        "first_token_s",
        "key",
        "prompt",
        "rank",
        "refused",
        "work_class",
        "worth",
    )

    def __init__(
        self, key: str, account: str, chat: str, prompt: int, answer: int
    ):
        self.key = key
        self.account = account
        self.chat = chat
        self.prompt = prompt
        self.answer = answer
        self.work_class = ""
        self.rank = 1
        self.first_token_s = 1.0
        self.finish_s: float | None = None
        self.worth = 1.0
        self.arrived = 0.0
        self.cached = 0
        self.engine = ""
        self.dispatched = 0.0
        self.first: float | None = None
        self.done: float | None = None
        self.refused = False


class Clock:
    """Events in order of time."""

    def __init__(self, seed: int):
        self.now = 0.0
        self.random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Plans a call."""
        self._number += 1
        heapq.heappush(self._events, (max(when, self.now), self._number, call))

    def run(self, until: float) -> None:
        """Runs all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until


def step_s(running: int, slots: int) -> float:
    """Returns the time of one decoding step, seconds."""
    share = min(1.0, running / slots)
    return STEP_EMPTY_S + (STEP_FULL_S - STEP_EMPTY_S) * share


class _Mark(NamedTuple):
    steps: float
    number: int
    last: bool
    request: Request


class Engine:
    """One engine: it runs all that it is given, at once."""

    def __init__(
        self,
        name: str,
        clock: Clock,
        slots: int,
        cache_tokens: float,
        ended: Callable[[Request], None],
        first: Callable[[Request], None] | None = None,
    ):
        self.name = name
        self.slots = slots
        self.running = 0
        self.live = True
        self._clock = clock
        self._ended = ended
        self._first = first
        self._cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._cache_tokens = cache_tokens
        self._cached = 0
        self._marks: list[_Mark] = []
        self._steps = 0.0
        self._since = 0.0
        self._plan = 0
        self._number = 0

    def start(self, request: Request) -> None:
        """Begins a request."""
        self._advance()
        request.engine = self.name
        request.dispatched = self._clock.now
        held = min(self._cache.get(request.chat, 0), request.prompt)
        request.cached = held
        work = (request.prompt - held) / PREFILL_TOKENS_PER_STEP
        self._number += 1
        begin = self._steps + work + 1
        heapq.heappush(self._marks, _Mark(begin, self._number, False, request))
        end = begin + max(0, request.answer - 1)
        self._number += 1
        heapq.heappush(self._marks, _Mark(end, self._number, True, request))
        self.running += 1
        self._store(request)
        self._schedule()

    def clear(self) -> None:
        """Drops the cache."""
        self._cache.clear()
        self._cached = 0

    def _store(self, request: Request) -> None:
        tokens = request.prompt + request.answer
        self._cached += tokens - self._cache.pop(request.chat, 0)
        self._cache[request.chat] = tokens
        while self._cached > self._cache_tokens and len(self._cache) > 1:
            self._cached -= self._cache.popitem(last=False)[1]

    def _advance(self) -> None:
        elapsed = self._clock.now - self._since
        self._since = self._clock.now
        if self.running:
            self._steps += elapsed / step_s(self.running, self.slots)

    def _schedule(self) -> None:
        self._plan += 1
        if not self._marks:
            return
        plan = self._plan
        left = max(0.0, self._marks[0].steps - self._steps)
        when = self._clock.now + left * step_s(self.running, self.slots)
        self._clock.at(when, lambda: self._wake(plan))

    def _wake(self, plan: int) -> None:
        if plan != self._plan:
            return
        self._advance()
        self._steps = max(self._steps, self._marks[0].steps)
        while self._marks and self._marks[0].steps <= self._steps + 1e-9:
            mark = heapq.heappop(self._marks)
            if mark.last:
                self.running -= 1
                mark.request.done = self._clock.now
                self._ended(mark.request)
            else:
                mark.request.first = self._clock.now
                if self._first:
                    self._first(mark.request)
        self._schedule()
