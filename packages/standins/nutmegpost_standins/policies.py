"""Simulated fleets: the scheduling policies of the router, and baselines.

The engines are those of `enginemodel`; requests come from `workload`.
"""

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

__all__ = ["BASELINE_POLICIES", "BaselineFleet", "Fleet", "OwnershipFleet"]

POOL = "model"
HOP_DELAY_S = 0.001
HOPS_MAX = 2
SUMS_INTERVAL_S = 0.25
# Time to prefill one token at an engine, seconds.
PREFILL_TOKEN_S = enginemodel.STEP_FULL_S / enginemodel.PREFILL_TOKENS_PER_STEP
# Share of the first-token target that a request may queue for a cached prefix.
CACHE_WAIT_SHARE = 0.5
# Share of the first-token target after which a queued request is placed again.
RECHECK_SHARE = 0.1
# Least share of that target that a long prefill leaves for queueing.
QUEUE_TARGET_SHARE_MIN = 0.2
BASELINE_POLICIES = ("hash", "round-robin", "least-loaded")


class Fleet:
    """Engines, and a record of all requests.

    Subclasses implement `place`.

    Attributes:
        clock: Simulated time and randomness.
        scenario: The scenario.
        engines: Engines by name.
        requests: All requests, in order of arrival.
        skews: Samples of the largest load over the mean load.
        dispatches: Number of dispatches.
        over_bound: Number of dispatches that exceeded the load bound.
    """

    def __init__(self, scenario: scenarios.Scenario, clock: enginemodel.Clock):
        self.clock = clock
        self.scenario = scenario
        self.engines = {
            f"engine-{number}": enginemodel.Engine(
                f"engine-{number}",
                clock,
                scenario["slots"],
                scenario.get("cache_tokens", 1e9),
                self._handle_end,
            )
            for number in range(scenario["engines"])
        }
        self.requests: list[enginemodel.Request] = []
        self.skews: list[float] = []
        self.dispatches = 0
        self.over_bound = 0
        self.late_over_bound = 0
        self._sample_skew()
        for change in scenario.get("changes", []):
            clock.call_at(
                change["at_s"], functools.partial(self._apply_change, change)
            )

    @property
    def live(self) -> list[str]:
        """Names of the engines that accept work."""
        return [name for name, engine in self.engines.items() if engine.live]

    def arrive(self, request: enginemodel.Request) -> None:
        """Takes a request from a caller."""
        self.requests.append(request)
        self.place(request)

    def place(self, request: enginemodel.Request) -> None:
        """Queues or dispatches a request."""
        raise NotImplementedError

    def on_request_ended(self, request: enginemodel.Request) -> None:
        """Called when a request has ended."""

    def on_engines_changed(self) -> None:
        """Called when the set of live engines has changed."""

    def dispatch(self, engine: str, request: enginemodel.Request) -> None:
        """Sends a request to an engine.

        Checks the load bound against the actual loads, which routers know only
        with a delay.
        """
        target = self.engines[engine]
        total = sum(other.running for other in self.engines.values())
        limit = self.scenario["bound"] * (total + 1) / max(1, len(self.live))
        self.dispatches += 1
        if target.running + 1 > math.ceil(limit - 1e-9):
            self.over_bound += 1
        target.start(request)

    def _handle_end(self, request: enginemodel.Request) -> None:
        self.on_request_ended(request)

    def _apply_change(self, change: scenarios.Change) -> None:
        engine = self.engines[f"engine-{change['engine']}"]
        engine.live = change["joins"]
        if change["joins"]:
            engine.clear()
        self.on_engines_changed()

    def _sample_skew(self) -> None:
        self.clock.call_at(self.clock.now + 0.25, self._sample_skew)
        loads = [self.engines[name].running for name in self.live]
        total = sum(loads)
        if self.clock.now >= self.scenario["warm_s"] and total:
            self.skews.append(max(loads) * len(loads) / total)


