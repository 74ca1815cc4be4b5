"""Applies what the platform, or a peer, publishes to the state of a gateway."""

import asyncio
from collections.abc import Callable

from nutmegpost_core import evacuations
from nutmegpost_core import events
from nutmegpost_core import roster
from nutmegpost_router import gossip
from nutmegpost_router import log
from nutmegpost_router.gateway import metrics
from nutmegpost_router.gateway import peers
from nutmegpost_router.gateway import ports
from nutmegpost_router.gateway import state
from nutmegpost_router.gateway import stream_origins

__all__ = ["Publications"]

# Error of a time that a reader tells as an age: the way of its answer.
_CLOCK_ERROR_S = 0.5


class Publications:
    """The task that applies configurations and changes of endpoints."""

    def __init__(
        self,
        local_state: state.State,
        updates: "asyncio.Queue[ports.StateUpdate]",
        counters: metrics.GatewayMetrics,
        send: Callable[[gossip.SetConfiguration], None],
        peer_sync: peers.PeerSync,
        origins: stream_origins.OriginExchange,
    ):
        """Creates the task; no list of endpoints has been read.

        Args:
            local_state: State of the gateway.
            updates: Queue of the updates to apply.
            counters: Metrics.
            send: Tells the peers the configuration in force.
            peer_sync: Is told whether the platform responds.
            origins: Is told when endpoints change.
        """
        self._state = local_state
        self._updates = updates
        self._counters = counters
        self._send = send
        self._peer_sync = peer_sync
        self._origins = origins
        self._has_endpoints = False
        # Revision up to which the platform has published every change.
        self._platform_revision: roster.Revision | None = None

    @property
    def has_endpoints(self) -> bool:
        """Whether a list of endpoints has been read."""
        return self._has_endpoints

    @property
    def _hidden_time_max_s(self) -> float:
        """Time without news in which no endpoint can have begun a stream.

        A gateway has to notice it, and it has to leave.
        """
        return 2 * self._state.config["leave_limit_ms"] / 1000

    async def run(self) -> None:
        """Applies updates until it is cancelled."""
        while True:
            self._apply(await self._updates.get())
            self._peer_sync.notify_followers()

    def _apply(self, update: ports.StateUpdate) -> None:
        now = _now()
        local_state = self._state
        match update:
            case ports.CatalogPublished():
                if not update.is_from_peer:
                    self._peer_sync.record_published()
                self._accept_configuration(update)
            case ports.ConfigurationTransfer(is_in_progress):
                self._peer_sync.record_transfer(is_in_progress)
            case ports.EndpointsListed():
                self._replace_endpoints(update, now)
                self._record_read(update.is_from_peer, now)
            case ports.EndpointsChanged():
                self._change_endpoints(update, now)
                self._record_read(False, now)
            case ports.ZonesEvacuated():
                self._apply_evacuations(update, now)
            case ports.ReaderNews():
                self._apply_reader_news(update)
            case ports.PeerCachesReceived(caches_by_endpoint):
                local_state.merge_caches(caches_by_endpoint)
            case ports.PlatformUnavailable() | ports.PlatformAvailable():
                self._record_availability(update, now)

    def _record_availability(
        self,
        update: ports.PlatformUnavailable | ports.PlatformAvailable,
        now: float,
    ) -> None:
        """Records whether the platform responds to this gateway."""
        if isinstance(update, ports.PlatformUnavailable):
            self._state.roster.mark_directory_unavailable()
            self._peer_sync.mark_platform_unavailable()
            log.emit(events.PLATFORM_FAILED, reason=update.reason)
        else:
            self._state.roster.mark_directory_available(now)
            self._peer_sync.mark_platform_available()
            log.emit(events.PLATFORM_RECOVERED)

    def _record_read(self, is_from_peer: bool, now: float) -> None:
        """Records that the entries of endpoints were read."""
        if not is_from_peer:
            self._state.directory_confirmed_at = now
        # A reader tells separately when the platform confirmed its list.
        if not (is_from_peer and self._peer_sync.is_following):
            self._state.directory_read_at = now

    def _apply_reader_news(self, news: ports.ReaderNews) -> None:
        """Applies how current the answer of a reader is.

        It precedes the list in the same answer, so that entries that lapsed in
        an outage which only the reader noticed have their grace period here.
        """
        local_state = self._state
        entries = local_state.roster
        unread_s = news.confirmed_at - local_state.directory_read_at
        if self._has_endpoints and unread_s > self._hidden_time_max_s:
            self._record_gap(
                f"no news of a reader for {unread_s:.1f} s", news.confirmed_at
            )
        if self._peer_sync.is_following:
            if news.available_since > entries.available_since + _CLOCK_ERROR_S:
                entries.mark_directory_unavailable()
                entries.mark_directory_available(news.available_since)
            elif entries.is_directory_unavailable:
                entries.mark_directory_available(news.confirmed_at)
            since = max(
                local_state.versions_gap_at, self._peer_sync.following_since
            )
            if (
                news.gap_at > since + _CLOCK_ERROR_S
                and local_state.versions.is_observed(news.gap_at)
            ):
                self._record_gap("a reader missed changes", news.gap_at)
        if news.revision is not None:
            entries.confirm(news.revision)
        local_state.directory_confirmed_at = max(
            local_state.directory_confirmed_at, news.confirmed_at
        )
        local_state.directory_read_at = max(
            local_state.directory_read_at, news.confirmed_at
        )

    def _replace_endpoints(
        self, update: ports.EndpointsListed, now: float
    ) -> None:
        endpoints, revision, is_from_peer = update
        entries = self._state.roster
        known = entries.revision
        # What the platform publishes next goes on from its last update, so the
        # list of a peer hides nothing unless the platform is unavailable.
        observed = known
        if not is_from_peer:
            observed = self._platform_revision or known
            self._platform_revision = revision
        elif not (
            self._peer_sync.is_platform_unavailable
            or self._peer_sync.is_following
        ):
            observed = revision
        if not entries.replace(endpoints, revision, now):
            _log_outdated(["*"], revision, known)
        elif self._has_endpoints and revision > observed:
            unread_s = now - self._state.directory_read_at
            if unread_s > self._hidden_time_max_s:
                self._record_gap(
                    f"list {revision} after {observed}, {unread_s:.1f} s"
                    " without news",
                    now,
                )
        self._has_endpoints = True
        self._update_versions(now)
        self._endpoints_changed()

    def _change_endpoints(
        self, update: ports.EndpointsChanged, now: float
    ) -> None:
        endpoints, removed, revision, passed, unseen = update
        self._platform_revision = revision
        entries = self._state.roster
        known = entries.revision
        instances = _instances(entries)
        outdated = entries.apply_changes(endpoints, removed, revision, now)
        if outdated:
            _log_outdated(outdated, revision, known)
        self._state.versions.record_served(passed, now)
        if unseen:
            self._record_gap(
                f"{' '.join(unseen)} came and went by {revision}", now
            )
        self._update_versions(now)
        if _instances(entries) != instances:
            self._endpoints_changed()

    def expire(self, now: float) -> None:
        """Ends the grace periods of missing entries and missing zones."""
        _log_zones(self._state.evacuations.expire(now), "the grace period")
        if self._state.roster.expire(now):
            self._endpoints_changed()
            self._update_versions(now)

    def _apply_evacuations(
        self, update: ports.ZonesEvacuated, now: float
    ) -> None:
        changes, revision, is_list, source = update
        table = self._state.evacuations
        retained = set(table.in_grace())
        if source:
            changed = table.merge(changes, now)
        elif is_list:
            listed = {change.zone: change.revision for change in changes}
            changed = table.replace(listed, revision, now)
        else:
            changed = table.apply_store_changes(changes, revision, now)
        _log_zones(changed, source or "the platform")
        for zone in sorted(set(table.in_grace()) - retained):
            log.emit(
                events.EVACUATION_RETAINED, zone=zone, revision=str(revision)
            )

    def _record_gap(self, reason: str, now: float) -> None:
        """Records that endpoints may have come and gone without notice."""
        self._state.versions.record_gap(now)
        self._state.versions_gap_at = now
        log.emit(events.VERSIONS_UNCERTAIN, reason=reason)

    def _update_versions(self, now: float) -> None:
        local_state = self._state
        local_state.versions.update(local_state.roster.endpoints.values(), now)
        self._origins.update_versions(now)

    def _accept_configuration(self, update: ports.CatalogPublished) -> None:
        local_state = self._state
        version = update.catalog.version
        if (
            local_state.catalog is not None
            and version <= local_state.catalog.version
        ):
            if version < local_state.catalog.version:
                log.emit(
                    events.CONFIGURATION_OLD,
                    source=update.source,
                    version=version,
                )
            return
        local_state.catalog = update.catalog
        local_state.document = update.document
        self._counters.set_configuration_version(version)
        self._send(gossip.SetConfiguration(version, ""))
        log.emit(
            events.CONFIGURATION_ACCEPTED,
            version=version,
            digest="",
            source=update.source,
        )

    def _endpoints_changed(self) -> None:
        self._state.remove_stale_endpoints()
        endpoints = self._state.roster.endpoints.values()
        log.emit(
            events.ENDPOINTS_CHANGED,
            revision=str(self._state.roster.revision),
            usable=" ".join(
                endpoint.name
                for endpoint in endpoints
                if not endpoint.is_draining
            ),
            leaving=" ".join(
                endpoint.name for endpoint in endpoints if endpoint.is_draining
            ),
        )


def _instances(entries: roster.Roster) -> set[tuple[str, int, bool]]:
    """Returns name, start time and whether it drains of all endpoints."""
    return {
        (endpoint.name, endpoint.started_ms, endpoint.is_draining)
        for endpoint in entries.endpoints.values()
    }


def _log_zones(changed: list[evacuations.Change], source: str) -> None:
    for zone, revision, is_evacuated in changed:
        log.emit(
            events.ZONE_EVACUATED if is_evacuated else events.ZONE_RESTORED,
            zone=zone,
            revision=str(revision),
            source=source,
        )


def _log_outdated(
    names: list[str], revision: roster.Revision, known: roster.Revision
) -> None:
    log.emit(
        events.ENTRIES_OUTDATED,
        names=" ".join(names),
        revision=str(revision),
        known=str(known),
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
