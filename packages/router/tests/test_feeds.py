"""Tests of the long polls of an engine, some with malformed answers."""

import asyncio
import json

import pytest

from nutmegpost_core import vms
from nutmegpost_router import feeds
from nutmegpost_router import http_client
from nutmegpost_router import http_server
from nutmegpost_router import view

WAIT_S = 20


def _run(monkeypatch, answers, watch, count):
    """Runs a reader against canned answers.

    Returns:
        The first `count` items that it reports, and the targets it requested.
    """
    monkeypatch.setattr(feeds, "LOAD_RETRY_S", 0.01)
    monkeypatch.setattr(feeds, "CACHE_RETRY_S", 0.01)
    targets = []

    async def handle(request):
        targets.append(request.target)
        status, content = answers.pop(0) if answers else (503, {})
        data = content if isinstance(content, bytes) else json.dumps(content)
        body = data if isinstance(data, bytes) else data.encode()
        return http_server.Response(status, [], body)

    async def main():
        server = await http_server.serve(
            vms.Address("127.0.0.1", 0), http_server.responder(handle)
        )
        port = server._server.sockets[0].getsockname()[1]
        endpoint = view.Endpoint(
            "e-1",
            vms.Address("127.0.0.1", port),
            "zone-a",
            "m",
            "engine",
            False,
        )
        client = http_client.Client()
        results = asyncio.Queue()
        task = asyncio.create_task(watch(client, endpoint, results.put_nowait))
        async with asyncio.timeout(WAIT_S):
            items = [await results.get() for _ in range(count)]
        task.cancel()
        client.close()
        await server.close()
        return items

    return asyncio.run(main()), targets


def test_load_poll_continues_after_last_sequence(monkeypatch):
    answers = [(200, {"sequence": 7, "running": 1}), (200, {"sequence": 8})]
    items, targets = _run(monkeypatch, answers, feeds.watch_load, 2)
    assert [item.report["sequence"] for item in items] == [7, 8]
    assert "after=0" in targets[0] and "after=7" in targets[1]


@pytest.mark.parametrize("broken", [(500, {}), (200, b"{"), (200, [])])
def test_failed_load_poll_has_reason(monkeypatch, broken):
    answers = [broken, (200, {"sequence": 3})]
    items, _ = _run(monkeypatch, answers, feeds.watch_load, 2)
    assert items[0].report is None and items[0].reason
    assert items[1].report == {"sequence": 3}


@pytest.mark.parametrize("broken", [(500, {}), (200, b"{"), (200, [])])
def test_cache_polls_continue_after_malformed_answer(monkeypatch, broken):
    stored = [1, "stored", "key", 10]
    answers = [broken, (200, {"events": [stored], "next": 2})]
    items, _ = _run(monkeypatch, answers, feeds.watch_cache, 1)
    assert items == [feeds.CacheEvent(*stored)]
