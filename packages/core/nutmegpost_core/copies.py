"""Where the copies of one request go that come at the same time.

A request may crash its engine before anyone knows that it does. Its copies go
to the engine that the first one went to, so that they crash one engine and
not several, until an engine has begun to answer one of them.
"""

import collections
from typing import NamedTuple

__all__ = ["Copies"]

_COUNT_MAX = 20_000
# Copies come as repeats of their callers, within the longest time limits.
_PROVED_S = 60.0


class _Placed(NamedTuple):
    engine: str
    until: float
    copies: int


class Copies:
    """Engines of the requests that were placed lately, by digest."""

    def __init__(self, together_s: float):
        """Starts with nothing placed.

        Args:
            together_s: Seconds from the first copy within which others follow
                it; no less than a report of a crash takes to every router.
        """
        self._together_s = together_s
        self._placed: collections.OrderedDict[bytes, _Placed] = (
            collections.OrderedDict()
        )

    def placed(self, digest: bytes, engine: str, now: float) -> None:
        """Notes where a request went; copies that follow do not prolong it.

        Args:
            digest: Names the request and its copies.
            engine: Its engine.
            now: Monotonic time, seconds.
        """
        until, count = now + self._together_s, 1
        first = self._placed.get(digest)
        if first is not None and first.until > now:
            if not first.engine:
                return
            if first.engine == engine:
                until, count = first.until, first.copies + 1
        self._placed[digest] = _Placed(engine, until, count)
        self._placed.move_to_end(digest)
        if len(self._placed) > _COUNT_MAX:
            self._placed.popitem(last=False)

    def proved(self, digest: bytes, now: float) -> None:
        """Notes that an engine began to answer, so copies may go anywhere.

        Args:
            digest: Names the request and its copies.
            now: Monotonic time, seconds.
        """
        if digest in self._placed:
            self._placed[digest] = _Placed("", now + _PROVED_S, 0)

    def is_followed(self, digest: bytes, now: float) -> bool:
        """Returns whether more than one copy went to the same engine."""
        return (
            bool(self.engine(digest, now)) and self._placed[digest].copies > 1
        )

    def engine(self, digest: bytes, now: float) -> str:
        """Returns the engine of the first copy; empty when there is none."""
        found = self._placed.get(digest)
        if found is None or found.until <= now:
            return ""
        return found.engine
