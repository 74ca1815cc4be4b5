"""Schema and validation of the platform's list of VMs."""

import functools
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

_ADDRESSES_CACHED_MAX = 16_384


class Address(NamedTuple):
    """An IPv4 address and a TCP or UDP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Vm(TypedDict):
    """A router, engine or plain service that runs on a VM.

    Attributes:
        name: Name of the process, unique in the list.
        address: IPv4 address and port of its HTTP server; for a router, of
            the server for callers.
        peer_address: For a router, the address of its peer port (UDP and
            TCP); the same as `address` otherwise.
        zone: Availability zone.
        kind: Kind of the process.
        pool: Model or service that it serves; empty for a router.
        state: Whether it may receive new work ("live") or not ("leaving").
        fenced: Whether it rejects orders with an outdated fencing token.
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
    """The list of VMs at one version.

    Attributes:
        version: Number that increases with each change.
        vms: The VMs.
    """

    version: Annotated[int, msgspec.Meta(ge=0)]
    vms: list[Vm]


def parse(data: bytes, source: str) -> VmList:
    """Decodes and validates a VM list.

    Args:
        data: The list as published, JSON in UTF-8.
        source: Origin of the list, for error messages.

    Returns:
        The list.

    Raises:
        errors.DocumentError: The list is not valid.
    """
    vm_list = documents.decode(data, VmList, source, errors.DocumentError)
    names: set[str] = set()
    for position, vm in enumerate(vm_list["vms"]):
        key = f"$.vms[{position}]"
        if vm["name"] in names:
            raise errors.DocumentError(
                source,
                f"{key}.name",
                f"unique names, got duplicate {vm['name']!r}",
            )
        names.add(vm["name"])
        _check_address(vm["address"], source, f"{key}.address")
        _check_address(vm["peer_address"], source, f"{key}.peer_address")
    return vm_list


@functools.lru_cache(maxsize=_ADDRESSES_CACHED_MAX)
def parse_address(text: str) -> Address:
    """Returns the address written as `host:port`.

    Raises:
        ValueError: The text is not an IPv4 address and a port.
    """
    host, _, port = text.rpartition(":")
    ipaddress.IPv4Address(host)
    if not 0 < int(port) < 65536:
        raise ValueError(f"port out of range: {text!r}")
    return Address(host, int(port))


def _check_address(text: str, source: str, key: str) -> None:
    try:
        parse_address(text)
    except ValueError as caught:
        raise errors.DocumentError(
            source, key, f"an IPv4 address and a port, got {text!r}"
        ) from caught
