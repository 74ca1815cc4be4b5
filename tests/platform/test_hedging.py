"""Second attempts beside first ones that are late, over real sockets."""

import asyncio
import time

import pytest
import standin

WARM_UP = 25
# Time within which the connection of the losing attempt must be closed.
CANCEL_MAX_S = 0.15


class _Reporting(standin.Runner):
    """An endpoint that reports the speed that it is told to report."""

    speed = 100

    def response_fields(self, request):
        fields = [
            field
            for field in super().response_fields(request)
            if field[0] != "Server-Load"
        ]
        return [*fields, ("Server-Load", f"1,0,8,{self.speed}")]


def _fleet(names=("p1", "p2"), service="plain", gateways=1, **overrides):
    runners = [_Reporting(name, service, 8) for name in names]
    values = {"hedge_ratio": 1, "hedge_evidence": "latency"} | overrides
    return standin.Fleet(runners, gateways=gateways, **values)


async def _warm_up(fleet, path="/look/1"):
    """Sends requests until it is known how long they take."""
    for number in range(WARM_UP):
        response = await _send(fleet, path, f"warm-{number}")
        assert response.status == 200
    for runner in fleet.runners.values():
        runner.received.clear()
        runner.executed.clear()


async def _send(fleet, path, identity):
    if path.startswith(("/draft", "/ask")):
        return await fleet.send_stream_request(path, identity)
    method = "POST" if path.startswith("/issue") else "GET"
    return await fleet.send_request(path, identity, method)


def _slow(seconds):
    """Returns a behavior that answers after a time."""

    async def behavior(runner, exchange):
        await asyncio.sleep(seconds)
        await standin.respond(runner, exchange)

    return behavior


def _hang_next(fleet, behavior=standin.hang):
    """Makes the endpoint that gets the next request run a behavior.

    Returns:
        A list that gets its name.
    """
    chosen = []

    async def hang_first(runner, exchange):
        for other in fleet.runners.values():
            other.behaviors = []
        chosen.append(runner.name)
        await behavior(runner, exchange)

    for runner in fleet.runners.values():
        runner.behaviors = [hang_first]
    return chosen


def _arrivals(fleet, identity):
    return [
        runner.name
        for runner in fleet.runners.values()
        for request in runner.received
        if request.headers["attempt-id"] == identity
    ]


def _running(fleet):
    loads = fleet.gateways[0].local_state.loads
    return sum(load.running for load in loads.own.values())


async def _metric(fleet, result, service="plain"):
    response = await fleet.client.request(
        fleet.address("metrics_address"), "GET", "/metrics", {}
    )
    name = "nutmegpost_gateway_hedges_total"
    label = f'{name}{{result="{result}",service="{service}"}} '
    for line in response.body.decode().splitlines():
        if line.startswith(label):
            return float(line.removeprefix(label))
    return 0.0


# Guards against a caller that waits for a late endpoint, and an endpoint that
# goes on with a request that another one has answered.
@pytest.mark.parametrize(
    ("path", "service"), [("/look/1", "plain"), ("/draft/1", "engines")]
)
def test_late_request_is_answered_by_another_endpoint(path, service):
    async def scenario():
        async with _fleet(service=service) as fleet:
            await _warm_up(fleet, path)
            slow = _hang_next(fleet)
            begin = time.monotonic()
            response = await _send(fleet, path, "late")
            assert response.status == 200
            assert time.monotonic() - begin < 0.4
            await asyncio.sleep(CANCEL_MAX_S)
            assert fleet.runners[slow[0]].cancelled == ["late"]
            assert len(_arrivals(fleet, "late")) == 2
            assert _running(fleet) == 0
            assert await _metric(fleet, "won", service) == 1
            # The late attempt is no failure of its endpoint.
            outliers = fleet.gateways[0].local_state.outliers
            assert not any(
                record.failures for record in outliers._records.values()
            )

    standin.run_scenario(scenario)


# Guards against events of the losing attempt, and against two endpoints that
# work on a stream after its first event.
def test_stream_has_the_events_of_one_endpoint():
    async def scenario():
        async with _fleet(service="engines") as fleet:
            for runner in fleet.runners.values():
                runner.event_text = runner.name.encode()
            await _warm_up(fleet, "/draft/1")
            slow = _hang_next(fleet)
            for runner in fleet.runners.values():
                runner.event_count = 120
            request = asyncio.create_task(_send(fleet, "/draft/1", "late"))
            await fleet.wait_until(lambda: slow)
            cancelled = fleet.runners[slow[0]].cancelled
            await fleet.wait_until(lambda: cancelled == ["late"])
            assert not request.done()
            (fast,) = set(fleet.runners) - set(slow)
            events = (await request).body.decode().split("\n\n")[:-1]
            assert events == [
                f"id: {number}\ndata: {fast} {number}"
                for number in range(1, 121)
            ]

    standin.run_scenario(scenario)


