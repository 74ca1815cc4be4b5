"""Endpoints listed in the directory, and which of them are usable.

While the directory is unavailable, the entries of live endpoints can expire.
An entry missing after such an outage is retained for a grace period that starts
when the directory is available again, and then removed.

Lists can also come from peers and be partly out of date. A tombstone of each
removal prevents an older entry from restoring the endpoint.

A directory that is restored from a copy issues its revisions again, so each
revision has the era in which it was issued. The copy also has entries that the
endpoints have replaced or removed since; these are recognized by the sequence
numbers that the endpoints themselves give to what they write.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import xxhash

__all__ = ["Endpoint", "Revision", "Roster"]

# Tombstones that are retained; the oldest are discarded first.
TOMBSTONES_MAX = 10_000
# An endpoint whose entry was removed still serves during its 2 s drain and a
# little longer; its cache can be fetched from for that time.
DEPARTED_RETENTION_S = 4.0


class Revision(NamedTuple):
    """Revision of the directory; later ones are greater.

    Attributes:
        era: Incremented each time the directory is restored from a copy.
        number: Revision number; issued once in each era.
    """

    era: int = 0
    number: int = 0

    def __str__(self) -> str:
        return f"{self.era}/{self.number}"


class Endpoint(NamedTuple):
    """One instance of an endpoint.

    Attributes:
        name: Name of this instance; requests are addressed to it.
        service: Service that it belongs to.
        address: IPv4 address and port.
        zone: Availability zone.
        slots: Requests that it runs concurrently.
        is_draining: Whether it takes no new requests.
        warming_until: Monotonic time at which its warm-up ends, seconds.
        revision: Revision of its entry in the directory.
        started_ms: Start time, Unix milliseconds; 0 if unknown.
        sequence: Number of the entry among those that this instance wrote.
        software: Version of its software; versions have no order. The weights
            of its model have another.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    warming_until: float
    revision: Revision
    started_ms: int = 0
    sequence: int = 0
    software: str = ""


class _Tombstone(NamedTuple):
    """A removed entry.

    Attributes:
        revision: Revision of the removal.
        started_ms: Start time of the instance, Unix milliseconds.
        sequence: Number of its last known entry.
    """

    revision: Revision
    started_ms: int
    sequence: int


