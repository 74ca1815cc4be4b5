"""Continuous batching and the prefix cache of a stand-in engine.

Pure: a step is driven from outside and there is no clock here.
"""

import collections
import json
from typing import Any, NamedTuple

import xxhash

__all__ = ["Batcher", "CacheEvent", "Job", "PrefixCache", "text_digest"]

_CHUNK = b'%s, "choices": [{"index": 0, "delta": {"content": "%s-%d "}}]}'


def text_digest(messages: Any) -> str:
    """Returns the digest that stands in every token of an answer.

    Callers work it out from their own request, so a token of another request
    or of another place in the answer cannot pass for the right one.
    """
    data = json.dumps(messages, sort_keys=True, separators=(",", ":"))
    return xxhash.xxh64_hexdigest(data.encode())[:8]


class CacheEvent(NamedTuple):
    """A change of the prefix cache.

    Attributes:
        kind: `stored` or `evicted`.
        key: Key of the chat.
        tokens: Length of the prefix.
    """

    kind: str
    key: str
    tokens: int


class PrefixCache:
    """Prefixes of chats in limited memory, least recently used out first."""

    def __init__(self, tokens_max: int):
        self._tokens_max = tokens_max
        self._entries: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._tokens = 0

    @property
    def tokens(self) -> int:
        """Tokens held."""
        return self._tokens

    def find(self, key: str) -> int:
        """Returns the length of the prefix of a chat, 0 for none."""
        if key not in self._entries:
            return 0
        self._entries.move_to_end(key)
        return self._entries[key]

    def store(self, key: str, tokens: int) -> list[CacheEvent]:
        """Keeps a prefix and returns what changed."""
        if not key or tokens > self._tokens_max:
            return []
        self._tokens += tokens - self._entries.pop(key, 0)
        self._entries[key] = tokens
        changes = [CacheEvent("stored", key, tokens)]
        while self._tokens > self._tokens_max:
            old, size = self._entries.popitem(last=False)
            self._tokens -= size
            changes.append(CacheEvent("evicted", old, size))
        return changes

    def clear(self) -> list[CacheEvent]:
        """Drops everything and returns what changed."""
        changes = [
            CacheEvent("evicted", key, size)
            for key, size in self._entries.items()
        ]
        self._entries.clear()
        self._tokens = 0
        return changes


class Job:
    """One attempt of one request at an engine.

    Attributes:
        name: `ACCOUNT/REQUEST`.
        attempt: Number of the attempt.
        priority: 1 is run before 2, and 2 before 3.
        key: Key of the chat; empty for none.
        prompt_tokens: Length of the prompt.
        tokens_max: Tokens to produce.
        digest: Digest of the messages.
        cached_tokens: Prompt tokens found in the cache when it began.
        events: Data of the events so far.
        state: `waiting`, `running`, `finished`, `cancelled` or `aborted`.
        is_poison: Whether running it ends the process.
    """

    def __init__(
        self,
        name: str,
        attempt: int,
        priority: int,
        key: str,
        prompt_tokens: int,
        tokens_max: int,
        digest: str,
        is_poison: bool = False,
    ):
        self.name = name
        self.attempt = attempt
        self.priority = priority
        self.key = key
        self.prompt_tokens = prompt_tokens
        self.tokens_max = tokens_max
        self.digest = digest
        self.cached_tokens = 0
        self.events: list[bytes] = []
        self.state = "waiting"
        self.is_poison = is_poison
        self._has_begun = False
        self._prefill_left = 0
        self._produced = 0
        head = {"id": name, "object": "chat.completion.chunk"}
        self._head = json.dumps(head)[:-1].encode()

    @property
    def is_done(self) -> bool:
        """Whether it makes no more events."""
        return self.state not in ("waiting", "running")

    @property
    def has_begun(self) -> bool:
        """Whether any of it ran."""
        return self._has_begun

    def begin(self, cached: int) -> None:
        """Starts it with a number of tokens found in the cache."""
        self.state = "running"
        self._has_begun = True
        self.cached_tokens = min(cached, self.prompt_tokens)
        self._prefill_left = self.prompt_tokens - self.cached_tokens

    def prefill(self, budget: int) -> int:
        """Works on the prompt; returns what is left of the budget."""
        done = min(self._prefill_left, budget)
        self._prefill_left -= done
        return budget - done

    def produce(self) -> bool:
        """Makes the next event; returns whether it made one."""
        if self._prefill_left:
            return False
        if self._produced < self.tokens_max:
            self.events.append(
                _CHUNK % (self._head, self.digest.encode(), self._produced)
            )
            self._produced += 1
        if self._produced >= self.tokens_max:
            self._finish()
        return True

    def _finish(self) -> None:
        usage = json.dumps(
            {
                "prompt_tokens": self.prompt_tokens,
                "cached_tokens": self.cached_tokens,
                "completion_tokens": self._produced,
            }
        )
        self.events.append(
            b'%s, "choices": [], "usage": %s}' % (self._head, usage.encode())
        )
        self.state = "finished"


class Batcher:
    """Jobs that run at once and jobs that wait.

    One step gives each running job one token and shares a budget of prompt
    tokens between those that still read their prompt.
    """

    def __init__(self, slots: int, prefill_per_step: int, cache: PrefixCache):
        self._slots = slots
        self._prefill_per_step = prefill_per_step
        self._cache = cache
        self._running: list[Job] = []
        self._waiting: list[Job] = []

    @property
    def running(self) -> int:
        """Jobs that run."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Jobs that wait."""
        return len(self._waiting)

    @property
    def jobs(self) -> list[Job]:
        """All jobs, running ones first."""
        return self._running + self._waiting

    def add(self, job: Job) -> None:
        """Puts a job into the waiting list by its priority."""
        place = len(self._waiting)
        while place and self._waiting[place - 1].priority > job.priority:
            place -= 1
        self._waiting.insert(place, job)

    def remove(self, job: Job, state: str) -> None:
        """Ends a job before its answer is whole."""
        queue = self._running if job.has_begun else self._waiting
        queue.remove(job)
        job.state = state

    def admit(self) -> list[Job]:
        """Starts waiting jobs in free places and returns them."""
        started = []
        while self._waiting and len(self._running) < self._slots:
            job = self._waiting.pop(0)
            job.begin(self._cache.find(job.key))
            self._running.append(job)
            started.append(job)
        return started

    def step(self) -> tuple[list[Job], list[CacheEvent]]:
        """Runs one step.

        Returns:
            The jobs that made events, and the changes of the cache.
        """
        budget = self._prefill_per_step
        moved = []
        for job in self._running:
            budget = job.prefill(budget)
            if job.produce():
                moved.append(job)
        changes: list[CacheEvent] = []
        for job in moved:
            if job.is_done:
                self._running.remove(job)
                length = job.prompt_tokens + job.tokens_max
                changes += self._cache.store(job.key, length)
        return moved, changes
