"""Observation of a running deployment through its APIs, logs and records."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
import re
from typing import Any, NamedTuple

import harness

from nutmegpost_standins import http

__all__ = [
    "Configuration",
    "Order",
    "configuration_in_force",
    "merged_records",
    "extract_orders",
    "wait_until_in_force",
    "check_versions_increase",
    "sample_configurations",
]

_SAMPLE_S = 0.05
_ACCEPTED = re.compile(r"configuration (\d+) ([0-9a-f]+) of .* is in force")
_STARTED = re.compile(r"router \S+ started, incarnation")


class Configuration(NamedTuple):
    """A configuration in force at a router."""

    version: int
    digest: str


class Order(NamedTuple):
    """An order that an engine accepted.

    Attributes:
        time_s: Monotonic time of arrival.
        engine: Name of the engine.
        fence: Fencing token of the sender.
        version: Model version to load.
    """

    time_s: float
    engine: str
    fence: tuple[int, ...]
    version: str


async def configuration_in_force(
    deployment: harness.Deployment, name: str
) -> Configuration | None:
    """Returns the configuration in force at a router.

    Returns None if the router does not answer within 2 s.
    """
    try:
        async with asyncio.timeout(2.0):
            status = await deployment.get_admin(name, "/admin/status")
    except (OSError, json.JSONDecodeError, AssertionError):
        return None
    return Configuration(
        status["configuration_version"], status["configuration_digest"]
    )


async def _is_healthy(deployment: harness.Deployment, name: str) -> bool:
    try:
        reply = await http.request(
            deployment.address(name), "GET", "/v1/health", timeout=2.0
        )
    except OSError:
        return False
    return reply.status == 200


async def wait_until_in_force(
    deployment: harness.Deployment,
    version: int,
    names: list[str] | None = None,
    timeout: float = harness.START_TIMEOUT_S,
) -> None:
    """Waits until routers have a version or a later one in force.

    Args:
        deployment: The deployment.
        version: Minimum version.
        names: Routers to wait for; None for all.
        timeout: Seconds.

    Raises:
        AssertionError: A router did not have it in force in time.
    """

    async def is_in_force(name: str) -> bool:
        seen = await configuration_in_force(deployment, name)
        return seen is not None and seen.version >= version

    def wait(name: str):
        description = f"version {version} on {name}"
        return harness.wait_until(
            lambda: is_in_force(name), description, timeout
        )

    await asyncio.gather(*map(wait, names or deployment.vm_names("router")))


@contextlib.asynccontextmanager
async def sample_configurations(
    deployment: harness.Deployment,
) -> AsyncIterator[dict[str, list[Configuration]]]:
    """Samples the configurations in force while the context is active.

    Routers that are not healthy are skipped, since they serve no requests.

    Yields:
        Observed configurations by router, without consecutive duplicates.
    """
    seen: dict[str, list[Configuration]] = {}

    async def sample(name: str) -> None:
        rows = seen.setdefault(name, [])
        while True:
            is_serving = await _is_healthy(deployment, name)
            current = (
                await configuration_in_force(deployment, name)
                if is_serving
                else None
            )
            if current is not None and (not rows or rows[-1] != current):
                rows.append(current)
            await asyncio.sleep(_SAMPLE_S)

    tasks = [
        asyncio.create_task(sample(name))
        for name in deployment.vm_names("router")
    ]
    try:
        yield seen
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def check_versions_increase(
    deployment: harness.Deployment, seen: dict[str, list[Configuration]]
) -> None:
    """Asserts that versions only increased, with one content per version.

    Checks the samples and the router logs since the last start. Two samples
    with the same version have different digests, since consecutive duplicates
    are removed.
    """
    for name, rows in seen.items():
        versions = [row.version for row in rows if row.version]
        assert versions == sorted(set(versions)), (name, rows)
    for name in deployment.vm_names("router"):
        log = _STARTED.split(deployment.processes[name].log)[-1]
        logged = [int(match[0]) for match in _ACCEPTED.findall(log)]
        assert logged, f"{name} logged no version"
        assert logged == sorted(set(logged)), (name, logged)


async def merged_records(deployment: harness.Deployment) -> list[list[Any]]:
    """Returns the records of all engines, sorted by time.

    Each row is the time, the engine name and the other columns of the record.
    """
    rows = []
    for name in deployment.vm_names("engine"):
        for at, *rest in (await deployment.records(name))["rows"]:
            rows.append([at, name, *rest])
    return sorted(rows)


def extract_orders(rows: list[list[Any]]) -> list[Order]:
    """Returns the orders in merged records, in the same order."""
    orders = []
    for at, engine, kind, name, *_ in rows:
        if kind == "order":
            body = json.loads(name)
            fence = tuple(body["fence"])
            orders.append(Order(at, engine, fence, body["version"]))
    return orders
