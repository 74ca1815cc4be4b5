from nutmegpost_core import outliers


def fail(detector, engine, count, now):
    return [detector.record_result(engine, False, now) for _ in range(count)]


def test_consecutive_failures_eject_for_a_time():
    detector = outliers.OutlierDetector(engine_count=10)
    assert fail(detector, "e1", outliers.EJECT_AFTER_FAILURES, 0.0)[-1]
    assert detector.is_ejected("e1", 1.0)
    assert not detector.is_ejected("e1", outliers.EJECTION_MIN_S)


def test_a_success_between_failures_prevents_ejection():
    detector = outliers.OutlierDetector(engine_count=10)
    for _ in range(50):
        fail(detector, "e1", outliers.EJECT_AFTER_FAILURES - 1, 0.0)
        detector.record_result("e1", True, 0.0)
    assert not detector.is_ejected("e1", 0.0)


def test_a_flapping_engine_is_ejected_longer_each_time():
    detector = outliers.OutlierDetector(engine_count=10)
    fail(detector, "e1", outliers.EJECT_AFTER_FAILURES, 0.0)
    assert detector.record_result("e1", False, outliers.EJECTION_MIN_S)
    assert detector.is_ejected("e1", outliers.EJECTION_MIN_S * 2.5)


def test_at_most_a_share_of_the_pool_is_ejected():
    detector = outliers.OutlierDetector(engine_count=10)
    for number in range(10):
        fail(detector, f"e{number}", 5, 0.0)
    assert len(detector.ejected(0.0)) == int(10 * outliers.EJECTED_SHARE_MAX)


def test_records_of_removed_engines_are_dropped():
    detector = outliers.OutlierDetector(engine_count=10)
    fail(detector, "e1", 3, 0.0)
    detector.set_engines({"e2", "e3"})
    assert detector.ejected(0.0) == set()


def test_an_engine_that_fails_part_of_its_requests_is_ejected():
    detector = outliers.OutlierDetector(
        4, ejected_share_max=0.5, failure_decay=0.7
    )
    assert not detector.record_result("a", False, 0.0, weight=2.0)
    assert not detector.record_result("a", True, 0.1)
    assert detector.record_result("a", False, 0.2, weight=2.0)
    assert detector.is_ejected("a", 0.3)


def test_an_engine_that_rarely_fails_is_not_ejected():
    detector = outliers.OutlierDetector(
        4, ejected_share_max=0.5, failure_decay=0.7
    )
    for round_number in range(200):
        succeeded = round_number % 7 != 0
        assert not detector.record_result("a", succeeded, round_number * 0.1)
