"""Stand-in for the platform: configuration, VM list and weight store.

Operators and tests publish by writing the files; the stand-in notices a change
and answers the watches that wait for it. It can only be read over HTTP.
"""

import asyncio
from collections.abc import AsyncIterator
import json
import os
from typing import NamedTuple

from nutmegpost_standins import command
from nutmegpost_standins import faults
from nutmegpost_standins import http

__all__ = ["ByteRate", "Options", "Platform", "serve"]

_POLL_S = 0.05
_WAIT_S_MAX = 60.0
_WEIGHT_PIECE_BYTES = 65_536


class Options(NamedTuple):
    """Options of the platform.

    Attributes:
        address: `host:port` to bind to.
        configuration: File with the configuration document.
        vms: File with the VM list.
        vm_lag_s: Seconds after which a change of the VM list shows.
        reads_per_s: Reads a second over all readers; more are refused.
        body_bytes_max: Largest value that is served.
        weight_bytes: Size of the weights of one version.
        weight_bytes_per_s: Rate of the weight store over all readers.
    """

    address: str
    configuration: str
    vms: str
    vm_lag_s: float = 0.0
    reads_per_s: int = 2_000
    body_bytes_max: int = 1_000_000
    weight_bytes: int = 2_000_000
    weight_bytes_per_s: int = 4_000_000


class _Value(NamedTuple):
    version: int
    data: bytes


class _Document:
    """A published file, its values so far, and the watches on it."""

    def __init__(self, path: str, lag: float):
        self._path = path
        self._lag = lag
        self._stamp: tuple[int, int] | None = None
        self._pending: list[tuple[float, _Value]] = []
        self._history: list[_Value] = []
        self.changed = asyncio.Condition()

    @property
    def history(self) -> list[_Value]:
        """Values that were visible, the present one last."""
        return self._history

    def poll(self, now: float) -> bool:
        """Reads the file when it changed; returns whether a value shows."""
        try:
            found = os.stat(self._path)
        except OSError:
            return False
        stamp = (found.st_mtime_ns, found.st_size)
        if stamp != self._stamp:
            self._stamp = stamp
            due = now + self._lag if self._history else now
            self._read(due)
        return self._show(now)

    def _read(self, due: float) -> None:
        with open(self._path, "rb") as file:
            data = file.read()
        try:
            version = int(json.loads(data)["version"])
        except (ValueError, KeyError, TypeError):
            # A broken document is served all the same: readers must check.
            last = self._history[-1].version if self._history else 0
            version = last + 1
        self._pending.append((due, _Value(version, data)))

    def _show(self, now: float) -> bool:
        shown = False
        while self._pending and self._pending[0][0] <= now:
            self._history.append(self._pending.pop(0)[1])
            shown = True
        return shown


class ByteRate:
    """A rate that all readers share, first come first served."""

    def __init__(self, bytes_per_s: int):
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0

    def reserve(self, size: int, now: float) -> float:
        """Returns the time at which so many bytes have passed."""
        start = max(self._free_at, now)
        self._free_at = start + size / self._bytes_per_s
        return self._free_at


class Platform:
    """The state of the platform.

    Faults: `down` drops every connection, `stale` answers with what was
    published when it was switched on, `older` answers the configuration of
    the given version, `split` names a file whose content odd connections get
    in place of the published one, `delay_s` and `hang` hold answers back.
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
        self._second = (0, 0)
        self._weight_rate = ByteRate(options.weight_bytes_per_s)

    async def watch_files(self) -> None:
        """Looks at the files for ever."""
        while True:
            await self.poll()
            await asyncio.sleep(_POLL_S)

    async def poll(self) -> None:
        """Looks at the files once."""
        if self._faults["stale"]:
            return
        now = asyncio.get_running_loop().time()
        for document in self._documents.values():
            if document.poll(now):
                async with document.changed:
                    document.changed.notify_all()

    async def handle(self, request: http.Request) -> http.Response:
        """Answers one request."""
        if request.path == "/standin/faults":
            return await self._faults.handle(request)
        if request.path == "/standin/counts":
            return http.json_response(self._counts)
        if self._faults["down"]:
            return http.Response(503, drop=True)
        if request.method != "GET":
            return http.error(405, "read-only")
        _, _, name = request.path.partition("/v1/")
        name = name.partition("/")[0]
        if name not in ("configuration", "vms", "weights"):
            return http.error(404, "unknown-name")
        if not self._count(name):
            return http.error(429, "overloaded")
        await self._faults.wait()
        if name == "weights":
            return self._read_weights()
        return await self._read(name, request)

    def _count(self, name: str) -> bool:
        self._counts["reads"] += 1
        self._counts[name] += 1
        second = int(asyncio.get_running_loop().time())
        seen = self._second[1] + 1 if self._second[0] == second else 1
        self._second = (second, seen)
        self._counts["peak"] = max(self._counts["peak"], seen)
        if seen > self._options.reads_per_s:
            self._counts["refused"] += 1
            return False
        return True

    async def _read(self, name: str, request: http.Request) -> http.Response:
        document = self._documents[name]
        known = int(request.query.get("known", "-1"))
        wait = min(float(request.query.get("wait", "0")), _WAIT_S_MAX)
        value = self._choose(name, document, request.connection, known)
        if value is None and wait > 0:
            await self._wait(document, known, wait)
            if self._faults["down"]:
                return http.Response(503, drop=True)
            value = self._choose(name, document, request.connection, known)
        if value is None:
            return http.Response(304)
        if len(value.data) > self._options.body_bytes_max:
            return http.error(413, "too-large")
        headers = {
            "content-type": "application/json",
            "x-version": str(value.version),
        }
        return http.Response(200, value.data, headers)

    async def _wait(self, document: _Document, known: int, wait: float) -> None:
        def is_news() -> bool:
            return self._faults["down"] or document.history[-1].version > known

        async with document.changed:
            try:
                async with asyncio.timeout(wait):
                    await document.changed.wait_for(is_news)
            except TimeoutError:
                return

    def _choose(
        self, name: str, document: _Document, connection: int, known: int
    ) -> _Value | None:
        if not document.history:
            return None
        value = document.history[-1]
        if name == "configuration" and self._faults["older"]:
            older = self._faults["older"]
            found = [item for item in document.history if item.version == older]
            return found[-1] if found else value
        if value.version <= known:
            return None
        if name == "configuration" and self._faults["split"] and connection % 2:
            with open(self._faults["split"], "rb") as file:
                return _Value(value.version, file.read())
        return value

    def _read_weights(self) -> http.Response:
        headers = {"content-type": "application/octet-stream"}
        return http.Response(200, headers=headers, stream=self._weights())

    async def _weights(self) -> AsyncIterator[bytes]:
        loop = asyncio.get_running_loop()
        rest = self._options.weight_bytes
        while rest > 0:
            size = min(rest, _WEIGHT_PIECE_BYTES)
            due = self._weight_rate.reserve(size, loop.time())
            await asyncio.sleep(due - loop.time())
            yield bytes(size)
            rest -= size


async def serve(options: Options) -> None:
    """Runs the platform until it is cancelled."""
    platform = Platform(options)
    await platform.poll()
    server = await http.serve(options.address, platform.handle)
    try:
        await platform.watch_files()
    finally:
        await server.close()


if __name__ == "__main__":
    command.run(Options, serve)
