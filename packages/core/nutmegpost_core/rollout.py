"""Rolling updates of the engines of a model.

The configuration determines what each engine must run. All routers sort the
engines of a model into the same sequence. The owner of an engine takes it out
of service only while fewer than `max_unavailable` other engines are either out
of service or earlier in the sequence and not yet updated. An updated engine
stays updated, so the bound holds even when the owners have views of different
ages; docs/design/rollouts.md has the proof and its limits.
"""

from collections.abc import Iterable, Mapping
import functools
from typing import NamedTuple

import xxhash

from nutmegpost_core import charts
from nutmegpost_core import events
from nutmegpost_core import invariants

__all__ = [
    "ENGINE_STATUS_AGE_MAX_S",
    "Action",
    "Drain",
    "EngineStatus",
    "Fence",
    "Order",
    "PoolView",
    "Readmit",
    "Report",
    "Rollout",
    "Target",
    "engine_sequence",
]

# Time that an engine must report ready with its target before it is readmitted,
# and the delay before a new order to one that accepted the last order but does
# not report ready with its target.
READY_CONFIRM_S = 1.0
# Time after which an order is repeated that the engine has not accepted.
ORDER_RETRY_S = 5.0
FAILED_ORDER_RETRY_S = 10.0
# Failed loads of a target after which its order is not repeated and no further
# engine is drained.
FAILURES_MAX = 3
# An older status of an engine counts as missing.
ENGINE_STATUS_AGE_MAX_S = 6.0
# A halted rollout resumes when the burn rate has been within its limit for this
# time and is at most this share of the limit.
RESUME_DELAY_S = 30.0
RESUME_BURN_RATIO = 0.8
_SORT_KEYS_CACHED_MAX = 20_000

Fence = tuple[int, int]


class Target(NamedTuple):
    """What an engine runs.

    Attributes:
        version: Version of the weights.
        adapter: Name of the adapter; empty for none.
        role: Role of the engine, "both" or "decode".
    """

    version: str
    adapter: str
    role: str


class Report(NamedTuple):
    """Latest report of an engine that this router owns.

    Attributes:
        state: "ready", "loading" or "leaving"; "silent" without a report.
        target: What the engine runs.
        fence: Fencing token of the last order that the engine accepted.
        order_error: Why that order failed; empty when it did not.
        is_idle: Whether the engine has no running or queued request.
    """

    state: str
    target: Target
    fence: Fence
    order_error: str
    is_idle: bool


class EngineStatus(NamedTuple):
    """Rollout status of an engine, as its owner sends it to other owners.

    Attributes:
        configuration: Configuration version in force at the owner.
        is_done: Whether the engine is in service with the target of that
            version.
        is_out: Whether the engine is out of service for any reason.
        age_s: Seconds since the status arrived from the owner.
    """

    configuration: int
    is_done: bool
    is_out: bool
    age_s: float = 0.0


class PoolView(NamedTuple):
    """This router's view of a model and its engines.

    Attributes:
        configuration: Configuration version in force.
        target_since: Configuration version that introduced the current target,
            as far as this router has seen.
        target: What the engines must run.
        max_unavailable: Most engines that may be out of service at once.
        burn: Error budget burn rate of the model's requests.
        burn_limit: Burn rate above which no further engine is taken out of
            service; 0 for no limit.
        may_begin: Whether engines may be drained and ordered; False while the
            configuration in force is in conflict or the router is stopping.
        reports: Reports of the engines that this router owns.
        statuses: Status of every other engine of the model; None for an
            engine whose owner has sent none.
    """

    configuration: int
    target_since: int
    target: Target
    max_unavailable: int
    burn: float
    burn_limit: float
    may_begin: bool
    reports: Mapping[str, Report]
    statuses: Mapping[str, EngineStatus | None]


class Drain(NamedTuple):
    """Stops new requests to the engine and lets its open requests finish."""

    engine: str


class Order(NamedTuple):
    """Sends the engine an order, unless a newer configuration is known.

    Attributes:
        engine: Name of the engine.
        fence: Fencing token of the order.
        target: What the engine must run.
    """

    engine: str
    fence: Fence
    target: Target


class Readmit(NamedTuple):
    """Lets the engine receive requests again."""

    engine: str


Action = Drain | Order | Readmit


class _EngineUpdate:
    """Progress of the update of one engine."""

    def __init__(self) -> None:
        self.chart = charts.Chart("rollout")
        self.fence: Fence = (0, 0)
        self.target: Target | None = None
        self.updated_at = 0.0
        self.failures = 0

    @property
    def state(self) -> str:
        return self.chart.state

    @property
    def is_out(self) -> bool:
        return self.state != "settled"


