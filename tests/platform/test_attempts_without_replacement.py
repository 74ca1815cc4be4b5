"""Endpoints that are silent for a while when nothing can replace them.

A request leaves its endpoint only for one that takes it, so that a silence that
ends costs no caller its answer.
"""

import asyncio
import enum

import pytest
import standin

from nutmegpost_core import errors

STREAMS = 40
# Few, as the endpoint that turns them away shares the event loop.
TURNED_AWAY = 8
REPEATS = 2
TIMEOUT_MS = 4000
# Time for which two endpoints may work on one stream.
OVERLAP_S = 0.4
# Longer than the silence after which a stream may go on elsewhere.
SILENT_S = 1.6
CONNECT_S = 0.3
# Longer than a request waits for the probe of its endpoint.
LEAVE_S = 0.2
EVENTS = [
    b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, 6)
]


class Stage(enum.Enum):
    """What an endpoint has sent of an answer."""

    START = "nothing"
    HEAD = "its head"
    EVENTS = "some events"


def _no_budget(fleet):
    pass


def _all_full(fleet):
    _state(fleet).loads.add("e2", 2 * fleet.runners["e2"].slots, 0)


def _all_paused(fleet):
    now = asyncio.get_running_loop().time()
    _state(fleet).notices.record_pause("e2", 1, now + 60, now)


def _all_limited(fleet):
    state = _state(fleet)
    state.apply_peer_rate_limit("e2", 0.01)
    state.rate_limits.record_sent("e2", asyncio.get_running_loop().time())


def _all_silent(fleet):
    long_ago = asyncio.get_running_loop().time() - 10
    _state(fleet).liveness.begin("e2", "engines", long_ago)


def _all_ejected(fleet):
    _state(fleet).outliers.eject("e2", asyncio.get_running_loop().time())


def _room_for_two(fleet):
    _state(fleet).loads.add("e2", 2 * fleet.runners["e2"].slots - 2, 0)


# What keeps requests from a second endpoint, the repeats that are left, and how
# many may arrive there.
OBSTACLES = [
    (_no_budget, REPEATS, REPEATS),
    (_all_full, STREAMS, 0),
    (_all_paused, STREAMS, 0),
    (_all_limited, STREAMS, 0),
    (_all_silent, STREAMS, 0),
    (_all_ejected, STREAMS, 0),
    (_room_for_two, STREAMS, STREAMS),
]


def _rejects(fleet):
    fleet.runners["e2"].behaviors = [standin.reject] * STREAMS


def _rejects_late(fleet):
    fleet.runners["e2"].behaviors = [_reject_late] * STREAMS


async def _reject_late(runner, exchange):
    await asyncio.sleep(OVERLAP_S)
    await standin.reject(runner, exchange)


def _has_restarted(fleet):
    fleet.runners["e2"].name = "another"


def _refuses_connections(fleet):
    server = fleet.runners["e2"].server
    fleet.tasks.append(asyncio.create_task(server.close()))


def _rejects_with_a_late_body(fleet):
    fleet.runners["e2"].behaviors = [_reject_with_a_late_body] * STREAMS


async def _reject_with_a_late_body(runner, exchange):
    fields = runner.response_fields(exchange.request)
    fields += [("Not-Executed", "1"), ("Content-Length", "4")]
    exchange.start(503, fields)
    await exchange.disconnected.wait()


TURNS_AWAY = [
    _rejects,
    _rejects_with_a_late_body,
    _has_restarted,
    _refuses_connections,
]
# Of an endpoint that may have run the request.
FAILURES = [
    standin.drop_connection,
    standin.fail_with(500),
    standin.fail_with(503),
    standin.respond_with_foreign_id,
    standin.respond_unsigned,
]


def _state(fleet):
    return fleet.gateways[0].local_state


def _fleet(repeats):
    config = standin.configuration(1)
    for route in config["routes"]:
        route["timeoutMs"] = TIMEOUT_MS
        route["targetLatencyMs"] = 250
        route["gapAimMs"] = 100
    return standin.Fleet(
        [standin.Runner("e1", "engines", 64)],
        config=config,
        retry_extra=repeats,
        retry_ratio=0,
    )


