import hypothesis
from hypothesis import strategies as st
import pytest

from nutmegpost_core import budget
from nutmegpost_core import invariants

Kind = budget.Kind


def test_full_bucket_allows_one_burst():
    bucket = budget.Budget(1_000, 500)
    assert bucket.spend(Kind.ACK, 500, 0.0)
    assert not bucket.spend(Kind.ACK, 1, 0.0)
    assert bucket.spend(Kind.ACK, 100, 0.1)


def test_kinds_of_lower_priority_are_deferred_first():
    bucket = budget.Budget(1_000, 2_000)
    bucket.spend(Kind.ACK, 1_000, 0.0)
    allowed = [kind for kind in Kind if bucket.spend(kind, 1, 0.0)]
    assert allowed == list(Kind)[: len(allowed)]
    assert Kind.ACK in allowed
    assert Kind.RUMOUR not in allowed


def test_messages_are_counted_by_kind():
    bucket = budget.Budget(100, 100)
    bucket.spend(Kind.PING, 40, 0.0)
    bucket.spend(Kind.PING, 400, 0.0)
    assert bucket.counts[Kind.PING] == budget.Counts(1, 40, 1)
    assert bucket.counts[Kind.ACK] == budget.Counts()


def test_clock_that_stops_or_goes_back_refills_nothing():
    bucket = budget.Budget(1_000, 100)
    assert bucket.spend(Kind.ACK, 100, 10.0)
    assert not bucket.spend(Kind.ACK, 1, 10.0)
    assert not bucket.spend(Kind.ACK, 1, 5.0)
    assert not bucket.spend(Kind.ACK, 1, 10.0)


def test_overdrawn_bucket_violates_an_invariant(monkeypatch):
    bucket = budget.Budget(1_000, 100)
    monkeypatch.setattr(bucket, "available_bytes", lambda kind, now: 1_000)
    with pytest.raises(invariants.InvariantError):
        bucket.spend(Kind.ACK, 101, 0.0)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    st.lists(
        st.tuples(
            st.floats(0, 2),
            st.sampled_from(list(Kind)),
            st.integers(1, 2_500),
        ),
        max_size=60,
    )
)
def test_no_window_exceeds_burst_and_rate(messages):
    rate, burst = 2_000.0, 2_000.0
    bucket = budget.Budget(rate, burst)
    now = 0.0
    sent = []
    for wait, kind, size in messages:
        now += wait
        if bucket.spend(kind, size, now):
            sent.append((now, size))
    for first, (start, _) in enumerate(sent):
        total = 0
        for time, size in sent[first:]:
            total += size
            assert total <= burst + rate * (time - start) + 1e-6
