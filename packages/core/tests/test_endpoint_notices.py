import math

from nutmegpost_core import endpoint_notices
from nutmegpost_core import roster


def _endpoint(name, started_ms=1):
    return roster.Endpoint(
        name,
        "plain",
        "127.0.0.1:80",
        "zone-a",
        4,
        False,
        0.0,
        roster.Revision(1, 1),
        started_ms,
    )


def _closed(notices, now=0.0):
    return notices.closed(["a", "b", "c"], now)


def test_endpoint_that_leaves_stays_closed():
    notices = endpoint_notices.EndpointNotices()
    assert notices.record_leaving("a", 1)
    assert not notices.record_leaving("a", 1)
    assert _closed(notices, 1e9) == {"a"}


def test_pause_ends_at_its_time():
    notices = endpoint_notices.EndpointNotices()
    assert notices.record_pause("a", 1, 10.0, 0.0)
    assert _closed(notices, 9.9) == {"a"}
    assert _closed(notices, 10.0) == set()
    assert notices.record_pause("a", 1, 20.0, 10.0)


def test_longest_of_several_pauses_counts():
    notices = endpoint_notices.EndpointNotices()
    notices.record_pause("a", 1, 10.0, 0.0)
    assert not notices.record_pause("a", 1, 5.0, 0.0)
    assert _closed(notices, 9.0) == {"a"}


def test_endpoint_that_leaves_is_not_opened_by_the_end_of_a_pause():
    notices = endpoint_notices.EndpointNotices()
    notices.record_pause("a", 1, 10.0, 0.0)
    notices.record_leaving("a", 1)
    assert not notices.record_pause("a", 1, 11.0, 0.0)
    assert _closed(notices, 20.0) == {"a"}


def test_next_instance_of_a_name_is_open():
    notices = endpoint_notices.EndpointNotices()
    notices.record_leaving("a", 1)
    notices.record_pause("b", 1, math.inf, 0.0)
    notices.retain({"a": _endpoint("a", 2), "b": _endpoint("b", 2)})
    assert _closed(notices) == set()


def test_notices_of_endpoints_that_are_gone_are_discarded():
    notices = endpoint_notices.EndpointNotices()
    notices.record_leaving("a", 1)
    notices.record_leaving("b", 1)
    notices.retain({"b": _endpoint("b")})
    assert _closed(notices) == {"b"}


def test_callers_return_apart_from_the_end_of_the_first_pause():
    notices = endpoint_notices.EndpointNotices()
    notices.record_pause("a", 1, 5.0, 0.0)
    notices.record_pause("b", 1, 9.0, 0.0)
    first = notices.return_after_s("plain", ["a", "b"], 3.0)
    second = notices.return_after_s("plain", ["a", "b"], 3.0)
    assert 2.0 < first < second < 2.1


def test_return_is_not_known_where_all_leave():
    notices = endpoint_notices.EndpointNotices()
    notices.record_leaving("a", 1)
    assert notices.return_after_s("plain", ["a"], 0.0) is None


def test_caller_is_not_told_to_return_after_hours():
    notices = endpoint_notices.EndpointNotices()
    notices.record_pause("a", 1, 1e9, 0.0)
    after_s = notices.return_after_s("plain", ["a"], 0.0)
    assert after_s == endpoint_notices.RETURN_MAX_S


def test_callers_return_within_a_second_from_the_end_of_a_pause():
    notices = endpoint_notices.EndpointNotices()
    notices.record_pause("a", 1, 5.0, 0.0)
    for _ in range(200):
        after_s = notices.return_after_s("plain", ["a"], 0.0)
        assert 5.0 < after_s < 6.1
