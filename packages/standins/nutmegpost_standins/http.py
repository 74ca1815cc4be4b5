"""A small HTTP/1.1 server and client over h11 for the stand-ins.

The stand-ins share no code with the router: a bug in the router's HTTP modules
would go unnoticed if both ends of a connection had it.
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
_WRITE_BUFFER_BYTES_MAX = 262_144


class Request(NamedTuple):
    """A request as the server received it.

    Attributes:
        method: Method.
        path: Path without the query.
        query: Query parameters; the last value of a repeated one.
        headers: Headers by lower-case name.
        body: Complete body.
        connection: Number of the server's connection, from 0.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    connection: int


class Response(NamedTuple):
    """A response that a handler returns.

    Attributes:
        status: HTTP status.
        body: Complete body; unused when `stream` is given.
        headers: Headers; the server adds the length of `body`.
        stream: Chunks of a streamed body.
        drop: Whether to abort the connection instead of responding.
    """

    status: int
    body: bytes = b""
    headers: dict[str, str] = {}  # noqa: RUF012
    stream: AsyncIterator[bytes] | None = None
    drop: bool = False


class Reply(NamedTuple):
    """A response that the client has read completely.

    Attributes:
        status: HTTP status.
        headers: Headers by lower-case name.
        body: Complete body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


Handler = Callable[[Request], Awaitable[Response]]


def split_address(address: str) -> tuple[str, int]:
    """Splits `host:port` into the host and the port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def json_response(
    value: Any, status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    """Returns a response with a JSON body."""
    content_type = {"content-type": "application/json"}
    return Response(
        status, json.dumps(value).encode(), content_type | (headers or {})
    )


def error(status: int, code: str, message: str = "") -> Response:
    """Returns a response with a JSON error body.

    Args:
        status: HTTP status.
        code: Error code.
        message: Error message; the code when empty.
    """
    body = {"error": {"code": code, "message": message or code}}
    return json_response(body, status)


class Server:
    """An HTTP server and its open connections."""

    def __init__(self, handler: Handler):
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._connection_numbers = itertools.count()

    @property
    def address(self) -> str:
        """`host:port` that the server is bound to."""
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
            await self._serve_connection(
                reader, writer, next(self._connection_numbers)
            )
        except (OSError, h11.ProtocolError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection_number: int,
    ) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            received = await _read_request(
                connection, reader, writer, connection_number
            )
            if received is None:
                return
            response = await self._call_handler(received)
            if response.drop:
                writer.transport.abort()
                return
            await _write_response(connection, writer, response)
            if connection.our_state is not h11.DONE:
                return
            connection.start_next_cycle()

    async def _call_handler(self, received: Request) -> Response:
        try:
            return await self._handler(received)
        except Exception as caught:
            traceback.print_exc(file=sys.stderr)
            return error(500, "internal", str(caught))


async def serve(address: str, handler: Handler) -> Server:
    """Starts a server.

    Args:
        address: `host:port` to bind to; port 0 selects a free port.
        handler: Returns the response to each request.

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
    connection_number: int,
) -> Request | None:
    event = await _next_event(connection, reader)
    if not isinstance(event, h11.Request):
        return None
    if connection.they_are_waiting_for_100_continue:
        continue_response = h11.InformationalResponse(
            status_code=100, headers=[]
        )
        writer.write(connection.send(continue_response))
    body = bytearray()
    while True:
        chunk = await _next_event(connection, reader)
        if not isinstance(chunk, h11.Data):
            break
        body += chunk.data
        if len(body) > BODY_BYTES_MAX:
            return None
    target = urllib.parse.urlsplit(event.target.decode())
    query = dict(urllib.parse.parse_qsl(target.query))
    headers = _decode_headers(event.headers)
    return Request(
        event.method.decode(),
        target.path,
        query,
        headers,
        bytes(body),
        connection_number,
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
        async for chunk in stream:
            if writer.is_closing():
                raise ConnectionResetError
            writer.write(connection.send(h11.Data(data=chunk)) or b"")
            if (
                writer.transport.get_write_buffer_size()
                > _WRITE_BUFFER_BYTES_MAX
            ):
                await writer.drain()
    finally:
        close = getattr(stream, "aclose", None)
        if close is not None:
            await close()
    writer.write(connection.send(h11.EndOfMessage()) or b"")
    await writer.drain()


class Exchange:
    """A request on its own connection, with a streamed response."""

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
        """HTTP status of the response."""
        return self._status

    @property
    def headers(self) -> dict[str, str]:
        """Headers of the response by lower-case name."""
        return self._headers

    async def send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        """Sends the request and reads the head of the response.

        Raises:
            OSError: The connection ended before the head arrived.
            h11.RemoteProtocolError: The response violates HTTP.
        """
        header_fields = [*headers.items(), ("content-length", str(len(body)))]
        head = h11.Request(method=method, target=target, headers=header_fields)
        data = self._connection.send(head) or b""
        data += self._connection.send(h11.Data(data=body)) or b""
        self._writer.write(data)
        self._connection.send(h11.EndOfMessage())
        await self._writer.drain()
        event = await _next_event(self._connection, self._reader)
        while isinstance(event, h11.InformationalResponse):
            event = await _next_event(self._connection, self._reader)
        if not isinstance(event, h11.Response):
            raise ConnectionResetError("connection closed before the response")
        self._status = event.status_code
        self._headers = _decode_headers(event.headers)

    async def body_chunks(self) -> AsyncIterator[bytes]:
        """Yields the chunks of the body as they arrive.

        Raises:
            OSError: The connection ended before the end of the body.
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
        """Reads and returns the rest of the body."""
        return b"".join([chunk async for chunk in self.body_chunks()])


@contextlib.asynccontextmanager
async def exchange(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> AsyncIterator[Exchange]:
    """Sends a request on a new connection, which closes with the context.

    Args:
        address: `host:port` of the server.
        method: Method.
        target: Path and query.
        headers: Headers.
        body: Body.

    Yields:
        The exchange, after the head of the response has arrived.

    Raises:
        OSError: The connection failed before the head of the response.
    """
    host, port = split_address(address)
    reader, writer = await asyncio.open_connection(host, port)
    try:
        open_exchange = Exchange(reader, writer)
        header_fields = {"host": address} | (headers or {})
        try:
            await open_exchange.send(method, target, header_fields, body)
        except h11.RemoteProtocolError as caught:
            raise ConnectionResetError(str(caught)) from caught
        yield open_exchange
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
    """Sends a request and reads the complete response.

    Args:
        address: `host:port` of the server.
        method: Method.
        target: Path and query.
        headers: Headers.
        body: Body.
        timeout: Seconds for the whole exchange.

    Returns:
        The response.

    Raises:
        OSError: The response is incomplete; `TimeoutError` after the timeout.
    """
    async with (
        asyncio.timeout(timeout),
        exchange(address, method, target, headers, body) as open_exchange,
    ):
        return Reply(
            open_exchange.status,
            open_exchange.headers,
            await open_exchange.read(),
        )
