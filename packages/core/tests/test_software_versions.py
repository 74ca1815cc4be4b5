import pytest

from nutmegpost_core import roster
from nutmegpost_core import software_versions


def _endpoint(name, software, service="engines"):
    return roster.Endpoint(
        name,
        service,
        "127.0.0.1:80",
        "zone-a",
        4,
        False,
        0.0,
        roster.Revision(1, 1),
        software=software,
    )


def _history(*softwares, is_complete=False, now=100.0):
    history = software_versions.VersionHistory(is_complete)
    history.update(_endpoints(*softwares), now)
    return history


def _endpoints(*softwares):
    return [
        _endpoint(f"e{number}", software)
        for number, software in enumerate(softwares)
    ]


def test_only_version_is_known_after_it_was_observed_for_long_enough():
    history = _history("v1", "v1")
    assert history.sole_version("engines", 99.0) is None
    assert history.sole_version("engines", 100.0) == "v1"


def test_only_version_is_known_at_once_where_nothing_served_before():
    history = _history("v1", is_complete=True)
    assert history.sole_version("engines", -1000.0) == "v1"


def test_nothing_is_known_before_the_first_list():
    history = software_versions.VersionHistory(is_complete=False)
    assert history.sole_version("engines", 0.0) is None


def test_two_versions_are_no_only_version():
    history = _history("v1", "v2", is_complete=True)
    assert history.sole_version("engines", 100.0) is None
    assert history.versions("engines", 100.0) == {"v1", "v2"}


def test_version_that_left_counts_until_its_streams_are_over():
    history = _history("v1", "v2", is_complete=True)
    history.update(_endpoints("v2"), 110.0)
    assert history.sole_version("engines", 110.0) is None
    assert history.sole_version("engines", 110.1) == "v2"


def test_versions_of_other_services_do_not_count():
    history = software_versions.VersionHistory(is_complete=True)
    history.update([_endpoint("a", "v1"), _endpoint("b", "v2", "plain")], 0.0)
    assert history.sole_version("engines", 0.0) == "v1"
    assert history.sole_version("plain", 0.0) == "v2"


def test_version_that_came_and_went_counts_until_its_streams_are_over():
    history = _history("v1", is_complete=True)
    history.record_served([_endpoint("e9", "v2")], 110.0)
    assert history.sole_version("engines", 110.0) is None
    assert history.sole_version("engines", 110.1) == "v1"


def test_gap_ends_what_was_observed():
    history = _history("v1", is_complete=True)
    history.record_gap(150.0)
    assert history.sole_version("engines", 149.0) is None
    assert history.sole_version("engines", 150.0) == "v1"


def test_peer_that_observed_for_longer_adds_its_time_and_its_versions():
    peer = _history("v1", "v0", now=50.0)
    peer.update(_endpoints("v1"), 60.0)
    history = _history("v1", now=1000.0)
    history.merge(peer.encode(100.0), 1010.0)
    # The peer observed for 50 s; v0 served until 40 s ago.
    assert history.sole_version("engines", 969.0) is None
    assert history.sole_version("engines", 971.0) == "v1"
    assert not history.is_observed(959.0)


def test_peer_that_knows_nothing_adds_nothing():
    peer = software_versions.VersionHistory(is_complete=False)
    history = _history("v1")
    history.merge(peer.encode(100.0), 100.0)
    assert not history.is_observed(99.0)
    unstarted = software_versions.VersionHistory(is_complete=False)
    unstarted.merge(_history("v1", is_complete=True).encode(100.0), 100.0)
    assert unstarted.sole_version("engines", 100.0) is None


@pytest.mark.parametrize("encoded", [None, [1.0], [0.0, [["a", "b"]]], "x"])
def test_malformed_history_of_a_peer_is_refused(encoded):
    with pytest.raises((TypeError, ValueError)):
        _history("v1").merge(encoded, 0.0)


def test_version_of_an_endpoint_is_uncertain_until_its_next_start_is_listed():
    history = _history("v1", is_complete=True)
    listed = _endpoint("e1", "v1")._replace(started_ms=1, sequence=5)
    history.record_down(listed, 100.0)
    later = 100.0 + software_versions.DOWN_RETENTION_S
    heartbeat = listed._replace(sequence=6)
    restarted = listed._replace(started_ms=2, sequence=1)
    without_start = listed._replace(sequence=1)
    assert history.uncertain([listed], 101.0) == {"e1"}
    assert history.uncertain([heartbeat], 101.0) == {"e1"}
    assert history.uncertain([restarted], 101.0) == set()
    assert history.uncertain([without_start], 101.0) == set()
    assert history.uncertain([_endpoint("e2", "v1")], 101.0) == set()
    assert history.uncertain([listed], later) == set()


# Guards against origins that peers lack when a route moves to another service.
def test_two_versions_of_any_service_are_noticed():
    history = _history("v1")
    assert not history.has_sole_versions(99.0)
    assert history.has_sole_versions(100.0)
    others = [_endpoint(f"o{n}", f"v{n}", "others") for n in (1, 2)]
    history.update([*_endpoints("v1"), others[0]], 110.0)
    assert history.has_sole_versions(110.0)
    history.update([*_endpoints("v1"), *others], 120.0)
    assert not history.has_sole_versions(120.0)
    history.update([*_endpoints("v1"), others[1]], 130.0)
    assert not history.has_sole_versions(130.0)
    assert history.has_sole_versions(130.5)
    history.record_gap(140.0)
    assert not history.has_sole_versions(139.0)
