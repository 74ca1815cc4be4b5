"""Stand-ins and clients for the scripts of the third review.

Only Python's standard library is used. The gateways run as processes with the
command of the deploy file and settings rendered from its template; the store
and the runners are small stand-ins that follow the users' pages.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import re
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "desk.example"
KEY = "key-of-the-first-tenant"
HEARTBEAT_S = 1.2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lostMs": 200,
    "configMs": 2000,
    "rollbackSlackMs": 250,
    "outerMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 52,
    "recoverS": 12,
    "passMs": 120,
    "reuseWindowS": 10,
    "capX": 2,
    "ttl_max_s": 5,
}
_EMPTY = b""
_PLACEHOLDER = re.compile(r"{{([a-zA-Z_.0-9]+)(\|json)?}}")
_SECTION = re.compile(r"{{#([a-zA-Z.]+)}}(.*?){{/\1}}", re.DOTALL)


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self, folder):
        self._began = time.monotonic()
        path = pathlib.Path(folder) / "record.txt"
        self._file = path.open("w")

    def add(self, text):
        if self._file.closed:
            return
        elapsed_s = time.monotonic() - self._began
        self._file.write(f"{elapsed_s:8.3f} {text}\n")

    def close(self):
        self._file.close()


class Hosts:
    """Loopback addresses and ports that nothing else uses."""

    def __init__(self):
        first = 20 + os.getpid() % 200
        second = int(time.time()) % 250
        self._prefix = f"127.{first}.{second}"
        self._numbers = itertools.count(2)

    def next(self):
        host = f"{self._prefix}.{next(self._numbers)}"
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((host, 20000))
        return host


HOSTS = Hosts()


class Request:
    """A request as it was read."""

    def __init__(self, method, target, fields, body):
        self.method = method
        self.target = target
        self.fields = fields
        self.headers = dict(fields)
        self.body = body


async def read_head(reader):
    """Returns the first line and the fields; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    fields = []
    for line in lines:
        name, _, value = line.partition(":")
        fields.append((name.strip().lower(), value.strip()))
    return first, fields


async def read_chunks(reader, on_data):
    """Reads a chunked body; returns whether it is complete."""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            return False
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return True
        on_data(data[:-2])


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    headers = dict(head[1])
    body = bytearray()
    if headers.get("transfer-encoding") == "chunked":
        await read_chunks(reader, body.extend)
    elif int(headers.get("content-length", "0")):
        body += await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, head[1], bytes(body))


def response(status, fields, body=b""):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def stream_head(status, fields):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append("Transfer-Encoding: chunked")
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


class Listener:
    """A server whose host can go dark: it then answers no packet of it.

    The kernel of this machine goes on to acknowledge what open connections
    send, which a dark machine does not; what is sent is not read.
    """

    def __init__(self, address, handle, receive_buffer=0):
        self.address = address
        self._handle = handle
        self.writers = set()
        self.lit = asyncio.Event()
        self.lit.set()
        self._tasks = set()
        self._fillers = []
        host, port = address
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive_buffer:
            option = socket.SO_RCVBUF
            self._sock.setsockopt(socket.SOL_SOCKET, option, receive_buffer)
        self._sock.setblocking(False)
        self._sock.bind((host, port))
        self._sock.listen(512)
        self._accepting = asyncio.create_task(self._accept())

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            await self.lit.wait()
            sock, _ = await loop.sock_accept(self._sock)
            if not self.lit.is_set():
                sock.close()
                continue
            reader, writer = await asyncio.open_connection(sock=sock)
            task = asyncio.create_task(self._serve(reader, writer))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            with contextlib.suppress(ConnectionError, OSError, EOFError):
                await self._handle(reader, writer)
        finally:
            self.writers.discard(writer)
            writer.close()

    async def go_dark(self):
        """Answers nothing on open connections, and no new one."""
        self.lit.clear()
        self._accepting.cancel()
        self._sock.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self.address)
            self._fillers.append(filler)
        await asyncio.sleep(0.01)

    def come_back(self):
        """Takes new connections; knows nothing of those before."""
        for task in list(self._tasks):
            task.cancel()
        old = list(self.writers)
        self._sock.listen(512)
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self.lit.set()
        self._accepting = asyncio.create_task(self._accept())
        return old

    def close(self):
        self._accepting.cancel()
        self._sock.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self.writers):
            reset(writer)


