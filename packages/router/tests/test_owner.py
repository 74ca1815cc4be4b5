"""Tests of an owner of two engines, against stand-ins in the same process."""

import asyncio
import hashlib
import json

import pytest

from nutmegpost_core import configuration
from nutmegpost_core import quarantine
from nutmegpost_core import vms
from nutmegpost_core import wire
from nutmegpost_router import http_client
from nutmegpost_router import http_server
from nutmegpost_router import owner
from nutmegpost_router import view

BODY = json.dumps(
    {"model": "m", "messages": [{"role": "user", "content": "x"}]}
).encode()
TOKENS = [b'{"t": %d}' % number for number in range(4)]
DOCUMENT = {
    "version": 1,
    "load_bound": 1.0,
    "classes": [
        {"name": "quick", "rank": 1, "first_token_ms": 5000, "worth": 1}
    ],
    "accounts": [
        {
            "name": "press",
            "key_digests": [configuration.key_digest("k")],
            "classes": ["quick"],
        }
    ],
    "models": [
        {
            "name": "m",
            "version": "v1",
            "slots": 8,
            "rollout": {"max_unavailable": 1},
        }
    ],
    "services": [],
}


class _Engine:
    """Stand-in engine that streams its tokens once `released` is set."""

    def __init__(self):
        self.released = asyncio.Event()
        self.state = "ready"
        self.sequence = 1
        self.requests_received = []
        self.cancelled = []
        self.running_max = 0
        self.running = 0
        self.refusal = None

    async def handle(self, exchange):
        request = exchange.request
        path = request.target.partition("?")[0]
        if path == "/v1/load":
            await asyncio.sleep(0.02)
            self.sequence += 1
            report = {
                "sequence": self.sequence,
                "running": self.running,
                "waiting": 0,
                "state": self.state,
            }
            _send(exchange, 200, json.dumps(report).encode())
        elif path == "/v1/cache-events":
            await exchange.disconnected.wait()
        elif request.method == "DELETE":
            self.cancelled.append(path)
            _send(exchange, 200, b"{}")
        elif request.method == "GET":
            await self._stream(exchange)
        else:
            await self._chat(exchange)

    async def _chat(self, exchange):
        self.requests_received.append(exchange.request.headers["x-request-id"])
        if self.refusal:
            _send(exchange, 503, self.refusal)
            return
        self.running += 1
        self.running_max = max(self.running_max, self.running)
        await self._stream(exchange)
        self.running -= 1

    async def _stream(self, exchange):
        exchange.start(200, [])
        await self.released.wait()
        for number, data in enumerate(TOKENS):
            exchange.write(b"id: %d\ndata: %s\n\n" % (number, data))
        exchange.write(b"data: [DONE]\n\n")
        exchange.finish()


def _send(exchange, status, body):
    exchange.send(http_server.Response(status, [], body))


class _Fixture:
    """Two stand-in engines and the owner under test."""

    async def start(self, routers=("me",)):
        self.engines = {"e1": _Engine(), "e2": _Engine()}
        self.servers = []
        entries = []
        for name, engine in self.engines.items():
            server = await http_server.serve(
                vms.Address("127.0.0.1", 0), engine.handle
            )
            self.servers.append(server)
            port = server._server.sockets[0].getsockname()[1]
            entries.append(_vm(name, port))
        self.view = view.View("me", "a")
        data = json.dumps(DOCUMENT).encode()
        self.view.set_configuration(configuration.parse(data, "test"))
        self.view.set_vms({"version": 1, "vms": entries})
        self.view.set_routers(routers)
        self.client = http_client.Client()
        self.suspects = quarantine.Quarantine("me")
        self.leaving_engines = []
        self.owner = owner.Owner(
            self.view, self.client, self.suspects, self._observer()
        )
        self.owner.reconcile()
        await self.until(
            lambda: all(
                task.state == "ready" for task in self.owner.tasks.values()
            )
        )

    def _observer(self):
        return owner.Observer(
            load_changed=lambda: None,
            engine_leaving=self.leaving_engines.append,
            engine_unreachable=lambda name: None,
            request_retried=lambda: None,
            event_dropped=lambda reason: None,
            load_reported=lambda name, report: None,
        )

    async def stop(self):
        self.owner.stop()
        self.client.close()
        for server in self.servers:
            await server.close()

    async def until(self, condition):
        while not condition():
            await asyncio.sleep(0.01)

    def submit(self, request_id, **changes):
        # Requests with the same digest are copies, which go to the same engine.
        submit = wire.Submit(
            request_id,
            "press",
            "quick",
            "m",
            "c1",
            BODY,
            digest=hashlib.sha256(request_id.encode()).digest()[:8],
        )._replace(**changes)
        inbox = asyncio.Queue()
        task = asyncio.create_task(
            self.owner.handle_peer_request(submit, inbox.put_nowait)
        )
        return inbox, task

    def requests_received(self):
        return [
            name for e in self.engines.values() for name in e.requests_received
        ]

    def release_engines(self):
        for engine in self.engines.values():
            engine.released.set()


