"""Load of each endpoint over all routers, from what this router knows.

A router's own part is exact. The part of its peers is the sum of their reports
or what was last observed at the endpoint, whichever is higher.

In a large fleet the budget allows no reports to all peers. There each router
relays observations to a few peers at a time, also those that it received
itself, so that they spread to all in a few steps.
"""

from collections.abc import Mapping
import math
from typing import NamedTuple

from nutmegpost_core import dispatch

__all__ = [
    "OBSERVATION_BESIDE_REPORTS_S",
    "OBSERVATION_LIFETIME_S",
    "REPORT_LIFETIME_S",
    "LoadTable",
]

# Time after which the last report of a silent gateway is discarded.
REPORT_LIFETIME_S = 2.0
# Time after which an observation is discarded: with reports of the peers, which
# are newer, and without.
OBSERVATION_BESIDE_REPORTS_S = 1.0
OBSERVATION_LIFETIME_S = 3.0
# Observations relayed in one report: those of the highest loads, and those that
# were not relayed for longest.
_HIGHEST_PER_REPORT = 8
_OTHERS_PER_REPORT = 8
_NO_LOAD = dispatch.Load()


class _Report(NamedTuple):
    at: float
    loads: dict[str, dispatch.Load]


class _Observation(NamedTuple):
    """Load that was observed at an endpoint.

    Attributes:
        at: Monotonic time, seconds.
        running: Requests of all routers.
        of_peers: Requests of the peers.
    """

    at: float
    running: int
    of_peers: int


_NO_OBSERVATION = _Observation(-math.inf, 0, 0)


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
        self._observations: dict[str, _Observation] = {}
        # Time at which each endpoint was last relayed.
        self._relayed_at: dict[str, float] = {}

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
        self, endpoint: str, running: int, at: float
    ) -> None:
        """Records the total load of an endpoint.

        Args:
            endpoint: Name of the endpoint.
            running: Its load over all routers.
            at: Monotonic time of the observation, seconds; an older one than
                the known one is ignored.
        """
        if at > self._observations.get(endpoint, _NO_OBSERVATION).at:
            own = self._own.get(endpoint, _NO_LOAD).running
            self._observations[endpoint] = _Observation(
                at, running, max(0, running - own)
            )

    def record_peers_load(self, endpoint: str, running: int, at: float) -> None:
        """Records the requests of all peers at an endpoint.

        Args:
            endpoint: Name of the endpoint.
            running: Their requests in flight.
            at: Monotonic time of the count, seconds.
        """
        own = self._own.get(endpoint, _NO_LOAD).running
        self._observations[endpoint] = _Observation(at, own + running, running)

    def select_observations(self, now: float) -> list[tuple[str, int, float]]:
        """Returns the observations to relay next.

        Returns:
            Endpoint name, load over all routers, and age in seconds of each:
            the highest loads, and of the others those whose last relay was
            longest ago.
        """
        by_load = sorted(
            self._observations,
            key=lambda endpoint: -self._observations[endpoint].running,
        )
        others = sorted(
            by_load[_HIGHEST_PER_REPORT:],
            key=lambda endpoint: self._relayed_at.get(endpoint, -math.inf),
        )[:_OTHERS_PER_REPORT]
        self._relayed_at |= dict.fromkeys(others, now)
        return [
            (
                endpoint,
                self._observations[endpoint].running,
                now - self._observations[endpoint].at,
            )
            for endpoint in (*by_load[:_HIGHEST_PER_REPORT], *others)
        ]

    def expire(self, now: float) -> None:
        """Discards the expired reports of peers and expired observations."""
        lifetime_s = OBSERVATION_LIFETIME_S
        if self._reports:
            lifetime_s = OBSERVATION_BESIDE_REPORTS_S
        for endpoint, observation in list(self._observations.items()):
            if now - observation.at > lifetime_s:
                del self._observations[endpoint]
                self._relayed_at.pop(endpoint, None)
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
        at = self._observations.get(endpoint, _NO_OBSERVATION).at
        if self._reports:
            at = max(at, now - self.age_s(now))
        return now - at if at > -math.inf else None

    def total(self, endpoint: str) -> dispatch.Load:
        """Returns the load of an endpoint over all routers.

        The peers' part is the sum of their reports or the last observation,
        whichever is higher.
        """
        own = self._own.get(endpoint, _NO_LOAD)
        reported = self._reported.get(endpoint, _NO_LOAD)
        observed = self._observations.get(endpoint, _NO_OBSERVATION)
        return dispatch.Load(
            own.running + max(reported.running, observed.of_peers),
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
