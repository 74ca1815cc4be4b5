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
    return roster.Endpoint(name=name, revision=_revision(revision), **values)


def _revision(number, era=1):
    if isinstance(number, roster.Revision):
        return number
    return roster.Revision(era, number)


def _replace(entries, endpoints, revision, now):
    return entries.replace(endpoints, _revision(revision), now)


def _change(entries, endpoints, removed, revision, now):
    removals = {name: _revision(number) for name, number in removed.items()}
    return entries.apply_changes(endpoints, removals, _revision(revision), now)


def _roster(*names):
    entries = roster.Roster(GRACE_S)
    _replace(entries, [_endpoint(name) for name in names], 1, 0.0)
    return entries


def _usable(entries):
    return [endpoint.name for endpoint in entries.usable("engines")]


def test_draining_endpoint_is_known_but_not_usable():
    entries = _roster("a", "b")
    _change(entries, [_endpoint("a", 2, is_draining=True)], {}, 2, 1.0)
    assert _usable(entries) == ["b"]
    assert "a" in entries.endpoints


def test_entry_removed_while_directory_is_available_is_removed_at_once():
    entries = _roster("a", "b")
    _change(entries, [], {"a": 2}, 2, 1.0)
    assert _usable(entries) == ["b"]


def test_entry_that_expired_in_an_outage_is_retained_for_grace_period():
    entries = _roster("a", "b")
    entries.mark_directory_unavailable()
    entries.mark_directory_available(10.0)
    _replace(entries, [_endpoint("b", 3)], 3, 10.1)
    assert _usable(entries) == ["a", "b"]
    assert entries.expire(10.0 + GRACE_S - 0.1) == []
    assert entries.expire(10.0 + GRACE_S) == ["a"]
    assert _usable(entries) == ["b"]


def test_entry_missing_in_a_list_that_ends_an_outage_is_retained():
    entries = _roster("a", "b")
    entries.mark_directory_unavailable()
    _replace(entries, [_endpoint("b", 3)], 3, 10.0)
    entries.mark_directory_available(10.1)
    assert entries.expire(10.0 + GRACE_S - 0.1) == []
    assert entries.expire(10.0 + GRACE_S) == ["a"]


def test_entry_renewed_within_grace_period_is_retained():
    entries = _roster("a")
    entries.mark_directory_unavailable()
    entries.mark_directory_available(10.0)
    _replace(entries, [], 3, 10.1)
    _change(entries, [_endpoint("a", 4)], {}, 4, 11.0)
    assert entries.expire(20.0) == []
    assert _usable(entries) == ["a"]


def test_draining_endpoint_has_no_grace_period():
    entries = _roster("a")
    _change(entries, [_endpoint("a", 2, is_draining=True)], {}, 2, 1.0)
    entries.mark_directory_unavailable()
    entries.mark_directory_available(10.0)
    _replace(entries, [], 3, 10.1)
    assert "a" not in entries.endpoints


def test_entry_in_grace_period_is_not_listed():
    entries = _roster("a", "b")
    entries.mark_directory_unavailable()
    entries.mark_directory_available(10.0)
    _replace(entries, [_endpoint("b", 3)], 3, 10.1)
    assert [endpoint.name for endpoint in entries.listed] == ["b"]


def test_list_of_a_peer_does_not_restore_a_removed_entry():
    entries = _roster("a", "b")
    _change(entries, [], {"a": 2}, 2, 1.0)
    stale = [_endpoint("a", 1), _endpoint("b", 3)]
    assert _replace(entries, stale, 3, 1.1)
    assert _usable(entries) == ["b"]


def test_endpoint_that_registers_again_after_removal_is_usable():
    entries = _roster("a")
    _change(entries, [], {"a": 2}, 2, 1.0)
    _change(entries, [_endpoint("a", 3)], {}, 3, 2.0)
    assert _usable(entries) == ["a"]


def test_older_list_is_ignored():
    entries = _roster("a")
    _change(entries, [_endpoint("b", 5)], {}, 5, 1.0)
    assert not _replace(entries, [], 4, 1.1)
    assert _usable(entries) == ["a", "b"]


