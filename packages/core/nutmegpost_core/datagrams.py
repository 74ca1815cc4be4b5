"""Datagrams of the membership protocol and their CBOR encoding."""

import enum
import socket
from typing import NamedTuple

import cbor2
import msgspec

from nutmegpost_core import dissemination
from nutmegpost_core import errors
from nutmegpost_core import vms

__all__ = [
    "DATAGRAM_BYTES_MAX",
    "HEADER_BYTES",
    "IP_HEADER_BYTES",
    "MAC_BYTES",
    "Entry",
    "Kind",
    "Packet",
    "StateUpdate",
    "WIRE_VERSION",
    "decode",
    "encode",
    "is_address",
    "pack_address",
    "unpack_address",
]

WIRE_VERSION = 1
DATAGRAM_BYTES_MAX = 1_200
MAC_BYTES = 16
IP_HEADER_BYTES = 28
HEADER_BYTES = IP_HEADER_BYTES + MAC_BYTES
_ADDRESS_BYTES = 6


class Kind(enum.IntEnum):
    """The purpose of a datagram."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    SYNC = 3
    ENTRIES = 4
    ANNOUNCE = 5


class Entry(NamedTuple):
    """The full description of a member.

    Attributes:
        name: Name of the router.
        incarnation: Random number that identifies its process.
        revision: Revision of this update; a higher one supersedes it.
        state: Index of the state in `member_table.STATES`.
        public_address: Packed address for callers.
        peer_address: Packed address for peers.
        zone: Availability zone.
    """

    name: str
    incarnation: int
    revision: int
    state: int
    public_address: bytes
    peer_address: bytes
    zone: str


class StateUpdate(NamedTuple):
    """A changed state of a member, for receivers that know the member."""

    name: str
    incarnation: int
    revision: int
    state: int


class Packet(NamedTuple):
    """A datagram.

    Attributes:
        wire_version: Version of the encoding.
        kind: Purpose of the datagram.
        sequence: Sequence number, echoed by the acknowledgement.
        sender: The sender as it describes itself.
        config_version: Configuration in force at the sender; 0 for none.
        config_digest: Digest of that configuration.
        subject: Name of the member to probe, or empty.
        bucket_digests: Digests of the sender's member buckets, or empty.
        item_digest: Digest of the sender's synchronized items.
        entries: Full descriptions of members.
        state_updates: Changed states of members.
        items: Disseminated items.
        capacity: Capacity of the sender, thousandths of a core; 0 if it
            announces none.
        load: What the sender spends, thousandths of a core.
        entry_capacities: Capacities of the members in `entries`, in order.
    """

    wire_version: int
    kind: int
    sequence: int
    sender: Entry
    config_version: int
    config_digest: bytes
    subject: str = ""
    bucket_digests: bytes = b""
    item_digest: int = 0
    entries: list[Entry] = []  # noqa: RUF012
    state_updates: list[StateUpdate] = []  # noqa: RUF012
    items: list[dissemination.Item] = []  # noqa: RUF012
    capacity: int = 0
    load: int = 0
    entry_capacities: list[int] = []  # noqa: RUF012


_FIELD_COUNT = len(Packet._fields)
# Fields of a datagram without capacities.
_BASE_FIELD_COUNT = Packet._fields.index("capacity")


def pack_address(text: str) -> bytes:
    """Packs `host:port` into six bytes."""
    address = vms.parse_address(text)
    return socket.inet_aton(address.host) + address.port.to_bytes(2, "big")


def unpack_address(packed: bytes) -> str:
    """Unpacks six bytes into `host:port`.

    Raises:
        errors.PeerError: The length is not six bytes, or the port is 0.
    """
    if len(packed) != _ADDRESS_BYTES:
        raise errors.PeerError(f"address of {len(packed)} bytes")
    port = int.from_bytes(packed[4:], "big")
    if port == 0:
        raise errors.PeerError("address with port 0")
    return f"{socket.inet_ntoa(packed[:4])}:{port}"


def is_address(text: str) -> bool:
    """Whether datagrams can be sent to `host:port`."""
    try:
        pack_address(text)
    except (ValueError, OSError):
        return False
    return True


def encode(packet: Packet) -> bytes:
    """Encodes a datagram, without its MAC."""
    if packet[_BASE_FIELD_COUNT:] == (0, 0, []):
        return cbor2.dumps(packet[:_BASE_FIELD_COUNT])
    return cbor2.dumps(packet)


def decode(data: bytes) -> Packet:
    """Decodes a datagram.

    Raises:
        errors.PeerError: The bytes are not a datagram of this protocol.
    """
    if len(data) > DATAGRAM_BYTES_MAX:
        raise errors.PeerError(f"datagram of {len(data)} bytes")
    try:
        fields = cbor2.loads(data)[:_FIELD_COUNT]
        return msgspec.convert(fields, Packet)
    except (
        cbor2.CBORDecodeError,
        msgspec.ValidationError,
        ValueError,
        TypeError,
        KeyError,
        RecursionError,
    ) as caught:
        raise errors.PeerError(f"not a datagram: {caught}") from caught
