"""Tests of connections whose peers read late, or went silent for good."""

import asyncio
import contextlib
import ctypes
import socket
import struct

import pytest

from nutmegpost_core import vms
from nutmegpost_router import http_client
from nutmegpost_router import http_server
from nutmegpost_router import sockets

HOST = "127.0.0.1"
WINDOW_BYTES = 4096
REQUEST = b"GET /%b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
# Time that a window stays closed, longer than that of a dead peer.
CLOSED_S = 3.5
NOTICED_WITHIN_S = 3.0
SO_ATTACH_FILTER = 26


def _small_socket():
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    sock.setblocking(False)
    return sock


def silence(transport):
    """Makes the kernel drop, unacknowledged, all that a socket receives."""
    program = ctypes.create_string_buffer(struct.pack("HBBI", 6, 0, 0, 0))
    descriptor = struct.pack("HP", 1, ctypes.addressof(program))
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, SO_ATTACH_FILTER, descriptor
    )


async def _answer_in_one_or_more_parts(exchange):
    kind, size = exchange.request.target.strip("/").split("/")
    body = b"x" * int(size)
    if kind == "plain":
        exchange.send(http_server.Response(200, [], body))
        return
    exchange.start(200, [])
    for start in range(0, len(body), 1000):
        exchange.write(body[start : start + 1000])
        await exchange.drain()
        await asyncio.sleep(0.001)
    exchange.finish()


async def _read_slowly(address, kind, size, late_s, bytes_per_s):
    """Returns how many bytes of a body arrived; -1 for a reset."""
    loop = asyncio.get_running_loop()
    with _small_socket() as sock:
        await loop.sock_connect(sock, tuple(address))
        target = f"{kind}/{size}".encode()
        await loop.sock_sendall(sock, REQUEST % target)
        await asyncio.sleep(late_s)
        received = b""
        while True:
            try:
                data = await loop.sock_recv(sock, 1000)
            except ConnectionError:
                return -1
            if not data:
                return received.count(b"x")
            received += data
            if bytes_per_s:
                await asyncio.sleep(len(data) / bytes_per_s)


def test_caller_that_reads_late_or_slowly_gets_its_whole_answer():
    cases = [
        (kind, *case)
        for kind in ("plain", "stream")
        for case in (
            (60_000, CLOSED_S, 0),
            (60_000, 0, 15_000),
            (14_000, 0, 3_000),
        )
        for _ in range(2)
    ]

    async def main():
        server = await http_server.serve(
            vms.Address(HOST, 0), _answer_in_one_or_more_parts
        )
        address = server._server.sockets[0].getsockname()
        sizes = await asyncio.gather(
            *(_read_slowly(address, *case) for case in cases)
        )
        await server.close()
        return sizes

    assert asyncio.run(main()) == [case[1] for case in cases]


class _Endpoint:
    """Reads the bodies of requests late; its window is small meanwhile.

    Attributes:
        answers_first: Whether it answers before it reads the body.
        received: Size of each body.
    """

    def __init__(self, answers_first):
        self.answers_first = answers_first
        self.received = []
        self.transports = []

    async def start(self):
        sock = _small_socket()
        sock.bind((HOST, 0))
        # The limit makes the stream pause reading at once.
        await asyncio.start_server(self._serve, sock=sock, limit=64)
        return vms.Address(*sock.getsockname())

    async def _serve(self, reader, writer):
        self.transports.append(writer.transport)
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
        ):
            while True:
                size = 0
                async for line in reader:
                    if line == b"\r\n":
                        break
                    name, _, value = line.partition(b":")
                    if name.lower() == b"content-length":
                        size = int(value)
                if self.answers_first:
                    writer.write(answer)
                if size:
                    await asyncio.sleep(CLOSED_S)
                self.received.append(len(await reader.readexactly(size)))
                if not self.answers_first:
                    writer.write(answer)


@pytest.mark.parametrize("answers_first", [False, True])
def test_endpoint_that_reads_a_long_body_late_gets_all_of_it(answers_first):
    async def main():
        endpoint = _Endpoint(answers_first)
        address = await endpoint.start()
        client = http_client.Client()
        response = await client.request(
            address, "POST", "/", {}, b"b" * 72_000, timeout_s=8
        )
        assert response.body == b"ok"
        async with asyncio.timeout(8):
            while not endpoint.received:
                await asyncio.sleep(0.02)
        return endpoint.received

    assert asyncio.run(main()) == [72_000]


def test_request_on_a_connection_that_went_silent_fails_soon():
    async def main():
        endpoint = _Endpoint(False)
        address = await endpoint.start()
        client = http_client.Client()
        await client.request(address, "GET", "/", {})
        silence(endpoint.transports[0])
        loop = asyncio.get_running_loop()
        start = loop.time()
        with pytest.raises(http_client.ExchangeError):
            await client.request(address, "GET", "/", {}, timeout_s=9)
        return loop.time() - start

    assert asyncio.run(main()) < NOTICED_WITHIN_S


def test_request_that_waits_on_a_connection_that_goes_silent_fails_soon():
    async def main():
        server = await http_server.serve(
            vms.Address(HOST, 0), lambda exchange: exchange.disconnected.wait()
        )
        address = vms.Address(*server._server.sockets[0].getsockname())
        request = asyncio.create_task(
            http_client.Client().request(address, "GET", "/", {}, timeout_s=9)
        )
        await asyncio.sleep(0.2)
        (connection,) = server._connections
        silence(connection._transport)
        loop = asyncio.get_running_loop()
        start = loop.time()
        with pytest.raises(http_client.ExchangeError):
            await request
        return loop.time() - start

    assert asyncio.run(main()) < NOTICED_WITHIN_S


def test_caller_that_went_silent_is_noticed_soon_while_it_is_answered():
    ended = asyncio.Event()

    async def stream(exchange):
        exchange.cancel_on_disconnect()
        exchange.start(200, [])
        try:
            while True:
                exchange.write(b"x" * 100)
                await asyncio.sleep(0.1)
        finally:
            ended.set()

    async def main():
        server = await http_server.serve(vms.Address(HOST, 0), stream)
        address = server._server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(REQUEST % b"")
        await reader.readline()
        silence(writer.transport)
        async with asyncio.timeout(NOTICED_WITHIN_S):
            await ended.wait()
        writer.close()

    asyncio.run(main())


def _fail(_):
    raise OSError("no TCP_INFO")


def test_dead_peers_are_noticed_where_the_system_lacks_tcp_info(monkeypatch):
    monkeypatch.setattr(sockets, "_read_progress", _fail)
    sockets._tells_progress.cache_clear()
    try:
        test_caller_that_went_silent_is_noticed_soon_while_it_is_answered()
    finally:
        sockets._tells_progress.cache_clear()


class _Transport:
    def __init__(self, sock):
        self._socket = sock

    def get_extra_info(self, _):
        return self._socket


def _send_buffer_bytes(sock):
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)


def test_send_buffer_that_is_larger_than_an_option_can_make_it_stays(
    monkeypatch,
):
    with socket.socket() as sock:
        before = _send_buffer_bytes(sock)
        monkeypatch.setattr(sockets, "_largest_send_buffer", lambda: before - 1)
        sockets.enlarge_send_buffer(_Transport(sock), 1000)
        assert _send_buffer_bytes(sock) == before
        monkeypatch.undo()
        sockets.enlarge_send_buffer(_Transport(sock), 1000)
        assert _send_buffer_bytes(sock) > before
