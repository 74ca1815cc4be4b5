"""A router's current view of the fleet.

The view combines the configuration, the VM list and the live routers. From
these it derives the endpoints of each pool and the router that owns each
endpoint.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from nutmegpost_core import configuration
from nutmegpost_core import directory
from nutmegpost_core import errors
from nutmegpost_core import load
from nutmegpost_core import outliers
from nutmegpost_core import ownership
from nutmegpost_core import placement
from nutmegpost_core import vms

__all__ = ["Endpoint", "View"]

_LIVE = "live"


class Endpoint(NamedTuple):
    """A back end of a pool.

    Attributes:
        name: Name in the VM list.
        address: Address on which it listens.
        zone: Its availability zone.
        pool: Model or service that it serves.
        kind: "engine" or "service".
        fenced: Whether it rejects orders with an old fencing token.
    """

    name: str
    address: vms.Address
    zone: str
    pool: str
    kind: str
    fenced: bool


class View:
    """The configuration, the endpoints and their owners."""

    def __init__(self, name: str, zone: str):
        """Creates a view that contains only this router.

        Args:
            name: Name of this router.
            zone: Its availability zone.
        """
        self._name = name
        self._zone = zone
        self._directory: directory.Directory | None = None
        self._vms: dict[str, vms.Vm] = {}
        self._vm_version = 0
        self._endpoints: dict[str, Endpoint] = {}
        self._leaving: dict[str, float] = {}
        self._routers: list[str] = [name]
        self._owners = ownership.Owners([name], [])
        self._loads = load.Loads(name)
        self._placement = placement.Placement()
        self._outliers: dict[str, outliers.OutlierDetector] = {}

    @property
    def name(self) -> str:
        """Name of this router."""
        return self._name

    @property
    def zone(self) -> str:
        """Availability zone of this router."""
        return self._zone

    @property
    def directory(self) -> directory.Directory:
        """The configuration in force, indexed.

        Raises:
            errors.UnavailableError: No configuration is in force yet.
        """
        if self._directory is None:
            raise errors.UnavailableError(
                "no configuration is in force yet", retry_after=1.0
            )
        return self._directory

    @property
    def is_configured(self) -> bool:
        """Whether a configuration is in force."""
        return self._directory is not None

    @property
    def vm_version(self) -> int:
        """Version of the VM list; 0 before the first list."""
        return self._vm_version

    @property
    def loads(self) -> load.Loads:
        """Loads of the endpoints."""
        return self._loads

    @property
    def placement(self) -> placement.Placement:
        """Placement of chats by the prefix caches of engines."""
        return self._placement

    @property
    def routers(self) -> list[str]:
        """Live routers, including this one unless it is leaving."""
        return self._routers

    @property
    def endpoints(self) -> dict[str, Endpoint]:
        """Endpoints of the VM list that are not leaving, by name."""
        return self._endpoints

    @property
    def reachable_share(self) -> float:
        """Live routers divided by the routers in the VM list, at most 1."""
        listed = sum(1 for vm in self._vms.values() if vm["kind"] == "router")
        return min(1.0, len(self._routers) / listed) if listed else 1.0

    def find_endpoint(self, name: str) -> Endpoint | None:
        """Returns an endpoint of the VM list, or None.

        Unlike `endpoints`, this includes endpoints that are leaving.
        """
        vm = self._vms.get(name)
        if vm is None or vm["kind"] == "router":
            return None
        return _endpoint(vm)

    def outlier_detector(self, pool: str) -> outliers.OutlierDetector:
        """Returns the outlier detector of a pool."""
        return self._outliers.setdefault(pool, outliers.OutlierDetector())

    def pool_endpoints(self, pool: str) -> list[str]:
        """Returns the names of the endpoints of a pool, sorted."""
        return sorted(
            endpoint.name
            for endpoint in self._endpoints.values()
            if endpoint.pool == pool
        )

    def router_vms(self) -> list[vms.Vm]:
        """Returns the routers of the VM list that are not leaving."""
        return [
            vm
            for vm in self._vms.values()
            if vm["kind"] == "router" and vm["state"] == _LIVE
        ]

    def owner(self, endpoint: str, unreachable: Collection[str] = ()) -> str:
        """Returns the router that owns an endpoint.

        Args:
            endpoint: Name of the endpoint.
            unreachable: Routers to exclude because they cannot be reached.

        Returns:
            Name of the owner; this router when no router remains.
        """
        if not unreachable:
            try:
                return self._owners.owner_of(endpoint)
            except LookupError:
                pass
        reachable = [name for name in self._routers if name not in unreachable]
        if not reachable:
            return self._name
        return ownership.owner(endpoint, reachable)

    def owned_endpoints(self) -> list[str]:
        """Returns the endpoints that this router owns."""
        return self._owners.owned_by(self._name)

    def set_configuration(self, published: configuration.Published) -> None:
        """Sets the configuration in force."""
        self._directory = directory.Directory(published)

    def set_vms(self, listed: vms.VmList) -> None:
        """Replaces the VM list."""
        self._vm_version = listed["version"]
        self._vms = {vm["name"]: vm for vm in listed["vms"]}
        self._leaving = {
            name: until
            for name, until in self._leaving.items()
            if name in self._vms
        }
        self._rebuild()

    def set_routers(self, names: Iterable[str]) -> None:
        """Replaces the names of the live routers."""
        self._routers = sorted(names)
        self._rebuild()

    def mark_leaving(self, endpoint: str, until: float) -> bool:
        """Removes an endpoint from use ahead of the VM list.

        Args:
            endpoint: Name of the endpoint.
            until: When the endpoint returns to use if the VM list still has
                it, monotonic seconds.

        Returns:
            Whether the endpoint was in use until now.
        """
        if endpoint in self._leaving or endpoint not in self._endpoints:
            return False
        self._leaving[endpoint] = until
        self._rebuild()
        return True

    def expire_leaving(self, now: float) -> bool:
        """Puts leaving endpoints back into use once their time has passed.

        An endpoint that the VM list no longer has stays out of use.

        Args:
            now: Monotonic time, seconds.

        Returns:
            Whether the time of any endpoint has passed.
        """
        expired = [
            name for name, until in self._leaving.items() if until <= now
        ]
        for name in expired:
            del self._leaving[name]
        if expired:
            self._rebuild()
        return bool(expired)

    def set_available(self, pool: str, unavailable: Collection[str]) -> None:
        """Updates placement and loads with the available endpoints of a pool.

        When all endpoints are unavailable, all of them are used.

        Args:
            pool: Model or service.
            unavailable: Endpoints that accept no requests now, as far as this
                router has observed.
        """
        endpoints = self.pool_endpoints(pool)
        available = [
            name for name in endpoints if name not in unavailable
        ] or endpoints
        zones = {name: self._endpoints[name].zone for name in endpoints}
        self._placement.set_engines(pool, available, zones)
        owned = set(self.owned_endpoints())
        owned_available = [name for name in available if name in owned]
        self._loads.set_engines(pool, owned_available, len(available))
        self.outlier_detector(pool).set_engines(set(endpoints))

    def _rebuild(self) -> None:
        self._endpoints = {
            vm["name"]: _endpoint(vm)
            for vm in self._vms.values()
            if vm["kind"] != "router"
            and vm["state"] == _LIVE
            and vm["name"] not in self._leaving
        }
        self._owners = ownership.Owners(
            self._routers or [self._name], self._endpoints
        )


def _endpoint(vm: vms.Vm) -> Endpoint:
    return Endpoint(
        vm["name"],
        vms.parse_address(vm["address"]),
        vm["zone"],
        vm["pool"],
        vm["kind"],
        vm["fenced"],
    )
