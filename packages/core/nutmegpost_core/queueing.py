"""Scheduling of the requests that wait for one endpoint.

The router that owns an endpoint keeps its queue. Ranks have strict priority,
with a minimum share of the service for each lower rank so that a flood of
urgent work does not starve it. Within a rank, client accounts share by deficit
round robin on estimated tokens; among the accounts whose turn it is, the
earliest deadline goes first. An account that used less than its share has
credit left and goes before accounts without credit. Jobs with a finish target
are promoted a rank as their slack runs out.

The last slots are reserved for urgent work and for accounts with credit, so
that these need not wait for a long request of another account to end.
"""

import heapq
import math
from typing import NamedTuple

from nutmegpost_core import admission

__all__ = [
    "RANK_MIN_SHARES",
    "QUANTUM_TOKENS",
    "RANKS",
    "EngineQueue",
    "Job",
]

RANKS = (1, 2, 3)
# Minimum share of the service of each rank under a flood of urgent work.
RANK_MIN_SHARES = {1: 0.0, 2: 0.12, 3: 0.06}
# Credit that an account earns in each round of its rank.
QUANTUM_TOKENS = 256.0
# Most credit that an account can accumulate.
BURST_TOKENS = 4096.0
# Credit at which an account, having used much less than its share, may use a
# reserved slot.
RESERVED_SLOT_CREDIT_TOKENS = BURST_TOKENS / 2
# Tokens of its minimum share that a rank may accumulate.
MIN_SHARE_BURST_TOKENS = 2048.0
# Remaining shares of the finish target at which a job is promoted one rank.
PROMOTION_SLACK_SHARES = (0.25, 0.10)
# Slots of an endpoint for each one that may be reserved.
SLOTS_PER_RESERVED_SLOT = 4
# Largest probability that an eligible job finds no reserved slot.
RESERVE_MISS_MAX = 0.01
# Accounts whose credit is stored, per rank.
CREDIT_ACCOUNTS_MAX = 4096
# Weight of the newest sample in the moving averages.
_EWMA_WEIGHT = 0.05
# Weight for the ratio of eligible jobs, which are few and need more smoothing.
_RATIO_EWMA_WEIGHT = 0.02


