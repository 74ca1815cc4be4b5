"""Simulates the gateways of a large fleet that share endpoints.

Each gateway sees only a small part of the requests. Some prompts are popular,
so that their endpoints get far more than the mean.
"""

import asyncio
import functools
import itertools
import random

import pytest

from nutmegpost_core import calls
from nutmegpost_core import catalog
from nutmegpost_core import roster
from nutmegpost_router.gateway import load_queries
from nutmegpost_router.gateway import loads
from nutmegpost_router.gateway import state
from nutmegpost_standins import virtualtime

LATENCY_S = 0.0014
LENGTH_S = 8.0
WINDOW_S = 5.0
ZONES = 5
SERVICE = "engines"
# The popularity of session n is n to the power of minus this.
SKEW = 0.7
# Requests that arrive at the same time.
CLUMP = 3
# The users' bound, and the share of requests that may exceed it.
MULTIPLE = 2.0
SLACK = 3
SHARE_MAX = 0.03
COUNT_MIN = 20
CONTROL_BYTES_MAX = (
    loads.BUDGET_BURST_BYTES + loads.BUDGET_BYTES_PER_S * LENGTH_S
)


def _route(name, target_s):
    return catalog.Route(
        name,
        "host",
        f"/{name}/",
        catalog.RequestKind.STREAM,
        (catalog.TrafficShare(SERVICE, 1.0),),
        12.0,
        target_s,
        1,
        3,
        True,
        True,
        0.8,
    )


# Route, requests per second for each endpoint, sessions, tokens of the parts of
# a prompt, and time from the first event to the last one.
TRAFFIC = (
    (_route("long", 2.5), 1.3, 300, (528, 9_984), 1_300, 1.3),
    (_route("short", 0.5), 2.1, 710, (400, 299), 130, 0.9),
    (_route("tag", 0.6), 2.2, 711, (525, 1_516), 360, 0.1),
)
CATALOG = catalog.Catalog(
    1,
    [entry[0] for entry in TRAFFIC],
    [catalog.Service(SERVICE, 1_400, 32, 309_027, 100_000.0)],
    None,
    catalog.Limits(),
)
CONFIG = {
    "entry_grace_s": 2.0,
    "first_start": True,
    "retry_ratio": 0.2,
    "retry_extra": 50,
    "retry_window_s": 10.0,
    "load_multiple": MULTIPLE,
    "peer_key": "k" * 16,
    "control_address": "10.0.0.1:20002",
    "seeds": [],
}
PREFILL_S_PER_TOKEN = 1 / 48_200
FIRST_EVENT_S = 0.02


@functools.cache
def _weights(sessions):
    return list(itertools.accumulate((n + 1) ** -SKEW for n in range(sessions)))


class _Endpoint:
    """Prefills one prompt at a time and keeps all that it prefilled."""

    def __init__(self):
        self.running = 0
        self._cache = set()
        self._free_at = 0.0
        # Total time of the prefills so far, in which no answer goes on.
        self.prefill_s = 0.0

    def first_event_at(self, hints, now):
        """Queues the prefill of a prompt; returns when it has ended."""
        cached = sum(
            part.tokens for part in hints.parts if part.identity in self._cache
        )
        self._cache.update(part.identity for part in hints.parts[:-1])
        begin = max(now, self._free_at)
        prefill_s = (hints.prompt_tokens - cached) * PREFILL_S_PER_TOKEN
        self.prefill_s += prefill_s
        self._free_at = begin + prefill_s
        return self._free_at + FIRST_EVENT_S


class _Endpoints:
    """The endpoints of the service, and the arrivals over the bound."""

    def __init__(self, names):
        self.by_name = {name: _Endpoint() for name in names}
        self.arrivals = []

    def start(self, name, now):
        running = [endpoint.running for endpoint in self.by_name.values()]
        bound = MULTIPLE * sum(running) / len(running) + SLACK
        endpoint = self.by_name[name]
        self.arrivals.append((now, endpoint.running > bound))
        endpoint.running += 1
        return endpoint

    def worst_window(self):
        """Returns the arrivals over the bound in a window, and their share.

        The window is that with the highest share.
        """
        worst = (0.0, 0)
        start = 0.0
        while start <= LENGTH_S - WINDOW_S:
            over = [
                is_over
                for at, is_over in self.arrivals
                if start <= at < start + WINDOW_S
            ]
            worst = max(worst, (sum(over) / len(over), sum(over)))
            start += 0.5
        share, count = worst
        return count, share


class _Gateway:
    def __init__(self, fleet, number, key):
        zone = f"zone-{number % ZONES}"
        host = f"10.{number // 250}.{number % 250}.1"
        self.host = host
        self.state = state.State({**CONFIG, "name": host, "zone": zone}, 0.0)
        self.state.catalog = CATALOG
        self.state.fleet_size = fleet.gateway_count
        self.state.roster.replace(fleet.entries, roster.Revision(1, 1), now=0.0)
        self.state.rng = random.Random(f"{key}/{number}")
        self.exchange = loads.LoadExchange(
            host,
            f"{host}:20001",
            CONFIG["peer_key"],
            self.state.loads,
            lambda: [peer.host for peer in fleet.gateways if peer is not self],
            self.state.roster.names_with_cache,
            self.state.apply_peer_update,
        )
        self.state.on_placement = self.exchange.queue_placement
        self.queries = load_queries.LoadQueries(
            host,
            self.state.loads,
            self.exchange.send_entries,
            lambda: self.exchange.is_sampling,
        )
        self.exchange.on_entries = self.queries.receive


