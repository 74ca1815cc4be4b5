"""An HTTP/1.1 client on h11 and asyncio.

The two errors tell apart what a router must tell apart: whether a byte of the
request can have reached the other side.
"""

import asyncio
import collections
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import h11

from nutmegpost_core import errors
from nutmegpost_core import vms
from nutmegpost_router import sockets

__all__ = [
    "Client",
    "ConnectError",
    "ExchangeError",
    "Headers",
    "Response",
    "Stream",
]

Headers = Mapping[str, str] | Sequence[tuple[str, str]]

CONNECT_TIMEOUT_S = 1.0
IDLE_LIMIT_S = 4.0
# A server may close an idle connection a little before the time it told.
IDLE_MARGIN_S = 0.5
IDLE_COUNT_MAX = 256
HEADER_BYTES_MAX = 65_536
BODY_BYTES_MAX = 8_000_000


class ConnectError(errors.PeerError):
    """No connection could be made: no byte of the request was sent.

    Attributes:
        refused: Whether the other host answered that nothing listens there.
    """

    def __init__(self, message: str, refused: bool):
        super().__init__(message)
        self.refused = refused


class ExchangeError(errors.PeerError):
    """The exchange broke off: the request may have arrived."""


class Response(NamedTuple):
    """A complete response.

    Attributes:
        status: HTTP status.
        headers: Header values by lower-case name.
        body: The body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class _Connection(asyncio.Protocol):
    """One connection to a server."""

    def __init__(self) -> None:
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=HEADER_BYTES_MAX
        )
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._deadline = 0.0
        self._body = bytearray()
        self._error: str | None = None
        self._at_eof = False
        self.uses = 0
        self.idle_max_s: float | None = None
        self.head: h11.Response | None = None
        self.ended = False
        self.idle_since = 0.0

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent."""
        return (
            self._error is None
            and self._transport is not None
            and not self._transport.is_closing()
            and self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            # Bytes behind an answer belong to no request.
            and not self._h11.trailing_data[0]
        )

    @property
    def is_new(self) -> bool:
        """Whether no request was sent yet."""
        return self.usable and self._h11.our_state is h11.IDLE

    @property
    def usable(self) -> bool:
        """Whether the connection still stands."""
        return (
            self._error is None
            and self._transport is not None
            and not self._transport.is_closing()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sockets.detect_silence(transport)

    def eof_received(self) -> bool:
        """Ends a body that has no length."""
        self._at_eof = True
        if self._error is None and not self.ended:
            self._feed(b"")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the reader that no more will come."""
        self._error = self._error or f"connection lost: {exc}"
        self._stop_timer()
        self._wake()

    def data_received(self, data: bytes) -> None:
        """Feeds the parser."""
        if self.idle_since:
            self._error = "data without a request"
            self.close()
            return
        self._feed(data)
        self._wake()

    def next_cycle(self) -> None:
        """Prepares for another request."""
        self._stop_timer()
        self._h11.start_next_cycle()
        self.uses += 1
        self.head = None
        self.ended = False
        self._body.clear()

    def send(
        self,
        host: str,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Sends a request."""
        self.idle_since = 0.0
        pairs = headers.items() if isinstance(headers, Mapping) else headers
        lines = [*pairs]
        if not any(name.lower() == "host" for name, _ in lines):
            lines.insert(0, ("Host", host))
        if body or method not in ("GET", "HEAD", "DELETE"):
            lines.append(("Content-Length", str(len(body))))
        parts = [
            self._h11.send(
                h11.Request(method=method, target=path, headers=lines)
            )
        ]
        if body:
            parts.append(self._h11.send(h11.Data(data=body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        assert self._transport is not None
        self._transport.write(b"".join(part for part in parts if part))

    async def read_head(self, deadline: float) -> h11.Response:
        """Waits for the head of the response."""
        while self.head is None:
            await self._wait(deadline)
        return self.head

    async def read(self, deadline: float) -> bytes:
        """Waits for data; empty at the end of the body."""
        while not self._body:
            if self.ended:
                return b""
            await self._wait(deadline)
        data = bytes(self._body)
        self._body.clear()
        return data

    def close(self) -> None:
        """Closes the connection."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection without sending what waits."""
        self._stop_timer()
        if self._transport is not None:
            self._transport.abort()

    def _feed(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
            self._parse()
        except h11.RemoteProtocolError as caught:
            self._error = f"out of protocol: {caught}"
            self.close()

    def _parse(self) -> None:
        while True:
            event = self._h11.next_event()
            if isinstance(event, h11.Response):
                self.head = event
            elif isinstance(event, h11.Data):
                self._body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self.ended = True
                return
            elif not isinstance(event, h11.InformationalResponse):
                return

    async def _wait(self, deadline: float) -> None:
        if self._error is not None:
            raise ExchangeError(self._error)
        loop = asyncio.get_running_loop()
        self._deadline = deadline
        # One timer that is set again when it is due costs less than a new one
        # for each wait.
        if self._timer is None:
            self._timer = loop.call_at(deadline, self._check_deadline)
        self._waiter = loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _check_deadline(self) -> None:
        self._timer = None
        if self._waiter is None or self._waiter.done():
            return
        loop = asyncio.get_running_loop()
        if loop.time() < self._deadline:
            self._timer = loop.call_at(self._deadline, self._check_deadline)
        else:
            self._waiter.set_exception(ExchangeError("no answer in time"))

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _oldest_kept(connection: _Connection) -> float:
    if connection.idle_max_s is None:
        return 0.0
    limit_s = connection.idle_max_s - IDLE_MARGIN_S
    return asyncio.get_running_loop().time() - limit_s


def _deadline(timeout_s: float) -> float:
    return asyncio.get_running_loop().time() + timeout_s


class Stream:
    """A response whose body is read as it comes."""

    def __init__(
        self, client: "Client", address: vms.Address, connection: _Connection
    ):
        assert connection.head is not None
        self._client = client
        self._address = address
        self._connection = connection
        self._head = connection.head

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._head.status_code

    @property
    def headers(self) -> dict[str, str]:
        """Header values by lower-case name."""
        return dict(self.fields)

    async def read(self, timeout_s: float) -> bytes:
        """Returns all data that waits.

        Args:
            timeout_s: Longest wait for the first byte, seconds.

        Returns:
            The data; empty at the end of the body.

        Raises:
            ExchangeError: The connection broke, or nothing came in time.
        """
        return await self._connection.read(_deadline(timeout_s))

    async def read_all(self, timeout_s: float) -> bytes:
        """Returns the whole body.

        Args:
            timeout_s: Longest wait in all, seconds.

        Raises:
            ExchangeError: The body is not complete in time, or too large.
        """
        body = bytearray()
        deadline = _deadline(timeout_s)
        while data := await self._connection.read(deadline):
            body += data
            if len(body) > BODY_BYTES_MAX:
                raise ExchangeError("body too large")
        return bytes(body)

    @property
    def fields(self) -> list[tuple[str, str]]:
        """All header lines in order, names in lower case."""
        return [
            (name.decode("ascii"), value.decode("latin-1"))
            for name, value in self._head.headers
        ]

    @property
    def reused(self) -> bool:
        """Whether the connection had served a request before."""
        return self._connection.uses > 0

    def close(self) -> None:
        """Gives the connection back, or closes it if the body is not read."""
        self._client.give_back(self._address, self._connection)

    def keep(self, idle_s: float | None) -> None:
        """Gives the connection back for at most some idle seconds.

        Args:
            idle_s: Time after which the server closes it; None when unknown.
        """
        self._connection.idle_max_s = idle_s
        self.close()

    def abort(self) -> None:
        """Breaks the connection, which cancels what the server does."""
        self._connection.abort()


class Client:
    """A client with a pool of idle connections."""

    def __init__(self) -> None:
        self._idle: dict[vms.Address, collections.deque[_Connection]] = {}
        self._idle_count = 0

    async def request(
        self,
        address: vms.Address,
        method: str,
        path: str,
        headers: Headers,
        body: bytes = b"",
        timeout_s: float = 5.0,
        fresh: bool = False,
    ) -> Response:
        """Sends a request and reads its whole response.

        Args:
            address: Where to.
            method: HTTP method.
            path: Path with query.
            headers: Headers besides Host and Content-Length.
            body: The body.
            timeout_s: Longest wait in all, seconds.
            fresh: Whether to open a connection for it.

        Returns:
            The response.

        Raises:
            ConnectError: No byte was sent.
            ExchangeError: The request may have arrived.
        """
        stream = await self.stream(
            address, method, path, headers, body, timeout_s, fresh
        )
        try:
            content = await stream.read_all(timeout_s)
            return Response(stream.status, stream.headers, content)
        finally:
            stream.close()

    async def stream(
        self,
        address: vms.Address,
        method: str,
        path: str,
        headers: Headers,
        body: bytes = b"",
        timeout_s: float = 5.0,
        fresh: bool = False,
        idle_limit_s: float = IDLE_LIMIT_S,
    ) -> Stream:
        """Sends a request and waits for the head of its response.

        Args and errors are those of `request`; `timeout_s` bounds the wait
        for the head, and `idle_limit_s` the time for which a connection that
        is used again may have been idle.
        """
        connection = None if fresh else self._take(address, idle_limit_s)
        if connection is None:
            connection = await self._connect(address)
        connection.send(str(address), method, path, headers, body)
        try:
            await connection.read_head(_deadline(timeout_s))
        except BaseException:
            connection.abort()
            raise
        return Stream(self, address, connection)

    async def check(self, address: vms.Address) -> None:
        """Makes sure that a server listens, and keeps the connection.

        Raises:
            ConnectError: It could not be reached.
        """
        self.give_back(address, await self._connect(address))

    def give_back(self, address: vms.Address, connection: _Connection) -> None:
        """Keeps a connection for another request if it can take one."""
        is_new = connection.is_new
        if not (is_new or connection.reusable) or (
            self._idle_count >= IDLE_COUNT_MAX
        ):
            connection.abort()
            return
        if not is_new:
            connection.next_cycle()
        connection.idle_since = asyncio.get_running_loop().time()
        self._idle.setdefault(address, collections.deque()).append(connection)
        self._idle_count += 1

    def close(self) -> None:
        """Closes the idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()
        self._idle_count = 0

    def _take(
        self, address: vms.Address, idle_limit_s: float
    ) -> _Connection | None:
        connections = self._idle.get(address)
        oldest = asyncio.get_running_loop().time() - idle_limit_s
        while connections:
            connection = connections.pop()
            self._idle_count -= 1
            if connection.usable and connection.idle_since > max(
                oldest, _oldest_kept(connection)
            ):
                return connection
            connection.close()
        return None

    async def _connect(self, address: vms.Address) -> _Connection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    _Connection, address.host, address.port
                )
        except (OSError, TimeoutError) as caught:
            reason = f"cannot connect to {address}: {caught}"
            refused = isinstance(caught, ConnectionRefusedError)
            raise ConnectError(reason, refused) from caught
        return connection
