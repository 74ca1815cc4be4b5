"""Soak of planned work: no request that was read may end without an answer.

Gateways run as processes. They are stopped and started again, one after the
other or several at once, get SIGHUP and new configurations, and runners leave
and are replaced. Runners are silent for about a second now and then, turn some
requests away and read long bodies late, but break nothing off. Callers keep
connections and addresses, send in pieces, and some have small windows and read
slowly. Run it with `make soak-faults FAULTS=stops`; see faultsoak.py.
"""

import asyncio
import collections
import contextlib
import functools
import json
import pathlib
import random
import signal
import sys
import tempfile

import harness
import soak_checks
import standin
import stop_callers
import stop_checks
import stop_runners

from nutmegpost_core import vms
from nutmegpost_router import http_client

GATEWAY_COUNT = 3
BUDGET = soak_checks.Budget(0.2, 54, 10.0)
ADDRESS_TTL_S = 1.0
# Time for which callers keep an address, in multiples of its TTL.
KEPT_TTLS = 3.0
DRAIN_S = 2.0
START_TIMEOUT_S = 15.0
# After the last planned work begins: open requests end, stops are over.
TAIL_S = 9.5
# Callers at work, which changes in the course of a play.
CALLER_COUNTS = (4, 20, 80, 160)
# Callers that reach a stopping gateway about when its listener closes.
LATE_CALLER_COUNTS = (0, 3, 12)
ENGINE_COUNT = 4
PLAIN_COUNT = 2
# Parts of the play that can be left out, to tell causes apart.
FEATURES = frozenset(
    [
        "stops",
        "reloads",
        "configurations",
        "leaving",
        "silence",
        "refusals",
        "late bodies",
        "early answers",
        "small windows",
    ]
)


class _Gateway:
    """A gateway, of which each start is a process with a log of its own."""

    def __init__(self, folder, config):
        self.config = config
        self.name = config["name"]
        self.start_count = 0
        self.is_taken = False
        self._folder = folder
        self.processes = []

    @property
    def process(self):
        return self.processes[-1]

    def start(self, first_start):
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config | {"first_start": first_start}))
        self.start_count += 1
        program = [sys.executable, "-m", "nutmegpost_platform.main"]
        command = ["env", f"NUTMEGPOST_BOOT={path}", *program]
        process = harness.Process(self.name, command, self.log(-1))
        self.processes.append(process)
        process.start()

    def log(self, start):
        """Returns the path of the log of a start; of the last one for -1."""
        number = self.start_count if start == -1 else start
        return self._folder / f"{self.name}-{number}.log"


