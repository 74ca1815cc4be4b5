"""Tests of the HTTP server and client, with each other and with raw bytes."""

import asyncio
import itertools
import json
import socket
import struct
from unittest import mock

import hypothesis
from hypothesis import strategies
import pytest

from nutmegpost_core import errors
from nutmegpost_core import vms
from nutmegpost_router import http_client
from nutmegpost_router import http_server

HOST = "127.0.0.1"


async def _start_server(handler, **options):
    server = await http_server.serve(vms.Address(HOST, 0), handler, **options)
    port = server._server.sockets[0].getsockname()[1]
    return server, vms.Address(HOST, port)


def _run(handler, run_client, **options):
    async def main():
        server, address = await _start_server(handler, **options)
        try:
            return await asyncio.wait_for(run_client(address), 20)
        finally:
            await server.close()

    return asyncio.run(main())


async def _echo(exchange):
    request = exchange.request
    body = json.dumps([request.method, request.target]).encode()
    exchange.send(http_server.Response(200, [], body + request.body))


async def _raw(address, data):
    reader, writer = await asyncio.open_connection(*address)
    writer.write(data)
    answer = await reader.read()
    writer.close()
    return answer


def test_requests_reuse_a_connection():
    async def run_client(address):
        client = http_client.Client()
        answers = [
            await client.request(address, "POST", f"/{n}", {}, b"body")
            for n in range(3)
        ]
        client.close()
        return answers

    answers = _run(_echo, run_client)
    assert [answer.status for answer in answers] == [200] * 3
    assert answers[2].body == b'["POST", "/2"]body'


def test_streamed_response_with_trailer():
    async def handler(exchange):
        exchange.start(200, [("Trailer", "X-Outcome")])
        for piece in (b"one", b"two"):
            exchange.write(piece)
            await exchange.drain()
        exchange.finish([("X-Outcome", "answered")])

    async def run_client(address):
        client = http_client.Client()
        stream = await client.stream(address, "GET", "/", {})
        whole = await stream.read_all(5)
        stream.close()
        return whole, await _raw(
            address, b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        )

    whole, raw = _run(handler, run_client)
    assert whole == b"onetwo"
    assert b"answered" in raw


def test_no_listener_raises_connect_error():
    async def main():
        server, address = await _start_server(_echo)
        await server.close()
        with pytest.raises(http_client.ConnectError):
            await http_client.Client().request(address, "GET", "/", {})

    asyncio.run(main())


def test_lost_response_raises_exchange_error():
    async def handler(exchange):
        exchange._connection.close()

    async def run_client(address):
        with pytest.raises(http_client.ExchangeError):
            await http_client.Client().request(address, "GET", "/", {})

    _run(handler, run_client)


def test_missing_response_times_out():
    async def handler(exchange):
        await exchange.disconnected.wait()

    async def run_client(address):
        with pytest.raises(http_client.ExchangeError):
            await http_client.Client().request(
                address, "GET", "/", {}, timeout_s=0.05
            )

    _run(handler, run_client)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: x\r\n" + b"A: b\r\n" * 80 + b"\r\n", 431),
        (b"GET /" + b"x" * 40_000 + b" HTTP/1.1\r\nHost: x\r\n\r\n", 431),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n", 413),
    ],
)
def test_malformed_request_gets_error_response(data, status):
    reported = []

    async def run_client(address):
        return await _raw(address, data + b"x" * 99)

    answer = _run(
        _echo, run_client, body_bytes_max=50, on_refused=reported.append
    )
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d" % status)
    assert json.loads(body)["error"]["outcome"] == "not-run"
    assert len(reported) == 1


