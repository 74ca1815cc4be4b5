"""Load tracking and the load bound of engines.

The load of an engine is its number of requests in flight: those dispatched
whose last event has not been received. An owner counts its own dispatches
exactly, learns of foreign requests from the reports of the engine, and receives
the sums of other owners with a delay.

The bound is enforced at dispatch: including the new request, no engine may have
more than `ceil(bound * (total + 1) / engines)` requests, where the total and
the engines are those of one pool.

An owner that has published a sum of L must publish again as soon as its load
falls below L minus a margin. Other owners rely only on that lower value, so
unpublished decreases cannot make them exceed the bound, except while a message
is in transit. The margin grows with the square root of the load, which keeps
the message rate independent of the load.
"""

from collections.abc import Iterable, Sequence
import math

from nutmegpost_core import wire

__all__ = [
    "FRESH_AGE_MAX_S",
    "INCREASE_INTERVAL_S",
    "REFRESH_INTERVAL_S",
    "REPORT_LAG_S",
    "STALE_AGE_S",
    "STALE_HEADROOM_SHARE",
    "Loads",
    "decrease_margin",
]

# Unchanged sums are published again after this time.
REFRESH_INTERVAL_S = 1.0
# Minimum time before a message that reports only load increases.
INCREASE_INTERVAL_S = 0.25
# Sums of peers up to this age are assumed to be still valid.
FRESH_AGE_MAX_S = 1.5
# Age of the sums of peers at which the headroom reaches its minimum.
STALE_AGE_S = 4.0
# Share of the headroom that remains at any age of the sums.
STALE_HEADROOM_SHARE = 0.2
# Requests that may have ended while the message that reports it is in transit.
IN_TRANSIT_REQUESTS = 1
# Factor of the square root of a load in its margin.
MARGIN_SQRT_FACTOR = 0.4
# Maximum delay of the load report of an engine.
REPORT_LAG_S = 1.0
# Rounding error that must not raise the limit by one.
_ROUNDING_TOLERANCE = 1e-9


def decrease_margin(load: int, bound: float) -> int:
    """Returns how far a published load may fall before a new message is due.

    The margin is at most half of the headroom between the mean and the bound.
    With a larger margin, a pool with all engines at the limit could not raise
    the limit, no matter how many requests are queued.

    Args:
        load: The published load.
        bound: Multiple of the mean load that no engine may exceed.
    """
    headroom = load * (1.0 - 1.0 / bound) / 2.0
    return int(min(round(MARGIN_SQRT_FACTOR * math.sqrt(load)), headroom))


class _Engine:
    """Requests in flight at one engine, as seen by this router.

    Attributes:
        own: Requests of this router.
        foreign: Requests of other routers, by the last report of the engine.
        peak: Highest value of `own` in the current window.
        peak_before: Highest value of `own` in the previous window.
        window_started: Start of the current window, monotonic seconds.
    """

    __slots__ = ("foreign", "own", "peak", "peak_before", "window_started")

    def __init__(self) -> None:
        self.own = 0
        self.foreign = 0
        self.peak = 0
        self.peak_before = 0
        self.window_started = -math.inf

    def add(self) -> None:
        self.own += 1
        self.peak = max(self.peak, self.own)

    def report(self, running: int, now: float) -> None:
        # A report is delayed and may still count requests of this router that
        # have ended, so it is compared with the recent peak of the own count.
        self.foreign = max(0, running - max(self.peak, self.peak_before))
        if now - self.window_started >= REPORT_LAG_S:
            self.peak_before = self.peak
            self.peak = self.own
            self.window_started = now


class _PeerSums:
    """The last sums received from another owner.

    Attributes:
        sums: The message.
        received: Monotonic time of its arrival, seconds.
    """

    __slots__ = ("received", "sums")

    def __init__(self, sums: wire.PoolLoads, received: float):
        self.sums = sums
        self.received = received


