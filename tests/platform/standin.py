"""Stand-ins for the platform's store and runners, for tests of gateways."""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import urllib.parse

from nutmegpost_core import vms
from nutmegpost_platform import main
from nutmegpost_router import http_client
from nutmegpost_router import http_server
from nutmegpost_router.gateway import process
from nutmegpost_router.gateway import settings

TIMEOUT_S = 20
HOST = "shop.example"
API_KEY = "key-of-the-account"
PIECE_BYTES = 8192
LIMITS = {
    "maxHeaderBytes": 4096,
    "maxBodyBytes": 20_000,
    "headerTimeoutMs": 500,
    "idleTimeoutMs": 5000,
}


_host_numbers = itertools.count(1)


def free_host():
    """Returns a loopback address that no other test of this run uses."""
    number = next(_host_numbers) % 64_000
    return f"127.{os.getpid() % 200 + 20}.{number // 250}.{number % 250 + 2}"


def free_address():
    # Below the range of ephemeral ports.
    return f"{free_host()}:20000"


def route(name, kind, service, **fields):
    document = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
    }
    return document | fields


def configuration(version, **fields):
    document = {
        "version": version,
        "routes": [
            route("look", "safe", "plain"),
            route("issue", "unsafe", "plain", maxAttempts=1),
            route("draft", "streaming", "engines", resumable=True),
            route("ask", "streaming", "engines", maxAttempts=1),
        ],
        "services": [
            {"name": "plain", "healthPath": "/health", "maxConns": 50},
            {
                "name": "engines",
                "healthPath": "/health",
                "maxConns": 50,
                "engine": {
                    "slots": 8,
                    "kvCapacity": 100_000,
                    "kvTokenBytes": 100,
                    "linkMbps": 1000.0,
                    "moves": True,
                },
            },
        ],
        "limits": LIMITS,
        "tenants": [{"name": "acme", "apiKeys": [API_KEY], "priority": 1}],
    }
    return document | fields


class Link:
    """A link to the store, of which all connections share the rate.

    Attributes:
        bytes_per_s: Rate of the answers; 0 for no limit.
    """

    def __init__(self):
        self.bytes_per_s = 0
        self._free_at = 0.0

    async def send(self, exchange, response):
        rate = self.bytes_per_s
        if not rate:
            exchange.send(response)
            return
        status, headers, body = response
        length = ("Content-Length", str(len(body)))
        exchange.start(status, [*headers, length])
        for start in range(0, len(body), PIECE_BYTES):
            piece = body[start : start + PIECE_BYTES]
            now = asyncio.get_running_loop().time()
            self._free_at = max(now, self._free_at) + len(piece) / rate
            await asyncio.sleep(self._free_at - now)
            if exchange.disconnected.is_set():
                return
            exchange.write(piece)
        exchange.finish()


