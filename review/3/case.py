# ruff: noqa: D103
"""A runner keeps its streams open with comment lines; events are missing."""

import pathlib
import re
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import bed

KEY = "key-of-the-plant"
EVENTS = 12
STREAMS = 6

CONFIGURATION = {
    "version": 1,
    "routes": [
        bed.route(
            "ask",
            "streaming",
            "llm",
            sticky=True,
            timeoutMs=10_000,
            gapAimMs=800,
            maxAttempts=1,
        )
    ],
    "services": [bed.model_service("llm")],
    "limits": bed.LIMITS,
    "tenants": [{"name": "plant", "apiKeys": [KEY]}],
}


def event_ids(body):
    """Returns the ids of the events, read as the event-stream format says."""
    ids = []
    for block in re.split(rb"\n\n", body)[:-1]:
        fields = dict(
            line.split(b": ", 1)
            for line in block.split(b"\n")
            if line and not line.startswith(b":")
        )
        ids.append(int(fields[b"id"]))
    return ids


async def case(record):
    bed_ = bed.Bed(record)
    await bed_.start_store()
    runner = bed_.runner("r1", "llm", slots=64)
    runner.event_count, runner.event_gap_s = EVENTS, 0.05
    await runner.start()
    bed_.store.put("servers/r1", runner.entry())
    bed_.store.put("op/config", CONFIGURATION)
    breaches = []
    try:
        await bed_.start()
        runner.comment_every = 4 if bed.TROUBLE else 0
        for number in range(STREAMS):
            gateway = list(bed_.gateways.values())[number % 3]
            connection = await bed.Connection.open(gateway.front)
            identity = f"ask-{number}"
            record.line(f"client sends {identity} to {gateway.name}")
            connection.send(
                "POST",
                f"/ask/{identity}",
                [
                    ("Attempt-Id", identity),
                    ("Deadline-Ms", "10000"),
                    ("Authorization", f"Bearer {KEY}"),
                    ("Model", "m"),
                    ("Token-Count", "1100,200"),
                    ("Prompt-Prefix", f"5c1e07a2:800,{number + 64:08x}:300"),
                ],
                b"{}",
            )
            answer = await connection.receive(10.0)
            connection.close()
            ids = event_ids(answer.body)
            record.line(
                f"client gets {answer.status} for {identity}, events {ids},"
                f" {'complete' if answer.is_complete else answer.reason}"
            )
            if answer.status != 200:
                raise bed.UnrunnableError("the deployment doesn't serve")
            missing = sorted(set(range(1, EVENTS + 1)) - set(ids))
            if answer.is_complete and missing:
                breaches.append(
                    f"the stream {identity} ends as complete, without the"
                    f" events {missing} that r1 sent"
                )
        return breaches
    finally:
        await bed_.close()


bed.run_case(sys.argv[1], case)
