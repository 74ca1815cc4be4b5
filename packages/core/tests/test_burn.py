import hypothesis
from hypothesis import strategies
import pytest

from nutmegpost_core import burn
from nutmegpost_core import errors

_PRESS = {
    "name": "press",
    "rank": 1,
    "first_token_ms": 490,
    "between_tokens_ms": 30,
    "worth": 100.0,
}
_TAGGING = {
    "name": "tagging",
    "rank": 3,
    "first_token_ms": 60_000,
    "finish_s": 3600.0,
    "within": 0.9,
    "worth": 1.0,
}


def _rows(counter, work_class):
    return {
        row.window_s: row
        for row in counter.report(10_000.0)
        if row.work_class == work_class
    }


@pytest.mark.parametrize(
    ("work_class", "first", "gap", "total", "verdict"),
    [
        ("press", 0.49, 0.03, 900.0, burn.Verdict.GOOD),
        ("press", 0.491, 0.03, 1.0, burn.Verdict.LATE_FIRST),
        ("press", 0.49, 0.031, 1.0, burn.Verdict.SLOW_TOKENS),
        ("press", 0.5, 0.04, 1.0, burn.Verdict.LATE_FIRST),
        ("tagging", 60.0, 9.0, 3600.0, burn.Verdict.GOOD),
        ("tagging", 60.0, 9.0, 3601.0, burn.Verdict.LATE_FINISH),
        ("unknown", 99.0, 9.0, 9999.0, burn.Verdict.GOOD),
    ],
)
def test_a_request_is_classified_by_its_target(
    work_class, first, gap, total, verdict
):
    counter = burn.BurnCounter([_PRESS, _TAGGING])
    result = counter.record_answer(work_class, first, gap, total, 10_000.0)
    assert result == verdict


def test_rows_have_counts_by_cause_and_the_rate():
    counter = burn.BurnCounter([_PRESS, _TAGGING])
    for _ in range(18):
        counter.record_answer("press", 0.1, 0.01, 1.0, 10_000.0)
    counter.record_answer("press", 1.0, 0.01, 1.0, 10_000.0)
    counter.record_failure("press", errors.Outcome.NOT_RUN, 10_000.0)
    counter.record_failure("press", errors.Outcome.UNKNOWN, 10_000.0)
    counter.record_failure("unknown", errors.Outcome.UNKNOWN, 10_000.0)
    for row in _rows(counter, "press").values():
        assert row[2:-1] == (21, 18, 3, 1, 0, 0, 1, 1, 0.95)
        assert row.rate == pytest.approx(3 / 21 / 0.05)
    assert counter.classes == ("press", "tagging")


def test_an_empty_window_has_rate_zero():
    rows = burn.BurnCounter([_PRESS]).report(5.0)
    assert [row.window_s for row in rows] == list(burn.WINDOWS_S)
    assert all(row.rate == 0.0 and row.total == 0 for row in rows)


@pytest.mark.parametrize("window_s", burn.WINDOWS_S)
def test_a_request_leaves_each_window_in_time(window_s):
    bucket_s = 5.0 if window_s <= 300 else 60.0
    counter = burn.BurnCounter([_PRESS])
    counter.record_answer("press", 9.0, 0.0, 9.0, 600.0)
    assert counter.rate("press", window_s, 600.0 + window_s - 1) > 19
    assert counter.rate("press", window_s, 600.0 + window_s + bucket_s) == 0


def test_sums_are_right_when_the_clock_stalls_or_jumps():
    counter = burn.BurnCounter([_PRESS])
    counter.record_answer("press", 9.0, 0.0, 9.0, 1e6)
    counter.record_answer("press", 9.0, 0.0, 9.0, 1e6)
    assert counter.report(1e6)[0].total == 2
    assert counter.report(9e6)[-1].total == 0
    counter.record_answer("press", 0.1, 0.0, 9.0, 9e6)
    assert [row.total for row in counter.report(9e6)] == [1] * 5


