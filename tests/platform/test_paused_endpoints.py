"""Endpoints that refuse a request and ask for a pause."""

import asyncio

import pytest
import standin

# Requests that may reach an endpoint from half a second after it asked.
RECEIVED_MAX = 2


def _runners(*names):
    return [standin.Runner(name, "plain", 8) for name in names]


async def _send_for(fleet, seconds, name, gateway_index=0):
    responses = []
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while loop.time() < until:
        responses.append(
            await fleet.send_request(
                "/look/1",
                f"{name}-{len(responses)}",
                gateway_index=gateway_index,
            )
        )
        await asyncio.sleep(0.02)
    return responses


@pytest.mark.parametrize("seconds", [1.2, 2.0])
def test_endpoint_that_asked_for_a_pause_has_it_and_is_used_again(seconds):
    async def scenario():
        async with standin.Fleet(_runners("p1", "p2")) as fleet:
            paused = fleet.runners["p1"]
            paused.behaviors = [standin.refuse_for(str(seconds))] * 100
            loop = asyncio.get_running_loop()
            started = loop.time()
            await _send_for(fleet, 0.3, "first")
            paused.received.clear()
            left_s = started + seconds - loop.time() - 0.1
            for response in await _send_for(fleet, left_s, "later"):
                assert response.status == 200
            assert len(paused.received) <= RECEIVED_MAX
            paused.behaviors = []
            await asyncio.sleep(0.5)
            await _send_for(fleet, 0.3, "again")
            assert len(paused.received) > RECEIVED_MAX

    standin.run_scenario(scenario)


def test_pause_binds_only_the_gateway_that_was_asked():
    async def scenario():
        async with standin.Fleet(_runners("p1", "p2"), gateways=2) as fleet:
            await fleet.wait_until_all_met()
            paused = fleet.runners["p1"]
            paused.behaviors = [standin.refuse_for("30")]
            await fleet.send_request("/look/1", "id-1")
            paused.received.clear()
            await _send_for(fleet, 0.3, "other", gateway_index=1)
            assert paused.received

    standin.run_scenario(scenario)


def test_callers_are_told_when_the_first_pause_of_all_ends():
    async def scenario():
        async with standin.Fleet(_runners("p1", "p2")) as fleet:
            fleet.runners["p1"].behaviors = [standin.refuse_for("3")] * 20
            fleet.runners["p2"].behaviors = [standin.refuse_for("2")] * 20
            first = await fleet.send_request("/look/1", "id-0")
            assert first.status == 503
            waits = []
            for number in range(1, 9):
                response = await fleet.send_request("/look/1", f"id-{number}")
                assert response.status == 503
                waits.append(float(response.headers["retry-after"]))
            for runner in fleet.runners.values():
                assert len(runner.received) == 1
            # They return one after the other, none before the pause ends.
            assert min(waits) > 1.5
            assert max(waits) < 4.0
            assert len(set(waits)) == len(waits)

    standin.run_scenario(scenario)


@pytest.mark.parametrize(
    "text", ["Wed, 21 Oct 2026 07:28:00 GMT", "soon", "-5", "nan", "inf", ""]
)
def test_pause_that_cannot_be_read_is_ignored(text):
    async def scenario():
        async with standin.Fleet(_runners("p1")) as fleet:
            fleet.runners["p1"].behaviors = [standin.refuse_for(text)]
            await fleet.send_request("/look/1", "id-0")
            response = await fleet.send_request("/look/1", "id-1")
            assert response.status == 200

    standin.run_scenario(scenario)


def test_pause_without_end_ends_with_the_instance():
    async def scenario():
        async with standin.Fleet(_runners("p1")) as fleet:
            paused = fleet.runners["p1"]
            paused.behaviors = [standin.refuse_for("1000000000")]
            await fleet.send_request("/look/1", "id-0")
            response = await fleet.send_request("/look/1", "id-1")
            assert response.status == 503
            assert float(response.headers["retry-after"]) <= 30
            fleet.store.put("servers/p1", paused.entry(born=2, seq=1))
            await asyncio.sleep(1.5)
            response = await fleet.send_request("/look/1", "id-2")
            assert response.status == 200

    standin.run_scenario(scenario)
