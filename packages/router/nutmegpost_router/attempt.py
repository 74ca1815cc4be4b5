"""One attempt to run a chat request on an engine.

A stream that breaks or times out is resumed after its last event, on a new
connection. `Ending` lists how an attempt can end.
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

__all__ = ["AttemptResult", "Ending", "Target", "cancel", "run_attempt"]

HEAD_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 1.5
# Successive connections without a new event before the attempt is lost.
STALLED_RESUMES_MAX = 20
CANCEL_TIMEOUT_S = 1.0
REASON_LENGTH_MAX = 200
_NOT_RUN_STATUSES = (429, 503)


class Ending(enum.StrEnum):
    """How an attempt ended.

    Attributes:
        DONE: The answer is complete.
        NOT_RUN: The engine did not run the request, so a retry is safe.
        REFUSED: The engine rejected the request; it is not retried.
        LOST: The engine may have run the request, but the answer is lost.
        CANCELLED: The attempt was cancelled by this router.
    """

    DONE = "done"
    NOT_RUN = "not-run"
    REFUSED = "refused"
    LOST = "lost"
    CANCELLED = "cancelled"


class AttemptResult(NamedTuple):
    """Result of an attempt.

    Attributes:
        ending: How the attempt ended.
        reason: Error message, or the start of the body of the engine's error
            response; empty for a complete answer.
        unreachable: Whether the last connection to the engine failed.
        crashed: Whether the engine's host refused that connection, that is, no
            process listens at the engine's address.
    """

    ending: Ending
    reason: str = ""
    unreachable: bool = False
    crashed: bool = False


class Target(NamedTuple):
    """The engine of an attempt, and how to run the request there.

    Attributes:
        engine: Name of the engine.
        address: Address of the engine.
        cache_key: Key of the chat in the engine's cache.
        rank: Rank of the request's class.
        resume: Whether the stream may already run there, so that it is resumed
            rather than started.
        on_dropped: Called with the reason for each duplicate event.
    """

    engine: str
    address: vms.Address
    cache_key: str
    rank: int
    resume: bool
    on_dropped: Callable[[str], None]


class _StreamBrokenError(errors.PeerError):
    """The stream ended early or violated the protocol; it can be resumed."""


async def run_attempt(
    client: http_client.Client, target: Target, run: runs.Run
) -> AttemptResult:
    """Runs one attempt to its end.

    Args:
        client: HTTP client for engines.
        target: The engine.
        run: The request, to which the events are appended.

    Returns:
        How the attempt ended.
    """
    stalled_resumes = 0
    is_sent = target.resume
    while stalled_resumes < STALLED_RESUMES_MAX:
        sequence_before = run.next_sequence
        try:
            if not is_sent:
                is_sent = True
                return await _send_request(client, target, run)
            return await _resume_stream(client, target, run)
        except http_client.ConnectError as caught:
            return _unreachable_result(Ending.NOT_RUN, caught)
        except errors.PeerError as caught:
            reason = str(caught)
        stalled_resumes = (
            0 if run.next_sequence > sequence_before else stalled_resumes + 1
        )
        log.emit(
            events.STREAM_RESUMED,
            request=str(run.key),
            engine=target.engine,
            position=run.next_sequence,
        )
    return AttemptResult(Ending.LOST, reason)


def _unreachable_result(
    ending: Ending, error: http_client.ConnectError
) -> AttemptResult:
    return AttemptResult(ending, str(error), True, error.refused)


async def _send_request(
    client: http_client.Client, target: Target, run: runs.Run
) -> AttemptResult:
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
    # A new attempt streams from the first event; the run drops duplicates.
    return await _read_response(stream, target, run, 0)


async def _resume_stream(
    client: http_client.Client, target: Target, run: runs.Run
) -> AttemptResult:
    first_sequence = run.next_sequence
    headers = (
        {"Last-Event-ID": str(first_sequence - 1)} if first_sequence else {}
    )
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
        return _unreachable_result(Ending.LOST, caught)
    return await _read_response(stream, target, run, first_sequence)


async def _read_response(
    stream: http_client.Stream,
    target: Target,
    run: runs.Run,
    first_sequence: int,
) -> AttemptResult:
    try:
        if stream.status != 200:
            return await _read_refusal(stream)
        return await _append_events(stream, target, run, first_sequence)
    finally:
        stream.close()


async def _read_refusal(stream: http_client.Stream) -> AttemptResult:
    reason = _decode_reason(await stream.read_all(HEAD_TIMEOUT_S))
    if stream.status in _NOT_RUN_STATUSES:
        return AttemptResult(Ending.NOT_RUN, reason)
    if stream.status in (404, 409):
        return AttemptResult(Ending.LOST, reason)
    return AttemptResult(Ending.REFUSED, reason)


async def _append_events(
    stream: http_client.Stream,
    target: Target,
    run: runs.Run,
    first_sequence: int,
) -> AttemptResult:
    parser = sse.Parser()
    expected = first_sequence
    while True:
        data = await stream.read(READ_TIMEOUT_S)
        if not data:
            raise _StreamBrokenError(
                "stream ended before the answer was complete"
            )
        batch = _select_new_events(parser.feed(data), target, run, expected)
        if batch.events:
            run.append(expected, batch.events)
            expected += len(batch.events)
        if batch.result is not None:
            return batch.result
        if batch.is_gap:
            raise _StreamBrokenError(f"event {expected} is missing")


class _EventBatch(NamedTuple):
    """New events that were received together.

    Attributes:
        events: Data of the consecutive new events.
        result: Result of the attempt when it ends after them, or None.
        is_gap: Whether an event is missing after them.
    """

    events: list[bytes]
    result: AttemptResult | None = None
    is_gap: bool = False


def _select_new_events(
    received: list[sse.Event], target: Target, run: runs.Run, expected: int
) -> _EventBatch:
    new_events: list[bytes] = []
    for event in received:
        if event.data == sse.DONE:
            return _EventBatch(new_events, AttemptResult(Ending.DONE))
        if event.event_type == b"error":
            result = AttemptResult(Ending.LOST, _decode_reason(event.data))
            return _EventBatch(new_events, result)
        sequence = _parse_sequence(event)
        if sequence == expected:
            new_events.append(event.data)
            expected += 1
        elif sequence > expected:
            return _EventBatch(new_events, is_gap=True)
        else:
            target.on_dropped("doubled")
            _log_dropped(run, f"event {sequence} is a duplicate")
    return _EventBatch(new_events)


def _decode_reason(body: bytes) -> str:
    return body[:REASON_LENGTH_MAX].decode(errors="replace")


def _parse_sequence(event: sse.Event) -> int:
    try:
        return int(event.event_id)
    except ValueError:
        raise _StreamBrokenError("event without a sequence number") from None


def _log_dropped(run: runs.Run, reason: str) -> None:
    log.emit(events.FRAME_DROPPED, request=str(run.key), reason=reason)


async def cancel(
    client: http_client.Client, address: vms.Address, key: str, attempt: int
) -> None:
    """Asks an engine to cancel an attempt; ignores errors."""
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
