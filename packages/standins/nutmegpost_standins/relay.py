"""A relay between two ends of a TCP connection or a datagram port.

Tests put it between processes to cut, delay or silence what passes.
"""

import asyncio
from typing import Any, NamedTuple

from nutmegpost_standins import command
from nutmegpost_standins import faults
from nutmegpost_standins import http

__all__ = ["Options", "Relay", "serve"]

_PIECE_BYTES = 65_536


class Options(NamedTuple):
    """Options of the relay.

    Attributes:
        address: `host:port` of the HTTP server that switches faults.
        listen: `host:port` to accept connections and datagrams on.
        target: `host:port` to pass them to.
        datagrams: Whether it relays datagrams too.
    """

    address: str
    listen: str
    target: str
    datagrams: bool = False


class Relay:
    """The state of a relay.

    Faults: `cut` ends every connection and refuses new ones, `silent` holds
    the bytes of the connections that are open when it is switched on for ever
    while new ones work, `drop` holds the bytes of all connections and drops
    datagrams, `delay_s` delays every piece.
    """

    def __init__(self, options: Options):
        self._options = options
        self._faults = faults.Faults(
            cut=False, silent=False, drop=False, delay_s=0.0
        )
        self._connections: dict[int, set[asyncio.StreamWriter]] = {}
        self._number = 0
        self._silent_below = 0
        self._upstreams: dict[Any, asyncio.DatagramTransport] = {}
        self._server: asyncio.Server | None = None
        self._port: asyncio.DatagramTransport | None = None

    @property
    def address(self) -> str:
        """Address that it accepts connections on."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Binds the listening sockets."""
        host, port = http.split_address(self._options.listen)
        self._server = await asyncio.start_server(self._accept, host, port)
        if self._options.datagrams:
            loop = asyncio.get_running_loop()
            self._port, _ = await loop.create_datagram_endpoint(
                lambda: _Port(self._pass_datagram), local_addr=(host, port)
            )

    async def close(self) -> None:
        """Closes every socket."""
        if self._server is not None:
            self._server.close()
        self._cut()
        for upstream in self._upstreams.values():
            upstream.close()
        if self._port is not None:
            self._port.close()

    async def handle(self, request: http.Request) -> http.Response:
        """Answers a request to the switch."""
        if request.path != "/standin/faults":
            return http.error(404, "unknown-name")
        response = await self._faults.handle(request)
        self._switched()
        return response

    def switch(self, **values: Any) -> None:
        """Sets faults.

        Raises:
            ValueError: There is no fault of that name.
        """
        self._faults.set(**values)
        self._switched()

    def _switched(self) -> None:
        # Waiters look at it in a later turn of the loop.
        self._silent_below = self._number if self._faults["silent"] else 0
        if self._faults["cut"]:
            self._cut()

    def _cut(self) -> None:
        for writers in self._connections.values():
            for writer in writers:
                writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._faults["cut"]:
            writer.transport.abort()
            return
        number = self._number
        self._number += 1
        writers = {writer}
        self._connections[number] = writers
        try:
            host, port = http.split_address(self._options.target)
            back, out = await asyncio.open_connection(host, port)
            writers.add(out)
            await asyncio.gather(
                self._pass(number, reader, out),
                self._pass(number, back, writer),
            )
        except OSError:
            pass
        finally:
            del self._connections[number]
            for item in writers:
                item.transport.abort()

    async def _pass(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while data := await reader.read(_PIECE_BYTES):
            if self._faults["delay_s"]:
                await asyncio.sleep(self._faults["delay_s"])
            await self._until_free(number)
            writer.write(data)
            await writer.drain()
        await self._until_free(number)
        if writer.can_write_eof():
            writer.write_eof()

    async def _until_free(self, number: int) -> None:
        def is_free() -> bool:
            return not self._faults["drop"] and number >= self._silent_below

        await self._faults.until(is_free)

    def _pass_datagram(self, data: bytes, source: Any) -> None:
        if self._faults["cut"] or self._faults["drop"]:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(
            self._faults["delay_s"], self._send_datagram, data, source
        )

    def _send_datagram(self, data: bytes, source: Any) -> None:
        upstream = self._upstreams.get(source)
        if upstream is not None:
            upstream.sendto(data)
            return
        task = asyncio.ensure_future(self._open_upstream(data, source))
        task.add_done_callback(lambda done: done.exception())

    async def _open_upstream(self, data: bytes, source: Any) -> None:
        def answer(back: bytes, _: Any) -> None:
            is_held = self._faults["cut"] or self._faults["drop"]
            if self._port is not None and not is_held:
                self._port.sendto(back, source)

        loop = asyncio.get_running_loop()
        target = http.split_address(self._options.target)
        upstream, _ = await loop.create_datagram_endpoint(
            lambda: _Port(answer), remote_addr=target
        )
        self._upstreams[source] = upstream
        upstream.sendto(data)


class _Port(asyncio.DatagramProtocol):
    """Hands each datagram to a function."""

    def __init__(self, receive: Any):
        self._receive = receive

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Passes a datagram on."""
        self._receive(data, addr)


async def serve(options: Options) -> None:
    """Runs a relay until it is cancelled."""
    relay = Relay(options)
    await relay.start()
    server = await http.serve(options.address, relay.handle)
    try:
        await asyncio.Event().wait()
    finally:
        await relay.close()
        await server.close()


if __name__ == "__main__":
    command.run(Options, serve)
