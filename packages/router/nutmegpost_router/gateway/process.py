"""The gateway process: its servers, its tasks, its start and its stop."""

import asyncio
from collections.abc import Callable, Coroutine
import random
import secrets
import time
from typing import cast

from nutmegpost_core import dissemination
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import membership
from nutmegpost_core import vms
from nutmegpost_router import gossip
from nutmegpost_router import http_client
from nutmegpost_router import http_server
from nutmegpost_router import log
from nutmegpost_router.gateway import caches
from nutmegpost_router.gateway import forwarding
from nutmegpost_router.gateway import loads
from nutmegpost_router.gateway import metrics
from nutmegpost_router.gateway import peers
from nutmegpost_router.gateway import ports
from nutmegpost_router.gateway import settings
from nutmegpost_router.gateway import state

__all__ = ["Gateway"]

_TICK_S = 0.1
# A tick that comes this much too late means that the process stood still.
_PAUSE_S = 0.5
# Time from the signal to stop during which new connections are still taken;
# callers keep addresses for the time that the settings say.
_LINGER_TTLS = 2.0
# Part of the grace period that is left for the end of the process itself.
_STOP_MARGIN_S = 0.4
_RESTART_DELAY_S = 0.2
# Reports that all peers must have missed until they count as gone.
_ALONE_REPORTS = 2 * loads.SILENT_AFTER_REPORTS
_REACHABLE = (
    membership.State.ALIVE,
    membership.State.LEAVING,
    membership.State.SUSPECT,
)
# A gateway that was away for this time may have spent retries of its own.
_FLEET_MEMORY_S = 20.0
# Parts of the limits of the process that callers may take; the rest is for
# connections to endpoints and peers, and for the process itself.
_CALLERS_SHARE = 0.5
_BODIES_SHARE = 0.25
# Time for the body of a request beside that for its head.
_BODY_TIMEOUT_S = 10.0


