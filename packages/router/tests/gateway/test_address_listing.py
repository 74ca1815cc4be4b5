import random

from nutmegpost_core import membership
from nutmegpost_router.gateway import address_listing
from nutmegpost_router.gateway import metrics

CONFIG = {
    "name": "g0",
    "memory_mb": 400,
    "descriptors_max": 4000,
    "large_fleet_gateways": 30,
    "cores": 2.0,
    "cpu_share": 0.5,
    "link_mbps": 100.0,
}


def _listing(count):
    local = membership.Member("g0", 1, "10.0.0.1:80", "10.0.0.1:90", "a")
    local = local._replace(capacity=address_listing.announced_capacity(CONFIG))
    rng = random.Random(1)
    members = membership.Membership(local, rng)
    members.add_members(
        [
            membership.Member(
                f"g{number}",
                number,
                f"10.0.1.{number}:80",
                f"10.0.1.{number}:90",
                "ab"[number % 2],
            )
            for number in range(1, count)
        ],
        0.0,
    )
    counters = metrics.GatewayMetrics()
    listing = address_listing.AddressListing(CONFIG, members, counters, rng)
    return listing, members, counters


def test_capacity_is_announced_only_with_the_settings_of_a_large_fleet():
    """Guards against other datagrams in a fleet without the key."""
    assert address_listing.announced_capacity(CONFIG) == 1000
    for key in ("large_fleet_gateways", "cores", "cpu_share"):
        partial = {name: CONFIG[name] for name in CONFIG if name != key}
        assert address_listing.announced_capacity(partial) == 0


def test_only_names_that_may_be_listed_are():
    """Guards against addresses of gateways that are believed to be down."""
    listing, _, counters = _listing(40)
    assert not listing.is_large(30)
    assert listing.is_large(31)
    names = [f"g{number}" for number in range(40) if number != 7]
    for _ in range(50):
        listed = listing.select(names, "b", 5.0)
        assert "10.0.1.7:80" not in listed
        assert len(set(listed)) == len(listed) >= 16
    assert b'resolutions_total{zone="own"} 50.0' in counters.render()
    assert listing.select(names, "elsewhere", 5.0)
    names.remove("g9")
    for _ in range(50):
        assert "10.0.1.9:80" not in listing.select([*names], "b", 5.0)


def test_load_is_measured_and_announced():
    """Guards against a demand of 0 that makes every pool the smallest."""
    listing, members, _ = _listing(3)
    listing.measure(10.0)
    end = sum(number * number for number in range(3_000_000))
    listing.measure(10.5)
    assert members._load == 0
    listing.measure(11.0)
    assert end and members._load > 0
