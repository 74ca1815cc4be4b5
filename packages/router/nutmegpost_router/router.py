"""The router process put together: its tasks and the messages between them."""

import asyncio
import random
import secrets
import time
from typing import Any

import xxhash

from nutmegpost_core import acceptance
from nutmegpost_core import burn
from nutmegpost_core import charts
from nutmegpost_core import configuration
from nutmegpost_core import dissemination
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import invariants
from nutmegpost_core import membership
from nutmegpost_core import permits
from nutmegpost_core import quarantine
from nutmegpost_core import vms
from nutmegpost_core import wire
from nutmegpost_router import admin
from nutmegpost_router import entry
from nutmegpost_router import feeds
from nutmegpost_router import gossip
from nutmegpost_router import handover
from nutmegpost_router import http_client
from nutmegpost_router import http_server
from nutmegpost_router import log
from nutmegpost_router import metrics
from nutmegpost_router import owner
from nutmegpost_router import peers
from nutmegpost_router import relay
from nutmegpost_router import rollouts
from nutmegpost_router import services
from nutmegpost_router import settings
from nutmegpost_router import status
from nutmegpost_router import view
from nutmegpost_router import watcher

__all__ = ["Router"]

SUMS_INTERVAL_S = 0.1
# Above this many routers the loads of others come by gossip alone.
SUMS_PEERS_MAX = 16
# A call may wait at its holder for its endpoint, and a hop lies between.
FORWARD_TIMEOUT_S = 15.0
CONNECT_INTERVAL_S = 1.0
JOIN_INTERVAL_S = 0.1
# Longest wait at the start for routers of the VM list that do not answer.
JOIN_LIMIT_S = 3.0
DRAIN_INTERVAL_S = 0.05
STOP_GRACE_S = 600.0
# Whole seconds for which an endpoint stays out on a router's word alone.
LEAVING_LIFETIME_S = 30
LOST_LIFETIME_S = 5
LOST_DOUBLINGS_MAX = 3
BURN_WINDOW_S = 60.0
# Fewest requests in the window that give a burn rate.
BURN_COUNT_LEAST = 10
MAJORITY = 0.5
UPKEEP_INTERVAL_S = 0.05
GOODBYE_S = 0.3


