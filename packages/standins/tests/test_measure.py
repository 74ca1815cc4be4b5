from nutmegpost_standins import enginemodel
from nutmegpost_standins import figures
from nutmegpost_standins import measure
from nutmegpost_standins import policies
from nutmegpost_standins import scenarios


def short_scenario(name, seconds=60.0):
    scenario = scenarios.load(name)
    scenario["seconds"] = seconds
    scenario["warm_s"] = 10.0
    return scenario


def test_every_built_in_scenario_is_valid():
    for name in scenarios.names():
        assert scenarios.load(name)["name"] == name


def test_same_seed_gives_the_same_run():
    first = measure.run(short_scenario("churn4"), 3, policies.OwnershipFleet)
    second = measure.run(short_scenario("churn4"), 3, policies.OwnershipFleet)
    assert [r.ended_at for r in first.requests] == [
        r.ended_at for r in second.requests
    ]


def test_every_request_ends_or_is_refused():
    scenario = short_scenario("flap", 120.0)
    scenario["flows"][0]["stop_s"] = 60.0
    scenario["changes"] = [
        {"at_s": 20.0, "engine": 3, "joins": False},
        {"at_s": 30.0, "engine": 3, "joins": True},
    ]
    fleet = measure.run(scenario, 1, policies.OwnershipFleet)
    assert fleet.requests
    for request in fleet.requests:
        assert request.refused != (request.ended_at is not None)


def test_bound_holds_at_every_dispatch_in_a_tight_pool():
    scenario = short_scenario("churn4", 120.0)
    scenario["bound"] = 1.25
    fleet = measure.run(scenario, 1, policies.OwnershipFleet)
    assert fleet.dispatches > 500
    assert fleet.over_bound == 0


def test_a_full_batch_slows_the_steps():
    assert enginemodel.step_s(0, 16) < enginemodel.step_s(16, 16)


def test_percentile():
    assert figures.percentile([], 0.5) == 0.0
    assert figures.percentile([3.0, 1.0, 2.0], 0.5) == 2.0
