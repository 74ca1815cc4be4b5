"""Estimates how slowly each endpoint works now, from what it reports.

An endpoint can report how long work takes on its VM compared with usual. The
figure lags by some tenths of a second and can flip between two values, and a
slow phase lasts only about 0.6 s. So figures are averaged over about the
duration of a request, and the average loses weight with the age of the newest
figure until the endpoint counts as usual again.

The estimate is a slowdown: 1 is usual and 2 is twice the usual time. An
endpoint that reports to be faster than usual counts as usual, since a wrong low
figure would otherwise attract the requests of all routers.
"""

from collections.abc import Collection, Mapping
from typing import NamedTuple

from nutmegpost_core import quantile

__all__ = [
    "HALF_LIFE_S",
    "PERCENT_MAX",
    "PERCENT_MIN",
    "SLOWDOWN_MAX",
    "EndpointSpeeds",
    "Figure",
    "Report",
    "parse_percent",
]

# Time in which a figure loses half of its weight: half of a slow phase.
HALF_LIFE_S = 0.3
# Reported figures outside this range are wrong.
PERCENT_MIN = 10
PERCENT_MAX = 2_000
# Largest estimate, so that a wrong high figure costs only one endpoint, and
# that one still gets requests when the others are loaded.
SLOWDOWN_MAX = 4.0
# Range of the averaging window. A slow phase must show within it, and a single
# wrong figure must not decide.
_WINDOW_MIN_S = 0.1
_WINDOW_MAX_S = 0.6
# Age of a figure above which it says nothing: ten half-lives.
_AGE_MAX_S = 10 * HALF_LIFE_S
# Age up to which a figure is passed on to other routers.
_AGE_TOLD_MAX_S = 3 * HALF_LIFE_S
# Time for which an endpoint counts as one that reports its speed.
_REPORTS_RETENTION_S = 60.0
# A figure that comes back from another router has a slightly different time.
_TIME_TOLERANCE_S = 0.02
# Work that a slow phase can delay: about what is left of it when it is noticed.
_DELAYED_WORK_MAX_S = 0.4
# Median of the durations of a service, and its step.
_QUANTILE = 0.5
_QUANTILE_STEP = 0.05


class Figure(NamedTuple):
    """A reported figure.

    Attributes:
        percent: Time that work takes, percent of the usual time.
        at: Monotonic time of the report, seconds.
    """

    percent: int
    at: float


class Report(NamedTuple):
    """What one response says of its endpoint.

    Attributes:
        slots: Requests that it runs at once; None if not given.
        speed_text: The figure of its speed as it was sent; empty for none.
    """

    slots: int | None = None
    speed_text: str = ""


def parse_percent(text: str) -> int | None:
    """Returns a figure in the valid range; None for any other text."""
    try:
        percent = float(text)
    except ValueError:
        return None
    # NaN is not in the range either.
    return int(percent) if PERCENT_MIN <= percent <= PERCENT_MAX else None


class _Average(NamedTuple):
    """Average of the figures of one endpoint.

    Attributes:
        slowdown: The average.
        weight: Sum of the weights of the figures in it.
        last: The newest figure.
    """

    slowdown: float
    weight: float
    last: Figure


