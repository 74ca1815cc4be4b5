"""The settings of a router process: a JSON file, checked when it is read."""

import pathlib
from typing import Annotated, NotRequired, TypedDict

import msgspec

from nutmegpost_core import documents
from nutmegpost_core import errors

__all__ = ["Settings", "load"]

HostPort = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]{7,15}:[0-9]{1,5}$")]
Name = Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]*$", max_length=64)
]
Secret = Annotated[str, msgspec.Meta(min_length=16, max_length=256)]


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
        Annotated[str, msgspec.Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")]
    ]
    stop_grace_s: NotRequired[Annotated[float, msgspec.Meta(ge=0, le=86_400)]]


def load(path: str) -> Settings:
    """Reads a settings file.

    Args:
        path: The file.

    Returns:
        The checked settings.

    Raises:
        errors.SettingsError: The file cannot be read or a value is wrong.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as caught:
        raise errors.SettingsError(path, "$", str(caught)) from caught
    return documents.decode(data, Settings, path, errors.SettingsError)
