"""Cache-affine placement of chat requests within the load bound.

By default a chat is placed on the engine that its key maps to on the hash ring
of the pool. For a chat that was served elsewhere, the engines that have part of
its cache are recorded, and the one with the most tokens is preferred. Engines
at the limit are skipped in favour of the next cache holder, then of the least
loaded engine.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

import xxhash

from nutmegpost_core import ring

__all__ = [
    "CHATS_MAX",
    "CHAT_BYTES",
    "HOLDERS_MAX",
    "REASON_QUEUE",
    "Choice",
    "Placement",
    "cache_key",
]

# Maximum number of chats with recorded cache holders, and the memory for each.
CHATS_MAX = 40_000
CHAT_BYTES = 300
HOLDERS_MAX = 4

# Share of the maximum wait after which a request is placed again if all engines
# were at the limit.
RECHOOSE_WAIT_SHARE = 0.2

REASON_HOME = "home"
REASON_HOLDER = "holder"
REASON_LEAST = "least-loaded"
REASON_QUEUE = "queue-at-home"


class Choice(NamedTuple):
    """The engine for a request.

    Attributes:
        engine: Name of the engine; empty if the pool has none.
        reason: "home" for the engine on the hash ring, "holder" for another
            cache holder, "least-loaded", or "queue-at-home" to queue at the
            best engine although it is at the limit.
        steps: The alternatives considered, in order, as text for operators.
        wait_s: Longest time to queue there before the next choice, seconds; 0
            to queue as long as the latency target allows.
    """

    engine: str
    reason: str
    steps: list[str]
    wait_s: float = 0.0


def cache_key(account: str, chat: str) -> str:
    """Returns the key under which engines cache a chat."""
    return _digest(f"{account}/{chat}")


def _digest(chat: str) -> str:
    return xxhash.xxh3_128_hexdigest(chat.encode())


def _no_wait(engine: str) -> float:
    del engine
    return 0.0


class _Pool:
    """Engines of one pool and their hash ring."""

    __slots__ = ("names", "ring", "zones")

    def __init__(self, names: Iterable[str], zones: dict[str, str]):
        self.names = set(names)
        self.ring = ring.Ring(self.names)
        self.zones = zones


class Placement:
    """Records which engines cache which chats and chooses engines."""

    def __init__(self, chats_max: int = CHATS_MAX):
        """Starts with no engines.

        Args:
            chats_max: Maximum number of chats with recorded cache holders.
        """
        self._chats_max = chats_max
        self._pools: dict[str, _Pool] = {}
        # Approximates LRU eviction with two generations: a chat in use moves to
        # the young one, and the old one is discarded as a whole when the young
        # one is full.
        self._young: dict[str, dict[str, int]] = {}
        self._old: dict[str, dict[str, int]] = {}

    def __len__(self) -> int:
        return len(self._young) + len(self._old)

    def set_engines(
        self,
        pool: str,
        names: Iterable[str],
        zones: dict[str, str] | None = None,
    ) -> None:
        """Sets the engines of a pool that take new requests.

        Args:
            pool: Model or service.
            names: Names of the engines.
            zones: Availability zone of each engine, used to break ties. If
                None and the engines are unchanged, the previous zones remain.
        """
        engine_names = set(names)
        engines = self._pools.get(pool)
        if engines and engines.names == engine_names:
            engines.zones = dict(zones or engines.zones)
            return
        self._pools[pool] = _Pool(engine_names, dict(zones or {}))

    def forget_engine(self, name: str) -> None:
        """Discards the records of an engine that lost its cache."""
        for generation in (self._young, self._old):
            for chat in [
                c
                for c, tokens_by_engine in generation.items()
                if name in tokens_by_engine
            ]:
                tokens_by_engine = generation[chat]
                del tokens_by_engine[name]
                if not tokens_by_engine:
                    del generation[chat]

    def ring_engine(self, pool: str, chat: str) -> str:
        """Returns the engine that a chat maps to on the hash ring.

        Args:
            pool: Model or service.
            chat: "account/chat".

        Returns:
            Name of the engine; empty if the pool has none.
        """
        engines = self._pools.get(pool)
        if engines is None or not engines.names:
            return ""
        return engines.ring.lookup(chat.encode())

    def cache_holders(self, pool: str, chat: str) -> list[tuple[str, int]]:
        """Returns the live engines that have part of a chat cached.

        Args:
            pool: Model or service.
            chat: "account/chat".

        Returns:
            Pairs of engine name and cached tokens, most tokens first.
        """
        engines = self._pools.get(pool)
        if engines is None:
            return []
        tokens_by_engine = self._tokens_by_engine(_digest(chat)) or {}
        pairs = [
            item
            for item in tokens_by_engine.items()
            if item[0] in engines.names
        ]
        return sorted(pairs, key=lambda item: (-item[1], item[0]))

    def choose(
        self,
        pool: str,
        chat: str,
        load_of: Callable[[str], int],
        limit: int,
        least: Sequence[tuple[str, int]],
        wait_of: Callable[[str], float] = _no_wait,
        token_s: float = 0.0,
        wait_max_s: float = 0.0,
        zone: str = "",
    ) -> Choice:
        """Chooses the engine for a request.

        Args:
            pool: Model or service.
            chat: "account/chat".
            load_of: Returns the load of an engine by its name.
            limit: Most requests an engine may have after this dispatch.
            least: Least loaded engines and their loads, lowest load first.
            wait_of: Returns the expected queueing time at an engine, seconds.
            token_s: Time to prefill one token, seconds.
            wait_max_s: Longest wait that the latency target allows, seconds.
            zone: Availability zone preferred in a tie; empty for none.

        Returns:
            The choice. Its engine is at the limit only if the reason is
            "queue-at-home"; the request must then queue there.
        """
        preferred = self.ring_engine(pool, chat)
        if not preferred:
            return Choice("", REASON_QUEUE, ["the pool has no engines"])
        steps: list[str] = []
        holders = self.cache_holders(pool, chat)
        candidates = [name for name, _ in holders]
        if preferred not in candidates:
            candidates.append(preferred)
        for name in candidates:
            load = load_of(name)
            reason = REASON_HOME if name == preferred else REASON_HOLDER
            if load < limit:
                steps.append(f"{reason} {name}: load {load} below {limit}")
                return Choice(name, reason, steps)
            steps.append(f"{reason} {name}: load {load} at limit {limit}")
        best, tokens = holders[0] if holders else (preferred, 0)
        allowed_s = min(wait_max_s, tokens * token_s)
        wait_s = wait_of(best)
        if allowed_s > 0.0 and wait_s <= allowed_s:
            steps.append(
                f"{best}: {wait_s:.3f} s of wait below {allowed_s:.3f}"
            )
            return Choice(best, REASON_QUEUE, steps, allowed_s)
        choice = self._spill(pool, best, limit, least, zone, steps)
        if choice.reason != REASON_QUEUE:
            return choice
        return choice._replace(wait_s=wait_max_s * RECHOOSE_WAIT_SHARE)

    def _spill(
        self,
        pool: str,
        best: str,
        limit: int,
        least: Sequence[tuple[str, int]],
        zone: str,
        steps: list[str],
    ) -> Choice:
        engines = self._pools[pool]
        available = [
            (load, engines.zones.get(name, "") != zone, name)
            for name, load in least
            if name in engines.names and load < limit
        ]
        if not available:
            steps.append(f"no engine below {limit}: waits at {best}")
            return Choice(best, REASON_QUEUE, steps)
        load, _, name = min(available)
        steps.append(f"least loaded {name}: load {load} below {limit}")
        return Choice(name, REASON_LEAST, steps)

    def record_served(
        self, pool: str, chat: str, engine: str, tokens: int
    ) -> None:
        """Records that an engine served a chat and now has it cached.

        Args:
            pool: Model or service.
            chat: "account/chat".
            engine: Engine that served the request.
            tokens: Tokens of the chat that it has cached.
        """
        del pool
        self._store(_digest(chat), engine, tokens)

    def apply_cache_event(
        self, engine: str, kind: str, cache_key: str, tokens: int
    ) -> None:
        """Updates the records from a cache event of an engine.

        Args:
            engine: Name of the engine.
            kind: "stored" or "evicted".
            cache_key: Key of the chat; see `cache_key`.
            tokens: Number of tokens stored.
        """
        if kind == "stored":
            self._store(cache_key, engine, tokens)
            return
        tokens_by_engine = self._tokens_by_engine(cache_key)
        if tokens_by_engine is not None:
            tokens_by_engine.pop(engine, None)

    def _tokens_by_engine(self, digest: str) -> dict[str, int] | None:
        tokens_by_engine = self._young.get(digest)
        return (
            tokens_by_engine
            if tokens_by_engine is not None
            else self._old.get(digest)
        )

    def _store(self, digest: str, engine: str, tokens: int) -> None:
        tokens_by_engine = self._young.get(digest)
        if tokens_by_engine is None:
            tokens_by_engine = self._old.pop(digest, None) or {}
            self._rotate_generations()
            self._young[digest] = tokens_by_engine
        # A delayed event must not lower the count from a later answer.
        tokens_by_engine[engine] = max(tokens, tokens_by_engine.get(engine, 0))
        if len(tokens_by_engine) > HOLDERS_MAX:
            del tokens_by_engine[
                min(
                    tokens_by_engine,
                    key=lambda name: (tokens_by_engine[name], name),
                )
            ]

    def _rotate_generations(self) -> None:
        if len(self._young) >= self._chats_max // 2:
            self._old = self._young
            self._young = {}
