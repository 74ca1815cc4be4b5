"""Plays the demand of zones against the addresses that callers are told."""

import collections
import math
import random

from nutmegpost_core import addresses

ZONES = "abc"
LARGE, SMALL = 2150, 361
# Usual demand of a zone, thousandths of a core: 120 requests a second that
# take 20 ms each.
DEMAND = 2400.0


def _fleet(small=43):
    """Returns the gateways of three zones, two large ones in each."""
    return [
        addresses.Gateway(
            f"{zone}{number}",
            f"{zone}:{number}",
            zone,
            LARGE if number < 2 else SMALL,
            0,
        )
        for zone in ZONES
        for number in range(small + 2)
    ]


def _select(gateways, zone, rng):
    return addresses.select(addresses.plan(gateways), zone, rng)


def _loads(gateways, demands, rng, callers=20):
    """Returns the load of each address when callers of zones hold answers."""
    loads = collections.Counter()
    pools = addresses.plan(gateways)
    for zone, demand in demands.items():
        for _ in range(callers):
            listed = addresses.select(pools, zone, rng).addresses
            assert len(set(listed)) == len(listed) <= addresses.ADDRESSES_MAX
            for address in listed:
                loads[address] += demand / callers / len(listed)
    return loads


def _utilizations(gateways, loads):
    return {
        gateway.name: loads[gateway.address] / gateway.room
        for gateway in gateways
    }


def _play(gateways, demand_at, seconds, rng, lost=lambda *_: False):
    """Plays seconds; the load of a gateway is learned every 45 s or so.

    Yields:
        The time, the gateways that run, and their utilizations.
    """
    known = [gateway._replace(load=None) for gateway in gateways]
    for second in range(seconds):
        known = [gateway for gateway in known if not lost(gateway, second)]
        demands = {zone: demand_at(zone, second) for zone in ZONES}
        loads = _loads(known, demands, rng)
        yield second, known, _utilizations(known, loads)
        known = [
            gateway._replace(load=round(loads[gateway.address]))
            if rng.random() < 1 / 45
            else gateway
            for gateway in known
        ]


def _wave(zone, second, period_s=30):
    phase = ZONES.index(zone) / len(ZONES)
    return DEMAND * (1 + 0.5 * math.sin(math.tau * (second / period_s + phase)))


def test_waves_out_of_phase_overload_no_gateway_and_stay_in_their_zone():
    """Guards against small gateways above half of their capacity."""
    rng = random.Random(1)
    worst = 0.0
    for second, _, used in _play(_fleet(), _wave, 150, rng):
        if second > 30:
            worst = max(worst, max(used.values()))
    assert 0.2 < worst < 0.5
    listed = _select(_fleet(), "b", rng).addresses
    assert sum(address[0] != "b" for address in listed) == 2


def test_demand_of_twice_the_usual_that_nobody_knows_yet_is_served():
    """Guards against pools that are sized for the demand of a moment ago."""
    rng = random.Random(2)
    demand = dict.fromkeys(ZONES, DEMAND)
    known = _fleet()
    for _ in range(5):
        loads = _loads(known, demand, rng)
        known = [
            gateway._replace(load=round(loads[gateway.address]))
            for gateway in known
        ]
    surge = dict.fromkeys(ZONES, 1.7 * DEMAND)
    used = _utilizations(known, _loads(known, surge, rng, callers=60))
    assert max(used.values()) < 0.6


def test_a_lost_zone_is_served_by_the_others():
    """Guards against overload, and against addresses of a dead zone."""
    rng = random.Random(3)
    for second, known, used in _play(
        _fleet(),
        lambda *_: DEMAND,
        60,
        rng,
        lost=lambda gateway, second: gateway.zone == "a" and second >= 20,
    ):
        if second >= 20:
            listed = _select(known, "a", rng)
            assert listed.own_share == 0.0
            assert {address[0] for address in listed.addresses} == {"b", "c"}
            assert max(used.values()) < 0.6


def test_a_zone_that_is_short_gives_addresses_to_zones_with_room():
    """Guards against a zone that is served worse than the others."""
    gateways = [
        gateway
        for gateway in _fleet()
        if gateway.zone != "a" or int(gateway.name[1:]) in range(2, 12)
    ]
    rng = random.Random(4)
    late = []
    for second, _, used in _play(gateways, lambda *_: DEMAND, 60, rng):
        if second > 20:
            late.append(max(used.values()))
    assert max(late) < 0.8
    assert sum(late) / len(late) < 0.6


def test_larger_gateways_get_more_and_no_answer_depends_on_few():
    """Guards against equal shares, and against six gateways getting all."""
    rng = random.Random(5)
    fleet = [gateway._replace(load=20) for gateway in _fleet()]
    loads = _loads(fleet, {"a": DEMAND}, rng, callers=500)
    large = [loads["a:0"], loads["a:1"]]
    others = sorted(load for key, load in loads.items() if key[0] == "a")[:-2]
    assert min(large) > 1.2 * max(others)
    assert max(loads.values()) <= DEMAND / 16
    assert sum(large) < 0.2 * DEMAND


def test_the_pool_does_not_depend_on_who_responds():
    """Guards against all gateways in use with little demand."""
    fleet = [gateway._replace(load=5) for gateway in _fleet()]
    seen = set()
    for seed in range(300):
        rng = random.Random(seed)
        order = rng.sample(fleet, len(fleet))
        seen.update(_select(order, "c", rng).addresses)
    assert len([address for address in seen if address[0] == "c"]) == 24


def test_a_gateway_that_announces_nothing_counts_as_the_smallest():
    """Guards against older builds that get nothing, or too much."""
    fleet = [
        gateway._replace(room=0, load=None)
        if gateway.name == "a0"
        else gateway._replace(load=60)
        for gateway in _fleet()
    ]
    loads = _loads(fleet, {"a": DEMAND}, random.Random(6), callers=500)
    assert loads["a:0"] < 1.2 * SMALL / LARGE * loads["a:1"] or (
        loads["a:0"] < 0.9 * loads["a:1"]
    )
    nothing = [gateway._replace(room=0, load=None) for gateway in fleet]
    assert _select(nothing, "?", random.Random(7)).addresses
    assert _select([], "a", random.Random(7)).addresses == []


def test_capacity_is_that_of_the_scarcest_resource():
    """Guards against a VM with a narrow link that counts as a large one."""
    large = addresses.Resources(2.15, 552, 100, 4000)
    assert addresses.capacity(large) == 2150
    assert addresses.capacity(large._replace(link_mbps=0)) == 2150
    assert addresses.capacity(large._replace(link_mbps=5)) == 1000
    assert addresses.capacity(large._replace(memory_mb=80)) == 1000
    assert addresses.capacity(large._replace(descriptors=100)) == 250
    small = addresses.Resources(0.361, 152, 5, 1024)
    assert addresses.capacity(small) == 361
