"""Long polls for the load reports and cache events of an engine.

Each reader repeats its long poll until its task is cancelled.
"""

import asyncio
from collections.abc import Callable
from typing import Annotated, NamedTuple, TypedDict
import urllib.parse

import msgspec

from nutmegpost_core import documents
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_router import http_client
from nutmegpost_router import log
from nutmegpost_router import view

__all__ = [
    "CacheEvent",
    "LoadReading",
    "LoadReport",
    "watch_cache",
    "watch_load",
]

LOAD_WAIT_S = 0.5
LOAD_TIMEOUT_S = 2.0
LOAD_RETRY_S = 0.1
CACHE_WAIT_S = 2.0
CACHE_RETRY_S = 1.0

Count = Annotated[int, msgspec.Meta(ge=0)]


class LoadReport(TypedDict, total=False):
    """A load report of an endpoint; see docs/PROTOCOLS.md."""

    sequence: Count
    running: Count
    waiting: Count
    batch: Count
    state: Annotated[str, msgspec.Meta(pattern="^(ready|loading|leaving)$")]
    version: str
    adapter: str | None
    role: str
    fence: list[int]
    order_error: str | None


class CacheEvent(NamedTuple):
    """A change of an engine's cache.

    Attributes:
        number: Sequence number, increasing.
        kind: `stored` or `evicted`.
        key: Cache key of the chat.
        tokens: Number of cached tokens.
    """

    number: int
    kind: str
    key: str
    tokens: int


class _CacheEvents(TypedDict):
    events: list[CacheEvent]
    next: int


class LoadReading(NamedTuple):
    """Result of one poll for a load report.

    Attributes:
        report: The report, or None if the poll failed.
        reason: Why the poll failed; empty if it succeeded.
        refused: Whether the engine refused the connection.
    """

    report: LoadReport | None
    reason: str
    refused: bool = False


async def watch_load(
    client: http_client.Client,
    endpoint: view.Endpoint,
    on_reading: Callable[[LoadReading], None],
) -> None:
    """Polls an engine for load reports until the task is cancelled.

    Args:
        client: HTTP client for the engines.
        endpoint: The engine.
        on_reading: Called with the result of each poll, failed ones included.
    """
    after = 0
    while True:
        path = f"/v1/load?after={after}&wait={LOAD_WAIT_S}"
        reading = await _read_load(client, endpoint, path)
        on_reading(reading)
        if reading.report is None:
            after = 0
            await asyncio.sleep(LOAD_RETRY_S)
        else:
            after = reading.report.get("sequence", 0)


async def watch_cache(
    client: http_client.Client,
    endpoint: view.Endpoint,
    on_event: Callable[[CacheEvent], None],
) -> None:
    """Polls an engine for cache events until the task is cancelled.

    Args:
        client: HTTP client for the engines.
        endpoint: The engine.
        on_event: Called with each event.
    """
    after = 0
    while True:
        query = urllib.parse.urlencode({"after": after, "wait": CACHE_WAIT_S})
        path = f"/v1/cache-events?{query}"
        try:
            answer = await _read_cache(client, endpoint, path)
        except errors.NutmegpostError as caught:
            # `watch_load` detects an unreachable engine.
            log.emit(
                events.CACHE_UNKNOWN,
                endpoint=endpoint.name,
                reason=str(caught),
            )
            await asyncio.sleep(CACHE_RETRY_S)
            continue
        after = answer["next"]
        for event in answer["events"]:
            on_event(event)


async def _read_load(
    client: http_client.Client, endpoint: view.Endpoint, path: str
) -> LoadReading:
    try:
        response = await client.request(
            endpoint.address, "GET", path, {}, timeout_s=LOAD_TIMEOUT_S
        )
        if response.status != 200:
            return LoadReading(None, f"status {response.status}")
        report = documents.decode(response.body, LoadReport, endpoint.name)
        return LoadReading(report, "")
    except http_client.ConnectError as caught:
        return LoadReading(None, str(caught), caught.refused)
    except errors.NutmegpostError as caught:
        return LoadReading(None, str(caught))


async def _read_cache(
    client: http_client.Client, endpoint: view.Endpoint, path: str
) -> _CacheEvents:
    response = await client.request(
        endpoint.address,
        "GET",
        path,
        {},
        timeout_s=CACHE_WAIT_S + LOAD_TIMEOUT_S,
    )
    if response.status != 200:
        raise errors.PeerError(f"status {response.status}")
    return documents.decode(response.body, _CacheEvents, endpoint.name)
