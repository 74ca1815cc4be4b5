"""Who is in the fleet: probes, suspicion and the spread of changes.

The protocol follows SWIM. Once a period a member probes one other, directly
and then through others; one that does not answer is suspected, and dead when
it does not refute that in time. Changes ride on the probes. Now and then two
members compare digests of their tables and exchange what differs, which heals
partitions and fills the table of one that joins. The cost of a member does
not depend on the size of the fleet.
"""

from collections.abc import Iterable, Mapping, Sequence
import math
import random
from typing import NamedTuple

from nutmegpost_core import budget
from nutmegpost_core import datagrams
from nutmegpost_core import errors
from nutmegpost_core import member_table
from nutmegpost_core import rumours

__all__ = [
    "Change",
    "Datagram",
    "Member",
    "Membership",
    "State",
    "Timing",
]

Change = member_table.Change
Member = member_table.Member
State = member_table.State

_ENTRY_OVERHEAD_BYTES = 40
_SHORT_OVERHEAD_BYTES = 14
_RELAY_LIFETIME_S = 5.0
_SHARE_OF_RUMOURS = 2
# Contacts that a router which knows nobody asks at once; some may be down.
_JOIN_CONTACTS = 3


class Timing(NamedTuple):
    """Times and counts of the protocol.

    Attributes:
        period_s: Seconds between two probes.
        ack_timeout_s: Seconds until a direct probe is tried through others.
        suspicion_s: Seconds from suspicion to death in a fleet of ten; grows
            with the logarithm of the fleet.
        sync_s: Mean seconds between two comparisons of tables.
        join_s: Seconds between two of them while no other member is known.
        doubt_s: Longest time for which a process that was paused gives no
            verdict of death.
        forget_s: Seconds for which a dead member is remembered.
        relays: Members that are asked to probe on behalf of this one.
        packet_bytes: Size that a datagram is filled up to.
    """

    period_s: float = 1.0
    ack_timeout_s: float = 0.35
    suspicion_s: float = 2.5
    sync_s: float = 3.0
    join_s: float = 0.25
    doubt_s: float = 15.0
    forget_s: float = 600.0
    relays: int = 2
    packet_bytes: int = 1_100


class Datagram(NamedTuple):
    """A datagram to send, without its MAC.

    Attributes:
        address: Where to.
        data: What.
    """

    address: str
    data: bytes


class _Probe(NamedTuple):
    name: str
    sequence: int
    sent: float
    relayed: bool


class _Relay(NamedTuple):
    address: str
    sequence: int
    expires: float


