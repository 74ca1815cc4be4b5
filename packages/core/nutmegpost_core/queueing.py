"""The queue of one endpoint at its owner: what is dispatched next.

Ranks are served in strict order, with a floor for each lower rank while more
urgent work floods in. Inside a rank the accounts share by deficit round robin
on estimated tokens, and of the accounts whose turn it is the earliest deadline
goes first. Work with a finish-by time rises a rank as its slack runs out.
"""

import heapq
import math
from typing import NamedTuple

from nutmegpost_core import admission

__all__ = [
    "FLOORS",
    "QUANTUM_TOKENS",
    "RANKS",
    "EngineQueue",
    "Job",
]

RANKS = (1, 2, 3)
# Share of the service that a rank keeps while more urgent work floods in.
FLOORS = {1: 0.0, 2: 0.12, 3: 0.06}
# Tokens that an account may use in each round of its rank.
QUANTUM_TOKENS = 256.0
# Shares of the time to finish by at which such work rises one rank.
RISE_SLACK = (0.25, 0.10)
# Time that urgent arrivals are remembered for, seconds.
URGENT_MEMORY_S = 30.0
# Slots of an endpoint for each one that is kept free for rank 1.
SLOTS_PER_RESERVE = 8
# Weight of the newest completion in the moving averages.
_EWMA = 0.05


class Job(NamedTuple):
    """A request that waits for an endpoint.

    Attributes:
        key: Name of the request, unique in the queue.
        account: Account of the caller.
        work_class: Class of the work.
        rank: 1 is served first.
        arrived: When it reached the fleet, monotonic seconds.
        first_token_s: Target for the start of the answer, seconds.
        finish_s: Target for the whole answer, seconds, or None.
        worth: Value against others.
        cost: Estimated tokens.
    """

    key: str
    account: str
    work_class: str
    rank: int
    arrived: float
    first_token_s: float
    finish_s: float | None
    worth: float
    cost: float


class _Account:
    """Waiting jobs of one account in one rank."""

    __slots__ = ("backlog", "deficit", "heap")

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Job]] = []
        self.deficit = 0.0
        self.backlog = 0.0


class _RankQueue:
    """Waiting jobs of one rank."""

    def __init__(self) -> None:
        self.accounts: dict[str, _Account] = {}
        self.backlog = 0.0
        self.owed = 0.0

    def push(self, deadline: float, number: int, job: Job) -> None:
        account = self.accounts.setdefault(job.account, _Account())
        heapq.heappush(account.heap, (deadline, number, job))
        account.backlog += job.cost
        self.backlog += job.cost

    def drop(self, job: Job) -> None:
        account = self.accounts[job.account]
        account.heap = [item for item in account.heap if item[2] is not job]
        heapq.heapify(account.heap)
        self._shrink(account, job)

    def peek(self) -> Job:
        """Returns the job that `pop` takes next."""
        return self._next()[0].heap[0][2]

    def pop(self) -> Job:
        account, rounds = self._next()
        for other in self.accounts.values():
            other.deficit += rounds * QUANTUM_TOKENS
        job = heapq.heappop(account.heap)[2]
        account.deficit -= job.cost
        self._shrink(account, job)
        return job

    def jobs(self) -> list[tuple[float, int, Job]]:
        """Returns the entries, earliest deadline first."""
        return sorted(
            item for account in self.accounts.values() for item in account.heap
        )

    def _next(self) -> tuple[_Account, int]:
        def rounds(account: _Account) -> int:
            lacking = account.heap[0][2].cost - account.deficit
            return max(0, math.ceil(lacking / QUANTUM_TOKENS))

        needed = [(rounds(item), item) for item in self.accounts.values()]
        soonest = min(count for count, _ in needed)
        ready = [item for count, item in needed if count == soonest]
        return min(ready, key=lambda item: item.heap[0][:2]), soonest

    def _shrink(self, account: _Account, job: Job) -> None:
        account.backlog -= job.cost
        self.backlog -= job.cost
        if not account.heap:
            del self.accounts[job.account]
        if not self.accounts:
            self.backlog = 0.0
            self.owed = 0.0


