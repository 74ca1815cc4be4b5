"""Burn rates of the service-level error budget of each work class.

The error budget of a class is the share of its requests that may miss the
target (1 - `within`). The burn rate is the share that missed divided by the
error budget: at 1 the class just meets its objective, at 10 it misses ten
times as often as it may.

Requests are counted in two ring buffers of time buckets for each class and
model, a fine one for the short windows and a coarse one for the long windows,
so memory use does not depend on traffic.
"""

import array
from collections.abc import Iterable, Sequence
import enum
from typing import NamedTuple

from nutmegpost_core import configuration
from nutmegpost_core import errors

__all__ = [
    "WINDOWS_S",
    "WITHIN",
    "BurnCounter",
    "BurnRow",
    "Verdict",
    "uses_error_budget",
    "merge",
]

WINDOWS_S = (60.0, 300.0, 1800.0, 3600.0, 21600.0)
# Share of requests that must meet the target of a class that declares none.
WITHIN = 0.95

_FINE_BUCKET_S = 5.0
_FINE_WINDOW_S = 300.0
_COARSE_BUCKET_S = 60.0
_COARSE_WINDOW_S = 21600.0
# Rounding error by which a measured time may exceed its target.
_ROUNDING_TOLERANCE = 1e-9

_HTTP_TOO_MANY_REQUESTS = 429
_HTTP_SERVER_ERROR = 500


class Verdict(enum.IntEnum):
    """Whether a request met the target of its class, or how it missed."""

    GOOD = 0
    LATE_FIRST = 1
    SLOW_TOKENS = 2
    LATE_FINISH = 3
    REFUSED = 4
    LOST = 5


class BurnRow(NamedTuple):
    """Counts of one class over one window.

    Attributes:
        work_class: Work class.
        window_s: Length of the window, seconds.
        total: Requests that ended in the window.
        good: Requests that met the whole target.
        bad: Requests that missed it.
        late_first: Bad because the first token came late.
        slow_tokens: Bad because tokens came too far apart.
        late_finish: Bad because the whole answer came late.
        refused: Bad because the request was refused before it ran.
        lost: Bad because the answer was lost.
        within: Share of requests that must meet the target.
        rate: Burn rate; 0 for an empty window.
    """

    work_class: str
    window_s: float
    total: int
    good: int
    bad: int
    late_first: int
    slow_tokens: int
    late_finish: int
    refused: int
    lost: int
    within: float
    rate: float


def uses_error_budget(status: int) -> bool:
    """Returns whether a failure with an HTTP status uses error budget.

    A malformed request or an unknown account is an error of the client and
    does not; a refusal because of overload does.
    """
    return status == _HTTP_TOO_MANY_REQUESTS or status >= _HTTP_SERVER_ERROR


class _Ring:
    """Ring buffer of verdict counts in the latest time buckets."""

    __slots__ = ("_bucket_s", "_counts", "_latest", "_size")

    def __init__(self, bucket_s: float, window_s: float):
        self._bucket_s = bucket_s
        # One more than the full buckets, for the one that is still filling.
        self._size = int(window_s / bucket_s) + 1
        self._counts = [
            array.array("I", bytes(4 * self._size)) for _ in Verdict
        ]
        self._latest = 0

    def add(self, verdict: Verdict, now: float) -> None:
        self._advance(now)
        self._counts[verdict][self._latest % self._size] += 1

    def sums(self, window_s: float, now: float) -> list[int]:
        self._advance(now)
        bucket_count = min(int(window_s / self._bucket_s) + 1, self._size)
        end = self._latest % self._size + 1
        start = end - bucket_count
        if start >= 0:
            return [sum(counts[start:end]) for counts in self._counts]
        return [
            sum(counts[:end]) + sum(counts[start:]) for counts in self._counts
        ]

    def _advance(self, now: float) -> None:
        bucket = int(now / self._bucket_s)
        oldest_stale = max(self._latest + 1, bucket - self._size + 1)
        for stale in range(oldest_stale, bucket + 1):
            for counts in self._counts:
                counts[stale % self._size] = 0
        self._latest = max(self._latest, bucket)


