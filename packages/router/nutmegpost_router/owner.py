"""The part of a router that owns engines: it places and runs chat requests.

`answers` is the one way in, for requests of this router and of its peers
alike. It answers with the messages of `wire`: frames, a redirection to the
owner of another engine, or a failure.
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

__all__ = ["Observer", "Owner", "failed"]

# Routers a request may pass before the one it reaches runs it itself.
HOPS_MAX = 3
# Attempts of a request that may have run at an engine.
ATTEMPTS_MAX = 3
# Dispatches that engines refused before the request is given up.
REFUSALS_MAX = 8
RETRY_SHARE = 0.2
RETRY_BURST = 20.0
SWEEP_INTERVAL_S = 1.0
UNREAD_LIMIT_S = 10.0
RETENTION_S = 30.0
RUN_COUNT_MAX = 50_000
PLACED_COUNT_MAX = 20_000
RETRY_AFTER_S = 1.0
# Share of the target for the first token for which a moved request stays.
MOVE_INTERVAL = 0.1
# A request that no engine may take now, or that must run alone, is held.
HOLD_RETRY_S = 0.1
HOLD_LIMIT_S = 60.0
# Redirections of a suspect after which it waits for the views to agree.
TRIAL_HOPS_MAX = 2
TRIAL_HOLD_S = 1.0
# Reports of a crash reach every router in this time: quarantine.Limits.
COPIES_TOGETHER_S = 5.0
# The verdict on a suspect changes when a report of another router arrives.
HOLD_VERDICT_S = 1.0


class Observer(NamedTuple):
    """Closures that are told what the owner does.

    Attributes:
        load_changed: The load of an engine changed.
        leaving: An engine said that it takes no new work.
        lost: An engine cannot be reached.
        retried: A request is tried again.
        dropped: An event of a stream was dropped, with the reason.
        reported: An engine sent a load report.
    """

    load_changed: Callable[[], None]
    leaving: Callable[[str], None]
    lost: Callable[[str], None]
    retried: Callable[[], None]
    dropped: Callable[[str], None]
    reported: Callable[[str, feeds.LoadReport], None]


def failed(
    submit: wire.Submit | runs.Run, error: errors.RequestError
) -> wire.Failed:
    """Returns the message that tells of an error."""
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


class _Place(NamedTuple):
    """Where a request goes.

    Attributes:
        engine: Name of the engine.
        wait_s: How long it waits there before it may be moved, seconds.
        is_resumed: Whether its stream runs there already.
    """

    engine: str
    wait_s: float
    is_resumed: bool


class Owner:
    """The engines that this router owns and the requests it runs there."""

    def __init__(
        self,
        the_view: view.View,
        client: http_client.Client,
        suspects: quarantine.Quarantine,
        observer: Observer,
    ):
        self._view = the_view
        self._quarantine = suspects
        self._observer = observer
        self._tasks: dict[str, engines.EngineTask] = {}
        self._released: list[engines.EngineTask] = []
        self._runs: dict[runs.Key, runs.Run] = {}
        self._placed: collections.OrderedDict[runs.Key, str] = (
            collections.OrderedDict()
        )
        self._copies = copies.CopyPlacements(COPIES_TOGETHER_S)
        self._retries = retry.RetryBudget(RETRY_SHARE, RETRY_BURST)
        self._chooser = chooser.Chooser(the_view, self._tasks)
        self._hooks = engines.Hooks(
            client=client,
            view=the_view,
            quarantine=suspects,
            again=self._again,
            hold=self._hold,
            move=self._move,
            answered=self._answered,
            refuse=self._refuse,
            lost=self._lost,
            state_changed=self._state_changed,
            load_changed=observer.load_changed,
            dropped=observer.dropped,
            reported=observer.reported,
        )

    @property
    def tasks(self) -> dict[str, engines.EngineTask]:
        """The tasks of the engines, by name."""
        return self._tasks

    @property
    def in_flight(self) -> int:
        """Requests that did not end."""
        return sum(1 for run in self._runs.values() if not run.ended)

    async def answers(
        self, submit: wire.Submit
    ) -> AsyncGenerator[wire.Message, None]:
        """Places or runs a request.

        Args:
            submit: The request.

        Yields:
            Frames, and at the end a redirection or a failure unless the last
            frames are marked as the last.
        """
        try:
            begun = self._begin(submit)
        except errors.RequestError as caught:
            yield failed(submit, caught)
            return
        if isinstance(begun, wire.Redirected):
            yield begun
            return
        try:
            while True:
                piece = await begun.next()
                complete = piece.ended and piece.end is None
                if piece.events or complete:
                    yield _frames(begun.run, piece, complete)
                if piece.end is not None:
                    yield piece.end
                if piece.ended:
                    return
        finally:
            begun.run.unsubscribe(begun, self._now())

    async def serve(self, submit: wire.Submit, send: peers.Send) -> None:
        """Places or runs a request of a peer.

        Args:
            submit: The request.
            send: Takes the answers.
        """
        async with contextlib.aclosing(self.answers(submit)) as found:
            async for message in found:
                send(message)

    def withdraw(self, message: wire.Withdraw) -> wire.Withdrawn:
        """Gives up a request.

        Returns:
            Whether it may have run.
        """
        key = runs.Key(message.account, message.request_id)
        run = self._runs.get(key)
        if run is None or run.ended:
            # Not known here is no proof that it did not run elsewhere.
            ran = run is None or run.may_have_run or run.end is None
            return wire.Withdrawn(message.request_id, message.account, ran)
        self._cancel(run)
        return wire.Withdrawn(
            message.request_id,
            message.account,
            run.may_have_run or run.attempts > 0,
        )

    def reconcile(self) -> None:
        """Starts and releases engine tasks after a change of the view."""
        wanted = {
            name
            for name in self._view.owned_endpoints()
            if self._view.endpoints[name].kind == "engine"
            and self._view.endpoints[name].pool in self._view.directory.models
        }
        for name in wanted - set(self._tasks):
            self._start(name)
        for name in set(self._tasks) - wanted:
            self._release(self._tasks.pop(name))
        for task in self._tasks.values():
            model = self._view.directory.models[task.endpoint.pool]
            if task.queue.slots != model["slots"]:
                task.queue.slots = model["slots"]
        self._set_available()

    def report(self, engine: str) -> rollout.Report:
        """Returns what an own engine reported last."""
        task = self._tasks[engine]
        found = task.last_report
        fence = found.get("fence") or [0, 0]
        is_silent = not found or task.state in ("joining", "suspect")
        return rollout.Report(
            state="silent" if is_silent else found.get("state", "ready"),
            target=rollout.Target(
                found.get("version", ""),
                found.get("adapter") or "",
                found.get("role", "both"),
            ),
            fence=(fence[0], fence[-1]),
            order_error=found.get("order_error") or "",
            is_idle=not task.in_flight
            and not found.get("running", 0)
            and not found.get("waiting", 0),
        )

    def drain(self, engine: str, draining: bool) -> None:
        """Keeps new requests from an own engine, or lets them in again."""
        task = self._tasks.get(engine)
        if task is not None:
            task.post(engines.Drain(draining))

    def wake(self) -> None:
        """Lets the engine tasks look at a limit that may have changed."""
        for task in self._tasks.values():
            if task.queue.waiting:
                task.post(engines.Wake())

    def release_all(self) -> None:
        """Gives all waiting requests to the routers that own them next."""
        for name in list(self._tasks):
            self._release(self._tasks.pop(name))

    async def sweep(self) -> None:
        """Drops old runs and cancels those that nobody reads, forever."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = self._now()
            for key, run in list(self._runs.items()):
                if run.ended and now - run.ended_at > RETENTION_S:
                    del self._runs[key]
                elif self._is_unread(run, now):
                    log.emit(events.REQUEST_CANCELLED, request=str(key))
                    self._cancel(run)
            self._drop_released()

    def stop(self) -> None:
        """Ends all tasks."""
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
            and not run.subscribed
            and now - run.unread_since > UNREAD_LIMIT_S
        )

    def _begin(
        self, submit: wire.Submit
    ) -> "runs.Subscription | wire.Redirected":
        key = runs.Key(submit.account, submit.request_id)
        digest = _digest(submit)
        last = (
            sse.EventId.parse(submit.last_event) if submit.last_event else None
        )
        position = last.sequence + 1 if last else 0
        run = self._runs.get(key)
        if run is not None and run.digest != digest:
            raise errors.IdempotencyError(
                f"request {key.request_id!r} was another one before"
            )
        if run is not None and run.end is None and run.covers(position):
            return run.subscribe(position)
        place = self._place(key, submit, last)
        owner = self._view.owner(place.engine)
        # A suspect waits here for its verdict; the next owner may not know yet.
        is_passed_on = owner != self._view.name and submit.hops < HOPS_MAX
        if is_passed_on and not self._is_suspect(submit):
            self._note_placed(key, place.engine)
            self._note_elsewhere(submit, place.engine)
            return wire.Redirected(
                submit.request_id,
                submit.account,
                place.engine,
                submit.fresh or not place.is_resumed,
            )
        return self._create(submit, digest, place, last)

    def _create(
        self,
        submit: wire.Submit,
        digest: bytes,
        place: _Place,
        last: sse.EventId | None,
    ) -> runs.Subscription:
        if len(self._runs) >= RUN_COUNT_MAX:
            raise errors.OverloadError(
                "too many requests", retry_after=RETRY_AFTER_S
            )
        position = last.sequence + 1 if last else 0
        run = runs.Run(submit, digest, position)
        self._runs[run.key] = run
        subscription = run.subscribe(position)
        if last is not None:
            run.attempt = last.attempt
            run.may_have_run = True
        run.wait_until = self._now() + place.wait_s
        run.fire("place")
        self._retries.record_first_attempt(self._now())
        if not self._is_suspect(submit):
            # A request that passed too many routers runs where it is.
            self._task(place.engine)
        if place.is_resumed:
            # It is running there already, so there is nothing to decide.
            self._tasks[place.engine].offer(run, self._chooser.job(run), True)
        else:
            self._guarded(run, lambda: self._launch(run, place.engine))
        return subscription

    def _task(self, engine: str) -> engines.EngineTask:
        if engine not in self._tasks:
            self._start(engine)
        return self._tasks[engine]

    def _place(
        self,
        key: runs.Key,
        submit: wire.Submit,
        last: sse.EventId | None,
    ) -> _Place:
        model = self._view.directory.model(submit.model)
        engine = submit.engine or self._placed.get(key, "")
        found = self._view.find_endpoint(engine)
        is_known = found is not None and found.pool == model["name"]
        # A stream goes on where it runs, even while the engine leaves.
        is_there = is_known and last is not None and last.engine == engine
        if is_there and not submit.fresh and not self._is_suspect(submit):
            return _Place(engine, 0.0, True)
        return self._place_anew(submit, engine if is_known else "")

    def _place_anew(self, submit: wire.Submit, engine: str) -> _Place:
        """Places a request by its copies, as it was placed before, or anew.

        Args:
            submit: The request.
            engine: Where it was placed before; empty for nowhere.
        """
        digest, now = _digest(submit), self._now()
        copied = self._copies.engine(digest, now)
        wait_s = 0.0
        # Routers that know other copies would pass a request on and on.
        if self._takes_work(copied) and (copied in self._tasks or not engine):
            engine = copied
        elif not self._takes_work(engine):
            is_patient = not submit.hops and not submit.engine
            choice = self._chooser.choose_for(submit, is_patient)
            engine, wait_s = choice.engine, choice.wait_s
        if not engine:
            raise errors.UnavailableError(
                f"no engine of {submit.model!r}", retry_after=RETRY_AFTER_S
            )
        self._copies.record_placement(digest, engine, now)
        return _Place(engine, wait_s, False)

    def _takes_work(self, engine: str) -> bool:
        task = self._tasks.get(engine)
        is_taken = engine in self._view.endpoints
        return is_taken and (task is None or task.takes_work)

    def _is_suspect(self, submit: wire.Submit) -> bool:
        """Whether an engine crashed with the request, so no stream is left.

        To look for the stream would count the same crash a second time.
        """
        verdict = self._quarantine.verdict(_digest(submit), self._now())
        return verdict is not quarantine.Verdict.ALLOW

    def _launch(self, run: runs.Run, engine: str) -> None:
        """Sends a run to an engine as far as its content may run."""
        now = self._now()
        verdict = self._quarantine.verdict(run.digest, now)
        if verdict is quarantine.Verdict.REFUSE:
            raise errors.QuarantineError(
                "the request was running at engines that crashed"
            )
        if verdict is quarantine.Verdict.WAIT:
            delay = self._quarantine.retry_after(run.digest, now)
            self._later(min(delay, HOLD_VERDICT_S), run)
        elif verdict is quarantine.Verdict.ALONE:
            self._launch_trial(run)
        else:
            self._send_to(run, engine)

    def _hold(self, run: runs.Run) -> None:
        """Places a run anew after a while, as long as its wait allows."""
        self._guarded(run, lambda: self._later(HOLD_RETRY_S, run))

    def _later(self, delay_s: float, run: runs.Run) -> None:
        now = self._now()
        if run.held_since is None:
            run.held_since = now
        if now - run.held_since > HOLD_LIMIT_S:
            raise errors.UnavailableError(
                "no engine could take the request", retry_after=RETRY_AFTER_S
            )
        asyncio.get_running_loop().call_later(
            max(delay_s, HOLD_RETRY_S), self._place_held, run
        )

    def _place_held(self, run: runs.Run) -> None:
        if not run.ended:
            self._guarded(run, lambda: self._place_again(run))

    def _launch_trial(self, run: runs.Run) -> None:
        """Runs a suspect alone, at the one router that decides on it."""
        pool = run.submit.model
        owned: dict[str, list[str]] = {}
        for name in self._view.pool_endpoints(pool):
            owned.setdefault(self._view.owner(name), []).append(name)
        decider = quarantine.trial_coordinator(run.digest, sorted(owned))
        if decider != self._view.name:
            # While views differ, routers may name one another in a circle.
            if run.submit.hops >= TRIAL_HOPS_MAX and run.held_since is None:
                self._later(TRIAL_HOLD_S, run)
            else:
                self._redirect(run, owned[decider][0])
            return
        tasks = [
            self._tasks[name]
            for name in owned[decider]
            if name in self._tasks and self._tasks[name].takes_work
        ]
        if not tasks:
            self._later(HOLD_RETRY_S, run)
            return
        task = min(tasks, key=lambda item: item.in_flight)
        task.post(engines.Trial(run, self._chooser.job(run)))

    def _redirect(self, run: runs.Run, engine: str) -> None:
        key = run.key
        run.finish(
            wire.Redirected(key.request_id, key.account, engine, fresh=True),
            self._now(),
        )

    def cancel_exposed(self, engine_names: list[str], digest: bytes) -> None:
        """Cancels a request that another router found to crash engines.

        Args:
            engine_names: Engines that run it beside others.
            digest: Its digest.
        """
        for run in list(self._runs.values()):
            task = self._tasks.get(run.engine)
            if run.digest == digest and run.engine in engine_names and task:
                task.cancel(run)

    def _note_elsewhere(self, submit: wire.Submit, engine: str) -> None:
        """Remembers that the cache of a chat will be on a foreign engine."""
        tokens = len(submit.body) // chat.BYTES_PER_TOKEN
        self._view.placement.record_served(
            submit.model, submit.chat_name, engine, tokens
        )

    def _note_placed(self, key: runs.Key, engine: str) -> None:
        self._placed[key] = engine
        self._placed.move_to_end(key)
        if len(self._placed) > PLACED_COUNT_MAX:
            self._placed.popitem(last=False)

    def _start(self, name: str) -> None:
        endpoint = self._view.find_endpoint(name)
        if endpoint is None:
            raise errors.UnavailableError(f"engine {name!r} is gone")
        slots = self._view.directory.model(endpoint.pool)["slots"]
        task = engines.EngineTask(endpoint, slots, self._hooks)
        self._tasks[name] = task
        task.start()

    def _release(self, task: engines.EngineTask) -> None:
        self._released.append(task)
        for run in task.release():
            self._again(run, task.endpoint.name, "another owner")

    def _drop_released(self) -> None:
        for task in list(self._released):
            if not task.in_flight:
                task.stop()
                self._released.remove(task)

    def _again(self, run: runs.Run, engine: str, reason: str) -> None:
        """Places a run anew that was withdrawn or whose attempt failed."""
        if run.ended:
            return
        log.emit(
            events.REQUEST_RETRIED,
            request=str(run.key),
            engine=engine,
            reason=reason,
        )
        self._observer.retried()
        self._guarded(run, lambda: self._place_again(run))

    def _guarded(self, run: runs.Run, place: Callable[[], None]) -> None:
        """Places a run, or ends it with the error of the try."""
        try:
            place()
        except errors.RequestError as caught:
            if run.may_have_run:
                caught.outcome = errors.Outcome.UNKNOWN
            run.fire("fail")
            run.finish(failed(run, caught), self._now())

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
            if run.attempts >= REFUSALS_MAX:
                raise errors.UnavailableError(
                    f"refused by engines {run.attempts} times",
                    retry_after=RETRY_AFTER_S,
                )
            return
        if run.attempts >= ATTEMPTS_MAX:
            raise errors.AttemptLostError(f"lost in {run.attempts} attempts")
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
        if not task.takes_work:
            self._later(HOLD_RETRY_S, run)
            return
        if run.state == "queued":
            run.fire("place")
        task.offer(run, self._chooser.job(run), False)

    def _move(self, run: runs.Run) -> bool:
        """Moves a waiting run to another engine that is free."""
        if self._awaits_copy(run):
            return False
        choice = self._chooser.choose_for(run.submit)
        waits = choice.reason == placement.REASON_QUEUE
        if waits or not choice.engine or choice.engine == run.engine:
            return False
        is_elsewhere = choice.engine not in self._tasks
        if is_elsewhere and run.submit.hops >= HOPS_MAX:
            # Owners that know each other's loads late would pass it on and on.
            return False
        run.moves += 1
        work = self._chooser.work(run.submit)
        run.wait_until = self._now() + MOVE_INTERVAL * work.first_token_s
        self._send_to(run, choice.engine)
        return True

    def _answered(self, run: runs.Run) -> None:
        self._copies.record_answer_started(run.digest, self._now())
        self._chooser.answered(run)

    def _awaits_copy(self, run: runs.Run) -> bool:
        """Whether a copy of it is being tried that may yet crash its engine."""
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
        run.finish(failed(run, error), self._now())

    def _cancel(self, run: runs.Run) -> None:
        for task in [*self._tasks.values(), *self._released]:
            task.cancel(run)
        error = errors.AttemptLostError("withdrawn")
        if not run.attempts:
            error.outcome = errors.Outcome.NOT_RUN
        run.fire("withdraw")
        run.finish(failed(run, error), self._now())

    def _lost(self, engine: str, crashed: bool) -> None:
        if crashed:
            self._view.placement.forget_engine(engine)
        self._observer.lost(engine)

    def _state_changed(self, engine: str, state: str) -> None:
        if state == "leaving" and engine in self._view.endpoints:
            log.emit(events.ENGINE_LEAVING, engine=engine)
            self._observer.leaving(engine)
        self._set_available()

    def _set_available(self) -> None:
        now = self._now()
        for pool in self._view.directory.models:
            out = {
                name
                for name, task in self._tasks.items()
                if task.endpoint.pool == pool and not task.takes_work
            }
            out |= self._view.outlier_detector(pool).ejected(now)
            self._view.set_available(pool, out)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _digest(submit: wire.Submit) -> bytes:
    return submit.digest or quarantine.digest(submit.account, submit.body)


def _frames(run: runs.Run, piece: runs.Piece, is_last: bool) -> wire.Frames:
    key = run.key
    return wire.Frames(
        key.request_id,
        key.account,
        run.engine,
        run.attempt,
        piece.first,
        piece.events,
        is_last,
    )
