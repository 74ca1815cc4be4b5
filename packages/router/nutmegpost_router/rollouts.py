"""Rolling updates: drains engines, sends orders and exchanges statuses.

`nutmegpost_core.rollout` decides for each model. During a rollout each owner
broadcasts the rollout statuses of its engines to the other owners.
"""

import asyncio
from collections.abc import Awaitable, Callable, Collection, Sequence
import json
from typing import NamedTuple

from nutmegpost_core import configuration
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import rollout
from nutmegpost_core import vms
from nutmegpost_core import wire
from nutmegpost_router import http_client
from nutmegpost_router import log

__all__ = ["Ports", "Rollouts", "target"]

TICK_S = 0.5
IDLE_TICK_S = 2.5
BROADCAST_INTERVAL_S = 2.0
ACTIVE_PERIOD_S = 10.0
ORDER_TIMEOUT_S = 2.0
_ACCEPTED = 202
_FLAG_DONE = 1
_FLAG_OUT = 2


class Ports(NamedTuple):
    """Dependencies of rollouts on the rest of the router.

    Attributes:
        client: The HTTP client.
        published: Returns the configuration in force, or None.
        engines: Returns the engines of a model that are not leaving.
        owned: Returns the endpoints that this router owns.
        owner: Returns the router that owns an endpoint.
        address: Returns the address of an engine.
        report: Returns the latest report of an owned engine; its state is
            "silent" when the engine does not answer.
        drain: Starts or ends the draining of an owned engine.
        burn: Returns the error budget burn rate of a model's requests.
        may_begin: Returns whether engines may be drained and ordered.
        is_current: Checks right before an order that this router's
            configuration and view of the fleet are current.
        broadcast: Sends a message to the other routers.
        now: Returns the monotonic time, seconds.
    """

    client: http_client.Client
    published: Callable[[], configuration.Published | None]
    engines: Callable[[str], Sequence[str]]
    owned: Callable[[], Collection[str]]
    owner: Callable[[str], str]
    address: Callable[[str], vms.Address]
    report: Callable[[str], rollout.Report]
    drain: Callable[[str, bool], None]
    burn: Callable[[str], float]
    may_begin: Callable[[], bool]
    is_current: Callable[[], Awaitable[bool]]
    broadcast: Callable[[wire.EngineStatuses], None]
    now: Callable[[], float]


class _ReceivedStatus(NamedTuple):
    status: rollout.EngineStatus
    received_at: float


class _ModelRollout:
    """The rollout of one model."""

    def __init__(self, name: str):
        self.rollout = rollout.Rollout(name)
        self.target: rollout.Target | None = None
        self.target_since = 0
        self.hold_reason = ""
        # Keyed by engine, then by the router that sent the status.
        self.received: dict[str, dict[str, _ReceivedStatus]] = {}
        self.active_until = 0.0
        self.last_statuses: dict[str, rollout.EngineStatus] = {}
        self.last_broadcast_at = float("-inf")
        self.version = 0
        self.next_step_at = float("-inf")


def target(model: configuration.Model) -> rollout.Target:
    """Returns what the configuration of a model requires its engines to run."""
    return rollout.Target(
        model["version"], model.get("adapter", ""), model.get("role", "both")
    )