def test_an_older_entry_does_not_replace_a_newer_one():
    entries = _roster("a")
    _change(entries, [_endpoint("a", 5, is_draining=True)], {}, 5, 1.0)
    _change(entries, [_endpoint("a", 4)], {}, 6, 1.1)
    assert _usable(entries) == []


def test_lists_of_the_same_endpoints_have_equal_digests():
    first, second = _roster("a", "b"), _roster("b", "a")
    _change(second, [_endpoint("a", 7)], {}, 7, 1.0)
    assert first.digest() == second.digest()


def test_lists_that_differ_have_different_digests():
    entries = _roster("a", "b")
    digests = {entries.digest()}
    _change(entries, [_endpoint("a", 2, is_draining=True)], {}, 2, 1.0)
    digests.add(entries.digest())
    _change(entries, [_endpoint("b", 3, started_ms=9)], {}, 3, 1.0)
    digests.add(entries.digest())
    _change(entries, [], {"a": 4}, 4, 1.0)
    digests.add(entries.digest())
    assert len(digests) == 4


def _restored(number):
    return roster.Revision(2, number)


def test_list_of_a_restored_directory_replaces_one_with_a_higher_number():
    entries = _roster("a")
    _change(entries, [_endpoint("a", 50)], {}, 50, 1.0)
    listing = [_endpoint("a", _restored(4)), _endpoint("b", _restored(5))]
    assert _replace(entries, listing, _restored(5), 2.0)
    assert _usable(entries) == ["a", "b"]
    assert entries.revision == _restored(5)


def test_list_from_before_a_restore_is_ignored():
    entries = _roster("a")
    _replace(entries, [_endpoint("a", _restored(4))], _restored(4), 1.0)
    assert not _replace(entries, [_endpoint("b", 50)], 50, 2.0)
    assert _usable(entries) == ["a"]


def test_draining_after_a_restore_is_heeded():
    entries = _roster("a")
    _change(entries, [_endpoint("a", 50, sequence=7)], {}, 50, 1.0)
    _replace(
        entries, [_endpoint("a", _restored(1), sequence=3)], _restored(1), 2.0
    )
    draining = _endpoint("a", _restored(2), sequence=8, is_draining=True)
    assert _change(entries, [draining], {}, _restored(2), 3.0) == []
    assert _usable(entries) == []


def test_copy_does_not_make_a_draining_endpoint_ready():
    entries = _roster("b")
    draining = _endpoint("a", 50, started_ms=9, sequence=7, is_draining=True)
    _change(entries, [draining], {}, 50, 1.0)
    for sequence in (6, 7):
        stale = _endpoint("a", _restored(3), started_ms=9, sequence=sequence)
        assert _change(entries, [stale], {}, _restored(3), 2.0) == ["a"]
    assert _usable(entries) == ["b"]


def test_copy_does_not_bring_a_removed_endpoint_back():
    entries = _roster("b")
    _change(
        entries, [_endpoint("a", 40, started_ms=9, sequence=7)], {}, 40, 1.0
    )
    _change(entries, [], {"a": 50}, 50, 2.0)
    stale = _endpoint("a", _restored(3), started_ms=9, sequence=7)
    assert _change(entries, [stale], {}, _restored(3), 3.0) == ["a"]
    alive = _endpoint("a", _restored(4), started_ms=9, sequence=8)
    assert _change(entries, [alive], {}, _restored(4), 4.0) == []
    assert _usable(entries) == ["a", "b"]


def test_endpoint_that_started_anew_after_a_restore_is_usable():
    entries = _roster("b")
    _change(
        entries, [_endpoint("a", 40, started_ms=9, sequence=7)], {}, 40, 1.0
    )
    _change(entries, [], {"a": 50}, 50, 2.0)
    started = _endpoint("a", _restored(4), started_ms=99, sequence=1)
    assert _change(entries, [started], {}, _restored(4), 3.0) == []
    assert _usable(entries) == ["a", "b"]


def test_endpoint_that_the_copy_lacks_has_the_grace_period():
    entries = _roster("a", "b")
    _replace(entries, [_endpoint("b", _restored(1))], _restored(1), 5.0)
    assert _usable(entries) == ["a", "b"]
    assert entries.expire(5.0 + GRACE_S) == ["a"]
