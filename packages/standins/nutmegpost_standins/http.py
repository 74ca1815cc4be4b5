"""A small HTTP/1.1 server and client over h11 for the stand-ins.

The stand-ins share no code with the router, so that a fault in the router's
HTTP modules cannot hide itself by standing on both sides.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import itertools
import json
import sys
import traceback
from typing import Any, NamedTuple
import urllib.parse

import h11

__all__ = [
    "BODY_BYTES_MAX",
    "Exchange",
    "Handler",
    "Reply",
    "Request",
    "Response",
    "Server",
    "error",
    "exchange",
    "json_response",
    "request",
    "serve",
    "split_address",
]

BODY_BYTES_MAX = 8_000_000
_READ_BYTES = 65_536
_BUFFER_BYTES_MAX = 262_144


class Request(NamedTuple):
    """A request as the server received it.

    Attributes:
        method: Method.
        path: Path without the query.
        query: Last value of each parameter of the query.
        headers: Headers by lower-case name.
        body: Whole body.
        connection: Number of the connection it came on, from 0.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    connection: int


class Response(NamedTuple):
    """What a handler answers.

    Attributes:
        status: HTTP status.
        body: Whole body; unused when `stream` is given.
        headers: Further headers.
        stream: Body in pieces, sent as they come.
        drop: Closes the connection without an answer.
    """

    status: int
    body: bytes = b""
    headers: dict[str, str] = {}  # noqa: RUF012
    stream: AsyncIterator[bytes] | None = None
    drop: bool = False


