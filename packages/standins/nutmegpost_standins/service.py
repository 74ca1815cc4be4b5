"""Stand-in for a runner of a plain service.

It counts the executions per idempotency key and does not deduplicate them, so
that tests detect a call that ran twice.
"""

import asyncio
import json
import time
from typing import NamedTuple

from nutmegpost_standins import command
from nutmegpost_standins import faults
from nutmegpost_standins import http
from nutmegpost_standins import records

__all__ = ["Options", "Runner", "serve"]

_LONG_POLL_S_MAX = 30.0


class Options(NamedTuple):
    """Options of a runner.

    Attributes:
        address: `host:port` to bind to.
        batch: Maximum number of running calls.
        queue: Maximum number of waiting calls; further ones are refused as
            `full`.
        work_ms: Duration of a call, milliseconds.
        load_lag_s: Seconds between load reports.
    """

    address: str
    batch: int = 8
    queue: int = 100
    work_ms: float = 20.0
    load_lag_s: float = 0.1


class Runner:
    """A runner and its HTTP handlers.

    Faults: `hang_before` and `hang_after` block a call before or after its
    execution, `delay_s` and `after_s` delay it there, `drop_after` closes the
    connection instead of responding, `refuse` closes it before the execution,
    `leaving` refuses calls as in a drain.
    """

    def __init__(self, options: Options):
        self._options = options
        self._faults = faults.Faults(
            delay_s=0.0,
            after_s=0.0,
            hang_before=False,
            hang_after=False,
            drop_after=False,
            refuse=False,
            leaving=False,
        )
        self._records = records.Records()
        self._slots = asyncio.Semaphore(options.batch)
        self._running = 0
        self._waiting = 0
        self._latest_report: tuple[int, int, str] = (0, 0, "ready")
        self._sequence = time.time_ns() // 1_000_000
        self._report_changed = asyncio.Condition()

    async def run(self) -> None:
        """Publishes load reports until it is cancelled."""
        while True:
            state = "leaving" if self._faults["leaving"] else "ready"
            report = (self._running, self._waiting, state)
            if report != self._latest_report:
                self._latest_report = report
                self._sequence += 1
                async with self._report_changed:
                    self._report_changed.notify_all()
            await asyncio.sleep(self._options.load_lag_s)

    async def handle(self, request: http.Request) -> http.Response:
        """Handles one request."""
        if request.path == "/standin/faults":
            return await self._faults.handle(request)
        if request.path == "/standin/records":
            return self._records.handle(request)
        if request.path == "/v1/load":
            return await self._handle_load(request)
        if request.method != "POST":
            return http.error(404, "unknown-name")
        return await self._handle_call(request)

    async def _handle_call(self, request: http.Request) -> http.Response:
        if self._faults["leaving"]:
            self._record_event("refused", _idempotency_key(request))
            return http.error(503, "leaving")
        if self._faults["refuse"]:
            return http.Response(503, drop=True)
        if self._waiting >= self._options.queue:
            return http.error(503, "full")
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            return await self._execute(request)
        finally:
            self._running -= 1
            self._slots.release()

    async def _execute(self, request: http.Request) -> http.Response:
        key = _idempotency_key(request)
        self._record_event("arrive", key)
        await self._faults.delay_and_hang(hang="hang_before")
        await asyncio.sleep(self._options.work_ms / 1000)
        self._records.count_execution(key)
        self._record_event("executed", key)
        await self._faults.delay_and_hang(delay="after_s", hang="hang_after")
        if self._faults["drop_after"]:
            return http.Response(503, drop=True)
        operation = request.path.strip("/")
        body = json.loads(request.body) if request.body else None
        answer = {"operation": operation, "key": key, "request": body}
        return http.json_response(answer)

    def _record_event(self, kind: str, key: str) -> None:
        self._records.add(kind, key, 0, self._running + self._waiting)

    async def _handle_load(self, request: http.Request) -> http.Response:
        after = int(request.query.get("after", "0"))
        wait_s = float(request.query.get("wait", "0"))
        if after == self._sequence and wait_s > 0:
            await self._wait_for_report(after, min(wait_s, _LONG_POLL_S_MAX))
        running, waiting, state = self._latest_report
        return http.json_response(
            {
                "sequence": self._sequence,
                "running": running,
                "waiting": waiting,
                "batch": self._options.batch,
                "state": state,
            }
        )

    async def _wait_for_report(self, after: int, wait_s: float) -> None:
        async with self._report_changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self._report_changed.wait_for(
                        lambda: self._sequence != after
                    )
            except TimeoutError:
                return


def _idempotency_key(request: http.Request) -> str:
    headers = request.headers
    return headers.get("idempotency-key") or headers.get("x-request-id", "")


async def serve(options: Options) -> None:
    """Serves a runner until it is cancelled."""
    runner = Runner(options)
    server = await http.serve(options.address, runner.handle)
    try:
        await runner.run()
    finally:
        await server.close()


if __name__ == "__main__":
    command.run(Options, serve)
