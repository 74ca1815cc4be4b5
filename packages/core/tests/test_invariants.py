"""Tests of the invariant checks."""

import pytest

from nutmegpost_core import events
from nutmegpost_core import invariants


@pytest.fixture(autouse=True)
def _no_handler():
    invariants.install(None)
    yield
    invariants.install(None)


def _check(condition):
    return invariants.check(
        condition, events.CHART_REFUSED, chart="a", state="b", trigger="c"
    )


def test_a_true_condition_reports_nothing():
    assert _check(True)


def test_a_violation_raises_with_the_text_of_the_event():
    with pytest.raises(invariants.InvariantError, match="chart a refuses c"):
        _check(False)


def test_a_handler_gets_the_violation_and_nothing_is_raised():
    reported = []
    invariants.install(lambda event, fields: reported.append((event, fields)))
    assert not _check(False)
    assert reported == [
        (events.CHART_REFUSED, {"chart": "a", "state": "b", "trigger": "c"})
    ]


def test_removing_the_handler_raises_again():
    invariants.install(lambda event, fields: None)
    invariants.install(None)
    with pytest.raises(invariants.InvariantError):
        _check(False)