def test_handler_exception_fails_only_its_request():
    reported = []

    async def handler(exchange):
        if exchange.request.target == "/bad":
            raise ZeroDivisionError
        if exchange.request.target == "/refused":
            raise errors.OverloadError("full", retry_after=2.0)
        await _echo(exchange)

    async def run_client(address):
        client = http_client.Client()
        return [
            await client.request(address, "GET", target, {})
            for target in ("/bad", "/refused", "/good")
        ]

    bad, refused, good = _run(handler, run_client, on_failed=reported.append)
    assert json.loads(bad.body)["error"]["outcome"] == "unknown"
    assert refused.status == 429
    assert refused.headers["retry-after"] == "2"
    assert refused.headers["x-outcome"] == "not-run"
    assert good.status == 200
    assert len(reported) == 1


class _Gate:
    """A handler that blocks until `opened` is set."""

    def __init__(self):
        self.opened = asyncio.Event()
        self.entered = 0

    async def handle(self, exchange):
        self.entered += 1
        await self.opened.wait()
        await _echo(exchange)

    async def until_entered(self, count):
        while self.entered < count:
            await asyncio.sleep(0.01)


def test_connection_over_limit_evicts_longest_idle_one():
    async def run_client(address):
        idle = [await asyncio.open_connection(*address) for _ in range(2)]
        client = http_client.Client()
        answer = await client.request(address, "GET", "/", {}, b"")
        assert answer.status == 200
        assert await idle[0][0].read() == b""
        idle[1][1].write(b"GET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await idle[1][0].readline()).startswith(b"HTTP/1.1 200")
        for _, writer in idle:
            writer.close()
        client.close()

    _run(_echo, run_client, limits=lambda: http_server.Limits(connections=2))


# Guards against connections beyond the limit that hold unsent responses.
def test_connection_over_limit_ends_one_whose_client_takes_nothing():
    counts = []

    async def main():
        async def answer(exchange):
            exchange.send(http_server.Response(200, [], b"x" * 8_000_000))

        server, address = await _start_server(
            answer, limits=lambda: http_server.Limits(connections=2)
        )
        writers = []
        for _ in range(6):
            _, writer = await asyncio.open_connection(*address, limit=64)
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            writers.append(writer)
            await asyncio.sleep(0.1)
            counts.append(server.open_work.connections)
        for writer in writers:
            writer.transport.abort()
        await server.close()

    asyncio.run(main())
    assert max(counts) == 2


def test_connection_is_refused_when_all_others_are_busy():
    gate = _Gate()
    refused = []

    async def run_client(address):
        client = http_client.Client()
        tasks = [
            asyncio.create_task(
                client.request(address, "GET", f"/{number}", {}, b"")
            )
            for number in range(2)
        ]
        await gate.until_entered(2)
        reader, writer = await asyncio.open_connection(*address)
        assert await reader.read() == b""
        writer.close()
        assert [str(error) for error in refused] == ["too many connections"]
        gate.opened.set()
        assert [(await task).status for task in tasks] == [200, 200]
        client.close()

    _run(
        gate.handle,
        run_client,
        limits=lambda: http_server.Limits(connections=2),
        on_refused=refused.append,
    )


def test_bodies_of_all_requests_share_a_memory_limit():
    gate = _Gate()

    async def run_client(address):
        client = http_client.Client()

        async def send_body(size):
            answer = await client.request(
                address, "POST", "/", {}, b"b" * size, fresh=True
            )
            return answer.status, answer.headers.get("retry-after")

        assert await send_body(101) == (503, "1")
        first = asyncio.create_task(send_body(80))
        await gate.until_entered(1)
        assert await send_body(50) == (503, "1")
        gate.opened.set()
        assert (await first)[0] == 200
        assert (await send_body(100))[0] == 200
        client.close()

    _run(
        gate.handle,
        run_client,
        limits=lambda: http_server.Limits(buffered_body_bytes=100),
    )


def test_body_memory_is_released_on_disconnect():
    async def run_client(address):
        _, writer = await asyncio.open_connection(*address)
        writer.write(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 90\r\n\r\n"
        )
        writer.write(b"b" * 80)
        await writer.drain()
        writer.close()
        await writer.wait_closed()
        client = http_client.Client()
        status = 503
        while status == 503:
            answer = await client.request(
                address, "POST", "/", {}, b"b" * 90, fresh=True
            )
            status = answer.status
        assert status == 200
        client.close()

    _run(
        _echo,
        run_client,
        limits=lambda: http_server.Limits(buffered_body_bytes=100),
    )


@pytest.mark.parametrize(
    ("end", "reason"),
    [
        (lambda exchange, writer: writer.close(), "closed by the client"),
        (lambda exchange, writer: exchange.abort(), "closed here"),
        (lambda exchange, writer: _reset(writer), "[Errno 104]"),
    ],
)
def test_reason_for_which_a_connection_was_lost_is_known(end, reason):
    exchanges = []

    async def run_client(address):
        _, writer = await asyncio.open_connection(*address)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        while not exchanges:
            await asyncio.sleep(0.01)
        assert not exchanges[0].loss_reason
        end(exchanges[0], writer)
        await exchanges[0].disconnected.wait()
        assert exchanges[0].loss_reason.startswith(reason)

    async def wait(exchange):
        exchanges.append(exchange)
        await exchange.disconnected.wait()

    _run(wait, run_client)


def _reset(writer):
    linger = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def _run_consumer(handler, consume):
    """Runs a function on a stream that a handler sends."""

    async def run_client(address):
        client = http_client.Client()
        stream = await client.stream(address, "GET", "/", {})
        try:
            return await consume(stream)
        finally:
            stream.close()
            client.close()

    return _run(handler, run_client)


async def _send_pieces(exchange, pause_s=0.01):
    exchange.start(200, [])
    for number in range(4):
        exchange.write(b"piece %d " % number)
        await asyncio.sleep(pause_s)
    exchange.finish()


def test_consumer_gets_the_whole_body_in_order():
    async def consume(stream):
        received = []

        def consumer(data):
            received.append(data)
            return http_client.Consumed.PROGRESS

        assert await stream.consume(consumer, 5.0)
        return b"".join(received)

    body = _run_consumer(_send_pieces, consume)
    assert body == b"piece 0 piece 1 piece 2 piece 3 "


def test_full_consumer_gets_the_rest_with_the_next_call():
    async def consume(stream):
        received = []

        def consumer(data):
            received.append(data)
            return http_client.Consumed.FULL

        calls = 1
        while not await stream.consume(consumer, 5.0):
            calls += 1
        return b"".join(received), calls

    body, calls = _run_consumer(_send_pieces, consume)
    assert body == b"piece 0 piece 1 piece 2 piece 3 "
    assert calls >= 2


def test_data_without_progress_does_not_extend_the_timeout():
    async def consume(stream):
        loop = asyncio.get_running_loop()
        start = loop.time()
        with pytest.raises(http_client.ReadTimeoutError):
            await stream.consume(lambda _: http_client.Consumed.NOTHING, 0.15)
        return loop.time() - start

    async def trickle(exchange):
        await _send_pieces(exchange, pause_s=0.1)

    assert _run_consumer(trickle, consume) < 0.3


def test_error_of_the_consumer_fails_the_exchange():
    async def consume(stream):
        def consumer(_):
            raise errors.PeerError("not an event")

        with pytest.raises(http_client.ExchangeError, match="not an event"):
            await stream.consume(consumer, 5.0)

    _run_consumer(_send_pieces, consume)


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_streamed_body_is_framed_by_the_version_of_the_client(version):
    async def run_client(address):
        request = b"GET / HTTP/%b\r\nHost: x\r\nConnection: close\r\n\r\n"
        return await _raw(address, request % version)

    answer = _run(_send_pieces, run_client)
    body = answer.partition(b"\r\n\r\n")[2]
    if version == b"1.0":
        assert body == b"piece 0 piece 1 piece 2 piece 3 "
    else:
        assert body.startswith(b"8\r\npiece 0 \r\n8\r\npiece 1 \r\n")
        assert body.endswith(b"0\r\n\r\n")


_EVENTS = [b"id: %d\ndata: %d\n\n" % (n, n) for n in range(12)]
_CHUNKED_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"".join(b"%x\r\n%b\r\n" % (len(event), event) for event in _EVENTS)
    + b"0\r\n\r\n"
)


