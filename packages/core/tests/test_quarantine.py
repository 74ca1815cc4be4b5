import heapq
import itertools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from nutmegpost_core import errors
from nutmegpost_core import invariants
from nutmegpost_core import quarantine

Verdict = quarantine.Verdict
LIMITS = quarantine.Limits()
POISON = quarantine.digest("account", b"poison")
INNOCENT = quarantine.digest("account", b"innocent")


def _after_a_crash():
    """Returns a quarantine after one crash with both requests in flight."""
    store = quarantine.Quarantine("router-1")
    store.note_reachability(True, 0.0)
    store.note_started(POISON, "engine-1", 0.0)
    store.note_started(INNOCENT, "engine-1", 0.0)
    assert store.note_engine_crashed("engine-1", 10.0) == sorted(
        [POISON, INNOCENT]
    )
    return store


def _apply_report(store, report, now):
    """Applies a report at a router; returns its exposed engines."""
    exposed = []
    for key, payload in quarantine.split_batch(report.key, report.payload):
        exposed += store.apply_report(key, payload, now)
    return exposed


def test_the_suspects_of_a_crash_share_reports():
    store = quarantine.Quarantine("router-1")
    requests = [quarantine.digest("a", b"%d" % n) for n in range(64)]
    for request in requests:
        store.note_started(request, "engine-00001", 0.0)
    store.note_engine_crashed("engine-00001", 1.0)
    reports = store.reports()
    assert len(reports) == 2
    other = quarantine.Quarantine("router-2")
    for report in reports:
        assert len(report.key) + len(report.payload) <= 400
        _apply_report(other, report, 2.0)
    for request in requests:
        assert other.verdict(request, 2.0) is Verdict.WAIT


def test_a_copy_on_another_engine_of_the_same_router_is_exposed():
    store = quarantine.Quarantine("router-1")
    store.note_started(POISON, "engine-1", 0.0)
    store.note_started(POISON, "engine-5", 0.0)
    assert store.note_engine_crashed("engine-1", 1.0) == [POISON]
    assert store.exposed_engines(POISON) == ["engine-5"]


def test_the_digest_depends_on_account_and_body():
    assert quarantine.digest("a", b"x") == quarantine.digest("a", b"x")
    assert quarantine.digest("a", b"x") != quarantine.digest("b", b"x")
    assert quarantine.digest("a", b"x") != quarantine.digest("a", b"y")


def test_every_router_computes_the_same_coordinator():
    routers = ["router-1", "router-2", "router-3"]
    names = {
        quarantine.trial_coordinator(POISON, order)
        for order in itertools.permutations(routers)
    }
    assert len(names) == 1
    others = [name for name in routers if name not in names]
    assert quarantine.trial_coordinator(POISON, others) in others


def test_a_request_without_a_crash_is_allowed():
    store = quarantine.Quarantine("router-1")
    store.note_started(INNOCENT, "engine-1", 0.0)
    store.note_finished(INNOCENT, "engine-1", 1.0)
    assert store.note_engine_crashed("engine-1", 2.0) == []
    assert store.verdict(INNOCENT, 2.0) is Verdict.ALLOW


def test_a_suspect_waits_until_its_report_has_propagated():
    store = _after_a_crash()
    assert store.verdict(POISON, 10.0) is Verdict.WAIT
    assert store.retry_after(POISON, 10.0) == LIMITS.propagation_s
    assert store.begin_trial(POISON, "engine-2", 10.0) is Verdict.WAIT
    assert store.verdict(POISON, 15.0) is Verdict.ALONE


def test_a_suspect_that_finishes_alone_is_cleared():
    store = _after_a_crash()
    assert store.begin_trial(INNOCENT, "engine-2", 20.0) is Verdict.ALONE
    store.note_started(INNOCENT, "engine-2", 20.0)
    assert store.is_reserved("engine-2")
    assert store.verdict(INNOCENT, 20.0) is Verdict.WAIT
    store.note_finished(INNOCENT, "engine-2", 21.0)
    assert store.verdict(INNOCENT, 21.0) is Verdict.ALLOW
    assert not store.is_reserved("engine-2")


def test_a_second_crash_refuses_the_request():
    store = _after_a_crash()
    store.begin_trial(POISON, "engine-2", 20.0)
    store.note_started(POISON, "engine-2", 20.0)
    assert store.note_engine_crashed("engine-2", 21.0) == [POISON]
    assert store.verdict(POISON, 21.0) is Verdict.REFUSE
    assert store.verdict(POISON, 21.0 + 3_600) is Verdict.REFUSE
    assert store.begin_trial(POISON, "engine-3", 3_600.0) is Verdict.REFUSE


