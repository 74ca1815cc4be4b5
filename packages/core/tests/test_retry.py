from nutmegpost_core import retry


def test_retries_stay_a_share_of_first_attempts():
    budget = retry.RetryBudget(share=0.1, burst=5.0)
    granted = 0
    for number in range(1000):
        budget.record_first_attempt(float(number))
        granted += budget.try_spend(float(number))
    assert 100 <= granted <= 105


def test_time_alone_adds_no_retries():
    budget = retry.RetryBudget(share=0.1, burst=1.0)
    assert budget.available == 1
    assert budget.try_spend(0.0)
    assert not budget.try_spend(1e9)
