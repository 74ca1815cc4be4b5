"""The budget of repeats that all gateways share."""

import asyncio

import standin

from nutmegpost_core import membership


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


def _repeat_count(runners):
    """Returns the arrivals at runners beyond the first of each request."""
    received = [
        request.headers["attempt-id"]
        for runner in runners
        for request in runner.received
    ]
    return len(received) - len(set(received))


# Guards against a gateway that spends the fixed part again after a restart.
def test_a_restarted_gateway_does_not_spend_the_fixed_part_again():
    async def scenario():
        runners = [standin.Runner(name, "plain") for name in "ab"]
        for runner in runners:
            runner.behaviors = [standin.reject] * 100
        async with standin.Fleet(
            runners, retry_extra=4, retry_ratio=0
        ) as fleet:
            for number in range(10):
                await fleet.send_request("/look/1", f"before-{number}")
            assert _repeat_count(runners) == 4
            config = fleet.gateways[0].config
            await fleet.kill_gateway(0)
            restarted = fleet.start_gateway(**{**config, "first_start": False})
            await fleet.wait_until(lambda: restarted.ready)
            for number in range(10):
                await fleet.send_request(
                    "/look/1", f"after-{number}", gateway_index=1
                )
            assert _repeat_count(runners) == 4

    standin.run_scenario(scenario)


# Guards against two sides of a cut that each spend the whole fixed part.
def test_a_gateway_that_is_believed_to_be_dead_keeps_its_part_of_the_budget():
    async def scenario():
        runners = [standin.Runner("a", "plain")]
        async with standin.Fleet(runners, gateways=3) as fleet:
            await fleet.wait_until_all_met()
            first, second, third = fleet.gateways
            second.stop()
            members = first.members
            await fleet.wait_until(
                lambda: members.members["gateway-1"].state == "left"
            )
            dead = third.members.local._replace(
                state=membership.State.DEAD,
                revision=third.members.local.revision + 1,
            )
            members.add_members([dead], asyncio.get_running_loop().time())
            assert members.alive == ["gateway-0"]
            assert sorted(first._retry_sharer_names()) == [
                "gateway-0",
                "gateway-2",
            ]

    standin.run_scenario(scenario)


# Guards against a repeat through a peer that no gateway counts.
def test_a_rejected_request_is_not_sent_through_a_peer_without_budget():
    async def scenario():
        runners = [standin.Runner(name, "plain") for name in "ab"]
        async with standin.Fleet(
            runners, gateways=2, retry_extra=0, retry_ratio=0
        ) as fleet:
            await fleet.wait_until_all_met()

            async def reject_and_cut(runner, exchange):
                fleet.gateways[0]._links._is_isolated = True
                await standin.reject(runner, exchange)

            for runner in runners:
                runner.behaviors = [reject_and_cut]
            response = await fleet.send_request("/look/1", "id-1")
            assert response.status == 503
            assert _repeat_count(runners) == 0

    standin.run_scenario(scenario)


def test_each_further_peer_that_may_send_a_request_takes_from_the_budget():
    async def scenario():
        runners = [standin.Runner(name, "plain") for name in "ab"]
        for runner in runners:
            runner.behaviors = [standin.reject] * 20
        async with standin.Fleet(
            runners, gateways=4, retry_extra=0, retry_ratio=0
        ) as fleet:
            await fleet.wait_until_all_met()
            fleet.gateways[0]._links._is_isolated = True
            response = await fleet.send_request("/look/1", "id-1")
            assert response.status == 503
            assert _repeat_count(runners) == 0

    standin.run_scenario(scenario)


# Guards against a budget that endpoints use up to which nothing is sent.
def test_an_attempt_without_a_connection_takes_nothing_from_the_budget():
    async def scenario():
        sound = standin.Runner("sound", "plain")
        async with standin.Fleet(
            [sound], retry_extra=0, retry_ratio=0
        ) as fleet:
            for number in range(2):
                down = standin.Runner(f"down-{number}", "plain")
                fleet.store.put(f"servers/{down.name}", down.entry())
            roster = fleet.gateways[0].local_state.roster
            await fleet.wait_until(lambda: len(roster.endpoints) == 3)
            statuses = [
                (await fleet.send_request("/look/1", f"id-{number}")).status
                for number in range(10)
            ]
            assert statuses == [200] * 10
            assert _repeat_count([sound]) == 0

    standin.run_scenario(scenario)
