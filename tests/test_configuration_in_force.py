"""A configuration comes into force everywhere in time, and never reverts."""

import asyncio
import json
import pathlib
import signal
import sys

import harness
import observe
import pytest

pytestmark = [
    pytest.mark.processes,
    pytest.mark.xdist_group("processes"),
]

# Within this time an accepted configuration is in force on every router.
IN_FORCE_S = 4.0
ENGINES = 1
HOLDS_S = 5.0


def _run(tmp_path, check, **options):
    async def main():
        options.setdefault("engines", ENGINES)
        async with harness.deployment(tmp_path, **options) as found:
            async with observe.watched(found) as seen:
                await check(found)
            observe.versions_never_fall(found, seen)

    asyncio.run(main())


async def _answers(found: harness.Deployment, seed: int = 0):
    program = found.caller("press-line-1", seed)
    messages = [{"role": "user", "content": "a question"}]
    result = await program.chat(found.model, messages, tokens=4)
    assert (result.outcome, result.mismatch) == ("answered", "")


class _OtherPlatform:
    """A second platform, which some routers read in place of the first."""

    def __init__(self, found: harness.Deployment, folder: pathlib.Path):
        host, _, port = found.platform.rpartition(":")
        self.address = f"{host}:{int(port) + 1}"
        self.configuration = folder / "other.json"
        self._found = found
        self._folder = folder

    async def start(self, routers: list[str]):
        """Starts it, and the routers anew so that they read it."""
        found = self._found
        self.write(found.document)
        command = [
            sys.executable,
            "-m",
            "nutmegpost_standins.platform",
            f"--address={self.address}",
            f"--configuration={self.configuration}",
            f"--vms={self._folder / 'vms.json'}",
        ]
        log = self._folder / "other.log"
        process = harness.Process("other", command, log)
        found.processes["other"] = process
        process.start()
        await found.until_answers(self.address, "/standin/counts")
        for name in routers:
            self._lead(name)
            await found.processes[name].kill()
            found.processes[name].start()
        for name in routers:
            await found.until_healthy(name)
        for name in found.names("router"):
            await found.until_joined(name)

    def write(self, document):
        """Publishes here alone."""
        fresh = self.configuration.with_suffix(".new")
        fresh.write_text(json.dumps(document))
        fresh.replace(self.configuration)

    def _lead(self, name: str):
        path = self._folder / f"{name}.json"
        settings = json.loads(path.read_text())
        settings["platform_address"] = self.address
        path.write_text(json.dumps(settings))


def test_change_is_in_force_in_time(tmp_path):
    async def check(found: harness.Deployment):
        for version in (2, 3, 4):
            found.publish()
            await observe.until_in_force(found, version, timeout=IN_FORCE_S)
        await _answers(found)

    _run(tmp_path, check)


def test_change_in_time_where_one_router_alone_can_read(tmp_path):
    async def check(found: harness.Deployment):
        other = _OtherPlatform(found, tmp_path)
        cut_off = found.names("router")[1:]
        await other.start(cut_off)
        await found.processes["other"].kill()
        for version in (2, 3, 4):
            found.publish()
            await observe.until_in_force(found, version, timeout=IN_FORCE_S)
        await _answers(found)

    async def main():
        async with harness.deployment(tmp_path, engines=ENGINES) as found:
            await check(found)

    asyncio.run(main())


def test_restart_while_the_service_shows_an_older_version(tmp_path):
    async def check(found: harness.Deployment):
        found.publish()
        await observe.until_in_force(found, 2)
        await found.set_faults("platform", older=1)
        for name in ("router-2", "router-4"):
            await found.processes[name].kill()
            found.processes[name].start()
            await found.until_healthy(name)
            seen = await observe.in_force(found, name)
            assert seen is not None
            assert seen.version == 2
        await asyncio.sleep(HOLDS_S)
        await observe.until_in_force(found, 2)
        await _answers(found)
        await found.set_faults("platform", older=0)
        found.publish()
        await observe.until_in_force(found, 3)

    _run(tmp_path, check)


def test_restart_while_the_service_is_stale(tmp_path):
    async def check(found: harness.Deployment):
        other = _OtherPlatform(found, tmp_path)
        await other.start(["router-4"])
        found.publish()
        await observe.until_in_force(found, 2)
        await found.processes["router-4"].kill()
        found.processes["router-4"].start()
        await found.until_healthy("router-4")
        seen = await observe.in_force(found, "router-4")
        assert seen is not None
        assert seen.version == 2
        await _answers(found)

    async def main():
        async with harness.deployment(tmp_path, engines=ENGINES) as found:
            await check(found)

    asyncio.run(main())


def test_two_contents_under_one_version(tmp_path):
    async def check(found: harness.Deployment):
        other = _OtherPlatform(found, tmp_path)
        await other.start(["router-3", "router-4"])
        contents = dict(found.document, version=2, load_bound=3.0)
        other.write(contents)
        found.publish()
        async with observe.watched(found) as seen:
            await observe.until_in_force(found, 2)
            await asyncio.sleep(HOLDS_S)
            await _answers(found)
            assert len({rows[-1].digest for rows in seen.values()}) == 2, seen
            for name in found.names("router"):
                assert " 204 " in found.processes[name].log, name
            # The next version ends it.
            found.publish()
            await observe.until_in_force(found, 3)
        observe.versions_never_fall(found, seen)
        last = [
            await observe.in_force(found, name)
            for name in found.names("router")
        ]
        assert last == [last[0]] * len(last)

    async def main():
        async with harness.deployment(tmp_path, engines=ENGINES) as found:
            await check(found)

    asyncio.run(main())


def test_bad_document_is_refused_by_all_alike(tmp_path):
    async def check(found: harness.Deployment):
        good = dict(found.document)
        bad = [
            ("load_bound", 0.5),
            ("classes", []),
            ("accounts", found.document["accounts"] * 2),
            ("services", [{"name": "line"}]),
        ]
        for count, (key, value) in enumerate(bad, 1):
            found.document[key] = value
            found.publish()
            await harness.until(
                lambda count=count: all(
                    found.processes[name].log.count(" 202 ") >= count
                    for name in found.names("router")
                ),
                f"refusals of {key}",
            )
            await _answers(found)
            found.document[key] = good[key]
            for name in found.names("router"):
                seen = await observe.in_force(found, name)
                assert seen is not None
                assert seen.version == 1
        found.publish()
        await observe.until_in_force(found, found.document["version"])
        await _answers(found)

    _run(tmp_path, check)


def test_paused_router_catches_up_and_never_goes_back(tmp_path):
    async def check(found: harness.Deployment):
        paused = found.processes["router-2"]
        others = ["router-1", "router-3", "router-4"]
        paused.signal(signal.SIGSTOP)
        for version in (2, 3, 4):
            found.publish()
            await observe.until_in_force(found, version, others)
        paused.signal(signal.SIGCONT)
        await observe.until_in_force(found, 4)
        await _answers(found)

    _run(tmp_path, check)
