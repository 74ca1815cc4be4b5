import collections
import heapq
import math
import random

import hypothesis
from hypothesis import strategies
import pytest

from nutmegpost_core import dispatch
from nutmegpost_core import endpoint_speeds
from nutmegpost_core import prefixes
from nutmegpost_core import roster

SLOW_PERCENT = 250
SLOW_S = 0.6
SLOW_SHARE = 0.15
LAG_MAX_S = 0.6
WORK_S = 0.0225
SLOTS = 6


def _endpoint(name, zone="zone-a"):
    return roster.Endpoint(
        name, "plain", "127.0.0.1:1", zone, SLOTS, False, 0.0, roster.Revision()
    )


def _choose(names, running, speeds, now, rng):
    slowdowns = speeds.slowdowns(names, now)
    policy = dispatch.Policy()
    if slowdowns:
        policy = policy._replace(delayed_work_s=speeds.delayed_work_s("plain"))
    return dispatch.choose(
        [_endpoint(name) for name in names],
        lambda name: dispatch.Load(running[name]),
        prefixes.PrefixCaches(),
        None,
        "zone-a",
        now,
        policy,
        speeds=dispatch.Speeds(slowdowns, rng) if slowdowns else None,
    ).endpoint.name


class _NoisyEndpoints:
    """Endpoints with slow phases, whose figures lag."""

    def __init__(self, names, seconds, rng):
        self.names = names
        self._lag_s = {name: rng.uniform(0, LAG_MAX_S) for name in names}
        self._phases = {name: [] for name in names}
        usual_s = SLOW_S * (1 - SLOW_SHARE) / SLOW_SHARE
        for phases in self._phases.values():
            at = rng.expovariate(1 / usual_s)
            while at < seconds:
                until = at + rng.expovariate(1 / SLOW_S)
                phases.append((at, until))
                at = until + rng.expovariate(1 / usual_s)

    def slowdown(self, name, now):
        is_slow = any(at <= now < end for at, end in self._phases[name])
        return SLOW_PERCENT / 100 if is_slow else 1.0

    def reported(self, name, now):
        return int(100 * self.slowdown(name, now - self._lag_s[name]))


def _play(seed, uses_speeds, per_s=93, seconds=60, names="abc"):
    """Returns the sorted response times of a plain service, seconds."""
    rng = random.Random(seed)
    noisy = _NoisyEndpoints(names, seconds, rng)
    speeds = endpoint_speeds.EndpointSpeeds()
    running = collections.Counter()
    free_at = {name: [0.0] * SLOTS for name in names}
    ends, times = [], []
    now = 0.0
    while now < seconds:
        now += rng.expovariate(per_s)
        while ends and ends[0][0] <= now:
            at, name, started = heapq.heappop(ends)
            running[name] -= 1
            if uses_speeds:
                percent = noisy.reported(name, at)
                speeds.record(name, "plain", percent, at)
            speeds.record_duration(name, "plain", at - started, at)
        name = _choose(names, running, speeds, now, rng)
        begin = max(now, heapq.heappop(free_at[name]))
        end = begin + WORK_S * noisy.slowdown(name, begin)
        heapq.heappush(free_at[name], end)
        heapq.heappush(ends, (end, name, now))
        running[name] += 1
        times.append(end - now)
    return sorted(times)


def _recorded(figures, service="plain"):
    speeds = endpoint_speeds.EndpointSpeeds()
    for percent, at in figures:
        speeds.record("a", service, percent, at)
    return speeds


# Guards against figures that are read and make no difference: callers of a
# plain service would wait for slow endpoints as often as without them.
@pytest.mark.parametrize("seed", range(3))
def test_fewer_requests_are_sent_to_slow_endpoints(seed):
    slow = [
        sum(time > 2 * WORK_S for time in times) / len(times)
        for times in (_play(seed, False), _play(seed, True))
    ]
    assert slow[1] < 0.75 * slow[0]


# Guards against routers that all send to the endpoint whose figure is the
# lowest at the moment: it would get the load of all others.
def test_flipping_figures_do_not_make_routers_herd():
    names = "abcdef"
    rng = random.Random(1)
    routers = [endpoint_speeds.EndpointSpeeds() for _ in range(20)]
    sent = collections.Counter()
    running = collections.Counter()
    ends = []
    for step in range(4_000):
        now = step * 0.005
        while ends and ends[0][0] <= now:
            running[heapq.heappop(ends)[1]] -= 1
        for number, name in enumerate(names):
            if rng.random() < 0.1:
                percent = 100 if (now + number * 0.17) % 1.0 < 0.5 else 250
                rng.choice(routers).record(name, "plain", percent, now)
        name = _choose(names, running, rng.choice(routers), now, rng)
        running[name] += 1
        heapq.heappush(ends, (now + 0.2, name))
        sent[int(now / 0.5), name] += 1
    per_window = 100
    assert max(sent.values()) < 0.45 * per_window


