"""An HTTP/1.1 server on h11 and asyncio.

A connection is owned by its protocol object. Each request gets an `Exchange`,
through which its handler answers at once or in pieces.
"""

import asyncio
from collections.abc import Awaitable, Callable
import json
import re
from typing import NamedTuple

import h11

from nutmegpost_core import errors
from nutmegpost_core import vms
from nutmegpost_router import sockets

__all__ = [
    "BODY_BYTES_MAX",
    "Exchange",
    "Handler",
    "HttpServer",
    "Limits",
    "Request",
    "Response",
    "error_response",
    "responder",
    "serve",
]

BODY_BYTES_MAX = 2_000_000
HEADER_BYTES_MAX = 32_768
HEADER_COUNT_MAX = 64
REQUEST_TIMEOUT_S = 15.0
IDLE_TIMEOUT_S = 75.0
CONNECTION_COUNT_MAX = 20_000
HELD_BYTES_MAX = 256_000_000
# A body finds room once another request was answered.
_RETRY_AFTER_HELD_S = 0.5
# A handler waits once this much of its answer is not yet taken by the caller.
WRITE_BUFFER_BYTES = 262_144


# A line feed without its carriage return, or a folded header line.
_ODD_LINE = re.compile(rb"(?<!\r)\n|\n[ \t]")


class Limits(NamedTuple):
    """Bounds on what a caller sends, and on how long it takes.

    Attributes:
        header_bytes: Most bytes of the head of a request.
        body_bytes: Most bytes of its body.
        request_timeout_s: Longest time from its first byte to its last.
        idle_timeout_s: Longest time between two requests.
        connections: Most connections at once; over it, one that is idle is
            closed for a new one.
        held_bytes: Most bytes of the bodies of all requests at once.
    """

    header_bytes: int = HEADER_BYTES_MAX
    body_bytes: int = BODY_BYTES_MAX
    request_timeout_s: float = REQUEST_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S
    connections: int = CONNECTION_COUNT_MAX
    held_bytes: int = HELD_BYTES_MAX


class Request(NamedTuple):
    """A complete request.

    Attributes:
        method: HTTP method.
        target: Path with query.
        headers: Header values by lower-case name.
        body: The body.
        fields: All header lines in order, names in lower case.
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
    """Returns the response that tells a caller of an error."""
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
    """One request and the means to answer it."""

    def __init__(self, connection: "_Connection", request: Request):
        self._connection = connection
        self._request = request
        self._started = False
        self._status = 0

    @property
    def status(self) -> int:
        """Status of the response; 0 before it is begun."""
        return self._status

    @property
    def request(self) -> Request:
        """The request."""
        return self._request

    @property
    def started(self) -> bool:
        """Whether a response was begun."""
        return self._started

    @property
    def gone(self) -> asyncio.Event:
        """Set once the caller's connection is lost."""
        return self._connection.lost

    def send(self, response: Response) -> None:
        """Sends a complete response."""
        self._started = True
        self._status = response.status
        headers = [*response.headers, ("Content-Length", _length(response))]
        connection = self._connection
        connection.send_head(response.status, headers)
        if response.body and self._request.method != "HEAD":
            connection.send(h11.Data(data=response.body))
        connection.send(h11.EndOfMessage())

    def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Begins a response that is sent in pieces."""
        self._started = True
        self._status = status
        self._connection.send_head(status, headers)

    def write(self, data: bytes) -> None:
        """Sends a piece of the response."""
        self._connection.send(h11.Data(data=data))

    def finish(self, trailers: list[tuple[str, str]] | None = None) -> None:
        """Ends a response that was sent in pieces.

        Args:
            trailers: Headers that are known only now.
        """
        self._connection.send(h11.EndOfMessage(headers=trailers or []))

    async def drain(self) -> None:
        """Waits while the caller takes its data too slowly."""
        await self._connection.drain()

    def cancel_when_gone(self) -> None:
        """Makes the loss of the caller's connection cancel the handler."""
        self._connection.cancels_handler = True

    def abort(self) -> None:
        """Breaks the connection, so that the answer is not taken as whole."""
        self._connection.abort()


