import asyncio

import cbor2

from nutmegpost_core import endpoint_speeds
from nutmegpost_core import load_table
from nutmegpost_router.gateway import load_queries
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


async def _exchange_entries(pair, entries):
    """Sends entries from the first gateway to the second one."""
    received = []
    second = pair.exchanges[1]
    second.on_entries = lambda name, entries: received.append(entries)
    tasks = [asyncio.create_task(exchange.run()) for exchange in pair.exchanges]
    await _until(lambda: second._last_received)
    pair.exchanges[0].send_entries(pair.hosts[1], entries)
    await _until(lambda: received)
    for task in tasks:
        task.cancel()
    return received[0]


def test_speeds_go_along_with_queries_and_answers():
    async def scenario():
        pair = _Pair("127.61.14", ["e-1", "e-2"])
        first, second = pair.exchanges
        told = []
        second.on_speed = lambda *speed: told.append(speed)
        first.speed_of = lambda endpoint, now: (
            endpoint_speeds.Figure(250, now - 0.2)
            if endpoint == "e-1"
            else None
        )
        kind = load_queries.EntryKind.ANSWER
        entries = [load_queries.Entry(kind, name, 1) for name in pair.endpoints]
        assert await _exchange_entries(pair, entries) == entries
        ((endpoint, figure),) = told
        assert (endpoint, figure.percent) == ("e-1", 250)
        age_s = asyncio.get_running_loop().time() - figure.at
        assert 0.19 < age_s < 0.3

    _run(scenario)


# Guards against a field that makes a build without it refuse the datagram: it
# unpacks three values of each entry and observation, and skips unknown digests.
def test_datagram_with_speeds_has_the_form_that_older_builds_read():
    pair = _Pair("127.61.15", ["e-1"])
    exchange = pair.exchanges[0]
    exchange.speed_of = lambda endpoint, now: endpoint_speeds.Figure(250, now)
    speeds = exchange._encoded_speeds(["e-1"], 0.0)
    body = exchange._datagram([None, [], [], [], speeds])[: -loads._MAC_BYTES]
    name, *_, observations = cbor2.loads(body)
    assert name == "gateway-0"
    ((digest, percent, age_ms),) = observations
    assert digest not in {loads.endpoint_digest("e-1")}
    assert (percent, age_ms) == (250, 0)
