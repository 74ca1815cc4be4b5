"""An HTTP/1.1 server on h11 and asyncio.

Each connection has a protocol object of its own and serves one request at a
time. A handler gets an `Exchange` for each request and sends the response
through it, complete or as a stream.
"""

import asyncio
from collections.abc import Awaitable, Callable
import json
import re
from typing import NamedTuple

import h11

from nutmegpost_core import errors
from nutmegpost_core import vms
from nutmegpost_router import header_fields
from nutmegpost_router import sockets

__all__ = [
    "BODY_BYTES_MAX",
    "Exchange",
    "Handler",
    "HttpServer",
    "Limits",
    "OpenWork",
    "Request",
    "Response",
    "error_response",
    "responder",
    "serve",
]

BODY_BYTES_MAX = 2_000_000
HEADER_BYTES_MAX = 32_768
_EMPTY_LINE = b"\r\n"
HEADER_COUNT_MAX = 64
REQUEST_TIMEOUT_S = 15.0
IDLE_TIMEOUT_S = 75.0
CONNECTION_COUNT_MAX = 20_000
BUFFERED_BODY_BYTES_MAX = 256_000_000
# Memory for a body is free again once another request has been answered.
_BODY_MEMORY_RETRY_AFTER_S = 0.5
# `Exchange.drain` blocks while more than this is unsent.
WRITE_BUFFER_BYTES = 262_144


# A line feed without a carriage return, or a folded header line (obs-fold).
_BARE_LF_OR_FOLD = re.compile(rb"(?<!\r)\n|\n[ \t]")


class Limits(NamedTuple):
    """Limits on requests and connections of clients.

    Attributes:
        header_bytes: Maximum size of a request head, bytes.
        body_bytes: Maximum size of a request body, bytes.
        request_timeout_s: Maximum time from the first byte of a request to
            its last, seconds.
        idle_timeout_s: Maximum time that a connection may be idle between two
            requests, and that a client may take nothing of a response that is
            complete, seconds.
        connections: Maximum number of connections. At the limit, the
            connection that has been idle longest is closed for a new one.
        buffered_body_bytes: Maximum size of the bodies of all requests in
            progress, bytes.
    """

    header_bytes: int = HEADER_BYTES_MAX
    body_bytes: int = BODY_BYTES_MAX
    request_timeout_s: float = REQUEST_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S
    connections: int = CONNECTION_COUNT_MAX
    buffered_body_bytes: int = BUFFERED_BODY_BYTES_MAX


class OpenWork(NamedTuple):
    """What the open connections of a server still have to do.

    Attributes:
        connections: Number of open connections, idle ones included.
        requests: Number of requests that are being received or answered.
        begun: Number of those whose answers have begun.
        unsent_bytes: Size of what the kernel has not taken over yet, bytes.
    """

    connections: int
    requests: int
    begun: int
    unsent_bytes: int


class Request(NamedTuple):
    """A complete request.

    Attributes:
        method: HTTP method.
        target: Request target: the path with its query.
        headers: Header values by lower-case name; of a repeated header, the
            last value.
        body: The body.
        fields: All header fields in order, repeated ones included, names in
            lower case.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    fields: tuple[tuple[str, str], ...] = ()


class Response(NamedTuple):
    """A complete response."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


Handler = Callable[["Exchange"], Awaitable[None]]


def error_response(error: errors.RequestError) -> Response:
    """Returns the response that reports an error to the client."""
    body: dict[str, object] = {
        "code": error.code,
        "message": str(error),
        "outcome": error.outcome.value,
    }
    headers = [
        ("Content-Type", "application/json"),
        ("X-Outcome", error.outcome.value),
    ]
    if error.retry_after is not None:
        body["retry_after"] = round(error.retry_after, 3)
        headers.append(("Retry-After", str(max(1, round(error.retry_after)))))
    permit = getattr(error, "permit", None)
    if permit:
        body["permit"] = permit
    return Response(error.status, headers, json.dumps({"error": body}).encode())


