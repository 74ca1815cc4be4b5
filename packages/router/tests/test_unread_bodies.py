"""Requests whose body the server reads late, or whose answer nobody reads."""

import asyncio
import socket

from nutmegpost_core import vms
from nutmegpost_router import http_client

_EVENT = b"id: 1\ndata: piece\n\n"
_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
_READS_ON_AFTER_S = 3.5


async def _answer_before_reading(listener):
    """Sends events while most of the body is unread, then reads on."""
    loop = asyncio.get_running_loop()
    connection, _ = await loop.sock_accept(listener)
    received = len(await loop.sock_recv(connection, 2048))
    await loop.sock_sendall(connection, _HEAD)
    reads_on_at = loop.time() + _READS_ON_AFTER_S
    while loop.time() < reads_on_at:
        chunk = b"%x\r\n%b\r\n" % (len(_EVENT), _EVENT)
        await loop.sock_sendall(connection, chunk)
        await asyncio.sleep(0.1)
    while received < 100_000:
        received += len(await loop.sock_recv(connection, 65_536))
    await loop.sock_sendall(connection, b"0\r\n\r\n")
    return connection


# Guards against streams that are cut because their body is read late.
def test_stream_goes_on_while_its_body_is_unread():
    async def scenario():
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            server = asyncio.create_task(_answer_before_reading(listener))
            client = http_client.Client()
            address = vms.Address(*listener.getsockname())
            stream = await client.stream(
                address, "POST", "/", {}, bytes(100_000)
            )
            answer = await stream.read_all(9)
            assert answer.count(_EVENT) * len(_EVENT) == len(answer)
            stream.close()
            (await server).close()

    asyncio.run(asyncio.wait_for(scenario(), 20))
