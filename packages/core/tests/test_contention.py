"""Tests of single decisions; `test_contention_load.py` replays loads."""

import math
import random

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
    return [waiter.request.digest[-1] for waiter in waiting.in_order(now)]


def test_urgent_requests_go_first_then_those_that_can_be_on_time():
    """Guards against order of arrival, and answers just after their target."""
    waiting = queue()
    add(waiting, number=1, rank=2)
    add(waiting, number=2, rank=1, received=0.2)
    add(waiting, number=3, rank=1)
    add(waiting, number=4, rank=0)
    assert order(waiting, 0.0) == ["4", "3", "2", "1"]
    assert order(waiting, 0.25) == ["4", "2", "3", "1"]


def test_request_that_cannot_finish_is_refused_at_once():
    """Guards against holding a request until its caller is gone."""
    waiting = queue(1.0)
    for number in range(15):
        assert add(waiting, number=number, deadline=60.0)[1] is None
    _, refusal = add(waiting, number=20, deadline=1.4)
    assert refusal.reason == "late"
    assert 0 < refusal.retry_after_s <= 0.5
    # What waits is refused as soon as it is known, not at its deadline.
    last, _ = add(waiting, number=21, rank=0, deadline=1.2)
    assert [w for w, _ in waiting.remove_unfinishable(CAPACITY, 0.3)] == [last]


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
    """Guards against refused callers at the end, and retries at once."""
    waiting = queue()
    waiter, _ = add(waiting, number=1)
    back = waiting.refuse(waiter, "queue", CAPACITY, 0.0).retry_after_s
    waiting.remove(waiter)
    add(waiting, number=2)
    add(waiting, number=3, rank=0)
    assert not waiting.arrive(request(1), back / 2).is_returning
    add(waiting, back, number=1, received=back, target_s=1.0)
    assert order(waiting, back) == ["3", "1", "2"]


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
