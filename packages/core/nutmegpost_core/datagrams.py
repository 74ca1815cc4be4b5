"""Datagrams of the membership protocol, and their CBOR form."""

import enum
import socket
from typing import NamedTuple

import cbor2
import msgspec

from nutmegpost_core import errors
from nutmegpost_core import rumours
from nutmegpost_core import vms

__all__ = [
    "DATAGRAM_BYTES_MAX",
    "HEADER_BYTES",
    "IP_HEADER_BYTES",
    "MAC_BYTES",
    "Entry",
    "Kind",
    "Packet",
    "Short",
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
    """What a datagram is for."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    SYNC = 3
    ENTRIES = 4
    ANNOUNCE = 5


class Entry(NamedTuple):
    """All that the fleet needs to know of a member.

    Attributes:
        name: Name.
        incarnation: Number that its process drew at its start.
        revision: Grows with each statement that supersedes an earlier one.
        state: Number of its state.
        public: Packed address for callers.
        peer: Packed address for peers.
        zone: Availability zone.
    """

    name: str
    incarnation: int
    revision: int
    state: int
    public: bytes
    peer: bytes
    zone: str


class Short(NamedTuple):
    """A changed state of a member that the receiver knows already."""

    name: str
    incarnation: int
    revision: int
    state: int


class Packet(NamedTuple):
    """A datagram.

    Attributes:
        wire: Version of this form.
        kind: What it is for.
        sequence: Number that an acknowledgement repeats.
        sender: The sender as it states itself.
        version: Configuration in force at the sender; 0 for none.
        digest: Digest of that configuration.
        subject: Name of the member to probe, or empty.
        buckets: Digests of the sender's members, or empty.
        rumour_digest: Digest of the sender's lasting rumours.
        entries: Members.
        shorts: Changed states of members.
        items: Rumours.
    """

    wire: int
    kind: int
    sequence: int
    sender: Entry
    version: int
    digest: bytes
    subject: str = ""
    buckets: bytes = b""
    rumour_digest: int = 0
    entries: list[Entry] = []  # noqa: RUF012
    shorts: list[Short] = []  # noqa: RUF012
    items: list[rumours.Item] = []  # noqa: RUF012


_FIELD_COUNT = len(Packet._fields)


def pack_address(text: str) -> bytes:
    """Packs `host:port` into six bytes."""
    address = vms.parse_address(text)
    return socket.inet_aton(address.host) + address.port.to_bytes(2, "big")


def unpack_address(packed: bytes) -> str:
    """Unpacks an address.

    Raises:
        errors.PeerError: It does not have six bytes, or the port is 0.
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
