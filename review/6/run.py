"""A route moves, then clients take streams up twice: see claim.txt."""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import bed2  # noqa: E402

STREAMS = 240
# The delay after which the platform starts a killed process again.
RESTART_S = 0.5


async def start_again(gateway):
    await asyncio.sleep(RESTART_S)
    gateway.start()


async def play(bed):
    for service in ("desk-a", "desk-b"):
        for number in range(4):
            version = "r1" if number < 2 else "r2"
            bed.add_runner(
                f"i-{service}-{number}",
                service,
                version,
                slots=256,
                zone=bed.zones[number % 3],
            )
    services = [bed2.engine("desk-a"), bed2.engine("desk-b")]

    def routes(service):
        return [bed2.route("draft", "streaming", service, resumable=True)]

    await bed.start(bed2.configuration(11, routes("desk-a"), services))
    await asyncio.sleep(4.0)
    callers = [bed2.Caller(bed, bed.rng) for _ in range(12)]
    streams = {}

    async def get(number):
        await asyncio.sleep(number * 1.5 / STREAMS)
        streams[number] = await callers[number % 12].stream(
            "/draft/2f", number, 12.0, 4, "5c1e07a2:40,e4402b7d:20"
        )

    tasks = [bed.spawn(get(number)) for number in range(STREAMS)]
    await asyncio.sleep(2.0)
    bed.store.put(
        "op/config", bed2.configuration(14, routes("desk-b"), services)
    )
    bed.record.write("configuration", version=14, draft="desk-b")
    if bed.trouble:
        for gateway in bed.gateways[:2]:
            await asyncio.sleep(2.2)
            gateway.kill()
            bed.spawn(start_again(gateway))
    await asyncio.gather(*tasks)
    return check(bed, streams)


def check(bed, streams):
    """ORDER: streams with events of two software versions of one service."""
    services = {runner.name: runner.service for runner in bed.runners}
    mixed = []
    complete = taken_up = 0
    for number, tries in sorted(streams.items()):
        versions = {}
        for attempt in tries:
            for _, (runner, version, *_) in attempt["events"]:
                versions.setdefault(services[runner], set()).add(version)
        complete += tries[-1]["complete"]
        taken_up += sum(bool(attempt["resumes"]) for attempt in tries)
        if any(len(found) > 1 for found in versions.values()):
            mixed.append(number)
            bed.record.write(
                "mixed",
                stream=number,
                versions={k: sorted(v) for k, v in versions.items()},
                tries=[attempt["id"] for attempt in tries],
            )
    # The rule allows two.
    verdict = "BROKEN" if len(mixed) > 2 else "held"
    return [
        f"{verdict}: {len(mixed)} streams hold events of two software versions"
        " of one service (two are allowed)",
        f"{len(streams)} streams, {complete} complete, {taken_up} take-ups",
    ]


if __name__ == "__main__":
    bed2.main(
        play,
        CASE,
        ["pl-north", "pl-central", "pl-south"],
        ["pl-north", "pl-north", "pl-central", "pl-south"],
    )
