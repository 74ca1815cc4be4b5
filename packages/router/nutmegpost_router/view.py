"""What a router knows of the fleet at this moment.

The view joins the configuration, the VM list and the members, and answers the
questions that follow from all three: which endpoints a pool has, and which
router owns an endpoint.
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
        name: Name, as in the VM list.
        address: Where it listens.
        zone: Its availability zone.
        pool: Model or service that it serves.
        kind: "engine" or "service".
        fenced: Whether it refuses orders with an old fencing number.
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
        """Starts with nothing known but this router.

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
            errors.UnavailableError: There is none yet.
        """
        if self._directory is None:
            raise errors.UnavailableError(
                "no configuration is in force yet", retry_after=1.0
            )
        return self._directory

    @property
    def configured(self) -> bool:
        """Whether a configuration is in force."""
        return self._directory is not None

    @property
    def vm_version(self) -> int:
        """Version of the VM list."""
        return self._vm_version

    @property
    def loads(self) -> load.Loads:
        """Loads of the endpoints."""
        return self._loads

    @property
    def placement(self) -> placement.Placement:
        """Memory of the caches of chats."""
        return self._placement

    @property
    def routers(self) -> list[str]:
        """Live routers, this one included unless it leaves."""
        return self._routers

    @property
    def endpoints(self) -> dict[str, Endpoint]:
        """Endpoints of the VM list that are not leaving."""
        return self._endpoints

    @property
    def reach(self) -> float:
        """Live routers over routers in the VM list, at most 1."""
        listed = sum(1 for vm in self._vms.values() if vm["kind"] == "router")
        return min(1.0, len(self._routers) / listed) if listed else 1.0

    def find(self, name: str) -> Endpoint | None:
        """Returns a listed endpoint, also one that is leaving."""
        vm = self._vms.get(name)
        if vm is None or vm["kind"] == "router":
            return None
        return _endpoint(vm)

    def outliers(self, pool: str) -> outliers.OutlierDetector:
        """Returns the record of failures in a pool."""
        return self._outliers.setdefault(pool, outliers.OutlierDetector())

    def pool(self, name: str) -> list[str]:
        """Returns the endpoints of a pool, sorted."""
        return sorted(
            item.name for item in self._endpoints.values() if item.pool == name
        )

    def router_vms(self) -> list[vms.Vm]:
        """Returns the routers of the VM list that are not leaving."""
        return [
            vm
            for vm in self._vms.values()
            if vm["kind"] == "router" and vm["state"] == _LIVE
        ]

    def owner(self, endpoint: str, without: Collection[str] = ()) -> str:
        """Returns the router that owns an endpoint.

        Args:
            endpoint: Name of the endpoint.
            without: Routers that cannot be reached.

        Returns:
            Name of the owner; this router when no other is left.
        """
        if not without:
            try:
                return self._owners.owner_of(endpoint)
            except LookupError:
                pass
        left = [name for name in self._routers if name not in without]
        if not left:
            return self._name
        return ownership.owner(endpoint, left)

    def owned(self) -> list[str]:
        """Returns the endpoints that this router owns."""
        return self._owners.owned_by(self._name)

    def configure(self, published: configuration.Published) -> None:
        """Takes a configuration that comes into force."""
        self._directory = directory.Directory(published)

    def set_vms(self, listed: vms.VmList) -> None:
        """Takes a VM list."""
        self._vm_version = listed["version"]
        self._vms = {vm["name"]: vm for vm in listed["vms"]}
        self._leaving = {
            name: until
            for name, until in self._leaving.items()
            if name in self._vms
        }
        self._rebuild()

    def set_routers(self, names: Iterable[str]) -> None:
        """Takes the names of the live routers."""
        self._routers = sorted(names)
        self._rebuild()

    def leave(self, endpoint: str, until: float) -> bool:
        """Takes an endpoint out before the VM list says so.

        Args:
            endpoint: Name of the endpoint.
            until: When it counts again unless the VM list has dropped it,
                monotonic seconds.

        Returns:
            Whether this was news.
        """
        if endpoint in self._leaving or endpoint not in self._endpoints:
            return False
        self._leaving[endpoint] = until
        self._rebuild()
        return True

    def expire(self, now: float) -> bool:
        """Takes back endpoints that left long ago and are still listed.

        Args:
            now: Monotonic time, seconds.

        Returns:
            Whether there were any.
        """
        over = [name for name, until in self._leaving.items() if until <= now]
        for name in over:
            del self._leaving[name]
        if over:
            self._rebuild()
        return bool(over)

    def set_available(self, pool: str, out: Collection[str]) -> None:
        """Tells placement and loads which endpoints of a pool take work.

        Args:
            pool: Model or service.
            out: Endpoints that take none now, as far as this router knows.
        """
        everyone = self.pool(pool)
        takers = [name for name in everyone if name not in out] or everyone
        zones = {name: self._endpoints[name].zone for name in everyone}
        self._placement.set_engines(pool, takers, zones)
        owned = set(self.owned())
        mine = [name for name in takers if name in owned]
        self._loads.set_engines(pool, mine, len(takers))
        self.outliers(pool).set_engines(set(everyone))

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
