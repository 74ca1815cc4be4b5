"""Outlier ejection for the engines of a pool.

An engine is ejected after several consecutive failures, for a time that
doubles with each ejection. At most a share of the pool may be ejected at a
time, because failures of a whole pool have another cause.
"""

import math

__all__ = [
    "EJECT_AFTER_FAILURES",
    "EJECTION_MAX_S",
    "EJECTION_MIN_S",
    "EJECTED_SHARE_MAX",
    "OutlierDetector",
]

EJECT_AFTER_FAILURES = 3
EJECTION_MIN_S = 2.0
EJECTION_MAX_S = 120.0
EJECTED_SHARE_MAX = 0.34
# Consecutive successes that halve the next ejection time.
RECOVER_AFTER_SUCCESSES = 20


class _Record:
    __slots__ = ("backoff_level", "ejected_until", "failures", "successes")

    def __init__(self) -> None:
        self.failures = 0.0
        self.successes = 0
        self.backoff_level = 0
        self.ejected_until = -math.inf


class OutlierDetector:
    """Ejects failing engines of one pool."""

    def __init__(
        self,
        engine_count: int = 0,
        eject_after_failures: int = EJECT_AFTER_FAILURES,
        ejected_share_max: float = EJECTED_SHARE_MAX,
        failure_decay: float = 0.0,
    ):
        """Creates a detector with no engine ejected.

        Args:
            engine_count: Number of engines in the pool; see `set_engines`.
            eject_after_failures: Failure count that ejects an engine.
            ejected_share_max: Largest share of the pool that may be ejected,
                0 to 1.
            failure_decay: Factor, 0 to 1, applied to the failure count on
                each success. 0 counts consecutive failures only; above 0 an
                engine that fails part of its requests is ejected too.
        """
        self._engine_count = engine_count
        self._eject_after_failures = eject_after_failures
        self._ejected_share_max = ejected_share_max
        self._failure_decay = failure_decay
        self._records: dict[str, _Record] = {}

    def set_engines(self, names: set[str]) -> None:
        """Sets the engines of the pool and drops the records of others."""
        self._engine_count = len(names)
        self._records = {
            name: record
            for name, record in self._records.items()
            if name in names
        }

    def record_result(
        self, engine: str, succeeded: bool, now: float, weight: float = 1.0
    ) -> bool:
        """Records the result of one attempt.

        Args:
            engine: Name of the engine.
            succeeded: Whether the engine served the attempt.
            now: Monotonic time, seconds.
            weight: Amount that a failure adds to the failure count.

        Returns:
            Whether this result ejects the engine.
        """
        record = self._records.setdefault(engine, _Record())
        if succeeded:
            self._record_success(record)
            return False
        record.successes = 0
        record.failures += weight
        if (
            record.failures < self._eject_after_failures
            or now < record.ejected_until
        ):
            return False
        if len(self.ejected(now)) >= self._ejected_max():
            return False
        ejection_s = min(
            EJECTION_MAX_S, EJECTION_MIN_S * 2**record.backoff_level
        )
        record.ejected_until = now + ejection_s
        record.backoff_level += 1
        # A single failure after the return ejects the engine again.
        record.failures = self._eject_after_failures - 1
        return True

    def eject(self, engine: str, now: float) -> None:
        """Ejects an engine that is known to be down, for the shortest time.

        Args:
            engine: Name of the engine.
            now: Monotonic time, seconds.
        """
        record = self._records.setdefault(engine, _Record())
        record.ejected_until = max(record.ejected_until, now + EJECTION_MIN_S)

    def clear(self) -> None:
        """Forgets all failures, which had another cause than the engines."""
        self._records.clear()

    def ejected(self, now: float) -> set[str]:
        """Returns the engines that are ejected."""
        return {
            name
            for name, record in self._records.items()
            if now < record.ejected_until
        }

    def is_ejected(self, engine: str, now: float) -> bool:
        """Returns whether an engine is ejected."""
        record = self._records.get(engine)
        return record is not None and now < record.ejected_until

    def _record_success(self, record: _Record) -> None:
        record.failures *= self._failure_decay
        record.successes += 1
        if record.successes >= RECOVER_AFTER_SUCCESSES:
            record.successes = 0
            record.backoff_level = max(0, record.backoff_level - 1)

    def _ejected_max(self) -> int:
        return int(self._engine_count * self._ejected_share_max)
