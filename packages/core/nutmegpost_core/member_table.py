"""The table of members, and which of two statements on a member holds.

Statements on one name are ordered by revision, then by how grave the state
is, then by incarnation. A process that meets a statement on its own name that
it did not make states itself again with a higher revision, so the statement
of a living process always wins in the end.
"""

from collections.abc import Iterator, Mapping
import enum
from typing import NamedTuple

import xxhash

from nutmegpost_core import events
from nutmegpost_core import invariants

__all__ = [
    "BUCKETS",
    "STATES",
    "Change",
    "Member",
    "MemberTable",
    "State",
    "is_live",
    "order",
]

BUCKETS = 64
_FLAP_WINDOW_S = 60.0
_HOLD_S = 2.0
_HOLD_MAX_S = 30.0


class State(enum.StrEnum):
    """State of a member."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class Member(NamedTuple):
    """A member of the fleet.

    Attributes:
        name: Name, as in the VM list.
        incarnation: Random 48-bit number that identifies its process.
        public_address: Where callers connect.
        peer_address: Where peers connect.
        zone: Availability zone.
        state: State as this node sees it.
        revision: Number of the statement; the member itself raises it.
        config_version: Configuration in force there; 0 for unknown.
        config_digest: Digest of that configuration, hexadecimal.
    """

    name: str
    incarnation: int
    public_address: str
    peer_address: str
    zone: str
    state: State = State.ALIVE
    revision: int = 0
    config_version: int = 0
    config_digest: str = ""


class Change(NamedTuple):
    """A change of a member.

    Attributes:
        member: The member now.
        previous_state: Its state before; None when it is new or its process
            was replaced.
    """

    member: Member
    previous_state: State | None


STATES = list(State)
_GRAVITY = {state: number for number, state in enumerate(STATES)}
_GONE = frozenset([State.DEAD, State.LEFT])


def is_live(member: Member) -> bool:
    """Whether a member may still be running."""
    return member.state not in _GONE


def order(member: Member) -> tuple[int, int, int]:
    """Returns what decides between two statements on a name."""
    return member.revision, _GRAVITY[member.state], member.incarnation


def _hash(member: Member) -> int:
    # A suspicion is short-lived, so it is no difference worth a transfer.
    if not is_live(member):
        return 0
    text = f"{member.name}/{member.incarnation}/{member.revision}"
    return xxhash.xxh32_intdigest(text.encode())


class MemberTable:
    """The members that one node knows, itself included."""

    def __init__(self, me: Member):
        self._members = {me.name: me}
        self._changes: list[Change] = []
        self._digests = [0] * BUCKETS
        self._buckets: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._gone_since: dict[str, float] = {}
        self._revivals: dict[str, list[float]] = {}
        self._leaving: dict[str, int] = {}
        self._live: list[str] | None = None
        self._index(None, me)

    @property
    def members(self) -> Mapping[str, Member]:
        """All members by name."""
        return self._members

    @property
    def live(self) -> list[str]:
        """Sorted names of the members that may still be running."""
        if self._live is None:
            self._live = sorted(
                name for name, item in self._members.items() if is_live(item)
            )
        return self._live

    def changes(self) -> list[Change]:
        """Returns the changes of state since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def put(self, member: Member, now: float) -> None:
        """Stores a statement that was found to hold."""
        old = self._members.get(member.name)
        invariants.check(
            old is None or order(member) > order(old),
            events.STATE_REGRESSED,
            name=member.name,
            old=old and old.revision,
            new=member.revision,
        )
        self._members[member.name] = member
        if member.state is State.LEAVING:
            self._leaving[member.name] = member.incarnation
        self._index(old, member)
        replaced = old is None or old.incarnation != member.incarnation
        previous = None if old is None or replaced else old.state
        if previous == member.state:
            return
        self._live = None
        self._changes.append(Change(member, previous))
        self._note_times(member, previous, now)

    def is_leaving(self, name: str) -> bool:
        """Whether the process of a member ever said that it leaves."""
        return self._leaving.get(name) == self._members[name].incarnation

    def note_configuration(self, name: str, version: int, digest: str) -> bool:
        """Stores which configuration is in force at a member.

        Returns:
            Whether that is news.
        """
        member = self._members[name]
        if (member.config_version, member.config_digest) == (version, digest):
            return False
        self._members[name] = member._replace(
            config_version=version, config_digest=digest
        )
        return True

    def hold_until(self, name: str) -> float:
        """Returns until when a member that flaps is passed over."""
        revivals = self._revivals.get(name, [])
        if len(revivals) < 2:
            return 0.0
        hold = min(_HOLD_MAX_S, _HOLD_S * 2.0 ** (len(revivals) - 2))
        return revivals[-1] + hold

    def forget(self, before: float, listed: set[str]) -> None:
        """Drops members that are gone.

        Args:
            before: Drops the members that are gone since before this time
                and that the VM list does not name.
            listed: Peer addresses in the VM list.
        """
        for name, since in list(self._gone_since.items()):
            member = self._members[name]
            if since < before and member.peer_address not in listed:
                self._buckets[self._bucket(name)].discard(name)
                del self._members[name]
                del self._gone_since[name]
                self._revivals.pop(name, None)
                self._leaving.pop(name, None)

    def digests(self, count: int) -> bytes:
        """Returns digests of the live members, four bytes for each bucket.

        Args:
            count: Number of buckets, a divisor of BUCKETS.
        """
        folded = [0] * count
        for position, value in enumerate(self._digests):
            folded[position % count] ^= value
        return b"".join(value.to_bytes(4, "big") for value in folded)

    def differing(self, digests: bytes) -> Iterator[str]:
        """Yields the members of buckets whose digests differ."""
        count = len(digests) // 4
        if count == 0 or BUCKETS % count:
            return
        mine = self.digests(count)
        for position in range(count):
            window = slice(4 * position, 4 * position + 4)
            if mine[window] != digests[window]:
                for bucket in range(position, BUCKETS, count):
                    yield from self._buckets[bucket]

    def _note_times(
        self, member: Member, previous: State | None, now: float
    ) -> None:
        name = member.name
        if not is_live(member):
            self._gone_since.setdefault(name, now)
            return
        self._gone_since.pop(name, None)
        if previous is None:
            self._revivals.pop(name, None)
        elif previous in _GONE:
            recent = [
                time
                for time in self._revivals.get(name, [])
                if time > now - _FLAP_WINDOW_S
            ]
            self._revivals[name] = [*recent, now]

    def _index(self, old: Member | None, new: Member) -> None:
        bucket = self._bucket(new.name)
        self._buckets[bucket].add(new.name)
        if old is not None:
            self._digests[bucket] ^= _hash(old)
        self._digests[bucket] ^= _hash(new)

    @staticmethod
    def _bucket(name: str) -> int:
        return xxhash.xxh32_intdigest(name.encode()) % BUCKETS
