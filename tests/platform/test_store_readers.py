"""A large fleet, of which only a few gateways read the platform's store."""

import asyncio
import collections
import contextlib
import itertools
import urllib.parse

import pytest
import standin

GATEWAYS = 7
FOLLOWERS = 4
LEAVE_LIMIT_S = 3.0
# Time after which all calls to the store are those of readers.
SETTLE_S = 2.0


class Gate:
    """The way of one gateway to the store.

    Attributes:
        address: Address of the store for this gateway.
        is_down: Whether each request is answered with status 503.
        hangs: Whether no request is answered, now or later.
        calls: Number of requests received, by prefix.
    """

    def __init__(self, store):
        self.address = standin.free_address()
        self.is_down = False
        self.hangs = False
        self.calls = collections.Counter()
        self._store = store

    async def start(self):
        await standin.http_server.serve(
            standin.vms.parse_address(self.address), self._respond
        )

    async def _respond(self, exchange):
        query = exchange.request.target.partition("?")[2]
        prefix = dict(urllib.parse.parse_qsl(query))["prefix"]
        self.calls[prefix] += 1
        status, fields, body = 503, [], b""
        if not (self.hangs or self.is_down or self._store.is_down):
            status, fields, body = await self._store._read(exchange.request)
        if self.hangs:
            await exchange.disconnected.wait()
            return
        if self.is_down:
            status, body = 503, b""
        fields = [*fields, ("Store-Era", str(self._store.era))]
        exchange.send(standin.http_server.Response(status, fields, body))


@contextlib.asynccontextmanager
async def _fleet(large_fleet_gateways=3, calm=False, followers=FOLLOWERS):
    runners = [standin.Runner(name, "plain", 8) for name in ("p1", "p2")]
    settings = {"leave_limit_ms": int(LEAVE_LIMIT_S * 1000)}
    if large_fleet_gateways is not None:
        settings["large_fleet_gateways"] = large_fleet_gateways
    async with standin.Fleet(runners, gateways=0, **settings) as fleet:
        for number in range(GATEWAYS):
            gate = Gate(fleet.store)
            await gate.start()
            fleet.start_gateway(
                zone=f"zone-{number % 3}", platform_address=gate.address
            ).gate = gate
        for gateway in fleet.gateways:
            await fleet.wait_until(lambda gateway=gateway: gateway.ready)
        await fleet.wait_until_all_met()
        beats = asyncio.create_task(_beat(fleet, calm))
        await fleet.wait_until(lambda: len(_followers(fleet)) == followers)
        try:
            yield fleet
        finally:
            beats.cancel()


async def _beat(fleet, calm):
    """Writes the entry of the second endpoint again and again."""
    seq = 10
    while not calm:
        seq += 1
        fleet.store.put("servers/p2", fleet.runners["p2"].entry(seq=seq))
        await asyncio.sleep(0.3)


def _running(fleet):
    pairs = zip(fleet.gateways, fleet.tasks, strict=True)
    return [gateway for gateway, task in pairs if not task.done()]


def _followers(fleet):
    return [g for g in _running(fleet) if g._peer_sync.is_following]


def _readers(fleet):
    return [g for g in _running(fleet) if not g._peer_sync.is_following]


def _cut_off(fleet, gateways):
    """Makes the store turn gateways away."""
    for gateway in gateways:
        gateway.gate.is_down = True
    fleet.store.cut_polls()


async def _calls(fleet, seconds, prefix="servers/"):
    """Returns the calls for a prefix in a time, by name of the gateway."""
    await asyncio.sleep(SETTLE_S)
    before = {g.config["name"]: g.gate.calls[prefix] for g in fleet.gateways}
    await asyncio.sleep(seconds)
    return {
        g.config["name"]: g.gate.calls[prefix] - before[g.config["name"]]
        for g in fleet.gateways
    }


def _knows_leaving(gateway, name):
    endpoint = gateway.local_state.roster.endpoints.get(name)
    return endpoint is None or endpoint.is_draining


async def _leave(fleet, gateways=None):
    fleet.store.put(
        "servers/p1", fleet.runners["p1"].entry(seq=99, state="draining")
    )
    await _wait_for(
        fleet, gateways, lambda gateway: _knows_leaving(gateway, "p1")
    )


