# ruff: noqa: D103
"""After an odd entry, streams that a killed gateway broke off are refused."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import bed

KEY = "key-of-the-plant"
STREAMS = 48
EVENTS = 40
DEADLINE_S = 12.0
DOWN_S = 2.0
# An entry of another writer: its state isn't one that the pages name.
ODD_ENTRY = {"service": "llm", "state": "unknown", "address": 7}
CONTACT_S = bed.BOUNDS["contactMs"] / 1000
# LOST: "Of 12 or more streams that clients take up again ...".
TAKE_UPS_MIN = 12

CONFIGURATION = {
    "version": 1,
    "routes": [
        bed.route(
            "plan",
            "streaming",
            "llm",
            resumable=True,
            sticky=True,
            timeoutMs=12_000,
            targetLatencyMs=2500,
            gapAimMs=800,
        )
    ],
    "services": [bed.model_service("llm")],
    "limits": bed.LIMITS,
    "tenants": [{"name": "plant", "apiKeys": [KEY]}],
}


class Stream:
    """A stream of a client, over its tries."""

    def __init__(self, number, gateway):
        self.number, self.gateway = number, gateway
        self.identity = f"plan-{number}"
        self.began = bed.now()
        self.ids = []
        self.is_complete = False
        self.status = 0


async def read_stream(record, gateway, stream, identity):
    """One try of a client; a stream that has begun is taken up."""
    left_s = stream.began + DEADLINE_S - bed.now()
    fields = [
        ("Attempt-Id", identity),
        ("Deadline-Ms", str(int(left_s * 1000))),
        ("Authorization", f"Bearer {KEY}"),
        ("Model", "m"),
        ("Token-Count", "1100,200"),
        ("Prompt-Prefix", f"5c1e07a2:800,{stream.number + 64:08x}:300"),
    ]
    if stream.ids:
        fields.append(("Last-Event-Id", str(stream.ids[-1])))
        fields.append(("Resumes", stream.identity))
    record.line(
        f"client sends {identity} to {gateway.name},"
        f" after event {stream.ids[-1] if stream.ids else 'none'}"
    )
    connection = await bed.Connection.open(gateway.front)
    try:
        connection.send("POST", f"/plan/{stream.number}", fields, b"{}")
        answer = await connection.receive(left_s)
    finally:
        connection.close()
    stream.status = answer.status
    stream.is_complete = answer.status == 200 and answer.is_complete
    before = len(stream.ids)
    if answer.status == 200:
        for event in answer.body.split(b"\n\n")[:-1]:
            stream.ids.append(int(event.split(b"\n")[0][4:]))
    record.line(
        f"client gets {answer.status} for {identity}, events up to"
        f" {stream.ids[-1] if stream.ids else 'none'}"
        f" {'complete' if stream.is_complete else answer.reason}"
        f" {answer.body.decode() if answer.status != 200 else ''}"
    )
    return len(stream.ids) > before


async def begin(record, gateways, first, count):
    """Begins streams at gateways in turn."""
    streams = []
    for number in range(first, first + count):
        stream = Stream(number, gateways[number % len(gateways)])
        task = asyncio.create_task(
            read_stream(record, stream.gateway, stream, stream.identity)
        )
        streams.append((stream, task))
        await asyncio.sleep(0.01)
    return streams


async def stop_some(gateways, streams):
    """Kills gateways; returns the streams that broke off there."""
    for gateway in gateways:
        gateway.signal(signal.SIGKILL)
    for gateway in gateways:
        await gateway.wait_until_ended()
    broken = []
    for stream, task in streams:
        if stream.gateway in gateways:
            await task
            if stream.ids and not stream.is_complete:
                broken.append(stream)
    return broken


async def start_again(gateways):
    """Starts gateways that were killed, after some time."""
    if bed.TROUBLE:
        await asyncio.sleep(DOWN_S)
        for gateway in gateways:
            gateway.is_first_start = False
            gateway.start()


async def play(record, bed_):
    await bed_.start()
    gateways = list(bed_.gateways.values())
    left, killed = gateways[:2], gateways[2:]
    # All machines are in touch, and nothing has changed, for contactMs.
    await asyncio.sleep(CONTACT_S + 0.5)
    streams = await begin(record, gateways, 0, STREAMS)
    await asyncio.sleep(0.8)
    if bed.TROUBLE:
        bed_.store.put("servers/other-1", ODD_ENTRY)
        record.line("another writer puts an odd entry, servers/other-1")
    await asyncio.sleep(1.0)
    broken = await stop_some(killed, streams) if bed.TROUBLE else []
    again = asyncio.create_task(start_again(killed))
    # The clients take their streams up, and others begin, where they can.
    new = asyncio.create_task(begin(record, left, 100, TAKE_UPS_MIN))
    goes_on = await asyncio.gather(
        *(
            read_stream(
                record, left[number % 2], stream, f"{stream.identity}-again"
            )
            for number, stream in enumerate(broken)
        )
    )
    await again
    began = [await task for _, task in await new]
    for _, task in streams:
        await task
    record.line(
        f"{sum(goes_on)} of {len(broken)} streams that were taken up went"
        f" on; {sum(began)} of {len(began)} new streams began"
    )
    if not bed.TROUBLE:
        return [
            f"{stream.identity} got {stream.status} and is not complete"
            for stream, _ in streams
            if not stream.is_complete
        ]
    if len(broken) < TAKE_UPS_MIN or not sum(began):
        raise bed.UnrunnableError("too few streams broke off, or none began")
    if sum(goes_on) / len(broken) >= sum(began) / len(began) / 2:
        return []
    return [
        f"{sum(goes_on)} of {len(broken)} streams that clients took up at"
        f" two calm gateways went on, {sum(began)} of {len(began)} new streams"
        f" began there, while three runners of their version served"
    ]


async def case(record):
    bed_ = bed.Bed(record)
    await bed_.start_store()
    for number in range(3):
        runner = bed_.runner(f"r{number}", "llm", slots=64)
        runner.event_count, runner.event_gap_s = EVENTS, 0.15
        await runner.start()
        # Its heartbeats change nothing but `seq`, so its entry doesn't change.
        bed_.store.put(f"servers/{runner.name}", runner.entry())
    bed_.store.put("op/config", CONFIGURATION)
    try:
        return await play(record, bed_)
    finally:
        await bed_.close()


bed.run_case(sys.argv[1], case)
