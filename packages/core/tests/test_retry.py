from nutmegpost_core import retry


def test_retries_stay_a_share_of_first_attempts():
    budget = retry.RetryBudget(share=0.1, burst=5.0)
    granted = 0
    for number in range(1000):
        budget.attempted(float(number))
        granted += budget.may_retry(float(number))
    assert 100 <= granted <= 105


def test_time_alone_earns_nothing():
    budget = retry.RetryBudget(share=0.1, burst=1.0)
    assert budget.available == 1
    assert budget.may_retry(0.0)
    assert not budget.may_retry(1e9)
