"""A link of limited rate between a gateway and what it reads from."""

import asyncio
import contextlib

import standin

from nutmegpost_core import vms

_PIECE_BYTES = 8_192


class NarrowLink:
    """Forwards connections; all answers share its rate.

    Attributes:
        bytes_per_s: Rate of all answers together, bytes per second.
        received_bytes: Bytes of answers that were forwarded.
        is_silent: Whether what arrives in either direction is discarded, for
            good on the connections on which something arrived.
    """

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.received_bytes = 0
        self.is_silent = False
        self._silenced = set()
        self._turn = asyncio.Lock()
        self._servers = []
        self._tasks = set()
        # The last request by the connection on which it came.
        self._requests = {}
        self._received = []

    async def forward(self, target):
        """Returns an address at which connections to another one begin."""
        address = standin.free_address()
        listen_at, forward_to = map(vms.parse_address, (address, target))

        async def accept(reader, writer):
            self._tasks.add(asyncio.current_task())
            with contextlib.suppress(asyncio.CancelledError):
                await self._connect(forward_to, reader, writer)

        self._servers.append(
            await asyncio.start_server(accept, listen_at.host, listen_at.port)
        )
        return address

    def lose_answers(self, text=b""):
        """Loses the answers to requests that wait and contain a text."""
        self._silenced |= {
            writer
            for writer, request in self._requests.items()
            if text in request
        }

    def count_requests(self, text):
        """Returns the number of requests that contain a text."""
        return sum(text in request for request in self._received)

    def close(self):
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()

    async def _connect(self, target, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(
                target.host, target.port
            )
        except OSError:
            writer.close()
            return
        self._requests[writer] = b""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._copy_requests(reader, writer, far_writer)
                )
                group.create_task(
                    self._copy_answers(far_reader, writer, far_writer)
                )
        finally:
            self._requests.pop(writer)
            writer.close()
            far_writer.close()

    async def _copy_requests(self, reader, writer, far_writer):
        is_lost = False
        while data := await _read(reader):
            self._requests[writer] = data
            self._received.append(data)
            is_lost = is_lost or self.is_silent
            if not is_lost:
                far_writer.write(data)
        far_writer.close()

    async def _copy_answers(self, far_reader, writer, far_writer):
        while data := await _read(far_reader):
            async with self._turn:
                await asyncio.sleep(len(data) / self.bytes_per_s)
            if self.is_silent:
                self._silenced.add(writer)
            if writer not in self._silenced:
                self.received_bytes += len(data)
                writer.write(data)
        writer.close()
        far_writer.close()


async def _read(reader):
    try:
        return await reader.read(_PIECE_BYTES)
    except ConnectionError:
        return b""
