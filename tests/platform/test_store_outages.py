"""Entries that are removed, or expire, around an outage of the store."""

import asyncio

import standin

# Longer than any interval at which a gateway reads the store.
SETTLE_S = 1.5


def _fleet():
    return standin.Fleet([standin.Runner(n, "plain", 8) for n in ("p1", "p2")])


def _usable(fleet):
    usable = fleet.gateways[0].local_state.roster.usable("plain")
    return [endpoint.name for endpoint in usable]


async def _take_down(fleet):
    fleet.store.is_down = True
    fleet.store.cut_polls()
    await asyncio.sleep(SETTLE_S)


def test_endpoint_removed_long_after_an_outage_is_not_kept():
    async def scenario():
        async with _fleet() as fleet:
            await _take_down(fleet)
            fleet.store.is_down = False
            fleet.store.put("op/config", standin.configuration(2))
            await asyncio.sleep(2 * SETTLE_S)
            fleet.store.remove("servers/p1")
            await asyncio.sleep(SETTLE_S)
            assert _usable(fleet) == ["p2"]

    standin.run_scenario(scenario)


def test_entry_that_expired_in_an_outage_is_kept_though_history_is_lost():
    async def scenario():
        async with _fleet() as fleet:
            await _take_down(fleet)
            fleet.store.remove("servers/p1")
            fleet.store.forget_history()
            fleet.store.is_down = False
            await asyncio.sleep(SETTLE_S)
            assert _usable(fleet) == ["p1", "p2"]
            fleet.store.put("servers/p1", fleet.runners["p1"].entry(seq=9))
            await asyncio.sleep(2 * SETTLE_S)
            assert _usable(fleet) == ["p1", "p2"]

    standin.run_scenario(scenario)


def test_entry_that_stays_away_after_an_outage_is_gone():
    async def scenario():
        async with _fleet() as fleet:
            await _take_down(fleet)
            fleet.store.remove("servers/p1")
            fleet.store.is_down = False
            await asyncio.sleep(2 * SETTLE_S)
            assert _usable(fleet) == ["p2"]

    standin.run_scenario(scenario)
