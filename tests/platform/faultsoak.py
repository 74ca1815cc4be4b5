"""Randomized soak of gateway processes under external faults.

Gateways run as processes of the platform's gateway program. The store and the
runners are stand-ins in this process, each behind a relay on loopback. Faults
are injected one after the other and overlap: signals to gateways, relays that
cut, silence or delay connections, runners that crash, also on a part of a
prompt, limit their requests, respond incorrectly or are replaced by another
version of their software, and a store that is unavailable or restored from a
copy, that gives no answers, or whose link is narrow for configurations that
grow, and that has entries which name no runner. Callers keep some of their
connections, and take up streams that broke off. The responses that callers
received are compared with the requests that runners executed, answers with the
configuration that must be in force, and repeats with the budget of the fleet.

Run it with `make soak-faults SEED=...`; a seed fixes the order of the faults.
`FAULTS=store` and `FAULTS=repeats` draw those of one matter, spaced so that
gateways are in touch in between. `FAULTS=stops` is a play of its own, with
planned work only; see stop_soak.py.
"""

import argparse
import asyncio
import collections
from collections.abc import Callable, Iterator
import contextlib
import functools
import json
import pathlib
import random
import re
import signal
import sys
import tempfile
import time
from typing import NamedTuple

import harness
import soak_checks
import standin
import stop_soak

from nutmegpost_core import vms
from nutmegpost_router import http_client
from nutmegpost_standins import relay

GATEWAY_COUNT = 3
RUNNERS = {"p1": "plain", "p2": "plain", "p3": "plain"} | {
    "e1": "engines",
    "e2": "engines",
    "e3": "engines",
}
CALLER_COUNT = 8
BUDGET = soak_checks.Budget(0.2, 50, 4.0)
# 12 Mbit/s.
NARROW_BYTES_PER_S = 1_500_000
# After the last fault, so that each version must be in force.
TAIL_S = 4.0
CALL_TIMEOUT_S = 6.0
CRASHING_REQUESTS = 10
TAKE_UPS_MAX = 3
RECOVERY_TIMEOUT_S = 15.0
EVENT_COUNT = 5
# Statuses that guarantee that a request has not run and never will.
NOT_EXECUTED_STATUSES = {408, 421, 429, 503}
_COMPLETE_STREAM = b"".join(
    b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENT_COUNT + 1)
)


class Outcome(NamedTuple):
    """Outcome of a caller's request; status 0 is a broken connection."""

    identity: str
    path: str
    status: int
    body: bytes
    seal: str


class _StreamPart(NamedTuple):
    """What a caller received of a stream in one attempt.

    Attributes:
        status: Status of the response; 0 for none.
        events: The complete events.
        seal: Signature of the response.
        is_complete: Whether the response was complete.
    """

    status: int = 0
    events: bytes = b""
    seal: str = ""
    is_complete: bool = False


