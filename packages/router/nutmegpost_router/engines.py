"""Queueing and dispatch of requests for one engine, at its owner.

Normally only the owner dispatches to an engine, so one task has the queue, the
load and the limit of the engine as its state. The task processes messages from
an inbox one at a time. Each attempt runs in a task of its own and posts a
message when it ends.
"""

import asyncio
from collections.abc import Callable
import contextlib
import time
from typing import NamedTuple

from nutmegpost_core import charts
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import invariants
from nutmegpost_core import placement
from nutmegpost_core import quarantine
from nutmegpost_core import queueing
from nutmegpost_core import wire
from nutmegpost_router import attempt
from nutmegpost_router import feeds
from nutmegpost_router import http_client
from nutmegpost_router import log
from nutmegpost_router import runs
from nutmegpost_router import view

__all__ = [
    "AttemptDone",
    "Drain",
    "EngineTask",
    "Hooks",
    "Offer",
    "Trial",
    "Wake",
]

# Consecutive failed reads of the load after which an engine is unreachable.
UNREACHABLE_FAILURES = 3
# Interval at which waiting requests are examined when no message arrives.
DISPATCH_INTERVAL_S = 0.05
# Time without new requests after an engine refused one, in general and because
# it was full.
REFUSAL_PAUSE_S = 2.0
FULL_PAUSE_S = 0.1
# Moves of a request after which it is refused if it cannot meet its target.
MOVES_BEFORE_REFUSAL_MAX = 4
# Most waiting requests that are moved to other engines at a time.
MOVES_PER_TURN_MAX = 4


class Offer(NamedTuple):
    """A request to queue or resume on this engine.

    Attributes:
        run: The request.
        job: Its entry for the queue.
        resume: Whether to resume an attempt that runs on the engine.
    """

    run: runs.Run
    job: queueing.Job
    resume: bool


class Trial(NamedTuple):
    """A request that is suspected of crashing engines, to run alone."""

    run: runs.Run
    job: queueing.Job


class AttemptDone(NamedTuple):
    """Reports the end of an attempt."""

    run: runs.Run
    job: queueing.Job
    end: attempt.AttemptResult


class Wake(NamedTuple):
    """Makes the task check whether waiting requests can be dispatched."""


class Drain(NamedTuple):
    """Starts or ends the draining of the engine."""

    draining: bool


Message = Offer | Trial | AttemptDone | feeds.LoadReading | Wake | Drain


class Hooks(NamedTuple):
    """Dependencies and callbacks that the tasks of all engines share.

    Attributes:
        client: HTTP client for the engines.
        view: The fleet as this router sees it.
        quarantine: Requests that are suspected of crashing engines.
        retry_run: Places a run again that left its queue or whose attempt
            failed; takes the run, the engine and the reason.
        defer: Places a run again after a delay.
        move: Moves a queued run to another engine below its limit; returns
            whether it did.
        answer_completed: Called with each run whose answer is complete.
        refuse: Ends a run whose latency target cannot be met; takes the
            expected wait, in seconds.
        engine_unreachable: Called with the name of an engine that cannot be
            reached and whether it crashed.
        state_changed: Called with the name and the state of an engine.
        load_changed: Called when the load of an engine changed.
        event_dropped: Called with the reason for each dropped event.
        load_reported: Called with the name of an engine and its load report.
    """

    client: http_client.Client
    view: view.View
    quarantine: quarantine.Quarantine
    retry_run: Callable[[runs.Run, str, str], None]
    defer: Callable[[runs.Run], None]
    move: Callable[[runs.Run], bool]
    answer_completed: Callable[[runs.Run], None]
    refuse: Callable[[runs.Run, float], None]
    engine_unreachable: Callable[[str, bool], None]
    state_changed: Callable[[str, str], None]
    load_changed: Callable[[], None]
    event_dropped: Callable[[str], None]
    load_reported: Callable[[str, feeds.LoadReport], None]


