from nutmegpost_core import dispatch
from nutmegpost_core import load_table


def test_the_load_of_an_endpoint_is_the_sum_over_all_routers():
    table = load_table.LoadTable()
    table.add("e-1", 2, 500)
    table.record_report("peer", {"e-1": dispatch.Load(3, 100)}, 10.0)
    assert table.total("e-1") == dispatch.Load(5, 600)
    table.add("e-1", -2, -500)
    assert table.total("e-1") == dispatch.Load(3, 100)
    table.expire(10.0 + load_table.REPORT_LIFETIME_S + 0.1)
    assert table.total("e-1") == dispatch.Load()


def test_a_report_replaces_the_previous_one_of_the_same_peer_only():
    table = load_table.LoadTable()
    table.record_report("peer-1", {"e-1": dispatch.Load(3, 100)}, 10.0)
    table.record_report("peer-2", {"e-1": dispatch.Load(4, 0)}, 10.5)
    table.record_report("peer-1", {"e-2": dispatch.Load(1, 50)}, 11.0)
    assert table.total("e-1") == dispatch.Load(4, 0)
    assert table.total("e-2") == dispatch.Load(1, 50)
    table.expire(10.5 + load_table.REPORT_LIFETIME_S + 0.1)
    assert table.total("e-1") == dispatch.Load()
    assert table.total("e-2") == dispatch.Load(1, 50)


def test_the_load_observed_at_an_endpoint_replaces_lower_reports():
    table = load_table.LoadTable()
    table.add("e-1", 1, 0)
    table.record_observation("e-1", 6, 10.0)
    assert table.total("e-1").running == 6
    table.record_observation("e-1", 9, 9.0)
    assert table.total("e-1").running == 6
    table.record_observation("e-1", 9, 11.0)
    assert table.total("e-1").running == 9
    table.expire(11.0 + load_table.OBSERVATION_LIFETIME_S + 0.1)
    assert table.total("e-1").running == 1


def test_an_unknown_load_is_told_from_one_that_was_reported_just_now():
    table = load_table.LoadTable()
    table.add("e-1", 1, 0)
    assert table.endpoint_age_s("e-1", 10.0) is None
    table.record_observation("e-1", 6, 10.0)
    assert table.endpoint_age_s("e-1", 10.5) == 0.5
    table.record_report("peer", {}, 10.4)
    assert round(table.endpoint_age_s("e-1", 10.5), 3) == 0.1
    assert round(table.endpoint_age_s("e-2", 10.5), 3) == 0.1


def test_an_observation_lives_longer_where_no_peer_reports():
    table = load_table.LoadTable()
    table.record_observation("e-1", 6, 10.0)
    table.expire(10.0 + load_table.OBSERVATION_BESIDE_REPORTS_S + 0.1)
    assert table.total("e-1").running == 6
    table.record_report("peer", {}, 11.0)
    table.expire(11.2)
    assert table.total("e-1").running == 0


def test_the_highest_loads_are_always_relayed_and_the_others_in_turn():
    table = load_table.LoadTable()
    for number in range(40):
        table.record_observation(f"e-{number}", number, 10.0)
    rounds = [table.select_observations(10.0 + step / 10) for step in range(4)]
    for selected in rounds:
        names = [endpoint for endpoint, _, _ in selected]
        assert len(names) == len(set(names)) == 16
        assert {f"e-{number}" for number in range(32, 40)} < set(names)
    relayed = {endpoint for selected in rounds for endpoint, _, _ in selected}
    assert relayed == {f"e-{number}" for number in range(40)}


def test_an_observation_is_relayed_with_its_age_also_by_those_who_heard_it():
    first, second = load_table.LoadTable(), load_table.LoadTable()
    first.record_observation("e-1", 7, 10.0)
    [(endpoint, running, age_s)] = first.select_observations(10.4)
    second.record_observation(endpoint, running, 20.0 - age_s)
    [(_, running, age_s)] = second.select_observations(20.1)
    assert (running, round(age_s, 3)) == (7, 0.5)
