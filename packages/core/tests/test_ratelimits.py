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


# The cold endpoints of a deployment that was asked for: 9.3 requests a second,
# and one and a half times as many and 5 more in any one second.
COLD = ratelimits.ColdRate(9.3, 9.3 * 1.5 + 5)
COLD_S = 60.0


def _cold_fleet(count, seen=None, at=0.0):
    """Returns the tables of a fleet in which all know of a cold endpoint.

    Args:
        count: Number of routers.
        seen: Returns the routers that a router sees; all if None.
        at: Time at which the endpoint becomes cold.
    """
    names = [f"r{number}" for number in range(count)]
    tables = []
    for name in names:
        table = ratelimits.EndpointLimits(name)
        table.set_routers(names, at, count)
        table.set_routers(seen(name, names) if seen else names, at, count)
        table.limit_cold("e", COLD, at + COLD_S, at)
        tables.append(table)
    return tables


def _most_in_second(times):
    return max(
        (sum(start <= at < start + 1.0 for at in times) for start in times),
        default=0,
    )


@pytest.mark.parametrize("routers", [2, 4, 25, 135, 300])
def test_flood_of_a_cold_endpoint_stays_within_its_bound(routers):
    tables = _cold_fleet(routers)
    sent = _send(tables, 20.0, 100.0 * routers, random.Random(routers))
    assert _most_in_second(sent) <= COLD.window_max
    # A limit that keeps nearly everything out would pass too.
    assert len(sent) >= 0.8 * COLD.requests_per_s * 20.0


def test_burst_at_a_cold_endpoint_after_a_quiet_time_stays_within_its_bound():
    tables = _cold_fleet(25)
    sent = _send(tables, 1.0, 5000.0, random.Random(1), 30.0)
    assert len(sent) <= COLD.window_max


@pytest.mark.parametrize("seed", range(10))
def test_routers_that_see_other_parts_of_the_fleet_stay_within_the_bound(seed):
    rng = random.Random(seed)

    def seen(name, names):
        return {name, *rng.sample(names, 20)}

    sent = _send(_cold_fleet(25, seen), 10.0, 2500.0, rng)
    assert _most_in_second(sent) <= COLD.window_max


@pytest.mark.parametrize("parts", [2, 3, 5])
def test_partitioned_routers_stay_within_the_bound(parts):
    def seen(name, names):
        return [each for each in names if int(each[1:]) % parts == own(name)]

    def own(name):
        return int(name[1:]) % parts

    sent = _send(_cold_fleet(25, seen), 10.0, 2500.0, random.Random(parts))
    assert 0 < _most_in_second(sent) <= COLD.window_max


def test_routers_that_join_and_leave_all_the_time_stay_within_the_bound():
    rng = random.Random(3)
    names = [f"r{number}" for number in range(25)]
    tables = _cold_fleet(25)
    sent = []
    for step in range(100):
        at = step * 0.2
        seen = rng.sample(names, rng.randint(20, 25))
        for table in tables:
            table.set_routers(seen, at, 25)
        sent += _send(tables, 0.2, 2500.0, rng, at)
    assert _most_in_second(sent) <= COLD.window_max


def test_router_that_met_no_other_sends_one_request_a_second():
    table = ratelimits.EndpointLimits("r0")
    table.set_routers(["r0"], 0.0, 4)
    table.limit_cold("e", COLD, COLD_S, 0.0)
    assert not table.has_met_routers
    assert table.exhausted(["e"], 0.9) == {"e"}
    sent = _send([table], 10.0, 200.0, random.Random(1))
    assert 9 <= len(sent) <= 10


def test_router_that_lost_sight_of_all_others_leaves_the_endpoint_to_them():
    (table, *_) = _cold_fleet(25, lambda name, names: [name])
    assert table.exhausted(["e"], 30.0) == {"e"}


def test_buckets_of_an_endpoint_that_becomes_cold_again_start_empty():
    (table, *_) = _cold_fleet(2)
    assert not table.exhausted(["e"], 1.0)
    # Warm endpoints have no limit.
    assert not table.exhausted(["e"], COLD_S)
    table.limit_cold("e", COLD, 2 * COLD_S, COLD_S + 5.0)
    assert table.exhausted(["e"], COLD_S + 5.0) == {"e"}


def test_longer_warm_up_of_a_cold_endpoint_fills_no_bucket():
    (table, *_) = _cold_fleet(2)
    table.record_sent("e", 10.0)
    table.limit_cold("e", COLD, 2 * COLD_S, 10.0)
    assert table.exhausted(["e"], 10.1) == {"e"}


@pytest.mark.parametrize("named_per_s", [2.0, 50.0])
def test_lower_one_of_a_named_and_a_cold_limit_holds(named_per_s):
    tables = _cold_fleet(4)
    for table in tables:
        table.record("e", named_per_s, 0.0)
    sent = _send(tables, 10.0, 1000.0, random.Random(1))
    lower = min(named_per_s, COLD.requests_per_s)
    assert 0.8 * lower * 10 <= len(sent) <= lower * 10 + 4


def test_bound_below_the_rate_of_the_service_holds():
    table, other = _cold_fleet(2)
    for each in (table, other):
        each.limit_cold("e", ratelimits.ColdRate(9.0, 4.5), COLD_S, 0.0)
    sent = _send([table, other], 10.0, 500.0, random.Random(1))
    assert 0 < _most_in_second(sent) <= 4.5


def test_callers_refused_at_cold_endpoints_are_told_when_to_return():
    (table, *_) = _cold_fleet(2)
    first, second = (table.return_after_s("s", ["e"], 0.0) for _ in range(2))
    assert 0 < first < second < 1


def test_cold_limits_of_lost_endpoints_are_discarded():
    (table, *_) = _cold_fleet(2)
    table.retain({"other"}, 1.0)
    assert not table.cold_among(["e"], 1.0)
