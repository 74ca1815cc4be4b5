import asyncio

from nutmegpost_core import dispatch
from nutmegpost_router.gateway import loads

WAIT_S = 20
KEY = "k" * 16


class _Pair:
    """Two gateways that tell each other their loads."""

    def __init__(self, host, endpoints=()):
        self.endpoints = list(endpoints)
        self.hosts = [f"{host}.1", f"{host}.2"]
        self.loads = [loads.Loads(), loads.Loads()]
        self.told = []
        self.sharing = [self._sharing(number) for number in (0, 1)]

    def _sharing(self, number):
        return loads.LoadSharing(
            f"gateway-{number}",
            f"{self.hosts[number]}:20001",
            KEY,
            self.loads[number],
            lambda: [self.hosts[1 - number]],
            lambda: self.endpoints,
            self.told.append,
        )


def _run(scenario):
    async def main():
        async with asyncio.timeout(WAIT_S):
            await scenario()

    asyncio.run(main())


async def _until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def test_a_peer_whose_reports_stop_is_silent_until_it_is_heard_again():
    async def scenario():
        pair = _Pair("127.61.7")
        first, second = pair.sharing
        tasks = [asyncio.create_task(item.run()) for item in pair.sharing]
        await _until(lambda: first._heard)
        assert first.silent() == set()
        tasks[1].cancel()
        await _until(lambda: first.silent() == {"gateway-1"})
        tasks.append(asyncio.create_task(second.run()))
        await _until(lambda: first.silent() == set())
        for task in tasks:
            task.cancel()

    _run(scenario)


def test_nobody_is_silent_in_a_fleet_whose_reports_come_seldom():
    async def scenario():
        pair = _Pair("127.61.8")
        first = pair.sharing[0]
        first._heard["gateway-1"] = 0.0
        first._report_interval_s = 5.0
        assert first.silent() == set()

    _run(scenario)


def test_the_load_of_an_endpoint_is_the_sum_over_all_gateways():
    found = loads.Loads()
    found.add("e-1", 2, 500)
    found.reported("peer", {"e-1": dispatch.Load(3, 100)}, 10.0)
    assert found.total("e-1") == dispatch.Load(5, 600)
    found.add("e-1", -2, -500)
    assert found.total("e-1") == dispatch.Load(3, 100)
    found.expire(10.0 + loads.REPORT_LIFETIME_S + 0.1)
    assert found.total("e-1") == dispatch.Load()


def test_what_an_endpoint_tells_counts_where_reports_are_behind():
    found = loads.Loads()
    found.add("e-1", 1, 0)
    found.observed("e-1", 6, 10.0)
    assert found.total("e-1").running == 6
    found.handed_on("e-1", 9, 9.0)
    assert found.total("e-1").running == 6
    found.handed_on("e-1", 9, 11.0)
    assert found.total("e-1").running == 9
    found.expire(11.0 + loads.OBSERVATION_LIFETIME_S + 0.1)
    assert found.total("e-1").running == 1
