"""Replays loads that exceed a service, against first come, first served.

The routers of a fleet send to endpoints with slots and a queue in order of
arrival. They know what their peers have in flight as of the last report.
"""

import collections
import heapq
import itertools
import math
import random
from typing import NamedTuple

import pytest

from nutmegpost_core import contention

ENDPOINTS = 3
SLOTS = 6
ENDPOINT_QUEUE = 24
WORK_S = 0.045
TARGET_S = 0.208
DEADLINE_S = 2.6
REPORT_S = 0.2
TRIES_MAX = 4
QUEUE_MAX = 64
SECONDS = 20.0
# Time of the trouble, after which the usual demand is known.
TROUBLE = (10.0, 17.0)
ACCOUNTS = [f"a{number}" for number in range(12)]
WEIGHTS = [3, 2, 2, 1, 1, 1, 1, 1, 1, 1, 1, 1]
RANK_SHARES = {0: 0.25, 1: 0.25, 2: 0.5}


class Load(NamedTuple):
    """What callers and endpoints do, the multiples during the trouble only."""

    requests_per_s: float = 240.0
    burst: float = 1.0
    flood: float = 1.0
    hot_share: float = 0.0
    lost: int = 0
    is_storm: bool = False
    routers: int = 8
    has_reports: bool = True


class Caller:
    """One request of a caller with all its tries."""

    def __init__(self, at, request):
        self.at, self.request = at, request
        self.tries = 0
        self.took_s = None


class Endpoint:
    def __init__(self):
        self.running = 0
        self.queue = collections.deque()
        self.is_up = True

    @property
    def load(self):
        return self.running + len(self.queue)

    @property
    def free(self):
        return max(0, SLOTS - self.running) if self.is_up else 0


class Router:
    def __init__(self, count, rng):
        self.own = [0] * count
        self.of_peers = [0] * count
        self.known_at = [0.0] * count
        self.queue = contention.ServiceQueue(rng)
        self.waiting = {}

    def learn(self, index, total, now):
        self.of_peers[index] = max(0, total - self.own[index])
        self.known_at[index] = now