# Guards against a second run of a request that may run once.
@pytest.mark.parametrize(
    ("path", "service"), [("/issue/1", "plain"), ("/ask/1", "engines")]
)
def test_request_that_may_not_be_repeated_is_never_hedged(path, service):
    async def scenario():
        config = standin.configuration(1)
        for route in config["routes"]:
            route["maxAttempts"] = 3
        async with _fleet(service=service, config=config) as fleet:
            await _warm_up(fleet, path)
            _hang_next(fleet, _slow(0.4))
            response = await _send(fleet, path, "once")
            assert response.status == 200
            assert len(_arrivals(fleet, "once")) == 1

    standin.run_scenario(scenario)


# Guards against hedges that nobody asked for.
@pytest.mark.parametrize(
    "overrides", [{"hedge_ratio": 0}, {"hedge_evidence": "speed"}]
)
def test_no_hedge_without_the_setting_or_its_evidence(overrides):
    async def scenario():
        async with _fleet(**overrides) as fleet:
            await _warm_up(fleet)
            _hang_next(fleet, _slow(0.3))
            assert (await _send(fleet, "/look/1", "one")).status == 200
            assert len(_arrivals(fleet, "one")) == 1

    standin.run_scenario(scenario)


def test_request_at_an_endpoint_that_reports_to_be_slow_is_hedged():
    async def work(runner, exchange):
        await asyncio.sleep(0.1)
        await standin.respond(runner, exchange)

    async def scenario():
        async with _fleet(hedge_evidence="speed") as fleet:
            for runner in fleet.runners.values():
                runner.behaviors = [work] * 30
            await _warm_up(fleet)
            slow = _hang_next(fleet)
            request = asyncio.create_task(_send(fleet, "/look/1", "slow"))
            await asyncio.sleep(0.01)
            speeds = fleet.gateways[0].local_state.speeds
            now = asyncio.get_running_loop().time()
            speeds.record(slow[0], "plain", 250, now)
            speeds.record(slow[0], "plain", 250, now + 0.03)
            assert (await request).status == 200
            assert len(_arrivals(fleet, "slow")) == 2

    standin.run_scenario(scenario)


# Guards against hedges that multiply the load: with a ratio of 0.02, that part
# of the requests may have one, however many are late.
def test_ratio_of_hedges_is_held():
    requests, late_every = 300, 25

    async def scenario():
        async with _fleet(hedge_ratio=0.02) as fleet:

            async def sometimes_late(runner, exchange):
                identity = exchange.request.headers["attempt-id"]
                is_first = len(_arrivals(fleet, identity)) == 1
                if is_first and int(identity) % late_every == 0:
                    await asyncio.sleep(0.1)
                await standin.respond(runner, exchange)

            for runner in fleet.runners.values():
                runner.behaviors = [sometimes_late] * 2 * requests
            for number in range(requests):
                await _send(fleet, "/look/1", str(number))
            sent = sum(len(r.received) for r in fleet.runners.values())
            assert requests < sent <= requests * 1.02

    standin.run_scenario(scenario)


# Guards against attempts that go on for a caller that is gone.
def test_both_attempts_are_cancelled_when_the_caller_leaves():
    async def scenario():
        async with _fleet() as fleet:
            await _warm_up(fleet)
            for runner in fleet.runners.values():
                runner.behaviors = [standin.hang]
            request = asyncio.create_task(_send(fleet, "/look/1", "gone"))
            await fleet.wait_until(lambda: len(_arrivals(fleet, "gone")) == 2)
            request.cancel()
            await asyncio.sleep(CANCEL_MAX_S)
            for runner in fleet.runners.values():
                assert runner.cancelled == ["gone"]
            assert _running(fleet) == 0
            assert await _metric(fleet, "cancelled") == 1

    standin.run_scenario(scenario)


# Guards against a request that fails with its hedge, though its first attempt
# goes on, and against more endpoints than the route allows.
@pytest.mark.parametrize(
    ("behavior", "runs"),
    [(standin.reject, 1), (standin.drop_connection, 2)],
)
def test_first_attempt_goes_on_when_the_hedge_fails(behavior, runs):
    async def slow(runner, exchange):
        for other in fleet_of[0].runners.values():
            if other is not runner:
                other.behaviors = [behavior]
        await asyncio.sleep(0.3)
        await standin.respond(runner, exchange)

    fleet_of = []

    async def scenario():
        async with _fleet(("p1", "p2", "p3")) as fleet:
            fleet_of.append(fleet)
            await _warm_up(fleet)
            _hang_next(fleet, slow)
            response = await _send(fleet, "/look/1", "late")
            assert response.status == 200
            executed = [i for r in fleet.runners.values() for i in r.executed]
            assert executed.count("late") == runs
            assert await _metric(fleet, "failed") == 1

    standin.run_scenario(scenario)


# Guards against a request that ends with its first attempt while the hedge is
# about to answer, and against a retry beside the hedge.
def test_hedge_answers_when_the_first_attempt_fails():
    async def fail_later(runner, exchange):
        await asyncio.sleep(0.1)
        await standin.drop_connection(runner, exchange)

    async def scenario():
        async with _fleet(("p1", "p2", "p3")) as fleet:
            await _warm_up(fleet)

            async def first(runner, exchange):
                for other in fleet.runners.values():
                    other.behaviors = [_slow(0.3)]
                await fail_later(runner, exchange)

            _hang_next(fleet, first)
            assert (await _send(fleet, "/look/1", "late")).status == 200
            assert len(_arrivals(fleet, "late")) == 2
            assert _running(fleet) == 0

    standin.run_scenario(scenario)


