import math

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from nutmegpost_core import load
from nutmegpost_core import ownership

POOL = "m"
ROUTERS = ["a", "b", "c", "d"]
ENGINES = [f"e{number}" for number in range(8)]


class BoundMachine(stateful.RuleBasedStateMachine):
    """Owners that publish their sums enforce the bound on the true total.

    Assumes that each message arrives before the next dispatch elsewhere, and
    that a new owner has a report of its engine before it dispatches to it.
    """

    @stateful.initialize(bound=st.sampled_from([1.1, 1.25, 1.5, 2.0]))
    def start(self, bound):
        self.bound = bound
        self.now = 0.0
        self.live = ENGINES[:5]
        self.loads = {name: load.Loads(name) for name in ROUTERS}
        self.running = []
        self._set_engines()

    def _set_engines(self):
        self.owners = ownership.Owners(ROUTERS, self.live)
        for name, loads in self.loads.items():
            owned = self.owners.owned_by(name)
            loads.set_engines(POOL, owned, len(self.live))
            # All routers have the same configuration, so the same bound.
            loads.limit(POOL, self.bound, self.now)
            for engine in owned:
                loads.record_report(engine, self._true(engine), self.now)
        self._publish()

    def _true(self, engine):
        return sum(item[1] == engine for item in self.running)

    def _publish(self):
        for name, loads in self.loads.items():
            if loads.sums_due(self.now):
                sums = loads.sums(self.now)
                for other, receiver in self.loads.items():
                    if other != name:
                        receiver.apply_sums(name, sums, self.now)

    @stateful.rule(pick=st.integers(0, 7), count=st.integers(1, 12))
    def dispatch(self, pick, count):
        for step in range(count):
            engine = self.live[(pick + step) % len(self.live)]
            owner = self.owners.owner_of(engine)
            loads = self.loads[owner]
            limit = loads.limit(POOL, self.bound, self.now)
            if loads.load_of(engine) + 1 > limit:
                continue
            mean = (len(self.running) + 1) / len(self.live)
            allowed = math.ceil(self.bound * mean - 1e-9)
            assert self._true(engine) + 1 <= allowed
            loads.add(POOL, engine)
            self.running.append((owner, engine))
            self._publish()

    @stateful.rule(pick=st.integers(0, 1000), count=st.integers(1, 12))
    def finish(self, pick, count):
        for _ in range(min(count, len(self.running))):
            owner, engine = self.running.pop(pick % len(self.running))
            self.loads[owner].remove(POOL, engine)
            self._publish()

    @stateful.rule(pick=st.integers(0, 7))
    def join_or_leave(self, pick):
        engine = ENGINES[pick]
        if engine not in self.live:
            self.live.append(engine)
        elif len(self.live) > 2:
            self.live.remove(engine)
        self._set_engines()

    @stateful.rule(elapsed=st.floats(0, 3))
    def wait(self, elapsed):
        self.now += elapsed
        self._publish()

    @stateful.invariant()
    def lower_bound_never_exceeds_the_true_total(self):
        for loads in getattr(self, "loads", {}).values():
            assert loads.total_lower_bound(POOL) <= len(self.running)


TestBound = BoundMachine.TestCase
TestBound.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
)


def published_sums(router, count, now=0.0):
    loads = load.Loads(router)
    loads.set_engines(POOL, [f"{router}1"], 4)
    for _ in range(count):
        loads.add(POOL, f"{router}1")
    return loads.sums(now)


def test_bound_below_one_request_rounds_up():
    loads = load.Loads("a")
    loads.set_engines(POOL, ["a1"], 10)
    assert loads.limit(POOL, 1.25, 0.0) == 1


def test_headroom_but_not_mean_shrinks_with_age_and_unreachable_routers():
    loads = load.Loads("a")
    loads.set_engines(POOL, ["a1"], 4)
    loads.apply_sums("b", published_sums("b", 39), 0.0)
    fresh = loads.limit(POOL, 2.0, 0.0)
    stale = loads.limit(POOL, 2.0, 100.0)
    halved = loads.limit(POOL, 2.0, 0.0, reachable_share=0.5)
    mean = loads.mean(POOL)
    assert mean < stale < halved < fresh <= math.ceil(2.0 * (mean + 1))


def test_older_sums_are_ignored():
    loads = load.Loads("a")
    loads.set_engines(POOL, ["a1"], 4)
    sender = load.Loads("b")
    sender.set_engines(POOL, ["b1"], 4)
    first = sender.sums()
    sender.add(POOL, "b1")
    second = sender.sums()
    assert loads.apply_sums("b", second, 0.0)
    assert not loads.apply_sums("b", first, 1.0)
    assert loads.total(POOL) == 1
    loads.forget("b")
    assert loads.total(POOL) == 0


def test_decrease_is_due_at_once_and_increase_after_interval():
    loads = load.Loads("a")
    loads.set_engines(POOL, ["a1"], 4)
    loads.limit(POOL, 1.5, 0.0)
    for _ in range(16):
        loads.add(POOL, "a1")
    loads.sums(10.0)
    for _ in range(load.decrease_margin(16, 1.5)):
        loads.remove(POOL, "a1")
        assert not loads.sums_due(10.01)
    loads.remove(POOL, "a1")
    assert loads.sums_due(10.01)
    loads.sums(10.01)
    for _ in range(8):
        loads.add(POOL, "a1")
    assert not loads.sums_due(10.02)
    assert loads.sums_due(10.01 + load.INCREASE_INTERVAL_S)


def test_lagging_report_of_own_requests_is_not_foreign_load():
    loads = load.Loads("a")
    loads.set_engines(POOL, ["a1"], 1)
    for _ in range(3):
        loads.add(POOL, "a1")
    for _ in range(3):
        loads.remove(POOL, "a1")
    loads.record_report("a1", 3, 0.5)
    assert loads.load_of("a1") == 0
    loads.record_report("a1", 5, 0.6)
    assert loads.load_of("a1") == 2


def test_end_without_a_start_is_an_error():
    with pytest.raises(ValueError):
        load.Loads("a").remove(POOL, "a1")


def test_least_loaded_returns_one_engine_of_each_owner():
    loads = load.Loads("a")
    loads.set_engines(POOL, ["a1", "a2"], 4)
    loads.add(POOL, "a1")
    loads.apply_sums("b", published_sums("b", 1), 0.0)
    assert loads.least_loaded(POOL) == [("a2", 0), ("b1", 1)]


@pytest.mark.parametrize("bound", [1.05, 1.1, 1.25, 1.5, 2.0])
@pytest.mark.parametrize("age", [0.0, 10.0])
def test_limit_rises_when_all_engines_are_at_the_limit(bound, age):
    # With a margin above the headroom, pools with a bound of 1.25 or less
    # stayed at one request per engine indefinitely.
    for load_per_engine in range(1, 40):
        loads = load.Loads("a")
        loads.set_engines(POOL, ["a1", "a2"], 8)
        for _ in range(2 * load_per_engine):
            loads.add(POOL, "a1")
        for name in "bcd":
            loads.apply_sums(
                name, published_sums(name, 2 * load_per_engine), 0.0
            )
        assert loads.limit(POOL, bound, age) > load_per_engine