class Simulation:
    """One day; `refused_while_free` counts refusals with idle slots."""

    def __init__(self, load, is_baseline, seed=1):
        self.load, self.is_baseline = load, is_baseline
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.endpoints = [Endpoint() for _ in range(ENDPOINTS)]
        self.routers = [
            Router(ENDPOINTS, self.rng) for _ in range(load.routers)
        ]
        self.callers = []
        self.refused_while_free = 0
        self.rejected = 0
        self.idle_while_waiting_s = 0.0

    @property
    def up(self):
        return [index for index, e in enumerate(self.endpoints) if e.is_up]

    def at(self, when, action, *arguments):
        heapq.heappush(self.events, (when, next(self.order), action, arguments))

    def run(self):
        self.add_callers()
        step_s = 0.02
        for tick in range(int(SECONDS / step_s)):
            self.at(tick * step_s, self.tick, step_s)
        for tick in range(int(SECONDS / REPORT_S)):
            self.at(tick * REPORT_S, self.report)
        self.at(TROUBLE[0], self.set_lost, True)
        self.at(TROUBLE[1], self.set_lost, False)
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self

    def add_callers(self):
        load, rng = self.load, self.rng
        total = sum(WEIGHTS)
        for account, weight in zip(ACCOUNTS, WEIGHTS, strict=True):
            at = 0.0
            while at < SECONDS - DEADLINE_S:
                rate = load.requests_per_s * weight / total
                is_trouble = TROUBLE[0] <= at < TROUBLE[1]
                if is_trouble:
                    rate *= load.burst
                    rate *= load.flood if account == ACCOUNTS[-1] else 1
                at += rng.expovariate(rate)
                rank = rng.choices(*zip(*RANK_SHARES.items(), strict=True))[0]
                is_hot = is_trouble and rng.random() < load.hot_share
                prompt = "hot" if is_hot else ""
                if load.hot_share and not is_hot:
                    prompt = f"p{rng.randrange(60)}"
                digest, until = f"{len(self.callers)}", at + DEADLINE_S
                request = contention.Request(
                    account, prompt, "", rank, at, TARGET_S, until, 0.0, digest
                )
                caller = Caller(at, request)
                self.callers.append(caller)
                self.at(at, self.arrive, caller)

    def set_lost(self, is_lost):
        for endpoint in self.endpoints[: self.load.lost]:
            endpoint.is_up = not is_lost

    def report(self):
        if not self.load.has_reports:
            return
        for index in range(len(self.endpoints)):
            total = sum(router.own[index] for router in self.routers)
            for router in self.routers:
                router.learn(index, total, self.now)

    def tick(self, step_s):
        free = sum(endpoint.free for endpoint in self.endpoints)
        waiting = sum(len(router.waiting) for router in self.routers)
        self.idle_while_waiting_s += min(free, waiting) * step_s
        for router in self.routers:
            if router.waiting:
                self.pump(router)
                for waiter, refusal in router.queue.remove_unfinishable(
                    self.capacity(router), self.now
                ):
                    caller = router.waiting.pop(waiter.sequence)[1]
                    self.refuse(caller, refusal.retry_after_s)

    def capacity(self, router, is_excess=False):
        up = self.up
        per_slot = contention.requests_per_slot_max(True, is_excess)
        limit = contention.limit(SLOTS, per_slot)
        own = [router.own[index] for index in up]
        total = [router.own[index] + router.of_peers[index] for index in up]
        free = sum(max(0, limit - load) for load in total)
        slots, routers = SLOTS * len(up), len(self.routers)
        return contention.Capacity(
            slots, limit * len(up), free, sum(own), routers, True
        )

    def best(self, router, per_slot, known_since=-1.0):
        """Returns the least loaded endpoint with room by what is believed."""
        estimates = [
            (router.own[index] + router.of_peers[index], index)
            for index in self.up
        ]
        for estimate, index in sorted(estimates):
            is_believed = router.known_at[index] > known_since
            if estimate < contention.limit(SLOTS, per_slot) or not is_believed:
                return index
        return None

    def best_in_quota(self, router, waiter):
        capacity = self.capacity(router, waiter.is_excess)
        quota = contention.quota(capacity, self.rng)
        best = None
        if capacity.own < quota.total:
            per_slot = contention.requests_per_slot_max(True, waiter.is_excess)
            best = self.best(router, per_slot)
        if best is None and capacity.own < quota.share:
            duration_s = router.queue.mean_duration_s
            load_trust_s = contention.load_trust_s(capacity, duration_s)
            best = self.best(router, 2.0, self.now - load_trust_s)
        return best

    def pump(self, router):
        while router.waiting and not contention.is_exhausted(
            self.capacity(router)
        ):
            waiter = next(router.queue.in_order(self.now))
            index = self.best_in_quota(router, waiter)
            if index is None:
                return
            router.queue.remove(waiter)
            caller = router.waiting.pop(waiter.sequence)[1]
            router.queue.record_sent(waiter)
            self.send(router, index, caller)

    def arrive(self, caller):
        caller.tries += 1
        router = self.rng.choice(self.routers)
        if self.is_baseline:
            index = self.best(router, 2.0)
            if index is None:
                self.refuse(caller, 0.3)
            else:
                self.send(router, index, caller)
            return
        request = caller.request._replace(received=self.now)
        waiter = router.queue.arrive(request, self.now)
        if router.queue.is_contended(self.now):
            self.pump(router)
            index = self.best_in_quota(router, waiter)
        else:
            index = self.best(router, contention.requests_per_slot_max(True))
        if index is not None:
            router.queue.record_sent(waiter)
            self.send(router, index, caller)
            return
        capacity = self.capacity(router)
        refusal = router.queue.add(waiter, capacity, self.now)
        if refusal is not None:
            self.refuse(caller, refusal.retry_after_s)
            return
        router.waiting[waiter.sequence] = (waiter, caller)
        if len(router.waiting) > QUEUE_MAX:
            last = router.queue.last(self.now)
            router.queue.remove(last)
            refusal = router.queue.refuse(last, "queue", capacity, self.now)
            self.refuse(
                router.waiting.pop(last.sequence)[1], refusal.retry_after_s
            )

    def refuse(self, caller, retry_after_s):
        self.refused_while_free += any(e.free for e in self.endpoints)
        tries_max = TRIES_MAX
        if self.load.is_storm:
            retry_after_s = self.rng.uniform(0.01, 0.05)
            tries_max *= 3
        back = self.now + retry_after_s
        if caller.tries < tries_max and back < caller.request.deadline - WORK_S:
            self.at(back, self.arrive, caller)

    def send(self, router, index, caller):
        endpoint = self.endpoints[index]
        router.own[index] += 1
        job = (router, index, caller, self.now)
        if endpoint.running < SLOTS:
            self.start(endpoint, job)
        elif len(endpoint.queue) < ENDPOINT_QUEUE:
            endpoint.queue.append(job)
        else:
            self.rejected += 1
            router.own[index] -= 1
            router.learn(index, endpoint.load, self.now)
            self.refuse(caller, 0.3)

    def start(self, endpoint, job):
        endpoint.running += 1
        work_s = WORK_S * self.rng.uniform(0.6, 1.4)
        self.at(self.now + work_s, self.finish, endpoint, job)

    def finish(self, endpoint, job):
        router, index, caller, sent = job
        endpoint.running -= 1
        if endpoint.queue:
            self.start(endpoint, endpoint.queue.popleft())
        router.own[index] -= 1
        # An answer tells the whole load of its endpoint.
        router.learn(index, endpoint.load, self.now)
        if self.now <= caller.request.deadline:
            caller.took_s = self.now - caller.at
        if not self.is_baseline:
            router.queue.record_end("", self.now - sent)
            self.pump(router)


