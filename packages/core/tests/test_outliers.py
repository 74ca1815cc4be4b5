from nutmegpost_core import outliers


def fail(tracker, engine, count, now):
    return [tracker.result(engine, False, now) for _ in range(count)]


def test_failures_in_a_row_eject_and_time_returns():
    tracker = outliers.Outliers(engines=10)
    assert fail(tracker, "e1", outliers.EJECT_AFTER, 0.0)[-1]
    assert tracker.is_out("e1", 1.0)
    assert not tracker.is_out("e1", outliers.OUT_MIN_S)


def test_a_success_between_failures_keeps_it_in():
    tracker = outliers.Outliers(engines=10)
    for _ in range(50):
        fail(tracker, "e1", outliers.EJECT_AFTER - 1, 0.0)
        tracker.result("e1", True, 0.0)
    assert not tracker.is_out("e1", 0.0)


def test_a_flapping_engine_stays_out_longer_each_time():
    tracker = outliers.Outliers(engines=10)
    fail(tracker, "e1", outliers.EJECT_AFTER, 0.0)
    assert tracker.result("e1", False, outliers.OUT_MIN_S)
    assert tracker.is_out("e1", outliers.OUT_MIN_S * 2.5)


def test_no_more_than_a_share_of_the_pool_is_out():
    tracker = outliers.Outliers(engines=10)
    for number in range(10):
        fail(tracker, f"e{number}", 5, 0.0)
    assert len(tracker.ejected(0.0)) == int(10 * outliers.SHARE_MAX)


def test_engines_that_left_are_forgotten():
    tracker = outliers.Outliers(engines=10)
    fail(tracker, "e1", 3, 0.0)
    tracker.set_engines({"e2", "e3"})
    assert tracker.ejected(0.0) == set()


def test_an_engine_that_breaks_a_part_of_its_answers_is_ejected():
    found = outliers.Outliers(4, share_max=0.5, kept_by_success=0.7)
    assert not found.result("a", False, 0.0, weight=2.0)
    assert not found.result("a", True, 0.1)
    assert found.result("a", False, 0.2, weight=2.0)
    assert found.is_out("a", 0.3)


def test_an_engine_that_seldom_fails_is_not_ejected():
    found = outliers.Outliers(4, share_max=0.5, kept_by_success=0.7)
    for round_number in range(200):
        ok = round_number % 7 != 0
        assert not found.result("a", ok, round_number * 0.1)
