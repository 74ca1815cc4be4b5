"""Relays the answer to a chat request from the routers that run it.

The entry router submits the request to the owner of its engine, follows
redirections, and resumes at another router when a link is lost. The result is
one sequence of frames without missing or duplicate events.
"""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from typing import NamedTuple

from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import sse
from nutmegpost_core import wire
from nutmegpost_router import log
from nutmegpost_router import peers
from nutmegpost_router import view

__all__ = ["Ports", "raise_failure", "stream_answer"]

# Successive submissions without a new event before the request fails.
STALLED_SUBMISSIONS_MAX = 12
BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 1.0

# Waits for the next message about the request.
NextMessage = Callable[[], Awaitable[wire.Message | peers.LinkLost]]


class Ports(NamedTuple):
    """Dependencies on the rest of the router.

    Attributes:
        view: The configuration, the endpoints and their owners.
        submit_locally: Runs a request at this router and yields the messages
            about it.
        submit_to_peer: Submits a request to a peer; raises peers.LinkError
            when no link can be opened.
        on_resumed: Called before a request is submitted again for another
            reason than a redirection.
        on_dropped: Called with the reason when frames are dropped.
    """

    view: view.View
    submit_locally: Callable[[wire.Submit], AsyncGenerator[wire.Message, None]]
    submit_to_peer: Callable[[str, wire.Submit], Awaitable[peers.Conversation]]
    on_resumed: Callable[[], None]
    on_dropped: Callable[[str], None]


class _Progress:
    """State of a request at the entry router.

    Attributes:
        submit: The request as received.
        last_event: Id of the last event relayed to the caller, or None.
        engine: Engine to run it on; empty to let the receiver place it.
        unreachable: Routers to which a link could not be opened or was lost.
        fresh: Whether to start a new attempt on the engine although it may
            have run the request before.
        hops: Redirections since the last event or lost link.
        stalled_submissions: Successive submissions without a new event.
        may_have_run: Whether an engine may have run the request.
    """

    def __init__(self, submit: wire.Submit):
        self.submit = submit
        self.last_event = (
            sse.EventId.parse(submit.last_event) if submit.last_event else None
        )
        self.engine = submit.engine
        self.unreachable: set[str] = set()
        self.fresh = False
        self.hops = 0
        self.stalled_submissions = 0
        self.may_have_run = self.last_event is not None

    @property
    def next_sequence(self) -> int:
        return self.last_event.sequence + 1 if self.last_event else 0

    def to_submit(self, age_s: float) -> wire.Submit:
        return self.submit._replace(
            engine=self.engine,
            last_event=str(self.last_event) if self.last_event else "",
            age_s=age_s,
            hops=self.hops,
            fresh=self.fresh,
        )


async def stream_answer(
    ports: Ports, submit: wire.Submit
) -> AsyncIterator[wire.Frames]:
    """Submits a request until its answer is complete.

    Args:
        ports: Dependencies on the rest of the router.
        submit: The request; the answer starts after its last event.

    Yields:
        Consecutive frames; `is_last` is set on the last.

    Raises:
        errors.RequestError: The request ended without a complete answer.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    progress = _Progress(submit)
    while True:
        message = progress.to_submit(submit.age_s + loop.time() - started_at)
        target = _select_router(ports.view, progress)
        async with _Channel(ports, target, message) as next_message:
            async for frames in _receive(ports, progress, target, next_message):
                yield frames
                if frames.is_last:
                    return
        await _prepare_retry(ports, progress)


def _select_router(the_view: view.View, progress: _Progress) -> str:
    """Returns the owner of the engine, or of the chat's engine on the ring."""
    submit = progress.submit
    engine = progress.engine
    if the_view.find_endpoint(engine) is None:
        progress.engine = ""
        engine = the_view.placement.ring_engine(submit.model, submit.chat_name)
    if not engine:
        raise errors.UnavailableError(
            f"no engine of {submit.model!r}",
            _outcome(progress),
            retry_after=1.0,
        )
    return the_view.owner(engine, progress.unreachable)


