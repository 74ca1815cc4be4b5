"""Stand-in for a model engine.

It implements continuous batching, a bounded prefix cache, priorities and the
protocol of docs/PROTOCOLS.md. Each token of an answer contains a digest of the
request's messages and the position of the token, so that a client detects a
token that is missing, duplicated or part of another answer.
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

_CRASH_EXIT_STATUS = 70
_CACHE_EVENTS_MAX = 10_000
_HEARTBEAT_INTERVAL_S = 1.0
_STREAM_RETENTION_S = 60.0
_LONG_POLL_S_MAX = 30.0
_WEIGHTS_TIMEOUT_S = 600.0


class Options(NamedTuple):
    """Options of an engine.

    Attributes:
        address: `host:port` to bind to.
        model: Model whose weights the engine loads.
        version: Initial version of the weights.
        adapter: Initial adapter; empty for none.
        role: Initial role.
        platform: Address of the weight store; empty to load instantly.
        load_at_start: Whether the engine loads its weights before it is ready.
        batch: Maximum number of running requests.
        queue: Maximum number of waiting requests; further ones are refused
            as `full`.
        step_ms: Milliseconds between the tokens of a request.
        prefill_per_s: Prefill rate for uncached tokens, tokens per second.
        cache_tokens: Capacity of the prefix cache, tokens.
        cache_event_lag_s: Delay of the cache events, seconds.
        cache_event_loss: Fraction of the cache events that are lost.
        load_lag_s: Seconds between load reports.
        fenced: Whether an order with a lower fencing token is refused.
        kv_bytes_per_token: Size of an exported token, bytes.
        poison: Text of a request at which the process crashes; empty for
            none.
        seed: Seed of the random numbers.
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
    os._exit(_CRASH_EXIT_STATUS)


def _time_ms() -> int:
    # Sequence numbers start at the wall clock, so that those of a restarted
    # engine are higher than the earlier ones.
    return time.time_ns() // 1_000_000


