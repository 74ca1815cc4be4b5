"""Colocation of concurrent copies of a request on one engine.

Copies of a request may arrive before it is known to crash engines. They are
sent to the engine of the first copy, so that they crash one engine and not
several, until an engine starts to answer one of them.
"""

import collections
from typing import NamedTuple

__all__ = ["CopyPlacements"]

_DIGESTS_MAX = 20_000
# Copies are client retries, which arrive within the longest time limit.
_ANSWERED_S = 60.0


class _Placement(NamedTuple):
    engine: str
    until: float
    copies: int


class CopyPlacements:
    """Engines of recently placed requests, by digest."""

    def __init__(self, colocation_s: float):
        """Creates an empty table.

        Args:
            colocation_s: Seconds after the first copy during which others go to
                its engine; at least the time in which the report of a crash
                reaches every router.
        """
        self._colocation_s = colocation_s
        self._placements: collections.OrderedDict[bytes, _Placement] = (
            collections.OrderedDict()
        )

    def record_placement(self, digest: bytes, engine: str, now: float) -> None:
        """Records where a request was sent.

        Copies sent to the same engine do not extend the colocation time.

        Args:
            digest: Identifies the request and its copies.
            engine: The engine that it was sent to.
            now: Monotonic time, seconds.
        """
        until, count = now + self._colocation_s, 1
        current = self._placements.get(digest)
        if current is not None and current.until > now:
            if not current.engine:
                return
            if current.engine == engine:
                until, count = current.until, current.copies + 1
        self._placements[digest] = _Placement(engine, until, count)
        self._placements.move_to_end(digest)
        if len(self._placements) > _DIGESTS_MAX:
            self._placements.popitem(last=False)

    def record_answer_started(self, digest: bytes, now: float) -> None:
        """Records that an engine started to answer; copies may go anywhere.

        Args:
            digest: Identifies the request and its copies.
            now: Monotonic time, seconds.
        """
        if digest in self._placements:
            self._placements[digest] = _Placement("", now + _ANSWERED_S, 0)

    def has_copies(self, digest: bytes, now: float) -> bool:
        """Returns whether several copies were sent to the same engine."""
        return (
            bool(self.engine(digest, now))
            and self._placements[digest].copies > 1
        )

    def engine(self, digest: bytes, now: float) -> str:
        """Returns the engine for further copies; empty for any engine."""
        placement = self._placements.get(digest)
        if placement is None or placement.until <= now:
            return ""
        return placement.engine
