"""The table of members and the precedence of updates about a member.

Updates about one name are ordered by revision, then by severity of the state,
then by incarnation. A process that receives an update about its own name that
it did not issue refutes it with a higher revision, so the update of a running
process eventually takes precedence.
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
    "precedence",
]

# Must be a power of two: smaller digests combine the buckets of larger ones.
BUCKETS = 64
# Members that revive twice within the window are flapping. The hold-down time
# of the second revival doubles with each further one, up to the maximum.
_FLAP_WINDOW_S = 60.0
_HOLD_DOWN_S = 2.0
_HOLD_DOWN_MAX_S = 30.0


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
        public_address: Address for callers.
        peer_address: Address for peers.
        zone: Availability zone.
        state: State as seen by this node.
        revision: Revision of the update; only the member itself raises it.
        config_version: Configuration in force there; 0 for unknown.
        config_digest: Digest of that configuration, hexadecimal.
        capacity: Its capacity, thousandths of a core; 0 if unknown.
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
    capacity: int = 0


class Change(NamedTuple):
    """A change of the state or the process of a member.

    Attributes:
        member: The member after the change.
        previous_state: Its previous state; None if the member is new or its
            process was replaced.
    """

    member: Member
    previous_state: State | None


STATES = list(State)
_STATE_RANKS = {state: number for number, state in enumerate(STATES)}
_DEPARTED = frozenset([State.DEAD, State.LEFT])


def is_live(member: Member) -> bool:
    """Whether a member may still be running."""
    return member.state not in _DEPARTED


def precedence(member: Member) -> tuple[int, int, int]:
    """Returns the sort key of an update; the highest one of a name wins."""
    return member.revision, _STATE_RANKS[member.state], member.incarnation


def _hash(member: Member) -> int:
    # Suspicions are short-lived and are not synchronized by anti-entropy, so
    # the state of a live member does not enter the hash.
    if not is_live(member):
        return 0
    text = f"{member.name}/{member.incarnation}/{member.revision}"
    return xxhash.xxh32_intdigest(text.encode())


class MemberTable:
    """The members known to one node, including itself."""

    def __init__(self, local_member: Member):
        self._members = {local_member.name: local_member}
        self._changes: list[Change] = []
        self._digests = [0] * BUCKETS
        self._buckets: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._departed_since: dict[str, float] = {}
        self._revivals: dict[str, list[float]] = {}
        self._leaving_incarnations: dict[str, int] = {}
        self._live: list[str] | None = None
        self._version = 0
        self._update_digest(None, local_member)

    @property
    def members(self) -> Mapping[str, Member]:
        """All members by name."""
        return self._members

    @property
    def version(self) -> int:
        """Number that rises with each change of a member or its state."""
        return self._version

    @property
    def live(self) -> list[str]:
        """Sorted names of the members that may still be running."""
        if self._live is None:
            self._live = sorted(
                name
                for name, member in self._members.items()
                if is_live(member)
            )
        return self._live

    def changes(self) -> list[Change]:
        """Returns the changes of state since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def put(self, member: Member, now: float) -> None:
        """Stores an update that takes precedence over the current entry."""
        old = self._members.get(member.name)
        invariants.check(
            old is None or precedence(member) > precedence(old),
            events.STATE_REGRESSED,
            name=member.name,
            old=old and old.revision,
            new=member.revision,
        )
        self._members[member.name] = member
        self._version += 1
        if member.state is State.LEAVING:
            self._leaving_incarnations[member.name] = member.incarnation
        self._update_digest(old, member)
        is_replaced = old is None or old.incarnation != member.incarnation
        previous = None if old is None or is_replaced else old.state
        if previous == member.state:
            return
        self._live = None
        self._changes.append(Change(member, previous))
        self._track_departure(member, previous, now)

    def is_leaving(self, name: str) -> bool:
        """Whether the current process of a member announced that it leaves.

        This remains true when the member is suspected later.
        """
        return (
            self._leaving_incarnations.get(name)
            == self._members[name].incarnation
        )

    def record_configuration(
        self, name: str, version: int, digest: str
    ) -> bool:
        """Stores the configuration in force at a member.

        Returns:
            Whether it differs from the one stored before.
        """
        member = self._members[name]
        if (member.config_version, member.config_digest) == (version, digest):
            return False
        self._members[name] = member._replace(
            config_version=version, config_digest=digest
        )
        return True

    def record_capacity(self, name: str, capacity: int) -> None:
        """Stores the capacity of a member."""
        member = self._members[name]
        if member.capacity != capacity:
            self._members[name] = member._replace(capacity=capacity)
            self._version += 1

    def hold_down_until(self, name: str) -> float:
        """Returns the end of the hold-down time of a flapping member.

        The time doubles with each revival within the flap window.

        Returns:
            Monotonic time, seconds; 0 for a member that is not flapping.
        """
        revivals = self._revivals.get(name, [])
        if len(revivals) < 2:
            return 0.0
        hold_down_s = min(
            _HOLD_DOWN_MAX_S, _HOLD_DOWN_S * 2.0 ** (len(revivals) - 2)
        )
        return revivals[-1] + hold_down_s

    def remove_departed(self, before: float, listed: set[str]) -> None:
        """Removes departed members that are not in the VM list.

        Args:
            before: Removes only members that departed before this time.
            listed: Peer addresses in the VM list.
        """
        for name, since in list(self._departed_since.items()):
            member = self._members[name]
            if since < before and member.peer_address not in listed:
                self._buckets[self._bucket(name)].discard(name)
                del self._members[name]
                self._version += 1
                del self._departed_since[name]
                self._revivals.pop(name, None)
                self._leaving_incarnations.pop(name, None)

    def digests(self, count: int) -> bytes:
        """Returns digests of the live members, four bytes per bucket.

        Args:
            count: Number of buckets, a divisor of BUCKETS.
        """
        folded = [0] * count
        for position, value in enumerate(self._digests):
            folded[position % count] ^= value
        return b"".join(value.to_bytes(4, "big") for value in folded)

    def differing_members(self, digests: bytes) -> Iterator[str]:
        """Yields the members of buckets whose digests differ."""
        count = len(digests) // 4
        if count == 0 or BUCKETS % count:
            return
        own_digests = self.digests(count)
        for position in range(count):
            span = slice(4 * position, 4 * position + 4)
            if own_digests[span] != digests[span]:
                for bucket in range(position, BUCKETS, count):
                    yield from self._buckets[bucket]

    def _track_departure(
        self, member: Member, previous: State | None, now: float
    ) -> None:
        name = member.name
        if not is_live(member):
            self._departed_since.setdefault(name, now)
            return
        self._departed_since.pop(name, None)
        if previous is None:
            self._revivals.pop(name, None)
        elif previous in _DEPARTED:
            recent = [
                time
                for time in self._revivals.get(name, [])
                if time > now - _FLAP_WINDOW_S
            ]
            self._revivals[name] = [*recent, now]

    def _update_digest(self, old: Member | None, new: Member) -> None:
        bucket = self._bucket(new.name)
        self._buckets[bucket].add(new.name)
        if old is not None:
            self._digests[bucket] ^= _hash(old)
        self._digests[bucket] ^= _hash(new)

    @staticmethod
    def _bucket(name: str) -> int:
        return xxhash.xxh32_intdigest(name.encode()) % BUCKETS
