"""Which gateways of a large fleet a caller is told, by zone and capacity.

A caller uses at most 64 addresses of a response and picks one at random for
each connection, so that the addresses of a response get equal shares. The
gateways of a zone that are in use, its pool, are the largest ones and as many
of the others as the demand needs. The pool is the same whichever gateway
responds, so that its members see much of the zone's prompts and reuse their
connections. A response is a random draw from it, in which a gateway is more
likely the larger it is.

The demand of a zone is what its gateways say that they spend. It can swing by
half and a gateway may have died since, so that a pool is sized for more, and a
zone that is too small for it gives part of its addresses to other zones.
"""

from collections.abc import Iterable, Mapping, Sequence
import math
import random
from typing import NamedTuple

import xxhash

__all__ = [
    "ADDRESSES_MAX",
    "Gateway",
    "Listing",
    "Plan",
    "Resources",
    "capacity",
    "plan",
    "select",
]

# Addresses of one response that a caller uses.
ADDRESSES_MAX = 64
# Addresses of one response and gateways in a pool, at least. The death of one
# gateway then affects a sixteenth of the connections of a caller, until its
# next response.
_LISTED_MIN = 16
_POOL_MIN = 24
# Share of a pool in one response, at least. With less, few callers that draw
# the same gateway would give it much more than the others.
_LISTED_SHARE_MIN = 0.75
# Demand for which a pool is sized, as a multiple of the measured one, and the
# share of its capacity that a gateway is expected to use then. The measured
# demand is some seconds old, and a zone's demand swings by half. The draws of
# 20 callers add a quarter for some gateway, which then uses half of it.
_DEMAND_FACTOR = 1.7
_UTILIZATION_MAX = 0.4
# Addresses of each other zone in a response, for a caller whose own zone is
# lost before it is told.
_OF_OTHER_ZONES = 1
# Capacity if no gateway announces one, thousandths of a core.
_UNKNOWN_CAPACITY = 250
# What a core needs to be of use for requests, beside the memory of the process
# itself. A core serves about 40 model requests a second, each of which takes
# some 8 KB on the link and some 2 s, two descriptors and, with its buffers,
# under 0.5 MB.
_BASE_MB = 40
_MB_PER_CORE = 40
_MBPS_PER_CORE = 5.0
_DESCRIPTORS_PER_CORE = 400


class Resources(NamedTuple):
    """Resources of the VM of a gateway.

    Attributes:
        cores: Processor time per second, in cores.
        memory_mb: Memory, 1e6 bytes.
        link_mbps: Bandwidth of its link, megabits per second; 0 if unknown.
        descriptors: Descriptors that the process may have open.
    """

    cores: float
    memory_mb: float
    link_mbps: float
    descriptors: int


class Gateway(NamedTuple):
    """A gateway that is believed to be up.

    Attributes:
        name: Its name.
        address: Its address for callers.
        zone: Its availability zone.
        room: Its capacity, thousandths of a core; 0 if it announced none.
        load: What it last said that it spends, thousandths of a core; None if
            that is unknown.
    """

    name: str
    address: str
    zone: str
    room: int
    load: int | None


class Listing(NamedTuple):
    """A response to a caller.

    Attributes:
        addresses: The addresses, in random order.
        own_share: Share of the demand of the caller's zone that its gateways
            have room for; 0 if the zone has none, 1 if it is not short.
    """

    addresses: list[str]
    own_share: float


class _Zone(NamedTuple):
    """A zone and its pool.

    Attributes:
        pool: Its gateways that are in use.
        demand: Measured demand, thousandths of a core.
        listed: Addresses of a response that list its pool alone.
        share: Share of its demand that it has room for.
    """

    pool: Sequence[Gateway]
    demand: float
    listed: int
    share: float

    @property
    def spare(self) -> float:
        """Capacity that is left for other zones, thousandths of a core."""
        room = sum(gateway.room for gateway in self.pool)
        return max(1.0, room * _UTILIZATION_MAX - self.demand * _DEMAND_FACTOR)


def capacity(resources: Resources) -> int:
    """Returns the capacity to announce, thousandths of a core, at least 1.

    Memory, link and descriptors count if they, rather than the processor,
    bound the requests that the gateway can serve.
    """
    bounds = [
        resources.cores,
        (resources.memory_mb - _BASE_MB) / _MB_PER_CORE,
        resources.descriptors / _DESCRIPTORS_PER_CORE,
    ]
    if resources.link_mbps:
        bounds.append(resources.link_mbps / _MBPS_PER_CORE)
    return max(1, min(65_535, round(1000 * min(bounds))))


# The pools of all zones.
Plan = Mapping[str, _Zone]


def plan(gateways: Iterable[Gateway]) -> Plan:
    """Returns the pools of all zones, for any number of responses.

    Args:
        gateways: All gateways that are believed to be up.
    """
    return _zones(_with_rooms(list(gateways)))


def select(pools: Plan, caller_zone: str, rng: random.Random) -> Listing:
    """Selects the addresses of a response.

    Args:
        pools: The pools of all zones.
        caller_zone: The zone of the caller; may be unknown.
        rng: Source of randomness.

    Returns:
        Up to ADDRESSES_MAX addresses; none only without gateways.
    """
    zones = dict(pools)
    own = zones.pop(caller_zone, None)
    chosen: list[Gateway] = []
    own_share = 0.0
    if own is not None:
        own_share = own.share
        chosen = _draw(own.pool, own.listed, rng)
    chosen += _from_others(zones, own, rng)
    rng.shuffle(chosen)
    return Listing([gateway.address for gateway in chosen], own_share)


