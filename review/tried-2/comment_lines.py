"""Runners put a comment line before some events of their streams."""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import bed2  # noqa: E402

STREAMS = 20


class CommentingRunner(bed2.Runner):
    """A runner whose every tenth event begins with a comment line."""

    async def _stream(self, fields, own, reader, writer):
        own = [
            *own,
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        first = int(fields.get("last-event-id") or 0) + 1
        writer.write(bed2.message("HTTP/1.1 200 OK", own, length=False))
        for number in range(first, self._bed.event_count + 1):
            comment = b""
            if self._bed.trouble and number % 10 == 0:
                comment = b": still here\n"
            data = b"%bid: %d\ndata: %s %s %d\n\n" % (
                comment,
                number,
                self.name.encode(),
                self.version.encode(),
                number,
            )
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def play(bed):
    for number in range(3):
        bed.add_runner(f"i-desk-{number}", "desk", kind=CommentingRunner)
    routes = [bed2.route("draft", "streaming", "desk", resumable=True)]
    await bed.start(bed2.configuration(11, routes, [bed2.engine("desk")]))
    caller = bed2.Caller(bed, bed.rng)
    gapped = 0
    for number in range(STREAMS):
        tries = await caller.stream(
            "/draft/2f", number, 12.0, 0, "5c1e07a2:40,e4402b7d:20"
        )
        ids = [event[0] for event in tries[-1]["events"]]
        whole = list(range(1, bed.event_count + 1))
        gapped += tries[-1]["complete"] and ids != whole
    return [
        f"{'BROKEN' if gapped else 'held'}: {gapped} of {STREAMS} streams end"
        " as complete and lack events"
    ]


if __name__ == "__main__":
    bed2.main(play, CASE, ["pl-north"], ["pl-north"])
