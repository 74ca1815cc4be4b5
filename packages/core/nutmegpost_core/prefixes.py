"""An estimate of the prompt parts that each endpoint has in its cache.

An endpoint keeps parts in a cache of limited size and drops the least recently
used one. A part is of use only when all parts before it are there too. The
estimate is made from the requests that were sent, by this router and by those
that tell of theirs.
"""

import collections
from collections.abc import Iterable, Sequence

from nutmegpost_core import calls

__all__ = ["Prefixes"]

# Share of the memory that is taken as cache; running requests use the rest.
CACHE_SHARE = 0.8


class _Cache:
    """The parts of one endpoint, the least recently used first."""

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.tokens = 0
        self.parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def touch(self, part: calls.Part) -> None:
        known = self.parts.pop(part.identity, 0)
        self.parts[part.identity] = part.tokens
        self.tokens += part.tokens - known
        while self.tokens > self.capacity and len(self.parts) > 1:
            _, tokens = self.parts.popitem(last=False)
            self.tokens -= tokens


class Prefixes:
    """The caches of all endpoints."""

    def __init__(self) -> None:
        self._caches: dict[str, _Cache] = {}
        self._reading: dict[tuple[str, str], float] = {}

    def cached(self, endpoint: str, parts: Sequence[calls.Part]) -> int:
        """Returns the tokens of a prompt that need not be read again."""
        cache = self._caches.get(endpoint)
        if cache is None:
            return 0
        total = 0
        for part in parts:
            if part.identity not in cache.parts:
                break
            total += part.tokens
        return total

    def fetchable(
        self, endpoint: str, parts: Sequence[calls.Part], now: float
    ) -> int:
        """Returns the tokens of a prompt that others can fetch from here.

        What an endpoint is just reading cannot be fetched yet.
        """
        ready = list(parts)
        while ready and self.reading(endpoint, ready[-1:], now):
            ready.pop()
        return self.cached(endpoint, ready)

    def touch(
        self, endpoint: str, parts: Iterable[calls.Part], cache_tokens: int
    ) -> None:
        """Notes that an endpoint reads a prompt.

        Args:
            endpoint: Name of the endpoint.
            parts: The parts, in order.
            cache_tokens: Tokens that the endpoint's memory holds.
        """
        cache = self._caches.get(endpoint)
        if cache is None:
            capacity = int(cache_tokens * CACHE_SHARE)
            cache = self._caches[endpoint] = _Cache(capacity)
        # The first part is touched last: it outlives those that need it.
        for part in reversed(list(parts)):
            cache.touch(part)

    def listed(self) -> dict[str, list[calls.Part]]:
        """Returns the parts of each endpoint, the least recently used first."""
        return {
            endpoint: [calls.Part(*item) for item in cache.parts.items()]
            for endpoint, cache in self._caches.items()
        }

    def begin_reading(
        self, endpoint: str, parts: Iterable[calls.Part], until: float
    ) -> None:
        """Notes that an endpoint is about to read parts.

        Args:
            endpoint: Name of the endpoint.
            parts: The parts.
            until: Monotonic time at which it will have read them, seconds.
        """
        for part in parts:
            self._reading[endpoint, part.identity] = until

    def finish_reading(
        self, endpoint: str, parts: Iterable[calls.Part]
    ) -> None:
        """Notes that an endpoint has read parts."""
        for part in parts:
            self._reading.pop((endpoint, part.identity), None)

    def reading(
        self, endpoint: str, parts: Iterable[calls.Part], now: float
    ) -> int:
        """Returns the tokens of a prompt that an endpoint is just reading."""
        total = 0
        for part in parts:
            until = self._reading.get((endpoint, part.identity))
            if until is None:
                continue
            if until <= now:
                del self._reading[endpoint, part.identity]
            else:
                total += part.tokens
        return total

    def forget(self, endpoint: str) -> None:
        """Forgets an endpoint that lost its cache."""
        self._caches.pop(endpoint, None)

    def keep(self, endpoints: Iterable[str]) -> None:
        """Forgets all endpoints but these."""
        kept = set(endpoints)
        for name in set(self._caches) - kept:
            del self._caches[name]
        self._reading = {
            key: until for key, until in self._reading.items() if key[0] in kept
        }