class Reply(NamedTuple):
    """An answer that the client read to its end.

    Attributes:
        status: HTTP status.
        headers: Headers by lower-case name.
        body: Whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


Handler = Callable[[Request], Awaitable[Response]]


def split_address(address: str) -> tuple[str, int]:
    """Splits `host:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def json_response(
    value: Any, status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    """Returns a response with a JSON body."""
    kind = {"content-type": "application/json"}
    return Response(status, json.dumps(value).encode(), kind | (headers or {}))


def error(status: int, code: str, message: str = "") -> Response:
    """Returns a response with an error body."""
    body = {"error": {"code": code, "message": message or code}}
    return json_response(body, status)


class Server:
    """A listening server and its connections."""

    def __init__(self, handler: Handler):
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count()

    @property
    def address(self) -> str:
        """Address that the server is bound to."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self, address: str) -> None:
        """Binds to an address and accepts connections."""
        host, port = split_address(address)
        self._server = await asyncio.start_server(
            self._accept, host, port, backlog=1024
        )

    async def close(self) -> None:
        """Closes the listening socket and every connection."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._converse(reader, writer, next(self._numbers))
        except (OSError, h11.ProtocolError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _converse(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            found = await _read_request(connection, reader, writer, number)
            if found is None:
                return
            response = await self._answer(found)
            if response.drop:
                writer.transport.abort()
                return
            await _write_response(connection, writer, response)
            if connection.our_state is not h11.DONE:
                return
            connection.start_next_cycle()

    async def _answer(self, found: Request) -> Response:
        try:
            return await self._handler(found)
        except Exception as caught:
            traceback.print_exc(file=sys.stderr)
            return error(500, "internal", str(caught))


async def serve(address: str, handler: Handler) -> Server:
    """Starts a server.

    Args:
        address: `host:port` to bind to; port 0 takes a free one.
        handler: Answers each request.

    Returns:
        The running server.
    """
    server = Server(handler)
    await server.start(address)
    return server


async def _next_event(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> Any:
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        connection.receive_data(await reader.read(_READ_BYTES))


def _decode_headers(headers: Any) -> dict[str, str]:
    return {name.decode(): value.decode("latin-1") for name, value in headers}


async def _read_request(
    connection: h11.Connection,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    number: int,
) -> Request | None:
    event = await _next_event(connection, reader)
    if not isinstance(event, h11.Request):
        return None
    if connection.they_are_waiting_for_100_continue:
        go_on = h11.InformationalResponse(status_code=100, headers=[])
        writer.write(connection.send(go_on))
    body = bytearray()
    while True:
        piece = await _next_event(connection, reader)
        if not isinstance(piece, h11.Data):
            break
        body += piece.data
        if len(body) > BODY_BYTES_MAX:
            return None
    target = urllib.parse.urlsplit(event.target.decode())
    query = dict(urllib.parse.parse_qsl(target.query))
    headers = _decode_headers(event.headers)
    return Request(
        event.method.decode(), target.path, query, headers, bytes(body), number
    )


async def _write_response(
    connection: h11.Connection,
    writer: asyncio.StreamWriter,
    response: Response,
) -> None:
    headers = list(response.headers.items())
    if response.stream is None:
        headers.append(("content-length", str(len(response.body))))
    head = h11.Response(status_code=response.status, headers=headers)
    start = connection.send(head) or b""
    if response.stream is None:
        start += connection.send(h11.Data(data=response.body)) or b""
        writer.write(start + (connection.send(h11.EndOfMessage()) or b""))
        await writer.drain()
        return
    writer.write(start)
    await _write_stream(connection, writer, response.stream)


async def _write_stream(
    connection: h11.Connection,
    writer: asyncio.StreamWriter,
    stream: AsyncIterator[bytes],
) -> None:
    try:
        async for piece in stream:
            if writer.is_closing():
                raise ConnectionResetError
            writer.write(connection.send(h11.Data(data=piece)) or b"")
            if writer.transport.get_write_buffer_size() > _BUFFER_BYTES_MAX:
                await writer.drain()
    finally:
        close = getattr(stream, "aclose", None)
        if close is not None:
            await close()
    writer.write(connection.send(h11.EndOfMessage()) or b"")
    await writer.drain()


class Exchange:
    """One request on a connection of its own, answered in pieces."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self._reader = reader
        self._writer = writer
        self._connection = h11.Connection(h11.CLIENT)
        self._status = 0
        self._headers: dict[str, str] = {}

    @property
    def status(self) -> int:
        """HTTP status of the answer."""
        return self._status

    @property
    def headers(self) -> dict[str, str]:
        """Headers of the answer by lower-case name."""
        return self._headers

    async def send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        """Sends the request and reads the head of its answer."""
        lines = [*headers.items(), ("content-length", str(len(body)))]
        head = h11.Request(method=method, target=target, headers=lines)
        data = self._connection.send(head) or b""
        data += self._connection.send(h11.Data(data=body)) or b""
        self._writer.write(data)
        self._connection.send(h11.EndOfMessage())
        await self._writer.drain()
        event = await _next_event(self._connection, self._reader)
        while isinstance(event, h11.InformationalResponse):
            event = await _next_event(self._connection, self._reader)
        if not isinstance(event, h11.Response):
            raise ConnectionResetError("closed before the answer")
        self._status = event.status_code
        self._headers = _decode_headers(event.headers)

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yields the body as it comes.

        Raises:
            OSError: The connection ended before the body did.
        """
        while True:
            try:
                event = await _next_event(self._connection, self._reader)
            except h11.RemoteProtocolError as caught:
                raise ConnectionResetError(str(caught)) from caught
            if not isinstance(event, h11.Data):
                return
            yield bytes(event.data)

    async def read(self) -> bytes:
        """Returns the whole body."""
        return b"".join([piece async for piece in self.pieces()])


@contextlib.asynccontextmanager
async def exchange(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> AsyncIterator[Exchange]:
    """Sends a request on a new connection that ends with the context.

    Raises:
        OSError: The connection failed before the head of the answer.
    """
    host, port = split_address(address)
    reader, writer = await asyncio.open_connection(host, port)
    try:
        found = Exchange(reader, writer)
        lines = {"host": address} | (headers or {})
        try:
            await found.send(method, target, lines, body)
        except h11.RemoteProtocolError as caught:
            raise ConnectionResetError(str(caught)) from caught
        yield found
    finally:
        writer.transport.abort()


async def request(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout: float = 10.0,
) -> Reply:
    """Sends a request and reads the whole answer.

    Args:
        address: `host:port` of the server.
        method: Method.
        target: Path and query.
        headers: Headers.
        body: Body.
        timeout: Seconds for all of it.

    Returns:
        The answer.

    Raises:
        OSError: No whole answer came; `TimeoutError` after the timeout.
    """
    async with (
        asyncio.timeout(timeout),
        exchange(address, method, target, headers, body) as found,
    ):
        return Reply(found.status, found.headers, await found.read())
