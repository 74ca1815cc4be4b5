"""Runners answer with a header field outside ASCII."""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import bed2  # noqa: E402

REQUESTS = 20


class NamingRunner(bed2.Runner):
    """A runner that names a file in UTF-8."""

    async def handle(self, method, target, fields, body, reader, writer):
        if "attempt-id" not in fields or not self._bed.trouble:
            return await super().handle(
                method, target, fields, body, reader, writer
            )
        identity = fields["attempt-id"]
        self.runs.append(identity)
        self._bed.record.write("run", id=identity, runner=self.name)
        name = "certificación.pdf".encode().decode("latin-1")
        own = [
            ("Attempt-Id", identity),
            ("Server-Seal", f"{self.name}.{identity}"),
            ("Content-Disposition", f'attachment; filename="{name}"'),
        ]
        writer.write(bed2.message("HTTP/1.1 200 OK", own, b"done"))
        return True


async def play(bed):
    for number in range(3):
        bed.add_runner(f"i-reg-{number}", "registry", kind=NamingRunner)
    routes = [bed2.route("issue", "unsafe", "registry", maxAttempts=1)]
    await bed.start(bed2.configuration(11, routes, [bed2.plain("registry")]))
    await asyncio.sleep(1.0)
    closed = 0
    for number in range(REQUESTS):
        fields = [
            ("Host", bed2.HOST),
            ("Attempt-Id", f"u{number}"),
            ("Deadline-Ms", "1500"),
            ("Authorization", f"Bearer {bed2.KEY}"),
        ]
        try:
            await bed2.call(
                bed.gateways[0].front, "POST", "/issue/2f", fields, b"{}"
            )
        except bed2.BrokenError:
            closed += 1
    ran = sum(len(runner.runs) for runner in bed.runners)
    return [
        f"{'BROKEN' if closed > 3 else 'held'}: {ran} requests ran, and"
        f" {closed} connections were closed without an answer (3 are allowed)"
    ]


if __name__ == "__main__":
    bed2.main(play, CASE, ["pl-north"], ["pl-north"])