class EngineTask:
    """The queue of one engine and the task that dispatches from it."""

    def __init__(self, endpoint: view.Endpoint, slots: int, hooks: Hooks):
        self._endpoint = endpoint
        self._hooks = hooks
        self._queue = queueing.EngineQueue(slots)
        self._inbox: asyncio.Queue[Message] = asyncio.Queue()
        self._offers: dict[str, Offer] = {}
        self._trials: dict[str, Trial] = {}
        self._attempt_tasks: dict[str, asyncio.Task[None]] = {}
        self._chart = charts.Chart("endpoint")
        self._last_report: feeds.LoadReport = {}
        self._failed_reads = 0
        self._pending = 0
        self._draining = False
        self._refusing_until = 0.0
        self._released = False
        self._background_tasks: list[asyncio.Task[None]] = []

    @property
    def endpoint(self) -> view.Endpoint:
        """The engine."""
        return self._endpoint

    @property
    def queue(self) -> queueing.EngineQueue:
        """Waiting and running requests of the engine."""
        return self._queue

    @property
    def state(self) -> str:
        """State of the engine in the endpoint state chart."""
        return self._chart.state

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests may be placed here."""
        return (
            self._chart.state in ("joining", "ready")
            and not self._draining
            and self._now() >= self._refusing_until
        )

    @property
    def pending(self) -> int:
        """Number of requests in the inbox, not yet queued."""
        return self._pending

    @property
    def in_flight(self) -> int:
        """Number of running attempts."""
        return len(self._attempt_tasks)

    @property
    def last_report(self) -> feeds.LoadReport:
        """The last load report; empty before the first."""
        return self._last_report

    @property
    def limit(self) -> int:
        """Most requests the engine may have after a dispatch."""
        fleet_view = self._hooks.view
        bound = fleet_view.directory.published.document["load_bound"]
        now = asyncio.get_running_loop().time()
        pool = self._endpoint.pool
        return fleet_view.loads.limit(
            pool, bound, now, fleet_view.reachable_share
        )

    def load_ahead(self, rank: int, account: str) -> int:
        """Returns the load that a new request would find.

        It includes requests of other routers and requests in the inbox.

        Args:
            rank: Rank of the request.
            account: Client account of the request.
        """
        load = self._hooks.view.loads.load_of(self._endpoint.name)
        foreign = max(0, load - self._queue.in_flight)
        return self._queue.load_ahead(rank, account) + foreign + self.pending

    def start(self) -> None:
        """Starts the tasks of the engine."""
        log.emit(events.ENGINE_OWNED, engine=self._endpoint.name)
        client = self._hooks.client
        self._background_tasks = [
            asyncio.create_task(self._run()),
            asyncio.create_task(
                feeds.watch_load(client, self._endpoint, self.post)
            ),
            asyncio.create_task(
                feeds.watch_cache(client, self._endpoint, self._cache_event)
            ),
        ]

    def post(self, message: Message) -> None:
        """Adds a message to the inbox of the task."""
        if isinstance(message, Offer | Trial):
            self._pending += 1
        self._inbox.put_nowait(message)

    def offer(self, run: runs.Run, job: queueing.Job, resume: bool) -> None:
        """Queues a request for this engine."""
        self.post(Offer(run, job, resume))

    def withdraw(self, key: str) -> bool:
        """Removes a waiting request.

        Returns:
            False if the request was dispatched or is unknown.
        """
        if self._trials.pop(key, None) is not None:
            return True
        if not self._queue.withdraw(key):
            return False
        self._offers.pop(key, None)
        return True

    def cancel(self, run: runs.Run) -> None:
        """Cancels a request, whether it waits or runs."""
        key = str(run.key)
        if self.withdraw(key):
            return
        task = self._attempt_tasks.get(key)
        if task is not None:
            task.cancel()

    def release(self) -> list[runs.Run]:
        """Stops accepting requests; running attempts continue.

        Returns:
            The requests that waited, to be placed on other engines.
        """
        log.emit(events.ENGINE_RELEASED, engine=self._endpoint.name)
        self._released = True
        return self._remove_waiting()

    def stop(self) -> None:
        """Cancels the tasks of the engine and its attempts."""
        for task in [*self._background_tasks, *self._attempt_tasks.values()]:
            task.cancel()

    def _remove_waiting(self) -> list[runs.Run]:
        waiting_by_key: dict[str, Offer | Trial] = {
            **self._offers,
            **self._trials,
        }
        waiting = [
            waiting_by_key[key].run
            for key in waiting_by_key
            if self.withdraw(key)
        ]
        while not self._inbox.empty():
            message = self._inbox.get_nowait()
            if isinstance(message, Offer | Trial):
                self._pending -= 1
                waiting.append(message.run)
            else:
                self._handle(message)
        return waiting

    async def _run(self) -> None:
        while True:
            message = await self._next_message()
            try:
                if message is not None:
                    self._handle(message)
                self._dispatch_waiting()
            except invariants.InvariantError:
                raise
            except Exception as caught:  # Other requests must go on.
                log.emit(
                    events.TASK_FAILED,
                    task=f"engine {self._endpoint.name}",
                    reason=repr(caught),
                )

    async def _next_message(self) -> Message | None:
        if not self._queue.waiting and not self._trials:
            return await self._inbox.get()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DISPATCH_INTERVAL_S):
                return await self._inbox.get()
        return None

    def _handle(self, message: Message) -> None:
        if isinstance(message, Offer | Trial):
            self._pending -= 1
        if isinstance(message, Offer):
            self._handle_offer(message)
        elif isinstance(message, Trial):
            self._handle_trial(message)
        elif isinstance(message, AttemptDone):
            self._handle_attempt_done(message)
        elif isinstance(message, feeds.LoadReading):
            self._handle_report(message)
        elif isinstance(message, Drain):
            self._drain(message.draining)

    def _drain(self, draining: bool) -> None:
        self._draining = draining
        trigger = "drain" if draining else "undrain"
        if self._chart.allows(trigger):
            self._chart.fire(trigger)
            self._hooks.state_changed(self._endpoint.name, self._chart.state)
        if draining:
            for run in self._remove_waiting():
                self._hooks.retry_run(run, self._endpoint.name, "draining")

    def _handle_offer(self, offer: Offer) -> None:
        key = offer.job.key
        if offer.run.ended or key in self._attempt_tasks or key in self._offers:
            return
        if offer.resume:
            self._resume_stream(offer)
            return
        if self._released or not self.accepts_requests:
            self._hooks.defer(offer.run)
            return
        self._offers[key] = offer
        now = self._now()
        offer.run.engine = self._endpoint.name
        offer.run.fire("queue")
        for refused in self._queue.offer(offer.job, now):
            self._refuse_or_move(refused)

    def _resume_stream(self, offer: Offer) -> None:
        """Resumes the stream of an attempt that runs on the engine."""
        now = self._now()
        name = self._endpoint.name
        offer.run.engine = name
        self._queue.add_running(offer.job, now)
        offer.run.fire("dispatch")
        self._hooks.view.loads.add(self._endpoint.pool, name)
        self._start_attempt(offer, now)

    def _handle_trial(self, trial: Trial) -> None:
        if trial.run.ended:
            return
        if self._released or not self.accepts_requests:
            self._hooks.defer(trial.run)
            return
        trial.run.engine = self._endpoint.name
        self._trials[trial.job.key] = trial

    def _refuse_or_move(self, job: queueing.Job) -> None:
        offer = self._offers.get(job.key)
        may_move = (
            offer is not None
            and offer.run.move_count < MOVES_BEFORE_REFUSAL_MAX
        )
        if offer is not None and may_move and self._hooks.move(offer.run):
            del self._offers[job.key]
        else:
            self._refuse(job)

    def _refuse(self, job: queueing.Job) -> None:
        offer = self._offers.pop(job.key, None)
        if offer is not None:
            wait = self._queue.expected_wait_s(job.rank, job.account)
            self._hooks.refuse(offer.run, wait)

    def _dispatch_waiting(self) -> None:
        now = self._now()
        for expired in self._queue.expire(now):
            self._refuse(expired)
        if self._chart.state != "ready" or not self.accepts_requests:
            return
        if self._trials:
            self._dispatch_trial(now)
            return
        if self._hooks.quarantine.is_reserved(self._endpoint.name):
            return
        while self._queue.waiting:
            job = self._queue.take(now, self._own_limit())
            if job is None:
                self._move_waiting()
                return
            self._dispatch(job)

    def _dispatch_trial(self, now: float) -> None:
        """Starts a trial once the engine has no request in flight."""
        name = self._endpoint.name
        if self._attempt_tasks or self._hooks.view.loads.load_of(name):
            return
        trial = self._trials.pop(next(iter(self._trials)))
        verdict = self._hooks.quarantine.begin_trial(
            trial.run.digest, name, now
        )
        if verdict is not quarantine.Verdict.ALONE:
            self._hooks.defer(trial.run)
            return
        # The trial passes through the queue so that it is counted as running.
        self._queue.offer(trial.job, now)
        self._offers[trial.job.key] = Offer(trial.run, trial.job, False)
        job = self._queue.take(now, self._queue.slots)
        if job is not None:
            self._dispatch(job)

    def _own_limit(self) -> int:
        # Requests of a previous owner count towards the limit as well.
        load = self._hooks.view.loads.load_of(self._endpoint.name)
        foreign = max(0, load - self._queue.in_flight)
        return self.limit - foreign

    def _move_waiting(self) -> None:
        now = self._now()
        movable = [
            (key, offer.run)
            for key, offer in self._offers.items()
            if offer.run.movable_at <= now
        ]
        for key, run in movable[:MOVES_PER_TURN_MAX]:
            if not self._hooks.move(run):
                return
            self._queue.withdraw(key)
            del self._offers[key]

    def _dispatch(self, job: queueing.Job) -> None:
        offer = self._offers.pop(job.key)
        run = offer.run
        pool = self._endpoint.pool
        name = self._endpoint.name
        # Attempt numbers are based on the clock so that they increase across
        # owners and their restarts.
        run.attempt = max(run.attempt + 1, time.time_ns() // 1_000_000)
        run.fire("dispatch")
        limit = self.limit
        self._hooks.view.loads.add(pool, name)
        load = self._hooks.view.loads.load_of(name)
        invariants.check(
            load <= limit,
            events.LOAD_OVER_BOUND,
            engine=name,
            load=load,
            bound=limit,
        )
        self._start_attempt(offer, self._now())

    def _start_attempt(self, offer: Offer, now: float) -> None:
        run = offer.run
        run.attempt_count += 1
        run.deferred_since = None
        run.dispatched_at = now
        name = self._endpoint.name
        self._hooks.quarantine.note_started(run.digest, name, now)
        self._hooks.load_changed()
        self._attempt_tasks[offer.job.key] = asyncio.create_task(
            self._run_attempt(run, offer.job, offer.resume)
        )

    async def _run_attempt(
        self, run: runs.Run, job: queueing.Job, resume: bool
    ) -> None:
        submit = run.submit
        target = attempt.Target(
            self._endpoint.name,
            self._endpoint.address,
            placement.cache_key(submit.account, submit.chat),
            job.rank,
            resume,
            self._hooks.event_dropped,
        )
        end = attempt.AttemptResult(attempt.Ending.CANCELLED)
        try:
            end = await attempt.run_attempt(self._hooks.client, target, run)
        except errors.PeerError as caught:
            end = attempt.AttemptResult(attempt.Ending.LOST, str(caught))
        finally:
            self.post(AttemptDone(run, job, end))
        if end.ending is attempt.Ending.LOST and not end.unreachable:
            await self._cancel_at_engine(run)

    async def _cancel_at_engine(self, run: runs.Run) -> None:
        await attempt.cancel(
            self._hooks.client,
            self._endpoint.address,
            str(run.key),
            run.attempt,
        )

    def _handle_attempt_done(self, done: AttemptDone) -> None:
        name = self._endpoint.name
        key = done.job.key
        self._attempt_tasks.pop(key, None)
        now = self._now()
        self._queue.finish(key, now)
        self._hooks.view.loads.remove(self._endpoint.pool, name)
        self._hooks.load_changed()
        if done.end.ending is attempt.Ending.CANCELLED:
            self._schedule_cancel(done.run)
        if done.end.ending is not attempt.Ending.NOT_RUN:
            done.run.may_have_run = True
        # Only a refused connection counts as a crash: a connect timeout may be
        # caused by this process.
        if done.end.crashed:
            self._handle_unreachable(done.end.reason, True)
        self._record_in_quarantine(done, now)
        self._finish_or_retry(done, now)

    def _record_in_quarantine(self, done: AttemptDone, now: float) -> None:
        digest = done.run.digest
        name = self._endpoint.name
        suspects = self._hooks.quarantine
        if done.end.ending is attempt.Ending.DONE:
            suspects.note_finished(digest, name, now)
        elif done.end.ending in (
            attempt.Ending.NOT_RUN,
            attempt.Ending.REFUSED,
        ):
            suspects.note_withdrawn(digest, name, now)
        else:
            suspects.note_cancelled(digest, name, now)

    def _schedule_cancel(self, run: runs.Run) -> None:
        asyncio.get_running_loop().create_task(self._cancel_at_engine(run))

    def _finish_or_retry(self, done: AttemptDone, now: float) -> None:
        run = done.run
        ending = done.end.ending
        name = self._endpoint.name
        outliers = self._hooks.view.outlier_detector(self._endpoint.pool)
        if run.ended:
            return
        if ending is attempt.Ending.DONE:
            outliers.record_result(name, True, now)
            self._hooks.answer_completed(run)
            self._record_cache(run, done.job)
            run.fire("answer")
            run.finish(None, now)
        elif ending is attempt.Ending.REFUSED:
            run.fire("refuse")
            run.finish(_refusal_message(run, done.end.reason), now)
        else:
            if outliers.record_result(name, False, now):
                log.emit(events.ENGINE_EJECTED, engine=name)
                self._hooks.state_changed(name, "ejected")
            if ending is attempt.Ending.NOT_RUN:
                self._pause_after_refusal(done.end.reason, now)
            self._hooks.retry_run(run, name, done.end.reason)

    def _pause_after_refusal(self, reason: str, now: float) -> None:
        """Stops placing requests on an engine that refused one.

        This takes effect before the next load report of the engine.
        """
        is_full = '"full"' in reason
        pause = FULL_PAUSE_S if is_full else REFUSAL_PAUSE_S
        self._refusing_until = now + pause
        state = "leaving" if '"leaving"' in reason else "refusing"
        self._hooks.state_changed(self._endpoint.name, state)

    def _record_cache(self, run: runs.Run, job: queueing.Job) -> None:
        submit = run.submit
        self._hooks.view.placement.record_served(
            self._endpoint.pool,
            submit.chat_name,
            self._endpoint.name,
            int(job.cost),
        )

    def _handle_unreachable(self, reason: str, crashed: bool) -> None:
        if crashed:
            self._hooks.quarantine.note_engine_crashed(
                self._endpoint.name, self._now()
            )
        if self._chart.state in ("suspect", "gone"):
            return
        log.emit(
            events.ENGINE_UNREACHABLE,
            engine=self._endpoint.name,
            reason=reason,
        )
        if self._chart.allows("suspect"):
            self._chart.fire("suspect")
        self._hooks.engine_unreachable(self._endpoint.name, crashed)
        self._hooks.state_changed(self._endpoint.name, "suspect")
        for run in self._remove_waiting():
            self._hooks.retry_run(
                run, self._endpoint.name, "engine is unreachable"
            )

    def _handle_report(self, reading: feeds.LoadReading) -> None:
        if reading.report is None:
            self._failed_reads += 1
            if self._failed_reads >= UNREACHABLE_FAILURES:
                self._handle_unreachable(reading.reason, reading.refused)
            return
        self._failed_reads = 0
        report = reading.report
        self._last_report = report
        name = self._endpoint.name
        running = report.get("running", 0) + report.get("waiting", 0)
        self._hooks.view.loads.record_report(name, running, self._now())
        self._set_state(report.get("state", "ready"))
        self._hooks.load_reported(name, report)

    def _set_state(self, state: str) -> None:
        trigger = {
            ("joining", "ready"): "ready",
            ("loading", "ready"): "ready",
            ("suspect", "ready"): "recover",
            ("leaving", "ready"): "join",
            ("joining", "loading"): "load",
            ("ready", "loading"): "load",
            ("draining", "loading"): "load",
            ("draining", "leaving"): "leave",
            ("suspect", "loading"): "load",
            ("joining", "leaving"): "leave",
            ("ready", "leaving"): "leave",
            ("suspect", "leaving"): "leave",
            ("loading", "leaving"): "leave",
        }.get((self._chart.state, state))
        if trigger is None:
            return
        self._chart.fire(trigger)
        if trigger == "join":
            self._chart.fire("ready")
        if self._chart.state == "ready":
            log.emit(events.ENGINE_READY, engine=self._endpoint.name)
        self._hooks.state_changed(self._endpoint.name, self._chart.state)
        if self._chart.state != "ready":
            for run in self._remove_waiting():
                self._hooks.retry_run(run, self._endpoint.name, state)

    def _cache_event(self, event: feeds.CacheEvent) -> None:
        self._hooks.view.placement.apply_cache_event(
            self._endpoint.name, event.kind, event.key, event.tokens
        )

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _refusal_message(run: runs.Run, reason: str) -> wire.Failed:
    key = run.key
    return wire.Failed(
        key.request_id,
        key.account,
        502,
        "engine-refused",
        errors.Outcome.UNKNOWN.value,
        reason,
    )