def responder(
    handle: Callable[[Request], Awaitable[Response]],
) -> Handler:
    """Returns a handler that answers each request at once."""

    async def run(exchange: Exchange) -> None:
        exchange.send(await handle(exchange.request))

    return run


def _length(response: Response) -> str:
    return str(len(response.body))


def _head(status: int, headers: list[tuple[str, str]]) -> h11.Response:
    return h11.Response(status_code=status, headers=headers)


class _Connection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, server: "HttpServer"):
        self._server = server
        self._limits = server.limits
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._held_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._timer: asyncio.TimerHandle | None = None
        self.lost = asyncio.Event()
        self.cancels_handler = False

    @property
    def idle(self) -> bool:
        """Whether no request is being received or answered."""
        return self._task is None and self._head is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the new connection, or refuses it over the limit."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        sockets.detect_silence(transport)
        if not self._server.add(self):
            transport.close()
            return
        self._arm(self._limits.idle_timeout_s, self.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """Lets the handler know that its caller is gone."""
        self._disarm()
        self._server.remove(self)
        self._writable.set()
        self.lost.set()
        if self._task is None:
            self._release_body()
        if self.cancels_handler and self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Holds the handler back."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Lets the handler go on."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Feeds the parser."""
        self._h11.receive_data(data)
        if self._task is None:
            if self._h11.their_state is h11.IDLE and self._head is None:
                self._arm(self._limits.request_timeout_s, self._time_out)
            self._advance()

    def eof_received(self) -> bool:
        """Closes when the caller closes."""
        return False

    def send(self, event: h11.Event) -> None:
        """Writes a part of the response."""
        if self.lost.is_set():
            return
        data = self._h11.send(event)
        if data and self._transport is not None:
            self._transport.write(data)

    def send_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Begins a response."""
        if self._server.stopping:
            headers = [*headers, ("Connection", "close")]
        self.send(_head(status, headers))

    async def drain(self) -> None:
        """Waits until the transport takes more."""
        if not self._writable.is_set():
            await self._writable.wait()

    def close(self) -> None:
        """Closes the connection."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Resets the connection without sending what waits."""
        if self._transport is not None:
            self._transport.abort()

    def _arm(self, seconds: float, call: Callable[[], None]) -> None:
        self._disarm()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, call)

    def _time_out(self) -> None:
        self._refuse(
            errors.InvalidRequestError("request was not received in time", 408)
        )

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _advance(self) -> None:
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
                self._check_lines()
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                self._continue_expected()
                return
            if event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self._begin(event)
            elif isinstance(event, h11.Data):
                self._add_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._dispatch()
                return
            elif isinstance(event, h11.ConnectionClosed):
                self.close()
                return

    def _continue_expected(self) -> None:
        if self._h11.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))

    def _check_lines(self) -> None:
        # The parser takes bare line feeds and folded lines; what another
        # parser makes of them may be another request.
        head, _, _ = self._h11.trailing_data[0].partition(b"\r\n\r\n")
        if _ODD_LINE.search(head):
            raise errors.InvalidRequestError("line ends out of protocol")

    def _begin(self, event: h11.Request) -> None:
        names = {name for name, _ in event.headers}
        if {b"content-length", b"transfer-encoding"} <= names:
            raise errors.InvalidRequestError("both a length and chunks")
        if len(event.headers) > HEADER_COUNT_MAX:
            raise errors.InvalidRequestError(
                f"more than {HEADER_COUNT_MAX} headers", 431
            )
        # The parser looks at the size of incomplete heads only.
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
        if not self._server.hold(len(data)):
            raise errors.UnavailableError(
                "no memory is left for the body",
                retry_after=_RETRY_AFTER_HELD_S,
            )
        self._held_bytes += len(data)
        self._body += data
        if len(self._body) > self._limits.body_bytes:
            raise errors.InvalidRequestError(
                f"body over {self._limits.body_bytes} bytes", 413
            )

    def _release_body(self) -> None:
        self._server.release(self._held_bytes)
        self._held_bytes = 0

    def _refuse(self, error: errors.RequestError) -> None:
        self._server.refused(error)
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            response = error_response(error)
            headers = [
                *response.headers,
                ("Content-Length", _length(response)),
                ("Connection", "close"),
            ]
            self.send(_head(response.status, headers))
            self.send(h11.Data(data=response.body))
            self.send(h11.EndOfMessage())
        self.close()

    def _dispatch(self) -> None:
        self._disarm()
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
            self._fail(exchange, caught)
        except Exception as caught:  # A fault of one request ends only it.
            self._server.failed(caught)
            reason = f"internal error: {type(caught).__name__}"
            self._fail(exchange, errors.AttemptLostError(reason))
        finally:
            self._task = None
            self._head = None
            self._release_body()
        self._next()

    def _fail(self, exchange: Exchange, error: errors.RequestError) -> None:
        if exchange.started:
            self.abort()
        else:
            exchange.send(error_response(error))

    def _next(self) -> None:
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
        self._server.became_idle(self)
        self._limits = self._server.limits
        self._arm(self._limits.idle_timeout_s, self.close)
        self._advance()