class Gateway:
    """One gateway."""

    def __init__(
        self, config: settings.GatewaySettings, protocols: ports.Ports
    ):
        """Prepares the process.

        Args:
            config: Its settings.
            protocols: Protocol implementations of the deployment.
        """
        self._config = config
        self._protocols = protocols
        self._state = state.State(config)
        self._counters = metrics.GatewayMetrics()
        self._client = http_client.Client()
        self._news: asyncio.Queue[ports.StateUpdate] = asyncio.Queue()
        self._notices: asyncio.Queue[gossip.Notice] = asyncio.Queue()
        self._members = self._membership()
        self._load_exchange = loads.LoadExchange(
            config["name"],
            config["loads_address"],
            config["peer_key"],
            self._state.loads,
            self._peer_hosts,
            self._state.roster.names_with_cache,
            self._state.apply_peer_update,
        )
        self._state.on_placement = self._load_exchange.queue_placement
        self._forwarder = forwarding.Forwarder(
            self._state,
            protocols,
            self._client,
            self._counters,
            self._load_exchange,
        )
        self._handing_on = peers.HandingOn(
            self._state,
            protocols,
            self._client,
            self._news,
            self._control_addresses,
        )
        self._caches = caches.CacheLearning(
            self._state,
            protocols.endpoint_protocol,
            self._client,
            lambda: self._members.alive,
        )
        self._callers: http_server.HttpServer | None = None
        self._servers: list[http_server.HttpServer] = []
        self._has_endpoints = False
        self._stopping_at: float | None = None
        self._stopped = asyncio.Event()
        self._fleet_seen: dict[str, float] = {}

    @property
    def listening(self) -> bool:
        """Whether connections of callers are taken."""
        return self._callers is not None

    @property
    def ready(self) -> bool:
        """Whether callers should be sent here."""
        return (
            self.listening
            and self._state.catalog is not None
            and self._has_endpoints
            and self._stopping_at is None
        )

    @property
    def config(self) -> settings.GatewaySettings:
        """Settings of this gateway."""
        return self._config

    @property
    def members(self) -> membership.Membership:
        """The view of the fleet."""
        return self._members

    @property
    def local_state(self) -> state.State:
        """What the gateway knows."""
        return self._state

    def stop(self) -> None:
        """Begins the planned stop."""
        if self._stopping_at is not None:
            return
        self._stopping_at = _now()
        log.emit(events.PROCESS_STOPPING, name=self._config["name"])
        self._gossip.send(gossip.Leave())
        if self._callers is not None:
            self._callers.disable_keep_alive()
        self._stopped.set()

    def reload(self, config: settings.GatewaySettings) -> None:
        """Takes over what can change of new settings while it runs."""
        own = cast(dict[str, object], self._config)
        changed = {key: x for key, x in config.items() if x != own.get(key)}
        in_force = sorted(settings.CHANGEABLE & changed.keys())
        own.update({key: changed[key] for key in in_force})
        self._seed()
        log.emit(
            events.SETTINGS_RELOADED,
            name=self._config["name"],
            changed=" ".join(in_force),
            kept=" ".join(sorted(changed.keys() - settings.CHANGEABLE)),
        )

    async def run(self) -> None:
        """Serves until it is stopped.

        Raises:
            OSError: An address cannot be used.
        """
        tasks = [
            asyncio.create_task(self._supervise(name, run))
            for name, run in self._tasks()
        ]
        await self._listen()
        log.emit(
            events.PROCESS_STARTED,
            name=self._config["name"],
            incarnation=self._members.local.incarnation,
        )
        await self._stopped.wait()
        await self._finish()
        self._gossip.send(gossip.Stop())
        await asyncio.sleep(_TICK_S)
        for task in tasks:
            task.cancel()
        await self.close()
        log.emit(events.PROCESS_STOPPED, name=self._config["name"])

    async def close(self) -> None:
        """Closes all servers and their connections."""
        for server in self._servers:
            await server.close()

    def _tasks(
        self,
    ) -> list[tuple[str, Callable[[], Coroutine[None, None, None]]]]:
        return [
            ("publications", self._read_publications),
            ("news", self._take_news),
            ("gossip", self._gossip.run),
            ("notices", self._take_notices),
            ("loads", self._load_exchange.run),
            ("peers", self._handing_on.run),
            ("clock", self._tick),
            ("caches", self._caches.run),
        ]

    async def _supervise(
        self, name: str, run: Callable[[], Coroutine[None, None, None]]
    ) -> None:
        while True:
            try:
                await run()
                return
            except Exception as caught:  # A fault of one task ends only it.
                reason = f"{type(caught).__name__}: {caught}"
                log.emit(events.TASK_FAILED, task=name, reason=reason)
                await asyncio.sleep(_RESTART_DELAY_S)

    async def _listen(self) -> None:
        for key, handler in (
            ("control_address", self._handing_on.handle),
            ("directory_address", self._answer_directory),
            ("readiness_address", self._answer_directory),
            ("metrics_address", self._answer_metrics),
        ):
            address = vms.parse_address(self._config[key])  # type: ignore[literal-required]
            self._servers.append(
                await http_server.serve(address, http_server.responder(handler))
            )
        self._callers = await http_server.serve(
            vms.parse_address(self._config["public_address"]),
            self._forwarder.handle,
            limits=self._limits,
            on_refused=self._refused,
            on_failed=self._failed,
        )
        self._servers.append(self._callers)

    def _limits(self) -> http_server.Limits:
        own = http_server.Limits(
            connections=int(self._config["descriptors_max"] * _CALLERS_SHARE),
            buffered_body_bytes=int(
                self._config["memory_mb"] * 1e6 * _BODIES_SHARE
            ),
        )
        found = self._state.catalog
        if found is None:
            return own
        limits = found.limits
        return own._replace(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            request_timeout_s=limits.header_timeout_s + _BODY_TIMEOUT_S,
            idle_timeout_s=limits.idle_timeout_s,
        )

    def _refused(self, error: errors.RequestError) -> None:
        log.emit(
            events.REQUEST_UNREADABLE, status=error.status, reason=str(error)
        )

    def _failed(self, error: Exception) -> None:
        reason = f"{type(error).__name__}: {error}"
        log.emit(events.TASK_FAILED, task="request", reason=reason)

    # Directory, readiness and metrics.

    async def _answer_directory(
        self, request: http_server.Request
    ) -> http_server.Response:
        directory = self._protocols.directory
        if directory.is_readiness(request):
            return http_server.Response(200 if self.ready else 503, [], b"")
        if directory.is_resolution(request):
            addresses = self._public_addresses()
            if not addresses:
                return http_server.Response(503, [], b"")
            return directory.address_response(
                addresses, self._config["address_ttl_s"]
            )
        return http_server.Response(404, [], b"")

    async def _answer_metrics(
        self, request: http_server.Request
    ) -> http_server.Response:
        self._counters.endpoints(len(self._state.roster.endpoints))
        headers = [("Content-Type", metrics.CONTENT_TYPE)]
        return http_server.Response(200, headers, self._counters.render())

    def _public_addresses(self) -> list[str]:
        """Returns the addresses at which callers are probably served.

        A gateway that hears none of its peers may be the one that is cut off.
        It leaves them out once the platform answers it and they stay silent.
        """
        members = self._members.members
        own = self._config["name"]
        peers = set(self._members.alive) - {own}
        reachable = peers & set(self._members.reachable)
        heard = reachable - self._load_exchange.silent_peers()
        if not heard and not self._is_alone(reachable):
            heard = peers
        names = heard | ({own} if self.ready else set())
        return [members[name].public_address for name in sorted(names)]

    def _is_alone(self, reachable: set[str]) -> bool:
        gone = self._load_exchange.silent_peers(_ALONE_REPORTS)
        return self.ready and not (
            self._handing_on.is_source_lost or reachable - gone
        )

    # Peers.

    def _membership(self) -> membership.Membership:
        rng = random.Random(secrets.randbits(64))
        me = membership.Member(
            self._config["name"],
            secrets.randbits(48),
            self._config["public_address"],
            self._config["peer_address"],
            self._config["zone"],
        )
        riders = dissemination.Disseminator(rng)
        members = membership.Membership(me, rng, disseminator=riders)
        self._gossip = gossip.Gossip(
            {
                "peer_address": self._config["peer_address"],
                "peer_key": self._config["peer_key"],
            },
            members,
            riders,
            self._notices,
        )
        self._seed()
        return members

    def _seed(self) -> None:
        port = vms.parse_address(self._config["peer_address"]).port
        contacts = [
            f"{vms.parse_address(seed).host}:{port}"
            for seed in self._config["seeds"]
        ]
        self._gossip.send(gossip.Seed(contacts))

    def _peer_hosts(self) -> list[str]:
        members = self._members.members
        return [
            vms.parse_address(members[name].peer_address).host
            for name in members
            if name != self._config["name"]
            and members[name].state in _REACHABLE
        ]

    def _control_addresses(self) -> list[vms.Address]:
        port = vms.parse_address(self._config["control_address"]).port
        hosts = self._peer_hosts()
        hosts += [
            vms.parse_address(seed).host for seed in self._config["seeds"]
        ]
        own = vms.parse_address(self._config["control_address"]).host
        return [vms.Address(host, port) for host in sorted(set(hosts) - {own})]

    async def _take_notices(self) -> None:
        while True:
            notice = await self._notices.get()
            match notice:
                case gossip.PeerConfiguration(name, version, _):
                    found = self._state.catalog
                    if found is None or version > found.version:
                        self._handing_on.ask(name, version)
                case gossip.Paused():
                    self._handing_on.ask("all", 0)

    # What the platform publishes.

    async def _read_publications(self) -> None:
        await self._protocols.publications.run(
            self._config["platform_address"],
            self._config["leave_limit_ms"] / 1000,
            self._news,
        )

    async def _take_news(self) -> None:
        while True:
            self._take(await self._news.get())

    def _take(self, news: ports.StateUpdate) -> None:
        now = _now()
        local_state = self._state
        match news:
            case ports.CatalogPublished():
                self._accept(news)
            case ports.EndpointsListed(endpoints, revision):
                local_state.roster.replace(endpoints, revision, now)
                self._has_endpoints = True
                self._log_endpoints()
            case ports.EndpointsChanged(endpoints, removed, revision):
                before = local_state.roster.endpoints
                leaving = {n for n, item in before.items() if item.is_draining}
                names = set(before)
                local_state.roster.apply_changes(
                    endpoints, removed, revision, now
                )
                after = local_state.roster.endpoints
                if set(after) != names or leaving != {
                    n for n, item in after.items() if item.is_draining
                }:
                    self._log_endpoints()
            case ports.PeerCachesReceived(told):
                local_state.merge_caches(told)
            case ports.PlatformUnavailable(reason):
                local_state.roster.mark_directory_unavailable()
                self._handing_on.source_lost()
                log.emit(events.PLATFORM_FAILED, reason=reason)
            case ports.PlatformAvailable():
                local_state.roster.mark_directory_available(now)
                self._handing_on.source_returned()
                log.emit(events.PLATFORM_RECOVERED)

    def _accept(self, news: ports.CatalogPublished) -> None:
        local_state = self._state
        version = news.catalog.version
        if (
            local_state.catalog is not None
            and version <= local_state.catalog.version
        ):
            if version < local_state.catalog.version:
                log.emit(
                    events.CONFIGURATION_OLD, source="platform", version=version
                )
            return
        local_state.catalog = news.catalog
        local_state.document = news.document
        self._counters.configuration(version)
        self._gossip.send(gossip.SetConfiguration(version, ""))
        log.emit(
            events.CONFIGURATION_ACCEPTED,
            version=version,
            digest="",
            source="platform",
        )

    def _log_endpoints(self) -> None:
        self._state.remove_stale_endpoints()
        found = self._state.roster.endpoints.values()
        log.emit(
            events.ENDPOINTS_CHANGED,
            revision=self._state.roster.revision,
            usable=" ".join(x.name for x in found if not x.is_draining),
            leaving=" ".join(x.name for x in found if x.is_draining),
        )

    # The clock and the stop.

    async def _tick(self) -> None:
        last = time.clock_gettime(time.CLOCK_BOOTTIME)
        while True:
            await asyncio.sleep(_TICK_S)
            boot = time.clock_gettime(time.CLOCK_BOOTTIME)
            if boot - last > _TICK_S + _PAUSE_S:
                log.emit(events.CLOCK_GAP, seconds=boot - last)
                self._load_exchange.reset_silence()
                self._caches.ask_again()
                self._handing_on.ask("all", 0)
            last = boot
            now = _now()
            gone = self._state.roster.expire(now)
            if gone:
                self._log_endpoints()
            self._count_fleet(now)

    def _count_fleet(self, now: float) -> None:
        """Counts each gateway that was there within the retry window."""
        for name in self._members.alive:
            self._fleet_seen[name] = now
        oldest = now - self._config["retry_window_s"] - _FLEET_MEMORY_S
        self._fleet_seen = {
            name: at for name, at in self._fleet_seen.items() if at > oldest
        }
        listed = len(set(self._config["seeds"]))
        self._state.fleet_size = max(listed, len(self._fleet_seen))

    def _stop_left_s(self) -> float | None:
        if self._stopping_at is None:
            return None
        end = self._stopping_at + self._config["stop_grace_s"] - _STOP_MARGIN_S
        return end - _now()

    async def _finish(self) -> None:
        """Waits until callers have gone elsewhere and no request is open."""
        assert self._stopping_at is not None
        linger = _LINGER_TTLS * self._config["address_ttl_s"]
        while True:
            await asyncio.sleep(_TICK_S)
            left = self._stop_left_s()
            assert left is not None
            if left <= 0:
                log.emit(events.STOP_GRACE_OVER, name=self._config["name"])
                return
            if self._callers is None:
                return
            if _now() - self._stopping_at >= linger:
                # Nothing new is taken before the last answer is given.
                self._callers.stop_listening()
                self._callers.drain()
                if not self._callers.busy_count:
                    return


def _now() -> float:
    return asyncio.get_running_loop().time()
