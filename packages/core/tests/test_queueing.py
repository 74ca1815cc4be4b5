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
        queue.offer(job(f"d{number}", "large", cost=4000.0), 0.0)
    queue.offer(job("q", "small", cost=100.0), 1.0)
    assert queue.take(1.0, 9).key == "q"
