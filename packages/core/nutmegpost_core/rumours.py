"""Small items that spread through the fleet on membership datagrams.

An item has a kind, a key and a version. The highest version of a key wins.
Each node sends an item a bounded number of times; nodes that missed it, and
those that join later, get the lasting kinds when two nodes compare digests.
"""

from collections.abc import Iterable
import enum
import math
import random
from typing import NamedTuple

import xxhash

__all__ = ["Item", "Kind", "Rumour", "Rumours", "URGENT", "size"]

ITEMS_MAX = 20_000
ITEM_BYTES_MAX = 400
_OVERHEAD_BYTES = 20
_TOMBSTONE_S = 60.0
_LIFETIME_LEAST_S = 0.5


class Kind(enum.IntEnum):
    """What an item is about."""

    SUCCESSOR = 1
    SUSPECT_REQUEST = 2
    ENDPOINT_LEAVING = 3
    LOADS = 4


# Kinds in the order in which they are sent when not all fit.
_IMPORTANCE = {
    Kind.SUSPECT_REQUEST: 0,
    Kind.SUCCESSOR: 1,
    Kind.ENDPOINT_LEAVING: 2,
    Kind.LOADS: 3,
}
URGENT = frozenset([Kind.SUSPECT_REQUEST, Kind.ENDPOINT_LEAVING])
_LASTING = frozenset(
    [Kind.SUCCESSOR, Kind.SUSPECT_REQUEST, Kind.ENDPOINT_LEAVING]
)


class Rumour(NamedTuple):
    """An item that arrived from another node.

    Attributes:
        kind: What it is about.
        key: Names its subject within the kind.
        payload: Its content.
    """

    kind: Kind
    key: bytes
    payload: bytes


class Item(NamedTuple):
    """An item on the wire.

    Attributes:
        kind: Number of its kind; a reader skips kinds that it does not know.
        key: Names its subject within the kind.
        version: Grows with each publication under the key.
        payload: Its content.
        lifetime_ms: Milliseconds until it is forgotten.
    """

    kind: int
    key: bytes
    version: int
    payload: bytes
    lifetime_ms: int


def size(items: Iterable[Item]) -> int:
    """Returns the bytes that items need in a datagram, at most."""
    return sum(
        len(item.key) + len(item.payload) + _OVERHEAD_BYTES for item in items
    )


class _Held(NamedTuple):
    version: int
    payload: bytes
    expires: float
    sent: int
    own: bool


_Id = tuple[Kind, bytes]


def _order(held: _Held) -> tuple[int, bytes]:
    return held.version, held.payload