class Soak:
    """The play of one seed, and what was seen.

    Attributes:
        outcomes: What callers saw.
        planned: Planned work.
        lost: Requests that broke rule LOST.
        others: Other requests that were cut.
        lag_s: Longest delay of this process, seconds.
    """

    def __init__(self, seed, folder, gateway_count, features=FEATURES):
        self._seed = seed
        self._folder = folder
        self._rng = random.Random(seed)
        self._features = features
        self._gateway_count = gateway_count
        self._caller_count = 0
        self._is_first_start = self._rng.random() < 0.5
        self._client = http_client.Client()
        self._version = 0
        self._sequence = 1
        self._runners = {}
        self._entries = {}
        self._gone = []
        self._is_over = False
        self._journal = []
        self._tasks = set()
        self.outcomes = []
        self.planned = []
        self.lost = []
        self.others = []
        self.lag_s = 0.0

    @property
    def all_runners(self):
        return [*self._runners.values(), *self._gone]

    async def run(self, seconds):
        """Plays for some seconds; returns what was broken."""
        begin = _now()
        self._gateways = []
        try:
            await self._start()
            callers = [
                asyncio.create_task(self._run_caller(number))
                for number in range(max(CALLER_COUNTS))
            ]
            lag = asyncio.create_task(self._measure_lag())
            await self._play(seconds)
            self._is_over = True
            _, late = await asyncio.wait(callers, timeout=TAIL_S)
            for caller in late:
                caller.cancel()
            lag.cancel()
            for caller in set(callers) - late:
                caller.result()
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*late, *self._tasks, return_exceptions=True)
        finally:
            for process in self._processes():
                process.send_signal(signal.SIGKILL)
            for process in self._processes():
                await process.wait()
            for runner in self.all_runners:
                runner.abort()
            await asyncio.sleep(0.1)
            path = self._folder / "play.txt"
            path.write_text("".join(self._journal))
        return self._judge((begin, _now()))

    def _processes(self):
        return [p for gateway in self._gateways for p in gateway.processes]

    def _note(self, text):
        self._journal.append(f"{_now():.3f} {text}\n")

    # Start.

    async def _start(self):
        self._fleet = standin.Fleet(
            [],
            gateways=0,
            stop_grace_s=stop_checks.GRACE_S,
            address_ttl_s=ADDRESS_TTL_S,
            retry_ratio=BUDGET.ratio,
            retry_extra=BUDGET.extra,
            retry_window_s=BUDGET.window_s,
            descriptors_max=6150,
            memory_mb=430,
        )
        self._store = self._fleet.store
        await self._store.start()
        self._publish()
        for number in range(ENGINE_COUNT):
            await self._add_runner(f"e{number}", "engines")
        for number in range(PLAIN_COUNT):
            await self._add_runner(f"p{number}", "plain")
        configs = [self._fleet.settings() for _ in range(self._gateway_count)]
        seeds = [config["control_address"] for config in configs[:3]]
        for config in configs:
            gateway = _Gateway(self._folder, config | {"seeds": seeds})
            self._gateways.append(gateway)
            gateway.start(self._is_first_start)
        for gateway in self._gateways:
            if not await self._becomes_ready(gateway):
                raise AssertionError(f"{gateway.name} is not ready")

    def _publish(self):
        self._version += 1
        self.planned.append(stop_checks.Planned("configuration", "", _now()))
        timeouts = {
            "timeoutMs": 12_000,
            "targetLatencyMs": 2500,
            "gapAimMs": 800,
        }
        routes = [
            standin.route("look", "safe", "plain", timeoutMs=8000),
            standin.route(
                "issue", "unsafe", "plain", timeoutMs=8000, maxAttempts=1
            ),
            standin.route(
                "draft", "streaming", "engines", resumable=True, **timeouts
            ),
            standin.route(
                "ask",
                "streaming",
                "engines",
                **(timeouts | {"timeoutMs": 10_000, "maxAttempts": 1}),
            ),
        ]
        routes += [
            standin.route(f"more-{n}", "safe", "plain")
            for n in range(self._version % 20)
        ]
        document = standin.configuration(
            self._version,
            routes=routes,
            limits=standin.LIMITS | {"maxBodyBytes": 200_000},
        )
        engine = document["services"][1]["engine"]
        engine["slots"] = stop_runners.SLOTS
        self._store.put("op/config", document)

    async def _add_runner(self, slot, service):
        self._sequence += 1
        name = f"{slot}-{self._sequence}"
        runner = stop_runners.Runner(name, service, f"{self._seed}-{name}")
        if "late bodies" in self._features and slot == "e1":
            runner.late_body_s = 0.6
        if "early answers" in self._features and slot == "e2":
            runner.answers_early = True
        await runner.start()
        self._runners[slot] = runner
        self._store.put(f"servers/{name}", runner.entry())

    async def _becomes_ready(self, gateway):
        address = vms.parse_address(gateway.config["readiness_address"])
        end = _now() + START_TIMEOUT_S
        while _now() < end:
            with contextlib.suppress(
                http_client.ConnectError, http_client.ExchangeError
            ):
                answer = await self._client.request(
                    address, "GET", "/api/ready", {}, timeout_s=1.0
                )
                if answer.status == 200:
                    return True
            await asyncio.sleep(0.02)
        return False

    # Callers.

    async def _run_caller(self, number):
        rng = random.Random(f"{self._seed}-{number}")
        count = 0
        addresses, known_until = [], 0.0
        while not self._is_over:
            if number >= self._caller_count:
                await asyncio.sleep(0.1)
                continue
            if not addresses or _now() >= known_until:
                addresses = await self._resolve(rng)
                known_until = _now() + ADDRESS_TTL_S * rng.uniform(0, KEPT_TTLS)
            if not addresses:
                await asyncio.sleep(0.1)
                continue
            address = rng.choice(addresses)
            is_small = rng.random() < 0.25
            is_small = is_small and "small windows" in self._features
            try:
                connection = await self._connect(address, is_small)
            except (OSError, TimeoutError):
                addresses.remove(address)
                continue
            most = rng.choice([1, 1, 4, 100])
            with contextlib.closing(connection):
                if rng.random() < 0.3:
                    await asyncio.sleep(rng.uniform(0, 0.4))
                while (
                    connection.is_open
                    and most
                    and not self._is_over
                    and number < self._caller_count
                ):
                    count += 1
                    most -= 1
                    plan, pace = stop_callers.draw(
                        rng, f"c{number}-{count}", is_small
                    )
                    self.outcomes.append(await connection.exchange(plan, pace))
                    await asyncio.sleep(rng.expovariate(5.0))

    async def _connect(self, address, has_small_window):
        (gateway,) = [
            gateway
            for gateway in self._gateways
            if gateway.config["public_address"] == address
        ]
        return await stop_callers.connect(
            address, gateway.name, gateway.start_count, has_small_window
        )

    async def _resolve(self, rng):
        gateway = rng.choice(self._gateways)
        address = vms.parse_address(gateway.config["directory_address"])
        try:
            answer = await self._client.request(
                address, "GET", "/api/resolve", {}, timeout_s=1.0
            )
        except (http_client.ConnectError, http_client.ExchangeError):
            return []
        if answer.status != 200:
            return []
        return json.loads(answer.body)["addresses"]

    async def _measure_lag(self):
        while True:
            due = _now() + 0.02
            await asyncio.sleep(0.02)
            self.lag_s = max(self.lag_s, _now() - due)

    # Planned work.

    async def _play(self, seconds):
        works = self._works()
        self._begin(self._vary_callers())
        if "silence" in self._features:
            self._begin(self._silence_runners())
        if "refusals" in self._features:
            self._begin(self._turn_requests_away())
        await asyncio.sleep(1.0)
        end = _now() + seconds
        while _now() < end:
            self._begin(self._rng.choice(works)())
            await asyncio.sleep(self._rng.uniform(0.3, 2.5))

    def _begin(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)

    def _works(self):
        works = {
            "stops": [
                self._roll,
                functools.partial(self._roll, is_overlapping=True),
                self._restart_random,
                self._restart_random,
                self._stop_after_start,
            ],
            "reloads": [self._reload],
            "configurations": [self._change_configuration],
            "leaving": [self._replace_runner, self._replace_runner],
        }
        return [
            work
            for feature, listed in works.items()
            if feature in self._features
            for work in listed
        ]

    async def _roll(self, is_overlapping=False):
        """Restarts all gateways, the next when the one before is back."""
        self._note(f"roll, overlapping: {is_overlapping}")
        gateways = self._rng.sample(self._gateways, len(self._gateways))
        for gateway in gateways:
            if is_overlapping:
                self._begin(self._restart(gateway))
                await asyncio.sleep(self._rng.uniform(0.2, 3.0))
            else:
                await self._restart(gateway)

    async def _restart_random(self):
        await self._restart(self._rng.choice(self._gateways))

    async def _stop_after_start(self):
        """Stops a gateway twice, the second time just after its start."""
        gateway = self._rng.choice(self._gateways)
        after_s = self._rng.choice([0.0, 0.5, 1.0])
        if self._rng.random() < 0.5:
            await self._restart(gateway)
            await asyncio.sleep(after_s)
            await self._restart(gateway)
        else:
            await self._restart(gateway, self._rng.uniform(0.1, 0.6))

    async def _restart(self, gateway, again_after_s=0.0):
        """Stops and starts a gateway, unless another work does.

        Args:
            gateway: The gateway.
            again_after_s: Time after the start at which it is stopped once
                more, ready or not; 0 for never.
        """
        if gateway.is_taken:
            return
        gateway.is_taken = True
        if again_after_s:
            await self._stop_and_start(gateway)
            await asyncio.sleep(again_after_s)
        await self._stop_and_start(gateway)
        if not await self._becomes_ready(gateway):
            raise AssertionError(f"{gateway.name} is not ready again")
        self._note(f"{gateway.name} is ready")
        gateway.is_taken = False

    async def _stop_and_start(self, gateway):
        self._stop(gateway)
        for number in range(self._rng.choice(LATE_CALLER_COUNTS)):
            self._begin(self._call_late(gateway, number))
        for number in (signal.SIGTERM, signal.SIGHUP):
            if self._rng.random() < 0.25:
                self._begin(self._signal_again(gateway.process, number))
        process = gateway.process
        try:
            await process.wait(stop_checks.GRACE_S)
        except AssertionError:
            self._note(f"{gateway.name} is killed")
            await process.kill()
        self._note(f"{gateway.name} has ended")
        await asyncio.sleep(self._rng.choice([0.0, 0.2, 1.0]))
        gateway.start(self._rng.random() < 0.3)
        self._note(f"{gateway.name} start {gateway.start_count}")

    def _stop(self, gateway):
        self._note(f"{gateway.name} SIGTERM")
        self.planned.append(stop_checks.Planned("stop", gateway.name, _now()))
        gateway.process.send_signal(signal.SIGTERM)

    async def _signal_again(self, process, number):
        await asyncio.sleep(self._rng.uniform(0.1, 4.0))
        self._note(f"{process.name} signal {number} during its stop")
        kind = "reload" if number == signal.SIGHUP else "stop"
        if process.is_alive and kind == "reload":
            self.planned.append(stop_checks.Planned(kind, process.name, _now()))
        process.send_signal(number)

    async def _call_late(self, gateway, number):
        """Uses an address that was kept for about the time it may be."""
        identity = f"l{gateway.name[8:]}-{gateway.start_count}-{number}"
        rng = random.Random(f"{self._seed}-{identity}")
        address = gateway.config["public_address"]
        start = gateway.start_count
        await asyncio.sleep(2 * ADDRESS_TTL_S + rng.uniform(-0.2, 0.25))
        with contextlib.suppress(OSError, TimeoutError):
            connection = await stop_callers.connect(
                address, gateway.name, start, False
            )
            with contextlib.closing(connection):
                if rng.random() < 0.5:
                    await asyncio.sleep(rng.uniform(0, 0.2))
                plan, pace = stop_callers.draw(rng, identity, False)
                self.outcomes.append(await connection.exchange(plan, pace))

    async def _reload(self):
        gateway = self._rng.choice(self._gateways)
        if gateway.is_taken:
            return
        self._note(f"{gateway.name} SIGHUP")
        self.planned.append(stop_checks.Planned("reload", gateway.name, _now()))
        gateway.process.send_signal(signal.SIGHUP)

    async def _change_configuration(self):
        for _ in range(self._rng.randrange(1, 8)):
            self._note("configuration")
            self._publish()
            await asyncio.sleep(self._rng.uniform(0.05, 0.4))

    async def _replace_runner(self):
        """Lets a runner leave as in a release, beside the one that follows."""
        slot = self._rng.choice(list(self._runners))
        runner = self._runners[slot]
        if runner in self._gone:
            return
        self._gone.append(runner)
        self._note(f"{runner.name} leaves")
        runner.is_leaving = self._rng.random() < 0.7
        self._sequence += 1
        self._store.put(
            f"servers/{runner.name}",
            runner.entry(state="draining", seq=self._sequence),
        )
        await self._add_runner(slot, runner.service)
        await asyncio.sleep(DRAIN_S + self._rng.uniform(0.1, 1.0))
        await runner.end()
        self._store.remove(f"servers/{runner.name}")
        self._note(f"{runner.name} has ended")

    async def _vary_callers(self):
        rng = random.Random(f"{self._seed}-callers")
        while True:
            self._caller_count = rng.choice(CALLER_COUNTS)
            self._note(f"{self._caller_count} callers")
            await asyncio.sleep(rng.uniform(2.0, 8.0))

    async def _silence_runners(self):
        while True:
            await asyncio.sleep(self._rng.uniform(0.5, 3.0))
            runner = self._rng.choice(self.all_runners)
            seconds = self._rng.uniform(0.8, 1.3)
            self._note(f"{runner.name} is silent for {seconds:.2f} s")
            runner.be_silent(seconds)

    async def _turn_requests_away(self):
        while True:
            runner = self._rng.choice(list(self._runners.values()))
            runner.turn_away_share = self._rng.uniform(0.02, 0.15)
            await asyncio.sleep(self._rng.uniform(1.0, 4.0))
            runner.turn_away_share = 0.0

    # Checks.

    def _judge(self, span):
        runs = [run for runner in self.all_runners for run in runner.runs]
        self.lost, self.others = stop_checks.find_lost(
            self.outcomes, runs, self.planned, span
        )
        broken = [self._describe("LOST", cut, runs) for cut in self.lost]
        broken += stop_checks.find_doubles(self.outcomes, runs)
        for outcome in self.outcomes:
            if reason := stop_callers.broken_order(outcome):
                broken.append(f"ORDER {outcome.plan.identity}: {reason}")
        broken += self._find_repeats()
        for gateway in self._gateways:
            for process in gateway.processes:
                broken += [
                    f"{gateway.name}: {line}"
                    for line in process.log.splitlines()
                    if '"event":"TASK_FAILED"' in line or "Traceback" in line
                ]
        self._journal += [
            self._describe("CUT", cut, runs) + "\n" for cut in self.others
        ]
        path = self._folder / "play.txt"
        path.write_text("".join([*self._journal, *(f"{b}\n" for b in broken)]))
        return broken + [
            f"task: {task.exception()!r}"
            for task in self._tasks
            if task.done() and not task.cancelled() and task.exception()
        ]

    def _find_repeats(self):
        broken = []
        for service, kinds in (
            ("engines", ("draft", "ask")),
            ("plain", ("look", "issue")),
        ):
            arrivals = [
                arrival
                for runner in self.all_runners
                if runner.service == service
                for arrival in runner.arrivals
            ]
            sent = sorted(
                outcome.begun_at
                for outcome in self.outcomes
                if outcome.plan.kind in kinds
            )
            found = soak_checks.over_budget(
                sent, soak_checks.repeats(arrivals), BUDGET
            )
            if found:
                broken.append(f"BUDGET {service}: {found[0]}")
        return broken

    def _describe(self, rule, cut, runs):
        """Returns what is known of a request that was cut."""
        outcome = cut.outcome
        identity = outcome.plan.identity
        (gateway,) = [
            gateway
            for gateway in self._gateways
            if gateway.name == outcome.gateway
        ]
        beside = ""
        if cut.planned and cut.planned.gateway:
            after_s = outcome.ended_at - cut.planned.at
            beside = f" {after_s:.2f} s after its {cut.planned.kind}"
        elif cut.planned:
            beside = " beside a configuration"
        work = ", ".join(
            f"{run.runner} {run.begin - outcome.begun_at:.2f}"
            f"..{run.end - outcome.begun_at:.2f}"
            f"{' whole' if run.is_whole else ''}"
            for run in runs
            if run.identity == identity
        )
        log = gateway.log(outcome.start)
        lines = [
            _brief(line)
            for line in log.read_text(errors="replace").splitlines()
            if f'"request":"{identity}"' in line
        ]
        return (
            f"{rule} {identity} {outcome.plan.kind} at {outcome.gateway}"
            f"-{outcome.start}{beside}, ended at {outcome.ended_at:.3f},"
            f" kept={outcome.is_kept} chunks={outcome.plan.is_chunked}"
            f" body={len(outcome.plan.body)} {outcome.pace}:"
            f" sent {outcome.sent_at - outcome.begun_at:.2f}, ended"
            f" {outcome.ended_at - outcome.begun_at:.2f}, status"
            f" {outcome.status}, {len(outcome.body)} bytes of"
            f" {outcome.plan.count}, {outcome.reason}; runs [{work}];"
            f" log {lines}"
        )


