"""Estimates which prompt parts each endpoint has in its prefix cache.

An endpoint caches parts up to a size limit and evicts the least recently used
one. A cached part can be reused only if all parts before it are cached too. The
estimate is built from the requests that this router dispatched and those that
its peers reported.
"""

import collections
from collections.abc import Iterable, Sequence

from nutmegpost_core import calls

__all__ = ["PrefixCaches"]

# Share of the memory assumed to hold cache; running requests use the rest.
CACHE_SHARE = 0.8


class _Cache:
    """LRU cache of one endpoint; the least recently used part comes first."""

    def __init__(self, capacity_tokens: int):
        self.capacity_tokens = capacity_tokens
        self.tokens = 0
        self.parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def touch(self, part: calls.PromptPart) -> list[str]:
        """Marks a part as most recently used; returns the evicted parts."""
        evicted = []
        previous = self.parts.pop(part.identity, 0)
        self.parts[part.identity] = part.tokens
        self.tokens += part.tokens - previous
        while self.tokens > self.capacity_tokens and len(self.parts) > 1:
            identity, tokens = self.parts.popitem(last=False)
            self.tokens -= tokens
            evicted.append(identity)
        return evicted


class PrefixCaches:
    """Estimated prefix caches of all endpoints."""

    def __init__(self) -> None:
        self._caches: dict[str, _Cache] = {}
        # Names of the endpoints that have a part cached, by part.
        self._holders: dict[str, set[str]] = {}
        self._prefill_until: dict[tuple[str, str], float] = {}

    def cached_tokens(
        self, endpoint: str, parts: Sequence[calls.PromptPart]
    ) -> int:
        """Returns the tokens in the longest cached prefix of a prompt."""
        cache = self._caches.get(endpoint)
        if cache is None:
            return 0
        total = 0
        for part in parts:
            if part.identity not in cache.parts:
                break
            total += part.tokens
        return total

    def cached_by_endpoint(
        self, parts: Sequence[calls.PromptPart]
    ) -> dict[str, int]:
        """Returns the tokens in the longest cached prefix of a prompt.

        Args:
            parts: Parts of the prompt, in order.

        Returns:
            Tokens by name, for the endpoints that have the first part cached.
        """
        tokens_by_endpoint: dict[str, int] = {}
        holders: set[str] | None = None
        total = 0
        for part in parts:
            of_part = self._holders.get(part.identity, set())
            holders = of_part if holders is None else holders & of_part
            if not holders:
                break
            total += part.tokens
            tokens_by_endpoint |= dict.fromkeys(holders, total)
        return tokens_by_endpoint

    def fetchable_tokens(
        self, endpoint: str, parts: Sequence[calls.PromptPart], now: float
    ) -> int:
        """Returns the tokens of a prompt that other endpoints can fetch.

        Parts that the endpoint is still prefilling cannot be fetched yet.

        Args:
            endpoint: Name of the endpoint.
            parts: Parts of the prompt, in order.
            now: Monotonic time, seconds.
        """
        fetchable = list(parts)
        while fetchable and self.prefilling_tokens(
            endpoint, fetchable[-1:], now
        ):
            fetchable.pop()
        return self.cached_tokens(endpoint, fetchable)

    def touch(
        self,
        endpoint: str,
        parts: Iterable[calls.PromptPart],
        cache_tokens: int,
    ) -> None:
        """Marks the parts of a prompt as most recently used at an endpoint.

        Args:
            endpoint: Name of the endpoint.
            parts: Parts of the prompt, in order.
            cache_tokens: Tokens that fit in the memory of the endpoint.
        """
        cache = self._caches.get(endpoint)
        if cache is None:
            capacity_tokens = int(cache_tokens * CACHE_SHARE)
            cache = self._caches[endpoint] = _Cache(capacity_tokens)
        # Touches the first part last, so that it is evicted after the parts
        # that depend on it.
        for part in reversed(list(parts)):
            evicted = cache.touch(part)
            self._holders.setdefault(part.identity, set()).add(endpoint)
            for identity in evicted:
                self._remove_holder(identity, endpoint)

    def parts_by_endpoint(self) -> dict[str, list[calls.PromptPart]]:
        """Returns the cached parts by endpoint, least recently used first."""
        return {
            endpoint: [calls.PromptPart(*item) for item in cache.parts.items()]
            for endpoint, cache in self._caches.items()
        }

    def begin_prefill(
        self, endpoint: str, parts: Iterable[calls.PromptPart], until: float
    ) -> None:
        """Records that an endpoint starts to prefill parts.

        Args:
            endpoint: Name of the endpoint.
            parts: The parts.
            until: Expected end of the prefill, monotonic seconds.
        """
        for part in parts:
            self._prefill_until[endpoint, part.identity] = until

    def finish_prefill(
        self, endpoint: str, parts: Iterable[calls.PromptPart]
    ) -> None:
        """Records that an endpoint has prefilled parts."""
        for part in parts:
            self._prefill_until.pop((endpoint, part.identity), None)

    def prefilling_tokens(
        self, endpoint: str, parts: Iterable[calls.PromptPart], now: float
    ) -> int:
        """Returns the tokens of a prompt that an endpoint is prefilling."""
        total = 0
        for part in parts:
            until = self._prefill_until.get((endpoint, part.identity))
            if until is None:
                continue
            if until <= now:
                del self._prefill_until[endpoint, part.identity]
            else:
                total += part.tokens
        return total

    def forget(self, endpoint: str) -> None:
        """Discards the estimate of an endpoint that lost its cache."""
        cache = self._caches.pop(endpoint, None)
        if cache is not None:
            for identity in cache.parts:
                self._remove_holder(identity, endpoint)

    def retain(self, endpoints: Iterable[str]) -> None:
        """Discards the estimates of all endpoints but these."""
        retained = set(endpoints)
        for name in set(self._caches) - retained:
            self.forget(name)
        self._prefill_until = {
            key: until
            for key, until in self._prefill_until.items()
            if key[0] in retained
        }

    def _remove_holder(self, identity: str, endpoint: str) -> None:
        holders = self._holders[identity]
        holders.discard(endpoint)
        if not holders:
            del self._holders[identity]
