"""Fleet membership: failure detection, suspicion and dissemination.

The protocol follows SWIM. In each period a member probes one other member,
first directly and then through relays. A member that does not answer is
suspected, and declared dead if it does not refute the suspicion in time.
Updates are piggybacked on the probes. Periodically two members compare digests
of their tables and exchange the entries that differ (anti-entropy), which
heals partitions and fills the table of a joining member. The cost for a member
does not depend on the size of the fleet.
"""

from collections.abc import Iterable, Mapping, Sequence
import math
import random
from typing import NamedTuple

from nutmegpost_core import budget
from nutmegpost_core import datagrams
from nutmegpost_core import dissemination
from nutmegpost_core import errors
from nutmegpost_core import member_table

__all__ = [
    "Change",
    "Datagram",
    "LoadSample",
    "Member",
    "Membership",
    "State",
    "Timing",
]

Change = member_table.Change
Member = member_table.Member
State = member_table.State

_ENTRY_OVERHEAD_BYTES = 40
_STATE_UPDATE_OVERHEAD_BYTES = 14
# Size of the capacity of an entry.
_CAPACITY_BYTES = 3
_RELAY_LIFETIME_S = 5.0
# Disseminated items get this fraction of the free bytes of a datagram when
# updates of members are pending too.
_ITEM_SHARE_DIVISOR = 2
# A joining router contacts several routers at once, since some may be down.
_JOIN_CONTACTS = 3


class Timing(NamedTuple):
    """Intervals, timeouts and limits of the protocol.

    Attributes:
        period_s: Seconds between two probes.
        ack_timeout_s: Seconds until an unanswered direct probe is retried
            through relays.
        suspicion_s: Seconds from suspicion to death in a fleet of ten; grows
            with the logarithm of the fleet size.
        sync_s: Mean seconds between two anti-entropy exchanges.
        join_s: Seconds between two exchanges while no other member is known.
        stale_max_s: Longest time, in seconds, for which a process that was
            paused declares no member dead.
        departed_retention_s: Seconds for which a departed member that is not in
            the VM list is retained.
        relays: Number of members that probe the target on behalf of this one
            after `ack_timeout_s`.
        packet_bytes: Size up to which a datagram is filled.
    """

    period_s: float = 1.0
    ack_timeout_s: float = 0.35
    suspicion_s: float = 2.5
    sync_s: float = 3.0
    join_s: float = 0.25
    stale_max_s: float = 15.0
    departed_retention_s: float = 600.0
    relays: int = 2
    packet_bytes: int = 1_100


class Datagram(NamedTuple):
    """A datagram to send, without its MAC.

    Attributes:
        address: Peer address of the destination.
        data: The encoded packet.
    """

    address: str
    data: bytes


class LoadSample(NamedTuple):
    """What a member said of its load.

    Attributes:
        load: What it spends, thousandths of a core.
        at: Monotonic time at which it was received, seconds.
    """

    load: int
    at: float


class _Probe(NamedTuple):
    """The probe of this period that awaits an acknowledgement."""

    name: str
    sequence: int
    sent: float
    relayed: bool


class _Relay(NamedTuple):
    """A probe on behalf of another member, to which the ACK is forwarded.

    Attributes:
        address: Peer address of the requesting member.
        sequence: Sequence number of the requesting member's probe.
        expires: Monotonic time after which the probe is dropped, seconds.
    """

    address: str
    sequence: int
    expires: float


