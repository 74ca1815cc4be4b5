"""The gateway process: its servers and tasks, start-up and shutdown."""

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
from nutmegpost_core import retrybudget
from nutmegpost_core import roster
from nutmegpost_core import vms
from nutmegpost_router import gossip
from nutmegpost_router import http_client
from nutmegpost_router import http_server
from nutmegpost_router import log
from nutmegpost_router import planned_stop
from nutmegpost_router import ticks
from nutmegpost_router.gateway import address_listing
from nutmegpost_router.gateway import caches
from nutmegpost_router.gateway import crash_guard
from nutmegpost_router.gateway import endpoint_news
from nutmegpost_router.gateway import fleet_view
from nutmegpost_router.gateway import forwarding
from nutmegpost_router.gateway import links
from nutmegpost_router.gateway import load_queries
from nutmegpost_router.gateway import loads
from nutmegpost_router.gateway import member_snapshots
from nutmegpost_router.gateway import metrics
from nutmegpost_router.gateway import origin_replicas
from nutmegpost_router.gateway import peer_relay
from nutmegpost_router.gateway import peers
from nutmegpost_router.gateway import ports
from nutmegpost_router.gateway import publications
from nutmegpost_router.gateway import reader_polls
from nutmegpost_router.gateway import settings
from nutmegpost_router.gateway import state
from nutmegpost_router.gateway import stream_origins

__all__ = ["Gateway"]

_TICK_S = 0.1
# Delay of a tick above which the process counts as having been paused.
_PAUSE_MIN_S = 0.5
_RESTART_DELAY_S = 0.2
# Reports that all peers must have missed before they are assumed to be down.
_DOWN_AFTER_REPORTS = 2 * loads.SILENT_AFTER_REPORTS
# Time beyond the retry window for which a gateway that is not seen still counts
# in the fleet: it may be running, and what it spent counts in the window.
_FLEET_RETENTION_S = 20.0
# Shares of the descriptor and memory limits for callers; the rest is for
# connections to endpoints and peers, and for the process itself.
_CALLER_CONNECTIONS_SHARE = 0.5
_BUFFERED_BODIES_SHARE = 0.25
# Share of the memory limit for the bodies of responses that are being read.
_RESPONSE_BODIES_SHARE = 1 / 32
# Time to receive the body of a request, added to that for its header.
_BODY_TIMEOUT_S = 10.0


