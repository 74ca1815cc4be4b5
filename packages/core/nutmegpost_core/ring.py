"""Consistent hashing of keys to names on a hash ring.

Each name has many points (virtual nodes) on a ring of 64-bit hash values. A key
maps to the name of the first point at or after its own hash, so few keys move
when names are added or removed. Rings are immutable: a new one is built when
the names change. A lookup is one binary search.
"""

import bisect
from collections.abc import Iterable

import xxhash

__all__ = ["POINTS_PER_NAME_MAX", "POINTS_PER_NAME_MIN", "points_for", "Ring"]

# Total number of points in a ring. With few names, each gets many points, so
# that the shares are even; with many names, few, so that the ring stays small.
POINTS_MAX = 65_536
POINTS_PER_NAME_MIN = 16
POINTS_PER_NAME_MAX = 512


def points_for(count: int) -> int:
    """Returns the points per name for a ring of `count` names."""
    points = POINTS_MAX // max(1, count)
    return max(POINTS_PER_NAME_MIN, min(POINTS_PER_NAME_MAX, points))


class Ring:
    """A hash ring over a fixed set of names."""

    def __init__(
        self, names: Iterable[str], points_per_name: int | None = None
    ):
        """Builds the ring.

        Args:
            names: The names, in any order.
            points_per_name: Points of each name; None uses `points_for`.
        """
        self._names = sorted(set(names))
        points_per_name = points_per_name or points_for(len(self._names))
        pairs = sorted(
            (xxhash.xxh3_64_intdigest(f"{name}#{number}".encode()), index)
            for index, name in enumerate(self._names)
            for number in range(points_per_name)
        )
        self._points = [position for position, _ in pairs]
        self._indices = [index for _, index in pairs]

    @property
    def names(self) -> list[str]:
        """The names in the ring, sorted."""
        return list(self._names)

    def __len__(self) -> int:
        return len(self._names)

    def lookup(self, key: bytes) -> str:
        """Returns the name that a key maps to.

        Raises:
            LookupError: The ring is empty.
        """
        if not self._points:
            raise LookupError("the ring has no names")
        return self._names[self._indices[self._first_point(key)]]

    def preference_list(self, key: bytes, count: int) -> list[str]:
        """Returns the first distinct names at or after the hash of a key.

        Args:
            key: The key.
            count: Maximum number of names.

        Returns:
            The names in ring order, starting with the result of `lookup`.
        """
        length = min(count, len(self._names))
        indices: dict[int, None] = {}
        if length <= 0:
            return []
        start = self._first_point(key)
        for step in range(len(self._points)):
            indices[self._indices[(start + step) % len(self._points)]] = None
            if len(indices) == length:
                break
        return [self._names[index] for index in indices]

    def _first_point(self, key: bytes) -> int:
        position = xxhash.xxh3_64_intdigest(key)
        return bisect.bisect_left(self._points, position) % len(self._points)
