"""Which service and software version began each stream.

A caller that takes a stream up again, possibly at another router, names the
attempt that brought its first event; only the version that began the stream can
continue it. If its route has moved to another service, the stream stays at the
version there that continued it first.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import xxhash

from nutmegpost_core import calls
from nutmegpost_core import ownership

__all__ = [
    "Origin",
    "OriginEntry",
    "StreamOrigins",
    "TAKE_UP_S",
    "attempt_digest",
    "earliest_begin",
    "expiry",
    "version_after_move",
]

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
    """What began a stream, or the part of it that a service sent.

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


def version_after_move(
    attempt: bytes, origins: Iterable[Origin], versions: Mapping[str, str]
) -> str:
    """Returns the version at which a stream goes on at another service.

    A version that sent events of the stream elsewhere is preferred. All routers
    that know the same endpoints choose the same version, since the record of
    the choice may be lost with a router.

    Args:
        attempt: Digest of the attempt that began the stream.
        origins: What is known of the stream; none of it at this service.
        versions: Software versions of the endpoints of the service, by name;
            not empty.
    """
    known = {origin.software for origin in origins}
    preferred = {
        name: software
        for name, software in versions.items()
        if software in known
    }
    candidates = preferred or versions
    return candidates[ownership.first(attempt.hex(), list(candidates), 1)[0]]


class StreamOrigins:
    """The origins of streams that a router knows, one for each service."""

    def __init__(self) -> None:
        self._entries: dict[bytes, tuple[OriginEntry, ...]] = {}

    def __len__(self) -> int:
        """Returns the number of streams."""
        return len(self._entries)

    def __contains__(self, attempt: object) -> bool:
        """Returns whether an origin is known by the digest of its attempt."""
        return attempt in self._entries

    def record(self, entry: OriginEntry) -> None:
        """Records an origin, or extends the time for which it is retained."""
        others = []
        for known in self._entries.pop(entry.attempt, ()):
            if known.origin.service != entry.origin.service:
                others.append(known)
            else:
                entry = known._replace(
                    expires=max(known.expires, entry.expires)
                )
        if len(self._entries) >= ORIGINS_MAX:
            del self._entries[next(iter(self._entries))]
        self._entries[entry.attempt] = (entry, *others)

    def find(self, attempt: bytes) -> tuple[OriginEntry, ...]:
        """Returns the origins of a stream, the one recorded last first.

        Args:
            attempt: Digest of the attempt that began it.
        """
        return self._entries.get(attempt, ())

    def attempts(self) -> list[bytes]:
        """Returns the digests of the attempts with a known origin."""
        return list(self._entries)

    def expire(self, now: float) -> None:
        """Discards the origins of streams that can no longer be taken up."""
        self._entries = {
            attempt: retained
            for attempt, entries in self._entries.items()
            if (
                retained := tuple(
                    entry for entry in entries if entry.expires > now
                )
            )
        }
