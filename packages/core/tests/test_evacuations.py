import itertools
import random

import pytest

from nutmegpost_core import evacuations
from nutmegpost_core import roster

LIMIT_S = 5.0


def _revision(number, era=1):
    return roster.Revision(era, number)


def _written(zone, number, era=1):
    return evacuations.Change(zone, _revision(number, era), True)


def _removed(zone, number, era=1):
    return evacuations.Change(zone, _revision(number, era), False)


def _table(**listed):
    """Returns a table that has read a list at revision 10 of era 1."""
    table = evacuations.Evacuations(LIMIT_S)
    keys = {zone: _revision(number) for zone, number in listed.items()}
    table.replace(keys, _revision(10), 0.0)
    return table


def test_listed_zone_is_evacuated_until_its_key_is_removed():
    table = _table(a=5)
    assert table.is_evacuated("a") and not table.is_evacuated("b")
    table.apply_store_changes([_written("b", 11)], _revision(11), 1.0)
    assert set(table.zones) == {"a", "b"}
    changed = table.apply_store_changes(
        [_removed("a", 12), _removed("b", 13)], _revision(13), 2.0
    )
    assert [change.zone for change in changed] == ["a", "b"]
    assert not list(table.zones)


def test_zone_restored_and_evacuated_in_one_answer_stays_evacuated():
    table = _table(a=5)
    changes = [_removed("a", 11), _written("a", 12)]
    table.apply_store_changes(changes, _revision(12), 1.0)
    assert table.is_evacuated("a")


def test_key_missing_in_a_later_list_of_the_same_era_ends_the_evacuation():
    table = _table(a=5)
    table.replace({}, _revision(20), 1.0)
    assert not table.is_evacuated("a")


def test_key_missing_in_a_restored_store_is_retained_for_the_grace_period():
    table = _table(a=5)
    table.replace({}, _revision(4, era=2), 1.0)
    assert table.is_evacuated("a") and table.in_grace() == ["a"]
    # A second list of the same era must not extend it.
    table.replace({}, _revision(6, era=2), 3.0)
    assert not table.expire(3.9)
    assert [change.zone for change in table.expire(4.0)] == ["a"]
    assert not table.is_evacuated("a")


def test_key_written_again_after_a_restore_outlives_the_grace_period():
    table = _table(a=5)
    table.replace({}, _revision(4, era=2), 1.0)
    table.apply_store_changes(
        [_written("a", 5, era=2)], _revision(5, era=2), 2.0
    )
    assert not table.expire(10.0)
    assert table.is_evacuated("a")


def test_peer_that_lags_does_not_bring_an_evacuation_back():
    table = _table()
    assert not table.merge([_written("a", 8)], 1.0)
    assert not table.is_evacuated("a")
    # The peer learns of the removal in turn.
    lagging = evacuations.Evacuations(LIMIT_S)
    lagging.merge([_written("a", 8)], 0.0)
    lagging.merge(table.changes, 1.0)
    assert not lagging.is_evacuated("a")
    assert lagging.digest() == table.digest()


def test_peer_that_lags_does_not_undo_a_removal_known_before_a_list():
    table = _table(a=5)
    table.apply_store_changes([_removed("a", 11)], _revision(11), 1.0)
    table.replace({}, _revision(30), 2.0)
    table.merge([_written("a", 20)], 3.0)
    assert not table.is_evacuated("a")


def test_router_that_starts_after_a_restore_takes_over_the_grace_period():
    table = evacuations.Evacuations(LIMIT_S)
    table.replace({}, _revision(4, era=2), 0.0)
    table.merge([_written("a", 5)], 1.0)
    assert table.is_evacuated("a")
    table.expire(1.0 + evacuations.GRACE_S)
    assert not table.is_evacuated("a")
    # The peer may not have ended its own yet.
    table.merge([_written("a", 5)], 5.0)
    assert not table.is_evacuated("a")


def test_router_without_store_and_peers_keeps_what_it_knows():
    table = evacuations.Evacuations(LIMIT_S)
    table.merge([_written("a", 5)], 0.0)
    assert not table.expire(1e6)
    assert table.is_evacuated("a")


@pytest.mark.parametrize("seed", range(20))
def test_reports_in_any_order_lead_to_the_same_zones(seed):
    rng = random.Random(seed)
    changes = [
        evacuations.Change(
            rng.choice("abc"), _revision(number, era), rng.random() < 0.5
        )
        for era, number in itertools.product((1, 2), range(1, 15))
    ]
    last = {change.zone: change.is_evacuated for change in changes}
    expected = {zone for zone, is_evacuated in last.items() if is_evacuated}
    digests = set()
    for _ in range(5):
        rng.shuffle(changes)
        table = evacuations.Evacuations(LIMIT_S)
        for change in changes:
            table.merge([change], 0.0)
        assert set(table.zones) == expected
        digests.add(table.digest())
    assert len(digests) == 1


def test_caches_are_fetched_from_for_a_part_of_the_limit():
    table = _table()
    assert table.may_fetch("a", 0.0)
    table.apply_store_changes([_written("a", 11)], _revision(11), 1.0)
    assert table.may_fetch("a", 4.9)
    assert not table.may_fetch("a", 5.0)
    # Writing the key again does not begin a new period.
    table.apply_store_changes([_written("a", 12)], _revision(12), 4.0)
    assert not table.may_fetch("a", 5.0)


def test_table_of_removed_zones_is_bounded():
    table = _table()
    for number in range(11, 300):
        zone = f"z{number}"
        table.apply_store_changes(
            [_written(zone, number), _removed(zone, number + 1)],
            _revision(number + 1),
            0.0,
        )
    assert len(table.changes) <= evacuations.REMOVED_MAX