class Job(NamedTuple):
    """A request that waits for an endpoint.

    Attributes:
        key: Identifier of the request, unique in the queue.
        account: Client account.
        work_class: Work class.
        rank: Priority; 1 is served first.
        arrived: Time at which it reached the fleet, monotonic seconds.
        first_token_s: Target time to the first token, seconds.
        finish_s: Target time to the end of the response, seconds, or None.
        worth: Value relative to other jobs.
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


class _AccountQueue:
    """Waiting jobs of one account in one rank."""

    __slots__ = ("backlog", "heap", "name")

    def __init__(self, name: str) -> None:
        self.name = name
        self.heap: list[tuple[float, int, Job]] = []
        self.backlog = 0.0


class _RankQueue:
    """Waiting jobs of one rank."""

    def __init__(self) -> None:
        self.accounts: dict[str, _AccountQueue] = {}
        self.waiting = 0
        self.backlog = 0.0
        # Unused tokens of the minimum share of this rank.
        self.min_share_tokens = 0.0
        self.cost_max = 0.0
        self.latest_deadline = -math.inf
        self.worth_min = math.inf
        self._round = 0
        # Credit of each account and the round in which it was computed.
        self._credits: dict[str, tuple[float, int]] = {}

    @property
    def has_account_without_credit(self) -> bool:
        """Whether an account with waiting jobs has used up its credit."""
        return any(self.credit(name) <= 0.0 for name in self.accounts)

    def push(self, deadline: float, sequence: int, job: Job) -> None:
        self.waiting += 1
        self.latest_deadline = max(self.latest_deadline, deadline)
        self.worth_min = min(self.worth_min, job.worth)
        self.cost_max = max(self.cost_max, job.cost)
        account = self.accounts.get(job.account)
        if account is None:
            account = self.accounts[job.account] = _AccountQueue(job.account)
        heapq.heappush(account.heap, (deadline, sequence, job))
        account.backlog += job.cost
        self.backlog += job.cost

    def remove(self, job: Job) -> None:
        account = self.accounts[job.account]
        account.heap = [entry for entry in account.heap if entry[2] is not job]
        heapq.heapify(account.heap)
        self._subtract(account, job)

    def peek(self) -> Job:
        """Returns the job that `pop` returns next."""
        return self._next_account()[0].heap[0][2]

    def pop(self) -> Job:
        account, rounds_until_turn = self._next_account()
        self._round += rounds_until_turn
        job = heapq.heappop(account.heap)[2]
        left = self.credit(account.name) - job.cost
        self._credits[account.name] = (left, self._round)
        if len(self._credits) > CREDIT_ACCOUNTS_MAX:
            self._drop_full_credits()
        self._subtract(account, job)
        return job

    def credit(self, account: str) -> float:
        """Returns the tokens that an account has left in this round."""
        left, as_of_round = self._credits.get(account, (BURST_TOKENS, 0))
        earned = (self._round - as_of_round) * QUANTUM_TOKENS
        return min(BURST_TOKENS, left + earned)

    def count_ahead(self, account: str) -> int:
        """Returns the number of jobs ahead of a new one of an account."""
        if self.credit(account) <= 0.0:
            return self.waiting
        return sum(
            len(queue.heap)
            for queue in self.accounts.values()
            if self.credit(queue.name) > 0.0
        )

    def entries(self) -> list[tuple[float, int, Job]]:
        """Returns the entries, earliest deadline first."""
        return sorted(
            entry
            for account in self.accounts.values()
            for entry in account.heap
        )

    def _next_account(self) -> tuple[_AccountQueue, int]:
        """Returns the account to serve and the rounds until its turn."""

        def rounds_until_turn(account: _AccountQueue) -> int:
            credit = self.credit(account.name)
            return 0 if credit > 0.0 else int(-credit // QUANTUM_TOKENS) + 1

        rounds_by_account = [
            (rounds_until_turn(account), account)
            for account in self.accounts.values()
        ]
        fewest_rounds = min(count for count, _ in rounds_by_account)
        ready = [
            account
            for count, account in rounds_by_account
            if count == fewest_rounds
        ]
        return min(
            ready, key=lambda account: account.heap[0][:2]
        ), fewest_rounds

    def _drop_full_credits(self) -> None:
        self._credits = {
            name: entry
            for name, entry in self._credits.items()
            if self.credit(name) < BURST_TOKENS
        }

    def _subtract(self, account: _AccountQueue, job: Job) -> None:
        account.backlog -= job.cost
        self.backlog -= job.cost
        self.waiting -= 1
        if not account.heap:
            del self.accounts[job.account]
        if not self.accounts:
            self.backlog = 0.0
            self.cost_max = 0.0
            self.latest_deadline = -math.inf
            self.worth_min = math.inf


class _Running(NamedTuple):
    job: Job
    started: float


class EngineQueue:
    """Waiting and running jobs of one endpoint."""

    def __init__(self, slots: int):
        """Creates an empty queue.

        Args:
            slots: Requests that the endpoint serves at the same time.
        """
        self._slots = slots
        self._limit = slots
        self._ranks = {rank: _RankQueue() for rank in RANKS}
        self._waiting_jobs: dict[str, tuple[int, Job]] = {}
        self._running: dict[str, _Running] = {}
        self._expiries: list[tuple[float, int, str]] = []
        self._promotions: list[tuple[float, int, str]] = []
        self._last_sequence = 0
        self._mean_cost = 0.0
        self._mean_duration_s = 0.0
        # Moving share of the dispatches that were eligible for a reserved slot.
        self._reserved_slot_ratio = 0.0
        # Recently dispatched tokens of each rank, exponentially decayed.
        self._served = dict.fromkeys(RANKS, 0.0)

    @property
    def waiting(self) -> int:
        """Number of waiting jobs."""
        return len(self._waiting_jobs)

    @property
    def in_flight(self) -> int:
        """Number of running jobs, from `take` and `add_running`."""
        return len(self._running)

    @property
    def slots(self) -> int:
        """Requests that the endpoint serves at the same time."""
        return self._slots

    @slots.setter
    def slots(self, slots: int) -> None:
        self._slots = slots

    @property
    def tokens_per_s(self) -> float | None:
        """Estimated tokens served per second; None before any completion."""
        if self._mean_duration_s <= 0.0:
            return None
        return self._concurrency * self._mean_cost / self._mean_duration_s

    @property
    def _concurrency(self) -> int:
        """Number of running requests, at least 1; each end starts another."""
        return max(1, self.in_flight)

    def load_ahead(self, rank: int, account: str) -> int:
        """Returns the number of jobs running or ahead of a new job.

        The job starts immediately when this is below the slots and the limit.

        Args:
            rank: Rank of the job.
            account: Client account of the job.

        Returns:
            Running jobs plus waiting jobs ahead of it; at least the number of
            slots when only reserved slots are free and the job may not use
            them.
        """
        jobs_ahead = sum(
            self._ranks[other].waiting for other in RANKS[: rank - 1]
        )
        load = (
            self.in_flight + jobs_ahead + self._ranks[rank].count_ahead(account)
        )
        reserved = (
            0
            if self._may_use_reserved_slot(rank, account)
            else self._reserved_slots()
        )
        return (
            max(load, self._slots) if load + reserved >= self._slots else load
        )

    def expected_wait_s(self, rank: int, account: str) -> float:
        """Returns the expected wait of a new job, in seconds."""
        if self.load_ahead(rank, account) < min(self._slots, self._limit):
            return 0.0
        queue = self._ranks[rank]
        queues_ahead = [self._ranks[other] for other in RANKS[: rank - 1]]
        jobs_ahead = queue.count_ahead(account)
        backlog = queue.backlog * jobs_ahead / max(1, queue.waiting)
        return admission.expected_wait_s(
            jobs_ahead + sum(ahead.waiting for ahead in queues_ahead),
            backlog + sum(ahead.backlog for ahead in queues_ahead),
            self._service_rate(rank),
        )

    def offer(self, job: Job, now: float) -> list[Job]:
        """Adds a job and refuses jobs that would miss their target.

        Args:
            job: The job.
            now: Monotonic time, seconds.

        Returns:
            The refused jobs, which may include the new one.

        Raises:
            ValueError: A job with this key already waits or runs.
        """
        if job.key in self._waiting_jobs or job.key in self._running:
            raise ValueError(f"job {job.key!r} already waits or runs")
        self._last_sequence += 1
        rank = self._effective_rank(job, now)
        starts = self.load_ahead(rank, job.account) < self._slots
        self._enqueue(rank, job)
        heapq.heappush(
            self._expiries, (_latest_start(job), self._last_sequence, job.key)
        )
        self._schedule_promotions(job, now)
        return [] if starts else self._refuse(rank, job, now)

    def take(self, now: float, limit: int) -> Job | None:
        """Takes the next job to dispatch.

        Args:
            now: Monotonic time, seconds.
            limit: Most requests that may run, this one included.

        Returns:
            The job; None when no job waits or none may start.
        """
        self._promote(now)
        self._limit = limit
        rank = self._next_rank(min(self._slots, limit))
        if rank is None:
            return None
        self._record_dispatch(rank)
        job = self._ranks[rank].pop()
        del self._waiting_jobs[job.key]
        self._running[job.key] = _Running(job, now)
        return job

    def withdraw(self, key: str) -> bool:
        """Removes a waiting job.

        Returns:
            Whether the job was waiting here.
        """
        entry = self._waiting_jobs.pop(key, None)
        if entry is None:
            return False
        rank, job = entry
        self._ranks[rank].remove(job)
        return True

    def add_running(self, job: Job, now: float) -> None:
        """Adds a job that already runs at the endpoint.

        Raises:
            ValueError: A job with this key already waits or runs.
        """
        if job.key in self._waiting_jobs or job.key in self._running:
            raise ValueError(f"job {job.key!r} already waits or runs")
        self._running[job.key] = _Running(job, now)

    def finish(self, key: str, now: float) -> None:
        """Removes a running job and updates the measured service rate.

        Raises:
            KeyError: No job with this key runs.
        """
        running = self._running.pop(key)
        duration_s = max(0.0, now - running.started)
        if self._mean_duration_s <= 0.0:
            self._mean_cost = running.job.cost
            self._mean_duration_s = duration_s
            return
        self._mean_cost += _EWMA_WEIGHT * (running.job.cost - self._mean_cost)
        self._mean_duration_s += _EWMA_WEIGHT * (
            duration_s - self._mean_duration_s
        )

    def expire(self, now: float) -> list[Job]:
        """Removes the jobs that can no longer meet their target.

        Returns:
            The removed jobs.
        """
        expired = []
        while self._expiries and self._expiries[0][0] <= now:
            key = heapq.heappop(self._expiries)[2]
            entry = self._waiting_jobs.get(key)
            if entry and _latest_start(entry[1]) <= now:
                self.withdraw(key)
                expired.append(entry[1])
        return expired

    def next_expiry(self) -> float | None:
        """Returns the next time at which `expire` removes a job, or None."""
        while self._expiries and self._expiries[0][2] not in self._waiting_jobs:
            heapq.heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else None

    def _enqueue(self, rank: int, job: Job) -> None:
        self._waiting_jobs[job.key] = (rank, job)
        self._ranks[rank].push(_latest_start(job), self._last_sequence, job)

    def _next_rank(self, limit: int) -> int | None:
        """Returns the most urgent rank, or one whose minimum share is due."""
        free = min(limit, self._slots) - self.in_flight
        if free <= 0:
            return None
        for rank in reversed(RANKS):
            queue = self._ranks[rank]
            if queue.accounts and queue.min_share_tokens >= queue.peek().cost:
                return rank
        # Reserved slots count against the slots, not against the limit: a
        # limit below the reserve would admit nothing and so never rise.
        unreserved = self._slots - self._reserved_slots() - self.in_flight
        urgent = next((r for r in RANKS if self._ranks[r].accounts), None)
        if urgent is None or unreserved > 0:
            return urgent
        account = self._ranks[urgent].peek().account
        return urgent if self._may_use_reserved_slot(urgent, account) else None

    def _record_dispatch(self, rank: int) -> None:
        """Updates the minimum shares for the dispatch of a rank's next job."""
        job = self._ranks[rank].peek()
        cost = job.cost
        is_eligible = float(self._may_use_reserved_slot(rank, job.account))
        self._reserved_slot_ratio += _RATIO_EWMA_WEIGHT * (
            is_eligible - self._reserved_slot_ratio
        )
        for other in RANKS:
            queue = self._ranks[other]
            min_share_tokens = (
                queue.min_share_tokens + RANK_MIN_SHARES[other] * cost
            )
            queue.min_share_tokens = min(
                MIN_SHARE_BURST_TOKENS + queue.cost_max, min_share_tokens
            )
            self._served[other] *= 1.0 - _EWMA_WEIGHT
        self._served[rank] += cost
        queue = self._ranks[rank]
        queue.min_share_tokens = max(0.0, queue.min_share_tokens - cost)

    def _reserved_slots(self) -> int:
        """Returns the number of slots that only eligible jobs may use.

        One slot becomes free per dispatch, so the mean number of eligible
        arrivals in that time is their share of the dispatches. Enough slots
        are reserved that, for Poisson arrivals, more arrive only with
        probability `RESERVE_MISS_MAX`.
        """
        reserved_max = self._slots // SLOTS_PER_RESERVED_SLOT
        term = math.exp(-self._reserved_slot_ratio)
        tail = 1.0 - term
        reserved = 0
        while reserved < reserved_max and tail > RESERVE_MISS_MAX:
            reserved += 1
            term *= self._reserved_slot_ratio / reserved
            tail -= term
        return reserved

    def _may_use_reserved_slot(self, rank: int, account: str) -> bool:
        """Returns whether a job may use a reserved slot.

        Slots are withheld from the rank that receives most of the service, in
        favour of rank 1 and of accounts of that rank with much credit. Work
        that is less urgent than this rank may not use them.
        """
        busiest_rank = max(RANKS, key=lambda other: self._served[other])
        if rank == 1 and busiest_rank > 1:
            return True
        queue = self._ranks[rank]
        return (
            rank == busiest_rank
            and queue.has_account_without_credit
            and queue.credit(account) >= RESERVED_SLOT_CREDIT_TOKENS
        )

    def _served_share(self, ranks: tuple[int, ...]) -> float:
        """Returns the share of recently dispatched tokens of some ranks."""
        total = max(1.0, sum(self._served.values()))
        return sum(self._served[rank] for rank in ranks) / total

    def _service_rate(self, rank: int) -> admission.ServiceRate:
        """Returns the rate at which jobs of a rank start."""
        tokens_per_s = self.tokens_per_s
        if tokens_per_s is not None:
            min_share_below = sum(
                RANK_MIN_SHARES[other]
                for other in RANKS[rank:]
                if self._ranks[other].accounts
            )
            share_ahead = self._served_share(RANKS[: rank - 1])
            queue = self._ranks[rank]
            if queue.min_share_tokens >= queue.backlog:
                share_ahead = 0.0
            tokens_per_s *= max(
                RANK_MIN_SHARES[rank], 1.0 - min_share_below - share_ahead
            )
        return admission.ServiceRate(
            self._concurrency, self._mean_cost, tokens_per_s
        )

    def _refuse(self, rank: int, job: Job, now: float) -> list[Job]:
        """Refuses jobs of a rank so that the others meet their targets."""
        queue = self._ranks[rank]
        if _latest_start(job) >= queue.latest_deadline:
            wait_s = self._wait_at_end_s(rank, job)
            if now + wait_s <= _latest_start(job):
                return []
            if self._is_refused_first(queue, job):
                self.withdraw(job.key)
                return [job]
        return self._refuse_overdue(rank, job, now)

    def _queues_ahead(self, rank: int) -> list[_RankQueue]:
        """Returns the queues that are served before a rank."""
        queue = self._ranks[rank]
        if queue.min_share_tokens >= queue.backlog > 0.0:
            return []
        return [self._ranks[other] for other in RANKS[: rank - 1]]

    def _wait_at_end_s(self, rank: int, job: Job) -> float:
        queues = [*self._queues_ahead(rank), self._ranks[rank]]
        return admission.expected_wait_s(
            sum(queue.waiting for queue in queues) - 1,
            sum(queue.backlog for queue in queues) - job.cost,
            self._service_rate(rank),
        )

    def _is_refused_first(self, queue: _RankQueue, job: Job) -> bool:
        """Whether the newest job would be the first refusal of its rank."""
        backlog = queue.accounts[job.account].backlog
        return job.worth <= queue.worth_min and all(
            other.backlog <= backlog for other in queue.accounts.values()
        )

    def _refuse_overdue(self, rank: int, newest: Job, now: float) -> list[Job]:
        queue = self._ranks[rank]
        requests = [
            admission.WaitingRequest(
                job.key,
                deadline,
                job.cost,
                job.worth,
                queue.accounts[job.account].backlog,
            )
            for deadline, _, job in queue.entries()
        ]
        queues_ahead = self._queues_ahead(rank)
        keys = admission.select_refusals(
            requests,
            newest.key,
            self._service_rate(rank),
            now,
            sum(ahead.waiting for ahead in queues_ahead),
            sum(ahead.backlog for ahead in queues_ahead),
        )
        refused = [self._waiting_jobs[key][1] for key in keys]
        for key in keys:
            self.withdraw(key)
        return refused

    def _effective_rank(self, job: Job, now: float) -> int:
        """Returns the rank of a job after its due promotions."""
        return max(1, job.rank - sum(at <= now for at in _promotion_times(job)))

    def _schedule_promotions(self, job: Job, now: float) -> None:
        for at in _promotion_times(job):
            if at > now:
                heapq.heappush(
                    self._promotions, (at, self._last_sequence, job.key)
                )

    def _promote(self, now: float) -> None:
        while self._promotions and self._promotions[0][0] <= now:
            key = heapq.heappop(self._promotions)[2]
            if key not in self._waiting_jobs:
                continue
            rank, job = self._waiting_jobs[key]
            target = self._effective_rank(job, now)
            if target == rank:
                continue
            self.withdraw(key)
            self._last_sequence += 1
            self._enqueue(target, job)


def _latest_start(job: Job) -> float:
    """Returns the latest time at which a job may start."""
    if job.finish_s is not None:
        return job.arrived + max(job.finish_s, job.first_token_s)
    return job.arrived + job.first_token_s


def _promotion_times(job: Job) -> list[float]:
    if job.finish_s is None:
        return []
    return [
        job.arrived + job.finish_s * (1.0 - share)
        for share in PROMOTION_SLACK_SHARES
    ]