def served(callers):
    """Returns the share of requests that were answered in time."""
    return sum(c.took_s is not None for c in callers) / max(1, len(callers))


def on_time(callers):
    times = [c.took_s for c in callers if c.took_s is not None]
    return sum(took_s <= TARGET_S for took_s in times) / max(1, len(callers))


def p95_s(callers):
    times = sorted(math.inf if c.took_s is None else c.took_s for c in callers)
    return times[int(0.95 * len(times))]


def everyone(caller):
    return TROUBLE[0] + 1 <= caller.at < TROUBLE[1]


def of_other_accounts(caller):
    return everyone(caller) and caller.request.account != ACCOUNTS[-1]


def of_other_prompts(caller):
    return everyone(caller) and caller.request.prompt != "hot"


def test_quiet_day_is_as_without_admission():
    """Guards against waits while there is room."""
    usual, now = (Simulation(Load(), old).run() for old in (True, False))
    assert served(now.callers) == 1.0
    assert p95_s(now.callers) <= 1.05 * p95_s(usual.callers)


# The group is those who must not suffer; then the least share of them that is
# served, of all and of rank 0 that is on time, and the most refused in vain.
BURST, FLOOD = Load(burst=2.4), Load(flood=20)
LOADS = {
    "burst": (BURST, everyone, (0.72, 0.5, 0.99, 0)),
    "flood": (FLOOD, of_other_accounts, (0.99, 0.95, 0.99, 0.01)),
    "storm": (BURST._replace(is_storm=True), everyone, (0.72, 0.45, 0.99, 0)),
    "hot prompt": (
        BURST._replace(hot_share=0.5),
        of_other_prompts,
        (0.99, 0.95, 0.99, 0.02),
    ),
    "third lost": (Load(burst=1.9, lost=1), everyone, (0.63, 0.4, 0.98, 0.01)),
    "many routers": (
        BURST._replace(routers=25, has_reports=False),
        everyone,
        (0.72, 0.45, 0.9, 0.1),
    ),
    "one router": (BURST._replace(routers=1), everyone, (0.72, 0.45, 0.99, 0)),
    "flood at one router": (
        FLOOD._replace(routers=1),
        of_other_accounts,
        (0.99, 0.99, 0.99, 0),
    ),
}


@pytest.mark.parametrize(("load", "group", "bounds"), LOADS.values(), ids=LOADS)
def test_callers_get_more_under_load_and_urgent_ones_first(load, group, bounds):
    """Guards against the trouble of each load reaching those it need not.

    Also against refusals and idle slots while others could be served, and
    against a class that is served less often than a less urgent one.
    """
    least, on_time_least, urgent_least, vain_most = bounds
    before, now = (Simulation(load, old).run() for old in (True, False))
    callers = [c for c in now.callers if group(c)]
    callers_before = [c for c in before.callers if group(c)]
    assert least <= served(callers) > served(callers_before)
    assert on_time(callers) >= on_time_least
    assert on_time(callers) > 1.3 * on_time(callers_before)
    by_rank = [
        [c for c in callers if c.request.rank == rank] for rank in RANK_SHARES
    ]
    assert on_time(by_rank[0]) >= urgent_least
    # One in a hundred may be refused by a router that knows little.
    assert served(by_rank[0]) >= served(by_rank[1]) - 0.01
    assert served(by_rank[1]) >= served(by_rank[2]) - 0.01
    assert now.refused_while_free <= vain_most * len(now.callers)
    trouble_slot_s = SLOTS * ENDPOINTS * (TROUBLE[1] - TROUBLE[0])
    assert now.idle_while_waiting_s <= 0.08 * trouble_slot_s
    assert now.rejected <= 0.01 * len(now.callers)
