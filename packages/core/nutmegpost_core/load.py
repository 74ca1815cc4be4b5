"""The load of engines, and the bound on it.

The load of an engine is the number of requests in flight there: dispatched,
and the last event not yet received. An owner counts its own dispatches
exactly, hears of foreign ones by the reports of the engine, and knows the sums
of other owners with a lag.

The bound is kept at dispatch. With one more request, no engine may have more
than `ceil(bound * (total + 1) / engines)`, over the engines of one pool.

An owner that says a sum of L promises to say so at once when it has fallen
below L less a margin. Others count on that lower value only, so what they do
not know yet cannot make them break the bound, but for the time that a message
takes. The margin grows with the root of the load, which keeps the rate of the
messages the same at any load.
"""

from collections.abc import Iterable, Sequence
import math

from nutmegpost_core import wire

__all__ = [
    "AGE_FRESH_S",
    "AGE_FULL_S",
    "AGE_HEADROOM_MIN",
    "RAISE_S",
    "REPEAT_S",
    "REPORT_LAG_S",
    "Loads",
    "margin",
]

# Longest time between two messages with the same sums.
REPEAT_S = 1.0
# Least time between messages that only tell of a higher load.
RAISE_S = 0.25
# Age of the sums of others up to which silence means that they still hold.
AGE_FRESH_S = 1.5
# Age of the sums of others at which only the least headroom is left.
AGE_FULL_S = 4.0
# Share of the headroom that is left however old the sums are.
AGE_HEADROOM_MIN = 0.2
# Requests that may have ended while the message that tells it is on its way.
ON_THE_WAY = 1
# Part of the root of a load that it may fall without being told.
MARGIN_ROOT_SHARE = 0.4
# Longest time that a report of an engine lags behind.
REPORT_LAG_S = 1.0
_ROUNDING = 1e-9


def margin(load: int, bound: float) -> int:
    """Returns how far a load that was told may fall without a message.

    It takes at most half of the headroom that the bound leaves over the mean.
    With more, engines that are all at the limit would keep the limit where it
    is, however much work waits.

    Args:
        load: The load that was told.
        bound: Multiple of the mean that no engine may exceed.
    """
    headroom = load * (1.0 - 1.0 / bound) / 2.0
    return int(min(round(MARGIN_ROOT_SHARE * math.sqrt(load)), headroom))


class _Engine:
    """Requests in flight at one engine, as far as this router knows."""

    __slots__ = ("foreign", "own", "peak", "peak_before", "turned")

    def __init__(self) -> None:
        self.own = 0
        self.foreign = 0
        self.peak = 0
        self.peak_before = 0
        self.turned = -math.inf

    def add(self) -> None:
        self.own += 1
        self.peak = max(self.peak, self.own)

    def report(self, running: int, now: float) -> None:
        # A report lags, so it may still count requests of ours that have
        # ended: it is held against the most that we had in that time.
        self.foreign = max(0, running - max(self.peak, self.peak_before))
        if now - self.turned >= REPORT_LAG_S:
            self.peak_before = self.peak
            self.peak = self.own
            self.turned = now


class _Observed:
    """What another owner last said."""

    __slots__ = ("at", "sums")

    def __init__(self, sums: wire.PoolLoads, at: float):
        self.sums = sums
        self.at = at


