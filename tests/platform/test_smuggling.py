"""Malformed requests of callers: request smuggling, limits and timeouts."""

import asyncio

import pytest
import standin

VALID_HEAD = (
    b"POST /issue/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a\r\n"
    b"Authorization: Bearer key-of-the-account\r\n"
)
SMUGGLED_REQUEST = (
    b"GET /look/2 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: b\r\n\r\n"
)


async def _exchange_bytes(fleet, data):
    """Sends bytes and returns all bytes received until the close."""
    address = fleet.address("public_address")
    reader, writer = await asyncio.open_connection(*address)
    writer.write(data)
    try:
        async with asyncio.timeout(standin.TIMEOUT_S):
            return await reader.read()
    finally:
        writer.close()


@pytest.mark.parametrize(
    "data",
    [
        VALID_HEAD + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0\r\n\r\n" + SMUGGLED_REQUEST,
        VALID_HEAD
        + b"Content-Length: 0\r\nContent-Length: 90\r\n\r\n"
        + SMUGGLED_REQUEST,
        VALID_HEAD
        + b"X: y\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        + SMUGGLED_REQUEST,
        VALID_HEAD
        + b"X: y\r\n z\r\nContent-Length: 0\r\n\r\n"
        + SMUGGLED_REQUEST,
        VALID_HEAD + b"Content-Length: 1x\r\n\r\n" + SMUGGLED_REQUEST,
        VALID_HEAD + b"Content-Length: +1\r\n\r\n" + SMUGGLED_REQUEST,
        VALID_HEAD
        + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"
        + SMUGGLED_REQUEST,
        VALID_HEAD
        + b"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n"
        + SMUGGLED_REQUEST,
        VALID_HEAD
        + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n"
        + SMUGGLED_REQUEST,
        VALID_HEAD.replace(b" HTTP/1.1", b"") + b"\r\n",
        b"\x16\x03\x01\x02\x00",
    ],
)
def test_malformed_request_is_refused_and_runs_nothing(data):
    async def scenario():
        runner = standin.Runner("p1", "plain")
        async with standin.Fleet([runner]) as fleet:
            response = await _exchange_bytes(fleet, data)
            status = response.split(b" ")[1] if response else b""
            assert status in (b"400", b"408", b"501", b""), response
            assert response.count(b"HTTP/1.1 ") <= 1
            assert not runner.executed

    standin.run_scenario(scenario)


def test_header_over_the_size_limit_is_refused():
    async def scenario():
        runner = standin.Runner("p1", "plain")
        async with standin.Fleet([runner]) as fleet:
            head = VALID_HEAD + b"X-Long: " + b"x" * 5000 + b"\r\n\r\n"
            response = await _exchange_bytes(fleet, head)
            assert response.split(b" ")[1] == b"431"
            assert not runner.received

    standin.run_scenario(scenario)


def test_incomplete_header_is_refused_after_the_header_timeout():
    async def scenario():
        runner = standin.Runner("p1", "plain")
        async with standin.Fleet([runner]) as fleet:
            response = await _exchange_bytes(fleet, VALID_HEAD)
            assert response.split(b" ")[1] == b"408"
            assert not runner.received

    standin.run_scenario(scenario)


def test_chunked_body_arrives_complete():
    async def scenario():
        runner = standin.Runner("p1", "plain")
        async with standin.Fleet([runner]) as fleet:
            data = (
                VALID_HEAD
                + b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            )
            response = await _exchange_bytes(fleet, data)
            assert response.split(b" ")[1] == b"200"
            assert runner.received[0].body == b"abcde"

    standin.run_scenario(scenario)