class Membership:
    """The view that one router has of the fleet."""

    def __init__(
        self,
        me: Member,
        rng: random.Random,
        timing: Timing | None = None,
        riders: rumours.Rumours | None = None,
        spending: budget.Budget | None = None,
    ):
        """Starts with a view that holds only this router.

        Args:
            me: This router.
            rng: Source of randomness.
            timing: Times of the protocol.
            riders: Rumours that ride on the datagrams.
            spending: Byte budget that all datagrams keep within.
        """
        self._rng = rng
        self._timing = timing or Timing()
        # Rumours that hold nothing are false, so they are compared to None.
        self._riders = rumours.Rumours(rng) if riders is None else riders
        self._budget = spending or budget.Budget()
        self._name = me.name
        self._table = member_table.MemberTable(me)
        self._listed: set[str] = set()
        self._unsent: dict[str, int] = {}
        self._suspected: dict[str, float] = {}
        self._probe: _Probe | None = None
        self._relays: dict[int, _Relay] = {}
        self._round: list[str] = []
        self._sequence = rng.getrandbits(24)
        self._next_period = 0.0
        self._next_sync = 0.0
        self._doubt_until = 0.0
        self._doubt_from = 0
        self._now = 0.0
        self._news: set[str] = set()
        self._version = me.config_version
        self._digest = me.config_digest

    @property
    def me(self) -> Member:
        """This router as it states itself."""
        return self._table.members[self._name]

    @property
    def members(self) -> Mapping[str, Member]:
        """All members by name, this one and those that are dead included."""
        return self._table.members

    @property
    def alive(self) -> list[str]:
        """Sorted names of the routers that may take work.

        A suspect is one of them until it is dead. One that keeps dying and
        coming back is passed over for a while.
        """
        names = []
        for name in self._table.live:
            if self._table.is_leaving(name):
                continue
            if name == self._name or self._table.hold_until(name) <= self._now:
                names.append(name)
        return names

    @property
    def reachable(self) -> list[str]:
        """Sorted names of those alive that are not under suspicion."""
        members = self._table.members
        return [x for x in self.alive if members[x].state is State.ALIVE]

    @property
    def spending(self) -> budget.Budget:
        """The byte budget of control traffic."""
        return self._budget

    @property
    def in_doubt(self) -> bool:
        """Whether a pause has made this view unreliable."""
        return self._now < self._doubt_until

    def changes(self) -> list[Change]:
        """Returns the changes of state since the last call."""
        return self._table.changes()

    def configurations(self) -> list[Member]:
        """Returns the members with another configuration since last time."""
        names, self._news = self._news, set()
        found = self._table.members
        return [found[name] for name in sorted(names) if name in found]

    def set_configuration(self, version: int, digest: str) -> None:
        """States the configuration in force here in every message.

        Args:
            version: Its version.
            digest: Its digest, hexadecimal.
        """
        self._version = version
        self._digest = digest
        self._table.note_configuration(self._name, version, digest)

    def seed(self, addresses: Sequence[str]) -> None:
        """Takes in the peer addresses of the routers in the VM list.

        The addresses are contacts for a start and after a partition. Dead
        members that the list no longer names are forgotten early. What is no
        address is left out.
        """
        usable = {text for text in addresses if datagrams.is_address(text)}
        self._listed = usable - {self.me.peer_address}
        if self._strangers() and len(self._table.live) == 1:
            # A router that knows nobody yet asks at once.
            self._next_sync = min(self._next_sync, self._now)

    def learn(self, members: Iterable[Member], now: float) -> None:
        """Takes in members that another router knows.

        They are no news to the fleet, so they are not sent on.
        """
        for member in members:
            self._take(member, now)
            if member.name != self._name:
                self._unsent.pop(member.name, None)

    def tick(self, now: float) -> list[Datagram]:
        """Does what is due.

        Args:
            now: Monotonic time in seconds; call several times a period.

        Returns:
            Datagrams to send at once; they are within the byte budget.
        """
        self._now = now
        self._riders.tick(now)
        self._expire(now)
        sent: list[Datagram] = []
        if self._probe is not None:
            sent += self._continue_probe(self._probe, now)
        if now >= self._next_period:
            self._next_period = now + self._timing.period_s
            sent += self._start_probe(now)
        if now >= self._next_sync:
            self._next_sync = now + self._sync_delay()
            sent += self._start_sync(now)
        return sent

    def receive(self, data: bytes, source: str, now: float) -> list[Datagram]:
        """Handles a datagram whose MAC was checked.

        Args:
            data: The datagram without its MAC.
            source: Address it came from.
            now: Monotonic time in seconds.

        Returns:
            Datagrams to send at once.

        Raises:
            errors.PeerError: It is not a datagram of this protocol.
        """
        self._now = now
        packet = datagrams.decode(data)
        if packet.sender.name == self._name:
            self._refute(_member(packet.sender), now)
            return []
        revision = self.me.revision
        urgent = self._merge(packet, now)
        # Whoever refuted a statement is passed over until others hear of it.
        urgent = urgent or self.me.revision != revision
        sent = self._answer(packet, source, now)
        return sent + self.announce(now) if urgent else sent

    def leave(self, now: float) -> list[Datagram]:
        """States that this router takes no new work."""
        return self._become(State.LEAVING, now)

    def left(self, now: float) -> list[Datagram]:
        """States that this router ends now."""
        return self._become(State.LEFT, now)

    def announce(self, now: float) -> list[Datagram]:
        """Tells some members at once what is new here.

        News that each receiver announces in turn reaches the whole fleet
        within a few round trips.
        """
        sent: list[Datagram] = []
        for name in self._pick(self._spread(), self._name):
            sent += self._send(datagrams.Kind.ANNOUNCE, name, now)
        return sent

    def paused(self, now: float, gap_s: float) -> None:
        """Notes that this process did not run for a while.

        Probes that ran are void, suspicions start again, and no member is
        declared dead until another was heard again.

        Args:
            now: Monotonic time in seconds, after the pause.
            gap_s: Length of the pause in seconds.
        """
        self._now = now
        self._probe = None
        self._relays.clear()
        self._next_period = now
        self._next_sync = now
        self._doubt_until = now + self._timing.doubt_s
        self._doubt_from = self._sequence
        for name in self._suspected:
            self._suspected[name] = now + max(
                self._suspicion_s(), min(gap_s, self._timing.doubt_s)
            )

    # Probes.

    def _start_probe(self, now: float) -> list[Datagram]:
        name = self._next_target()
        if name is None:
            return []
        self._sequence += 1
        sent = self._send(
            datagrams.Kind.PING, name, now, sequence=self._sequence
        )
        # A probe that did not fit into the budget says nothing of its target.
        if sent:
            self._probe = _Probe(name, self._sequence, now, False)
        return sent

    def _next_target(self) -> str | None:
        while self._round:
            name = self._round.pop()
            member = self._table.members.get(name)
            if member is not None and member_table.is_live(member):
                return name
        self._round = [name for name in self._table.live if name != self._name]
        self._rng.shuffle(self._round)
        return self._round.pop() if self._round else None

    def _continue_probe(self, probe: _Probe, now: float) -> list[Datagram]:
        age = now - probe.sent
        if age >= self._timing.period_s:
            self._probe = None
            return self._suspect(probe.name, now)
        if probe.relayed or age < self._timing.ack_timeout_s:
            return []
        self._probe = probe._replace(relayed=True)
        sent: list[Datagram] = []
        for relay in self._pick(self._timing.relays, probe.name):
            sent += self._send(
                datagrams.Kind.PING_REQUEST,
                relay,
                now,
                sequence=probe.sequence,
                subject=probe.name,
            )
        return sent

    def _pick(self, count: int, but: str) -> list[str]:
        names = [
            name
            for name in self._rng.sample(
                self._table.live, min(count + 2, len(self._table.live))
            )
            if name not in (but, self._name)
        ]
        return names[:count]

    def _suspect(self, name: str, now: float) -> list[Datagram]:
        member = self._table.members.get(name)
        if member is None or not member_table.is_live(member):
            return []
        sent: list[Datagram] = []
        if member.state is not State.SUSPECT:
            self._put(member._replace(state=State.SUSPECT), now)
            sent = self.announce(now)
        # The suspect hears of it at once and can refute it.
        return self._send(datagrams.Kind.PING, name, now) + sent

    def _expire(self, now: float) -> None:
        if not self.in_doubt:
            for name, until in list(self._suspected.items()):
                if until <= now:
                    member = self._table.members[name]
                    self._put(member._replace(state=State.DEAD), now)
        for sequence, relay in list(self._relays.items()):
            if relay.expires <= now:
                del self._relays[sequence]
        self._table.forget(now - self._timing.forget_s, self._listed)

    def _suspicion_s(self) -> float:
        fleet = max(10, len(self._table.live))
        return self._timing.suspicion_s * math.log10(fleet)

    # Comparison of tables.

    def _sync_delay(self) -> float:
        if self._strangers() and len(self._table.live) == 1:
            return self._timing.join_s
        return self._timing.sync_s * self._rng.uniform(0.5, 1.5)

    def _strangers(self) -> list[str]:
        """Returns contacts that are not known as live."""
        members = self._table.members
        live = {members[name].peer_address for name in self._table.live}
        return sorted(self._listed - live)

    def _start_sync(self, now: float) -> list[Datagram]:
        strangers = self._strangers()
        others = [
            self._table.members[name].peer_address
            for name in self._pick(1, self._name)
        ]
        addresses = others
        if not others:
            count = min(_JOIN_CONTACTS, len(strangers))
            addresses = self._rng.sample(strangers, count)
        elif strangers and self._rng.random() < 0.5:
            addresses = [self._rng.choice(strangers)]
        sent: list[Datagram] = []
        for address in addresses:
            sent += self._send_to(
                datagrams.Kind.SYNC,
                address,
                now,
                buckets=self._table.digests(self._bucket_count()),
                rumour_digest=self._riders.digest(),
            )
        return sent

    def _bucket_count(self) -> int:
        count = 1
        while count < member_table.BUCKETS and count * 4 < len(self.members):
            count *= 2
        return count

    def _answer_sync(
        self, packet: datagrams.Packet, source: str, now: float
    ) -> list[Datagram]:
        names = list(self._table.differing(packet.buckets))
        same = packet.rumour_digest == self._riders.digest()
        if not names and same:
            return []
        self._rng.shuffle(names)
        # Tables that differ are compared again soon.
        soon = now + self._timing.period_s
        self._next_sync = min(self._next_sync, soon)
        # The third message of an exchange carries no digests and ends it.
        last = packet.kind == datagrams.Kind.ENTRIES
        count = len(packet.buckets) // 4
        return self._send_to(
            datagrams.Kind.ENTRIES,
            source,
            now,
            buckets=b"" if last else self._table.digests(count),
            rumour_digest=self._riders.digest(),
            names=names,
            sample=not same,
        )

    # Messages.

    def _answer(
        self, packet: datagrams.Packet, source: str, now: float
    ) -> list[Datagram]:
        kind = packet.kind
        names = self._objections(packet.sender)
        if kind == datagrams.Kind.PING:
            return self._send_to(
                datagrams.Kind.ACK,
                source,
                now,
                sequence=packet.sequence,
                names=names,
            )
        if kind == datagrams.Kind.ACK:
            sent = self._acknowledged(packet, now)
            return sent + self._object(names, source, now)
        if kind == datagrams.Kind.PING_REQUEST:
            return self._probe_for(packet, source, now)
        if kind == datagrams.Kind.SYNC or (
            kind == datagrams.Kind.ENTRIES and packet.buckets
        ):
            return self._answer_sync(packet, source, now)
        return []

    def _objections(self, sender: datagrams.Entry) -> list[str]:
        """Returns the sender's name when it must refute what is known."""
        known = self._table.members.get(sender.name)
        if known is None:
            return [sender.name]
        claim = sender.revision, sender.incarnation
        held = known.revision, known.incarnation
        if known.state is State.ALIVE and claim == held:
            return []
        return [sender.name]

    def _object(
        self, names: Sequence[str], source: str, now: float
    ) -> list[Datagram]:
        if not names:
            return []
        return self._send_to(datagrams.Kind.ANNOUNCE, source, now, names=names)

    def _acknowledged(
        self, packet: datagrams.Packet, now: float
    ) -> list[Datagram]:
        if packet.sequence > self._doubt_from:
            self._doubt_until = 0.0
        probe = self._probe
        if probe is not None and probe.sequence == packet.sequence:
            self._probe = None
        relay = self._relays.pop(packet.sequence, None)
        if relay is None:
            return []
        return self._send_to(
            datagrams.Kind.ACK, relay.address, now, sequence=relay.sequence
        )

    def _probe_for(
        self, packet: datagrams.Packet, source: str, now: float
    ) -> list[Datagram]:
        if packet.subject not in self._table.members:
            return []
        self._sequence += 1
        self._relays[self._sequence] = _Relay(
            source, packet.sequence, now + _RELAY_LIFETIME_S
        )
        return self._send(
            datagrams.Kind.PING, packet.subject, now, sequence=self._sequence
        )

    def _become(self, state: State, now: float) -> list[Datagram]:
        self._now = now
        me = self.me
        self._put(me._replace(state=state, revision=me.revision + 1), now)
        return self.announce(now)

    def _send(
        self,
        kind: datagrams.Kind,
        name: str,
        now: float,
        sequence: int = 0,
        subject: str = "",
    ) -> list[Datagram]:
        member = self._table.members[name]
        # Whoever is not seen as alive must hear of it to refute it.
        names = [] if member.state is State.ALIVE else [name]
        return self._send_to(
            kind,
            member.peer_address,
            now,
            sequence=sequence,
            subject=subject,
            names=names,
        )

    def _send_to(
        self,
        kind: datagrams.Kind,
        address: str,
        now: float,
        sequence: int = 0,
        subject: str = "",
        buckets: bytes = b"",
        rumour_digest: int = 0,
        names: Sequence[str] = (),
        sample: bool = False,
    ) -> list[Datagram]:
        packet = datagrams.Packet(
            datagrams.WIRE_VERSION,
            int(kind),
            sequence,
            _entry(self.me),
            self._version,
            bytes.fromhex(self._digest),
            subject,
            buckets,
            rumour_digest,
        )
        size = len(datagrams.encode(packet)) + datagrams.HEADER_BYTES
        purpose = _PURPOSES[kind]
        if size > self._budget.room(purpose, now):
            self._budget.spend(purpose, size, now)
            return []
        room = self._timing.packet_bytes - size
        # What rides along must not take the bytes of the next probes.
        rides = max(purpose, budget.Kind.UPDATE)
        room = min(room, self._budget.room(rides, now) - size)
        packet = self._fill(packet, names, sample, room, now)
        data = datagrams.encode(packet)
        self._budget.spend(purpose, len(data) + datagrams.HEADER_BYTES, now)
        return [Datagram(address, data)]

    def _fill(
        self,
        packet: datagrams.Packet,
        names: Sequence[str],
        sample: bool,
        room: int,
        now: float,
    ) -> datagrams.Packet:
        entries: list[datagrams.Entry] = []
        shorts: list[datagrams.Short] = []
        share = room // _SHARE_OF_RUMOURS if names or self._unsent else room
        fleet = len(self._table.live)
        if sample:
            items = self._riders.sample(share, now)
        else:
            items = self._riders.take(share, now, fleet)
        free = room - rumours.size(items)
        for name in names:
            free -= self._add(name, entries, shorts, free)
        for name in sorted(self._unsent, key=self._unsent.__getitem__):
            if free < _SHORT_OVERHEAD_BYTES:
                break
            used = 0
            if name not in names:
                used = self._add(name, entries, shorts, free)
            if used:
                free -= used
                self._count_sent(name)
        return packet._replace(entries=entries, shorts=shorts, items=items)

    def _add(
        self,
        name: str,
        entries: list[datagrams.Entry],
        shorts: list[datagrams.Short],
        free: int,
    ) -> int:
        member = self._table.members[name]
        entry = _entry(member)
        if member.state in (State.ALIVE, State.LEAVING):
            size = len(name) + len(entry.zone) + _ENTRY_OVERHEAD_BYTES
            if size > free:
                return 0
            entries.append(entry)
            return size
        size = len(name) + _SHORT_OVERHEAD_BYTES
        if size > free:
            return 0
        shorts.append(datagrams.Short(*entry[:4]))
        return size

    def _count_sent(self, name: str) -> None:
        self._unsent[name] += 1
        if self._unsent[name] >= self._spread():
            del self._unsent[name]

    def _spread(self) -> int:
        """Returns how often a change is sent on."""
        return max(3, math.ceil(math.log2(len(self._table.live) + 1)))

    # Statements on members.

    def _merge(self, packet: datagrams.Packet, now: float) -> bool:
        sender = _member(packet.sender)
        self._take(sender, now)
        self._note_configuration(packet)
        for entry in packet.entries:
            self._take(_member(entry), now)
        for short in packet.shorts:
            known = self._table.members.get(short.name)
            if known is not None:
                self._take_short(known, short, now)
        return self._riders.merge(packet.items, now)

    def _note_configuration(self, packet: datagrams.Packet) -> None:
        name = packet.sender.name
        known = self._table.members.get(name)
        if known is None or known.incarnation != packet.sender.incarnation:
            return
        if self._table.note_configuration(
            name, packet.version, packet.digest.hex()
        ):
            self._news.add(name)

    def _take_short(
        self, known: Member, short: datagrams.Short, now: float
    ) -> None:
        self._take(
            known._replace(
                incarnation=short.incarnation,
                revision=short.revision,
                state=_state(short.state),
            ),
            now,
        )

    def _take(self, member: Member, now: float) -> None:
        if member.name == self._name:
            self._refute(member, now)
            return
        known = self._table.members.get(member.name)
        if known is None:
            if not member_table.is_live(member):
                return
        elif member_table.order(member) <= member_table.order(known):
            return
        elif known.incarnation == member.incarnation:
            member = member._replace(
                config_version=known.config_version,
                config_digest=known.config_digest,
            )
        self._put(member, now)

    def _refute(self, member: Member, now: float) -> None:
        me = self.me
        same = member.incarnation == me.incarnation
        if same and member_table.order(member) <= member_table.order(me):
            return
        if not same and member.revision < me.revision:
            return
        revision = max(member.revision, me.revision) + 1
        self._put(me._replace(revision=revision), now)

    def _put(self, member: Member, now: float) -> None:
        name = member.name
        self._table.put(member, now)
        self._unsent[name] = 0
        if member.state is State.SUSPECT:
            self._suspected.setdefault(name, now + self._suspicion_s())
        else:
            self._suspected.pop(name, None)


_PURPOSES = {
    datagrams.Kind.PING: budget.Kind.PING,
    datagrams.Kind.ACK: budget.Kind.ACK,
    datagrams.Kind.PING_REQUEST: budget.Kind.PING_REQUEST,
    datagrams.Kind.SYNC: budget.Kind.SYNC,
    datagrams.Kind.ENTRIES: budget.Kind.ENTRIES,
    datagrams.Kind.ANNOUNCE: budget.Kind.LEAVE,
}


def _state(number: int) -> State:
    if not 0 <= number < len(member_table.STATES):
        raise errors.PeerError(f"state {number} of a member")
    return member_table.STATES[number]


def _entry(member: Member) -> datagrams.Entry:
    return datagrams.Entry(
        member.name,
        member.incarnation,
        member.revision,
        member_table.STATES.index(member.state),
        datagrams.pack_address(member.public_address),
        datagrams.pack_address(member.peer_address),
        member.zone,
    )


def _member(entry: datagrams.Entry) -> Member:
    return Member(
        entry.name,
        entry.incarnation,
        datagrams.unpack_address(entry.public),
        datagrams.unpack_address(entry.peer),
        entry.zone,
        _state(entry.state),
        entry.revision,
    )
