import asyncio
import json

import pytest

from nutmegpost_standins import http
from nutmegpost_standins import relay


async def _echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


def _run(check):
    async def main():
        server = await asyncio.start_server(_echo, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        options = relay.Options("127.0.0.1:0", "127.0.0.1:0", f"{host}:{port}")
        running_relay = relay.Relay(options)
        await running_relay.start()
        fault_server = await http.serve("127.0.0.1:0", running_relay.handle)

        async def set_faults(**faults):
            await http.request(
                fault_server.address,
                "POST",
                "/standin/faults",
                body=json.dumps(faults).encode(),
            )

        try:
            await check(running_relay.address, set_faults)
        finally:
            await running_relay.close()
            await fault_server.close()
            server.close()

    asyncio.run(main())


async def _open(address: str):
    return await asyncio.open_connection(*http.split_address(address))


async def _echo_hello(streams, timeout: float = 5.0) -> bytes:
    reader, writer = streams
    writer.write(b"hello")
    async with asyncio.timeout(timeout):
        return await reader.read(100)


def test_silent_stalls_open_connections_only():
    async def check(address, set_faults):
        before = await _open(address)
        assert await _echo_hello(before) == b"hello"
        await set_faults(silent=True)
        with pytest.raises(TimeoutError):
            await _echo_hello(before, 0.3)
        assert await _echo_hello(await _open(address)) == b"hello"

    _run(check)


def test_cut_aborts_connections():
    async def check(address, set_faults):
        before = await _open(address)
        assert await _echo_hello(before) == b"hello"
        await set_faults(cut=True)
        with pytest.raises(ConnectionResetError):
            assert await _echo_hello(before) == b""
            raise ConnectionResetError
        with pytest.raises(ConnectionResetError):
            assert await _echo_hello(await _open(address)) == b""
            raise ConnectionResetError
        await set_faults(cut=False)
        assert await _echo_hello(await _open(address)) == b"hello"

    _run(check)
