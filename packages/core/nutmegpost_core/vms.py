"""The VM list of the platform: its form and its checks."""

import ipaddress
from typing import Annotated, NamedTuple, TypedDict

import msgspec

from nutmegpost_core import documents
from nutmegpost_core import errors

__all__ = ["Address", "Vm", "VmList", "parse", "parse_address"]

HostPort = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]{7,15}:[0-9]{1,5}\Z")]
Name = Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]*\Z", max_length=64)
]


class Address(NamedTuple):
    """A TCP or UDP address."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Vm(TypedDict):
    """One process of interest on a VM.

    Attributes:
        name: Name, unique in the list.
        address: IPv4 address and port of its HTTP server; for a router, of
            its server for callers.
        peer_address: For a router, the address of its peer port (UDP and
            TCP); the same as `address` otherwise.
        zone: Availability zone.
        kind: What it is.
        pool: Model or service it serves; empty for a router.
        state: Whether it may get new work.
        fenced: Whether it refuses orders with an old fencing number.
    """

    name: Name
    address: HostPort
    peer_address: HostPort
    zone: Name
    kind: Annotated[str, msgspec.Meta(pattern=r"^(router|engine|service)\Z")]
    pool: str
    state: Annotated[str, msgspec.Meta(pattern=r"^(live|leaving)\Z")]
    fenced: bool


class VmList(TypedDict):
    """The list of VMs as of some moment.

    Attributes:
        version: Number that grows with each change.
        vms: The VMs.
    """

    version: Annotated[int, msgspec.Meta(ge=0)]
    vms: list[Vm]


def parse(data: bytes, source: str) -> VmList:
    """Checks a VM list.

    Args:
        data: The list as published, JSON in UTF-8.
        source: Where it came from, for the error.

    Returns:
        The list.

    Raises:
        errors.DocumentError: The list is broken.
    """
    listed = documents.decode(data, VmList, source, errors.DocumentError)
    names: set[str] = set()
    for position, vm in enumerate(listed["vms"]):
        key = f"$.vms[{position}]"
        if vm["name"] in names:
            raise errors.DocumentError(
                source, f"{key}.name", f"no name twice, got {vm['name']!r}"
            )
        names.add(vm["name"])
        _check_address(vm["address"], source, f"{key}.address")
        _check_address(vm["peer_address"], source, f"{key}.peer_address")
    return listed


def parse_address(text: str) -> Address:
    """Splits `host:port`.

    Raises:
        ValueError: The text is not an IPv4 address and a port.
    """
    host, _, port = text.rpartition(":")
    ipaddress.IPv4Address(host)
    if not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return Address(host, int(port))


def _check_address(text: str, source: str, key: str) -> None:
    try:
        parse_address(text)
    except ValueError as caught:
        raise errors.DocumentError(
            source, key, f"an IPv4 address and a port, got {text!r}"
        ) from caught
