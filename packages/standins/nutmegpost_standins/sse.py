"""Reading of server-sent events."""

from collections.abc import AsyncIterator
from typing import NamedTuple

__all__ = ["Event", "read"]


class Event(NamedTuple):
    """One event.

    Attributes:
        id: Its id; empty when it has none.
        name: Its type; `message` when it has none.
        data: Its data.
    """

    id: str
    name: str
    data: str


def _parse(block: str) -> Event | None:
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


async def read(pieces: AsyncIterator[bytes]) -> AsyncIterator[Event]:
    """Yields the events of a body; comments are passed over."""
    rest = b""
    async for piece in pieces:
        *blocks, rest = (rest + piece).split(b"\n\n")
        for block in blocks:
            event = _parse(block.decode())
            if event is not None:
                yield event