class EndpointSpeeds:
    """The speeds that endpoints report, and the usual duration of requests."""

    def __init__(self) -> None:
        self._averages: dict[str, _Average] = {}
        self._duration_s: dict[str, float] = {}
        self._slots: dict[str, int] = {}
        # Endpoints whose last figure was wrong.
        self._refused: set[str] = set()

    def record(
        self, endpoint: str, service: str, percent: int, at: float
    ) -> bool:
        """Records a figure.

        Args:
            endpoint: Name of the endpoint.
            service: Its service.
            percent: Time that work takes, percent of the usual time.
            at: Monotonic time of the report, seconds.

        Returns:
            Whether the figure is in the valid range; it is ignored otherwise.
        """
        if not PERCENT_MIN <= percent <= PERCENT_MAX:
            return False
        self._refused.discard(endpoint)
        slowdown = min(SLOWDOWN_MAX, max(1.0, percent / 100))
        last = Figure(percent, at)
        known = self._averages.get(endpoint)
        if known is None:
            self._averages[endpoint] = _Average(slowdown, 1.0, last)
            return True
        since_s = at - known.last.at
        if since_s <= _TIME_TOLERANCE_S and percent == known.last.percent:
            # Possibly the same figure, which another router passed on.
            return True
        if since_s < 0:
            return True
        kept = known.weight * 0.5 ** (since_s / self._window_s(service))
        # Figures in quick succession count by the time that they cover.
        added = 1.0 if since_s >= _TIME_TOLERANCE_S else 0.1
        mean = (known.slowdown * kept + slowdown * added) / (kept + added)
        self._averages[endpoint] = _Average(mean, kept + added, last)
        return True

    def record_refused(self, endpoint: str) -> bool:
        """Records that an endpoint reported a wrong figure.

        Returns:
            Whether this is the first one since its last valid figure.
        """
        is_first = endpoint not in self._refused
        self._refused.add(endpoint)
        return is_first

    def record_slots(self, endpoint: str, slots: int) -> None:
        """Records how many requests an endpoint says that it runs at once."""
        self._slots[endpoint] = slots

    def record_duration(
        self, endpoint: str, service: str, seconds: float, now: float
    ) -> None:
        """Records how long a request took.

        Args:
            endpoint: Name of the endpoint that answered it.
            service: Its service.
            seconds: Time to the complete answer, or to the first event of a
                stream.
            now: Monotonic time, seconds.
        """
        usual_s = seconds / self.slowdown(endpoint, now)
        self._duration_s[service] = quantile.track(
            self._duration_s.get(service, usual_s),
            usual_s,
            _QUANTILE,
            _QUANTILE_STEP,
        )

    def slowdown(self, endpoint: str, now: float) -> float:
        """Returns how long work takes at an endpoint; 1 is usual.

        Args:
            endpoint: Name of the endpoint.
            now: Monotonic time, seconds.

        Returns:
            The estimate, from 1 to `SLOWDOWN_MAX`; 1 if nothing is known.
        """
        known = self._averages.get(endpoint)
        if known is None or known.slowdown <= 1.0:
            return 1.0
        age_s = max(0.0, now - known.last.at)
        if age_s >= _AGE_MAX_S:
            return 1.0
        return 1.0 + (known.slowdown - 1.0) * 0.5 ** (age_s / HALF_LIFE_S)

    def slowdowns(
        self, endpoints: Collection[str], now: float
    ) -> Mapping[str, float]:
        """Returns the estimates of the endpoints that are slower than usual."""
        if not self._averages:
            return {}
        return {
            endpoint: slowdown
            for endpoint in endpoints
            if (slowdown := self.slowdown(endpoint, now)) > 1.0
        }

    def reports(self, endpoint: str, now: float) -> bool:
        """Returns whether an endpoint reports its speed."""
        known = self._averages.get(endpoint)
        return known is not None and now - known.last.at < _REPORTS_RETENTION_S

    def figure(self, endpoint: str, now: float) -> Figure | None:
        """Returns the newest figure if it is worth passing on, or None."""
        known = self._averages.get(endpoint)
        if known is None or now - known.last.at > _AGE_TOLD_MAX_S:
            return None
        return known.last

    def slots(self, endpoint: str) -> int:
        """Returns the slots that an endpoint reported; 0 if it did not."""
        return self._slots.get(endpoint, 0)

    def delayed_work_s(self, service: str) -> float:
        """Returns the part of the work of a request that a slow phase delays.

        Args:
            service: The service.

        Returns:
            The usual duration of its requests, seconds, up to what is left of a
            slow phase when it is noticed; 0 if nothing is known.
        """
        return min(_DELAYED_WORK_MAX_S, self._duration_s.get(service, 0.0))

    def retain(self, endpoints: Collection[str]) -> None:
        """Discards what is known of other endpoints."""
        self._averages = {
            name: average
            for name, average in self._averages.items()
            if name in endpoints
        }
        self._slots = {
            name: slots
            for name, slots in self._slots.items()
            if name in endpoints
        }
        self._refused &= set(endpoints)

    def _window_s(self, service: str) -> float:
        duration_s = self._duration_s.get(service, HALF_LIFE_S)
        return min(_WINDOW_MAX_S, max(_WINDOW_MIN_S, duration_s))
