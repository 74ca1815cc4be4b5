"""Endpoints that stop in the middle of the head of an answer and close."""

import pytest
import standin

_HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"Attempt-Id: %b\r\n"
    b"Server-Seal: seal-of-r1\r\n"
    b"Content-Type: text/event-stream\r\n"
    b"Content-Length: 30\r\n"
)
# Lengths of the heads, up to all fields without the empty line.
_HEAD_LENGTHS = (1, 9, 15, 16, 17, 25, 60, 61, 80, 95, 118, 130, 135, 140)


class CutHeadRunner(standin.RawRunner):
    """An endpoint that sends the first bytes of a head and closes."""

    def __init__(self, service, length):
        super().__init__("r1", service, 8)
        self.length = length

    async def write_answer(self, writer, attempt):
        head = _HEAD % attempt
        writer.write(head[: self.length])
        await writer.drain()


@pytest.mark.parametrize(
    ("service", "path", "prompt"),
    [
        ("plain", "/look/1", False),
        ("plain", "/issue/1", False),
        ("engines", "/draft/1", True),
        ("engines", "/ask/1", True),
    ],
)
def test_answer_whose_head_is_cut_is_no_success(service, path, prompt):
    async def scenario():
        runner = CutHeadRunner(service, 0)
        async with standin.Fleet([runner]) as fleet:
            send = fleet.send_stream_request if prompt else fleet.send_request
            for length in (*_HEAD_LENGTHS, len(_HEAD % (b"0" * 10))):
                runner.length = length
                response = await send(path, f"id-{length:07d}")
                assert response.status in (502, 504)

    standin.run_scenario(scenario)


@pytest.mark.parametrize("path", ["/look/1", "/draft/1"])
def test_repeatable_request_whose_head_is_cut_is_served_elsewhere(path):
    async def scenario():
        service = "plain" if path == "/look/1" else "engines"
        runners = [CutHeadRunner(service, 60), standin.Runner("r2", service)]
        async with standin.Fleet(runners) as fleet:
            send = (
                fleet.send_request
                if path == "/look/1"
                else fleet.send_stream_request
            )
            for number in range(6):
                response = await send(path, f"id-{number}")
                assert response.status == 200
                assert response.headers["server-seal"] == "seal-of-r2"

    standin.run_scenario(scenario)
