"""Endpoints that are cold and take few requests a second from all gateways."""

import asyncio
import collections

import pytest
import standin

COLD_PER_S = 4.0
OVERAGE = 1.5
SLACK = 5.0
WINDOW_MAX = COLD_PER_S * OVERAGE + SLACK
SPAN_S = 4.0


class _ColdRunner(standin.Runner):
    """An endpoint that can say in its answers that it is cold."""

    cold_text = None

    def response_fields(self, request):
        fields = super().response_fields(request)
        if self.cold_text is not None:
            fields.append(("Cold-Ms", self.cold_text))
        return fields


async def _respond_slowly(runner, exchange):
    await asyncio.sleep(0.1)
    await standin.respond(runner, exchange)


def _fleet(names, gateways, **overrides):
    config = standin.configuration(1)
    # So long a start that the cost of a cold endpoint spares none.
    config["services"][0] |= {"coldStartS": 6000, "coldPerS": COLD_PER_S}
    overrides = {"cold_overage": OVERAGE} | (overrides or {"cold_slack": SLACK})
    runners = [_ColdRunner(name, "plain", 8) for name in names]
    return standin.Fleet(runners, gateways, config, **overrides)


async def _make_cold(fleet, name):
    """Lets an entry say that an endpoint is cold."""
    entry = fleet.runners[name].entry(coldRemainingMs=60_000, seq=2)
    fleet.store.put(f"servers/{name}", entry)
    for gateway in fleet.gateways:
        entries = gateway.local_state.roster.endpoints
        await fleet.wait_until(
            lambda entries=entries: entries[name].warming_until
        )


async def _flood(fleet, name, seconds=SPAN_S, callers=6):
    """Sends requests to all gateways; returns the number of each status."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    statuses = collections.Counter()

    async def call(caller):
        number = 0
        while loop.time() < until:
            number += 1
            response = await fleet.send_request(
                "/look/1",
                f"{name}-{caller}-{number}",
                gateway_index=(caller + number) % len(fleet.gateways),
            )
            statuses[response.status] += 1
            await asyncio.sleep(0.02)

    await asyncio.gather(*(call(caller) for caller in range(callers)))
    return statuses


def _most_in_second(runner, since=0.0):
    times = [at for at, _ in runner.arrivals if at >= since]
    return max(
        (sum(first <= at < first + 1.0 for at in times) for first in times),
        default=0,
    )


def test_cold_endpoints_get_no_more_than_their_bound_from_all_gateways():
    async def scenario():
        async with _fleet(["e1", "e2"], 3) as fleet:
            await fleet.wait_until_all_met()
            for name in fleet.runners:
                await _make_cold(fleet, name)
            since = asyncio.get_running_loop().time()
            statuses = await _flood(fleet, "cold")
            assert set(statuses) == {200, 503}
            assert statuses[200] >= 0.6 * 2 * COLD_PER_S * SPAN_S
            for runner in fleet.runners.values():
                assert _most_in_second(runner, since) <= WINDOW_MAX

    standin.run_scenario(scenario)


def test_endpoint_that_says_it_is_cold_is_limited_at_all_gateways():
    async def scenario():
        async with _fleet(["e1"], 3) as fleet:
            await fleet.wait_until_all_met()
            runner = fleet.runners["e1"]
            runner.cold_text = "60000"
            await fleet.send_request("/look/1", "first")
            for gateway in fleet.gateways:
                limits = gateway.local_state.cold
                await fleet.wait_until(
                    lambda limits=limits: "e1" in limits.names
                )
            since = asyncio.get_running_loop().time()
            await _flood(fleet, "later")
            assert 0 < _most_in_second(runner, since) <= WINDOW_MAX

    standin.run_scenario(scenario)


@pytest.mark.parametrize("text", ["", "x", "-5", "1e9", "99999999999", "0"])
def test_odd_or_no_time_in_an_answer_limits_nothing(text):
    async def scenario():
        async with _fleet(["e1"], 1) as fleet:
            fleet.runners["e1"].cold_text = text
            statuses = await _flood(fleet, "id", 0.5)
            assert set(statuses) == {200}

    standin.run_scenario(scenario)


def test_gateway_without_peers_spares_a_cold_endpoint_while_another_is_warm():
    async def scenario():
        async with _fleet(["e1", "e2"], 1) as fleet:
            await _make_cold(fleet, "e1")
            fleet.runners["e2"].behaviors = [_respond_slowly] * 500
            since = asyncio.get_running_loop().time()
            statuses = await _flood(fleet, "id", 2.5)
            assert set(statuses) == {200}
            assert _most_in_second(fleet.runners["e1"], since) == 0

    standin.run_scenario(scenario)


def test_without_the_settings_cold_endpoints_are_not_limited():
    async def scenario():
        async with _fleet(["e1"], 2, load_multiple=2) as fleet:
            await fleet.wait_until_all_met()
            await _make_cold(fleet, "e1")
            assert set(await _flood(fleet, "id", 1.0)) == {200}

    standin.run_scenario(scenario)
