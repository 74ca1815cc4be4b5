"""Settings of a router process: a JSON file, validated when it is read.

docs/SETTINGS.md explains each field.
"""

import collections
from collections.abc import Iterable
from typing import Annotated, Any, NotRequired, TypedDict, TypeVar

import msgspec

from nutmegpost_core import documents
from nutmegpost_core import errors
from nutmegpost_core import vms

__all__ = [
    "SETTINGS_BYTES_MAX",
    "HostPort",
    "PeerSettings",
    "Secret",
    "Settings",
    "decode",
    "load",
    "parse",
    "read",
]

SETTINGS_BYTES_MAX = 100_000

HostPort = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]{7,15}:[0-9]{1,5}\Z")]
Name = Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]*\Z", max_length=64)
]
Secret = Annotated[
    str, msgspec.Meta(pattern=r"^[!-~]+\Z", min_length=16, max_length=256)
]

T = TypeVar("T")

_ADDRESS_KEYS = (
    "public_address",
    "peer_address",
    "admin_address",
    "platform_address",
)


class PeerSettings(TypedDict):
    """The settings that group membership uses.

    Attributes:
        peer_address: Address for peers, UDP and TCP.
        peer_key: Secret shared by the routers.
    """

    peer_address: HostPort
    peer_key: Secret


class Settings(TypedDict):
    """Settings of a router.

    Attributes:
        name: Name of this router, as in the VM list.
        zone: Availability zone.
        public_address: Address for callers.
        peer_address: Address for peers, UDP and TCP.
        admin_address: Address of the administration API.
        platform_address: Address of the platform's services.
        peer_key: Secret shared by the routers.
        admin_key: Secret of the administration API.
        log_level: Minimum level of the events that are logged.
        stop_grace_s: Maximum time for which a planned stop waits for running
            requests, seconds.
    """

    name: Name
    zone: Name
    public_address: HostPort
    peer_address: HostPort
    admin_address: HostPort
    platform_address: HostPort
    peer_key: Secret
    admin_key: Secret
    log_level: NotRequired[
        Annotated[str, msgspec.Meta(pattern=r"^(DEBUG|INFO|WARNING|ERROR)\Z")]
    ]
    stop_grace_s: NotRequired[Annotated[float, msgspec.Meta(ge=0, le=86_400)]]


def parse(data: bytes, source: str) -> Settings:
    """Decodes and validates settings.

    Args:
        data: The settings, JSON in UTF-8.
        source: Name of the file they came from, for error messages.

    Returns:
        The validated settings.

    Raises:
        errors.SettingsError: A value is missing or invalid.
    """
    config = decode(data, Settings, source, _ADDRESS_KEYS)
    _check_distinct(config, source)
    if config["peer_key"] == config["admin_key"]:
        raise errors.SettingsError(
            source, "$.admin_key", "a secret that differs from peer_key"
        )
    return config


def decode(
    data: bytes,
    settings_type: type[T],
    source: str,
    address_keys: Iterable[str],
) -> T:
    """Decodes settings and validates their addresses.

    Args:
        data: The settings, JSON in UTF-8.
        settings_type: The TypedDict to decode into.
        source: Name of the file they came from, for error messages.
        address_keys: Keys whose values are addresses.

    Returns:
        The settings.

    Raises:
        errors.SettingsError: A value is missing or invalid.
    """
    if len(data) > SETTINGS_BYTES_MAX:
        raise errors.SettingsError(
            source, "$", f"at most {SETTINGS_BYTES_MAX} bytes"
        )
    decoded: Any = documents.decode(
        data, settings_type, source, errors.SettingsError
    )
    for key in address_keys:
        try:
            vms.parse_address(decoded[key])
        except ValueError:
            raise errors.SettingsError(
                source,
                f"$.{key}",
                f"an IPv4 address and port, got {decoded[key]!r}",
            ) from None
    return decoded


def read(path: str) -> bytes:
    """Reads a settings file.

    Raises:
        errors.SettingsError: The file cannot be read.
    """
    try:
        with open(path, "rb") as file:
            return file.read()
    except (OSError, ValueError) as caught:
        raise errors.SettingsError(path, "$", str(caught)) from caught


def load(path: str) -> Settings:
    """Reads and validates a settings file.

    Raises:
        errors.SettingsError: The file cannot be read or a value is invalid.
    """
    return parse(read(path), path)


def _check_distinct(config: Settings, source: str) -> None:
    addresses = [(key, str(config[key])) for key in _ADDRESS_KEYS]  # type: ignore[literal-required]
    counts = collections.Counter(address for _, address in addresses)
    for key, address in addresses:
        if counts[address] > 1:
            raise errors.SettingsError(
                source,
                f"$.{key}",
                f"an address that no other key has, got {address!r}",
            )
