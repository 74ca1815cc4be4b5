"""Rollouts: how a change of a model reaches its engines.

What an engine must run is a function of the configuration. All routers sort
the engines of a model alike, and the owner of an engine takes it out of
service only while fewer than `max_unavailable` others are out or come before
it and are not done. Since a done engine stays done, the bound holds for any
mix of owners with views of different age; docs/design/rollouts.md has the
argument and its limits.
"""

from collections.abc import Iterable, Mapping
import functools
from typing import NamedTuple

import xxhash

from nutmegpost_core import charts
from nutmegpost_core import events
from nutmegpost_core import invariants

__all__ = [
    "STANDING_AGE_MAX_S",
    "Action",
    "Drain",
    "Fence",
    "Order",
    "PoolView",
    "Readmit",
    "Report",
    "Rollout",
    "Standing",
    "Target",
    "order",
]

CHECK_S = 1.0
ORDER_RETRY_S = 5.0
FAILURE_RETRY_S = 10.0
FAILURES_MAX = 3
STANDING_AGE_MAX_S = 6.0
RESUME_AFTER_S = 30.0
RESUME_SHARE = 0.8
_PLACES_MAX = 20_000

Fence = tuple[int, int]


class Target(NamedTuple):
    """What an engine runs.

    Attributes:
        version: Version of the weights.
        adapter: Adapter; empty for none.
        role: Part that the engine plays.
    """

    version: str
    adapter: str
    role: str


class Report(NamedTuple):
    """What an engine that this router owns reported.

    Attributes:
        state: "ready", "loading" or "leaving"; "silent" without a report.
        target: What it runs.
        fence: Fencing number of the last order it took.
        order_error: Why that order failed; empty for no failure.
        is_idle: Whether no request runs or waits on it.
    """

    state: str
    target: Target
    fence: Fence
    order_error: str
    is_idle: bool


class Standing(NamedTuple):
    """How an engine stands, as its owner tells the other owners.

    Attributes:
        configuration: Version in force at the owner.
        is_done: Whether the engine is in service with the target of that
            version.
        is_out: Whether it is out of service for any reason.
        age_s: Seconds since the owner said so.
    """

    configuration: int
    is_done: bool
    is_out: bool
    age_s: float = 0.0


class PoolView(NamedTuple):
    """What this router knows of a model and its engines.

    Attributes:
        configuration: Version in force.
        since: Version from which on the target has been what it is, as far
            as this router knows.
        target: What the engines must run.
        max_unavailable: Most engines that may be out at once.
        burn: Burn rate of the work of the model.
        burn_limit: Burn rate above which no further engine is taken out; 0
            for none.
        may_begin: False while the configuration in force is contested or its
            router is stopping.
        reports: Reports of the engines that this router owns.
        standings: Standings of all other engines of the model; None for one
            that nothing is known of.
    """

    configuration: int
    since: int
    target: Target
    max_unavailable: int
    burn: float
    burn_limit: float
    may_begin: bool
    reports: Mapping[str, Report]
    standings: Mapping[str, Standing | None]


class Drain(NamedTuple):
    """Gives the engine no new request, and lets those it has finish."""

    engine: str


class Order(NamedTuple):
    """Sends the engine an order, after a check that nothing is newer.

    Attributes:
        engine: The engine.
        fence: Fencing number.
        target: What it must run.
    """

    engine: str
    fence: Fence
    target: Target


class Readmit(NamedTuple):
    """Gives the engine requests again."""

    engine: str


Action = Drain | Order | Readmit


class _Change:
    """The change of one engine."""

    def __init__(self) -> None:
        self.chart = charts.Chart("rollout")
        self.fence: Fence = (0, 0)
        self.target: Target | None = None
        self.at = 0.0
        self.failures = 0

    @property
    def state(self) -> str:
        return self.chart.state

    @property
    def is_out(self) -> bool:
        return self.state != "settled"


def order(model: str, engines: Iterable[str]) -> list[str]:
    """Returns the engines in the order in which they are changed.

    The order does not depend on the target, so that owners with different
    versions of the configuration work on the same engines.

    Args:
        model: The model.
        engines: Its engines.
    """
    return sorted(engines, key=lambda engine: (_place(model, engine), engine))


