from nutmegpost_core import roster

GRACE_S = 2.0


def _endpoint(name, revision=1, **fields):
    values = {
        "service": "engines",
        "address": "127.0.0.1:80",
        "zone": "zone-a",
        "slots": 4,
        "is_leaving": False,
        "slow_until": 0.0,
    }
    values.update(fields)
    return roster.Endpoint(name=name, revision=revision, **values)


def _roster(*names):
    found = roster.Roster(GRACE_S)
    found.replace([_endpoint(name) for name in names], 1, 0.0)
    return found


def _usable(found):
    return [endpoint.name for endpoint in found.usable("engines")]


def test_an_endpoint_that_leaves_gets_no_work_and_stays_known():
    found = _roster("a", "b")
    found.update([_endpoint("a", 2, is_leaving=True)], {}, 2, 1.0)
    assert _usable(found) == ["b"]
    assert "a" in found.endpoints


def test_an_entry_removed_while_the_directory_is_there_is_gone_at_once():
    found = _roster("a", "b")
    found.update([], {"a": 2}, 2, 1.0)
    assert _usable(found) == ["b"]


def test_an_entry_that_lapsed_in_an_outage_is_kept_for_the_grace_period():
    found = _roster("a", "b")
    found.directory_lost()
    found.directory_returned(10.0)
    found.replace([_endpoint("b", 3)], 3, 10.1)
    assert _usable(found) == ["a", "b"]
    assert found.expire(10.0 + GRACE_S - 0.1) == []
    assert found.expire(10.0 + GRACE_S) == ["a"]
    assert _usable(found) == ["b"]


def test_an_entry_that_came_back_within_the_grace_period_stays():
    found = _roster("a")
    found.directory_lost()
    found.directory_returned(10.0)
    found.replace([], 3, 10.1)
    found.update([_endpoint("a", 4)], {}, 4, 11.0)
    assert found.expire(20.0) == []
    assert _usable(found) == ["a"]


def test_a_leaving_endpoint_has_no_grace_period():
    found = _roster("a")
    found.update([_endpoint("a", 2, is_leaving=True)], {}, 2, 1.0)
    found.directory_lost()
    found.directory_returned(10.0)
    found.replace([], 3, 10.1)
    assert "a" not in found.endpoints


def test_a_kept_entry_is_not_handed_on():
    found = _roster("a", "b")
    found.directory_lost()
    found.directory_returned(10.0)
    found.replace([_endpoint("b", 3)], 3, 10.1)
    assert [endpoint.name for endpoint in found.listed] == ["b"]


def test_a_list_of_a_peer_does_not_bring_back_what_was_removed():
    found = _roster("a", "b")
    found.update([], {"a": 2}, 2, 1.0)
    stale = [_endpoint("a", 1), _endpoint("b", 3)]
    assert found.replace(stale, 3, 1.1)
    assert _usable(found) == ["b"]


def test_an_endpoint_that_registers_again_after_its_removal_is_used():
    found = _roster("a")
    found.update([], {"a": 2}, 2, 1.0)
    found.update([_endpoint("a", 3)], {}, 3, 2.0)
    assert _usable(found) == ["a"]


def test_an_older_list_is_refused():
    found = _roster("a")
    found.update([_endpoint("b", 5)], {}, 5, 1.0)
    assert not found.replace([], 4, 1.1)
    assert _usable(found) == ["a", "b"]


def test_an_older_entry_does_not_replace_a_newer_one():
    found = _roster("a")
    found.update([_endpoint("a", 5, is_leaving=True)], {}, 5, 1.0)
    found.update([_endpoint("a", 4)], {}, 6, 1.1)
    assert _usable(found) == []


def test_lists_of_the_same_endpoints_have_one_digest():
    first, second = _roster("a", "b"), _roster("b", "a")
    second.update([_endpoint("a", 7)], {}, 7, 1.0)
    assert first.digest() == second.digest()


def test_a_list_that_differs_has_another_digest():
    found = _roster("a", "b")
    digests = {found.digest()}
    found.update([_endpoint("a", 2, is_leaving=True)], {}, 2, 1.0)
    digests.add(found.digest())
    found.update([_endpoint("b", 3, started_ms=9)], {}, 3, 1.0)
    digests.add(found.digest())
    found.update([], {"a": 4}, 4, 1.0)
    digests.add(found.digest())
    assert len(digests) == 4
