"""What an engine tells of itself: its load and the changes of its cache.

Each is asked for with a request that waits for news, again and again until the
task that reads it is cancelled.
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
    "LoadReport",
    "Reported",
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
    """A load report of an endpoint, as docs/PROTOCOLS.md has it."""

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
        number: Its number, upwards.
        kind: `stored` or `evicted`.
        key: What names the cached prompt.
        tokens: Tokens that are kept.
    """

    number: int
    kind: str
    key: str
    tokens: int


class _CacheEvents(TypedDict):
    events: list[CacheEvent]
    next: int


class Reported(NamedTuple):
    """A load report came; None when the engine did not answer."""

    report: LoadReport | None
    reason: str
    refused: bool = False


async def watch_load(
    client: http_client.Client,
    endpoint: view.Endpoint,
    on_report: Callable[[Reported], None],
) -> None:
    """Reads the load of an engine for ever.

    Args:
        client: Connections to engines.
        endpoint: The engine.
        on_report: Told of each report, and of each that did not come.
    """
    after = 0
    while True:
        path = f"/v1/load?after={after}&wait={LOAD_WAIT_S}"
        reported = await _read_load(client, endpoint, path)
        on_report(reported)
        if reported.report is None:
            after = 0
            await asyncio.sleep(LOAD_RETRY_S)
        else:
            after = reported.report.get("sequence", 0)


async def watch_cache(
    client: http_client.Client,
    endpoint: view.Endpoint,
    on_event: Callable[[CacheEvent], None],
) -> None:
    """Reads the changes of an engine's cache for ever.

    Args:
        client: Connections to engines.
        endpoint: The engine.
        on_event: Told of each change.
    """
    after = 0
    while True:
        query = urllib.parse.urlencode({"after": after, "wait": CACHE_WAIT_S})
        path = f"/v1/cache-events?{query}"
        try:
            found = await _read_cache(client, endpoint, path)
        except errors.NutmegpostError as caught:
            # The reader of the load finds out whether the engine is gone.
            log.emit(
                events.CACHE_UNKNOWN,
                endpoint=endpoint.name,
                reason=str(caught),
            )
            await asyncio.sleep(CACHE_RETRY_S)
            continue
        after = found["next"]
        for event in found["events"]:
            on_event(event)


async def _read_load(
    client: http_client.Client, endpoint: view.Endpoint, path: str
) -> Reported:
    try:
        response = await client.request(
            endpoint.address, "GET", path, {}, timeout_s=LOAD_TIMEOUT_S
        )
        if response.status != 200:
            return Reported(None, f"status {response.status}")
        report = documents.decode(response.body, LoadReport, endpoint.name)
        return Reported(report, "")
    except http_client.ConnectError as caught:
        return Reported(None, str(caught), caught.refused)
    except errors.NutmegpostError as caught:
        return Reported(None, str(caught))


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
