"""The byte budget of control traffic.

A token bucket bounds what a node sends for control. Each kind of message must
leave a reserve for the kinds that matter more, so what does not fit waits in
the order of importance: rumours first, acknowledgements last.
"""

from collections.abc import Mapping
import enum
from typing import NamedTuple

from nutmegpost_core import events
from nutmegpost_core import invariants

__all__ = ["Budget", "Counts", "Kind", "RATE_BYTES_S"]

RATE_BYTES_S = 2_000.0
_RESERVE_BYTES = 200


class Kind(enum.IntEnum):
    """A kind of control message; a lower number matters more."""

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
    """What was sent of one kind.

    Attributes:
        messages: Messages sent.
        bytes: Bytes sent.
        deferred: Times that a message did not fit.
    """

    messages: int = 0
    bytes: int = 0
    deferred: int = 0


class Budget:
    """A token bucket shared by all kinds of control messages.

    In any window of `w` seconds at most `burst + rate * w` bytes are spent.
    """

    def __init__(self, rate: float = RATE_BYTES_S, burst: float = RATE_BYTES_S):
        """Starts with a full bucket.

        Args:
            rate: Bytes a second.
            burst: Bytes that can be saved up.
        """
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated: float | None = None
        self._counts = {kind: Counts() for kind in Kind}

    @property
    def counts(self) -> Mapping[Kind, Counts]:
        """Totals for each kind since the start."""
        return self._counts

    def room(self, kind: Kind, now: float) -> int:
        """Returns how many bytes a message of this kind may have now."""
        self._refill(now)
        reserve = min(_RESERVE_BYTES * int(kind), self._burst / 2)
        return max(0, int(self._tokens - reserve))

    def spend(self, kind: Kind, size: int, now: float) -> bool:
        """Takes the bytes of one message from the bucket.

        Args:
            kind: Kind of the message.
            size: Its bytes, headers of UDP and IP included.
            now: Monotonic time in seconds.

        Returns:
            False when it does not fit; nothing is taken then.
        """
        counts = self._counts[kind]
        if size > self.room(kind, now):
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
