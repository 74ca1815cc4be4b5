"""Common times for the periodic work of all tasks of a process.

Tasks that wake at the same time share one return from the event loop's wait,
which costs an idle process more than most of the work that it then does. The
phase is random, so that many processes on one machine do not wake together.
"""

import random

__all__ = ["next_tick"]

_PHASE_S = random.random()


def next_tick(now: float, interval_s: float) -> float:
    """Returns the next common time of an interval.

    It is between half an interval and one and a half intervals away, so that a
    task that runs late skips a time instead of running twice in a row.

    Args:
        now: Monotonic time, seconds.
        interval_s: Interval, seconds; multiples of each other share times.
    """
    return _PHASE_S + (round((now - _PHASE_S) / interval_s) + 1) * interval_s
