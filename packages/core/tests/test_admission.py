import math

from nutmegpost_core import admission

SERVICE_RATE = admission.ServiceRate(
    concurrency=1, mean_cost=100.0, tokens_per_s=100.0
)


def request(key, deadline, cost=100.0, worth=1.0, backlog=0.0):
    return admission.WaitingRequest(key, deadline, cost, worth, backlog)


def test_nothing_is_refused_before_the_rate_is_known():
    service_rate = SERVICE_RATE._replace(tokens_per_s=None)
    requests = [request("a", 0.0), request("b", 0.0)]
    assert admission.select_refusals(requests, "a", service_rate, 0.0) == []


def test_the_large_account_is_refused_for_the_small_one():
    requests = [
        request("l1", 1.5, backlog=300.0),
        request("l2", 2.5, backlog=300.0),
        request("s", 2.6, backlog=100.0),
    ]
    assert admission.select_refusals(requests, "s", SERVICE_RATE, 0.0) == ["l2"]


def test_late_requests_before_the_new_one_stay():
    requests = [request("late", 0.5), request("new", 9.0)]
    assert admission.select_refusals(requests, "new", SERVICE_RATE, 0.0) == []


def test_late_requests_not_delayed_by_the_refused_one_stay():
    requests = [request("new", 1.5, worth=1.0), request("late", 1.6, worth=2.0)]
    refused = admission.select_refusals(
        requests, "new", SERVICE_RATE, 0.0, 1, 100.0
    )
    assert refused == ["new"]


def test_first_starts_wait_for_running_requests():
    service_rate = admission.ServiceRate(
        concurrency=4, mean_cost=100.0, tokens_per_s=400.0
    )
    assert admission.expected_wait_s(0, 0.0, service_rate) == 0.25
    assert admission.expected_wait_s(3, 9e9, service_rate) == 1.0


def test_retry_after_is_bounded():
    assert admission.retry_after_s(0.0, 5.0) == admission.RETRY_AFTER_MIN_S
    assert admission.retry_after_s(12.0, 2.0) == 10.0
    longest = admission.RETRY_AFTER_MAX_S
    assert admission.retry_after_s(math.inf, 2.0) == longest


def test_weights_follow_worth_and_target():
    classes = [
        {"name": "q", "rank": 1, "first_token_ms": 500, "worth": 10.0},
        {"name": "d", "rank": 2, "first_token_ms": 5000, "worth": 10.0},
    ]
    assert admission.class_weights(classes) == {"q": 10.0, "d": 1.0}
