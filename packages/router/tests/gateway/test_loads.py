import asyncio

from nutmegpost_core import load_table
from nutmegpost_router.gateway import loads

WAIT_S = 20
KEY = "k" * 16


class _Pair:
    """Two gateways that exchange their loads."""

    def __init__(self, host, endpoints=()):
        self.endpoints = list(endpoints)
        self.hosts = [f"{host}.1", f"{host}.2"]
        self.loads = [load_table.LoadTable(), load_table.LoadTable()]
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