class Soak:
    """Gateways, stand-ins, callers and faults of one seed."""

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        gateway_count: int = GATEWAY_COUNT,
        matter: str = "all",
    ):
        self._gateway_count = gateway_count
        self._matter = matter
        self._rng = random.Random(seed)
        # Of its own, as callers draw in an order that depends on the answers.
        self._caller_rng = random.Random(seed)
        self._folder = folder
        self._client = http_client.Client()
        self._version = 1
        self._grown_routes = 0
        self._is_growing = False
        self._starts: collections.Counter[str] = collections.Counter()
        # Times at which the requests of a service were sent.
        self._sent: dict[str, list[float]] = collections.defaultdict(list)
        # Runners whose links held requests back, and when.
        self._holds: list[tuple[str, float, float]] = []
        self._journal: list[str] = []
        self.checks = soak_checks.ConfigurationCheck()
        self.lag_s = 0.0
        self._down: set[str] = set()
        self._entries: dict[str, dict[str, object]] = {}
        # Slots of the instances, of which each runs in several over time.
        self._slots = {name: name for name in RUNNERS}
        self.outcomes: list[Outcome] = []
        self.faults: collections.Counter[str] = collections.Counter()

    async def run(self, seconds: float) -> list[str]:
        """Injects faults for some seconds; returns the violated guarantees."""
        await self._start()
        try:
            callers = [
                asyncio.create_task(self._run_caller(number))
                for number in range(CALLER_COUNT)
            ]
            callers += [
                asyncio.create_task(self._probe_gateway(number))
                for number in range(self._gateway_count)
            ]
            callers.append(asyncio.create_task(self._measure_lag()))
            await self._inject_faults(seconds)
            await asyncio.sleep(TAIL_S)
            for caller in callers:
                if caller.done():
                    # It never ends, but by an error of the soak itself.
                    caller.result()
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            violations = await self._check_recovery()
        finally:
            # First of all, as an interrupt may end the rest.
            for process in self._gateways:
                process.send_signal(signal.SIGKILL)
            for process in self._gateways:
                await process.wait()
            path = self._folder / "faults.txt"
            path.write_text("".join(self._journal))
            for link in self._relays.values():
                await link.close()
            await asyncio.sleep(0.1)
        return violations + self._find_violations()

    # Start.

    async def _start(self) -> None:
        fleet = standin.Fleet(
            [standin.Runner(*item) for item in RUNNERS.items()],
            gateways=0,
            retry_ratio=BUDGET.ratio,
            retry_extra=BUDGET.extra,
            retry_window_s=BUDGET.window_s,
        )
        self._store, self._runners = fleet.store, fleet.runners
        self._relays = {}
        # A relay that is closed, as its runner is down, has no address.
        self._addresses = {}
        await self._store.start()
        self._publish_version(1)
        # No fault concerns the runners that answer probes.
        self._probed = [
            standin.Runner(f"runner-{service}", service)
            for service in soak_checks.PROBE_SERVICES
        ]
        for runner in self._probed:
            await runner.start()
            self._store.put(f"servers/{runner.name}", runner.entry())
        for name, runner in self._runners.items():
            runner.event_text = b"piece-" + runner.version.encode()
            await runner.start()
            runner.crash = functools.partial(self._end_runner, name)
            self._relays[name] = await self._start_relay(runner.address)
            self._addresses[name] = self._relays[name].address
            self._publish_entry(name)
        self._links = []
        self._configs = [
            await self._settings(fleet) for _ in range(self._gateway_count)
        ]
        seeds = [config["control_address"] for config in self._configs[:3]]
        self._gateways = []
        for config in self._configs:
            path = self._folder / f"{config['name']}.json"
            path.write_text(json.dumps(config | {"seeds": seeds}))
            program = [sys.executable, "-m", "nutmegpost_platform.main"]
            command = ["env", f"NUTMEGPOST_BOOT={path}", *program]
            log = self._folder / f"{config['name']}.log"
            process = harness.Process(config["name"], command, log)
            self._start_gateway(process)
            self._gateways.append(process)
        for number in range(self._gateway_count):
            await self._wait_until_served(number)

    async def _settings(self, fleet: standin.Fleet) -> dict[str, object]:
        config = fleet.settings()
        link, address = await self._store.add_link()
        self._links.append(link)
        self._relays[config["name"]] = await self._start_relay(address)
        config["platform_address"] = self._relays[config["name"]].address
        return config

    def _start_gateway(self, process: harness.Process) -> None:
        self._starts[process.name] += 1
        self._note(f"{process.name} start {self._starts[process.name]}")
        process.start()

    def _note(self, text: str) -> None:
        self._journal.append(f"{time.time():.3f} {_now():.3f} {text}\n")

    def _disrupted(self, subject: str) -> contextlib.AbstractContextManager:
        return self.checks.disrupted(subject, _now)

    def _put_configuration(self) -> None:
        """Writes the current version, perhaps once more."""
        document = soak_checks.configuration(self._version, self._grown_routes)
        self._store.put("op/config", document)

    def _publish_version(self, version: int) -> None:
        self._version = version
        self._put_configuration()
        self.checks.acknowledge(version, _now())
        self._note(f"version {version}, {self._grown_routes} routes more")

    async def _start_relay(self, target: str) -> relay.Relay:
        listen = f"{standin.free_host()}:20000"
        server = relay.Relay(relay.Options("", listen, target))
        await server.start()
        return server

    def _publish_entry(self, name: str, **fields: object) -> None:
        """Writes the entry of a runner, with the next sequence number."""
        runner = self._runners[name]
        known = self._entries.get(runner.name, {"seq": 0, "born": 1})
        entry = runner.entry(
            address=self._addresses[name],
            **{"seq": known["seq"] + 1, "born": known["born"]} | fields,
        )
        self._entries[runner.name] = entry
        self._store.put(f"servers/{runner.name}", entry)

    # Callers.

    async def _run_caller(self, number: int) -> None:
        count = 0
        while True:
            count += 1
            path = self._caller_rng.choice(["look", "issue", "draft", "ask"])
            gateway = self._caller_rng.randrange(self._gateway_count)
            await self._send_request(
                f"/{path}/{count}", f"c{number}-{count}", gateway
            )
            await asyncio.sleep(self._caller_rng.uniform(0, 0.02))

    async def _probe_gateway(self, number: int) -> None:
        """Asks a gateway what tells versions of the configuration apart."""
        name = self._configs[number]["name"]
        while True:
            await asyncio.sleep(self._caller_rng.uniform(0.02, 0.1))
            kind = self._caller_rng.choice(list(soak_checks.PROBES))
            is_latest = self._caller_rng.random() < 0.3
            process = name, self._starts[name]
            probe = self.checks.probe(kind, process, is_latest, _now())
            path, key = soak_checks.PROBES[kind]
            key = key.format(probe.version) or standin.API_KEY
            try:
                response = await self._client.request(
                    vms.parse_address(self._configs[number]["public_address"]),
                    "GET",
                    path.format(probe.version),
                    _headers(f"{name}-{probe.sent_at}", key),
                    timeout_s=CALL_TIMEOUT_S,
                    fresh=True,
                )
            except (http_client.ConnectError, http_client.ExchangeError):
                continue
            seal = response.headers.get("server-seal", "")
            service = seal.removeprefix("seal-of-runner-")
            if process[1] == self._starts[name]:
                self.checks.record(probe, response.status, service)

    async def _measure_lag(self) -> None:
        """Measures how late this process is, which delays what it sees."""
        while True:
            due = _now() + 0.02
            await asyncio.sleep(0.02)
            self.lag_s = max(self.lag_s, _now() - due)

    async def _send_request(
        self, path: str, identity: str, gateway: int, part: str = ""
    ) -> Outcome:
        headers = _headers(identity, standin.API_KEY)
        is_stream = path.startswith(("/draft", "/ask"))
        if is_stream:
            headers |= {
                "Model": "m",
                "Token-Count": "60,40",
                "Prompt-Prefix": f"aa:20,{part or identity[:2]}:30,"
                f"{identity}:10",
            }
        outcome = Outcome(identity, path, 0, b"", "")
        if path.startswith("/draft"):
            outcome = await self._send_stream(outcome, headers, gateway)
            self.outcomes.append(outcome)
            return outcome
        try:
            with self._counted(path):
                response = await self._client.request(
                    vms.parse_address(self._configs[gateway]["public_address"]),
                    "POST" if is_stream else "GET",
                    path,
                    headers,
                    b"{}" if is_stream else b"",
                    timeout_s=CALL_TIMEOUT_S,
                    fresh=self._caller_rng.random() < 0.5,
                )
        except (http_client.ConnectError, http_client.ExchangeError):
            pass
        else:
            seal = response.headers.get("server-seal", "")
            outcome = outcome._replace(
                status=response.status, body=response.body, seal=seal
            )
        self.outcomes.append(outcome)
        return outcome

    @contextlib.contextmanager
    def _counted(self, path: str) -> Iterator[None]:
        """Counts a request as sent, unless there is no connection."""
        is_stream = path.startswith(("/draft", "/ask"))
        sent = self._sent["engines" if is_stream else "plain"]
        sent.append(sent_at := _now())
        try:
            yield
        except http_client.ConnectError:
            sent.remove(sent_at)
            raise

    async def _send_stream(
        self, outcome: Outcome, headers: dict[str, str], gateway: int
    ) -> Outcome:
        """Requests a stream, and takes it up again when it breaks off."""
        body, seal, begun = b"", "", outcome.identity
        for count in range(TAKE_UPS_MAX + 1):
            if count:
                headers["Attempt-Id"] = f"{outcome.identity}-{count}"
                gateway = self._caller_rng.randrange(self._gateway_count)
            if body:
                last_id = re.findall(rb"^id: (\d+)$", body, re.M)[-1]
                headers |= {"Last-Event-Id": last_id.decode()}
                headers |= {"Resumes": begun}
            part = await self._read_stream(outcome.path, headers, gateway)
            if part.events and not body:
                begun, seal = headers["Attempt-Id"], part.seal
            body += part.events
            if part.is_complete:
                identity = begun if body else headers["Attempt-Id"]
                return Outcome(identity, outcome.path, part.status, body, seal)
            await asyncio.sleep(self._caller_rng.uniform(0, 0.3))
        return outcome

    async def _read_stream(
        self, path: str, headers: dict[str, str], gateway: int
    ) -> _StreamPart:
        address = self._configs[gateway]["public_address"]
        data = b""
        part = _StreamPart()
        try:
            with self._counted(path):
                stream = await self._client.stream(
                    vms.parse_address(address),
                    "POST",
                    path,
                    headers,
                    b"{}",
                    CALL_TIMEOUT_S,
                    fresh=self._caller_rng.random() < 0.5,
                )
            part = _StreamPart(
                stream.status, seal=stream.headers.get("server-seal", "")
            )
            if stream.status != 200:
                stream.abort()
                return part._replace(is_complete=stream.status < 500)
            while piece := await stream.read(CALL_TIMEOUT_S):
                data += piece
            stream.close()
        except (http_client.ConnectError, http_client.ExchangeError):
            return part._replace(events=data[: data.rfind(b"\n\n") + 2])
        return part._replace(events=data, is_complete=True)

    # Faults.

    async def _inject_faults(self, seconds: float) -> None:
        end = asyncio.get_running_loop().time() + seconds
        running = []
        faults, longest_pause_s = self._faults()
        while asyncio.get_running_loop().time() < end:
            fault = self._rng.choice(faults)
            self.faults[fault.__name__] += 1
            running.append(asyncio.create_task(self._inject(fault)))
            await asyncio.sleep(self._rng.uniform(0.05, longest_pause_s))
        await asyncio.gather(*running)

    async def _inject(self, fault: Callable) -> None:
        self._note(f"{fault.__name__} begins")
        await fault()
        self._note(f"{fault.__name__} ends")

    def _faults(self) -> tuple[list[Callable], float]:
        """Returns the faults of the matter and the longest pause between."""
        gateways = [
            self._kill_gateway,
            self._pause_gateway,
            self._stop_gateway_gracefully,
        ]
        store = [
            self._grow_configuration,
            self._narrow_links,
            self._silence_store,
            self._take_store_down,
            self._lose_answers,
            self._forget_history,
            self._disrupt_link,
            self._publish_configuration,
        ]
        repeats = [self._fail_service, self._roll_gateways]
        if self._matter == "store":
            return [*gateways, *store, *store[:4] * 2], 3.0
        if self._matter == "repeats":
            return [*gateways, *repeats, self._fail_service], 1.5
        others = [
            self._reload_settings,
            self._crash_runner,
            self._send_crashing_part,
            self._limit_runner,
            self._disrupt_link,
            *[self._script_bad_behaviors] * 6,
            self._restore_store,
            self._write_odd_entry,
            self._replace_runner,
            self._replace_runner,
            self._leave_by_answer,
            self._ask_for_pause,
            self._drain_runner,
        ]
        return [*gateways, *store, *repeats, *others], 0.5

    def _random_gateway(self) -> harness.Process:
        return self._rng.choice(self._gateways)

    def _random_duration_s(self, max_s: float) -> float:
        return self._rng.uniform(0.05, max_s)

    async def _restart(self, process: harness.Process, number: int) -> None:
        """Ends a gateway by a signal and restarts it after a delay."""
        if process.name in self._down:
            return
        self._down.add(process.name)
        with self._disrupted(process.name):
            process.send_signal(number)
            await process.wait()
            await asyncio.sleep(self._random_duration_s(0.5))
            self._start_gateway(process)
        self._down.discard(process.name)

    async def _kill_gateway(self) -> None:
        await self._restart(self._random_gateway(), signal.SIGKILL)

    async def _stop_gateway_gracefully(self) -> None:
        await self._restart(self._random_gateway(), signal.SIGTERM)

    async def _pause_gateway(self) -> None:
        process = self._random_gateway()
        with self._disrupted(process.name):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._random_duration_s(2.0))
            process.send_signal(signal.SIGCONT)

    async def _reload_settings(self) -> None:
        self._random_gateway().send_signal(signal.SIGHUP)

    async def _crash_runner(self) -> None:
        await self._end_runner(self._rng.choice(list(self._runners)))

    async def _end_runner(
        self, name: str, while_down: Callable[[], None] = lambda: None
    ) -> None:
        """Ends a runner, so that its address refuses connections."""
        if name in self._down:
            return
        self._down.add(name)
        link = self._relays[name]
        await link.close()
        await self._runners[name].server.close()
        await asyncio.sleep(self._random_duration_s(1.0))
        while_down()
        await self._runners[name].start()
        await link.start()
        self._down.discard(name)

    async def _send_crashing_part(self) -> None:
        """Sends requests that crash runners and share one part."""
        number = self.faults["_send_crashing_part"]
        part = f"bad-{number}"
        for runner in self._runners.values():
            runner.crashing_parts.add(part)
        for count in range(CRASHING_REQUESTS):
            identity = f"x{number}-{count}"
            gateway = self._caller_rng.randrange(self._gateway_count)
            path = self._caller_rng.choice(["draft", "ask"])
            await self._send_request(
                f"/{path}/{identity}", identity, gateway, part
            )
            await asyncio.sleep(self._caller_rng.uniform(0.05, 0.2))

    async def _limit_runner(self) -> None:
        runner = self._rng.choice(list(self._runners.values()))
        runner.rate_limit = self._rng.choice([0.5, 5.0, 50.0])
        await asyncio.sleep(self._random_duration_s(3.0))
        runner.rate_limit = None

    async def _disrupt_link(self) -> None:
        name = self._rng.choice(list(self._relays))
        link = self._relays[name]
        fault = self._rng.choice(["cut", "silent", "drop", "delay_s"])
        begin = _now()
        with self._disrupted(name):
            link.set_faults(**{fault: 0.1 if fault == "delay_s" else True})
            await asyncio.sleep(self._random_duration_s(1.5))
            link.set_faults(cut=False, silent=False, drop=False, delay_s=0.0)
        # What was held back arrives within this time after it.
        self._holds.append((name, begin, _now() + 0.2))

    async def _script_bad_behaviors(self) -> None:
        runner = self._rng.choice(list(self._runners.values()))
        behaviors = [
            standin.fail_with(500),
            standin.reject,
            standin.drop_connection,
            standin.respond_with_foreign_id,
            standin.respond_unsigned,
            standin.hang,
        ]
        if runner.service == "engines":
            behaviors = [
                standin.reject,
                standin.drop_connection,
                standin.cut_stream_after(2),
            ]
        count = self._rng.randrange(3, 20)
        runner.behaviors = [self._rng.choice(behaviors) for _ in range(count)]

    async def _take_store_down(self) -> None:
        with self._disrupted("store"):
            self._store.is_down = True
            self._store.cut_polls()
            await asyncio.sleep(self._random_duration_s(1.5))
            self._store.is_down = False

    async def _silence_store(self) -> None:
        with self._disrupted("store"):
            self._store.begin_silence()
            await asyncio.sleep(self._random_duration_s(4.0))
            self._store.end_silence()

    async def _lose_answers(self) -> None:
        share = self._rng.choice([0.3, 1.0])
        with self._disrupted("store"):
            self._store.loses_answer = lambda: self._caller_rng.random() < share
            await asyncio.sleep(self._random_duration_s(1.5))
            self._store.loses_answer = lambda: False

    async def _grow_configuration(self) -> None:
        """Publishes large versions in quick succession."""
        self._grown_routes = self._rng.randrange(1000, 2500)
        interval_s = self._rng.uniform(0.2, 0.35)
        count = self._rng.randrange(5, 20)
        if self._is_growing:
            return
        self._is_growing = True
        for _ in range(count):
            self._publish_version(self._version + 1)
            await asyncio.sleep(interval_s)
        self._is_growing = False

    async def _narrow_links(self) -> None:
        with self._disrupted("links"):
            for link in self._links:
                link.bytes_per_s = NARROW_BYTES_PER_S
            await asyncio.sleep(self._rng.uniform(6.0, 12.0))
            for link in self._links:
                link.bytes_per_s = 0

    async def _fail_service(self) -> None:
        """Lets the runners of a service reject or lose most requests."""
        service = self._rng.choice(["plain", "engines"])
        behaviors = [
            standin.reject_with(503),
            standin.reject_with(429),
            standin.drop_connection,
        ]
        behaviors = self._rng.sample(behaviors, self._rng.randrange(1, 4))
        failing = [
            runner
            for name, runner in self._runners.items()
            if RUNNERS[name] == service
        ]
        for runner in failing:
            runner.behaviors = self._rng.choices(
                [*behaviors, standin.respond], k=5000
            )
        await asyncio.sleep(self._rng.uniform(1.0, 6.0))
        for runner in failing:
            runner.behaviors = []

    async def _roll_gateways(self) -> None:
        """Ends and restarts all gateways one after the other."""
        number = self._rng.choice([signal.SIGKILL, signal.SIGTERM])
        for process in self._gateways:
            await self._restart(process, number)

    async def _forget_history(self) -> None:
        self._store.forget_history()

    async def _restore_store(self) -> None:
        """Restores the store from a copy; all is written again soon."""
        copy = self._store.copy()
        await asyncio.sleep(self._random_duration_s(2.0))
        with self._disrupted("store"):
            self._store.is_down = True
            self._store.restore(copy)
            self._store.cut_polls()
            await asyncio.sleep(self._random_duration_s(0.5))
            self._store.is_down = False
            await asyncio.sleep(self._random_duration_s(0.5))
            self._put_configuration()
        live = {
            runner.name for runner in [*self._runners.values(), *self._probed]
        }
        for key in list(self._store.items):
            if key.startswith("servers/") and key[8:] not in live:
                self._store.remove(key)
        for name in self._runners:
            self._publish_entry(name)

    async def _write_odd_entry(self) -> None:
        """Writes an entry that names no runner, and removes it at times."""
        odd = self._rng.choice(
            [
                b"\xff",
                {"service": "engines", "state": "unknown", "address": 7},
                {
                    "service": "engines",
                    "state": "ready",
                    "address": "1.2.3.4:5",
                },
                standin.Runner("odd", "unnamed").entry(),
            ]
        )
        key = f"servers/odd-{self._rng.randrange(5)}"
        self._store.put(key, odd)
        await asyncio.sleep(self._random_duration_s(1.0))
        if self._rng.random() < 0.5:
            self._store.remove(key)

    async def _replace_runner(self) -> None:
        """Ends an engine; another one, of any version, takes its place."""
        engines = [
            name for name, service in RUNNERS.items() if service == "engines"
        ]
        await self._replace(self._rng.choice(engines))

    async def _leave_by_answer(self) -> None:
        """Lets a runner say that it leaves; another one takes its place."""
        name = self._rng.choice(list(self._runners))
        runner = self._runners[name]
        runner.is_leaving = True
        await asyncio.sleep(self._random_duration_s(2.0))
        await self._replace(name)
        runner.is_leaving = False

    async def _replace(self, name: str) -> None:
        """Replaces a runner by another instance, unless it is down."""
        runner = self._runners[name]
        old = runner.name
        await self._end_runner(name, functools.partial(self._renew, name))
        if runner.name != old:
            self._store.remove(f"servers/{old}")
            self._publish_entry(name)

    async def _ask_for_pause(self) -> None:
        runner = self._rng.choice(list(self._runners.values()))
        seconds = self._rng.choice(["0.3", "1.5", "soon", "-1"])
        count = self._rng.randrange(1, 10)
        runner.behaviors = [standin.refuse_for(seconds)] * count

    def _renew(self, name: str) -> None:
        """Makes a runner that is down another instance."""
        runner = self._runners[name]
        runner.name = f"{name}-{len(self._slots)}"
        runner.version = self._rng.choice(["v1", "v2"])
        runner.event_text = b"piece-" + runner.version.encode()
        self._slots[runner.name] = name

    async def _drain_runner(self) -> None:
        name = self._rng.choice(list(self._runners))
        self._publish_entry(name, state="draining")
        await asyncio.sleep(self._random_duration_s(1.5))
        self._publish_entry(name)

    async def _publish_configuration(self) -> None:
        self._publish_version(self._version + self._rng.randrange(1, 4))

    # Checks.

    async def _wait_until_served(self, gateway: int) -> bool:
        end = asyncio.get_running_loop().time() + RECOVERY_TIMEOUT_S
        count = 0
        while asyncio.get_running_loop().time() < end:
            count += 1
            identity = f"w{gateway}-{len(self.outcomes)}-{count}"
            outcome = await self._send_request("/look/0", identity, gateway)
            stream = await self._send_request(
                "/draft/0", f"{identity}-stream", gateway
            )
            if outcome.status == stream.status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def _check_recovery(self) -> list[str]:
        violations = []
        for runner in self._runners.values():
            runner.behaviors = []
        for number, process in enumerate(self._gateways):
            process.send_signal(signal.SIGCONT)
            if not process.is_alive:
                self._start_gateway(process)
            if not await self._wait_until_served(number):
                violations.append(
                    f"{process.name} serves nothing after the faults"
                )
        return violations

    def _find_violations(self) -> list[str]:
        """Returns each violated guarantee, with the id of the request."""
        execution_counts = collections.Counter(
            identity
            for runner in self._runners.values()
            for identity in runner.executed
        )
        executed_at = {
            (name, identity)
            for name, runner in self._runners.items()
            for identity in runner.executed
        }
        violations = self.checks.violations + self._find_repeats()
        for outcome in self.outcomes:
            identity = outcome.identity
            runs_at_most_once = outcome.path.startswith(("/issue", "/ask"))
            if runs_at_most_once and execution_counts[identity] > 1:
                violations.append(
                    f"{identity} ran {execution_counts[identity]} times"
                )
            if (
                runs_at_most_once
                and outcome.status in NOT_EXECUTED_STATUSES
                and execution_counts[identity]
            ):
                violations.append(f"{identity} ran and got {outcome.status}")
            if outcome.status == 200 and not self._is_correct(
                outcome, executed_at
            ):
                violations.append(f"{identity} got a wrong answer: {outcome}")
        for process in self._gateways:
            violations += [
                f"{process.name}: {line}"
                for line in process.log.splitlines()
                if '"event":"TASK_FAILED"' in line or "Traceback" in line
            ]
        return violations

    def _find_repeats(self) -> list[str]:
        """Returns the services whose repeats went over the budget."""
        violations = []
        for service in sorted(self._sent):
            arrivals = [
                arrival
                for name, runner in self._runners.items()
                if RUNNERS[name] == service
                for arrival in runner.arrivals
                if not self._is_held(name, arrival[0])
            ]
            found = soak_checks.over_budget(
                sorted(self._sent[service]),
                soak_checks.repeats(arrivals),
                BUDGET,
            )
            if found:
                count, allowed, start = max(
                    found, key=lambda window: window[0] - window[1]
                )
                violations.append(
                    f"BUDGET {service}: {count} repeats of {allowed:.1f} from"
                    f" {start:.2f}, {len(found)} windows"
                )
        return violations

    def _is_held(self, name: str, time_s: float) -> bool:
        """Returns whether a link may have delivered a request late."""
        return any(
            name == held and begin <= time_s <= end
            for held, begin, end in self._holds
        )

    def _is_correct(
        self, outcome: Outcome, executed_at: set[tuple[str, str]]
    ) -> bool:
        body = b"answer to " + outcome.path.encode()
        received = outcome.body
        if outcome.path.startswith(("/draft", "/ask")):
            body = _COMPLETE_STREAM
            texts = set(re.findall(rb"piece-\w+", received))
            if len(texts) > 1:
                return False
            for text in texts:
                received = received.replace(text, b"piece")
        name = self._slots.get(outcome.seal.removeprefix("seal-of-"), "")
        return received == body and (name, outcome.identity) in executed_at


