import random

from nutmegpost_router import ticks


def test_tasks_with_different_intervals_wake_together():
    """Guards against one return from the event loop's wait for each task."""
    now = random.Random(3).uniform(0, 1e6)
    fast = [now]
    slow = [now + 0.03]
    for _ in range(1_000):
        fast.append(ticks.next_tick(fast[-1] + 0.002, 0.1))
        slow.append(ticks.next_tick(slow[-1] + 0.004, 0.2))
    times = {round(at, 6) for at in fast}
    assert all(round(at, 6) in times for at in slow[1:400])
    assert fast[-1] - fast[1] < 0.1 * 999 + 1e-3


def test_a_task_that_runs_late_does_not_run_twice_in_a_row():
    """Guards against a burst of reports after a busy moment."""
    rng = random.Random(4)
    for _ in range(1_000):
        now = rng.uniform(0, 1e6)
        assert 0.099 < ticks.next_tick(now, 0.2) - now < 0.301
