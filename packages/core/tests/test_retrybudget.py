import hypothesis
from hypothesis import strategies
import pytest

from nutmegpost_core import retrybudget

FLEET_BUDGET = retrybudget.FleetBudget(ratio=0.2, extra=54.0, window_s=10.0)


def test_a_single_router_has_the_whole_extra():
    budget = retrybudget.RetryBudget(FLEET_BUDGET)
    spent = sum(budget.try_spend("s", 1, 0.0) for _ in range(100))
    assert spent == 54


def test_the_extra_is_shared_by_all_routers():
    budget = retrybudget.RetryBudget(FLEET_BUDGET)
    spent = sum(budget.try_spend("s", 4, 0.0) for _ in range(100))
    assert spent == 13


def test_steady_requests_add_their_ratio():
    budget = retrybudget.RetryBudget(FLEET_BUDGET)
    spent = []
    for fifth in range(300):
        now = fifth / 5
        budget.record_request("s", now)
        if now >= 20 and budget.try_spend("s", 54, now):
            spent.append(now)
    # 50 requests in each window. Retries that may still arrive count.
    assert max(_count(spent, at - 1e-6) for at in spent) <= 11
    assert len(spent) >= 0.8 * 11 * 4


def test_requests_at_one_moment_add_a_third_of_their_ratio_for_a_window():
    budget = retrybudget.RetryBudget(FLEET_BUDGET)
    for _ in range(60):
        budget.record_request("s", 0.0)
    for at in (0.0, 1.0, 4.0, 7.0):
        assert budget.remaining("s", 54, at) == pytest.approx(5)
    assert budget.remaining("s", 54, 12.0) == 1


def test_services_have_separate_budgets():
    budget = retrybudget.RetryBudget(FLEET_BUDGET)
    while budget.try_spend("s", 4, 0.0):
        pass
    assert budget.try_spend("t", 4, 0.0)


def test_spent_retries_return_after_the_window():
    budget = retrybudget.RetryBudget(FLEET_BUDGET)
    while budget.try_spend("s", 4, 0.0):
        pass
    assert not budget.try_spend("s", 4, 9.9)
    # The first ones may have arrived one second after they were spent.
    assert not budget.try_spend("s", 4, 11.0)
    assert budget.try_spend("s", 4, 12.0)


def _count(times, start):
    return sum(start < at <= start + FLEET_BUDGET.window_s for at in times)


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3),
            strategies.booleans(),
            strategies.floats(0.0, 0.5),
            strategies.floats(0.0, 1.5),
        ),
        max_size=300,
    )
)
def test_all_routers_together_keep_the_budget_of_the_fleet(steps):
    routers = [retrybudget.RetryBudget(FLEET_BUDGET) for _ in range(4)]
    requests, arrivals = [], []
    now = 0.0
    for number, is_request, gap_s, delivery_s in steps:
        now += gap_s
        if is_request:
            routers[number].record_request("s", now)
            requests.append(now)
        elif routers[number].try_spend("s", 4, now):
            arrivals.append(now + delivery_s)
    window_s = FLEET_BUDGET.window_s
    starts = {at - window_s for at in arrivals}
    starts |= {at - 1e-6 for at in arrivals}
    for start in starts:
        counted = max(
            _count(requests, start - earlier_s)
            for earlier_s in (0, window_s / 2, window_s)
        )
        allowed = FLEET_BUDGET.ratio * counted + FLEET_BUDGET.extra
        assert _count(arrivals, start) <= allowed


# Guards against a process that spends what the one before it has spent.
def test_a_new_process_waits_until_no_window_has_retries_of_the_one_before():
    usable_from = retrybudget.extra_from(
        100.0, FLEET_BUDGET.window_s, is_first_start=False, has_peers=False
    )
    budget = retrybudget.RetryBudget(FLEET_BUDGET, usable_from)
    assert not budget.try_spend("s", 1, 100.0 + FLEET_BUDGET.window_s)
    assert usable_from > 101.0 + FLEET_BUDGET.window_s
    assert budget.try_spend("s", 1, usable_from)


def test_a_router_that_starts_with_the_whole_fleet_waits_to_meet_the_others():
    args = (100.0, FLEET_BUDGET.window_s)
    assert retrybudget.extra_from(*args, True, has_peers=False) == 100.0
    assert 110.0 < retrybudget.extra_from(*args, True, has_peers=True) < 125.0


@pytest.mark.parametrize("window_s", [0.2, 1.0, 60.0])
def test_windows_of_any_length_have_a_budget(window_s):
    budget = retrybudget.RetryBudget(
        retrybudget.FleetBudget(ratio=0.2, extra=5.0, window_s=window_s)
    )
    spent = 0
    for hundredth in range(1_000):
        budget.record_request("s", hundredth / 100)
        spent += budget.try_spend("s", 1, hundredth / 100)
    assert spent >= 5
