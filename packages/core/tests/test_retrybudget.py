import hypothesis
from hypothesis import strategies

from nutmegpost_core import retrybudget

TERMS = retrybudget.Terms(ratio=0.2, extra=54.0, window_s=10.0)


def test_a_router_alone_has_the_whole_extra():
    found = retrybudget.RetryBudget(TERMS)
    spent = sum(found.spend("s", 1, 0.0) for _ in range(100))
    assert spent == 54


def test_the_extra_is_shared_by_all_routers():
    found = retrybudget.RetryBudget(TERMS)
    spent = sum(found.spend("s", 4, 0.0) for _ in range(100))
    assert spent == 13


def test_requests_add_their_ratio():
    found = retrybudget.RetryBudget(TERMS)
    for _ in range(50):
        found.request("s", 0.0)
    assert found.remaining("s", 54, 0.0) == 11


def test_services_have_budgets_of_their_own():
    found = retrybudget.RetryBudget(TERMS)
    while found.spend("s", 4, 0.0):
        pass
    assert found.spend("t", 4, 0.0)


def test_what_was_spent_returns_after_the_window():
    found = retrybudget.RetryBudget(TERMS)
    while found.spend("s", 4, 0.0):
        pass
    assert not found.spend("s", 4, 9.9)
    assert found.spend("s", 4, 10.1)


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3),
            strategies.booleans(),
            strategies.floats(0.0, 0.5),
        ),
        max_size=300,
    )
)
def test_all_routers_together_keep_the_budget_of_the_fleet(steps):
    routers = [retrybudget.RetryBudget(TERMS) for _ in range(4)]
    requests, retries = [], []
    now = 0.0
    for number, is_request, gap_s in steps:
        now += gap_s
        if is_request:
            routers[number].request("s", now)
            requests.append(now)
        elif routers[number].spend("s", 4, now):
            retries.append(now)
        recent = [at for at in retries if at >= now - TERMS.window_s]
        asked = [at for at in requests if at >= now - TERMS.window_s]
        assert len(recent) <= TERMS.ratio * len(asked) + TERMS.extra
