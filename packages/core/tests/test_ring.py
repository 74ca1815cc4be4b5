import hypothesis
from hypothesis import strategies as st
import pytest

from nutmegpost_core import ring

NAMES = [f"engine-{number}" for number in range(10)]
KEYS = [f"account/chat-{number}".encode() for number in range(2000)]


def test_lookup_in_empty_ring_raises():
    with pytest.raises(LookupError):
        ring.Ring([]).lookup(b"key")
    assert ring.Ring([]).preference_list(b"key", 3) == []


def test_preference_list_starts_with_lookup_and_has_no_duplicates():
    hash_ring = ring.Ring(NAMES)
    for key in KEYS[:50]:
        preferred = hash_ring.preference_list(key, 20)
        assert preferred[0] == hash_ring.lookup(key)
        assert sorted(preferred) == sorted(NAMES)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=10)
@hypothesis.given(st.sampled_from(NAMES))
def test_only_keys_of_the_removed_name_move(removed):
    before = ring.Ring(NAMES)
    after = ring.Ring([name for name in NAMES if name != removed])
    for key in KEYS[:500]:
        if before.lookup(key) != removed:
            assert after.lookup(key) == before.lookup(key)
        else:
            assert after.lookup(key) == before.preference_list(key, 2)[1]


def test_shares_of_few_names_are_even():
    hash_ring = ring.Ring(NAMES)
    counts = dict.fromkeys(NAMES, 0)
    for key in KEYS:
        counts[hash_ring.lookup(key)] += 1
    assert max(counts.values()) < 1.25 * len(KEYS) / len(NAMES)


def test_large_ring_stays_small():
    assert ring.points_for(10) == ring.POINTS_PER_NAME_MAX
    assert ring.points_for(10_000) == ring.POINTS_PER_NAME_MIN
