"""The queue of one endpoint at its owner: what is dispatched next.

Ranks are served in strict order, with a floor for each lower rank while more
urgent work floods in. Inside a rank the accounts share by deficit round robin
on estimated tokens, and of the accounts whose turn it is the earliest deadline
goes first. An account that asked for less than its share has credit left and
goes before those that have used theirs. Work with a finish-by time rises a
rank as its slack runs out.

The last slots are kept for urgent work and for accounts with credit, so that
they need not wait until a long request of others ends.
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
# Tokens that an account may use at once after it asked for little.
BURST_TOKENS = 4096.0
# Credit of an account that asked for much less than its share.
CREDIT_LARGE = BURST_TOKENS / 2
# Tokens of its floor that a rank may save up.
FLOOR_BURST_TOKENS = 2048.0
# Shares of the time to finish by at which such work rises one rank.
RISE_SLACK = (0.25, 0.10)
# Slots of an endpoint for each one that may be kept for such arrivals.
SLOTS_PER_RESERVE = 4
# Share of those arrivals that may find no slot kept for them.
RESERVE_MISS_MAX = 0.01
# Accounts whose credit is remembered, for each rank.
CREDITS_MAX = 4096
# Weight of the newest completion in the moving averages.
_EWMA = 0.05
# The same for the ratio of urgent arrivals, which is counted in small numbers.
_RATIO_EWMA = 0.02


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

    __slots__ = ("backlog", "heap", "name")

    def __init__(self, name: str) -> None:
        self.name = name
        self.heap: list[tuple[float, int, Job]] = []
        self.backlog = 0.0


class _RankQueue:
    """Waiting jobs of one rank."""

    def __init__(self) -> None:
        self.accounts: dict[str, _Account] = {}
        self.waiting = 0
        self.backlog = 0.0
        self.owed = 0.0
        self.peak = 0.0
        self.latest = -math.inf
        self.worth_min = math.inf
        self._rounds = 0
        # Credit of an account, and the round as of which it holds.
        self._credits: dict[str, tuple[float, int]] = {}

    @property
    def has_debtors(self) -> bool:
        """Whether an account that waits has used its share."""
        return any(self.credit(name) <= 0.0 for name in self.accounts)

    def push(self, deadline: float, number: int, job: Job) -> None:
        self.waiting += 1
        self.latest = max(self.latest, deadline)
        self.worth_min = min(self.worth_min, job.worth)
        self.peak = max(self.peak, job.cost)
        account = self.accounts.get(job.account)
        if account is None:
            account = self.accounts[job.account] = _Account(job.account)
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
        self._rounds += rounds
        job = heapq.heappop(account.heap)[2]
        left = self.credit(account.name) - job.cost
        self._credits[account.name] = (left, self._rounds)
        if len(self._credits) > CREDITS_MAX:
            self._forget_full()
        self._shrink(account, job)
        return job

    def credit(self, account: str) -> float:
        """Returns the tokens that an account has left in this round."""
        left, rounds = self._credits.get(account, (BURST_TOKENS, 0))
        earned = (self._rounds - rounds) * QUANTUM_TOKENS
        return min(BURST_TOKENS, left + earned)

    def ahead(self, account: str) -> int:
        """Returns the jobs that go before a new one of an account."""
        if self.credit(account) <= 0.0:
            return self.waiting
        return sum(
            len(item.heap)
            for item in self.accounts.values()
            if self.credit(item.name) > 0.0
        )

    def jobs(self) -> list[tuple[float, int, Job]]:
        """Returns the entries, earliest deadline first."""
        return sorted(
            item for account in self.accounts.values() for item in account.heap
        )

    def _next(self) -> tuple[_Account, int]:
        """The account to serve, and the rounds that pass until its turn."""

        def rounds(account: _Account) -> int:
            credit = self.credit(account.name)
            return 0 if credit > 0.0 else int(-credit // QUANTUM_TOKENS) + 1

        needed = [(rounds(item), item) for item in self.accounts.values()]
        soonest = min(count for count, _ in needed)
        ready = [item for count, item in needed if count == soonest]
        return min(ready, key=lambda item: item.heap[0][:2]), soonest

    def _forget_full(self) -> None:
        self._credits = {
            name: entry
            for name, entry in self._credits.items()
            if self.credit(name) < BURST_TOKENS
        }

    def _shrink(self, account: _Account, job: Job) -> None:
        account.backlog -= job.cost
        self.backlog -= job.cost
        self.waiting -= 1
        if not account.heap:
            del self.accounts[job.account]
        if not self.accounts:
            self.backlog = 0.0
            self.peak = 0.0
            self.latest = -math.inf
            self.worth_min = math.inf


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
        self._limit = slots
        self._ranks = {rank: _RankQueue() for rank in RANKS}
        self._where: dict[str, tuple[int, Job]] = {}
        self._running: dict[str, _Running] = {}
        self._expiries: list[tuple[float, int, str]] = []
        self._rises: list[tuple[float, int, str]] = []
        self._numbers = 0
        self._mean_cost = 0.0
        self._mean_s = 0.0
        # Share of the dispatches that had a claim to the last slots.
        self._urgent_ratio = 0.0
        # Tokens dispatched lately for each rank.
        self._served = dict.fromkeys(RANKS, 0.0)

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

    @property
    def rate(self) -> float | None:
        """Tokens that the endpoint serves a second; None before any."""
        if self._mean_s <= 0.0:
            return None
        return self._width * self._mean_cost / self._mean_s

    @property
    def _width(self) -> int:
        """Requests whose ends pace the starts of others."""
        return max(1, self.in_flight)

    def load_for(self, rank: int, account: str) -> int:
        """Returns the load as a new job would find it.

        It starts at once when this is below the slots and the limit.

        Args:
            rank: Rank of the job.
            account: Its account.

        Returns:
            Jobs in flight and jobs that go before it; at least the slots
            when the last ones are kept from it.
        """
        ahead = sum(self._ranks[item].waiting for item in RANKS[: rank - 1])
        found = self.in_flight + ahead + self._ranks[rank].ahead(account)
        kept = 0 if self._may_fill(rank, account) else self._reserve()
        return max(found, self._slots) if found + kept >= self._slots else found

    def expected_wait(self, rank: int, account: str) -> float:
        """Returns the wait that a new job can expect, seconds."""
        if self.load_for(rank, account) < min(self._slots, self._limit):
            return 0.0
        queue = self._ranks[rank]
        above = [self._ranks[item] for item in RANKS[: rank - 1]]
        ahead = queue.ahead(account)
        backlog = queue.backlog * ahead / max(1, queue.waiting)
        return admission.wait_s(
            ahead + sum(item.waiting for item in above),
            backlog + sum(item.backlog for item in above),
            self._pace(rank),
        )

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
        self._numbers += 1
        rank = self._rank_of(job, now)
        starts = self.load_for(rank, job.account) < self._slots
        self._put(rank, job)
        heapq.heappush(
            self._expiries, (_latest_start(job), self._numbers, job.key)
        )
        self._plan_rise(job, now)
        return [] if starts else self._refuse(rank, job, now)

    def take(self, now: float, limit: int) -> Job | None:
        """Takes the next job to dispatch.

        Args:
            now: Monotonic time, seconds.
            limit: Most requests that the endpoint may have after it.

        Returns:
            The job; None when nothing waits or nothing may start.
        """
        self._rise(now)
        self._limit = limit
        rank = self._next_rank(min(self._slots, limit))
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

    def adopt(self, job: Job, now: float) -> None:
        """Counts a job that runs at the endpoint already.

        Raises:
            ValueError: A job of that key waits or runs already.
        """
        if job.key in self._where or job.key in self._running:
            raise ValueError(f"job {job.key!r} is already here")
        self._running[job.key] = _Running(job, now)

    def finish(self, key: str, now: float) -> None:
        """Ends a job that was taken or adopted.

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

    def _next_rank(self, limit: int) -> int | None:
        """The rank to serve: one whose floor is due, or the most urgent."""
        free = min(limit, self._slots) - self.in_flight
        if free <= 0:
            return None
        for rank in reversed(RANKS):
            queue = self._ranks[rank]
            if queue.accounts and queue.owed >= queue.peek().cost:
                return rank
        # The reserve is taken from the slots and not from the limit: a limit
        # below the reserve would let nothing in, and so never rise.
        unkept = self._slots - self._reserve() - self.in_flight
        urgent = next((r for r in RANKS if self._ranks[r].accounts), None)
        if urgent is None or unkept > 0:
            return urgent
        account = self._ranks[urgent].peek().account
        return urgent if self._may_fill(urgent, account) else None

    def _charge(self, rank: int) -> None:
        """Counts the next job of a rank against the floors."""
        job = self._ranks[rank].peek()
        cost = job.cost
        claim = float(self._may_fill(rank, job.account))
        self._urgent_ratio += _RATIO_EWMA * (claim - self._urgent_ratio)
        for other in RANKS:
            queue = self._ranks[other]
            owed = queue.owed + FLOORS[other] * cost
            queue.owed = min(FLOOR_BURST_TOKENS + queue.peak, owed)
            self._served[other] *= 1.0 - _EWMA
        self._served[rank] += cost
        queue = self._ranks[rank]
        queue.owed = max(0.0, queue.owed - cost)

    def _reserve(self) -> int:
        """Slots that only some work may take.

        One slot comes free for each dispatch, so the mean of such arrivals in
        that time is their share of the dispatches. Enough slots are kept that
        more arrive (Poisson) only rarely.
        """
        most = self._slots // SLOTS_PER_RESERVE
        term = math.exp(-self._urgent_ratio)
        tail = 1.0 - term
        kept = 0
        while kept < most and tail > RESERVE_MISS_MAX:
            kept += 1
            term *= self._urgent_ratio / kept
            tail -= term
        return kept

    def _may_fill(self, rank: int, account: str) -> bool:
        """Whether a job may take one of the last slots.

        They are kept from the rank that gets most of the service, for rank 1
        and for accounts of that rank that asked for little. Work that is less
        urgent than most has no claim.
        """
        flooding = max(RANKS, key=lambda item: self._served[item])
        if rank == 1 and flooding > 1:
            return True
        queue = self._ranks[rank]
        return (
            rank == flooding
            and queue.has_debtors
            and queue.credit(account) >= CREDIT_LARGE
        )

    def _share(self, ranks: tuple[int, ...]) -> float:
        """Share of the tokens dispatched lately that went to some ranks."""
        total = max(1.0, sum(self._served.values()))
        return sum(self._served[rank] for rank in ranks) / total

    def _pace(self, rank: int) -> admission.Pace:
        """How fast jobs of a rank and of more urgent ones start."""
        rate = self.rate
        if rate is not None:
            below = sum(
                FLOORS[other]
                for other in RANKS[rank:]
                if self._ranks[other].accounts
            )
            above = self._share(RANKS[: rank - 1])
            queue = self._ranks[rank]
            if queue.owed >= queue.backlog:
                above = 0.0
            rate *= max(FLOORS[rank], 1.0 - below - above)
        return admission.Pace(self._width, self._mean_cost, rate)

    def _refuse(self, rank: int, job: Job, now: float) -> list[Job]:
        """Refuses jobs of a rank so that the others meet their targets."""
        queue = self._ranks[rank]
        if _latest_start(job) >= queue.latest:
            wait = self._wait_at_end(rank, job)
            if now + wait <= _latest_start(job):
                return []
            if self._goes_first(queue, job):
                self.withdraw(job.key)
                return [job]
        return self._refuse_overdue(rank, job, now)

    def _above(self, rank: int) -> list[_RankQueue]:
        """Queues that are served before a rank."""
        queue = self._ranks[rank]
        if queue.owed >= queue.backlog > 0.0:
            return []
        return [self._ranks[other] for other in RANKS[: rank - 1]]

    def _wait_at_end(self, rank: int, job: Job) -> float:
        queues = [*self._above(rank), self._ranks[rank]]
        return admission.wait_s(
            sum(queue.waiting for queue in queues) - 1,
            sum(queue.backlog for queue in queues) - job.cost,
            self._pace(rank),
        )

    def _goes_first(self, queue: _RankQueue, job: Job) -> bool:
        """Whether the newest job is the first to be refused in its rank."""
        backlog = queue.accounts[job.account].backlog
        return job.worth <= queue.worth_min and all(
            other.backlog <= backlog for other in queue.accounts.values()
        )

    def _refuse_overdue(self, rank: int, newest: Job, now: float) -> list[Job]:
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
        above = self._above(rank)
        keys = admission.overdue(
            claims,
            newest.key,
            self._pace(rank),
            now,
            sum(item.waiting for item in above),
            sum(item.backlog for item in above),
        )
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
