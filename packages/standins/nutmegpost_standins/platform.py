"""Stand-in for the platform: configuration, VM list and weight store.

Operators and tests publish a document by writing its file. The stand-in polls
the files and answers the pending long polls after a change. Its HTTP interface
is read-only.
"""

import asyncio
from collections.abc import AsyncIterator
import json
import os
from typing import NamedTuple

from nutmegpost_standins import command
from nutmegpost_standins import faults
from nutmegpost_standins import http

__all__ = ["Options", "Platform", "SharedBandwidth", "serve"]

_FILE_POLL_INTERVAL_S = 0.05
_LONG_POLL_S_MAX = 60.0
_WEIGHT_CHUNK_BYTES = 65_536


class Options(NamedTuple):
    """Options of the platform.

    Attributes:
        address: `host:port` to bind to.
        configuration: Path of the configuration document.
        vms: Path of the VM list.
        vm_lag_s: Delay before a change of the VM list is visible, seconds.
        reads_per_s: Limit of reads per second over all clients; further reads
            are refused.
        body_bytes_max: Size of the largest document that is served, bytes.
        weight_bytes: Size of the weights of one version, bytes.
        weight_bytes_per_s: Bandwidth of the weight store that all clients
            share, bytes per second.
    """

    address: str
    configuration: str
    vms: str
    vm_lag_s: float = 0.0
    reads_per_s: int = 2_000
    body_bytes_max: int = 1_000_000
    weight_bytes: int = 2_000_000
    weight_bytes_per_s: int = 4_000_000


class _Snapshot(NamedTuple):
    version: int
    data: bytes


class _Document:
    """A published file, its visible versions, and the long polls on it."""

    def __init__(self, path: str, lag_s: float):
        self._path = path
        self._lag_s = lag_s
        self._file_version: tuple[int, int] | None = None
        self._pending: list[tuple[float, _Snapshot]] = []
        self._history: list[_Snapshot] = []
        self.changed = asyncio.Condition()

    @property
    def history(self) -> list[_Snapshot]:
        """All snapshots that have become visible, the current one last."""
        return self._history

    def poll(self, now: float) -> bool:
        """Reads the file if it changed and reveals the snapshots that are due.

        Returns:
            Whether the visible snapshot changed.
        """
        try:
            status = os.stat(self._path)
        except OSError:
            return False
        file_version = (status.st_mtime_ns, status.st_size)
        if file_version != self._file_version:
            self._file_version = file_version
            due = now + self._lag_s if self._history else now
            self._read_file(due)
        return self._reveal_due(now)

    def _read_file(self, due: float) -> None:
        with open(self._path, "rb") as file:
            data = file.read()
        try:
            version = int(json.loads(data)["version"])
        except (ValueError, KeyError, TypeError):
            # Malformed documents are served too: clients must validate them.
            last_version = self._history[-1].version if self._history else 0
            version = last_version + 1
        self._pending.append((due, _Snapshot(version, data)))

    def _reveal_due(self, now: float) -> bool:
        is_changed = False
        while self._pending and self._pending[0][0] <= now:
            self._history.append(self._pending.pop(0)[1])
            is_changed = True
        return is_changed


class SharedBandwidth:
    """A FIFO bandwidth limit that all clients share."""

    def __init__(self, bytes_per_s: int):
        self._bytes_per_s = bytes_per_s
        self._available_at = 0.0

    def reserve(self, size: int, now: float) -> float:
        """Returns the time at which a transfer of this size completes.

        Args:
            size: Size of the transfer, bytes.
            now: Current time, seconds.
        """
        start = max(self._available_at, now)
        self._available_at = start + size / self._bytes_per_s
        return self._available_at