class Loads:
    """The loads of all pools as one router sees them."""

    def __init__(self, me: str):
        """Starts with no engines.

        Args:
            me: Name of this router.
        """
        self._me = me
        self._sequence = 0
        self._engines: dict[str, _Engine] = {}
        self._mine: dict[str, list[str]] = {}
        self._counts: dict[str, int] = {}
        self._own: dict[str, int] = {}
        self._others: dict[str, _Observed] = {}
        self._told: dict[str, int] = {}
        self._told_at = -math.inf
        # The bound in force, as last given to `limit`.
        self._bound = 1.0

    def set_engines(
        self, pool: str, mine: Sequence[str], all_count: int
    ) -> None:
        """Says which engines of a pool there are.

        Args:
            pool: Model or service.
            mine: Live engines of the pool that this router owns.
            all_count: Live engines of the pool, whoever owns them.
        """
        self._mine[pool] = sorted(mine)
        self._counts[pool] = all_count
        self._own.setdefault(pool, 0)
        owned = {name for names in self._mine.values() for name in names}
        # Requests of ours may still run on an engine that has a new owner.
        self._engines = {
            name: engine
            for name, engine in self._engines.items()
            if engine.own or name in owned
        }

    def add(self, pool: str, engine: str) -> None:
        """Counts a dispatch of this router."""
        self._engines.setdefault(engine, _Engine()).add()
        self._own[pool] = self._own.get(pool, 0) + 1

    def remove(self, pool: str, engine: str) -> None:
        """Counts the end of a request that `add` counted.

        Raises:
            ValueError: No such request is in flight.
        """
        entry = self._engines.get(engine)
        if entry is None or not entry.own or not self._own.get(pool):
            raise ValueError(f"no request in flight at {engine}")
        entry.own -= 1
        self._own[pool] -= 1

    def reported(self, engine: str, running: int, now: float) -> None:
        """Takes the report of an engine.

        Args:
            engine: Name of the engine.
            running: Requests that it runs or holds, whoever sent them.
            now: Monotonic time, seconds.
        """
        self._engines.setdefault(engine, _Engine()).report(running, now)

    def of(self, engine: str) -> int:
        """Returns the load of an engine as this router knows it."""
        entry = self._engines.get(engine)
        return entry.own + entry.foreign if entry else 0

    def sums_due(self, now: float) -> bool:
        """Returns whether others must be told the sums now.

        Args:
            now: Monotonic time, seconds.

        Returns:
            True at once when a load fell below what others count on, and
            after a pause when it rose or was not repeated for long.
        """
        since_s = now - self._told_at
        if since_s >= REPEAT_S:
            return True
        for pool, load in self._own.items():
            told = self._told.get(pool, 0)
            if load < told - margin(told, self._bound):
                return True
            if load > told + margin(told, self._bound) and since_s >= RAISE_S:
                return True
        return False

    def sums(self, now: float = -math.inf) -> wire.PoolLoads:
        """Returns the message that tells others the loads of this router.

        Args:
            now: Monotonic time when it is sent, seconds, for `sums_due`.
        """
        self._sequence += 1
        self._told = dict(self._own)
        self._told_at = now
        pools = sorted(self._own)
        least = [self._least_of_mine(pool) for pool in pools]
        return wire.PoolLoads(
            sequence=self._sequence,
            pools=pools,
            loads=[self._own[pool] for pool in pools],
            engines=[len(self._mine.get(pool, ())) for pool in pools],
            least_loaded=[name for name, _ in least],
            least_load=[load for _, load in least],
        )

    def observe(self, router: str, sums: wire.PoolLoads, now: float) -> bool:
        """Takes the sums of another owner.

        Args:
            router: Name of the sender.
            sums: Its message.
            now: Monotonic time, seconds.

        Returns:
            False when the message is not newer than the last one.
        """
        known = self._others.get(router)
        if known and known.sums.sequence >= sums.sequence:
            return False
        self._others[router] = _Observed(sums, now)
        return True

    def forget(self, router: str) -> None:
        """Drops what a router said, because it left or started anew."""
        self._others.pop(router, None)

    def total(self, pool: str) -> int:
        """Returns the requests in flight in a pool, as far as known."""
        return self._own.get(pool, 0) + sum(self._told_by_others(pool))

    def total_min(self, pool: str) -> int:
        """Returns the requests in flight that this router can count on."""
        return self.total(pool) - self._slack(pool)

    def _slack(self, pool: str) -> int:
        """Requests of others that may have ended without a word yet."""
        told = self._told_by_others(pool)
        slack = sum(margin(load, self._bound) for load in told) + ON_THE_WAY
        return min(sum(told), slack)

    def mean(self, pool: str) -> float:
        """Returns the mean load of the engines of a pool, as far as known."""
        return self.total(pool) / max(1, self._counts.get(pool, 1))

    def least(self, pool: str) -> list[tuple[str, int]]:
        """Returns the least loaded engine of each owner, least first."""
        found = [self._least_of_mine(pool)]
        for seen in self._others.values():
            found += _entries(seen.sums, pool)
        known = [entry for entry in found if entry[0]]
        return sorted(known, key=lambda entry: (entry[1], entry[0]))

    def limit(
        self, pool: str, bound: float, now: float, reach: float = 1.0
    ) -> int:
        """Returns the most requests an engine may have after a dispatch.

        The headroom over the mean shrinks with the age of what is known of
        other owners, and to the share of the routers that can be reached. The
        mean itself never shrinks, or the limit would fall with the load that
        it lets in, and the load with the limit.

        Args:
            pool: Model or service.
            bound: Multiple of the mean that no engine may exceed.
            now: Monotonic time, seconds.
            reach: Routers within reach over routers in the VM list.
        """
        self._bound = bound
        engines = max(1, self._counts.get(pool, 1))
        share = min(self._freshness(pool, now), max(0.0, min(1.0, reach)))
        inner = 1.0 + (bound - 1.0) * share
        total = self.total(pool) - share * self._slack(pool)
        mean = (total + 1) / engines
        return max(1, math.ceil(inner * mean - _ROUNDING))

    def _freshness(self, pool: str, now: float) -> float:
        """Share of the headroom left by the age of what others said."""
        if len(self._mine.get(pool, ())) >= self._counts.get(pool, 0):
            return 1.0
        oldest = max(
            (now - seen.at for seen in self._with_engines(pool)), default=0.0
        )
        overdue_s = max(0.0, oldest - AGE_FRESH_S)
        spent = min(1.0, overdue_s / (AGE_FULL_S - AGE_FRESH_S))
        return 1.0 - (1.0 - AGE_HEADROOM_MIN) * spent

    def _told_by_others(self, pool: str) -> list[int]:
        return [
            load
            for seen in self._others.values()
            for name, load in zip(
                seen.sums.pools, seen.sums.loads, strict=False
            )
            if name == pool
        ]

    def _with_engines(self, pool: str) -> Iterable[_Observed]:
        for seen in self._others.values():
            if pool in seen.sums.pools:
                yield seen

    def _least_of_mine(self, pool: str) -> tuple[str, int]:
        pairs = [(self.of(name), name) for name in self._mine.get(pool, ())]
        load, name = min(pairs, default=(0, ""))
        return name, load


def _entries(sums: wire.PoolLoads, pool: str) -> list[tuple[str, int]]:
    if pool not in sums.pools:
        return []
    index = sums.pools.index(pool)
    return [(sums.least_loaded[index], sums.least_load[index])]
