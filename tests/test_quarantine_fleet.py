"""A request that crashes its engine, repeated through every router."""

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
REQUEST_TIMEOUT_S = 20.0


class _EngineRestarter:
    """Restarts engines that have exited, and records their names."""

    def __init__(self, deployment: harness.Deployment):
        self._deployment = deployment
        self.exited: list[str] = []

    async def run(self):
        while True:
            for name in self._deployment.vm_names("engine"):
                process = self._deployment.processes[name]
                if not process.is_alive:
                    self.exited.append(name)
                    process.start()
            await asyncio.sleep(0.1)


async def _send_poison(
    deployment: harness.Deployment, router: str, request_id: str
) -> tuple[str, str]:
    """Sends the crashing request through a router.

    Returns:
        The error code and the outcome; ("", "answered") for an answer and
        ("no-answer", "unknown") for a failed connection.
    """
    messages = [{"role": "user", "content": f"a {POISON} question"}]
    body = {
        "model": deployment.model,
        "messages": messages,
        "max_tokens": 4,
        "stream": True,
    }
    headers = {
        "authorization": f"Bearer {deployment.keys['press-line-3']}",
        "x-request-id": request_id,
    }
    try:
        reply = await http.request(
            deployment.address(router),
            "POST",
            "/v1/chat/completions",
            headers,
            json.dumps(body).encode(),
            REQUEST_TIMEOUT_S,
        )
    except OSError:
        return "no-answer", "unknown"
    data = reply.body
    if reply.status == 200:
        # A stream that fails reports the error in its last event.
        data = data.rpartition(b"data: ")[2]
        if data.startswith(b"[DONE]"):
            return "", "answered"
    error = json.loads(data)["error"]
    return error["code"], error["outcome"]


async def _check(deployment: harness.Deployment, request_id_for):
    restarter = _EngineRestarter(deployment)
    task = asyncio.create_task(restarter.run())
    chat_load = load.ChatLoad(
        deployment, ACCOUNTS, chats=2, sends_calls=False, request_timeout_s=60.0
    )
    codes = []
    async with chat_load:
        await chat_load.wait_for_answers(6)
        for number in range(ROUNDS):
            for router in deployment.vm_names("router"):
                request_id = request_id_for(number, router)
                code, outcome = await _send_poison(
                    deployment, router, request_id
                )
                assert outcome != "answered"
                assert code != "no-answer"
                codes.append(code)
        await chat_load.wait_for_answers(6)
    task.cancel()
    load.check_answers(chat_load.results)
    assert 1 <= len(restarter.exited) <= CRASHES_MAX, (restarter.exited, codes)
    last_codes = codes[-len(deployment.vm_names("router")) :]
    assert set(last_codes) == {"quarantined"}, codes


@pytest.mark.parametrize("new_ids", [True, False])
def test_request_sent_again_through_every_router(tmp_path, new_ids: bool):
    def request_id_for(number: int, router: str) -> str:
        return f"r-{number}-{router}" if new_ids else "r-1"

    async def main():
        options = {"poison": POISON}
        async with harness.deployment(tmp_path, engine=options) as deployment:
            await _check(deployment, request_id_for)

    asyncio.run(main())


def test_request_sent_through_every_router_at_once(tmp_path):
    async def main():
        options = {"poison": POISON}
        async with harness.deployment(tmp_path, engine=options) as deployment:
            restarter = _EngineRestarter(deployment)
            task = asyncio.create_task(restarter.run())
            for number in range(ROUNDS):
                sent = [
                    _send_poison(deployment, router, f"r-{number}-{router}")
                    for router in deployment.vm_names("router")
                ]
                for _, outcome in await asyncio.gather(*sent):
                    assert outcome != "answered"
            task.cancel()
            assert 1 <= len(restarter.exited) <= CRASHES_MAX, restarter.exited

    asyncio.run(main())
