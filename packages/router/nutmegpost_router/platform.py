"""Reads from the platform: the configuration and the VM list.

Only this module knows the protocol of the platform. Another platform needs
other bodies of these functions and nothing else.
"""

import math
from typing import NamedTuple

from nutmegpost_core import errors
from nutmegpost_core import vms
from nutmegpost_router import http_client

__all__ = ["BusyError", "Value", "read_configuration", "read_vms"]

ANSWER_TIMEOUT_S = 1.0
_OK = 200
_NOT_MODIFIED = 304
_TOO_MANY_REQUESTS = 429


class BusyError(errors.PlatformError):
    """The platform refuses reads because there are too many."""


class Value(NamedTuple):
    """A published value.

    Attributes:
        data: Its bytes.
    """

    data: bytes


async def read_configuration(
    client: http_client.Client,
    address: vms.Address,
    known: int,
    wait_s: float,
) -> Value | None:
    """Reads the configuration once it is newer than the known one.

    Args:
        client: The HTTP client.
        address: Where the platform is.
        known: Version that the caller has; 0 for none.
        wait_s: Longest wait for a newer version, seconds.

    Returns:
        The value, or None when there is no newer version.

    Raises:
        BusyError: The platform refuses the read for now.
        errors.PlatformError: The platform did not answer as it must.
    """
    return await _read(client, address, "configuration", known, wait_s)


async def read_vms(
    client: http_client.Client,
    address: vms.Address,
    known: int,
    wait_s: float,
) -> Value | None:
    """Reads the VM list; see `read_configuration`."""
    return await _read(client, address, "vms", known, wait_s)


async def _read(
    client: http_client.Client,
    address: vms.Address,
    name: str,
    known: int,
    wait_s: float,
) -> Value | None:
    path = f"/v1/{name}?known={known}&wait={math.floor(wait_s * 1000) / 1000}"
    try:
        response = await client.request(
            address, "GET", path, {}, timeout_s=wait_s + ANSWER_TIMEOUT_S
        )
    except errors.PeerError as caught:
        raise errors.PlatformError(f"{name}: {caught}") from caught
    if response.status == _OK:
        return Value(response.body)
    if response.status == _NOT_MODIFIED:
        return None
    if response.status == _TOO_MANY_REQUESTS:
        raise BusyError(f"{name}: too many reads")
    raise errors.PlatformError(f"{name}: status {response.status}")
