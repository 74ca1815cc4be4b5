import hypothesis
from hypothesis import strategies

from nutmegpost_core import origin_holders

ATTEMPTS = [bytes([number] * 8) for number in range(30)]
OWN = "r0"


def _table(names):
    table = origin_holders.HolderTable(OWN)
    table.update(dict.fromkeys(names, 1))
    for attempt in ATTEMPTS:
        table.add(attempt)
    return table


def _expected(attempt, names):
    return set(origin_holders.holders(attempt, [OWN, *names])) - {OWN}


def test_holders_are_told_once():
    names = [f"r{number}" for number in range(1, 9)]
    table = _table(names)
    for attempt in ATTEMPTS:
        assert set(table.untold(attempt)) == _expected(attempt, names)
        assert set(table.take_untold(attempt)) == _expected(attempt, names)
        assert not table.untold(attempt)


# Guards against streams that a restarted router does not know.
def test_router_that_restarted_is_told_again():
    table = _table(["r1", "r2"])
    for attempt in ATTEMPTS:
        table.take_untold(attempt)
    table.update({"r1": 1, "r2": 2})
    for attempt in ATTEMPTS:
        assert table.untold(attempt) == ["r2"]


def test_router_that_could_not_be_told_is_told_again():
    table = _table(["r1", "r2"])
    table.take_untold(ATTEMPTS[0])
    table.set_untold(ATTEMPTS[0], "r2", 1)
    table.set_untold(b"unknown", "r2", 1)
    assert table.untold(ATTEMPTS[0]) == ["r2"]


def test_stream_that_is_added_again_counts_as_untold():
    table = _table(["r1"])
    table.take_untold(ATTEMPTS[0])
    table.add(ATTEMPTS[0])
    assert table.untold(ATTEMPTS[0]) == ["r1"]


def test_other_streams_are_removed():
    table = _table(["r1"])
    table.retain(set(ATTEMPTS[:2]))
    assert table.attempts == ATTEMPTS[:2]
    assert ATTEMPTS[2] not in table
    assert not table.untold(ATTEMPTS[2])


# Guards against holders that are missed when they are not computed anew.
@hypothesis.given(
    strategies.lists(
        strategies.dictionaries(
            strategies.sampled_from([f"r{number}" for number in range(1, 9)]),
            strategies.integers(1, 2),
        ),
        min_size=1,
        max_size=6,
    ),
    strategies.lists(strategies.booleans(), min_size=6, max_size=6),
)
def test_each_holder_was_told_after_any_changes(changes, looks):
    table = _table([])
    told = {}
    for incarnations, looks_now in zip(changes, looks, strict=False):
        table.update(incarnations)
        if not looks_now:
            continue
        for attempt in ATTEMPTS[:8]:
            expected = _expected(attempt, incarnations)
            for name in table.take_untold(attempt):
                key = attempt, name, incarnations[name]
                assert key not in told
                told[key] = True
            assert not table.untold(attempt)
            assert all(
                (attempt, name, incarnations[name]) in told for name in expected
            )
