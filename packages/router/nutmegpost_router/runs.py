"""The state of chat requests at the router that owns their engine.

A run keeps the events of its stream, so that any number of callers, repeats
and resumptions can read it from any position.
"""

import asyncio
import time
from typing import NamedTuple

from nutmegpost_core import charts
from nutmegpost_core import events
from nutmegpost_core import invariants
from nutmegpost_core import wire

__all__ = ["End", "Key", "Piece", "Run", "Subscription"]


class Key(NamedTuple):
    """Name of a request, unique in the fleet."""

    account: str
    request_id: str

    def __str__(self) -> str:
        return f"{self.account}/{self.request_id}"


# None within an end means that the answer is complete.
End = wire.Failed | wire.Redirected | None


class Piece(NamedTuple):
    """What a subscriber gets at once.

    Attributes:
        first: Sequence number of the first event.
        events: Data of the events.
        ended: Whether the run ended with these.
        end: How it ended.
    """

    first: int
    events: list[bytes]
    ended: bool
    end: End


class Run:
    """A chat request that this router places, queues or runs."""

    def __init__(self, submit: wire.Submit, digest: bytes, base: int):
        """Starts a run.

        Args:
            submit: What was asked.
            digest: Digest of account and body.
            base: Sequence number of the first event that is wanted.
        """
        self._submit = submit
        self._digest = digest
        self._base = base
        self._events: list[bytes] = []
        self._subscriptions: set[Subscription] = set()
        self._ended = False
        self._end: End = None
        self._chart = charts.Chart("request")
        self.engine = submit.engine
        self.attempt = 0
        self.attempts = 0
        self.may_have_run = False
        self.held_since: float | None = None
        # Until when it waits for the engine that holds its cache.
        self.wait_until = 0.0
        self.moves = 0
        self.dispatched_at = 0.0
        self.first_event_s = 0.0
        self.ended_at = 0.0
        self.unread_since = 0.0

    @property
    def key(self) -> Key:
        """Name of the request."""
        return Key(self._submit.account, self._submit.request_id)

    @property
    def submit(self) -> wire.Submit:
        """What was asked."""
        return self._submit

    @property
    def digest(self) -> bytes:
        """Digest of account and body."""
        return self._digest

    @property
    def next_sequence(self) -> int:
        """Sequence number of the next event."""
        return self._base + len(self._events)

    @property
    def last_event(self) -> bytes:
        """Data of the last event; empty before the first."""
        return self._events[-1] if self._events else b""

    @property
    def ended(self) -> bool:
        """Whether it ended."""
        return self._ended

    @property
    def end(self) -> End:
        """How it ended."""
        return self._end

    @property
    def subscribed(self) -> bool:
        """Whether anybody reads it."""
        return bool(self._subscriptions)

    @property
    def state(self) -> str:
        """State in the chart of a request."""
        return self._chart.state

    def fire(self, trigger: str) -> None:
        """Moves along the chart of a request."""
        self._chart.fire(trigger)

    def covers(self, sequence: int) -> bool:
        """Whether events from a sequence number on can be read here."""
        return self._base <= sequence <= self.next_sequence

    def append(self, first: int, data: list[bytes]) -> int:
        """Takes events of the current attempt.

        Args:
            first: Sequence number of the first of them.
            data: Their data.

        Returns:
            Events that were already here and were dropped.
        """
        skip = self.next_sequence - first
        invariants.check(
            skip >= 0,
            events.STREAM_GAP,
            request=str(self.key),
            first=first,
            expected=self.next_sequence,
        )
        fresh = data[skip:] if skip else data
        if fresh:
            if not self._events:
                self.first_event_s = time.monotonic() - self.dispatched_at
            self._events.extend(fresh)
            self._wake()
        return min(skip, len(data))

    def finish(self, end: End, now: float) -> None:
        """Ends the run; only the first end counts."""
        if self._ended:
            return
        self._ended = True
        self._end = end
        self.ended_at = now
        self._wake()

    def subscribe(self, sequence: int) -> "Subscription":
        """Starts to read at a sequence number."""
        subscription = Subscription(self, sequence)
        self._subscriptions.add(subscription)
        return subscription

    def unsubscribe(self, subscription: "Subscription", now: float) -> None:
        """Ends a subscription."""
        self._subscriptions.discard(subscription)
        self.unread_since = now

    def read(self, sequence: int) -> list[bytes]:
        """Returns the events from a sequence number on."""
        return self._events[sequence - self._base :]

    def _wake(self) -> None:
        for subscription in self._subscriptions:
            subscription.wake()


class Subscription:
    """A position in a run."""

    def __init__(self, run: Run, sequence: int):
        self._run = run
        self._sequence = sequence
        self._changed = asyncio.Event()
        self._changed.set()

    @property
    def run(self) -> Run:
        """The run that is read."""
        return self._run

    def wake(self) -> None:
        """Lets the reader look again."""
        self._changed.set()

    async def next(self) -> Piece:
        """Waits for events or the end and returns all there is."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            first = self._sequence
            data = self._run.read(first)
            if data or self._run.ended:
                self._sequence += len(data)
                return Piece(first, data, self._run.ended, self._run.end)
