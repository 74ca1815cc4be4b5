"""The task that dispatches to one engine, at the router that owns it.

Only the owner dispatches to an engine in the normal case, so the queue, the
load and the bound of an engine are the state of one task. Everything reaches
the task as a message; attempts run as tasks of their own and report back.
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

# Failed reads of the load in a row before the engine counts as gone.
UNREACHABLE_AFTER = 3
PUMP_INTERVAL_S = 0.05
# Time without new requests after an engine refused one.
REFUSAL_PAUSE_S = 2.0
FULL_PAUSE_S = 0.1
# Moves after which a request that cannot meet its target is refused.
REFUSED_MOVES_MAX = 4
# Waiting requests that are offered to other engines in one turn.
MOVES_MAX = 4


class Offer(NamedTuple):
    """A request to run on this engine."""

    run: runs.Run
    job: queueing.Job
    resume: bool


class Trial(NamedTuple):
    """A request that is suspected of crashing engines; it runs alone."""

    run: runs.Run
    job: queueing.Job


class AttemptDone(NamedTuple):
    """An attempt ended."""

    run: runs.Run
    job: queueing.Job
    end: attempt.AttemptEnd


class Wake(NamedTuple):
    """Something changed that may let requests go out."""


class Drain(NamedTuple):
    """The engine shall take no new request, or take them again."""

    draining: bool


Message = Offer | Trial | AttemptDone | feeds.Reported | Wake | Drain


class Hooks(NamedTuple):
    """What the tasks of all engines share.

    Attributes:
        client: Connections to engines.
        view: What the router knows.
        quarantine: Which requests may crash engines.
        again: Places a run anew after an attempt that failed.
        hold: Places a run anew after a while.
        move: Places a waiting run on another engine if one is free; tells
            whether it did.
        answered: Told of each run that got its whole answer.
        refuse: Ends a run whose target cannot be met.
        lost: Told of an engine that cannot be reached, and whether it died.
        state_changed: Told that an engine became ready, or left.
        load_changed: Told that the load of an engine changed.
        dropped: Told of each event that was dropped, with the reason.
        reported: Told of each load report.
    """

    client: http_client.Client
    view: view.View
    quarantine: quarantine.Quarantine
    again: Callable[[runs.Run, str, str], None]
    hold: Callable[[runs.Run], None]
    move: Callable[[runs.Run], bool]
    answered: Callable[[runs.Run], None]
    refuse: Callable[[runs.Run, float], None]
    lost: Callable[[str, bool], None]
    state_changed: Callable[[str, str], None]
    load_changed: Callable[[], None]
    dropped: Callable[[str], None]
    reported: Callable[[str, feeds.LoadReport], None]


class EngineTask:
    """The queue and the dispatching of one engine."""

    def __init__(self, endpoint: view.Endpoint, slots: int, hooks: Hooks):
        self._endpoint = endpoint
        self._hooks = hooks
        self._queue = queueing.EngineQueue(slots)
        self._inbox: asyncio.Queue[Message] = asyncio.Queue()
        self._runs: dict[str, Offer] = {}
        self._trials: dict[str, Trial] = {}
        self._running: dict[str, asyncio.Task[None]] = {}
        self._chart = charts.Chart("endpoint")
        self._last_report: feeds.LoadReport = {}
        self._failures = 0
        self._pending = 0
        self._draining = False
        self._refusing_until = 0.0
        self._released = False
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def endpoint(self) -> view.Endpoint:
        """The engine."""
        return self._endpoint

    @property
    def queue(self) -> queueing.EngineQueue:
        """Its queue."""
        return self._queue

    @property
    def state(self) -> str:
        """State in the chart of an endpoint."""
        return self._chart.state

    @property
    def takes_work(self) -> bool:
        """Whether new requests may be placed here."""
        return (
            self._chart.state in ("joining", "ready")
            and not self._draining
            and self._now() >= self._refusing_until
        )

    @property
    def pending(self) -> int:
        """Requests that were offered and not looked at yet."""
        return self._pending

    @property
    def in_flight(self) -> int:
        """Attempts that run."""
        return len(self._running)

    @property
    def last_report(self) -> feeds.LoadReport:
        """The last load report."""
        return self._last_report

    @property
    def limit(self) -> int:
        """Most requests the engine may have after a dispatch."""
        the_view = self._hooks.view
        bound = the_view.directory.published.document["load_bound"]
        now = asyncio.get_running_loop().time()
        pool = self._endpoint.pool
        return the_view.loads.limit(pool, bound, now, the_view.reachable_share)

    def load_for(self, rank: int, account: str) -> int:
        """Returns the load as a new request would find it."""
        load = self._hooks.view.loads.load_of(self._endpoint.name)
        foreign = max(0, load - self._queue.in_flight)
        return self._queue.load_ahead(rank, account) + foreign + self.pending

    def start(self) -> None:
        """Starts the tasks of the engine."""
        log.emit(events.ENGINE_OWNED, engine=self._endpoint.name)
        client = self._hooks.client
        self._tasks = [
            asyncio.create_task(self._run()),
            asyncio.create_task(
                feeds.watch_load(client, self._endpoint, self.post)
            ),
            asyncio.create_task(
                feeds.watch_cache(client, self._endpoint, self._cache_event)
            ),
        ]

    def post(self, message: Message) -> None:
        """Gives the task a message."""
        if isinstance(message, Offer | Trial):
            self._pending += 1
        self._inbox.put_nowait(message)

    def offer(self, run: runs.Run, job: queueing.Job, resume: bool) -> None:
        """Queues a request for this engine."""
        self.post(Offer(run, job, resume))

    def withdraw(self, key: str) -> bool:
        """Removes a request that was not dispatched.

        Returns:
            False when it was dispatched or is not here.
        """
        if self._trials.pop(key, None) is not None:
            return True
        if not self._queue.withdraw(key):
            return False
        self._runs.pop(key, None)
        return True

    def cancel(self, run: runs.Run) -> None:
        """Gives up a request, wherever it stands."""
        key = str(run.key)
        if self.withdraw(key):
            return
        task = self._running.get(key)
        if task is not None:
            task.cancel()

    def release(self) -> list[runs.Run]:
        """Takes no more requests; what runs goes on.

        Returns:
            The requests that wait, to be placed elsewhere.
        """
        log.emit(events.ENGINE_RELEASED, engine=self._endpoint.name)
        self._released = True
        return self._empty_queue()

    def stop(self) -> None:
        """Ends the tasks of the engine."""
        for task in [*self._tasks, *self._running.values()]:
            task.cancel()

    def _empty_queue(self) -> list[runs.Run]:
        held: dict[str, Offer | Trial] = {**self._runs, **self._trials}
        waiting = [held[key].run for key in held if self.withdraw(key)]
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
                self._pump()
            except invariants.InvariantError:
                raise
            except Exception as caught:  # One request must not stop all.
                log.emit(
                    events.TASK_FAILED,
                    task=f"engine {self._endpoint.name}",
                    reason=repr(caught),
                )

    async def _next_message(self) -> Message | None:
        if not self._queue.waiting and not self._trials:
            return await self._inbox.get()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PUMP_INTERVAL_S):
                return await self._inbox.get()
        return None

    def _handle(self, message: Message) -> None:
        if isinstance(message, Offer | Trial):
            self._pending -= 1
        if isinstance(message, Offer):
            self._take_offer(message)
        elif isinstance(message, Trial):
            self._take_trial(message)
        elif isinstance(message, AttemptDone):
            self._attempt_done(message)
        elif isinstance(message, feeds.Reported):
            self._take_report(message)
        elif isinstance(message, Drain):
            self._drain(message.draining)

    def _drain(self, draining: bool) -> None:
        self._draining = draining
        trigger = "drain" if draining else "undrain"
        if self._chart.allows(trigger):
            self._chart.fire(trigger)
            self._hooks.state_changed(self._endpoint.name, self._chart.state)
        if draining:
            for run in self._empty_queue():
                self._hooks.again(run, self._endpoint.name, "draining")

    def _take_offer(self, offer: Offer) -> None:
        key = offer.job.key
        if offer.run.ended or key in self._running or key in self._runs:
            return
        if offer.resume:
            self._adopt(offer)
            return
        if self._released or not self.takes_work:
            self._hooks.hold(offer.run)
            return
        self._runs[key] = offer
        now = self._now()
        offer.run.engine = self._endpoint.name
        offer.run.fire("queue")
        for refused in self._queue.offer(offer.job, now):
            self._refuse_or_move(refused)

    def _adopt(self, offer: Offer) -> None:
        """Follows a stream that runs at the engine already."""
        now = self._now()
        name = self._endpoint.name
        offer.run.engine = name
        self._queue.add_running(offer.job, now)
        offer.run.fire("dispatch")
        self._hooks.view.loads.add(self._endpoint.pool, name)
        self._start_attempt(offer, now)

    def _take_trial(self, trial: Trial) -> None:
        if trial.run.ended:
            return
        if self._released or not self.takes_work:
            self._hooks.hold(trial.run)
            return
        trial.run.engine = self._endpoint.name
        self._trials[trial.job.key] = trial

    def _refuse_or_move(self, job: queueing.Job) -> None:
        offer = self._runs.get(job.key)
        may_move = offer is not None and offer.run.moves < REFUSED_MOVES_MAX
        if offer is not None and may_move and self._hooks.move(offer.run):
            del self._runs[job.key]
        else:
            self._refuse(job)

    def _refuse(self, job: queueing.Job) -> None:
        offer = self._runs.pop(job.key, None)
        if offer is not None:
            wait = self._queue.expected_wait_s(job.rank, job.account)
            self._hooks.refuse(offer.run, wait)

    def _pump(self) -> None:
        now = self._now()
        for expired in self._queue.expire(now):
            self._refuse(expired)
        if self._chart.state != "ready" or not self.takes_work:
            return
        if self._trials:
            self._pump_trial(now)
            return
        if self._hooks.quarantine.is_reserved(self._endpoint.name):
            return
        while self._queue.waiting:
            job = self._queue.take(now, self._limit_of_own())
            if job is None:
                self._move_some()
                return
            self._dispatch(job)

    def _pump_trial(self, now: float) -> None:
        """Lets the engine run empty and then a suspect alone."""
        name = self._endpoint.name
        if self._running or self._hooks.view.loads.load_of(name):
            return
        trial = self._trials.pop(next(iter(self._trials)))
        verdict = self._hooks.quarantine.begin_trial(
            trial.run.digest, name, now
        )
        if verdict is not quarantine.Verdict.ALONE:
            self._hooks.hold(trial.run)
            return
        # Nothing waits before it: it goes through the queue for its counts.
        self._queue.offer(trial.job, now)
        self._runs[trial.job.key] = Offer(trial.run, trial.job, False)
        job = self._queue.take(now, self._queue.slots)
        if job is not None:
            self._dispatch(job)

    def _limit_of_own(self) -> int:
        # Requests of a former owner count against the limit as well.
        load = self._hooks.view.loads.load_of(self._endpoint.name)
        foreign = max(0, load - self._queue.in_flight)
        return self.limit - foreign

    def _move_some(self) -> None:
        now = self._now()
        movable = [
            (key, offer.run)
            for key, offer in self._runs.items()
            if offer.run.wait_until <= now
        ]
        for key, run in movable[:MOVES_MAX]:
            if not self._hooks.move(run):
                return
            self._queue.withdraw(key)
            del self._runs[key]

    def _dispatch(self, job: queueing.Job) -> None:
        offer = self._runs.pop(job.key)
        run = offer.run
        pool = self._endpoint.pool
        name = self._endpoint.name
        # Attempts count upwards across owners and their restarts.
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
        run.attempts += 1
        run.held_since = None
        run.dispatched_at = now
        name = self._endpoint.name
        self._hooks.quarantine.note_started(run.digest, name, now)
        self._hooks.load_changed()
        self._running[offer.job.key] = asyncio.create_task(
            self._attempt(run, offer.job, offer.resume)
        )

    async def _attempt(
        self, run: runs.Run, job: queueing.Job, resume: bool
    ) -> None:
        submit = run.submit
        target = attempt.Target(
            self._endpoint.name,
            self._endpoint.address,
            placement.cache_key(submit.account, submit.chat),
            job.rank,
            resume,
            self._hooks.dropped,
        )
        end = attempt.AttemptEnd(attempt.Ending.CANCELLED)
        try:
            end = await attempt.run_attempt(self._hooks.client, target, run)
        except errors.PeerError as caught:
            end = attempt.AttemptEnd(attempt.Ending.LOST, str(caught))
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

    def _attempt_done(self, done: AttemptDone) -> None:
        name = self._endpoint.name
        key = done.job.key
        self._running.pop(key, None)
        now = self._now()
        self._queue.finish(key, now)
        self._hooks.view.loads.remove(self._endpoint.pool, name)
        self._hooks.load_changed()
        if done.end.ending is attempt.Ending.CANCELLED:
            self._cancel_later(done.run)
        if done.end.ending is not attempt.Ending.NOT_RUN:
            done.run.may_have_run = True
        # A connect that timed out may be the fault of this process.
        if done.end.crashed:
            self._lost_engine(done.end.reason, True)
        self._tell_quarantine(done, now)
        self._settle(done, now)

    def _tell_quarantine(self, done: AttemptDone, now: float) -> None:
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

    def _cancel_later(self, run: runs.Run) -> None:
        asyncio.get_running_loop().create_task(self._cancel_at_engine(run))

    def _settle(self, done: AttemptDone, now: float) -> None:
        run = done.run
        ending = done.end.ending
        name = self._endpoint.name
        outliers = self._hooks.view.outlier_detector(self._endpoint.pool)
        if run.ended:
            return
        if ending is attempt.Ending.DONE:
            outliers.record_result(name, True, now)
            self._hooks.answered(run)
            self._remember(run, done.job)
            run.fire("answer")
            run.finish(None, now)
        elif ending is attempt.Ending.REFUSED:
            run.fire("refuse")
            run.finish(_engine_refusal(run, done.end.reason), now)
        else:
            if outliers.record_result(name, False, now):
                log.emit(events.ENGINE_EJECTED, engine=name)
                self._hooks.state_changed(name, "ejected")
            if ending is attempt.Ending.NOT_RUN:
                self._refused(done.end.reason, now)
            self._hooks.again(run, name, done.end.reason)

    def _refused(self, reason: str, now: float) -> None:
        """Takes the engine's own word before its report says the same."""
        is_full = '"full"' in reason
        pause = FULL_PAUSE_S if is_full else REFUSAL_PAUSE_S
        self._refusing_until = now + pause
        state = "leaving" if '"leaving"' in reason else "refusing"
        self._hooks.state_changed(self._endpoint.name, state)

    def _remember(self, run: runs.Run, job: queueing.Job) -> None:
        submit = run.submit
        self._hooks.view.placement.record_served(
            self._endpoint.pool,
            submit.chat_name,
            self._endpoint.name,
            int(job.cost),
        )

    def _lost_engine(self, reason: str, crashed: bool) -> None:
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
        self._hooks.lost(self._endpoint.name, crashed)
        self._hooks.state_changed(self._endpoint.name, "suspect")
        for run in self._empty_queue():
            self._hooks.again(run, self._endpoint.name, "engine is gone")

    def _take_report(self, message: feeds.Reported) -> None:
        if message.report is None:
            self._failures += 1
            if self._failures >= UNREACHABLE_AFTER:
                self._lost_engine(message.reason, message.refused)
            return
        self._failures = 0
        report = message.report
        self._last_report = report
        name = self._endpoint.name
        running = report.get("running", 0) + report.get("waiting", 0)
        self._hooks.view.loads.record_report(name, running, self._now())
        self._set_state(report.get("state", "ready"))
        self._hooks.reported(name, report)

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
            for run in self._empty_queue():
                self._hooks.again(run, self._endpoint.name, state)

    def _cache_event(self, event: feeds.CacheEvent) -> None:
        self._hooks.view.placement.apply_cache_event(
            self._endpoint.name, event.kind, event.key, event.tokens
        )

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _engine_refusal(run: runs.Run, reason: str) -> wire.Failed:
    key = run.key
    return wire.Failed(
        key.request_id,
        key.account,
        502,
        "engine-refused",
        errors.Outcome.UNKNOWN.value,
        reason,
    )