class Membership:
    """The view that one router has of the fleet."""

    def __init__(
        self,
        local_member: Member,
        rng: random.Random,
        timing: Timing | None = None,
        disseminator: dissemination.Disseminator | None = None,
        traffic_budget: budget.Budget | None = None,
    ):
        """Creates a view that contains only this router.

        Args:
            local_member: This router.
            rng: Source of randomness.
            timing: Intervals and limits of the protocol.
            disseminator: Items that are piggybacked on the datagrams.
            traffic_budget: Byte budget that bounds all datagrams.
        """
        self._rng = rng
        self._timing = timing or Timing()
        # An empty disseminator is falsy, so it is compared to None.
        self._disseminator = (
            dissemination.Disseminator(rng)
            if disseminator is None
            else disseminator
        )
        self._traffic_budget = traffic_budget or budget.Budget()
        self._name = local_member.name
        self._table = member_table.MemberTable(local_member)
        self._contacts: set[str] = set()
        self._pending_updates: dict[str, int] = {}
        self._suspicion_deadlines: dict[str, float] = {}
        self._probe: _Probe | None = None
        self._relays: dict[int, _Relay] = {}
        self._probe_order: list[str] = []
        self._sequence = rng.getrandbits(24)
        self._next_period = 0.0
        self._next_sync = 0.0
        self._stale_until = 0.0
        self._stale_sequence = 0
        self._now = 0.0
        self._reconfigured: set[str] = set()
        self._config_version = local_member.config_version
        self._config_digest = local_member.config_digest
        self._load = 0
        self._loads: dict[str, LoadSample] = {}
        # The members in `alive`, what they were computed from, and the time
        # from which a hold-down that ends may add one.
        self._alive: list[str] = []
        self._alive_version = -1
        self._alive_from = 0.0
        self._alive_until = 0.0
        self._view_version = 0

    @property
    def local(self) -> Member:
        """This router as it describes itself to others."""
        return self._table.members[self._name]

    @property
    def members(self) -> Mapping[str, Member]:
        """All members by name, including this one and departed ones."""
        return self._table.members

    @property
    def alive(self) -> list[str]:
        """Sorted names of the routers that may take work.

        Includes suspects until they are declared dead. Excludes leaving
        members, and flapping members during their hold-down time.
        """
        self._refresh_alive()
        return list(self._alive)

    @property
    def view_version(self) -> int:
        """Number that rises when `members` or `alive` change.

        Changes of the configuration that a member reports do not count.
        """
        self._refresh_alive()
        return self._view_version

    @property
    def reachable(self) -> list[str]:
        """Sorted names of the routers in `alive` that are not suspected."""
        members = self._table.members
        return [
            name for name in self.alive if members[name].state is State.ALIVE
        ]

    @property
    def loads(self) -> Mapping[str, LoadSample]:
        """What the peers that announce a capacity last said of their loads.

        A peer says it in each datagram that it sends to this router.
        """
        return self._loads

    @property
    def traffic_budget(self) -> budget.Budget:
        """The byte budget of control traffic."""
        return self._traffic_budget

    @property
    def is_stale(self) -> bool:
        """Whether this view may be out of date after a process pause."""
        return self._now < self._stale_until

    def changes(self) -> list[Change]:
        """Returns the changes of state since the last call."""
        return self._table.changes()

    def changed_configurations(self) -> list[Member]:
        """Returns members whose configuration changed since the last call."""
        names, self._reconfigured = self._reconfigured, set()
        members = self._table.members
        return [members[name] for name in sorted(names) if name in members]

    def set_configuration(self, version: int, digest: str) -> None:
        """Sets the configuration to report in every message.

        Args:
            version: Version of the configuration in force here.
            digest: Digest of that configuration, hexadecimal.
        """
        self._config_version = version
        self._config_digest = digest
        self._table.record_configuration(self._name, version, digest)

    def set_load(self, load: int) -> None:
        """Sets the load to report, thousandths of a core."""
        self._load = load

    def seed(self, addresses: Sequence[str]) -> None:
        """Sets the contacts: the peer addresses of routers in the VM list.

        They are contacted at startup and after a partition. Departed members
        outside the list are removed after their retention. Malformed addresses
        are ignored.
        """
        usable = {text for text in addresses if datagrams.is_address(text)}
        self._contacts = usable - {self.local.peer_address}
        if self._unknown_contacts() and len(self._table.live) == 1:
            # A router that knows no other member joins at once.
            self._next_sync = min(self._next_sync, self._now)

    def add_members(self, members: Iterable[Member], now: float) -> None:
        """Adds members from the snapshot of another router.

        The fleet already knows them, so they are not disseminated.
        """
        for member in members:
            self._apply_update(member, now)
            if member.name != self._name:
                self._pending_updates.pop(member.name, None)

    def tick(self, now: float) -> list[Datagram]:
        """Runs the periodic work that is due; call several times a period.

        Args:
            now: Monotonic time in seconds.

        Returns:
            Datagrams to send at once; they are within the byte budget.
        """
        self._now = now
        self._disseminator.tick(now)
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
        """Handles a datagram whose MAC was verified.

        Args:
            data: The datagram without its MAC.
            source: Address of the sender.
            now: Monotonic time in seconds.

        Returns:
            Datagrams to send at once.

        Raises:
            errors.PeerError: It is not a datagram of this protocol.
        """
        self._now = now
        packet = datagrams.decode(data)
        if packet.sender.name == self._name:
            self._refute(_decode_member(packet.sender), now)
            return []
        revision = self.local.revision
        urgent = self._merge_packet(packet, now)
        # A router that refuted an update gets no work until others learn of
        # the refutation.
        urgent = urgent or self.local.revision != revision
        sent = self._reply(packet, source, now)
        return sent + self.announce(now) if urgent else sent

    def announce_leaving(self, now: float) -> list[Datagram]:
        """Announces that this router takes no new work."""
        return self._set_own_state(State.LEAVING, now)

    def announce_left(self, now: float) -> list[Datagram]:
        """Announces that this router stops now."""
        return self._set_own_state(State.LEFT, now)

    def announce(self, now: float) -> list[Datagram]:
        """Sends pending updates to some members without waiting for a probe.

        Urgent updates, which each receiver announces in turn, reach the whole
        fleet within a few round trips.
        """
        sent: list[Datagram] = []
        for name in self._sample_members(self._transmit_limit(), self._name):
            sent += self._send_to_member(datagrams.Kind.ANNOUNCE, name, now)
        return sent

    def handle_pause(self, now: float, gap_s: float) -> None:
        """Discards state that a pause of this process made unreliable.

        Running probes are dropped and suspicion timeouts restart. No member is
        declared dead until another one acknowledges a new probe or
        `stale_max_s` elapses.

        Args:
            now: Monotonic time in seconds, after the pause.
            gap_s: Length of the pause in seconds.
        """
        self._now = now
        self._probe = None
        self._relays.clear()
        self._next_period = now
        self._next_sync = now
        self._stale_until = now + self._timing.stale_max_s
        self._stale_sequence = self._sequence
        for name in self._suspicion_deadlines:
            self._suspicion_deadlines[name] = now + max(
                self._suspicion_s(), min(gap_s, self._timing.stale_max_s)
            )

    def _refresh_alive(self) -> None:
        """Computes the members that may take work if they may have changed.

        In a large fleet this takes long compared to the other work of a tick.
        """
        if (
            self._alive_version == self._table.version
            and self._alive_from <= self._now < self._alive_until
        ):
            return
        names = []
        self._alive_until = math.inf
        for name in self._table.live:
            if self._table.is_leaving(name):
                continue
            held_until = self._table.hold_down_until(name)
            if name == self._name or held_until <= self._now:
                names.append(name)
            else:
                self._alive_until = min(self._alive_until, held_until)
        if names != self._alive or self._alive_version != self._table.version:
            self._view_version += 1
        self._alive = names
        self._alive_version = self._table.version
        self._alive_from = self._now

    # Failure detection

    def _start_probe(self, now: float) -> list[Datagram]:
        name = self._next_target()
        if name is None:
            return []
        self._sequence += 1
        sent = self._send_to_member(
            datagrams.Kind.PING, name, now, sequence=self._sequence
        )
        # A probe that exceeds the budget is not sent, so a missing answer
        # says nothing about its target.
        if sent:
            self._probe = _Probe(name, self._sequence, now, False)
        return sent

    def _next_target(self) -> str | None:
        while self._probe_order:
            name = self._probe_order.pop()
            member = self._table.members.get(name)
            if member is not None and member_table.is_live(member):
                return name
        self._probe_order = [
            name for name in self._table.live if name != self._name
        ]
        self._rng.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else None

    def _continue_probe(self, probe: _Probe, now: float) -> list[Datagram]:
        age = now - probe.sent
        if age >= self._timing.period_s:
            self._probe = None
            return self._suspect(probe.name, now)
        if probe.relayed or age < self._timing.ack_timeout_s:
            return []
        self._probe = probe._replace(relayed=True)
        sent: list[Datagram] = []
        for relay in self._sample_members(self._timing.relays, probe.name):
            sent += self._send_to_member(
                datagrams.Kind.PING_REQUEST,
                relay,
                now,
                sequence=probe.sequence,
                subject=probe.name,
            )
        return sent

    def _sample_members(self, count: int, excluded: str) -> list[str]:
        names = [
            name
            for name in self._rng.sample(
                self._table.live, min(count + 2, len(self._table.live))
            )
            if name not in (excluded, self._name)
        ]
        return names[:count]

    def _suspect(self, name: str, now: float) -> list[Datagram]:
        member = self._table.members.get(name)
        if member is None or not member_table.is_live(member):
            return []
        sent: list[Datagram] = []
        if member.state is not State.SUSPECT:
            self._store(member._replace(state=State.SUSPECT), now)
            sent = self.announce(now)
        # The suspect is notified at once so that it can refute the suspicion.
        return self._send_to_member(datagrams.Kind.PING, name, now) + sent

    def _expire(self, now: float) -> None:
        if not self.is_stale:
            for name, deadline in list(self._suspicion_deadlines.items()):
                if deadline <= now:
                    member = self._table.members[name]
                    self._store(member._replace(state=State.DEAD), now)
        for sequence, relay in list(self._relays.items()):
            if relay.expires <= now:
                del self._relays[sequence]
        self._table.remove_departed(
            now - self._timing.departed_retention_s, self._contacts
        )
        if len(self._loads) >= len(self._table.members):
            members = self._table.members
            self._loads = {
                name: sample
                for name, sample in self._loads.items()
                if name in members
            }

    def _suspicion_s(self) -> float:
        fleet_size = max(10, len(self._table.live))
        return self._timing.suspicion_s * math.log10(fleet_size)

    # Anti-entropy

    def _sync_delay(self) -> float:
        if self._unknown_contacts() and len(self._table.live) == 1:
            return self._timing.join_s
        return self._timing.sync_s * self._rng.uniform(0.5, 1.5)

    def _unknown_contacts(self) -> list[str]:
        """Returns the contacts that belong to no live member."""
        members = self._table.members
        live = {members[name].peer_address for name in self._table.live}
        return sorted(self._contacts - live)

    def _start_sync(self, now: float) -> list[Datagram]:
        unknown_addresses = self._unknown_contacts()
        others = [
            self._table.members[name].peer_address
            for name in self._sample_members(1, self._name)
        ]
        addresses = others
        if not others:
            count = min(_JOIN_CONTACTS, len(unknown_addresses))
            addresses = self._rng.sample(unknown_addresses, count)
        elif unknown_addresses and self._rng.random() < 0.5:
            addresses = [self._rng.choice(unknown_addresses)]
        sent: list[Datagram] = []
        for address in addresses:
            sent += self._send_to_address(
                datagrams.Kind.SYNC,
                address,
                now,
                bucket_digests=self._table.digests(self._bucket_count()),
                item_digest=self._disseminator.digest(),
            )
        return sent

    def _bucket_count(self) -> int:
        count = 1
        while count < member_table.BUCKETS and count * 4 < len(self.members):
            count *= 2
        return count

    def _reply_sync(
        self, packet: datagrams.Packet, source: str, now: float
    ) -> list[Datagram]:
        names = list(self._table.differing_members(packet.bucket_digests))
        items_match = packet.item_digest == self._disseminator.digest()
        if not names and items_match:
            return []
        self._rng.shuffle(names)
        # Differing tables are compared again soon, since one exchange may not
        # carry all differences.
        soon = now + self._timing.period_s
        self._next_sync = min(self._next_sync, soon)
        # The third message of an exchange carries no digests and ends it.
        is_last = packet.kind == datagrams.Kind.ENTRIES
        count = len(packet.bucket_digests) // 4
        return self._send_to_address(
            datagrams.Kind.ENTRIES,
            source,
            now,
            bucket_digests=b"" if is_last else self._table.digests(count),
            item_digest=self._disseminator.digest(),
            names=names,
            sample_items=not items_match,
        )

    # Messages

    def _reply(
        self, packet: datagrams.Packet, source: str, now: float
    ) -> list[Datagram]:
        kind = packet.kind
        names = self._members_to_refute(packet.sender)
        if kind == datagrams.Kind.PING:
            return self._send_to_address(
                datagrams.Kind.ACK,
                source,
                now,
                sequence=packet.sequence,
                names=names,
            )
        if kind == datagrams.Kind.ACK:
            sent = self._handle_ack(packet, now)
            return sent + self._request_refutation(names, source, now)
        if kind == datagrams.Kind.PING_REQUEST:
            return self._relay_probe(packet, source, now)
        if kind == datagrams.Kind.SYNC or (
            kind == datagrams.Kind.ENTRIES and packet.bucket_digests
        ):
            return self._reply_sync(packet, source, now)
        return []

    def _members_to_refute(self, sender: datagrams.Entry) -> list[str]:
        """Returns the sender's name if it must refute the local entry."""
        known = self._table.members.get(sender.name)
        if known is None:
            return [sender.name]
        claimed_version = sender.revision, sender.incarnation
        known_version = known.revision, known.incarnation
        if known.state is State.ALIVE and claimed_version == known_version:
            return []
        return [sender.name]

    def _request_refutation(
        self, names: Sequence[str], source: str, now: float
    ) -> list[Datagram]:
        if not names:
            return []
        return self._send_to_address(
            datagrams.Kind.ANNOUNCE, source, now, names=names
        )

    def _handle_ack(
        self, packet: datagrams.Packet, now: float
    ) -> list[Datagram]:
        if packet.sequence > self._stale_sequence:
            self._stale_until = 0.0
        probe = self._probe
        if probe is not None and probe.sequence == packet.sequence:
            self._probe = None
        relay = self._relays.pop(packet.sequence, None)
        if relay is None:
            return []
        return self._send_to_address(
            datagrams.Kind.ACK, relay.address, now, sequence=relay.sequence
        )

    def _relay_probe(
        self, packet: datagrams.Packet, source: str, now: float
    ) -> list[Datagram]:
        if packet.subject not in self._table.members:
            return []
        self._sequence += 1
        self._relays[self._sequence] = _Relay(
            source, packet.sequence, now + _RELAY_LIFETIME_S
        )
        return self._send_to_member(
            datagrams.Kind.PING, packet.subject, now, sequence=self._sequence
        )

    def _set_own_state(self, state: State, now: float) -> list[Datagram]:
        self._now = now
        local_member = self.local
        self._store(
            local_member._replace(
                state=state, revision=local_member.revision + 1
            ),
            now,
        )
        return self.announce(now)

    def _send_to_member(
        self,
        kind: datagrams.Kind,
        name: str,
        now: float,
        sequence: int = 0,
        subject: str = "",
    ) -> list[Datagram]:
        member = self._table.members[name]
        # A member that is not seen as alive needs its entry to refute it.
        names = [] if member.state is State.ALIVE else [name]
        return self._send_to_address(
            kind,
            member.peer_address,
            now,
            sequence=sequence,
            subject=subject,
            names=names,
        )

    def _send_to_address(
        self,
        kind: datagrams.Kind,
        address: str,
        now: float,
        sequence: int = 0,
        subject: str = "",
        bucket_digests: bytes = b"",
        item_digest: int = 0,
        names: Sequence[str] = (),
        sample_items: bool = False,
    ) -> list[Datagram]:
        packet = datagrams.Packet(
            datagrams.WIRE_VERSION,
            int(kind),
            sequence,
            _encode_member(self.local),
            self._config_version,
            bytes.fromhex(self._config_digest),
            subject,
            bucket_digests,
            item_digest,
            capacity=self.local.capacity,
            load=self._load if self.local.capacity else 0,
        )
        size = len(datagrams.encode(packet)) + datagrams.HEADER_BYTES
        budget_kind = _BUDGET_KINDS[kind]
        if size > self._traffic_budget.available_bytes(budget_kind, now):
            self._traffic_budget.spend(budget_kind, size, now)
            return []
        free_bytes = self._timing.packet_bytes - size
        # Piggybacked updates must not use up the bytes of the next probes.
        piggyback_kind = max(budget_kind, budget.Kind.UPDATE)
        free_bytes = min(
            free_bytes,
            self._traffic_budget.available_bytes(piggyback_kind, now) - size,
        )
        packet = self._piggyback(packet, names, sample_items, free_bytes, now)
        data = datagrams.encode(packet)
        self._traffic_budget.spend(
            budget_kind, len(data) + datagrams.HEADER_BYTES, now
        )
        return [Datagram(address, data)]

    def _piggyback(
        self,
        packet: datagrams.Packet,
        names: Sequence[str],
        sample_items: bool,
        free_bytes: int,
        now: float,
    ) -> datagrams.Packet:
        entries: list[datagrams.Entry] = []
        state_updates: list[datagrams.StateUpdate] = []
        item_bytes = (
            free_bytes // _ITEM_SHARE_DIVISOR
            if names or self._pending_updates
            else free_bytes
        )
        fleet_size = len(self._table.live)
        if sample_items:
            items = self._disseminator.sample(item_bytes, now)
        else:
            items = self._disseminator.next_items(item_bytes, now, fleet_size)
        remaining_bytes = free_bytes - dissemination.size_bound(items)
        for name in names:
            remaining_bytes -= self._append_member(
                name, entries, state_updates, remaining_bytes
            )
        for name in sorted(
            self._pending_updates, key=self._pending_updates.__getitem__
        ):
            if remaining_bytes < _STATE_UPDATE_OVERHEAD_BYTES:
                break
            used_bytes = 0
            if name not in names:
                used_bytes = self._append_member(
                    name, entries, state_updates, remaining_bytes
                )
            if used_bytes:
                remaining_bytes -= used_bytes
                self._count_sent(name)
        members = self._table.members
        capacities = [members[entry.name].capacity for entry in entries]
        return packet._replace(
            entries=entries,
            state_updates=state_updates,
            items=items,
            entry_capacities=capacities if any(capacities) else [],
        )

    def _append_member(
        self,
        name: str,
        entries: list[datagrams.Entry],
        state_updates: list[datagrams.StateUpdate],
        remaining_bytes: int,
    ) -> int:
        member = self._table.members[name]
        entry = _encode_member(member)
        if member.state in (State.ALIVE, State.LEAVING):
            size = len(name) + len(entry.zone) + _ENTRY_OVERHEAD_BYTES
            if member.capacity:
                size += _CAPACITY_BYTES
            if size > remaining_bytes:
                return 0
            entries.append(entry)
            return size
        size = len(name) + _STATE_UPDATE_OVERHEAD_BYTES
        if size > remaining_bytes:
            return 0
        state_updates.append(datagrams.StateUpdate(*entry[:4]))
        return size

    def _count_sent(self, name: str) -> None:
        self._pending_updates[name] += 1
        if self._pending_updates[name] >= self._transmit_limit():
            del self._pending_updates[name]

    def _transmit_limit(self) -> int:
        """Returns how many times an update is sent."""
        return max(3, math.ceil(math.log2(len(self._table.live) + 1)))

    # Updates of members

    def _merge_packet(self, packet: datagrams.Packet, now: float) -> bool:
        sender = _decode_member(packet.sender)
        self._apply_update(sender, now)
        self._record_configuration(packet)
        for entry in packet.entries:
            self._apply_update(_decode_member(entry), now)
        self._record_capacities(packet, now)
        for update in packet.state_updates:
            known = self._table.members.get(update.name)
            if known is not None:
                self._apply_state_update(known, update, now)
        return self._disseminator.merge(packet.items, now)

    def _record_capacities(self, packet: datagrams.Packet, now: float) -> None:
        """Records the load of the sender, and the capacities that it knows.

        Builds that know none send no capacities.
        """
        if packet.capacity > 0:
            self._record_capacity(packet.sender, packet.capacity)
            self._loads[packet.sender.name] = LoadSample(
                max(0, packet.load), now
            )
        for entry, capacity in zip(
            packet.entries, packet.entry_capacities, strict=False
        ):
            self._record_capacity(entry, capacity)

    def _record_capacity(self, entry: datagrams.Entry, capacity: int) -> None:
        known = self._table.members.get(entry.name)
        if (
            known is not None
            and known.incarnation == entry.incarnation
            and entry.name != self._name
            and capacity > 0
        ):
            self._table.record_capacity(entry.name, capacity)

    def _record_configuration(self, packet: datagrams.Packet) -> None:
        name = packet.sender.name
        known = self._table.members.get(name)
        if known is None or known.incarnation != packet.sender.incarnation:
            return
        if self._table.record_configuration(
            name, packet.config_version, packet.config_digest.hex()
        ):
            self._reconfigured.add(name)

    def _apply_state_update(
        self, known: Member, update: datagrams.StateUpdate, now: float
    ) -> None:
        self._apply_update(
            known._replace(
                incarnation=update.incarnation,
                revision=update.revision,
                state=_decode_state(update.state),
            ),
            now,
        )

    def _apply_update(self, member: Member, now: float) -> None:
        if member.name == self._name:
            self._refute(member, now)
            return
        known = self._table.members.get(member.name)
        if known is None:
            if not member_table.is_live(member):
                return
        elif member_table.precedence(member) <= member_table.precedence(known):
            return
        elif known.incarnation == member.incarnation:
            member = member._replace(
                config_version=known.config_version,
                config_digest=known.config_digest,
                capacity=known.capacity,
            )
        self._store(member, now)

    def _refute(self, member: Member, now: float) -> None:
        local_member = self.local
        same_process = member.incarnation == local_member.incarnation
        if same_process and member_table.precedence(
            member
        ) <= member_table.precedence(local_member):
            return
        if not same_process and member.revision < local_member.revision:
            return
        revision = max(member.revision, local_member.revision) + 1
        self._store(local_member._replace(revision=revision), now)

    def _store(self, member: Member, now: float) -> None:
        name = member.name
        self._table.put(member, now)
        self._pending_updates[name] = 0
        if member.state is State.SUSPECT:
            self._suspicion_deadlines.setdefault(
                name, now + self._suspicion_s()
            )
        else:
            self._suspicion_deadlines.pop(name, None)


