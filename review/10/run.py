"""A route moves, a process is killed, and its streams are taken up."""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import bed2  # noqa: E402

STREAMS = 240
NEW_STREAMS = 40
# The delay after which the platform starts a killed process again.
RESTART_S = 0.5


async def start_again(gateway):
    await asyncio.sleep(RESTART_S)
    gateway.start()


async def play(bed):
    for service in ("desk-a", "desk-b"):
        for number in range(4):
            # All of desk-a have r1; two of desk-b have it, and two r2.
            version = "r2" if service == "desk-b" and number > 1 else "r1"
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
        if number < STREAMS:
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
    await asyncio.sleep(2.2)
    if bed.trouble:
        bed.gateways[0].kill()
        bed.spawn(start_again(bed.gateways[0]))
    # New streams, to compare with.
    for number in range(STREAMS, STREAMS + NEW_STREAMS):
        tasks.append(bed.spawn(get(number)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    return check(streams)


def check(streams):
    """LOST: streams that go on at machines in touch, against new ones."""
    taken_up, begun = [], []
    for number, tries in streams.items():
        chosen = [attempt for attempt in tries if attempt["in_touch"]]
        goes_on = [_is_served(each) for each in chosen if each["resumes"]]
        begins = [_is_served(each) for each in chosen if not each["resumes"]]
        if goes_on:
            taken_up.append(any(goes_on))
        if begins and number >= STREAMS:
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
