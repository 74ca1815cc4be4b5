from nutmegpost_core import tracked_loads

LIFETIME_S = tracked_loads.PART_LIFETIME_S


def test_the_part_of_the_router_that_asks_is_left_out():
    tracked = tracked_loads.TrackedLoads()
    tracked.record("e-1", "r-1", 2, 10.0)
    tracked.record("e-1", "r-2", 3, 10.0)
    tracked.record("e-2", "r-3", 9, 10.0)
    assert tracked.others("e-1", "r-1") == 3
    assert tracked.others("e-1", "r-4") == 5
    assert tracked.others("e-3", "r-1") == 0


def test_a_part_replaces_the_previous_one_of_the_same_router():
    tracked = tracked_loads.TrackedLoads()
    tracked.record("e-1", "r-1", 2, 10.0)
    tracked.record("e-1", "r-1", 5, 10.1)
    assert tracked.others("e-1", "r-2") == 5
    tracked.record("e-1", "r-1", 0, 10.2)
    assert tracked.others("e-1", "r-2") == 0


def test_the_part_of_a_router_that_died_is_discarded():
    tracked = tracked_loads.TrackedLoads()
    tracked.record("e-1", "died", 5, 10.0)
    tracked.record("e-1", "lives", 2, 10.0)
    tracked.record("e-1", "lives", 2, 10.0 + LIFETIME_S)
    tracked.expire(10.1 + LIFETIME_S)
    assert tracked.others("e-1", "asks") == 2
    tracked.expire(10.1 + 2 * LIFETIME_S)
    assert tracked.others("e-1", "asks") == 0