class Store:
    """The platform's store."""

    def __init__(self):
        self.address = (HOSTS.next(), 20000)
        self.items = {}
        self.changes = []
        self.revision = 10
        self.era = 1
        self.is_down = False
        self._changed = asyncio.Event()
        self._listener = Listener(self.address, self._handle)

    def put(self, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "createRev": self.items.get(key, {}).get(
                "createRev", self.revision
            ),
            "lease": 0,
        }
        self.items[key] = item
        self._add(item)

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._add({"key": key, "revision": self.revision, "removed": True})

    def _add(self, change):
        self.changes.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    def set_down(self, is_down):
        """Resets all connections and refuses calls, or serves again."""
        self.is_down = is_down
        if is_down:
            for writer in list(self._listener.writers):
                reset(writer)

    def copy(self):
        """Returns a copy of all that the store has, for `restore`."""
        return self.revision, dict(self.items), list(self.changes)

    def restore(self, copy):
        """Comes back from a copy; revisions are given out again."""
        self.revision, items, changes = copy
        self.items, self.changes = dict(items), list(changes)
        self.era += 1
        self.set_down(False)

    async def _handle(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            if self.is_down:
                reset(writer)
                return
            path, _, query = request.target.partition("?")
            values = dict(
                part.partition("=")[::2] for part in query.split("&") if part
            )
            values = {k: _unquote(v) for k, v in values.items()}
            status, body = await self._answer(path, values)
            if self.is_down:
                reset(writer)
                return
            fields = [
                ("Content-Type", "application/json"),
                ("Store-Era", str(self.era)),
            ]
            writer.write(response(status, fields, json.dumps(body).encode()))
            await writer.drain()

    async def _answer(self, path, values):
        if path == "/api/kv-key":
            item = self.items.get(values["key"])
            if item is None:
                return 404, {"storeRevision": self.revision}
            return 200, item | {"storeRevision": self.revision}
        if path == "/api/kv-range":
            items = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(values["prefix"])
                and key > values.get("after", "")
            ]
            return 200, {
                "items": items,
                "morePages": False,
                "storeRevision": self.revision,
            }
        after = int(values["after"])
        if after > self.revision:
            return 410, {}
        until = time.monotonic() + int(values["waitMs"]) / 1000
        while True:
            found = [
                change
                for change in self.changes
                if change["revision"] > after
                and change["key"].startswith(values["prefix"])
            ]
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "storeRevision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


def _unquote(text):
    return re.sub(
        "%([0-9A-Fa-f]{2})", lambda found: chr(int(found[1], 16)), text
    )


