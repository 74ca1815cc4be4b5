"""Tests of the watcher with a simulated platform and peers."""

import asyncio
import functools
import json
import random

import pytest

from nutmegpost_core import acceptance
from nutmegpost_core import errors
from nutmegpost_core import vms
from nutmegpost_router import http_client
from nutmegpost_router import platform
from nutmegpost_router import watcher

ADDRESS = vms.Address("127.0.0.1", 9000)
NOT_MODIFIED = http_client.Response(304, {}, b"")


def _document(version, bound=1.25):
    content = {
        "version": version,
        "load_bound": bound,
        "classes": [
            {"name": "quick", "rank": 1, "first_token_ms": 500, "worth": 5}
        ],
        "accounts": [],
        "models": [],
        "services": [],
    }
    return json.dumps(content).encode()


def _vms(version):
    return json.dumps({"version": version, "vms": []}).encode()


class Platform:
    """A platform client that answers from values that a test sets."""

    def __init__(self):
        self.values = {
            "configuration": (1, _document(1)),
            "vms": (1, _vms(1)),
        }
        self.changed = asyncio.Event()
        self.fault = None
        self.is_stale = False
        self.requests = []

    def publish(self, name, version, data):
        self.values[name] = (version, data)
        self.changed.set()
        self.changed = asyncio.Event()

    async def request(self, address, method, path, headers, **options):
        assert (address, method) == (ADDRESS, "GET")
        name, _, query = path.removeprefix("/v1/").partition("?")
        fields = dict(field.split("=") for field in query.split("&"))
        self.requests.append(
            (name, int(fields["known"]), float(fields["wait"]))
        )
        await asyncio.sleep(0)
        if self.fault:
            raise self.fault
        return await self._answer(name, int(fields["known"]), fields["wait"])

    async def _answer(self, name, known, wait):
        version, data = self.values[name]
        if version > known or self.is_stale:
            return http_client.Response(200, {}, data)
        try:
            async with asyncio.timeout(float(wait)):
                await self.changed.wait()
        except TimeoutError:
            return NOT_MODIFIED
        if self.fault:
            raise self.fault
        return http_client.Response(200, {}, self.values[name][1])


class Fixture:
    def __init__(self):
        self.platform = Platform()
        self.acceptance = acceptance.Acceptance()
        self.outbox = asyncio.Queue()
        self.peers = {}
        self.fetched = []
        self.watcher = watcher.Watcher(
            ADDRESS,
            self.platform,
            self.acceptance,
            self.outbox,
            self._fetch,
            random.Random(1),
        )
        self.task = asyncio.create_task(self.watcher.run())

    async def _fetch(self, name):
        self.fetched.append(name)
        await asyncio.sleep(0)
        if name not in self.peers:
            raise errors.PeerError("no link")
        return self.peers[name]

    async def until(self, condition):
        while not condition():
            await asyncio.sleep(0.01)

    async def until_version(self, version):
        await self.until(lambda: self.acceptance.version == version)

    def notices(self):
        return [self.outbox.get_nowait() for _ in range(self.outbox.qsize())]


def with_fixture(test):
    """Turns a coroutine function that takes a fixture into a test."""

    async def body(arguments):
        fixture = Fixture()
        try:
            async with asyncio.timeout(30):
                await test(fixture, **arguments)
            assert not fixture.task.done()
        finally:
            fixture.task.cancel()

    @functools.wraps(test)
    def run(**arguments):
        asyncio.run(body(arguments))

    del run.__wrapped__
    return run


@with_fixture
async def test_first_read_does_not_wait(fixture):
    await fixture.until(lambda: fixture.outbox.qsize() == 2)
    kinds = {type(notice) for notice in fixture.notices()}
    assert kinds == {watcher.ConfigurationInForce, watcher.VmsChanged}
    assert ("configuration", 0, 0.0) in fixture.platform.requests


@with_fixture
async def test_long_poll_returns_changes(fixture):
    await fixture.until_version(1)
    fixture.platform.publish("configuration", 2, _document(2))
    await fixture.until_version(2)
    fixture.platform.publish("vms", 5, _vms(5))
    await fixture.until(lambda: ("vms", 5) in _known_versions(fixture))
    versions = [
        notice.listed["version"]
        for notice in fixture.notices()
        if isinstance(notice, watcher.VmsChanged)
    ]
    assert versions == [1, 5]


def _known_versions(fixture):
    return [(name, known) for name, known, _ in fixture.platform.requests]


@with_fixture
async def test_outdated_vm_list_is_ignored(fixture):
    await fixture.until_version(1)
    fixture.platform.publish("vms", 3, _vms(3))
    await fixture.until(lambda: ("vms", 3) in _known_versions(fixture))
    fixture.platform.is_stale = True
    fixture.platform.publish("vms", 2, _vms(2))
    count = len(fixture.platform.requests)
    await fixture.until(lambda: len(fixture.platform.requests) > count + 3)
    assert ("vms", 2) not in _known_versions(fixture)


@with_fixture
async def test_invalid_vm_list_is_ignored(fixture):
    await fixture.until_version(1)
    fixture.platform.publish("vms", 3, b"{")
    fixture.platform.publish("vms", 4, _vms(4))
    await fixture.until(lambda: ("vms", 4) in _known_versions(fixture))