class Gateway:
    """A gateway with its servers and tasks."""

    def __init__(
        self, config: settings.GatewaySettings, protocols: ports.Ports
    ):
        """Creates a gateway that does not run yet.

        Args:
            config: Its settings.
            protocols: Protocol implementations of the deployment.
        """
        self._config = config
        self._protocols = protocols
        self._state = state.State(config, _now())
        self._counters = metrics.GatewayMetrics()
        self._client = http_client.Client(
            int(config["memory_mb"] * 1e6 * _RESPONSE_BODIES_SHARE)
        )
        self._updates: asyncio.Queue[ports.StateUpdate] = asyncio.Queue()
        self._notices: asyncio.Queue[gossip.Notice] = asyncio.Queue()
        self._members = self._membership()
        self._fleet_view = fleet_view.FleetView(self._members)
        self._listing = address_listing.AddressListing(
            config, self._members, self._counters, self._state.rng
        )
        # Version of the view, and number of gateways that share the retry
        # budget, that the tasks were last told.
        self._told_fleet = (-1, 0)
        self._load_exchange = loads.LoadExchange(
            config["name"],
            config["loads_address"],
            config["peer_key"],
            self._state.loads,
            lambda: self._fleet_view.current.peer_hosts,
            self._state.roster.names_with_cache,
            self._state.apply_peer_update,
        )
        self._load_queries = load_queries.LoadQueries(
            config["name"],
            self._state.loads,
            self._load_exchange.send_entries,
            lambda: self._load_exchange.is_sampling,
        )
        self._load_exchange.on_entries = self._load_queries.receive
        self._load_exchange.on_speed = self._state.apply_peer_speed
        self._load_exchange.speed_of = self._state.speeds.figure
        self._state.on_placement = self._load_exchange.queue_placement
        self._endpoint_news = endpoint_news.EndpointNews(
            self._state, self._gossip.send
        )
        self._crashes = crash_guard.CrashGuard(self._gossip.send)
        self._origins = stream_origins.OriginExchange(
            self._state,
            self._client,
            self._origin_peers,
            lambda: protocols.publications.is_current(
                config["platform_address"], self._state.roster.revision
            ),
        )
        self._links = links.EndpointLinks(
            self._state.ready_endpoints,
            self._probe_endpoint,
            self._state.outliers.clear,
            self._state.rng,
        )
        self._state.on_silence = self._links.suspect
        self._forwarder = forwarding.Forwarder(
            self._state,
            protocols,
            self._client,
            self._counters,
            self._load_exchange,
            self._load_queries,
            self._crashes,
            self._origins,
            self._links,
            peer_relay.PeerRelay(
                protocols, self._client, config["peer_key"], self._relay_peers
            ),
        )
        self._peer_sync = peers.PeerSync(
            self._state,
            protocols,
            self._client,
            self._updates,
            self._control_addresses,
            self._crashes,
        )
        self._snapshots = member_snapshots.MemberSnapshots(
            self._members,
            self._client,
            config["peer_key"],
            config.get("large_fleet_gateways", 0),
            self._control_addresses,
            lambda members: self._gossip.send(gossip.AddMembers(members)),
            self._state.rng,
        )
        self._publications = publications.Publications(
            self._state,
            self._updates,
            self._counters,
            self._gossip.send,
            self._peer_sync,
            self._origins,
        )
        self._reading_switch = ports.ReadingSwitch()
        self._reader_follower = reader_polls.ReaderFollower(
            self._state,
            self._counters,
            self._reading_switch,
            self._peer_sync.follow,
            self._peer_sync.set_following,
            lambda: self._peer_sync.behind_since,
            self._control_address,
        )
        self._cache_sync = caches.CacheSync(
            self._state,
            protocols.endpoint_protocol,
            self._client,
            lambda: self._members.alive,
            self._snapshots.wait_for_first,
        )
        self._caller_server: http_server.HttpServer | None = None
        self._servers: list[http_server.HttpServer] = []
        self._stop_times: planned_stop.Times | None = None
        self._stopped = asyncio.Event()
        retention_s = config["retry_window_s"] + _FLEET_RETENTION_S
        self._fleet = retrybudget.SeenRouters(retention_s)
        self._retry_sharers = retrybudget.SeenRouters(retention_s)

    @property
    def listening(self) -> bool:
        """Whether the server for callers has been started."""
        return self._caller_server is not None

    @property
    def ready(self) -> bool:
        """Whether callers should be directed to this gateway."""
        return (
            self.listening
            and self._state.catalog is not None
            and self._publications.has_endpoints
            and self._stop_times is None
        )

    @property
    def config(self) -> settings.GatewaySettings:
        """Settings of this gateway."""
        return self._config

    @property
    def members(self) -> membership.Membership:
        """Membership of the gateways, as seen by this one."""
        return self._members

    @property
    def crashes(self) -> crash_guard.CrashGuard:
        """What this gateway knows of requests that crash endpoints."""
        return self._crashes

    @property
    def local_state(self) -> state.State:
        """State that the tasks of this gateway share."""
        return self._state

    def stop(self) -> None:
        """Begins a graceful shutdown; repeated calls do nothing."""
        if self._stop_times is not None:
            return
        times = planned_stop.times(
            _now(), self._config["address_ttl_s"], self._config["stop_grace_s"]
        )
        self._stop_times = times
        log.emit(events.PROCESS_STOPPING, name=self._config["name"])
        self._forwarder.begin_stop(times.listens_until, times.end)
        self._gossip.send(gossip.Leave())
        self._peer_sync.end_polls_of_followers()
        if self._caller_server is not None:
            self._caller_server.disable_keep_alive()
        self._stopped.set()

    def reload(self, config: settings.GatewaySettings) -> None:
        """Applies the changed settings that need no restart."""
        current = cast(dict[str, object], self._config)
        changed = {
            key: value
            for key, value in config.items()
            if value != current.get(key)
        }
        in_force = sorted(settings.RELOADABLE_KEYS & changed.keys())
        current.update({key: changed[key] for key in in_force})
        self._send_seeds()
        log.emit(
            events.SETTINGS_RELOADED,
            name=self._config["name"],
            changed=" ".join(in_force),
            kept=" ".join(sorted(changed.keys() - settings.RELOADABLE_KEYS)),
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
        try:
            await self._listen()
            log.emit(
                events.PROCESS_STARTED,
                name=self._config["name"],
                incarnation=self._members.local.incarnation,
            )
            await self._stopped.wait()
            cut = await self._drain()
        finally:
            for task in tasks:
                task.cancel()
        await self.close()
        log.emit(
            events.PROCESS_STOPPED, name=self._config["name"], **cut._asdict()
        )
        # The process may be killed before it has exited.
        log.flush()

    async def close(self) -> None:
        """Closes all servers and their connections."""
        for server in self._servers:
            await server.close()

    def _tasks(
        self,
    ) -> list[tuple[str, Callable[[], Coroutine[None, None, None]]]]:
        return [
            ("publications", self._read_publications),
            ("news", self._publications.run),
            ("gossip", self._gossip.run),
            ("notices", self._handle_notices),
            ("loads", self._load_exchange.run),
            ("load queries", self._load_queries.run),
            ("links", self._links.run),
            ("peers", self._peer_sync.run),
            ("member snapshots", self._snapshots.run),
            ("readers", self._reader_follower.run),
            ("clock", self._tick),
            ("caches", self._cache_sync.run),
            ("origins", self._origins.run),
        ]

    async def _supervise(
        self, name: str, run: Callable[[], Coroutine[None, None, None]]
    ) -> None:
        while True:
            try:
                await run()
                return
            except Exception as caught:  # Other tasks must continue.
                reason = f"{type(caught).__name__}: {caught}"
                log.emit(events.TASK_FAILED, task=name, reason=reason)
                await asyncio.sleep(_RESTART_DELAY_S)

    async def _listen(self) -> None:
        for key, handler in (
            ("control_address", self._answer_peer),
            ("directory_address", self._answer_directory),
            ("readiness_address", self._answer_directory),
            ("metrics_address", self._answer_metrics),
        ):
            address = vms.parse_address(self._config[key])  # type: ignore[literal-required]
            self._servers.append(
                await http_server.serve(address, http_server.responder(handler))
            )
        self._caller_server = await http_server.serve(
            vms.parse_address(self._config["public_address"]),
            self._forwarder.handle,
            limits=self._limits,
            on_refused=self._log_refused,
            on_failed=self._log_failed,
        )
        self._servers.append(self._caller_server)

    def _limits(self) -> http_server.Limits:
        own = http_server.Limits(
            connections=int(
                self._config["descriptors_max"] * _CALLER_CONNECTIONS_SHARE
            ),
            buffered_body_bytes=int(
                self._config["memory_mb"] * 1e6 * _BUFFERED_BODIES_SHARE
            ),
        )
        active_catalog = self._state.catalog
        if active_catalog is None:
            return own
        limits = active_catalog.limits
        return own._replace(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            request_timeout_s=limits.header_timeout_s + _BODY_TIMEOUT_S,
            idle_timeout_s=limits.idle_timeout_s,
        )

    def _log_refused(self, error: errors.RequestError) -> None:
        log.emit(
            events.REQUEST_UNREADABLE, status=error.status, reason=str(error)
        )

    def _log_failed(self, error: Exception) -> None:
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
            addresses = self._public_addresses(directory.caller_zone(request))
            if not addresses:
                return http_server.Response(503, [], b"")
            return directory.address_response(
                addresses, self._config["address_ttl_s"]
            )
        return http_server.Response(404, [], b"")

    async def _answer_peer(
        self, request: http_server.Request
    ) -> http_server.Response:
        path = request.target.partition("?")[0]
        if path == origin_replicas.PATH:
            return await self._origins.handle(request)
        if path == member_snapshots.PATH:
            return self._snapshots.handle()
        return await self._peer_sync.handle(request)

    async def _answer_metrics(
        self, request: http_server.Request
    ) -> http_server.Response:
        self._counters.set_endpoint_count(len(self._state.roster.endpoints))
        headers = [("Content-Type", metrics.CONTENT_TYPE)]
        return http_server.Response(200, headers, self._counters.render())

    def _public_addresses(self, caller_zone: str = "") -> list[str]:
        """Returns public addresses of gateways believed to be up.

        In a large fleet they are selected for the zone of the caller;
        otherwise they are those of all gateways.

        A gateway that receives no reports from any peer may itself be cut off
        from the network, so it still lists them. It omits them once they have
        been silent for longer while the platform responds to it.
        """
        members = self._members.members
        own = self._config["name"]
        alive_peers = set(self._members.alive) - {own}
        reachable = alive_peers & set(self._members.reachable)
        listed = reachable - self._load_exchange.silent_peers()
        if not listed and not self._is_only_gateway(reachable):
            listed = alive_peers
        names = listed | ({own} if self.ready else set())
        if self._listing.is_large(len(names)):
            return self._listing.select(sorted(names), caller_zone, _now())
        return [members[name].public_address for name in sorted(names)]

    def _is_only_gateway(self, reachable: set[str]) -> bool:
        silent = self._load_exchange.silent_peers(_DOWN_AFTER_REPORTS)
        return self.ready and not (
            self._peer_sync.is_platform_unavailable or reachable - silent
        )

    # Peers.

    def _membership(self) -> membership.Membership:
        rng = random.Random(secrets.randbits(64))
        local_member = membership.Member(
            self._config["name"],
            secrets.randbits(48),
            self._config["public_address"],
            self._config["peer_address"],
            self._config["zone"],
            capacity=address_listing.announced_capacity(self._config),
        )
        disseminator = dissemination.Disseminator(rng)
        members = membership.Membership(
            local_member, rng, disseminator=disseminator
        )
        self._gossip = gossip.Gossip(
            {
                "peer_address": self._config["peer_address"],
                "peer_key": self._config["peer_key"],
            },
            members,
            disseminator,
            self._notices,
        )
        self._send_seeds()
        return members

    def _send_seeds(self) -> None:
        port = vms.parse_address(self._config["peer_address"]).port
        contacts = [
            f"{vms.parse_address(seed).host}:{port}"
            for seed in self._config["seeds"]
        ]
        self._gossip.send(gossip.Seed(contacts))

    def _relay_peers(self) -> list[peer_relay.Peer]:
        """Returns the peers that may reach endpoints, nearest first."""
        members = self._members.members
        silent = self._load_exchange.silent_peers()
        names = [
            name
            for name in self._members.alive
            if name != self._config["name"] and name not in silent
        ]
        self._state.rng.shuffle(names)
        names.sort(key=lambda name: members[name].zone != self._config["zone"])
        return [
            peer_relay.Peer(
                name, vms.parse_address(members[name].public_address)
            )
            for name in names
        ]

    async def _probe_endpoint(self, endpoint: roster.Endpoint) -> None:
        await self._client.probe(vms.parse_address(endpoint.address))

    def _origin_peers(self) -> dict[str, origin_replicas.Peer]:
        """Returns the live peers by name.

        A gateway that has met none yet takes the addresses that it knows.
        """
        port = self._control_port
        members = self._members.members
        live = {
            name: origin_replicas.Peer(
                vms.Address(host, port), members[name].incarnation
            )
            for name, host in self._fleet_view.current.alive_hosts.items()
            if name != self._config["name"]
        }
        return live or {
            str(address): origin_replicas.Peer(address, 0)
            for address in self._control_addresses()
        }

    @property
    def _control_port(self) -> int:
        """Port of the control address, the same at all gateways."""
        return vms.parse_address(self._config["control_address"]).port

    def _control_address(self, name: str) -> vms.Address:
        """Returns the control address of a peer.

        Raises:
            KeyError: It is no member.
        """
        member = self._members.members[name]
        host = vms.parse_address(member.peer_address).host
        return vms.Address(host, self._control_port)

    def _control_addresses(self) -> list[vms.Address]:
        port = self._control_port
        hosts = {
            *self._fleet_view.current.peer_hosts,
            *(vms.parse_address(seed).host for seed in self._config["seeds"]),
        }
        own = vms.parse_address(self._config["control_address"]).host
        return [vms.Address(host, port) for host in sorted(hosts - {own})]

    async def _handle_notices(self) -> None:
        while True:
            notice = await self._notices.get()
            match notice:
                case gossip.PeerConfiguration(name, version, _):
                    active_catalog = self._state.catalog
                    if (
                        active_catalog is None
                        or version > active_catalog.version
                    ):
                        self._record_announcement(name, version)
                case gossip.Paused(seconds):
                    self._peer_sync.handle_pause(seconds)
                case gossip.ItemReceived():
                    if not self._endpoint_news.receive(notice):
                        self._crashes.receive(notice, _now())

    def _record_announcement(self, name: str, version: int) -> None:
        """Tells the synchronization that a peer has a newer configuration."""
        member = self._members.members.get(name)
        if member is None:
            # It has been removed since it announced the version.
            return
        self._peer_sync.record_announcement(
            name, self._control_address(name), version
        )

    # Publications of the platform.

    async def _read_publications(self) -> None:
        await self._protocols.publications.run(
            self._config["platform_address"],
            self._config["leave_limit_ms"] / 1000,
            self._updates,
            self._state.can_evacuate,
            self._reading_switch,
        )

    # Periodic work and shutdown.

    async def _tick(self) -> None:
        last_boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        while True:
            now = _now()
            await asyncio.sleep(ticks.next_tick(now, _TICK_S) - now)
            log.flush()
            boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
            if boot_s - last_boot_s > _TICK_S + _PAUSE_MIN_S:
                log.emit(events.CLOCK_GAP, seconds=boot_s - last_boot_s)
                self._load_exchange.reset_silence()
                self._cache_sync.resync()
                self._peer_sync.handle_pause(boot_s - last_boot_s)
            last_boot_s = boot_s
            now = _now()
            self._publications.expire(now)
            self._update_fleet(now)
            self._listing.measure(now)
            self._crashes.expire(now)
            self._state.cold.retain(now)
            self._state.rate_limits.retain(self._state.roster.endpoints, now)

    def _update_fleet(self, now: float) -> None:
        view = self._fleet_view.current
        listed = len(set(self._config["seeds"]))
        self._fleet.record(view.alive_names, listed, now)
        self._state.fleet_size = self._fleet.count
        if self._config.get("large_fleet_gateways"):
            self._reader_follower.update(
                lambda: view.alive_zones, self._fleet.count
            )
        self._retry_sharers.record(self._retry_sharer_names(), listed, now)
        self._state.retry_sharers = self._retry_sharers.count
        sharers = self._retry_sharers.count
        if (view.version, sharers) != self._told_fleet:
            self._told_fleet = view.version, sharers
            self._state.rate_limits.set_routers(view.alive, now, sharers)
            self._load_queries.set_hosts(view.alive_hosts)

    def _retry_sharer_names(self) -> frozenset[str]:
        """Returns the gateways that may be running and spending retries."""
        return self._fleet_view.current.retry_sharers

    async def _drain(self) -> http_server.OpenWork:
        """Serves the open connections until none is left or the grace is over.

        Requests that are still open at the end of the grace period are
        answered that their outcome is unknown, or that they have not run.

        Returns:
            What the connections that are still open have to do.
        """
        assert self._stop_times is not None
        assert self._caller_server is not None
        end = self._stop_times.end
        await planned_stop.drain_callers(self._caller_server, self._stop_times)
        work = self._caller_server.open_work
        if work.connections:
            log.emit(
                events.STOP_GRACE_OVER,
                name=self._config["name"],
                **work._asdict(),
            )
            self._forwarder.end_requests()
        self._gossip.send(gossip.Stop())
        return await planned_stop.drain(self._servers, end)


def _now() -> float:
    return asyncio.get_running_loop().time()
