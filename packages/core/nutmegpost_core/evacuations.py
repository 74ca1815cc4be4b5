"""Availability zones whose endpoints must get no requests.

The operator evacuates a zone by a key in the platform's store and removes the
key later. Routers learn of both from the store and from each other. For each
zone the change with the highest revision wins, so that the order in which
reports arrive does not matter.

A store that is restored from a copy can lack a key that it had acknowledged.
Such a zone stays evacuated for a grace period, in which the operator's system
writes the key again.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

import xxhash

from nutmegpost_core import roster

__all__ = ["Change", "Evacuations"]

# Time for which the operator's system may take to write a key again that the
# copy of a restored store lacks.
GRACE_S = 3.0
# Share of the limit for which caches in an evacuated zone may be fetched from.
# The rest is for fetches that have begun.
FETCH_SHARE = 0.8
# Zones that are not evacuated and are kept so that peers learn of the removal.
REMOVED_MAX = 32


class Change(NamedTuple):
    """The last known change of a zone.

    Attributes:
        zone: Name of the zone.
        revision: Revision at which the key was written or removed.
        is_evacuated: Whether the key was written.
    """

    zone: str
    revision: roster.Revision
    is_evacuated: bool


class _Grace(NamedTuple):
    """The time for which a zone counts as evacuated without its key.

    Attributes:
        revision: Revision of the store that lacks the key.
        until: Monotonic time at which it ends, seconds.
    """

    revision: roster.Revision
    until: float


class Evacuations:
    """The evacuated zones, as known to one router."""

    def __init__(self, limit_s: float):
        """Creates a table without evacuated zones.

        Args:
            limit_s: Time from the publication that a zone is evacuated until
                its endpoints must get no requests, seconds.
        """
        self._fetch_s = FETCH_SHARE * limit_s
        self._changes: dict[str, Change] = {}
        self._graces: dict[str, _Grace] = {}
        # Time at which each evacuation became known.
        self._known_since: dict[str, float] = {}
        # Revision up to which the store has told every change.
        self._complete_until = roster.Revision()

    @property
    def zones(self) -> Collection[str]:
        """Names of the evacuated zones."""
        return self._known_since.keys()

    @property
    def changes(self) -> list[Change]:
        """The last change of each zone, by name, for other routers."""
        return sorted(self._changes.values())

    def digest(self) -> str:
        """Returns a digest of the changes; empty if there are none."""
        if not self._changes:
            return ""
        return xxhash.xxh3_64_hexdigest(repr(self.changes).encode())[:8]

    def is_evacuated(self, zone: str) -> bool:
        """Returns whether the endpoints of a zone must get no requests."""
        return zone in self._known_since

    def may_fetch(self, zone: str, now: float) -> bool:
        """Returns whether caches in a zone may be fetched from."""
        since = self._known_since.get(zone)
        return since is None or now < since + self._fetch_s

    def replace(
        self,
        listed: Mapping[str, roster.Revision],
        revision: roster.Revision,
        now: float,
    ) -> list[Change]:
        """Applies a complete list of the keys in the store.

        Args:
            listed: Revision of each key, by zone.
            revision: Revision of the store that the list reflects.
            now: Monotonic time, seconds.

        Returns:
            The changes by which a zone was evacuated or restored.
        """
        changed = []
        for zone, known in list(self._changes.items()):
            if zone in listed or not known.is_evacuated:
                continue
            if known.revision.era < revision.era:
                self._begin_grace(zone, revision, now)
            else:
                changed += self._apply(Change(zone, revision, False), now)
        for zone, written in listed.items():
            changed += self._apply(Change(zone, written, True), now)
        self._complete_until = max(self._complete_until, revision)
        return changed

    def apply_store_changes(
        self, changes: Iterable[Change], revision: roster.Revision, now: float
    ) -> list[Change]:
        """Applies all changes in the store since the last known revision.

        Args:
            changes: The changes.
            revision: Revision of the store after the changes.
            now: Monotonic time, seconds.

        Returns:
            The changes by which a zone was evacuated or restored.
        """
        changed = [
            applied
            for change in changes
            for applied in self._apply(change, now)
        ]
        self._complete_until = max(self._complete_until, revision)
        return changed

    def merge(self, changes: Iterable[Change], now: float) -> list[Change]:
        """Merges the changes that another router knows.

        One that reads the store knows whether an older evacuation still holds.

        Args:
            changes: The last change of each zone, as known there.
            now: Monotonic time, seconds.

        Returns:
            The changes by which a zone was evacuated or restored.
        """
        changed = []
        for change in changes:
            zone, revision, is_evacuated = change
            known = self._changes.get(zone)
            if known is not None and (
                known.is_evacuated or revision <= known.revision
            ):
                changed += self._apply(change, now)
                continue
            complete_until = self._complete_until
            if is_evacuated and revision <= complete_until:
                if revision.era == complete_until.era:
                    # The store has removed the key since.
                    self._apply(Change(zone, complete_until, False), now)
                    continue
                self._begin_grace(zone, complete_until, now)
            changed += self._apply(change, now)
        return changed

    def expire(self, now: float) -> list[Change]:
        """Ends the grace periods that are over.

        Args:
            now: Monotonic time, seconds.

        Returns:
            The changes by which a zone was restored.
        """
        changed = []
        for zone, grace in list(self._graces.items()):
            if grace.until <= now:
                del self._graces[zone]
                changed += self._apply(Change(zone, grace.revision, False), now)
        return changed

    def in_grace(self) -> list[str]:
        """Returns the zones whose key is missing in a restored store."""
        return sorted(self._graces)

    def _begin_grace(
        self, zone: str, revision: roster.Revision, now: float
    ) -> None:
        grace = self._graces.get(zone)
        if grace is None or grace.revision.era < revision.era:
            self._graces[zone] = _Grace(revision, now + GRACE_S)

    def _apply(self, change: Change, now: float) -> list[Change]:
        """Applies a change unless a later one is known.

        Returns:
            The change if the zone was evacuated or restored by it.
        """
        zone, revision, is_evacuated = change
        known = self._changes.get(zone)
        if known is not None and revision <= known.revision:
            return []
        self._changes[zone] = change
        grace = self._graces.get(zone)
        if grace is not None and revision >= grace.revision:
            del self._graces[zone]
        was_evacuated = zone in self._known_since
        if is_evacuated:
            self._known_since.setdefault(zone, now)
        else:
            self._known_since.pop(zone, None)
            self._discard_removed()
        return [change] if is_evacuated != was_evacuated else []

    def _discard_removed(self) -> None:
        removed = [
            change
            for change in self._changes.values()
            if not change.is_evacuated
        ]
        removed.sort(key=lambda change: change.revision)
        for change in removed[:-REMOVED_MAX]:
            del self._changes[change.zone]
