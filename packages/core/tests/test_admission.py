import math

from nutmegpost_core import admission

PACE = admission.Pace(width=1, mean_cost=100.0, rate=100.0)


def claim(key, deadline, cost=100.0, worth=1.0, backlog=0.0):
    return admission.Claim(key, deadline, cost, worth, backlog)


def test_nothing_is_refused_before_the_rate_is_known():
    pace = PACE._replace(rate=None)
    claims = [claim("a", 0.0), claim("b", 0.0)]
    assert admission.overdue(claims, "a", pace, 0.0) == []


def test_the_large_account_is_refused_for_the_small_one():
    claims = [
        claim("l1", 1.5, backlog=300.0),
        claim("l2", 2.5, backlog=300.0),
        claim("s", 2.6, backlog=100.0),
    ]
    assert admission.overdue(claims, "s", PACE, 0.0) == ["l2"]


def test_those_before_the_new_one_stay_though_late():
    claims = [claim("late", 0.5), claim("new", 9.0)]
    assert admission.overdue(claims, "new", PACE, 0.0) == []


def test_those_that_the_refused_one_did_not_delay_stay():
    claims = [claim("new", 1.5, worth=1.0), claim("late", 1.6, worth=2.0)]
    refused = admission.overdue(claims, "new", PACE, 0.0, 1, 100.0)
    assert refused == ["new"]


def test_wait_is_paced_by_those_that_run_first():
    pace = admission.Pace(width=4, mean_cost=100.0, rate=400.0)
    assert admission.wait_s(0, 0.0, pace) == 0.25
    assert admission.wait_s(3, 9e9, pace) == 1.0


def test_retry_after_is_bounded():
    assert admission.retry_after_s(0.0, 5.0) == admission.RETRY_AFTER_MIN_S
    assert admission.retry_after_s(12.0, 2.0) == 10.0
    most = admission.RETRY_AFTER_MAX_S
    assert admission.retry_after_s(math.inf, 2.0) == most


def test_weights_follow_worth_and_target():
    classes = [
        {"name": "q", "rank": 1, "first_token_ms": 500, "worth": 10.0},
        {"name": "d", "rank": 2, "first_token_ms": 5000, "worth": 10.0},
    ]
    assert admission.weights(classes) == {"q": 10.0, "d": 1.0}
