"""One attempt of a chat request at an engine, and its resumptions.

A stream that breaks or goes silent is resumed on a new connection at the last
event. The attempt ends in one of three ways: done, not run, or lost.
"""

import asyncio
from collections.abc import Callable
import enum
from typing import NamedTuple

from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import sse
from nutmegpost_core import vms
from nutmegpost_router import http_client
from nutmegpost_router import log
from nutmegpost_router import runs

__all__ = ["AttemptEnd", "Ending", "Target", "cancel", "run_attempt"]

HEAD_TIMEOUT_S = 2.0
SILENCE_LIMIT_S = 1.5
# Resumptions in a row that bring no event before the attempt is given up.
FRUITLESS_RESUMES_MAX = 20
CANCEL_TIMEOUT_S = 1.0
REASON_LENGTH_MAX = 200
_NOT_RUN_STATUSES = (429, 503)


class Ending(enum.StrEnum):
    """How an attempt ended."""

    DONE = "done"
    NOT_RUN = "not-run"
    REFUSED = "refused"
    LOST = "lost"
    CANCELLED = "cancelled"


class AttemptEnd(NamedTuple):
    """The end of an attempt.

    Attributes:
        ending: How it ended.
        reason: Text for people, or the code of the refusal.
        unreachable: Whether the engine took no connection at the end.
        crashed: Whether nothing listens at its address any more.
    """

    ending: Ending
    reason: str = ""
    unreachable: bool = False
    crashed: bool = False


class Target(NamedTuple):
    """Where an attempt runs.

    Attributes:
        engine: Name of the engine.
        address: Its address.
        cache_key: Names the chat in the engine's cache.
        rank: Rank of the work.
        resume: Whether to begin by resuming a stream that may run there.
        dropped: Told of each event that came twice.
    """

    engine: str
    address: vms.Address
    cache_key: str
    rank: int
    resume: bool
    dropped: Callable[[str], None]


class _Broken(errors.PeerError):
    """The stream broke off and may be resumed."""


async def run_attempt(
    client: http_client.Client, target: Target, run: runs.Run
) -> AttemptEnd:
    """Runs one attempt to its end.

    Args:
        client: Connections to engines.
        target: Where it runs.
        run: The request; gets the events.

    Returns:
        How it ended.
    """
    fruitless = 0
    is_sent = target.resume
    while fruitless < FRUITLESS_RESUMES_MAX:
        before = run.next_sequence
        try:
            if not is_sent:
                is_sent = True
                return await _start(client, target, run)
            return await _resume(client, target, run)
        except http_client.ConnectError as caught:
            return _unreachable(Ending.NOT_RUN, caught)
        except errors.PeerError as caught:
            reason = str(caught)
        fruitless = 0 if run.next_sequence > before else fruitless + 1
        log.emit(
            events.STREAM_RESUMED,
            request=str(run.key),
            engine=target.engine,
            position=run.next_sequence,
        )
    return AttemptEnd(Ending.LOST, reason)


def _unreachable(ending: Ending, error: http_client.ConnectError) -> AttemptEnd:
    return AttemptEnd(ending, str(error), True, error.refused)


async def _start(
    client: http_client.Client, target: Target, run: runs.Run
) -> AttemptEnd:
    headers = {
        "Content-Type": "application/json",
        "X-Request-Id": str(run.key),
        "X-Attempt": str(run.attempt),
        "X-Priority": str(target.rank),
        "X-Cache-Key": target.cache_key,
    }
    stream = await client.stream(
        target.address,
        "POST",
        "/v1/chat/completions",
        headers,
        run.submit.body,
        HEAD_TIMEOUT_S,
    )
    # A new attempt begins anew; the run drops the events that it has.
    return await _read(stream, target, run, 0)


async def _resume(
    client: http_client.Client, target: Target, run: runs.Run
) -> AttemptEnd:
    first = run.next_sequence
    headers = {"Last-Event-ID": str(first - 1)} if first else {}
    try:
        stream = await client.stream(
            target.address,
            "GET",
            f"/v1/streams/{run.key}?attempt={run.attempt}",
            headers,
            b"",
            HEAD_TIMEOUT_S,
            fresh=True,
        )
    except http_client.ConnectError as caught:
        return _unreachable(Ending.LOST, caught)
    return await _read(stream, target, run, first)


async def _read(
    stream: http_client.Stream,
    target: Target,
    run: runs.Run,
    first: int,
) -> AttemptEnd:
    try:
        if stream.status != 200:
            return await _refused(stream)
        return await _relay(stream, target, run, first)
    finally:
        stream.close()


async def _refused(stream: http_client.Stream) -> AttemptEnd:
    text = _text(await stream.read_all(HEAD_TIMEOUT_S))
    if stream.status in _NOT_RUN_STATUSES:
        return AttemptEnd(Ending.NOT_RUN, text)
    if stream.status in (404, 409):
        return AttemptEnd(Ending.LOST, text)
    return AttemptEnd(Ending.REFUSED, text)


async def _relay(
    stream: http_client.Stream,
    target: Target,
    run: runs.Run,
    first: int,
) -> AttemptEnd:
    parser = sse.Parser()
    expected = first
    while True:
        data = await stream.read(SILENCE_LIMIT_S)
        if not data:
            raise _Broken("stream ended early")
        batch = _collect(parser.feed(data), target, run, expected)
        if batch.events:
            run.append(expected, batch.events)
            expected += len(batch.events)
        if batch.end is not None:
            return batch.end
        if batch.gap:
            raise _Broken(f"event {expected} is missing")


class _Batch(NamedTuple):
    """The events that came together.

    Attributes:
        events: Data of those that continue the stream.
        end: How the attempt ended with them, or None.
        gap: Whether an event is missing after them.
    """

    events: list[bytes]
    end: AttemptEnd | None = None
    gap: bool = False


def _collect(
    received: list[sse.Event], target: Target, run: runs.Run, expected: int
) -> _Batch:
    batch: list[bytes] = []
    for event in received:
        if event.data == sse.DONE:
            return _Batch(batch, AttemptEnd(Ending.DONE))
        if event.event_type == b"error":
            end = AttemptEnd(Ending.LOST, _text(event.data))
            return _Batch(batch, end)
        sequence = _sequence(event)
        if sequence == expected:
            batch.append(event.data)
            expected += 1
        elif sequence > expected:
            return _Batch(batch, gap=True)
        else:
            target.dropped("doubled")
            _log_dropped(run, f"event {sequence} came twice")
    return _Batch(batch)


def _text(body: bytes) -> str:
    return body[:REASON_LENGTH_MAX].decode(errors="replace")


def _sequence(event: sse.Event) -> int:
    try:
        return int(event.event_id)
    except ValueError:
        raise _Broken("event without a sequence number") from None


def _log_dropped(run: runs.Run, reason: str) -> None:
    log.emit(events.FRAME_DROPPED, request=str(run.key), reason=reason)


async def cancel(
    client: http_client.Client, address: vms.Address, key: str, attempt: int
) -> None:
    """Asks an engine to cancel an attempt; a fault is of no consequence."""
    try:
        await client.request(
            address,
            "DELETE",
            f"/v1/streams/{key}?attempt={attempt}",
            {},
            timeout_s=CANCEL_TIMEOUT_S,
        )
    except errors.PeerError:
        await asyncio.sleep(0)
