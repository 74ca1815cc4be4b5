"""The task that owns the UDP socket of membership and gossip.

It drives the protocol of `nutmegpost_core.membership`. The task receives
commands in one queue and puts notices for the router into another. Each
datagram ends with a MAC under the peer key.
"""

import asyncio
from collections.abc import Callable, Sequence
import hmac
import math
import time
from typing import NamedTuple

from nutmegpost_core import datagrams
from nutmegpost_core import dissemination
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import membership
from nutmegpost_core import vms
from nutmegpost_router import log
from nutmegpost_router import settings
from nutmegpost_router import ticks

__all__ = [
    "AddMembers",
    "Command",
    "Counts",
    "Gossip",
    "ItemReceived",
    "Leave",
    "MemberChanged",
    "Notice",
    "Paused",
    "PeerConfiguration",
    "Publish",
    "Seed",
    "SetConfiguration",
    "Stop",
]

_TICK_S = 0.2
_PAUSE_MIN_S = 1.0
_INBOX_MAX = 2_000
_MAC_PURPOSE = b"nutmegpost datagram"


class Seed(NamedTuple):
    """Sets the addresses of the peers to join the membership through.

    Attributes:
        addresses: Peer addresses of the routers in the VM list.
    """

    addresses: Sequence[str]


class AddMembers(NamedTuple):
    """Adds members from the snapshot of a peer."""

    members: Sequence[membership.Member]


class SetConfiguration(NamedTuple):
    """Sets the configuration in force here, which datagrams announce."""

    version: int
    digest: str


class Publish(NamedTuple):
    """Publishes an item; see `dissemination.Disseminator.publish`."""

    kind: int
    key: bytes
    payload: bytes
    lifetime_s: float


class Leave(NamedTuple):
    """Announces that this router is leaving and takes no new work."""


class Stop(NamedTuple):
    """Announces that this router has left, and ends the task."""


class _Received(NamedTuple):
    data: bytes
    source: str


Command = Seed | AddMembers | SetConfiguration | Publish | Leave | Stop


class MemberChanged(NamedTuple):
    """A member was added or restarted, or its state changed.

    Attributes:
        member: The member with its new state.
        previous_state: Its previous state; None for a new process.
    """

    member: membership.Member
    previous_state: membership.State | None


class ItemReceived(NamedTuple):
    """An item was received from another router.

    Batches of reports of suspect requests are split into one notice for each
    report. Reports that this router publishes are delivered to it as well.

    Attributes:
        kind: Kind of the item.
        key: Identifies the subject within the kind.
        payload: Content of the item.
        expires: Monotonic time of expiry, seconds.
    """

    kind: dissemination.Kind
    key: bytes
    payload: bytes
    expires: float = math.inf


class PeerConfiguration(NamedTuple):
    """A member announced another configuration in force."""

    name: str
    version: int
    digest: str


class Paused(NamedTuple):
    """The process did not run for some time.

    Attributes:
        seconds: Length of the pause.
    """

    seconds: float


Notice = MemberChanged | ItemReceived | PeerConfiguration | Paused


class Counts(NamedTuple):
    """Totals of received datagrams since the start.

    Attributes:
        received_bytes: Bytes received, UDP and IP headers included.
        forged: Datagrams with a wrong MAC.
        malformed: Datagrams that could not be decoded.
        dropped: Datagrams that were discarded because the inbox was full.
    """

    received_bytes: int = 0
    forged: int = 0
    malformed: int = 0
    dropped: int = 0


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, deliver: Callable[[_Received], None]):
        self._deliver = deliver

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._deliver(_Received(data, f"{addr[0]}:{addr[1]}"))

    def error_received(self, exc: Exception) -> None:
        # Probes detect unreachable peers, so ICMP errors can be ignored.
        pass


