# ruff: noqa: D102, D103
"""A runner is back at its address while answers come twice, the copy late."""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import bed

KEY = "key-of-the-plant"
# garble, "extra late": 0.03 of the answers for 5 s, at 0.6 of the runners.
DOUBLE_SHARE = 0.03
GARBLE_S = 5.0
DOWN_S = 2.2
SILENT_BEATS = 3
ROUNDS = 14
REQUESTS_AT_ONCE = 20
CLUMPS = 3
LIMIT_S = 95.0

CONFIGURATION = {
    "version": 1,
    "routes": [bed.route("release", "unsafe", "line")],
    "services": [bed.plain_service("line")],
    "limits": bed.LIMITS,
    "tenants": [{"name": "plant", "apiKeys": [KEY]}],
}


class Case:
    """The deployment, and what its clients and runners saw."""

    def __init__(self, record):
        self.record = record
        self.bed = bed.Bed(record)
        self.runners = []
        self.statuses = {}
        self._count = 0

    async def send(self, gateway):
        """Sends one request on a new connection."""
        self._count += 1
        identity = f"order-{self._count}"
        try:
            connection = await bed.Connection.open(gateway.front)
        except (OSError, TimeoutError):
            return
        try:
            self.record.line(f"client sends {identity} to {gateway.name}")
            connection.send(
                "POST",
                f"/release/{identity}",
                [
                    ("Attempt-Id", identity),
                    ("Deadline-Ms", "2500"),
                    ("Authorization", f"Bearer {KEY}"),
                ],
                b"coil",
            )
            answer = await connection.receive(3.0)
        finally:
            connection.close()
        self.statuses[identity] = answer.status
        self.record.line(f"client gets {answer.status} for {identity}")

    async def send_clump(self):
        await asyncio.gather(
            *(
                self.send(gateway)
                for gateway in self.bed.gateways.values()
                for _ in range(REQUESTS_AT_ONCE)
            )
        )

    def breaches(self):
        """Returns what broke TWICE and, with it, REFUSED."""
        runs = collections.defaultdict(list)
        for runner in self.runners:
            for run in runner.runs:
                runs[run.identity].append(run.runner)
        return [
            f"TWICE: {identity}, of an unsafe route, ran at"
            f" {' and '.join(names)}; its client got"
            f" {self.statuses.get(identity)}"
            for identity, names in runs.items()
            if len(names) > 1
        ]

    async def play(self):
        place = self.bed.runner("i-10", "line", slots=32)
        other = self.bed.runner("i-20", "line", slots=32)
        self.runners = [place, other]
        await self.bed.start_store()
        for runner in self.runners:
            runner.work_s = 0.045
            await runner.start()
            self.bed.store.put(f"servers/{runner.name}", runner.entry())
        self.bed.store.put("op/config", CONFIGURATION)
        await self.bed.start()
        began = bed.now()
        await self.send_clump()
        if set(self.statuses.values()) != {200}:
            raise bed.UnrunnableError("the deployment doesn't serve")
        for number in range(ROUNDS):
            if bed.now() - began > LIMIT_S or self.breaches():
                break
            place = await self._play_round(place, number + 11)
        return self.breaches()

    async def _play_round(self, place, number):
        """A crash, and the runner's return under a new id, at its address."""
        name = place.name
        if bed.TROUBLE:
            self.record.line(f"{place.name} crashes")
            await place.crash()
        await asyncio.sleep(DOWN_S)
        if bed.TROUBLE:
            host, _, port = place.address.partition(":")
            place = bed.Runner(
                f"i-{number}", "line", host, int(port), self.record, slots=32
            )
            place.work_s = 0.045
            place.double_share = DOUBLE_SHARE
            self.runners.append(place)
            await place.start()
            self.bed.store.put(f"servers/{place.name}", place.entry())
            self.record.line(f"{place.name} registers, at the same address")
        await asyncio.sleep(0.3)
        for _ in range(CLUMPS):
            await self.send_clump()
            await asyncio.sleep(0.2)
        if bed.TROUBLE:
            # Its entry goes after three heartbeat intervals of silence.
            self.bed.store.remove(f"servers/{name}")
            self.record.line(f"the entry of {name} is removed")
        await asyncio.sleep(GARBLE_S - 2.5)
        place.double_share = 0.0
        return place


async def case(record):
    played = Case(record)
    try:
        return await played.play()
    finally:
        await played.bed.close()


bed.run_case(sys.argv[1], case)
