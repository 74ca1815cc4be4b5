"""Parsing and formatting of server-sent events and their ids."""

from typing import NamedTuple

from nutmegpost_core import errors

__all__ = [
    "DONE",
    "EVENT_BYTES_MAX",
    "Event",
    "EventId",
    "Parser",
    "RawEvent",
    "Splitter",
    "error_event",
    "format_event",
]

DONE = b"[DONE]"
EVENT_BYTES_MAX = 1_000_000


class Event(NamedTuple):
    """A parsed event.

    Attributes:
        event_id: Value of the id field; empty when the event has none.
        data: Value of the data field.
        event_type: Value of the event field; empty when the event has none.
    """

    event_id: bytes
    data: bytes
    event_type: bytes = b""


class EventId(NamedTuple):
    """Id of an event sent to a caller, from which the stream can be resumed.

    Attributes:
        engine: Engine that ran the stream.
        attempt: Number of the attempt on that engine.
        sequence: Position in the stream, from 0.
    """

    engine: str
    attempt: int
    sequence: int

    def __str__(self) -> str:
        return f"{self.engine}/{self.attempt}/{self.sequence}"

    @classmethod
    def parse(cls, text: str) -> "EventId":
        """Returns the id in the value of a Last-Event-ID header.

        Raises:
            errors.InvalidRequestError: The text is not an id.
        """
        try:
            engine, attempt, sequence = text.split("/")
            event_id = cls(engine, int(attempt), int(sequence))
        except ValueError as caught:
            raise errors.InvalidRequestError(
                f"Last-Event-ID: not an event id: {text[:80]!r}"
            ) from caught
        if not engine or event_id.attempt < 0 or event_id.sequence < 0:
            raise errors.InvalidRequestError("Last-Event-ID: out of range")
        return event_id


class RawEvent(NamedTuple):
    """An event in its original bytes.

    Attributes:
        data: Bytes of the event, with the blank line that ends it.
        event_id: Value of the id field; empty when the event has none.
    """

    data: bytes
    event_id: bytes


class Splitter:
    """Splits a stream into events without changing their bytes."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def incomplete(self) -> bytes:
        """Buffered bytes of the last event, which is not complete yet."""
        return self._buffer

    def feed(self, data: bytes) -> list[RawEvent]:
        """Adds bytes of the stream and returns the events that they complete.

        Raises:
            errors.PeerError: An event is too large.
        """
        *blocks, self._buffer = (self._buffer + data).split(b"\n\n")
        if len(self._buffer) > EVENT_BYTES_MAX:
            raise errors.PeerError("event too large")
        return [RawEvent(block + b"\n\n", _event_id(block)) for block in blocks]


def _event_id(block: bytes) -> bytes:
    for line in block.split(b"\n"):
        name, _, value = line.rstrip(b"\r").partition(b":")
        if name == b"id":
            return value.strip()
    return b""


class Parser:
    """Parses the bytes of a stream into events."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[Event]:
        """Adds bytes of the stream and returns the events that they complete.

        Raises:
            errors.PeerError: An event is too large.
        """
        if self._buffer:
            data = self._buffer + data
        *blocks, self._buffer = data.split(b"\n\n")
        if len(self._buffer) > EVENT_BYTES_MAX:
            raise errors.PeerError("event too large")
        parsed = [_parse(block) for block in blocks if block]
        return [event for event in parsed if event is not None]


def _parse(block: bytes) -> Event | None:
    # Fast path for the usual form of an event: one id line and one data line.
    id_line, separator, data = block.partition(b"\ndata: ")
    is_plain = b"\n" not in id_line and b"\n" not in data
    if separator and is_plain and id_line.startswith(b"id: "):
        return Event(id_line[4:], data)
    return _parse_lines(block)


def _parse_lines(block: bytes) -> Event | None:
    event_id = b""
    event_type = b""
    data: list[bytes] = []
    for line in block.split(b"\n"):
        name, _, value = line.rstrip(b"\r").partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id":
            event_id = value
        elif name == b"event":
            event_type = value
        elif name == b"data":
            data.append(value)
    # A block without data is a comment that keeps the connection alive.
    return Event(event_id, b"\n".join(data), event_type) if data else None


def format_event(event_id: str, data: bytes) -> bytes:
    """Returns an event as bytes.

    Args:
        event_id: The id; empty for none.
        data: The data, without line breaks.
    """
    if event_id:
        return b"id: %s\ndata: %s\n\n" % (event_id.encode(), data)
    return b"data: %s\n\n" % data


def error_event(body: bytes) -> bytes:
    """Returns the event that reports a failure and ends the stream."""
    return b"event: error\ndata: %s\n\n" % body
