import asyncio

import hypothesis
from hypothesis import strategies
import pytest

from nutmegpost_core import invariants
from nutmegpost_core import wire
from nutmegpost_router import runs

SUBMIT = wire.Submit("r1", "press", "quick", "m", "c1", b"{}")
TOKENS = [b"t%d" % number for number in range(20)]


def _read(subscription):
    return asyncio.run(subscription.next_batch())


@hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 5), strategies.integers(0, 6)),
        max_size=12,
    )
)
def test_overlapping_batches_are_deduplicated(batches):
    run = runs.Run(SUBMIT, b"d", 0)
    for overlap, count in batches:
        next_sequence = run.next_sequence
        first = max(0, next_sequence - overlap)
        batch = TOKENS[first : first + count]
        dropped = run.append(first, batch)
        assert dropped == min(next_sequence - first, len(batch))
    assert run.read(0) == TOKENS[: run.next_sequence]


def test_gap_violates_an_invariant():
    run = runs.Run(SUBMIT, b"d", 0)
    with pytest.raises(invariants.InvariantError):
        run.append(2, [b"x"])


def test_events_before_the_first_sequence_are_dropped():
    run = runs.Run(SUBMIT, b"d", 5)
    run.append(0, TOKENS[:8])
    assert run.read(5) == TOKENS[5:8]
    assert not run.can_resume_at(4)


def test_subscribers_read_from_their_own_positions():
    run = runs.Run(SUBMIT, b"d", 0)
    run.append(0, TOKENS[:4])
    first, second = run.subscribe(0), run.subscribe(3)
    assert _read(first) == runs.EventBatch(0, TOKENS[:4], False, None)
    assert _read(second) == runs.EventBatch(3, TOKENS[3:4], False, None)
    run.append(4, TOKENS[4:6])
    run.finish(None, 9.0)
    assert _read(first) == runs.EventBatch(4, TOKENS[4:6], True, None)
    run.unsubscribe(first, 10.0)
    assert run.has_subscribers
    run.unsubscribe(second, 11.0)
    assert not run.has_subscribers


def test_second_finish_is_ignored():
    run = runs.Run(SUBMIT, b"d", 0)
    redirected = wire.Redirected("r1", "press", "e2")
    run.finish(redirected, 1.0)
    run.finish(None, 2.0)
    assert run.end == redirected
    assert run.ended_at == 1.0
