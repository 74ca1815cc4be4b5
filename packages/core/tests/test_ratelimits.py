import random

import pytest

from nutmegpost_core import ratelimits

# The requirements allow one and a half times the limit and 5 requests more in
# each span of 4 s.
WINDOW_S = 4.0


def _fleet(count):
    names = [f"r{number}" for number in range(count)]
    tables = [ratelimits.EndpointLimits(name) for name in names]
    for table in tables:
        table.set_routers(names)
    return tables


def _send(tables, seconds, requests_per_s, rng, start=0.0):
    """Sends requests to random routers; returns the times of those sent."""
    sent = []
    at = start
    while at < start + seconds:
        at += rng.expovariate(requests_per_s)
        table = rng.choice(tables)
        if not table.exhausted(["e"], at):
            table.record_sent("e", at)
            sent.append(at)
    return sent


def _most_in_window(times):
    return max(
        sum(start <= at < start + WINDOW_S for at in times) for start in times
    )


@pytest.mark.parametrize("routers", [1, 4, 27, 77, 300])
@pytest.mark.parametrize("limit", [0.4, 2.3, 10.0, 60.0])
def test_all_routers_together_keep_the_limit_of_an_endpoint(routers, limit):
    tables = _fleet(routers)
    for table in tables:
        table.record("e", limit, 0.0)
    rng = random.Random(routers)
    sent = _send(tables, 30.0, 20 * limit * routers, rng)
    assert _most_in_window(sent) <= 1.5 * limit * WINDOW_S + 5
    # Most of the limit is used.
    assert len(sent) >= 0.8 * limit * 30.0


def test_a_burst_after_a_quiet_time_keeps_the_limit():
    tables = _fleet(27)
    for table in tables:
        table.record("e", 2.0, 0.0)
    sent = _send(tables, WINDOW_S, 500.0, random.Random(1), 20.0)
    assert len(sent) <= 1.5 * 2.0 * WINDOW_S + 5


def test_an_endpoint_without_a_limit_is_never_exhausted():
    (table,) = _fleet(1)
    for _ in range(100):
        table.record_sent("e", 0.0)
    assert not table.exhausted(["e"], 0.0)


def test_an_endpoint_that_names_no_limit_any_more_is_free():
    (table,) = _fleet(1)
    assert table.record("e", 1.0, 0.0)
    table.record_sent("e", 0.0)
    assert table.exhausted(["e"], 0.0) == {"e"}
    assert table.record("e", None, 0.1)
    assert not table.record("e", None, 0.2)
    assert not table.exhausted(["e"], 0.2)


def test_only_changes_and_old_limits_are_announced():
    (table,) = _fleet(1)
    assert table.record("e", 10.0, 0.0)
    assert not table.record("e", 10.0, 1.0)
    assert not table.record("e", 10.5, 2.0)
    assert table.record("e", 20.0, 3.0)
    assert table.record("e", 20.0, 3.0 + ratelimits.LIMIT_LIFETIME_S / 2)


def test_a_limit_without_answers_and_that_of_a_lost_endpoint_are_discarded():
    (table,) = _fleet(1)
    table.record("e", 1.0, 0.0)
    table.record("lost", 1.0, 50.0)
    table.retain({"e"}, 59.0)
    assert set(table.limits) == {"e"}
    table.retain({"e"}, ratelimits.LIMIT_LIFETIME_S)
    assert not table.limits


def test_a_router_that_leaves_sends_nothing_to_a_limited_endpoint():
    first, second = _fleet(2)
    for table in (first, second):
        table.record("e", 2.0, 0.0)
        table.set_routers(["r1"])
    assert first.exhausted(["e"], 5.0)
    assert not second.exhausted(["e"], 5.0)


def test_refused_callers_are_told_to_return_one_after_the_other():
    (table,) = _fleet(1)
    table.record("e", 2.0, 0.0)
    table.record_sent("e", 0.0)
    returns = [table.return_after_s("s", ["e"], 0.0) for _ in range(4)]
    assert returns == pytest.approx([0.5, 1.0, 1.5, 2.0])
    many = [table.return_after_s("s", ["e"], 0.0) for _ in range(200)]
    assert max(many) == ratelimits.RETURN_MAX_S


def test_a_router_that_sends_nothing_to_a_limited_endpoint_names_a_return():
    tables = _fleet(50)
    for table in tables:
        table.record("e", 2.0, 0.0)
    silent = [table for table in tables if table.exhausted(["e"], 0.0)]
    assert len(silent) > 40
    returns = [silent[0].return_after_s("s", ["e"], 0.0) for _ in range(2)]
    assert returns == pytest.approx([25.0, ratelimits.RETURN_MAX_S])


def test_a_router_that_knows_no_router_that_takes_requests_names_a_return():
    (table,) = _fleet(1)
    table.record("e", 2.0, 0.0)
    table.set_routers([])
    assert table.exhausted(["e"], 0.0) == {"e"}
    assert table.return_after_s("s", ["e"], 0.0) == pytest.approx(0.5)


def test_a_limit_of_zero_sends_nothing():
    (table,) = _fleet(1)
    table.record("e", 0.0, 0.0)
    assert table.exhausted(["e"], 50.0) == {"e"}
    assert table.return_after_s("s", ["e"], 0.0) == ratelimits.RETURN_MAX_S
