"""Addresses that callers are told in a large fleet, and this gateway's load.

The gateway announces its capacity and its load in its membership datagrams, and
selects the addresses of each response from what its peers announce.
"""

from collections.abc import Collection
import random
import time

from nutmegpost_core import addresses
from nutmegpost_core import events
from nutmegpost_core import membership
from nutmegpost_router import log
from nutmegpost_router.gateway import metrics
from nutmegpost_router.gateway import settings

__all__ = ["AddressListing", "announced_capacity"]

# Interval at which the load is measured, and weight of the newest measurement.
_MEASURE_INTERVAL_S = 1.0
_NEWEST_WEIGHT = 0.3
# Age at which what a peer said of its load no longer counts. With 135 gateways
# a peer sends this one a datagram about every 50 s.
_LOAD_LIFETIME_S = 60.0
# Own share of the zone's demand below which it counts as short of capacity.
_SHORT_BELOW = 0.95
# Time for which pools are used again if the same gateways are up. To compute
# them takes longer than to answer.
_PLAN_LIFETIME_S = 1.0


def announced_capacity(config: settings.GatewaySettings) -> int:
    """Returns the capacity to announce, thousandths of a core; 0 for none."""
    cores = config.get("cpu_share", 0.0) * config.get("cores", 0.0)
    if not config.get("large_fleet_gateways", 0) or not cores:
        return 0
    return addresses.capacity(
        addresses.Resources(
            cores,
            config["memory_mb"],
            config.get("link_mbps", 0.0),
            config["descriptors_max"],
        )
    )


class AddressListing:
    """Selects the addresses of responses by zone and capacity."""

    def __init__(
        self,
        config: settings.GatewaySettings,
        members: membership.Membership,
        counters: metrics.GatewayMetrics,
        rng: random.Random,
    ):
        """Creates an instance that has measured no load.

        Args:
            config: Settings of the gateway.
            members: Membership of the gateways.
            counters: Metrics of the gateway.
            rng: Source of randomness.
        """
        self._config = config
        self._members = members
        self._counters = counters
        self._rng = rng
        self._load = 0.0
        self._measured_at = 0.0
        self._process_s = time.process_time()
        self._is_large = False
        self._short_zones: set[str] = set()
        self._plan: addresses.Plan = {}
        self._plan_key: tuple[int, tuple[str, ...]] = (-1, ())
        self._plan_until = 0.0

    def is_large(self, fleet_size: int) -> bool:
        """Returns whether a fleet is so large that addresses are selected.

        Args:
            fleet_size: Number of gateways that are believed to be up.
        """
        limit = self._config.get("large_fleet_gateways", 0)
        is_large = 0 < limit < fleet_size
        if is_large != self._is_large:
            self._is_large = is_large
            event = events.ADDRESSES_SELECTED
            if not is_large:
                event = events.ADDRESSES_UNSELECTED
            log.emit(event, gateways=fleet_size)
        return is_large

    def measure(self, now: float) -> None:
        """Measures what this process spends, once a second."""
        elapsed_s = now - self._measured_at
        if elapsed_s < _MEASURE_INTERVAL_S or not self._members.local.capacity:
            return
        process_s = time.process_time()
        if self._measured_at:
            spent = 1000 * (process_s - self._process_s) / elapsed_s
            self._load += _NEWEST_WEIGHT * (spent - self._load)
            self._members.set_load(round(self._load))
        self._measured_at = now
        self._process_s = process_s

    def select(
        self, names: Collection[str], caller_zone: str, now: float
    ) -> list[str]:
        """Returns the addresses for a caller.

        Args:
            names: Names of the gateways that may be listed.
            caller_zone: Zone of the caller; empty if unknown.
            now: Monotonic time, seconds.
        """
        listing = addresses.select(
            self._current_plan(names, now), caller_zone, self._rng
        )
        self._record(caller_zone, listing)
        return listing.addresses

    def _current_plan(
        self, names: Collection[str], now: float
    ) -> addresses.Plan:
        key = self._members.view_version, tuple(names)
        if key == self._plan_key and now < self._plan_until:
            return self._plan
        members = self._members.members
        self._plan = addresses.plan(
            addresses.Gateway(
                name,
                members[name].public_address,
                members[name].zone,
                members[name].capacity,
                self._load_of(name, now),
            )
            for name in names
        )
        self._plan_key = key
        self._plan_until = now + _PLAN_LIFETIME_S
        return self._plan

    def _load_of(self, name: str, now: float) -> int | None:
        if name == self._config["name"]:
            return round(self._load)
        sample = self._members.loads.get(name)
        if sample is None or now - sample.at > _LOAD_LIFETIME_S:
            return None
        return sample.load

    def _record(self, zone: str, listing: addresses.Listing) -> None:
        is_short = listing.own_share < _SHORT_BELOW
        result = "short" if is_short else "own"
        if not listing.own_share:
            result = "other"
        self._counters.addresses_selected(result)
        if not listing.own_share:
            # The zone is that of the query, which may be any text.
            return
        if is_short and zone not in self._short_zones:
            self._short_zones.add(zone)
            log.emit(
                events.ZONE_SHORT, zone=zone, share=round(listing.own_share, 2)
            )
        elif not is_short and zone in self._short_zones:
            self._short_zones.discard(zone)
            log.emit(events.ZONE_SUFFICIENT, zone=zone)
