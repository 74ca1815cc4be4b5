import pytest

from nutmegpost_core import prefill


def test_the_time_of_a_token_is_learnt():
    learnt = prefill.Prefill()
    assert learnt.token_s == 0.0
    learnt.answered(0.2, 200)
    assert learnt.token_s == pytest.approx(0.001)
    for _ in range(100):
        learnt.answered(0.4, 200)
    assert learnt.token_s == pytest.approx(0.002, rel=0.01)


def test_short_prefills_say_nothing():
    learnt = prefill.Prefill()
    learnt.answered(0.2, 3)
    learnt.answered(0.0, 500)
    assert learnt.token_s == 0.0


def test_a_long_prefill_leaves_a_share_of_the_target():
    learnt = prefill.Prefill()
    learnt.answered(0.2, 200)
    assert learnt.target_s(0.5, 100, 0.5) == pytest.approx(0.4)
    assert learnt.target_s(0.5, 5000, 0.5) == pytest.approx(0.25)
    assert learnt.target_s(0.5, -7, 0.5) == pytest.approx(0.5)