class Exchange:
    """One request and its response."""

    def __init__(self, connection: "_Connection", request: Request):
        self._connection = connection
        self._request = request
        self._started = False
        self._status = 0

    @property
    def status(self) -> int:
        """Status of the response; 0 before its head is sent."""
        return self._status

    @property
    def request(self) -> Request:
        """The request."""
        return self._request

    @property
    def started(self) -> bool:
        """Whether the head of the response has been sent."""
        return self._started

    @property
    def disconnected(self) -> asyncio.Event:
        """Event that is set when the client's connection is lost."""
        return self._connection.lost

    @property
    def loss_reason(self) -> str:
        """Why the client's connection was lost; empty while it is not."""
        return self._connection.loss_reason

    def send(self, response: Response) -> None:
        """Sends a complete response."""
        self._started = True
        self._status = response.status
        headers = [
            *response.headers,
            ("Content-Length", _content_length(response)),
        ]
        connection = self._connection
        connection.send_head(response.status, headers)
        if response.body and self._request.method != "HEAD":
            connection.send(h11.Data(data=response.body))
        connection.send(h11.EndOfMessage())

    def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Sends the head of a streamed response."""
        self._started = True
        self._status = status
        self._connection.send_head(status, headers)

    def write(self, data: bytes) -> None:
        """Sends a part of the body of a streamed response."""
        self._connection.send_data(data)

    def finish(self, trailers: list[tuple[str, str]] | None = None) -> None:
        """Ends a streamed response.

        Args:
            trailers: Trailer fields, sent after the body.
        """
        self._connection.send(
            h11.EndOfMessage(headers=header_fields.encode(trailers or []))
        )

    @property
    def writable(self) -> bool:
        """Whether the write buffer is below its high-water mark."""
        return self._connection.writable

    async def drain(self) -> None:
        """Waits while the write buffer is above its high-water mark."""
        await self._connection.drain()

    def cancel_on_disconnect(self) -> None:
        """Makes a disconnect of the client cancel the handler."""
        self._connection.cancels_handler_on_disconnect = True

    def abort(self) -> None:
        """Resets the connection, so that the response reads as incomplete."""
        self._connection.abort()


def responder(
    handle: Callable[[Request], Awaitable[Response]],
) -> Handler:
    """Returns a handler that sends the complete response of a function."""

    async def run(exchange: Exchange) -> None:
        exchange.send(await handle(exchange.request))

    return run


def _content_length(response: Response) -> str:
    return str(len(response.body))


def _head(status: int, headers: list[tuple[str, str]]) -> h11.Response:
    return h11.Response(
        status_code=status, headers=header_fields.encode(headers)
    )


class _Connection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, server: "HttpServer"):
        self._server = server
        self._limits = server.limits
        self._h11 = self._new_parser()
        self._has_skipped_line = False
        self._transport: asyncio.Transport | None = None
        self._watch: sockets.PeerWatch | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._buffered_body_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self._sends_chunks = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._timer: asyncio.TimerHandle | None = None
        self._is_closed_here = False
        self._idle_since = 0.0
        self._is_ended = False
        self.lost = asyncio.Event()
        self.loss_reason = ""
        self.cancels_handler_on_disconnect = False

    @property
    def idle(self) -> bool:
        """Whether no request is being received or answered."""
        return self._task is None and self._head is None

    @property
    def idle_s(self) -> float:
        """Time for which no byte of a request has come, seconds."""
        if not self.idle or self._h11.trailing_data[0]:
            return 0.0
        return asyncio.get_running_loop().time() - self._idle_since

    @property
    def has_begun(self) -> bool:
        """Whether an answer has begun and is not complete."""
        return self._h11.our_state is h11.SEND_BODY

    @property
    def unsent_bytes(self) -> int:
        """Size of what the kernel has not taken over yet, bytes."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def is_closing(self) -> bool:
        """Whether it closes once the buffered data is sent."""
        return self._transport is not None and self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection; closes it when there are too many."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._watch = sockets.PeerWatch(transport, self._end_dead)
        if not self._server.add(self):
            transport.close()
            return
        self._begin_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Signals the loss to the handler, and cancels it if requested."""
        self._stop_timer()
        if self._watch is not None:
            self._watch.stop()
        self._server.remove(self)
        self._writable.set()
        end = "here" if self._is_closed_here else "by the client"
        reason = str(exc) if exc else f"closed {end}"
        self.loss_reason = self.loss_reason or reason
        self.lost.set()
        if self._task is None:
            self._release_body()
        if self.cancels_handler_on_disconnect and self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Makes `drain` block: the write buffer is above its high mark."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Makes `drain` return: the write buffer has emptied enough."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parses received data unless a request is still being handled."""
        if self._is_ended:
            return
        self._h11.receive_data(data)
        if self._task is None:
            if self._h11.their_state is h11.IDLE and self._head is None:
                self._start_timer(
                    self._limits.request_timeout_s, self._on_request_timeout
                )
            self._process_input()

    def eof_received(self) -> bool:
        """Returns False, so that the transport closes itself."""
        return False

    def send(self, event: h11.Event) -> None:
        """Serializes and writes an event, unless the connection has ended."""
        if self.lost.is_set() or self._is_ended:
            return
        data = self._h11.send(event)
        if data:
            self._write(data)

    def send_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Sends the head of a response."""
        if self._server.stopping:
            headers = [*headers, ("Connection", "close")]
        self.send(_head(status, headers))
        self._sends_chunks = self._is_chunked(headers)

    def _is_chunked(self, headers: list[tuple[str, str]]) -> bool:
        """Returns whether a response with these headers is sent in chunks."""
        return (
            self._h11.our_state is h11.SEND_BODY
            and self._h11.their_http_version == b"1.1"
            and self._head is not None
            and self._head.method != b"HEAD"
            and not any(name.lower() == "content-length" for name, _ in headers)
        )

    def send_data(self, data: bytes) -> None:
        """Sends a part of the body.

        A chunk does not change the state of h11. Framing it here costs a tenth
        of what h11 takes for each event of a stream.
        """
        if self._is_ended:
            return
        if not (self._sends_chunks and data):
            self.send(h11.Data(data=data))
        elif not self.lost.is_set():
            self._write(b"%x\r\n%b\r\n" % (len(data), data))

    def _write(self, data: bytes) -> None:
        if self._transport is not None and self._watch is not None:
            self._transport.write(data)
            self._watch.record_sent()

    @property
    def writable(self) -> bool:
        """Whether the transport accepts more data."""
        return self._writable.is_set()

    async def drain(self) -> None:
        """Waits while the transport has paused writing."""
        if not self._writable.is_set():
            await self._writable.wait()

    def close(self) -> None:
        """Closes the connection after the buffered data is sent.

        Until the client has it and closes its side, what comes is discarded:
        unread bytes at the closing would reset the connection.
        """
        if self._transport is None or self._is_ended:
            return
        self._is_closed_here = True
        if not self.unsent_bytes:
            self._transport.close()
            return
        self._is_ended = True
        self._transport.write_eof()
        self._start_timer(self._limits.idle_timeout_s, self._end_idle)

    def offer_unsent_bytes(self) -> None:
        """Enlarges the kernel's buffer, which takes what is unsent soon."""
        if not self.unsent_bytes or self._transport is None:
            return
        sockets.enlarge_send_buffer(self._transport, self.unsent_bytes)

    def evict(self) -> None:
        """Ends the connection at once, without its unsent bytes if any."""
        if self.unsent_bytes:
            self.abort()
        elif self._transport is not None:
            self._is_closed_here = True
            self._transport.close()

    def abort(self) -> None:
        """Resets the connection and discards buffered data."""
        self._is_closed_here = True
        if self._transport is not None:
            self._transport.abort()

    def _end_dead(self) -> None:
        self.loss_reason = "the client acknowledges nothing"
        self.abort()

    def _end_idle(self) -> None:
        """Ends the connection unless its client still takes a response."""
        limit_s = self._limits.idle_timeout_s
        stall_s = self._watch.stall_s() if self._watch is not None else None
        if stall_s is not None and stall_s < limit_s:
            self._start_timer(limit_s - stall_s, self._end_idle)
        else:
            self.evict()

    def _begin_idle(self) -> None:
        self._idle_since = asyncio.get_running_loop().time()
        self._start_timer(self._limits.idle_timeout_s, self._end_idle)

    def _start_timer(self, seconds: float, call: Callable[[], None]) -> None:
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, call)

    def _on_request_timeout(self) -> None:
        self._refuse(
            errors.InvalidRequestError("request was not received in time", 408)
        )

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _process_input(self) -> None:
        try:
            self._parse()
        except h11.RemoteProtocolError as caught:
            hint = caught.error_status_hint
            self._refuse(errors.InvalidRequestError(str(caught), hint))
        except errors.RequestError as caught:
            self._refuse(caught)

    def _parse(self) -> None:
        while True:
            if self._h11.their_state is h11.IDLE:
                self._skip_empty_line()
                if self._h11.trailing_data[0] == _EMPTY_LINE[:1]:
                    # h11 takes it for the start of a malformed request.
                    return
                self._check_line_endings()
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                self._send_continue()
                return
            if event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self._begin_request(event)
            elif isinstance(event, h11.Data):
                self._add_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._dispatch()
                return
            elif isinstance(event, h11.ConnectionClosed):
                self.close()
                return

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )

    def _skip_empty_line(self) -> None:
        """Skips one empty line before a request (RFC 9112, section 2.2).

        Some clients send it after the body of the request before. h11 refuses
        it and discards nothing that it has received, so a new parser takes the
        rest.
        """
        data, _ = self._h11.trailing_data
        if self._has_skipped_line or not data.startswith(_EMPTY_LINE):
            return
        self._has_skipped_line = True
        self._h11 = self._new_parser()
        rest = data[len(_EMPTY_LINE) :]
        if rest:
            self._h11.receive_data(rest)
        else:
            # The line begins no request, so the connection is still idle.
            self._start_timer(self._limits.idle_timeout_s, self._end_idle)

    def _send_continue(self) -> None:
        if self._h11.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))

    def _check_line_endings(self) -> None:
        # h11 accepts bare line feeds and folded lines. Another parser may read
        # them as a different request, which allows request smuggling.
        head, _, _ = self._h11.trailing_data[0].partition(b"\r\n\r\n")
        if _BARE_LF_OR_FOLD.search(head):
            raise errors.InvalidRequestError("line ends out of protocol")

    def _begin_request(self, event: h11.Request) -> None:
        names = {name for name, _ in event.headers}
        if {b"content-length", b"transfer-encoding"} <= names:
            raise errors.InvalidRequestError("both a length and chunks")
        if len(event.headers) > HEADER_COUNT_MAX:
            raise errors.InvalidRequestError(
                f"more than {HEADER_COUNT_MAX} headers", 431
            )
        # h11 limits the size of incomplete heads only.
        size = len(event.target) + sum(
            len(name) + len(value) for name, value in event.headers
        )
        if size > self._limits.header_bytes:
            raise errors.InvalidRequestError(
                f"head over {self._limits.header_bytes} bytes", 431
            )
        self._head = event
        self._body.clear()

    def _add_body(self, data: bytes) -> None:
        if not self._server.reserve_body_memory(len(data)):
            raise errors.UnavailableError(
                "no memory is left for the body",
                retry_after=_BODY_MEMORY_RETRY_AFTER_S,
            )
        self._buffered_body_bytes += len(data)
        self._body += data
        if len(self._body) > self._limits.body_bytes:
            raise errors.InvalidRequestError(
                f"body over {self._limits.body_bytes} bytes", 413
            )

    def _release_body(self) -> None:
        self._server.release_body_memory(self._buffered_body_bytes)
        self._buffered_body_bytes = 0

    def _refuse(self, error: errors.RequestError) -> None:
        self._server.report_refused(error)
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            response = error_response(error)
            headers = [
                *response.headers,
                ("Content-Length", _content_length(response)),
                ("Connection", "close"),
            ]
            self.send(_head(response.status, headers))
            self.send(h11.Data(data=response.body))
            self.send(h11.EndOfMessage())
        self.close()

    def _dispatch(self) -> None:
        self._stop_timer()
        head = self._head
        assert head is not None
        fields = tuple(
            (name.decode("ascii"), value.decode("latin-1"))
            for name, value in head.headers
        )
        request = Request(
            head.method.decode("ascii"),
            head.target.decode("ascii"),
            dict(fields),
            bytes(self._body),
            fields,
        )
        self._body.clear()
        exchange = Exchange(self, request)
        self._task = asyncio.create_task(self._run(exchange))

    async def _run(self, exchange: Exchange) -> None:
        try:
            await self._server.handler(exchange)
        except errors.RequestError as caught:
            self._send_error(exchange, caught)
        except Exception as caught:  # Must not affect other requests.
            self._server.report_failed(caught)
            reason = f"internal error: {type(caught).__name__}"
            self._send_error(exchange, errors.AttemptLostError(reason))
        finally:
            self._task = None
            self._head = None
            self._release_body()
        self._start_next_request()

    def _send_error(
        self, exchange: Exchange, error: errors.RequestError
    ) -> None:
        if exchange.started:
            self.abort()
        else:
            exchange.send(error_response(error))

    def _start_next_request(self) -> None:
        if self.lost.is_set():
            return
        if (
            self._h11.our_state is not h11.DONE
            or self._h11.their_state is not h11.DONE
            or self._server.stopping
        ):
            self.close()
            return
        self._h11.start_next_cycle()
        self._has_skipped_line = False
        self._server.mark_idle(self)
        self._limits = self._server.limits
        self._begin_idle()
        self._process_input()