@with_fixture
async def test_platform_is_read_again_after_an_outage(fixture):
    fixture.platform.fault = http_client.ConnectError("down", True)
    await fixture.until(lambda: len(fixture.platform.requests) > 4)
    assert fixture.watcher.read_age_s == float("inf")
    fixture.platform.fault = None
    await fixture.until_version(1)
    assert fixture.watcher.read_age_s < 30


@with_fixture
async def test_peer_is_read_while_the_platform_is_down(fixture):
    await fixture.until_version(1)
    fixture.platform.fault = http_client.ExchangeError("down")
    fixture.peers["b"] = _document(2)
    fixture.watcher.observe_peer_version("b", 2)
    await fixture.until_version(2)


@with_fixture
async def test_peer_is_read_while_the_platform_is_stale(fixture):
    await fixture.until_version(1)
    fixture.platform.is_stale = True
    fixture.peers["b"] = _document(2)
    fixture.watcher.observe_peer_version("b", 2)
    await fixture.until_version(2)
    count = len(fixture.platform.requests)
    await fixture.until(lambda: len(fixture.platform.requests) > count + 2)
    assert fixture.acceptance.version == 2


@with_fixture
async def test_another_peer_is_read_when_one_fails(fixture):
    await fixture.until_version(1)
    fixture.peers["c"] = _document(2)
    fixture.watcher.observe_peer_version("b", 3)
    fixture.watcher.observe_peer_version("c", 2)
    await fixture.until_version(2)
    await fixture.until(
        lambda: fixture.fetched.count("b") == watcher.PEER_ATTEMPTS_MAX
    )


@with_fixture
async def test_peer_without_a_newer_version_is_not_read(fixture):
    await fixture.until_version(1)
    fixture.peers["b"] = _document(1)
    fixture.watcher.observe_peer_version("b", 1)
    fixture.watcher.observe_peer_version("c", 0)
    fixture.platform.publish("configuration", 2, _document(2))
    await fixture.until_version(2)
    assert not fixture.fetched


@with_fixture
async def test_other_content_at_a_peer_is_a_conflict(fixture):
    await fixture.until_version(1)
    fixture.watcher.observe_peer_version("b", 1, "00")
    assert fixture.acceptance.has_conflict


@with_fixture
async def test_other_content_at_a_formerly_newer_peer_is_a_conflict(fixture):
    await fixture.until_version(1)
    fixture.watcher.observe_peer_version("b", 2, "00")
    fixture.platform.publish("configuration", 2, _document(2))
    await fixture.until_version(2)
    assert fixture.acceptance.has_conflict


@with_fixture
async def test_second_content_of_one_version_is_refused(fixture):
    await fixture.until_version(1)
    fixture.platform.is_stale = True
    fixture.platform.publish("configuration", 1, _document(1, bound=2))
    await fixture.until(lambda: fixture.acceptance.has_conflict)
    assert fixture.acceptance.in_force.data == _document(1)
    fixture.platform.publish("configuration", 2, _document(2))
    await fixture.until_version(2)


@with_fixture
async def test_invalid_document_is_not_put_in_force(fixture):
    await fixture.until_version(1)
    fixture.platform.publish("configuration", 2, b'{"version": 2}')
    count = len(fixture.platform.requests)
    await fixture.until(lambda: len(fixture.platform.requests) > count + 2)
    assert fixture.acceptance.version == 1
    fixture.platform.publish("configuration", 3, _document(3))
    await fixture.until_version(3)


@with_fixture
async def test_refresh_reads_at_once(fixture):
    await fixture.until(
        lambda: ("configuration", 1) in _known_versions(fixture)
    )
    fixture.platform.requests.clear()
    fixture.watcher.refresh()
    await fixture.until(
        lambda: ("configuration", 1, 0.0) in fixture.platform.requests
    )


@with_fixture
async def test_platform_that_answers_at_once_is_not_polled_in_a_loop(fixture):
    await fixture.until_version(1)

    async def answer(*_):
        return NOT_MODIFIED

    fixture.platform._answer = answer
    fixture.watcher.refresh()
    await asyncio.sleep(0)
    count = len(fixture.platform.requests)
    for _ in range(1000):
        await asyncio.sleep(0)
    assert len(fixture.platform.requests) < count + 10


@with_fixture
async def test_confirm_current_detects_a_newer_version(fixture):
    await fixture.until_version(1)
    assert await fixture.watcher.confirm_current()
    fixture.watcher.observe_peer_version("b", 2)
    assert not await fixture.watcher.confirm_current()
    fixture.platform.fault = http_client.ConnectError("down", True)
    assert not await fixture.watcher.confirm_current()
    fixture.platform.fault = None
    fixture.platform.values["configuration"] = (2, _document(2))
    assert not await fixture.watcher.confirm_current()
    assert fixture.acceptance.version == 2
    assert await fixture.watcher.confirm_current()


@pytest.mark.parametrize(
    ("status", "kind"),
    [(429, platform.BusyError), (500, errors.PlatformError)],
)
def test_error_status_raises(status, kind):
    class Client:
        async def request(self, *_, **__):
            return http_client.Response(status, {}, b"")

    with pytest.raises(kind):
        asyncio.run(platform.read_configuration(Client(), ADDRESS, 0, 0.0))
