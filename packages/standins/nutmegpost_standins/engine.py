"""Stand-in for a model engine.

It batches continuously, caches prompt prefixes in limited memory, honours
priorities, and speaks the protocol of docs/PROTOCOLS.md. Each token of an
answer names the digest of the request's messages and its place, so a caller
sees a token that is missing, doubled or foreign.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
import json
import os
import random
import time
from typing import Any, NamedTuple

from nutmegpost_standins import batching
from nutmegpost_standins import command
from nutmegpost_standins import faults
from nutmegpost_standins import http
from nutmegpost_standins import records

__all__ = ["Engine", "Options", "serve"]

_CRASH_STATUS = 70
_EVENTS_KEPT = 10_000
_HEARTBEAT_S = 1.0
_STREAM_KEPT_S = 60.0
_WAIT_S_MAX = 30.0
_WEIGHTS_TIMEOUT_S = 600.0


class Options(NamedTuple):
    """Options of an engine.

    Attributes:
        address: `host:port` to bind to.
        model: Model whose weights it loads.
        version: Version that is loaded at the start.
        adapter: Adapter that is loaded at the start; may be empty.
        role: Role at the start.
        platform: Address of the weight store; empty to load without it.
        load_at_start: Whether it loads its weights before it is ready.
        batch: Requests that run at once.
        queue: Requests that may wait; more are refused as full.
        step_ms: Milliseconds between the tokens of a request.
        prefill_per_s: Prompt tokens a second that are read uncached.
        cache_tokens: Size of the prefix cache.
        cache_event_lag_s: Seconds by which cache events are late.
        cache_event_loss: Share of the cache events that are lost.
        load_lag_s: Seconds between load reports.
        fenced: Whether it refuses orders with an earlier fence.
        kv_bytes_per_token: Octets of an exported token.
        poison: Text of a message at which the process ends; empty for none.
        seed: Seed of its randomness.
    """

    address: str
    model: str = "model"
    version: str = "v1"
    adapter: str = ""
    role: str = "both"
    platform: str = ""
    load_at_start: bool = False
    batch: int = 16
    queue: int = 1_000
    step_ms: float = 10.0
    prefill_per_s: int = 20_000
    cache_tokens: int = 200_000
    cache_event_lag_s: float = 0.5
    cache_event_loss: float = 0.02
    load_lag_s: float = 0.1
    fenced: bool = True
    kv_bytes_per_token: int = 16
    poison: str = ""
    seed: int = 0


def _crash() -> None:
    os._exit(_CRASH_STATUS)


def _epoch() -> int:
    # Sequence numbers of a restarted engine go on above the old ones.
    return time.time_ns() // 1_000_000


class Engine:
    """The state of an engine.

    Faults: `leaving` refuses new requests and says so, `full` refuses them,
    `silent` holds back the events of the streams that are open when it is
    switched on, `slow` multiplies the length of a step, `delay_s` and `hang`
    hold requests back before they are looked at, `lost_orders` answers an
    order and forgets it, `dead_load` leaves load reports unanswered.
    """

    def __init__(self, options: Options):
        self._options = options
        self._faults = faults.Faults(
            leaving=False,
            full=False,
            silent=False,
            slow=1.0,
            delay_s=0.0,
            hang=False,
            lost_orders=False,
            dead_load=False,
        )
        self._random = random.Random(options.seed)
        self._cache = batching.PrefixCache(options.cache_tokens)
        step_s = options.step_ms / 1000
        prefill = max(1, int(options.prefill_per_s * step_s))
        self._batcher = batching.Batcher(options.batch, prefill, self._cache)
        self._jobs: dict[str, batching.Job] = {}
        self._ended: collections.deque[tuple[float, batching.Job]] = (
            collections.deque()
        )
        self._waiters: dict[int, list[asyncio.Future[None]]] = {}
        self._work = asyncio.Event()
        self._records = records.Records()
        self._loading = options.load_at_start
        self._loaded = {
            "version": "" if options.load_at_start else options.version,
            "adapter": options.adapter,
            "role": options.role,
        }
        self._fence = [0, 0]
        self._order_error = ""
        self._order_task: asyncio.Task[None] | None = None
        self._report: dict[str, Any] = {}
        self._sequence = _epoch()
        self._reported = asyncio.Condition()
        self._event_sequence = _epoch()
        self._cache_events: collections.deque[tuple[float, list[Any]]] = (
            collections.deque(maxlen=_EVENTS_KEPT)
        )
        self._streams = 0
        self._silent_below = 0

    async def run(self) -> None:
        """Runs its loops until it is cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._step_forever())
            group.create_task(self._report_forever())
            group.create_task(self._beat_forever())
            if self._options.load_at_start:
                order = {
                    "version": self._options.version,
                    "adapter": self._options.adapter,
                    "role": self._options.role,
                }
                self._order_task = group.create_task(self._load(order))

    async def handle(self, request: http.Request) -> http.Response:
        """Answers one request."""
        if request.path == "/standin/faults":
            return await self._set_faults(request)
        if request.path == "/standin/records":
            return self._records.handle(request)
        if request.path == "/standin/state":
            return http.json_response(self._state_now())
        await self._faults.wait()
        if request.path == "/v1/chat/completions":
            return self._submit(request)
        if request.path == "/v1/orders":
            return self._order(request)
        if request.path == "/v1/load":
            return await self._load_report(request)
        if request.path == "/v1/cache-events":
            return await self._read_cache_events(request)
        if request.path.startswith("/v1/streams/"):
            return self._stream(request)
        if request.path.startswith("/v1/kv/"):
            return self._kv(request)
        return http.error(404, "unknown-name")

    async def _set_faults(self, request: http.Request) -> http.Response:
        response = await self._faults.handle(request)
        if not self._faults["silent"]:
            self._silent_below = 0
        elif not self._silent_below:
            self._silent_below = self._streams
        return response

    # Requests

    def _submit(self, request: http.Request) -> http.Response:
        job = self._make_job(request)
        reason = self._refusal()
        if reason:
            self._note("refused", job)
            return http.error(503, reason)
        earlier = self._jobs.get(job.name)
        if earlier is not None and earlier.attempt > job.attempt:
            return http.error(409, "superseded")
        if earlier is not None and self._was_withdrawn(earlier, job):
            return http.error(409, "cancelled")
        if earlier is not None and earlier.attempt < job.attempt:
            self._stop(earlier, "cancelled")
        self._accept(job)
        return self._stream_response(job, 0)

    def _refusal(self) -> str:
        """Returns why no request is taken now; empty when one is."""
        if self._faults["leaving"]:
            return "leaving"
        if self._loading:
            return "loading"
        is_full = self._batcher.waiting >= self._options.queue
        return "full" if self._faults["full"] or is_full else ""

    def _was_withdrawn(self, earlier: batching.Job, job: batching.Job) -> bool:
        return (
            earlier.attempt == job.attempt
            and earlier.state == "cancelled"
            and not earlier.has_begun
        )

    def _make_job(self, request: http.Request) -> batching.Job:
        body = json.loads(request.body)
        headers = request.headers
        messages = body["messages"]
        words = sum(len(str(item["content"]).split()) for item in messages)
        return batching.Job(
            headers.get("x-request-id", f"direct/{_epoch()}"),
            int(headers.get("x-attempt", "0")),
            int(headers.get("x-priority", "2")),
            headers.get("x-cache-key", ""),
            words,
            int(body.get("max_tokens") or 16),
            batching.text_digest(messages),
            self._is_poison(request.body),
        )

    def _is_poison(self, body: bytes) -> bool:
        poison = self._options.poison
        return bool(poison) and poison.encode() in body

    def _accept(self, job: batching.Job) -> None:
        self._batcher.add(job)
        self._jobs[job.name] = job
        self._note("arrive", job)
        self._admit()
        self._work.set()

    def _admit(self) -> None:
        for job in self._batcher.admit():
            self._records.count(f"{job.name}#{job.attempt}")
            self._note("begin", job)
            if job.is_poison:
                _crash()

    def _note(self, kind: str, job: batching.Job) -> None:
        in_flight = self._batcher.running + self._batcher.waiting
        self._records.add(kind, job.name, job.attempt, in_flight)

    def _end(self, job: batching.Job) -> None:
        self._note(job.state, job)
        now = asyncio.get_running_loop().time()
        self._ended.append((now, job))
        while self._ended[0][0] < now - _STREAM_KEPT_S:
            old = self._ended.popleft()[1]
            if self._jobs.get(old.name) is old:
                del self._jobs[old.name]

    def _stop(self, job: batching.Job, state: str) -> None:
        if job.is_done:
            return
        self._batcher.remove(job, state)
        self._end(job)
        self._wake(job)
        self._admit()

    def _stream(self, request: http.Request) -> http.Response:
        name = request.path.removeprefix("/v1/streams/")
        attempt = int(request.query.get("attempt", "0"))
        job = self._jobs.get(name)
        if request.method == "DELETE":
            return self._cancel(name, attempt, job)
        if job is None or job.attempt < attempt:
            return http.error(404, "unknown-name")
        if job.attempt > attempt:
            return http.error(409, "superseded")
        if job.state in ("cancelled", "aborted"):
            return http.error(404, job.state)
        last = request.headers.get("last-event-id", "")
        return self._stream_response(job, int(last) + 1 if last else 0)

    def _cancel(
        self, name: str, attempt: int, job: batching.Job | None
    ) -> http.Response:
        if job is None or job.attempt < attempt:
            # The request may still be on its way here: refuse it then.
            job = batching.Job(name, attempt, 3, "", 0, 0, "")
            job.state = "cancelled"
            self._jobs[name] = job
            self._end(job)
        elif job.attempt == attempt:
            self._stop(job, "cancelled")
        return http.json_response({"ran": job.has_begun})

    def _stream_response(self, job: batching.Job, first: int) -> http.Response:
        headers = {"content-type": "text/event-stream"}
        events = self._events(job, first)
        return http.Response(200, headers=headers, stream=events)

    async def _events(
        self, job: batching.Job, first: int
    ) -> AsyncIterator[bytes]:
        place = first
        opened_at = self._streams
        self._streams += 1
        while True:
            silent = opened_at < self._silent_below
            if not silent and place < len(job.events):
                yield b"".join(
                    b"id: %d\ndata: %s\n\n" % item
                    for item in enumerate(job.events[place:], place)
                )
                place = len(job.events)
            elif not silent and job.is_done:
                break
            else:
                await self._next_wake(job)
                if place >= len(job.events) and not (silent or job.is_done):
                    yield b": waiting\n\n"
        if job.state == "finished":
            yield b"data: [DONE]\n\n"
            return
        body = {"error": {"code": job.state, "message": job.state}}
        yield b"event: error\ndata: %s\n\n" % json.dumps(body).encode()

    async def _next_wake(self, job: batching.Job) -> None:
        future: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters.setdefault(id(job), []).append(future)
        await future

    def _wake(self, job: batching.Job) -> None:
        for future in self._waiters.pop(id(job), ()):
            if not future.done():
                future.set_result(None)

    # Steps

    async def _step_forever(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            if not self._batcher.jobs:
                self._work.clear()
                await self._work.wait()
            step_s = self._options.step_ms / 1000 * self._faults["slow"]
            due = max(due + step_s, loop.time())
            await asyncio.sleep(due - loop.time())
            self._step()

    def _step(self) -> None:
        moved, changes = self._batcher.step()
        self._publish_cache(changes)
        for job in moved:
            if job.is_done:
                self._end(job)
            self._wake(job)
        self._admit()

    async def _beat_forever(self) -> None:
        while True:
            await asyncio.sleep(_HEARTBEAT_S)
            for waiters in list(self._waiters.values()):
                for future in waiters:
                    if not future.done():
                        future.set_result(None)
            self._waiters.clear()

    # Reports

    def _state_now(self) -> dict[str, Any]:
        state = "ready"
        if self._loading:
            state = "loading"
        elif self._faults["leaving"]:
            state = "leaving"
        return {
            "running": self._batcher.running,
            "waiting": self._batcher.waiting,
            "batch": self._options.batch,
            "state": state,
            **self._loaded,
            "fence": list(self._fence),
            "order_error": self._order_error,
        }

    async def _report_forever(self) -> None:
        while True:
            report = self._state_now()
            if report != self._report:
                self._report = report
                self._sequence += 1
                async with self._reported:
                    self._reported.notify_all()
            await asyncio.sleep(self._options.load_lag_s)

    async def _load_report(self, request: http.Request) -> http.Response:
        after = int(request.query.get("after", "0"))
        wait = min(float(request.query.get("wait", "0")), _WAIT_S_MAX)
        await self._faults.wait(hang="dead_load")
        if after == self._sequence and wait > 0:
            await self._wait_for_report(after, wait)
        report = {"sequence": self._sequence, **self._report}
        return http.json_response(report)

    async def _wait_for_report(self, after: int, wait: float) -> None:
        async with self._reported:
            try:
                async with asyncio.timeout(wait):
                    await self._reported.wait_for(
                        lambda: self._sequence != after
                    )
            except TimeoutError:
                return

    def _publish_cache(self, changes: list[batching.CacheEvent]) -> None:
        now = asyncio.get_running_loop().time()
        due = now + self._options.cache_event_lag_s
        for change in changes:
            self._event_sequence += 1
            if self._random.random() >= self._options.cache_event_loss:
                row = [self._event_sequence, *change]
                self._cache_events.append((due, row))

    async def _read_cache_events(self, request: http.Request) -> http.Response:
        loop = asyncio.get_running_loop()
        after = int(request.query.get("after", "0"))
        wait = min(float(request.query.get("wait", "0")), _WAIT_S_MAX)
        deadline = loop.time() + wait
        while True:
            now = loop.time()
            rows = [
                row
                for due, row in self._cache_events
                if due <= now and row[0] > after
            ]
            if rows or now >= deadline:
                break
            await asyncio.sleep(min(0.1, deadline - now))
        following = rows[-1][0] if rows else after
        return http.json_response({"events": rows, "next": following})

    # Orders and cache transfer

    def _order(self, request: http.Request) -> http.Response:
        order = json.loads(request.body)
        fence = list(order["fence"])
        if self._options.fenced and fence < self._fence:
            return http.json_response({"fence": self._fence}, 409)
        if self._faults["lost_orders"]:
            return http.json_response({}, 202)
        self._fence = fence
        wanted = {
            "version": order["version"],
            "adapter": order.get("adapter") or "",
            "role": order.get("role") or "both",
        }
        self._records.add("order", json.dumps(order), 0, 0)
        if wanted != self._loaded or self._loading:
            if self._order_task is not None:
                self._order_task.cancel()
            self._loading = True
            self._order_error = ""
            self._order_task = asyncio.create_task(self._load(wanted))
        return http.json_response({}, 202)

    async def _load(self, wanted: dict[str, str]) -> None:
        for job in self._batcher.jobs:
            self._stop(job, "aborted")
        self._publish_cache(self._cache.clear())
        try:
            if wanted["version"] != self._loaded["version"]:
                self._loaded["version"] = ""
                await self._fetch_weights(wanted["version"])
        except OSError as caught:
            self._order_error = f"weights: {caught}"
            return
        self._order_error = ""
        self._loaded = dict(wanted)
        self._loading = False

    async def _fetch_weights(self, version: str) -> None:
        if not self._options.platform:
            return
        path = f"/v1/weights/{self._options.model}/{version}"
        async with asyncio.timeout(_WEIGHTS_TIMEOUT_S):
            async with http.exchange(
                self._options.platform, "GET", path
            ) as found:
                async for _ in found.pieces():
                    pass
                if found.status != 200:
                    raise OSError(f"status {found.status}")

    def _kv(self, request: http.Request) -> http.Response:
        key = request.path.removeprefix("/v1/kv/")
        if request.method == "PUT":
            tokens = int.from_bytes(request.body[:8], "big")
            self._publish_cache(self._cache.store(key, tokens))
            return http.json_response({"tokens": tokens})
        tokens = self._cache.find(key)
        if not tokens:
            return http.error(404, "unknown-name")
        size = tokens * self._options.kv_bytes_per_token
        headers = {"content-type": "application/octet-stream"}
        return http.Response(
            200, tokens.to_bytes(8, "big") + bytes(size), headers
        )


async def serve(options: Options) -> None:
    """Runs an engine until it is cancelled."""
    engine = Engine(options)
    server = await http.serve(options.address, engine.handle)
    try:
        await engine.run()
    finally:
        await server.close()


if __name__ == "__main__":
    command.run(Options, serve)
