"""Choice of an engine for a chat request.

The choice combines the loads of all engines, the queues of the engines that
this router owns, the recorded cache holders and the estimated prefill time.
"""

import asyncio
from collections.abc import Mapping
import math
from typing import NamedTuple, TypedDict

import msgspec

from nutmegpost_core import chat
from nutmegpost_core import configuration
from nutmegpost_core import placement
from nutmegpost_core import prefill
from nutmegpost_core import queueing
from nutmegpost_core import wire
from nutmegpost_router import engines
from nutmegpost_router import runs
from nutmegpost_router import view

__all__ = ["Chooser", "Work"]

# Share of the target time to first token for which a request may queue at a
# cache holder.
CACHE_WAIT_TARGET_SHARE = 0.5
# Minimum share of that target left for queueing by a long prefill.
QUEUE_TARGET_SHARE_MIN = 0.5


class Work(NamedTuple):
    """Properties of a request that determine its placement.

    Attributes:
        account: Client account.
        rank: Priority; 1 is served first.
        first_token_s: Target time to the first token, seconds.
    """

    account: str
    rank: int
    first_token_s: float


class _Usage(TypedDict):
    prompt_tokens: int
    cached_tokens: int


class _Chunk(TypedDict):
    usage: _Usage


class Chooser:
    """Chooses engines and estimates the prefill time of each pool."""

    def __init__(
        self, fleet_view: view.View, tasks: Mapping[str, engines.EngineTask]
    ):
        """Creates a chooser without prefill estimates.

        Args:
            fleet_view: The fleet as this router sees it.
            tasks: Tasks of the engines that this router owns, by name; the
                caller updates the mapping when they change.
        """
        self._view = fleet_view
        self._tasks = tasks
        self._estimators: dict[str, prefill.PrefillEstimator] = {}

    def choose(
        self, pool: str, work: Work, chat_name: str, may_wait: bool
    ) -> placement.Choice:
        """Chooses an engine.

        Args:
            pool: Model.
            work: Properties of the request.
            chat_name: Name of the chat, unique within its account.
            may_wait: Whether the request may queue at a cache holder that is at
                the limit.
        """
        limit = self._limit(pool)
        wait_max_s = (
            CACHE_WAIT_TARGET_SHARE * work.first_token_s if may_wait else 0.0
        )
        return self._view.placement.choose(
            pool,
            f"{work.account}/{chat_name}",
            lambda name: self._load_ahead(pool, name, work, limit),
            limit,
            self._least_loaded(pool, work, limit),
            wait_of=lambda name: self._expected_wait_s(name, work),
            token_s=self._estimator(pool).token_s,
            wait_max_s=wait_max_s,
            zone=self._view.zone,
        )

    def _limit(self, pool: str) -> int:
        document = self._view.directory.published.document
        limit = self._view.loads.limit(
            pool, document["load_bound"], _now(), self._view.reachable_share
        )
        return min(limit, self._view.directory.model(pool)["slots"])

    def _load_ahead(self, pool: str, name: str, work: Work, limit: int) -> int:
        task = self._tasks.get(name)
        if task is None:
            return int(self._view.loads.mean(pool))
        if not task.accepts_requests:
            return limit
        return task.load_ahead(work.rank, work.account)

    def _least_loaded(
        self, pool: str, work: Work, limit: int
    ) -> list[tuple[str, int]]:
        """Returns engines and their loads, lowest load first.

        Includes all engines of this router and the least loaded engine of each
        other owner.
        """
        foreign = [
            entry
            for entry in self._view.loads.least_loaded(pool)
            if entry[0] not in self._tasks
        ]
        own = [
            (name, self._load_ahead(pool, name, work, limit))
            for name, task in self._tasks.items()
            if task.endpoint.pool == pool
        ]
        return sorted(foreign + own, key=lambda entry: entry[1])

    def _expected_wait_s(self, name: str, work: Work) -> float:
        task = self._tasks.get(name)
        if task is None:
            return math.inf
        return task.queue.expected_wait_s(work.rank, work.account)

    def _estimator(self, pool: str) -> prefill.PrefillEstimator:
        return self._estimators.setdefault(pool, prefill.PrefillEstimator())

    def record_answer(self, run: runs.Run) -> None:
        """Updates the prefill estimate from the usage in the last event."""
        try:
            usage = msgspec.json.decode(run.last_event, type=_Chunk)["usage"]
        except (msgspec.DecodeError, KeyError):
            return
        uncached_tokens = usage["prompt_tokens"] - usage["cached_tokens"]
        self._estimator(run.submit.model).record_answer(
            run.first_event_s, uncached_tokens
        )

    def choose_for(
        self, submit: wire.Submit, may_wait: bool = False
    ) -> placement.Choice:
        """Chooses an engine for a request; see `choose`."""
        return self.choose(
            submit.model, self.work(submit), submit.chat, may_wait
        )

    def work(self, submit: wire.Submit) -> Work:
        """Returns the properties of a request that determine its placement."""
        work_class = self._view.directory.classes.get(submit.work_class)
        if work_class is None:
            return Work(submit.account, 3, 0.0)
        return Work(
            submit.account,
            work_class["rank"],
            work_class["first_token_ms"] / 1000,
        )

    def job(self, run: runs.Run) -> queueing.Job:
        """Returns the queue entry of a request."""
        submit = run.submit
        # Once an attempt may have run, the time to first token of the request
        # is decided, so its age does not count against the target.
        age_s = 0.0 if run.may_have_run else submit.age_s
        directory = self._view.directory
        account = directory.account(submit.account)
        work_class = directory.work_class(account, submit.work_class)
        request = chat.validate(submit.body)
        return queueing.Job(
            key=str(runs.Key(submit.account, submit.request_id)),
            account=submit.account,
            work_class=submit.work_class,
            rank=work_class["rank"],
            arrived=_now() - age_s,
            first_token_s=self._queue_target_s(run, work_class),
            finish_s=work_class.get("finish_s"),
            worth=work_class["worth"],
            cost=chat.estimate_tokens(request, len(submit.body)),
        )

    def _queue_target_s(
        self, run: runs.Run, work_class: configuration.WorkClass
    ) -> float:
        """Returns the part of the first token target left for queueing."""
        submit = run.submit
        target_s = work_class["first_token_ms"] / 1000
        slots = self._view.directory.model(submit.model)["slots"]
        if self._view.loads.mean(submit.model) < slots / 2:
            # With free capacity, a long prefill must not cause a refusal.
            return target_s
        tokens_by_engine = dict(
            self._view.placement.cache_holders(submit.model, submit.chat_name)
        )
        prompt_tokens = len(submit.body) // chat.BYTES_PER_TOKEN
        return self._estimator(submit.model).queue_target_s(
            target_s,
            prompt_tokens - tokens_by_engine.get(run.engine, 0),
            QUEUE_TARGET_SHARE_MIN,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
