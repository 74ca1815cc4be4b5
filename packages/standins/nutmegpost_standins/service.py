"""Stand-in for a runner of a plain service.

It counts the executions by key and never hides a repeat, so that a call that
ran twice is seen.
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

_REPORT_WAIT_S_MAX = 30.0


class Options(NamedTuple):
    """Options of a runner.

    Attributes:
        address: `host:port` to bind to.
        batch: Calls that run at once.
        queue: Calls that may wait; more are refused as full.
        work_ms: Milliseconds that a call takes.
        load_lag_s: Seconds between load reports.
    """

    address: str
    batch: int = 8
    queue: int = 100
    work_ms: float = 20.0
    load_lag_s: float = 0.1


class Runner:
    """The state of a runner.

    Faults: `hang_before` and `hang_after` hold a call before or after it is
    executed, `drop_after` closes the connection in place of the answer,
    `refuse` drops the connection before anything is executed, `leaving`
    refuses calls and says so, `delay_s` adds to the time of a call.
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
        self._report: tuple[int, int, str] = (0, 0, "ready")
        self._sequence = time.time_ns() // 1_000_000
        self._reported = asyncio.Condition()

    async def run(self) -> None:
        """Publishes load reports until it is cancelled."""
        while True:
            state = "leaving" if self._faults["leaving"] else "ready"
            report = (self._running, self._waiting, state)
            if report != self._report:
                self._report = report
                self._sequence += 1
                async with self._reported:
                    self._reported.notify_all()
            await asyncio.sleep(self._options.load_lag_s)

    async def handle(self, request: http.Request) -> http.Response:
        """Answers one request."""
        if request.path == "/standin/faults":
            return await self._faults.handle(request)
        if request.path == "/standin/records":
            return self._records.handle(request)
        if request.path == "/v1/load":
            return await self._load_report(request)
        if request.method != "POST":
            return http.error(404, "unknown-name")
        return await self._call(request)

    async def _call(self, request: http.Request) -> http.Response:
        if self._faults["leaving"]:
            self._note("refused", _key(request))
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
        key = _key(request)
        self._note("arrive", key)
        await self._faults.wait(hang="hang_before")
        await asyncio.sleep(self._options.work_ms / 1000)
        self._records.count(key)
        self._note("executed", key)
        await self._faults.wait(delay="after_s", hang="hang_after")
        if self._faults["drop_after"]:
            return http.Response(503, drop=True)
        operation = request.path.strip("/")
        body = json.loads(request.body) if request.body else None
        answer = {"operation": operation, "key": key, "request": body}
        return http.json_response(answer)

    def _note(self, kind: str, key: str) -> None:
        self._records.add(kind, key, 0, self._running + self._waiting)

    async def _load_report(self, request: http.Request) -> http.Response:
        after = int(request.query.get("after", "0"))
        wait = float(request.query.get("wait", "0"))
        if after == self._sequence and wait > 0:
            await self._wait_for_report(after, min(wait, _REPORT_WAIT_S_MAX))
        running, waiting, state = self._report
        return http.json_response(
            {
                "sequence": self._sequence,
                "running": running,
                "waiting": waiting,
                "batch": self._options.batch,
                "state": state,
            }
        )

    async def _wait_for_report(self, after: int, wait: float) -> None:
        async with self._reported:
            try:
                async with asyncio.timeout(wait):
                    await self._reported.wait_for(
                        lambda: self._sequence != after
                    )
            except TimeoutError:
                return


def _key(request: http.Request) -> str:
    headers = request.headers
    return headers.get("idempotency-key") or headers.get("x-request-id", "")


async def serve(options: Options) -> None:
    """Runs a runner until it is cancelled."""
    runner = Runner(options)
    server = await http.serve(options.address, runner.handle)
    try:
        await runner.run()
    finally:
        await server.close()


if __name__ == "__main__":
    command.run(Options, serve)