class Gossip:
    """The task that runs membership and dissemination over UDP."""

    def __init__(
        self,
        config: settings.PeerSettings,
        members: membership.Membership,
        disseminator: dissemination.Disseminator,
        outbox: "asyncio.Queue[Notice]",
        clock: Callable[[], float] = time.monotonic,
    ):
        """Creates the task; `run` opens its socket.

        Args:
            config: Settings of this router.
            members: Membership of the fleet, created with `disseminator`.
            disseminator: Stores the items to piggyback on datagrams.
            outbox: Queue for the notices of the task.
            clock: Returns the monotonic time in seconds.
        """
        self._address = vms.parse_address(config["peer_address"])
        self._key = hmac.digest(
            config["peer_key"].encode(), _MAC_PURPOSE, "sha256"
        )
        self._members = members
        self._disseminator = disseminator
        self._outbox = outbox
        self._clock = clock
        self._inbox: asyncio.Queue[Command | _Received | None] = asyncio.Queue()
        self._transport: asyncio.DatagramTransport | None = None
        self._counts = Counts()
        self._last_step_at = clock()
        self._next_tick = 0.0
        self._stopping = False

    @property
    def counts(self) -> Counts:
        """Totals of received datagrams."""
        return self._counts

    @property
    def members(self) -> membership.Membership:
        """Membership of the fleet; only this task changes it."""
        return self._members

    def send(self, command: Command) -> None:
        """Puts a command into the inbox of the task."""
        self._inbox.put_nowait(command)

    async def run(self) -> None:
        """Runs until a `Stop` command.

        Raises:
            OSError: The peer address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Protocol(self._deliver),
            local_addr=(self._address.host, self._address.port),
        )
        self._last_step_at = self._clock()
        try:
            while not self._stopping:
                await self._step()
        finally:
            self._transport.close()

    async def _step(self) -> None:
        message = await self._next_message()
        now = self._clock()
        self._detect_pause(now)
        if message is not None:
            self._transmit(self._handle(message, now))
        if now >= self._next_tick:
            self._next_tick = ticks.next_tick(now, _TICK_S)
            self._transmit(self._members.tick(now))
        self._send_notices()

    async def _next_message(self) -> Command | _Received | None:
        if not self._inbox.empty():
            return self._inbox.get_nowait()
        delay = self._next_tick - self._clock()
        if delay <= 0:
            return None
        # Costs less than a timeout, which cancels the wait five times a second.
        timer = asyncio.get_running_loop().call_later(
            delay, self._inbox.put_nowait, None
        )
        try:
            return await self._inbox.get()
        finally:
            timer.cancel()

    def _detect_pause(self, now: float) -> None:
        gap = now - self._last_step_at - _TICK_S
        self._last_step_at = now
        if gap < _PAUSE_MIN_S:
            return
        log.emit(events.CLOCK_GAP, seconds=gap)
        self._members.handle_pause(now, gap)
        self._outbox.put_nowait(Paused(gap))

    def _handle(
        self, message: Command | _Received, now: float
    ) -> list[membership.Datagram]:
        match message:
            case _Received():
                return self._receive(message, now)
            case Seed(addresses):
                self._members.seed(addresses)
            case AddMembers(members):
                self._members.add_members(members, now)
            case SetConfiguration(version, digest):
                self._members.set_configuration(version, digest)
                return self._members.announce(now)
            case Publish():
                return self._publish(message, now)
            case Leave():
                return self._members.announce_leaving(now)
            case Stop():
                self._stopping = True
                return self._members.announce_left(now)
        return []

    def _publish(
        self, command: Publish, now: float
    ) -> list[membership.Datagram]:
        kind, key, payload, lifetime_s = command
        try:
            self._disseminator.publish(kind, key, payload, now, lifetime_s)
        except ValueError as caught:
            log.emit(events.RUMOUR_REFUSED, kind=kind, reason=str(caught))
            return []
        if kind == dissemination.Kind.SUSPECT_REQUEST:
            # This router may also run copies of the suspect request on other
            # engines.
            self._send_suspect_notices(key, payload)
        if kind in dissemination.URGENT:
            return self._members.announce(now)
        return []

    def _receive(
        self, received: _Received, now: float
    ) -> list[membership.Datagram]:
        size = datagrams.MAC_BYTES
        data, mac = received.data[:-size], received.data[-size:]
        if not hmac.compare_digest(mac, self._mac(data)):
            self._count(forged=self._counts.forged + 1)
            log.emit(events.DATAGRAM_FORGED, source=received.source)
            return []
        try:
            return self._members.receive(data, received.source, now)
        except errors.PeerError as caught:
            self._count(malformed=self._counts.malformed + 1)
            log.emit(
                events.DATAGRAM_MALFORMED,
                source=received.source,
                reason=str(caught),
            )
            return []

    def _deliver(self, received: _Received) -> None:
        size = len(received.data) + datagrams.IP_HEADER_BYTES
        self._count(received_bytes=self._counts.received_bytes + size)
        if self._inbox.qsize() >= _INBOX_MAX:
            self._count(dropped=self._counts.dropped + 1)
            return
        self._inbox.put_nowait(received)

    def _transmit(self, outgoing: Sequence[membership.Datagram]) -> None:
        assert self._transport is not None
        for datagram in outgoing:
            address = vms.parse_address(datagram.address)
            self._transport.sendto(
                datagram.data + self._mac(datagram.data), tuple(address)
            )

    def _send_notices(self) -> None:
        for change in self._members.changes():
            self._outbox.put_nowait(MemberChanged(*change))
            log.emit(
                events.MEMBER_CHANGED,
                name=change.member.name,
                state=change.member.state,
                previous=change.previous_state or "unknown",
            )
        for item in self._disseminator.received():
            if item.kind is dissemination.Kind.SUSPECT_REQUEST:
                self._send_suspect_notices(item.key, item.payload)
            else:
                self._outbox.put_nowait(ItemReceived(*item))
        for member in self._members.changed_configurations():
            self._outbox.put_nowait(
                PeerConfiguration(
                    member.name, member.config_version, member.config_digest
                )
            )

    def _send_suspect_notices(self, key: bytes, payload: bytes) -> None:
        # Gateways publish no such items and need not load the module.
        from nutmegpost_core import quarantine

        for report_key, report_payload in quarantine.split_batch(key, payload):
            self._outbox.put_nowait(
                ItemReceived(
                    dissemination.Kind.SUSPECT_REQUEST,
                    report_key,
                    report_payload,
                )
            )
            _log_suspect(report_key, report_payload)

    def _mac(self, data: bytes) -> bytes:
        return hmac.digest(self._key, data, "sha256")[: datagrams.MAC_BYTES]

    def _count(self, **changes: int) -> None:
        self._counts = self._counts._replace(**changes)


def _log_suspect(key: bytes, payload: bytes) -> None:
    from nutmegpost_core import quarantine

    try:
        digest, engine, state = quarantine.read_report(key, payload)
    except errors.PeerError:
        # The consumer of the notice logs the malformed report.
        return
    if state is quarantine.IncidentState.CRASHED:
        log.emit(events.REQUEST_SUSPECTED, digest=digest.hex(), engine=engine)
    if state is quarantine.IncidentState.CLEARED:
        log.emit(events.REQUEST_CLEARED, digest=digest.hex())