class Roster:
    """Local view of the endpoint directory."""

    def __init__(self, grace_s: float):
        """Starts empty.

        Args:
            grace_s: Time for which a missing entry is retained after an
                outage of the directory, seconds.
        """
        self._grace_s = grace_s
        self._endpoints: dict[str, Endpoint] = {}
        self._missing: dict[str, float] = {}
        self._tombstones: dict[str, _Tombstone] = {}
        self._departed: dict[str, tuple[Endpoint, float]] = {}
        self._by_service: dict[str, list[Endpoint]] = {}
        # Computed on demand; None after a change.
        self._digest: str | None = None
        self._names_with_cache: frozenset[str] | None = None
        self._revision = Revision()
        self._directory_unavailable = False
        self._available_since = float("-inf")

    @property
    def revision(self) -> Revision:
        """Revision of the directory that this view reflects."""
        return self._revision

    @property
    def is_directory_unavailable(self) -> bool:
        """Whether the directory does not respond."""
        return self._directory_unavailable

    @property
    def available_since(self) -> float:
        """Monotonic time of the end of the last outage, seconds.

        Minus infinity if there was none.
        """
        return self._available_since

    @property
    def endpoints(self) -> Mapping[str, Endpoint]:
        """All known endpoints by name, including draining ones."""
        return self._endpoints

    @property
    def listed(self) -> list[Endpoint]:
        """The endpoints that have an entry in the directory."""
        return [
            endpoint
            for name, endpoint in self._endpoints.items()
            if name not in self._missing
        ]

    def digest(self) -> str:
        """Returns a digest of the listed endpoints, to compare with peers.

        Entry revisions are excluded, since they change continuously.
        """
        if self._digest is None:
            self._digest = self._compute_digest()
        return self._digest

    def _compute_digest(self) -> str:
        identities = sorted(
            (
                endpoint.name,
                endpoint.address,
                endpoint.is_draining,
                endpoint.started_ms,
            )
            for endpoint in self.listed
        )
        return xxhash.xxh3_64_hexdigest(repr(identities).encode())

    def details_digest(self, now: float) -> str:
        """Returns a digest of all that the listed endpoints are chosen by.

        Args:
            now: Monotonic time, seconds.
        """
        details = sorted(
            (
                *endpoint[:6],
                endpoint.warming_until > now,
                endpoint.started_ms,
                endpoint.software,
            )
            for endpoint in self.listed
        )
        return xxhash.xxh3_64_hexdigest(repr(details).encode())

    def confirm(self, revision: Revision) -> None:
        """Records that the listed endpoints are those of a later revision."""
        self._revision = max(self._revision, revision)

    def usable(self, service: str) -> list[Endpoint]:
        """Returns the endpoints of a service that take new requests."""
        return self._by_service.get(service, [])

    def draining(self, service: str) -> list[Endpoint]:
        """Returns the endpoints of a service that take no new requests.

        Includes those removed from the directory in the last few seconds.
        """
        departed = [endpoint for endpoint, _ in self._departed.values()]
        return [
            endpoint
            for endpoint in (*self._endpoints.values(), *departed)
            if endpoint.service == service
            and (endpoint.is_draining or endpoint.name in self._departed)
        ]

    def names_with_cache(self) -> frozenset[str]:
        """Returns the names of all endpoints that may still have a cache.

        Returns the same object until the names may have changed.
        """
        if self._names_with_cache is None:
            self._names_with_cache = frozenset(
                (*self._endpoints, *self._departed)
            )
        return self._names_with_cache

    def mark_down(self, name: str) -> None:
        """Discards a departed endpoint that no longer accepts connections."""
        self._departed.pop(name, None)
        self._discard_computed()

    def mark_directory_unavailable(self) -> None:
        """Records that the directory does not respond."""
        self._directory_unavailable = True

    def mark_directory_available(self, now: float) -> None:
        """Records that the directory responds.

        After an outage, this starts the grace period of missing entries.

        Args:
            now: Monotonic time, seconds.
        """
        if self._directory_unavailable:
            self._directory_unavailable = False
            self._available_since = now

    def replace(
        self, endpoints: Iterable[Endpoint], revision: Revision, now: float
    ) -> bool:
        """Replaces the view by a complete list of entries.

        Entries that are missing in the first list of a restored directory have
        a grace period, in which the endpoints can write them again.

        Args:
            endpoints: All entries.
            revision: Revision of the list.
            now: Monotonic time, seconds.

        Returns:
            False if the list is older than the current view and was ignored.
        """
        if revision < self._revision:
            return False
        if revision.era > self._revision.era > 0:
            self._available_since = now
        listed = {endpoint.name: endpoint for endpoint in endpoints}
        for name in set(self._endpoints) - set(listed):
            self._remove(name, revision, now)
        for endpoint in listed.values():
            self._upsert(endpoint)
        self._revision = revision
        self._rebuild_index()
        return True

    def apply_changes(
        self,
        endpoints: Iterable[Endpoint],
        removed: Mapping[str, Revision],
        revision: Revision,
        now: float,
    ) -> list[str]:
        """Applies changes since the last known revision.

        Args:
            endpoints: Entries that were written.
            removed: Names of the entries that were removed and not written
                since, with the revision of the removal.
            revision: Revision of the directory after the changes.
            now: Monotonic time, seconds.

        Returns:
            Names of the entries that were ignored, as they are older than the
            known ones.
        """
        outdated = [
            endpoint.name
            for endpoint in endpoints
            if not self._upsert(endpoint)
        ]
        for name, removal in removed.items():
            self._remove(name, removal, now)
        self._revision = max(self._revision, revision)
        self._rebuild_index()
        return outdated

    def expire(self, now: float) -> list[str]:
        """Removes the entries whose grace period has ended.

        Args:
            now: Monotonic time, seconds.

        Returns:
            Names of the removed entries.
        """
        expired = [
            name for name, until in self._missing.items() if until <= now
        ]
        for name in expired:
            del self._missing[name]
            self._endpoints.pop(name, None)
        if expired:
            self._rebuild_index()
        for name, (_, until) in list(self._departed.items()):
            if until <= now:
                del self._departed[name]
                self._discard_computed()
        return expired

    def _upsert(self, endpoint: Endpoint) -> bool:
        """Adds or updates an endpoint unless the entry is outdated."""
        if self._is_outdated(endpoint):
            return False
        self._missing.pop(endpoint.name, None)
        self._departed.pop(endpoint.name, None)
        self._endpoints[endpoint.name] = endpoint
        return True

    def _is_outdated(self, endpoint: Endpoint) -> bool:
        current = self._endpoints.get(endpoint.name)
        if current is not None:
            return endpoint.revision < current.revision or (
                _is_from_copy(endpoint, current)
                and (
                    endpoint.sequence < current.sequence or current.is_draining
                )
            )
        tombstone = self._tombstones.get(endpoint.name)
        return tombstone is not None and (
            endpoint.revision <= tombstone.revision
            or _is_from_copy(endpoint, tombstone)
        )

    def _remove(self, name: str, revision: Revision, now: float) -> None:
        current = self._endpoints.get(name)
        self._add_tombstone(name, revision, current)
        if current is None:
            return
        # A list that arrives during an outage, from a peer or before the
        # outage counts as over, shows that the directory is back.
        since = now if self._directory_unavailable else self._available_since
        until = since + self._grace_s
        if not current.is_draining and now < until:
            self._missing.setdefault(name, until)
            return
        del self._endpoints[name]
        self._missing.pop(name, None)
        self._departed[name] = (current, now + DEPARTED_RETENTION_S)

    def _add_tombstone(
        self, name: str, revision: Revision, current: Endpoint | None
    ) -> None:
        known = self._tombstones.get(name)
        if known is not None:
            revision = max(revision, known.revision)
        last = current or known
        if len(self._tombstones) >= TOMBSTONES_MAX:
            del self._tombstones[next(iter(self._tombstones))]
        self._tombstones[name] = _Tombstone(
            revision,
            last.started_ms if last else 0,
            last.sequence if last else 0,
        )

    def _discard_computed(self) -> None:
        self._digest = None
        self._names_with_cache = None

    def _rebuild_index(self) -> None:
        self._discard_computed()
        self._by_service = {}
        for endpoint in self._endpoints.values():
            if not endpoint.is_draining:
                group = self._by_service.setdefault(endpoint.service, [])
                group.append(endpoint)
        for group in self._by_service.values():
            group.sort()


def _is_from_copy(entry: Endpoint, known: Endpoint | _Tombstone) -> bool:
    """Returns whether an entry was written before a known one.

    Within one era the revisions tell; in a later one, the copy from which the
    directory was restored can have older entries of the same instance.
    """
    return (
        entry.revision.era > known.revision.era
        and 0 < entry.started_ms == known.started_ms
        and entry.sequence <= known.sequence
    )
