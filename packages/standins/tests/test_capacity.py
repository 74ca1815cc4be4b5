import pytest

from nutmegpost_standins import capacity
from nutmegpost_standins import slopes

COSTS = {
    "control bytes sent, quiet": 300,
    "processor time, quiet": 0.05,
    "processor time of gossip": 0.3,
    "a change read by 16 watchers is everywhere after": 0.5,
    "bytes that a node sends for a change": 2_000,
    "64 suspects of a crash known to all after": 3,
    "ring of engines, built anew": 100,
    "ring of engines, memory": 3,
    "choice of an engine by the ring": 2,
    "table of owners, built anew": 600,
    "table of owners, memory": 0.1,
    "chats with their holder": 5,
    "configuration document": 200,
    "configuration, checked": 6,
    "VM list": 2_000,
    "VM list, checked": 80,
    "used permits with answers of 100 bytes": 4,
    "permits issued, claimed, recorded": 400,
    "suspect requests": 8,
    "encoding and decoding of a token between routers": 8,
    "members, memory": 0.5,
}
TABLE = {
    name: slopes.Slope(name, "", "", [slopes.Point(1, cost)] * 2)
    for name, cost in COSTS.items()
}


def _limit(name):
    limits = capacity.limits(TABLE, capacity.Size())
    return next(limit for limit in limits if limit.name == name)


def test_every_limit_has_an_estimate():
    limits = capacity.limits(TABLE, capacity.Size())
    assert all(limit.value > 0 for limit in limits)


def test_reads_count_waits_and_changes_of_all_nodes():
    reads = _limit("reads, all nodes watch").value
    waits = 1_100 / 2.5 + 1_100 / 5
    changes = 1_100 * (10_000 + 3_300) / 86_400
    assert reads == pytest.approx(waits + changes)


def test_a_value_over_the_limit_is_reported_missed():
    rows = capacity._limit_rows(
        [
            capacity.Limit("small", "kB", 1, 2),
            capacity.Limit("large", "kB", 3, 2),
        ]
    )
    assert rows[-2].endswith("holds |")
    assert rows[-1].endswith("**missed** |")


def test_each_role_has_a_row():
    rows = capacity.roles(TABLE, capacity.Size())
    assert [row[0] for row in rows] == [
        "entry",
        "home owner of a chat",
        "owner of an engine",
        "permit issuer",
        "member of the fleet",
        "watcher of the platform",
        "rollout owner",
        "quarantine",
    ]
    assert {len(row) for row in rows} == {6}
