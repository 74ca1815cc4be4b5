# ruff: noqa: D102, D103
"""After a restart of all gateways, streams go on at another version."""

import asyncio
import pathlib
import re
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import bed

KEY = "key-of-the-plant"
CHATS = [f"c{number}" for number in range(1, 7)]
SHARED = "5c1e07a2:800"
DEADLINE_S = 12.0
# ORDER: "More than two streams hold events from runners of two versions".
MIXED_MAX = 2

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

    def __init__(self, identity):
        self.identity = identity
        self.events = []
        self.is_complete = False
        self.status = 0

    @property
    def last_id(self):
        return self.events[-1][0] if self.events else 0

    @property
    def versions(self):
        return {version for _, version in self.events}


async def read_stream(record, gateway, chat, identity, stream, left_s):
    """One try of a client; a stream that has begun is taken up."""
    # The last part belongs to the session, so both turns of a chat have it.
    part = f"{int(chat[1:]) + 0x40:08x}:300"
    fields = [
        ("Attempt-Id", identity),
        ("Deadline-Ms", str(int(left_s * 1000))),
        ("Authorization", f"Bearer {KEY}"),
        ("Model", "m"),
        ("Token-Count", "1100,200"),
        ("Prompt-Prefix", f"{SHARED},{part}"),
    ]
    if stream.events:
        fields.append(("Last-Event-Id", str(stream.last_id)))
        fields.append(("Resumes", stream.identity))
    record.line(
        f"client sends {identity} to {gateway.name},"
        f" after event {stream.last_id or 'none'}"
    )
    connection = await bed.Connection.open(gateway.front)
    try:
        connection.send("POST", f"/plan/{chat}", fields, b"{}")
        answer = await connection.receive(left_s)
    finally:
        connection.close()
    stream.status = answer.status
    stream.is_complete = answer.status == 200 and answer.is_complete
    if answer.status == 200:
        for event in answer.body.split(b"\n\n")[:-1]:
            match = re.fullmatch(rb"id: (\d+)\ndata: (\S+) \d+", event)
            stream.events.append((int(match[1]), match[2].decode()))
    record.line(
        f"client gets {answer.status} for {identity}, up to event"
        f" {stream.last_id}, versions {sorted(stream.versions)}"
        f" {'complete' if stream.is_complete else answer.reason}"
    )


async def case(record):
    bed_ = bed.Bed(record)
    await bed_.start_store()
    new = bed_.runner("new-1", "llm", version="v2", slots=8)
    old = bed_.runner("old-1", "llm", version="v1", slots=16)
    for runner in (new, old):
        await runner.start()
    bed_.store.put("servers/new-1", new.entry())
    bed_.store.put("op/config", CONFIGURATION)
    try:
        await bed_.start()
        gateways = list(bed_.gateways.values())
        # The first turns of the chats, at the only runner.
        new.event_gap_s = 0.01
        for number, chat in enumerate(CHATS):
            stream = Stream(f"{chat}-turn-1")
            await read_stream(
                record,
                gateways[number % 3],
                chat,
                stream.identity,
                stream,
                DEADLINE_S,
            )
            if not stream.is_complete:
                raise bed.UnrunnableError("the deployment doesn't serve")
        # Others fill this runner, and one of the other version is added.
        new.event_gap_s = 0.5
        others = [
            asyncio.create_task(
                read_stream(
                    record,
                    gateways[number % 3],
                    f"c{number + 50}",
                    f"other-{number}",
                    Stream(f"other-{number}"),
                    DEADLINE_S,
                )
            )
            for number in range(8)
        ]
        await asyncio.sleep(1.0)
        bed_.store.put("servers/old-1", old.entry())
        record.line("old-1, of version v1, registers")
        await asyncio.sleep(2.0)
        # The second turns: the runner that knows the chats is full.
        old.event_gap_s = 0.25
        streams = [Stream(f"{chat}-turn-2") for chat in CHATS]
        began = bed.now()
        tries = [
            asyncio.create_task(
                read_stream(
                    record,
                    gateways[number % 3],
                    chat,
                    stream.identity,
                    stream,
                    DEADLINE_S,
                )
            )
            for number, (chat, stream) in enumerate(
                zip(CHATS, streams, strict=True)
            )
        ]
        await asyncio.sleep(0.5)
        bed_.store.remove("servers/old-1")
        record.line("old-1 leaves: its entry is removed, it goes on serving")
        await asyncio.sleep(0.8)
        if bed.TROUBLE:
            for gateway in gateways:
                gateway.signal(signal.SIGKILL)
            for gateway in gateways:
                await gateway.wait_until_ended()
            await asyncio.sleep(0.2)
            await bed_.start(is_first=False)
        await asyncio.gather(*tries)
        new.event_gap_s = 0.05
        begun = [stream for stream in streams if stream.versions == {"v1"}]
        if len(begun) <= MIXED_MAX:
            raise bed.UnrunnableError("the second turns did not begin at old-1")
        # Clients take up what broke off, once each.
        await asyncio.gather(
            *(
                read_stream(
                    record,
                    gateways[(number + 1) % 3],
                    chat,
                    f"{chat}-turn-2-again",
                    stream,
                    began + DEADLINE_S - bed.now(),
                )
                for number, (chat, stream) in enumerate(
                    zip(CHATS, streams, strict=True)
                )
                if not stream.is_complete
            )
        )
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        mixed = [stream for stream in streams if len(stream.versions) > 1]
        if len(mixed) <= MIXED_MAX:
            return []
        return [
            f"the stream {stream.identity} holds events of"
            f" {' and '.join(sorted(stream.versions))}: {stream.events}"
            for stream in mixed
        ]
    finally:
        await bed_.close()


bed.run_case(sys.argv[1], case)
