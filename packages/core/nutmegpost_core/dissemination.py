"""Gossip dissemination of small items on membership datagrams.

An item has a kind, a key and a version; the highest version of a key wins.
Each node sends an item a bounded number of times. Nodes that missed an item or
joined later get the synchronized kinds by anti-entropy, when two nodes compare
digests.
"""

from collections.abc import Iterable
import enum
import math
import random
from typing import NamedTuple

import xxhash

__all__ = [
    "Disseminator",
    "Item",
    "Kind",
    "ReceivedItem",
    "URGENT",
    "size_bound",
]

ITEMS_MAX = 20_000
ITEM_BYTES_MAX = 400
_OVERHEAD_BYTES = 20
_TOMBSTONE_LIFETIME_S = 60.0
# Items that expire sooner are not sent.
_LIFETIME_MIN_S = 0.5


class Kind(enum.IntEnum):
    """The subject of an item."""

    SUCCESSOR = 1
    SUSPECT_REQUEST = 2
    ENDPOINT_LEAVING = 3
    LOADS = 4
    CRASH_REPORT = 5
    CRASH_TRIAL = 6
    ENDPOINT_LIMIT = 7
    ENDPOINT_COLD = 8


# Kinds with a lower number are sent first when not all items fit.
_PRIORITIES = {
    Kind.SUSPECT_REQUEST: 0,
    Kind.CRASH_TRIAL: 0,
    Kind.CRASH_REPORT: 1,
    Kind.SUCCESSOR: 1,
    Kind.ENDPOINT_LEAVING: 2,
    Kind.ENDPOINT_LIMIT: 2,
    Kind.ENDPOINT_COLD: 2,
    Kind.LOADS: 3,
}
URGENT = frozenset(
    [
        Kind.SUSPECT_REQUEST,
        Kind.ENDPOINT_LEAVING,
        Kind.CRASH_REPORT,
        Kind.CRASH_TRIAL,
        Kind.ENDPOINT_LIMIT,
        Kind.ENDPOINT_COLD,
    ]
)
_SYNCED = frozenset(
    [
        Kind.SUCCESSOR,
        Kind.SUSPECT_REQUEST,
        Kind.ENDPOINT_LEAVING,
        Kind.ENDPOINT_LIMIT,
    ]
)


class ReceivedItem(NamedTuple):
    """An item that was received from another node.

    Attributes:
        kind: Kind of the item.
        key: Identifies the subject within the kind.
        payload: Content of the item.
        expires: Monotonic time of expiry, seconds.
    """

    kind: Kind
    key: bytes
    payload: bytes
    expires: float = math.inf


class Item(NamedTuple):
    """An item on the wire.

    Attributes:
        kind: Number of the kind; receivers ignore unknown kinds.
        key: Identifies the subject within the kind.
        version: Incremented with each publication under the key.
        payload: Content of the item.
        lifetime_ms: Milliseconds until the item expires.
    """

    kind: int
    key: bytes
    version: int
    payload: bytes
    lifetime_ms: int


def size_bound(items: Iterable[Item]) -> int:
    """Returns an upper bound on the encoded size of items, in bytes."""
    return sum(
        len(item.key) + len(item.payload) + _OVERHEAD_BYTES for item in items
    )


class _StoredItem(NamedTuple):
    """An item as stored by this node.

    Attributes:
        version: Version under its key.
        payload: Content of the item.
        expires: Monotonic time of expiry, seconds.
        sent: Number of times that this node has sent the item.
        is_own: Whether this node published this version.
    """

    version: int
    payload: bytes
    expires: float
    sent: int
    is_own: bool


_ItemId = tuple[Kind, bytes]


def _precedence(stored: _StoredItem) -> tuple[int, bytes]:
    return stored.version, stored.payload


