"""The settings of a router process: a JSON file, checked when it is read.

docs/SETTINGS.md explains each field.
"""

import collections
from collections.abc import Iterable
import pathlib
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

_ADDRESSES = (
    "public_address",
    "peer_address",
    "admin_address",
    "platform_address",
)


class PeerSettings(TypedDict):
    """What membership needs of the settings.

    Attributes:
        peer_address: Where peers connect, UDP and TCP.
        peer_key: Secret shared by the routers.
    """

    peer_address: HostPort
    peer_key: Secret


class Settings(TypedDict):
    """Settings of a router.

    Attributes:
        name: Name of this router, as in the VM list.
        zone: Availability zone.
        public_address: Where callers connect.
        peer_address: Where peers connect, UDP and TCP.
        admin_address: Where the administration API listens.
        platform_address: Where the platform's services are.
        peer_key: Secret shared by the routers.
        admin_key: Secret of the administration API.
        log_level: Least level of the events that are logged.
        stop_grace_s: Longest time a planned stop waits for requests.
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
    """Checks settings.

    Args:
        data: The settings, JSON in UTF-8.
        source: File they came from, for the error.

    Returns:
        The checked settings.

    Raises:
        errors.SettingsError: A value is missing or wrong.
    """
    found = decode(data, Settings, source, _ADDRESSES)
    _check_distinct(found, source)
    if found["peer_key"] == found["admin_key"]:
        raise errors.SettingsError(
            source, "$.admin_key", "another secret than peer_key"
        )
    return found


def decode(
    data: bytes, kind: type[T], source: str, addresses: Iterable[str]
) -> T:
    """Decodes settings and checks their addresses.

    Args:
        data: The settings, JSON in UTF-8.
        kind: The TypedDict to decode into.
        source: File they came from, for the error.
        addresses: Keys whose values are addresses.

    Returns:
        The settings.

    Raises:
        errors.SettingsError: A value is missing or wrong.
    """
    if len(data) > SETTINGS_BYTES_MAX:
        raise errors.SettingsError(
            source, "$", f"at most {SETTINGS_BYTES_MAX} bytes"
        )
    found: Any = documents.decode(data, kind, source, errors.SettingsError)
    for key in addresses:
        try:
            vms.parse_address(found[key])
        except ValueError:
            raise errors.SettingsError(
                source,
                f"$.{key}",
                f"an IPv4 address and port, got {found[key]!r}",
            ) from None
    return found


def read(path: str) -> bytes:
    """Reads a settings file.

    Raises:
        errors.SettingsError: The file cannot be read.
    """
    try:
        return pathlib.Path(path).read_bytes()
    except (OSError, ValueError) as caught:
        raise errors.SettingsError(path, "$", str(caught)) from caught


def load(path: str) -> Settings:
    """Reads and checks a settings file.

    Raises:
        errors.SettingsError: The file cannot be read or a value is wrong.
    """
    return parse(read(path), path)


def _check_distinct(found: Settings, source: str) -> None:
    texts = [(key, str(found[key])) for key in _ADDRESSES]  # type: ignore[literal-required]
    counts = collections.Counter(text for _, text in texts)
    for key, text in texts:
        if counts[text] > 1:
            raise errors.SettingsError(
                source, f"$.{key}", f"an address of its own, got {text!r}"
            )
