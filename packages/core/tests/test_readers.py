"""Tests of the choice of readers and of the followers' decisions."""

import random

import pytest

from nutmegpost_core import readers

TIMES = readers.timing(3.0)
ZONES = {f"gateway-{n}": f"zone-{n % 3}" for n in range(135)}


# Guards against calls to the platform that grow with the fleet.
def test_readers_of_a_large_fleet_make_few_calls():
    count = readers.reader_count(135)
    # A poll of entries lasts 0.9 s with its pause, one of the configuration
    # 10 s.
    assert count * (50 / 0.9 + 50 / 10) < 750


# Guards against a zone whose loss takes most readers along.
def test_readers_are_spread_over_zones():
    zones = dict(ZONES)
    for name in list(zones)[:100]:
        zones[name] = "zone-0"
    chosen = readers.choose(zones, 9)
    assert len(set(chosen)) == 9
    counts = [
        sum(zones[name] == f"zone-{zone}" for name in chosen)
        for zone in range(3)
    ]
    assert counts == [3, 3, 3]


# Guards against a new set of readers at each change of the members.
def test_loss_of_a_reader_replaces_only_that_one():
    chosen = readers.choose(ZONES, 9)
    left = {name: zone for name, zone in ZONES.items() if name != chosen[4]}
    assert len(set(chosen) & set(readers.choose(left, 9))) == 8
    shuffled = random.Random(1).sample(sorted(ZONES.items()), len(ZONES))
    assert readers.choose(dict(shuffled), 9) == chosen


# Guards against a fleet around the limit that changes roles all the time.
def test_fleet_size_has_hysteresis():
    size = readers.FleetSize(100)
    assert [size.update(n) for n in (100, 101, 100, 91, 90, 100)] == [
        False,
        True,
        True,
        True,
        False,
        False,
    ]
    assert not readers.FleetSize(0).update(1000)


def _follower(seed=1, following=True):
    follower = readers.Follower(
        "gateway-x", "zone-0", TIMES, random.Random(seed)
    )
    follower.set_readers({f"r{n}": f"zone-{n % 3}" for n in range(6)})
    if following:
        follower.record_news(follower.next_reader(0.0), 0.0, True, 0.0)
        assert follower.update(0.0)
    return follower


# Guards against a change that the one reader asked has missed.
def test_two_readers_of_two_zones_are_asked_in_turn():
    follower = _follower()
    asked = [follower.next_reader(1.0) for _ in range(4)]
    assert asked[0] != asked[1]
    assert asked[:2] == asked[2:]
    zones = {int(name[1:]) % 3 for name in asked}
    assert len(zones) == 2
    assert 0 in zones


def test_followers_spread_over_the_readers():
    first = set()
    for number in range(40):
        follower = readers.Follower(
            f"gateway-{number}", "zone-0", TIMES, random.Random(1)
        )
        follower.set_readers({f"r{n}": f"zone-{n % 3}" for n in range(9)})
        first.add(follower.next_reader(0.0))
    assert first == {"r0", "r3", "r6"}


def test_silent_reader_is_replaced_and_asked_again_later():
    follower = _follower()
    silent = follower.next_reader(1.0)
    follower.record_failure(silent, 1.4)
    assert follower.wait_s == 0.0
    assert silent not in [follower.next_reader(1.4) for _ in range(4)]
    follower.record_news("r1", 1.4, True, 1.4)
    assert follower.wait_s == TIMES.wait_s
    later = 1.5 + readers.FAILED_RETENTION_S
    assert silent in [follower.next_reader(later) for _ in range(2)]


def _end_of_following(follower, ask):
    """Returns when a follower begins to read the platform."""
    for tick in range(1, 100):
        now = tick / 10
        ask(follower, now)
        if not follower.update(now):
            return now
    return None


def _hear_nothing(follower, now):
    follower.record_failure(follower.next_reader(now), now)


def _hear_old_news(follower, now):
    follower.record_news(follower.next_reader(now), 0.0, True, now)


def _hear_refusals(follower, now):
    follower.record_news(follower.next_reader(now), 0.0, False, now)


def _hear_news(follower, now):
    follower.record_news(follower.next_reader(now), now - 1.5, True, now)


# Guards against changes that are missed while no reader reads the platform,
# also where gateways follow one another in a circle.
@pytest.mark.parametrize(
    ("ask", "latest"),
    [(_hear_nothing, 2.4), (_hear_old_news, 2.5), (_hear_refusals, 1.2)],
)
def test_follower_reads_the_platform_in_time(ask, latest):
    ends = [_end_of_following(_follower(n), ask) for n in range(40)]
    assert max(ends) <= latest
    # They do not begin in the same moment.
    assert len(set(ends)) > 2


def test_follower_with_news_does_not_read_the_platform():
    assert _end_of_following(_follower(), _hear_news) is None


def test_follower_follows_again_once_news_are_fresh():
    follower = _follower()
    _end_of_following(follower, _hear_nothing)
    follower.record_news("r1", 10.0 - TIMES.age_max_s, True, 10.0)
    assert not follower.update(10.0)
    follower.record_news("r1", 10.0, True, 10.1)
    assert follower.update(10.1)


# Guards against a document that peers are too slow, or too few, to send.
def test_follower_without_the_configuration_reads_the_platform():
    follower = _follower()
    ended = None
    for tick in range(1, 40):
        now = tick / 10
        _hear_news(follower, now)
        if not follower.update(now, behind_since=0.5):
            ended = ended or now
    assert ended is not None
    # It has 0.3 of the limit, and does not follow again before.
    assert 1.4 < ended <= 1.8
    assert not follower.is_following


def test_reader_does_not_follow():
    follower = _follower()
    follower.set_readers({})
    assert not follower.update(0.1)
    assert follower.next_reader(0.1) is None