class Router:
    """One router process."""

    def __init__(self, config: settings.Settings):
        """Prepares the router.

        Args:
            config: Its settings.
        """
        self._config = config
        self._name = config["name"]
        self._incarnation = secrets.randbits(48)
        self._began = time.monotonic()
        self._joining_since = self._began
        self._chart = charts.Chart("router")
        self._stop_asked = asyncio.Event()
        self._metrics = metrics.Metrics()
        self._burn = burn.BurnCounter([])
        self._client = http_client.Client()
        self._view = view.View(self._name, config["zone"])
        self._quarantine = quarantine.Quarantine(self._name)
        self._notices: asyncio.Queue[Any] = asyncio.Queue()
        self._sums_due = asyncio.Event()
        self._lost_times: dict[str, int] = {}
        self._connected_at: dict[str, float] = {}
        self._tasks: list[asyncio.Task[Any]] = []
        self._owner = owner.Owner(
            self._view, self._client, self._quarantine, self._observer()
        )
        self._links = peers.Links(
            peers.Peer(self._name, self._incarnation),
            config["peer_key"].encode(),
            self._peer_address,
            self._serve_peer,
        )
        self._gossip = self._make_gossip()
        self._permits = permits.Table(
            self._name,
            self._incarnation,
            config["peer_key"].encode(),
            self._now(),
        )
        self._services = self._make_services()
        self._acceptance = acceptance.Acceptance()
        self._entry = entry.Entry(self._entry_ports())
        self._watcher = watcher.Watcher(
            vms.parse_address(config["platform_address"]),
            self._client,
            self._acceptance,
            self._notices,
            self._fetch_from_peer,
        )
        self._rollouts = rollouts.Rollouts(self._rollout_ports())
        self._handover = handover.Handover(
            self._permits, self._links, self._gossip
        )

    @property
    def serving(self) -> bool:
        """Whether new requests are taken."""
        return self._chart.state == "serving"

    async def run(self) -> None:
        """Runs until `stop`.

        Raises:
            OSError: An address of the settings cannot be used.
        """
        log.emit(
            events.PROCESS_STARTED,
            name=self._name,
            incarnation=self._incarnation,
        )
        invariants.install(self._violated)
        self._chart.fire("join")
        public, administration = await self._listen()
        self._start_tasks()
        await self._stop_asked.wait()
        await self._drain(public)
        self._gossip.send(gossip.Stop())
        await asyncio.sleep(GOODBYE_S)
        self._owner.stop()
        await self._links.close()
        await public.close()
        await administration.close()
        for task in self._tasks:
            task.cancel()
        self._client.close()
        self._chart.fire("finish")
        log.emit(events.PROCESS_STOPPED, name=self._name)

    def stop(self) -> None:
        """Begins the planned stop."""
        self._stop_asked.set()

    # Parts

    def _observer(self) -> owner.Observer:
        return owner.Observer(
            load_changed=self._sums_due_now,
            engine_leaving=lambda name: self._take_out(
                name, LEAVING_LIFETIME_S
            ),
            engine_unreachable=self._take_out_lost,
            request_retried=self._metrics.retried,
            event_dropped=self._metrics.frame_dropped,
            load_reported=self._engine_reported,
        )

    def _make_gossip(self) -> gossip.Gossip:
        config = self._config
        rng = random.Random(self._incarnation)
        riders = dissemination.Disseminator(rng)
        me = membership.Member(
            self._name,
            self._incarnation,
            config["public_address"],
            config["peer_address"],
            config["zone"],
        )
        members = membership.Membership(
            me, rng, membership.Timing(), disseminator=riders
        )
        return gossip.Gossip(config, members, riders, self._notices)

    def _make_services(self) -> services.ServiceCaller:
        return services.ServiceCaller(
            self._permits,
            services.Ports(
                client=self._client,
                operation=self._operation,
                runners=self._runners,
                forward=self._forward_call,
                now=self._now,
                observe=self._metrics.permit_event,
            ),
        )

    def _entry_ports(self) -> entry.EntryPorts:
        return entry.EntryPorts(
            view=self._view,
            relay=relay.Ports(
                view=self._view,
                answers=self._owner.handle_request,
                converse=self._links.converse,
                resumed=lambda: self._metrics.resumed("owner"),
                dropped=self._metrics.frame_dropped,
            ),
            addresses=self._addresses,
            issue=self._issue,
            call=self._services.call,
            doubt=self._services.doubt,
            taking=lambda: self.serving and self._view.configured,
            metrics=self._metrics,
            burn=self._burn,
        )

    def _rollout_ports(self) -> rollouts.Ports:
        return rollouts.Ports(
            client=self._client,
            published=lambda: self._acceptance.in_force,
            engines=self._view.pool,
            owned=lambda: list(self._owner.tasks),
            owner=self._view.owner,
            address=lambda name: self._view.endpoints[name].address,
            report=self._owner.report,
            drain=self._owner.drain,
            burn=lambda model: self._burn.rate(
                model, BURN_WINDOW_S, self._now(), BURN_COUNT_LEAST
            ),
            may_begin=self._may_begin,
            is_fresh=self._is_fresh,
            tell=self._tell_others,
            now=self._now,
        )

    async def _listen(
        self,
    ) -> tuple[http_server.HttpServer, http_server.HttpServer]:
        config = self._config
        await self._links.listen(vms.parse_address(config["peer_address"]))
        public = await http_server.serve(
            vms.parse_address(config["public_address"]),
            self._entry.handle,
            on_refused=self._request_refused,
            on_failed=self._request_failed,
        )
        handle = admin.handlers(self._admin_source(), config["admin_key"])
        administration = await http_server.serve(
            vms.parse_address(config["admin_address"]),
            http_server.responder(handle),
            on_refused=self._request_refused,
            on_failed=self._request_failed,
        )
        return public, administration

    def _start_tasks(self) -> None:
        for name, work in (
            ("gossip", self._gossip.run),
            ("watcher", self._watcher.run),
            ("sweep", self._owner.sweep),
            ("rollouts", self._rollouts.run),
            ("sums", self._send_sums),
            ("upkeep", self._keep_up),
            ("notices", self._handle_notices),
            ("join", self._join),
        ):
            self._tasks.append(asyncio.create_task(self._keep(name, work)))

    async def _keep(self, name: str, work: Any) -> None:
        """Runs a task again when a fault ends it."""
        while True:
            try:
                await work()
                return
            except Exception as caught:  # A fault must not end the process.
                log.emit(events.TASK_FAILED, task=name, reason=repr(caught))
                await asyncio.sleep(DRAIN_INTERVAL_S)

    # Notices

    async def _handle_notices(self) -> None:
        while True:
            notice = await self._notices.get()
            self._handle(notice)

    def _handle(self, notice: Any) -> None:
        match notice:
            case watcher.VmsChanged():
                self._take_vms(notice.listed)
            case watcher.ConfigurationInForce():
                self._take_configuration(notice)
            case gossip.MemberChanged():
                self._take_member(notice.member)
            case gossip.RumourArrived():
                self._take_rumour(notice)
            case gossip.PeerConfiguration():
                self._watcher.peer_has(
                    notice.name, notice.version, notice.digest
                )
            case gossip.Paused():
                self._refresh()

    def _take_vms(self, listed: vms.VmList) -> None:
        self._view.set_vms(listed)
        addresses = [vm["peer_address"] for vm in self._view.router_vms()]
        self._gossip.send(gossip.Seed(addresses))
        self._reconcile()

    def _take_configuration(self, notice: watcher.ConfigurationInForce) -> None:
        published = notice.published
        self._view.configure(published)
        self._burn.set_classes(published.document["classes"])
        self._metrics.set_configuration_version(published.version)
        self._gossip.send(
            gossip.SetConfiguration(published.version, published.digest)
        )
        self._reconcile()

    def _take_member(self, member: membership.Member) -> None:
        self._view.set_routers(self._live_routers())
        if member.state in (membership.State.DEAD, membership.State.LEFT):
            self._view.loads.forget(member.name)
            self._spawn(self._links.drop(member.name))
        self._reconcile()
        self._sums_due_now()

    def _live_routers(self) -> list[str]:
        alive = list(self._gossip.members.alive)
        if self._chart.state == "stopping":
            return [name for name in alive if name != self._name]
        return alive

    def _take_rumour(self, rumour: gossip.RumourArrived) -> None:
        if rumour.kind is dissemination.Kind.ENDPOINT_LEAVING:
            self._take_leaving(rumour)
        elif rumour.kind is dissemination.Kind.SUSPECT_REQUEST:
            self._take_suspect(rumour)
        elif rumour.kind is dissemination.Kind.SUCCESSOR:
            self._handover.learn(rumour.payload, self._now())

    def _reconcile(self) -> None:
        if not self._view.configured:
            return
        if self._chart.state == "stopping":
            self._owner.release_all()
            return
        if self._chart.state == "joining" and self._has_joined():
            self._chart.fire("serve")
        if self.serving:
            self._owner.reconcile()

    def _refresh(self) -> None:
        """Joins anew after a pause, before this router acts on old views."""
        self._watcher.refresh()
        if self._chart.allows("refresh"):
            self._chart.fire("refresh")
            self._spawn(self._join())

    def _has_joined(self) -> bool:
        """Whether the other routers were heard, or had time to answer."""
        if not self._view.vm_version or not self._acceptance.ready:
            return False
        if self._gossip.members.is_stale:
            return False
        members = self._gossip.members.members
        others = [
            members[name]
            for name in self._view.routers
            if name in members and name != self._name
        ]
        versions = [member.config_version for member in others]
        if max(versions, default=0) > self._acceptance.version:
            # Nobody may be served below what is in force elsewhere.
            return False
        listed = {vm["name"] for vm in self._view.router_vms()}
        is_told = listed <= set(self._view.routers) and all(versions)
        waited = time.monotonic() - self._joining_since
        return is_told or waited > JOIN_LIMIT_S

    async def _join(self) -> None:
        """Looks until this router serves whether it has joined."""
        self._joining_since = time.monotonic()
        while self._chart.state == "joining":
            await asyncio.sleep(JOIN_INTERVAL_S)
            self._reconcile()

    # Loads

    def _sums_due_now(self) -> None:
        self._sums_due.set()

    async def _send_sums(self) -> None:
        while True:
            try:
                async with asyncio.timeout(SUMS_INTERVAL_S):
                    await self._sums_due.wait()
            except TimeoutError:
                pass
            self._sums_due.clear()
            now = self._now()
            if self._view.loads.sums_due(now):
                self._broadcast_sums(now)

    def _broadcast_sums(self, now: float) -> None:
        others = [n for n in self._gossip.members.alive if n != self._name]
        if not others or len(others) >= SUMS_PEERS_MAX:
            return
        message = self._view.loads.sums(now)
        size = len(wire.encode(message))
        for name in others:
            if self._links.notify(name, message):
                self._metrics.control_sent("sums", size)
            else:
                self._connect_soon(name)

    def _connect_soon(self, name: str) -> None:
        now = time.monotonic()
        if now - self._connected_at.get(name, 0.0) < CONNECT_INTERVAL_S:
            return
        self._connected_at[name] = now
        self._spawn(self._connect(name))

    async def _connect(self, name: str) -> None:
        try:
            await self._links.connect(name)
        except peers.LinkError as caught:
            log.emit(events.LINK_LOST, peer=name, reason=str(caught))

    # Peers

    def _peer_address(self, name: str) -> vms.Address | None:
        member = self._gossip.members.members.get(name)
        if member is None:
            return None
        return vms.parse_address(member.peer_address)

    async def _serve_peer(
        self, peer: str, message: wire.Message, send: peers.Send
    ) -> None:
        match message:
            case wire.Submit():
                await self._owner.handle_peer_request(message, send)
            case wire.PoolLoads():
                self._view.loads.apply_sums(peer, message, self._now())
                self._owner.wake()
            case wire.Call():
                send(await self._services.serve(message))
            case wire.EngineStatuses():
                self._rollouts.learn(peer, message)
            case wire.Withdraw():
                send(self._owner.withdraw(message))
            case wire.Handover():
                send(self._handover.adopt(message, self._now()))
            case wire.ConfigurationRequest():
                send(self._configuration_reply())

    def _configuration_reply(self) -> wire.ConfigurationReply:
        published = self._acceptance.in_force
        if published is None:
            return wire.ConfigurationReply(0, b"")
        return wire.ConfigurationReply(published.version, published.data)

    async def _ask(
        self, name: str, message: wire.Message, timeout_s: float
    ) -> wire.Message:
        """Sends a message to a peer and returns its one answer."""
        conversation = await self._links.converse(name, message)
        try:
            async with asyncio.timeout(timeout_s):
                reply = await conversation.inbox.get()
        except TimeoutError:
            raise errors.PeerError(f"no answer of {name}") from None
        finally:
            conversation.close()
        if isinstance(reply, peers.LinkLost):
            raise errors.PeerError(f"link to {name} is lost")
        return reply

    async def _fetch_from_peer(self, name: str) -> bytes:
        reply = await self._ask(
            name, wire.ConfigurationRequest(), watcher.PEER_TIMEOUT_S
        )
        if not isinstance(reply, wire.ConfigurationReply):
            raise errors.PeerError(f"no configuration from {name}")
        return reply.data

    async def _forward_call(
        self, call: wire.Call, name: str
    ) -> wire.CallResult:
        reply = await self._ask(name, call, FORWARD_TIMEOUT_S)
        if not isinstance(reply, wire.CallResult):
            raise errors.PeerError(f"no result from {name}")
        return reply

    def _operation(self, service: str, name: str) -> configuration.Operation:
        return self._view.directory.operation(service, name)

    def _runners(self, service: str) -> list[services.Runner]:
        endpoints = self._view.endpoints
        return [
            services.Runner(name, endpoints[name].address, 0)
            for name in self._view.pool(service)
        ]

    # Endpoints

    def _take_out_lost(self, name: str) -> None:
        """Takes out an endpoint for longer each time it is lost again."""
        times = self._lost_times.get(name, 0)
        self._lost_times[name] = times + 1
        lifetime_s = LOST_LIFETIME_S * 2 ** min(times, LOST_DOUBLINGS_MAX)
        self._take_out(name, lifetime_s)

    def _take_out(self, name: str, lifetime_s: int) -> None:
        """Takes an endpoint out here and tells the others."""
        if not self._view.leave(name, self._now() + lifetime_s):
            return
        self._gossip.send(
            gossip.Publish(
                dissemination.Kind.ENDPOINT_LEAVING,
                name.encode(),
                bytes([lifetime_s]),
                lifetime_s,
            )
        )
        # The caller is a task that this change may release.
        asyncio.get_running_loop().call_soon(self._reconcile)

    def _take_leaving(self, rumour: gossip.RumourArrived) -> None:
        lifetime_s = rumour.payload[0] if rumour.payload else 0
        name = rumour.key.decode(errors="replace")
        if self._view.leave(name, self._now() + lifetime_s):
            self._reconcile()

    async def _keep_up(self) -> None:
        """Ages what is known and tells of requests that crash engines."""
        while True:
            await asyncio.sleep(UPKEEP_INTERVAL_S)
            now = self._now()
            if self._view.expire(now):
                self._reconcile()
            self._quarantine.note_reachability(self._is_whole(), now)
            self._quarantine.expire(now)
            for report in self._quarantine.reports():
                self._gossip.send(
                    gossip.Publish(
                        dissemination.Kind.SUSPECT_REQUEST,
                        report.key,
                        report.payload,
                        report.lifetime_s,
                    )
                )

    def _is_whole(self) -> bool:
        listed = [vm["name"] for vm in self._view.router_vms()]
        in_doubt = self._gossip.members.is_stale
        return not in_doubt and quarantine.reaches_all_routers(
            listed, self._view.routers
        )

    def _take_suspect(self, rumour: gossip.RumourArrived) -> None:
        try:
            exposed = self._quarantine.apply_report(
                rumour.key, rumour.payload, self._now()
            )
        except errors.PeerError as caught:
            log.emit(events.SUSPECT_MALFORMED, reason=str(caught))
            return
        digest = rumour.key[: quarantine.DIGEST_BYTES]
        self._owner.cancel_exposed(exposed, digest)

    def _engine_reported(self, engine: str, report: feeds.LoadReport) -> None:
        self._lost_times.pop(engine, None)
        fence = report.get("fence") or [0]
        self._acceptance.observe_version(fence[0])

    def _may_begin(self) -> bool:
        """Whether engines may be taken out; never in a lesser part."""
        in_doubt = self._gossip.members.is_stale
        return (
            self.serving
            and not in_doubt
            and not self._acceptance.has_conflict
            and self._view.reach > MAJORITY
        )

    async def _is_fresh(self) -> bool:
        return self._may_begin() and await self._watcher.confirm()

    def _tell_others(self, message: wire.EngineStatuses) -> None:
        size = len(wire.encode(message))
        for name in self._links.open_peers:
            if self._links.notify(name, message):
                self._metrics.control_sent("standings", size)

    # Callers

    def _addresses(self, model: str, chat_name: str) -> list[str]:
        members = self._gossip.members.members
        names = [name for name in self._live_routers() if name in members]
        first = ""
        if model and names:
            home = self._view.placement.ring_engine(model, chat_name)
            first = self._view.owner(home) if home else ""
        names.sort(
            key=lambda name: (
                name != first,
                xxhash.xxh3_64_intdigest(f"{chat_name} {name}".encode()),
            )
        )
        return [members[name].public_address for name in names]

    def _issue(self, account: str) -> str:
        permit = self._permits.issue(account, self._now())
        self._metrics.permit_event("issued")
        return permit

    def _admin_source(self) -> admin.AdminSource:
        return status.source(
            status.Parts(
                incarnation=self._incarnation,
                state=lambda: self._chart.state,
                uptime_s=lambda: time.monotonic() - self._began,
                view=self._view,
                owner=self._owner,
                members=self._gossip.members,
                acceptance=self._acceptance,
                burn=self._burn,
                metrics=self._metrics,
                open_requests=lambda: self._entry.open,
            )
        )

    # Stop

    async def _drain(self, public: http_server.HttpServer) -> None:
        log.emit(events.PROCESS_STOPPING, name=self._name)
        self._chart.fire("stop")
        self._gossip.send(gossip.Leave())
        self._view.set_routers(self._live_routers())
        self._reconcile()
        grace = self._config.get("stop_grace_s", STOP_GRACE_S)
        try:
            async with asyncio.timeout(grace):
                await self._handover.run(self._live_routers)
                while self._busy():
                    await asyncio.sleep(DRAIN_INTERVAL_S)
        except TimeoutError:
            log.emit(events.STOP_GRACE_OVER, name=self._name)
        public.drain()

    def _busy(self) -> bool:
        return bool(
            self._entry.open or self._owner.in_flight or self._permits.running
        )

    # Faults

    def _violated(self, event: events.Event, fields: dict[str, Any]) -> None:
        log.emit(event, **fields)
        self._metrics.invariant_violated(event.number)

    def _request_refused(self, error: errors.RequestError) -> None:
        log.emit(events.REQUEST_REFUSED, code=error.code, reason=str(error))
        self._metrics.request_ended("", error.outcome.value, error.code)

    def _request_failed(self, error: Exception) -> None:
        log.emit(events.TASK_FAILED, task="request", reason=repr(error))
        self._metrics.fault_caught("request")

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    def _now(self) -> float:
        return time.monotonic()
