"""All processes of the system are killed at once, and streams are taken up."""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import bed2  # noqa: E402

STREAMS = 60
NEW_STREAMS = 40
# The delay after which the platform starts a killed process again.
RESTART_S = 0.5


async def play(bed):
    for number in range(4):
        bed.add_runner(
            f"i-desk-{number}", "desk", "r1", zone=bed.zones[number % 3]
        )
    services = [bed2.engine("desk")]
    routes = [bed2.route("draft", "streaming", "desk", resumable=True)]
    await bed.start(bed2.configuration(11, routes, services))
    await asyncio.sleep(4.0)
    callers = [bed2.Caller(bed, bed.rng) for _ in range(12)]
    streams = {}

    async def get(number, wait_s):
        await asyncio.sleep(wait_s)
        streams[number] = await callers[number % 12].stream(
            "/draft/2f", number, 12.0, 4, "5c1e07a2:40,e4402b7d:20"
        )

    tasks = [
        bed.spawn(get(number, number * 1.5 / STREAMS))
        for number in range(STREAMS)
    ]
    await asyncio.sleep(3.0)
    if bed.trouble:
        for gateway in bed.gateways:
            gateway.kill()
        await asyncio.sleep(RESTART_S)
        for gateway in bed.gateways:
            gateway.start()
    since = bed2.now()
    await bed.wait_ready(bed.gateways)
    await asyncio.sleep(3.2)
    tasks += [
        bed.spawn(get(STREAMS + number, number * 0.05))
        for number in range(NEW_STREAMS)
    ]
    await asyncio.gather(*tasks)
    return check(bed, streams, since)


def check(bed, streams, since):
    """LOST: streams that go on at machines in touch, against new ones."""
    taken_up, begun = [], []
    for tries in streams.values():
        chosen = [
            attempt
            for attempt in tries
            if attempt["in_touch"] and attempt["sent"] >= since
        ]
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