class Store:
    """The store: items by key, changes by revision.

    Attributes:
        address: Address that it listens on.
        items: Current items, by key.
        changes: Changes that a watch can return, oldest first.
        revision: Current revision.
        era: Number of times that it was restored from a copy, plus one.
        oldest_revision: Watches from an earlier revision get status 410.
        is_down: Whether it answers every request with status 503.
        second_address: Another address that it listens on.
        is_second_down: As is_down, for the requests to that address.
        request_count: Number of requests received.
        loses_answer: Returns whether to send no answer, now or ever, to a
            request whose answer is ready.
    """

    def __init__(self):
        self.address = free_address()
        self.items = {}
        self.changes = []
        self.revision = 1
        self.era = 1
        self.oldest_revision = 0
        self.is_down = False
        self.second_address = free_address()
        self.is_second_down = False
        self.request_count = 0
        self.loses_answer = lambda: False
        self._changed = asyncio.Event()
        self._cut_count = 0
        self._is_silent = False
        self._silence_count = 0

    async def start(self):
        self.server = await http_server.serve(
            vms.parse_address(self.address),
            self._respond,
        )
        self.second_server = await http_server.serve(
            vms.parse_address(self.second_address),
            self._respond_at_second_address,
        )

    async def add_link(self):
        """Returns a link of its own to the store, and its address."""
        link, address = Link(), free_address()

        async def respond_by_link(exchange):
            await self._respond_unless(self.is_down, exchange, link)

        await http_server.serve(vms.parse_address(address), respond_by_link)
        return link, address

    def put(self, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "createRev": 1,
            "lease": 0,
        }
        self.items[key] = item
        self._append_change(item)

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self._append_change(
            {"key": key, "revision": self.revision, "removed": True}
        )

    def forget_history(self):
        self.oldest_revision = self.revision
        self.changes.clear()
        self._notify_watchers()

    def begin_silence(self):
        """Answers no request that waits, or that arrives until the end."""
        self._is_silent = True
        self._silence_count += 1

    def end_silence(self):
        self._is_silent = False

    def cut_polls(self):
        """Ends all requests that wait, without a result."""
        self._cut_count += 1
        self._notify_watchers()

    def copy(self):
        """Returns a copy of all that the store has, for `restore`."""
        return self.revision, dict(self.items), list(self.changes)

    def restore(self, copy):
        """Goes back to a copy; requests that wait go on waiting."""
        self.revision, items, changes = copy
        self.items, self.changes = dict(items), list(changes)
        self.era += 1

    def _append_change(self, change):
        self.changes.append(change)
        self._notify_watchers()

    def _notify_watchers(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _respond(self, exchange):
        await self._respond_unless(self.is_down, exchange)

    async def _respond_at_second_address(self, exchange):
        await self._respond_unless(self.is_second_down, exchange)

    async def _respond_unless(self, is_down, exchange, link=None):
        self.request_count += 1
        if is_down:
            exchange.send(http_server.Response(503, [], b""))
            return
        is_lost, silence_count = self._is_silent, self._silence_count
        status, fields, body = await self._read(exchange.request)
        is_lost = is_lost or silence_count != self._silence_count
        if is_lost or self.loses_answer():
            # The connection answers its requests in order.
            await exchange.disconnected.wait()
            return
        era = ("Store-Era", str(self.era))
        response = http_server.Response(status, [*fields, era], body)
        await (link or Link()).send(exchange, response)

    async def _read(self, request):
        path, _, query = request.target.partition("?")
        values = dict(urllib.parse.parse_qsl(query))
        if path == "/api/kv-range":
            return self._list_range(values["prefix"])
        return await self._watch(values)

    def _list_range(self, prefix):
        items = [
            v for k, v in sorted(self.items.items()) if k.startswith(prefix)
        ]
        return _json_response(
            {
                "items": items,
                "morePages": False,
                "storeRevision": self.revision,
            }
        )

    async def _watch(self, values):
        after = int(values["after"])
        if not self.oldest_revision <= after <= self.revision:
            return http_server.Response(410, [], b"")
        cut_count = self._cut_count
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(values["waitMs"]) / 1000):
                while not self._changes_since(values["prefix"], after):
                    await self._changed.wait()
                    if self._cut_count != cut_count:
                        return http_server.Response(503, [], b"")
        return _json_response(
            {
                "events": self._changes_since(values["prefix"], after),
                "storeRevision": self.revision,
            }
        )

    def _changes_since(self, prefix, after):
        return [
            change
            for change in self.changes
            if change["key"].startswith(prefix) and change["revision"] > after
        ]


def _json_response(value):
    headers = [("Content-Type", "application/json")]
    return http_server.Response(200, headers, json.dumps(value).encode())


