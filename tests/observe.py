"""What tests read from a running deployment, to judge it from the outside."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
import re
from typing import Any, NamedTuple

import harness

from nutmegpost_standins import http

__all__ = [
    "InForce",
    "Order",
    "in_force",
    "merged_rows",
    "orders",
    "until_in_force",
    "versions_never_fall",
    "watched",
]

_SAMPLE_S = 0.05
_ACCEPTED = re.compile(r"configuration (\d+) ([0-9a-f]+) of .* is in force")
_STARTED = re.compile(r"router \S+ started, incarnation")


class InForce(NamedTuple):
    """The configuration in force at a router."""

    version: int
    digest: str


class Order(NamedTuple):
    """An order that an engine took."""

    at: float
    engine: str
    fence: tuple[int, ...]
    version: str


async def in_force(found: harness.Deployment, name: str) -> InForce | None:
    """Returns what is in force at a router; None while it doesn't answer."""
    try:
        async with asyncio.timeout(2.0):
            status = await found.admin(name, "/admin/status")
    except (OSError, json.JSONDecodeError, AssertionError):
        return None
    return InForce(
        status["configuration_version"], status["configuration_digest"]
    )


async def _is_healthy(found: harness.Deployment, name: str) -> bool:
    try:
        reply = await http.request(
            found.address(name), "GET", "/v1/health", timeout=2.0
        )
    except OSError:
        return False
    return reply.status == 200


async def until_in_force(
    found: harness.Deployment,
    version: int,
    names: list[str] | None = None,
    timeout: float = harness.START_S,
) -> None:
    """Waits until routers have a version in force, or a later one."""

    async def check(name: str) -> bool:
        seen = await in_force(found, name)
        return seen is not None and seen.version >= version

    def wait(name: str):
        what = f"version {version} on {name}"
        return harness.until(lambda: check(name), what, timeout)

    await asyncio.gather(*map(wait, names or found.names("router")))


@contextlib.asynccontextmanager
async def watched(
    found: harness.Deployment,
) -> AsyncIterator[dict[str, list[InForce]]]:
    """Samples what the routers serve with, and yields the changes.

    A router that is not healthy doesn't serve yet.
    """
    seen: dict[str, list[InForce]] = {}

    async def sample(name: str) -> None:
        rows = seen.setdefault(name, [])
        while True:
            is_serving = await _is_healthy(found, name)
            now = await in_force(found, name) if is_serving else None
            if now is not None and (not rows or rows[-1] != now):
                rows.append(now)
            await asyncio.sleep(_SAMPLE_S)

    tasks = [
        asyncio.create_task(sample(name)) for name in found.names("router")
    ]
    try:
        yield seen
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def versions_never_fall(
    found: harness.Deployment, seen: dict[str, list[InForce]]
) -> None:
    """Asserts that no router went back, nor changed a version's content.

    Judged from the samples, and from what the routers logged since their last
    start.
    """
    for name, rows in seen.items():
        versions = [item.version for item in rows if item.version]
        assert versions == sorted(set(versions)), (name, rows)
    for name in found.names("router"):
        log = _STARTED.split(found.processes[name].log)[-1]
        logged = [int(item[0]) for item in _ACCEPTED.findall(log)]
        assert logged, f"{name} logged no version"
        assert logged == sorted(set(logged)), (name, logged)


async def merged_rows(found: harness.Deployment) -> list[list[Any]]:
    """Returns the records of all engines in order of time.

    Each row is the time, the engine, and the rest of the row of the record.
    """
    rows = []
    for name in found.names("engine"):
        for at, *rest in (await found.records(name))["rows"]:
            rows.append([at, name, *rest])
    return sorted(rows)


def orders(rows: list[list[Any]]) -> list[Order]:
    """Returns the orders in merged records, in order of time."""
    taken = []
    for at, engine, kind, name, *_ in rows:
        if kind == "order":
            body = json.loads(name)
            fence = tuple(body["fence"])
            taken.append(Order(at, engine, fence, body["version"]))
    return taken
