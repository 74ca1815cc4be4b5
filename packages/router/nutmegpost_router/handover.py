"""Hands the permits of a stopping router to one successor.

From the first byte of the message on, the stopping router executes no unused
permit. Without a reply it sends the message to the same successor again. It
tries another successor only when the first one certainly has not adopted the
permits and never will.
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

REPLY_TIMEOUT_S = 1.0
CALLS_WAIT_MAX_S = 2.0
POLL_INTERVAL_S = 0.05
# Most attempts to send to a successor that may have received the message.
ATTEMPTS_MAX = 20


class Handover:
    """Sender and receiver of permits at a planned stop."""

    def __init__(
        self,
        table: permits.Table,
        links: peers.Links,
        gossip_task: gossip.Gossip,
    ):
        self._table = table
        self._links = links
        self._gossip = gossip_task

    def receive_pointer(self, payload: bytes, now: float) -> None:
        """Stores a pointer to a successor that was received by gossip.

        Args:
            payload: The encoded pointer.
            now: Monotonic time, seconds.
        """
        try:
            pointer = msgspec.convert(cbor2.loads(payload), permits.Pointer)
        except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError):
            log.emit(events.POINTER_MALFORMED)
            return
        self._table.add_pointer(pointer, now)

    def adopt(self, message: wire.Handover, now: float) -> wire.HandoverDone:
        """Takes over the permits of a peer.

        Args:
            message: The exported tables of the peer.
            now: Monotonic time, seconds.

        Returns:
            The incarnations whose permits this router now holds; an empty list
            is a permanent refusal.
        """
        incarnations: list[int] = []
        for data in message.tables:
            try:
                incarnations.extend(self._table.adopt(data, now))
            except errors.PeerError as caught:
                log.emit(events.HANDOVER_REFUSED, reason=str(caught))
        self._publish(now)
        return wire.HandoverDone(incarnations, self._table.incarnation)

    async def run(self, successors: Callable[[], Iterable[str]]) -> None:
        """Hands over all permits, and later the results of running calls.

        It first waits for running calls to end. The wait is bounded because
        other routers continue to send calls.

        Args:
            successors: Returns the live routers in order of preference.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CALLS_WAIT_MAX_S):
                await self._wait_for_calls()
        for name in successors():
            if await self._transfer_to(name):
                log.emit(events.HANDOVER_DONE, successor=name)
                await self._transfer_results()
                return
        log.emit(events.HANDOVER_FAILED)

    async def _wait_for_calls(self) -> None:
        while self._table.running:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _transfer_results(self) -> None:
        """Sends the results recorded since the handover to the successor."""
        successor = self._table.successor
        if successor is None or not self._table.running:
            return
        await self._wait_for_calls()
        now = asyncio.get_running_loop().time()
        data = self._table.export(successor, now)
        message = wire.Handover([self._table.incarnation], [data])
        with contextlib.suppress(peers.LinkError):
            await self._send(successor.name, message)

    async def _transfer_to(self, name: str) -> bool:
        """Offers the permits to a successor.

        Returns:
            Whether the successor has adopted the permits or may still do so,
            so that no other successor may be tried.
        """
        member = self._gossip.members.members.get(name)
        if member is None:
            return False
        successor = permits.Remote(name, member.incarnation)
        now = asyncio.get_running_loop().time()
        data = self._table.export(successor, now)
        message = wire.Handover([self._table.incarnation], [data])
        may_have_arrived = False
        for _ in range(ATTEMPTS_MAX):
            try:
                done = await self._send(name, message)
            except peers.LinkError:
                if not may_have_arrived:
                    self._table.cancel_export(None)
                    return False
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            if done is None:
                may_have_arrived = True
                continue
            return self._handle_reply(done, now)
        self._publish(now)
        return True

    def _handle_reply(self, done: wire.HandoverDone, now: float) -> bool:
        if self._table.incarnation in done.incarnations:
            self._publish(now)
            return True
        try:
            self._table.cancel_export(done.incarnation)
        except errors.PeerError:
            # A process that replaced the successor cannot know which permits
            # the successor executed, so its refusal does not free them.
            self._publish(now)
            return True
        return False

    async def _send(
        self, name: str, message: wire.Handover
    ) -> wire.HandoverDone | None:
        conversation = await self._links.start_conversation(name, message)
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
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