class Runner:
    """A runner of a service.

    Attributes:
        runs: Id of the attempt and software version of each run.
        arrivals: Time and id of each request.
        on_request: Called with the runner, a request and a writer; may answer
            it and then returns True. None for the usual answers.
        extra_fields: Header fields of all answers.
    """

    def __init__(self, store, record, name, service, version="v1", **fields):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.version = version
        self.slots = fields.get("slots", 8)
        self.events = fields.get("events", 40)
        self.gap_s = fields.get("gap_s", 0.1)
        self.work_s = fields.get("work_s", 0.02)
        self.receive_buffer = fields.get("receive_buffer", 0)
        self.state = "ready"
        self.address = fields.get("address") or (HOSTS.next(), 20000)
        self.runs = []
        self.arrivals = []
        self.on_request = None
        self.extra_fields = []
        self.running = 0
        self._seq = 0
        self._born = int(time.time() * 1000)
        self._beat = None
        self.listener = None

    def start(self, register_after_s=0.0):
        self.listener = Listener(
            self.address, self._handle, self.receive_buffer
        )
        self._beat = asyncio.create_task(self._heartbeat(register_after_s))

    async def go_dark(self):
        """Loses power: no answer, no packet, no heartbeat."""
        self.record.add(f"runner {self.name} goes dark")
        self._beat.cancel()
        await self.listener.go_dark()

    async def come_back(self, version, reset_after_s, register_after_s):
        """Starts again under the id that it had, with nothing of before."""
        self.version = version
        self._seq = 0
        self.running = 0
        self._born = int(time.time() * 1000)
        self.state = "ready"
        old = self.listener.come_back()
        self.record.add(f"runner {self.name} is back, software {version}")
        self._beat = asyncio.create_task(self._heartbeat(register_after_s))
        await asyncio.sleep(reset_after_s)
        for writer in old:
            reset(writer)

    def crash(self):
        """Ends as a killed process does."""
        self.record.add(f"runner {self.name} crashes")
        self._beat.cancel()
        self.listener.close()

    def start_again(self, version, register_after_s=0.0):
        """Starts again under the id that it had, with nothing of before."""
        self.version = version
        self._seq = 0
        self.running = 0
        self._born = int(time.time() * 1000)
        self.state = "ready"
        self.record.add(f"runner {self.name} is back, software {version}")
        self.start(register_after_s)

    def stop(self):
        if self._beat is not None:
            self._beat.cancel()
        if self.listener is not None:
            self.listener.close()

    def silence_heartbeat(self):
        self._beat.cancel()

    def resume_heartbeat(self):
        self._beat = asyncio.create_task(self._heartbeat(0.0))

    def write_entry(self):
        if self.store.is_down:
            return
        self._seq += 1
        host, port = self.address
        if self._seq == 1:
            self.record.add(
                f"entry of {self.name}: software {self.version}, born {self._born}"
            )
        entry = {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": "zone-a",
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "seq": self._seq,
            "born": self._born,
        }
        self.store.put(f"servers/{self.name}", entry)

    async def _heartbeat(self, register_after_s):
        await asyncio.sleep(register_after_s)
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def fields(self, request):
        return [
            ("Attempt-Id", request.headers.get("attempt-id", "")),
            ("Server-Load", f"{self.running},0,{self.slots}"),
            *self.extra_fields,
        ]

    def sealed(self, request):
        return [
            *self.fields(request),
            ("Server-Seal", f"seal.{self.name}.{self._born}"),
        ]

    async def _handle(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            await self.listener.lit.wait()
            if not await self._answer(request, writer):
                return

    async def _answer(self, request, writer):
        path = request.target.partition("?")[0]
        if path == "/health":
            fields = [("Instance-Id", self.name)]
            writer.write(response(200, fields))
            return True
        if path == "/api/kv-list":
            body = {"epoch": 1, "next": 1, "held": []}
            writer.write(response(200, [], json.dumps(body).encode()))
            return True
        attempt = request.headers.get("attempt-id", "")
        self.arrivals.append((time.monotonic(), attempt))
        expected = request.headers.get("expect-instance", self.name)
        if expected != self.name:
            fields = [*self.fields(request), ("Not-Executed", "1")]
            writer.write(response(421, fields))
            return True
        if self.on_request is not None:
            done = await self.on_request(self, request, writer)
            if done is not None:
                return done
        self.runs.append((attempt, self.version))
        self.record.add(
            f"run {attempt} on {self.name} of {self.service}, software "
            f"{self.version}, after event "
            f"{request.headers.get('last-event-id', '-')}"
        )
        self.running += 1
        try:
            if "model" in request.headers:
                await self._stream(request, writer)
            else:
                await asyncio.sleep(self.work_s)
                body = f"{self.service} {attempt}".encode()
                writer.write(response(200, self.sealed(request), body))
                await writer.drain()
        finally:
            self.running -= 1
        return True

    async def _stream(self, request, writer):
        version = self.version
        fields = [
            *self.sealed(request),
            ("Content-Type", "text/event-stream"),
        ]
        writer.write(stream_head(200, fields))
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap_s)
            await self.listener.lit.wait()
            data = f"id: {number}\ndata: piece {number} of {version}\n\n"
            writer.write(chunk(data.encode()))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def route(name, kind, service, **fields):
    document = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 300,
        "priority": 1,
        "service": service,
        "maxAttempts": 2 if kind != "unsafe" else 1,
        "public": False,
    }
    return document | fields