async def _publish(fleet, gateways=None):
    fleet.store.put("op/config", standin.configuration(2))
    await _wait_for(
        fleet,
        gateways,
        lambda gateway: gateway.local_state.catalog.version == 2,
    )


async def _wait_for(fleet, gateways, holds):
    """Waits until something holds at gateways, all by default, in time."""
    running = gateways or _running(fleet)
    started = asyncio.get_running_loop().time()
    await fleet.wait_until(lambda: all(map(holds, running)))
    elapsed_s = asyncio.get_running_loop().time() - started
    assert elapsed_s < LEAVE_LIMIT_S


# Guards against reads of entries that grow with the fleet, also while nothing
# is published.
@pytest.mark.parametrize("calm", [False, True])
def test_only_readers_call_the_store(calm):
    async def scenario():
        async with _fleet(calm=calm) as fleet:
            followers = {g.config["name"] for g in _followers(fleet)}
            calls = await _calls(fleet, 5.0)
            assert {n for n, count in calls.items() if not count} == followers
            # A poll of entries in 0.9 s.
            assert sum(calls.values()) <= 3 * 7
            # One of the configuration in 10 s, at each gateway.
            calls = await _calls(fleet, 5.0, "op/config")
            assert max(calls.values()) <= 2
            zones = {g.config["zone"] for g in _readers(fleet)}
            assert len(zones) == 3

    standin.run_scenario(scenario)


# Guards against a new behavior of fleets that are not large.
@pytest.mark.parametrize("large_fleet_gateways", [None, 0, GATEWAYS])
def test_all_gateways_of_a_small_fleet_read_the_store(large_fleet_gateways):
    async def scenario():
        async with _fleet(large_fleet_gateways, followers=0) as fleet:
            polled = []
            for gateway in fleet.gateways:
                gateway._reader_follower._poll = polled.append
            calls = await _calls(fleet, 4.0)
            assert min(calls.values()) >= 3
            assert not _followers(fleet)
            assert not polled

    standin.run_scenario(scenario)


@pytest.mark.parametrize("change", [_leave, _publish])
def test_followers_learn_of_changes(change):
    async def scenario():
        async with _fleet() as fleet:
            await change(fleet)
            assert len(_followers(fleet)) == 4

    standin.run_scenario(scenario)


# Guards against followers that wait for a reader that is gone.
@pytest.mark.parametrize("change", [_leave, _publish])
@pytest.mark.parametrize("count", [1, 3])
def test_bounds_hold_when_readers_are_killed(change, count):
    async def scenario():
        async with _fleet() as fleet:
            for reader in _readers(fleet)[:count]:
                await fleet.kill_gateway(fleet.gateways.index(reader))
            await change(fleet)

    standin.run_scenario(scenario)


# Guards against followers that rely on readers without the store.
@pytest.mark.parametrize("change", [_leave, _publish])
@pytest.mark.parametrize("count", [1, 3])
def test_bounds_hold_when_readers_lose_the_store(change, count):
    async def scenario():
        async with _fleet() as fleet:
            _cut_off(fleet, _readers(fleet)[:count])
            await change(fleet)

    standin.run_scenario(scenario)


# Guards against followers that rely on readers whose polls hang.
@pytest.mark.parametrize("change", [_leave, _publish])
@pytest.mark.parametrize("count", [1, 3])
def test_bounds_hold_when_polls_of_readers_hang(change, count):
    async def scenario():
        async with _fleet() as fleet:
            readers = _readers(fleet)[:count]
            for reader in readers:
                reader.gate.hangs = True
            running = _running(fleet)
            await change(fleet, [g for g in running if g not in readers])

    standin.run_scenario(scenario)


# Guards against followers that wait for readers which answer nothing.
@pytest.mark.parametrize("change", [_leave, _publish])
@pytest.mark.parametrize("count", [1, 2, 3])
def test_bounds_hold_when_readers_are_silent(change, count):
    async def scenario():
        async with _fleet() as fleet:
            for reader in _readers(fleet)[:count]:
                reader._peer_sync.handle = _hang
            await change(fleet)

    standin.run_scenario(scenario)


async def _hang(request):
    await asyncio.sleep(standin.TIMEOUT_S)