def _with_rooms(gateways: Sequence[Gateway]) -> list[Gateway]:
    """Returns the gateways with a room; the smallest if one announced none."""
    smallest = min(
        (gateway.room for gateway in gateways if gateway.room > 0),
        default=_UNKNOWN_CAPACITY,
    )
    return [
        gateway if gateway.room > 0 else gateway._replace(room=smallest)
        for gateway in gateways
    ]


def _zones(gateways: Iterable[Gateway]) -> dict[str, _Zone]:
    by_zone: dict[str, list[Gateway]] = {}
    for gateway in gateways:
        by_zone.setdefault(gateway.zone, []).append(gateway)
    return {zone: _zone(members) for zone, members in sorted(by_zone.items())}


def _zone(gateways: list[Gateway]) -> _Zone:
    """Returns the zone of some gateways, with the smallest pool that will do.

    The largest gateways come first, others in an order that all gateways
    compute alike.
    """
    gateways.sort(
        key=lambda gateway: (
            -gateway.room,
            xxhash.xxh3_64_intdigest(gateway.name.encode()),
        )
    )
    demand = _demand(gateways)
    count = min(_POOL_MIN, len(gateways))
    while True:
        pool = gateways[:count]
        listed = _listed_count(pool, demand)
        utilization = _utilization(pool, demand, listed)
        if utilization <= _UTILIZATION_MAX or count == len(gateways):
            share = min(1.0, _UTILIZATION_MAX / max(utilization, 1e-9))
            return _Zone(pool, demand, listed, share)
        count = min(len(gateways), count + max(1, count // 8))


def _demand(gateways: Sequence[Gateway]) -> float:
    """Returns the load of all gateways; an unknown one counts as the mean."""
    known = [gateway.load for gateway in gateways if gateway.load is not None]
    return sum(known) * len(gateways) / len(known) if known else 0.0


def _listed_count(pool: Sequence[Gateway], demand: float) -> int:
    """Returns how many addresses of a pool a response has.

    With fewer addresses, larger gateways get more than smaller ones. But if
    many callers hold the same response, its smallest gateway must serve its
    share of all of them.
    """
    rooms = [gateway.room for gateway in pool]
    proportional = sum(rooms) / max(rooms)
    sustained = _DEMAND_FACTOR * demand / min(rooms)
    count = max(
        _LISTED_MIN,
        math.ceil(_LISTED_SHARE_MIN * len(pool)),
        math.ceil(max(proportional, sustained)),
    )
    return min(count, ADDRESSES_MAX - 2 * _OF_OTHER_ZONES, len(pool))


def _utilization(pool: Sequence[Gateway], demand: float, listed: int) -> float:
    """Returns the utilization of the busiest gateway when demand is highest."""
    return max(
        probability / listed * demand * _DEMAND_FACTOR / gateway.room
        for gateway, probability in zip(
            pool, _probabilities(pool, listed), strict=True
        )
    )


def _probabilities(pool: Sequence[Gateway], count: int) -> list[float]:
    """Returns the probability of each gateway to be among those drawn.

    It is proportional to the room, and 1 at most; the sum is the count.

    Args:
        pool: The gateways, the largest first.
        count: Number of gateways drawn, at most all.
    """
    remaining_room = float(sum(gateway.room for gateway in pool))
    remaining = count
    probabilities = []
    for gateway in pool:
        probability = min(1.0, remaining * gateway.room / remaining_room)
        if probability < 1.0:
            break
        probabilities.append(1.0)
        remaining -= 1
        remaining_room -= gateway.room
    for gateway in pool[len(probabilities) :]:
        probabilities.append(remaining * gateway.room / remaining_room)
    return probabilities


def _draw(
    pool: Sequence[Gateway], count: int, rng: random.Random
) -> list[Gateway]:
    """Draws gateways with their probabilities, by systematic sampling."""
    count = min(count, len(pool))
    if count <= 0:
        return []
    pairs = list(zip(pool, _probabilities(pool, count), strict=True))
    rng.shuffle(pairs)
    position, drawn = rng.random(), []
    for gateway, probability in pairs:
        position += probability
        if position >= 1.0 - 1e-9:
            position -= 1.0
            drawn.append(gateway)
    return drawn


def _from_others(
    zones: Mapping[str, _Zone], own: _Zone | None, rng: random.Random
) -> list[Gateway]:
    """Draws from the other zones what the caller's own zone has no room for."""
    if not zones:
        return []
    minimum = _OF_OTHER_ZONES * len(zones)
    if own is None:
        count = sum(zone.listed for zone in zones.values())
        left = ADDRESSES_MAX
    else:
        count = round(own.listed * (1 / max(own.share, 1e-3) - 1))
        left = ADDRESSES_MAX - own.listed
    count = max(minimum, min(count, left))
    spare = sum(zone.spare for zone in zones.values())
    drawn: list[Gateway] = []
    for zone in zones.values():
        part = max(_OF_OTHER_ZONES, round(count * zone.spare / spare))
        drawn += _draw(zone.pool, part, rng)
    return drawn[:left]
