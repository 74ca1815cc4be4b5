"""Tests of server-sent events."""

import hypothesis
from hypothesis import strategies
import pytest

from nutmegpost_core import errors
from nutmegpost_core import sse

FIXED = hypothesis.settings(derandomize=True, deadline=None, max_examples=100)


@FIXED
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 10**9),
            strategies.binary(min_size=1, max_size=30).filter(
                lambda data: b"\n" not in data and b"\r" not in data
            ),
        ),
        max_size=8,
    ),
    strategies.integers(1, 20),
)
def test_events_survive_any_split_of_the_stream(items, size):
    whole = b"".join(
        sse.format_event(str(number), data) for number, data in items
    )
    parser = sse.Parser()
    parsed = []
    for start in range(0, len(whole), size):
        parsed += parser.feed(whole[start : start + size])
    assert [(int(event.event_id), event.data) for event in parsed] == items


def test_comments_are_ignored():
    assert sse.Parser().feed(b": waiting\n\nid: 1\ndata: x\n\n") == [
        sse.Event(b"1", b"x")
    ]


def test_an_error_event_has_its_type():
    event = sse.Parser().feed(sse.error_event(b"{}"))[0]
    assert event.event_type == b"error"
    assert event.data == b"{}"


def test_an_oversized_event_is_rejected():
    parser = sse.Parser()
    with pytest.raises(errors.PeerError):
        parser.feed(b"data: " + b"x" * (sse.EVENT_BYTES_MAX + 1))


def test_event_ids_round_trip():
    event_id = sse.EventId("engine-1", 1796, 17)
    assert sse.EventId.parse(str(event_id)) == event_id


@pytest.mark.parametrize("text", ["", "a", "a/b/c", "/1/2", "a/1/-2", "a/1"])
def test_invalid_event_ids_are_rejected(text):
    with pytest.raises(errors.InvalidRequestError):
        sse.EventId.parse(text)