class _Silence:
    """A silence of an endpoint at some stage of each answer.

    Attributes:
        held: Number of requests that wait for its end.
    """

    def __init__(self, stage):
        self._stage = stage
        self._end = asyncio.Event()
        self.held = 0

    async def answer(self, runner, exchange):
        runner.executed.append(exchange.request.headers["attempt-id"])
        if self._stage is not Stage.START:
            sent = 2 if self._stage is Stage.EVENTS else 0
            await standin.send_events(runner, exchange, 1, sent)
        self.held += 1
        await self._wait_for_end(exchange)
        if exchange.disconnected.is_set():
            return
        if self._stage is Stage.START:
            await standin.send_events(runner, exchange, 1, 5)
        else:
            exchange.write(b"".join(EVENTS[sent:]))
        exchange.finish()

    async def answer_others(self, runner, exchange):
        """Sends events all the time."""
        number = 0
        while not self._end.is_set():
            number += 1
            if number == 1:
                await standin.send_events(runner, exchange, 1, 1)
            exchange.write(b"id: %d\ndata: sign\n\n" % (number + 1))
            await asyncio.sleep(0.1)
        exchange.finish()

    async def _wait_for_end(self, exchange):
        waits = [self._end.wait(), exchange.disconnected.wait()]
        tasks = [asyncio.create_task(wait) for wait in waits]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)

    def end(self):
        self._end.set()


async def _add_runner(fleet):
    runner = standin.Runner("e2", "engines", 64)
    await runner.start()
    fleet.runners["e2"] = runner
    fleet.store.put("servers/e2", runner.entry())
    roster = _state(fleet).roster
    await fleet.wait_until(lambda: len(roster.usable("engines")) == 2)


async def _ask(fleet, number):
    """Returns whether a caller gets a whole answer."""
    try:
        response = await fleet.send_stream_request(
            "/draft/1", f"id-{number}", Deadline_Ms=str(TIMEOUT_MS)
        )
    except errors.PeerError:
        return False
    return response.status == 200 and response.body == b"".join(EVENTS)


async def _count_whole(fleet, silence, obstruct, stops=False, streams=STREAMS):
    """Returns how many streams are whole that a silence interrupts."""
    silent = fleet.runners["e1"]
    silent.behaviors += [silence.answer] * streams
    callers = [
        asyncio.create_task(_ask(fleet, number)) for number in range(streams)
    ]
    await fleet.wait_until(lambda: silence.held == streams)
    await _add_runner(fleet)
    obstruct(fleet)
    if stops:
        fleet.gateways[0].stop()
    await asyncio.sleep(SILENT_S)
    silence.end()
    return sum(await asyncio.gather(*callers))


# Guards against answers that are cut for a repeat that is not allowed or that
# no endpoint takes.
@pytest.mark.parametrize("stage", Stage)
@pytest.mark.parametrize(("obstruct", "repeats", "arrivals_max"), OBSTACLES)
def test_streams_that_nothing_can_take_over_outlast_a_silence(
    obstruct, repeats, arrivals_max, stage
):
    async def scenario():
        async with _fleet(repeats) as fleet:
            silence = _Silence(stage)
            assert await _count_whole(fleet, silence, obstruct) == STREAMS
            assert len(fleet.runners["e2"].received) <= arrivals_max

    standin.run_scenario(scenario)


@pytest.mark.parametrize("stage", Stage)
def test_streams_outlast_a_silence_while_their_gateway_stops(stage):
    async def scenario():
        async with _fleet(REPEATS) as fleet:
            whole = await _count_whole(fleet, _Silence(stage), _no_budget, True)
            assert whole == STREAMS

    standin.run_scenario(scenario)


@pytest.mark.parametrize("stage", [Stage.START, Stage.HEAD])
def test_late_streams_of_an_endpoint_that_answers_others_are_waited_for(stage):
    async def scenario():
        async with _fleet(REPEATS) as fleet:
            silence = _Silence(stage)
            fleet.runners["e1"].behaviors = [silence.answer_others]
            other = asyncio.create_task(
                fleet.send_stream_request("/ask/1", "other")
            )
            await fleet.wait_until(lambda: fleet.runners["e1"].received)
            assert await _count_whole(fleet, silence, _no_budget) == STREAMS
            assert (await other).status == 200

    standin.run_scenario(scenario)


# Guards against streams that are cut as their second endpoint turns them away.
@pytest.mark.parametrize("stage", [Stage.HEAD, Stage.EVENTS])
@pytest.mark.parametrize("turn_away", TURNS_AWAY)
def test_streams_that_are_turned_away_elsewhere_go_on(turn_away, stage):
    async def scenario():
        async with _fleet(STREAMS) as fleet:
            silence = _Silence(stage)
            whole = await _count_whole(
                fleet, silence, turn_away, streams=TURNED_AWAY
            )
            assert whole == TURNED_AWAY

    standin.run_scenario(scenario)


