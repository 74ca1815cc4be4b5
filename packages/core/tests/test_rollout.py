"""Tests of rollouts, one owner alone and several with differing views."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from nutmegpost_core import rollout

OLD = rollout.Target("v1", "", "both")
NEW = rollout.Target("v2", "", "both")
ENGINES = ["e1", "e2", "e3", "e4", "e5"]
ORDER = rollout.order("panel", ENGINES)


def _report(state="ready", target=OLD, fence=(0, 0), error="", is_idle=True):
    return rollout.Report(state, target, fence, error, is_idle)


def _view(reports, **changes):
    view = rollout.PoolView(
        configuration=6,
        since=6,
        target=NEW,
        max_unavailable=1,
        burn=0.0,
        burn_limit=2.0,
        may_begin=True,
        reports=reports,
        standings={},
    )
    return view._replace(**changes)


class Owner:
    """One owner of all engines, which does what the engines are told."""

    def __init__(self, **changes):
        self.rollout = rollout.Rollout("panel")
        self.reports = {name: _report() for name in ENGINES}
        self.changes = changes
        self.now = 0.0

    def step(self, seconds=1.0, **changes):
        self.now += seconds
        view = _view(dict(self.reports), **{**self.changes, **changes})
        return self.rollout.step(self.now, view)

    def load(self, order):
        self.reports[order.engine] = _report("loading", fence=order.fence)

    def loaded(self, order):
        self.reports[order.engine] = _report(
            target=order.target, fence=order.fence
        )

    def take_out(self, **changes):
        """Drains the first engine and returns the order to it."""
        (drain,) = self.step(**changes)
        assert drain == rollout.Drain(ORDER[0])
        (order,) = self.step(**changes)
        return order


def test_nothing_is_done_at_the_target():
    owner = Owner(target=OLD)
    assert owner.step() == []
    assert owner.rollout.hold == ""


def test_whole_change_of_one_engine_and_then_the_next():
    owner = Owner()
    first, second = ORDER[:2]
    assert owner.step() == [rollout.Drain(first)]
    owner.reports[first] = _report(is_idle=False)
    assert owner.step() == []
    owner.reports[first] = _report()
    (order,) = owner.step()
    assert order == rollout.Order(first, (6, 0), NEW)
    owner.load(order)
    assert owner.step(100) == []
    owner.loaded(order)
    assert owner.step() == []
    actions = owner.step(rollout.CHECK_S)
    assert actions == [rollout.Readmit(first), rollout.Drain(second)]


def test_several_engines_are_changed_at_once():
    owner = Owner(max_unavailable=2)
    assert owner.step() == [rollout.Drain(name) for name in ORDER[:2]]


def test_lost_order_is_sent_again_with_its_fence():
    owner = Owner()
    order = owner.take_out()
    assert owner.step(rollout.ORDER_RETRY_S - 1) == []
    assert owner.step(1) == [order]


def test_failed_order_is_tried_again_and_then_holds_the_rollout():
    owner = Owner()
    order = owner.take_out()
    for step in range(1, rollout.FAILURES_MAX):
        owner.reports[order.engine] = _report("loading", error="disk")
        owner.reports[order.engine] = owner.reports[order.engine]._replace(
            fence=order.fence
        )
        assert owner.step() == []
        (order,) = owner.step(rollout.FAILURE_RETRY_S)
        assert order.fence == (6, step)
    owner.reports[order.engine] = _report(
        "loading", fence=order.fence, error="disk"
    )
    assert owner.step() == []
    assert owner.step(1000) == []
    assert "failed" in owner.rollout.hold
    (order,) = owner.step(configuration=7, since=7, target=OLD)
    assert order == rollout.Order(ORDER[0], (7, 0), OLD)


def test_newer_target_replaces_an_order_at_once():
    owner = Owner()
    order = owner.take_out()
    owner.load(order)
    newer = NEW._replace(adapter="a")
    (order,) = owner.step(configuration=7, since=7, target=newer)
    assert order == rollout.Order(ORDER[0], (7, 0), newer)


def test_drain_is_undone_when_the_old_target_comes_back():
    owner = Owner()
    owner.step()
    actions = owner.step(configuration=7, since=7, target=OLD)
    assert actions == [rollout.Readmit(ORDER[0])]


def test_newer_configuration_with_the_same_target_changes_nothing():
    owner = Owner()
    order = owner.take_out()
    owner.load(order)
    assert owner.step(configuration=9) == []


def test_order_of_another_owner_is_set_right():
    owner = Owner()
    order = owner.take_out()
    owner.loaded(order)
    owner.step()
    owner.reports[order.engine] = _report(target=OLD, fence=(5, 9))
    (again,) = owner.step()
    assert again == rollout.Order(order.engine, (6, 0), NEW)


def test_engine_with_a_later_fence_is_left_alone():
    owner = Owner()
    for name in ENGINES:
        owner.reports[name] = _report(fence=(7, 0))
    assert owner.step() == []


def test_engine_that_dies_while_loading_holds_the_others():
    owner = Owner()
    order = owner.take_out()
    owner.reports[order.engine] = _report("silent")
    assert owner.step(1000) == []
    owner.reports[order.engine] = _report()
    (again,) = owner.step()
    assert again.engine == order.engine


def test_engine_that_is_gone_frees_its_place():
    owner = Owner()
    order = owner.take_out()
    del owner.reports[order.engine]
    actions = owner.step()
    assert actions == [
        rollout.Readmit(order.engine),
        rollout.Drain(ORDER[1]),
    ]


def test_engine_out_of_service_with_an_old_order_is_ordered_at_once():
    owner = Owner()
    for name in ENGINES:
        owner.reports[name] = _report("loading", fence=(5, 0))
    actions = owner.step()
    assert {action.engine for action in actions} == set(ENGINES)


def test_engine_that_starts_is_left_to_load():
    owner = Owner()
    owner.reports[ORDER[3]] = _report("loading")
    assert owner.step() == []


def test_burn_holds_the_rollout_and_calm_resumes_it():
    owner = Owner()
    assert owner.step(burn=2.5) == []
    assert owner.rollout.is_halted
    assert owner.step(rollout.RESUME_AFTER_S, burn=1.9) == []
    assert owner.step(1, burn=1.0) == [rollout.Drain(ORDER[0])]


def test_engine_that_is_out_is_finished_while_burn_holds():
    owner = Owner()
    order = owner.take_out()
    owner.loaded(order)
    owner.step(burn=9.0)
    actions = owner.step(rollout.CHECK_S, burn=9.0)
    assert actions == [rollout.Readmit(order.engine)]


def test_contested_configuration_gives_no_order():
    owner = Owner()
    owner.step()
    assert owner.step(100, may_begin=False) == []


def test_missing_and_old_standings_hold_the_rollout():
    owner = Owner()
    fresh = rollout.Standing(6, True, False)
    for standing in (
        None,
        fresh._replace(age_s=rollout.STANDING_AGE_MAX_S + 1),
        fresh._replace(configuration=5),
        fresh._replace(configuration=7),
    ):
        assert owner.step(standings={"far": standing}) == []
        assert "far" in owner.rollout.hold
    assert owner.step(standings={"far": fresh}) == [rollout.Drain(ORDER[0])]


def test_engine_that_is_out_elsewhere_counts():
    owner = Owner()
    out = rollout.Standing(6, True, True)
    assert owner.step(standings={"far": out}) == []


class _Engine:
    def __init__(self):
        self.target = OLD
        self.wanted = None
        self.fence = (0, 0)

    @property
    def state(self):
        return "loading" if self.wanted else "ready"

    def take(self, order):
        if order.fence < self.fence:
            return
        self.fence = order.fence
        if order.target != self.target or self.wanted:
            self.wanted = order.target

    def report(self):
        return _report(self.state, self.target, self.fence)


class _Router:
    def __init__(self, engines):
        self.rollout = rollout.Rollout("panel")
        self.engines = engines
        self.version = 1
        self.since = 1
        self.reports = {}
        self.standings = {}
        self.drained = set()


class Fleet(stateful.RuleBasedStateMachine):
    """Owners with views of any age and versions of any mix.

    Reports and standings arrive only when a rule says so; orders arrive at
    once, late or never. Every engine has one owner at a time.
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
        self.late = []
        for engine in ENGINES:
            self.report(engine)
        for name in "abc":
            for other in "abc":
                self.tell(name, other)
        self.begin()

    def begin(self):
        """Prepares a fleet of a certain kind."""

    def _view(self, router):
        standings = {
            engine: self._standing(router, engine)
            for engine in ENGINES
            if engine not in router.engines
        }
        return _view(
            {name: router.reports[name] for name in router.engines},
            configuration=router.version,
            since=router.since,
            target=self.targets[router.version],
            max_unavailable=self.limit,
            standings=standings,
        )

    def _standing(self, router, engine):
        standing, at = router.standings[engine]
        return standing._replace(age_s=self.now - at)

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
            router.since = version
        router.version = version

    @stateful.rule(engine=st.sampled_from(ENGINES))
    def report(self, engine):
        for router in self._owners(engine):
            router.reports[engine] = self.engines[engine].report()

    @stateful.rule(name=st.sampled_from("abc"), other=st.sampled_from("abc"))
    def tell(self, name, other):
        router = self.routers[name]
        view_needs = [e for e in router.engines if e in router.reports]
        if len(view_needs) < len(router.engines) or name == other:
            return
        view = _view(
            {e: router.reports[e] for e in router.engines},
            configuration=router.version,
            target=self.targets[router.version],
        )
        for engine in router.engines:
            standing = router.rollout.standing(engine, view)
            self.routers[other].standings[engine] = (standing, self.now)

    @stateful.rule(
        name=st.sampled_from("abc"),
        fate=st.sampled_from(["arrives", "arrives", "late", "lost"]),
    )
    def step(self, name, fate="arrives"):
        router = self.routers[name]
        for action in router.rollout.step(self.now, self._view(router)):
            if isinstance(action, rollout.Drain):
                router.drained.add(action.engine)
            elif isinstance(action, rollout.Readmit):
                router.drained.discard(action.engine)
            elif fate == "arrives":
                self.engines[action.engine].take(action)
            elif fate == "late":
                self.late.append(action)

    @stateful.precondition(lambda self: self.late)
    @stateful.rule()
    def deliver_late(self):
        action = self.late.pop(0)
        self.engines[action.engine].take(action)

    @stateful.rule(engine=st.sampled_from(ENGINES))
    def finish_load(self, engine):
        found = self.engines[engine]
        if found.wanted:
            found.target, found.wanted = found.wanted, None

    @stateful.rule(seconds=st.sampled_from([0.5, 2.0, 5.0, 12.0]))
    def wait(self, seconds):
        self.now += seconds

    @stateful.invariant()
    def bounded(self):
        if not hasattr(self, "engines"):
            return
        out = {name for name, item in self.engines.items() if item.wanted}
        for router in self.routers.values():
            out |= router.drained.intersection(router.engines)
        assert len(out) <= self.limit, out

    def teardown(self):
        """When views are fresh again, every engine reaches the target."""
        if not hasattr(self, "engines"):
            return
        self.late.clear()
        for name in "abc":
            self.accept(name)
        for _ in range(80):
            self._heal()
            self.bounded()
        target = self.targets[len(self.targets)]
        assert {item.target for item in self.engines.values()} == {target}
        assert not any(router.drained for router in self.routers.values())

    def _heal(self):
        self.now += 2.0
        for engine in ENGINES:
            self.finish_load(engine)
            self.report(engine)
        for name in "abc":
            for other in "abc":
                self.tell(name, other)
            self.step(name)


class MovingFleet(Fleet):
    """Owners that change, none and two of one engine among them.

    All have one version in force from the start.
    """

    may_publish = False

    def begin(self):
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
        """A router believes that it owns an engine, another may as well."""
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
            standing = rollout.Standing(router.version, False, False)
            router.standings[engine] = (standing, self.now - 100)

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
