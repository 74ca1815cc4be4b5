"""Plays of a fleet that spends its retry budget, judged as its users do."""

import bisect
import heapq
import itertools
import random
from typing import NamedTuple

import pytest

from nutmegpost_core import retrybudget
from nutmegpost_standins import network

RATIO = 0.2
WINDOW_S = 10.0
# Fixed part of the budget, by size of the fleet.
SLACK = {4: 54, 27: 174, 77: 174}
# Requests per second of each gateway of the first fleet.
RATE = {4: 15.0, 27: 6.0, 77: 4.0}
SEEDS = 3
BEGIN_S = 14.0
END_S = 75.0
TICK_S = 0.5
ATTEMPTS_MAX = 4
# Longest time for which an attempt is held before it fails with the others.
HELD_MAX_S = 4.0


class _Life(NamedTuple):
    """One process of a gateway, from its start to its end, seconds."""

    gateway: int
    start: float
    end: float = END_S


class _Case(NamedTuple):
    """What happens in a play.

    Attributes:
        lives: The processes.
        failing: Spans of time in which endpoints reject nearly everything.
        crashes: Times at which all that is held at endpoints fails at once.
        meet_s: Time after which two processes know of each other.
        shift: Time at which the callers of the first half of the gateways go
            to the second half; None for never.
        cut: Span in which the two halves do not see each other.
        bursts: Spans in which callers send three times as much.
        slow_share: Share of the attempts whose connection takes long.
    """

    lives: list[_Life]
    failing: list[tuple[float, float]]
    crashes: tuple[float, ...] = ()
    meet_s: float = 1.0
    shift: float | None = None
    cut: tuple[float, float] | None = None
    bursts: tuple[tuple[float, float], ...] = ()
    slow_share: float = 0.02


def _always(count):
    return [_Life(number, 0.0) for number in range(count)]


def _calm(count):
    return _Case(_always(count), [(20, 70)])


def _delayed(count):
    return _Case(_always(count), [(20, 70)], (25, 34.5, 44, 55), slow_share=0.3)


def _shifted(count):
    return _Case(
        _always(count), [(34, 60)], (33.9, 34.2, 43.5), 1.0, shift=34.0
    )


def _burst(count):
    return _Case(
        _always(count),
        [(30, 70)],
        (32.9, 40.1, 49.9),
        bursts=((28.0, 33.0), (40.0, 41.0), (50.0, 58.0)),
    )


def _restarted(count, at, down_s):
    """Returns the lives of gateways that end at given times and come back."""
    lives = []
    for number in range(count):
        start = 0.0
        for end in at(number):
            lives.append(_Life(number, start, end))
            start = end + down_s
        lives.append(_Life(number, start))
    return lives


def _rolled(count):
    lives = _restarted(count, lambda n: [30 + 8 * n / count], 0.5)
    return _Case(lives, [(26, 60)])


def _rolled_together(count):
    lives = _restarted(count, lambda n: [33 + 0.5 * n / count], 0.5)
    return _Case(lives, [(26, 60)], (32.5,))


def _powered_off_and_rolled(count):
    lives = _restarted(
        count,
        lambda n: ([30.0] if n % 2 else []) + [37 + 6 * n / count],
        2.0,
    )
    return _Case(lives, [(25, 60)], (29.9, 36.9))