class Rollouts:
    """The task that runs the rollouts of all models."""

    def __init__(self, ports: Ports):
        """Creates the task without any rollout.

        Args:
            ports: Dependencies on the rest of the router.
        """
        self._ports = ports
        self._models: dict[str, _ModelRollout] = {}

    async def run(self) -> None:
        """Advances all rollouts periodically until cancelled."""
        while True:
            await self.tick()
            await asyncio.sleep(TICK_S)

    async def tick(self) -> None:
        """Advances the rollout of each model that is due.

        A model is due at once after a change of the configuration.
        """
        published = self._ports.published()
        if published is None:
            return
        for document in published.document["models"]:
            name = document["name"]
            model = self._models.setdefault(name, _ModelRollout(name))
            is_due = self._ports.now() >= model.next_step_at
            if is_due or model.version != published.version:
                await self._step(model, document, published.version)

    async def _step(
        self, model: _ModelRollout, document: configuration.Model, version: int
    ) -> None:
        name = document["name"]
        now = self._ports.now()
        view = self._pool_view(model, document, version)
        actions = model.rollout.step(now, view)
        self._broadcast_statuses(model, name, view)
        self._log_hold(model, name, view)
        model.version = version
        is_active = now <= model.active_until
        model.next_step_at = now + (TICK_S if is_active else IDLE_TICK_S)
        for action in actions:
            await self._execute(action, version)

    def receive_statuses(self, peer: str, message: wire.EngineStatuses) -> None:
        """Stores the rollout statuses that another owner sent.

        Args:
            peer: The other owner.
            message: Statuses of its engines.
        """
        model = self._models.get(message.model)
        if model is None:
            return
        now = self._ports.now()
        for engine, flags in zip(message.engines, message.flags, strict=False):
            status = rollout.EngineStatus(
                message.configuration,
                bool(flags & _FLAG_DONE),
                bool(flags & _FLAG_OUT),
            )
            model.received.setdefault(engine, {})[peer] = _ReceivedStatus(
                status, now
            )
            if not status.is_done:
                model.active_until = now + ACTIVE_PERIOD_S
                model.next_step_at = now

    def hold_reasons(self) -> dict[str, str]:
        """Returns why rollouts are on hold, by model."""
        return {
            name: model.hold_reason
            for name, model in self._models.items()
            if model.hold_reason
        }

    def states(self) -> dict[str, str]:
        """Returns the update state of each owned engine, by engine."""
        return {
            engine: model.rollout.state(engine)
            for model in self._models.values()
            for engine in model.last_statuses
        }

    # View

    def _pool_view(
        self, model: _ModelRollout, document: configuration.Model, version: int
    ) -> rollout.PoolView:
        new_target = target(document)
        if model.target != new_target:
            model.target = new_target
            model.target_since = version
            model.active_until = self._ports.now() + ACTIVE_PERIOD_S
        name = document["name"]
        engines = self._ports.engines(name)
        owned = set(self._ports.owned()).intersection(engines)
        policy = document["rollout"]
        model.received = {
            engine: by_router
            for engine, by_router in model.received.items()
            if engine in engines
        }
        return rollout.PoolView(
            configuration=version,
            target_since=model.target_since,
            target=new_target,
            max_unavailable=policy["max_unavailable"],
            burn=self._ports.burn(name),
            burn_limit=policy.get("burn_limit", 0.0),
            may_begin=self._ports.may_begin(),
            reports={engine: self._ports.report(engine) for engine in owned},
            statuses={
                engine: self._received_status(model, engine)
                for engine in engines
                if engine not in owned
            },
        )

    def _received_status(
        self, model: _ModelRollout, engine: str
    ) -> rollout.EngineStatus | None:
        """Returns the status of an engine that its owner sent, or None.

        The engine also counts as out of service when a recent status from any
        other router, such as a former owner, says so.
        """
        by_router = model.received.get(engine, {})
        latest = by_router.get(self._ports.owner(engine))
        if latest is None:
            return None
        now = self._ports.now()
        is_out = any(
            received.status.is_out
            for received in by_router.values()
            if now - received.received_at <= rollout.ENGINE_STATUS_AGE_MAX_S
        )
        return latest.status._replace(
            is_out=is_out, age_s=now - latest.received_at
        )

    # Statuses for other owners

    def _broadcast_statuses(
        self, model: _ModelRollout, name: str, view: rollout.PoolView
    ) -> None:
        now = self._ports.now()
        statuses = {
            engine: model.rollout.engine_status(engine, view)
            for engine in view.reports
        }
        if any(not status.is_done for status in statuses.values()):
            model.active_until = now + ACTIVE_PERIOD_S
        is_broadcast_due = now - model.last_broadcast_at >= BROADCAST_INTERVAL_S
        if now > model.active_until or not statuses:
            model.last_statuses = statuses
            return
        if statuses == model.last_statuses and not is_broadcast_due:
            return
        model.last_statuses = statuses
        model.last_broadcast_at = now
        message = wire.EngineStatuses(
            view.configuration,
            name,
            list(statuses),
            [
                _FLAG_DONE * status.is_done | _FLAG_OUT * status.is_out
                for status in statuses.values()
            ],
        )
        self._ports.broadcast(message)

    def _log_hold(
        self, model: _ModelRollout, name: str, view: rollout.PoolView
    ) -> None:
        is_waiting = any(
            report.target != view.target for report in view.reports.values()
        )
        hold_reason = model.rollout.hold_reason if is_waiting else ""
        if hold_reason and hold_reason != model.hold_reason:
            log.emit(events.ROLLOUT_HELD, model=name, reason=hold_reason)
        model.hold_reason = hold_reason

    # Actions

    async def _execute(self, action: rollout.Action, version: int) -> None:
        match action:
            case rollout.Drain(engine):
                log.emit(events.ROLLOUT_DRAINS, engine=engine, version=version)
                self._ports.drain(engine, True)
            case rollout.Readmit(engine):
                log.emit(events.ROLLOUT_READMITS, engine=engine)
                self._ports.drain(engine, False)
            case rollout.Order():
                await self._send_order(action, version)

    async def _send_order(self, order: rollout.Order, version: int) -> None:
        """Sends an order unless this router's view may be outdated.

        A later step repeats an order that was not sent.
        """
        reason = await self._find_skip_reason(order, version)
        if reason:
            log.emit(events.ORDER_SKIPPED, engine=order.engine, reason=reason)
            return
        body = {
            "fence": list(order.fence),
            "version": order.target.version,
            "adapter": order.target.adapter,
            "role": order.target.role,
        }
        log.emit(events.ORDER_SENT, engine=order.engine, fence=order.fence)
        try:
            # A pooled connection may have gone silent and could deliver the
            # order late, which is worse than a failed order.
            response = await self._ports.client.request(
                self._ports.address(order.engine),
                "POST",
                "/v1/orders",
                {"Content-Type": "application/json"},
                json.dumps(body).encode(),
                timeout_s=ORDER_TIMEOUT_S,
                fresh=True,
            )
        except errors.PeerError as caught:
            log.emit(
                events.ORDER_FAILED, engine=order.engine, reason=str(caught)
            )
            return
        if response.status != _ACCEPTED:
            log.emit(
                events.ORDER_FAILED,
                engine=order.engine,
                reason=f"status {response.status}",
            )

    async def _find_skip_reason(
        self, order: rollout.Order, version: int
    ) -> str:
        if not await self._ports.is_current():
            return "the view of this router may be old"
        published = self._ports.published()
        if published is None or published.version != version:
            return "another configuration is in force"
        if order.engine not in self._ports.owned():
            return "another router owns the engine"
        return ""