def test_finishing_together_with_others_clears_nothing():
    store = _after_a_crash()
    store.note_started(INNOCENT, "engine-2", 20.0)
    store.note_started(b"other", "engine-2", 20.0)
    store.note_finished(INNOCENT, "engine-2", 21.0)
    assert store.verdict(INNOCENT, 21.0) is not Verdict.ALLOW


def test_a_trial_without_an_end_counts_as_a_crash():
    store = _after_a_crash()
    store.begin_trial(POISON, "engine-2", 20.0)
    assert store.verdict(POISON, 139.0) is Verdict.WAIT
    assert store.verdict(POISON, 140.0) is Verdict.REFUSE


@pytest.mark.parametrize("end", ["note_cancelled", "note_withdrawn"])
def test_a_cancelled_trial_decides_nothing(end):
    store = _after_a_crash()
    store.begin_trial(INNOCENT, "engine-2", 20.0)
    store.note_started(INNOCENT, "engine-2", 20.0)
    getattr(store, end)(INNOCENT, "engine-2", 21.0)
    assert store.verdict(INNOCENT, 30.0) is Verdict.ALONE


def test_a_crash_right_after_a_cancellation_counts():
    store = quarantine.Quarantine("router-1")
    store.note_started(POISON, "engine-1", 0.0)
    store.note_cancelled(POISON, "engine-1", 1.0)
    assert store.note_engine_crashed("engine-1", 3.0) == [POISON]


def test_no_trial_starts_during_or_just_after_a_partition():
    store = _after_a_crash()
    store.note_reachability(False, 20.0)
    assert store.begin_trial(POISON, "engine-2", 30.0) is Verdict.WAIT
    store.note_reachability(True, 40.0)
    assert store.begin_trial(POISON, "engine-2", 41.0) is Verdict.WAIT
    assert store.begin_trial(POISON, "engine-2", 45.0) is Verdict.ALONE


def test_all_routers_are_reached_when_all_listed_ones_are_alive():
    assert quarantine.reaches_all_routers(["a", "b"], ["a", "b", "c"])
    assert not quarantine.reaches_all_routers(["a", "b"], ["a"])


def test_reports_apply_at_another_router():
    store = _after_a_crash()
    other = quarantine.Quarantine("router-2")
    other.note_started(POISON, "engine-5", 9.0)
    exposed = []
    for report in store.reports():
        exposed += _apply_report(other, report, 11.0)
    assert exposed == ["engine-5"]
    assert other.verdict(INNOCENT, 11.0) is Verdict.WAIT
    assert not store.reports()


def test_a_trial_that_ended_before_its_report_is_resolved():
    deciding = _after_a_crash()
    running = quarantine.Quarantine("router-2")
    for report in deciding.reports():
        _apply_report(running, report, 11.0)
    deciding.begin_trial(INNOCENT, "engine-2", 20.0)
    running.note_started(INNOCENT, "engine-2", 20.0)
    running.note_finished(INNOCENT, "engine-2", 20.1)
    for report in deciding.reports():
        running.apply_report(report.key, report.payload, 20.2)
    for report in running.reports():
        deciding.apply_report(report.key, report.payload, 20.3)
    assert running.verdict(INNOCENT, 21.0) is Verdict.ALLOW
    assert deciding.verdict(INNOCENT, 21.0) is Verdict.ALLOW


def _router_with_a_trial(deciding):
    running = quarantine.Quarantine("router-2")
    for report in deciding.reports():
        _apply_report(running, report, 11.0)
    deciding.begin_trial(INNOCENT, "engine-2", 20.0)
    return running


def test_the_report_of_a_trial_returns_after_its_crash():
    store = _after_a_crash()
    assert store.begin_trial(POISON, "engine-2", 20.0) is Verdict.ALONE
    store.note_started(POISON, "engine-2", 20.0)
    store.note_engine_crashed("engine-2", 20.1)
    for report in store.reports():
        _apply_report(store, report, 20.2)
    assert store.verdict(POISON, 30.0) is Verdict.REFUSE


def test_a_cleared_request_that_runs_again_does_not_keep_its_trial_open():
    deciding = _after_a_crash()
    running = _router_with_a_trial(deciding)
    running.note_started(INNOCENT, "engine-2", 20.0)
    running.note_finished(INNOCENT, "engine-2", 20.1)
    running.note_started(INNOCENT, "engine-2", 20.2)
    for report in deciding.reports():
        _apply_report(running, report, 20.3)
    assert running.verdict(INNOCENT, 200.0) is Verdict.ALLOW


