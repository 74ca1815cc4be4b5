"""Bytes of callers that are no request in the protocol."""

import asyncio

import pytest
import standin

GOOD = (
    b"POST /issue/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a\r\n"
    b"Authorization: Bearer key-of-the-account\r\n"
)
INNER = b"GET /look/2 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: b\r\n\r\n"


async def _send(fleet, data):
    """Sends bytes and returns all that comes back until the close."""
    address = fleet.address("public_address")
    reader, writer = await asyncio.open_connection(*address)
    writer.write(data)
    try:
        async with asyncio.timeout(standin.WAIT_S):
            return await reader.read()
    finally:
        writer.close()


@pytest.mark.parametrize(
    "data",
    [
        GOOD + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0\r\n\r\n" + INNER,
        GOOD + b"Content-Length: 0\r\nContent-Length: 90\r\n\r\n" + INNER,
        GOOD + b"X: y\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + INNER,
        GOOD + b"X: y\r\n z\r\nContent-Length: 0\r\n\r\n" + INNER,
        GOOD + b"Content-Length: 1x\r\n\r\n" + INNER,
        GOOD + b"Content-Length: +1\r\n\r\n" + INNER,
        GOOD + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + INNER,
        GOOD + b"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + INNER,
        GOOD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n" + INNER,
        GOOD.replace(b" HTTP/1.1", b"") + b"\r\n",
        b"\x16\x03\x01\x02\x00",
    ],
)
def test_bytes_out_of_protocol_are_refused_and_run_nothing(data):
    async def scenario():
        runner = standin.Runner("p1", "plain")
        async with standin.Fleet([runner]) as fleet:
            answer = await _send(fleet, data)
            status = answer.split(b" ")[1] if answer else b""
            assert status in (b"400", b"408", b"501", b""), answer
            assert answer.count(b"HTTP/1.1 ") <= 1
            assert not runner.runs

    standin.run(scenario)


def test_a_head_over_its_limit_is_refused():
    async def scenario():
        runner = standin.Runner("p1", "plain")
        async with standin.Fleet([runner]) as fleet:
            head = GOOD + b"X-Long: " + b"x" * 5000 + b"\r\n\r\n"
            answer = await _send(fleet, head)
            assert answer.split(b" ")[1] == b"431"
            assert not runner.seen

    standin.run(scenario)


def test_a_request_that_does_not_come_to_its_end_is_refused():
    async def scenario():
        runner = standin.Runner("p1", "plain")
        async with standin.Fleet([runner]) as fleet:
            answer = await _send(fleet, GOOD)
            assert answer.split(b" ")[1] == b"408"
            assert not runner.seen

    standin.run(scenario)


def test_a_chunked_body_arrives_whole():
    async def scenario():
        runner = standin.Runner("p1", "plain")
        async with standin.Fleet([runner]) as fleet:
            data = (
                GOOD
                + b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            )
            answer = await _send(fleet, data)
            assert answer.split(b" ")[1] == b"200"
            assert runner.seen[0].body == b"abcde"

    standin.run(scenario)
