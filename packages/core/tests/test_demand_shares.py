"""Tests of the shares of accounts and prompts in the demand."""

import random

from nutmegpost_core import demand_shares


def test_only_what_exceeds_the_usual_demand_is_excess():
    """Guards against accounts that suffer from a general burst."""
    shares = demand_shares.DemandShares()
    rng = random.Random(1)
    excess = {"usual": [], "burst": [], "flood": []}
    for step in range(4500):
        now = step * 0.01
        phase = ("usual", "burst", "flood")[step // 1500]
        general = 3 if phase == "burst" else 1
        small = 20 if phase == "flood" else general
        for name, rate in (("small", small), ("large", 20 * general)):
            if rng.random() < rate * 0.01:
                is_excess = shares.record_arrival(name, 1.0, now)
                excess[phase].append(is_excess)
                assert not (is_excess and name == "large")
    assert sum(excess["usual"] + excess["burst"]) <= 0.02 * len(excess["burst"])
    assert sum(excess["flood"]) > 0.2 * len(excess["flood"])
