"""Requests that wait at a gateway while all endpoints are full."""

import asyncio

import standin

WORK_S = 0.3
URGENT_KEY = "key-of-the-urgent"


def _slowly(seconds=WORK_S):
    async def behavior(runner, exchange):
        await asyncio.sleep(seconds)
        await standin.respond(runner, exchange)

    return behavior


def _fleet(queue_max=8, work_s=WORK_S, **settings):
    runner = standin.Runner("e1", "plain", slots=2)
    runner.behaviors = [_slowly(work_s)] * 40
    tenants = [
        {"name": "acme", "apiKeys": [standin.API_KEY], "priority": 2},
        {"name": "urgent", "apiKeys": [URGENT_KEY], "priority": 0},
    ]
    if queue_max:
        settings["contention_queue_max"] = queue_max
    return standin.Fleet(
        [runner], config=standin.configuration(1, tenants=tenants), **settings
    )


def _run(scenario, **settings):
    async def run():
        async with _fleet(**settings) as fleet:
            await scenario(fleet)

    standin.run_scenario(run)


def _send(fleet, identity, path="/look/1", **headers):
    return asyncio.create_task(fleet.send_request(path, identity, **headers))


async def _fill(fleet, count=3):
    """Sends as many requests as the endpoint gets: its slots and one more."""
    tasks = [_send(fleet, f"first-{number}") for number in range(count)]
    await fleet.wait_until(lambda: len(fleet.runners["e1"].received) == count)
    return tasks


def _waiting(fleet):
    return fleet.gateways[0]._forwarder._waiting.waiting


def test_without_the_setting_a_request_above_the_limit_is_refused():
    """Guards against a change for deployments without the key."""

    async def scenario(fleet):
        tasks = await _fill(fleet, 4)
        response = await fleet.send_request("/look/1", "late")
        assert response.status == 503
        assert response.headers["retry-after"] == "0.300"
        await asyncio.gather(*tasks)

    _run(scenario, queue_max=0)


def test_requests_wait_at_the_gateway_and_the_urgent_one_is_sent_first():
    """Guards against refusals and a queue in order of arrival."""

    async def scenario(fleet):
        runner = fleet.runners["e1"]
        tasks = await _fill(fleet)
        tasks += [_send(fleet, f"plain-{number}") for number in range(3)]
        await fleet.wait_until(lambda: _waiting(fleet) == 3)
        tasks.append(
            _send(
                fleet,
                "urgent",
                "/issue/1",
                Authorization=f"Bearer {URGENT_KEY}",
            )
        )
        await fleet.wait_until(lambda: _waiting(fleet) == 4)
        assert len(runner.received) == 3
        responses = await asyncio.gather(*tasks)
        assert [response.status for response in responses] == [200] * 7
        assert runner.arrivals[3][1] == "urgent"
        assert _waiting(fleet) == 0
        assert not fleet.gateways[0].local_state.loads.own

    _run(scenario)


def test_full_queue_refuses_the_least_urgent_request():
    """Guards against refusing an urgent newcomer."""

    async def scenario(fleet):
        tasks = await _fill(fleet)
        waiting = _send(fleet, "plain")
        await fleet.wait_until(lambda: _waiting(fleet) == 1)
        tasks.append(
            _send(fleet, "urgent", Authorization=f"Bearer {URGENT_KEY}")
        )
        refused = await waiting
        assert refused.status == 503
        assert 0 < float(refused.headers["retry-after"]) <= 1.0
        responses = await asyncio.gather(*tasks)
        assert [response.status for response in responses] == [200] * 4
        assert "plain" not in fleet.runners["e1"].executed

    _run(scenario, queue_max=1)


def test_request_without_a_chance_is_refused_as_not_run():
    """Guards against holding a request until its caller has left."""

    async def scenario(fleet):
        tasks = await _fill(fleet)
        loop = asyncio.get_running_loop()
        started = loop.time()
        response = await fleet.send_request(
            "/look/1", "hurried", Deadline_Ms="400"
        )
        assert response.status == 503
        assert loop.time() - started < 0.41
        await asyncio.gather(*tasks)
        assert "hurried" not in fleet.runners["e1"].executed

    _run(scenario, work_s=1.0)


def test_what_waits_ends_as_its_caller_leaves_or_the_gateway_stops():
    """Guards against work for nobody, and waits until the grace is over."""

    async def scenario(fleet):
        tasks = await _fill(fleet)
        leaving = _send(fleet, "gone")
        await fleet.wait_until(lambda: _waiting(fleet) == 1)
        leaving.cancel()
        await fleet.wait_until(lambda: _waiting(fleet) == 0)
        waiting = _send(fleet, "waiting")
        await fleet.wait_until(lambda: _waiting(fleet) == 1)
        fleet.gateways[0].stop()
        async with asyncio.timeout(0.5):
            refused = await waiting
        assert refused.status == 503
        assert refused.headers["retry-after"] == "0.100"
        responses = await asyncio.gather(*tasks)
        assert [response.status for response in responses] == [200] * 3
        assert len(fleet.runners["e1"].received) == 3
        assert not fleet.gateways[0].local_state.loads.own

    _run(scenario, work_s=1.0)