def test_a_cancelled_copy_does_not_end_the_trial_that_follows():
    deciding = _after_a_crash()
    running = quarantine.Quarantine("router-2")
    running.note_started(INNOCENT, "engine-2", 9.0)
    for report in deciding.reports():
        _apply_report(running, report, 11.0)
    running.note_cancelled(INNOCENT, "engine-2", 11.0)
    deciding.begin_trial(INNOCENT, "engine-2", 20.0)
    for report in deciding.reports():
        _apply_report(running, report, 20.1)
    assert running.verdict(INNOCENT, 21.0) is Verdict.WAIT


def test_reports_agree_in_any_order():
    store = _after_a_crash()
    store.begin_trial(INNOCENT, "engine-2", 20.0)
    store.note_started(INNOCENT, "engine-2", 20.0)
    store.note_finished(INNOCENT, "engine-2", 21.0)
    reports = [
        report for report in store.reports() if report.key.startswith(INNOCENT)
    ]
    for order in itertools.permutations(reports):
        other = quarantine.Quarantine("router-2")
        for report in order:
            other.apply_report(report.key, report.payload, 22.0)
        assert other.verdict(INNOCENT, 22.0) is Verdict.ALLOW


@pytest.mark.parametrize(
    ("key", "payload"),
    [(b"", b"\x02"), (b"k" * 30, b""), (b"k" * 30, b"\x09")],
)
def test_malformed_reports_are_refused(key, payload):
    store = quarantine.Quarantine("router-1")
    with pytest.raises(errors.PeerError):
        store.apply_report(key, payload, 0.0)


def test_incidents_expire():
    store = _after_a_crash()
    store.expire(10.0 + LIMITS.suspect_s)
    assert len(store) == 0


def test_the_number_of_suspects_is_bounded():
    limits = quarantine.Limits(suspects_max=10)
    store = quarantine.Quarantine("router-1", limits)
    for number in range(50):
        store.record_remote_crashes(
            b"%08d" % number, 1, "engine-1", float(number)
        )
    assert len(store) == 10
    assert store.verdict(b"%08d" % 49, 50.0) is Verdict.WAIT


def test_a_third_crash_is_reported_as_a_violation():
    store = quarantine.Quarantine("router-1")
    store.record_remote_crashes(POISON, 2, "engine-1", 0.0)
    store.note_started(POISON, "engine-2", 0.0)
    with pytest.raises(invariants.InvariantError):
        store.note_engine_crashed("engine-2", 1.0)


ROUTERS = [f"router-{number}" for number in range(4)]
ENGINES = [f"engine-{number}" for number in range(6)]
INNOCENTS = [quarantine.digest("account", b"%d" % n) for n in range(4)]


