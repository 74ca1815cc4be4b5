"""Configurations come into force on all routers in time and never revert."""

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

# Maximum time from publication until all routers have a configuration in force.
IN_FORCE_S = 4.0
ENGINES = 1
OBSERVE_S = 5.0


def _run(tmp_path, check, **options):
    async def main():
        options.setdefault("engines", ENGINES)
        async with harness.deployment(tmp_path, **options) as deployment:
            async with observe.sample_configurations(deployment) as seen:
                await check(deployment)
            observe.check_versions_increase(deployment, seen)

    asyncio.run(main())


async def _check_answer(deployment: harness.Deployment, seed: int = 0):
    client = deployment.caller("press-line-1", seed)
    messages = [{"role": "user", "content": "a question"}]
    result = await client.chat(deployment.model, messages, tokens=4)
    assert (result.outcome, result.mismatch) == ("answered", "")


class _OtherPlatform:
    """A second platform stand-in that some routers read instead."""

    def __init__(self, deployment: harness.Deployment, folder: pathlib.Path):
        host, _, port = deployment.platform.rpartition(":")
        self.address = f"{host}:{int(port) + 1}"
        self.configuration = folder / "other.json"
        self._deployment = deployment
        self._folder = folder

    async def start(self, routers: list[str]):
        """Starts the platform and restarts routers with its address."""
        deployment = self._deployment
        self.publish(deployment.document)
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
        deployment.processes["other"] = process
        process.start()
        await deployment.wait_until_available(self.address, "/standin/counts")
        for name in routers:
            self._set_platform(name)
            await deployment.processes[name].kill()
            deployment.processes[name].start()
        for name in routers:
            await deployment.wait_until_healthy(name)
        for name in deployment.vm_names("router"):
            await deployment.wait_until_joined(name)

    def publish(self, document):
        """Publishes a configuration on this platform only."""
        temporary = self.configuration.with_suffix(".new")
        temporary.write_text(json.dumps(document))
        temporary.replace(self.configuration)

    def _set_platform(self, name: str):
        path = self._folder / f"{name}.json"
        settings = json.loads(path.read_text())
        settings["platform_address"] = self.address
        path.write_text(json.dumps(settings))


def test_change_is_in_force_in_time(tmp_path):
    async def check(deployment: harness.Deployment):
        for version in (2, 3, 4):
            deployment.publish()
            await observe.wait_until_in_force(
                deployment, version, timeout=IN_FORCE_S
            )
        await _check_answer(deployment)

    _run(tmp_path, check)


def test_change_in_time_where_one_router_alone_can_read(tmp_path):
    async def check(deployment: harness.Deployment):
        other = _OtherPlatform(deployment, tmp_path)
        cut_off = deployment.vm_names("router")[1:]
        await other.start(cut_off)
        await deployment.processes["other"].kill()
        for version in (2, 3, 4):
            deployment.publish()
            await observe.wait_until_in_force(
                deployment, version, timeout=IN_FORCE_S
            )
        await _check_answer(deployment)

    async def main():
        async with harness.deployment(tmp_path, engines=ENGINES) as deployment:
            await check(deployment)

    asyncio.run(main())


def test_restart_while_the_platform_serves_an_older_version(tmp_path):
    async def check(deployment: harness.Deployment):
        deployment.publish()
        await observe.wait_until_in_force(deployment, 2)
        await deployment.set_faults("platform", older=1)
        for name in ("router-2", "router-4"):
            await deployment.processes[name].kill()
            deployment.processes[name].start()
            await deployment.wait_until_healthy(name)
            seen = await observe.configuration_in_force(deployment, name)
            assert seen is not None
            assert seen.version == 2
        await asyncio.sleep(OBSERVE_S)
        await observe.wait_until_in_force(deployment, 2)
        await _check_answer(deployment)
        await deployment.set_faults("platform", older=0)
        deployment.publish()
        await observe.wait_until_in_force(deployment, 3)

    _run(tmp_path, check)


def test_restart_while_the_platform_is_stale(tmp_path):
    async def check(deployment: harness.Deployment):
        other = _OtherPlatform(deployment, tmp_path)
        await other.start(["router-4"])
        deployment.publish()
        await observe.wait_until_in_force(deployment, 2)
        await deployment.processes["router-4"].kill()
        deployment.processes["router-4"].start()
        await deployment.wait_until_healthy("router-4")
        seen = await observe.configuration_in_force(deployment, "router-4")
        assert seen is not None
        assert seen.version == 2
        await _check_answer(deployment)

    async def main():
        async with harness.deployment(tmp_path, engines=ENGINES) as deployment:
            await check(deployment)

    asyncio.run(main())


def test_two_contents_under_one_version(tmp_path):
    async def check(deployment: harness.Deployment):
        other = _OtherPlatform(deployment, tmp_path)
        await other.start(["router-3", "router-4"])
        document = dict(deployment.document, version=2, load_bound=3.0)
        other.publish(document)
        deployment.publish()
        async with observe.sample_configurations(deployment) as seen:
            await observe.wait_until_in_force(deployment, 2)
            await asyncio.sleep(OBSERVE_S)
            await _check_answer(deployment)
            assert len({rows[-1].digest for rows in seen.values()}) == 2, seen
            for name in deployment.vm_names("router"):
                assert " 204 " in deployment.processes[name].log, name
            # The next version resolves the conflict.
            deployment.publish()
            await observe.wait_until_in_force(deployment, 3)
        observe.check_versions_increase(deployment, seen)
        last = [
            await observe.configuration_in_force(deployment, name)
            for name in deployment.vm_names("router")
        ]
        assert last == [last[0]] * len(last)

    async def main():
        async with harness.deployment(tmp_path, engines=ENGINES) as deployment:
            await check(deployment)

    asyncio.run(main())


def test_bad_document_is_refused_by_all_alike(tmp_path):
    async def check(deployment: harness.Deployment):
        original = dict(deployment.document)
        invalid = [
            ("load_bound", 0.5),
            ("classes", []),
            ("accounts", deployment.document["accounts"] * 2),
            ("services", [{"name": "line"}]),
        ]
        for count, (key, value) in enumerate(invalid, 1):
            deployment.document[key] = value
            deployment.publish()
            await harness.wait_until(
                lambda count=count: all(
                    deployment.processes[name].log.count(" 202 ") >= count
                    for name in deployment.vm_names("router")
                ),
                f"refusals of {key}",
            )
            await _check_answer(deployment)
            deployment.document[key] = original[key]
            for name in deployment.vm_names("router"):
                seen = await observe.configuration_in_force(deployment, name)
                assert seen is not None
                assert seen.version == 1
        deployment.publish()
        await observe.wait_until_in_force(
            deployment, deployment.document["version"]
        )
        await _check_answer(deployment)

    _run(tmp_path, check)


def test_paused_router_catches_up_without_reverting(tmp_path):
    async def check(deployment: harness.Deployment):
        paused = deployment.processes["router-2"]
        others = ["router-1", "router-3", "router-4"]
        paused.send_signal(signal.SIGSTOP)
        for version in (2, 3, 4):
            deployment.publish()
            await observe.wait_until_in_force(deployment, version, others)
        paused.send_signal(signal.SIGCONT)
        await observe.wait_until_in_force(deployment, 4)
        await _check_answer(deployment)

    _run(tmp_path, check)