def service(name, slots=8, is_engine=False):
    document = {"name": name, "healthPath": "/health", "maxConns": 360}
    if is_engine:
        document["engine"] = {
            "slots": slots,
            "kvCapacity": 400_000,
            "kvTokenBytes": 18432.0,
            "linkMbps": 740_000.0,
            "moves": False,
        }
    return document


def configuration(version, routes, services):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "first", "apiKeys": [KEY], "priority": 1}],
    }


def _lookup(values, path):
    for part in path.split("."):
        if isinstance(values, list):
            values = values[int(part)] if int(part) < len(values) else None
        else:
            values = values.get(part) if values else None
    return values


def render(template, values):
    """Fills in a template of settings, as far as this project uses it."""

    def section(found):
        return found[2] if _lookup(values, found[1]) else ""

    def place(found):
        value = _lookup(values, found[1])
        if found[2]:
            return json.dumps(value)
        if value is None:
            return ""
        return json.dumps(value) if isinstance(value, bool) else str(value)

    return _PLACEHOLDER.sub(place, _SECTION.sub(section, template))


class Gateway:
    """A gateway process."""

    def __init__(self, fleet, number):
        self.name = f"front-{number}"
        self.ip = HOSTS.next()
        self.process = None
        self._fleet = fleet
        self._log = None
        self._is_killed = False

    @property
    def address(self):
        return self.ip, 20001

    def values(self, bootstrap):
        return {
            "nodeName": self.name,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front", "control", "directory"],
            "ip": self.ip,
            "zone": "zone-a",
            "region": "region-a",
            "internalPorts": [20010, 20025],
            "seeds": [f"{each.ip}:20003" for each in self._fleet.gateways[:3]],
            "bootstrap": bootstrap,
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "listen": {
                "front": f"{self.ip}:20001",
                "ready": f"{self.ip}:20002",
                "control": f"{self.ip}:20003",
                "directory": f"{self.ip}:20004",
            },
            "limits": {
                "cpuShare": 0.817,
                "cores": 2,
                "memoryMb": 430,
                "maxFds": 6150,
                "linkMbps": 1500.0,
            },
            "bounds": BOUNDS,
            "platform": {"address": self._fleet.store_address(self)},
        }

    async def start(self, bootstrap=True):
        template = (ROOT / "deploy/settings.json.in").read_text()
        text = render(template, self.values(bootstrap))
        path = pathlib.Path(self._fleet.folder) / f"{self.name}.json"
        path.write_text(text)
        log_path = pathlib.Path(self._fleet.folder) / f"{self.name}.log"
        self._log = log_path.open("ab")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": self._fleet.folder,
            "LANG": "C.UTF-8",
            "NUTMEGPOST_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        self._is_killed = False
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "nutmegpost_platform.main",
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )

    async def wait_ready(self, timeout_s=15.0):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError, TypeError):
                reader, writer = await asyncio.open_connection(self.ip, 20002)
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if " 200 " in head[0]:
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready")

    def signal(self, number):
        """Sends a signal, unless the process was killed before."""
        if self.process is None or self.process.returncode is not None:
            return
        if not self._is_killed:
            self._is_killed = number == signal.SIGKILL
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        if self._log is not None:
            self._log.close()


class CannotRunError(Exception):
    """The case could not be run."""


class Fleet:
    """A store, runners and gateways."""

    def __init__(self, folder, gateways=2):
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = os.environ.get("LOGS") or self._temporary.name
        self.store = Store()
        self.runners = {}
        self.gateways = []
        self.gateways += [Gateway(self, number) for number in range(gateways)]

    def store_address(self, gateway):
        host, port = self.store.address
        return f"{host}:{port}"

    def add_runner(self, name, service_name, version="v1", **fields):
        runner = Runner(
            self.store, self.record, name, service_name, version, **fields
        )
        self.runners[name] = runner
        runner.start()
        return runner

    async def start(self):
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        # They meet each other, and have the part of the retry budget that a
        # fleet which starts for the first time has.
        await asyncio.sleep(3.0)

    async def stop(self):
        for gateway in self.gateways:
            await gateway.kill()
        for runner in self.runners.values():
            runner.stop()
        self.record.close()
        self._temporary.cleanup()


