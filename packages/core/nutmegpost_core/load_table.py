"""Load of each endpoint over all routers, from what this router knows.

A router's own part is exact. The part of its peers is the sum of their reports
or what the endpoint itself reported last, whichever is higher.
"""

from collections.abc import Mapping
import math
from typing import NamedTuple

from nutmegpost_core import dispatch

__all__ = [
    "OBSERVATIONS_PER_REPORT",
    "OBSERVATION_LIFETIME_S",
    "REPORT_LIFETIME_S",
    "LoadTable",
]

# Time after which the last report of a silent gateway is discarded.
REPORT_LIFETIME_S = 2.0
# Time after which the load that an endpoint reported with a response is
# discarded.
OBSERVATION_LIFETIME_S = 1.0
# Observations relayed in one report.
OBSERVATIONS_PER_REPORT = 12
_NO_LOAD = dispatch.Load()


class _Report(NamedTuple):
    at: float
    loads: dict[str, dispatch.Load]


class LoadTable:
    """The load of each endpoint over all routers.

    An endpoint's load is this router's part, which is exact, plus an estimate
    of the part of all peers.
    """

    def __init__(self) -> None:
        self._own: dict[str, dispatch.Load] = {}
        self._reports: dict[str, _Report] = {}
        # Sum of the reports, by endpoint.
        self._reported: dict[str, dispatch.Load] = {}
        self._observations: dict[str, tuple[float, int]] = {}
        self._recent_observations: dict[str, tuple[float, int]] = {}

    @property
    def own(self) -> Mapping[str, dispatch.Load]:
        """This router's part of the load, by endpoint."""
        return self._own

    def add(self, endpoint: str, running: int, prefill_tokens: int) -> None:
        """Adds to this router's part of the load of an endpoint.

        Args:
            endpoint: Name of the endpoint.
            running: Change of the number of requests in flight.
            prefill_tokens: Change of the tokens that are not prefilled yet.
        """
        _add_load(self._own, endpoint, running, prefill_tokens)

    def record_report(
        self, peer: str, loads: dict[str, dispatch.Load], now: float
    ) -> None:
        """Stores the load report of a peer; it replaces the previous one."""
        self._remove_report(peer)
        self._reports[peer] = _Report(now, loads)
        self._add_reported(loads, 1)

    def record_observation(
        self, endpoint: str, running: int, now: float
    ) -> None:
        """Records the total load that an endpoint reported in a response."""
        own = self._own.get(endpoint, dispatch.Load()).running
        self._observations[endpoint] = now, max(0, running - own)
        self._recent_observations[endpoint] = now, running

    def record_relayed_observation(
        self, endpoint: str, running: int, at: float
    ) -> None:
        """Records the total load that an endpoint reported to a peer.

        Args:
            endpoint: Name of the endpoint.
            running: Its load over all routers.
            at: Monotonic time of the observation, seconds.
        """
        if at > self._observations.get(endpoint, (0.0, 0))[0]:
            own = self._own.get(endpoint, dispatch.Load()).running
            self._observations[endpoint] = at, max(0, running - own)

    def take_observations(self, now: float) -> list[tuple[str, int, float]]:
        """Returns the observations since the last call, highest load first.

        Returns:
            Endpoint name, load over all routers, and age in seconds of each;
            at most as many as one report relays.
        """
        recent = [
            (endpoint, running, now - at)
            for endpoint, (at, running) in self._recent_observations.items()
            if now - at <= OBSERVATION_LIFETIME_S
        ]
        self._recent_observations.clear()
        recent.sort(key=lambda observation: -observation[1])
        return recent[:OBSERVATIONS_PER_REPORT]

    def expire(self, now: float) -> None:
        """Discards the expired reports of peers and expired observations."""
        for endpoint, (at, _) in list(self._observations.items()):
            if now - at > OBSERVATION_LIFETIME_S:
                del self._observations[endpoint]
        for peer, report in list(self._reports.items()):
            if now - report.at > REPORT_LIFETIME_S:
                self._remove_report(peer)

    def _remove_report(self, peer: str) -> None:
        report = self._reports.pop(peer, None)
        if report is not None:
            self._add_reported(report.loads, -1)

    def _add_reported(
        self, loads: Mapping[str, dispatch.Load], sign: int
    ) -> None:
        for endpoint, load in loads.items():
            _add_load(
                self._reported,
                endpoint,
                sign * load.running,
                sign * load.pending_prefill_tokens,
            )

    def age_s(self, now: float) -> float:
        """Returns the age of the oldest peer report in use, seconds."""
        return max(
            (now - report.at for report in self._reports.values()), default=0
        )

    def endpoint_age_s(self, endpoint: str, now: float) -> float | None:
        """Returns the age of the peers' part of an endpoint's load, seconds.

        Returns:
            None if nothing is known of that part.
        """
        at = self._observations.get(endpoint, (-math.inf, 0))[0]
        if self._reports:
            at = max(at, now - self.age_s(now))
        return now - at if at > -math.inf else None

    def total(self, endpoint: str) -> dispatch.Load:
        """Returns the load of an endpoint over all routers.

        The peers' part is the sum of their reports or the last observation,
        whichever is higher, because reports are infrequent in a large fleet.
        """
        own = self._own.get(endpoint, _NO_LOAD)
        reported = self._reported.get(endpoint, _NO_LOAD)
        _, observed_running = self._observations.get(endpoint, (0.0, 0))
        return dispatch.Load(
            own.running + max(reported.running, observed_running),
            own.pending_prefill_tokens + reported.pending_prefill_tokens,
        )


def _add_load(
    table: dict[str, dispatch.Load],
    endpoint: str,
    running: int,
    prefill_tokens: int,
) -> None:
    """Adds to the load of an endpoint; drops an entry that becomes 0."""
    load = table.get(endpoint, _NO_LOAD)
    changed = dispatch.Load(
        load.running + running, load.pending_prefill_tokens + prefill_tokens
    )
    if any(changed):
        table[endpoint] = changed
    else:
        table.pop(endpoint, None)
