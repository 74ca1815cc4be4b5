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

    def forget(self, endpoint: str) -> None:
        """Forgets an endpoint that lost its cache."""
        self._caches.pop(endpoint, None)

    def keep(self, endpoints: Iterable[str]) -> None:
        """Forgets all endpoints but these."""
        for name in set(self._caches) - set(endpoints):
            del self._caches[name]
