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
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import placement
from nutmegpost_core import quarantine
from nutmegpost_core import queueing
from nutmegpost_core import retry
from nutmegpost_core import sse
from nutmegpost_core import wire
from nutmegpost_router import engines
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
# A request that no engine may take now, or that must run alone, is held.
HOLD_RETRY_S = 0.1
HOLD_LIMIT_S = 60.0


class Observer(NamedTuple):
    """Closures that are told what the owner does.

    Attributes:
        load_changed: The load of an engine changed.
        leaving: An engine said that it takes no new work.
        retried: A request is tried again.
        reported: An engine sent a load report.
    """

    load_changed: Callable[[], None]
    leaving: Callable[[str], None]
    retried: Callable[[], None]
    reported: Callable[[str, engines.LoadReport], None]


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
        self._retries = retry.RetryBudget(RETRY_SHARE, RETRY_BURST)
        self._hooks = engines.Hooks(
            client=client,
            view=the_view,
            quarantine=suspects,
            again=self._again,
            hold=self._hold,
            move=self._move,
            refuse=self._refuse,
            lost=self._lost,
            state_changed=self._state_changed,
            load_changed=observer.load_changed,
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
            for name in self._view.owned()
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
        return self._choose(model, account, chat_name, 1)

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
        digest = submit.digest or quarantine.digest(submit.account, submit.body)
        last = (
            sse.EventId.read(submit.last_event) if submit.last_event else None
        )
        position = last.sequence + 1 if last else 0
        run = self._runs.get(key)
        if run is not None and run.digest != digest:
            raise errors.IdempotencyError(
                f"request {key.request_id!r} was another one before"
            )
        if run is not None and run.end is None and run.covers(position):
            return run.subscribe(position)
        engine = self._engine_for(key, submit)
        owner = self._view.owner(engine)
        if owner != self._view.name and submit.hops < HOPS_MAX:
            self._note_placed(key, engine)
            self._note_elsewhere(submit, engine)
            return wire.Redirected(submit.request_id, submit.account, engine)
        return self._create(submit, digest, engine, last)

    def _create(
        self,
        submit: wire.Submit,
        digest: bytes,
        engine: str,
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
        resume = last is not None and last.engine == engine
        run.fire("place")
        self._retries.attempted(self._now())
        # A request that passed too many routers runs where it is.
        task = self._task(engine)
        if resume:
            # It is running there already, so there is nothing to decide.
            task.offer(run, self._job(run), True)
        else:
            self._guarded(run, lambda: self._launch(run, engine))
        return subscription

    def _task(self, engine: str) -> engines.EngineTask:
        if engine not in self._tasks:
            self._start(engine)
        return self._tasks[engine]

    def _engine_for(self, key: runs.Key, submit: wire.Submit) -> str:
        model = self._view.directory.model(submit.model)
        known = self._view.endpoints
        engine = submit.engine or self._placed.get(key, "")
        if engine in known and known[engine].pool == model["name"]:
            task = self._tasks.get(engine)
            if task is None or task.takes_work:
                return engine
        choice = self._choose_for(submit)
        if not choice.engine:
            raise errors.UnavailableError(
                f"no engine of {submit.model!r}", retry_after=RETRY_AFTER_S
            )
        return choice.engine

    def _choose(
        self, pool: str, account: str, chat_name: str, rank: int
    ) -> placement.Choice:
        loads = self._view.loads
        now = self._now()
        bound = self._view.directory.published.document["load_bound"]
        limit = loads.limit(pool, bound, now, self._view.reach)
        least = loads.least(pool)
        engines_count = max(1, len(self._view.pool(pool)))
        mean = math.ceil(loads.total(pool) / engines_count)
        told = dict(least)

        def load_of(name: str) -> int:
            task = self._tasks.get(name)
            if task is None:
                return told.get(name, mean)
            if not task.takes_work:
                return limit
            return loads.of(name) + task.queue.waiting + task.pending

        def wait_of(name: str) -> float:
            task = self._tasks.get(name)
            return task.queue.expected_wait(rank, account) if task else math.inf

        return self._view.placement.choose(
            pool,
            f"{account}/{chat_name}",
            load_of,
            limit,
            [(name, load_of(name)) for name, _ in least],
            wait_of=wait_of,
            zone=self._view.zone,
        )

    def _choose_for(self, submit: wire.Submit) -> placement.Choice:
        return self._choose(
            submit.model, submit.account, submit.chat, self._rank(submit)
        )

    def _rank(self, submit: wire.Submit) -> int:
        item = self._view.directory.classes.get(submit.work_class)
        return item["rank"] if item else 3

    def _job(self, run: runs.Run) -> queueing.Job:
        submit = run.submit
        # The target of a request that had begun was met or missed already.
        age = 0.0 if run.may_have_run else submit.age
        directory = self._view.directory
        account = directory.account(submit.account)
        item = directory.work_class(account, submit.work_class)
        request = chat.parse(submit.body, submit.request_id).request
        return queueing.Job(
            key=str(runs.Key(submit.account, submit.request_id)),
            account=submit.account,
            work_class=submit.work_class,
            rank=item["rank"],
            arrived=self._now() - age,
            first_token_s=item["first_token_ms"] / 1000,
            finish_s=item.get("finish_s"),
            worth=item["worth"],
            cost=chat.cost(request, len(submit.body)),
        )

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
            self._later(delay, run)
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
        for name in self._view.pool(pool):
            owned.setdefault(self._view.owner(name), []).append(name)
        decider = quarantine.decider(run.digest, sorted(owned))
        if decider != self._view.name:
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
        task.post(engines.Trial(run, self._job(run)))

    def _redirect(self, run: runs.Run, engine: str) -> None:
        key = run.key
        run.finish(
            wire.Redirected(key.request_id, key.account, engine), self._now()
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
        chat_name = f"{submit.account}/{submit.chat}"
        self._view.placement.served(submit.model, chat_name, engine, tokens)

    def _note_placed(self, key: runs.Key, engine: str) -> None:
        self._placed[key] = engine
        self._placed.move_to_end(key)
        if len(self._placed) > PLACED_COUNT_MAX:
            self._placed.popitem(last=False)

    def _start(self, name: str) -> None:
        endpoint = self._view.endpoints[name]
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
        choice = self._choose_for(submit)
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
        if not self._retries.may_retry(now):
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
        task.offer(run, self._job(run), False)

    def _move(self, run: runs.Run) -> bool:
        """Moves a waiting run to another engine that is free."""
        submit = run.submit
        choice = self._choose_for(submit)
        waits = choice.reason == placement.REASON_QUEUE
        if waits or not choice.engine or choice.engine == run.engine:
            return False
        self._send_to(run, choice.engine)
        return True

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
            out |= self._view.outliers(pool).ejected(now)
            self._view.set_available(pool, out)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


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
