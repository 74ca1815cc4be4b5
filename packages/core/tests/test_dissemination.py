import random

import hypothesis
from hypothesis import strategies as st
import pytest

from nutmegpost_core import dissemination

Kind = dissemination.Kind


def _pair():
    return dissemination.Disseminator(
        random.Random(1)
    ), dissemination.Disseminator(random.Random(2))


def test_item_is_received_once():
    first, second = _pair()
    first.publish(Kind.SUCCESSOR, b"key", b"value", 0.0, 60)
    items = first.next_items(1_000, 0.0, 4)
    second.merge(items, 0.0)
    second.merge(items, 0.0)
    assert second.received() == [
        dissemination.ReceivedItem(Kind.SUCCESSOR, b"key", b"value", 60.0)
    ]
    assert second.received() == []
    assert first.received() == []


def test_latest_version_of_a_key_wins_in_any_order():
    first, second = _pair()
    first.publish(Kind.LOADS, b"router-1", b"old", 0.0, 60)
    old = first.next_items(1_000, 0.0, 4)
    first.publish(Kind.LOADS, b"router-1", b"new", 1.0, 60)
    new = first.next_items(1_000, 1.0, 4)
    second.merge(new, 1.0)
    second.merge(old, 1.0)
    assert [item.payload for item in second.received()] == [b"new"]


def test_restarted_writer_of_loads_supersedes_its_predecessor():
    before, second = _pair()
    for number in range(9):
        before.publish(Kind.LOADS, b"router-1", b"%d" % number, 0.0, 60)
    second.merge(before.next_items(1_000, 0.0, 4), 0.0)
    after = dissemination.Disseminator(random.Random(3))
    after.publish(Kind.LOADS, b"router-1", b"restarted", 1.0, 60)
    after.merge(second.next_items(1_000, 1.0, 4), 1.0)
    second.merge(after.next_items(1_000, 1.0, 4), 1.0)
    assert second.received()[-1].payload == b"restarted"
    assert after.received() == []


def test_two_writers_of_a_synchronized_key_converge():
    first, second = _pair()
    first.publish(Kind.ENDPOINT_LEAVING, b"engine", b"a", 0.0, 60)
    second.publish(Kind.ENDPOINT_LEAVING, b"engine", b"b", 0.0, 60)
    for _ in range(4):
        second.merge(first.next_items(1_000, 0.0, 4), 0.0)
        first.merge(second.next_items(1_000, 0.0, 4), 0.0)
    assert first.digest() == second.digest()


def test_expired_item_is_not_revived():
    first, second = _pair()
    first.publish(Kind.SUCCESSOR, b"key", b"value", 0.0, 10)
    late = first.next_items(1_000, 9.0, 4)
    first.tick(10.0)
    assert len(first) == 0
    second.merge(late, 12.0)
    first.merge(second.next_items(1_000, 12.0, 4), 12.0)
    assert len(first) == 0


def test_each_item_is_sent_a_bounded_number_of_times():
    first, _ = _pair()
    first.publish(Kind.SUCCESSOR, b"key", b"value", 0.0, 60)
    sent = [len(first.next_items(1_000, 0.0, 1_100)) for _ in range(100)]
    assert sum(sent) == 12


def test_kind_of_highest_priority_is_sent_first():
    first, _ = _pair()
    for number in range(50):
        first.publish(Kind.LOADS, b"%d" % number, b"x" * 40, 0.0, 60)
    first.publish(Kind.SUSPECT_REQUEST, b"digest", b"x" * 40, 0.0, 60)
    items = first.next_items(80, 0.0, 4)
    assert [item.kind for item in items] == [Kind.SUSPECT_REQUEST]


def test_merge_reports_new_items_of_urgent_kinds():
    first, second = _pair()
    first.publish(Kind.LOADS, b"router-1", b"1", 0.0, 60)
    assert not second.merge(first.next_items(1_000, 0.0, 4), 0.0)
    first.publish(Kind.SUSPECT_REQUEST, b"digest", b"1", 0.0, 60)
    items = first.next_items(1_000, 0.0, 4)
    assert second.merge(items, 0.0)
    assert not second.merge(items, 0.0)


def test_unknown_kinds_are_ignored():
    _, second = _pair()
    second.merge([dissemination.Item(99, b"key", 1, b"value", 60_000)], 0.0)
    assert len(second) == 0


def test_item_that_does_not_fit_into_a_datagram_is_refused():
    first, _ = _pair()
    with pytest.raises(ValueError, match="401 bytes"):
        first.publish(Kind.SUCCESSOR, b"k", b"x" * 400, 0.0, 60)


def test_number_of_items_is_bounded(monkeypatch):
    monkeypatch.setattr(dissemination, "ITEMS_MAX", 5)
    _, second = _pair()
    second.merge(
        [dissemination.Item(1, b"%d" % n, 1, b"", 60_000) for n in range(9)],
        0.0,
    )
    assert len(second) == 5


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
def test_exchanged_samples_converge(published, seed, free_bytes):
    rng = random.Random(seed)
    nodes = [dissemination.Disseminator(random.Random(n)) for n in range(3)]
    for kind, key, payload, index in published:
        nodes[index].publish(kind, key, payload, 0.0, 600)
    for _ in range(400):
        sender, receiver = rng.sample(nodes, 2)
        items = sender.sample(free_bytes, 1.0)
        assert dissemination.size_bound(items) <= free_bytes
        receiver.merge(items, 1.0)
        if len({node.digest() for node in nodes}) == 1:
            return
    raise AssertionError("the nodes still differ")
