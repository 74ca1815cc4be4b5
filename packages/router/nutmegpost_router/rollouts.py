"""Carries out rollouts: drains engines, sends orders, tells other owners.

The decisions are those of `nutmegpost_core.rollout`, one for each model. While
a rollout is under way, each owner tells the others how its engines stand.
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
TELL_INTERVAL_S = 2.0
ACTIVE_S = 10.0
ORDER_TIMEOUT_S = 2.0
_ACCEPTED = 202
_IS_DONE = 1
_IS_OUT = 2


class Ports(NamedTuple):
    """What rollouts need of the rest of the router.

    Attributes:
        client: The HTTP client.
        published: Returns the configuration in force, or None.
        engines: Returns the engines of a model, not those that leave.
        owned: Returns the endpoints that this router owns.
        owner: Returns the router that owns an endpoint.
        address: Returns where an engine listens.
        report: Returns what an own engine reported last; its state is
            "silent" when it does not answer.
        drain: Starts or ends the draining of an own engine.
        burn: Returns the burn rate of the work of a model.
        may_begin: Whether engines may be taken out and ordered at all.
        is_fresh: Reads whether anything newer is known than what is in force
            and who owns what, right before an order.
        tell: Sends a message to the other routers.
        now: Monotonic time, seconds.
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
    is_fresh: Callable[[], Awaitable[bool]]
    tell: Callable[[wire.EngineStatuses], None]
    now: Callable[[], float]


class _Heard(NamedTuple):
    standing: rollout.EngineStatus
    at: float


class _Model:
    """The rollout of one model."""

    def __init__(self, name: str):
        self.rollout = rollout.Rollout(name)
        self.target: rollout.Target | None = None
        self.since = 0
        self.hold = ""
        # By engine and router.
        self.heard: dict[str, dict[str, _Heard]] = {}
        self.active_until = 0.0
        self.told: dict[str, rollout.EngineStatus] = {}
        self.told_at = float("-inf")
        self.version = 0
        self.due_at = float("-inf")


def target(model: configuration.Model) -> rollout.Target:
    """Returns what the engines of a model must run."""
    return rollout.Target(
        model["version"], model.get("adapter", ""), model.get("role", "both")
    )


