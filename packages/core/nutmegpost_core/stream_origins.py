"""Which service and software version began each stream.

A caller that takes a stream up again, possibly at another router, names the
attempt that brought its first event; only the version that began the stream can
continue it.
"""

from typing import NamedTuple

import xxhash

from nutmegpost_core import calls

__all__ = [
    "HOLDERS",
    "Origin",
    "OriginEntry",
    "StreamOrigins",
    "TAKE_UP_S",
    "attempt_digest",
    "earliest_begin",
    "expiry",
]

# Routers, besides the one that relays a stream, that keep its origin.
HOLDERS = 3
# Time after the end of an answer within which a caller takes the stream up.
TAKE_UP_S = 60.0
# Origins that are retained; the oldest are discarded first.
ORIGINS_MAX = 20_000


def attempt_digest(attempt: str) -> bytes:
    """Returns the digest that stands for the identity of an attempt."""
    return xxhash.xxh3_64_digest(attempt.encode())


def expiry(call: calls.Call) -> float:
    """Returns the time until which the stream of a call can be taken up.

    Returns:
        Monotonic time, seconds.
    """
    return call.deadline + TAKE_UP_S


def earliest_begin(call: calls.Call) -> float:
    """Returns the time before which the stream of a take-up did not begin.

    Args:
        call: A caller's request to take a stream up.

    Returns:
        Monotonic time, seconds.
    """
    return call.received - call.route.timeout_s - TAKE_UP_S


class Origin(NamedTuple):
    """What began a stream.

    Attributes:
        service: Name of the service.
        software: Software version of the endpoint.
    """

    service: str
    software: str


class OriginEntry(NamedTuple):
    """The origin of a stream, as one router tells it to another.

    Attributes:
        attempt: Digest of the attempt that brought its first event.
        origin: What began the stream.
        expires: Monotonic time, seconds.
    """

    attempt: bytes
    origin: Origin
    expires: float


class StreamOrigins:
    """The origins of streams that a router knows."""

    def __init__(self) -> None:
        self._entries: dict[bytes, OriginEntry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def record(self, entry: OriginEntry) -> None:
        """Records an origin, or extends the time for which it is retained."""
        known = self._entries.pop(entry.attempt, None)
        if known is not None:
            entry = known._replace(expires=max(known.expires, entry.expires))
        if len(self._entries) >= ORIGINS_MAX:
            del self._entries[next(iter(self._entries))]
        self._entries[entry.attempt] = entry

    def find(self, attempt: bytes) -> OriginEntry | None:
        """Returns the origin of a stream by the digest of its attempt."""
        return self._entries.get(attempt)

    def of_service(self, service: str) -> list[OriginEntry]:
        """Returns the origins of the streams that a service began."""
        return [
            entry
            for entry in self._entries.values()
            if entry.origin.service == service
        ]

    def expire(self, now: float) -> None:
        """Discards the origins of streams that can no longer be taken up."""
        self._entries = {
            attempt: entry
            for attempt, entry in self._entries.items()
            if entry.expires > now
        }