_BUDGET_KINDS = {
    datagrams.Kind.PING: budget.Kind.PING,
    datagrams.Kind.ACK: budget.Kind.ACK,
    datagrams.Kind.PING_REQUEST: budget.Kind.PING_REQUEST,
    datagrams.Kind.SYNC: budget.Kind.SYNC,
    datagrams.Kind.ENTRIES: budget.Kind.ENTRIES,
    datagrams.Kind.ANNOUNCE: budget.Kind.LEAVE,
}


def _decode_state(number: int) -> State:
    if not 0 <= number < len(member_table.STATES):
        raise errors.PeerError(f"state {number} of a member is unknown")
    return member_table.STATES[number]


def _encode_member(member: Member) -> datagrams.Entry:
    return datagrams.Entry(
        member.name,
        member.incarnation,
        member.revision,
        member_table.STATES.index(member.state),
        datagrams.pack_address(member.public_address),
        datagrams.pack_address(member.peer_address),
        member.zone,
    )


def _decode_member(entry: datagrams.Entry) -> Member:
    return Member(
        entry.name,
        entry.incarnation,
        datagrams.unpack_address(entry.public_address),
        datagrams.unpack_address(entry.peer_address),
        entry.zone,
        _decode_state(entry.state),
        entry.revision,
    )
