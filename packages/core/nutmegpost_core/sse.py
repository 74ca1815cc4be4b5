"""Server-sent events: reading a stream, writing one, and its event ids."""

from typing import NamedTuple

from nutmegpost_core import errors

__all__ = [
    "DONE",
    "Block",
    "Event",
    "EventId",
    "Parser",
    "Splitter",
    "error_event",
    "format_event",
]

DONE = b"[DONE]"
EVENT_BYTES_MAX = 1_000_000


class Event(NamedTuple):
    """One event.

    Attributes:
        identity: Value of the id field; empty when it has none.
        data: Value of the data field.
        kind: Value of the event field; empty for an ordinary event.
    """

    identity: bytes
    data: bytes
    kind: bytes = b""


class EventId(NamedTuple):
    """The id of an event towards callers: where to resume after it.

    Attributes:
        engine: Engine that ran the stream.
        attempt: Number of the attempt there.
        sequence: Position in the stream, from 0.
    """

    engine: str
    attempt: int
    sequence: int

    def __str__(self) -> str:
        return f"{self.engine}/{self.attempt}/{self.sequence}"

    @classmethod
    def read(cls, text: str) -> "EventId":
        """Reads an id.

        Raises:
            errors.InvalidRequestError: The text is not an id.
        """
        try:
            engine, attempt, sequence = text.split("/")
            found = cls(engine, int(attempt), int(sequence))
        except ValueError as caught:
            raise errors.InvalidRequestError(
                f"Last-Event-ID: not an event id: {text[:80]!r}"
            ) from caught
        if not engine or found.attempt < 0 or found.sequence < 0:
            raise errors.InvalidRequestError("Last-Event-ID: out of range")
        return found


class Block(NamedTuple):
    """One event as it came.

    Attributes:
        data: Its bytes with the blank line behind them.
        identity: Value of the id field; empty when it has none.
    """

    data: bytes
    identity: bytes


class Splitter:
    """Cuts the bytes of a stream into events and leaves them as they are."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not complete."""
        return self._rest

    def feed(self, data: bytes) -> list[Block]:
        """Takes more bytes and returns the events that are complete.

        Raises:
            errors.PeerError: An event is too large.
        """
        *blocks, self._rest = (self._rest + data).split(b"\n\n")
        if len(self._rest) > EVENT_BYTES_MAX:
            raise errors.PeerError("event too large")
        return [Block(block + b"\n\n", _identity(block)) for block in blocks]


def _identity(block: bytes) -> bytes:
    for line in block.split(b"\n"):
        name, _, value = line.rstrip(b"\r").partition(b":")
        if name == b"id":
            return value.strip()
    return b""


class Parser:
    """Turns the bytes of a stream into events."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Takes more bytes and returns the events that are complete.

        Raises:
            errors.PeerError: An event is too large.
        """
        if self._rest:
            data = self._rest + data
        *blocks, self._rest = data.split(b"\n\n")
        if len(self._rest) > EVENT_BYTES_MAX:
            raise errors.PeerError("event too large")
        found = [_parse(block) for block in blocks if block]
        return [event for event in found if event is not None]


def _parse(block: bytes) -> Event | None:
    identity, found, data = block.partition(b"\ndata: ")
    is_plain = b"\n" not in identity and b"\n" not in data
    if found and is_plain and identity.startswith(b"id: "):
        return Event(identity[4:], data)
    return _parse_lines(block)


def _parse_lines(block: bytes) -> Event | None:
    identity = b""
    kind = b""
    data: list[bytes] = []
    for line in block.split(b"\n"):
        name, _, value = line.rstrip(b"\r").partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id":
            identity = value
        elif name == b"event":
            kind = value
        elif name == b"data":
            data.append(value)
    # Comments, which keep a stream alive, have no data.
    return Event(identity, b"\n".join(data), kind) if data else None


def format_event(identity: str, data: bytes) -> bytes:
    """Returns an event as bytes.

    Args:
        identity: The id; empty for none.
        data: The data, without line breaks.
    """
    if identity:
        return b"id: %s\ndata: %s\n\n" % (identity.encode(), data)
    return b"data: %s\n\n" % data


def error_event(body: bytes) -> bytes:
    """Returns the event that ends a stream that failed."""
    return b"event: error\ndata: %s\n\n" % body
