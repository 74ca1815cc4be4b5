import hypothesis
from hypothesis import strategies as st
import pytest

from nutmegpost_core import budget
from nutmegpost_core import invariants

Kind = budget.Kind


def test_a_full_bucket_lets_one_burst_through():
    bucket = budget.Budget(1_000, 500)
    assert bucket.spend(Kind.ACK, 500, 0.0)
    assert not bucket.spend(Kind.ACK, 1, 0.0)
    assert bucket.spend(Kind.ACK, 100, 0.1)


def test_what_matters_less_is_deferred_first():
    bucket = budget.Budget(1_000, 2_000)
    bucket.spend(Kind.ACK, 1_000, 0.0)
    allowed = [kind for kind in Kind if bucket.spend(kind, 1, 0.0)]
    assert allowed == list(Kind)[: len(allowed)]
    assert Kind.ACK in allowed
    assert Kind.RUMOUR not in allowed


def test_counts_are_kept_for_each_kind():
    bucket = budget.Budget(100, 100)
    bucket.spend(Kind.PING, 40, 0.0)
    bucket.spend(Kind.PING, 400, 0.0)
    assert bucket.counts[Kind.PING] == budget.Counts(1, 40, 1)
    assert bucket.counts[Kind.ACK] == budget.Counts()


def test_a_clock_that_stands_still_or_goes_back_gives_nothing():
    bucket = budget.Budget(1_000, 100)
    assert bucket.spend(Kind.ACK, 100, 10.0)
    assert not bucket.spend(Kind.ACK, 1, 10.0)
    assert not bucket.spend(Kind.ACK, 1, 5.0)
    assert not bucket.spend(Kind.ACK, 1, 10.0)


def test_an_overdrawn_bucket_is_a_violation(monkeypatch):
    bucket = budget.Budget(1_000, 100)
    monkeypatch.setattr(bucket, "room", lambda kind, now: 1_000)
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
def test_no_window_holds_more_than_burst_and_rate(messages):
    rate, burst = 2_000.0, 2_000.0
    bucket = budget.Budget(rate, burst)
    now = 0.0
    sent = []
    for wait, kind, size in messages:
        now += wait
        if bucket.spend(kind, size, now):
            sent.append((now, size))
    for first, (began, _) in enumerate(sent):
        total = 0
        for at, size in sent[first:]:
            total += size
            assert total <= burst + rate * (at - began) + 1e-6
