import asyncio
import json
import pathlib

from nutmegpost_standins import http
from nutmegpost_standins import platform


def _write(path: pathlib.Path, version: int, **more):
    path.write_text(json.dumps({"version": version, **more}))


class PlatformFixture:
    def __init__(self, folder: pathlib.Path, **options):
        self.configuration = folder / "configuration.json"
        self.vms = folder / "vms.json"
        _write(self.configuration, 1)
        _write(self.vms, 1)
        self.platform = platform.Platform(
            platform.Options(
                "127.0.0.1:0",
                str(self.configuration),
                str(self.vms),
                **options,
            )
        )

    async def __aenter__(self):
        await self.platform.poll()
        self.server = await http.serve("127.0.0.1:0", self.platform.handle)
        self.task = asyncio.create_task(self.platform.watch_files())
        return self

    async def __aexit__(self, *_):
        self.task.cancel()
        await self.server.close()

    async def get(self, target: str) -> http.Reply:
        return await http.request(self.server.address, "GET", target)

    async def set_faults(self, **faults):
        await http.request(
            self.server.address,
            "POST",
            "/standin/faults",
            body=json.dumps(faults).encode(),
        )


def test_long_poll_returns_on_a_change(tmp_path):
    async def main():
        async with PlatformFixture(tmp_path) as fixture:
            target = "/v1/configuration?known=1&wait=30"
            watch = asyncio.create_task(fixture.get(target))
            await asyncio.sleep(0)
            _write(fixture.configuration, 2, more="longer")
            reply = await watch
            assert reply.headers["x-version"] == "2"
            reply = await fixture.get("/v1/configuration?known=2&wait=0")
            assert reply.status == 304
            counts = await fixture.get("/standin/counts")
            assert json.loads(counts.body)["configuration"] == 2

    asyncio.run(main())


def test_writes_are_refused(tmp_path):
    async def main():
        async with PlatformFixture(tmp_path) as fixture:
            reply = await http.request(
                fixture.server.address, "PUT", "/v1/configuration"
            )
            assert reply.status == 405

    asyncio.run(main())


def test_reads_above_the_rate_limit_are_refused(tmp_path):
    async def main():
        async with PlatformFixture(tmp_path, reads_per_s=1) as fixture:
            replies = [await fixture.get("/v1/vms") for _ in range(20)]
            assert 429 in [reply.status for reply in replies]

    asyncio.run(main())


def test_oversized_document_is_not_served(tmp_path):
    async def main():
        async with PlatformFixture(tmp_path, body_bytes_max=10) as fixture:
            reply = await fixture.get("/v1/configuration")
            assert reply.status == 413

    asyncio.run(main())


def test_older_stale_and_split_faults(tmp_path):
    async def main():
        async with PlatformFixture(tmp_path) as fixture:
            _write(fixture.configuration, 2, more="longer")
            await fixture.platform.poll()
            await fixture.set_faults(older=1)
            reply = await fixture.get("/v1/configuration?known=2")
            assert reply.headers["x-version"] == "1"
            await fixture.set_faults(older=0, stale=True)
            _write(fixture.configuration, 3, more="longer still")
            await fixture.platform.poll()
            reply = await fixture.get("/v1/configuration")
            assert reply.headers["x-version"] == "2"
            other = tmp_path / "other.json"
            _write(other, 2, more="another content")
            await fixture.set_faults(split=str(other))
            bodies = {
                (await fixture.get("/v1/configuration")).body for _ in range(2)
            }
            assert len(bodies) == 2

    asyncio.run(main())


def test_readers_share_the_bandwidth_of_the_weight_store():
    bandwidth = platform.SharedBandwidth(100)
    assert bandwidth.reserve(50, 10.0) == 10.5
    assert bandwidth.reserve(50, 10.0) == 11.0
    assert bandwidth.reserve(100, 20.0) == 21.0


def test_weights_have_the_configured_size(tmp_path):
    async def main():
        options = {"weight_bytes": 150_000, "weight_bytes_per_s": 50_000_000}
        async with PlatformFixture(tmp_path, **options) as fixture:
            replies = await asyncio.gather(
                *(fixture.get("/v1/weights/m/1") for _ in range(3))
            )
            assert [len(reply.body) for reply in replies] == [150_000] * 3

    asyncio.run(main())
