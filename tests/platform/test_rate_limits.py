"""Endpoints that name the requests a second they take from all gateways."""

import asyncio

import standin

LIMIT_PER_S = 2.0
# The requirements allow one and a half times the limit and 5 requests more.
WINDOW_S = 4.0
RECEIVED_MAX = 1.5 * LIMIT_PER_S * WINDOW_S + 5


def _fleet(names, gateways):
    runners = [standin.Runner(name, "plain", 8) for name in names]
    return standin.Fleet(runners, gateways=gateways)


async def _send_for(fleet, seconds, name, interval_s=0.03):
    """Sends requests to all gateways in turn and returns the responses."""
    responses = []
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while loop.time() < until:
        identity = f"{name}-{len(responses)}"
        responses.append(
            await fleet.send_request(
                "/look/1",
                identity,
                gateway_index=len(responses) % len(fleet.gateways),
            )
        )
        await asyncio.sleep(interval_s)
    return responses


def test_all_gateways_together_keep_the_limit_that_an_endpoint_named():
    async def scenario():
        async with _fleet(["e1", "e2", "e3"], 3) as fleet:
            await fleet.wait_until_all_met()
            limited = fleet.runners["e1"]
            limited.rate_limit = LIMIT_PER_S
            await _send_for(fleet, 0.5, "first")
            received = len(limited.received)
            responses = await _send_for(fleet, WINDOW_S, "later")
            assert len(limited.received) - received <= RECEIVED_MAX
            assert all(response.status == 200 for response in responses)

    standin.run_scenario(scenario)


def test_endpoint_that_names_no_limit_any_more_is_used_again():
    async def scenario():
        async with _fleet(["e1", "e2"], 2) as fleet:
            await fleet.wait_until_all_met()
            limited = fleet.runners["e1"]
            limited.rate_limit = LIMIT_PER_S
            await _send_for(fleet, 1.0, "limited")
            limited.rate_limit = None
            await _send_for(fleet, 2.0, "healing")
            received = len(limited.received)
            responses = await _send_for(fleet, 1.0, "free")
            assert len(limited.received) - received > len(responses) / 2

    standin.run_scenario(scenario)


def test_requests_above_the_limits_of_all_endpoints_are_refused_as_not_run():
    async def scenario():
        async with _fleet(["e1", "e2"], 2) as fleet:
            await fleet.wait_until_all_met()
            for runner in fleet.runners.values():
                runner.rate_limit = LIMIT_PER_S
            await _send_for(fleet, 0.5, "first")
            received = {
                name: len(runner.received)
                for name, runner in fleet.runners.items()
            }
            responses = await _send_for(fleet, WINDOW_S, "later")
            for name, runner in fleet.runners.items():
                assert len(runner.received) - received[name] <= RECEIVED_MAX
            served = sum(response.status == 200 for response in responses)
            assert served >= 0.75 * 2 * LIMIT_PER_S * WINDOW_S
            refused = [r for r in responses if r.status == 503]
            assert len(refused) + served == len(responses)
            assert all(float(r.headers["retry-after"]) > 0 for r in refused)

    standin.run_scenario(scenario)
