"""Small stand-ins of the platform's store and of its runners, for tests."""

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

WAIT_S = 20
HOST = "shop.example"
KEY = "key-of-the-account"
LIMITS = {
    "maxHeaderBytes": 4096,
    "maxBodyBytes": 20_000,
    "headerTimeoutMs": 500,
    "idleTimeoutMs": 5000,
}


_hosts = itertools.count(1)


def free_host():
    """Returns a loopback address that no other test of this run uses."""
    number = next(_hosts) % 64_000
    return f"127.{os.getpid() % 200 + 20}.{number // 250}.{number % 250 + 2}"


def free_address():
    # Below the ports that the system gives to connections.
    return f"{free_host()}:20000"


def route(name, kind, service, **fields):
    found = {
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
    return found | fields


def configuration(version, **fields):
    found = {
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
        "tenants": [{"name": "acme", "apiKeys": [KEY], "priority": 1}],
    }
    return found | fields


class Store:
    """The store: items by key, changes by revision."""

    def __init__(self):
        self.address = free_address()
        self.items = {}
        self.changes = []
        self.revision = 1
        self.first = 0
        self.is_down = False
        self.calls = 0
        self._changed = asyncio.Event()

    async def start(self):
        self.server = await http_server.serve(
            vms.parse_address(self.address),
            http_server.responder(self._answer),
        )

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
        self._note(item)

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self._note({"key": key, "revision": self.revision, "removed": True})

    def forget_history(self):
        self.first = self.revision
        self.changes.clear()
        self._wake()

    def _note(self, change):
        self.changes.append(change)
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, request):
        self.calls += 1
        if self.is_down:
            return http_server.Response(503, [], b"")
        path, _, query = request.target.partition("?")
        values = dict(urllib.parse.parse_qsl(query))
        if path == "/api/kv-range":
            return self._range(values["prefix"])
        return await self._watch(values)

    def _range(self, prefix):
        items = [
            v for k, v in sorted(self.items.items()) if k.startswith(prefix)
        ]
        return _json(
            {
                "items": items,
                "morePages": False,
                "storeRevision": self.revision,
            }
        )

    async def _watch(self, values):
        after = int(values["after"])
        if after < self.first:
            return http_server.Response(410, [], b"")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(values["waitMs"]) / 1000):
                while not self._since(values["prefix"], after):
                    await self._changed.wait()
        return _json(
            {
                "events": self._since(values["prefix"], after),
                "storeRevision": self.revision,
            }
        )

    def _since(self, prefix, after):
        return [
            change
            for change in self.changes
            if change["key"].startswith(prefix) and change["revision"] > after
        ]


def _json(value):
    headers = [("Content-Type", "application/json")]
    return http_server.Response(200, headers, json.dumps(value).encode())


class Runner:
    """An endpoint; `act` says what it does with the next requests.

    Attributes:
        acts: Functions that answer one exchange each; when there is none,
            the request is answered well.
        seen: Requests that arrived.
        runs: Ids of the requests that ran.
        cancelled: Ids of the requests whose connection was closed early.
        held: Parts of prompts in its cache, pairs of id and tokens.
        lists: Times that it listed its cache.
    """

    def __init__(self, name, service, slots=4):
        self.name = name
        self.service = service
        self.slots = slots
        self.address = free_address()
        self.acts = []
        self.seen = []
        self.runs = []
        self.cancelled = []
        self.events = 5
        self.held = []
        self.lists = 0

    async def start(self):
        self.server = await http_server.serve(
            vms.parse_address(self.address), self._handle
        )

    def entry(self, **fields):
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": 1,
            "born": 1,
        } | fields

    async def _handle(self, exchange):
        request = exchange.request
        if request.target == "/api/kv-list":
            self.lists += 1
            held = [["", *part, "m"] for part in self.held]
            exchange.send(_json({"epoch": 1, "next": 1, "held": held}))
            return
        self.seen.append(request)
        if request.headers.get("expect-instance") != self.name:
            headers = [("Instance-Id", self.name)]
            exchange.send(http_server.Response(421, headers, b""))
            return
        act = self.acts.pop(0) if self.acts else answer
        try:
            await act(self, exchange)
        finally:
            if exchange.disconnected.is_set():
                self.cancelled.append(request.headers["attempt-id"])

    def head(self, request):
        return [
            ("Attempt-Id", request.headers["attempt-id"]),
            ("Server-Seal", f"seal-of-{self.name}"),
            ("Server-Load", "1,0,4"),
        ]


async def answer(runner, exchange):
    """Answers well."""
    request = exchange.request
    runner.runs.append(request.headers["attempt-id"])
    if "model" in request.headers:
        first = int(request.headers.get("last-event-id", "0")) + 1
        await events(runner, exchange, first, runner.events)
        exchange.finish()
        return
    body = b"answer to " + request.target.encode()
    exchange.send(http_server.Response(200, runner.head(request), body))