class _Series:
    """Ring buffers of one class and model."""

    __slots__ = ("_coarse", "_fine")

    def __init__(self) -> None:
        self._fine = _Ring(_FINE_BUCKET_S, _FINE_WINDOW_S)
        self._coarse = _Ring(_COARSE_BUCKET_S, _COARSE_WINDOW_S)

    def add(self, verdict: Verdict, now: float) -> None:
        self._fine.add(verdict, now)
        self._coarse.add(verdict, now)

    def sums(self, window_s: float, now: float) -> list[int]:
        if window_s <= _FINE_WINDOW_S:
            return self._fine.sums(window_s, now)
        return self._coarse.sums(window_s, now)


class BurnCounter:
    """Counts requests that met or missed the target of their class."""

    def __init__(self, classes: Sequence[configuration.WorkClass]):
        """Creates a counter without requests.

        Args:
            classes: Work classes of the configuration in force.
        """
        self._classes: dict[str, configuration.WorkClass] = {}
        self._series: dict[tuple[str, str], _Series] = {}
        self.set_classes(classes)

    @property
    def classes(self) -> tuple[str, ...]:
        """Names of the work classes."""
        return tuple(self._classes)

    def set_classes(self, classes: Sequence[configuration.WorkClass]) -> None:
        """Replaces the targets and keeps the counts.

        Args:
            classes: Work classes of the configuration in force. Counts of a
                removed class are dropped.
        """
        self._classes = {
            work_class["name"]: work_class for work_class in classes
        }
        self._series = {
            key: series
            for key, series in self._series.items()
            if key[0] in self._classes
        }

    def record_answer(
        self,
        work_class: str,
        first_token_s: float,
        worst_gap_s: float,
        total_s: float,
        now: float,
        model: str = "",
    ) -> Verdict:
        """Records a request that was answered in full.

        Args:
            work_class: Its class; one that is not declared is not counted.
            first_token_s: Time to the first token, seconds.
            worst_gap_s: Longest time between tokens, seconds.
            total_s: Time to the end of the answer, seconds.
            now: Monotonic seconds.
            model: Model that answered, for `rate`.

        Returns:
            The verdict; GOOD for a class that is not declared.
        """
        target = self._classes.get(work_class)
        if target is None:
            return Verdict.GOOD
        verdict = _classify(target, first_token_s, worst_gap_s, total_s)
        self._add(work_class, model, verdict, now)
        return verdict

    def record_failure(
        self,
        work_class: str,
        outcome: errors.Outcome,
        now: float,
        model: str = "",
    ) -> None:
        """Records a request that ended without an answer.

        Call it only for failures for which `uses_error_budget` is true.

        Args:
            work_class: Its class; one that is not declared is not counted.
            outcome: Whether the request ran.
            now: Monotonic seconds.
            model: Requested model, for `rate`.
        """
        if work_class not in self._classes:
            return
        refused = outcome == errors.Outcome.NOT_RUN
        verdict = Verdict.REFUSED if refused else Verdict.LOST
        self._add(work_class, model, verdict, now)

    def report(self, now: float) -> list[BurnRow]:
        """Returns a row for each class and window, shortest window first."""
        return [
            self._row(work_class, window_s, now)
            for work_class in self._classes
            for window_s in WINDOWS_S
        ]

    def rate(
        self, name: str, window_s: float, now: float, count_min: int = 1
    ) -> float:
        """Returns the burn rate of a class or of a model.

        Args:
            name: A work class, or a model for the total of its classes.
            window_s: Length of the window, seconds; at most 6 hours.
            now: Monotonic seconds.
            count_min: Fewest requests that give a rate.

        Returns:
            Bad requests divided by the bad requests that the targets allow; 0
            for fewer than `count_min` requests in the window.
        """
        total = 0
        bad = 0
        allowed = 0.0
        for (work_class, model), series in self._series.items():
            if name not in (work_class, model):
                continue
            sums = series.sums(window_s, now)
            count = sum(sums)
            total += count
            bad += count - sums[Verdict.GOOD]
            allowed += count * (1 - self._within(work_class))
        if total < max(count_min, 1):
            return 0.0
        return bad / allowed

    def _add(
        self, work_class: str, model: str, verdict: Verdict, now: float
    ) -> None:
        series = self._series.get((work_class, model))
        if series is None:
            series = self._series[work_class, model] = _Series()
        series.add(verdict, now)

    def _within(self, work_class: str) -> float:
        return self._classes[work_class].get("within", WITHIN)

    def _row(self, work_class: str, window_s: float, now: float) -> BurnRow:
        sums = [0] * len(Verdict)
        for (series_class, _), series in self._series.items():
            if series_class == work_class:
                counts = series.sums(window_s, now)
                sums = [a + b for a, b in zip(sums, counts, strict=True)]
        return _row(work_class, window_s, sums, self._within(work_class))


