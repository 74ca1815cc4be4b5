"""The choice of an engine for a request, from what this router knows.

It joins the loads, the queues of the own engines, the memory of placement and
the prefill time learnt from answers.
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

# Share of the target for the first token that may pass in waiting for a cache.
PATIENCE = 0.5
# Least part of that target that is left for the queue by a long prefill.
TARGET_SHARE_LEAST = 0.5


class Work(NamedTuple):
    """What placement looks at in a request.

    Attributes:
        account: Account of the caller.
        rank: Rank of the work.
        first_token_s: Target for the first token, seconds.
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
    """Chooses engines and learns what a prefill takes."""

    def __init__(
        self, the_view: view.View, tasks: Mapping[str, engines.EngineTask]
    ):
        """Takes what it looks at.

        Args:
            the_view: What this router knows.
            tasks: The tasks of the engines that it owns, kept up to date.
        """
        self._view = the_view
        self._tasks = tasks
        self._prefills: dict[str, prefill.PrefillEstimator] = {}

    def choose(
        self, pool: str, work: Work, chat_name: str, is_patient: bool
    ) -> placement.Choice:
        """Chooses an engine.

        Args:
            pool: Model.
            work: What is asked for.
            chat_name: Name of the chat, unique within its account.
            is_patient: Whether the request may wait for its cache.
        """
        limit = self._limit(pool)
        patience_s = PATIENCE * work.first_token_s if is_patient else 0.0
        return self._view.placement.choose(
            pool,
            f"{work.account}/{chat_name}",
            lambda name: self._load_for(pool, name, work, limit),
            limit,
            self._least(pool, work, limit),
            wait_of=lambda name: self._wait_for(name, work),
            token_s=self._prefill(pool).token_s,
            wait_max_s=patience_s,
            zone=self._view.zone,
        )

    def _limit(self, pool: str) -> int:
        document = self._view.directory.published.document
        limit = self._view.loads.limit(
            pool, document["load_bound"], _now(), self._view.reachable_share
        )
        return min(limit, self._view.directory.model(pool)["slots"])

    def _load_for(self, pool: str, name: str, work: Work, limit: int) -> int:
        task = self._tasks.get(name)
        if task is None:
            return int(self._view.loads.mean(pool))
        if not task.takes_work:
            return limit
        return task.load_for(work.rank, work.account)

    def _least(
        self, pool: str, work: Work, limit: int
    ) -> list[tuple[str, int]]:
        """Least loaded engines of others, and all of this router."""
        others = [
            entry
            for entry in self._view.loads.least_loaded(pool)
            if entry[0] not in self._tasks
        ]
        mine = [
            (name, self._load_for(pool, name, work, limit))
            for name, task in self._tasks.items()
            if task.endpoint.pool == pool
        ]
        return sorted(others + mine, key=lambda entry: entry[1])

    def _wait_for(self, name: str, work: Work) -> float:
        task = self._tasks.get(name)
        if task is None:
            return math.inf
        return task.queue.expected_wait_s(work.rank, work.account)

    def _prefill(self, pool: str) -> prefill.PrefillEstimator:
        return self._prefills.setdefault(pool, prefill.PrefillEstimator())

    def answered(self, run: runs.Run) -> None:
        """Learns the prefill time from the usage in the last event."""
        try:
            usage = msgspec.json.decode(run.last_event, type=_Chunk)["usage"]
        except (msgspec.DecodeError, KeyError):
            return
        missing = usage["prompt_tokens"] - usage["cached_tokens"]
        self._prefill(run.submit.model).record_answer(
            run.first_event_s, missing
        )

    def choose_for(
        self, submit: wire.Submit, is_patient: bool = False
    ) -> placement.Choice:
        """Chooses an engine for a request; see `choose`."""
        return self.choose(
            submit.model, self.work(submit), submit.chat, is_patient
        )

    def work(self, submit: wire.Submit) -> Work:
        """Returns what placement looks at in a request."""
        item = self._view.directory.classes.get(submit.work_class)
        if item is None:
            return Work(submit.account, 3, 0.0)
        return Work(submit.account, item["rank"], item["first_token_ms"] / 1000)

    def job(self, run: runs.Run) -> queueing.Job:
        """Returns what the queue of an engine looks at in a request."""
        submit = run.submit
        # The target of a request that had begun was met or missed already.
        age = 0.0 if run.may_have_run else submit.age_s
        directory = self._view.directory
        account = directory.account(submit.account)
        item = directory.work_class(account, submit.work_class)
        request = chat.validate(submit.body)
        return queueing.Job(
            key=str(runs.Key(submit.account, submit.request_id)),
            account=submit.account,
            work_class=submit.work_class,
            rank=item["rank"],
            arrived=_now() - age,
            first_token_s=self._queue_target(run, item),
            finish_s=item.get("finish_s"),
            worth=item["worth"],
            cost=chat.estimate_tokens(request, len(submit.body)),
        )

    def _queue_target(
        self, run: runs.Run, item: configuration.WorkClass
    ) -> float:
        """Returns the part of the target for the first token to queue in."""
        submit = run.submit
        target_s = item["first_token_ms"] / 1000
        slots = self._view.directory.model(submit.model)["slots"]
        if self._view.loads.mean(submit.model) < slots / 2:
            # A long prefill is no reason to refuse work that can be done.
            return target_s
        held = dict(
            self._view.placement.cache_holders(submit.model, submit.chat_name)
        )
        prompt = len(submit.body) // chat.BYTES_PER_TOKEN
        return self._prefill(submit.model).queue_target_s(
            target_s, prompt - held.get(run.engine, 0), TARGET_SHARE_LEAST
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
