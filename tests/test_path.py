"""End-to-end requests across callers, routers, endpoints and the platform."""

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

ACCOUNTS = {
    "plant": ["shift-supervisors", "press-line-1", "defect-tagging"],
    "timber": ["inspectors-north", "merchants-quebec", "clerks"],
}


@pytest.mark.parametrize("example", ACCOUNTS)
def test_chats_and_a_call(tmp_path, example: str):
    async def main():
        async with harness.deployment(tmp_path, example) as deployment:
            chat_load = load.ChatLoad(
                deployment, ACCOUNTS[example], chats=2, tokens=16
            )
            async with chat_load:
                await chat_load.wait_for_answers(60)
            load.check_answers(chat_load.results)
            await _check_calls(deployment, chat_load)
            await _check_engines(deployment, chat_load)
            await _check_admin(deployment)
            return chat_load.results

    results = asyncio.run(main())
    assert sum(result.cached_tokens for result in results) > 0


async def _check_calls(
    deployment: harness.Deployment, chat_load: load.ChatLoad
):
    assert {result.outcome for result in chat_load.calls} == {"answered"}
    executions = await deployment.executions()
    assert set(executions.values()) == {1}
    assert len(executions) == len(chat_load.calls)


async def _check_engines(
    deployment: harness.Deployment, chat_load: load.ChatLoad
):
    executions: list[int] = []
    for name in deployment.vm_names("engine"):
        rows = (await deployment.records(name))["executions"]
        executions += rows.values()
    assert executions == [1] * len(chat_load.results)
    served = {result.served_by for result in chat_load.results}
    assert served <= set(deployment.vm_names("engine"))


async def _check_admin(deployment: harness.Deployment):
    for name in deployment.vm_names("router"):
        status = await deployment.get_admin(name, "/admin/status")
        assert status["configuration_version"] == 1
        assert status["name"] == name
        reply = await http.request(
            deployment.admin_address(name), "GET", "/admin/status"
        )
        assert reply.status == 401


def test_every_error_reports_the_outcome(tmp_path):
    async def main():
        async with harness.deployment(tmp_path, engines=1) as deployment:
            address = deployment.address("router-1")
            valid_key = deployment.keys["press-line-1"]
            for expected, path, key, body in _bad_requests(deployment):
                headers = {"authorization": f"Bearer {key or valid_key}"}
                reply = await http.request(address, "POST", path, headers, body)
                answer = json.loads(reply.body)["error"]
                assert reply.status == expected, (path, body[:80], answer)
                assert reply.headers["x-outcome"] == "not-run"
                assert answer["outcome"] == "not-run"
            await deployment.wait_until_healthy("router-1")
            assert await deployment.executions() == {}
            assert (await deployment.records("runner-1"))["rows"] == []

    asyncio.run(main())


def _bad_requests(deployment: harness.Deployment):
    chat = "/v1/chat/completions"
    message = {"role": "user", "content": "hello"}
    valid = {"model": deployment.model, "messages": [message], "max_tokens": 4}
    foreign = json.dumps(valid | {"model": "no-such-model"}).encode()
    call = f"/v1/services/{deployment.service}/{deployment.operation}"
    return [
        (400, chat, "", b"not JSON"),
        (400, chat, "", b'{"model": 1}'),
        (401, chat, "a key of nobody", json.dumps(valid).encode()),
        (404, chat, "", foreign),
        (404, "/v1/services/no-such-service/x", "", b"{}"),
        (404, f"/v1/services/{deployment.service}/no-such", "", b"{}"),
        (428, call, "", b"{}"),
    ]