class _Fleet:
    def __init__(self, gateway_count, endpoint_count, seed):
        self.gateway_count = gateway_count
        self.random = random.Random(seed)
        names = [f"e-{number}" for number in range(endpoint_count)]
        self.entries = [
            roster.Endpoint(
                name,
                SERVICE,
                "10.9.0.1:1",
                f"zone-{number % ZONES}",
                32,
                False,
                0.0,
                roster.Revision(1, 1),
            )
            for number, name in enumerate(names)
        ]
        self.endpoints = _Endpoints(names)
        self.gateways = []
        for number in range(gateway_count):
            self.gateways.append(_Gateway(self, number, seed))
        self.tasks = set()

    async def run(self, loop):
        """Plays the traffic; returns the most bytes that a gateway sent."""
        hosts = {gateway.host: gateway.host for gateway in self.gateways}
        tasks = []
        for gateway in self.gateways:
            gateway.queries.set_hosts(hosts)
            tasks.append(asyncio.create_task(gateway.exchange.run()))
            tasks.append(asyncio.create_task(gateway.queries.run()))
        arrivals = asyncio.create_task(self._arrivals())
        await asyncio.sleep(LENGTH_S)
        for task in (*tasks, arrivals, *self.tasks):
            task.cancel()
        return max(loop.sent_bytes.values())

    async def _arrivals(self):
        numbers = itertools.count()
        per_s = [entry[1] * len(self.entries) for entry in TRAFFIC]
        while True:
            await asyncio.sleep(self.random.expovariate(sum(per_s) / CLUMP))
            for entry in self.random.choices(TRAFFIC, per_s, k=CLUMP):
                task = asyncio.create_task(self._request(next(numbers), *entry))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    def _call(self, number, route, sessions, part_tokens, own_tokens):
        """Returns a request whose popularity falls with the session."""
        weights = _weights(sessions)
        session = self.random.choices(range(sessions), cum_weights=weights)[0]
        # All prompts of a route have the first part in common.
        parts = [
            calls.PromptPart(
                f"{route.name}-{depth and session}-{depth}", tokens
            )
            for depth, tokens in enumerate(part_tokens)
        ]
        parts.append(calls.PromptPart(f"own-{number}", own_tokens))
        tokens = sum(part.tokens for part in parts)
        hints = calls.PromptHints("m", tuple(parts), tokens, 300)
        now = asyncio.get_running_loop().time()
        return calls.Call(
            f"id-{number}", route, SERVICE, "", 1, now + 10, now, "", hints
        )

    async def _request(
        self, number, route, _, sessions, part_tokens, own_tokens, answer_s
    ):
        call = self._call(number, route, sessions, part_tokens, own_tokens)
        gateway = self.random.choice(self.gateways)
        local_state = gateway.state
        choice = await self._choose(gateway, call)
        if choice is None:
            return
        name = choice.endpoint.name
        uncached = max(0, call.hints.prompt_tokens - choice.reusable_tokens)
        local_state.record_dispatch(call, choice)
        local_state.loads.add(name, 1, uncached)
        await asyncio.sleep(LATENCY_S)
        loop = asyncio.get_running_loop()
        endpoint = self.endpoints.start(name, loop.time())
        first_event_at = endpoint.first_event_at(call.hints, loop.time())
        await asyncio.sleep(first_event_at - loop.time())
        loop.call_later(
            LATENCY_S,
            self._first_event,
            local_state,
            name,
            endpoint.running,
            uncached,
        )
        until_s = endpoint.prefill_s + answer_s
        await asyncio.sleep(answer_s)
        await asyncio.sleep(max(0.0, endpoint.prefill_s + answer_s - until_s))
        endpoint.running -= 1
        await asyncio.sleep(LATENCY_S)
        local_state.loads.add(name, -1, 0)

    async def _choose(self, gateway, call):
        await gateway.queries.learn(lambda: gateway.state.choose(call, ()))
        return gateway.state.choose(call, ())

    @staticmethod
    def _first_event(local_state, name, reported, uncached):
        now = asyncio.get_running_loop().time()
        local_state.loads.record_observation(name, reported, now)
        local_state.loads.add(name, 0, -uncached)


@functools.cache
def _play(gateway_count, endpoint_count, seed):
    """Returns the worst window and the control bytes of a gateway."""
    fleet = _Fleet(gateway_count, endpoint_count, seed)
    sent = []

    async def scenario(loop):
        sent.append(await fleet.run(loop))

    virtualtime.run(scenario, LATENCY_S)
    return *fleet.endpoints.worst_window(), sent[0]


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("gateways", "endpoints"), [(4, 9), (27, 59), (77, 59)]
)
def test_endpoints_are_not_loaded_over_the_bound_by_gateways_that_see_little(
    gateways, endpoints, seed
):
    over, share, sent_bytes = _play(gateways, endpoints, seed)
    assert over < COUNT_MIN or share <= SHARE_MAX
    assert sent_bytes <= CONTROL_BYTES_MAX
