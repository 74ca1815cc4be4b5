"""Hands the permits of a stopping router to one successor.

From the first byte of the message on, the stopping router runs no unused
permit. When no answer comes, the same successor is asked again; another one is
chosen only when the first surely did not and never will adopt them.
"""

import asyncio
from collections.abc import Callable, Iterable
import contextlib

import cbor2
import msgspec

from nutmegpost_core import dissemination
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import permits
from nutmegpost_core import wire
from nutmegpost_router import gossip
from nutmegpost_router import log
from nutmegpost_router import peers

__all__ = ["Handover"]

ANSWER_TIMEOUT_S = 1.0
QUIET_LIMIT_S = 2.0
INTERVAL_S = 0.05
# Tries with one successor that may have the message.
TRIES_MAX = 20


class Handover:
    """Both sides of a hand-over of permits."""

    def __init__(
        self, table: permits.Table, links: peers.Links, task: gossip.Gossip
    ):
        self._table = table
        self._links = links
        self._gossip = task

    def learn(self, payload: bytes, now: float) -> None:
        """Takes a pointer to a successor that came by gossip."""
        try:
            pointer = msgspec.convert(cbor2.loads(payload), permits.Pointer)
        except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError):
            log.emit(events.POINTER_MALFORMED)
            return
        self._table.add_pointer(pointer, now)

    def adopt(self, message: wire.Handover, now: float) -> wire.HandoverDone:
        """Takes over the permits of a peer.

        Returns:
            The incarnations that are held here now; none is a refusal for
            good.
        """
        held: list[int] = []
        for data in message.tables:
            try:
                held.extend(self._table.adopt(data, now))
            except errors.PeerError as caught:
                log.emit(events.HANDOVER_REFUSED, reason=str(caught))
        self._publish(now)
        return wire.HandoverDone(held, self._table.incarnation)

    async def run(self, successors: Callable[[], Iterable[str]]) -> None:
        """Hands all permits over, and later the results of running calls.

        Other routers go on to send calls, so the wait for a moment without
        one has an end.

        Args:
            successors: Gives the live routers, best first.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(QUIET_LIMIT_S):
                await self._wait_for_calls()
        for name in successors():
            if await self._give(name):
                log.emit(events.HANDOVER_DONE, successor=name)
                await self._give_results()
                return
        log.emit(events.HANDOVER_FAILED)

    async def _wait_for_calls(self) -> None:
        while self._table.running:
            await asyncio.sleep(INTERVAL_S)

    async def _give_results(self) -> None:
        """Sends the same successor what ended since the hand-over."""
        successor = self._table.successor
        if successor is None or not self._table.running:
            return
        await self._wait_for_calls()
        now = asyncio.get_running_loop().time()
        data = self._table.export(successor, now)
        message = wire.Handover([self._table.incarnation], [data])
        with contextlib.suppress(peers.LinkError):
            await self._send(successor.name, message)

    async def _give(self, name: str) -> bool:
        """Returns whether another successor must not be tried."""
        member = self._gossip.members.members.get(name)
        if member is None:
            return False
        successor = permits.Remote(name, member.incarnation)
        now = asyncio.get_running_loop().time()
        data = self._table.export(successor, now)
        message = wire.Handover([self._table.incarnation], [data])
        may_have_arrived = False
        for _ in range(TRIES_MAX):
            try:
                done = await self._send(name, message)
            except peers.LinkError:
                if not may_have_arrived:
                    self._table.cancel_export(None)
                    return False
                await asyncio.sleep(INTERVAL_S)
                continue
            if done is None:
                may_have_arrived = True
                continue
            return self._answered(done, now)
        self._publish(now)
        return True

    def _answered(self, done: wire.HandoverDone, now: float) -> bool:
        if self._table.incarnation in done.incarnations:
            self._publish(now)
            return True
        try:
            self._table.cancel_export(done.incarnation)
        except errors.PeerError:
            # A process in the successor's place cannot know what that one
            # ran, so there is no other successor.
            self._publish(now)
            return True
        return False

    async def _send(
        self, name: str, message: wire.Handover
    ) -> wire.HandoverDone | None:
        conversation = await self._links.converse(name, message)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                reply = await conversation.inbox.get()
        except TimeoutError:
            return None
        finally:
            conversation.close()
        return reply if isinstance(reply, wire.HandoverDone) else None

    def _publish(self, now: float) -> None:
        for pointer in self._table.pointers(now):
            self._gossip.send(
                gossip.Publish(
                    dissemination.Kind.SUCCESSOR,
                    pointer.incarnation.to_bytes(8, "big"),
                    cbor2.dumps(list(pointer)),
                    max(1.0, pointer.remaining_ms / 1000),
                )
            )
