"""The byte budget of control traffic.

A token bucket bounds the control traffic that a node sends. Each kind of
message leaves a reserve for the kinds of higher priority, so that messages are
deferred in order of increasing priority, acknowledgements last.
"""

from collections.abc import Mapping
import enum
from typing import NamedTuple

from nutmegpost_core import events
from nutmegpost_core import invariants

__all__ = ["Budget", "Counts", "Kind", "RATE_BYTES_PER_S"]

RATE_BYTES_PER_S = 2_000.0
_RESERVE_BYTES = 200


class Kind(enum.IntEnum):
    """A kind of control message; a lower number has a higher priority."""

    ACK = 0
    PING = 1
    PING_REQUEST = 2
    LEAVE = 3
    UPDATE = 4
    SYNC = 5
    ENTRIES = 6
    RUMOUR = 7
    LINK = 8


class Counts(NamedTuple):
    """Totals of the messages of one kind.

    Attributes:
        messages: Messages sent.
        bytes: Bytes sent.
        deferred: Messages that exceeded the budget and were not sent.
    """

    messages: int = 0
    bytes: int = 0
    deferred: int = 0


class Budget:
    """A token bucket shared by all kinds of control messages.

    In any window of `w` seconds at most `burst + rate * w` bytes are spent.
    """

    def __init__(
        self, rate: float = RATE_BYTES_PER_S, burst: float = RATE_BYTES_PER_S
    ):
        """Starts with a full bucket.

        Args:
            rate: Refill rate, bytes per second.
            burst: Capacity of the bucket, bytes.
        """
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated: float | None = None
        self._counts = {kind: Counts() for kind in Kind}

    @property
    def counts(self) -> Mapping[Kind, Counts]:
        """Totals by kind since the start."""
        return self._counts

    def available_bytes(self, kind: Kind, now: float) -> int:
        """Returns the largest size of a message of this kind, in bytes."""
        self._refill(now)
        reserve = min(_RESERVE_BYTES * int(kind), self._burst / 2)
        return max(0, int(self._tokens - reserve))

    def spend(self, kind: Kind, size: int, now: float) -> bool:
        """Takes the bytes of one message from the bucket.

        Args:
            kind: Kind of the message.
            size: Size in bytes, including UDP and IP headers.
            now: Monotonic time in seconds.

        Returns:
            Whether the message fits; if not, no bytes are taken.
        """
        counts = self._counts[kind]
        if size > self.available_bytes(kind, now):
            self._counts[kind] = counts._replace(deferred=counts.deferred + 1)
            return False
        self._tokens -= size
        invariants.check(
            self._tokens >= 0, events.BUDGET_EXCEEDED, bytes=-self._tokens
        )
        self._counts[kind] = counts._replace(
            messages=counts.messages + 1, bytes=counts.bytes + size
        )
        return True

    def _refill(self, now: float) -> None:
        if self._updated is not None and now > self._updated:
            gained = (now - self._updated) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
        self._updated = max(now, self._updated or now)