def _added(count):
    added = range(count, count + max(2, count // 2))
    lives = _always(count) + [_Life(number, 34.0) for number in added]
    return _Case(lives, [(30, 70)], (33.9, 38, 46), meet_s=3.0)


def _met_late(count):
    lives = _restarted(count, lambda n: [30.0] if n % 2 else [], 1.0)
    return _Case(lives, [(28, 60)], (29.9, 34), meet_s=8.0)


def _cut_for_long(count):
    return _Case(_always(count), [(20, 72)], cut=(21.0, END_S))


class _Process:
    """The part of a gateway's process that decides on repeats."""

    def __init__(self, life, budget):
        self.life = life
        self._budget = retrybudget.RetryBudget(
            budget,
            retrybudget.extra_from(
                life.start,
                WINDOW_S,
                is_first_start=not life.start,
                has_peers=True,
            ),
        )
        self._known = set()
        self._sharers = retrybudget.SeenRouters(WINDOW_S + 20.0)

    def see(self, known, now):
        # The entries of dead gateways are kept for longer than a play.
        self._known |= known
        self._sharers.record(self._known, SEEDS, now)

    def receive(self, now):
        self._budget.record_request("s", now)

    def try_spend(self, now):
        return self._budget.try_spend("s", self._sharers.count, now)


class _Play:
    """One play of a fleet.

    Attributes:
        sent: Times at which callers sent requests.
        repeats: Times at which attempts after the first of a request arrived.
        refused: Number of repeats that the budgets refused.
    """

    def __init__(self, case, size, seed):
        self.sent = []
        self.repeats = []
        self.refused = 0
        self._case = case
        self._rng = random.Random(f"{size}/{seed}")
        self._budget = retrybudget.FleetBudget(RATIO, SLACK[size], WINDOW_S)
        self._processes = [_Process(life, self._budget) for life in case.lives]
        self._size = size
        self._events = []
        self._order = itertools.count()

    def run(self):
        self._send_all()
        for tick in range(int(END_S / TICK_S)):
            self._schedule(tick * TICK_S, self._tick, None, 0)
        while self._events:
            now, _, handle, process, attempt = heapq.heappop(self._events)
            if process is None or now < process.life.end:
                handle(process, attempt, now)
        self.sent.sort()
        self.repeats.sort()
        return self

    def _schedule(self, at, handle, process, attempt):
        entry = (at, next(self._order), handle, process, attempt)
        heapq.heappush(self._events, entry)

    def _send_all(self):
        now = BEGIN_S
        while now < END_S:
            is_burst = any(a <= now < b for a, b in self._case.bursts)
            rate = RATE[self._size] * self._size * (3 if is_burst else 1)
            now += self._rng.expovariate(rate)
            self.sent.append(now)
            running = [
                process
                for process in self._processes
                if process.life.start + 0.3 <= now < process.life.end
                and self._takes_callers(process.life.gateway, now)
            ]
            if running:
                received = now + self._rng.expovariate(20.0)
                process = self._rng.choice(running)
                self._schedule(received, self._receive, process, 1)

    def _takes_callers(self, gateway, now):
        shift = self._case.shift
        half = self._size / 2
        return shift is None or (gateway >= half) == (now >= shift)

    def _receive(self, process, attempt, now):
        process.receive(now)
        self._attempt(process, attempt, now)

    def _attempt(self, process, attempt, now):
        delay_s = self._rng.uniform(0.001, 0.01)
        if self._rng.random() < self._case.slow_share:
            delay_s += self._rng.random()
        self._schedule(now + delay_s, self._arrive, process, attempt)

    def _arrive(self, process, attempt, now):
        if attempt > 1:
            self.repeats.append(now)
        crash = next(
            (at for at in self._case.crashes if now < at < now + HELD_MAX_S),
            None,
        )
        if crash is not None and attempt == 1:
            self._schedule(crash, self._fail, process, attempt)
        elif any(a <= now < b for a, b in self._case.failing) and (
            self._rng.random() < 0.9
        ):
            failed = now + self._rng.expovariate(50.0)
            self._schedule(failed, self._fail, process, attempt)

    def _fail(self, process, attempt, now):
        if attempt >= ATTEMPTS_MAX:
            return
        if process.try_spend(now):
            self._attempt(process, attempt + 1, now)
        else:
            self.refused += 1

    def _tick(self, _, __, now):
        for process in self._processes:
            if process.life.start <= now < process.life.end:
                self._look(process, now)

    def _look(self, process, now):
        """Tells a process which gateways it has met."""
        known = {process.life.gateway}
        for peer in self._processes:
            name = peer.life.gateway
            began = max(process.life.start, peer.life.start)
            if now >= began + self._case.meet_s and not self._is_cut(
                process.life.gateway, name, now
            ):
                known.add(name)
        process.see(known, now)

    def _is_cut(self, one, other, now):
        cut = self._case.cut
        half = self._size / 2
        return (
            cut is not None
            and cut[0] <= now < cut[1]
            and (one < half) != (other < half)
        )

    def worst_excess(self):
        """Returns the arrivals over the rule's bound in the worst window."""
        starts = [at - WINDOW_S for at in self.repeats]
        starts += [at - 1e-9 for at in self.repeats]
        return max(map(self._excess, starts))

    def _excess(self, start):
        repeats = _count(self.repeats, start)
        requests = max(
            _count(self.sent, start - earlier_s)
            for earlier_s in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        return repeats - RATIO * requests - SLACK[self._size]


def _count(times, start):
    """Returns how many times are in the window that begins after `start`."""
    return bisect.bisect_right(times, start + WINDOW_S) - bisect.bisect_right(
        times, start
    )


CASES = [
    _calm,
    _delayed,
    _shifted,
    _burst,
    _rolled,
    _rolled_together,
    _powered_off_and_rolled,
    _added,
    _met_late,
    _cut_for_long,
]


@pytest.mark.parametrize("size", [4, 27, 77])
@pytest.mark.parametrize("case", CASES, ids=lambda case: case.__name__[1:])
def test_a_fleet_keeps_its_retry_budget(case, size):
    for seed in range(3):
        play = _Play(case(size), size, seed).run()
        assert play.repeats
        assert play.worst_excess() <= 0


# Guards against gateways that spend before they have met the others.
@pytest.mark.parametrize("size", [4, 27, 77])
def test_the_parts_of_a_fleet_that_starts_do_not_add_up_to_more(size):
    net = network.Network(1)
    addresses = [net.start(number) for number in range(size)]
    for node in net.nodes.values():
        node.members.seed(addresses[:SEEDS])
    usable_from = retrybudget.extra_from(
        0.0, WINDOW_S, is_first_start=True, has_peers=True
    )
    net.run(usable_from, lambda: False)
    budget = retrybudget.FleetBudget(RATIO, SLACK[size], WINDOW_S)
    spent = 0
    for node in net.nodes.values():
        sharers = retrybudget.SeenRouters(WINDOW_S)
        sharers.record(node.members.members, SEEDS, usable_from)
        process = retrybudget.RetryBudget(budget, usable_from)
        while process.try_spend("s", sharers.count, usable_from):
            spent += 1
    assert 0.5 * SLACK[size] <= spent <= SLACK[size]