class Runner:
    """An endpoint with scripted behavior.

    Attributes:
        behaviors: Functions that handle one exchange each, in order; later
            requests are answered normally.
        received: Requests received.
        arrivals: Time and id of each of them.
        executed: Ids of the executed requests.
        cancelled: Ids of the requests whose caller disconnected early.
        event_count: Number of events of a stream.
        crashing_parts: Ids of the prompt parts that crash it.
        rate_limit: Requests per second that its answers name as the limit;
            None for no limit.
        version: Version of its software.
        event_text: Text of its events, before their number.
        is_leaving: Whether its answers say that it leaves.
        cached_parts: Prompt parts in its cache, pairs of id and tokens.
        cache_list_count: Number of times that its cache was listed.
    """

    def __init__(self, name, service, slots=4, version="v1"):
        self.name = name
        self.version = version
        self.event_text = b"piece"
        self.service = service
        self.slots = slots
        self.address = free_address()
        self.behaviors = []
        self.received = []
        self.arrivals = []
        self.executed = []
        self.cancelled = []
        self.event_count = 5
        self.crashing_parts = set()
        self.rate_limit = None
        self.is_leaving = False
        self.cached_parts = []
        self.cache_list_count = 0

    async def start(self):
        self.server = await http_server.serve(
            vms.parse_address(self.address), self._handle
        )

    async def crash(self):
        await self.server.close()

    def entry(self, **fields):
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": 1,
            "born": 1,
        } | fields

    async def _handle(self, exchange):
        request = exchange.request
        if request.target == "/api/kv-list":
            self.cache_list_count += 1
            cached_parts = [["", *part, "m"] for part in self.cached_parts]
            exchange.send(
                _json_response({"epoch": 1, "next": 1, "held": cached_parts})
            )
            return
        self.received.append(request)
        now = asyncio.get_running_loop().time()
        self.arrivals.append((now, request.headers["attempt-id"]))
        if request.headers.get("expect-instance") != self.name:
            headers = [("Instance-Id", self.name), attempt_field(request)]
            exchange.send(http_server.Response(421, headers, b""))
            return
        behavior = self.behaviors.pop(0) if self.behaviors else respond
        try:
            await behavior(self, exchange)
        finally:
            if exchange.disconnected.is_set():
                self.cancelled.append(request.headers["attempt-id"])

    def response_fields(self, request):
        fields = [
            attempt_field(request),
            ("Server-Seal", f"seal-of-{self.name}"),
            ("Server-Load", "1,0,4"),
        ]
        if self.rate_limit is not None:
            fields.append(("Server-Limit", str(self.rate_limit)))
        if self.is_leaving:
            fields.append(("Server-Leaving", "1"))
        return fields


class RawRunner(Runner):
    """An endpoint that writes the bytes of its answers itself."""

    async def start(self):
        address = vms.parse_address(self.address)
        self.server = await asyncio.start_server(
            self._accept, address.host, address.port
        )

    async def _accept(self, reader, writer):
        try:
            with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError
            ):
                await self.serve(reader, writer)
        finally:
            self.end_connection(writer)

    async def serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        attempt = attempt_of(head)
        self.executed.append(attempt.decode())
        await self.write_answer(writer, attempt)

    def end_connection(self, writer):
        writer.close()


def attempt_field(request):
    """Returns the header field that echoes the id of a request."""
    return "Attempt-Id", request.headers["attempt-id"]


def attempt_of(head):
    """Returns the id of the attempt in the head of a request."""
    return head.partition(b"attempt-id: ")[2].partition(b"\r\n")[0]


async def respond(runner, exchange):
    """Executes the request and answers it, or crashes on one of its parts."""
    request = exchange.request
    runner.executed.append(request.headers["attempt-id"])
    prefix = request.headers.get("prompt-prefix", "")
    parts = {text.partition(":")[0] for text in prefix.split(",")}
    if parts & runner.crashing_parts:
        await runner.crash()
        return
    if "model" in request.headers:
        first_id = int(request.headers.get("last-event-id", "0")) + 1
        await send_events(runner, exchange, first_id, runner.event_count)
        exchange.finish()
        return
    body = b"answer to " + request.target.encode()
    exchange.send(
        http_server.Response(200, runner.response_fields(request), body)
    )


async def send_events(runner, exchange, first_id, last_id):
    request = exchange.request
    headers = [
        *runner.response_fields(request),
        ("Content-Type", "text/event-stream"),
    ]
    exchange.start(200, headers)
    for event_id in range(first_id, last_id + 1):
        exchange.write(
            b"id: %d\ndata: %s %d\n\n" % (event_id, runner.event_text, event_id)
        )
        await asyncio.sleep(0.005)


