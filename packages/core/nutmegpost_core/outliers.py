"""Ejection of engines that fail far more often than they should.

An engine leaves after several failures in a row and returns after a time that
doubles with each ejection. No more than a share of the pool may be out at
once, because failures of a whole pool have another cause.
"""

import math

__all__ = [
    "EJECT_AFTER",
    "OUT_MAX_S",
    "OUT_MIN_S",
    "SHARE_MAX",
    "Outliers",
]

EJECT_AFTER = 3
OUT_MIN_S = 2.0
OUT_MAX_S = 120.0
SHARE_MAX = 0.34
# Good results in a row that shorten the next ejection by half.
FORGIVE_AFTER = 20


class _Record:
    __slots__ = ("failures", "level", "out_until", "successes")

    def __init__(self) -> None:
        self.failures = 0.0
        self.successes = 0
        self.level = 0
        self.out_until = -math.inf


class Outliers:
    """The engines of one pool and who of them is out."""

    def __init__(
        self,
        engines: int = 0,
        eject_after: int = EJECT_AFTER,
        share_max: float = SHARE_MAX,
        kept_by_success: float = 0.0,
    ):
        """Starts with every engine in.

        Args:
            engines: Engines of the pool; see `set_engines`.
            eject_after: Failures in a row that eject an engine.
            share_max: Most of the pool that may be out, 0 to 1.
            kept_by_success: Part of the failures so far that a success
                leaves; 0 for failures in a row only. An engine that fails
                part of its requests is ejected when it is above 0.
        """
        self._engines = engines
        self._eject_after = eject_after
        self._share_max = share_max
        self._kept_by_success = kept_by_success
        self._records: dict[str, _Record] = {}

    def set_engines(self, names: set[str]) -> None:
        """Says which engines the pool has; forgets all others."""
        self._engines = len(names)
        self._records = {
            name: record
            for name, record in self._records.items()
            if name in names
        }

    def result(
        self, engine: str, ok: bool, now: float, weight: float = 1.0
    ) -> bool:
        """Takes the result of one attempt.

        Args:
            engine: Name of the engine.
            ok: Whether the engine did its part.
            now: Monotonic time, seconds.
            weight: Failures that a failure counts for.

        Returns:
            True when this result ejects the engine.
        """
        record = self._records.setdefault(engine, _Record())
        if ok:
            self._succeed(record)
            return False
        record.successes = 0
        record.failures += weight
        if record.failures < self._eject_after or now < record.out_until:
            return False
        if len(self.ejected(now)) >= self._out_max():
            return False
        out_s = min(OUT_MAX_S, OUT_MIN_S * 2**record.level)
        record.out_until = now + out_s
        record.level += 1
        # One failure after the return is enough to eject it again.
        record.failures = self._eject_after - 1
        return True

    def eject(self, engine: str, now: float) -> None:
        """Takes out an engine that is certainly down, for the least time.

        Args:
            engine: Name of the engine.
            now: Monotonic time, seconds.
        """
        record = self._records.setdefault(engine, _Record())
        record.out_until = max(record.out_until, now + OUT_MIN_S)

    def ejected(self, now: float) -> set[str]:
        """Returns the engines that are out."""
        return {
            name
            for name, record in self._records.items()
            if now < record.out_until
        }

    def is_out(self, engine: str, now: float) -> bool:
        """Returns whether an engine is out."""
        record = self._records.get(engine)
        return record is not None and now < record.out_until

    def _succeed(self, record: _Record) -> None:
        record.failures *= self._kept_by_success
        record.successes += 1
        if record.successes >= FORGIVE_AFTER:
            record.successes = 0
            record.level = max(0, record.level - 1)

    def _out_max(self) -> int:
        return int(self._engines * self._share_max)
