"""Which software versions served in the time in which a stream can begin.

Only the version that began a stream can continue it. Where one version alone
has served since the earliest time at which a stream can have begun, it began
that stream, whoever relayed it.
"""

from collections.abc import Iterable
import math

from nutmegpost_core import roster

__all__ = ["DOWN_RETENTION_S", "EncodedHistory", "VersionHistory"]

# Time for which versions that no longer serve are retained, seconds.
RETENTION_S = 600.0

# Time after which an endpoint that is still listed as before it refused a
# connection has not restarted: the entry of one that crashed is removed, or
# replaced by that of its next start, earlier.
DOWN_RETENTION_S = 10.0

# Seconds of observation, and service, version and seconds since it served.
EncodedHistory = tuple[float, list[tuple[str, str, float]]]


class VersionHistory:
    """The versions that served each service, and since when this is known."""

    def __init__(self, is_complete: bool):
        """Starts with no version.

        Args:
            is_complete: Whether nothing served before, since the whole system
                starts for the first time.
        """
        self._observed_since = -math.inf if is_complete else math.inf
        self._serving: set[tuple[str, str]] = set()
        self._last_served: dict[tuple[str, str], float] = {}
        # Endpoints as listed when they went down, and when that was noticed.
        self._down: dict[str, tuple[roster.Endpoint, float]] = {}

    def update(self, endpoints: Iterable[roster.Endpoint], now: float) -> None:
        """Records the endpoints that serve now.

        Args:
            endpoints: All endpoints.
            now: Monotonic time, seconds.
        """
        self._observed_since = min(self._observed_since, now)
        serving = {
            (endpoint.service, endpoint.software) for endpoint in endpoints
        }
        for ended in self._serving - serving:
            self._last_served[ended] = now
        self._serving = serving
        self._last_served = {
            key: at
            for key, at in self._last_served.items()
            if now - at <= RETENTION_S
        }

    def record_served(
        self, endpoints: Iterable[roster.Endpoint], now: float
    ) -> None:
        """Records endpoints that served and no longer do.

        Args:
            endpoints: The endpoints.
            now: Monotonic time, seconds.
        """
        for endpoint in endpoints:
            self._last_served[endpoint.service, endpoint.software] = now

    def record_down(self, endpoint: roster.Endpoint, now: float) -> None:
        """Records that an endpoint refuses connections.

        It may start again with another version before its entry says so.

        Args:
            endpoint: The endpoint as it is listed.
            now: Monotonic time, seconds.
        """
        self._down[endpoint.name] = endpoint, now

    def uncertain(
        self, endpoints: Iterable[roster.Endpoint], now: float
    ) -> set[str]:
        """Returns the endpoints that may have another version than listed.

        Args:
            endpoints: Endpoints as they are listed.
            now: Monotonic time, seconds.

        Returns:
            Their names.
        """
        self._down = {
            name: (listed, at)
            for name, (listed, at) in self._down.items()
            if now - at < DOWN_RETENTION_S
        }
        return {
            endpoint.name
            for endpoint in endpoints
            if endpoint.name in self._down
            and not _has_restarted(endpoint, self._down[endpoint.name][0])
        }

    def record_gap(self, now: float) -> None:
        """Records that endpoints may have come and gone unnoticed."""
        self._observed_since = now

    def versions(self, service: str, since: float) -> set[str]:
        """Returns the versions of a service that are known to have served.

        Args:
            service: Name of the service.
            since: Monotonic time of the earliest service that counts, seconds.
        """
        recent = {key for key, at in self._last_served.items() if at >= since}
        return {
            software
            for name, software in self._serving | recent
            if name == service
        }

    def known(self) -> list[tuple[str, str]]:
        """Returns service and version of all that served of late, sorted."""
        return sorted(self._serving | self._last_served.keys())

    def is_observed(self, since: float) -> bool:
        """Returns whether every version that served since then is known."""
        return self._observed_since <= since

    def sole_version(self, service: str, since: float) -> str | None:
        """Returns the only version of a service that has served.

        Args:
            service: Name of the service.
            since: Monotonic time of the earliest service that counts, seconds.

        Returns:
            The version, or None if there were several, or if that is not known.
        """
        versions = self.versions(service, since)
        if len(versions) != 1 or not self.is_observed(since):
            return None
        return versions.pop()

    def has_sole_versions(self, since: float) -> bool:
        """Returns whether one version alone has served each service.

        Args:
            since: Monotonic time of the earliest service that counts, seconds.

        Returns:
            Whether it is known that no service had several.
        """
        if not self.is_observed(since):
            return False
        recent = {key for key, at in self._last_served.items() if at >= since}
        served = self._serving | recent
        return len({service for service, _ in served}) == len(served)

    def encode(self, now: float) -> EncodedHistory:
        """Returns what is known, for a peer."""
        known = [(*key, 0.0) for key in sorted(self._serving)]
        known += [(*key, now - at) for key, at in self._last_served.items()]
        observed_s = max(0.0, min(now - self._observed_since, RETENTION_S))
        return observed_s, known

    def merge(self, encoded: EncodedHistory, now: float) -> None:
        """Adds what a peer knows.

        Raises:
            TypeError, ValueError: It is malformed.
        """
        observed_s, known = encoded
        for service, software, age_s in known:
            key = str(service), str(software)
            at = now - float(age_s)
            self._last_served[key] = max(at, self._last_served.get(key, at))
        if self._observed_since < math.inf:
            self._observed_since = min(
                self._observed_since, now - float(observed_s)
            )


def _has_restarted(current: roster.Endpoint, known: roster.Endpoint) -> bool:
    """Returns whether an entry is of a later start than a known one."""
    return (
        current.started_ms != known.started_ms
        or current.sequence < known.sequence
    )