class Disseminator:
    """The items that one node stores and disseminates."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._items: dict[_ItemId, _StoredItem] = {}
        self._pending: set[_ItemId] = set()
        self._tombstones: dict[_ItemId, tuple[int, float]] = {}
        self._received: list[ReceivedItem] = []

    def __len__(self) -> int:
        return len(self._items)

    def publish(
        self,
        kind: int,
        key: bytes,
        payload: bytes,
        now: float,
        lifetime_s: float,
    ) -> None:
        """Publishes an item to the fleet.

        Args:
            kind: Kind of the item.
            key: Identifies the subject; a later item of the key replaces it.
            payload: Content of the item.
            now: Monotonic time in seconds.
            lifetime_s: Seconds for which nodes store the item.

        Raises:
            ValueError: The item is too large for a datagram.
        """
        if len(key) + len(payload) > ITEM_BYTES_MAX:
            raise ValueError(
                f"item is too large: {len(key) + len(payload)} bytes"
            )
        item_id = (Kind(kind), key)
        version = 1 + self._last_version(item_id)
        self._store(
            item_id, _StoredItem(version, payload, now + lifetime_s, 0, True)
        )

    def received(self) -> list[ReceivedItem]:
        """Returns the items from other nodes since the last call."""
        received, self._received = self._received, []
        return received

    def tick(self, now: float) -> None:
        """Replaces expired items by tombstones and drops old tombstones.

        A tombstone rejects late copies of the expired versions.
        """
        for item_id, stored in list(self._items.items()):
            if stored.expires <= now:
                del self._items[item_id]
                self._pending.discard(item_id)
                self._tombstones[item_id] = (
                    stored.version,
                    now + _TOMBSTONE_LIFETIME_S,
                )
        for item_id, (_, expires) in list(self._tombstones.items()):
            if expires <= now:
                del self._tombstones[item_id]

    def next_items(
        self, free_bytes: int, now: float, fleet_size: int
    ) -> list[Item]:
        """Selects items to piggyback on a datagram and counts them as sent.

        Args:
            free_bytes: Bytes that are free in the datagram.
            now: Monotonic time in seconds.
            fleet_size: Number of members, which bounds how many times each
                item is sent.

        Returns:
            Items by priority of their kind, then those sent least often.
        """
        limit = max(3, math.ceil(math.log2(fleet_size + 1)) + 1)
        # The order is random because nodes that sent in the same order would
        # all delay the same items.
        candidates = sorted(self._pending)
        self._rng.shuffle(candidates)
        candidates.sort(
            key=lambda item_id: (
                _PRIORITIES[item_id[0]],
                self._items[item_id].sent,
            )
        )
        selected = self._select(candidates, free_bytes, now)
        for item_id in selected:
            stored = self._items[item_id]
            self._items[item_id] = stored._replace(sent=stored.sent + 1)
            if stored.sent + 1 >= limit:
                self._pending.discard(item_id)
        return [self._item(item_id, now) for item_id in selected]

    def digest(self) -> int:
        """Returns a 32-bit digest of the stored items of synchronized kinds."""
        total = 0
        for item_id, stored in self._items.items():
            if item_id[0] in _SYNCED:
                head = b"%d:%d:" % (item_id[0], stored.version)
                data = head + item_id[1] + stored.payload
                total ^= xxhash.xxh32_intdigest(data)
        return total

    def sample(self, free_bytes: int, now: float) -> list[Item]:
        """Returns random synchronized items for a node with another digest."""
        item_ids = [item_id for item_id in self._items if item_id[0] in _SYNCED]
        self._rng.shuffle(item_ids)
        return [
            self._item(item_id, now)
            for item_id in self._select(item_ids, free_bytes, now)
        ]

    def merge(self, items: list[Item], now: float) -> bool:
        """Merges the items of a received datagram.

        Returns:
            Whether an item of an urgent kind was new here.
        """
        urgent = False
        for item in items:
            if item.kind in _PRIORITIES and self._merge_item(item, now):
                urgent = urgent or item.kind in URGENT
        return urgent

    def _merge_item(self, item: Item, now: float) -> bool:
        item_id = (Kind(item.kind), item.key)
        if item.version <= self._tombstones.get(item_id, (0, 0.0))[0]:
            return False
        stored = self._items.get(item_id)
        expires = now + item.lifetime_ms / 1000
        incoming = _StoredItem(item.version, item.payload, expires, 0, False)
        if stored is not None and _precedence(incoming) <= _precedence(stored):
            return False
        self._accept(item_id, stored, incoming)
        return True

    def _accept(
        self,
        item_id: _ItemId,
        stored: _StoredItem | None,
        incoming: _StoredItem,
    ) -> None:
        if stored is not None and stored.is_own and item_id[0] is Kind.LOADS:
            # Loads have a single writer, so the incoming item is from an
            # earlier process of this router and has to be superseded.
            version = incoming.version + 1
            self._store(item_id, stored._replace(version=version, sent=0))
            return
        if stored is None and len(self._items) >= ITEMS_MAX:
            return
        self._store(item_id, incoming)
        self._received.append(
            ReceivedItem(
                item_id[0], item_id[1], incoming.payload, incoming.expires
            )
        )

    def _store(self, item_id: _ItemId, stored: _StoredItem) -> None:
        self._items[item_id] = stored
        self._pending.add(item_id)

    def _last_version(self, item_id: _ItemId) -> int:
        stored = self._items.get(item_id)
        if stored is not None:
            return stored.version
        return self._tombstones.get(item_id, (0, 0.0))[0]

    def _select(
        self, item_ids: list[_ItemId], free_bytes: int, now: float
    ) -> list[_ItemId]:
        selected = []
        for item_id in item_ids:
            stored = self._items[item_id]
            if stored.expires - now < _LIFETIME_MIN_S:
                continue
            item_bytes = len(item_id[1]) + len(stored.payload) + _OVERHEAD_BYTES
            if item_bytes <= free_bytes:
                selected.append(item_id)
                free_bytes -= item_bytes
        return selected

    def _item(self, item_id: _ItemId, now: float) -> Item:
        stored = self._items[item_id]
        lifetime_ms = int((stored.expires - now) * 1000)
        return Item(
            int(item_id[0]),
            item_id[1],
            stored.version,
            stored.payload,
            lifetime_ms,
        )