def _vm(name, port):
    address = f"127.0.0.1:{port}"
    return {
        "name": name,
        "address": address,
        "peer_address": address,
        "zone": "a",
        "kind": "engine",
        "pool": "m",
        "state": "live",
        "fenced": False,
    }


async def _events(inbox):
    received = []
    while True:
        message = await inbox.get()
        if not isinstance(message, wire.Frames):
            return message
        received += message.events
        if message.is_last:
            return received


def _run(use, **options):
    async def main():
        fixture = _Fixture()
        await fixture.start(**options)
        try:
            return await asyncio.wait_for(use(fixture), 20)
        finally:
            await fixture.stop()

    return asyncio.run(main())


def test_repeated_request_joins_running_attempt():
    async def use(fixture):
        first, _ = fixture.submit("r1")
        await fixture.until(fixture.requests_received)
        second, _ = fixture.submit("r1")
        fixture.release_engines()
        assert await _events(first) == TOKENS
        assert await _events(second) == TOKENS
        third, _ = fixture.submit("r1")
        assert await _events(third) == TOKENS
        assert fixture.requests_received() == ["press/r1"]

    _run(use)


def test_request_id_with_other_content_is_rejected():
    async def use(fixture):
        fixture.submit("r1")
        other, _ = fixture.submit("r1", digest=b"another.")
        answer = await other.get()
        assert answer.code == "idempotency-mismatch"
        assert answer.outcome == "not-run"

    _run(use)


def test_load_bound_limits_each_engine():
    async def use(fixture):
        inboxes = [fixture.submit(f"r{n}", chat=f"c{n}")[0] for n in range(8)]
        await fixture.until(lambda: len(fixture.requests_received()) == 8)
        assert [e.running_max for e in fixture.engines.values()] == [4, 4]
        fixture.release_engines()
        for inbox in inboxes:
            assert await _events(inbox) == TOKENS

    _run(use)


def test_copies_queue_at_one_engine_until_first_event():
    async def use(fixture):
        inboxes = [
            fixture.submit(f"r{n}", chat=f"c{n}", digest=b"the same")[0]
            for n in range(8)
        ]
        await fixture.until(fixture.requests_received)
        await asyncio.sleep(0.3)
        assert [e.running_max for e in fixture.engines.values()].count(0) == 1
        fixture.release_engines()
        for inbox in inboxes:
            assert await _events(inbox) == TOKENS
        later = [
            fixture.submit(f"s{n}", chat=f"d{n}", digest=b"the same")[0]
            for n in range(8)
        ]
        for inbox in later:
            assert await _events(inbox) == TOKENS
        assert all(e.running_max for e in fixture.engines.values())

    _run(use)


def test_requests_of_leaving_engine_move():
    async def use(fixture):
        ring_engine = fixture.view.placement.ring_engine("m", "press/c1")
        other = next(name for name in fixture.engines if name != ring_engine)
        refusal = b'{"error": {"code": "leaving"}}'
        fixture.engines[ring_engine].refusal = refusal
        fixture.engines[ring_engine].state = "leaving"
        fixture.release_engines()
        inboxes = [fixture.submit(f"r{n}")[0] for n in range(1, 4)]
        for inbox in inboxes:
            assert await _events(inbox) == TOKENS
        served = sorted(fixture.engines[other].requests_received)
        assert served == ["press/r1", "press/r2", "press/r3"]
        await fixture.until(
            lambda: set(fixture.leaving_engines) == {ring_engine}
        )

    _run(use)


