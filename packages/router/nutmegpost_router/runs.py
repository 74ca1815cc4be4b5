"""State of chat requests at the router that owns their engine.

A run buffers the events of its stream, so that any number of subscribers
(callers, repeated requests, resumed streams) can read it from any position.
"""

import asyncio
import time
from typing import NamedTuple

from nutmegpost_core import charts
from nutmegpost_core import events
from nutmegpost_core import invariants
from nutmegpost_core import wire

__all__ = ["EventBatch", "Key", "Result", "Run", "Subscription"]


class Key(NamedTuple):
    """Key of a request, unique in the fleet."""

    account: str
    request_id: str

    def __str__(self) -> str:
        return f"{self.account}/{self.request_id}"


# How a run ended; None when the answer is complete.
Result = wire.Failed | wire.Redirected | None


class EventBatch(NamedTuple):
    """Events that a subscriber reads at once.

    Attributes:
        first_sequence: Sequence number of the first event.
        events: Data of the events; may be empty at the end of the run.
        ended: Whether the run has ended, with these as its last events.
        end: How the run ended; None for a complete answer, or while it has
            not ended.
    """

    first_sequence: int
    events: list[bytes]
    ended: bool
    end: Result


class Run:
    """A chat request that this router places, queues or runs.

    Attributes:
        engine: Engine that it is queued or runs on; before that, the engine
            of the submission, which may be empty.
        attempt: Number of the last attempt; increases across owners.
        attempt_count: Attempts that this router started, resumed ones
            included.
        may_have_run: Whether an engine may have run the request.
        deferred_since: Loop time since which its dispatch is deferred, as when
            no engine may take it; None when it is not deferred.
        movable_at: Loop time until which it waits for its engine, which may
            have the chat in its cache; from then on it may be moved to another
            engine.
        move_count: How often it was moved to another engine while it waited.
        dispatched_at: When the last attempt started, loop time.
        first_event_s: Time from the dispatch to the first event, seconds; 0
            before it.
        ended_at: When the run ended, loop time.
        unread_since: When a subscription was last removed, loop time.
    """

    def __init__(self, submit: wire.Submit, digest: bytes, first_sequence: int):
        """Initializes a run in the initial state of its chart.

        Args:
            submit: The request.
            digest: Digest of the account and the body.
            first_sequence: Sequence number of the first event to buffer;
                earlier events are dropped.
        """
        self._submit = submit
        self._digest = digest
        self._first_sequence = first_sequence
        self._events: list[bytes] = []
        self._subscriptions: set[Subscription] = set()
        self._ended = False
        self._end: Result = None
        self._chart = charts.Chart("request")
        self.engine = submit.engine
        self.attempt = 0
        self.attempt_count = 0
        self.may_have_run = False
        self.deferred_since: float | None = None
        self.movable_at = 0.0
        self.move_count = 0
        self.dispatched_at = 0.0
        self.first_event_s = 0.0
        self.ended_at = 0.0
        self.unread_since = 0.0

    @property
    def key(self) -> Key:
        """Key of the request."""
        return Key(self._submit.account, self._submit.request_id)

    @property
    def submit(self) -> wire.Submit:
        """The request."""
        return self._submit

    @property
    def digest(self) -> bytes:
        """Digest of the account and the body."""
        return self._digest

    @property
    def next_sequence(self) -> int:
        """Sequence number of the next event."""
        return self._first_sequence + len(self._events)

    @property
    def last_event(self) -> bytes:
        """Data of the last event; empty before the first."""
        return self._events[-1] if self._events else b""

    @property
    def ended(self) -> bool:
        """Whether the run has ended."""
        return self._ended

    @property
    def end(self) -> Result:
        """How the run ended; None for a complete answer, or before the end."""
        return self._end

    @property
    def has_subscribers(self) -> bool:
        """Whether anyone reads the run."""
        return bool(self._subscriptions)

    @property
    def state(self) -> str:
        """Current state in the request chart."""
        return self._chart.state

    def fire(self, trigger: str) -> None:
        """Fires a trigger of the request chart."""
        self._chart.fire(trigger)

    def can_resume_at(self, sequence: int) -> bool:
        """Whether a subscription can start at a sequence number."""
        return self._first_sequence <= sequence <= self.next_sequence

    def append(self, first_sequence: int, data: list[bytes]) -> int:
        """Appends events of the current attempt and drops duplicates.

        Args:
            first_sequence: Sequence number of the first of them.
            data: Their data.

        Returns:
            Number of dropped events, which the run has from earlier.
        """
        overlap = self.next_sequence - first_sequence
        invariants.check(
            overlap >= 0,
            events.STREAM_GAP,
            request=str(self.key),
            first=first_sequence,
            expected=self.next_sequence,
        )
        new_events = data[overlap:] if overlap else data
        if new_events:
            if not self._events:
                self.first_event_s = time.monotonic() - self.dispatched_at
            self._events.extend(new_events)
            self._notify_subscribers()
        return min(overlap, len(data))

    def finish(self, end: Result, now: float) -> None:
        """Ends the run; does nothing if it has ended."""
        if self._ended:
            return
        self._ended = True
        self._end = end
        self.ended_at = now
        self._notify_subscribers()

    def subscribe(self, sequence: int) -> "Subscription":
        """Returns a new subscription that starts at a sequence number."""
        subscription = Subscription(self, sequence)
        self._subscriptions.add(subscription)
        return subscription

    def unsubscribe(self, subscription: "Subscription", now: float) -> None:
        """Removes a subscription."""
        self._subscriptions.discard(subscription)
        self.unread_since = now

    def read(self, sequence: int) -> list[bytes]:
        """Returns the data of the events from a sequence number on."""
        return self._events[sequence - self._first_sequence :]

    def _notify_subscribers(self) -> None:
        for subscription in self._subscriptions:
            subscription.notify()


class Subscription:
    """A read position in a run."""

    def __init__(self, run: Run, sequence: int):
        self._run = run
        self._sequence = sequence
        self._readable = asyncio.Event()
        self._readable.set()

    @property
    def run(self) -> Run:
        """The run."""
        return self._run

    def notify(self) -> None:
        """Wakes the reader after new events or the end of the run."""
        self._readable.set()

    async def next_batch(self) -> EventBatch:
        """Waits for events or the end; returns all events not yet read."""
        while True:
            await self._readable.wait()
            self._readable.clear()
            first_sequence = self._sequence
            data = self._run.read(first_sequence)
            if data or self._run.ended:
                self._sequence += len(data)
                return EventBatch(
                    first_sequence, data, self._run.ended, self._run.end
                )
