"""A store that comes back from a copy and gives its revisions out again."""

import asyncio

import standin

# The requirements: time in which a configuration is in force, and in which an
# endpoint that leaves gets its last request.
CONFIGURATION_S = 2.0
LEAVING_S = 2.0
# Longer than any interval at which a gateway reads the store.
SETTLE_S = 1.5
NEW_ROUTE = standin.route("new", "safe", "plain")


def _runners(*names):
    return [standin.Runner(name, "plain", 8) for name in names]


async def _advance(fleet, name, count=20):
    """Writes the entry of an endpoint until all gateways know the last one."""
    for number in range(count):
        entry = fleet.runners[name].entry(slots=8 + number, seq=2 + number)
        fleet.store.put(f"servers/{name}", entry)
    await _wait_until_known(fleet)


async def _wait_until_known(fleet):
    for gateway in fleet.gateways:
        await fleet.wait_until(
            lambda gateway=gateway: (
                str(fleet.store.revision)
                in str(gateway.local_state.roster.revision)
            )
        )


def _write_draining(fleet, name):
    entry = fleet.runners[name].entry(state="draining", seq=100)
    fleet.store.put(f"servers/{name}", entry)


def _configuration(version):
    config = standin.configuration(version)
    config["routes"].append(NEW_ROUTE)
    return config


async def _restore(fleet, copy):
    """Restores the store, and waits until the gateways have read it."""
    fleet.store.restore(copy)
    fleet.store.cut_polls()
    await asyncio.sleep(SETTLE_S)


async def _assert_used(fleet, name):
    """Sends requests, some of which must reach an endpoint."""
    for number in range(12):
        await fleet.send_request("/look/1", f"id-{number}")
    assert fleet.runners[name].received


async def _assert_unused(fleet, name, gateway_index=0):
    """Sends requests, none of which may reach an endpoint."""
    runner = fleet.runners[name]
    received = len(runner.received)
    for number in range(12):
        response = await fleet.send_request(
            "/look/1", f"{name}-{number}", gateway_index=gateway_index
        )
        assert response.status == 200
    assert len(runner.received) == received


def test_endpoint_that_drains_after_a_restore_gets_no_more_requests():
    async def scenario():
        async with standin.Fleet(_runners("p1", "p2")) as fleet:
            copy = fleet.store.copy()
            await _advance(fleet, "p1")
            await _restore(fleet, copy)
            _write_draining(fleet, "p1")
            await asyncio.sleep(LEAVING_S)
            await _assert_unused(fleet, "p1")

    standin.run_scenario(scenario)


def test_endpoint_that_was_listed_first_after_a_restore_is_used():
    async def scenario():
        runners = _runners("p1", "p2")
        async with standin.Fleet(runners) as fleet:
            fleet.store.remove("servers/p1")
            copy = fleet.store.copy()
            await _advance(fleet, "p2")
            fleet.store.is_down = True
            fleet.store.restore(copy)
            fleet.store.cut_polls()
            fleet.store.put("servers/p1", fleet.runners["p1"].entry(seq=9))
            fleet.store.is_down = False
            await asyncio.sleep(SETTLE_S)
            await _assert_used(fleet, "p1")

    standin.run_scenario(scenario)


def test_configuration_at_a_revision_given_out_again_is_in_force():
    async def scenario():
        async with standin.Fleet(_runners("p1")) as fleet:
            copy = fleet.store.copy()
            await _advance(fleet, "p1")
            fleet.store.put("op/config", standin.configuration(2))
            await fleet.wait_until(
                lambda: fleet.gateways[0].local_state.catalog.version == 2
            )
            revision = fleet.store.revision
            fleet.store.restore(copy)
            fleet.store.put("op/config", standin.configuration(2))
            fleet.store.put("op/config", _configuration(3))
            while fleet.store.revision <= revision:
                fleet.store.put("other", {})
            fleet.store.cut_polls()
            await asyncio.sleep(CONFIGURATION_S)
            response = await fleet.send_request("/new/1", "id-1")
            assert response.status == 200

    standin.run_scenario(scenario)


