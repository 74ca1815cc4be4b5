"""Connections of requests that wait for their answer while packets are lost."""

import asyncio
import ctypes
import socket
import struct

import pytest

from nutmegpost_core import vms
from nutmegpost_router import http_client
from nutmegpost_router import http_server

# Options and the one instruction (return 0) of Linux socket filters.
_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27
_DROP_ALL = struct.pack("HBBI", 6, 0, 0, 0)
# Time after the request at which the first keepalive probe is sent.
_FIRST_PROBE_S = 1.0
_ANSWER_AFTER_S = 3.5


async def _lose_first_probe(sock):
    """Drops what arrives at a socket around the first keepalive probe."""
    await asyncio.sleep(_FIRST_PROBE_S - 0.3)
    code = ctypes.create_string_buffer(_DROP_ALL)
    program = struct.pack("HP", 1, ctypes.addressof(code))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)
    await asyncio.sleep(0.6)
    sock.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)


async def _ask_a_server_that_answers_late():
    async def answer(exchange):
        exchange.cancel_on_disconnect()
        await asyncio.sleep(_ANSWER_AFTER_S)
        exchange.send(http_server.Response(200, [], b"whole"))

    server = await http_server.serve(vms.Address("127.0.0.1", 0), answer)
    address = server._server.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    await _lose_first_probe(writer.get_extra_info("socket"))
    answer = await reader.read()
    await server.close()
    return answer


async def _ask_by_a_client():
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
        await _lose_first_probe(writer.get_extra_info("socket"))
        await asyncio.sleep(_ANSWER_AFTER_S - _FIRST_PROBE_S)
        writer.write(b"whole")

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    address = vms.Address(*server.sockets[0].getsockname())
    client = http_client.Client()
    response = await client.request(address, "GET", "/", {}, timeout_s=9)
    client.close()
    server.close()
    return response.body


# Guards against requests that one lost packet ends without a whole answer.
@pytest.mark.parametrize(
    "ask", [_ask_a_server_that_answers_late, _ask_by_a_client]
)
def test_one_lost_keepalive_probe_does_not_end_a_request(ask):
    answer = asyncio.run(asyncio.wait_for(ask(), 20))
    assert answer.endswith(b"whole")
