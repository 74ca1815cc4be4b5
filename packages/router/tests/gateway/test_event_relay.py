import asyncio
import types
from unittest import mock

import pytest

from nutmegpost_core import errors
from nutmegpost_router import http_client
from nutmegpost_router.gateway import event_relay

DEADLINE_S = 10.0


class _Exchange:
    """The caller's side of a response; records what is written."""

    def __init__(self):
        self.started = False
        self.writable = True
        self.written = []

    def start(self, status, fields):
        self.started = True
        self.head = status, fields

    def write(self, data):
        self.written.append(data)


def _relay(last_event_id="", deadline_s=DEADLINE_S):
    exchange = _Exchange()
    now = asyncio.get_running_loop().time()
    pending = types.SimpleNamespace(
        exchange=exchange,
        last_event_id=last_event_id,
        call=types.SimpleNamespace(deadline=now + deadline_s),
    )
    relay = event_relay.EventRelay(
        pending, 200, [("a", "b")], mock.Mock(), mock.Mock()
    )
    return relay, pending, exchange


def _run(scenario):
    async def main():
        scenario()

    asyncio.run(main())


def test_whole_events_are_relayed_and_a_part_waits_for_the_rest():
    def scenario():
        relay, pending, exchange = _relay()
        assert relay.add(b"id: 1\ndata: a") is http_client.Consumed.NOTHING
        assert not exchange.started and relay.is_within_event
        assert relay.add(b"\n\nid: 2\n") is http_client.Consumed.PROGRESS
        assert exchange.head == (200, [("a", "b")])
        assert exchange.written == [b"id: 1\ndata: a\n\n"]
        assert pending.last_event_id == "1" and relay.event_count == 1

    _run(scenario)


def test_events_that_the_caller_has_are_dropped():
    def scenario():
        relay, pending, exchange = _relay(last_event_id="2")
        data = b"id: 1\n\nid: 2\n\nid: 3\n\n"
        assert relay.add(data) is http_client.Consumed.PROGRESS
        assert exchange.written == [b"id: 3\n\n"]
        assert relay.add(b"id: 3\n\n") is http_client.Consumed.NOTHING
        assert pending.last_event_id == "3"

    _run(scenario)


def test_a_caller_that_reads_slowly_pauses_the_stream():
    def scenario():
        relay, _, exchange = _relay()
        exchange.writable = False
        assert relay.add(b"id: 1\n\n") is http_client.Consumed.FULL

    _run(scenario)


@pytest.mark.parametrize(
    "data",
    [b"data: a\n\n", b"id: x\n\n", b"id: -1\n\n", b"id: %b\n\n" % (b"1" * 40)],
)
def test_event_without_a_usable_id_fails(data):
    def scenario():
        relay, _, exchange = _relay()
        with pytest.raises(errors.PeerError):
            relay.add(data)
        assert exchange.written == []

    _run(scenario)


def test_data_without_an_event_fails_at_a_limit():
    def scenario():
        relay, _, _ = _relay(last_event_id="5")
        with pytest.raises(errors.PeerError):
            for _ in range(100):
                relay.add(b"id: 5\ndata: " + b"x" * 20_000 + b"\n\n")

    _run(scenario)


def test_stream_fails_at_the_deadline():
    def scenario():
        relay, _, _ = _relay(deadline_s=0.0)
        with pytest.raises(errors.PeerError):
            relay.add(b"id: 1\n\n")

    _run(scenario)


# Guards against a missing event in a stream that ends as complete.
@pytest.mark.parametrize(
    "event",
    [
        b": still here\nid: 1\ndata: a\n\n",
        b":\n: more\nid: 1\ndata: a\n\n",
        b"id: 1\n: between\ndata: a\n\n",
    ],
)
def test_event_with_a_comment_line_is_relayed(event):
    def scenario():
        relay, pending, exchange = _relay()
        assert relay.add(event) is http_client.Consumed.PROGRESS
        assert exchange.written == [event]
        assert pending.last_event_id == "1"

    _run(scenario)


@pytest.mark.parametrize("comment", [b":\n\n", b": a\n: b\n\n"])
def test_comments_without_an_event_are_dropped(comment):
    def scenario():
        relay, _, exchange = _relay()
        assert relay.add(comment) is http_client.Consumed.NOTHING
        assert exchange.written == []

    _run(scenario)


def test_data_without_an_id_after_a_comment_is_no_comment():
    def scenario():
        relay, _, _ = _relay()
        with pytest.raises(errors.PeerError):
            relay.add(b": a\ndata: b\n\n")

    _run(scenario)
