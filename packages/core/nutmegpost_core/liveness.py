"""Detects endpoints that fall silent while requests are open on them.

A silent endpoint accepts requests and never answers, so nothing fails until the
first deadline. The detector compares the time since an endpoint last sent
anything with the gaps that are usual for its service now. While requests queue
everywhere the usual gaps grow, and no endpoint is taken for silent.

A silent endpoint gets no request that must not be repeated, and now and then a
repeatable one as a trial, until it sends something.
"""

from collections.abc import Callable
from typing import NamedTuple

from nutmegpost_core import quantile

__all__ = ["LivenessDetector", "Silence"]

# Gaps that are tolerated, as a multiple of the usual longest gap.
_GAPS_MAX = 3.0
_GAP_MIN_S = 1.0
# Quantile of the gaps that counts as the usual longest gap.
_QUANTILE = 0.98
_QUANTILE_STEP = 0.1
# Interval between trials of a silent endpoint.
TRIAL_INTERVAL_S = 1.0
# Time after which an endpoint without open requests is no longer avoided.
AVOIDANCE_MAX_S = 3.0


class Silence(NamedTuple):
    """An endpoint that fell silent.

    Attributes:
        endpoint: Its name.
        silent_s: Time since it last sent anything, seconds.
        usual_s: Usual longest gap of its service, seconds.
        open_requests: Requests that are open on it.
    """

    endpoint: str
    silent_s: float
    usual_s: float
    open_requests: int


class _Activity:
    __slots__ = ("last_sign", "next_trial", "open", "service", "silent_since")

    def __init__(self, service: str) -> None:
        self.service = service
        self.open = 0
        # Time of the last sign of life, or at which waiting for one began.
        self.last_sign = 0.0
        self.silent_since: float | None = None
        self.next_trial = 0.0


class LivenessDetector:
    """Signs of life of the endpoints that a router sends requests to."""

    def __init__(
        self, on_silent: Callable[[Silence], None] = lambda _: None
    ) -> None:
        """Creates a detector without observations.

        Args:
            on_silent: Called with each endpoint that falls silent.
        """
        self._on_silent = on_silent
        self._activities: dict[str, _Activity] = {}
        self._gap_s: dict[str, float] = {}

    def begin(self, endpoint: str, service: str, now: float) -> None:
        """Records that a request is sent to an endpoint.

        Args:
            endpoint: Name of the endpoint.
            service: Its service.
            now: Monotonic time, seconds.
        """
        activity = self._activities.get(endpoint)
        if activity is None:
            activity = self._activities[endpoint] = _Activity(service)
        if not activity.open:
            activity.last_sign = max(activity.last_sign, now)
        activity.open += 1

    def record_sign(self, endpoint: str, now: float) -> None:
        """Records that an endpoint sent something.

        Args:
            endpoint: Name of the endpoint.
            now: Monotonic time, seconds.
        """
        activity = self._activities.get(endpoint)
        if activity is None:
            return
        if activity.open:
            self._add_gap(activity.service, now - activity.last_sign)
        activity.last_sign = now
        activity.silent_since = None

    def end(self, endpoint: str) -> None:
        """Records that a request is no longer open on an endpoint."""
        self._activities[endpoint].open -= 1

    def is_silent(self, endpoint: str, now: float) -> bool:
        """Returns whether an endpoint is silent for unusually long.

        Args:
            endpoint: Name of the endpoint.
            now: Monotonic time, seconds.
        """
        activity = self._activities.get(endpoint)
        if activity is None:
            return False
        if activity.silent_since is not None:
            if activity.open or now - activity.silent_since < AVOIDANCE_MAX_S:
                return True
            activity.silent_since = None
            return False
        usual_s = self._gap_s.get(activity.service, 0.0)
        tolerated_s = max(_GAP_MIN_S, _GAPS_MAX * usual_s)
        silent_s = now - activity.last_sign
        if not activity.open or silent_s <= tolerated_s:
            return False
        activity.silent_since = now
        activity.next_trial = now + TRIAL_INTERVAL_S
        self._on_silent(Silence(endpoint, silent_s, usual_s, activity.open))
        return True

    def avoided(self, is_repeatable: bool, now: float) -> set[str]:
        """Returns the endpoints that a request should not be sent to.

        Args:
            is_repeatable: Whether the request may run more than once and can
                be the trial of a silent endpoint.
            now: Monotonic time, seconds.
        """
        silent = {
            name for name in self._activities if self.is_silent(name, now)
        }
        if not is_repeatable:
            return silent
        return {
            name for name in silent if now < self._activities[name].next_trial
        }

    def record_trial(self, endpoint: str, now: float) -> None:
        """Records that a silent endpoint gets a request as a trial."""
        activity = self._activities.get(endpoint)
        if activity is not None and activity.silent_since is not None:
            activity.next_trial = now + TRIAL_INTERVAL_S

    def retain(self, endpoints: set[str]) -> None:
        """Discards the endpoints that are gone and have no open request."""
        self._activities = {
            name: activity
            for name, activity in self._activities.items()
            if name in endpoints or activity.open
        }

    def _add_gap(self, service: str, gap_s: float) -> None:
        usual_s = self._gap_s.get(service, _GAP_MIN_S / _GAPS_MAX)
        self._gap_s[service] = quantile.track(
            usual_s, gap_s, _QUANTILE, _QUANTILE_STEP
        )
