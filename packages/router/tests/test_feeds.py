"""What an engine tells of itself, read from one that answers badly."""

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
    """Returns the first items that a feed gives of some answers."""
    monkeypatch.setattr(feeds, "LOAD_RETRY_S", 0.01)
    monkeypatch.setattr(feeds, "CACHE_RETRY_S", 0.01)
    asked = []

    async def handle(request):
        asked.append(request.target)
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
        found = asyncio.Queue()
        task = asyncio.create_task(watch(client, endpoint, found.put_nowait))
        async with asyncio.timeout(WAIT_S):
            items = [await found.get() for _ in range(count)]
        task.cancel()
        client.close()
        await server.close()
        return items

    return asyncio.run(main()), asked


def test_each_report_is_asked_for_after_the_last(monkeypatch):
    answers = [(200, {"sequence": 7, "running": 1}), (200, {"sequence": 8})]
    found, asked = _run(monkeypatch, answers, feeds.watch_load, 2)
    assert [item.report["sequence"] for item in found] == [7, 8]
    assert "after=0" in asked[0] and "after=7" in asked[1]


@pytest.mark.parametrize("broken", [(500, {}), (200, b"{"), (200, [])])
def test_a_report_that_did_not_come_is_told_with_its_reason(
    monkeypatch, broken
):
    answers = [broken, (200, {"sequence": 3})]
    found, _ = _run(monkeypatch, answers, feeds.watch_load, 2)
    assert found[0].report is None and found[0].reason
    assert found[1].report == {"sequence": 3}


@pytest.mark.parametrize("broken", [(500, {}), (200, b"{"), (200, [])])
def test_changes_of_a_cache_are_read_on_after_a_broken_answer(
    monkeypatch, broken
):
    stored = [1, "stored", "key", 10]
    answers = [broken, (200, {"events": [stored], "next": 2})]
    found, _ = _run(monkeypatch, answers, feeds.watch_cache, 1)
    assert found == [feeds.CacheEvent(*stored)]
