"""A short soak of planned work, and tests of its checks."""

import math

import pytest
import stop_callers
import stop_checks
import stop_runners
import stop_soak

SECONDS = 12.0


@pytest.mark.processes
@pytest.mark.xdist_group("processes")
def test_no_request_that_was_read_ends_without_an_answer_beside_planned_work():
    broken, soak = stop_soak.run_seed(20261206, SECONDS)
    assert broken == []
    assert any(outcome.status == 200 for outcome in soak.outcomes)
    assert any(work.kind == "stop" for work in soak.planned)


PLAN = stop_callers.Plan("a", "draft", "/", 2, {}, b"", False, ())
# Cut one second after it was sent.
CUT = stop_callers.Outcome(
    PLAN,
    "g",
    1,
    True,
    stop_callers.Pace(),
    100.0,
    100.0,
    101.0,
    200,
    False,
    b"",
    "",
)
RUN = stop_runners.Run("a", "e1", 100.0, 101.0)
STOP = stop_checks.Planned("stop", "g", 99.0)
RELOAD = stop_checks.Planned("reload", "g", 99.0)
CONFIGURATION = stop_checks.Planned("configuration", "", 99.0)


def _lost(outcome=CUT, runs=(RUN,), planned=(STOP,)):
    lost, others = stop_checks.find_lost(
        [outcome], list(runs), list(planned), (90.0, 130.0)
    )
    return len(lost), len(others)


@pytest.mark.parametrize(
    ("outcome", "runs", "expected"),
    [
        (CUT, [RUN], (1, 0)),
        (CUT, [], (1, 0)),
        (CUT._replace(status=0), [RUN], (1, 0)),
        (CUT._replace(is_complete=True), [RUN], (0, 0)),
        (CUT._replace(is_complete=True, status=503), [], (0, 0)),
        # It was not read whole.
        (CUT._replace(sent_at=math.inf), [], (0, 0)),
        # It crossed the close, and was passed on or not.
        (CUT._replace(ended_at=100.19), [], (0, 0)),
        (CUT._replace(ended_at=100.21), [], (1, 0)),
        (CUT._replace(ended_at=100.19), [RUN], (1, 0)),
        (CUT, [RUN._replace(is_broken_off=True)], (0, 0)),
        (CUT._replace(begun_at=89.0), [RUN], (0, 0)),
    ],
)
def test_cut_requests_are_lost_as_the_rule_says(outcome, runs, expected):
    assert _lost(outcome, runs) == expected


@pytest.mark.parametrize(
    ("sent_after_s", "worked_until_s", "cut_after_s", "expected"),
    [
        (3.0, 6.7, 7.6, (0, 0)),
        (3.0, 7.6, 7.6, (0, 0)),
        (3.0, 6.6, 7.6, (1, 0)),
        (3.1, 7.6, 7.6, (1, 0)),
        (-2.0, 7.6, 7.6, (0, 0)),
        (-2.0, 5.0, 5.0, (1, 0)),
        (3.0, 6.6, 9.0, (1, 0)),
        (3.0, 6.6, 9.1, (0, 1)),
    ],
)
def test_work_late_in_the_grace_is_excused_if_it_was_sent_early(
    sent_after_s, worked_until_s, cut_after_s, expected
):
    sent_at = STOP.at + sent_after_s
    outcome = CUT._replace(
        begun_at=sent_at, sent_at=sent_at, ended_at=STOP.at + cut_after_s
    )
    run = RUN._replace(begin=sent_at, end=STOP.at + worked_until_s)
    assert _lost(outcome, [run]) == expected


@pytest.mark.parametrize(
    ("planned", "expected"),
    [
        ([], (0, 1)),
        ([STOP._replace(gateway="other")], (0, 1)),
        ([STOP._replace(at=91.9)], (0, 1)),
        ([STOP._replace(at=101.1)], (0, 1)),
        ([RELOAD], (1, 0)),
        ([RELOAD._replace(at=97.9)], (0, 1)),
        ([RELOAD._replace(at=101.1)], (0, 1)),
        ([RELOAD._replace(gateway="other")], (0, 1)),
        ([CONFIGURATION], (1, 0)),
        ([CONFIGURATION._replace(at=97.9)], (0, 1)),
    ],
)
def test_requests_are_lost_beside_planned_work_only(planned, expected):
    assert _lost(planned=planned) == expected


def test_cuts_beside_a_configuration_count_if_they_are_more_than_usual():
    outcomes = [CUT, *(CUT._replace(ended_at=110.0 + n) for n in range(10))]
    outcomes = [
        outcome._replace(begun_at=outcome.ended_at - 1) for outcome in outcomes
    ]
    lost, others = stop_checks.find_lost(
        outcomes, [RUN], [CONFIGURATION], (90.0, 130.0)
    )
    assert (len(lost), len(others)) == (0, 11)


def test_request_that_has_used_its_time_does_not_count_beside_a_configuration():
    outcome = CUT._replace(begun_at=92.0, sent_at=92.0)
    assert _lost(outcome, planned=[CONFIGURATION]) == (0, 1)


AGAIN = RUN._replace(runner="e2", begin=101.0, end=102.0)


@pytest.mark.parametrize(
    ("kind", "runs", "count"),
    [
        ("issue", [RUN], 0),
        ("issue", [RUN, AGAIN], 1),
        ("ask", [RUN, AGAIN], 1),
        ("look", [RUN, AGAIN], 0),
        ("draft", [RUN, AGAIN], 0),
        ("draft", [RUN._replace(end=101.41), AGAIN], 1),
        ("draft", [RUN._replace(end=101.39), AGAIN], 0),
    ],
)
def test_checks_detect_what_ran_twice(kind, runs, count):
    outcome = CUT._replace(plan=PLAN._replace(kind=kind))
    assert len(stop_checks.find_doubles([outcome], runs)) == count


def _events(*numbers):
    return b"".join(stop_runners.event(number) for number in numbers)


@pytest.mark.parametrize(
    ("body", "is_complete", "is_broken"),
    [
        (_events(1, 2), True, False),
        (_events(1), True, True),
        (_events(1), False, False),
        (_events(2), False, True),
        (_events(1, 1), False, True),
        (_events(1, 2, 2), True, True),
    ],
)
def test_checks_detect_a_gap_or_a_double(body, is_complete, is_broken):
    outcome = CUT._replace(body=body, is_complete=is_complete)
    assert bool(stop_callers.broken_order(outcome)) == is_broken