def merge(reports: Iterable[Iterable[BurnRow]]) -> list[BurnRow]:
    """Adds up the reports of several routers.

    Each request is counted only by the router that received it from the
    client, so counts can be added.

    Args:
        reports: The rows of each router.

    Returns:
        A row for each class and window of any report. If routers disagree on
        `within` while a configuration change propagates, the strictest
        value applies.
    """
    sums: dict[tuple[str, float], list[int]] = {}
    within: dict[str, float] = {}
    for report in reports:
        for row in report:
            key = (row.work_class, row.window_s)
            counts_so_far = sums.setdefault(key, [0] * len(Verdict))
            counts = _verdict_counts(row)
            sums[key] = [
                a + b for a, b in zip(counts_so_far, counts, strict=True)
            ]
            within[row.work_class] = max(
                within.get(row.work_class, 0.0), row.within
            )
    return [
        _row(work_class, window_s, counts, within[work_class])
        for (work_class, window_s), counts in sums.items()
    ]


def _classify(
    target: configuration.WorkClass,
    first_token_s: float,
    worst_gap_s: float,
    total_s: float,
) -> Verdict:
    if first_token_s * 1000 > target["first_token_ms"] + _ROUNDING_TOLERANCE:
        return Verdict.LATE_FIRST
    between_tokens_ms = target.get("between_tokens_ms")
    if (
        between_tokens_ms
        and worst_gap_s * 1000 > between_tokens_ms + _ROUNDING_TOLERANCE
    ):
        return Verdict.SLOW_TOKENS
    finish_s = target.get("finish_s")
    if finish_s and total_s > finish_s + _ROUNDING_TOLERANCE:
        return Verdict.LATE_FINISH
    return Verdict.GOOD


def _verdict_counts(row: BurnRow) -> list[int]:
    return [
        row.good,
        row.late_first,
        row.slow_tokens,
        row.late_finish,
        row.refused,
        row.lost,
    ]


def _row(
    work_class: str, window_s: float, sums: Sequence[int], within: float
) -> BurnRow:
    total = sum(sums)
    bad = total - sums[Verdict.GOOD]
    return BurnRow(
        work_class=work_class,
        window_s=window_s,
        total=total,
        good=sums[Verdict.GOOD],
        bad=bad,
        late_first=sums[Verdict.LATE_FIRST],
        slow_tokens=sums[Verdict.SLOW_TOKENS],
        late_finish=sums[Verdict.LATE_FINISH],
        refused=sums[Verdict.REFUSED],
        lost=sums[Verdict.LOST],
        within=within,
        rate=bad / total / (1 - within) if total else 0.0,
    )
