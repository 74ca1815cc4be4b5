import hypothesis
from hypothesis import strategies as st
import pytest

from nutmegpost_core import ring

NAMES = [f"engine-{number}" for number in range(10)]
KEYS = [f"account/chat-{number}".encode() for number in range(2000)]


def test_empty_ring_has_no_first():
    with pytest.raises(LookupError):
        ring.Ring([]).first(b"key")
    assert ring.Ring([]).order(b"key", 3) == []


def test_order_starts_with_first_and_has_no_name_twice():
    names = ring.Ring(NAMES)
    for key in KEYS[:50]:
        order = names.order(key, 20)
        assert order[0] == names.first(key)
        assert sorted(order) == sorted(NAMES)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=10)
@hypothesis.given(st.sampled_from(NAMES))
def test_only_keys_of_the_name_that_left_move(left):
    before = ring.Ring(NAMES)
    after = ring.Ring([name for name in NAMES if name != left])
    for key in KEYS[:500]:
        if before.first(key) != left:
            assert after.first(key) == before.first(key)
        else:
            assert after.first(key) == before.order(key, 2)[1]


def test_shares_of_few_names_are_even():
    names = ring.Ring(NAMES)
    counts = dict.fromkeys(NAMES, 0)
    for key in KEYS:
        counts[names.first(key)] += 1
    assert max(counts.values()) < 1.25 * len(KEYS) / len(NAMES)


def test_large_ring_stays_small():
    assert ring.points_for(10) == ring.POINTS_PER_NAME_MAX
    assert ring.points_for(10_000) == ring.POINTS_PER_NAME_MIN
