"""Placement and execution of chat requests on the engines a router owns.

`Owner.handle_request` is the entry point for requests that this router received
from clients and from peers. It yields messages of `wire`: frames, a redirection
to the owner of another engine, or a failure.
"""

import asyncio
import collections
from collections.abc import AsyncGenerator, Callable
import contextlib
import math
from typing import NamedTuple

from nutmegpost_core import chat
from nutmegpost_core import copies
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import placement
from nutmegpost_core import quarantine
from nutmegpost_core import retry
from nutmegpost_core import rollout
from nutmegpost_core import sse
from nutmegpost_core import wire
from nutmegpost_router import chooser
from nutmegpost_router import engines
from nutmegpost_router import feeds
from nutmegpost_router import http_client
from nutmegpost_router import log
from nutmegpost_router import peers
from nutmegpost_router import runs
from nutmegpost_router import view

__all__ = ["Observer", "Owner", "failed_message"]

# Redirections after which a router runs a request itself.
HOPS_MAX = 3
# Most attempts of a request that may have run on an engine.
ATTEMPTS_MAX = 3
# Dispatches refused by engines after which a request fails.
REFUSALS_MAX = 8
# Retries earned per first attempt, and the most that accumulate.
RETRY_BUDGET_SHARE = 0.2
RETRY_BUDGET_BURST = 20.0
SWEEP_INTERVAL_S = 1.0
# Time without a subscriber after which a run is cancelled.
UNREAD_LIMIT_S = 10.0
# Time for which the events of an ended run can still be read.
ENDED_RUN_RETENTION_S = 30.0
RUNS_MAX = 50_000
REDIRECTS_MAX = 20_000
RETRY_AFTER_S = 1.0
# Minimum time between moves, as a share of the target time to first token.
MOVE_INTERVAL_TARGET_SHARE = 0.1
# Interval at which a request that no engine accepts is placed again, and the
# longest time for which it is deferred.
DEFER_INTERVAL_S = 0.1
DEFER_MAX_S = 60.0
# Redirections of a suspect after which it is deferred once, so that the views
# of the routers can converge.
TRIAL_HOPS_MAX = 2
TRIAL_DEFER_S = 1.0
# Time in which the report of a crash reaches every router; equal to
# `quarantine.Limits.propagation_s`.
COPY_COLOCATION_S = 5.0
# Longest delay before a suspect is examined again: a report of another router
# may change its verdict at any time.
VERDICT_DEFER_MAX_S = 1.0


class Observer(NamedTuple):
    """Callbacks for events at the engines of an owner.

    Attributes:
        load_changed: The load of an engine changed.
        engine_leaving: The named engine is leaving and accepts no new requests.
        engine_unreachable: The named engine cannot be reached.
        request_retried: A request is placed again.
        event_dropped: An event of a stream was dropped; takes the reason.
        load_reported: The named engine sent a load report.
    """

    load_changed: Callable[[], None]
    engine_leaving: Callable[[str], None]
    engine_unreachable: Callable[[str], None]
    request_retried: Callable[[], None]
    event_dropped: Callable[[str], None]
    load_reported: Callable[[str, feeds.LoadReport], None]


def failed_message(
    submit: wire.Submit | runs.Run, error: errors.RequestError
) -> wire.Failed:
    """Returns the message that reports an error to the sender."""
    origin = submit.submit if isinstance(submit, runs.Run) else submit
    return wire.Failed(
        origin.request_id,
        origin.account,
        error.status,
        error.code,
        error.outcome.value,
        str(error),
        error.retry_after or 0.0,
    )


class _Placement(NamedTuple):
    """The engine for a request.

    Attributes:
        engine: Name of the engine.
        wait_s: Seconds to queue there before the request may be moved.
        is_resumed: Whether an attempt that runs there is resumed.
    """

    engine: str
    wait_s: float
    is_resumed: bool


