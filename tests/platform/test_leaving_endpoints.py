"""Endpoints that say in their answers that they leave."""

import asyncio

import pytest
import standin

from nutmegpost_router import http_server


def _runners(*names, service="plain"):
    return [standin.Runner(name, service, 8) for name in names]


async def _send(fleet, name, count=12, gateway_index=0, path="/look/1"):
    return [
        await fleet.send_request(
            path, f"{name}-{number}", gateway_index=gateway_index
        )
        for number in range(count)
    ]


async def _say_leaving(fleet, name):
    """Lets an endpoint say that it leaves in its next answer."""
    runner = fleet.runners[name]
    runner.is_leaving = True
    received = len(runner.received)
    await _send(fleet, "told", 4)
    assert len(runner.received) > received
    runner.received.clear()


@pytest.mark.parametrize("is_store_down", [False, True])
def test_endpoint_that_says_it_leaves_gets_no_more_requests(is_store_down):
    async def scenario():
        async with standin.Fleet(_runners("p1", "p2")) as fleet:
            fleet.store.is_down = is_store_down
            await _say_leaving(fleet, "p1")
            for response in await _send(fleet, "id"):
                assert response.status == 200
            for response in await _send(fleet, "once", path="/issue/1"):
                assert response.status == 200
            assert fleet.runners["p1"].received == []

    standin.run_scenario(scenario)


def test_entry_that_is_still_ready_does_not_bring_it_back():
    async def scenario():
        async with standin.Fleet(_runners("p1", "p2")) as fleet:
            await _say_leaving(fleet, "p1")
            entry = fleet.runners["p1"].entry(seq=9, slots=9)
            fleet.store.put("servers/p1", entry)
            await asyncio.sleep(1.5)
            await _send(fleet, "id")
            assert fleet.runners["p1"].received == []

    standin.run_scenario(scenario)


@pytest.mark.parametrize("behavior", [standin.reject, standin.fail_with(500)])
def test_refusal_or_failure_can_say_it_too(behavior):
    async def scenario():
        async with standin.Fleet(_runners("p1", "p2")) as fleet:
            fleet.runners["p1"].behaviors = [behavior]
            await _say_leaving(fleet, "p1")
            await _send(fleet, "id")
            assert fleet.runners["p1"].received == []

    standin.run_scenario(scenario)


async def _misdirect_as_leaving(runner, exchange):
    headers = [
        ("Instance-Id", "another"),
        ("Server-Leaving", "1"),
        standin.attempt_field(exchange.request),
    ]
    exchange.send(http_server.Response(421, headers, b""))


def test_another_instance_at_the_address_does_not_say_it():
    async def scenario():
        async with standin.Fleet(_runners("p1", "p2")) as fleet:
            fleet.runners["p1"].behaviors = [_misdirect_as_leaving]
            await _send(fleet, "told", 1)
            received = len(fleet.runners["p1"].received)
            await _send(fleet, "id")
            assert len(fleet.runners["p1"].received) > received

    standin.run_scenario(scenario)


def test_stream_goes_on_elsewhere_when_its_endpoint_left():
    async def scenario():
        runners = _runners("e1", "e2", service="engines")
        async with standin.Fleet(runners) as fleet:
            for runner in runners:
                runner.is_leaving = True
                runner.behaviors = [standin.cut_stream_after(2)]
            with pytest.raises(standin.http_client.ExchangeError):
                await fleet.send_stream_request("/draft/1", "id-1")
            for runner in runners:
                assert len(runner.received) == 1

    standin.run_scenario(scenario)


def test_requests_are_refused_at_once_when_all_endpoints_leave():
    async def scenario():
        async with standin.Fleet(_runners("p1", "p2")) as fleet:
            for runner in fleet.runners.values():
                runner.is_leaving = True
            await _send(fleet, "told", 2)
            for runner in fleet.runners.values():
                runner.received.clear()
            for response in await _send(fleet, "id", 4):
                assert response.status == 503
                assert float(response.headers["retry-after"]) > 0
            for runner in fleet.runners.values():
                assert runner.received == []

    standin.run_scenario(scenario)


def test_peers_are_told_that_an_endpoint_leaves():
    async def scenario():
        async with standin.Fleet(_runners("p1", "p2"), gateways=3) as fleet:
            await fleet.wait_until_all_met()
            await _say_leaving(fleet, "p1")
            await asyncio.sleep(1.5)
            for gateway_index in (1, 2):
                await _send(fleet, f"id-{gateway_index}", 4, gateway_index)
            assert fleet.runners["p1"].received == []

    standin.run_scenario(scenario)


def test_instance_that_starts_again_under_its_name_is_used():
    async def scenario():
        async with standin.Fleet(_runners("p1", "p2")) as fleet:
            await _say_leaving(fleet, "p1")
            fleet.runners["p1"].is_leaving = False
            entry = fleet.runners["p1"].entry(born=2, seq=1)
            fleet.store.put("servers/p1", entry)
            await asyncio.sleep(1.5)
            await _send(fleet, "id")
            assert fleet.runners["p1"].received

    standin.run_scenario(scenario)