class Rumours:
    """The items that one node knows and still spreads."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._held: dict[_Id, _Held] = {}
        self._fresh: set[_Id] = set()
        self._expired: dict[_Id, tuple[int, float]] = {}
        self._arrived: list[Rumour] = []

    def __len__(self) -> int:
        return len(self._held)

    def publish(
        self,
        kind: int,
        key: bytes,
        payload: bytes,
        now: float,
        lifetime_s: float,
    ) -> None:
        """Starts to spread an item.

        Args:
            kind: What it is about.
            key: Names its subject; a later item of the key replaces it.
            payload: Its content.
            now: Monotonic time in seconds.
            lifetime_s: Seconds for which nodes keep it.

        Raises:
            ValueError: The item is too large for a datagram.
        """
        if len(key) + len(payload) > ITEM_BYTES_MAX:
            raise ValueError(f"rumour of {len(key) + len(payload)} bytes")
        name = (Kind(kind), key)
        version = 1 + self._last_version(name)
        self._keep(name, _Held(version, payload, now + lifetime_s, 0, True))

    def arrived(self) -> list[Rumour]:
        """Returns what came from other nodes since the last call."""
        arrived, self._arrived = self._arrived, []
        return arrived

    def tick(self, now: float) -> None:
        """Forgets the items whose lifetime is over."""
        for name, held in list(self._held.items()):
            if held.expires <= now:
                del self._held[name]
                self._fresh.discard(name)
                self._expired[name] = (held.version, now + _TOMBSTONE_S)
        for name, (_, until) in list(self._expired.items()):
            if until <= now:
                del self._expired[name]

    def take(self, room: int, now: float, fleet: int) -> list[Item]:
        """Picks items to send on with a datagram.

        Args:
            room: Bytes that are free in the datagram.
            now: Monotonic time in seconds.
            fleet: Number of members, which bounds the times that each item
                is sent.

        Returns:
            The items sent least often so far, the most important first.
        """
        limit = max(3, math.ceil(math.log2(fleet + 1)) + 1)
        # Nodes that sent in the same order would all be late with the same.
        ordered = sorted(self._fresh)
        self._rng.shuffle(ordered)
        ordered.sort(
            key=lambda name: (_IMPORTANCE[name[0]], self._held[name].sent)
        )
        taken = self._fit(ordered, room, now)
        for name in taken:
            held = self._held[name]
            self._held[name] = held._replace(sent=held.sent + 1)
            if held.sent + 1 >= limit:
                self._fresh.discard(name)
        return [self._item(name, now) for name in taken]

    def digest(self) -> int:
        """Returns 32 bits that differ when two nodes hold other items."""
        total = 0
        for name, held in self._held.items():
            if name[0] in _LASTING:
                head = b"%d:%d:" % (name[0], held.version)
                data = head + name[1] + held.payload
                total ^= xxhash.xxh32_intdigest(data)
        return total

    def sample(self, room: int, now: float) -> list[Item]:
        """Picks lasting items at random for a node whose digest differs."""
        names = [name for name in self._held if name[0] in _LASTING]
        self._rng.shuffle(names)
        return [self._item(name, now) for name in self._fit(names, room, now)]

    def merge(self, items: list[Item], now: float) -> bool:
        """Takes in the items of a datagram.

        Returns:
            Whether one of them is news of an urgent kind.
        """
        urgent = False
        for item in items:
            if item.kind in _IMPORTANCE and self._merge_item(item, now):
                urgent = urgent or item.kind in URGENT
        return urgent

    def _merge_item(self, item: Item, now: float) -> bool:
        name = (Kind(item.kind), item.key)
        if item.version <= self._expired.get(name, (0, 0.0))[0]:
            return False
        held = self._held.get(name)
        expires = now + item.lifetime_ms / 1000
        new = _Held(item.version, item.payload, expires, 0, False)
        if held is not None and _order(new) <= _order(held):
            return False
        self._replace(name, held, new)
        return True

    def _replace(self, name: _Id, held: _Held | None, new: _Held) -> None:
        if held is not None and held.own and name[0] is Kind.LOADS:
            # Loads have one writer: an earlier process of the same name.
            version = new.version + 1
            self._keep(name, held._replace(version=version, sent=0))
            return
        if held is None and len(self._held) >= ITEMS_MAX:
            return
        self._keep(name, new)
        self._arrived.append(Rumour(name[0], name[1], new.payload))

    def _keep(self, name: _Id, held: _Held) -> None:
        self._held[name] = held
        self._fresh.add(name)

    def _last_version(self, name: _Id) -> int:
        held = self._held.get(name)
        if held is not None:
            return held.version
        return self._expired.get(name, (0, 0.0))[0]

    def _fit(self, names: list[_Id], room: int, now: float) -> list[_Id]:
        taken = []
        for name in names:
            held = self._held[name]
            if held.expires - now < _LIFETIME_LEAST_S:
                continue
            needed = len(name[1]) + len(held.payload) + _OVERHEAD_BYTES
            if needed <= room:
                taken.append(name)
                room -= needed
        return taken

    def _item(self, name: _Id, now: float) -> Item:
        held = self._held[name]
        lifetime_ms = int((held.expires - now) * 1000)
        return Item(
            int(name[0]), name[1], held.version, held.payload, lifetime_ms
        )