class Platform:
    """The platform and its HTTP handlers.

    Faults: `down` drops every connection, `stale` stops reading the files, so
    that later changes stay invisible, `older` serves the configuration of the
    given version, `split` is the path of a file that connections with an odd
    number get instead of the configuration, `delay_s` and `hang` delay
    responses.
    """

    def __init__(self, options: Options):
        self._options = options
        self._documents = {
            "configuration": _Document(options.configuration, 0.0),
            "vms": _Document(options.vms, options.vm_lag_s),
        }
        self._faults = faults.Faults(
            down=False, stale=False, older=0, split="", delay_s=0.0, hang=False
        )
        self._counts = dict.fromkeys(
            ("reads", "configuration", "vms", "weights", "refused", "peak"), 0
        )
        self._read_window = (0, 0)
        self._weight_bandwidth = SharedBandwidth(options.weight_bytes_per_s)

    async def watch_files(self) -> None:
        """Polls the files until it is cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(_FILE_POLL_INTERVAL_S)

    async def poll(self) -> None:
        """Polls the files once and wakes the long polls of changed ones."""
        if self._faults["stale"]:
            return
        now = asyncio.get_running_loop().time()
        for document in self._documents.values():
            if document.poll(now):
                async with document.changed:
                    document.changed.notify_all()

    async def handle(self, request: http.Request) -> http.Response:
        """Handles one request."""
        if request.path == "/standin/faults":
            return await self._faults.handle(request)
        if request.path == "/standin/counts":
            return http.json_response(self._counts)
        if self._faults["down"]:
            return http.Response(503, drop=True)
        if request.method != "GET":
            return http.error(405, "read-only")
        _, _, resource = request.path.partition("/v1/")
        resource = resource.partition("/")[0]
        if resource not in ("configuration", "vms", "weights"):
            return http.error(404, "unknown-name")
        if not self._admit_read(resource):
            return http.error(429, "overloaded")
        await self._faults.delay_and_hang()
        if resource == "weights":
            return self._serve_weights()
        return await self._serve_document(resource, request)

    def _admit_read(self, resource: str) -> bool:
        self._counts["reads"] += 1
        self._counts[resource] += 1
        second = int(asyncio.get_running_loop().time())
        read_count = (
            self._read_window[1] + 1 if self._read_window[0] == second else 1
        )
        self._read_window = (second, read_count)
        self._counts["peak"] = max(self._counts["peak"], read_count)
        if read_count > self._options.reads_per_s:
            self._counts["refused"] += 1
            return False
        return True

    async def _serve_document(
        self, resource: str, request: http.Request
    ) -> http.Response:
        document = self._documents[resource]
        known_version = int(request.query.get("known", "-1"))
        wait_s = min(float(request.query.get("wait", "0")), _LONG_POLL_S_MAX)
        snapshot = self._select_snapshot(
            resource, document, request.connection, known_version
        )
        if snapshot is None and wait_s > 0:
            await self._wait_for_change(document, known_version, wait_s)
            if self._faults["down"]:
                return http.Response(503, drop=True)
            snapshot = self._select_snapshot(
                resource, document, request.connection, known_version
            )
        if snapshot is None:
            return http.Response(304)
        if len(snapshot.data) > self._options.body_bytes_max:
            return http.error(413, "too-large")
        headers = {
            "content-type": "application/json",
            "x-version": str(snapshot.version),
        }
        return http.Response(200, snapshot.data, headers)

    async def _wait_for_change(
        self, document: _Document, known_version: int, wait_s: float
    ) -> None:
        def is_newer() -> bool:
            return (
                self._faults["down"]
                or document.history[-1].version > known_version
            )

        async with document.changed:
            try:
                async with asyncio.timeout(wait_s):
                    await document.changed.wait_for(is_newer)
            except TimeoutError:
                return

    def _select_snapshot(
        self,
        resource: str,
        document: _Document,
        connection: int,
        known_version: int,
    ) -> _Snapshot | None:
        if not document.history:
            return None
        snapshot = document.history[-1]
        if resource == "configuration" and self._faults["older"]:
            older = self._faults["older"]
            matching = [
                earlier
                for earlier in document.history
                if earlier.version == older
            ]
            return matching[-1] if matching else snapshot
        if snapshot.version <= known_version:
            return None
        if (
            resource == "configuration"
            and self._faults["split"]
            and connection % 2
        ):
            with open(self._faults["split"], "rb") as file:
                return _Snapshot(snapshot.version, file.read())
        return snapshot

    def _serve_weights(self) -> http.Response:
        headers = {"content-type": "application/octet-stream"}
        return http.Response(200, headers=headers, stream=self._weights())

    async def _weights(self) -> AsyncIterator[bytes]:
        loop = asyncio.get_running_loop()
        remaining = self._options.weight_bytes
        while remaining > 0:
            size = min(remaining, _WEIGHT_CHUNK_BYTES)
            due = self._weight_bandwidth.reserve(size, loop.time())
            await asyncio.sleep(due - loop.time())
            yield bytes(size)
            remaining -= size


async def serve(options: Options) -> None:
    """Serves the platform until it is cancelled."""
    platform = Platform(options)
    await platform.poll()
    server = await http.serve(options.address, platform.handle)
    try:
        await platform.watch_files()
    finally:
        await server.close()


if __name__ == "__main__":
    command.run(Options, serve)
