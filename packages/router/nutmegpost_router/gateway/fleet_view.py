"""What a gateway derives from the membership, computed once for each change.

In a fleet of more than a hundred gateways, deriving it on each of the ten ticks
a second took most of the processor time of a gateway without requests.
"""

from collections.abc import Sequence
from typing import NamedTuple

from nutmegpost_core import membership
from nutmegpost_core import vms

__all__ = ["FleetView", "View"]

_REACHABLE = (
    membership.State.ALIVE,
    membership.State.LEAVING,
    membership.State.SUSPECT,
)


class View(NamedTuple):
    """The gateways at one version of the membership.

    Attributes:
        version: Version of the membership; see `Membership.view_version`.
        alive: Sorted names of the gateways that may take work, the own one
            included.
        alive_names: The same names.
        alive_hosts: Their hosts by name.
        alive_zones: Their zones by name.
        peer_hosts: Hosts of all peers that may be reachable.
        retry_sharers: Names of the gateways that may be running and spending
            retries. One that is believed to be dead may be cut off, or start
            again. It counts until its entry is removed, unless it said that
            it stops.
    """

    version: int
    alive: Sequence[str]
    alive_names: frozenset[str]
    alive_hosts: dict[str, str]
    alive_zones: dict[str, str]
    peer_hosts: Sequence[str]
    retry_sharers: frozenset[str]


class FleetView:
    """The current view of the gateways."""

    def __init__(self, members: membership.Membership):
        """Creates a view that is computed when it is first read.

        Args:
            members: Membership of the gateways.
        """
        self._members = members
        self._view: View | None = None

    @property
    def current(self) -> View:
        """The view; the same object until the membership changes."""
        version = self._members.view_version
        if self._view is None or self._view.version != version:
            self._view = self._compute(version)
        return self._view

    def _compute(self, version: int) -> View:
        members = self._members.members
        own = self._members.local.name
        alive = tuple(self._members.alive)
        return View(
            version,
            alive,
            frozenset(alive),
            {name: _host(members[name]) for name in alive},
            {name: members[name].zone for name in alive},
            tuple(
                _host(member)
                for name, member in members.items()
                if name != own and member.state in _REACHABLE
            ),
            frozenset(
                name
                for name, member in members.items()
                if member.state is not membership.State.LEFT
            ),
        )


def _host(member: membership.Member) -> str:
    return vms.parse_address(member.peer_address).host