class Loads:
    """The loads of all pools, as seen by one router."""

    def __init__(self, name: str):
        """Starts with no engines.

        Args:
            name: Name of this router.
        """
        self._name = name
        self._sequence = 0
        self._engines: dict[str, _Engine] = {}
        self._owned: dict[str, list[str]] = {}
        self._engine_counts: dict[str, int] = {}
        self._own_loads: dict[str, int] = {}
        self._peers: dict[str, _PeerSums] = {}
        self._published: dict[str, int] = {}
        self._published_at = -math.inf
        # The bound last passed to `limit`.
        self._bound = 1.0

    def set_engines(
        self, pool: str, owned: Sequence[str], engine_count: int
    ) -> None:
        """Sets the engines of a pool.

        Args:
            pool: Model or service.
            owned: Live engines of the pool that this router owns.
            engine_count: Live engines of the pool, of all owners.
        """
        self._owned[pool] = sorted(owned)
        self._engine_counts[pool] = engine_count
        self._own_loads.setdefault(pool, 0)
        all_owned = {name for names in self._owned.values() for name in names}
        # Requests of this router may still run on an engine that has changed
        # its owner.
        self._engines = {
            name: engine
            for name, engine in self._engines.items()
            if engine.own or name in all_owned
        }

    def add(self, pool: str, engine: str) -> None:
        """Counts a dispatch of this router."""
        self._engines.setdefault(engine, _Engine()).add()
        self._own_loads[pool] = self._own_loads.get(pool, 0) + 1

    def remove(self, pool: str, engine: str) -> None:
        """Counts the end of a request counted by `add`.

        Raises:
            ValueError: No such request is in flight.
        """
        entry = self._engines.get(engine)
        if entry is None or not entry.own or not self._own_loads.get(pool):
            raise ValueError(f"no request in flight at {engine}")
        entry.own -= 1
        self._own_loads[pool] -= 1

    def record_report(self, engine: str, running: int, now: float) -> None:
        """Records the load report of an engine.

        Args:
            engine: Name of the engine.
            running: Requests that it runs or queues, from all routers.
            now: Monotonic time, seconds.
        """
        self._engines.setdefault(engine, _Engine()).report(running, now)

    def load_of(self, engine: str) -> int:
        """Returns the load of an engine, as known to this router."""
        entry = self._engines.get(engine)
        return entry.own + entry.foreign if entry else 0

    def sums_due(self, now: float) -> bool:
        """Returns whether the sums must be published now.

        Args:
            now: Monotonic time, seconds.

        Returns:
            True if a load fell below the value that peers rely on, if one rose
            and `INCREASE_INTERVAL_S` has passed since the last message, or if
            `REFRESH_INTERVAL_S` has passed.
        """
        since_s = now - self._published_at
        if since_s >= REFRESH_INTERVAL_S:
            return True
        for pool, load in self._own_loads.items():
            published = self._published.get(pool, 0)
            if load < published - decrease_margin(published, self._bound):
                return True
            if (
                load > published + decrease_margin(published, self._bound)
                and since_s >= INCREASE_INTERVAL_S
            ):
                return True
        return False

    def sums(self, now: float = -math.inf) -> wire.PoolLoads:
        """Returns the message that publishes the loads of this router.

        Args:
            now: Monotonic time of sending, seconds, for `sums_due`.
        """
        self._sequence += 1
        self._published = dict(self._own_loads)
        self._published_at = now
        pools = sorted(self._own_loads)
        least_loaded = [self._least_loaded_owned(pool) for pool in pools]
        return wire.PoolLoads(
            sequence=self._sequence,
            pools=pools,
            loads=[self._own_loads[pool] for pool in pools],
            engines=[len(self._owned.get(pool, ())) for pool in pools],
            least_loaded=[name for name, _ in least_loaded],
            least_load=[load for _, load in least_loaded],
        )

    def apply_sums(self, router: str, sums: wire.PoolLoads, now: float) -> bool:
        """Records the sums of another owner.

        Args:
            router: Name of the sender.
            sums: Its message.
            now: Monotonic time, seconds.

        Returns:
            False if the message is not newer than the last one and was ignored.
        """
        previous = self._peers.get(router)
        if previous and previous.sums.sequence >= sums.sequence:
            return False
        self._peers[router] = _PeerSums(sums, now)
        return True

    def forget(self, router: str) -> None:
        """Discards the sums of a router that left or restarted."""
        self._peers.pop(router, None)

    def total(self, pool: str) -> int:
        """Returns the number of known requests in flight in a pool."""
        return self._own_loads.get(pool, 0) + sum(self._peer_loads(pool))

    def total_lower_bound(self, pool: str) -> int:
        """Returns the total without the peers' requests that may have ended."""
        return self.total(pool) - self._slack(pool)

    def _slack(self, pool: str) -> int:
        """Returns the requests of peers that may have ended unpublished."""
        published = self._peer_loads(pool)
        slack = (
            sum(decrease_margin(load, self._bound) for load in published)
            + IN_TRANSIT_REQUESTS
        )
        return min(sum(published), slack)

    def mean(self, pool: str) -> float:
        """Returns the mean known load of the engines of a pool."""
        return self.total(pool) / max(1, self._engine_counts.get(pool, 1))

    def least_loaded(self, pool: str) -> list[tuple[str, int]]:
        """Returns the least loaded engine of each owner, lowest load first."""
        entries = [self._least_loaded_owned(pool)]
        for peer in self._peers.values():
            entries += _least_loaded_entries(peer.sums, pool)
        named = [entry for entry in entries if entry[0]]
        return sorted(named, key=lambda entry: (entry[1], entry[0]))

    def limit(
        self, pool: str, bound: float, now: float, reachable_share: float = 1.0
    ) -> int:
        """Returns the most requests an engine may have after a dispatch.

        The headroom above the mean shrinks with the age of the sums of peers
        and with the share of routers that are reachable. The mean itself is
        not reduced: a lower limit would admit less load, which would lower the
        limit further.

        Args:
            pool: Model or service.
            bound: Multiple of the mean load that no engine may exceed.
            now: Monotonic time, seconds.
            reachable_share: Reachable routers divided by the routers in the VM
                list.
        """
        self._bound = bound
        engines = max(1, self._engine_counts.get(pool, 1))
        share = min(
            self._freshness(pool, now), max(0.0, min(1.0, reachable_share))
        )
        effective_bound = 1.0 + (bound - 1.0) * share
        total = self.total(pool) - share * self._slack(pool)
        mean = (total + 1) / engines
        return max(1, math.ceil(effective_bound * mean - _ROUNDING_TOLERANCE))

    def _freshness(self, pool: str, now: float) -> float:
        """Returns the share of the headroom left at the age of peers' sums."""
        if len(self._owned.get(pool, ())) >= self._engine_counts.get(pool, 0):
            return 1.0
        oldest = max(
            (now - peer.received for peer in self._peers_with_engines(pool)),
            default=0.0,
        )
        stale_s = max(0.0, oldest - FRESH_AGE_MAX_S)
        decay = min(1.0, stale_s / (STALE_AGE_S - FRESH_AGE_MAX_S))
        return 1.0 - (1.0 - STALE_HEADROOM_SHARE) * decay

    def _peer_loads(self, pool: str) -> list[int]:
        return [
            load
            for peer in self._peers.values()
            for name, load in zip(
                peer.sums.pools, peer.sums.loads, strict=False
            )
            if name == pool
        ]

    def _peers_with_engines(self, pool: str) -> Iterable[_PeerSums]:
        for peer in self._peers.values():
            if pool in peer.sums.pools:
                yield peer

    def _least_loaded_owned(self, pool: str) -> tuple[str, int]:
        pairs = [
            (self.load_of(name), name) for name in self._owned.get(pool, ())
        ]
        load, name = min(pairs, default=(0, ""))
        return name, load


def _least_loaded_entries(
    sums: wire.PoolLoads, pool: str
) -> list[tuple[str, int]]:
    if pool not in sums.pools:
        return []
    index = sums.pools.index(pool)
    return [(sums.least_loaded[index], sums.least_load[index])]