@hypothesis.given(
    strategies.sets(strategies.integers(1, len(_CHUNKED_RESPONSE) - 1))
)
def test_chunked_body_is_read_however_it_is_split(cuts):
    async def read():
        connection = http_client._Connection()
        connection._transport = mock.Mock()
        connection.send("h", "GET", "/", {}, b"")
        bounds = [0, *sorted(cuts), len(_CHUNKED_RESPONSE)]
        for start, end in itertools.pairwise(bounds):
            connection.data_received(_CHUNKED_RESPONSE[start:end])
        assert connection.complete
        return bytes(connection._body)

    assert asyncio.run(read()) == b"".join(_EVENTS)


async def _answer_in_chunks(exchange):
    exchange.start(200, [])
    exchange.write(b"body")
    exchange.finish()


def test_stream_that_fills_its_consumer_at_its_end_blocks_no_later_request():
    async def run_client(address):
        client = http_client.Client()
        stream = await client.stream(address, "GET", "/", {})
        await asyncio.sleep(0.05)
        assert await stream.consume(lambda _: http_client.Consumed.FULL, 1)
        stream.close()
        return await client.request(address, "GET", "/", {}, timeout_s=1)

    assert _run(_answer_in_chunks, run_client).body == b"body"


_REQUEST = b"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
@pytest.mark.parametrize("cut", [0, 1, 2])
def test_empty_line_after_a_body_is_skipped(cut, pause_s):
    """Guards against 400 for the CRLF that some clients send after a body."""

    async def handler(exchange):
        await asyncio.sleep(0.02)
        await _echo(exchange)

    async def run_client(address):
        reader, writer = await asyncio.open_connection(*address)
        for number in range(3):
            line = b"" if number == 0 else b"\r\n"
            writer.write(line[cut:] + _REQUEST % number + b"\r\n"[:cut])
            if pause_s:
                await asyncio.sleep(pause_s)
        answers = [await _read_answer(reader) for _ in range(3)]
        writer.close()
        return answers

    answers = _run(handler, run_client)
    assert [status for status, _ in answers] == [200, 200, 200]
    assert answers[2][1] == b'["POST", "/2"]ab'


