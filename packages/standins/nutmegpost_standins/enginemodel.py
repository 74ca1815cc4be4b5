"""A discrete-event model of engines, used to evaluate scheduling policies.

An engine has a batch, whose decoding steps take longer the fuller it is, and a
prefix cache of limited size with least-recently-used eviction. The model runs
in simulated time, without a network or processes.
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
# Prompt tokens of one request that are prefilled in the time of one step.
PREFILL_TOKENS_PER_STEP = 150.0


class Request:
    """A request, its latency targets and its progress.

    Attributes:
        key: Identifies the request.
        account: Client account.
        chat: Chat that the request belongs to.
        prompt_tokens: Length of the prompt.
        answer_tokens: Length of the answer.
        work_class: Class of the work.
        rank: Rank of the class.
        first_token_s: Target for the first token, seconds.
        finish_s: Target for the whole answer, seconds; None if there is none.
        worth: Value of the request.
        arrived_at: Arrival time, seconds.
        cached_tokens: Prompt tokens found in the cache of the engine.
        engine: Engine that the request was dispatched to.
        dispatched_at: Time of the dispatch, seconds; 0 before.
        first_token_at: Time of the first token, seconds; None before.
        ended_at: Time of the last token, seconds; None before.
        refused: Whether the request was refused.
    """

    __slots__ = (
        "account",
        "answer_tokens",
        "arrived_at",
        "cached_tokens",
        "chat",
        "dispatched_at",
        "ended_at",
        "engine",
        "finish_s",
        "first_token_at",
        "first_token_s",
        "key",
        "prompt_tokens",
        "rank",
        "refused",
        "work_class",
        "worth",
    )

    def __init__(
        self,
        key: str,
        account: str,
        chat: str,
        prompt_tokens: int,
        answer_tokens: int,
    ):
        self.key = key
        self.account = account
        self.chat = chat
        self.prompt_tokens = prompt_tokens
        self.answer_tokens = answer_tokens
        self.work_class = ""
        self.rank = 1
        self.first_token_s = 1.0
        self.finish_s: float | None = None
        self.worth = 1.0
        self.arrived_at = 0.0
        self.cached_tokens = 0
        self.engine = ""
        self.dispatched_at = 0.0
        self.first_token_at: float | None = None
        self.ended_at: float | None = None
        self.refused = False


class Clock:
    """Simulated time: runs scheduled callbacks in order of their times."""

    def __init__(self, seed: int):
        self.now = 0.0
        self.random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedules a callback; a time in the past means now."""
        self._sequence += 1
        heapq.heappush(
            self._events, (max(when, self.now), self._sequence, callback)
        )

    def run(self, until: float) -> None:
        """Runs all callbacks scheduled up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = until


def step_s(running: int, slots: int) -> float:
    """Returns the duration of one decoding step, seconds."""
    share = min(1.0, running / slots)
    return STEP_EMPTY_S + (STEP_FULL_S - STEP_EMPTY_S) * share


class _Milestone(NamedTuple):
    steps: float
    sequence: int
    is_end: bool
    request: Request


class Engine:
    """An engine that runs every request as soon as it is dispatched."""

    def __init__(
        self,
        name: str,
        clock: Clock,
        slots: int,
        cache_tokens: float,
        on_end: Callable[[Request], None],
        on_first_token: Callable[[Request], None] | None = None,
    ):
        self.name = name
        self.slots = slots
        self.running = 0
        self.live = True
        self._clock = clock
        self._on_end = on_end
        self._on_first_token = on_first_token
        self._cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._cache_capacity_tokens = cache_tokens
        self._total_cached_tokens = 0
        self._milestones: list[_Milestone] = []
        self._steps = 0.0
        self._advanced_at = 0.0
        self._timer_generation = 0
        self._sequence = 0

    def start(self, request: Request) -> None:
        """Starts a request."""
        self._advance()
        request.engine = self.name
        request.dispatched_at = self._clock.now
        cached = min(self._cache.get(request.chat, 0), request.prompt_tokens)
        request.cached_tokens = cached
        prefill_steps = (
            request.prompt_tokens - cached
        ) / PREFILL_TOKENS_PER_STEP
        self._sequence += 1
        first_token_step = self._steps + prefill_steps + 1
        heapq.heappush(
            self._milestones,
            _Milestone(first_token_step, self._sequence, False, request),
        )
        end_step = first_token_step + max(0, request.answer_tokens - 1)
        self._sequence += 1
        heapq.heappush(
            self._milestones,
            _Milestone(end_step, self._sequence, True, request),
        )
        self.running += 1
        self._store(request)
        self._schedule()

    def clear(self) -> None:
        """Clears the cache."""
        self._cache.clear()
        self._total_cached_tokens = 0

    def _store(self, request: Request) -> None:
        tokens = request.prompt_tokens + request.answer_tokens
        self._total_cached_tokens += tokens - self._cache.pop(request.chat, 0)
        self._cache[request.chat] = tokens
        while (
            self._total_cached_tokens > self._cache_capacity_tokens
            and len(self._cache) > 1
        ):
            self._total_cached_tokens -= self._cache.popitem(last=False)[1]

    def _advance(self) -> None:
        elapsed = self._clock.now - self._advanced_at
        self._advanced_at = self._clock.now
        if self.running:
            self._steps += elapsed / step_s(self.running, self.slots)

    def _schedule(self) -> None:
        self._timer_generation += 1
        if not self._milestones:
            return
        generation = self._timer_generation
        remaining_steps = max(0.0, self._milestones[0].steps - self._steps)
        when = self._clock.now + remaining_steps * step_s(
            self.running, self.slots
        )
        self._clock.call_at(when, lambda: self._on_timer(generation))

    def _on_timer(self, generation: int) -> None:
        if generation != self._timer_generation:
            return
        self._advance()
        self._steps = max(self._steps, self._milestones[0].steps)
        while (
            self._milestones and self._milestones[0].steps <= self._steps + 1e-9
        ):
            milestone = heapq.heappop(self._milestones)
            if milestone.is_end:
                self.running -= 1
                milestone.request.ended_at = self._clock.now
                self._on_end(milestone.request)
            else:
                milestone.request.first_token_at = self._clock.now
                if self._on_first_token:
                    self._on_first_token(milestone.request)
        self._schedule()
