"""Continuous batching and the prefix cache of the stand-in engine.

The module does no I/O and reads no clock: its caller drives each step.
"""

import collections
import json
from typing import Any, NamedTuple

import xxhash

__all__ = ["Batcher", "CacheEvent", "Job", "PrefixCache", "messages_digest"]

_CHUNK_FORMAT = (
    b'%s, "choices": [{"index": 0, "delta": {"content": "%s-%d "}}]}'
)


def messages_digest(messages: Any) -> str:
    """Returns the digest that is part of each token of an answer.

    Clients compute it from their own request, so they detect a token of
    another request. The position in the token detects a gap or a duplicate.
    """
    data = json.dumps(messages, sort_keys=True, separators=(",", ":"))
    return xxhash.xxh64_hexdigest(data.encode())[:8]


class CacheEvent(NamedTuple):
    """A change of the prefix cache.

    Attributes:
        kind: `stored` or `evicted`.
        cache_key: Cache key of the chat.
        tokens: Length of the prefix, tokens.
    """

    kind: str
    cache_key: str
    tokens: int


class PrefixCache:
    """An LRU cache of the prompt prefixes of chats, bounded in tokens."""

    def __init__(self, tokens_max: int):
        self._tokens_max = tokens_max
        self._entries: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._tokens = 0

    @property
    def tokens(self) -> int:
        """Number of cached tokens."""
        return self._tokens

    def lookup(self, cache_key: str) -> int:
        """Returns the cached prefix length of a chat, and marks it as used.

        Returns:
            The length in tokens; 0 on a cache miss.
        """
        if cache_key not in self._entries:
            return 0
        self._entries.move_to_end(cache_key)
        return self._entries[cache_key]

    def store(self, cache_key: str, tokens: int) -> list[CacheEvent]:
        """Stores a prefix and evicts others as needed.

        Returns:
            The cache events; empty when the prefix exceeds the cache.
        """
        if not cache_key or tokens > self._tokens_max:
            return []
        self._tokens += tokens - self._entries.pop(cache_key, 0)
        self._entries[cache_key] = tokens
        cache_events = [CacheEvent("stored", cache_key, tokens)]
        while self._tokens > self._tokens_max:
            old, size = self._entries.popitem(last=False)
            self._tokens -= size
            cache_events.append(CacheEvent("evicted", old, size))
        return cache_events

    def clear(self) -> list[CacheEvent]:
        """Evicts all prefixes and returns the cache events."""
        cache_events = [
            CacheEvent("evicted", cache_key, size)
            for cache_key, size in self._entries.items()
        ]
        self._entries.clear()
        self._tokens = 0
        return cache_events


