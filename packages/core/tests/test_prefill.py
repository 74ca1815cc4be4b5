import pytest

from nutmegpost_core import prefill


def test_token_time_is_estimated_from_answers():
    estimator = prefill.PrefillEstimator()
    assert estimator.token_s == 0.0
    estimator.record_answer(0.2, 200)
    assert estimator.token_s == pytest.approx(0.001)
    for _ in range(100):
        estimator.record_answer(0.4, 200)
    assert estimator.token_s == pytest.approx(0.002, rel=0.01)


def test_short_prefills_are_ignored():
    estimator = prefill.PrefillEstimator()
    estimator.record_answer(0.2, 3)
    estimator.record_answer(0.0, 500)
    assert estimator.token_s == 0.0


def test_a_long_prefill_leaves_a_share_of_the_target():
    estimator = prefill.PrefillEstimator()
    estimator.record_answer(0.2, 200)
    assert estimator.queue_target_s(0.5, 100, 0.5) == pytest.approx(0.4)
    assert estimator.queue_target_s(0.5, 5000, 0.5) == pytest.approx(0.25)
    assert estimator.queue_target_s(0.5, -7, 0.5) == pytest.approx(0.5)
