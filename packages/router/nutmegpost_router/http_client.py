"""An HTTP/1.1 client on h11 and asyncio.

A failed request raises one of two errors, which tell whether a byte of the
request may have reached the server: a retry is always safe after a
`ConnectError`, and only for an idempotent request after an `ExchangeError`.
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
# A server may close an idle connection shortly before the idle timeout that it
# advertised.
IDLE_MARGIN_S = 0.5
IDLE_COUNT_MAX = 256
HEADER_BYTES_MAX = 65_536
BODY_BYTES_MAX = 8_000_000


class ConnectError(errors.PeerError):
    """No connection could be made: no byte of the request was sent.

    Attributes:
        refused: Whether the host refused the connection, that is, no process
            listens on the port.
    """

    def __init__(self, message: str, refused: bool):
        super().__init__(message)
        self.refused = refused


class ExchangeError(errors.PeerError):
    """The exchange failed after the connect: the request may have arrived."""


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
    """One connection to a server.

    Attributes:
        exchange_count: Number of completed exchanges.
        server_idle_timeout_s: Time after which the server closes the
            connection when idle, seconds; None when unknown.
        head: Head of the current response, once received.
        complete: Whether the current response is complete.
        idle_since: Time at which the connection became idle, seconds of the
            event loop's clock; 0 while it is in use.
    """

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
        self.exchange_count = 0
        self.server_idle_timeout_s: float | None = None
        self.head: h11.Response | None = None
        self.complete = False
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
            # Bytes after a response belong to no request.
            and not self._h11.trailing_data[0]
        )

    @property
    def is_new(self) -> bool:
        """Whether no request has been sent on the open connection."""
        return self.is_open and self._h11.our_state is h11.IDLE

    @property
    def is_open(self) -> bool:
        """Whether the connection is open and has not failed."""
        return (
            self._error is None
            and self._transport is not None
            and not self._transport.is_closing()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the socket options of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sockets.enable_dead_peer_detection(transport)

    def eof_received(self) -> bool:
        """Marks the end of a body without a length."""
        self._at_eof = True
        if self._error is None and not self.complete:
            self._feed(b"")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Wakes the reader, which then raises the error."""
        self._error = self._error or f"connection lost: {exc}"
        self._stop_timer()
        self._wake()

    def data_received(self, data: bytes) -> None:
        """Parses received data; fails when no request is outstanding."""
        if self.idle_since:
            self._error = "server sent data without a request"
            self.close()
            return
        self._feed(data)
        self._wake()

    def next_cycle(self) -> None:
        """Resets the state for the next request."""
        self._stop_timer()
        self._h11.start_next_cycle()
        self.exchange_count += 1
        self.head = None
        self.complete = False
        self._body.clear()

    def send(
        self,
        host: str,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Sends a complete request; adds Host and Content-Length."""
        self.idle_since = 0.0
        pairs = headers.items() if isinstance(headers, Mapping) else headers
        header_lines = [*pairs]
        if not any(name.lower() == "host" for name, _ in header_lines):
            header_lines.insert(0, ("Host", host))
        if body or method not in ("GET", "HEAD", "DELETE"):
            header_lines.append(("Content-Length", str(len(body))))
        parts = [
            self._h11.send(
                h11.Request(method=method, target=path, headers=header_lines)
            )
        ]
        if body:
            parts.append(self._h11.send(h11.Data(data=body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        assert self._transport is not None
        self._transport.write(b"".join(part for part in parts if part))

    async def read_head(self, deadline: float) -> h11.Response:
        """Waits for the head of the response and returns it."""
        while self.head is None:
            await self._wait(deadline)
        return self.head

    async def read(self, deadline: float) -> bytes:
        """Waits for body data and returns it; empty at the end."""
        while not self._body:
            if self.complete:
                return b""
            await self._wait(deadline)
        data = bytes(self._body)
        self._body.clear()
        return data

    def close(self) -> None:
        """Closes the connection after the buffered data is sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection and discards buffered data."""
        self._stop_timer()
        if self._transport is not None:
            self._transport.abort()

    def _feed(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
            self._parse()
        except h11.RemoteProtocolError as caught:
            self._error = f"HTTP protocol error: {caught}"
            self.close()

    def _parse(self) -> None:
        while True:
            event = self._h11.next_event()
            if isinstance(event, h11.Response):
                self.head = event
            elif isinstance(event, h11.Data):
                self._body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self.complete = True
                return
            elif not isinstance(event, h11.InformationalResponse):
                return

    async def _wait(self, deadline: float) -> None:
        if self._error is not None:
            raise ExchangeError(self._error)
        loop = asyncio.get_running_loop()
        self._deadline = deadline
        # Re-arming one timer when it fires costs less than setting a new timer
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


def _earliest_idle_start(connection: _Connection) -> float:
    if connection.server_idle_timeout_s is None:
        return 0.0
    limit_s = connection.server_idle_timeout_s - IDLE_MARGIN_S
    return asyncio.get_running_loop().time() - limit_s


def _deadline(timeout_s: float) -> float:
    return asyncio.get_running_loop().time() + timeout_s


class Stream:
    """A response whose body is read as it arrives."""

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
        """Returns the body data received so far, waiting for some if none.

        Args:
            timeout_s: Maximum wait for the first byte, seconds.

        Returns:
            The data; empty at the end of the body.

        Raises:
            ExchangeError: The connection failed, or no data arrived in time.
        """
        return await self._connection.read(_deadline(timeout_s))

    async def read_all(self, timeout_s: float) -> bytes:
        """Returns the rest of the body.

        Args:
            timeout_s: Maximum total wait, seconds.

        Raises:
            ExchangeError: The connection failed, the body was not complete in
                time, or it is larger than `BODY_BYTES_MAX`.
        """
        body = bytearray()
        deadline = _deadline(timeout_s)
        while data := await self._connection.read(deadline):
            body += data
            if len(body) > BODY_BYTES_MAX:
                raise ExchangeError("response body is too large")
        return bytes(body)

    @property
    def fields(self) -> list[tuple[str, str]]:
        """All header fields in order, names in lower case."""
        return [
            (name.decode("ascii"), value.decode("latin-1"))
            for name, value in self._head.headers
        ]

    @property
    def reused(self) -> bool:
        """Whether the connection served an earlier request."""
        return self._connection.exchange_count > 0

    def close(self) -> None:
        """Returns the connection to the pool, or closes it if not reusable."""
        self._client.return_to_pool(self._address, self._connection)

    def close_with_idle_timeout(self, idle_s: float | None) -> None:
        """Returns the connection to the pool, with the server's idle timeout.

        Args:
            idle_s: Time after which the server closes the idle connection,
                seconds; None when unknown.
        """
        self._connection.server_idle_timeout_s = idle_s
        self.close()

    def abort(self) -> None:
        """Closes the connection, so that the server cancels the request."""
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
            address: Address of the server.
            method: HTTP method.
            path: Path with query.
            headers: Headers besides Host and Content-Length.
            body: The body.
            timeout_s: Maximum wait for the head of the response, and again
                for its body, seconds.
            fresh: Whether to open a new connection rather than reuse an idle
                one.

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

        The arguments and errors are those of `request`, except that
        `timeout_s` is the maximum wait for the head only, and `idle_limit_s`
        the maximum time for which a reused connection may have been idle.

        Returns:
            The response, whose body is still to be read.
        """
        connection = None if fresh else self._take_idle(address, idle_limit_s)
        if connection is None:
            connection = await self._connect(address)
        connection.send(str(address), method, path, headers, body)
        try:
            await connection.read_head(_deadline(timeout_s))
        except BaseException:
            connection.abort()
            raise
        return Stream(self, address, connection)

    async def probe(self, address: vms.Address) -> None:
        """Opens a connection to verify that a server listens, and pools it.

        Raises:
            ConnectError: The server could not be reached.
        """
        self.return_to_pool(address, await self._connect(address))

    def return_to_pool(
        self, address: vms.Address, connection: _Connection
    ) -> None:
        """Adds a connection to the pool, or closes it if not reusable."""
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
        """Closes all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()
        self._idle_count = 0

    def _take_idle(
        self, address: vms.Address, idle_limit_s: float
    ) -> _Connection | None:
        connections = self._idle.get(address)
        earliest = asyncio.get_running_loop().time() - idle_limit_s
        while connections:
            connection = connections.pop()
            self._idle_count -= 1
            if connection.is_open and connection.idle_since > max(
                earliest, _earliest_idle_start(connection)
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
