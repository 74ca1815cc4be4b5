"""Endpoints that accept requests and send nothing, not even an error.

Nothing fails before the deadline of the first request, so the gateway must
notice that an endpoint is silent while others answer.
"""

import asyncio

import standin

TARGET_MS = 250
TIMEOUT_MS = 10_000
# Time after which an endpoint that sends nothing counts as silent.
SILENCE_S = 1.0


def _fleet():
    config = standin.configuration(1)
    for route in config["routes"]:
        route["timeoutMs"] = TIMEOUT_MS
        route["targetLatencyMs"] = TARGET_MS
    runners = [standin.Runner(name, "engines", 8) for name in ("e1", "e2")]
    return standin.Fleet(runners, config=config)


def _stream(fleet, path, identity):
    return fleet.send_stream_request(
        path, identity, Deadline_Ms=str(TIMEOUT_MS)
    )


async def _preferred_runner(fleet):
    """Returns the runner that gets the streams of the tests."""
    for number in range(8):
        response = await _stream(fleet, "/ask/1", f"first-{number}")
        assert response.status == 200
    name = response.headers["server-seal"].removeprefix("seal-of-")
    return fleet.runners[name]


def test_silent_endpoint_gets_no_stream_that_cannot_be_repeated():
    async def scenario():
        async with _fleet() as fleet:
            silent = await _preferred_runner(fleet)
            silent.behaviors = [standin.hang] * 20
            open_stream = asyncio.create_task(_stream(fleet, "/ask/1", "hung"))
            await asyncio.sleep(1.2)
            for number in range(5):
                async with asyncio.timeout(2):
                    response = await _stream(fleet, "/ask/1", f"id-{number}")
                assert response.status == 200
            assert silent.executed[-1] == "hung"
            open_stream.cancel()

    standin.run_scenario(scenario)


def test_stream_that_can_be_repeated_leaves_a_silent_endpoint():
    async def scenario():
        async with _fleet() as fleet:
            silent = await _preferred_runner(fleet)
            silent.behaviors = [standin.hang] * 20
            loop = asyncio.get_running_loop()
            start = loop.time()
            response = await _stream(fleet, "/draft/1", "moved")
            assert response.status == 200
            assert loop.time() - start < SILENCE_S + 0.6
            assert silent.cancelled == ["moved"]

    standin.run_scenario(scenario)
