"""Configurations that take long to transfer, and polls that tell nothing."""

import asyncio
import contextlib

import narrow_link
import pytest
import standin

from nutmegpost_core import vms

# A link of 12 Mbit/s.
LINK_BYTES_PER_S = 1_500_000
# Time within which a confirmed configuration must be in force.
IN_FORCE_WITHIN_S = 3.0
IN_FORCE_WITHIN_ON_A_FAST_LINK_S = 2.0
# Time after a disturbance from which a gateway must know of changes.
CONTACT_S = 3.0


def _large_configuration(version, routes=2_400):
    added = [
        standin.route(f"route-{number:06}", "safe", "plain", gapAimMs=800)
        for number in range(routes)
    ]
    plain = standin.configuration(version)
    return plain | {"routes": plain["routes"] + added}


def _version(gateway):
    catalog = gateway.local_state.catalog
    return catalog.version if catalog else 0


@contextlib.asynccontextmanager
async def _fleet(config, bytes_per_s=LINK_BYTES_PER_S, gateways=0):
    """Runs gateways on a fast link; yields the fleet and a narrow link."""
    runners = [standin.Runner("p1", "plain", 8)]
    async with standin.Fleet(runners, gateways, config) as fleet:
        link = narrow_link.NarrowLink(bytes_per_s)
        try:
            yield fleet, link
        finally:
            link.close()


async def _start_gateway(fleet, link):
    """Starts a gateway that reads the store through the link."""
    address = await link.forward(fleet.store.address)
    return fleet.start_gateway(platform_address=address)


async def _is_reached(gateway, version, within_s):
    """Returns whether a version is in force within some time."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(within_s):
            while _version(gateway) < version:
                await asyncio.sleep(0.01)
            return True
    return False


def test_document_that_takes_longer_than_an_answer_may_is_read_at_a_start():
    async def scenario():
        async with _fleet(_large_configuration(1), 1_000_000) as (fleet, link):
            gateway = await _start_gateway(fleet, link)
            assert await _is_reached(gateway, 1, IN_FORCE_WITHIN_S)

    standin.run_scenario(scenario)


def test_versions_missed_in_an_outage_do_not_keep_the_newest_away():
    async def scenario():
        async with _fleet(standin.configuration(1)) as (fleet, link):
            gateway = await _start_gateway(fleet, link)
            assert await _is_reached(gateway, 1, IN_FORCE_WITHIN_S)
            fleet.store.is_down = True
            fleet.store.cut_polls()
            await asyncio.sleep(0.5)
            for version in range(2, 8):
                fleet.store.put("op/config", _large_configuration(version))
            fleet.store.is_down = False
            assert await _is_reached(gateway, 7, IN_FORCE_WITHIN_S)

    standin.run_scenario(scenario)


def test_versions_in_quick_succession_do_not_queue_up():
    async def scenario():
        async with _fleet(_large_configuration(1)) as (fleet, link):
            gateway = await _start_gateway(fleet, link)
            assert await _is_reached(gateway, 1, IN_FORCE_WITHIN_S)
            late = []
            async with asyncio.TaskGroup() as group:
                for version in range(2, 32):
                    fleet.store.put("op/config", _large_configuration(version))
                    group.create_task(_note_if_late(gateway, version, late))
                    await asyncio.sleep(0.25)
            assert not late

    standin.run_scenario(scenario)


async def _note_if_late(gateway, version, late):
    if not await _is_reached(gateway, version, IN_FORCE_WITHIN_S):
        late.append(version)


def test_gateway_without_the_store_reads_a_large_document_from_its_peers():
    async def scenario():
        config = standin.configuration(1)
        async with _fleet(config, gateways=3) as (fleet, link):
            gateway = await _start_gateway_without_store(fleet, link)
            assert await _is_reached(gateway, 1, IN_FORCE_WITHIN_S)
            await asyncio.sleep(1.0)
            fleet.store.put("op/config", _large_configuration(2))
            assert await _is_reached(gateway, 2, IN_FORCE_WITHIN_S)

    standin.run_scenario(scenario)


def test_large_document_is_read_from_one_peer_at_a_time():
    async def scenario():
        config = standin.configuration(1)
        async with _fleet(config, gateways=3) as (fleet, link):
            gateway = await _start_gateway_without_store(fleet, link)
            assert await _is_reached(gateway, 1, IN_FORCE_WITHIN_S)
            await asyncio.sleep(1.0)
            received = link.received_bytes
            document = _large_configuration(2)
            fleet.store.put("op/config", document)
            await _is_reached(gateway, 2, IN_FORCE_WITHIN_S)
            size = len(fleet.gateways[0].local_state.document)
            assert link.received_bytes - received < 1.5 * size

    standin.run_scenario(scenario)


async def _start_gateway_without_store(fleet, link):
    """Starts a gateway that has its peers only, through the link."""
    for gateway in fleet.gateways:
        await _is_reached(gateway, 1, IN_FORCE_WITHIN_S)
    forwarded = {}
    for number, _ in enumerate(fleet.gateways):
        address = fleet.address("control_address", number)
        forwarded[address] = vms.parse_address(await link.forward(str(address)))
    gateway = fleet.start_gateway(platform_address=standin.free_address())
    connect = gateway._client._connect
    gateway._client._connect = lambda address: connect(
        forwarded.get(address, address)
    )
    return gateway


def test_change_after_a_silence_of_the_store_is_noticed():
    async def scenario():
        async with _fleet(standin.configuration(1)) as (fleet, link):
            gateway = await _start_gateway(fleet, link)
            assert await _is_reached(gateway, 1, IN_FORCE_WITHIN_S)
            await asyncio.sleep(0.3)
            link.is_silent = True
            link.lose_answers()
            await asyncio.sleep(3.0)
            link.is_silent = False
            await asyncio.sleep(CONTACT_S)
            fleet.store.put("op/config", standin.configuration(2))
            assert await _is_reached(
                gateway, 2, IN_FORCE_WITHIN_ON_A_FAST_LINK_S
            )

    standin.run_scenario(scenario)


@pytest.mark.parametrize("lost_polls", [b"", b"op/config"])
def test_change_of_which_the_answer_was_lost_is_noticed(lost_polls):
    async def scenario():
        async with _fleet(standin.configuration(1)) as (fleet, link):
            gateway = await _start_gateway(fleet, link)
            assert await _is_reached(gateway, 1, IN_FORCE_WITHIN_S)
            await asyncio.sleep(0.3)
            link.lose_answers(lost_polls)
            # The poll for entries has ended and the next one been sent.
            await asyncio.sleep(CONTACT_S)
            fleet.store.put("op/config", standin.configuration(2))
            assert await _is_reached(
                gateway, 2, IN_FORCE_WITHIN_ON_A_FAST_LINK_S
            )

    standin.run_scenario(scenario)


def test_changes_of_entries_alone_repeat_no_poll_for_the_configuration():
    async def scenario():
        async with _fleet(standin.configuration(1)) as (fleet, link):
            gateway = await _start_gateway(fleet, link)
            assert await _is_reached(gateway, 1, IN_FORCE_WITHIN_S)
            await asyncio.sleep(0.3)
            polls = link.count_requests(b"op/config")
            for number in range(20):
                entry = fleet.runners["p1"].entry(seq=number + 2)
                fleet.store.put("servers/p1", entry)
                await asyncio.sleep(0.1)
            assert link.count_requests(b"op/config") == polls

    standin.run_scenario(scenario)
