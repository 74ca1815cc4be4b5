"""Follows one chat request through the fleet until its end.

The entry router finds the owner, follows redirections, and goes on at another
router when a link breaks. What comes out is one sequence of frames without a
missing or doubled event.
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

__all__ = ["Ports", "follow", "raise_failed"]

# Turns without progress before the request is given up.
TURNS_MAX = 12
BACKOFF_S = 0.05
BACKOFF_MAX_S = 1.0

# Gives the next answer of a conversation.
Next = Callable[[], Awaitable[wire.Message | peers.LinkLost]]


class Ports(NamedTuple):
    """What following a request needs.

    Attributes:
        view: What this router knows.
        answers: Runs a request at this router.
        converse: Starts a conversation with a peer; raises peers.LinkError.
        resumed: Told of each time the request went on elsewhere.
        dropped: Told of each frame that was dropped, with the reason.
    """

    view: view.View
    answers: Callable[[wire.Submit], AsyncGenerator[wire.Message, None]]
    converse: Callable[[str, wire.Submit], Awaitable[peers.Conversation]]
    resumed: Callable[[], None]
    dropped: Callable[[str], None]


class _Position:
    """How far a request has come."""

    def __init__(self, submit: wire.Submit):
        self.submit = submit
        self.last = (
            sse.EventId.parse(submit.last_event) if submit.last_event else None
        )
        self.engine = submit.engine
        self.unreachable: set[str] = set()
        self.fresh = False
        self.hops = 0
        self.fruitless = 0
        self.may_have_run = self.last is not None

    @property
    def next_sequence(self) -> int:
        return self.last.sequence + 1 if self.last else 0

    def message(self, age: float) -> wire.Submit:
        return self.submit._replace(
            engine=self.engine,
            last_event=str(self.last) if self.last else "",
            age_s=age,
            hops=self.hops,
            fresh=self.fresh,
        )


async def follow(
    ports: Ports, submit: wire.Submit
) -> AsyncIterator[wire.Frames]:
    """Runs a request to its end.

    Args:
        ports: What it needs.
        submit: The request; its last event says where to go on.

    Yields:
        Frames that continue each other; the last one is marked.

    Raises:
        errors.RequestError: The request ended without its whole answer.
    """
    loop = asyncio.get_running_loop()
    began = loop.time()
    position = _Position(submit)
    while True:
        message = position.message(submit.age_s + loop.time() - began)
        target = _target(ports.view, position)
        async with _Channel(ports, target, message) as answer:
            async for frames in _receive(ports, position, target, answer):
                yield frames
                if frames.is_last:
                    return
        await _turn(ports, position)


def _target(the_view: view.View, position: _Position) -> str:
    submit = position.submit
    engine = position.engine
    if the_view.find_endpoint(engine) is None:
        position.engine = ""
        engine = the_view.placement.ring_engine(submit.model, submit.chat_name)
    if not engine:
        raise errors.UnavailableError(
            f"no engine of {submit.model!r}",
            _outcome(position),
            retry_after=1.0,
        )
    return the_view.owner(engine, position.unreachable)


def _outcome(position: _Position) -> errors.Outcome:
    if position.may_have_run:
        return errors.Outcome.UNKNOWN
    return errors.Outcome.NOT_RUN


async def _turn(ports: Ports, position: _Position) -> None:
    position.fruitless += 1
    if position.fruitless > TURNS_MAX:
        raise errors.AttemptLostError(
            "the routers do not agree on who runs the request",
            _outcome(position),
            retry_after=1.0,
        )
    if position.hops:
        return
    ports.resumed()
    delay = BACKOFF_S * 2 ** min(position.fruitless, 10)
    await asyncio.sleep(min(BACKOFF_MAX_S, delay))


class _Channel:
    """A conversation with the owner, in this process or over a link."""

    def __init__(self, ports: Ports, target: str, message: wire.Submit):
        self._ports = ports
        self._target = target
        self._message = message
        self._local: AsyncGenerator[wire.Message, None] | None = None
        self._conversation: peers.Conversation | None = None

    async def __aenter__(self) -> Next | None:
        if self._target == self._ports.view.name:
            self._local = self._ports.answers(self._message)
            return self._local.__anext__
        try:
            self._conversation = await self._ports.converse(
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
    ports: Ports, position: _Position, target: str, answer: Next | None
) -> AsyncIterator[wire.Frames]:
    """Yields frames until the request must go on elsewhere."""
    if answer is None:
        position.unreachable.add(target)
        position.hops = 0
        return
    while True:
        message = await answer()
        if isinstance(message, peers.LinkLost):
            position.may_have_run = True
            position.unreachable.add(target)
            position.hops = 0
            return
        if isinstance(message, wire.Redirected):
            position.engine = message.engine
            position.fresh = message.fresh
            position.hops += 1
            return
        if isinstance(message, wire.Failed):
            raise_failed(message, position.may_have_run)
        if isinstance(message, wire.Frames):
            frames = _fit(ports, position, message)
            if frames is None:
                return
            yield frames
            if frames.is_last:
                return


def _fit(
    ports: Ports, position: _Position, frames: wire.Frames
) -> wire.Frames | None:
    """Returns the part of the frames that is new; None after a gap."""
    expected = position.next_sequence
    skip = expected - frames.first_sequence
    if skip < 0:
        ports.dropped("gap")
        position.hops = 0
        return None
    if skip:
        ports.dropped("doubled")
        log.emit(
            events.FRAME_DROPPED,
            request=f"{frames.account}/{frames.request_id}",
            reason=f"{skip} events from {frames.first_sequence} are here"
            " already",
        )
    fresh = frames.events[skip:]
    if fresh:
        position.last = sse.EventId(
            frames.engine, frames.attempt, expected + len(fresh) - 1
        )
        position.engine = frames.engine
        position.fresh = False
        position.fruitless = 0
        position.hops = 0
        position.may_have_run = True
    return frames._replace(first_sequence=expected, events=fresh)


def raise_failed(message: wire.Failed, may_have_run: bool) -> None:
    """Raises the error that a message tells of.

    Args:
        message: The message.
        may_have_run: Whether an earlier try may have run the request.

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
