"""Which routers keep the origin of a stream, and which of them lack it.

Rendezvous hashing of the attempt names the holders among all live routers. When
routers join, leave or restart, other ones become holders, and those that
restarted have lost what they held.
"""

from collections.abc import Container, Iterable, Mapping

from nutmegpost_core import ownership

__all__ = ["HOLDERS", "HolderTable", "holders"]

# Routers that keep the origin of a stream. The one that relays it may be among
# them.
HOLDERS = 4


def holders(attempt: bytes, routers: Iterable[str]) -> list[str]:
    """Returns the names of the routers that keep the origin of a stream.

    Args:
        attempt: Digest of the attempt that began it.
        routers: Names of all live routers.
    """
    return ownership.first(attempt.hex(), list(routers), HOLDERS)


class _Placement:
    """The holders of one stream.

    Attributes:
        version: Version of the table for which they were computed.
        names: Their names.
        told: Name and incarnation of the routers that were told the origin.
    """

    __slots__ = ("names", "told", "version")

    def __init__(self) -> None:
        self.version = -1
        self.names: list[str] = []
        self.told: set[tuple[str, int]] = set()


class HolderTable:
    """The holders of the streams whose origins a router knows.

    The holders of a stream are computed when they are asked for. After a change
    of few routers this takes a few hashes, not one for each router.
    """

    def __init__(self, own_name: str):
        """Creates a table without streams and other routers.

        Args:
            own_name: Name of this router.
        """
        self._own_name = own_name
        self._incarnations: Mapping[str, int] = {}
        self._version = 0
        # The routers that joined with the last version.
        self._joined: list[str] = []
        self._placements: dict[bytes, _Placement] = {}

    def __contains__(self, attempt: bytes) -> bool:
        """Returns whether a stream is known by the digest of its attempt."""
        return attempt in self._placements

    @property
    def version(self) -> int:
        """Number that rises when routers join, leave or restart."""
        return self._version

    @property
    def attempts(self) -> list[bytes]:
        """Digests of the attempts that began the streams."""
        return list(self._placements)

    def update(self, incarnations: Mapping[str, int]) -> None:
        """Sets the other live routers.

        Args:
            incarnations: Their incarnations by name.
        """
        if incarnations == self._incarnations:
            return
        self._joined = [
            name for name in incarnations if name not in self._incarnations
        ]
        self._incarnations = dict(incarnations)
        self._version += 1

    def add(self, attempt: bytes) -> None:
        """Adds a stream whose origin no holder has been told.

        A known stream counts as not told again.
        """
        self._placements[attempt] = _Placement()

    def untold(self, attempt: bytes) -> list[str]:
        """Returns the holders of a stream that were not told its origin."""
        placement = self._placements.get(attempt)
        if placement is None:
            return []
        self._place(attempt, placement)
        return [
            name
            for name in placement.names
            if name != self._own_name
            and (name, self._incarnations[name]) not in placement.told
        ]

    def take_untold(self, attempt: bytes) -> list[str]:
        """Returns the same holders, and records that they are told."""
        names = self.untold(attempt)
        if names:
            self._placements[attempt].told.update(
                (name, self._incarnations[name]) for name in names
            )
        return names

    def set_untold(self, attempt: bytes, name: str, incarnation: int) -> None:
        """Records that a router could not be told the origin of a stream."""
        if attempt in self._placements:
            self._placements[attempt].told.discard((name, incarnation))

    def retain(self, attempts: Container[bytes]) -> None:
        """Removes all other streams."""
        self._placements = {
            attempt: placement
            for attempt, placement in self._placements.items()
            if attempt in attempts
        }

    def _place(self, attempt: bytes, placement: _Placement) -> None:
        """Computes the holders of a stream if routers have changed."""
        if placement.version == self._version:
            return
        candidates: Iterable[str] = [self._own_name, *self._incarnations]
        is_previous = placement.names and placement.version == self._version - 1
        if is_previous and all(
            name == self._own_name or name in self._incarnations
            for name in placement.names
        ):
            candidates = [*placement.names, *self._joined]
        placement.names = holders(attempt, candidates)
        placement.version = self._version
