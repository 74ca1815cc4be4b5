"""Tests of the state charts."""

import json
import pathlib

import hypothesis
from hypothesis import strategies
import pytest

from nutmegpost_core import charts
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import invariants

_FOLDER = pathlib.Path(charts.__file__).parent / "charts"
_STATES = {
    "router": "starting joining serving stopping stopped",
    "endpoint": ("joining ready suspect ejected draining loading leaving gone"),
    "request": (
        "received placed queued dispatched streaming answered withdrawn "
        "refused failed"
    ),
    "link": "connecting proving open silent closed",
    "rollout": "settled draining ordered checking failed",
}


def _sources(transition):
    source = transition["source"]
    return source if isinstance(source, list) else [source]


@pytest.fixture
def violations():
    reported = []
    invariants.install(lambda event, fields: reported.append((event, fields)))
    yield reported
    invariants.install(None)


def test_names_and_files_of_charts_match():
    assert sorted(path.stem for path in _FOLDER.iterdir()) == list(charts.NAMES)


@pytest.mark.parametrize("name", charts.NAMES)
def test_states_are_the_documented_ones(name):
    assert list(charts.definition(name).states) == _STATES[name].split()


@pytest.mark.parametrize("name", charts.NAMES)
def test_every_state_is_reachable_from_the_initial_state(name):
    definition = charts.definition(name)
    reached = {definition.initial}
    unvisited = [definition.initial]
    while unvisited:
        for dest in definition.moves[unvisited.pop()].values():
            if dest not in reached:
                reached.add(dest)
                unvisited.append(dest)
    assert reached == set(definition.states)


@pytest.mark.parametrize(
    ("name", "finals"),
    [
        ("router", {"stopped"}),
        ("endpoint", set()),
        ("request", {"answered", "withdrawn", "refused", "failed"}),
        ("link", {"closed"}),
    ],
)
def test_final_states_have_no_transitions(name, finals):
    moves = charts.definition(name).moves
    assert {state for state, targets in moves.items() if not targets} == finals


def test_a_request_that_may_have_run_is_never_sent_back_to_the_queue_unplaced():
    moves = charts.definition("request").moves
    assert "queue" not in moves["dispatched"]
    assert "refuse" not in moves["streaming"]


def test_a_leaving_endpoint_becomes_ready_only_by_joining_again():
    moves = charts.definition("endpoint").moves
    assert set(moves["leaving"]) == {"vanish", "join"}


@pytest.mark.parametrize("name", charts.NAMES)
@hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
@hypothesis.given(data=strategies.data())
def test_an_instance_follows_its_file(name, data):
    document = json.loads((_FOLDER / f"{name}.json").read_text())
    triggers = sorted({entry["trigger"] for entry in document["transitions"]})
    reported = []
    invariants.install(lambda event, fields: reported.append(event))
    try:
        chart = charts.Chart(name)
        for trigger in data.draw(
            strategies.lists(strategies.sampled_from(triggers))
        ):
            before = chart.state
            dests = [
                entry["dest"]
                for entry in document["transitions"]
                if entry["trigger"] == trigger and before in _sources(entry)
            ]
            assert chart.allows(trigger) == bool(dests)
            count = len(reported)
            assert chart.fire(trigger) == bool(dests)
            assert chart.state == (dests[0] if dests else before)
            assert len(reported) - count == (0 if dests else 1)
    finally:
        invariants.install(None)


def test_a_disallowed_trigger_reports_an_invariant_event(violations):
    chart = charts.Chart("link")
    assert not chart.fire("prove")
    assert chart.state == "connecting"
    assert violations == [
        (
            events.CHART_REFUSED,
            {"chart": "link", "state": "connecting", "trigger": "prove"},
        )
    ]


def test_a_disallowed_trigger_raises_without_a_handler():
    with pytest.raises(invariants.InvariantError, match="refuses prove"):
        charts.Chart("link").fire("prove")


def test_instances_share_the_definition_and_not_the_state():
    first = charts.Chart("link")
    second = charts.Chart("link")
    first.fire("connect")
    assert (first.state, second.state) == ("proving", "connecting")
    assert first._definition is second._definition
    assert repr(first) == "Chart('link', 'proving')"
    assert first.name == "link"


def test_an_unknown_chart_is_not_found():
    with pytest.raises(FileNotFoundError):
        charts.definition("none")


_SELF_TRANSITION = '{"trigger": "t", "source": "a", "dest": "a"}'


@pytest.mark.parametrize(
    "text",
    [
        "{}",
        "[",
        '{"initial": "a", "states": ["a"], "transitions": '
        '[{"trigger": "t", "source": "a", "dest": "b"}]}',
        '{"initial": "a", "states": ["a"], "transitions": '
        '[{"trigger": "t", "source": "b", "dest": "a"}]}',
        '{"initial": "a", "states": ["a"], "transitions": '
        f"[{_SELF_TRANSITION}, {_SELF_TRANSITION}]}}",
    ],
)
def test_an_invalid_chart_raises(tmp_path, monkeypatch, text):
    (tmp_path / "charts").mkdir()
    (tmp_path / "charts" / "broken.json").write_text(text)
    monkeypatch.setattr(charts.importlib.resources, "files", lambda _: tmp_path)
    with pytest.raises(errors.DocumentError):
        charts.definition("broken")
