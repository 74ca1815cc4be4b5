"""Requests that crash the endpoints that run them.

A request is known by a digest of its account, path and body, since its caller
sends it again under a new id. When an endpoint goes down while it works, every
request that it was running is charged with one crash. A request that is
charged with several crashes of different endpoints is not sent any more.

Endpoints also crash for reasons of their own, and requests that were running
are sent again together. Where several requests share the same two crashes, it
takes a third one to tell which of them is the cause.
"""

from collections.abc import Mapping

import xxhash

__all__ = ["Crashes", "digest"]

# Crashes after which a request is refused, where it shares them with no other.
CRASHES_ALONE_MAX = 2
# Crashes after which it is refused in any case: the users' bound.
CRASHES_MAX = 3
FORGET_S = 600.0
DIGESTS_MAX = 10_000


def digest(account: str, path: str, body: bytes) -> str:
    """Returns what names a request when it comes again."""
    head = f"{account}\n{path}\n".encode()
    return xxhash.xxh3_128_hexdigest(head + body)[:16]


class Crashes:
    """The endpoints that each digest is charged with."""

    def __init__(self) -> None:
        self._charged: dict[str, dict[str, float]] = {}

    @property
    def charged(self) -> Mapping[str, Mapping[str, float]]:
        """Endpoints with the time of their crash, by digest."""
        return self._charged

    def charge(self, name: str, endpoint: str, now: float) -> bool:
        """Charges a request with the crash of an endpoint.

        Args:
            name: Digest of the request.
            endpoint: The endpoint that crashed.
            now: Monotonic time, seconds.

        Returns:
            Whether that is new.
        """
        found = self._charged.get(name)
        if found is None:
            if len(self._charged) >= DIGESTS_MAX:
                del self._charged[next(iter(self._charged))]
            found = self._charged[name] = {}
        if endpoint in found:
            return False
        found[endpoint] = now
        return True

    def clear(self, name: str) -> None:
        """Forgets a request that ran to its end."""
        self._charged.pop(name, None)

    def count(self, name: str, now: float) -> int:
        """Returns the crashes that a request is charged with."""
        found = self._charged.get(name)
        if not found:
            return 0
        return sum(1 for at in found.values() if now - at < FORGET_S)

    def is_refused(self, name: str, now: float) -> bool:
        """Returns whether a request may not be sent any more."""
        count = self.count(name, now)
        if count < CRASHES_ALONE_MAX:
            return False
        return count >= CRASHES_MAX or not self._is_shared(name)

    def _is_shared(self, name: str) -> bool:
        """Returns whether another request is charged with the same crashes."""
        endpoints = self._charged[name].keys()
        return any(
            endpoints <= charged.keys()
            for other, charged in self._charged.items()
            if other != name
        )