def test_poll_that_a_restore_leaves_waiting_misses_no_configuration():
    async def scenario():
        async with standin.Fleet(_runners("p1")) as fleet:
            copy = fleet.store.copy()
            await _advance(fleet, "p1")
            fleet.store.put("op/config", standin.configuration(2))
            await asyncio.sleep(SETTLE_S)
            fleet.store.restore(copy)
            fleet.store.put("op/config", _configuration(3))
            # Ends the poll for entries, which are not after its revision.
            while fleet.store.revision <= 60:
                fleet.store.put("servers/p1", fleet.runners["p1"].entry(seq=9))
            await asyncio.sleep(CONFIGURATION_S)
            response = await fleet.send_request("/new/1", "id-1")
            assert response.status == 200

    standin.run_scenario(scenario)


def test_list_from_before_a_restore_yields_to_the_list_of_a_peer():
    async def scenario():
        async with standin.Fleet(_runners("p1", "p2")) as fleet:
            fleet.start_gateway(platform_address=fleet.store.second_address)
            await fleet.wait_until(lambda: fleet.gateways[1].ready)
            await fleet.wait_until_all_met()
            copy = fleet.store.copy()
            await _advance(fleet, "p1")
            fleet.store.is_second_down = True
            fleet.store.restore(copy)
            fleet.store.cut_polls()
            _write_draining(fleet, "p1")
            await asyncio.sleep(SETTLE_S + LEAVING_S)
            await _assert_unused(fleet, "p1", gateway_index=1)

    standin.run_scenario(scenario)


def test_endpoint_that_was_removed_is_not_taken_from_the_copy():
    async def scenario():
        async with standin.Fleet(_runners("p1", "p2")) as fleet:
            copy = fleet.store.copy()
            fleet.store.remove("servers/p1")
            await _advance(fleet, "p2")
            await _restore(fleet, copy)
            await _assert_unused(fleet, "p1")

    standin.run_scenario(scenario)


def test_endpoint_known_to_drain_is_not_taken_for_ready_from_the_copy():
    async def scenario():
        async with standin.Fleet(_runners("p1", "p2")) as fleet:
            copy = fleet.store.copy()
            _write_draining(fleet, "p1")
            await _advance(fleet, "p2")
            await _restore(fleet, copy)
            await _assert_unused(fleet, "p1")

    standin.run_scenario(scenario)


def test_endpoint_that_writes_again_after_a_restore_is_used_again():
    async def scenario():
        async with standin.Fleet(_runners("p1", "p2")) as fleet:
            copy = fleet.store.copy()
            fleet.store.remove("servers/p1")
            await _advance(fleet, "p2")
            await _restore(fleet, copy)
            fleet.store.put("servers/p1", fleet.runners["p1"].entry(seq=7))
            await asyncio.sleep(SETTLE_S)
            await _assert_used(fleet, "p1")

    standin.run_scenario(scenario)


def test_endpoint_that_the_copy_lacks_is_used_until_it_writes_again():
    async def scenario():
        async with standin.Fleet(_runners("p1", "p2")) as fleet:
            entry = fleet.runners["p2"].entry()
            fleet.store.remove("servers/p2")
            copy = fleet.store.copy()
            fleet.store.put("servers/p2", entry)
            await _advance(fleet, "p1")
            fleet.store.restore(copy)
            fleet.store.cut_polls()
            # An outage shorter than the interval at which entries are read.
            await asyncio.sleep(1.0)
            fleet.store.put("servers/p2", fleet.runners["p2"].entry(seq=9))
            gateway = fleet.gateways[0]
            usable = gateway.local_state.roster.usable("plain")
            assert [endpoint.name for endpoint in usable] == ["p1", "p2"]
            await asyncio.sleep(3.0)
            usable = gateway.local_state.roster.usable("plain")
            assert [endpoint.name for endpoint in usable] == ["p1", "p2"]

    standin.run_scenario(scenario)
