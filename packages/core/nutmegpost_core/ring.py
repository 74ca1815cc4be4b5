"""A hash ring: keys to names, with little movement when names change.

Each name has many points on a circle of 64 bit numbers. A key belongs to the
name of the first point at or after its own hash. A new ring is built when the
names change; a look-up is one binary search.
"""

import bisect
from collections.abc import Iterable

import xxhash

__all__ = ["POINTS_PER_NAME_MAX", "POINTS_PER_NAME_MIN", "points_for", "Ring"]

# Points of a ring: few names get many points each, so that their shares are
# even, and many names few, so that the ring stays small.
POINTS_MAX = 65_536
POINTS_PER_NAME_MIN = 16
POINTS_PER_NAME_MAX = 512


def points_for(count: int) -> int:
    """Returns the points of each name in a ring of some names."""
    even = POINTS_MAX // max(1, count)
    return max(POINTS_PER_NAME_MIN, min(POINTS_PER_NAME_MAX, even))


class Ring:
    """A ring over a fixed set of names."""

    def __init__(
        self, names: Iterable[str], points_per_name: int | None = None
    ):
        """Builds the ring.

        Args:
            names: The names; their order does not matter.
            points_per_name: Points of each name; None takes `points_for`.
        """
        self._names = sorted(set(names))
        points_per_name = points_per_name or points_for(len(self._names))
        pairs = sorted(
            (xxhash.xxh3_64_intdigest(f"{name}#{number}".encode()), index)
            for index, name in enumerate(self._names)
            for number in range(points_per_name)
        )
        self._points = [point for point, _ in pairs]
        self._indices = [index for _, index in pairs]

    @property
    def names(self) -> list[str]:
        """The names in the ring, sorted."""
        return list(self._names)

    def __len__(self) -> int:
        return len(self._names)

    def first(self, key: bytes) -> str:
        """Returns the name that a key belongs to.

        Raises:
            LookupError: The ring is empty.
        """
        if not self._points:
            raise LookupError("the ring has no names")
        return self._names[self._indices[self._start(key)]]

    def order(self, key: bytes, count: int) -> list[str]:
        """Returns the first distinct names after a key.

        Args:
            key: The key.
            count: Most names to return.

        Returns:
            The names, the one that `first` gives in front.
        """
        wanted = min(count, len(self._names))
        found: dict[int, None] = {}
        if wanted <= 0:
            return []
        start = self._start(key)
        for step in range(len(self._points)):
            found[self._indices[(start + step) % len(self._points)]] = None
            if len(found) == wanted:
                break
        return [self._names[index] for index in found]

    def _start(self, key: bytes) -> int:
        point = xxhash.xxh3_64_intdigest(key)
        return bisect.bisect_left(self._points, point) % len(self._points)
