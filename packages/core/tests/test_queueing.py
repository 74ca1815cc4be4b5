from nutmegpost_core import queueing


def job(key, account="a", rank=1, arrived=0.0, first=10.0, cost=100.0, **more):
    fields = {"finish_s": None, "worth": 1.0, **more}
    return queueing.Job(
        key, account, "c", rank, arrived, first, cost=cost, **fields
    )


def test_more_urgent_rank_goes_first():
    queue = queueing.EngineQueue(slots=1)
    queue.offer(job("low", rank=3), 0.0)
    queue.offer(job("high", rank=1), 0.0)
    assert queue.take(0.0, 9).key == "high"
    assert queue.take(0.0, 9) is None
    queue.finish("high", 1.0)
    assert queue.take(1.0, 9).key == "low"


def test_large_account_does_not_block_a_small_one():
    queue = queueing.EngineQueue(slots=1)
    for number in range(20):
        queue.offer(job(f"d{number}", "large", cost=4096.0), 0.0)
    # Both accounts start with the same credit, which the first job uses up.
    assert queue.take(0.0, 9).key == "d0"
    queue.offer(job("q", "small", cost=100.0), 1.0)
    queue.finish("d0", 1.0)
    assert queue.take(1.0, 9).key == "q"


def test_reserve_is_not_taken_from_the_limit():
    # With the reserve counted against the limit, a pool that was nearly idle
    # let nothing in, its mean stayed low, and so did the limit.
    queue = queueing.EngineQueue(slots=16)
    for number in range(200):
        queue.offer(job(f"u{number}", rank=1), float(number))
        queue.take(float(number), 1)
        queue.finish(f"u{number}", float(number))
    for number in range(200):
        queue.offer(job(f"m{number}", rank=3, cost=1000.0), 300.0)
        assert queue.take(300.0, 1).key == f"m{number}"
        queue.finish(f"m{number}", 301.0)
    queue.offer(job("last", rank=3), 302.0)
    assert queue.take(302.0, 1).key == "last"


def test_urgent_flood_leaves_the_floors():
    queue = queueing.EngineQueue(slots=1)
    served = {1: 0.0, 2: 0.0, 3: 0.0}
    for turn in range(4000):
        now = float(turn)
        for rank in (1, 2, 3):
            queue.offer(job(f"{rank}/{turn}", rank=rank, arrived=now), now)
        taken = queue.take(now, 9)
        served[taken.rank] += taken.cost
        queue.finish(taken.key, now + 0.9)
        queue.expire(now + 0.9)
    total = sum(served.values())
    assert served[2] / total >= 0.10
    assert served[3] / total >= 0.05
    assert served[1] / total >= 0.75
