"""Answers that must not reach a caller as an answer, over real sockets.

Guards against two failures seen with other routers: a part of a body that was
sent before the end of an upload and then reset was taken for a whole answer,
and an answer with an impossible status was passed on.
"""

import asyncio
import socket
import struct

import pytest
import standin

SIGNED = b"Attempt-Id: %b\r\nServer-Seal: seal-of-r1\r\n"
PART = b"first part of the body"
# More than the socket buffers between a gateway and an endpoint take, and less
# than the largest body of a request.
UPLOAD = b"u" * 4_000_000
LIMITS = {**standin.LIMITS, "maxBodyBytes": len(UPLOAD)}
STREAM_FIELDS = {
    "Model": "m",
    "Token_Count": "60,40",
    "Prompt_Prefix": "aa:20,bb:30,cc:10",
}


def _reset(writer):
    # A close with this option resets the connection.
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


def _half_close(writer):
    """Ends the answer, and resets the connection later."""
    writer.write_eof()


def _close(writer):
    """Closes a connection with unread data, which resets it."""
    writer.transport.abort()


class EarlyRunner(standin.RawRunner):
    """An endpoint that answers an upload before it has read the body.

    Attributes:
        answer: The answer after its first lines, in one write.
        end: Ends the connection.
        delay_s: Time between the answer and the end, seconds.
    """

    def __init__(self, name, service, answer, end, delay_s):
        super().__init__(name, service, 8)
        self.answer = answer
        self.end = end
        self.delay_s = delay_s

    async def write_answer(self, writer, attempt):
        writer.transport.pause_reading()
        writer.write(b"HTTP/1.1 200 OK\r\n" + SIGNED % attempt + self.answer)
        await asyncio.sleep(self.delay_s)
        self.end(writer)
        if self.end is _half_close:
            await asyncio.sleep(0.2)

    def end_connection(self, writer):
        _reset(writer)


def _fleet(runner):
    config = standin.configuration(1, limits=LIMITS)
    return standin.Fleet([runner], config=config)


@pytest.mark.parametrize("delay_s", [0.0, 0.1])
@pytest.mark.parametrize("end", [_reset, _close, _half_close])
@pytest.mark.parametrize(
    "answer",
    [
        b"\r\n" + PART,
        b"Connection: close\r\n\r\n" + PART,
        b"Content-Length: 1000\r\n\r\n" + PART,
    ],
    ids=["no length", "close", "length"],
)
def test_part_of_a_body_sent_during_an_upload_is_no_answer(
    answer, end, delay_s
):
    async def scenario():
        runner = EarlyRunner("r1", "plain", answer, end, delay_s)
        async with _fleet(runner) as fleet:
            response = await fleet.send_request(
                "/issue/1", "id-1", "POST", UPLOAD
            )
            assert response.status == 502
            assert PART not in response.body

    standin.run_scenario(scenario)


@pytest.mark.parametrize("end", [_reset, _close, _half_close])
def test_events_sent_during_an_upload_are_no_whole_stream(end):
    async def scenario():
        answer = b"\r\nid: 1\ndata: piece 1\n\n"
        runner = EarlyRunner("r1", "engines", answer, end, 0.05)
        async with _fleet(runner) as fleet:
            with pytest.raises(standin.http_client.ExchangeError):
                await fleet.send_request(
                    "/ask/1", "id-1", "POST", UPLOAD, **STREAM_FIELDS
                )

    standin.run_scenario(scenario)


class StatusRunner(standin.RawRunner):
    """An endpoint whose answers have a status of its own."""

    def __init__(self, name, service, status):
        super().__init__(name, service, 8)
        self.status = status

    async def write_answer(self, writer, attempt):
        writer.write(
            b"HTTP/1.1 %b Trouble\r\n" % self.status.encode()
            + SIGNED % attempt
            + b"Content-Length: %d\r\n\r\n" % len(PART)
            + PART
        )
        await writer.drain()
        await asyncio.sleep(0.2)


@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
@pytest.mark.parametrize("service", ["plain", "engines"])
def test_answer_with_an_impossible_status_is_no_answer(service, status):
    async def scenario():
        path = "/issue/1" if service == "plain" else "/ask/1"
        fields = {} if service == "plain" else STREAM_FIELDS
        runner = StatusRunner("r1", service, status)
        async with standin.Fleet([runner]) as fleet:
            response = await fleet.send_request(
                path, "id-1", "POST", b"{}", **fields
            )
            assert response.status == 502
            assert PART not in response.body

    standin.run_scenario(scenario)
