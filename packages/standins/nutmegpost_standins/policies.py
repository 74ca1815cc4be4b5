"""Fleets for the engine model: the project's decisions, and baselines."""

import collections
from collections.abc import Callable
import functools
import itertools
import math

from nutmegpost_core import load
from nutmegpost_core import ownership
from nutmegpost_core import placement
from nutmegpost_core import queueing
from nutmegpost_core import ring
from nutmegpost_core import wire
from nutmegpost_standins import enginemodel
from nutmegpost_standins import scenarios

__all__ = ["WAYS", "Fleet", "Owned", "Plain"]

POOL = "model"
HOP_S = 0.001
HOPS_MAX = 2
TICK_S = 0.25
# Time to prefill one token at an engine, seconds.
TOKEN_S = enginemodel.STEP_FULL_S / enginemodel.PREFILL_TOKENS_PER_STEP
# Share of the target for the first token that may pass in waiting for a cache.
PATIENCE = 0.5
# Part of that target after which a request that waits is placed anew.
RECHECK_SHARE = 0.1
# Least part of that target that is left for the queue by a long prefill.
LEAST_TARGET = 0.2
WAYS = ("hash", "round-robin", "least-loaded")


class Fleet:
    """Engines, and a record of all requests."""

    def __init__(self, scenario: scenarios.Scenario, clock: enginemodel.Clock):
        self.clock = clock
        self.scenario = scenario
        self.engines = {
            f"engine-{number}": enginemodel.Engine(
                f"engine-{number}",
                clock,
                scenario["slots"],
                scenario.get("cache_tokens", 1e9),
                self._end,
            )
            for number in range(scenario["engines"])
        }
        self.requests: list[enginemodel.Request] = []
        self.skews: list[float] = []
        self.dispatches = 0
        self.over_bound = 0
        self.late_over_bound = 0
        self._sample()
        for change in scenario.get("changes", []):
            clock.at(change["at_s"], functools.partial(self._change, change))

    @property
    def live(self) -> list[str]:
        """Names of the engines that may get work."""
        return [name for name, item in self.engines.items() if item.live]

    def arrive(self, request: enginemodel.Request) -> None:
        """Takes a request from a caller."""
        self.requests.append(request)
        self.place(request)

    def place(self, request: enginemodel.Request) -> None:
        """Decides where a request goes."""
        raise NotImplementedError

    def ended(self, request: enginemodel.Request) -> None:
        """Hears of the end of a request."""

    def changed(self) -> None:
        """Hears that the live engines changed."""

    def dispatch(self, engine: str, request: enginemodel.Request) -> None:
        """Sends a request to an engine, judged by the true loads."""
        item = self.engines[engine]
        total = sum(other.running for other in self.engines.values())
        most = self.scenario["bound"] * (total + 1) / max(1, len(self.live))
        self.dispatches += 1
        if item.running + 1 > math.ceil(most - 1e-9):
            self.over_bound += 1
        item.start(request)

    def _end(self, request: enginemodel.Request) -> None:
        self.ended(request)

    def _change(self, change: scenarios.Change) -> None:
        engine = self.engines[f"engine-{change['engine']}"]
        engine.live = change["joins"]
        if change["joins"]:
            engine.clear()
        self.changed()

    def _sample(self) -> None:
        self.clock.at(self.clock.now + 0.25, self._sample)
        loads = [self.engines[name].running for name in self.live]
        total = sum(loads)
        if self.clock.now >= self.scenario["warm_s"] and total:
            self.skews.append(max(loads) * len(loads) / total)


class Plain(Fleet):
    """A baseline: one exact view, first in first out, nothing refused."""

    def __init__(
        self,
        scenario: scenarios.Scenario,
        clock: enginemodel.Clock,
        way: str,
    ):
        self._way = way
        self._turn = itertools.count()
        self._queues: dict[str, collections.deque[enginemodel.Request]] = (
            collections.defaultdict(collections.deque)
        )
        super().__init__(scenario, clock)
        self._ring = ring.Ring(self.live)

    def place(self, request: enginemodel.Request) -> None:
        """See `Fleet.place`."""
        engine = self._choose(request)
        self._queues[engine].append(request)
        self._pump(engine)

    def ended(self, request: enginemodel.Request) -> None:
        """See `Fleet.ended`."""
        self._pump(request.engine)

    def changed(self) -> None:
        """See `Fleet.changed`."""
        self._ring = ring.Ring(self.live)

    def _choose(self, request: enginemodel.Request) -> str:
        if self._way == "hash":
            return self._ring.lookup(request.chat.encode())
        if self._way == "round-robin":
            names = self.live
            return names[next(self._turn) % len(names)]
        return min(
            self.live,
            key=lambda name: (
                self.engines[name].running + len(self._queues[name]),
                next(self._turn) % 7,
            ),
        )

    def _pump(self, engine: str) -> None:
        item = self.engines[engine]
        queue = self._queues[engine]
        while queue and item.running < item.slots:
            self.dispatch(engine, queue.popleft())


