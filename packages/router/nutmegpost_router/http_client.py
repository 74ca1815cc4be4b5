"""An HTTP/1.1 client on h11 and asyncio.

A failed request raises one of two errors, which tell whether a byte of the
request may have reached the server: a retry is always safe after a
`ConnectError`, and only for an idempotent request after an `ExchangeError`.
"""

import asyncio
import collections
from collections.abc import Callable, Mapping, Sequence
import enum
import math
from typing import NamedTuple

import h11

from nutmegpost_core import chunks
from nutmegpost_core import errors
from nutmegpost_core import vms
from nutmegpost_router import header_fields
from nutmegpost_router import sockets

__all__ = [
    "BodyTooLargeError",
    "Client",
    "ConnectError",
    "Consumed",
    "ExchangeError",
    "Headers",
    "ReadTimeoutError",
    "Response",
    "Stream",
    "WithdrawnError",
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
# Limit on the bodies of all responses that are being read.
BUFFERED_BODY_BYTES_MAX = 64_000_000
# Chunks of a body, besides one for each CHUNK_BYTES_MIN bytes and some for each
# second. Parsing a chunk takes as long as copying many kilobytes, so a flood of
# tiny ones blocks the process.
CHUNKS_MAX = 2_048
CHUNK_BYTES_MIN = 64
CHUNKS_PER_S = 1_000
# Interim (1xx) responses before a response; more are an endless head.
INTERIM_RESPONSES_MAX = 16
# RFC 9110, section 15: other statuses are invalid.
_STATUS_MAX = 599


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


class WithdrawnError(errors.PeerError):
    """The request was not sent, as it was not needed any more."""


class BodyTooLargeError(ExchangeError):
    """The body of the response is larger than the limit."""


class ReadTimeoutError(ExchangeError):
    """No data arrived in time; the connection is still open."""


class Consumed(enum.Enum):
    """What the consumer of a body made of some data.

    Attributes:
        PROGRESS: It used the data; the timeout starts again.
        NOTHING: The data is not useful yet; the timeout goes on.
        FULL: It used the data and takes no more until the next call.
    """

    PROGRESS = "progress"
    NOTHING = "nothing"
    FULL = "full"


Consumer = Callable[[bytes], Consumed]


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
        self._watch: sockets.PeerWatch | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._deadline = 0.0
        self._consumer: Consumer | None = None
        self._consume_timeout_s = 0.0
        self._consumer_full = False
        self._consumer_error: errors.PeerError | None = None
        self._body = bytearray()
        self._error: str | None = None
        self._at_eof = False
        # Whether all received data of the body ends between two chunks.
        self._between_chunks = False
        self._interim_responses = 0
        self._chunk_count = 0
        self._body_bytes = 0
        self._sent_at = 0.0
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

    @property
    def _is_request_outstanding(self) -> bool:
        """Whether the server has not acknowledged the whole request."""
        assert self._transport is not None
        if self._transport.get_write_buffer_size():
            return True
        return self._watch is not None and self._watch.is_outstanding()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the socket options of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._watch = sockets.PeerWatch(transport, self._end_dead)

    def eof_received(self) -> bool:
        """Marks the end of a body without a length.

        A server that has not received the whole request may close and then
        reset the connection. What it sent may then be only a part of the body,
        although the connection seems to end regularly.
        """
        self._at_eof = True
        if self._error is None and not self.complete:
            if self._is_request_outstanding:
                self._error = "closed before the server had the whole request"
                self._wake()
            else:
                self._feed(b"")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Wakes the reader, which then raises the error."""
        self._error = self._error or f"connection lost: {exc}"
        self._stop_timer()
        if self._watch is not None:
            self._watch.stop()
        self._wake()

    def data_received(self, data: bytes) -> None:
        """Parses received data; fails when no request is outstanding."""
        if self.idle_since:
            self._error = "server sent data without a request"
            self.close()
            return
        self._feed(data)
        if self._consumer is not None:
            self._consume_body()
            if not self._consume_ended:
                return
        self._wake()

    @property
    def has_unread_data(self) -> bool:
        """Whether a part of the body, or its end, waits to be read."""
        return self._error is None and bool(self._body or self.complete)

    def next_cycle(self) -> None:
        """Resets the state for the next request."""
        self._stop_timer()
        self._h11.start_next_cycle()
        self.exchange_count += 1
        self.head = None
        self.complete = False
        self._between_chunks = False
        self._interim_responses = 0
        self._chunk_count = 0
        self._body_bytes = 0
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
        self._sent_at = asyncio.get_running_loop().time()
        pairs = headers.items() if isinstance(headers, Mapping) else headers
        header_lines = [*pairs]
        if not any(name.lower() == "host" for name, _ in header_lines):
            header_lines.insert(0, ("Host", host))
        if body or method not in ("GET", "HEAD", "DELETE"):
            header_lines.append(("Content-Length", str(len(body))))
        parts = [
            self._h11.send(
                h11.Request(
                    method=method,
                    target=path,
                    headers=header_fields.encode(header_lines),
                )
            )
        ]
        if body:
            parts.append(self._h11.send(h11.Data(data=body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        assert self._transport is not None
        self._transport.write(b"".join(part for part in parts if part))
        if self._watch is not None:
            self._watch.record_sent()

    async def read_head(
        self, deadline: float, extend: Callable[[], float]
    ) -> h11.Response:
        """Waits for the head of the response and returns it.

        Args:
            deadline: Time until which to wait, seconds of the loop's clock.
            extend: Called at the deadline; returns the time for which to wait
                longer, seconds.
        """
        while self.head is None:
            try:
                await self._wait(deadline)
            except ReadTimeoutError:
                longer_s = extend()
                if longer_s <= 0:
                    raise
                deadline += longer_s
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

    async def consume(self, consumer: Consumer, timeout_s: float) -> bool:
        """Passes body data to a function as it arrives; see `Stream.consume`.

        The function runs where the data is received: a task switch for each
        event of a stream would double the cost of relaying it.
        """
        assert self._transport is not None
        loop = asyncio.get_running_loop()
        self._consumer = consumer
        self._consume_timeout_s = timeout_s
        self._consumer_full = False
        self._transport.resume_reading()
        try:
            self._deadline = loop.time() + timeout_s
            self._consume_body()
            while not self._consume_ended:
                await self._wait(self._deadline)
        finally:
            self._consumer = None
        if self._consumer_error is not None:
            raise ExchangeError(str(self._consumer_error))
        if self._error is not None and not self.complete:
            raise ExchangeError(self._error)
        return self.complete

    @property
    def _consume_ended(self) -> bool:
        return (
            self.complete
            or self._consumer_full
            or self._consumer_error is not None
            or self._error is not None
        )

    def _consume_body(self) -> None:
        """Passes the buffered data to the consumer."""
        assert self._consumer is not None and self._transport is not None
        if not self._body:
            return
        data = bytes(self._body)
        self._body.clear()
        try:
            consumed = self._consumer(data)
        except errors.PeerError as caught:
            self._consumer_error = caught
            return
        if consumed is Consumed.FULL:
            self._consumer_full = True
            if not self.complete:
                self._transport.pause_reading()
        elif consumed is Consumed.PROGRESS:
            now = asyncio.get_running_loop().time()
            self._deadline = now + self._consume_timeout_s

    def close(self) -> None:
        """Closes the connection after the buffered data is sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection and discards buffered data."""
        self._stop_timer()
        if self._transport is not None:
            self._transport.abort()

    def fail(self, reason: str) -> None:
        """Ends the exchange with an error."""
        self._error = self._error or reason
        # A body that was received completely is incomplete without its rest.
        self.complete = False
        self._body.clear()
        self.abort()
        self._wake()

    def _end_dead(self) -> None:
        self._error = self._error or "the server acknowledges nothing"
        self.abort()

    def _feed(self, data: bytes) -> None:
        try:
            if self._between_chunks and self._add_whole_chunks(data):
                return
            had_head = self.head is not None
            self._h11.receive_data(data)
            self._parse()
            if self.head is not None and not had_head:
                self._between_chunks = _ends_between_chunks(self.head, data)
        except h11.RemoteProtocolError as caught:
            self._error = f"HTTP protocol error: {caught}"
            self.close()

    def _add_whole_chunks(self, data: bytes) -> bool:
        """Adds data that consists of whole chunks to the body.

        The state of h11 is the same before and after a chunk, so h11, which
        takes ten times as long for the chunk of an event, can be left out. It
        gets the data and everything after it if there is more than chunks.

        Returns:
            Whether the data was added.
        """
        contents = chunks.split_whole_chunks(data)
        if contents is None:
            self._between_chunks = False
            return False
        for content in contents:
            self._add_body(content)
        return True

    def _parse(self) -> None:
        while True:
            event = self._h11.next_event()
            if isinstance(event, h11.Data):
                self._add_body(event.data)
            elif isinstance(event, h11.Response):
                if event.status_code > _STATUS_MAX:
                    raise h11.RemoteProtocolError(
                        f"invalid status {event.status_code}"
                    )
                self.head = event
            elif isinstance(event, h11.EndOfMessage):
                self.complete = True
                return
            elif isinstance(event, h11.InformationalResponse):
                self._interim_responses += 1
                if self._interim_responses > INTERIM_RESPONSES_MAX:
                    raise h11.RemoteProtocolError("too many 1xx responses")
            else:
                return

    def _add_body(self, data: bytes) -> None:
        self._body += data
        self._chunk_count += 1
        self._body_bytes += len(data)
        allowed = CHUNKS_MAX + self._body_bytes / CHUNK_BYTES_MIN
        if self._chunk_count <= allowed:
            return
        elapsed_s = asyncio.get_running_loop().time() - self._sent_at
        if self._chunk_count > allowed + CHUNKS_PER_S * elapsed_s:
            raise h11.RemoteProtocolError("too many small chunks")

    async def _wait(self, deadline: float) -> None:
        if self._error is not None:
            raise ExchangeError(self._error)
        loop = asyncio.get_running_loop()
        self._deadline = deadline
        # Re-arming one timer when it fires costs less than setting a new timer
        # for each wait.
        if self._timer is not None and self._timer.when() > deadline:
            self._stop_timer()
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
            self._waiter.set_exception(ReadTimeoutError("no answer in time"))

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _ends_between_chunks(head: h11.Response, data: bytes) -> bool:
    """Returns whether the data of a response so far ends between two chunks.

    Args:
        head: Head of the response.
        data: The received data in which the head ends.
    """
    if (b"transfer-encoding", b"chunked") not in head.headers:
        return False
    _, separator, rest = data.partition(b"\r\n\r\n")
    return bool(separator) and chunks.split_whole_chunks(rest) is not None


def _body_length(head: h11.Response) -> int:
    """Returns the size of the body, bytes; 0 if the response does not tell."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return 0


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

    @property
    def is_first(self) -> bool:
        """Whether this is the first response on its connection."""
        return self._connection.exchange_count == 0

    @property
    def has_unread_data(self) -> bool:
        """Whether a part of the body, or its end, waits to be read."""
        return self._connection.has_unread_data

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

    async def consume(self, consumer: Consumer, timeout_s: float) -> bool:
        """Passes body data to a function as it arrives.

        Args:
            consumer: Takes data. A PeerError that it raises fails the
                exchange.
            timeout_s: Maximum time without progress, seconds.

        Returns:
            Whether the body is complete; False if the consumer is full.

        Raises:
            ReadTimeoutError: No progress was made in time; the call may be
                repeated.
            ExchangeError: The connection failed.
        """
        return await self._connection.consume(consumer, timeout_s)

    async def read_all(
        self,
        timeout_s: float,
        progress_timeout_s: float = math.inf,
        size_max: int | None = None,
    ) -> bytes:
        """Returns the rest of the body.

        Args:
            timeout_s: Maximum total wait, seconds.
            progress_timeout_s: Maximum wait for the next data, seconds.
            size_max: Maximum size of the body, bytes; `BODY_BYTES_MAX` if None.

        Raises:
            BodyTooLargeError: The body is larger than the maximum; raised
                before it is read if the response tells its size.
            ExchangeError: The connection failed, the body was not complete in
                time, or it is the largest while the bodies of all responses
                exceed the limit of the client.
        """
        size_max = size_max or BODY_BYTES_MAX
        length = _body_length(self._head)
        if length > size_max:
            raise BodyTooLargeError(f"response body of {length} bytes")
        body = bytearray()
        deadline = _deadline(timeout_s)
        try:
            while data := await self._connection.read(
                min(deadline, _deadline(progress_timeout_s))
            ):
                body += data
                if len(body) > size_max:
                    raise BodyTooLargeError("response body is too large")
                self._client.reserve_body_memory(self._connection, len(data))
            return bytes(body)
        except ReadTimeoutError as caught:
            raise ReadTimeoutError(
                f"{caught}: {len(body)} bytes of the body received"
            ) from caught
        finally:
            self._client.release_body_memory(self._connection)

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

    def __init__(
        self, buffered_body_bytes_max: int = BUFFERED_BODY_BYTES_MAX
    ) -> None:
        """Creates a client without connections.

        Args:
            buffered_body_bytes_max: Limit on the bodies of all responses that
                are being read, bytes.
        """
        self._buffered_body_bytes_max = buffered_body_bytes_max
        self._buffered_body_bytes = 0
        # Size of each body that is being read.
        self._body_bytes: dict[_Connection, int] = {}
        self._idle: dict[vms.Address, collections.deque[_Connection]] = {}
        self._idle_count = 0

    @property
    def buffered_body_bytes(self) -> int:
        """Size of the bodies that are being read."""
        return self._buffered_body_bytes

    def reserve_body_memory(self, connection: _Connection, size: int) -> None:
        """Reserves memory for a part of a body.

        If all bodies exceed the limit, the largest fails: one that never ends
        must not fail the others.

        Args:
            connection: The connection on which the body arrives.
            size: Size of the part, bytes.
        """
        self._buffered_body_bytes += size
        known = self._body_bytes.get(connection, 0)
        self._body_bytes[connection] = known + size
        if self._buffered_body_bytes > self._buffered_body_bytes_max:
            largest = max(self._body_bytes, key=self._body_bytes.__getitem__)
            largest.fail("no memory is left for the body")

    def release_body_memory(self, connection: _Connection) -> None:
        """Returns the memory that was reserved for a body."""
        self._buffered_body_bytes -= self._body_bytes.pop(connection, 0)

    async def request(
        self,
        address: vms.Address,
        method: str,
        path: str,
        headers: Headers,
        body: bytes = b"",
        timeout_s: float = 5.0,
        fresh: bool = False,
        body_timeout_s: float | None = None,
        on_answer: Callable[[], None] = lambda: None,
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
            body_timeout_s: Maximum wait for the whole body, seconds, if
                `timeout_s` is that for each next part of it; None otherwise.
            on_answer: Called when the head has been received.

        Returns:
            The response.

        Raises:
            ConnectError: No byte was sent.
            ExchangeError: The request may have arrived.
        """
        stream = await self.stream(
            address, method, path, headers, body, timeout_s, fresh
        )
        on_answer()
        try:
            content = await stream.read_all(
                body_timeout_s or timeout_s, timeout_s
            )
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
        extend: Callable[[], float] = lambda: 0.0,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Stream:
        """Sends a request and waits for the head of its response.

        The arguments and errors are those of `request`, except that
        `timeout_s` is the maximum wait for the head only, `idle_limit_s` the
        maximum time for which a reused connection may have been idle,
        `extend` is called at the end of the wait and returns the time in
        seconds for which to wait longer, and `may_send` is called once there
        is a connection and returns whether to send the request.

        Returns:
            The response, whose body is still to be read.

        Raises:
            WithdrawnError: The request was not sent.
        """
        connection = None if fresh else self._take_idle(address, idle_limit_s)
        if connection is None:
            connection = await self._connect(address)
        if not may_send():
            self.return_to_pool(address, connection)
            raise WithdrawnError("the request is not needed any more")
        try:
            connection.send(str(address), method, path, headers, body)
            await connection.read_head(_deadline(timeout_s), extend)
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
