"""A soak of gateways as processes, with faults from outside them.

Gateways run as the program of the platform. The store and the runners are
stand-ins in this process, each behind a relay on loopback. Faults come in
series and overlap: signals to the gateways, relays that cut, silence and
delay, runners that crash or answer badly, a store that is away. What callers
got is compared with what runners ran.

Run it with `make soak-faults SEED=...`; a seed fixes the order of the faults.
"""

import argparse
import asyncio
import collections
import json
import pathlib
import random
import signal
import sys
import tempfile
from typing import NamedTuple

import harness
import standin

from nutmegpost_core import vms
from nutmegpost_router import http_client
from nutmegpost_standins import relay

GATEWAYS = 3
RUNNERS = {"p1": "plain", "p2": "plain", "p3": "plain"} | {
    "e1": "engines",
    "e2": "engines",
    "e3": "engines",
}
CALLERS = 8
CALL_S = 6.0
RECOVERY_S = 15.0
EVENTS = 5
# Statuses that promise that a request has not run and never will.
PROMISES = {408, 421, 429, 503}
_PIECES = b"".join(
    b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1)
)


class Answer(NamedTuple):
    """What a caller got; a status of 0 stands for a broken connection."""

    identity: str
    path: str
    status: int
    body: bytes
    seal: str


