import asyncio

from nutmegpost_core import dispatch
from nutmegpost_core import load_table
from nutmegpost_core import ownership
from nutmegpost_core import roster
from nutmegpost_router.gateway import load_queries
from nutmegpost_standins import virtualtime

LATENCY_S = 0.002
ENDPOINT = roster.Endpoint(
    "e-1", "engines", "10.9.0.1:1", "z", 8, False, 0.0, roster.Revision()
)
BOUND = 9
CHOICE = dispatch.Choice(ENDPOINT, 0, 0, None, 0.0, BOUND, dispatch.Load(8))


class _Fleet:
    """Gateways that exchange entries; those in `silent` receive none."""

    def __init__(self, count=4, is_active=True):
        names = [f"g-{number}" for number in range(count)]
        self.tracker = ownership.owner("e-1", names)
        self.others = [name for name in names if name != self.tracker]
        self.silent = set()
        self.sent = []
        self.tables = {name: load_table.LoadTable() for name in names}
        self.queries = {}
        for name in names:
            self.queries[name] = load_queries.LoadQueries(
                name, self.tables[name], self._sender(name), lambda: is_active
            )
            self.queries[name].set_hosts({each: each for each in names})

    def _sender(self, name):
        def send(host, entries):
            self.sent.append((name, host, entries))
            if host not in self.silent:
                asyncio.get_running_loop().call_later(
                    LATENCY_S, self.queries[host].receive, name, entries
                )
            return True

        return send

    def start(self):
        return [
            asyncio.create_task(queries.run())
            for queries in self.queries.values()
        ]

    async def learn(self, name, choice=CHOICE):
        """Returns the time that the gateway waited."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        await self.queries[name].learn(lambda: choice)
        return loop.time() - begin

    def load(self, name):
        return self.tables[name].total("e-1").running


def _run(scenario):
    virtualtime.run(lambda _: scenario(), LATENCY_S)


def test_requests_that_other_gateways_sent_just_now_are_known():
    async def scenario():
        fleet = _Fleet()
        for name in fleet.others:
            await fleet.learn(name)
            fleet.tables[name].add("e-1", 1, 0)
        assert [fleet.load(name) for name in fleet.others] == [1, 2, 3]
        assert fleet.load(fleet.tracker) == 3

    _run(scenario)


def test_of_two_gateways_that_ask_at_once_one_learns_of_the_other():
    async def scenario():
        fleet = _Fleet()
        first, second, _ = fleet.others
        await asyncio.gather(fleet.learn(first), fleet.learn(second))
        assert sorted([fleet.load(first), fleet.load(second)]) == [0, 1]

    _run(scenario)


def test_a_tracker_that_does_not_answer_delays_one_request_a_second():
    async def scenario():
        fleet = _Fleet()
        name = fleet.others[0]
        fleet.silent.add(fleet.tracker)
        fleet.tables[name].record_observation("e-1", 7, 0.0)
        await asyncio.sleep(0.1)
        assert 0.02 < await fleet.learn(name) < 0.05
        assert fleet.load(name) == 7
        assert await fleet.learn(name) == 0
        await asyncio.sleep(1.1)
        fleet.silent.clear()
        assert 0 < await fleet.learn(name) < 0.02

    _run(scenario)


def test_requests_that_ended_do_not_count_any_more():
    async def scenario():
        fleet = _Fleet()
        first, second, _ = fleet.others
        tasks = fleet.start()
        await fleet.learn(first)
        fleet.tables[first].add("e-1", 1, 0)
        await asyncio.sleep(5)
        await fleet.learn(second)
        assert fleet.load(second) == 1
        fleet.tables[first].add("e-1", -1, 0)
        await asyncio.sleep(0.5)
        await fleet.learn(second)
        assert fleet.load(second) == 0
        for task in tasks:
            task.cancel()

    _run(scenario)


def test_a_request_that_was_not_sent_after_all_does_not_count():
    async def scenario():
        fleet = _Fleet()
        first, second, _ = fleet.others
        tasks = fleet.start()
        await fleet.learn(first)
        await asyncio.sleep(0.5)
        await fleet.learn(second)
        assert fleet.load(second) == 0
        for task in tasks:
            task.cancel()

    _run(scenario)


def test_small_fleets_ask_nothing():
    async def scenario():
        fleet = _Fleet(is_active=False)
        assert await fleet.learn(fleet.others[0]) == 0
        assert fleet.sent == []

    _run(scenario)


def test_a_load_that_was_low_a_moment_ago_is_not_asked_for_again():
    async def scenario():
        fleet = _Fleet()
        name = fleet.others[0]
        low = CHOICE._replace(load=dispatch.Load(2))
        await fleet.learn(name)
        await asyncio.sleep(0.1)
        assert await fleet.learn(name, low) == 0
        assert await fleet.learn(name, CHOICE) > 0
        await asyncio.sleep(1)
        assert await fleet.learn(name, low) > 0

    _run(scenario)


def test_nothing_is_kept_of_endpoints_that_are_asked_for_no_more():
    async def scenario():
        fleet = _Fleet()
        name = fleet.others[0]
        await asyncio.gather(fleet.learn(name), fleet.learn(name))
        fleet.silent.add(fleet.tracker)
        await asyncio.sleep(1)
        await fleet.learn(name)
        queries = fleet.queries[name]
        assert not queries._waiters
        assert not queries._intended

    _run(scenario)
