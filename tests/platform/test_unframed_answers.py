"""Answers with neither a length nor chunks, which end with their connection."""

import asyncio
import socket
import struct

import pytest
import standin

HEAD = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nServer-Seal: seal-of-r1\r\n"
    b"Connection: close\r\n\r\n"
)


def _event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


class UnframedRunner(standin.RawRunner):
    """An endpoint that answers with some bytes and closes the connection.

    Attributes:
        pieces: Writes of the answer, in order.
        is_reset: Whether it resets the connection instead of closing it.
    """

    def __init__(self, name, service, pieces, is_reset=False):
        super().__init__(name, service, 8)
        self.pieces = pieces
        self.is_reset = is_reset

    async def write_answer(self, writer, attempt):
        writer.write(HEAD % attempt)
        for piece in self.pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.01)

    def end_connection(self, writer):
        if self.is_reset:
            # A close with this option resets the connection.
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        super().end_connection(writer)


def _fleet(service, pieces, is_reset=False):
    runner = UnframedRunner("r1", service, pieces, is_reset)
    return standin.Fleet([runner])


def test_unframed_body_is_relayed_whole():
    async def scenario():
        async with _fleet("plain", [b"first ", b"second"]) as fleet:
            response = await fleet.send_request("/look/1", "id-1")
            assert response.status == 200
            assert response.body == b"first second"

    standin.run_scenario(scenario)


def test_unframed_body_that_is_reset_is_not_complete():
    async def scenario():
        async with _fleet("plain", [b"first "], is_reset=True) as fleet:
            response = await fleet.send_request("/issue/1", "id-1", "POST")
            assert response.status == 502

    standin.run_scenario(scenario)


def test_unframed_stream_that_ends_after_an_event_is_complete():
    async def scenario():
        events = [_event(1), _event(2)]
        async with _fleet("engines", events) as fleet:
            response = await fleet.send_stream_request("/ask/1", "id-1")
            assert response.status == 200
            assert response.body == b"".join(events)

    standin.run_scenario(scenario)


def test_unframed_stream_that_ends_inside_an_event_is_broken_off():
    async def scenario():
        answer = [_event(1), b"id: 2\ndata: pie"]
        async with _fleet("engines", answer) as fleet:
            with pytest.raises(standin.http_client.ExchangeError):
                await fleet.send_stream_request("/ask/1", "id-1")

    standin.run_scenario(scenario)


def test_unframed_stream_that_is_reset_after_an_event_is_broken_off():
    async def scenario():
        async with _fleet("engines", [_event(1)], is_reset=True) as fleet:
            with pytest.raises(standin.http_client.ExchangeError):
                await fleet.send_stream_request("/ask/1", "id-1")

    standin.run_scenario(scenario)


def test_unframed_stream_without_an_event_is_no_answer():
    async def scenario():
        async with _fleet("engines", []) as fleet:
            response = await fleet.send_stream_request("/ask/1", "id-1")
            assert response.status == 502

    standin.run_scenario(scenario)


def test_unframed_stream_broken_inside_an_event_is_resumed_elsewhere():
    async def scenario():
        answer = [_event(1), b"id: 2\ndata: pie"]
        first = UnframedRunner("r1", "engines", answer)
        second = standin.Runner("r2", "engines", 8)
        async with standin.Fleet([first, second]) as fleet:
            for number in range(8):
                response = await fleet.send_stream_request(
                    f"/draft/{number}", f"id-{number}"
                )
                assert response.status == 200
                assert response.body == b"".join(map(_event, range(1, 6)))
            assert first.executed

    standin.run_scenario(scenario)
