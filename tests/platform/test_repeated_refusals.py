"""An endpoint that writes an earlier refusal once more on a kept connection."""

import asyncio

import pytest
import standin

from nutmegpost_router import http_server


class _RefusingRunner(standin.RawRunner):
    """Refuses the first request, and repeats the refusal before the next.

    Attributes:
        names_request: Whether its refusals have the id of the request.
    """

    names_request = True

    async def serve(self, reader, writer):
        refusal = b""
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if refusal:
                await self._run_after(refusal, head, writer)
                continue
            refusal = self._refusal(head)
            writer.write(refusal)

    def _refusal(self, head):
        named = b"Attempt-Id: %s\r\n" % standin.attempt_of(head)
        return (
            b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
            + (named if self.names_request else b"")
            + b"Content-Length: 0\r\n\r\n"
        )

    async def _run_after(self, refusal, head, writer):
        self.executed.append(standin.attempt_of(head).decode())
        writer.write(refusal)
        await asyncio.sleep(0.2)
        writer.write(
            b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: x\r\n"
            b"Content-Length: 4\r\n\r\ndone" % standin.attempt_of(head)
        )


class _AnonymousRunner(_RefusingRunner):
    names_request = False


@pytest.mark.parametrize("kind", [_RefusingRunner, _AnonymousRunner])
def test_repeated_refusal_is_not_taken_for_that_of_the_next_request(kind):
    async def scenario():
        faulty, sound = kind("p1", "plain"), standin.Runner("p2", "plain")
        async with standin.Fleet([faulty, sound]) as fleet:
            first = await fleet.send_request("/issue/1", "id-1", "POST")
            assert first.status == 200
            assert sound.executed == ["id-1"]
            second = await fleet.send_request("/issue/1", "id-2", "POST")
            assert faulty.executed == ["id-2"]
            assert sound.executed == ["id-1"]
            assert second.status == 502

    standin.run_scenario(scenario)


async def _reject_without_id(runner, exchange):
    headers = [("Not-Executed", "1")]
    exchange.send(http_server.Response(503, headers, b""))


def test_refusal_without_an_id_on_a_new_connection_is_believed():
    async def scenario():
        runners = [standin.Runner(name, "plain") for name in ("p1", "p2")]
        runners[0].behaviors = [_reject_without_id]
        async with standin.Fleet(runners) as fleet:
            response = await fleet.send_request("/issue/1", "id-1", "POST")
            assert response.status == 200
            assert runners[1].executed == ["id-1"]

    standin.run_scenario(scenario)