def _outcome(progress: _Progress) -> errors.Outcome:
    if progress.may_have_run:
        return errors.Outcome.UNKNOWN
    return errors.Outcome.NOT_RUN


async def _prepare_retry(ports: Ports, progress: _Progress) -> None:
    progress.stalled_submissions += 1
    if progress.stalled_submissions > STALLED_SUBMISSIONS_MAX:
        raise errors.AttemptLostError(
            "the routers do not agree on who runs the request",
            _outcome(progress),
            retry_after=1.0,
        )
    if progress.hops:
        return
    ports.on_resumed()
    delay = BACKOFF_BASE_S * 2 ** min(progress.stalled_submissions, 10)
    await asyncio.sleep(min(BACKOFF_MAX_S, delay))


class _Channel:
    """A submission to the owner, in this process or over a link.

    Entering returns the function that waits for the next message, or None
    when no link could be opened.
    """

    def __init__(self, ports: Ports, target: str, message: wire.Submit):
        self._ports = ports
        self._target = target
        self._message = message
        self._local: AsyncGenerator[wire.Message, None] | None = None
        self._conversation: peers.Conversation | None = None

    async def __aenter__(self) -> NextMessage | None:
        if self._target == self._ports.view.name:
            self._local = self._ports.submit_locally(self._message)
            return self._local.__anext__
        try:
            self._conversation = await self._ports.submit_to_peer(
                self._target, self._message
            )
        except peers.LinkError:
            return None
        return self._conversation.inbox.get

    async def __aexit__(self, *_: object) -> None:
        if self._local is not None:
            await self._local.aclose()
        if self._conversation is not None:
            self._conversation.close()


async def _receive(
    ports: Ports,
    progress: _Progress,
    target: str,
    next_message: NextMessage | None,
) -> AsyncIterator[wire.Frames]:
    """Yields frames until the request must be submitted again."""
    if next_message is None:
        progress.unreachable.add(target)
        progress.hops = 0
        return
    while True:
        message = await next_message()
        if isinstance(message, peers.LinkLost):
            progress.may_have_run = True
            progress.unreachable.add(target)
            progress.hops = 0
            return
        if isinstance(message, wire.Redirected):
            progress.engine = message.engine
            progress.fresh = message.fresh
            progress.hops += 1
            return
        if isinstance(message, wire.Failed):
            raise_failure(message, progress.may_have_run)
        if isinstance(message, wire.Frames):
            frames = _deduplicate(ports, progress, message)
            if frames is None:
                return
            yield frames
            if frames.is_last:
                return


def _deduplicate(
    ports: Ports, progress: _Progress, frames: wire.Frames
) -> wire.Frames | None:
    """Returns the frames without relayed events; None if events are missing."""
    expected = progress.next_sequence
    overlap = expected - frames.first_sequence
    if overlap < 0:
        ports.on_dropped("gap")
        progress.hops = 0
        return None
    if overlap:
        ports.on_dropped("doubled")
        log.emit(
            events.FRAME_DROPPED,
            request=f"{frames.account}/{frames.request_id}",
            reason=f"{overlap} events from {frames.first_sequence} are"
            " duplicates",
        )
    new_events = frames.events[overlap:]
    if new_events:
        progress.last_event = sse.EventId(
            frames.engine, frames.attempt, expected + len(new_events) - 1
        )
        progress.engine = frames.engine
        progress.fresh = False
        progress.stalled_submissions = 0
        progress.hops = 0
        progress.may_have_run = True
    return frames._replace(first_sequence=expected, events=new_events)


def raise_failure(message: wire.Failed, may_have_run: bool) -> None:
    """Raises the error that a message reports.

    Args:
        message: The message.
        may_have_run: Whether an earlier submission may have run the request;
            the outcome "not-run" then becomes "unknown".

    Raises:
        errors.RequestError: Always.
    """
    outcome = errors.Outcome(message.outcome)
    if may_have_run and outcome is errors.Outcome.NOT_RUN:
        outcome = errors.Outcome.UNKNOWN
    error = errors.RequestError(
        message.reason, outcome, message.retry_after or None
    )
    error.status = message.status
    error.code = message.code
    raise error