class BaselineFleet(Fleet):
    """A baseline: one router with exact loads and a FIFO queue per engine.

    It refuses no request.
    """

    def __init__(
        self,
        scenario: scenarios.Scenario,
        clock: enginemodel.Clock,
        policy: str,
    ):
        self._policy = policy
        self._counter = itertools.count()
        self._queues: dict[str, collections.deque[enginemodel.Request]] = (
            collections.defaultdict(collections.deque)
        )
        super().__init__(scenario, clock)
        self._ring = ring.Ring(self.live)

    def place(self, request: enginemodel.Request) -> None:
        """See `Fleet.place`."""
        engine = self._choose(request)
        self._queues[engine].append(request)
        self._dispatch_waiting(engine)

    def on_request_ended(self, request: enginemodel.Request) -> None:
        """See `Fleet.on_request_ended`."""
        self._dispatch_waiting(request.engine)

    def on_engines_changed(self) -> None:
        """See `Fleet.on_engines_changed`."""
        self._ring = ring.Ring(self.live)

    def _choose(self, request: enginemodel.Request) -> str:
        if self._policy == "hash":
            return self._ring.lookup(request.chat.encode())
        if self._policy == "round-robin":
            names = self.live
            return names[next(self._counter) % len(names)]
        return min(
            self.live,
            key=lambda name: (
                self.engines[name].running + len(self._queues[name]),
                next(self._counter) % 7,
            ),
        )

    def _dispatch_waiting(self, engine: str) -> None:
        target = self.engines[engine]
        queue = self._queues[engine]
        while queue and target.running < target.slots:
            self.dispatch(engine, queue.popleft())