@functools.lru_cache(maxsize=_PLACES_MAX)
def _place(model: str, engine: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{model}|{engine}".encode())


class Rollout:
    """The changes of the engines of one model that this router owns."""

    def __init__(self, model: str):
        """Starts with all engines settled.

        Args:
            model: The model.
        """
        self._model = model
        self._changes: dict[str, _Change] = {}
        self._halted_at: float | None = None
        self._reason = ""

    @property
    def hold(self) -> str:
        """Why no further engine is taken out; empty when one may be."""
        return self._reason

    @property
    def is_halted(self) -> bool:
        """Whether the burn rate holds the rollout."""
        return self._halted_at is not None

    def state(self, engine: str) -> str:
        """Returns the state of the change of an engine."""
        change = self._changes.get(engine)
        return change.state if change else "settled"

    def standing(self, engine: str, view: PoolView) -> Standing:
        """Returns what the other owners must know of an own engine."""
        report = view.reports[engine]
        change = self._changes.get(engine)
        is_out = report.state != "ready" or bool(change and change.is_out)
        is_done = not is_out and report.target == view.target
        return Standing(view.configuration, is_done, is_out)

    def step(self, now: float, view: PoolView) -> list[Action]:
        """Decides what to do now.

        Args:
            now: Monotonic time, seconds.
            view: What is known.

        Returns:
            The actions, to be carried out in order.
        """
        actions: list[Action] = self._forget(view)
        self._watch_burn(now, view)
        for engine, change in self._changes.items():
            if engine in view.reports:
                actions += self._advance(engine, change, now, view)
        actions += self._begin(now, view)
        return actions

    # One engine

    def _advance(
        self, engine: str, change: _Change, now: float, view: PoolView
    ) -> list[Action]:
        report = view.reports[engine]
        if report.fence[0] > view.configuration or report.state == "silent":
            return []
        if change.state == "draining":
            return self._advance_draining(engine, change, now, view)
        if change.state == "checking":
            return self._advance_checking(engine, change, now, view)
        if change.state in ("ordered", "failed"):
            return self._advance_ordered(engine, change, now, view)
        return []

    def _advance_draining(
        self, engine: str, change: _Change, now: float, view: PoolView
    ) -> list[Action]:
        report = view.reports[engine]
        if report.target == view.target and report.state == "ready":
            return [_readmit(engine, change)]
        if report.is_idle and view.may_begin:
            return [self._order(engine, change, now, view)]
        return []

    def _advance_ordered(
        self, engine: str, change: _Change, now: float, view: PoolView
    ) -> list[Action]:
        report = view.reports[engine]
        if change.target != view.target:
            change.failures = 0
            return self._order_again(engine, change, now, view, 0.0)
        if report.fence < change.fence:
            return self._order_again(engine, change, now, view, ORDER_RETRY_S)
        if report.state == "ready" and report.target == view.target:
            change.chart.fire("load")
            change.at = now
            return []
        if report.order_error:
            if change.state == "ordered":
                change.chart.fire("fail")
                change.failures += 1
                change.at = now
            return self._order_again(engine, change, now, view, FAILURE_RETRY_S)
        if report.state == "ready":
            # Another order reached an engine that ignores fencing numbers.
            return self._order_again(engine, change, now, view, CHECK_S)
        return []

    def _advance_checking(
        self, engine: str, change: _Change, now: float, view: PoolView
    ) -> list[Action]:
        report = view.reports[engine]
        if report.target != view.target or report.state != "ready":
            return self._order_again(engine, change, now, view, CHECK_S)
        if now - change.at < CHECK_S:
            return []
        return [_readmit(engine, change)]

    def _order_again(
        self,
        engine: str,
        change: _Change,
        now: float,
        view: PoolView,
        after_s: float,
    ) -> list[Action]:
        if now - change.at < after_s or not view.may_begin:
            return []
        if change.failures >= FAILURES_MAX:
            return []
        return [self._order(engine, change, now, view)]

    def _order(
        self, engine: str, change: _Change, now: float, view: PoolView
    ) -> Order:
        change.chart.fire("order")
        change.fence = _next_fence(view, view.reports[engine])
        change.target = view.target
        change.at = now
        return Order(engine, change.fence, view.target)

    # All engines

    def _begin(self, now: float, view: PoolView) -> list[Action]:
        actions: list[Action] = []
        standings = self._standings(view)
        self._reason = self._find_hold(view, standings)
        out = {name for name, item in standings.items() if _is_out(item)}
        before: set[str] = set()
        for engine in order(self._model, standings):
            item = standings[engine]
            if item is not None and item.is_done:
                continue
            if engine in view.reports and self._is_waiting(engine):
                others = (out | before) - {engine}
                actions += self._begin_one(engine, now, view, others)
                if self._changes[engine].is_out:
                    out.add(engine)
            before.add(engine)
        return actions

    def _begin_one(
        self, engine: str, now: float, view: PoolView, others: set[str]
    ) -> list[Action]:
        change = self._changes.setdefault(engine, _Change())
        report = view.reports[engine]
        if not view.may_begin or report.fence[0] > view.configuration:
            return []
        if report.state != "ready":
            # It is out of service already, so an order takes nothing away.
            if _needs_order(report, view):
                change.failures += bool(report.order_error)
                return [self._order(engine, change, now, view)]
            return []
        if self._reason or len(others) >= view.max_unavailable:
            return []
        invariants.check(
            len(others) + 1 <= view.max_unavailable,
            events.ROLLOUT_TOO_WIDE,
            model=self._model,
            out=len(others) + 1,
            limit=view.max_unavailable,
        )
        change.chart.fire("drain")
        return [Drain(engine)]

    def _is_waiting(self, engine: str) -> bool:
        return self._changes.setdefault(engine, _Change()).state == "settled"

    def _standings(self, view: PoolView) -> dict[str, Standing | None]:
        standings = dict(view.standings)
        for engine in view.reports:
            standings[engine] = self.standing(engine, view)
        return standings

    def _find_hold(
        self, view: PoolView, standings: Mapping[str, Standing | None]
    ) -> str:
        if not view.may_begin:
            return "the configuration is contested or the router stops"
        if self._halted_at is not None:
            return f"burn rate {view.burn:.1f} over {view.burn_limit:.1f}"
        for engine, item in standings.items():
            if item is None or item.age_s > STANDING_AGE_MAX_S:
                return f"no report of {engine}"
            if item.configuration != view.configuration:
                return f"the owner of {engine} has another configuration"
        for engine, change in self._changes.items():
            if change.failures >= FAILURES_MAX:
                return f"{engine} failed to load"
        return ""

    def _watch_burn(self, now: float, view: PoolView) -> None:
        limit = view.burn_limit
        if limit and view.burn > limit:
            self._halted_at = now
        elif self._halted_at is not None:
            is_calm = not limit or view.burn <= limit * RESUME_SHARE
            if is_calm and now - self._halted_at >= RESUME_AFTER_S:
                self._halted_at = None

    def _forget(self, view: PoolView) -> list[Action]:
        """Drops the changes of engines that are gone or not owned here."""
        lost = [name for name in self._changes if name not in view.reports]
        actions: list[Action] = []
        for engine in lost:
            if self._changes.pop(engine).is_out:
                actions.append(Readmit(engine))
        return actions


def _readmit(engine: str, change: _Change) -> Readmit:
    change.chart.fire("readmit")
    change.failures = 0
    return Readmit(engine)


def _is_out(standing: Standing | None) -> bool:
    return standing is None or standing.is_out


def _needs_order(report: Report, view: PoolView) -> bool:
    """Whether an engine that is out of service will not come back right."""
    if report.state != "loading":
        return False
    if report.order_error:
        return True
    # Without an order it loads what it was started with and is seen then.
    return 0 < report.fence[0] < view.since


def _next_fence(view: PoolView, report: Report) -> Fence:
    if report.fence[0] == view.configuration:
        return view.configuration, report.fence[1] + 1
    return view.configuration, 0
