"""Parsing of server-sent events."""

from collections.abc import AsyncIterator
from typing import NamedTuple

__all__ = ["Event", "iter_events"]


class Event(NamedTuple):
    """A server-sent event.

    Attributes:
        id: Event id; empty when absent.
        name: Event type; `message` when absent.
        data: Data lines, joined by line feeds.
    """

    id: str
    name: str
    data: str


def _parse_event(block: str) -> Event | None:
    fields = {"id": "", "event": "message"}
    lines: list[str] = []
    for line in block.split("\n"):
        name, _, value = line.partition(":")
        if name == "data":
            lines.append(value.removeprefix(" "))
        elif name in fields:
            fields[name] = value.removeprefix(" ")
    if not lines:
        return None
    return Event(fields["id"], fields["event"], "\n".join(lines))


async def iter_events(chunks: AsyncIterator[bytes]) -> AsyncIterator[Event]:
    """Yields the events of a streamed body and skips comments."""
    buffer = b""
    async for chunk in chunks:
        *blocks, buffer = (buffer + chunk).split(b"\n\n")
        for block in blocks:
            event = _parse_event(block.decode())
            if event is not None:
                yield event