class _Router:
    """A simulated router: its view of loads, its placement and its queues."""

    def __init__(self, name: str, fleet: "OwnershipFleet"):
        self.name = name
        self.loads = load.Loads(name)
        self.placement = placement.Placement()
        self.queues: dict[str, queueing.EngineQueue] = {}
        self.jobs: dict[str, enginemodel.Request] = {}
        self._fleet = fleet

    def set_engines(self, live: list[str], owned: list[str]) -> None:
        self.placement.set_engines(POOL, live)
        self.loads.set_engines(POOL, owned, len(live))
        for name in owned:
            slots = self._fleet.scenario["slots"]
            self.queues.setdefault(name, queueing.EngineQueue(slots))
        for name in set(self.queues) - set(owned):
            self._move_waiting(name)

    def _move_waiting(self, engine: str) -> None:
        """Moves the requests queued for an engine that left the fleet."""
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
            hops < HOPS_MAX and self._load_ahead(engine, request) >= limit
        ):
            choice = self._choose(request, limit, may_wait=hops == 0)
            engine, wait_s = choice.engine, choice.wait_s
        owner = self._fleet.owners.owner_of(engine)
        if owner != self.name and hops < HOPS_MAX:
            self._fleet.forward(owner, request, engine, hops + 1)
            return
        if engine not in self.queues:
            engine = min(
                self.queues, key=lambda name: self._load_ahead(name, request)
            )
        self._enqueue(request, engine)
        if request.key in self.jobs and not request.dispatched_at:
            self._schedule_recheck(request, engine, wait_s)

    def _recheck(self, request: enginemodel.Request, engine: str) -> None:
        """Moves a request that is still queued to an engine below the limit."""
        if self.jobs.get(request.key) is not request:
            return
        limit = min(self.limit(), self._fleet.scenario["slots"])
        free = min(
            self._least_loaded(request),
            key=lambda entry: entry[1],
            default=None,
        )
        if free is None or free[1] >= limit:
            if not request.dispatched_at:
                self._schedule_recheck(request, engine)
        elif self.queues[engine].withdraw(request.key):
            del self.jobs[request.key]
            self.handle(request, hops=1)

    def _schedule_recheck(
        self, request: enginemodel.Request, engine: str, wait_s: float = 0.0
    ) -> None:
        wait_s = wait_s or RECHECK_SHARE * request.first_token_s
        at = self._fleet.clock.now + wait_s
        self._fleet.clock.call_at(at, lambda: self._recheck(request, engine))

    def _choose(
        self, request: enginemodel.Request, limit: int, may_wait: bool
    ) -> placement.Choice:
        waits_for_cache = self._fleet.waits_for_cache and may_wait
        return self.placement.choose(
            POOL,
            request.chat,
            lambda name: self._load_ahead(name, request),
            limit,
            self._least_loaded(request),
            wait_of=lambda name: self._expected_wait_s(name, request),
            token_s=PREFILL_TOKEN_S if waits_for_cache else 0.0,
            wait_max_s=CACHE_WAIT_SHARE * request.first_token_s,
        )

    def _least_loaded(
        self, request: enginemodel.Request
    ) -> list[tuple[str, int]]:
        """Returns least loaded engines with their loads.

        The loads of owned engines are those ahead of the request in the queue.
        """
        others = [
            entry
            for entry in self.loads.least_loaded(POOL)
            if entry[0] not in self.queues
        ]
        owned = [
            (name, self._load_ahead(name, request))
            for name in self.queues
            if self._fleet.engines[name].live
        ]
        return others + owned

    def _load_ahead(self, engine: str, request: enginemodel.Request) -> int:
        """Returns the load of an engine ahead of a request."""
        queue = self.queues.get(engine)
        if queue is None:
            return int(self.loads.mean(POOL))
        return queue.load_ahead(request.rank, request.account)

    def _expected_wait_s(
        self, engine: str, request: enginemodel.Request
    ) -> float:
        queue = self.queues.get(engine)
        if queue is None:
            return math.inf
        return queue.expected_wait_s(request.rank, request.account)

    def _queue_target_s(
        self, request: enginemodel.Request, engine: str
    ) -> float:
        """Returns the longest time to dispatch of a request, seconds."""
        if self._load_ahead(engine, request) < self._fleet.scenario["slots"]:
            # A long prefill must not refuse a request that can start at once.
            return request.first_token_s
        cached_tokens = dict(
            self._fleet.ring_owner(request).placement.cache_holders(
                POOL, request.chat
            )
        )
        uncached_tokens = max(
            0, request.prompt_tokens - cached_tokens.get(engine, 0)
        )
        prefill_s = uncached_tokens * PREFILL_TOKEN_S + enginemodel.STEP_FULL_S
        min_target_s = QUEUE_TARGET_SHARE_MIN * request.first_token_s
        return max(min_target_s, request.first_token_s - prefill_s)

    def _enqueue(
        self, request: enginemodel.Request, engine: str, may_move: bool = True
    ) -> None:
        now = self._fleet.clock.now
        cost = self._fleet.cost(request)
        job = queueing.Job(
            request.key,
            request.account,
            request.work_class,
            request.rank,
            request.arrived_at,
            self._queue_target_s(request, engine),
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
        self.dispatch_waiting(engine)
        expiry = self.queues[engine].next_expiry()
        if expiry is not None:
            self._fleet.clock.call_at(
                expiry, lambda: self.dispatch_waiting(engine)
            )

    def _move_or_refuse(self, key: str, engine: str) -> None:
        """Refuses a request unless another engine can take it now."""
        request = self.jobs[key]
        limit = min(self.limit(), self._fleet.scenario["slots"])
        free = [
            name
            for name in self.queues
            if name != engine and self._load_ahead(name, request) < limit
        ]
        if not free:
            self._refuse(key)
            return
        del self.jobs[key]
        least_loaded = min(
            free, key=lambda name: self._load_ahead(name, request)
        )
        self._enqueue(request, least_loaded, may_move=False)

    def _refuse(self, key: str) -> None:
        self.jobs.pop(key).refused = True

    def dispatch_waiting(self, engine: str) -> None:
        """Dispatches the queued requests that an engine may start."""
        now = self._fleet.clock.now
        queue = self.queues[engine]
        for job in queue.expire(now):
            self._refuse(job.key)
        while (next_job := queue.take(now, self.limit())) is not None:
            request = self.jobs[next_job.key]
            self.loads.add(POOL, engine)
            self._fleet.publish_sums(self)
            self._fleet.dispatch(engine, request)
            tokens = request.prompt_tokens + request.answer_tokens
            self._fleet.ring_owner(request).placement.record_served(
                POOL, request.chat, engine, tokens
            )

    def dispatch_all_waiting(self) -> None:
        """Dispatches the queued requests that any owned engine may start."""
        for engine, queue in self.queues.items():
            if queue.waiting:
                self.dispatch_waiting(engine)

    def end(self, request: enginemodel.Request) -> None:
        self.loads.remove(POOL, request.engine)
        self._fleet.publish_sums(self)
        self.queues[request.engine].finish(request.key, self._fleet.clock.now)
        del self.jobs[request.key]
        self.dispatch_waiting(request.engine)
        self.dispatch_all_waiting()


class OwnershipFleet(Fleet):
    """The policies of the router: each engine has an owner that queues for it.

    Owners learn the load sums of each other with a delay.
    """

    def __init__(
        self,
        scenario: scenarios.Scenario,
        clock: enginemodel.Clock,
        waits_for_cache: bool = True,
        cost: Callable[[enginemodel.Request], float] | None = None,
    ):
        super().__init__(scenario, clock)
        self.waits_for_cache = waits_for_cache
        self.cost = cost or _estimated_tokens
        names = [f"router-{n}" for n in range(scenario["routers"])]
        self.owners = ownership.Owners(names, self.engines)
        self.routers = {name: _Router(name, self) for name in names}
        self.messages = 0
        self.on_engines_changed()
        self._publish_sums_periodically()

    def place(self, request: enginemodel.Request) -> None:
        """See `Fleet.place`."""
        self.ring_owner(request).handle(request)

    def ring_owner(self, request: enginemodel.Request) -> "_Router":
        """Returns the owner of the engine that a chat maps to on the ring."""
        first = next(iter(self.routers.values()))
        ring_engine = first.placement.ring_engine(POOL, request.chat)
        return self.routers[self.owners.owner_of(ring_engine)]

    def forward(
        self,
        router: str,
        request: enginemodel.Request,
        engine: str,
        hops: int,
    ) -> None:
        """Forwards a request to another router."""
        at = self.clock.now + HOP_DELAY_S
        self.clock.call_at(
            at, lambda: self.routers[router].handle(request, engine, hops)
        )

    def on_request_ended(self, request: enginemodel.Request) -> None:
        """See `Fleet.on_request_ended`."""
        self.routers[self.owners.owner_of(request.engine)].end(request)

    def on_engines_changed(self) -> None:
        """See `Fleet.on_engines_changed`."""
        live = self.live
        for name, router in self.routers.items():
            owned = [
                engine
                for engine in self.owners.owned_by(name)
                if engine in live
            ]
            router.set_engines(live, owned)

    def publish_sums(self, router: _Router) -> None:
        """Sends the load sums of a router to all others if they are due."""
        now = self.clock.now
        if not router.loads.sums_due(now):
            return
        sums = router.loads.sums(now)
        self.messages += len(self.routers) - 1
        at = now + self.scenario.get("sums_lag_s", HOP_DELAY_S)
        for other in self.routers.values():
            if other is not router:
                self.clock.call_at(
                    at,
                    functools.partial(self._receive_sums, other, router, sums),
                )

    def _receive_sums(
        self, receiver: _Router, router: _Router, sums: wire.PoolLoads
    ) -> None:
        receiver.loads.apply_sums(router.name, sums, self.clock.now)
        receiver.dispatch_all_waiting()

    def _publish_sums_periodically(self) -> None:
        self.clock.call_at(
            self.clock.now + SUMS_INTERVAL_S, self._publish_sums_periodically
        )
        for router in self.routers.values():
            self.publish_sums(router)


def _estimated_tokens(request: enginemodel.Request) -> float:
    """Returns the cost in tokens; a step of prefill counts as one token."""
    steps = request.prompt_tokens / enginemodel.PREFILL_TOKENS_PER_STEP
    return request.answer_tokens + steps