async def events(runner, exchange, first, last):
    request = exchange.request
    headers = [*runner.head(request), ("Content-Type", "text/event-stream")]
    exchange.start(200, headers)
    for number in range(first, last + 1):
        exchange.write(b"id: %d\ndata: piece %d\n\n" % (number, number))
        await asyncio.sleep(0.005)


def fail(status):
    """Runs the request and fails with a status."""

    async def act(runner, exchange):
        request = exchange.request
        runner.runs.append(request.headers["attempt-id"])
        head = runner.head(request)
        exchange.send(http_server.Response(status, head, b"failed"))

    return act


async def reject(runner, exchange):
    """Does not run the request and says so."""
    headers = [("Not-Executed", "1")]
    exchange.send(http_server.Response(503, headers, b""))


async def lose(runner, exchange):
    """Runs the request and breaks the connection without an answer."""
    runner.runs.append(exchange.request.headers["attempt-id"])
    exchange.abort()


async def mistake(runner, exchange):
    """Answers with the id of another request."""
    request = exchange.request
    runner.runs.append(request.headers["attempt-id"])
    head = [("Attempt-Id", "another"), ("Server-Seal", "x")]
    exchange.send(http_server.Response(200, head, b"not yours"))


async def unsigned(runner, exchange):
    """Answers without a signature."""
    request = exchange.request
    runner.runs.append(request.headers["attempt-id"])
    head = [("Attempt-Id", request.headers["attempt-id"])]
    exchange.send(http_server.Response(200, head, b"unsigned"))


def cut_after(count):
    """Begins a stream and breaks it within the event after some."""

    async def act(runner, exchange):
        runner.runs.append(exchange.request.headers["attempt-id"])
        first = int(exchange.request.headers.get("last-event-id", "0")) + 1
        await events(runner, exchange, first, first + count - 1)
        exchange.write(b"id: %d\ndata: pie" % (first + count))
        await asyncio.sleep(0.02)
        exchange.abort()

    return act


async def hang(runner, exchange):
    """Runs the request and answers nothing."""
    runner.runs.append(exchange.request.headers["attempt-id"])
    await exchange.disconnected.wait()


class Fleet:
    """A store, runners, and gateways in this process."""

    def __init__(self, runners, gateways=1, config=None, **overrides):
        self.store = Store()
        self.runners = {runner.name: runner for runner in runners}
        self.config = configuration(1) if config is None else config
        self.client = http_client.Client()
        self._count = gateways
        self._overrides = overrides
        self._numbers = itertools.count()
        self.gateways = []
        self.tasks = []

    async def __aenter__(self):
        await self.store.start()
        if self.config:
            self.store.put("op/config", self.config)
        for runner in self.runners.values():
            await runner.start()
            self.store.put(f"servers/{runner.name}", runner.entry())
        for _ in range(self._count):
            self.start_gateway()
        for gateway in self.gateways:
            await self.until(lambda gateway=gateway: gateway.listening)
            if self.config:
                await self.until(lambda gateway=gateway: gateway.ready)
        return self

    async def __aexit__(self, *exc):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for gateway in self.gateways:
            await gateway.close()

    def settings(self):
        """Returns settings of one more gateway, with addresses of its own."""
        host = free_host()
        ports = itertools.count(20_001)

        def address():
            return f"{host}:{next(ports)}"

        values = {
            "name": f"gateway-{next(self._numbers)}",
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

    async def until(self, condition):
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(0.01)

    def address(self, key, number=0):
        return vms.parse_address(self.gateways[number].config[key])

    async def ask(
        self, path, identity, method="GET", body=b"", number=0, **more
    ):
        """Sends a request of a caller and returns its response."""
        headers = {
            "Host": HOST,
            "Attempt-Id": identity,
            "Deadline-Ms": "3000",
            "Authorization": f"Bearer {KEY}",
        }
        headers |= {name.replace("_", "-"): text for name, text in more.items()}
        return await self.client.request(
            self.address("public_address", number),
            method,
            path,
            {name: text for name, text in headers.items() if text},
            body,
            timeout_s=WAIT_S,
            fresh=True,
        )

    async def stream(self, path, identity, **more):
        prompt = {
            "Model": "m",
            "Token_Count": "60,40",
            "Prompt_Prefix": "aa:20,bb:30,cc:10",
        }
        return await self.ask(path, identity, "POST", b"{}", **(prompt | more))


def run(scenario):
    """Runs a scenario to its end."""
    asyncio.run(asyncio.wait_for(scenario(), 60))
