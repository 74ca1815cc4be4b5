"""Tests of rollouts, with one owner and with owners of differing views."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from nutmegpost_core import rollout

OLD = rollout.Target("v1", "", "both")
NEW = rollout.Target("v2", "", "both")
ENGINES = ["e1", "e2", "e3", "e4", "e5"]
SEQUENCE = rollout.engine_sequence("panel", ENGINES)


def _report(state="ready", target=OLD, fence=(0, 0), error="", is_idle=True):
    return rollout.Report(state, target, fence, error, is_idle)


def _view(reports, **changes):
    view = rollout.PoolView(
        configuration=6,
        target_since=6,
        target=NEW,
        max_unavailable=1,
        burn=0.0,
        burn_limit=2.0,
        may_begin=True,
        reports=reports,
        statuses={},
    )
    return view._replace(**changes)


class Owner:
    """An owner of all engines, with engine reports that a test sets."""

    def __init__(self, **changes):
        self.rollout = rollout.Rollout("panel")
        self.reports = {name: _report() for name in ENGINES}
        self.changes = changes
        self.now = 0.0

    def step(self, seconds=1.0, **changes):
        self.now += seconds
        view = _view(dict(self.reports), **{**self.changes, **changes})
        return self.rollout.step(self.now, view)

    def start_load(self, order):
        self.reports[order.engine] = _report("loading", fence=order.fence)

    def finish_load(self, order):
        self.reports[order.engine] = _report(
            target=order.target, fence=order.fence
        )

    def drain_first(self, **changes):
        """Drains the first engine and returns the order to it."""
        (drain,) = self.step(**changes)
        assert drain == rollout.Drain(SEQUENCE[0])
        (order,) = self.step(**changes)
        return order


def test_engines_at_the_target_get_no_action():
    owner = Owner(target=OLD)
    assert owner.step() == []
    assert owner.rollout.hold_reason == ""


def test_engines_are_updated_one_after_the_other():
    owner = Owner()
    first, second = SEQUENCE[:2]
    assert owner.step() == [rollout.Drain(first)]
    owner.reports[first] = _report(is_idle=False)
    assert owner.step() == []
    owner.reports[first] = _report()
    (order,) = owner.step()
    assert order == rollout.Order(first, (6, 0), NEW)
    owner.start_load(order)
    assert owner.step(100) == []
    owner.finish_load(order)
    assert owner.step() == []
    actions = owner.step(rollout.READY_CONFIRM_S)
    assert actions == [rollout.Readmit(first), rollout.Drain(second)]


def test_max_unavailable_engines_are_drained_at_once():
    owner = Owner(max_unavailable=2)
    assert owner.step() == [rollout.Drain(name) for name in SEQUENCE[:2]]


def test_lost_order_is_resent_with_the_same_fence():
    owner = Owner()
    order = owner.drain_first()
    assert owner.step(rollout.ORDER_RETRY_S - 1) == []
    assert owner.step(1) == [order]


def test_failed_order_is_retried_and_then_holds_the_rollout():
    owner = Owner()
    order = owner.drain_first()
    for step in range(1, rollout.FAILURES_MAX):
        owner.reports[order.engine] = _report("loading", error="disk")
        owner.reports[order.engine] = owner.reports[order.engine]._replace(
            fence=order.fence
        )
        assert owner.step() == []
        (order,) = owner.step(rollout.FAILED_ORDER_RETRY_S)
        assert order.fence == (6, step)
    owner.reports[order.engine] = _report(
        "loading", fence=order.fence, error="disk"
    )
    assert owner.step() == []
    assert owner.step(1000) == []
    assert "failed" in owner.rollout.hold_reason
    (order,) = owner.step(configuration=7, target_since=7, target=OLD)
    assert order == rollout.Order(SEQUENCE[0], (7, 0), OLD)


def test_newer_target_replaces_an_order_at_once():
    owner = Owner()
    order = owner.drain_first()
    owner.start_load(order)
    newer = NEW._replace(adapter="a")
    (order,) = owner.step(configuration=7, target_since=7, target=newer)
    assert order == rollout.Order(SEQUENCE[0], (7, 0), newer)


def test_drained_engine_is_readmitted_when_the_old_target_returns():
    owner = Owner()
    owner.step()
    actions = owner.step(configuration=7, target_since=7, target=OLD)
    assert actions == [rollout.Readmit(SEQUENCE[0])]


def test_newer_configuration_with_the_same_target_changes_nothing():
    owner = Owner()
    order = owner.drain_first()
    owner.start_load(order)
    assert owner.step(configuration=9) == []


def test_order_of_another_owner_is_corrected():
    owner = Owner()
    order = owner.drain_first()
    owner.finish_load(order)
    owner.step()
    owner.reports[order.engine] = _report(target=OLD, fence=(5, 9))
    (again,) = owner.step()
    assert again == rollout.Order(order.engine, (6, 0), NEW)


def test_engine_with_a_later_fence_is_left_alone():
    owner = Owner()
    for name in ENGINES:
        owner.reports[name] = _report(fence=(7, 0))
    assert owner.step() == []


def test_engine_that_crashes_while_loading_holds_the_others():
    owner = Owner()
    order = owner.drain_first()
    owner.reports[order.engine] = _report("silent")
    assert owner.step(1000) == []
    owner.reports[order.engine] = _report()
    (again,) = owner.step()
    assert again.engine == order.engine


def test_removed_engine_no_longer_counts_as_out():
    owner = Owner()
    order = owner.drain_first()
    del owner.reports[order.engine]
    actions = owner.step()
    assert actions == [
        rollout.Readmit(order.engine),
        rollout.Drain(SEQUENCE[1]),
    ]


def test_engine_out_of_service_with_an_old_order_is_ordered_at_once():
    owner = Owner()
    for name in ENGINES:
        owner.reports[name] = _report("loading", fence=(5, 0))
    actions = owner.step()
    assert {action.engine for action in actions} == set(ENGINES)


def test_starting_engine_gets_no_order():
    owner = Owner()
    owner.reports[SEQUENCE[3]] = _report("loading")
    assert owner.step() == []


def test_high_burn_rate_halts_the_rollout_until_it_falls():
    owner = Owner()
    assert owner.step(burn=2.5) == []
    assert owner.rollout.is_halted
    assert owner.step(rollout.RESUME_DELAY_S, burn=1.9) == []
    assert owner.step(1, burn=1.0) == [rollout.Drain(SEQUENCE[0])]


def test_drained_engine_is_finished_while_the_burn_rate_halts():
    owner = Owner()
    order = owner.drain_first()
    owner.finish_load(order)
    owner.step(burn=9.0)
    actions = owner.step(rollout.READY_CONFIRM_S, burn=9.0)
    assert actions == [rollout.Readmit(order.engine)]


def test_no_order_while_the_configuration_is_in_conflict():
    owner = Owner()
    owner.step()
    assert owner.step(100, may_begin=False) == []


def test_missing_and_stale_statuses_hold_the_rollout():
    owner = Owner()
    fresh = rollout.EngineStatus(6, True, False)
    for status in (
        None,
        fresh._replace(age_s=rollout.ENGINE_STATUS_AGE_MAX_S + 1),
        fresh._replace(configuration=5),
        fresh._replace(configuration=7),
    ):
        assert owner.step(statuses={"far": status}) == []
        assert "far" in owner.rollout.hold_reason
    assert owner.step(statuses={"far": fresh}) == [rollout.Drain(SEQUENCE[0])]


def test_engine_out_of_service_at_another_owner_counts():
    owner = Owner()
    out = rollout.EngineStatus(6, True, True)
    assert owner.step(statuses={"far": out}) == []


class _Engine:
    def __init__(self):
        self.target = OLD
        self.loading_target = None
        self.fence = (0, 0)

    @property
    def state(self):
        return "loading" if self.loading_target else "ready"

    def accept(self, order):
        if order.fence < self.fence:
            return
        self.fence = order.fence
        if order.target != self.target or self.loading_target:
            self.loading_target = order.target

    def report(self):
        return _report(self.state, self.target, self.fence)


class _Router:
    def __init__(self, engines):
        self.rollout = rollout.Rollout("panel")
        self.engines = engines
        self.version = 1
        self.target_since = 1
        self.reports = {}
        self.statuses = {}
        self.drained = set()


class Fleet(stateful.RuleBasedStateMachine):
    """Owners with views of any age and any mix of versions.

    Reports and statuses arrive only by a rule; orders arrive at once, late or
    never. Every engine has one owner at a time.
    """

    may_publish = True

    @stateful.initialize(
        limit=st.integers(1, 3),
        owners=st.lists(st.sampled_from("abc"), min_size=5, max_size=5),
    )
    def start(self, limit, owners):
        self.limit = limit
        self.now = 0.0
        self.targets = {1: OLD}
        self.engines = {name: _Engine() for name in ENGINES}
        self.routers = {
            name: _Router(
                [e for e, o in zip(ENGINES, owners, strict=True) if o == name]
            )
            for name in "abc"
        }
        self.late_orders = []
        for engine in ENGINES:
            self.report(engine)
        for name in "abc":
            for other in "abc":
                self.send_statuses(name, other)
        self.prepare()

    def prepare(self):
        """Sets up the variant of the fleet; does nothing here."""

    def _view(self, router):
        statuses = {
            engine: self._status(router, engine)
            for engine in ENGINES
            if engine not in router.engines
        }
        return _view(
            {name: router.reports[name] for name in router.engines},
            configuration=router.version,
            target_since=router.target_since,
            target=self.targets[router.version],
            max_unavailable=self.limit,
            statuses=statuses,
        )

    def _status(self, router, engine):
        status, received_at = router.statuses[engine]
        return status._replace(age_s=self.now - received_at)

    def _owners(self, engine):
        return [r for r in self.routers.values() if engine in r.engines]

    @stateful.precondition(lambda self: self.may_publish)
    @stateful.rule(label=st.sampled_from(["v1", "v2", "v3"]))
    def publish(self, label):
        target = rollout.Target(label, "", "both")
        self.targets[len(self.targets) + 1] = target

    @stateful.rule(name=st.sampled_from("abc"))
    def accept(self, name):
        router = self.routers[name]
        version = len(self.targets)
        if self.targets[version] != self.targets[router.version]:
            router.target_since = version
        router.version = version

    @stateful.rule(engine=st.sampled_from(ENGINES))
    def report(self, engine):
        for router in self._owners(engine):
            router.reports[engine] = self.engines[engine].report()

    @stateful.rule(name=st.sampled_from("abc"), other=st.sampled_from("abc"))
    def send_statuses(self, name, other):
        router = self.routers[name]
        reported = [e for e in router.engines if e in router.reports]
        if len(reported) < len(router.engines) or name == other:
            return
        view = _view(
            {e: router.reports[e] for e in router.engines},
            configuration=router.version,
            target=self.targets[router.version],
        )
        for engine in router.engines:
            status = router.rollout.engine_status(engine, view)
            self.routers[other].statuses[engine] = (status, self.now)

    @stateful.rule(
        name=st.sampled_from("abc"),
        delivery=st.sampled_from(["arrives", "arrives", "late", "lost"]),
    )
    def step(self, name, delivery="arrives"):
        router = self.routers[name]
        for action in router.rollout.step(self.now, self._view(router)):
            if isinstance(action, rollout.Drain):
                router.drained.add(action.engine)
            elif isinstance(action, rollout.Readmit):
                router.drained.discard(action.engine)
            elif delivery == "arrives":
                self.engines[action.engine].accept(action)
            elif delivery == "late":
                self.late_orders.append(action)

    @stateful.precondition(lambda self: self.late_orders)
    @stateful.rule()
    def deliver_late(self):
        action = self.late_orders.pop(0)
        self.engines[action.engine].accept(action)

    @stateful.rule(engine=st.sampled_from(ENGINES))
    def finish_load(self, engine):
        loading = self.engines[engine]
        if loading.loading_target:
            loading.target, loading.loading_target = (
                loading.loading_target,
                None,
            )

    @stateful.rule(seconds=st.sampled_from([0.5, 2.0, 5.0, 12.0]))
    def wait(self, seconds):
        self.now += seconds

    @stateful.invariant()
    def out_of_service_is_bounded(self):
        if not hasattr(self, "engines"):
            return
        out = {
            name
            for name, engine in self.engines.items()
            if engine.loading_target
        }
        for router in self.routers.values():
            out |= router.drained.intersection(router.engines)
        assert len(out) <= self.limit, out

    def teardown(self):
        """Every engine reaches the target once views are fresh again."""
        if not hasattr(self, "engines"):
            return
        self.late_orders.clear()
        for name in "abc":
            self.accept(name)
        for _ in range(80):
            self._refresh_all()
            self.out_of_service_is_bounded()
        target = self.targets[len(self.targets)]
        assert {engine.target for engine in self.engines.values()} == {target}
        assert not any(router.drained for router in self.routers.values())

    def _refresh_all(self):
        self.now += 2.0
        for engine in ENGINES:
            self.finish_load(engine)
            self.report(engine)
        for name in "abc":
            for other in "abc":
                self.send_statuses(name, other)
            self.step(name)


class MovingFleet(Fleet):
    """Owners that change, so that an engine has none, one or two.

    All routers have the same version in force from the start.
    """

    may_publish = False

    def prepare(self):
        self.publish("v2")
        for name in "abc":
            self.accept(name)

    @stateful.rule(
        engine=st.sampled_from(ENGINES),
        old=st.sampled_from("abc"),
        new=st.sampled_from("abc"),
        is_doubled=st.booleans(),
    )
    def move(self, engine, old, new, is_doubled):
        """Makes a router believe that it owns an engine, maybe as a second."""
        router = self.routers[new]
        if engine in router.engines:
            return
        router.engines.append(engine)
        router.reports[engine] = self.engines[engine].report()
        if not is_doubled:
            self.lose(engine, old)

    @stateful.rule(engine=st.sampled_from(ENGINES), name=st.sampled_from("abc"))
    def lose(self, engine, name):
        router = self.routers[name]
        others = [r for r in self._owners(engine) if r is not router]
        if engine in router.engines and others:
            router.engines.remove(engine)
            status = rollout.EngineStatus(router.version, False, False)
            router.statuses[engine] = (status, self.now - 100)

    def teardown(self):
        if hasattr(self, "engines"):
            for engine in ENGINES:
                for router in self._owners(engine)[1:]:
                    name = next(
                        n for n, r in self.routers.items() if r is router
                    )
                    self.lose(engine, name)
        super().teardown()


TestFleet = Fleet.TestCase
TestMovingFleet = MovingFleet.TestCase
TestFleet.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=50
)
TestMovingFleet.settings = TestFleet.settings
