"""An endpoint that writes an earlier refusal once more on a kept connection."""

import asyncio
import collections

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


class _RestartedRunner(standin.RawRunner):
    """Refuses the requests to its predecessor, and repeats each refusal late.

    The copy comes where the next answer on the connection is expected.

    Attributes:
        status_line: Status line of its refusals.
    """

    status_line = b""

    async def serve(self, reader, writer):
        refusal = b""
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            attempt = standin.attempt_of(head)
            writer.write(refusal)
            if b"expect-instance: p1\r\n" not in head:
                refusal = (
                    b"HTTP/1.1 %s\r\nNot-Executed: 1\r\nAttempt-Id: %s\r\n"
                    b"Content-Length: 0\r\n\r\n" % (self.status_line, attempt)
                )
                writer.write(refusal)
                continue
            self.executed.append(attempt.decode())
            await asyncio.sleep(0.05)
            writer.write(
                b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: x\r\n"
                b"Content-Length: 4\r\n\r\ndone" % attempt
            )


# Guards against a late copy of one try's refusal that ends the next try.
@pytest.mark.parametrize("path", ["/issue/1", "/look/1"])
@pytest.mark.parametrize(
    "status_line",
    [b"421 Misdirected", b"503 Unavailable", b"429 Too Many", b"408 Timeout"],
)
def test_late_copy_of_a_refusal_is_not_taken_for_the_answer_to_the_next_try(
    path, status_line
):
    async def scenario():
        restarted = _RestartedRunner("p1", "plain")
        restarted.status_line = status_line
        sound = standin.Runner("p2", "plain")
        async with standin.Fleet([restarted, sound]) as fleet:
            gateway = fleet.gateways[0]
            fleet.store.put("servers/p0", restarted.entry())
            await fleet.wait_until(
                lambda: "p0" in gateway.local_state.roster.endpoints
            )
            for number in range(20):
                response = await fleet.send_request(
                    path, f"id-{number}", "POST"
                )
                assert response.status == 200
            runs = collections.Counter(restarted.executed + sound.executed)
            assert restarted.executed
            assert set(runs.values()) == {1}

    standin.run_scenario(scenario)
