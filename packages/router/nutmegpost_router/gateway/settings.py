"""Settings of a gateway process: a JSON file, validated when it is read.

docs/SETTINGS.md explains each field.
"""

from typing import Annotated, Literal, NotRequired, TypedDict

import msgspec

from nutmegpost_router import settings

__all__ = ["RELOADABLE_KEYS", "GatewaySettings", "load", "parse"]

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


# Keys that take effect on a reload; the others need a restart.
RELOADABLE_KEYS = frozenset(
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
        public_address: Address for callers.
        readiness_address: Address for readiness probes of the platform.
        directory_address: Address at which callers look up gateways.
        control_address: Address at which peers poll for publications.
        peer_address: Address for membership datagrams, UDP.
        loads_address: Address for load reports and notices, UDP.
        metrics_address: Address at which metrics are served.
        platform_address: Address of the platform's publications.
        seeds: Control addresses of a few gateways, which may be down.
        peer_key: Secret shared by the gateways.
        stop_grace_s: Time from the stop signal until the process exits,
            seconds.
        address_ttl_s: Time for which callers may cache gateway addresses,
            seconds.
        entry_grace_s: Time for which endpoints whose entries disappeared
            during an outage of the platform are retained after it, seconds.
        leave_limit_ms: Time from the publication that an endpoint is draining
            until it must get no new requests, milliseconds.
        retry_ratio: Retries per request, over all gateways.
        retry_extra: Retries per window in addition to the ratio, over all
            gateways.
        retry_window_s: Length of that window, seconds.
        first_start: Whether the whole system starts for the first time.
        descriptors_max: Maximum number of open file descriptors.
        memory_mb: Maximum memory of the process, in units of 1e6 bytes.
        load_multiple: Load bound of an endpoint as a multiple of the mean.
        evacuation_limit_ms: Time from the publication that a zone is
            evacuated until its endpoints must get no requests, milliseconds;
            0 if zones are never evacuated.
        cold_overage: Requests per second of a cold endpoint, over all
            gateways, as a multiple of the rate that its service names.
        cold_slack: Requests added to that in each second. Cold endpoints are
            limited only if both keys are given.
        contention_queue_max: Requests that wait for room at this gateway; 0
            for none.
        large_fleet_gateways: Number of gateways above which a fleet is large;
            0 if none is.
        cpu_share: Share of each core that the VM may use.
        cores: Number of cores of the VM.
        link_mbps: Bandwidth of the VM's link, megabits per second.
        hedge_ratio: Second attempts per request of a service; 0 for none.
        hedge_evidence: What a second attempt needs: `speed`, a slow first
            endpoint by its own report, or `latency`, a late first attempt.
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
    evacuation_limit_ms: NotRequired[
        Annotated[int, msgspec.Meta(ge=0, le=600_000)]
    ]
    cold_overage: NotRequired[Annotated[float, msgspec.Meta(ge=0)]]
    cold_slack: NotRequired[Annotated[float, msgspec.Meta(ge=0)]]
    contention_queue_max: NotRequired[
        Annotated[int, msgspec.Meta(ge=0, le=100_000)]
    ]
    large_fleet_gateways: NotRequired[
        Annotated[int, msgspec.Meta(ge=0, le=100_000)]
    ]
    cpu_share: NotRequired[Annotated[float, msgspec.Meta(gt=0)]]
    cores: NotRequired[Annotated[float, msgspec.Meta(gt=0)]]
    link_mbps: NotRequired[Annotated[float, msgspec.Meta(gt=0)]]
    hedge_ratio: NotRequired[Annotated[float, msgspec.Meta(ge=0, le=1)]]
    hedge_evidence: NotRequired[Literal["speed", "latency"]]


def parse(data: bytes, source: str) -> GatewaySettings:
    """Decodes and validates settings.

    Args:
        data: The settings, JSON in UTF-8.
        source: File that they came from, for error messages.

    Returns:
        The valid settings.

    Raises:
        errors.SettingsError: A value is missing or invalid.
    """
    return settings.decode(data, GatewaySettings, source, _ADDRESSES)


def load(path: str) -> GatewaySettings:
    """Reads and validates a settings file.

    Raises:
        errors.SettingsError: The file cannot be read or a value is invalid.
    """
    return parse(settings.read(path), path)