def engine_sequence(model: str, engines: Iterable[str]) -> list[str]:
    """Returns the engines in the sequence in which they are updated.

    The sequence does not depend on the target, so that owners with different
    versions of the configuration update the same engines first.

    Args:
        model: Name of the model.
        engines: Engines of the model.
    """
    return sorted(
        engines, key=lambda engine: (_sort_key(model, engine), engine)
    )


@functools.lru_cache(maxsize=_SORT_KEYS_CACHED_MAX)
def _sort_key(model: str, engine: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{model}|{engine}".encode())


class Rollout:
    """Updates of those engines of one model that this router owns."""

    def __init__(self, model: str):
        """Starts with all engines in the state "settled".

        Args:
            model: Name of the model.
        """
        self._model = model
        self._updates: dict[str, _EngineUpdate] = {}
        self._halted_at: float | None = None
        self._hold_reason = ""

    @property
    def hold_reason(self) -> str:
        """Why no further engine is drained; empty when one may be."""
        return self._hold_reason

    @property
    def is_halted(self) -> bool:
        """Whether the burn rate halts the rollout."""
        return self._halted_at is not None

    def state(self, engine: str) -> str:
        """Returns the state of an engine in the rollout chart."""
        update = self._updates.get(engine)
        return update.state if update else "settled"

    def engine_status(self, engine: str, view: PoolView) -> EngineStatus:
        """Returns the status of an owned engine to send to other owners."""
        report = view.reports[engine]
        update = self._updates.get(engine)
        is_out = report.state != "ready" or bool(update and update.is_out)
        is_done = not is_out and report.target == view.target
        return EngineStatus(view.configuration, is_done, is_out)

    def step(self, now: float, view: PoolView) -> list[Action]:
        """Advances the rollout and returns the next actions.

        Args:
            now: Monotonic time, seconds.
            view: Current view of the model and its engines.

        Returns:
            The actions, to be carried out in order.
        """
        actions: list[Action] = self._drop_lost_engines(view)
        self._update_halt(now, view)
        for engine, update in self._updates.items():
            if engine in view.reports:
                actions += self._advance(engine, update, now, view)
        actions += self._start_updates(now, view)
        return actions

    # One engine

    def _advance(
        self, engine: str, update: _EngineUpdate, now: float, view: PoolView
    ) -> list[Action]:
        report = view.reports[engine]
        if report.fence[0] > view.configuration or report.state == "silent":
            return []
        if update.state == "draining":
            return self._advance_draining(engine, update, now, view)
        if update.state == "checking":
            return self._advance_checking(engine, update, now, view)
        if update.state in ("ordered", "failed"):
            return self._advance_ordered(engine, update, now, view)
        return []

    def _advance_draining(
        self, engine: str, update: _EngineUpdate, now: float, view: PoolView
    ) -> list[Action]:
        report = view.reports[engine]
        if report.target == view.target and report.state == "ready":
            return [_readmit(engine, update)]
        if report.is_idle and view.may_begin:
            return [self._order(engine, update, now, view)]
        return []

    def _advance_ordered(
        self, engine: str, update: _EngineUpdate, now: float, view: PoolView
    ) -> list[Action]:
        report = view.reports[engine]
        if update.target != view.target:
            update.failures = 0
            return self._order_again(engine, update, now, view, 0.0)
        if report.fence < update.fence:
            return self._order_again(engine, update, now, view, ORDER_RETRY_S)
        if report.state == "ready" and report.target == view.target:
            update.chart.fire("load")
            update.updated_at = now
            return []
        if report.order_error:
            if update.state == "ordered":
                update.chart.fire("fail")
                update.failures += 1
                update.updated_at = now
            return self._order_again(
                engine, update, now, view, FAILED_ORDER_RETRY_S
            )
        if report.state == "ready":
            # The engine ignores fencing tokens and accepted another order.
            return self._order_again(engine, update, now, view, READY_CONFIRM_S)
        return []

    def _advance_checking(
        self, engine: str, update: _EngineUpdate, now: float, view: PoolView
    ) -> list[Action]:
        report = view.reports[engine]
        if report.target != view.target or report.state != "ready":
            return self._order_again(engine, update, now, view, READY_CONFIRM_S)
        if now - update.updated_at < READY_CONFIRM_S:
            return []
        return [_readmit(engine, update)]

    def _order_again(
        self,
        engine: str,
        update: _EngineUpdate,
        now: float,
        view: PoolView,
        after_s: float,
    ) -> list[Action]:
        if now - update.updated_at < after_s or not view.may_begin:
            return []
        if update.failures >= FAILURES_MAX:
            return []
        return [self._order(engine, update, now, view)]

    def _order(
        self, engine: str, update: _EngineUpdate, now: float, view: PoolView
    ) -> Order:
        update.chart.fire("order")
        update.fence = _next_fence(view, view.reports[engine])
        update.target = view.target
        update.updated_at = now
        return Order(engine, update.fence, view.target)

    # All engines

    def _start_updates(self, now: float, view: PoolView) -> list[Action]:
        actions: list[Action] = []
        statuses = self._collect_statuses(view)
        self._hold_reason = self._find_hold_reason(view, statuses)
        out = {engine for engine, status in statuses.items() if _is_out(status)}
        not_done_before: set[str] = set()
        for engine in engine_sequence(self._model, statuses):
            status = statuses[engine]
            if status is not None and status.is_done:
                continue
            if engine in view.reports and self._is_settled(engine):
                others = (out | not_done_before) - {engine}
                actions += self._start_update(engine, now, view, others)
                if self._updates[engine].is_out:
                    out.add(engine)
            not_done_before.add(engine)
        return actions

    def _start_update(
        self, engine: str, now: float, view: PoolView, others: set[str]
    ) -> list[Action]:
        update = self._updates.setdefault(engine, _EngineUpdate())
        report = view.reports[engine]
        if not view.may_begin or report.fence[0] > view.configuration:
            return []
        if report.state != "ready":
            # Already out of service, so an order loses no further capacity.
            if _needs_order(report, view):
                update.failures += bool(report.order_error)
                return [self._order(engine, update, now, view)]
            return []
        if self._hold_reason or len(others) >= view.max_unavailable:
            return []
        invariants.check(
            len(others) + 1 <= view.max_unavailable,
            events.ROLLOUT_TOO_WIDE,
            model=self._model,
            out=len(others) + 1,
            limit=view.max_unavailable,
        )
        update.chart.fire("drain")
        return [Drain(engine)]

    def _is_settled(self, engine: str) -> bool:
        return (
            self._updates.setdefault(engine, _EngineUpdate()).state == "settled"
        )

    def _collect_statuses(
        self, view: PoolView
    ) -> dict[str, EngineStatus | None]:
        statuses = dict(view.statuses)
        for engine in view.reports:
            statuses[engine] = self.engine_status(engine, view)
        return statuses

    def _find_hold_reason(
        self, view: PoolView, statuses: Mapping[str, EngineStatus | None]
    ) -> str:
        if not view.may_begin:
            return "the configuration is in conflict or the router is stopping"
        if self._halted_at is not None:
            return f"burn rate {view.burn:.1f} exceeds {view.burn_limit:.1f}"
        for engine, status in statuses.items():
            if status is None or status.age_s > ENGINE_STATUS_AGE_MAX_S:
                return f"no recent status of {engine}"
            if status.configuration != view.configuration:
                return f"the owner of {engine} has another configuration"
        for engine, update in self._updates.items():
            if update.failures >= FAILURES_MAX:
                return f"{engine} failed to load"
        return ""

    def _update_halt(self, now: float, view: PoolView) -> None:
        limit = view.burn_limit
        if limit and view.burn > limit:
            self._halted_at = now
        elif self._halted_at is not None:
            is_low = not limit or view.burn <= limit * RESUME_BURN_RATIO
            if is_low and now - self._halted_at >= RESUME_DELAY_S:
                self._halted_at = None

    def _drop_lost_engines(self, view: PoolView) -> list[Action]:
        """Drops the updates of engines that are gone or no longer owned."""
        lost = [
            engine for engine in self._updates if engine not in view.reports
        ]
        actions: list[Action] = []
        for engine in lost:
            if self._updates.pop(engine).is_out:
                actions.append(Readmit(engine))
        return actions


def _readmit(engine: str, update: _EngineUpdate) -> Readmit:
    update.chart.fire("readmit")
    update.failures = 0
    return Readmit(engine)


def _is_out(status: EngineStatus | None) -> bool:
    return status is None or status.is_out


def _needs_order(report: Report, view: PoolView) -> bool:
    """Whether an engine out of service needs an order to reach the target."""
    if report.state != "loading":
        return False
    if report.order_error:
        return True
    # An engine without an order loads its start target; once it is ready, its
    # report is compared with the target.
    return 0 < report.fence[0] < view.target_since


def _next_fence(view: PoolView, report: Report) -> Fence:
    if report.fence[0] == view.configuration:
        return view.configuration, report.fence[1] + 1
    return view.configuration, 0
