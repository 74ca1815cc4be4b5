"""The budget of repeats that all gateways share."""

import standin


async def _decisions(fleet, index=0):
    """Returns how often a gateway allowed and refused a repeat."""
    response = await fleet.client.request(
        fleet.address("metrics_address", index), "GET", "/metrics", {}
    )
    counts = {"allowed": 0, "refused": 0}
    for line in response.body.decode().splitlines():
        if line.startswith("nutmegpost_gateway_repeats_total{"):
            decision = line.partition('decision="')[2].partition('"')[0]
            counts[decision] += int(float(line.rpartition(" ")[2]))
    return counts["allowed"], counts["refused"]


def test_repeats_that_the_budget_allows_and_refuses_are_counted():
    async def scenario():
        runners = [standin.Runner(name, "plain") for name in "ab"]
        for runner in runners:
            runner.behaviors = [standin.reject] * 20
        async with standin.Fleet(
            runners, retry_extra=3, retry_ratio=0
        ) as fleet:
            for number in range(10):
                await fleet.send_request("/look/1", f"id-{number}")
            assert await _decisions(fleet) == (3, 7)

    standin.run_scenario(scenario)