class _Router:
    """One router of the model: its loads, its memory and its queues."""

    def __init__(self, name: str, fleet: "Owned"):
        self.name = name
        self.loads = load.Loads(name)
        self.placement = placement.Placement()
        self.queues: dict[str, queueing.EngineQueue] = {}
        self.jobs: dict[str, enginemodel.Request] = {}
        self._fleet = fleet

    def set_engines(self, live: list[str], mine: list[str]) -> None:
        self.placement.set_engines(POOL, live)
        self.loads.set_engines(POOL, mine, len(live))
        for name in mine:
            slots = self._fleet.scenario["slots"]
            self.queues.setdefault(name, queueing.EngineQueue(slots))
        for name in set(self.queues) - set(mine):
            self._leave(name)

    def _leave(self, engine: str) -> None:
        """Places anew what waits for an engine that gets no more work."""
        for key, request in list(self.jobs.items()):
            if self.queues[engine].withdraw(key):
                del self.jobs[key]
                self.handle(request, hops=1)

    def limit(self) -> int:
        bound = self._fleet.scenario["bound"]
        return self.loads.limit(POOL, bound, self._fleet.clock.now)

    def handle(
        self, request: enginemodel.Request, engine: str = "", hops: int = 0
    ) -> None:
        limit = min(self.limit(), self._fleet.scenario["slots"])
        wait_s = 0.0
        if not engine or (
            hops < HOPS_MAX and self._load(engine, request) >= limit
        ):
            choice = self._choose(request, limit, patient=hops == 0)
            engine, wait_s = choice.engine, choice.wait_s
        owner = self._fleet.owners.owner_of(engine)
        if owner != self.name and hops < HOPS_MAX:
            self._fleet.forward(owner, request, engine, hops + 1)
            return
        if engine not in self.queues:
            engine = min(
                self.queues, key=lambda name: self._load(name, request)
            )
        self._offer(request, engine)
        if request.key in self.jobs and not request.dispatched:
            self._plan_recheck(request, engine, wait_s)

    def _recheck(self, request: enginemodel.Request, engine: str) -> None:
        """Moves a request that still waits to an engine that is free now."""
        if self.jobs.get(request.key) is not request:
            return
        limit = min(self.limit(), self._fleet.scenario["slots"])
        free = min(
            self._least(request), key=lambda entry: entry[1], default=None
        )
        if free is None or free[1] >= limit:
            if not request.dispatched:
                self._plan_recheck(request, engine)
        elif self.queues[engine].withdraw(request.key):
            del self.jobs[request.key]
            self.handle(request, hops=1)

    def _plan_recheck(
        self, request: enginemodel.Request, engine: str, wait_s: float = 0.0
    ) -> None:
        wait_s = wait_s or RECHECK_SHARE * request.first_token_s
        when = self._fleet.clock.now + wait_s
        self._fleet.clock.at(when, lambda: self._recheck(request, engine))

    def _choose(
        self, request: enginemodel.Request, limit: int, patient: bool
    ) -> placement.Choice:
        waits = self._fleet.waits and patient
        return self.placement.choose(
            POOL,
            request.chat,
            lambda name: self._load(name, request),
            limit,
            self._least(request),
            wait_of=lambda name: self._wait(name, request),
            token_s=TOKEN_S if waits else 0.0,
            wait_max_s=PATIENCE * request.first_token_s,
        )

    def _least(self, request: enginemodel.Request) -> list[tuple[str, int]]:
        """Least loaded engines: its own as the request finds them."""
        others = [
            entry
            for entry in self.loads.least_loaded(POOL)
            if entry[0] not in self.queues
        ]
        mine = [
            (name, self._load(name, request))
            for name in self.queues
            if self._fleet.engines[name].live
        ]
        return others + mine

    def _load(self, engine: str, request: enginemodel.Request) -> int:
        """Load of an engine as a request would find it."""
        queue = self.queues.get(engine)
        if queue is None:
            return int(self.loads.mean(POOL))
        return queue.load_ahead(request.rank, request.account)

    def _wait(self, engine: str, request: enginemodel.Request) -> float:
        queue = self.queues.get(engine)
        if queue is None:
            return math.inf
        return queue.expected_wait_s(request.rank, request.account)

    def _target(self, request: enginemodel.Request, engine: str) -> float:
        """Time in which a request must be dispatched, seconds."""
        if self._load(engine, request) < self._fleet.scenario["slots"]:
            # A long prefill is no reason to refuse work that can be done.
            return request.first_token_s
        known = dict(
            self._fleet.home_router(request).placement.cache_holders(
                POOL, request.chat
            )
        )
        missing = max(0, request.prompt - known.get(engine, 0))
        prefill_s = missing * TOKEN_S + enginemodel.STEP_FULL_S
        least_s = LEAST_TARGET * request.first_token_s
        return max(least_s, request.first_token_s - prefill_s)

    def _offer(
        self, request: enginemodel.Request, engine: str, may_move: bool = True
    ) -> None:
        now = self._fleet.clock.now
        cost = self._fleet.cost(request)
        job = queueing.Job(
            request.key,
            request.account,
            request.work_class,
            request.rank,
            request.arrived,
            self._target(request, engine),
            request.finish_s,
            request.worth,
            cost,
        )
        self.jobs[request.key] = request
        for refused in self.queues[engine].offer(job, now):
            if may_move:
                self._move_or_refuse(refused.key, engine)
            else:
                self._refuse(refused.key)
        self.pump(engine)
        expiry = self.queues[engine].next_expiry()
        if expiry is not None:
            self._fleet.clock.at(expiry, lambda: self.pump(engine))

    def _move_or_refuse(self, key: str, engine: str) -> None:
        """Refuses a request unless another engine can take it now."""
        request = self.jobs[key]
        limit = min(self.limit(), self._fleet.scenario["slots"])
        free = [
            name
            for name in self.queues
            if name != engine and self._load(name, request) < limit
        ]
        if not free:
            self._refuse(key)
            return
        del self.jobs[key]
        least = min(free, key=lambda name: self._load(name, request))
        self._offer(request, least, may_move=False)

    def _refuse(self, key: str) -> None:
        self.jobs.pop(key).refused = True

    def pump(self, engine: str) -> None:
        """Dispatches what may start at an engine."""
        now = self._fleet.clock.now
        queue = self.queues[engine]
        for job in queue.expire(now):
            self._refuse(job.key)
        while (taken := queue.take(now, self.limit())) is not None:
            request = self.jobs[taken.key]
            self.loads.add(POOL, engine)
            self._fleet.tell(self)
            self._fleet.dispatch(engine, request)
            tokens = request.prompt + request.answer
            self._fleet.home_router(request).placement.record_served(
                POOL, request.chat, engine, tokens
            )

    def pump_all(self) -> None:
        """Dispatches what may start at all engines."""
        for engine, queue in self.queues.items():
            if queue.waiting:
                self.pump(engine)

    def end(self, request: enginemodel.Request) -> None:
        self.loads.remove(POOL, request.engine)
        self._fleet.tell(self)
        self.queues[request.engine].finish(request.key, self._fleet.clock.now)
        del self.jobs[request.key]
        self.pump(request.engine)
        self.pump_all()


