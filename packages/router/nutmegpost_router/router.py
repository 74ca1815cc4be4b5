"""The router process.

It creates the components, runs their tasks and passes messages between them.
"""

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
from nutmegpost_router import planned_stop
from nutmegpost_router import relay
from nutmegpost_router import rollouts
from nutmegpost_router import services
from nutmegpost_router import settings
from nutmegpost_router import status
from nutmegpost_router import view
from nutmegpost_router import watcher

__all__ = ["Router"]

LOAD_BROADCAST_INTERVAL_S = 0.1
# With this many other routers or more, loads are not broadcast.
LOAD_BROADCAST_PEERS_MAX = 16
# Covers the wait for an endpoint at the holder of the permit and one hop
# between routers.
FORWARD_TIMEOUT_S = 15.0
RECONNECT_INTERVAL_S = 1.0
JOIN_POLL_INTERVAL_S = 0.1
# Longest wait while joining for listed routers that do not answer.
JOIN_TIMEOUT_S = 3.0
DRAIN_POLL_INTERVAL_S = 0.05
STOP_GRACE_S = 600.0
# How long the report of one router keeps an endpoint out of service. Whole
# seconds, because gossip carries the lifetime in one byte.
LEAVING_LIFETIME_S = 30
LOST_LIFETIME_S = 5
LOST_DOUBLINGS_MAX = 3
BURN_WINDOW_S = 60.0
# With fewer requests in the window there is no burn rate.
BURN_REQUESTS_MIN = 10
MAJORITY_SHARE = 0.5
UPKEEP_INTERVAL_S = 0.05
# Lets gossip send the last announcement before the process ends.
LEAVE_DELIVERY_S = 0.3