class FleetMachine(stateful.RuleBasedStateMachine):
    """Routers with delayed reports and a client that retries.

    Before the first crash is reported, the client has copies in flight on at
    most two engines, and no mechanism could prevent these crashes. The trial
    must not cause a third.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.stores = {name: quarantine.Quarantine(name) for name in ROUTERS}
        self.in_transit = []
        self.count = itertools.count()
        self.partitioned = False
        self.running = {engine: [] for engine in ENGINES}
        self.crashes = {}
        self.cancelled = {}
        self.poisoned_engines = set()
        for store in self.stores.values():
            store.note_reachability(True, self.now)
        self.advance(LIMITS.propagation_s)

    def _owner(self, engine):
        return ROUTERS[ENGINES.index(engine) % len(ROUTERS)]

    def _side(self, name):
        return ROUTERS.index(name) >= 2 if self.partitioned else False

    def _publish(self, name, share=0.99):
        reports = [
            pair
            for report in self.stores[name].reports()
            for pair in quarantine.split_batch(report.key, report.payload)
        ]
        for report in reports:
            for other in ROUTERS:
                if other != name:
                    due = self.now + share * LIMITS.propagation_s
                    item = (due, next(self.count), name, other, report)
                    heapq.heappush(self.in_transit, item)

    def _start(self, request, engine):
        self.running[engine].append(request)
        self.stores[self._owner(engine)].note_started(request, engine, self.now)

    @stateful.rule(engine=st.sampled_from(ENGINES))
    def send_poison(self, engine):
        self._send(POISON, engine)

    @stateful.rule(
        request=st.sampled_from(INNOCENTS), engine=st.sampled_from(ENGINES)
    )
    def send(self, request, engine):
        self._send(request, engine)

    @stateful.rule(
        request=st.sampled_from([POISON, POISON, *INNOCENTS]),
        router=st.sampled_from(ROUTERS),
    )
    def send_again(self, request, router):
        verdict = self.stores[router].verdict(request, self.now)
        if verdict is Verdict.ALONE:
            self._start_trial(request)

    def _send(self, request, engine):
        owner = self._owner(engine)
        store = self.stores[owner]
        if store.is_reserved(engine):
            return
        verdict = store.verdict(request, self.now)
        if verdict is Verdict.ALONE:
            self._start_trial(request)
        elif verdict is Verdict.ALLOW:
            if request == POISON and len(self.poisoned_engines | {engine}) > 2:
                return
            if request == POISON:
                self.poisoned_engines.add(engine)
            self._start(request, engine)
        elif verdict is Verdict.REFUSE and request != POISON:
            assert self.crashes.get(request, 0) >= 2

    def _start_trial(self, request):
        name = quarantine.trial_coordinator(request, ROUTERS)
        idle = [engine for engine in ENGINES if not self.running[engine]]
        if not idle:
            return
        verdict = self.stores[name].begin_trial(request, idle[0], self.now)
        if verdict is Verdict.ALONE:
            self._publish(name)
            self._start(request, idle[0])

    @stateful.rule(number=st.integers(0, 2))
    def crash(self, number):
        poisoned = [name for name in ENGINES if POISON in self.running[name]]
        if poisoned:
            self._crash(poisoned[number % len(poisoned)])

    @stateful.rule(engine=st.sampled_from(ENGINES))
    def crash_without_poison(self, engine):
        if POISON not in self.running[engine]:
            self._crash(engine)

    def _crash(self, engine):
        # A request that was cancelled right before the crash also counts.
        recently_cancelled = [
            request
            for (request, cancelled_engine), at in self.cancelled.items()
            if cancelled_engine == engine
            and request != POISON
            and self.now < at + LIMITS.cancelled_s
        ]
        for request in {*self.running[engine], *recently_cancelled}:
            self.crashes[request] = self.crashes.get(request, 0) + 1
        self.running[engine] = []
        owner = self._owner(engine)
        store = self.stores[owner]
        for request in store.note_engine_crashed(engine, self.now):
            for other in store.exposed_engines(request):
                self._cancel(owner, request, other)
        self._publish(owner)

    @stateful.rule(engine=st.sampled_from(ENGINES))
    def finish(self, engine):
        owner = self._owner(engine)
        for request in list(self.running[engine]):
            if request != POISON:
                self.running[engine].remove(request)
                self.stores[owner].note_finished(request, engine, self.now)
        self._publish(owner)

    @stateful.rule(engine=st.sampled_from(ENGINES))
    def cancel_all(self, engine):
        owner = self._owner(engine)
        for request in list(self.running[engine]):
            self._cancel(owner, request, engine)

    def _cancel(self, owner, request, engine):
        while request in self.running[engine]:
            self.running[engine].remove(request)
            self.cancelled[request, engine] = self.now
            self.stores[owner].note_cancelled(request, engine, self.now)
        self._publish(owner)

    @stateful.rule(seconds=st.sampled_from([0.5, 2, 4, 6, 30]))
    def advance(self, seconds):
        end = self.now + seconds
        undelivered = []
        while self.in_transit and self.in_transit[0][0] <= end:
            item = heapq.heappop(self.in_transit)
            due, number, source, target, report = item
            self.now = max(self.now, due)
            if self._side(source) != self._side(target):
                undelivered.append((end + 0.1, number, source, target, report))
                continue
            store = self.stores[target]
            request = report[0][: quarantine.DIGEST_BYTES]
            for engine in store.apply_report(*report, self.now):
                self._cancel(target, request, engine)
            self._publish(target)
        self.now = end
        for item in undelivered:
            heapq.heappush(self.in_transit, item)

    @stateful.rule()
    def partition(self):
        self.partitioned = True
        self._note_fleet()

    @stateful.rule()
    def heal(self):
        self.partitioned = False
        self._note_fleet()
        # Anti-entropy delivers lost reports within the propagation time.
        self.in_transit = [
            (min(item[0], self.now + 0.9 * LIMITS.propagation_s), *item[1:])
            for item in self.in_transit
        ]
        heapq.heapify(self.in_transit)

    def _note_fleet(self):
        for store in self.stores.values():
            store.note_reachability(not self.partitioned, self.now)

    @stateful.invariant()
    def at_most_two_engines_crash(self):
        assert self.crashes.get(POISON, 0) <= 2

    def teardown(self):
        """Checks that a request with at most one crash can run in the end."""
        self.heal()
        for engine in ENGINES:
            self.finish(engine)
            self.cancel_all(engine)
        self.advance(200)
        self.advance(200)
        for request in INNOCENTS:
            self._complete(request)

    def _complete(self, request):
        if self.crashes.get(request, 0) >= 2:
            return
        store = self.stores[self._owner("engine-0")]
        if store.verdict(request, self.now) is Verdict.ALONE:
            self._start_trial(request)
            for engine in ENGINES:
                self.finish(engine)
            self.advance(6)
        assert store.verdict(request, self.now) is Verdict.ALLOW


FleetMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=600,
    stateful_step_count=30,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestFleet = FleetMachine.TestCase
