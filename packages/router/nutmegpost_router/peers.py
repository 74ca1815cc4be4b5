"""Websocket links between routers.

A router opens a link to send requests to a peer. The link multiplexes
conversations: each request or permit has its own inbox for replies, and
`LinkLost` ends all of them when the link breaks. Both ends prove that they
have the peer key before they accept any other message.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable
import hashlib
import hmac
import secrets
from typing import NamedTuple

from websockets import exceptions
from websockets.asyncio import client as ws_client
from websockets.asyncio import server as ws_server

from nutmegpost_core import charts
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import vms
from nutmegpost_core import wire
from nutmegpost_router import log

__all__ = [
    "Conversation",
    "LinkError",
    "LinkLost",
    "Links",
    "Peer",
    "Send",
    "conversation_key",
    "proof",
]

OPEN_TIMEOUT_S = 1.0
PING_INTERVAL_S = 2.0
PING_TIMEOUT_S = 2.0
OUTBOX_MESSAGES_MAX = 20_000
NONCE_BYTES = 16

Send = Callable[[wire.Message], None]
Serve = Callable[[str, wire.Message, Send], Awaitable[None]]


class LinkError(errors.PeerError):
    """No link could be opened: the message was not sent."""


class LinkLost(NamedTuple):
    """The link broke; messages sent on it may have arrived.

    Attributes:
        peer: Name of the peer.
    """

    peer: str


Inbox = asyncio.Queue[wire.Message | LinkLost]


class Peer(NamedTuple):
    """The authenticated end of a link."""

    name: str
    incarnation: int


def conversation_key(message: wire.Message) -> str:
    """Returns the key of the conversation that a message belongs to."""
    permit = getattr(message, "permit", None)
    if permit is not None:
        return f"permit {permit}"
    request_id = getattr(message, "request_id", None)
    if request_id is not None:
        return f"request {getattr(message, 'account', '')}/{request_id}"
    if isinstance(message, wire.Handover | wire.HandoverDone):
        return "handover"
    return type(message).__name__.removesuffix("Reply").removesuffix("Request")


def proof(key: bytes, nonce: bytes, prover: str, verifier: str) -> bytes:
    """Returns the MAC that proves knowledge of the peer key."""
    text = b"\0".join([nonce, prover.encode(), verifier.encode()])
    return hmac.digest(key, text, hashlib.sha256)


class _Outbox:
    """A queue of messages that a task sends over a websocket in order.

    The task closes the websocket when the queue is full, because the peer
    does not read fast enough.
    """

    def __init__(
        self, socket: ws_client.ClientConnection | ws_server.ServerConnection
    ):
        self._socket = socket
        self._messages: collections.deque[bytes] = collections.deque()
        self._wake = asyncio.Event()
        self._task = asyncio.create_task(self._run())

    def put(self, message: wire.Message) -> None:
        self._messages.append(wire.encode(message))
        if len(self._messages) > OUTBOX_MESSAGES_MAX:
            self.stop()
            return
        self._wake.set()

    def stop(self) -> None:
        self._task.cancel()

    async def _run(self) -> None:
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                while self._messages:
                    await self._socket.send(self._messages.popleft())
        except exceptions.ConnectionClosed:
            pass
        finally:
            await self._socket.close()


class Conversation:
    """The messages about one request or permit on a link."""

    def __init__(self, link: "_Link", key: str):
        self._link = link
        self._key = key
        self._inbox: Inbox = asyncio.Queue()

    @property
    def inbox(self) -> Inbox:
        """The replies in order, and `LinkLost` when the link breaks."""
        return self._inbox

    def send(self, message: wire.Message) -> None:
        """Sends a message to the peer."""
        self._link.put(message)

    def close(self) -> None:
        """Ends the conversation; later replies are dropped."""
        self._link.remove_conversation(self._key, self)


class _Link:
    """A link that this router opened."""

    def __init__(self, peer: Peer, socket: ws_client.ClientConnection):
        self._peer = peer
        self._socket = socket
        self._outbox = _Outbox(socket)
        self._conversations: dict[str, list[Conversation]] = {}
        self._chart = charts.Chart("link")
        self._task = asyncio.create_task(self._run())

    @property
    def peer(self) -> Peer:
        """The peer at the other end."""
        return self._peer

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return not self._task.done()

    def put(self, message: wire.Message) -> None:
        self._outbox.put(message)

    def add_conversation(self, key: str) -> Conversation:
        conversation = Conversation(self, key)
        self._conversations.setdefault(key, []).append(conversation)
        return conversation

    def remove_conversation(self, key: str, conversation: Conversation) -> None:
        conversations = self._conversations.get(key, [])
        if conversation in conversations:
            conversations.remove(conversation)
        if not conversations:
            self._conversations.pop(key, None)

    async def close(self) -> None:
        self._outbox.stop()
        await self._socket.close()

    async def _run(self) -> None:
        try:
            async for data in self._socket:
                self._deliver(wire.decode(_require_bytes(data)))
        except (exceptions.ConnectionClosed, errors.PeerError) as caught:
            log.emit(events.LINK_LOST, peer=self._peer.name, reason=str(caught))
        finally:
            self._outbox.stop()
            self._end_conversations()

    def _deliver(self, message: wire.Message) -> None:
        key = conversation_key(message)
        for conversation in self._conversations.get(key, ()):
            conversation.inbox.put_nowait(message)

    def _end_conversations(self) -> None:
        lost = LinkLost(self._peer.name)
        for conversations in list(self._conversations.values()):
            for conversation in conversations:
                conversation.inbox.put_nowait(lost)
        self._conversations.clear()


def _require_bytes(data: str | bytes) -> bytes:
    if isinstance(data, str):
        raise errors.PeerError("text message")
    return data


class Links:
    """All links of a router: those that it opened and those that it serves."""

    def __init__(
        self,
        local: Peer,
        key: bytes,
        resolve: Callable[[str], vms.Address | None],
        serve: Serve,
    ):
        """Creates an empty set of links.

        Args:
            local: This router.
            key: The peer key.
            resolve: Returns the peer address of a router, or None.
            serve: Handles each message of a peer; it receives the name of the
                peer, the message and a function that sends replies.
        """
        self._local = local
        self._key = key
        self._resolve = resolve
        self._serve = serve
        self._links: dict[str, _Link] = {}
        self._opening: dict[str, asyncio.Task[_Link]] = {}
        self._server: ws_server.Server | None = None
        self._serving: set[asyncio.Task[None]] = set()

    @property
    def open_peers(self) -> list[str]:
        """Names of the routers to which a link is open."""
        return [name for name, link in self._links.items() if link.is_open]

    async def listen(self, address: vms.Address) -> None:
        """Starts to accept links from peers.

        Raises:
            OSError: The address cannot be bound.
        """
        self._server = await ws_server.serve(
            self._accept,
            address.host,
            address.port,
            compression=None,
            max_size=wire.MESSAGE_BYTES_MAX,
            ping_interval=None,
        )

    async def start_conversation(
        self, peer: str, message: wire.Message
    ) -> Conversation:
        """Sends a message and returns the conversation that it starts.

        Raises:
            LinkError: No link could be opened; nothing was sent.
        """
        link = await self._open(peer)
        conversation = link.add_conversation(conversation_key(message))
        conversation.send(message)
        return conversation

    def notify(self, peer: str, message: wire.Message) -> bool:
        """Sends a message that has no reply, if a link to the peer is open.

        Returns:
            Whether a link was open; the message may still be lost.
        """
        link = self._links.get(peer)
        if link is None or not link.is_open:
            return False
        link.put(message)
        return True

    async def connect(self, peer: str) -> None:
        """Opens a link before a message needs it.

        Raises:
            LinkError: It cannot be opened.
        """
        await self._open(peer)

    async def close_link(self, peer: str) -> None:
        """Closes the link to a peer, for instance one that left or failed."""
        link = self._links.pop(peer, None)
        if link is not None:
            await link.close()

    async def close(self) -> None:
        """Closes all links."""
        for name in list(self._links):
            await self.close_link(name)
        if self._server is not None:
            self._server.close()
        for task in list(self._serving):
            task.cancel()

    async def _open(self, peer: str) -> _Link:
        link = self._links.get(peer)
        if link is not None and link.is_open:
            return link
        task = self._opening.get(peer)
        if task is None:
            task = asyncio.create_task(self._connect(peer))
            self._opening[peer] = task
            task.add_done_callback(lambda _: self._opening.pop(peer, None))
        return await asyncio.shield(task)

    async def _connect(self, peer: str) -> _Link:
        address = self._resolve(peer)
        if address is None:
            raise LinkError(f"no address of {peer}")
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                link = await self._handshake(peer, address)
        except (
            OSError,
            TimeoutError,
            exceptions.WebSocketException,
            errors.PeerError,
        ) as caught:
            raise LinkError(f"no link to {peer}: {caught}") from caught
        self._links[peer] = link
        log.emit(events.LINK_OPENED, peer=peer)
        return link

    async def _handshake(self, peer: str, address: vms.Address) -> _Link:
        socket = await ws_client.connect(
            f"ws://{address}",
            compression=None,
            max_size=wire.MESSAGE_BYTES_MAX,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=OPEN_TIMEOUT_S,
            proxy=None,
        )
        try:
            nonce = secrets.token_bytes(NONCE_BYTES)
            await socket.send(wire.encode(self._hello(nonce)))
            answer = await _receive_hello(socket)
            self._verify(answer, nonce, peer)
            mac = proof(self._key, answer.nonce, self._local.name, peer)
            await socket.send(wire.encode(self._hello(b"", mac)))
        except BaseException:
            await socket.close()
            raise
        return _Link(Peer(peer, answer.incarnation), socket)

    def _hello(self, nonce: bytes, mac: bytes = b"") -> wire.Hello:
        return wire.Hello(self._local.name, self._local.incarnation, nonce, mac)

    def _verify(self, hello: wire.Hello, nonce: bytes, name: str) -> None:
        expected = proof(self._key, nonce, name, self._local.name)
        if hello.name != name or not hmac.compare_digest(hello.proof, expected):
            raise errors.PeerError(f"{name} did not prove the peer key")

    async def _accept(self, socket: ws_server.ServerConnection) -> None:
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                peer = await self._authenticate(socket)
        except (
            TimeoutError,
            exceptions.ConnectionClosed,
            errors.PeerError,
        ) as caught:
            log.emit(events.PEER_REFUSED, reason=str(caught) or "time-out")
            return
        await self._serve_peer(peer, socket)

    async def _authenticate(self, socket: ws_server.ServerConnection) -> Peer:
        hello = await _receive_hello(socket)
        nonce = secrets.token_bytes(NONCE_BYTES)
        mac = proof(self._key, hello.nonce, self._local.name, hello.name)
        await socket.send(wire.encode(self._hello(nonce, mac)))
        answer = await _receive_hello(socket)
        self._verify(answer, nonce, hello.name)
        return Peer(hello.name, hello.incarnation)

    async def _serve_peer(
        self, peer: Peer, socket: ws_server.ServerConnection
    ) -> None:
        outbox = _Outbox(socket)
        try:
            async for data in socket:
                message = wire.decode(_require_bytes(data))
                task = asyncio.create_task(
                    self._handle(peer.name, message, outbox.put)
                )
                self._serving.add(task)
                task.add_done_callback(self._serving.discard)
        except (exceptions.ConnectionClosed, errors.PeerError) as caught:
            log.emit(events.LINK_LOST, peer=peer.name, reason=str(caught))
        finally:
            outbox.stop()

    async def _handle(
        self, peer: str, message: wire.Message, send: Send
    ) -> None:
        try:
            await self._serve(peer, message, send)
        except Exception as caught:  # A failed handler must not end the link.
            log.emit(
                events.TASK_FAILED,
                task=f"answer {type(message).__name__}",
                reason=repr(caught),
            )


async def _receive_hello(
    socket: ws_client.ClientConnection | ws_server.ServerConnection,
) -> wire.Hello:
    message = wire.decode(_require_bytes(await socket.recv()))
    if not isinstance(message, wire.Hello):
        raise errors.PeerError("expected a hello")
    return message