def test_only_one_empty_line_is_skipped():
    async def run_client(address):
        return await _raw(address, b"\r\n\r\n" + _REQUEST % 1)

    assert _run(_echo, run_client).startswith(b"HTTP/1.1 400 ")


async def _read_answer(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].split()[0])
    return int(head.split()[1]), await reader.readexactly(length)


# Guards against connections that end without an answer, and ones left open.
def test_header_fields_outside_ascii_pass_both_ways():
    name = "caf\u00e9 \u00ff"

    async def repeat_name(exchange):
        headers = [("X-Name", exchange.request.headers["x-name"])]
        if exchange.request.target == "/stream":
            exchange.start(200, headers)
            exchange.finish([("X-Last", name)])
        else:
            exchange.send(http_server.Response(200, headers, b""))

    async def run_client(address):
        client = http_client.Client()
        for path in ("/whole", "/stream"):
            answer = await client.request(
                address, "GET", path, {"X-Name": name}
            )
            assert answer.status == 200
            assert answer.headers["x-name"] == name
        client.close()

    _run(repeat_name, run_client)


def test_request_that_cannot_be_sent_closes_its_connection():
    async def run_client(address):
        closed = asyncio.Event()
        client = http_client.Client()
        connect = client._connect

        async def connect_and_watch(address):
            connection = await connect(address)
            abort = connection.abort

            def abort_and_tell():
                closed.set()
                abort()

            connection.abort = abort_and_tell
            return connection

        client._connect = connect_and_watch
        with pytest.raises(Exception, match="header"):
            await client.request(address, "GET", "/", {"X-Name": "a\nb"})
        assert closed.is_set()
        client.close()

    _run(_echo, run_client)