class Router:
    """One router process."""

    def __init__(self, config: settings.Settings):
        """Creates a router that is not running yet.

        Args:
            config: Settings of the router.
        """
        self._config = config
        self._name = config["name"]
        self._incarnation = secrets.randbits(48)
        self._started_at = time.monotonic()
        self._joining_since = self._started_at
        self._chart = charts.Chart("router")
        self._stop_requested = asyncio.Event()
        self._metrics = metrics.Metrics()
        self._burn = burn.BurnCounter([])
        self._client = http_client.Client()
        self._view = view.View(self._name, config["zone"])
        self._quarantine = quarantine.Quarantine(self._name)
        self._notices: asyncio.Queue[Any] = asyncio.Queue()
        self._load_broadcast_due = asyncio.Event()
        self._loss_counts: dict[str, int] = {}
        self._last_connect_at: dict[str, float] = {}
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
        """Whether the router accepts new requests."""
        return self._chart.state == "serving"

    async def run(self) -> None:
        """Runs until `stop` is called and the drain has finished.

        Raises:
            OSError: The process cannot listen on an address of the settings.
        """
        log.emit(
            events.PROCESS_STARTED,
            name=self._name,
            incarnation=self._incarnation,
        )
        invariants.install(self._invariant_violated)
        self._chart.fire("join")
        public, administration = await self._listen()
        self._start_tasks()
        await self._stop_requested.wait()
        end = self._now() + self._config.get("stop_grace_s", STOP_GRACE_S)
        await self._drain(public, end)
        self._gossip.send(gossip.Stop())
        await asyncio.sleep(LEAVE_DELIVERY_S)
        cut = await planned_stop.drain([public, administration], end)
        self._owner.stop()
        await self._links.close()
        await public.close()
        await administration.close()
        for task in self._tasks:
            task.cancel()
        self._client.close()
        self._chart.fire("finish")
        log.emit(events.PROCESS_STOPPED, name=self._name, **cut._asdict())

    def stop(self) -> None:
        """Starts the graceful shutdown; `run` returns after the drain."""
        self._stop_requested.set()

    # Components

    def _observer(self) -> owner.Observer:
        return owner.Observer(
            load_changed=self._request_load_broadcast,
            engine_leaving=lambda name: self._take_endpoint_out(
                name, LEAVING_LIFETIME_S
            ),
            engine_unreachable=self._take_lost_endpoint_out,
            request_retried=self._metrics.retried,
            event_dropped=self._metrics.frame_dropped,
            load_reported=self._note_engine_report,
        )

    def _make_gossip(self) -> gossip.Gossip:
        config = self._config
        rng = random.Random(self._incarnation)
        disseminator = dissemination.Disseminator(rng)
        self_member = membership.Member(
            self._name,
            self._incarnation,
            config["public_address"],
            config["peer_address"],
            config["zone"],
        )
        members = membership.Membership(
            self_member, rng, membership.Timing(), disseminator=disseminator
        )
        return gossip.Gossip(config, members, disseminator, self._notices)

    def _make_services(self) -> services.ServiceCaller:
        return services.ServiceCaller(
            self._permits,
            services.Ports(
                client=self._client,
                operation=self._operation,
                runners=self._runners,
                forward=self._forward_call,
                now=self._now,
                count_permit_event=self._metrics.permit_event,
            ),
        )

    def _entry_ports(self) -> entry.Ports:
        return entry.Ports(
            view=self._view,
            relay=relay.Ports(
                view=self._view,
                submit_locally=self._owner.handle_request,
                submit_to_peer=self._links.start_conversation,
                on_resumed=lambda: self._metrics.resumed("owner"),
                on_dropped=self._metrics.frame_dropped,
            ),
            router_addresses=self._router_addresses,
            issue_permit=self._issue_permit,
            call_service=self._services.call,
            mark_outcome_unknown=self._services.mark_outcome_unknown,
            accepts_requests=lambda: self.serving and self._view.is_configured,
            metrics=self._metrics,
            burn=self._burn,
        )

    def _rollout_ports(self) -> rollouts.Ports:
        return rollouts.Ports(
            client=self._client,
            published=lambda: self._acceptance.in_force,
            engines=self._view.pool_endpoints,
            owned=lambda: list(self._owner.tasks),
            owner=self._view.owner,
            address=lambda name: self._view.endpoints[name].address,
            report=self._owner.report,
            drain=self._owner.drain,
            burn=lambda model: self._burn.rate(
                model, BURN_WINDOW_S, self._now(), BURN_REQUESTS_MIN
            ),
            may_begin=self._may_drain_engines,
            is_current=self._confirm_current,
            broadcast=self._broadcast_engine_statuses,
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
        handle = admin.make_handler(
            self._make_admin_source(), config["admin_key"]
        )
        administration = await http_server.serve(
            vms.parse_address(config["admin_address"]),
            http_server.responder(handle),
            on_refused=self._request_refused,
            on_failed=self._request_failed,
        )
        return public, administration

    def _start_tasks(self) -> None:
        for name, run in (
            ("gossip", self._gossip.run),
            ("watcher", self._watcher.run),
            ("sweep", self._owner.sweep),
            ("rollouts", self._rollouts.run),
            ("sums", self._run_load_broadcast),
            ("upkeep", self._run_upkeep),
            ("notices", self._handle_notices),
            ("join", self._join),
        ):
            self._tasks.append(asyncio.create_task(self._supervise(name, run)))

    async def _supervise(self, name: str, run: Any) -> None:
        """Runs a task and restarts it when it raises an exception."""
        while True:
            try:
                await run()
                return
            except Exception as caught:  # One task must not end the process.
                log.emit(events.TASK_FAILED, task=name, reason=repr(caught))
                await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    # Notices

    async def _handle_notices(self) -> None:
        while True:
            notice = await self._notices.get()
            self._handle_notice(notice)

    def _handle_notice(self, notice: Any) -> None:
        match notice:
            case watcher.VmsChanged():
                self._apply_vms(notice.listed)
            case watcher.ConfigurationInForce():
                self._apply_configuration(notice)
            case gossip.MemberChanged():
                self._apply_member_change(notice.member)
            case gossip.ItemReceived():
                self._apply_gossip_item(notice)
            case gossip.PeerConfiguration():
                self._watcher.observe_peer_version(
                    notice.name, notice.version, notice.digest
                )
            case gossip.Paused():
                self._rejoin()

    def _apply_vms(self, listed: vms.VmList) -> None:
        self._view.set_vms(listed)
        addresses = [vm["peer_address"] for vm in self._view.router_vms()]
        self._gossip.send(gossip.Seed(addresses))
        self._reconcile()

    def _apply_configuration(
        self, notice: watcher.ConfigurationInForce
    ) -> None:
        published = notice.published
        self._view.set_configuration(published)
        self._burn.set_classes(published.document["classes"])
        self._metrics.set_configuration_version(published.version)
        self._gossip.send(
            gossip.SetConfiguration(published.version, published.digest)
        )
        self._reconcile()

    def _apply_member_change(self, member: membership.Member) -> None:
        self._view.set_routers(self._live_routers())
        if member.state in (membership.State.DEAD, membership.State.LEFT):
            self._view.loads.forget(member.name)
            self._spawn(self._links.close_link(member.name))
        self._reconcile()
        self._request_load_broadcast()

    def _live_routers(self) -> list[str]:
        alive = list(self._gossip.members.alive)
        if self._chart.state == "stopping":
            return [name for name in alive if name != self._name]
        return alive

    def _apply_gossip_item(self, item: gossip.ItemReceived) -> None:
        if item.kind is dissemination.Kind.ENDPOINT_LEAVING:
            self._apply_endpoint_leaving(item)
        elif item.kind is dissemination.Kind.SUSPECT_REQUEST:
            self._apply_suspect_request(item)
        elif item.kind is dissemination.Kind.SUCCESSOR:
            self._handover.receive_pointer(item.payload, self._now())

    def _reconcile(self) -> None:
        if not self._view.is_configured:
            return
        if self._chart.state == "stopping":
            self._owner.release_all()
            return
        if self._chart.state == "joining" and self._has_joined():
            self._chart.fire("serve")
        if self.serving:
            self._owner.reconcile()

    def _rejoin(self) -> None:
        """Rejoins the fleet after a pause, before acting on a stale view."""
        self._watcher.refresh()
        if self._chart.allows("refresh"):
            self._chart.fire("refresh")
            self._spawn(self._join())

    def _has_joined(self) -> bool:
        """Whether the router has the state of the fleet that it needs to serve.

        It needs the VM list, a configuration no older than that of any other
        router, and an answer from every listed router. It stops waiting for
        missing answers after `JOIN_TIMEOUT_S`.
        """
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
            # Another router already uses a newer configuration; this one must
            # not serve with an older one.
            return False
        listed = {vm["name"] for vm in self._view.router_vms()}
        are_versions_known = listed <= set(self._view.routers) and all(versions)
        waited_s = time.monotonic() - self._joining_since
        return are_versions_known or waited_s > JOIN_TIMEOUT_S

    async def _join(self) -> None:
        """Polls until the router leaves the state `joining`."""
        self._joining_since = time.monotonic()
        while self._chart.state == "joining":
            await asyncio.sleep(JOIN_POLL_INTERVAL_S)
            self._reconcile()

    # Loads

    def _request_load_broadcast(self) -> None:
        self._load_broadcast_due.set()

    async def _run_load_broadcast(self) -> None:
        while True:
            try:
                async with asyncio.timeout(LOAD_BROADCAST_INTERVAL_S):
                    await self._load_broadcast_due.wait()
            except TimeoutError:
                pass
            self._load_broadcast_due.clear()
            now = self._now()
            if self._view.loads.sums_due(now):
                self._broadcast_loads(now)

    def _broadcast_loads(self, now: float) -> None:
        others = [
            name for name in self._gossip.members.alive if name != self._name
        ]
        if not others or len(others) >= LOAD_BROADCAST_PEERS_MAX:
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
        if now - self._last_connect_at.get(name, 0.0) < RECONNECT_INTERVAL_S:
            return
        self._last_connect_at[name] = now
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
                self._rollouts.receive_statuses(peer, message)
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

    async def _request_peer(
        self, name: str, message: wire.Message, timeout_s: float
    ) -> wire.Message:
        """Sends a message to a peer and returns its only reply.

        Raises:
            errors.PeerError: The peer cannot be reached or does not reply in
                time.
        """
        conversation = await self._links.start_conversation(name, message)
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
        reply = await self._request_peer(
            name, wire.ConfigurationRequest(), watcher.PEER_TIMEOUT_S
        )
        if not isinstance(reply, wire.ConfigurationReply):
            raise errors.PeerError(f"no configuration from {name}")
        return reply.data

    async def _forward_call(
        self, call: wire.Call, name: str
    ) -> wire.CallResult:
        reply = await self._request_peer(name, call, FORWARD_TIMEOUT_S)
        if not isinstance(reply, wire.CallResult):
            raise errors.PeerError(f"no result from {name}")
        return reply

    def _operation(self, service: str, name: str) -> configuration.Operation:
        return self._view.directory.operation(service, name)

    def _runners(self, service: str) -> list[services.Runner]:
        endpoints = self._view.endpoints
        return [
            services.Runner(name, endpoints[name].address, 0)
            for name in self._view.pool_endpoints(service)
        ]

    # Endpoints

    def _take_lost_endpoint_out(self, name: str) -> None:
        """Takes a lost endpoint out of service with exponential backoff.

        The lifetime doubles with each loss, at most `LOST_DOUBLINGS_MAX`
        times, and starts over once the engine sends a load report.
        """
        previous_losses = self._loss_counts.get(name, 0)
        self._loss_counts[name] = previous_losses + 1
        lifetime_s = LOST_LIFETIME_S * 2 ** min(
            previous_losses, LOST_DOUBLINGS_MAX
        )
        self._take_endpoint_out(name, lifetime_s)

    def _take_endpoint_out(self, name: str, lifetime_s: int) -> None:
        """Takes an endpoint out of service and announces it by gossip."""
        if not self._view.mark_leaving(name, self._now() + lifetime_s):
            return
        self._gossip.send(
            gossip.Publish(
                dissemination.Kind.ENDPOINT_LEAVING,
                name.encode(),
                bytes([lifetime_s]),
                lifetime_s,
            )
        )
        # Deferred, because reconciling may cancel the task that calls this.
        asyncio.get_running_loop().call_soon(self._reconcile)

    def _apply_endpoint_leaving(self, item: gossip.ItemReceived) -> None:
        lifetime_s = item.payload[0] if item.payload else 0
        name = item.key.decode(errors="replace")
        if self._view.mark_leaving(name, self._now() + lifetime_s):
            self._reconcile()

    async def _run_upkeep(self) -> None:
        """Expires stale state and gossips requests that crash engines."""
        while True:
            await asyncio.sleep(UPKEEP_INTERVAL_S)
            now = self._now()
            if self._view.expire_leaving(now):
                self._reconcile()
            self._quarantine.note_reachability(self._reaches_all_routers(), now)
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

    def _reaches_all_routers(self) -> bool:
        listed = [vm["name"] for vm in self._view.router_vms()]
        is_stale = self._gossip.members.is_stale
        return not is_stale and quarantine.reaches_all_routers(
            listed, self._view.routers
        )

    def _apply_suspect_request(self, item: gossip.ItemReceived) -> None:
        try:
            exposed = self._quarantine.apply_report(
                item.key, item.payload, self._now()
            )
        except errors.PeerError as caught:
            log.emit(events.SUSPECT_MALFORMED, reason=str(caught))
            return
        digest = item.key[: quarantine.DIGEST_BYTES]
        self._owner.cancel_exposed(exposed, digest)

    def _note_engine_report(
        self, engine: str, report: feeds.LoadReport
    ) -> None:
        self._loss_counts.pop(engine, None)
        fence = report.get("fence") or [0]
        self._acceptance.observe_version(fence[0])

    def _may_drain_engines(self) -> bool:
        """Whether engines may be drained; never in a minority partition."""
        is_stale = self._gossip.members.is_stale
        return (
            self.serving
            and not is_stale
            and not self._acceptance.has_conflict
            and self._view.reachable_share > MAJORITY_SHARE
        )

    async def _confirm_current(self) -> bool:
        return (
            self._may_drain_engines() and await self._watcher.confirm_current()
        )

    def _broadcast_engine_statuses(self, message: wire.EngineStatuses) -> None:
        size = len(wire.encode(message))
        for name in self._links.open_peers:
            if self._links.notify(name, message):
                self._metrics.control_sent("standings", size)

    # Callers

    def _router_addresses(self, model: str, chat_name: str) -> list[str]:
        members = self._gossip.members.members
        names = [name for name in self._live_routers() if name in members]
        owner_name = ""
        if model and names:
            engine = self._view.placement.ring_engine(model, chat_name)
            owner_name = self._view.owner(engine) if engine else ""
        names.sort(
            key=lambda name: (
                name != owner_name,
                xxhash.xxh3_64_intdigest(f"{chat_name} {name}".encode()),
            )
        )
        return [members[name].public_address for name in names]

    def _issue_permit(self, account: str) -> str:
        permit = self._permits.issue(account, self._now())
        self._metrics.permit_event("issued")
        return permit

    def _make_admin_source(self) -> admin.AdminSource:
        return status.admin_source(
            status.Components(
                incarnation=self._incarnation,
                state=lambda: self._chart.state,
                uptime_s=lambda: time.monotonic() - self._started_at,
                view=self._view,
                owner=self._owner,
                members=self._gossip.members,
                acceptance=self._acceptance,
                burn=self._burn,
                metrics=self._metrics,
                open_requests=lambda: self._entry.in_flight,
            )
        )

    # Stop

    async def _drain(self, public: http_server.HttpServer, end: float) -> None:
        log.emit(events.PROCESS_STOPPING, name=self._name)
        self._chart.fire("stop")
        self._gossip.send(gossip.Leave())
        self._view.set_routers(self._live_routers())
        self._reconcile()
        try:
            async with asyncio.timeout_at(end):
                await self._handover.run(self._live_routers)
                while self._is_busy():
                    await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        except TimeoutError:
            work = public.open_work
            log.emit(events.STOP_GRACE_OVER, name=self._name, **work._asdict())
        public.drain()

    def _is_busy(self) -> bool:
        return bool(
            self._entry.in_flight
            or self._owner.in_flight
            or self._permits.running
        )

    # Faults

    def _invariant_violated(
        self, event: events.Event, fields: dict[str, Any]
    ) -> None:
        log.emit(event, **fields)
        self._metrics.invariant_violated(event.number)

    def _request_refused(self, error: errors.RequestError) -> None:
        log.emit(events.REQUEST_REFUSED, code=error.code, reason=str(error))
        self._metrics.request_ended("", error.outcome.value, error.code)

    def _request_failed(self, error: Exception) -> None:
        log.emit(events.TASK_FAILED, task="request", reason=repr(error))
        self._metrics.fault_caught("request")

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    def _now(self) -> float:
        return time.monotonic()