def fail_with(status):
    """Returns a behavior that executes the request and fails with a status."""

    async def behavior(runner, exchange):
        request = exchange.request
        runner.executed.append(request.headers["attempt-id"])
        response_fields = runner.response_fields(request)
        exchange.send(http_server.Response(status, response_fields, b"failed"))

    return behavior


def reject_with(status):
    """Returns a behavior that rejects the request without executing it."""

    async def behavior(runner, exchange):
        headers = [
            ("Not-Executed", "1"),
            *runner.response_fields(exchange.request),
        ]
        exchange.send(http_server.Response(status, headers, b""))

    return behavior


reject = reject_with(503)


def refuse_for(retry_after):
    """Returns a behavior that refuses the request and asks for a pause."""

    async def behavior(runner, exchange):
        headers = [
            ("Not-Executed", "1"),
            ("Retry-After", retry_after),
            *runner.response_fields(exchange.request),
        ]
        exchange.send(http_server.Response(503, headers, b""))

    return behavior


async def drop_connection(runner, exchange):
    """Executes the request and aborts the connection without a response."""
    runner.executed.append(exchange.request.headers["attempt-id"])
    exchange.abort()


async def respond_with_foreign_id(runner, exchange):
    """Executes the request and answers with the id of another one."""
    request = exchange.request
    runner.executed.append(request.headers["attempt-id"])
    response_fields = [("Attempt-Id", "another"), ("Server-Seal", "x")]
    exchange.send(http_server.Response(200, response_fields, b"not yours"))


async def respond_unsigned(runner, exchange):
    """Executes the request and answers without a signature."""
    request = exchange.request
    runner.executed.append(request.headers["attempt-id"])
    response_fields = [("Attempt-Id", request.headers["attempt-id"])]
    exchange.send(http_server.Response(200, response_fields, b"unsigned"))


def cut_stream_after(count):
    """Returns a behavior that aborts a stream in the event after `count`."""

    async def behavior(runner, exchange):
        runner.executed.append(exchange.request.headers["attempt-id"])
        first_id = int(exchange.request.headers.get("last-event-id", "0")) + 1
        last_id = min(first_id + count - 1, runner.event_count)
        await send_events(runner, exchange, first_id, last_id)
        if last_id < runner.event_count:
            exchange.write(b"id: %d\ndata: pie" % (last_id + 1))
        await asyncio.sleep(0.02)
        exchange.abort()

    return behavior


async def hang(runner, exchange):
    """Executes the request and never responds."""
    runner.executed.append(exchange.request.headers["attempt-id"])
    await exchange.disconnected.wait()


