"""A fault-injecting relay of TCP connections and datagrams.

Tests place it between two processes to abort, delay or stall their traffic.
"""

import asyncio
from typing import Any, NamedTuple

from nutmegpost_standins import command
from nutmegpost_standins import faults
from nutmegpost_standins import http

__all__ = ["Options", "Relay", "serve"]

_READ_BYTES = 65_536


class Options(NamedTuple):
    """Options of the relay.

    Attributes:
        address: `host:port` of the HTTP server that sets faults.
        listen: `host:port` to accept connections and datagrams on.
        target: `host:port` to forward them to.
        datagrams: Whether to relay datagrams too.
    """

    address: str
    listen: str
    target: str
    datagrams: bool = False


class Relay:
    """A relay and its faults.

    Faults: `cut` aborts every connection, refuses new ones and drops
    datagrams, `silent` stalls the connections that are open when it is
    switched on while new ones work, `drop` stalls all connections and drops
    datagrams, `delay_s` delays each read and each datagram to the target.
    """

    def __init__(self, options: Options):
        self._options = options
        self._faults = faults.Faults(
            cut=False, silent=False, drop=False, delay_s=0.0
        )
        self._connections: dict[int, set[asyncio.StreamWriter]] = {}
        self._connection_count = 0
        self._first_unsilenced_connection = 0
        self._upstreams: dict[Any, asyncio.DatagramTransport] = {}
        self._server: asyncio.Server | None = None
        self._listening_transport: asyncio.DatagramTransport | None = None

    @property
    def address(self) -> str:
        """`host:port` on which the relay accepts connections."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Binds the listening sockets."""
        host, port = http.split_address(self._options.listen)
        self._server = await asyncio.start_server(self._accept, host, port)
        if self._options.datagrams:
            loop = asyncio.get_running_loop()
            self._listening_transport, _ = await loop.create_datagram_endpoint(
                lambda: _DatagramReceiver(self._forward_datagram),
                local_addr=(host, port),
            )

    async def close(self) -> None:
        """Closes all sockets."""
        if self._server is not None:
            self._server.close()
        self._abort_connections()
        for upstream in self._upstreams.values():
            upstream.close()
        if self._listening_transport is not None:
            self._listening_transport.close()

    async def handle(self, request: http.Request) -> http.Response:
        """Handles a request to `/standin/faults`."""
        if request.path != "/standin/faults":
            return http.error(404, "unknown-name")
        response = await self._faults.handle(request)
        self._apply_faults()
        return response

    def set_faults(self, **values: Any) -> None:
        """Sets the values of faults.

        Raises:
            ValueError: The relay has no such fault.
        """
        self._faults.set(**values)
        self._apply_faults()

    def _apply_faults(self) -> None:
        # The tasks that wait on the faults resume in a later iteration of the
        # event loop, so they see this value.
        self._first_unsilenced_connection = (
            self._connection_count if self._faults["silent"] else 0
        )
        if self._faults["cut"]:
            self._abort_connections()

    def _abort_connections(self) -> None:
        for writers in self._connections.values():
            for writer in writers:
                writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._faults["cut"]:
            writer.transport.abort()
            return
        number = self._connection_count
        self._connection_count += 1
        writers = {writer}
        self._connections[number] = writers
        try:
            host, port = http.split_address(self._options.target)
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, port
            )
            writers.add(upstream_writer)
            await asyncio.gather(
                self._forward(number, reader, upstream_writer),
                self._forward(number, upstream_reader, writer),
            )
        except OSError:
            pass
        finally:
            del self._connections[number]
            for open_writer in writers:
                open_writer.transport.abort()

    async def _forward(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while data := await reader.read(_READ_BYTES):
            if self._faults["delay_s"]:
                await asyncio.sleep(self._faults["delay_s"])
            await self._wait_until_unblocked(number)
            writer.write(data)
            await writer.drain()
        await self._wait_until_unblocked(number)
        if writer.can_write_eof():
            writer.write_eof()

    async def _wait_until_unblocked(self, number: int) -> None:
        def is_unblocked() -> bool:
            return (
                not self._faults["drop"]
                and number >= self._first_unsilenced_connection
            )

        await self._faults.wait_until(is_unblocked)

    def _forward_datagram(self, data: bytes, source: Any) -> None:
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
        task.add_done_callback(lambda finished: finished.exception())

    async def _open_upstream(self, data: bytes, source: Any) -> None:
        def return_datagram(reply: bytes, _: Any) -> None:
            is_dropped = self._faults["cut"] or self._faults["drop"]
            if self._listening_transport is not None and not is_dropped:
                self._listening_transport.sendto(reply, source)

        loop = asyncio.get_running_loop()
        target = http.split_address(self._options.target)
        upstream, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(return_datagram), remote_addr=target
        )
        self._upstreams[source] = upstream
        upstream.sendto(data)


class _DatagramReceiver(asyncio.DatagramProtocol):
    """Calls a function with each received datagram."""

    def __init__(self, receive: Any):
        self._receive = receive

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Calls the function."""
        self._receive(data, addr)


async def serve(options: Options) -> None:
    """Serves a relay until it is cancelled."""
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
