"""Retry budget of a service, shared by all routers without coordination.

In each sliding window, the retries of a service may be a ratio of its requests
plus a fixed number. A router does not know what the others spend, so it uses
the ratio of its own requests and an equal part of the fixed number.
"""

import collections
from collections.abc import Collection
import math
from typing import NamedTuple

__all__ = [
    "FleetBudget",
    "RetryBudget",
    "SeenRouters",
    "Usage",
    "extra_from",
]

# Longest time from the decision to send a retry until it arrives: that to
# connect, and some to write and deliver it.
_DELIVERY_MAX_S = 1.5
# Longest time until routers that start have met the others.
_MEETING_MAX_S = 5.0


class FleetBudget(NamedTuple):
    """The budget of the whole fleet for one service.

    Attributes:
        ratio: Retries per request.
        extra: Retries per window in addition to the ratio.
        window_s: Length of the window, seconds.
    """

    ratio: float
    extra: float
    window_s: float


class Usage(NamedTuple):
    """What one router has of the budget of a service.

    Attributes:
        remaining: Retries left.
        requests: Requests in the window.
        retries: Retries in the window.
    """

    remaining: float
    requests: int
    retries: int


class _Window:
    __slots__ = ("requests", "retries")

    def __init__(self) -> None:
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()


class SeenRouters:
    """The routers that were seen of late."""

    def __init__(self, retention_s: float):
        """Creates a fleet that consists of this router.

        Args:
            retention_s: Time for which a router counts after it was last seen,
                seconds.
        """
        self._retention_s = retention_s
        self._last_seen: dict[str, float] = {}
        self._count = 1

    @property
    def count(self) -> int:
        """Number of routers."""
        return self._count

    def record(self, routers: Collection[str], listed: int, now: float) -> None:
        """Records the routers that are seen now.

        Args:
            routers: Names of the routers, this one included.
            listed: Number of routers that the settings name.
            now: Monotonic time, seconds.
        """
        for name in routers:
            self._last_seen[name] = now
        oldest = now - self._retention_s
        self._last_seen = {
            name: at for name, at in self._last_seen.items() if at > oldest
        }
        self._count = max(listed, len(self._last_seen))


def extra_from(
    started: float, window_s: float, is_first_start: bool, has_peers: bool
) -> float:
    """Returns when a process may first use its part of the fixed number.

    A process before it may have spent the part of this router, and the others
    may not count a router that is new.

    Args:
        started: Monotonic time at which the process started, seconds.
        window_s: Length of the window of the budget, seconds.
        is_first_start: Whether the whole fleet starts for the first time, so
            that no process was before this one.
        has_peers: Whether the settings name other routers.

    Returns:
        Monotonic time, seconds.
    """
    if is_first_start:
        return started + (_MEETING_MAX_S if has_peers else 0.0)
    return started + window_s + _DELIVERY_MAX_S + _MEETING_MAX_S


class RetryBudget:
    """Retry budget of one router, by service."""

    def __init__(
        self, fleet_budget: FleetBudget, usable_extra_from: float = -math.inf
    ):
        """Creates an unspent budget.

        Args:
            fleet_budget: The budget of the whole fleet.
            usable_extra_from: Monotonic time from which the fixed number may
                be used, seconds; see `extra_from`.
        """
        self._fleet_budget = fleet_budget
        self._extra_from = usable_extra_from
        self._windows: dict[str, _Window] = {}

    def record_request(self, service: str, now: float) -> None:
        """Records a request of a client.

        Args:
            service: Its service.
            now: Monotonic time, seconds.
        """
        self._window(service, now).requests.append(now)

    def usage(self, service: str, routers: int, now: float) -> Usage:
        """Returns what this router has left and what it has counted.

        Args:
            service: The service.
            routers: Number of routers that share the budget.
            now: Monotonic time, seconds.
        """
        remaining = self.remaining(service, routers, now)
        window = self._windows[service]
        return Usage(remaining, len(window.requests), len(window.retries))

    def remaining(self, service: str, routers: int, now: float) -> float:
        """Returns the number of retries that this router has left.

        Args:
            service: The service.
            routers: Number of routers that share the budget; an overestimate
                is safe.
            now: Monotonic time, seconds.
        """
        window = self._window(service, now)
        extra = 0.0
        if now >= self._extra_from:
            extra = self._fleet_budget.extra / max(1, routers)
        allowed = self._fleet_budget.ratio * len(window.requests) + extra
        return allowed - len(window.retries)

    def try_spend(self, service: str, routers: int, now: float) -> bool:
        """Spends one retry if the budget allows it.

        Args:
            service: Its service.
            routers: Number of routers that share the budget.
            now: Monotonic time, seconds.

        Returns:
            Whether the retry may be sent.
        """
        if self.remaining(service, routers, now) < 1:
            return False
        self._windows[service].retries.append(now)
        return True

    def _window(self, service: str, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        oldest_request = now - self._fleet_budget.window_s
        for times, oldest in (
            (window.requests, oldest_request),
            # A retry arrives later than it is spent.
            (window.retries, oldest_request - _DELIVERY_MAX_S),
        ):
            while times and times[0] < oldest:
                times.popleft()
        return window
