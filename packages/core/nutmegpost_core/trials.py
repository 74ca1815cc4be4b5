"""Schedule of the trials of subjects that are otherwise refused.

A subject is something that is blamed for failures and may be blamed wrongly.
The interval between its trials grows with each trial that does not clear it.
"""

import math
from typing import NamedTuple

__all__ = ["TrialSchedule"]

# Factor by which the interval grows with each trial.
GROWTH = 4.0
SUBJECTS_MAX = 10_000


class _Trials(NamedTuple):
    """Trials of a subject since it was last cleared.

    Attributes:
        made: Their number.
        last_at: Monotonic time of the last one, seconds.
    """

    made: int = 0
    last_at: float = -math.inf


_NO_TRIALS = _Trials()


class TrialSchedule:
    """Trials that routers made of each subject."""

    def __init__(self) -> None:
        """Creates a schedule without trials."""
        # The subject that was tried least recently is first.
        self._trials: dict[str, _Trials] = {}

    def record(self, subject: str, now: float) -> None:
        """Records a trial of a subject, by this router or a peer."""
        trials = self._trials.pop(subject, _NO_TRIALS)
        if len(self._trials) >= SUBJECTS_MAX:
            del self._trials[next(iter(self._trials))]
        self._trials[subject] = _Trials(trials.made + 1, now)

    def clear(self, subject: str) -> None:
        """Forgets the trials of a subject that is no longer blamed."""
        self._trials.pop(subject, None)

    def last_at(self, subject: str) -> float:
        """Returns the monotonic time of the last trial, seconds."""
        return self._trials.get(subject, _NO_TRIALS).last_at

    def is_due(
        self, subject: str, blamed_at: float, interval_s: float, now: float
    ) -> bool:
        """Returns whether a subject may be tried.

        Args:
            subject: The subject.
            blamed_at: Monotonic time at which it was last blamed, seconds.
            interval_s: Interval before the first trial, seconds.
            now: Monotonic time, seconds.
        """
        trials = self._trials.get(subject, _NO_TRIALS)
        last = max(trials.last_at, blamed_at)
        return now - last >= interval_s * GROWTH**trials.made
