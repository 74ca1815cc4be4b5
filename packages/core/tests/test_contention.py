"""Tests of single decisions; `test_contention_load.py` replays loads."""

import math
import random
import time

from nutmegpost_core import contention

CAPACITY = contention.Capacity(18, 24.0, 0.0, 6, 1, True)
WORK_S = 0.05


def request(number=0, **fields):
    return contention.Request(
        "acme", "", "look", 1, 0.0, 0.2, 3.0, 0.0, f"digest-{number}"
    )._replace(**fields)


def queue(work_s=WORK_S):
    result = contention.ServiceQueue(random.Random(1))
    for _ in range(100):
        result.record_end("look", work_s)
    return result


def add(waiting, now=0.0, **fields):
    waiter = waiting.arrive(request(**fields), now)
    return waiter, waiting.add(waiter, CAPACITY, now)


def order(waiting, now=0.0):
    return [waiter.request.digest for waiter in waiting.in_order(now)]


def test_urgent_requests_go_first_then_those_that_are_due():
    """Guards against a queue in order of arrival."""
    waiting = queue()
    add(waiting, number=1, rank=2)
    add(waiting, number=2, rank=1, target_s=0.5)
    add(waiting, number=3, rank=1, target_s=0.2)
    add(waiting, number=4, rank=0)
    numbers = [digest[-1] for digest in order(waiting)]
    assert numbers == ["4", "3", "2", "1"]


def test_late_requests_wait_for_those_that_can_be_on_time():
    """Guards against serving every request just after its target."""
    waiting = queue()
    add(waiting, number=1, received=0.0)
    add(waiting, number=2, received=0.2)
    assert [digest[-1] for digest in order(waiting, 0.0)] == ["1", "2"]
    assert [digest[-1] for digest in order(waiting, 0.25)] == ["2", "1"]


def test_request_that_cannot_finish_is_refused_at_once():
    """Guards against holding a request until its caller is gone."""
    waiting = queue(1.0)
    for number in range(15):
        assert add(waiting, number=number, deadline=60.0)[1] is None
    waiter, refusal = add(waiting, number=20, deadline=1.4)
    assert refusal.reason == "late"
    assert 0 < refusal.retry_after_s <= 0.5
    waiting.remove(waiter)
    waiting.add(waiter, CAPACITY, 0.0)
    # What waits is refused as soon as it is known, not at its deadline.
    last = waiting.arrive(request(21, rank=0, deadline=1.2), 0.0)
    assert waiting.add(last, CAPACITY, 0.0) is None
    removed = waiting.hopeless(CAPACITY, 0.3)
    assert [waiter for waiter, _ in removed] == [last]


def test_least_urgent_request_leaves_a_full_queue():
    """Guards against refusing the newcomer whatever it is."""
    waiting = queue()
    worst, _ = add(waiting, number=1, rank=2)
    add(waiting, number=2, rank=0)
    assert waiting.last(0.0) is worst


def test_refused_callers_return_spread_and_within_their_time():
    """Guards against callers that return in sync, or too late."""
    waiting = queue()
    waiter, _ = add(waiting)
    times = [
        waiting.refuse(waiter, "queue", CAPACITY, 0.0).retry_after_s
        for _ in range(300)
    ]
    assert len(set(times)) > 250
    assert max(times) <= 1.0
    assert times[0] < 0.1


def test_caller_that_returns_as_agreed_goes_ahead_of_its_rank():
    """Guards against starting a refused caller at the end again."""
    waiting = queue()
    waiter, _ = add(waiting, number=1)
    refusal = waiting.refuse(waiter, "queue", CAPACITY, 0.0)
    waiting.remove(waiter)
    add(waiting, number=2, received=0.0)
    add(waiting, number=3, rank=0)
    back = refusal.retry_after_s
    add(waiting, back, number=1, received=back, target_s=1.0)
    numbers = [digest[-1] for digest in order(waiting, back)]
    assert numbers == ["3", "1", "2"]


def test_caller_that_returns_early_has_no_advantage():
    """Guards against rewarding retries without a pause."""
    waiting = queue()
    waiter, _ = add(waiting, number=1)
    add(waiting, number=2)
    refusal = waiting.refuse(waiter, "queue", CAPACITY, 0.0)
    early = refusal.retry_after_s / 2
    assert not waiting.arrive(request(1), early).is_returning
    assert waiting.arrive(request(1), refusal.retry_after_s).is_returning


def test_only_what_exceeds_the_usual_demand_is_excess():
    """Guards against accounts that suffer from a general burst."""
    shares = contention.DemandShares()
    rng = random.Random(1)
    arrivals = {"usual": 0, "burst": 0, "flood": 0}
    excess = {"usual": 0, "burst": 0, "flood": 0}
    for step in range(4500):
        now = step * 0.01
        phase = ("usual", "burst", "flood")[step // 1500]
        for name, rate in (("small", 1), ("large", 20)):
            growth = {"usual": 1, "burst": 3, "flood": 1}[phase]
            if phase == "flood" and name == "small":
                growth = 20
            if rng.random() < rate * growth * 0.01:
                arrivals[phase] += 1
                is_excess = shares.record_arrival(name, 1.0, now)
                excess[phase] += is_excess
                assert not (is_excess and name == "large")
    assert excess["usual"] + excess["burst"] <= 0.02 * arrivals["burst"]
    assert excess["flood"] > 0.2 * arrivals["flood"]


def test_quota_follows_what_is_known_of_the_capacity():
    """Guards against herds, idle slots, and a router that fills a service."""
    rng = random.Random(1)
    unknown = CAPACITY._replace(routers=4, free=24.0, own=0, is_known=False)
    assert contention.quota(unknown, rng) == (6, 6)
    assert contention.quota(unknown._replace(routers=50), rng).total == 1
    alone = CAPACITY._replace(free=2.5)
    assert contention.quota(alone, rng).total >= 9
    many = CAPACITY._replace(free=6.0, own=1, routers=25)
    claimed = sum(contention.quota(many, rng).total - 1 for _ in range(25))
    assert 6 <= claimed <= 24
    unlimited = many._replace(limit=math.inf, free=math.inf)
    assert contention.quota(unlimited, rng).total == math.inf


def test_decision_without_contention_is_cheap():
    """Guards against a cost that all requests pay on quiet days."""
    waiting = queue()
    count = 2000
    started = time.perf_counter()
    for step in range(count):
        now = step * 0.01
        waiter = waiting.arrive(request(step, account=f"a{step % 50}"), now)
        assert not waiting.is_contended(now)
        waiting.record_sent(waiter)
    assert (time.perf_counter() - started) / count < 50e-6
