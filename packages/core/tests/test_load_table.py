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
    table.record_relayed_observation("e-1", 9, 9.0)
    assert table.total("e-1").running == 6
    table.record_relayed_observation("e-1", 9, 11.0)
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