class Owner:
    """The engines that this router owns and the requests on them."""

    def __init__(
        self,
        fleet_view: view.View,
        client: http_client.Client,
        suspects: quarantine.Quarantine,
        observer: Observer,
    ):
        self._view = fleet_view
        self._quarantine = suspects
        self._observer = observer
        self._tasks: dict[str, engines.EngineTask] = {}
        self._released: list[engines.EngineTask] = []
        self._runs: dict[runs.Key, runs.Run] = {}
        self._redirects: collections.OrderedDict[runs.Key, str] = (
            collections.OrderedDict()
        )
        self._copies = copies.CopyPlacements(COPY_COLOCATION_S)
        self._retries = retry.RetryBudget(
            RETRY_BUDGET_SHARE, RETRY_BUDGET_BURST
        )
        self._chooser = chooser.Chooser(fleet_view, self._tasks)
        self._hooks = engines.Hooks(
            client=client,
            view=fleet_view,
            quarantine=suspects,
            retry_run=self._retry_run,
            defer=self._defer,
            move=self._move,
            answer_completed=self._answer_completed,
            refuse=self._refuse,
            engine_unreachable=self._engine_unreachable,
            state_changed=self._state_changed,
            load_changed=observer.load_changed,
            event_dropped=observer.event_dropped,
            load_reported=observer.load_reported,
        )

    @property
    def tasks(self) -> dict[str, engines.EngineTask]:
        """The engine tasks by name of the engine."""
        return self._tasks

    @property
    def in_flight(self) -> int:
        """Number of requests that have not ended."""
        return sum(1 for run in self._runs.values() if not run.ended)

    async def handle_request(
        self, submit: wire.Submit
    ) -> AsyncGenerator[wire.Message, None]:
        """Places or runs a request.

        Args:
            submit: The request.

        Yields:
            Frames. If the answer is not completed, a redirection or a failure
            follows as the last message.
        """
        try:
            result = self._join_or_place(submit)
        except errors.RequestError as caught:
            yield failed_message(submit, caught)
            return
        if isinstance(result, wire.Redirected):
            yield result
            return
        try:
            while True:
                piece = await result.next_batch()
                complete = piece.ended and piece.end is None
                if piece.events or complete:
                    yield _frames_message(result.run, piece, complete)
                if piece.end is not None:
                    yield piece.end
                if piece.ended:
                    return
        finally:
            result.run.unsubscribe(result, self._now())

    async def handle_peer_request(
        self, submit: wire.Submit, send: peers.Send
    ) -> None:
        """Places or runs a request of a peer.

        Args:
            submit: The request.
            send: Sends a message to the peer.
        """
        async with contextlib.aclosing(self.handle_request(submit)) as messages:
            async for message in messages:
                send(message)

    def withdraw(self, message: wire.Withdraw) -> wire.Withdrawn:
        """Cancels a request.

        Returns:
            The reply, with whether the request may have run.
        """
        key = runs.Key(message.account, message.request_id)
        run = self._runs.get(key)
        if run is None or run.ended:
            # An unknown request may have run at another router.
            may_have_run = run is None or run.may_have_run or run.end is None
            return wire.Withdrawn(
                message.request_id, message.account, may_have_run
            )
        self._cancel(run)
        return wire.Withdrawn(
            message.request_id,
            message.account,
            run.may_have_run or run.attempt_count > 0,
        )

    def reconcile(self) -> None:
        """Starts and releases engine tasks to match the current view."""
        wanted = {
            name
            for name in self._view.owned_endpoints()
            if self._view.endpoints[name].kind == "engine"
            and self._view.endpoints[name].pool in self._view.directory.models
        }
        for name in wanted - set(self._tasks):
            self._start_task(name)
        for name in set(self._tasks) - wanted:
            self._release_task(self._tasks.pop(name))
        for task in self._tasks.values():
            model = self._view.directory.models[task.endpoint.pool]
            if task.queue.slots != model["slots"]:
                task.queue.slots = model["slots"]
        self._set_available()

    def report(self, engine: str) -> rollout.Report:
        """Returns the rollout report of an engine that this router owns."""
        task = self._tasks[engine]
        last_report = task.last_report
        fence = last_report.get("fence") or [0, 0]
        is_silent = not last_report or task.state in ("joining", "suspect")
        return rollout.Report(
            state="silent" if is_silent else last_report.get("state", "ready"),
            target=rollout.Target(
                last_report.get("version", ""),
                last_report.get("adapter") or "",
                last_report.get("role", "both"),
            ),
            fence=(fence[0], fence[-1]),
            order_error=last_report.get("order_error") or "",
            is_idle=not task.in_flight
            and not last_report.get("running", 0)
            and not last_report.get("waiting", 0),
        )

    def drain(self, engine: str, draining: bool) -> None:
        """Starts or ends the draining of an engine, if this router owns it."""
        task = self._tasks.get(engine)
        if task is not None:
            task.post(engines.Drain(draining))

    def wake(self) -> None:
        """Wakes the engine tasks to check limits that may have changed."""
        for task in self._tasks.values():
            if task.queue.waiting:
                task.post(engines.Wake())

    def release_all(self) -> None:
        """Releases all engines; waiting requests go to the next owners."""
        for name in list(self._tasks):
            self._release_task(self._tasks.pop(name))

    async def sweep(self) -> None:
        """Periodically drops old runs and cancels those without subscribers.

        Runs until the task is cancelled.
        """
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = self._now()
            for key, run in list(self._runs.items()):
                if run.ended and now - run.ended_at > ENDED_RUN_RETENTION_S:
                    del self._runs[key]
                elif self._is_unread(run, now):
                    log.emit(events.REQUEST_CANCELLED, request=str(key))
                    self._cancel(run)
            self._drop_released()

    def stop(self) -> None:
        """Cancels all engine tasks, released ones included."""
        for task in [*self._tasks.values(), *self._released]:
            task.stop()

    def explain(
        self, model: str, account: str, chat_name: str
    ) -> placement.Choice:
        """Returns how a request would be placed now."""
        return self._chooser.choose(
            model, chooser.Work(account, 1, 0.0), chat_name, False
        )

    def _is_unread(self, run: runs.Run, now: float) -> bool:
        return (
            not run.ended
            and not run.has_subscribers
            and now - run.unread_since > UNREAD_LIMIT_S
        )

    def _join_or_place(
        self, submit: wire.Submit
    ) -> "runs.Subscription | wire.Redirected":
        key = runs.Key(submit.account, submit.request_id)
        digest = _digest(submit)
        last_event_id = (
            sse.EventId.parse(submit.last_event) if submit.last_event else None
        )
        position = last_event_id.sequence + 1 if last_event_id else 0
        run = self._runs.get(key)
        if run is not None and run.digest != digest:
            raise errors.IdempotencyError(
                f"request {key.request_id!r} was another one before"
            )
        if run is not None and run.end is None and run.can_resume_at(position):
            return run.subscribe(position)
        place = self._place(key, submit, last_event_id)
        owner = self._view.owner(place.engine)
        # A suspect waits here for its verdict: the report of the crash may not
        # have reached the other owner yet.
        is_redirected = owner != self._view.name and submit.hops < HOPS_MAX
        if is_redirected and not self._is_suspect(submit):
            self._record_redirect(key, place.engine)
            self._record_remote_chat(submit, place.engine)
            return wire.Redirected(
                submit.request_id,
                submit.account,
                place.engine,
                submit.fresh or not place.is_resumed,
            )
        return self._create(submit, digest, place, last_event_id)

    def _create(
        self,
        submit: wire.Submit,
        digest: bytes,
        place: _Placement,
        last_event_id: sse.EventId | None,
    ) -> runs.Subscription:
        if len(self._runs) >= RUNS_MAX:
            raise errors.OverloadError(
                "too many requests", retry_after=RETRY_AFTER_S
            )
        position = last_event_id.sequence + 1 if last_event_id else 0
        run = runs.Run(submit, digest, position)
        self._runs[run.key] = run
        subscription = run.subscribe(position)
        if last_event_id is not None:
            run.attempt = last_event_id.attempt
            run.may_have_run = True
        run.movable_at = self._now() + place.wait_s
        run.fire("place")
        self._retries.record_first_attempt(self._now())
        if not self._is_suspect(submit):
            # A request with too many redirections runs here, even if the engine
            # belongs to another router.
            self._ensure_task(place.engine)
        if place.is_resumed:
            # The attempt already runs, so the quarantine is not consulted.
            self._tasks[place.engine].offer(run, self._chooser.job(run), True)
        else:
            self._place_or_fail(run, lambda: self._launch(run, place.engine))
        return subscription

    def _ensure_task(self, engine: str) -> engines.EngineTask:
        if engine not in self._tasks:
            self._start_task(engine)
        return self._tasks[engine]

    def _place(
        self,
        key: runs.Key,
        submit: wire.Submit,
        last_event_id: sse.EventId | None,
    ) -> _Placement:
        model = self._view.directory.model(submit.model)
        engine = submit.engine or self._redirects.get(key, "")
        endpoint = self._view.find_endpoint(engine)
        is_known = endpoint is not None and endpoint.pool == model["name"]
        # A stream is resumed on its engine even while that engine is leaving.
        is_streaming_there = (
            is_known
            and last_event_id is not None
            and last_event_id.engine == engine
        )
        if (
            is_streaming_there
            and not submit.fresh
            and not self._is_suspect(submit)
        ):
            return _Placement(engine, 0.0, True)
        return self._choose_placement(submit, engine if is_known else "")

    def _choose_placement(self, submit: wire.Submit, engine: str) -> _Placement:
        """Chooses the engine for a new attempt of a request.

        The engine of recent copies is preferred, then the previous engine, then
        the choice of placement.

        Args:
            submit: The request.
            engine: Engine on which it was placed before; empty for none.
        """
        digest, now = _digest(submit), self._now()
        copy_engine = self._copies.engine(digest, now)
        wait_s = 0.0
        # Routers that recorded different copies would redirect a request in a
        # loop, so only an engine of this router overrides an earlier placement.
        if self._accepts_requests(copy_engine) and (
            copy_engine in self._tasks or not engine
        ):
            engine = copy_engine
        elif not self._accepts_requests(engine):
            may_wait = not submit.hops and not submit.engine
            choice = self._chooser.choose_for(submit, may_wait)
            engine, wait_s = choice.engine, choice.wait_s
        if not engine:
            raise errors.UnavailableError(
                f"no engine of {submit.model!r}", retry_after=RETRY_AFTER_S
            )
        self._copies.record_placement(digest, engine, now)
        return _Placement(engine, wait_s, False)

    def _accepts_requests(self, engine: str) -> bool:
        task = self._tasks.get(engine)
        is_listed = engine in self._view.endpoints
        return is_listed and (task is None or task.accepts_requests)

    def _is_suspect(self, submit: wire.Submit) -> bool:
        """Returns whether the request is suspected of crashing an engine.

        The stream of a suspect ended with the engine. An attempt to resume it
        would count the same crash a second time.
        """
        verdict = self._quarantine.verdict(_digest(submit), self._now())
        return verdict is not quarantine.Verdict.ALLOW

    def _launch(self, run: runs.Run, engine: str) -> None:
        """Sends a run to an engine if the quarantine allows it.

        Raises:
            errors.QuarantineError: The request crashed too many engines.
            errors.UnavailableError: The run was deferred for too long.
        """
        now = self._now()
        verdict = self._quarantine.verdict(run.digest, now)
        if verdict is quarantine.Verdict.REFUSE:
            raise errors.QuarantineError(
                "the request was running at engines that crashed"
            )
        if verdict is quarantine.Verdict.WAIT:
            delay = self._quarantine.retry_after(run.digest, now)
            self._defer_for(min(delay, VERDICT_DEFER_MAX_S), run)
        elif verdict is quarantine.Verdict.ALONE:
            self._launch_trial(run)
        else:
            self._send_to(run, engine)

    def _defer(self, run: runs.Run) -> None:
        """Places a run again after a delay, until `DEFER_MAX_S` is over."""
        self._place_or_fail(run, lambda: self._defer_for(DEFER_INTERVAL_S, run))

    def _defer_for(self, delay_s: float, run: runs.Run) -> None:
        now = self._now()
        if run.deferred_since is None:
            run.deferred_since = now
        if now - run.deferred_since > DEFER_MAX_S:
            raise errors.UnavailableError(
                "no engine could take the request", retry_after=RETRY_AFTER_S
            )
        asyncio.get_running_loop().call_later(
            max(delay_s, DEFER_INTERVAL_S), self._place_deferred, run
        )

    def _place_deferred(self, run: runs.Run) -> None:
        if not run.ended:
            self._place_or_fail(run, lambda: self._place_again(run))

    def _launch_trial(self, run: runs.Run) -> None:
        """Starts a trial of a suspect, or redirects it to its coordinator."""
        pool = run.submit.model
        engines_by_owner: dict[str, list[str]] = {}
        for name in self._view.pool_endpoints(pool):
            engines_by_owner.setdefault(self._view.owner(name), []).append(name)
        coordinator = quarantine.trial_coordinator(
            run.digest, sorted(engines_by_owner)
        )
        if coordinator != self._view.name:
            # While their views differ, routers may redirect in a loop.
            if run.submit.hops >= TRIAL_HOPS_MAX and run.deferred_since is None:
                self._defer_for(TRIAL_DEFER_S, run)
            else:
                self._redirect(run, engines_by_owner[coordinator][0])
            return
        tasks = [
            self._tasks[name]
            for name in engines_by_owner[coordinator]
            if name in self._tasks and self._tasks[name].accepts_requests
        ]
        if not tasks:
            self._defer_for(DEFER_INTERVAL_S, run)
            return
        task = min(tasks, key=lambda candidate: candidate.in_flight)
        task.post(engines.Trial(run, self._chooser.job(run)))

    def _redirect(self, run: runs.Run, engine: str) -> None:
        key = run.key
        run.finish(
            wire.Redirected(key.request_id, key.account, engine, fresh=True),
            self._now(),
        )

    def cancel_exposed(self, engine_names: list[str], digest: bytes) -> None:
        """Cancels a suspect on engines where it runs beside other requests.

        Args:
            engine_names: The engines.
            digest: Digest of the request.
        """
        for run in list(self._runs.values()):
            task = self._tasks.get(run.engine)
            if run.digest == digest and run.engine in engine_names and task:
                task.cancel(run)

    def _record_remote_chat(self, submit: wire.Submit, engine: str) -> None:
        """Records that an engine of another owner will cache a chat."""
        tokens = len(submit.body) // chat.BYTES_PER_TOKEN
        self._view.placement.record_served(
            submit.model, submit.chat_name, engine, tokens
        )

    def _record_redirect(self, key: runs.Key, engine: str) -> None:
        self._redirects[key] = engine
        self._redirects.move_to_end(key)
        if len(self._redirects) > REDIRECTS_MAX:
            self._redirects.popitem(last=False)

    def _start_task(self, name: str) -> None:
        endpoint = self._view.find_endpoint(name)
        if endpoint is None:
            raise errors.UnavailableError(f"engine {name!r} is gone")
        slots = self._view.directory.model(endpoint.pool)["slots"]
        task = engines.EngineTask(endpoint, slots, self._hooks)
        self._tasks[name] = task
        task.start()

    def _release_task(self, task: engines.EngineTask) -> None:
        self._released.append(task)
        for run in task.release():
            self._retry_run(run, task.endpoint.name, "engine changed its owner")

    def _drop_released(self) -> None:
        for task in list(self._released):
            if not task.in_flight:
                task.stop()
                self._released.remove(task)

    def _retry_run(self, run: runs.Run, engine: str, reason: str) -> None:
        """Places a run again that left its queue or whose attempt failed."""
        if run.ended:
            return
        log.emit(
            events.REQUEST_RETRIED,
            request=str(run.key),
            engine=engine,
            reason=reason,
        )
        self._observer.request_retried()
        self._place_or_fail(run, lambda: self._place_again(run))

    def _place_or_fail(self, run: runs.Run, place: Callable[[], None]) -> None:
        """Calls `place`; a RequestError that it raises ends the run."""
        try:
            place()
        except errors.RequestError as caught:
            if run.may_have_run:
                caught.outcome = errors.Outcome.UNKNOWN
            run.fire("fail")
            run.finish(failed_message(run, caught), self._now())

    def _place_again(self, run: runs.Run) -> None:
        now = self._now()
        if run.state == "dispatched":
            run.fire("retry")
            self._check_retry(run, now)
        submit = run.submit
        choice = self._chooser.choose_for(submit)
        if not choice.engine:
            raise errors.UnavailableError(
                f"no engine of {submit.model!r}", retry_after=RETRY_AFTER_S
            )
        self._launch(run, choice.engine)

    def _check_retry(self, run: runs.Run, now: float) -> None:
        if not run.may_have_run:
            if run.attempt_count >= REFUSALS_MAX:
                raise errors.UnavailableError(
                    f"refused by engines {run.attempt_count} times",
                    retry_after=RETRY_AFTER_S,
                )
            return
        if run.attempt_count >= ATTEMPTS_MAX:
            raise errors.AttemptLostError(
                f"lost in {run.attempt_count} attempts"
            )
        if not self._retries.try_spend(now):
            raise errors.AttemptLostError(
                "the retry budget is used up", retry_after=RETRY_AFTER_S
            )

    def _send_to(self, run: runs.Run, engine: str) -> None:
        log.emit(events.REQUEST_MOVED, request=str(run.key), engine=engine)
        task = self._tasks.get(engine)
        if task is None:
            self._redirect(run, engine)
            return
        if not task.accepts_requests:
            self._defer_for(DEFER_INTERVAL_S, run)
            return
        if run.state == "queued":
            run.fire("place")
        task.offer(run, self._chooser.job(run), False)

    def _move(self, run: runs.Run) -> bool:
        """Moves a queued run to another engine below its limit.

        Returns:
            Whether the run was moved.
        """
        if self._awaits_copy(run):
            return False
        choice = self._chooser.choose_for(run.submit)
        waits = choice.reason == placement.REASON_QUEUE
        if waits or not choice.engine or choice.engine == run.engine:
            return False
        is_elsewhere = choice.engine not in self._tasks
        if is_elsewhere and run.submit.hops >= HOPS_MAX:
            # The loads of other owners arrive with a delay, so owners could
            # move a request back and forth without end.
            return False
        run.move_count += 1
        work = self._chooser.work(run.submit)
        run.movable_at = (
            self._now() + MOVE_INTERVAL_TARGET_SHARE * work.first_token_s
        )
        self._send_to(run, choice.engine)
        return True

    def _answer_completed(self, run: runs.Run) -> None:
        self._copies.record_answer_started(run.digest, self._now())
        self._chooser.record_answer(run)

    def _awaits_copy(self, run: runs.Run) -> bool:
        """Returns whether a copy is dispatched and has no event yet.

        Until its first event, the copy may still crash its engine.
        """
        if not self._copies.has_copies(run.digest, self._now()):
            return False
        return any(
            other.digest == run.digest
            and other.state == "dispatched"
            and not other.last_event
            for other in self._runs.values()
            if other is not run
        )

    def _refuse(self, run: runs.Run, wait_s: float) -> None:
        retry_after = wait_s if math.isfinite(wait_s) else RETRY_AFTER_S
        error = errors.OverloadError(
            "the target of the request cannot be met",
            retry_after=max(RETRY_AFTER_S, retry_after),
        )
        if run.may_have_run:
            error.outcome = errors.Outcome.UNKNOWN
        run.fire("refuse")
        run.finish(failed_message(run, error), self._now())

    def _cancel(self, run: runs.Run) -> None:
        for task in [*self._tasks.values(), *self._released]:
            task.cancel(run)
        error = errors.AttemptLostError("withdrawn")
        if not run.attempt_count:
            error.outcome = errors.Outcome.NOT_RUN
        run.fire("withdraw")
        run.finish(failed_message(run, error), self._now())

    def _engine_unreachable(self, engine: str, crashed: bool) -> None:
        if crashed:
            self._view.placement.forget_engine(engine)
        self._observer.engine_unreachable(engine)

    def _state_changed(self, engine: str, state: str) -> None:
        if state == "leaving" and engine in self._view.endpoints:
            log.emit(events.ENGINE_LEAVING, engine=engine)
            self._observer.engine_leaving(engine)
        self._set_available()

    def _set_available(self) -> None:
        now = self._now()
        for pool in self._view.directory.models:
            unavailable = {
                name
                for name, task in self._tasks.items()
                if task.endpoint.pool == pool and not task.accepts_requests
            }
            unavailable |= self._view.outlier_detector(pool).ejected(now)
            self._view.set_available(pool, unavailable)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _digest(submit: wire.Submit) -> bytes:
    return submit.digest or quarantine.digest(submit.account, submit.body)


def _frames_message(
    run: runs.Run, piece: runs.EventBatch, is_last: bool
) -> wire.Frames:
    key = run.key
    return wire.Frames(
        key.request_id,
        key.account,
        run.engine,
        run.attempt,
        piece.first_sequence,
        piece.events,
        is_last,
    )
