from nutmegpost_core import roster

GRACE_S = 2.0


def _endpoint(name, revision=1, **fields):
    values = {
        "service": "engines",
        "address": "127.0.0.1:80",
        "zone": "zone-a",
        "slots": 4,
        "is_draining": False,
        "warming_until": 0.0,
    }
    values.update(fields)
    return roster.Endpoint(name=name, revision=revision, **values)


def _roster(*names):
    entries = roster.Roster(GRACE_S)
    entries.replace([_endpoint(name) for name in names], 1, 0.0)
    return entries


def _usable(entries):
    return [endpoint.name for endpoint in entries.usable("engines")]


def test_draining_endpoint_is_known_but_not_usable():
    entries = _roster("a", "b")
    entries.apply_changes([_endpoint("a", 2, is_draining=True)], {}, 2, 1.0)
    assert _usable(entries) == ["b"]
    assert "a" in entries.endpoints


def test_entry_removed_while_directory_is_available_is_removed_at_once():
    entries = _roster("a", "b")
    entries.apply_changes([], {"a": 2}, 2, 1.0)
    assert _usable(entries) == ["b"]


def test_entry_that_expired_in_an_outage_is_retained_for_grace_period():
    entries = _roster("a", "b")
    entries.mark_directory_unavailable()
    entries.mark_directory_available(10.0)
    entries.replace([_endpoint("b", 3)], 3, 10.1)
    assert _usable(entries) == ["a", "b"]
    assert entries.expire(10.0 + GRACE_S - 0.1) == []
    assert entries.expire(10.0 + GRACE_S) == ["a"]
    assert _usable(entries) == ["b"]


def test_entry_missing_in_a_list_that_ends_an_outage_is_retained():
    entries = _roster("a", "b")
    entries.mark_directory_unavailable()
    entries.replace([_endpoint("b", 3)], 3, 10.0)
    entries.mark_directory_available(10.1)
    assert entries.expire(10.0 + GRACE_S - 0.1) == []
    assert entries.expire(10.0 + GRACE_S) == ["a"]


def test_entry_renewed_within_grace_period_is_retained():
    entries = _roster("a")
    entries.mark_directory_unavailable()
    entries.mark_directory_available(10.0)
    entries.replace([], 3, 10.1)
    entries.apply_changes([_endpoint("a", 4)], {}, 4, 11.0)
    assert entries.expire(20.0) == []
    assert _usable(entries) == ["a"]


def test_draining_endpoint_has_no_grace_period():
    entries = _roster("a")
    entries.apply_changes([_endpoint("a", 2, is_draining=True)], {}, 2, 1.0)
    entries.mark_directory_unavailable()
    entries.mark_directory_available(10.0)
    entries.replace([], 3, 10.1)
    assert "a" not in entries.endpoints


def test_entry_in_grace_period_is_not_listed():
    entries = _roster("a", "b")
    entries.mark_directory_unavailable()
    entries.mark_directory_available(10.0)
    entries.replace([_endpoint("b", 3)], 3, 10.1)
    assert [endpoint.name for endpoint in entries.listed] == ["b"]


def test_list_of_a_peer_does_not_restore_a_removed_entry():
    entries = _roster("a", "b")
    entries.apply_changes([], {"a": 2}, 2, 1.0)
    stale = [_endpoint("a", 1), _endpoint("b", 3)]
    assert entries.replace(stale, 3, 1.1)
    assert _usable(entries) == ["b"]


def test_endpoint_that_registers_again_after_removal_is_usable():
    entries = _roster("a")
    entries.apply_changes([], {"a": 2}, 2, 1.0)
    entries.apply_changes([_endpoint("a", 3)], {}, 3, 2.0)
    assert _usable(entries) == ["a"]


def test_older_list_is_ignored():
    entries = _roster("a")
    entries.apply_changes([_endpoint("b", 5)], {}, 5, 1.0)
    assert not entries.replace([], 4, 1.1)
    assert _usable(entries) == ["a", "b"]


def test_an_older_entry_does_not_replace_a_newer_one():
    entries = _roster("a")
    entries.apply_changes([_endpoint("a", 5, is_draining=True)], {}, 5, 1.0)
    entries.apply_changes([_endpoint("a", 4)], {}, 6, 1.1)
    assert _usable(entries) == []


def test_lists_of_the_same_endpoints_have_equal_digests():
    first, second = _roster("a", "b"), _roster("b", "a")
    second.apply_changes([_endpoint("a", 7)], {}, 7, 1.0)
    assert first.digest() == second.digest()


def test_lists_that_differ_have_different_digests():
    entries = _roster("a", "b")
    digests = {entries.digest()}
    entries.apply_changes([_endpoint("a", 2, is_draining=True)], {}, 2, 1.0)
    digests.add(entries.digest())
    entries.apply_changes([_endpoint("b", 3, started_ms=9)], {}, 3, 1.0)
    digests.add(entries.digest())
    entries.apply_changes([], {"a": 4}, 4, 1.0)
    digests.add(entries.digest())
    assert len(digests) == 4