def _now() -> float:
    return asyncio.get_running_loop().time()


def _headers(identity: str, key: str) -> dict[str, str]:
    return {
        "Host": standin.HOST,
        "Attempt-Id": identity,
        "Deadline-Ms": "3000",
        "Authorization": f"Bearer {key}",
    }


def run_seed(
    seed: int,
    seconds: float,
    gateway_count: int = GATEWAY_COUNT,
    matter: str = "all",
    logs: pathlib.Path | None = None,
) -> tuple[list[str], Soak]:
    """Runs one seed; returns the violated guarantees and the soak.

    Args:
        seed: The seed.
        seconds: Time in which faults begin.
        gateway_count: Number of gateways.
        matter: Faults to draw: `all`, `store` or `repeats`.
        logs: Folder that keeps the logs; None to remove them.
    """
    with tempfile.TemporaryDirectory() as temporary:
        folder = logs or pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        soak = Soak(seed, folder, gateway_count, matter)
        return asyncio.run(soak.run(seconds)), soak


def main() -> int:
    """Runs consecutive seeds and prints the violations of each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--gateways", type=int, default=GATEWAY_COUNT)
    parser.add_argument(
        "--faults",
        choices=["all", "store", "repeats", "stops"],
        default="all",
    )
    parser.add_argument("--logs", type=pathlib.Path)
    options = parser.parse_args()
    # SIGTERM raises KeyboardInterrupt, so that the soak ends its gateways.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = 0
    for seed in range(options.seed, options.seed + options.count):
        logs = options.logs and options.logs / f"{options.faults}-{seed}"
        if options.faults == "stops":
            failed += stop_soak.play_seed(
                seed, options.seconds, options.gateways, logs
            )
            continue
        violations, soak = run_seed(
            seed, options.seconds, options.gateways, options.faults, logs
        )
        statuses = collections.Counter(
            outcome.status for outcome in soak.outcomes
        )
        probes = dict(soak.checks.due_counts)
        lines = [f"seed {seed}: {len(violations)} broken, {dict(statuses)}"]
        lines += [f"  lag {soak.lag_s:.2f} s, probes {probes}"]
        lines += [f"  {line[:400]}" for line in violations]
        sys.stdout.write("\n".join(lines) + "\n")
        failed += bool(violations)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
