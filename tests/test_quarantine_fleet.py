"""A request that crashes its engine, sent again through every router."""

import asyncio
import json

import harness
import load
import pytest

from nutmegpost_standins import http

pytestmark = [
    pytest.mark.processes,
    pytest.mark.xdist_group("processes"),
]

ACCOUNTS = ["press-line-1", "press-line-2"]
POISON = "poisonous"
CRASHES_MAX = 2
ROUNDS = 3
WAIT_S = 20.0


class _Restarts:
    """Starts engines that have died again, and counts their deaths."""

    def __init__(self, found: harness.Deployment):
        self._found = found
        self.died: list[str] = []

    async def run(self):
        while True:
            for name in self._found.names("engine"):
                process = self._found.processes[name]
                if not process.is_alive:
                    self.died.append(name)
                    process.start()
            await asyncio.sleep(0.1)


async def _send(
    found: harness.Deployment, router: str, request_id: str
) -> tuple[str, str]:
    """Sends the poison through a router; returns the error and outcome."""
    messages = [{"role": "user", "content": f"a {POISON} question"}]
    body = {
        "model": found.model,
        "messages": messages,
        "max_tokens": 4,
        "stream": True,
    }
    headers = {
        "authorization": f"Bearer {found.keys['press-line-3']}",
        "x-request-id": request_id,
    }
    try:
        reply = await http.request(
            found.address(router),
            "POST",
            "/v1/chat/completions",
            headers,
            json.dumps(body).encode(),
            WAIT_S,
        )
    except OSError:
        return "no-answer", "unknown"
    data = reply.body
    if reply.status == 200:
        # The error is the last event of the stream.
        data = data.rpartition(b"data: ")[2]
        if data.startswith(b"[DONE]"):
            return "", "answered"
    error = json.loads(data)["error"]
    return error["code"], error["outcome"]


async def _check(found: harness.Deployment, name_for):
    restarts = _Restarts(found)
    task = asyncio.create_task(restarts.run())
    runs = load.Load(
        found, ACCOUNTS, chats=2, releases=False, request_timeout_s=60.0
    )
    codes = []
    async with runs:
        await runs.until_answered(6)
        for number in range(ROUNDS):
            for router in found.names("router"):
                name = name_for(number, router)
                code, outcome = await _send(found, router, name)
                assert outcome != "answered"
                assert code != "no-answer"
                codes.append(code)
        await runs.until_answered(6)
    task.cancel()
    load.check_answers(runs.results)
    assert 1 <= len(restarts.died) <= CRASHES_MAX, (restarts.died, codes)
    last = codes[-len(found.names("router")) :]
    assert set(last) == {"quarantined"}, codes


@pytest.mark.parametrize("fresh", [True, False])
def test_request_sent_again_through_every_router(tmp_path, fresh: bool):
    def name_for(number: int, router: str) -> str:
        return f"r-{number}-{router}" if fresh else "r-1"

    async def main():
        options = {"poison": POISON}
        async with harness.deployment(tmp_path, engine=options) as found:
            await _check(found, name_for)

    asyncio.run(main())


def test_request_sent_through_every_router_at_once(tmp_path):
    async def main():
        options = {"poison": POISON}
        async with harness.deployment(tmp_path, engine=options) as found:
            restarts = _Restarts(found)
            task = asyncio.create_task(restarts.run())
            for number in range(ROUNDS):
                sent = [
                    _send(found, router, f"r-{number}-{router}")
                    for router in found.names("router")
                ]
                for _, outcome in await asyncio.gather(*sent):
                    assert outcome != "answered"
            task.cancel()
            assert 1 <= len(restarts.died) <= CRASHES_MAX, restarts.died

    asyncio.run(main())
