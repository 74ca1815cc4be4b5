"""Where the requests of a chat go: to its cache, within the load bound.

The home of a chat is the first engine after it on the ring of its pool. A
chat that was served elsewhere is remembered with all engines that hold some of
its cache, so that it returns to the one that holds most. An engine at the
limit is passed over for the next holder, then for the least loaded engine.
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

# Chats whose holders are remembered, and the memory that each one takes.
CHATS_MAX = 40_000
CHAT_BYTES = 300
HOLDERS_MAX = 4

# Part of the patience after which a request that found all engines at the limit
# is placed anew.
RECHOOSE_SHARE = 0.2

REASON_HOME = "home"
REASON_HOLDER = "holder"
REASON_LEAST = "least-loaded"
REASON_QUEUE = "queue-at-home"


class Choice(NamedTuple):
    """The engine for a request.

    Attributes:
        engine: Name of the engine; empty when the pool has none.
        reason: "home", "holder", "least-loaded" or "queue-at-home".
        steps: What was considered, in order, for people.
        wait_s: Longest time to wait there before another choice, seconds; 0
            to wait as long as the target allows.
    """

    engine: str
    reason: str
    steps: list[str]
    wait_s: float = 0.0


def cache_key(account: str, chat: str) -> str:
    """Returns the digest that names the cache of a chat at an engine."""
    return _digest(f"{account}/{chat}")


def _digest(chat: str) -> str:
    return xxhash.xxh3_128_hexdigest(chat.encode())


def _no_wait(engine: str) -> float:
    del engine
    return 0.0


class _Pool:
    """Engines of one pool and their ring."""

    __slots__ = ("names", "ring", "zones")

    def __init__(self, names: Iterable[str], zones: dict[str, str]):
        self.names = set(names)
        self.ring = ring.Ring(self.names)
        self.zones = zones


class Placement:
    """The memory of holders, and the choice of an engine."""

    def __init__(self, chats_max: int = CHATS_MAX):
        """Starts with no engines.

        Args:
            chats_max: Most chats whose holders are remembered.
        """
        self._chats_max = chats_max
        self._pools: dict[str, _Pool] = {}
        # Two generations: a chat in use moves to the young one, and the old
        # one is dropped whole when the young one is full.
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
        """Says which engines of a pool may get work.

        Args:
            pool: Model or service.
            names: Names of the engines.
            zones: Availability zone of each engine, for ties.
        """
        wanted = set(names)
        known = self._pools.get(pool)
        if known and known.names == wanted:
            known.zones = dict(zones or known.zones)
            return
        self._pools[pool] = _Pool(wanted, dict(zones or {}))

    def forget_engine(self, name: str) -> None:
        """Drops an engine whose cache is lost."""
        for generation in (self._young, self._old):
            for chat in [c for c, held in generation.items() if name in held]:
                held = generation[chat]
                del held[name]
                if not held:
                    del generation[chat]

    def home(self, pool: str, chat: str) -> str:
        """Returns the engine where the cache of a chat belongs.

        Args:
            pool: Model or service.
            chat: "account/chat".

        Returns:
            The engine; empty when the pool has none.
        """
        known = self._pools.get(pool)
        if known is None or not known.names:
            return ""
        return known.ring.first(chat.encode())

    def holders(self, pool: str, chat: str) -> list[tuple[str, int]]:
        """Returns the live engines that hold cache of a chat.

        Returns:
            Pairs of engine and tokens, the most tokens first.
        """
        known = self._pools.get(pool)
        if known is None:
            return []
        held = self._held(_digest(chat)) or {}
        pairs = [item for item in held.items() if item[0] in known.names]
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
        patience_s: float = 0.0,
        zone: str = "",
    ) -> Choice:
        """Chooses the engine for a request.

        Args:
            pool: Model or service.
            chat: "account/chat".
            load_of: Load of an engine.
            limit: Most requests an engine may have after this dispatch.
            least: Least loaded engines and their loads, least first.
            wait_of: Expected wait for a dispatch at an engine, seconds.
            token_s: Time to prefill one token, seconds.
            patience_s: Longest wait that the target of the request allows.
            zone: Availability zone that wins a tie; empty for none.

        Returns:
            The choice. Its engine is at the limit only when the reason is
            "queue-at-home", which asks to wait there.
        """
        home = self.home(pool, chat)
        if not home:
            return Choice("", REASON_QUEUE, ["the pool has no engines"])
        steps: list[str] = []
        holders = self.holders(pool, chat)
        candidates = [name for name, _ in holders]
        if home not in candidates:
            candidates.append(home)
        for name in candidates:
            load = load_of(name)
            reason = REASON_HOME if name == home else REASON_HOLDER
            if load < limit:
                steps.append(f"{reason} {name}: load {load} below {limit}")
                return Choice(name, reason, steps)
            steps.append(f"{reason} {name}: load {load} at limit {limit}")
        best, tokens = holders[0] if holders else (home, 0)
        allowed_s = min(patience_s, tokens * token_s)
        wait_s = wait_of(best)
        if allowed_s > 0.0 and wait_s <= allowed_s:
            steps.append(
                f"{best}: {wait_s:.3f} s of wait below {allowed_s:.3f}"
            )
            return Choice(best, REASON_QUEUE, steps, allowed_s)
        choice = self._spill(pool, best, limit, least, zone, steps)
        if choice.reason != REASON_QUEUE:
            return choice
        return choice._replace(wait_s=patience_s * RECHOOSE_SHARE)

    def _spill(
        self,
        pool: str,
        best: str,
        limit: int,
        least: Sequence[tuple[str, int]],
        zone: str,
        steps: list[str],
    ) -> Choice:
        known = self._pools[pool]
        free = [
            (load, known.zones.get(name, "") != zone, name)
            for name, load in least
            if name in known.names and load < limit
        ]
        if not free:
            steps.append(f"no engine below {limit}: waits at {best}")
            return Choice(best, REASON_QUEUE, steps)
        load, _, name = min(free)
        steps.append(f"least loaded {name}: load {load} below {limit}")
        return Choice(name, REASON_LEAST, steps)

    def served(self, pool: str, chat: str, engine: str, tokens: int) -> None:
        """Remembers that an engine now holds the cache of a chat.

        Args:
            pool: Model or service.
            chat: "account/chat".
            engine: Engine that served the request.
            tokens: Tokens of the chat that it holds.
        """
        del pool
        self._store(_digest(chat), engine, tokens)

    def cache_event(
        self, engine: str, kind: str, cache_key: str, tokens: int
    ) -> None:
        """Corrects the memory by what an engine said.

        Args:
            engine: Name of the engine.
            kind: "stored" or "evicted".
            cache_key: Digest that names the chat.
            tokens: Tokens that were stored.
        """
        if kind == "stored":
            self._store(cache_key, engine, tokens)
            return
        held = self._held(cache_key)
        if held is not None:
            held.pop(engine, None)

    def _held(self, digest: str) -> dict[str, int] | None:
        held = self._young.get(digest)
        return held if held is not None else self._old.get(digest)

    def _store(self, digest: str, engine: str, tokens: int) -> None:
        held = self._young.get(digest)
        if held is None:
            held = self._old.pop(digest, None) or {}
            self._make_room()
            self._young[digest] = held
        # Late events must not shorten what a later answer has stored.
        held[engine] = max(tokens, held.get(engine, 0))
        if len(held) > HOLDERS_MAX:
            del held[min(held, key=lambda name: (held[name], name))]

    def _make_room(self) -> None:
        if len(self._young) >= self._chats_max // 2:
            self._old = self._young
            self._young = {}