def test_estimate_follows_a_slow_phase_and_its_end():
    speeds = _recorded([(100, 0.0), (250, 0.2), (250, 0.5)])
    assert speeds.slowdown("a", 0.5) > 1.5
    for at in (0.7, 0.9, 1.1, 1.3):
        speeds.record("a", "plain", 100, at)
    assert speeds.slowdown("a", 1.3) < 1.2


# Guards against an endpoint that gets nothing any more, as nothing but a
# response can show that its slow phase is over.
def test_figure_loses_half_its_weight_each_half_life():
    speeds = _recorded([(250, 0.0)])
    half_life_s = endpoint_speeds.HALF_LIFE_S
    assert speeds.slowdown("a", 0.0) == pytest.approx(2.5)
    assert speeds.slowdown("a", half_life_s) == pytest.approx(1.75)
    assert speeds.slowdown("a", 10 * half_life_s) == 1.0


@hypothesis.given(
    strategies.one_of(
        strategies.text(max_size=12),
        strategies.sampled_from(
            ["-5", "0", "9", "1e400", "nan", "inf", "100000", "9" * 5_000, ""]
        ),
    )
)
@hypothesis.settings(derandomize=True, database=None)
def test_parsed_figures_are_in_the_range(text):
    percent = endpoint_speeds.parse_percent(text)
    assert percent is None or (
        endpoint_speeds.PERCENT_MIN <= percent <= endpoint_speeds.PERCENT_MAX
    )


@pytest.mark.parametrize("percent", [-100, 0, 5, 10**9])
def test_figure_out_of_range_changes_nothing(percent):
    speeds = endpoint_speeds.EndpointSpeeds()
    assert not speeds.record("a", "plain", percent, 1.0)
    assert speeds.slowdown("a", 1.0) == 1.0
    assert not speeds.reports("a", 1.0)


# Guards against one endpoint that always reports 10 and gets all requests, or
# 2,000 and gets none however loaded the others are.
def test_constant_wrong_figure_costs_little():
    rng = random.Random(2)
    for percent in (10, 2_000):
        speeds = _recorded([(percent, 0.0)])
        speeds.record_duration("b", "plain", WORK_S, 0.0)
        sent = collections.Counter()
        for _ in range(60):
            speeds.record("a", "plain", percent, 0.0)
            sent[_choose("abc", sent, speeds, 0.0, rng)] += 1
        assert 2 <= sent["a"] <= 21


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(-10, 3_000), strategies.floats(0, 20)
        ),
        max_size=30,
    ),
    strategies.floats(0, 40),
)
@hypothesis.settings(derandomize=True, database=None)
def test_estimate_stays_in_its_range(figures, now):
    slowdown = _recorded(figures).slowdown("a", now)
    assert math.isfinite(slowdown)
    assert 1.0 <= slowdown <= endpoint_speeds.SLOWDOWN_MAX + 1e-9


# Guards against a figure that two routers send back and forth and that never
# ages.
def test_figure_that_comes_back_from_a_peer_does_not_get_younger():
    speeds = _recorded([(250, 0.0)])
    speeds.record("a", "plain", 250, 0.01)
    assert speeds.figure("a", 0.5).at == 0.0
    assert speeds.figure("a", 1.0) is None


def test_older_figure_is_ignored():
    speeds = _recorded([(100, 1.0)])
    speeds.record("a", "plain", 250, 0.5)
    assert speeds.slowdown("a", 1.0) == 1.0


def test_only_endpoints_that_reported_of_late_count_as_reporting():
    speeds = _recorded([(100, 0.0)])
    assert speeds.reports("a", 50.0)
    assert not speeds.reports("a", 61.0)
    assert not speeds.reports("b", 0.0)


def test_first_wrong_figure_is_told_from_the_others():
    speeds = endpoint_speeds.EndpointSpeeds()
    assert speeds.record_refused("a")
    assert not speeds.record_refused("a")
    speeds.record("a", "plain", 100, 1.0)
    assert speeds.record_refused("a")


def test_data_of_endpoints_that_are_gone_is_discarded():
    speeds = _recorded([(250, 0.0)])
    speeds.record_slots("a", 6)
    speeds.retain(["b"])
    assert speeds.slowdown("a", 0.0) == 1.0
    assert speeds.slots("a") == 0
