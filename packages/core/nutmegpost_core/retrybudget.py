"""Retry budget of a service, shared by all routers without coordination.

The retries of a service that arrive in any window may be a ratio of its
requests plus a fixed number. The requests are those of that window, the one
before it or the one half a window before it, whichever has most.

A router does not know what the others spend. It uses an equal part of the fixed
number, and the ratio of the mean of its own requests in the three windows. The
sum of these means over all routers is the mean of the fleet, which is at most
the best of the three, whichever routers the clients use and whichever processes
start again. The best of the three at each router would add up to more.
"""

import collections
from collections.abc import Collection
import itertools
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
# Longest time until a router that starts in a running fleet is known there.
_MEETING_MAX_S = 5.0
# Longest time until the routers of a fleet that starts have met all others.
_FIRST_MEETING_MAX_S = 20.0
# Longest time from the send of a request until it is recorded.
_RECEIPT_MAX_S = 0.5
# Spans of time in a window. Counts are kept by span; a span that is in a window
# only in part counts there with its retries and without its requests.
_SPANS = 40
# Spans by which the windows of requests begin before that of the retries.
_EARLIER_SPANS = (0, _SPANS // 2, _SPANS)


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
        requests: Requests in the last window.
        retries: Retries in the last window.
    """

    remaining: float
    requests: int
    retries: int


class _History:
    """Requests and retries of a service, counted in spans of time.

    Attributes:
        requests: Requests by span, the current one last.
        retries: Retries by span, the current one last.
    """

    __slots__ = ("_span", "requests", "retries")

    def __init__(self, span: int, kept: int) -> None:
        """Creates an empty history.

        Args:
            span: Number of the current span.
            kept: Number of spans that are kept.
        """
        self._span = span
        self.requests = collections.deque([0] * kept, kept)
        self.retries = collections.deque([0] * kept, kept)

    def advance(self, span: int) -> None:
        """Discards what is too old.

        Args:
            span: Number of the current span.
        """
        passed = [0] * min(span - self._span, len(self.requests))
        self.requests.extend(passed)
        self.retries.extend(passed)
        self._span = max(span, self._span)


class SeenRouters:
    """The routers that were seen of late."""

    def __init__(self, retention_s: float):
        """Creates a fleet that consists of this router.

        Args:
            retention_s: Time for which a router counts after it was last seen,
                seconds.
        """
        self._retention_s = retention_s
        self._present: frozenset[str] = frozenset()
        self._present_at = -math.inf
        # Routers that are not present, and when they were last seen.
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
        # A frozen set that is recorded again is not copied or compared.
        present = frozenset(routers)
        if present is not self._present:
            self._replace_present(present)
        self._present_at = now
        oldest = now - self._retention_s
        for name, at in list(self._last_seen.items()):
            if at <= oldest:
                del self._last_seen[name]
        self._count = max(listed, len(self._present) + len(self._last_seen))

    def _replace_present(self, present: frozenset[str]) -> None:
        for name in self._present - present:
            self._last_seen[name] = self._present_at
        for name in present:
            self._last_seen.pop(name, None)
        self._present = present


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
        return started + (_FIRST_MEETING_MAX_S if has_peers else 0.0)
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
        self._span_s = fleet_budget.window_s / _SPANS
        self._delivery = math.ceil(_DELIVERY_MAX_S / self._span_s)
        self._receipt = min(
            _SPANS - 1, math.ceil(_RECEIPT_MAX_S / self._span_s)
        )
        self._histories: dict[str, _History] = {}

    def record_request(self, service: str, now: float) -> None:
        """Records a request of a client.

        Args:
            service: Its service.
            now: Monotonic time, seconds.
        """
        self._history(service, now).requests[-1] += 1

    def record_retry(self, service: str, now: float) -> None:
        """Records a retry that `remaining` or `usage` has allowed.

        Args:
            service: Its service.
            now: Monotonic time, seconds.
        """
        self._history(service, now).retries[-1] += 1

    def usage(self, service: str, routers: int, now: float) -> Usage:
        """Returns what this router has left and what it has counted.

        Args:
            service: The service.
            routers: Number of routers that share the budget.
            now: Monotonic time, seconds.
        """
        history = self._history(service, now)
        return Usage(
            self.remaining(service, routers, now),
            sum([*history.requests][-_SPANS:]),
            sum([*history.retries][-_SPANS:]),
        )

    def remaining(self, service: str, routers: int, now: float) -> float:
        """Returns the number of retries that this router has left.

        Args:
            service: The service.
            routers: Number of routers that share the budget; an overestimate
                is safe.
            now: Monotonic time, seconds.
        """
        history = self._history(service, now)
        extra = 0.0
        if now >= self._extra_from:
            extra = self._fleet_budget.extra / max(1, routers)
        # Each window in which a retry that is sent now may arrive, the earliest
        # first. What was spent a delivery before it may be in it as well.
        count = _SPANS + self._delivery + 1
        retries = [*history.retries][-count:]
        spent = [*itertools.accumulate(reversed(retries))]
        requests = self._requests(history, count)
        ratio = self._fleet_budget.ratio / len(_EARLIER_SPANS)
        return extra + min(
            ratio * requested - used
            for requested, used in zip(requests, reversed(spent), strict=True)
        )

    def _requests(self, history: _History, count: int) -> list[int]:
        """Returns the requests in the three windows of each of some windows.

        Args:
            history: The history of the service.
            count: Number of windows; each begins a span after the one before.
        """
        sums = [*itertools.accumulate(history.requests, initial=0)]
        sums += sums[-1:] * count
        # The first window ends now, so it has all requests up to now.
        requests = [history.requests[-1], *[0] * (count - 1)]
        for earlier in _EARLIER_SPANS:
            end = len(history.requests) - 1 - earlier
            begin = end - _SPANS + 1 + self._receipt
            requests = [
                sofar + upper - lower
                for sofar, upper, lower in zip(
                    requests,
                    sums[end : end + count],
                    sums[begin : begin + count],
                    strict=True,
                )
            ]
        return requests

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
        self.record_retry(service, now)
        return True

    def _history(self, service: str, now: float) -> _History:
        span = math.floor(now / self._span_s)
        history = self._histories.get(service)
        if history is None:
            # The earliest window of requests begins two windows ago.
            kept = 2 * _SPANS + self._delivery
            history = self._histories[service] = _History(span, kept)
        history.advance(span)
        return history
