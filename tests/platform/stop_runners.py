"""Runners of the soak of planned stops, which never break off an answer."""

import asyncio
import json
import random
import socket
from typing import NamedTuple

import standin

from nutmegpost_core import vms

SLOTS = 48
# Interval at which a run notices that its connection is closed.
NOTICE_S = 0.1
EVENT_GAP_MAX_S = 0.8
EVENT_BYTES = 65
LATE_BODY_BYTES = 16_384
# Buffers of a runner that leaves long bodies unread, and for how long it does
# so when it answers first.
UNREAD_BYTES = 16_384
EARLY_ANSWER_MAX_S = 3.5


class Run(NamedTuple):
    """The work of a runner on a request.

    Attributes:
        identity: Id of the request.
        runner: Name of the runner.
        begin: Time at which the request had arrived, seconds.
        end: Time at which the work ended, seconds.
        is_whole: Whether all of the answer was written.
        is_broken_off: Whether the runner ended before the answer.
    """

    identity: str
    runner: str
    begin: float
    end: float = float("inf")
    is_whole: bool = False
    is_broken_off: bool = False


class _Request(NamedTuple):
    target: str
    headers: dict[str, str]


def body_of(identity, size):
    """Returns the whole body of the answer to a plain request."""
    text = f"answer to {identity}. ".encode()
    return (text * (size // len(text) + 1))[:size]


def event(number):
    """Returns an event of a stream."""
    return (b"id: %d\ndata: piece %d " % (number, number)).ljust(
        EVENT_BYTES, b"."
    ) + b"\n\n"


def gaps(identity, count, seconds):
    """Returns the pauses before the events of a stream, some of them long."""
    rng = random.Random(identity)
    drawn = [rng.expovariate(1.0) for _ in range(count)]
    scale = seconds / sum(drawn)
    return [
        rng.uniform(0.4, EVENT_GAP_MAX_S)
        if rng.random() < 0.01
        else min(part * scale, EVENT_GAP_MAX_S)
        for part in drawn
    ]


class Runner(standin.RawRunner):
    """A runner that can be silent, turn requests away, and leave.

    Attributes:
        runs: What it has worked on, by the order of arrival.
        turn_away_share: Share of the requests that it turns away.
        late_body_s: Time for which it leaves long bodies unread, if it does not
            answer first.
        answers_early: Whether it answers some long bodies before it reads them.
        close_share: Share of the answers after which it closes.
    """

    def __init__(self, name, service, seed):
        super().__init__(name, service, SLOTS)
        self.runs = []
        self.turn_away_share = 0.0
        self.late_body_s = 0.0
        self.answers_early = False
        self.close_share = 0.02
        self._rng = random.Random(seed)
        self._speaks_at = 0.0
        self._is_over = False
        self._writers = set()

    @property
    def open_count(self):
        return sum(run.end == float("inf") for run in self.runs)

    async def start(self):
        address = vms.parse_address(self.address)
        sock = socket.create_server((address.host, address.port), backlog=256)
        limit = 65_536
        if self.late_body_s or self.answers_early:
            limit = UNREAD_BYTES // 2
            option = socket.SO_RCVBUF
            sock.setsockopt(socket.SOL_SOCKET, option, UNREAD_BYTES)
        self.server = await asyncio.start_server(
            self._accept, sock=sock, limit=limit
        )

    def be_silent(self, seconds):
        """Writes nothing to any request for some seconds."""
        self._speaks_at = _now() + seconds

    async def end(self):
        """Ends after the last run; new connections are refused at once."""
        self.server.close()
        while self.open_count:
            await asyncio.sleep(NOTICE_S)
        self._is_over = True
        for writer in self._writers:
            writer.close()

    def abort(self):
        """Ends at once, as the play is over."""
        self.server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                await writer.drain()
        finally:
            self._writers.discard(writer)

    async def _serve_one(self, reader, writer):
        """Answers a request; returns whether the connection stays open."""
        request = _parse(await reader.readuntil(b"\r\n\r\n"))
        size = int(request.headers.get("content-length", 0))
        unread = asyncio.create_task(self._read_body(reader, size))
        try:
            if not self._is_early(size):
                await unread
            is_open = await self._answer(request, reader, writer)
            await unread
        finally:
            unread.cancel()
        return is_open

    def _is_early(self, size):
        """Returns whether a request is answered before its body is read."""
        is_long = size > LATE_BODY_BYTES
        return is_long and self.answers_early and self._rng.random() < 0.5

    async def _read_body(self, reader, size):
        if size > LATE_BODY_BYTES:
            most_s = self.late_body_s
            if self.answers_early:
                most_s = EARLY_ANSWER_MAX_S
            await asyncio.sleep(self._rng.uniform(0, most_s))
        await reader.readexactly(size)

    async def _answer(self, request, reader, writer):
        """Answers a request; returns whether the connection stays open."""
        if request.target == "/api/kv-list":
            caches = json.dumps({"epoch": 1, "next": 1, "held": []}).encode()
            _write(writer, 200, [("Content-Type", "application/json")], caches)
            return True
        identity = request.headers["attempt-id"]
        self.arrivals.append((_now(), identity))
        fields = self.response_fields(request)
        if request.headers.get("expect-instance") != self.name:
            fields = [("Instance-Id", self.name), fields[0]]
            _write(writer, 421, fields)
            return True
        if self._rng.random() < self.turn_away_share:
            _write(writer, 503, [("Not-Executed", "1"), *fields])
            return True
        is_last = self.is_leaving or self._rng.random() < self.close_share
        if is_last:
            fields.append(("Connection", "close"))
        self.executed.append(identity)
        self.runs.append(Run(identity, self.name, _now()))
        index = len(self.runs) - 1
        is_whole = False
        try:
            is_whole = await self._work(request, fields, reader, writer)
        finally:
            self.runs[index] = self.runs[index]._replace(
                end=_now(), is_whole=is_whole, is_broken_off=self._is_over
            )
        return is_whole and not is_last

    async def _work(self, request, fields, reader, writer):
        """Writes the answer; returns whether it is whole."""
        _, kind, plan, _ = request.target.split("/")
        first, second = (int(text) for text in plan.split("-"))
        identity = request.headers["attempt-id"]
        if kind in ("look", "issue"):
            if not await self._pause(first / 1000, reader, writer):
                return False
            _write(writer, 200, fields, body_of(identity, second))
            await writer.drain()
            return True
        writer.write(
            _head(
                200,
                [
                    *fields,
                    ("Content-Type", "text/event-stream"),
                    ("Transfer-Encoding", "chunked"),
                ],
            )
        )
        begun = int(request.headers.get("last-event-id", 0))
        pauses = gaps(identity, second, first / 1000)
        for number, gap_s in enumerate(pauses[begun:], begun + 1):
            if not await self._pause(gap_s, reader, writer):
                return False
            data = event(number)
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def _pause(self, seconds, reader, writer):
        """Works for some seconds; returns False once the sender has left."""
        end = _now() + seconds
        while True:
            if reader.at_eof() or writer.is_closing():
                return False
            left_s = max(end, self._speaks_at) - _now()
            if left_s <= 0:
                return True
            await asyncio.sleep(min(left_s, NOTICE_S))


def _parse(head):
    line, *lines = head.decode("latin-1").split("\r\n")
    pairs = (text.partition(":") for text in lines if text)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    return _Request(line.split(" ")[1], headers)


def _head(status, fields):
    lines = [f"HTTP/1.1 {status} x", *(f"{n}: {v}" for n, v in fields)]
    return "\r\n".join([*lines, "", ""]).encode()


def _write(writer, status, fields, body=b""):
    fields = [*fields, ("Content-Length", str(len(body)))]
    writer.write(_head(status, fields) + body)


def _now():
    return asyncio.get_running_loop().time()
