"""Which endpoints may get work, by what their directory last said.

The directory can be away for a while, and entries can lapse meanwhile though
their endpoints live. An entry that went missing around such a time is kept
for a grace period after the return, and then dropped.

Lists can come from peers, whose knowledge is older in part. The revision at
which an entry was removed is remembered, and nothing that was written before
brings the entry back.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import xxhash

__all__ = ["Endpoint", "Roster"]

# Removals that are remembered; the oldest are forgotten first.
REMOVALS_MAX = 10_000
# An endpoint whose entry is gone serves on for the 2 s in which it drains, and
# a little longer; what it has in its cache can be fetched for that time.
DEPARTED_S = 4.0


class Endpoint(NamedTuple):
    """One start of an endpoint.

    Attributes:
        name: Name of this start; requests are addressed to it.
        service: Service that it belongs to.
        address: IPv4 address and port.
        zone: Availability zone.
        slots: Requests that it runs at once.
        is_leaving: Whether it takes no new work.
        slow_until: Monotonic time until which it warms up, seconds.
        revision: Revision of the entry in the directory.
        started_ms: Time of its start, Unix milliseconds; 0 when not told.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    is_leaving: bool
    slow_until: float
    revision: int
    started_ms: int = 0


class Roster:
    """The endpoints that are known."""

    def __init__(self, grace_s: float):
        """Starts empty.

        Args:
            grace_s: Time for which a missing entry is kept after the
                directory was away.
        """
        self._grace_s = grace_s
        self._endpoints: dict[str, Endpoint] = {}
        self._missing: dict[str, float] = {}
        self._removed: dict[str, int] = {}
        self._departed: dict[str, tuple[Endpoint, float]] = {}
        self._by_service: dict[str, list[Endpoint]] = {}
        self._revision = 0
        self._away = False
        self._returned = float("-inf")

    @property
    def revision(self) -> int:
        """Revision of the directory that the roster reflects."""
        return self._revision

    @property
    def endpoints(self) -> Mapping[str, Endpoint]:
        """All known endpoints by name, those that leave included."""
        return self._endpoints

    @property
    def listed(self) -> list[Endpoint]:
        """The endpoints whose entries stand in the directory."""
        return [
            endpoint
            for name, endpoint in self._endpoints.items()
            if name not in self._missing
        ]

    def digest(self) -> str:
        """Returns what tells this list from one with other endpoints.

        The revisions of entries, which change all the time, are left out.
        """
        facts = sorted(
            (item.name, item.address, item.is_leaving, item.started_ms)
            for item in self.listed
        )
        return xxhash.xxh3_64_hexdigest(repr(facts).encode())

    def usable(self, service: str) -> list[Endpoint]:
        """Returns the endpoints of a service that may get work."""
        return self._by_service.get(service, [])

    def leaving(self, service: str) -> list[Endpoint]:
        """Returns the endpoints of a service that take no more work.

        Those are among them that left the directory a moment ago.
        """
        departed = [endpoint for endpoint, _ in self._departed.values()]
        return [
            endpoint
            for endpoint in (*self._endpoints.values(), *departed)
            if endpoint.service == service
            and (endpoint.is_leaving or endpoint.name in self._departed)
        ]

    def known(self) -> set[str]:
        """Returns the names of all endpoints that may have a cache."""
        return {*self._endpoints, *self._departed}

    def is_down(self, name: str) -> None:
        """Notes that an endpoint does not listen any more."""
        self._departed.pop(name, None)

    def directory_lost(self) -> None:
        """Notes that the directory does not answer."""
        self._away = True

    def directory_returned(self, now: float) -> None:
        """Notes that the directory answers.

        Args:
            now: Monotonic time, seconds.
        """
        if self._away:
            self._away = False
            self._returned = now

    def replace(
        self, endpoints: Iterable[Endpoint], revision: int, now: float
    ) -> bool:
        """Takes in the whole list.

        Returns:
            False when the list is older than what is known.
        """
        if revision < self._revision:
            return False
        listed = {endpoint.name: endpoint for endpoint in endpoints}
        for name in set(self._endpoints) - set(listed):
            self._drop(name, revision, now)
        for endpoint in listed.values():
            self._put(endpoint)
        self._revision = revision
        self._index()
        return True

    def update(
        self,
        endpoints: Iterable[Endpoint],
        removed: Mapping[str, int],
        revision: int,
        now: float,
    ) -> None:
        """Takes in changes since `revision`.

        Args:
            endpoints: Entries that were written.
            removed: Entries that were removed and not written since, with
                the revision of the removal.
            revision: Revision of the directory after the changes.
            now: Monotonic time, seconds.
        """
        for endpoint in endpoints:
            self._put(endpoint)
        for name, removal in removed.items():
            self._drop(name, removal, now)
        self._revision = max(self._revision, revision)
        self._index()

    def expire(self, now: float) -> list[str]:
        """Drops the entries whose grace period is over.

        Returns:
            Their names.
        """
        over = [name for name, until in self._missing.items() if until <= now]
        for name in over:
            del self._missing[name]
            self._endpoints.pop(name, None)
        if over:
            self._index()
        for name, (_, until) in list(self._departed.items()):
            if until <= now:
                del self._departed[name]
        return over

    def _put(self, endpoint: Endpoint) -> None:
        known = self._endpoints.get(endpoint.name)
        if known is not None and endpoint.revision < known.revision:
            return
        if endpoint.revision <= self._removed.get(endpoint.name, -1):
            return
        self._missing.pop(endpoint.name, None)
        self._departed.pop(endpoint.name, None)
        self._endpoints[endpoint.name] = endpoint

    def _drop(self, name: str, revision: int, now: float) -> None:
        if len(self._removed) >= REMOVALS_MAX:
            del self._removed[next(iter(self._removed))]
        self._removed[name] = max(revision, self._removed.get(name, 0))
        known = self._endpoints.get(name)
        if known is None:
            return
        until = self._returned + self._grace_s
        if not known.is_leaving and (self._away or now < until):
            self._missing.setdefault(name, max(until, now))
            return
        del self._endpoints[name]
        self._missing.pop(name, None)
        self._departed[name] = (known, now + DEPARTED_S)

    def _index(self) -> None:
        self._by_service = {}
        for endpoint in self._endpoints.values():
            if not endpoint.is_leaving:
                group = self._by_service.setdefault(endpoint.service, [])
                group.append(endpoint)
        for group in self._by_service.values():
            group.sort()