# Guards against a request without an answer when both attempts fail though the
# route allows another one.
def test_request_is_retried_after_both_attempts_failed():
    async def fail_later(runner, exchange):
        await asyncio.sleep(0.15)
        await standin.drop_connection(runner, exchange)

    async def scenario():
        config = standin.configuration(1)
        config["routes"][0]["maxAttempts"] = 3
        async with _fleet(("p1", "p2", "p3"), config=config) as fleet:
            await _warm_up(fleet)
            for runner in fleet.runners.values():
                runner.behaviors = [fail_later]
            third = asyncio.create_task(_send(fleet, "/look/1", "late"))
            await fleet.wait_until(lambda: len(_arrivals(fleet, "late")) == 2)
            for runner in fleet.runners.values():
                runner.behaviors = []
            assert (await third).status == 200
            assert len(_arrivals(fleet, "late")) == 3
            assert _running(fleet) == 0

    standin.run_scenario(scenario)


# Guards against hedges that add load where there is none to spare.
def test_no_hedge_while_half_of_the_slots_are_in_use():
    async def scenario():
        async with _fleet() as fleet:
            await _warm_up(fleet)
            for runner in fleet.runners.values():
                runner.behaviors = [_slow(0.5)] * 20
            await asyncio.gather(
                *[_send(fleet, "/look/1", f"id-{n}") for n in range(10)]
            )
            sent = sum(len(r.received) for r in fleet.runners.values())
            assert sent == 10
            assert await _metric(fleet, "refused-contended") > 0

    standin.run_scenario(scenario)


# Guards against a second attempt at an endpoint that should get none.
@pytest.mark.parametrize("is_leaving", [True, False])
def test_hedge_is_not_sent_to_an_endpoint_that_leaves_or_is_ejected(is_leaving):
    async def scenario():
        async with _fleet() as fleet:
            await _warm_up(fleet)
            state = fleet.gateways[0].local_state
            if is_leaving:
                entry = fleet.runners["p2"].entry(state="draining", seq=2)
                fleet.store.put("servers/p2", entry)
                await fleet.wait_until(
                    lambda: len(state.roster.usable("plain")) == 1
                )
            else:
                now = asyncio.get_running_loop().time()
                state.outliers.eject("p2", now)
            fleet.runners["p1"].behaviors = [_slow(0.3)]
            assert (await _send(fleet, "/look/1", "late")).status == 200
            assert _arrivals(fleet, "late") == ["p1"]
            assert await _metric(fleet, "refused-no-endpoint") == 1

    standin.run_scenario(scenario)


# Guards against a request that crashes an endpoint and takes a second one down.
def test_request_that_is_charged_with_a_crash_is_not_hedged():
    async def scenario():
        async with _fleet() as fleet:
            await _warm_up(fleet)
            guard = fleet.gateways[0].crashes
            admit = guard.admit

            def charge_and_admit(fingerprint, now):
                guard.requests.charge(fingerprint.request, "0" * 16, now)
                return admit(fingerprint, now)

            guard.admit = charge_and_admit
            _hang_next(fleet, _slow(0.3))
            assert (await _send(fleet, "/look/1", "late")).status == 200
            assert len(_arrivals(fleet, "late")) == 1
            assert await _metric(fleet, "refused-crashing") == 1

    standin.run_scenario(scenario)


# Guards against two gateways that both hedge one request.
def test_request_that_a_peer_relays_is_not_hedged():
    async def scenario():
        async with _fleet(gateways=2) as fleet:
            await fleet.wait_until_all_met()
            await _warm_up(fleet)
            relay = fleet.gateways[0]._forwarder._relay
            proof = relay._proof("late").decode()
            _hang_next(fleet, _slow(0.3))
            response = await fleet.send_request(
                "/look/1", "late", nutmegpost_relay=proof
            )
            assert response.status == 200
            assert len(_arrivals(fleet, "late")) == 1

    standin.run_scenario(scenario)


# Guards against attempts that outlive a gateway that stops, and a caller that
# gets no answer.
def test_both_attempts_are_cancelled_when_the_gateway_stops():
    async def scenario():
        async with _fleet(stop_grace_s=1.5) as fleet:
            await _warm_up(fleet)
            for runner in fleet.runners.values():
                runner.behaviors = [standin.hang]
            request = asyncio.create_task(_send(fleet, "/look/1", "stopped"))
            await fleet.wait_until(
                lambda: len(_arrivals(fleet, "stopped")) == 2
            )
            fleet.gateways[0].stop()
            assert (await request).status == 502
            await asyncio.sleep(CANCEL_MAX_S)
            for runner in fleet.runners.values():
                assert runner.cancelled == ["stopped"]
            assert _running(fleet) == 0

    standin.run_scenario(scenario)