# Guards against followers of a build that does not tell how old its news are.
def test_readers_of_an_earlier_build_are_not_followed():
    async def scenario():
        async with _fleet() as fleet:
            for reader in _readers(fleet):
                sync = reader._peer_sync
                sync.handle = _without_news(sync.handle)
            await fleet.wait_until(lambda: not _followers(fleet))
            await _publish(fleet)

    standin.run_scenario(scenario)


def _without_news(handle):
    async def handle_as_before(request):
        fields = request.target.split("&")[:5]
        return await handle(request._replace(target="&".join(fields)))

    return handle_as_before


# Guards against streams joined because a follower missed a version that came
# and went between two answers of its reader.
def test_followers_learn_of_a_version_that_has_gone():
    async def scenario():
        async with _fleet() as fleet:
            entry = fleet.runners["p1"].entry(version="v9")
            for number in range(4):
                fleet.store.put(f"servers/passing-{number}", entry)
                fleet.store.remove(f"servers/passing-{number}")
            await _wait_for(
                fleet,
                None,
                lambda gateway: (
                    ("plain", "v9") in gateway.local_state.versions.known()
                ),
            )

    standin.run_scenario(scenario)


# Guards against a configuration that all followers read from one gateway at
# once, over a link that is too slow for that.
def test_documents_are_sent_to_followers_one_after_the_other():
    async def scenario():
        async with _fleet() as fleet:
            sent = []
            for gateway in fleet.gateways:
                sync = gateway._peer_sync
                sync.handle = _record_documents(sync.handle, gateway, sent)
            # Followers whose polls the store answers read it there.
            for gateway in _followers(fleet):
                gateway.gate.hangs = True
            large = standin.configuration(2, padding="x" * 60_000)
            fleet.store.put("op/config", large)
            await _wait_for(
                fleet, None, lambda g: g.local_state.catalog.version == 2
            )
            assert len(sent) >= FOLLOWERS
            for name in {name for name, _ in sent}:
                times = [at for sender, at in sent if sender == name]
                # 60 KB take 0.1 s on half of a link of 10 Mbit/s.
                assert all(b - a >= 0.09 for a, b in itertools.pairwise(times))

    standin.run_scenario(scenario)


# Guards against a document that no peer can send in time.
def test_followers_read_a_configuration_that_no_peer_sends():
    async def scenario():
        async with _fleet() as fleet:
            for gateway in fleet.gateways:
                gateway._peer_sync._document_for = lambda *_: b""
            await _publish(fleet)
            await fleet.wait_until(lambda: len(_followers(fleet)) == FOLLOWERS)

    standin.run_scenario(scenario)


def _record_documents(handle, gateway, sent):
    async def recorded(request):
        response = await handle(request)
        if len(response.body) > 60_000:
            now = asyncio.get_running_loop().time()
            sent.append((gateway.config["name"], now))
        return response

    return recorded


# Guards against followers that go on reading the store after an outage.
def test_followers_follow_again_when_readers_have_the_store_again():
    async def scenario():
        async with _fleet() as fleet:
            fleet.store.is_down = True
            fleet.store.cut_polls()
            await fleet.wait_until(lambda: not _followers(fleet))
            fleet.store.is_down = False
            await fleet.wait_until(lambda: len(_followers(fleet)) == 4)
            await _leave(fleet)

    standin.run_scenario(scenario)


# Guards against a follower that drops entries which lapsed during an outage
# before their endpoints can write them again; a short one only readers notice.
@pytest.mark.parametrize("half_s", [0.05, 0.5])
def test_entries_that_lapse_in_an_outage_have_their_grace_period(half_s):
    async def scenario():
        async with _fleet() as fleet:
            fleet.store.is_down = True
            fleet.store.cut_polls()
            await asyncio.sleep(half_s)
            fleet.store.remove("servers/p1")
            await asyncio.sleep(half_s)
            fleet.store.is_down = False
            for _ in range(12):
                await asyncio.sleep(0.1)
                for gateway in fleet.gateways:
                    assert "p1" in gateway.local_state.roster.endpoints
            await _wait_for(
                fleet,
                None,
                lambda g: "p1" not in g.local_state.roster.endpoints,
            )

    standin.run_scenario(scenario)