class Answer:
    """What a client got.

    Attributes:
        status: Status; 0 if none came.
        fields: Header fields by lower-case name.
        body: The body so far.
        is_complete: Whether the answer ended as complete.
    """

    def __init__(self):
        self.status = 0
        self.fields = {}
        self.body = bytearray()
        self.is_complete = False


async def ask(record, address, target, attempt, **options):
    """Sends a request on a new connection and reads the answer.

    Args:
        record: Gets what was sent and answered.
        address: Address of a gateway.
        target: The path.
        attempt: The id of the attempt.
        **options: `method`, `body`, `fields`, `deadline_ms`, and `unread_s`,
            the time after which a request without an answer is given up.
    """
    answer = Answer()
    method = options.get("method", "GET")
    body = options.get("body", _EMPTY)
    deadline_ms = options.get("deadline_ms", 3000)
    fields = [
        ("Host", HOST),
        ("Attempt-Id", attempt),
        ("Deadline-Ms", str(deadline_ms)),
        ("Authorization", f"Bearer {KEY}"),
        *options.get("fields", []),
    ]
    if method == "POST":
        fields.append(("Content-Length", str(len(body))))
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields]
    head = "\r\n".join([*lines, "", ""]).encode("latin-1")
    record.add(f"send {method} {target} {attempt} to {address[0]}")
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1.0):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*address)
            writer.write(head + body)
            async with asyncio.timeout(options.get("unread_s")):
                head = await read_head(reader)
            await _read_answer(reader, head, answer)
    except (OSError, TimeoutError, EOFError, ValueError) as caught:
        record.add(f"broken {attempt}: {caught!r}")
    finally:
        if writer is not None:
            writer.close()
    end = "complete" if answer.is_complete else "not complete"
    record.add(
        f"answer {attempt}: status {answer.status}, {len(answer.body)} bytes, {end}"
    )
    return answer


async def _read_answer(reader, head, answer):
    if head is None:
        raise EOFError("closed without an answer")
    answer.status = int(head[0].split(" ")[1])
    answer.fields = dict(head[1])
    if answer.fields.get("transfer-encoding") == "chunked":
        answer.is_complete = await read_chunks(reader, answer.body.extend)
        return
    length = int(answer.fields.get("content-length", "0"))
    while len(answer.body) < length:
        data = await reader.read(length - len(answer.body))
        if not data:
            return
        answer.body += data
    answer.is_complete = True


def stream_fields(number, resumes="", after=0):
    """Returns the fields of a request for a stream."""
    fields = [
        ("Model", "m"),
        ("Token-Count", "300,280"),
        ("Prompt-Prefix", f"a1:200,b{number:04x}:100"),
    ]
    if after:
        fields += [("Last-Event-Id", str(after)), ("Resumes", resumes)]
    return fields


def events_of(body):
    """Returns number and software version of each whole event."""
    found = re.findall(rb"id: (\d+)\ndata: piece \d+ of (\w+)\n\n", bytes(body))
    return [(int(number), version.decode()) for number, version in found]


def main(folder, play, gateways=2):
    """Runs a case and exits with its result.

    Args:
        folder: Folder of the case.
        play: Coroutine function that is called with the fleet and returns
            what broke the rule, as a list of texts.
        gateways: Number of gateways.
    """

    async def run():
        fleet = Fleet(folder, gateways)
        try:
            broken = await asyncio.wait_for(play(fleet), 100)
            for text in broken:
                fleet.record.add(f"BROKEN: {text}")
            return broken
        finally:
            await fleet.stop()

    try:
        broken = asyncio.run(run())
    except (CannotRunError, OSError, TimeoutError) as caught:
        sys.stdout.write(f"cannot run: {caught!r}\n")
        sys.exit(2)
    for text in broken:
        sys.stdout.write(f"{text}\n")
    sys.exit(1 if broken else 0)