class Owned(Fleet):
    """The project's decisions: an owner for each engine, sums with a lag."""

    def __init__(
        self,
        scenario: scenarios.Scenario,
        clock: enginemodel.Clock,
        waits: bool = True,
        cost: Callable[[enginemodel.Request], float] | None = None,
    ):
        super().__init__(scenario, clock)
        self.waits = waits
        self.cost = cost or _cost
        names = [f"router-{n}" for n in range(scenario["routers"])]
        self.owners = ownership.Owners(names, self.engines)
        self.routers = {name: _Router(name, self) for name in names}
        self.messages = 0
        self.changed()
        self._repeat()

    def place(self, request: enginemodel.Request) -> None:
        """See `Fleet.place`."""
        self.home_router(request).handle(request)

    def home_router(self, request: enginemodel.Request) -> "_Router":
        """Returns the router that owns the home of a chat."""
        first = next(iter(self.routers.values()))
        home = first.placement.ring_engine(POOL, request.chat)
        return self.routers[self.owners.owner_of(home)]

    def forward(
        self,
        router: str,
        request: enginemodel.Request,
        engine: str,
        hops: int,
    ) -> None:
        """Sends a request from router to router."""
        when = self.clock.now + HOP_S
        self.clock.at(
            when, lambda: self.routers[router].handle(request, engine, hops)
        )

    def ended(self, request: enginemodel.Request) -> None:
        """See `Fleet.ended`."""
        self.routers[self.owners.owner_of(request.engine)].end(request)

    def changed(self) -> None:
        """See `Fleet.changed`."""
        live = self.live
        for name, router in self.routers.items():
            mine = [e for e in self.owners.owned_by(name) if e in live]
            router.set_engines(live, mine)

    def tell(self, router: _Router) -> None:
        """Sends the sums of a router to the others when they are due."""
        now = self.clock.now
        if not router.loads.sums_due(now):
            return
        sums = router.loads.sums(now)
        self.messages += len(self.routers) - 1
        when = now + self.scenario.get("sums_lag_s", HOP_S)
        for other in self.routers.values():
            if other is not router:
                self.clock.at(
                    when, functools.partial(self._hear, other, router, sums)
                )

    def _hear(self, to: _Router, router: _Router, sums: wire.PoolLoads) -> None:
        to.loads.apply_sums(router.name, sums, self.clock.now)
        to.pump_all()

    def _repeat(self) -> None:
        self.clock.at(self.clock.now + TICK_S, self._repeat)
        for router in self.routers.values():
            self.tell(router)


def _cost(request: enginemodel.Request) -> float:
    """Tokens as an owner estimates them: the answer, and some prefill."""
    steps = request.prompt / enginemodel.PREFILL_TOKENS_PER_STEP
    return request.answer + steps
