"""Which endpoints are cold, by their entries, their answers and peers.

A cold endpoint takes few requests a second from all gateways together.
"""

import asyncio
from collections.abc import Callable, Collection, Sequence
import math

from nutmegpost_core import catalog
from nutmegpost_core import events
from nutmegpost_core import ratelimits
from nutmegpost_core import roster
from nutmegpost_router import log
from nutmegpost_router.gateway import settings

__all__ = ["ColdEndpoints"]

# Longest time for which an endpoint may say that it stays cold.
_COLD_MAX_MS = 86_400_000
# Extension of that time of which peers are told: at least this, and this part
# of the time that is left. An endpoint names the time in each answer.
_EXTENSION_MIN_S = 1.0
_EXTENSION_SHARE = 0.25


class ColdEndpoints:
    """Times until which endpoints are cold, and their limits."""

    def __init__(
        self,
        config: settings.GatewaySettings,
        limits: ratelimits.EndpointLimits,
    ):
        """Creates a table without cold endpoints.

        Args:
            config: Settings of the gateway.
            limits: Limits of this gateway; gets those of cold endpoints.
        """
        self._overage = config.get("cold_overage")
        self._slack = config.get("cold_slack")
        self._limits = limits
        # Until when endpoints are cold by their answers, monotonic, seconds.
        self._until: dict[str, float] = {}
        # The same, as last told to the peers.
        self._told_until: dict[str, float] = {}
        # Called with the name of an endpoint and the seconds that it stays
        # cold, if peers do not learn it from its entry.
        self.on_cold: Callable[[str, float], None] = lambda *_: None

    @property
    def is_enabled(self) -> bool:
        """Whether cold endpoints are limited in this deployment."""
        return self._overage is not None and self._slack is not None

    @property
    def names(self) -> Collection[str]:
        """Names of the endpoints that are cold by an answer."""
        return self._until.keys()

    def record(self, endpoint: roster.Endpoint, text: str) -> None:
        """Records how long an endpoint stays cold, by its answer.

        Args:
            endpoint: The endpoint.
            text: The time that it named, milliseconds.
        """
        if not self.is_enabled:
            return
        if not text.isascii() or not text.isdecimal() or len(text) > 9:
            self._refuse(endpoint.name, text)
            return
        remaining_s = int(text) / 1000
        if remaining_s > _COLD_MAX_MS / 1000:
            self._refuse(endpoint.name, text)
            return
        now = _now()
        name = endpoint.name
        if not remaining_s:
            self._until.pop(name, None)
            return
        until = now + remaining_s
        self._until[name] = until
        known_until = max(
            endpoint.warming_until, self._told_until.get(name, -math.inf)
        )
        extension_s = max(_EXTENSION_MIN_S, _EXTENSION_SHARE * remaining_s)
        if known_until <= now or until > known_until + extension_s:
            self._told_until[name] = until
            self._log(name, remaining_s, "its answer")
            self.on_cold(name, remaining_s)

    def apply_peer(self, name: str, until: float) -> None:
        """Records that an endpoint told a peer how long it stays cold.

        Args:
            name: Name of the endpoint.
            until: Monotonic time until which it stays cold, seconds.
        """
        now = _now()
        if not self.is_enabled or not now < until < math.inf:
            return
        if self._until.get(name, -math.inf) <= now:
            self._log(name, until - now, "a peer")
        self._until[name] = max(until, self._until.get(name, -math.inf))
        self._told_until[name] = self._until[name]

    def ramp_s(self, service: catalog.Service | None) -> float:
        """Returns the time in which load shifts to a cold endpoint, seconds.

        Args:
            service: Its service; None if it is not configured.

        Returns:
            The time; 0 if cold endpoints of the service are not limited.
        """
        if service is None or not self.is_enabled or not service.cold_per_s:
            return 0.0
        return service.cold_start_s

    def update(
        self,
        endpoints: list[roster.Endpoint],
        service: catalog.Service | None,
        now: float,
    ) -> list[roster.Endpoint]:
        """Sets the limits of the endpoints of a service that are cold.

        Args:
            endpoints: Endpoints of the service.
            service: The service; None if it is not configured.
            now: Monotonic time, seconds.

        Returns:
            The endpoints, with the time until which they are cold.
        """
        if service is None or not service.cold_per_s:
            return endpoints
        if self._overage is None or self._slack is None:
            return endpoints
        rate = ratelimits.ColdRate(
            service.cold_per_s, service.cold_per_s * self._overage + self._slack
        )
        updated = []
        for endpoint in endpoints:
            until = max(
                endpoint.warming_until,
                self._until.get(endpoint.name, -math.inf),
            )
            if until <= now:
                updated.append(endpoint)
                continue
            self._limits.limit_cold(endpoint.name, rate, until, now)
            updated.append(endpoint._replace(warming_until=until))
        return updated

    def avoided(
        self, endpoints: Sequence[roster.Endpoint], now: float
    ) -> set[str]:
        """Returns the endpoints that get requests only if no other one can.

        A gateway that has met no peer does not know what others send.

        Args:
            endpoints: Endpoints, as `update` returned them.
            now: Monotonic time, seconds.
        """
        if not self.is_enabled or self._limits.has_met_routers:
            return set()
        names = [each.name for each in endpoints if each.warming_until > now]
        return self._limits.cold_among(names, now)

    def retain(self, now: float) -> None:
        """Discards the times that are over."""
        for table in (self._until, self._told_until):
            for name, until in list(table.items()):
                if until <= now:
                    del table[name]

    def _log(self, name: str, remaining_s: float, source: str) -> None:
        log.emit(
            events.ENDPOINT_COLD,
            endpoint=name,
            remaining_ms=round(remaining_s * 1000),
            source=source,
        )

    def _refuse(self, name: str, text: str) -> None:
        log.emit(events.COLD_HEADER_REFUSED, endpoint=name, text=text[:40])


def _now() -> float:
    return asyncio.get_running_loop().time()
