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
    return asyncio.run(subscription.next())


@hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 5), strategies.integers(0, 6)),
        max_size=12,
    )
)
def test_overlapping_batches_give_each_event_once(batches):
    run = runs.Run(SUBMIT, b"d", 0)
    for back, count in batches:
        before = run.next_sequence
        first = max(0, before - back)
        batch = TOKENS[first : first + count]
        dropped = run.append(first, batch)
        assert dropped == min(before - first, len(batch))
    assert run.read(0) == TOKENS[: run.next_sequence]


def test_a_gap_is_a_violated_invariant():
    run = runs.Run(SUBMIT, b"d", 0)
    with pytest.raises(invariants.InvariantError):
        run.append(2, [b"x"])


def test_a_second_attempt_drops_what_the_caller_has():
    run = runs.Run(SUBMIT, b"d", 5)
    run.append(0, TOKENS[:8])
    assert run.read(5) == TOKENS[5:8]
    assert not run.covers(4)


def test_every_subscriber_reads_from_its_own_position():
    run = runs.Run(SUBMIT, b"d", 0)
    run.append(0, TOKENS[:4])
    early, late = run.subscribe(0), run.subscribe(3)
    assert _read(early) == runs.Piece(0, TOKENS[:4], False, None)
    assert _read(late) == runs.Piece(3, TOKENS[3:4], False, None)
    run.append(4, TOKENS[4:6])
    run.finish(None, 9.0)
    assert _read(early) == runs.Piece(4, TOKENS[4:6], True, None)
    run.unsubscribe(early, 10.0)
    assert run.subscribed
    run.unsubscribe(late, 11.0)
    assert not run.subscribed


def test_only_the_first_end_counts():
    run = runs.Run(SUBMIT, b"d", 0)
    moved = wire.Redirected("r1", "press", "e2")
    run.finish(moved, 1.0)
    run.finish(None, 2.0)
    assert run.end == moved
    assert run.ended_at == 1.0