def test_the_rate_of_a_model_weighs_classes_by_error_budget():
    counter = burn.BurnCounter([_PRESS, _TAGGING])
    for _ in range(10):
        counter.record_answer("press", 9.0, 0.0, 9.0, 50.0, model="panel")
        counter.record_answer("tagging", 9.0, 0.0, 9.0, 50.0, model="panel")
        counter.record_answer("press", 0.1, 0.0, 9.0, 50.0, model="other")
    assert counter.rate("panel", 60.0, 50.0) == pytest.approx(10 / 1.5)
    assert counter.rate("other", 60.0, 50.0) == 0.0
    assert counter.rate("press", 60.0, 50.0) == pytest.approx(10 / 1.0)
    assert counter.rate("panel", 60.0, 50.0, count_min=21) == 0.0
    assert counter.rate("panel", 60.0, 50.0, count_min=20) > 0.0


def test_new_targets_apply_to_later_requests_and_drop_removed_classes():
    counter = burn.BurnCounter([_PRESS, _TAGGING])
    counter.record_answer("press", 0.4, 0.0, 9.0, 50.0)
    counter.record_answer("tagging", 0.4, 0.0, 9.0, 50.0)
    counter.set_classes([{**_PRESS, "first_token_ms": 300}])
    counter.record_answer("press", 0.4, 0.0, 9.0, 50.0)
    rows = counter.report(50.0)
    assert {row.work_class for row in rows} == {"press"}
    assert (rows[0].good, rows[0].bad) == (1, 1)
    counter.set_classes([_PRESS, _TAGGING])
    assert sum(row.total for row in counter.report(50.0)[5:]) == 0


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        (400, False),
        (401, False),
        (404, False),
        (422, False),
        (428, False),
        (429, True),
        (500, True),
        (503, True),
        (504, True),
    ],
)
def test_client_errors_use_no_error_budget(status, expected):
    assert burn.uses_error_budget(status) == expected


def test_merge_uses_the_strictest_target_and_keeps_all_classes():
    first = burn.BurnCounter([_PRESS])
    second = burn.BurnCounter([{**_PRESS, "within": 0.99}, _TAGGING])
    first.record_answer("press", 9.0, 0.0, 9.0, 50.0)
    second.record_answer("press", 0.1, 0.0, 9.0, 50.0)
    rows = burn.merge([first.report(50.0), second.report(50.0)])
    assert len(rows) == 10
    assert rows[0].rate == pytest.approx(0.5 / 0.01)
    assert (rows[0].total, rows[0].late_first) == (2, 1)
    assert burn.merge([]) == []


_EVENTS = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, 30_000.0),
        strategies.sampled_from(list(burn.Verdict)),
    ),
    max_size=60,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(events=_EVENTS, later=strategies.floats(0.0, 25_000.0))
def test_sums_agree_with_a_plain_list(events, later):
    counter = burn.BurnCounter([_PRESS])
    events.sort()
    for now, verdict in events:
        counter._add("press", "", verdict, now)
    now = later + (events[-1][0] if events else 0.0)
    for row in counter.report(now):
        bucket_s = 5.0 if row.window_s <= 300 else 60.0
        oldest = int(now / bucket_s) - int(row.window_s / bucket_s)
        in_window = [v for at, v in events if int(at / bucket_s) >= oldest]
        assert row.total == len(in_window)
        assert row.good == in_window.count(burn.Verdict.GOOD)
        assert row.lost == in_window.count(burn.Verdict.LOST)
        assert row.good + row.bad == row.total
        parts = (row.late_first, row.slow_tokens, row.late_finish)
        assert sum(parts) + row.refused + row.lost == row.bad
        # A window covers at least its nominal length, and less than one
        # bucket more.
        assert row.total >= sum(at > now - row.window_s for at, _ in events)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=50)
@hypothesis.given(events=_EVENTS, cut=strategies.integers(0, 60))
def test_merged_routers_count_as_a_single_router(events, cut):
    events.sort()
    single_router = burn.BurnCounter([_PRESS])
    parts = [burn.BurnCounter([_PRESS]), burn.BurnCounter([_PRESS])]
    for index, (now, verdict) in enumerate(events):
        single_router._add("press", "", verdict, now)
        parts[index < cut]._add("press", "", verdict, now)
    merged = burn.merge(part.report(30_000.0) for part in parts)
    assert merged == single_router.report(30_000.0)


def test_memory_of_a_series_does_not_grow():
    counter = burn.BurnCounter([_PRESS])
    for second in range(0, 100_000, 7):
        counter.record_answer("press", 0.1, 0.0, 1.0, float(second))
    (series,) = counter._series.values()
    assert len(series._fine._counts[0]) == 61
    assert len(series._coarse._counts[0]) == 361