class HttpServer:
    """A server and its open connections."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], Limits],
        on_refused: Callable[[errors.RequestError], None],
        on_failed: Callable[[Exception], None],
    ):
        self._handler = handler
        self._limits = limits
        self._on_refused = on_refused
        self._on_failed = on_failed
        # Ordered by when they were opened or last became idle.
        self._connections: dict[_Connection, None] = {}
        self._buffered_body_bytes = 0
        self._server: asyncio.Server | None = None
        self._stopping = False

    @property
    def handler(self) -> Handler:
        """Handler of all requests."""
        return self._handler

    @property
    def limits(self) -> Limits:
        """Limits in force for the next request."""
        return self._limits()

    @property
    def open_work(self) -> OpenWork:
        """What the open connections still have to do."""
        connections = self._connections
        return OpenWork(
            len(connections),
            sum(not connection.idle for connection in connections),
            sum(connection.has_begun for connection in connections),
            sum(connection.unsent_bytes for connection in connections),
        )

    @property
    def stopping(self) -> bool:
        """Whether each connection closes after its current request."""
        return self._stopping

    def add(self, connection: _Connection) -> bool:
        """Registers a connection; at the limit, evicts the longest idle one.

        Returns:
            False when the limit is reached and no connection is idle.
        """
        if len(self._connections) >= self.limits.connections:
            idle = self._find_evictable()
            if idle is None:
                self.report_refused(
                    errors.UnavailableError("too many connections")
                )
                return False
            idle.evict()
        self._connections[connection] = None
        return True

    def _find_evictable(self) -> _Connection | None:
        """Returns the connection that has been idle longest, or None.

        One whose client still takes a response is the last choice.
        """
        unsent: _Connection | None = None
        for connection in self._connections:
            if connection.idle and connection.unsent_bytes:
                unsent = unsent or connection
            elif connection.idle and not connection.is_closing:
                return connection
        return unsent

    def mark_idle(self, connection: _Connection) -> None:
        """Moves a connection to the end of the eviction order."""
        if connection in self._connections:
            del self._connections[connection]
            self._connections[connection] = None

    def reserve_body_memory(self, size: int) -> bool:
        """Reserves memory for a part of a request body.

        Args:
            size: Size of the part, bytes.

        Returns:
            False when the limit on buffered bodies would be exceeded.
        """
        if self._buffered_body_bytes + size > self.limits.buffered_body_bytes:
            return False
        self._buffered_body_bytes += size
        return True

    def release_body_memory(self, size: int) -> None:
        """Returns the memory that was reserved for a request body."""
        self._buffered_body_bytes -= size

    def remove(self, connection: _Connection) -> None:
        """Unregisters a connection."""
        self._connections.pop(connection, None)

    def report_refused(self, error: errors.RequestError) -> None:
        """Reports a request or connection that was rejected."""
        self._on_refused(error)

    def report_failed(self, error: Exception) -> None:
        """Reports an unexpected exception of a handler."""
        self._on_failed(error)

    async def listen(self, address: vms.Address) -> None:
        """Starts to listen.

        Raises:
            OSError: The address cannot be used.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self),
            address.host,
            address.port,
            backlog=1024,
            reuse_address=True,
        )

    def disable_keep_alive(self) -> None:
        """Closes each connection after its next response, not while idle."""
        self._stopping = True

    def drain(self, idle_s: float = 0.0) -> None:
        """Closes idle connections, and others after their request.

        Args:
            idle_s: Time for which a connection must have been idle, seconds.
        """
        self._stopping = True
        for connection in list(self._connections):
            if connection.idle_s > idle_s:
                connection.close()

    def offer_unsent_bytes(self) -> None:
        """Makes the kernel take what is unsent, as far as its limit allows.

        It sends that also after the process has exited.
        """
        for connection in self._connections:
            connection.offer_unsent_bytes()

    def stop_listening(self) -> None:
        """Stops accepting connections; open ones are still served."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        self._stopping = True
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()
        await asyncio.sleep(0)


def _ignore(_: Exception) -> None:
    pass


async def serve(
    address: vms.Address,
    handler: Handler,
    body_bytes_max: int = BODY_BYTES_MAX,
    on_refused: Callable[[errors.RequestError], None] = _ignore,
    on_failed: Callable[[Exception], None] = _ignore,
    limits: Callable[[], Limits] | None = None,
) -> HttpServer:
    """Starts a server.

    Args:
        address: Address to listen on.
        handler: Coroutine function that answers each request; a RequestError
            that it raises is sent as the response.
        body_bytes_max: Maximum size of a request body, bytes; used only
            without `limits`.
        on_refused: Called with the error of each request that could not be
            read and of each connection over the limit.
        on_failed: Called with each unexpected exception of the handler.
        limits: Returns the limits for the next request of a connection.

    Returns:
        The server.

    Raises:
        OSError: The address cannot be used.
    """
    default_limits = Limits(body_bytes=body_bytes_max)
    server = HttpServer(
        handler, limits or (lambda: default_limits), on_refused, on_failed
    )
    await server.listen(address)
    return server
