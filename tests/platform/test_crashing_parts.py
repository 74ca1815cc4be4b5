"""Prompt parts that crash each endpoint that runs a request with them.

No two of the requests are alike; they share one part with each other, and the
rest of their prompts with sound requests.
"""

import asyncio
import contextlib

import standin

CRASHING_PART = "bad"
# Crashes after which the requirements stop the requests with a part, and how
# many of these may still reach an endpoint.
CRASHES_MAX = 5
REQUESTS_AFTER_MAX = 3


def _fleet(count, **options):
    runners = [
        standin.Runner(f"e{number}", "engines", 8) for number in range(count)
    ]
    for runner in runners:
        runner.crashing_parts = {CRASHING_PART}
    return standin.Fleet(runners, **options)


async def _send(fleet, identity, parts, gateway_index=0):
    """Returns the response to a stream request; None if it broke off."""
    with contextlib.suppress(standin.http_client.ExchangeError):
        return await fleet.send_stream_request(
            f"/ask/{identity}",
            identity,
            gateway_index=gateway_index,
            Prompt_Prefix=f"{parts},{identity}:10",
        )
    return None


async def _send_crashing(fleet, number, gateway_index=0):
    response = await _send(
        fleet, f"bad-{number}", f"aa:20,{CRASHING_PART}:30", gateway_index
    )
    await asyncio.sleep(0.15)
    return response


def _crashes(fleet):
    return sum(
        identity.startswith("bad-")
        for runner in fleet.runners.values()
        for identity in runner.executed
    )


def test_different_requests_with_one_crashing_part_stop_reaching_endpoints():
    async def scenario():
        async with _fleet(12, gateways=2) as fleet:
            await fleet.wait_until_all_met()
            for number in range(16):
                await _send_crashing(fleet, number, number % 2)
            assert _crashes(fleet) <= CRASHES_MAX + REQUESTS_AFTER_MAX

    standin.run_scenario(scenario)


def test_sound_requests_with_the_other_parts_of_a_crashing_one_are_served():
    async def scenario():
        async with _fleet(10, gateways=2) as fleet:
            await fleet.wait_until_all_met()
            for number in range(8):
                await _send_crashing(fleet, number, number % 2)
            assert _crashes(fleet) <= CRASHES_MAX + REQUESTS_AFTER_MAX
            responses = [
                await _send(fleet, f"sound-{number}", "aa:20,bb:30", number % 2)
                for number in range(10)
            ]
            served = [
                response
                for response in responses
                if response is not None and response.status == 200
            ]
            assert len(served) >= 9

    standin.run_scenario(scenario)


def test_gateway_started_after_the_crashes_knows_the_crashing_part():
    async def scenario():
        async with _fleet(10) as fleet:
            for number in range(6):
                await _send_crashing(fleet, number)
            crashes = _crashes(fleet)
            gateway = fleet.start_gateway(first_start=False)
            await fleet.wait_until(lambda: gateway.ready)
            await fleet.wait_until_all_met()
            for number in range(6, 10):
                await _send_crashing(fleet, number, 1)
            assert _crashes(fleet) == crashes

    standin.run_scenario(scenario)


async def _respond_slowly(runner, exchange):
    """Crashes on the crashing part, or sends a stream of 2 s."""
    if CRASHING_PART in exchange.request.headers["prompt-prefix"]:
        await standin.respond(runner, exchange)
        return
    runner.executed.append(exchange.request.headers["attempt-id"])
    first_id = int(exchange.request.headers.get("last-event-id", "0")) + 1
    for event_id in range(first_id, 11):
        if event_id == first_id:
            await standin.send_events(runner, exchange, event_id, event_id)
        else:
            exchange.write(b"id: %d\ndata: piece\n\n" % event_id)
        await asyncio.sleep(0.2)
    exchange.finish()


# Guards against a new first part that is blamed until its first stream ends.
def test_new_part_is_not_blamed_while_its_first_streams_last():
    async def scenario():
        async with _fleet(14, gateways=2) as fleet:
            await fleet.wait_until_all_met()
            for runner in fleet.runners.values():
                runner.behaviors = [_respond_slowly] * 100
            sound = []
            for number in range(20):
                sound.append(
                    asyncio.create_task(
                        _send(
                            fleet, f"sound-{number}", "aa:20,bb:30", number % 2
                        )
                    )
                )
                if number < 12:
                    await _send_crashing(fleet, number, number % 2)
                else:
                    await asyncio.sleep(0.05)
            crashes = _crashes(fleet)
            responses = await asyncio.gather(*sound)
            assert crashes <= CRASHES_MAX + REQUESTS_AFTER_MAX
            refused = [
                response
                for response in responses
                if response is not None and response.status == 503
            ]
            assert not refused

    standin.run_scenario(scenario)
