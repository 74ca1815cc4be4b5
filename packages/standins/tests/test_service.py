import asyncio
import json

import pytest

from nutmegpost_standins import http
from nutmegpost_standins import service


def _run(faults: dict, calls: int, timeout: float = 10.0):
    async def main():
        runner = service.Runner(service.Options("127.0.0.1:0", work_ms=1.0))
        server = await http.serve("127.0.0.1:0", runner.handle)
        await http.request(
            server.address,
            "POST",
            "/standin/faults",
            body=json.dumps(faults).encode(),
        )
        statuses = []
        for _ in range(calls):
            try:
                reply = await http.request(
                    server.address,
                    "POST",
                    "/release",
                    {"idempotency-key": "k"},
                    b'{"coil": 1}',
                    timeout,
                )
                statuses.append(reply.status)
            except OSError as caught:
                statuses.append(type(caught))
        reply = await http.request(server.address, "GET", "/standin/records")
        await server.close()
        return statuses, json.loads(reply.body)["executions"]

    return asyncio.run(main())


def test_repeated_call_is_counted():
    assert _run({}, 2) == ([200, 200], {"k": 2})


@pytest.mark.parametrize(
    ("fault", "executions"),
    [("refuse", {}), ("drop_after", {"k": 1})],
)
def test_executions_at_dropped_connections(fault: str, executions: dict):
    statuses, counted = _run({fault: True}, 1)
    assert statuses == [ConnectionResetError]
    assert counted == executions


@pytest.mark.parametrize(
    ("fault", "executions"), [("hang_before", {}), ("hang_after", {"k": 1})]
)
def test_executions_at_hangs(fault: str, executions: dict):
    statuses, counted = _run({fault: True}, 1, timeout=0.3)
    assert statuses == [TimeoutError]
    assert counted == executions