class Job:
    """One attempt of a request at an engine.

    Attributes:
        request_id: `ACCOUNT/REQUEST`.
        attempt: Number of the attempt.
        priority: 1 to 3; lower numbers run first.
        cache_key: Cache key of the chat; empty to skip the cache.
        prompt_tokens: Length of the prompt, tokens.
        tokens_max: Number of tokens to generate.
        digest: Digest of the messages.
        cached_tokens: Prompt tokens found in the prefix cache at the start.
        events: Payloads of the events generated so far.
        state: `waiting`, `running`, `finished`, `cancelled` or `aborted`.
        is_poison: Whether starting it crashes the engine process.
    """

    def __init__(
        self,
        request_id: str,
        attempt: int,
        priority: int,
        cache_key: str,
        prompt_tokens: int,
        tokens_max: int,
        digest: str,
        is_poison: bool = False,
    ):
        self.request_id = request_id
        self.attempt = attempt
        self.priority = priority
        self.cache_key = cache_key
        self.prompt_tokens = prompt_tokens
        self.tokens_max = tokens_max
        self.digest = digest
        self.cached_tokens = 0
        self.events: list[bytes] = []
        self.state = "waiting"
        self.is_poison = is_poison
        self._has_started = False
        self._prefill_remaining = 0
        self._generated_tokens = 0
        prefix_fields = {"id": request_id, "object": "chat.completion.chunk"}
        self._chunk_prefix = json.dumps(prefix_fields)[:-1].encode()

    @property
    def is_done(self) -> bool:
        """Whether the job is in a final state."""
        return self.state not in ("waiting", "running")

    @property
    def has_started(self) -> bool:
        """Whether the job has left the queue for the batch."""
        return self._has_started

    def start(self, cached_tokens: int) -> None:
        """Starts the job.

        Args:
            cached_tokens: Tokens of the prompt that are in the prefix cache.
        """
        self.state = "running"
        self._has_started = True
        self.cached_tokens = min(cached_tokens, self.prompt_tokens)
        self._prefill_remaining = self.prompt_tokens - self.cached_tokens

    def prefill(self, budget: int) -> int:
        """Prefills prompt tokens and returns the unused part of the budget."""
        processed = min(self._prefill_remaining, budget)
        self._prefill_remaining -= processed
        return budget - processed

    def generate_event(self) -> bool:
        """Generates one token, and the usage event after the last token.

        Returns:
            Whether an event was generated; False during prefill.
        """
        if self._prefill_remaining:
            return False
        if self._generated_tokens < self.tokens_max:
            self.events.append(
                _CHUNK_FORMAT
                % (
                    self._chunk_prefix,
                    self.digest.encode(),
                    self._generated_tokens,
                )
            )
            self._generated_tokens += 1
        if self._generated_tokens >= self.tokens_max:
            self._finish()
        return True

    def _finish(self) -> None:
        usage = json.dumps(
            {
                "prompt_tokens": self.prompt_tokens,
                "cached_tokens": self.cached_tokens,
                "completion_tokens": self._generated_tokens,
            }
        )
        self.events.append(
            b'%s, "choices": [], "usage": %s}'
            % (self._chunk_prefix, usage.encode())
        )
        self.state = "finished"


class Batcher:
    """A continuous batch of running jobs and a priority queue of waiting ones.

    A step generates one token for each running job. The jobs in prefill share
    a budget of prompt tokens per step.
    """

    def __init__(
        self, slots: int, prefill_tokens_per_step: int, cache: PrefixCache
    ):
        self._slots = slots
        self._prefill_tokens_per_step = prefill_tokens_per_step
        self._cache = cache
        self._running: list[Job] = []
        self._waiting: list[Job] = []

    @property
    def running(self) -> int:
        """Number of running jobs."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of waiting jobs."""
        return len(self._waiting)

    @property
    def jobs(self) -> list[Job]:
        """All jobs, the running ones first."""
        return self._running + self._waiting

    def add(self, job: Job) -> None:
        """Queues a job behind those of the same or a higher priority."""
        position = len(self._waiting)
        while position and self._waiting[position - 1].priority > job.priority:
            position -= 1
        self._waiting.insert(position, job)

    def remove(self, job: Job, state: str) -> None:
        """Removes a job before it finishes and sets its final state."""
        queue = self._running if job.has_started else self._waiting
        queue.remove(job)
        job.state = state

    def admit(self) -> list[Job]:
        """Starts waiting jobs in free batch slots and returns them."""
        started = []
        while self._waiting and len(self._running) < self._slots:
            job = self._waiting.pop(0)
            job.start(self._cache.lookup(job.cache_key))
            self._running.append(job)
            started.append(job)
        return started

    def step(self) -> tuple[list[Job], list[CacheEvent]]:
        """Runs one step.

        Returns:
            The jobs that generated events, and the cache events.
        """
        budget = self._prefill_tokens_per_step
        advanced = []
        for job in self._running:
            budget = job.prefill(budget)
            if job.generate_event():
                advanced.append(job)
        cache_events: list[CacheEvent] = []
        for job in advanced:
            if job.is_done:
                self._running.remove(job)
                length = job.prompt_tokens + job.tokens_max
                cache_events += self._cache.store(job.cache_key, length)
        return advanced, cache_events