class _Running(NamedTuple):
    job: Job
    started: float


class EngineQueue:
    """The queue of one endpoint."""

    def __init__(self, slots: int):
        """Starts empty.

        Args:
            slots: Requests that the endpoint serves at once.
        """
        self._slots = slots
        self._width = slots
        self._ranks = {rank: _RankQueue() for rank in RANKS}
        self._where: dict[str, tuple[int, Job]] = {}
        self._running: dict[str, _Running] = {}
        self._expiries: list[tuple[float, int, str]] = []
        self._rises: list[tuple[float, int, str]] = []
        self._numbers = 0
        self._mean_cost = 0.0
        self._mean_s = 0.0
        self._urgent_at = -math.inf
        self._taken = dict.fromkeys(RANKS, 0.0)

    @property
    def waiting(self) -> int:
        """Jobs that wait."""
        return len(self._where)

    @property
    def in_flight(self) -> int:
        """Jobs that were taken and are not finished."""
        return len(self._running)

    @property
    def slots(self) -> int:
        """Requests that the endpoint serves at once."""
        return self._slots

    @slots.setter
    def slots(self, slots: int) -> None:
        self._slots = slots
        self._width = slots

    @property
    def rate(self) -> float | None:
        """Tokens that the endpoint serves a second; None before any."""
        if self._mean_s <= 0.0:
            return None
        return self._width * self._mean_cost / self._mean_s

    def expected_wait(self, rank: int, now: float) -> float:
        """Returns the wait that a new job of a rank can expect, seconds."""
        if self._free(rank, self._width, now) > 0 and not self.waiting:
            return 0.0
        ahead = sum(self._ranks[other].backlog for other in RANKS[:rank])
        ahead += self._mean_cost
        return admission.wait_s(ahead, self._rate_of(rank))

    def offer(self, job: Job, now: float) -> list[Job]:
        """Adds a job and refuses what cannot meet its target.

        Args:
            job: The job.
            now: Monotonic time, seconds.

        Returns:
            The jobs refused, which may include the one offered.

        Raises:
            ValueError: A job of that key waits or runs already.
        """
        if job.key in self._where or job.key in self._running:
            raise ValueError(f"job {job.key!r} is already here")
        if job.rank == 1:
            self._urgent_at = now
        self._numbers += 1
        rank = self._rank_of(job, now)
        self._put(rank, job)
        heapq.heappush(
            self._expiries, (_latest_start(job), self._numbers, job.key)
        )
        self._plan_rise(job, now)
        return self._refuse(rank, now)

    def take(self, now: float, limit: int) -> Job | None:
        """Takes the next job to dispatch.

        Args:
            now: Monotonic time, seconds.
            limit: Most requests that the endpoint may have after it.

        Returns:
            The job; None when nothing waits or nothing may start.
        """
        self._rise(now)
        self._width = max(1, min(self._slots, limit))
        rank = self._next_rank(min(self._slots, limit), now)
        if rank is None:
            return None
        self._charge(rank)
        job = self._ranks[rank].pop()
        del self._where[job.key]
        self._running[job.key] = _Running(job, now)
        return job

    def withdraw(self, key: str) -> bool:
        """Removes a job that waits.

        Returns:
            False when it does not wait here.
        """
        found = self._where.pop(key, None)
        if found is None:
            return False
        rank, job = found
        self._ranks[rank].drop(job)
        return True

    def finish(self, key: str, now: float) -> None:
        """Ends a job that was taken.

        Raises:
            KeyError: No such job runs.
        """
        running = self._running.pop(key)
        duration_s = max(0.0, now - running.started)
        if self._mean_s <= 0.0:
            self._mean_cost = running.job.cost
            self._mean_s = duration_s
            return
        self._mean_cost += _EWMA * (running.job.cost - self._mean_cost)
        self._mean_s += _EWMA * (duration_s - self._mean_s)

    def expire(self, now: float) -> list[Job]:
        """Removes the jobs that can no longer meet their target.

        Returns:
            Those jobs.
        """
        expired = []
        while self._expiries and self._expiries[0][0] <= now:
            key = heapq.heappop(self._expiries)[2]
            found = self._where.get(key)
            if found and _latest_start(found[1]) <= now:
                self.withdraw(key)
                expired.append(found[1])
        return expired

    def next_expiry(self) -> float | None:
        """Returns when `expire` next has something to do."""
        while self._expiries and self._expiries[0][2] not in self._where:
            heapq.heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else None

    def _put(self, rank: int, job: Job) -> None:
        self._where[job.key] = (rank, job)
        self._ranks[rank].push(_latest_start(job), self._numbers, job)

    def _next_rank(self, limit: int, now: float) -> int | None:
        """The rank to serve: one whose floor is due, or the most urgent."""
        for rank in reversed(RANKS):
            queue = self._ranks[rank]
            if not queue.accounts or queue.owed < queue.peek().cost:
                continue
            if self._free(rank, limit, now) > 0:
                return rank
        for rank in RANKS:
            if self._ranks[rank].accounts:
                return rank if self._free(rank, limit, now) > 0 else None
        return None

    def _charge(self, rank: int) -> None:
        cost = self._ranks[rank].peek().cost
        for other in RANKS:
            queue = self._ranks[other]
            if queue.accounts:
                queue.owed += FLOORS[other] * cost
        queue = self._ranks[rank]
        queue.owed = max(0.0, queue.owed - cost)

    def _free(self, rank: int, limit: int, now: float) -> int:
        """Slots that a job of a rank may still take."""
        reserve = 0
        if rank > 1 and now - self._urgent_at < URGENT_MEMORY_S:
            reserve = self._slots // SLOTS_PER_RESERVE
        return min(limit, self._slots - reserve) - self.in_flight

    def _rate_of(self, rank: int) -> float | None:
        """Tokens a second that a rank gets while all ranks wait."""
        rate = self.rate
        if rate is None:
            return None
        below = sum(
            FLOORS[other]
            for other in RANKS[rank:]
            if self._ranks[other].accounts
        )
        return rate * (1.0 - below)

    def _refuse(self, rank: int, now: float) -> list[Job]:
        queue = self._ranks[rank]
        claims = [
            admission.Claim(
                job.key,
                deadline,
                job.cost,
                job.worth,
                queue.accounts[job.account].backlog,
            )
            for deadline, _, job in queue.jobs()
        ]
        ahead = sum(self._ranks[other].backlog for other in RANKS[: rank - 1])
        if self.in_flight < self._width:
            return []
        keys = admission.overdue(claims, self._rate_of(rank), now, ahead)
        jobs = [self._where[key][1] for key in keys]
        for key in keys:
            self.withdraw(key)
        return jobs

    def _rank_of(self, job: Job, now: float) -> int:
        """The rank of a job after the rises that are due."""
        return max(1, job.rank - sum(at <= now for at in _rise_times(job)))

    def _plan_rise(self, job: Job, now: float) -> None:
        for at in _rise_times(job):
            if at > now:
                heapq.heappush(self._rises, (at, self._numbers, job.key))

    def _rise(self, now: float) -> None:
        while self._rises and self._rises[0][0] <= now:
            key = heapq.heappop(self._rises)[2]
            if key not in self._where:
                continue
            rank, job = self._where[key]
            target = self._rank_of(job, now)
            if target == rank:
                continue
            self.withdraw(key)
            self._numbers += 1
            self._put(target, job)


def _latest_start(job: Job) -> float:
    """When a job must start to meet its targets."""
    if job.finish_s is not None:
        return job.arrived + max(job.finish_s, job.first_token_s)
    return job.arrived + job.first_token_s


def _rise_times(job: Job) -> list[float]:
    if job.finish_s is None:
        return []
    return [job.arrived + job.finish_s * (1.0 - s) for s in RISE_SLACK]
