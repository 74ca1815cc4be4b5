import asyncio

from nutmegpost_core import dispatch
from nutmegpost_router.gateway import loads

WAIT_S = 20
KEY = "k" * 16


class _Pair:
    """Two gateways that exchange their loads."""

    def __init__(self, host, endpoints=()):
        self.endpoints = list(endpoints)
        self.hosts = [f"{host}.1", f"{host}.2"]
        self.loads = [loads.LoadTable(), loads.LoadTable()]
        self.updates = []
        self.exchanges = [self._exchange(number) for number in (0, 1)]

    def _exchange(self, number):
        return loads.LoadExchange(
            f"gateway-{number}",
            f"{self.hosts[number]}:20001",
            KEY,
            self.loads[number],
            lambda: [self.hosts[1 - number]],
            lambda: self.endpoints,
            self.updates.append,
        )


def _run(scenario):
    async def main():
        async with asyncio.timeout(WAIT_S):
            await scenario()

    asyncio.run(main())


async def _until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def test_a_peer_is_silent_while_its_reports_do_not_arrive():
    async def scenario():
        pair = _Pair("127.61.7")
        first, second = pair.exchanges
        tasks = [
            asyncio.create_task(exchange.run()) for exchange in pair.exchanges
        ]
        await _until(lambda: first._last_received)
        assert first.silent_peers() == set()
        tasks[1].cancel()
        await _until(lambda: first.silent_peers() == {"gateway-1"})
        tasks.append(asyncio.create_task(second.run()))
        await _until(lambda: first.silent_peers() == set())
        for task in tasks:
            task.cancel()

    _run(scenario)


def test_no_peer_is_silent_when_reports_are_infrequent():
    async def scenario():
        pair = _Pair("127.61.8")
        first = pair.exchanges[0]
        first._last_received["gateway-1"] = 0.0
        first._report_interval_s = 5.0
        assert first.silent_peers() == set()

    _run(scenario)


def test_the_load_of_an_endpoint_is_the_sum_over_all_gateways():
    table = loads.LoadTable()
    table.add("e-1", 2, 500)
    table.record_report("peer", {"e-1": dispatch.Load(3, 100)}, 10.0)
    assert table.total("e-1") == dispatch.Load(5, 600)
    table.add("e-1", -2, -500)
    assert table.total("e-1") == dispatch.Load(3, 100)
    table.expire(10.0 + loads.REPORT_LIFETIME_S + 0.1)
    assert table.total("e-1") == dispatch.Load()


def test_a_report_replaces_the_previous_one_of_the_same_peer_only():
    table = loads.LoadTable()
    table.record_report("peer-1", {"e-1": dispatch.Load(3, 100)}, 10.0)
    table.record_report("peer-2", {"e-1": dispatch.Load(4, 0)}, 10.5)
    table.record_report("peer-1", {"e-2": dispatch.Load(1, 50)}, 11.0)
    assert table.total("e-1") == dispatch.Load(4, 0)
    assert table.total("e-2") == dispatch.Load(1, 50)
    table.expire(10.5 + loads.REPORT_LIFETIME_S + 0.1)
    assert table.total("e-1") == dispatch.Load()
    assert table.total("e-2") == dispatch.Load(1, 50)


def test_the_load_observed_at_an_endpoint_replaces_lower_reports():
    table = loads.LoadTable()
    table.add("e-1", 1, 0)
    table.record_observation("e-1", 6, 10.0)
    assert table.total("e-1").running == 6
    table.record_relayed_observation("e-1", 9, 9.0)
    assert table.total("e-1").running == 6
    table.record_relayed_observation("e-1", 9, 11.0)
    assert table.total("e-1").running == 9
    table.expire(11.0 + loads.OBSERVATION_LIFETIME_S + 0.1)
    assert table.total("e-1").running == 1


def test_an_unknown_load_is_told_from_one_that_was_reported_just_now():
    table = loads.LoadTable()
    table.add("e-1", 1, 0)
    assert table.endpoint_age_s("e-1", 10.0) is None
    table.record_observation("e-1", 6, 10.0)
    assert table.endpoint_age_s("e-1", 10.5) == 0.5
    table.record_report("peer", {}, 10.4)
    assert round(table.endpoint_age_s("e-1", 10.5), 3) == 0.1
    assert round(table.endpoint_age_s("e-2", 10.5), 3) == 0.1
