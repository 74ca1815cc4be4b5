"""The settings of a gateway process: a JSON file, checked when it is read.

docs/SETTINGS.md explains each field.
"""

from typing import Annotated, TypedDict

import msgspec

from nutmegpost_router import settings

__all__ = ["CHANGEABLE", "GatewaySettings", "load", "parse"]

Seconds = Annotated[float, msgspec.Meta(ge=0, le=86_400)]

_ADDRESSES = (
    "public_address",
    "readiness_address",
    "directory_address",
    "control_address",
    "peer_address",
    "loads_address",
    "metrics_address",
    "platform_address",
)


# What a running gateway takes over from a changed file.
CHANGEABLE = frozenset(
    [
        "seeds",
        "stop_grace_s",
        "address_ttl_s",
        "descriptors_max",
        "memory_mb",
        "load_multiple",
    ]
)


class GatewaySettings(TypedDict):
    """Settings of a gateway.

    Attributes:
        name: Name of this gateway.
        zone: Availability zone.
        public_address: Where callers connect.
        readiness_address: Where the platform asks whether it is ready.
        directory_address: Where callers ask for addresses.
        control_address: Where peers ask for what the platform published.
        peer_address: Where membership datagrams arrive, UDP.
        loads_address: Where datagrams on loads arrive, UDP.
        metrics_address: Where metrics are served.
        platform_address: Where the platform publishes.
        seeds: Control addresses of a few gateways, which may be down.
        peer_key: Secret shared by the gateways.
        stop_grace_s: Time from the signal to stop until the process ends.
        address_ttl_s: Longest time that callers keep an address answer.
        entry_grace_s: Time for which endpoints that went missing while the
            platform was away are kept after its return.
        leave_limit_ms: Time within which an endpoint gets no more work once
            the platform was told that it leaves.
        retry_ratio: Retries for each request, over all gateways.
        retry_extra: Retries in a window beyond the ratio, over all gateways.
        retry_window_s: Length of that window.
        first_start: Whether the whole system starts for the first time.
        descriptors_max: Files and sockets that the process may have open.
        memory_mb: Memory that the process may take, in units of 1e6 bytes.
        load_multiple: Bound of an endpoint's load as a multiple of the mean.
    """

    name: str
    zone: str
    public_address: settings.HostPort
    readiness_address: settings.HostPort
    directory_address: settings.HostPort
    control_address: settings.HostPort
    peer_address: settings.HostPort
    loads_address: settings.HostPort
    metrics_address: settings.HostPort
    platform_address: settings.HostPort
    seeds: list[settings.HostPort]
    peer_key: settings.Secret
    stop_grace_s: Seconds
    address_ttl_s: Seconds
    entry_grace_s: Seconds
    leave_limit_ms: Annotated[int, msgspec.Meta(ge=100, le=60_000)]
    retry_ratio: Annotated[float, msgspec.Meta(ge=0, le=10)]
    retry_extra: Annotated[float, msgspec.Meta(ge=0)]
    retry_window_s: Annotated[float, msgspec.Meta(gt=0)]
    first_start: bool
    descriptors_max: Annotated[int, msgspec.Meta(ge=64)]
    memory_mb: Annotated[int, msgspec.Meta(ge=32)]
    load_multiple: Annotated[float, msgspec.Meta(ge=1)]


def parse(data: bytes, source: str) -> GatewaySettings:
    """Checks settings.

    Args:
        data: The settings, JSON in UTF-8.
        source: File they came from, for the error.

    Returns:
        The checked settings.

    Raises:
        errors.SettingsError: A value is missing or wrong.
    """
    return settings.decode(data, GatewaySettings, source, _ADDRESSES)


def load(path: str) -> GatewaySettings:
    """Reads and checks a settings file.

    Raises:
        errors.SettingsError: The file cannot be read or a value is wrong.
    """
    return parse(settings.read(path), path)
