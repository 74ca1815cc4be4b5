"""A large fleet, of which only a few gateways read the platform's store."""

import asyncio
import contextlib

import pytest
import standin

GATEWAYS = 7
LEAVE_LIMIT_S = 3.0
# Time after which all calls to the store are those of readers.
SETTLE_S = 2.0


@contextlib.asynccontextmanager
async def _fleet(large_fleet_gateways=3, gateways=GATEWAYS, calm=False):
    runners = [standin.Runner(name, "plain", 8) for name in ("p1", "p2")]
    settings = {"leave_limit_ms": int(LEAVE_LIMIT_S * 1000)}
    if large_fleet_gateways:
        settings["large_fleet_gateways"] = large_fleet_gateways
    async with standin.Fleet(runners, gateways=0, **settings) as fleet:
        for number in range(gateways):
            fleet.start_gateway(zone=f"zone-{number % 3}")
        for gateway in fleet.gateways:
            await fleet.wait_until(lambda gateway=gateway: gateway.ready)
        await fleet.wait_until_all_met()
        beats = asyncio.create_task(_beat(fleet, calm))
        if large_fleet_gateways:
            await fleet.wait_until(lambda: len(_followers(fleet)) == 4)
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


def _followers(fleet):
    return [
        gateway
        for gateway, task in zip(fleet.gateways, fleet.tasks, strict=True)
        if gateway._peer_sync.is_following and not task.done()
    ]


def _readers(fleet):
    return [
        gateway
        for gateway, task in zip(fleet.gateways, fleet.tasks, strict=True)
        if not gateway._peer_sync.is_following and not task.done()
    ]


def _redirect(gateway, address):
    """Makes a gateway read the store at another address."""
    for task in asyncio.all_tasks():
        watcher = getattr(task.get_coro(), "cr_frame", None)
        watcher = watcher and watcher.f_locals.get("self")
        if getattr(watcher, "_switch", None) is gateway._reading_switch:
            client = getattr(watcher, "_client", None)
            if hasattr(client, "_address"):
                client._address = standin.vms.parse_address(address)


def _cut_off(fleet, gateways):
    """Cuts gateways off from the store."""
    for gateway in gateways:
        _redirect(gateway, fleet.store.second_address)
    fleet.store.is_second_down = True
    fleet.store.cut_polls()


async def _calls(fleet, seconds):
    await asyncio.sleep(SETTLE_S)
    before = fleet.store.request_count
    await asyncio.sleep(seconds)
    return fleet.store.request_count - before


def _knows_leaving(gateway, name):
    endpoint = gateway.local_state.roster.endpoints.get(name)
    return endpoint is None or endpoint.is_draining


async def _leave(fleet):
    fleet.store.put(
        "servers/p1", fleet.runners["p1"].entry(seq=99, state="draining")
    )
    await _wait_for_all(fleet, lambda g: _knows_leaving(g, "p1"))


async def _publish(fleet):
    fleet.store.put("op/config", standin.configuration(2))
    await _wait_for_all(
        fleet, lambda gateway: gateway.local_state.catalog.version == 2
    )


async def _wait_for_all(fleet, holds):
    """Waits until something holds at all gateways that run, in the limit."""
    running = [*_followers(fleet), *_readers(fleet)]
    started = asyncio.get_running_loop().time()
    await fleet.wait_until(lambda: all(map(holds, running)))
    elapsed_s = asyncio.get_running_loop().time() - started
    assert elapsed_s < LEAVE_LIMIT_S


# Guards against calls to the store that grow with the fleet, also while
# nothing is published.
@pytest.mark.parametrize("calm", [False, True])
def test_only_readers_call_the_store(calm):
    async def scenario():
        async with _fleet(calm=calm) as fleet:
            assert len(_readers(fleet)) == 3
            # A reader makes one call in 0.9 s and a few in 10 s, and each of
            # all 7 gateways did so before.
            assert await _calls(fleet, 5.0) <= 3 * 8
            assert len(_followers(fleet)) == 4

    standin.run_scenario(scenario)


# Guards against a new behavior of fleets that are not large.
@pytest.mark.parametrize("large_fleet_gateways", [None, 0, 7])
def test_all_gateways_of_a_small_fleet_read_the_store(large_fleet_gateways):
    async def scenario():
        async with _fleet(None) as fleet:
            if large_fleet_gateways is not None:
                for gateway in fleet.gateways:
                    assert not gateway._peer_sync.is_following
            assert await _calls(fleet, 4.0) >= 7 * 4
            assert not _followers(fleet)

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
            for reader in _readers(fleet)[:count]:
                _redirect(reader, await _mute_address())
            fleet.store.cut_polls()
            await change(fleet)

    standin.run_scenario(scenario)


async def _mute_address():
    """Returns an address that accepts connections and never answers."""
    address = standin.free_address()
    parsed = standin.vms.parse_address(address)

    async def accept(reader, writer):
        with contextlib.suppress(ConnectionError):
            await reader.read()
        writer.close()

    await asyncio.start_server(accept, parsed.host, parsed.port)
    return address


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
# before their endpoints can write them again.
def test_entries_that_lapse_in_an_outage_have_their_grace_period():
    async def scenario():
        async with _fleet() as fleet:
            fleet.store.is_down = True
            fleet.store.cut_polls()
            await asyncio.sleep(0.5)
            fleet.store.remove("servers/p1")
            await asyncio.sleep(0.5)
            fleet.store.is_down = False
            for _ in range(12):
                await asyncio.sleep(0.1)
                for gateway in fleet.gateways:
                    assert "p1" in gateway.local_state.roster.endpoints
            await _wait_for_all(
                fleet, lambda g: "p1" not in g.local_state.roster.endpoints
            )

    standin.run_scenario(scenario)