def _brief(line):
    """Returns the event and the reason of a line of a log."""
    fields = json.loads(line)
    names = ("number", "attempt", "endpoint", "end", "reason", "remaining")
    return " ".join(
        str(fields[name]) for name in ("time", *names) if name in fields
    )


def _now():
    return asyncio.get_running_loop().time()


def run_seed(
    seed,
    seconds,
    gateway_count=GATEWAY_COUNT,
    logs=None,
    features=FEATURES,
):
    """Runs one seed; returns what was broken and the soak."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = logs or pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        soak = Soak(seed, folder, gateway_count, features)
        return asyncio.run(soak.run(seconds)), soak


def play_seed(seed, seconds, gateway_count, logs):
    """Runs one seed and prints what was broken; returns whether any was."""
    broken, soak = run_seed(seed, seconds, gateway_count, logs)
    sys.stdout.write(summary(seed, soak, broken))
    return bool(broken)


def summary(seed, soak, broken):
    """Returns a text on the run of a seed."""
    counts = collections.Counter(
        outcome.status if outcome.is_complete else "cut"
        for outcome in soak.outcomes
    )
    lines = [
        f"seed {seed}: {len(broken)} broken, {len(soak.lost)} lost,"
        f" {len(soak.others)} cut otherwise, {dict(counts)},"
        f" lag {soak.lag_s:.2f} s",
        *(f"  {line}" for line in broken),
    ]
    return "\n".join(lines) + "\n"