class Fleet:
    """A store, runners, and gateways in this process."""

    def __init__(self, runners, gateways=1, config=None, **overrides):
        self.store = Store()
        self.runners = {runner.name: runner for runner in runners}
        self.config = configuration(1) if config is None else config
        self.client = http_client.Client()
        self._gateway_count = gateways
        self._overrides = overrides
        self._gateway_numbers = itertools.count()
        self.gateways = []
        self.tasks = []

    async def __aenter__(self):
        await self.store.start()
        if self.config:
            self.store.put("op/config", self.config)
        for runner in self.runners.values():
            await runner.start()
            self.store.put(f"servers/{runner.name}", runner.entry())
        for _ in range(self._gateway_count):
            self.start_gateway()
        for gateway in self.gateways:
            await self.wait_until(lambda gateway=gateway: gateway.listening)
            if self.config:
                await self.wait_until(lambda gateway=gateway: gateway.ready)
        return self

    async def __aexit__(self, *exc):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for gateway in self.gateways:
            await gateway.close()

    def settings(self):
        """Returns settings of another gateway, with its own addresses."""
        host = free_host()
        ports = itertools.count(20_001)

        def address():
            return f"{host}:{next(ports)}"

        values = {
            "name": f"gateway-{next(self._gateway_numbers)}",
            "zone": "zone-a",
            "public_address": address(),
            "readiness_address": address(),
            "directory_address": address(),
            "control_address": address(),
            "peer_address": address(),
            "loads_address": address(),
            "metrics_address": address(),
            "platform_address": self.store.address,
            "seeds": [],
            "peer_key": "k" * 16,
            "stop_grace_s": 4,
            "address_ttl_s": 0.1,
            "entry_grace_s": 2,
            "leave_limit_ms": 2000,
            "descriptors_max": 4000,
            "memory_mb": 400,
            "retry_ratio": 0.2,
            "retry_extra": 50,
            "retry_window_s": 10,
            "first_start": True,
            "load_multiple": 2,
        }
        if self.gateways:
            values["seeds"] = [self.gateways[0].config["control_address"]]
        return values | self._overrides

    def start_gateway(self, **changes):
        data = json.dumps(self.settings() | changes).encode()
        gateway = process.Gateway(settings.parse(data, "test"), main.PORTS)
        self.gateways.append(gateway)
        self.tasks.append(asyncio.create_task(gateway.run()))
        return gateway

    async def kill_gateway(self, index):
        """Ends a gateway as SIGKILL does; it keeps its place in the list."""
        self.tasks[index].cancel()
        await asyncio.gather(self.tasks[index], return_exceptions=True)
        await self.gateways[index].close()

    async def wait_until_all_met(self):
        """Waits until each gateway knows all others."""
        for gateway in self.gateways:
            await self.wait_until(
                lambda gateway=gateway: (
                    len(gateway.members.alive) == len(self.gateways)
                )
            )

    async def wait_until(self, condition):
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)

    def address(self, key, gateway_index=0):
        return vms.parse_address(self.gateways[gateway_index].config[key])

    async def send_request(
        self,
        path,
        identity,
        method="GET",
        body=b"",
        gateway_index=0,
        **extra_headers,
    ):
        """Sends a request as a caller and returns its response.

        Underscores in the names of extra headers stand for hyphens; a header
        with an empty value is omitted.
        """
        headers = {
            "Host": HOST,
            "Attempt-Id": identity,
            "Deadline-Ms": "3000",
            "Authorization": f"Bearer {API_KEY}",
        }
        headers |= {
            name.replace("_", "-"): text for name, text in extra_headers.items()
        }
        return await self.client.request(
            self.address("public_address", gateway_index),
            method,
            path,
            {name: text for name, text in headers.items() if text},
            body,
            timeout_s=TIMEOUT_S,
            fresh=True,
        )

    async def send_stream_request(self, path, identity, **extra_headers):
        prompt = {
            "Model": "m",
            "Token_Count": "60,40",
            "Prompt_Prefix": "aa:20,bb:30,cc:10",
        }
        return await self.send_request(
            path, identity, "POST", b"{}", **(prompt | extra_headers)
        )


def run_scenario(scenario):
    """Runs a scenario with a time limit."""
    asyncio.run(asyncio.wait_for(scenario(), 60))


class Cut:
    """Cuts a gateway off from all runners, and from nothing else.

    Attributes:
        hangs: Whether connections hang; otherwise the open ones are reset and
            new ones refused.
    """

    def __init__(self, fleet, gateway_index, hangs):
        self.hangs = hangs
        self._is_cut = False
        self._client = fleet.gateways[gateway_index]._client
        self._addresses = {
            vms.parse_address(runner.address)
            for runner in fleet.runners.values()
        }
        self._connections = []
        self._connect = self._client._connect
        self._client._connect = self._connect_unless_cut

    def begin(self):
        self._is_cut = True
        for connection in self._connections:
            if self.hangs:
                transport = connection._transport
                transport.pause_reading()
                transport.write = lambda data: None
            else:
                connection.abort()

    def end(self):
        self._is_cut = False
        for connection in self._connections:
            connection.abort()

    async def _connect_unless_cut(self, address):
        if address not in self._addresses:
            return await self._connect(address)
        if not self._is_cut:
            connection = await self._connect(address)
            self._connections.append(connection)
            return connection
        if self.hangs:
            await asyncio.sleep(http_client.CONNECT_TIMEOUT_S)
        raise http_client.ConnectError("cut off", refused=not self.hangs)