class Rollouts:
    """The rollouts of all models."""

    def __init__(self, ports: Ports):
        """Prepares the task.

        Args:
            ports: The rest of the router.
        """
        self._ports = ports
        self._models: dict[str, _Model] = {}

    async def run(self) -> None:
        """Looks at all models until it is cancelled."""
        while True:
            await self.tick()
            await asyncio.sleep(TICK_S)

    async def tick(self) -> None:
        """Looks at all models once."""
        published = self._ports.published()
        if published is None:
            return
        for document in published.document["models"]:
            name = document["name"]
            model = self._models.setdefault(name, _Model(name))
            is_due = self._ports.now() >= model.due_at
            if is_due or model.version != published.version:
                await self._look_at(model, document, published.version)

    async def _look_at(
        self, model: _Model, document: configuration.Model, version: int
    ) -> None:
        name = document["name"]
        now = self._ports.now()
        view = self._view(model, document, version)
        actions = model.rollout.step(now, view)
        self._tell(model, name, view)
        self._report_hold(model, name, view)
        model.version = version
        is_active = now <= model.active_until
        model.due_at = now + (TICK_S if is_active else IDLE_TICK_S)
        for action in actions:
            await self._carry_out(action, version)

    def learn(self, peer: str, message: wire.EngineStatuses) -> None:
        """Takes what another owner says of its engines.

        Args:
            peer: The other owner.
            message: What it says.
        """
        model = self._models.get(message.model)
        if model is None:
            return
        now = self._ports.now()
        for engine, flags in zip(message.engines, message.flags, strict=False):
            standing = rollout.EngineStatus(
                message.configuration,
                bool(flags & _IS_DONE),
                bool(flags & _IS_OUT),
            )
            model.heard.setdefault(engine, {})[peer] = _Heard(standing, now)
            if not standing.is_done:
                model.active_until = now + ACTIVE_S
                model.due_at = now

    def holds(self) -> dict[str, str]:
        """Returns, by model, why its rollout does not go on."""
        return {
            name: model.hold
            for name, model in self._models.items()
            if model.hold
        }

    def states(self) -> dict[str, str]:
        """Returns the state of the change of each own engine."""
        return {
            engine: model.rollout.state(engine)
            for model in self._models.values()
            for engine in model.told
        }

    # View

    def _view(
        self, model: _Model, document: configuration.Model, version: int
    ) -> rollout.PoolView:
        wanted = target(document)
        if model.target != wanted:
            model.target = wanted
            model.since = version
            model.active_until = self._ports.now() + ACTIVE_S
        name = document["name"]
        engines = self._ports.engines(name)
        owned = set(self._ports.owned()).intersection(engines)
        policy = document["rollout"]
        model.heard = {
            engine: heard
            for engine, heard in model.heard.items()
            if engine in engines
        }
        return rollout.PoolView(
            configuration=version,
            target_since=model.since,
            target=wanted,
            max_unavailable=policy["max_unavailable"],
            burn=self._ports.burn(name),
            burn_limit=policy.get("burn_limit", 0.0),
            may_begin=self._ports.may_begin(),
            reports={engine: self._ports.report(engine) for engine in owned},
            statuses={
                engine: self._standing(model, engine)
                for engine in engines
                if engine not in owned
            },
        )

    def _standing(
        self, model: _Model, engine: str
    ) -> rollout.EngineStatus | None:
        """Returns what the owner of an engine said of it.

        A former owner that says that the engine is out is believed as well.
        """
        heard = model.heard.get(engine, {})
        found = heard.get(self._ports.owner(engine))
        if found is None:
            return None
        now = self._ports.now()
        is_out = any(
            item.standing.is_out
            for item in heard.values()
            if now - item.at <= rollout.ENGINE_STATUS_AGE_MAX_S
        )
        return found.standing._replace(is_out=is_out, age_s=now - found.at)

    # Other owners

    def _tell(self, model: _Model, name: str, view: rollout.PoolView) -> None:
        now = self._ports.now()
        standings = {
            engine: model.rollout.engine_status(engine, view)
            for engine in view.reports
        }
        if any(not item.is_done for item in standings.values()):
            model.active_until = now + ACTIVE_S
        is_due = now - model.told_at >= TELL_INTERVAL_S
        if now > model.active_until or not standings:
            model.told = standings
            return
        if standings == model.told and not is_due:
            return
        model.told = standings
        model.told_at = now
        message = wire.EngineStatuses(
            view.configuration,
            name,
            list(standings),
            [
                _IS_DONE * item.is_done | _IS_OUT * item.is_out
                for item in standings.values()
            ],
        )
        self._ports.tell(message)

    def _report_hold(
        self, model: _Model, name: str, view: rollout.PoolView
    ) -> None:
        is_waiting = any(
            item.target != view.target for item in view.reports.values()
        )
        hold = model.rollout.hold_reason if is_waiting else ""
        if hold and hold != model.hold:
            log.emit(events.ROLLOUT_HELD, model=name, reason=hold)
        model.hold = hold

    # Actions

    async def _carry_out(self, action: rollout.Action, version: int) -> None:
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
        """Sends an order unless something newer is known.

        An order that is not sent is repeated by a later step.
        """
        reason = await self._find_objection(order, version)
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
            # A pooled connection may have gone silent, and a late order is
            # worse than none.
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

    async def _find_objection(self, order: rollout.Order, version: int) -> str:
        if not await self._ports.is_fresh():
            return "the view of this router may be old"
        published = self._ports.published()
        if published is None or published.version != version:
            return "another configuration is in force"
        if order.engine not in self._ports.owned():
            return "another router owns the engine"
        return ""
