"""Streams that left a silent endpoint for one that then does not take them."""

import asyncio

import pytest
import standin

TIMEOUT_MS = 8000
# Longer than the silence after which a stream may go on elsewhere.
SILENT_S = 2.0
WINDOW_S = 4
EVENTS = b"".join(
    b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, 6)
)


def _fleet():
    config = standin.configuration(1)
    for route in config["routes"]:
        route["timeoutMs"] = TIMEOUT_MS
        route["gapAimMs"] = 100
        route["maxAttempts"] = 3
    return standin.Fleet(
        [standin.Runner("e1", "engines", 64)],
        config=config,
        retry_extra=1,
        retry_ratio=0,
        retry_window_s=WINDOW_S,
    )


async def _fall_silent(runner, exchange):
    runner.executed.append(exchange.request.headers["attempt-id"])
    await standin.send_events(runner, exchange, 1, 2)
    await asyncio.sleep(SILENT_S)
    if not exchange.disconnected.is_set():
        exchange.write(EVENTS.partition(b"piece 2\n\n")[2])
        exchange.finish()


async def _add_runner(fleet, name):
    runner = standin.Runner(name, "engines", 64)
    await runner.start()
    fleet.runners[name] = runner
    fleet.store.put(f"servers/{name}", runner.entry())
    roster = fleet.gateways[0].local_state.roster
    await fleet.wait_until(lambda: name in roster.endpoints)
    return runner


async def _reject(runner):
    runner.behaviors = [standin.reject]


async def _refuse_connections(runner):
    await runner.crash()


# Guards against streams of sound endpoints that end as their replacement fails.
@pytest.mark.parametrize("fail", [_reject, _refuse_connections])
def test_stream_whose_replacement_does_not_take_it_is_whole(fail):
    async def scenario():
        async with _fleet() as fleet:
            fleet.runners["e1"].behaviors = [_fall_silent]
            caller = asyncio.create_task(
                fleet.send_stream_request(
                    "/draft/1", "id", Deadline_Ms=str(TIMEOUT_MS)
                )
            )
            await fleet.wait_until(lambda: fleet.runners["e1"].executed)
            await fail(await _add_runner(fleet, "e2"))
            await asyncio.sleep(SILENT_S)
            await _add_runner(fleet, "e3")
            assert (await caller).body == EVENTS

    standin.run_scenario(scenario)
