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


def _record(rate, token_s, fixed_s, queued_every=0, count=200):
    for number in range(count):
        queued_s = 0.5 if queued_every and number % queued_every == 0 else 0.0
        rate.record_answer(fixed_s, 100)
        rate.record_answer(fixed_s + queued_s + 10_000 * token_s, 10_000)


@pytest.mark.parametrize("tokens_per_s", [20_000.0, 157_000.0])
def test_rate_is_learnt_whatever_it_is(tokens_per_s):
    rate = prefill.PrefillRate()
    _record(rate, 1 / tokens_per_s, 0.026)
    assert rate.tokens_per_s == pytest.approx(tokens_per_s, rel=0.1)


def test_queued_requests_do_not_lower_the_rate():
    rate = prefill.PrefillRate()
    _record(rate, 1 / 100_000, 0.026, queued_every=2)
    assert rate.tokens_per_s == pytest.approx(100_000, rel=0.15)
