"""All machines are stopped and started in turn while two versions serve."""

import asyncio
import pathlib
import signal
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import bed2  # noqa: E402

# As roll_term in a day of the site file: share = 1.0, gap_s = 2.0.
GAP_S = 2.0
RESTART_S = 0.5
ROLL_S = 24.0
STREAMS_PER_S = 12
# Streams of 11 s, within a deadline of 12 s, as the sheet has them.
EVENT_COUNT = 55


async def restart(bed, gateway):
    """Stops a machine as the platform does, and starts it again."""
    gateway.signal(signal.SIGTERM)
    until = bed2.now() + bed2.BOUNDS["graceS"]
    while gateway.process.poll() is None and bed2.now() < until:
        await asyncio.sleep(0.02)
    if gateway.process.poll() is None:
        gateway.kill()
    await asyncio.sleep(RESTART_S)
    gateway.start()


async def play(bed):
    bed.event_count = EVENT_COUNT
    for number in range(4):
        bed.add_runner(
            f"i-desk-{number}",
            "desk",
            "r1" if number < 2 else "r2",
            slots=256,
            zone=bed.zones[number % 3],
        )
    services = [bed2.engine("desk")]
    routes = [bed2.route("draft", "streaming", "desk", resumable=True)]
    await bed.start(bed2.configuration(11, routes, services))
    await asyncio.sleep(4.0)
    callers = [bed2.Caller(bed, bed.rng) for _ in range(24)]
    streams = {}
    tasks = []

    async def get(number):
        streams[number] = await callers[number % 24].stream(
            "/draft/2f", number, 12.0, 3, "5c1e07a2:40,e4402b7d:20"
        )

    async def traffic():
        until = bed2.now() + ROLL_S
        number = 0
        while bed2.now() < until:
            tasks.append(bed.spawn(get(number)))
            number += 1
            await asyncio.sleep(1 / STREAMS_PER_S)

    flow = bed.spawn(traffic())
    await asyncio.sleep(3.0)
    stops = []
    if bed.trouble:
        for gateway in bed.gateways:
            stops.append(bed.spawn(restart(bed, gateway)))
            await asyncio.sleep(GAP_S)
    await asyncio.gather(flow, *stops)
    await asyncio.gather(*tasks)
    return check(bed, streams)


def check(bed, streams):
    """LOST: streams that go on at machines in touch, against new ones."""
    taken_up, begun = [], []
    for tries in streams.values():
        chosen = [attempt for attempt in tries if attempt["in_touch"]]
        goes_on = [_is_served(each) for each in chosen if each["resumes"]]
        begins = [_is_served(each) for each in chosen if not each["resumes"]]
        if goes_on:
            taken_up.append(any(goes_on))
        if begins:
            begun.append(any(begins))
    shares = [
        sum(served) / len(served) if served else 1.0
        for served in (taken_up, begun)
    ]
    broken = len(taken_up) >= 12 and shares[0] < shares[1] / 2
    return [
        f"{'BROKEN' if broken else 'held'}: of {len(taken_up)} streams taken"
        f" up at machines in touch {sum(taken_up)} go on, of {len(begun)} new"
        f" streams {sum(begun)} begin"
    ]


def _is_served(attempt):
    return attempt["status"] == 200 and bool(attempt["events"])


if __name__ == "__main__":
    bed2.main(
        play,
        CASE,
        ["pl-north", "pl-central", "pl-south"],
        ["pl-north", "pl-north", "pl-central", "pl-south"],
    )
