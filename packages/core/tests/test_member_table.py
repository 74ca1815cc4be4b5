import hypothesis
from hypothesis import strategies as st
import pytest

from nutmegpost_core import invariants
from nutmegpost_core import member_table

State = member_table.State
LOCAL_MEMBER = member_table.Member("me", 1, "10.0.0.1:1", "10.0.0.1:1", "a")


def _member(name="other", **fields):
    return LOCAL_MEMBER._replace(name=name, incarnation=2, **fields)


def test_new_member_is_a_change_without_a_previous_state():
    table = member_table.MemberTable(LOCAL_MEMBER)
    table.put(_member(), 0.0)
    assert table.changes() == [member_table.Change(_member(), None)]
    assert table.live == ["me", "other"]


def test_replaced_process_is_a_change_without_a_previous_state():
    table = member_table.MemberTable(LOCAL_MEMBER)
    table.put(_member(), 0.0)
    table.changes()
    table.put(_member(revision=1)._replace(incarnation=3), 0.0)
    assert [item.previous_state for item in table.changes()] == [None]


def test_storing_a_superseded_update_violates_an_invariant():
    table = member_table.MemberTable(LOCAL_MEMBER)
    table.put(_member(revision=2), 0.0)
    with pytest.raises(invariants.InvariantError):
        table.put(_member(revision=1), 0.0)


def test_revisions_of_several_members_do_not_cancel_out():
    """With a linear hash the digest would be the same before and after."""
    table = member_table.MemberTable(LOCAL_MEMBER)
    for number in range(64):
        table.put(_member(f"other-{number}"), 0.0)
    before = table.digests(1)
    for number in range(64):
        table.put(_member(f"other-{number}", revision=1), 0.0)
    assert table.digests(1) != before


update_lists = st.lists(
    st.tuples(
        st.sampled_from(["a", "b", "c"]),
        st.integers(0, 3),
        st.sampled_from(list(State)),
        st.integers(1, 2),
    ),
    max_size=12,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(update_lists, st.randoms(use_true_random=False))
def test_updates_converge_in_any_order(updates, rng):
    tables = []
    for _ in range(2):
        table = member_table.MemberTable(LOCAL_MEMBER)
        rng.shuffle(updates)
        for name, revision, state, incarnation in updates:
            member = LOCAL_MEMBER._replace(
                name=name,
                revision=revision,
                state=state,
                incarnation=incarnation,
            )
            known = table.members.get(name)
            if known is None or member_table.precedence(
                member
            ) > member_table.precedence(known):
                table.put(member, 0.0)
        tables.append(table)
    first, second = tables
    assert first.members == second.members
    assert first.live == second.live
    for count in (1, 2, 16, 64):
        assert first.digests(count) == second.digests(count)
        assert not list(first.differing_members(second.digests(count)))


@pytest.mark.parametrize("digests", [b"", b"123", b"x" * 12, b"x" * 400])
def test_malformed_digests_of_a_peer_yield_no_members(digests):
    table = member_table.MemberTable(LOCAL_MEMBER)
    assert list(table.differing_members(digests)) == []