# Guards against streams that are cut as a second endpoint rejects them late.
def test_streams_that_are_rejected_late_elsewhere_go_on():
    async def scenario():
        async with _fleet(STREAMS) as fleet:
            silence = _Silence(Stage.EVENTS)
            whole = await _count_whole(fleet, silence, _rejects_late)
            assert whole == STREAMS

    standin.run_scenario(scenario)


# Guards against two endpoints that work on one stream.
@pytest.mark.parametrize("behavior", [standin.hang, *FAILURES])
def test_stream_leaves_a_silent_endpoint_soon_after_the_next_one_has_it(
    behavior,
):
    async def scenario():
        async with _fleet(STREAMS) as fleet:
            first = fleet.runners["e1"]
            silence = _Silence(Stage.EVENTS)
            first.behaviors = [silence.answer]
            caller = asyncio.create_task(_ask(fleet, 0))
            await fleet.wait_until(lambda: silence.held)
            await _add_runner(fleet)
            second = fleet.runners["e2"]
            second.behaviors = [behavior]
            await fleet.wait_until(lambda: second.executed)
            arrived = asyncio.get_running_loop().time()
            await fleet.wait_until(lambda: first.cancelled)
            assert asyncio.get_running_loop().time() - arrived < OVERLAP_S
            assert not await caller

    standin.run_scenario(scenario)


# Guards against an answer that is dropped as it comes before the next attempt.
def test_stream_that_goes_on_before_the_next_endpoint_has_it_stays():
    async def scenario():
        async with _fleet(STREAMS) as fleet:
            silence = _Silence(Stage.EVENTS)
            fleet.runners["e1"].behaviors = [silence.answer]
            caller = asyncio.create_task(_ask(fleet, 0))
            await fleet.wait_until(lambda: silence.held)
            await _add_runner(fleet)
            client = fleet.gateways[0]._client
            connect = client._connect

            async def connect_late(address):
                connection = await connect(address)
                silence.end()
                await asyncio.sleep(CONNECT_S)
                return connection

            client._connect = connect_late
            assert await caller
            assert not fleet.runners["e2"].received

    standin.run_scenario(scenario)


def test_streams_that_are_turned_away_elsewhere_take_no_unpaid_repeat():
    async def scenario():
        async with _fleet(REPEATS) as fleet:
            silence = _Silence(Stage.EVENTS)
            assert await _count_whole(fleet, silence, _rejects) == STREAMS
            assert len(fleet.runners["e2"].received) == REPEATS

    standin.run_scenario(scenario)


# Guards against streams that nobody ends as their caller leaves.
def test_held_stream_ends_with_its_caller_while_its_endpoint_is_probed():
    async def scenario():
        async with _fleet(STREAMS) as fleet:
            first = fleet.runners["e1"]
            silence = _Silence(Stage.EVENTS)
            first.behaviors = [silence.answer]
            caller = asyncio.create_task(_ask(fleet, 0))
            await fleet.wait_until(lambda: silence.held)
            await _add_runner(fleet)
            second = fleet.runners["e2"]
            second.behaviors = [standin.hang]

            async def leave(address):
                caller.cancel()
                await asyncio.sleep(LEAVE_S)

            fleet.gateways[0]._client.probe = leave
            await asyncio.sleep(SILENT_S)
            caller.cancel()
            await fleet.wait_until(lambda: first.cancelled)
            await fleet.wait_until(lambda: not _state(fleet).loads.own)

    standin.run_scenario(scenario)


def test_callers_that_leave_in_mid_change_leave_no_load_behind():
    async def scenario():
        async with _fleet(STREAMS) as fleet:
            first = fleet.runners["e1"]
            silence = _Silence(Stage.EVENTS)
            first.behaviors = [silence.answer] * STREAMS
            callers = [
                asyncio.create_task(_ask(fleet, number))
                for number in range(STREAMS)
            ]
            await fleet.wait_until(lambda: silence.held == STREAMS)
            await _add_runner(fleet)
            second = fleet.runners["e2"]
            second.behaviors = [standin.hang] * STREAMS
            await fleet.wait_until(lambda: second.executed)
            for caller in callers:
                caller.cancel()
            await fleet.wait_until(lambda: len(first.cancelled) == STREAMS)
            await fleet.wait_until(
                lambda: len(second.cancelled) == len(second.executed)
            )
            await fleet.wait_until(lambda: not _state(fleet).loads.own)

    standin.run_scenario(scenario)
