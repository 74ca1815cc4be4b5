import random

from nutmegpost_core import liveness


def _serve(detector, names, seconds, gap_s, start=0.0):
    """Opens a request on each endpoint, which then sends at equal gaps."""
    for name in names:
        detector.begin(name, "engines", start)
    now = start
    while now < start + seconds:
        now += gap_s
        for name in names:
            detector.record_sign(name, now)
    return now


def test_an_endpoint_is_silent_when_others_of_its_service_send():
    silences = []
    detector = liveness.LivenessDetector(silences.append)
    now = _serve(detector, ["e1", "e2"], 5.0, 0.05)
    for step in range(1, 24):
        detector.record_sign("e2", now + 0.05 * step)
    assert not detector.is_silent("e1", now + 0.9)
    assert silences == []
    assert detector.is_silent("e1", now + 1.2)
    assert not detector.is_silent("e2", now + 1.2)
    assert not detector.is_silent("unknown", now + 1.2)
    assert [silence.endpoint for silence in silences] == ["e1"]


def test_no_endpoint_is_silent_when_all_are_slow():
    detector = liveness.LivenessDetector()
    rng = random.Random(1)
    detector.begin("e1", "engines", 0.0)
    now = 0.0
    silent = 0
    for number in range(400):
        now += rng.uniform(0.7, 2.8)
        # The first answers teach the detector what is usual.
        if number > 50:
            silent += detector.is_silent("e1", now)
        detector.record_sign("e1", now)
    assert silent == 0


def test_an_endpoint_without_open_requests_is_not_silent():
    detector = liveness.LivenessDetector()
    now = _serve(detector, ["e1"], 1.0, 0.05)
    detector.end("e1")
    assert not detector.is_silent("e1", now + 60)
    detector.begin("e1", "engines", now + 60)
    assert not detector.is_silent("e1", now + 60.9)
    assert detector.is_silent("e1", now + 61.1)


def test_a_silent_endpoint_is_tried_with_repeatable_requests_only():
    detector = liveness.LivenessDetector()
    now = _serve(detector, ["e1"], 1.0, 0.05) + 1.1
    assert detector.avoided(False, now) == {"e1"}
    assert detector.avoided(True, now) == {"e1"}
    later = now + liveness.TRIAL_INTERVAL_S
    assert detector.avoided(False, later) == {"e1"}
    assert detector.avoided(True, later) == set()
    detector.record_trial("e1", later)
    assert detector.avoided(True, later + 0.1) == {"e1"}


def test_an_endpoint_is_used_again_at_once_when_it_sends():
    detector = liveness.LivenessDetector()
    now = _serve(detector, ["e1"], 1.0, 0.05) + 1.1
    assert detector.avoided(False, now) == {"e1"}
    detector.record_sign("e1", now + 0.1)
    assert detector.avoided(False, now + 0.1) == set()


def test_avoidance_ends_when_no_request_is_open():
    detector = liveness.LivenessDetector()
    now = _serve(detector, ["e1"], 1.0, 0.05) + 1.1
    assert detector.is_silent("e1", now)
    detector.end("e1")
    assert detector.is_silent("e1", now + 1.0)
    assert not detector.is_silent("e1", now + liveness.AVOIDANCE_MAX_S)


def test_endpoints_that_are_gone_are_forgotten():
    detector = liveness.LivenessDetector()
    now = _serve(detector, ["e1", "e2"], 1.0, 0.05) + 1.1
    detector.end("e1")
    detector.retain(set())
    assert detector.avoided(False, now) == {"e2"}