class HttpServer:
    """A listening server with its connections."""

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
        # In the order in which they became idle or were made.
        self._connections: dict[_Connection, None] = {}
        self._held_bytes = 0
        self._server: asyncio.Server | None = None
        self._stopping = False

    @property
    def handler(self) -> Handler:
        """What answers the requests."""
        return self._handler

    @property
    def limits(self) -> Limits:
        """Bounds on the next request."""
        return self._limits()

    @property
    def busy(self) -> int:
        """Connections with a request that is received or answered."""
        return sum(not connection.idle for connection in self._connections)

    @property
    def stopping(self) -> bool:
        """Whether connections close after their current request."""
        return self._stopping

    def add(self, connection: _Connection) -> bool:
        """Counts a new connection; False when there are too many."""
        if len(self._connections) >= self.limits.connections:
            idle = next((x for x in self._connections if x.idle), None)
            if idle is None:
                self.refused(errors.UnavailableError("too many connections"))
                return False
            self.remove(idle)
            idle.close()
        self._connections[connection] = None
        return True

    def became_idle(self, connection: _Connection) -> None:
        """Notes that a connection waits for its next request."""
        if connection in self._connections:
            del self._connections[connection]
            self._connections[connection] = None

    def hold(self, size: int) -> bool:
        """Counts bytes of a body; False when there is no room for them."""
        if self._held_bytes + size > self.limits.held_bytes:
            return False
        self._held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Counts bytes of a body that is not needed any more."""
        self._held_bytes -= size

    def remove(self, connection: _Connection) -> None:
        """Forgets a connection that was lost."""
        self._connections.pop(connection, None)

    def refused(self, error: errors.RequestError) -> None:
        """Reports a request that could not be read."""
        self._on_refused(error)

    def failed(self, error: Exception) -> None:
        """Reports a fault of a handler."""
        self._on_failed(error)

    async def listen(self, address: vms.Address) -> None:
        """Starts to listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self),
            address.host,
            address.port,
            backlog=1024,
            reuse_address=True,
        )

    def retire(self) -> None:
        """Closes each connection after its next answer, and none before."""
        self._stopping = True

    def drain(self) -> None:
        """Closes idle connections now and others after their request."""
        self._stopping = True
        for connection in list(self._connections):
            if connection.idle:
                connection.close()

    def stop_listening(self) -> None:
        """Takes no new connections; open ones are served on."""
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
        address: Where to listen.
        handler: Answers each request; a RequestError it raises is sent.
        body_bytes_max: Most bytes of a request body, without `limits`.
        on_refused: Told of each request that could not be read.
        on_failed: Told of each fault of the handler.
        limits: Gives the bounds for the next request of a connection.

    Returns:
        The server.

    Raises:
        OSError: The address cannot be used.
    """
    fixed = Limits(body_bytes=body_bytes_max)
    server = HttpServer(
        handler, limits or (lambda: fixed), on_refused, on_failed
    )
    await server.listen(address)
    return server
