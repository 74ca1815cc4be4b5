"""Reads from the platform: the configuration and the VM list.

Only this module depends on the protocol of the platform. To support another
platform, replace only the bodies of these functions.
"""

import math
from typing import NamedTuple

from nutmegpost_core import errors
from nutmegpost_core import vms
from nutmegpost_router import http_client

__all__ = ["BusyError", "Value", "read_configuration", "read_vms"]

RESPONSE_MARGIN_S = 1.0
_OK = 200
_NOT_MODIFIED = 304
_TOO_MANY_REQUESTS = 429


class BusyError(errors.PlatformError):
    """The platform rejected a read because there are too many."""


class Value(NamedTuple):
    """A published document.

    Attributes:
        data: Bytes of the document.
    """

    data: bytes


async def read_configuration(
    client: http_client.Client,
    address: vms.Address,
    known_version: int,
    wait_s: float,
) -> Value | None:
    """Long-polls the platform for a newer configuration.

    Args:
        client: The HTTP client.
        address: Address of the platform.
        known_version: Version that the caller has; 0 for none.
        wait_s: Longest wait for a newer version, seconds.

    Returns:
        The value, or None when there is no newer version after the wait.

    Raises:
        BusyError: The platform rejected the read; there are too many.
        errors.PlatformError: The platform did not answer, or answered with an
            unexpected status.
    """
    return await _read(client, address, "configuration", known_version, wait_s)


async def read_vms(
    client: http_client.Client,
    address: vms.Address,
    known_version: int,
    wait_s: float,
) -> Value | None:
    """Long-polls the platform for a newer VM list.

    Arguments, results and errors are those of `read_configuration`, except
    that -1 is the version of a caller without a list.
    """
    return await _read(client, address, "vms", known_version, wait_s)


async def _read(
    client: http_client.Client,
    address: vms.Address,
    name: str,
    known_version: int,
    wait_s: float,
) -> Value | None:
    path = (
        f"/v1/{name}?known={known_version}"
        f"&wait={math.floor(wait_s * 1000) / 1000}"
    )
    try:
        response = await client.request(
            address, "GET", path, {}, timeout_s=wait_s + RESPONSE_MARGIN_S
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
