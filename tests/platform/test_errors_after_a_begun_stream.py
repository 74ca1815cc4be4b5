"""A stream that broke off, and the next endpoint answers with an error."""

import asyncio
import contextlib

import pytest
import standin

FIRST_EVENTS = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
ERROR = b"the model is out of order"


class _Errors(standin.RawRunner):
    """Begins one stream for all endpoints, and answers later with an error.

    Attributes:
        asked: Names of the endpoints that were asked, of all that share it.
        head: Head of the error; None to send its text alone.
    """

    def __init__(self, name, asked, head):
        super().__init__(name, "engines", 8)
        self.asked = asked
        self.head = head

    async def write_answer(self, writer, attempt):
        self.asked.append(self.name)
        named = b"Attempt-Id: %s\r\nServer-Seal: x\r\n" % attempt
        if len(self.asked) == 1:
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                + named
                + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n"
                % (len(FIRST_EVENTS), FIRST_EVENTS)
            )
            await asyncio.sleep(0.05)
            return
        if self.head is None:
            writer.write(ERROR)
            return
        length = b"Content-Length: %d\r\n\r\n" % len(ERROR)
        writer.write(self.head + named + length + ERROR)


def _runners(head):
    asked = []
    return [_Errors(name, asked, head) for name in ("e1", "e2", "e3")]


async def _read_raw(fleet):
    """Sends a request for a stream and returns all bytes of the answer."""
    address = fleet.address("public_address")
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(
        b"POST /draft/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: id-1\r\n"
        b"Authorization: Bearer %s\r\nDeadline-Ms: 3000\r\nModel: m\r\n"
        b"Token-Count: 60,40\r\nPrompt-Prefix: aa:20,bb:30,cc:10\r\n"
        b"Content-Length: 2\r\n\r\n{}"
        % (standin.HOST.encode(), standin.API_KEY.encode())
    )
    data = b""
    with contextlib.suppress(ConnectionError):
        while part := await reader.read(65_536):
            data += part
    writer.close()
    return data


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n",
        b"HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\n",
        b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n",
        b"HTTP/1.1 503 Service Unavailable\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n",
        b"HTTP/1.1 204 No Content\r\n",
        None,
    ],
)
def test_error_of_the_next_endpoint_is_no_part_of_the_stream(head):
    async def scenario():
        async with standin.Fleet(_runners(head)) as fleet:
            data = await _read_raw(fleet)
            answer, _, body = data.partition(b"\r\n\r\n")
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert body.count(b"data: piece") == 2
            assert b"out of order" not in data
            assert data.count(b"HTTP/1.1") == 1
            # The chunk that would end the stream is missing.
            assert not data.endswith(b"0\r\n\r\n")

    standin.run_scenario(scenario)
