"""The whole path across processes: callers, routers, endpoints, platform."""

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
        async with harness.deployment(tmp_path, example) as found:
            runs = load.Load(found, ACCOUNTS[example], chats=2, tokens=16)
            async with runs:
                await runs.until_answered(60)
            load.check_answers(runs.results)
            await _check_calls(found, runs)
            await _check_engines(found, runs)
            await _check_admin(found)
            return runs.results

    results = asyncio.run(main())
    assert sum(item.cached_tokens for item in results) > 0


async def _check_calls(found: harness.Deployment, runs: load.Load):
    assert {item.outcome for item in runs.calls} == {"answered"}
    executions = await found.executions()
    assert set(executions.values()) == {1}
    assert len(executions) == len(runs.calls)


async def _check_engines(found: harness.Deployment, runs: load.Load):
    executions: list[int] = []
    for name in found.names("engine"):
        rows = (await found.records(name))["executions"]
        executions += rows.values()
    assert executions == [1] * len(runs.results)
    served = {item.served_by for item in runs.results}
    assert served <= set(found.names("engine"))


async def _check_admin(found: harness.Deployment):
    for name in found.names("router"):
        status = await found.admin(name, "/admin/status")
        assert status["configuration_version"] == 1
        assert status["name"] == name
        reply = await http.request(
            found.admin_address(name), "GET", "/admin/status"
        )
        assert reply.status == 401


def test_every_error_says_what_became_of_the_request(tmp_path):
    async def main():
        async with harness.deployment(tmp_path, engines=1) as found:
            address = found.address("router-1")
            key = found.keys["press-line-1"]
            for expected, path, given, body in _bad_requests(found):
                headers = {"authorization": f"Bearer {given or key}"}
                reply = await http.request(address, "POST", path, headers, body)
                answer = json.loads(reply.body)["error"]
                assert reply.status == expected, (path, body[:80], answer)
                assert reply.headers["x-outcome"] == "not-run"
                assert answer["outcome"] == "not-run"
            await found.until_healthy("router-1")
            assert await found.executions() == {}
            assert (await found.records("runner-1"))["rows"] == []

    asyncio.run(main())


def _bad_requests(found: harness.Deployment):
    chat = "/v1/chat/completions"
    message = {"role": "user", "content": "hello"}
    good = {"model": found.model, "messages": [message], "max_tokens": 4}
    foreign = json.dumps(good | {"model": "no-such-model"}).encode()
    call = f"/v1/services/{found.service}/{found.operation}"
    return [
        (400, chat, "", b"not JSON"),
        (400, chat, "", b'{"model": 1}'),
        (401, chat, "a key of nobody", json.dumps(good).encode()),
        (404, chat, "", foreign),
        (404, "/v1/services/no-such-service/x", "", b"{}"),
        (404, f"/v1/services/{found.service}/no-such", "", b"{}"),
        (428, call, "", b"{}"),
    ]