class Soak:
    """Gateways, stand-ins, callers and faults of one seed."""

    def __init__(self, seed: int, folder: pathlib.Path):
        self._rng = random.Random(seed)
        self._folder = folder
        self._client = http_client.Client()
        self._version = 1
        self._down: set[str] = set()
        self.answers: list[Answer] = []
        self.faults: collections.Counter[str] = collections.Counter()

    async def run(self, seconds: float) -> list[str]:
        """Plays faults for some seconds; returns what broke a promise."""
        await self._start()
        try:
            callers = [
                asyncio.create_task(self._call_on(number))
                for number in range(CALLERS)
            ]
            await self._play(seconds)
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            found = await self._recovered()
        finally:
            for process in self._gateways:
                await process.kill()
            for link in self._relays.values():
                await link.close()
            await asyncio.sleep(0.1)
        return found + self._broken()

    # Start.

    async def _start(self) -> None:
        fleet = standin.Fleet(
            [standin.Runner(*item) for item in RUNNERS.items()], gateways=0
        )
        self._store, self._runners = fleet.store, fleet.runners
        self._relays = {}
        await self._store.start()
        self._relays["store"] = await self._relay(self._store.address)
        self._store.put("op/config", standin.configuration(1))
        for name, runner in self._runners.items():
            await runner.start()
            self._relays[name] = await self._relay(runner.address)
            self._enter(name)
        self._configs = [self._settings(fleet) for _ in range(GATEWAYS)]
        seeds = [item["control_address"] for item in self._configs]
        self._gateways = []
        for config in self._configs:
            path = self._folder / f"{config['name']}.json"
            path.write_text(json.dumps(config | {"seeds": seeds}))
            program = [sys.executable, "-m", "nutmegpost_platform.main"]
            command = ["env", f"NUTMEGPOST_BOOT={path}", *program]
            log = self._folder / f"{config['name']}.log"
            process = harness.Process(config["name"], command, log)
            process.start()
            self._gateways.append(process)
        for number in range(GATEWAYS):
            await self._until_served(number)

    def _settings(self, fleet: standin.Fleet) -> dict[str, object]:
        config = fleet.settings()
        config["platform_address"] = self._relays["store"].address
        return config

    async def _relay(self, target: str) -> relay.Relay:
        listen = f"{standin.free_host()}:20000"
        found = relay.Relay(relay.Options("", listen, target))
        await found.start()
        return found

    def _enter(self, name: str, **fields: object) -> None:
        entry = self._runners[name].entry(
            address=self._relays[name].address, **fields
        )
        self._store.put(f"servers/{name}", entry)

    # Callers.

    async def _call_on(self, number: int) -> None:
        count = 0
        while True:
            count += 1
            path = self._rng.choice(["look", "issue", "draft", "ask"])
            gateway = self._rng.randrange(GATEWAYS)
            await self._call(f"/{path}/{count}", f"c{number}-{count}", gateway)
            await asyncio.sleep(self._rng.uniform(0, 0.02))

    async def _call(self, path: str, identity: str, gateway: int) -> Answer:
        headers = {
            "Host": standin.HOST,
            "Attempt-Id": identity,
            "Deadline-Ms": "3000",
            "Authorization": f"Bearer {standin.KEY}",
        }
        is_stream = path.startswith(("/draft", "/ask"))
        if is_stream:
            headers |= {
                "Model": "m",
                "Token-Count": "60,40",
                "Prompt-Prefix": f"aa:20,{identity[:2]}:30,{identity}:10",
            }
        answer = Answer(identity, path, 0, b"", "")
        try:
            response = await self._client.request(
                vms.parse_address(self._configs[gateway]["public_address"]),
                "POST" if is_stream else "GET",
                path,
                headers,
                b"{}" if is_stream else b"",
                timeout_s=CALL_S,
                fresh=True,
            )
        except (http_client.ConnectError, http_client.ExchangeError):
            pass
        else:
            seal = response.headers.get("server-seal", "")
            answer = answer._replace(
                status=response.status, body=response.body, seal=seal
            )
        self.answers.append(answer)
        return answer

    # Faults.

    async def _play(self, seconds: float) -> None:
        end = asyncio.get_running_loop().time() + seconds
        running = []
        faults = [
            self._kill,
            self._pause,
            self._stop_planned,
            self._reread,
            self._crash_runner,
            self._break_link,
            self._break_link,
            *[self._answer_badly] * 6,
            self._store_away,
            self._forget_history,
            self._drain,
            self._configure,
        ]
        while asyncio.get_running_loop().time() < end:
            fault = self._rng.choice(faults)
            self.faults[fault.__name__] += 1
            running.append(asyncio.create_task(fault()))
            await asyncio.sleep(self._rng.uniform(0.05, 0.5))
        await asyncio.gather(*running)

    def _gateway(self) -> harness.Process:
        return self._rng.choice(self._gateways)

    def _some_s(self, most: float) -> float:
        return self._rng.uniform(0.05, most)

    async def _end(self, number: int) -> None:
        """Ends a gateway by a signal and starts it again."""
        process = self._gateway()
        if process.name in self._down:
            return
        self._down.add(process.name)
        process.send_signal(number)
        await process.wait()
        await asyncio.sleep(self._some_s(0.5))
        process.start()
        self._down.discard(process.name)

    async def _kill(self) -> None:
        await self._end(signal.SIGKILL)

    async def _stop_planned(self) -> None:
        await self._end(signal.SIGTERM)

    async def _pause(self) -> None:
        process = self._gateway()
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._some_s(2.0))
        process.send_signal(signal.SIGCONT)

    async def _reread(self) -> None:
        self._gateway().send_signal(signal.SIGHUP)

    async def _crash_runner(self) -> None:
        name = self._rng.choice(list(self._runners))
        if name in self._down:
            return
        self._down.add(name)
        await self._runners[name].server.close()
        await asyncio.sleep(self._some_s(1.0))
        await self._runners[name].start()
        self._down.discard(name)

    async def _break_link(self) -> None:
        link = self._relays[self._rng.choice(list(self._relays))]
        fault = self._rng.choice(["cut", "silent", "drop", "delay_s"])
        link.set_faults(**{fault: 0.1 if fault == "delay_s" else True})
        await asyncio.sleep(self._some_s(1.5))
        link.set_faults(cut=False, silent=False, drop=False, delay_s=0.0)

    async def _answer_badly(self) -> None:
        runner = self._rng.choice(list(self._runners.values()))
        acts = [
            standin.fail(500),
            standin.reject,
            standin.lose,
            standin.mistake,
            standin.unsigned,
            standin.hang,
        ]
        if runner.service == "engines":
            acts = [standin.reject, standin.lose, standin.cut_after(2)]
        count = self._rng.randrange(3, 20)
        runner.acts = [self._rng.choice(acts) for _ in range(count)]

    async def _store_away(self) -> None:
        self._store.is_down = True
        await asyncio.sleep(self._some_s(1.5))
        self._store.is_down = False

    async def _forget_history(self) -> None:
        self._store.forget_history()

    async def _drain(self) -> None:
        name = self._rng.choice(list(self._runners))
        self._enter(name, state="draining", seq=2)
        await asyncio.sleep(self._some_s(1.5))
        self._enter(name, seq=3)

    async def _configure(self) -> None:
        self._version += self._rng.randrange(1, 4)
        self._store.put("op/config", standin.configuration(self._version))

    # Checks.

    async def _until_served(self, gateway: int) -> bool:
        end = asyncio.get_running_loop().time() + RECOVERY_S
        count = 0
        while asyncio.get_running_loop().time() < end:
            count += 1
            identity = f"w{gateway}-{len(self.answers)}-{count}"
            answer = await self._call("/look/0", identity, gateway)
            if answer.status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def _recovered(self) -> list[str]:
        found = []
        for runner in self._runners.values():
            runner.acts = []
        for number, process in enumerate(self._gateways):
            process.send_signal(signal.SIGCONT)
            if not process.is_alive:
                process.start()
            if not await self._until_served(number):
                found.append(f"{process.name} serves nothing after the faults")
        return found

    def _broken(self) -> list[str]:
        """Returns each promise that was broken, with the request's id."""
        runs = collections.Counter(
            identity
            for runner in self._runners.values()
            for identity in runner.runs
        )
        ran_at = {
            (name, identity)
            for name, runner in self._runners.items()
            for identity in runner.runs
        }
        found = []
        for answer in self.answers:
            identity = answer.identity
            once = answer.path.startswith(("/issue", "/ask"))
            if once and runs[identity] > 1:
                found.append(f"{identity} ran {runs[identity]} times")
            if once and answer.status in PROMISES and runs[identity]:
                found.append(f"{identity} ran and got {answer.status}")
            if answer.status == 200 and not self._is_whole(answer, ran_at):
                found.append(f"{identity} got a wrong answer: {answer}")
        for process in self._gateways:
            found += [
                f"{process.name}: {line}"
                for line in process.log.splitlines()
                if '"event":"TASK_FAILED"' in line or "Traceback" in line
            ]
        return found

    def _is_whole(self, answer: Answer, ran_at: set[tuple[str, str]]) -> bool:
        body = b"answer to " + answer.path.encode()
        if answer.path.startswith(("/draft", "/ask")):
            body = _PIECES
        name = answer.seal.removeprefix("seal-of-")
        return answer.body == body and (name, answer.identity) in ran_at


def soak(seed: int, seconds: float) -> tuple[list[str], Soak]:
    """Runs one seed; returns broken promises and the soak itself."""
    with tempfile.TemporaryDirectory() as folder:
        one = Soak(seed, pathlib.Path(folder))
        return asyncio.run(one.run(seconds)), one


def main() -> int:
    """Runs some seeds, one after the other, and prints what they found."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    # A soak that is asked to end takes its gateways along.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = 0
    for seed in range(options.seed, options.seed + options.count):
        found, one = soak(seed, options.seconds)
        statuses = collections.Counter(item.status for item in one.answers)
        lines = [f"seed {seed}: {len(found)} broken, {dict(statuses)}"]
        lines += [f"  {line[:400]}" for line in found]
        sys.stdout.write("\n".join(lines) + "\n")
        failed += bool(found)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