class Engine:
    """An engine and its HTTP handlers.

    Faults: `leaving` refuses new requests as in a drain, `full` refuses them
    as if the queue were full, `silent` stalls the streams that are open when
    it is switched on, `slow` multiplies the duration of a step, `delay_s` and
    `hang` delay requests before they are handled, `lost_orders` acknowledges
    an order without executing it, `dead_load` leaves load reports unanswered.
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
        self._ended_jobs: collections.deque[tuple[float, batching.Job]] = (
            collections.deque()
        )
        self._wake_futures: dict[int, list[asyncio.Future[None]]] = {}
        self._has_work = asyncio.Event()
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
        self._latest_report: dict[str, Any] = {}
        self._sequence = _time_ms()
        self._report_changed = asyncio.Condition()
        self._event_sequence = _time_ms()
        self._cache_events: collections.deque[tuple[float, list[Any]]] = (
            collections.deque(maxlen=_CACHE_EVENTS_MAX)
        )
        self._stream_count = 0
        self._first_unsilenced_stream = 0

    async def run(self) -> None:
        """Runs the batch, the reports and the heartbeats until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_steps())
            group.create_task(self._publish_reports())
            group.create_task(self._run_heartbeats())
            if self._options.load_at_start:
                order = {
                    "version": self._options.version,
                    "adapter": self._options.adapter,
                    "role": self._options.role,
                }
                self._order_task = group.create_task(self._execute_order(order))

    async def handle(self, request: http.Request) -> http.Response:
        """Handles one request."""
        if request.path == "/standin/faults":
            return await self._handle_faults(request)
        if request.path == "/standin/records":
            return self._records.handle(request)
        if request.path == "/standin/state":
            return http.json_response(self._current_state())
        await self._faults.delay_and_hang()
        if request.path == "/v1/chat/completions":
            return self._handle_chat(request)
        if request.path == "/v1/orders":
            return self._handle_order(request)
        if request.path == "/v1/load":
            return await self._handle_load(request)
        if request.path == "/v1/cache-events":
            return await self._handle_cache_events(request)
        if request.path.startswith("/v1/streams/"):
            return self._handle_stream(request)
        if request.path.startswith("/v1/kv/"):
            return self._handle_kv(request)
        return http.error(404, "unknown-name")

    async def _handle_faults(self, request: http.Request) -> http.Response:
        response = await self._faults.handle(request)
        if not self._faults["silent"]:
            self._first_unsilenced_stream = 0
        elif not self._first_unsilenced_stream:
            self._first_unsilenced_stream = self._stream_count
        return response

    # Requests

    def _handle_chat(self, request: http.Request) -> http.Response:
        job = self._parse_job(request)
        code = self._refusal_code()
        if code:
            self._record_event("refused", job)
            return http.error(503, code)
        earlier = self._jobs.get(job.request_id)
        if earlier is not None and earlier.attempt > job.attempt:
            return http.error(409, "superseded")
        if earlier is not None and self._was_cancelled_before_start(
            earlier, job
        ):
            return http.error(409, "cancelled")
        if earlier is not None and earlier.attempt < job.attempt:
            self._stop_job(earlier, "cancelled")
        self._enqueue(job)
        return self._stream_response(job, 0)

    def _refusal_code(self) -> str:
        """Returns why a new request is refused; empty to accept it."""
        if self._faults["leaving"]:
            return "leaving"
        if self._loading:
            return "loading"
        is_full = self._batcher.waiting >= self._options.queue
        return "full" if self._faults["full"] or is_full else ""

    def _was_cancelled_before_start(
        self, earlier: batching.Job, job: batching.Job
    ) -> bool:
        return (
            earlier.attempt == job.attempt
            and earlier.state == "cancelled"
            and not earlier.has_started
        )

    def _parse_job(self, request: http.Request) -> batching.Job:
        body = json.loads(request.body)
        headers = request.headers
        messages = body["messages"]
        words = sum(
            len(str(message["content"]).split()) for message in messages
        )
        return batching.Job(
            headers.get("x-request-id", f"direct/{_time_ms()}"),
            int(headers.get("x-attempt", "0")),
            int(headers.get("x-priority", "2")),
            headers.get("x-cache-key", ""),
            words,
            int(body.get("max_tokens") or 16),
            batching.messages_digest(messages),
            self._is_poison(request.body),
        )

    def _is_poison(self, body: bytes) -> bool:
        poison = self._options.poison
        return bool(poison) and poison.encode() in body

    def _enqueue(self, job: batching.Job) -> None:
        self._batcher.add(job)
        self._jobs[job.request_id] = job
        self._record_event("arrive", job)
        self._admit()
        self._has_work.set()

    def _admit(self) -> None:
        for job in self._batcher.admit():
            self._records.count_execution(f"{job.request_id}#{job.attempt}")
            self._record_event("begin", job)
            if job.is_poison:
                _crash()

    def _record_event(self, kind: str, job: batching.Job) -> None:
        in_flight = self._batcher.running + self._batcher.waiting
        self._records.add(kind, job.request_id, job.attempt, in_flight)

    def _record_end(self, job: batching.Job) -> None:
        self._record_event(job.state, job)
        now = asyncio.get_running_loop().time()
        self._ended_jobs.append((now, job))
        while self._ended_jobs[0][0] < now - _STREAM_RETENTION_S:
            expired = self._ended_jobs.popleft()[1]
            if self._jobs.get(expired.request_id) is expired:
                del self._jobs[expired.request_id]

    def _stop_job(self, job: batching.Job, state: str) -> None:
        if job.is_done:
            return
        self._batcher.remove(job, state)
        self._record_end(job)
        self._wake(job)
        self._admit()

    def _handle_stream(self, request: http.Request) -> http.Response:
        request_id = request.path.removeprefix("/v1/streams/")
        attempt = int(request.query.get("attempt", "0"))
        job = self._jobs.get(request_id)
        if request.method == "DELETE":
            return self._handle_cancel(request_id, attempt, job)
        if job is None or job.attempt < attempt:
            return http.error(404, "unknown-name")
        if job.attempt > attempt:
            return http.error(409, "superseded")
        if job.state in ("cancelled", "aborted"):
            return http.error(404, job.state)
        last_event_id = request.headers.get("last-event-id", "")
        return self._stream_response(
            job, int(last_event_id) + 1 if last_event_id else 0
        )

    def _handle_cancel(
        self, request_id: str, attempt: int, job: batching.Job | None
    ) -> http.Response:
        if job is None or job.attempt < attempt:
            # The request may still be in transit: this cancelled job makes
            # the engine refuse it on arrival.
            job = batching.Job(request_id, attempt, 3, "", 0, 0, "")
            job.state = "cancelled"
            self._jobs[request_id] = job
            self._record_end(job)
        elif job.attempt == attempt:
            self._stop_job(job, "cancelled")
        return http.json_response({"ran": job.has_started})

    def _stream_response(
        self, job: batching.Job, first_position: int
    ) -> http.Response:
        headers = {"content-type": "text/event-stream"}
        events = self._stream_events(job, first_position)
        return http.Response(200, headers=headers, stream=events)

    async def _stream_events(
        self, job: batching.Job, first_position: int
    ) -> AsyncIterator[bytes]:
        position = first_position
        stream_number = self._stream_count
        self._stream_count += 1
        while True:
            silent = stream_number < self._first_unsilenced_stream
            if not silent and position < len(job.events):
                yield b"".join(
                    b"id: %d\ndata: %s\n\n" % event
                    for event in enumerate(job.events[position:], position)
                )
                position = len(job.events)
            elif not silent and job.is_done:
                break
            else:
                await self._wait_for_wake(job)
                if position >= len(job.events) and not (silent or job.is_done):
                    yield b": waiting\n\n"
        if job.state == "finished":
            yield b"data: [DONE]\n\n"
            return
        body = {"error": {"code": job.state, "message": job.state}}
        yield b"event: error\ndata: %s\n\n" % json.dumps(body).encode()

    async def _wait_for_wake(self, job: batching.Job) -> None:
        future: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._wake_futures.setdefault(id(job), []).append(future)
        await future

    def _wake(self, job: batching.Job) -> None:
        for future in self._wake_futures.pop(id(job), ()):
            if not future.done():
                future.set_result(None)

    # Steps

    async def _run_steps(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            if not self._batcher.jobs:
                self._has_work.clear()
                await self._has_work.wait()
            step_s = self._options.step_ms / 1000 * self._faults["slow"]
            due = max(due + step_s, loop.time())
            await asyncio.sleep(due - loop.time())
            self._step()

    def _step(self) -> None:
        advanced, cache_events = self._batcher.step()
        self._publish_cache_events(cache_events)
        for job in advanced:
            if job.is_done:
                self._record_end(job)
            self._wake(job)
        self._admit()

    async def _run_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(_HEARTBEAT_INTERVAL_S)
            for futures in list(self._wake_futures.values()):
                for future in futures:
                    if not future.done():
                        future.set_result(None)
            self._wake_futures.clear()

    # Reports

    def _current_state(self) -> dict[str, Any]:
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

    async def _publish_reports(self) -> None:
        while True:
            report = self._current_state()
            if report != self._latest_report:
                self._latest_report = report
                self._sequence += 1
                async with self._report_changed:
                    self._report_changed.notify_all()
            await asyncio.sleep(self._options.load_lag_s)

    async def _handle_load(self, request: http.Request) -> http.Response:
        after = int(request.query.get("after", "0"))
        wait_s = min(float(request.query.get("wait", "0")), _LONG_POLL_S_MAX)
        await self._faults.delay_and_hang(hang="dead_load")
        if after == self._sequence and wait_s > 0:
            await self._wait_for_report(after, wait_s)
        report = {"sequence": self._sequence, **self._latest_report}
        return http.json_response(report)

    async def _wait_for_report(self, after: int, wait_s: float) -> None:
        async with self._report_changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self._report_changed.wait_for(
                        lambda: self._sequence != after
                    )
            except TimeoutError:
                return

    def _publish_cache_events(
        self, cache_events: list[batching.CacheEvent]
    ) -> None:
        now = asyncio.get_running_loop().time()
        due = now + self._options.cache_event_lag_s
        for cache_event in cache_events:
            self._event_sequence += 1
            if self._random.random() >= self._options.cache_event_loss:
                row = [self._event_sequence, *cache_event]
                self._cache_events.append((due, row))

    async def _handle_cache_events(
        self, request: http.Request
    ) -> http.Response:
        loop = asyncio.get_running_loop()
        after = int(request.query.get("after", "0"))
        wait_s = min(float(request.query.get("wait", "0")), _LONG_POLL_S_MAX)
        deadline = loop.time() + wait_s
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
        next_sequence = rows[-1][0] if rows else after
        return http.json_response({"events": rows, "next": next_sequence})

    # Orders and the transfer of KV caches

    def _handle_order(self, request: http.Request) -> http.Response:
        order = json.loads(request.body)
        fence = list(order["fence"])
        if self._options.fenced and fence < self._fence:
            return http.json_response({"fence": self._fence}, 409)
        if self._faults["lost_orders"]:
            return http.json_response({}, 202)
        self._fence = fence
        target = {
            "version": order["version"],
            "adapter": order.get("adapter") or "",
            "role": order.get("role") or "both",
        }
        self._records.add("order", json.dumps(order), 0, 0)
        if target != self._loaded or self._loading:
            if self._order_task is not None:
                self._order_task.cancel()
            self._loading = True
            self._order_error = ""
            self._order_task = asyncio.create_task(self._execute_order(target))
        return http.json_response({}, 202)

    async def _execute_order(self, target: dict[str, str]) -> None:
        for job in self._batcher.jobs:
            self._stop_job(job, "aborted")
        self._publish_cache_events(self._cache.clear())
        try:
            if target["version"] != self._loaded["version"]:
                self._loaded["version"] = ""
                await self._fetch_weights(target["version"])
        except OSError as caught:
            self._order_error = f"weights: {caught}"
            return
        self._order_error = ""
        self._loaded = dict(target)
        self._loading = False

    async def _fetch_weights(self, version: str) -> None:
        if not self._options.platform:
            return
        path = f"/v1/weights/{self._options.model}/{version}"
        async with asyncio.timeout(_WEIGHTS_TIMEOUT_S):
            async with http.exchange(
                self._options.platform, "GET", path
            ) as exchange:
                async for _ in exchange.body_chunks():
                    pass
                if exchange.status != 200:
                    raise OSError(f"status {exchange.status}")

    def _handle_kv(self, request: http.Request) -> http.Response:
        cache_key = request.path.removeprefix("/v1/kv/")
        if request.method == "PUT":
            tokens = int.from_bytes(request.body[:8], "big")
            self._publish_cache_events(self._cache.store(cache_key, tokens))
            return http.json_response({"tokens": tokens})
        tokens = self._cache.lookup(cache_key)
        if not tokens:
            return http.error(404, "unknown-name")
        size = tokens * self._options.kv_bytes_per_token
        headers = {"content-type": "application/octet-stream"}
        return http.Response(
            200, tokens.to_bytes(8, "big") + bytes(size), headers
        )


async def serve(options: Options) -> None:
    """Serves an engine until it is cancelled."""
    engine = Engine(options)
    server = await http.serve(options.address, engine.handle)
    try:
        await engine.run()
    finally:
        await server.close()


if __name__ == "__main__":
    command.run(Options, serve)