@pytest.mark.parametrize("hops", [0, owner.HOPS_MAX])
def test_moves_between_owners_are_limited(hops):
    async def use(fixture):
        for name in ("f1", "f2"):
            await fixture.until(fixture.owner.tasks["e1"].limit.bit_length)
            inbox, _ = fixture.submit(name, engine="e1")
        await fixture.until(lambda: len(fixture.requests_received()) == 2)
        sums = wire.PoolLoads(1, ["m"], [0], [1], ["e9"], [0])
        entries = [_vm(n, 9) for n in ("e1", "e2", "e9")]
        fixture.view.set_vms({"version": 2, "vms": entries})
        fixture.view.set_available("m", ())
        now = asyncio.get_running_loop().time()
        fixture.view.loads.apply_sums("other", sums, now)
        inbox, _ = fixture.submit("r1", engine="e1", hops=hops)
        await asyncio.sleep(0.3)
        moved = not inbox.empty()
        assert moved == (hops == 0)

    _run(use)


def test_request_is_deferred_while_no_engine_is_ready():
    async def use(fixture):
        for engine in fixture.engines.values():
            engine.state = "loading"
        await fixture.until(
            lambda: (
                not any(
                    t.accepts_requests for t in fixture.owner.tasks.values()
                )
            )
        )
        inbox, _ = fixture.submit("r1")
        await asyncio.sleep(0.3)
        for engine in fixture.engines.values():
            engine.state = "ready"
        fixture.release_engines()
        assert await _events(inbox) == TOKENS

    _run(use)


def test_run_without_subscriber_is_cancelled(monkeypatch):
    monkeypatch.setattr(owner, "UNREAD_LIMIT_S", 0.0)
    monkeypatch.setattr(owner, "SWEEP_INTERVAL_S", 0.02)

    async def use(fixture):
        sweep = asyncio.create_task(fixture.owner.sweep())
        _, reader = fixture.submit("r1")
        await fixture.until(fixture.requests_received)
        reader.cancel()
        await fixture.until(
            lambda: any(e.cancelled for e in fixture.engines.values())
        )
        sweep.cancel()
        assert not fixture.owner.in_flight

    _run(use)


def test_request_for_engine_of_other_router_is_redirected():
    async def use(fixture):
        fixture.view.set_routers(["other"])
        inbox, _ = fixture.submit("r1")
        answer = await inbox.get()
        assert isinstance(answer, wire.Redirected)
        rerouted, _ = fixture.submit("r2", hops=owner.HOPS_MAX)
        fixture.release_engines()
        assert await _events(rerouted) == TOKENS

    _run(use)


@pytest.mark.parametrize("fresh", [False, True])
def test_stream_is_resumed_unless_fresh(fresh):
    async def use(fixture):
        fixture.release_engines()
        inbox, _ = fixture.submit(
            "r1", engine="e1", last_event="e1/5/1", fresh=fresh
        )
        assert await _events(inbox) == TOKENS[2:]
        assert fixture.requests_received() == (["press/r1"] if fresh else [])

    _run(use)


def test_stream_lost_in_crash_is_not_resumed():
    async def use(fixture):
        now = asyncio.get_running_loop().time()
        digest = quarantine.digest("press", BODY)
        fixture.suspects.record_remote_crashes(digest, 1, "e1", now)
        fixture.submit("r1", engine="e1", last_event="e1/5/1", digest=digest)
        await asyncio.sleep(0.2)
        run = next(iter(fixture.owner._runs.values()))
        assert run.attempt_count == 0
        assert not run.ended

    _run(use)


def test_request_that_crashed_two_engines_is_refused():
    async def use(fixture):
        now = asyncio.get_running_loop().time()
        digest = quarantine.digest("press", BODY)
        fixture.suspects.record_remote_crashes(digest, 2, "e1", now)
        inbox, _ = fixture.submit("r1", digest=digest)
        answer = await inbox.get()
        assert (answer.code, answer.outcome) == ("quarantined", "not-run")
        assert not fixture.requests_received()

    _run(use)


@pytest.mark.parametrize("dispatched", [False, True])
def test_withdrawal_reports_whether_request_may_have_run(dispatched):
    async def use(fixture):
        if not dispatched:
            for task in fixture.owner.tasks.values():
                task.queue.slots = 0
        inbox, _ = fixture.submit("r1")
        if dispatched:
            await fixture.until(fixture.requests_received)
        else:
            await asyncio.sleep(0.05)
        answer = fixture.owner.withdraw(wire.Withdraw("r1", "press"))
        assert answer.may_have_run == dispatched
        ended = await _events(inbox)
        assert (ended.outcome == "not-run") == (not dispatched)

    _run(use)
