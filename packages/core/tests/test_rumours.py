import random

import hypothesis
from hypothesis import strategies as st
import pytest

from nutmegpost_core import rumours

Kind = rumours.Kind


def _pair():
    return rumours.Rumours(random.Random(1)), rumours.Rumours(random.Random(2))


def test_an_item_arrives_once():
    here, there = _pair()
    here.publish(Kind.SUCCESSOR, b"key", b"value", 0.0, 60)
    items = here.take(1_000, 0.0, 4)
    there.merge(items, 0.0)
    there.merge(items, 0.0)
    assert there.arrived() == [rumours.Rumour(Kind.SUCCESSOR, b"key", b"value")]
    assert there.arrived() == []
    assert here.arrived() == []


def test_the_latest_of_a_key_wins_in_any_order():
    here, there = _pair()
    here.publish(Kind.LOADS, b"router-1", b"old", 0.0, 60)
    old = here.take(1_000, 0.0, 4)
    here.publish(Kind.LOADS, b"router-1", b"new", 1.0, 60)
    new = here.take(1_000, 1.0, 4)
    there.merge(new, 1.0)
    there.merge(old, 1.0)
    assert [item.payload for item in there.arrived()] == [b"new"]


def test_a_restarted_writer_of_loads_overtakes_its_predecessor():
    before, there = _pair()
    for number in range(9):
        before.publish(Kind.LOADS, b"router-1", b"%d" % number, 0.0, 60)
    there.merge(before.take(1_000, 0.0, 4), 0.0)
    after = rumours.Rumours(random.Random(3))
    after.publish(Kind.LOADS, b"router-1", b"restarted", 1.0, 60)
    after.merge(there.take(1_000, 1.0, 4), 1.0)
    there.merge(after.take(1_000, 1.0, 4), 1.0)
    assert there.arrived()[-1].payload == b"restarted"
    assert after.arrived() == []


def test_two_writers_of_a_lasting_key_come_to_rest():
    here, there = _pair()
    here.publish(Kind.ENDPOINT_LEAVING, b"engine", b"a", 0.0, 60)
    there.publish(Kind.ENDPOINT_LEAVING, b"engine", b"b", 0.0, 60)
    for _ in range(4):
        there.merge(here.take(1_000, 0.0, 4), 0.0)
        here.merge(there.take(1_000, 0.0, 4), 0.0)
    assert here.digest() == there.digest()


def test_an_expired_item_does_not_come_back():
    here, there = _pair()
    here.publish(Kind.SUCCESSOR, b"key", b"value", 0.0, 10)
    late = here.take(1_000, 9.0, 4)
    here.tick(10.0)
    assert len(here) == 0
    there.merge(late, 12.0)
    here.merge(there.take(1_000, 12.0, 4), 12.0)
    assert len(here) == 0


def test_each_item_is_sent_a_bounded_number_of_times():
    here, _ = _pair()
    here.publish(Kind.SUCCESSOR, b"key", b"value", 0.0, 60)
    sent = [len(here.take(1_000, 0.0, 1_100)) for _ in range(100)]
    assert sum(sent) == 12


def test_what_matters_most_goes_first():
    here, _ = _pair()
    for number in range(50):
        here.publish(Kind.LOADS, b"%d" % number, b"x" * 40, 0.0, 60)
    here.publish(Kind.SUSPECT_REQUEST, b"digest", b"x" * 40, 0.0, 60)
    items = here.take(80, 0.0, 4)
    assert [item.kind for item in items] == [Kind.SUSPECT_REQUEST]


def test_urgent_news_are_told_apart():
    here, there = _pair()
    here.publish(Kind.LOADS, b"router-1", b"1", 0.0, 60)
    assert not there.merge(here.take(1_000, 0.0, 4), 0.0)
    here.publish(Kind.SUSPECT_REQUEST, b"digest", b"1", 0.0, 60)
    items = here.take(1_000, 0.0, 4)
    assert there.merge(items, 0.0)
    assert not there.merge(items, 0.0)


def test_unknown_kinds_are_skipped():
    _, there = _pair()
    there.merge([rumours.Item(99, b"key", 1, b"value", 60_000)], 0.0)
    assert len(there) == 0


def test_an_item_that_does_not_fit_a_datagram_is_refused():
    here, _ = _pair()
    with pytest.raises(ValueError, match="401 bytes"):
        here.publish(Kind.SUCCESSOR, b"k", b"x" * 400, 0.0, 60)


def test_the_number_of_items_is_bounded(monkeypatch):
    monkeypatch.setattr(rumours, "ITEMS_MAX", 5)
    _, there = _pair()
    there.merge(
        [rumours.Item(1, b"%d" % n, 1, b"", 60_000) for n in range(9)], 0.0
    )
    assert len(there) == 5


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(
                [Kind.SUCCESSOR, Kind.SUSPECT_REQUEST, Kind.ENDPOINT_LEAVING]
            ),
            st.binary(min_size=1, max_size=3),
            st.binary(max_size=30),
            st.integers(0, 2),
        ),
        max_size=30,
    ),
    st.integers(0, 1_000),
    st.integers(60, 1_000),
)
def test_exchanged_samples_make_all_equal(published, seed, room):
    rng = random.Random(seed)
    nodes = [rumours.Rumours(random.Random(n)) for n in range(3)]
    for kind, key, payload, where in published:
        nodes[where].publish(kind, key, payload, 0.0, 600)
    for _ in range(400):
        one, other = rng.sample(nodes, 2)
        items = one.sample(room, 1.0)
        assert rumours.size(items) <= room
        other.merge(items, 1.0)
        if len({node.digest() for node in nodes}) == 1:
            return
    raise AssertionError("the nodes still differ")
