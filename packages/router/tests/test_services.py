"""Tests of the calls of plain services, with scripted runners."""

import asyncio
import collections
import functools
import random

import pytest

from nutmegpost_core import errors
from nutmegpost_core import permits
from nutmegpost_core import vms
from nutmegpost_router import http_client
from nutmegpost_router import services

KEY = b"0123456789abcdef"
ANSWERED = errors.Outcome.ANSWERED
NOT_RUN = errors.Outcome.NOT_RUN
UNKNOWN = errors.Outcome.UNKNOWN
FULL = http_client.Response(503, {}, b'{"error": {"code": "full"}}')
DONE = http_client.Response(200, {}, b"done")


def run_on_event_loop(test):
    """Runs a coroutine test function on a new event loop."""

    @functools.wraps(test)
    def run(**arguments):
        asyncio.run(test(**arguments))

    return run


class Service:
    """HTTP client with scripted runners; counts executions by permit."""

    def __init__(self, *script):
        self.script = list(script)
        self.executed = collections.Counter()
        self.requests = []
        self.gate = asyncio.Event()
        self.gate.set()

    async def request(
        self, address, method, path, headers, body=b"", timeout_s=5, fresh=False
    ):
        del method, body, timeout_s
        self.requests.append((address.port, path, fresh))
        await asyncio.sleep(0)
        step = self.script.pop(0) if self.script else DONE
        if step == "refused":
            raise http_client.ConnectError("refused", True)
        if step is FULL:
            return FULL
        if step != "lost before":
            self.executed[headers.get("Idempotency-Key")] += 1
        await self.gate.wait()
        if step in ("lost before", "lost after"):
            raise http_client.ExchangeError("lost")
        return step


class Router:
    """A router of a fleet; its peers cannot reach it unless `up` is set."""

    def __init__(self, name, incarnation, fleet, service, runners=3):
        self.fleet = fleet
        self.up = True
        self.loads = dict.fromkeys(range(1, runners + 1), 0)
        self.table = permits.Table(name, incarnation, KEY, 0.0)
        self.observed = []
        ports = services.Ports(
            service,
            self._operation,
            lambda _: [
                services.Runner(str(port), vms.Address("127.0.0.1", port), load)
                for port, load in self.loads.items()
            ],
            self._forward,
            lambda: 1.0,
            self.observed.append,
        )
        self.caller = services.ServiceCaller(self.table, ports)

    def _operation(self, service, operation):
        if service != "line":
            raise errors.UnknownNameError("no such service")
        return {"name": operation, "repeatable": operation == "read"}

    async def _forward(self, call, name):
        router = self.fleet[name]
        if not router.up:
            raise errors.PeerError("no link")
        result = await router.caller.serve(call)
        if not router.up:
            raise errors.PeerError("link lost")
        return result

    async def release(self, key, body=b"{}"):
        return await self.caller.call("plant", "line", "release", body, key, 0)

    async def read(self):
        return await self.caller.call("plant", "line", "read", b"", None, 0)


def _fleet(service):
    fleet = {}
    for number, name in enumerate("abcd"):
        fleet[name] = Router(name, number + 1, fleet, service)
    return fleet


def _routers(service):
    return [*_fleet(service).values()]


@run_on_event_loop
async def test_call_without_a_permit_is_refused_and_given_one():
    service = Service()
    router = _routers(service)[0]
    refused = await router.release(None)
    assert (refused.status, refused.outcome) == (428, NOT_RUN)
    assert not service.requests
    answer = await router.release(refused.fresh_permit)
    assert (answer.body, answer.outcome) == (b"done", ANSWERED)


@pytest.mark.parametrize("key", ["x", "eA==", "a" * 600])
@run_on_event_loop
async def test_forged_permit_is_refused(key):
    service = Service()
    refused = await _routers(service)[0].release(key)
    assert (refused.status, refused.outcome) == (428, NOT_RUN)
    assert refused.fresh_permit
    assert not service.requests


@run_on_event_loop
async def test_permit_of_another_account_is_refused():
    service = Service()
    router = _routers(service)[0]
    refused = await router.release(router.table.issue("timber", 0.0))
    assert refused.outcome is NOT_RUN
    assert not service.requests


@run_on_event_loop
async def test_retry_gets_the_recorded_answer():
    service = Service()
    router = _routers(service)[0]
    key = router.table.issue("plant", 0.0)
    first = await router.release(key)
    assert await router.release(key) == first
    assert service.executed == {key: 1}


@run_on_event_loop
async def test_same_key_to_all_routers_at_once_runs_once():
    service = Service()
    fleet = _routers(service)
    key = fleet[1].table.issue("plant", 0.0)
    answers = await asyncio.gather(*(router.release(key) for router in fleet))
    assert {answer.outcome for answer in answers} == {ANSWERED}
    assert service.executed == {key: 1}


@run_on_event_loop
async def test_call_goes_out_on_a_fresh_connection():
    service = Service()
    router = _routers(service)[0]
    await router.release(router.table.issue("plant", 0.0))
    assert [fresh for _, _, fresh in service.requests] == [True]


@pytest.mark.parametrize("step", ["refused", FULL])
@run_on_event_loop
async def test_runner_that_did_not_run_the_call_is_skipped(step):
    service = Service(step)
    router = _routers(service)[0]
    key = router.table.issue("plant", 0.0)
    answer = await router.release(key)
    assert answer.outcome is ANSWERED
    assert service.executed == {key: 1}
    assert len({port for port, _, _ in service.requests}) == 2


@run_on_event_loop
async def test_not_run_call_uses_up_the_permit_for_every_retry():
    service = Service("refused", FULL, "refused")
    fleet = _routers(service)
    key = fleet[0].table.issue("plant", 0.0)
    refused = await fleet[0].release(key)
    assert (refused.status, refused.outcome) == (503, NOT_RUN)
    assert refused.retry_after > 0
    for router in fleet:
        again = await router.release(key)
        assert again.outcome is NOT_RUN
    assert not service.executed
    answer = await fleet[0].release(refused.fresh_permit)
    assert answer.outcome is ANSWERED


@pytest.mark.parametrize("step", ["lost before", "lost after"])
@run_on_event_loop
async def test_lost_answer_is_unknown_and_never_sent_again(step):
    service = Service(step)
    fleet = _routers(service)
    key = fleet[0].table.issue("plant", 0.0)
    for router in fleet:
        answer = await router.release(key)
        assert (answer.status, answer.outcome) == (504, UNKNOWN)
        assert not answer.fresh_permit
    assert len(service.requests) == 1


@run_on_event_loop
async def test_unreachable_holder_is_unknown():
    service = Service()
    fleet = _fleet(service)
    key = fleet["a"].table.issue("plant", 0.0)
    fleet["a"].up = False
    answer = await fleet["b"].release(key)
    assert answer.outcome is UNKNOWN


@run_on_event_loop
async def test_holder_lost_after_it_ran_is_unknown():
    service = Service()
    fleet = _fleet(service)
    service.gate.clear()
    key = fleet["a"].table.issue("plant", 0.0)
    call = asyncio.create_task(fleet["b"].release(key))
    while not service.executed:
        await asyncio.sleep(0)
    fleet["a"].up = False
    service.gate.set()
    assert (await call).outcome is UNKNOWN
    assert service.executed == {key: 1}


@run_on_event_loop
async def test_holder_restarted_without_its_permits_is_unknown():
    service = Service()
    fleet = _fleet(service)
    key = fleet["a"].table.issue("plant", 0.0)
    await fleet["a"].release(key)
    fleet["a"] = Router("a", 99, fleet, service)
    for router in fleet.values():
        assert (await router.release(key)).outcome is UNKNOWN
    assert service.executed == {key: 1}


@run_on_event_loop
async def test_permit_runs_at_the_successor():
    service = Service()
    fleet = _fleet(service)
    used = fleet["a"].table.issue("plant", 0.0)
    unused = fleet["a"].table.issue("plant", 0.0)
    first = await fleet["a"].release(used)
    successor = permits.Remote("b", 2)
    data = fleet["a"].table.export(successor, 1.0)
    assert (await fleet["a"].release(unused)).outcome is UNKNOWN
    fleet["b"].table.adopt(data, 1.0)
    # Routers c and d have no pointer to the successor; router a, which is
    # stopping, forwards their calls.
    for name in "acd":
        assert (await fleet[name].release(unused)).outcome is ANSWERED
        assert await fleet[name].release(used) == first
    assert service.executed == {used: 1, unused: 1}


@run_on_event_loop
async def test_cancelled_caller_does_not_cancel_the_run():
    service = Service()
    router = _routers(service)[0]
    service.gate.clear()
    key = router.table.issue("plant", 0.0)
    call = asyncio.create_task(router.release(key))
    while not service.executed:
        await asyncio.sleep(0)
    call.cancel()
    repeat = asyncio.create_task(router.release(key))
    await asyncio.sleep(0)
    service.gate.set()
    assert (await repeat).outcome is ANSWERED
    assert service.executed == {key: 1}


@run_on_event_loop
async def test_other_call_under_a_used_permit_is_refused():
    service = Service()
    router = _routers(service)[0]
    key = router.table.issue("plant", 0.0)
    await router.release(key)
    refused = await router.release(key, b"other")
    assert (refused.status, refused.outcome) == (422, NOT_RUN)
    assert service.executed == {key: 1}


@run_on_event_loop
async def test_operation_unknown_to_the_holder_uses_up_the_permit():
    service = Service()
    router = _routers(service)[0]
    key = router.table.issue("plant", 0.0)
    refused = await router.caller.call("plant", "x", "y", b"", key, 0)
    assert (refused.status, refused.outcome) == (404, NOT_RUN)
    assert (await router.release(key)).outcome is NOT_RUN
    assert not service.executed


@run_on_event_loop
async def test_unexpected_error_in_the_router_gives_unknown_outcome():
    service = Service(None)
    router = _routers(service)[0]
    key = router.table.issue("plant", 0.0)
    for _ in range(2):
        assert (await router.release(key)).outcome is UNKNOWN
    assert len(service.requests) == 1


@pytest.mark.parametrize(
    ("status", "outcome"), [(201, ANSWERED), (409, ANSWERED), (500, UNKNOWN)]
)
@run_on_event_loop
async def test_outcome_follows_the_status_of_the_runner(status, outcome):
    service = Service(http_client.Response(status, {}, b"x"))
    router = _routers(service)[0]
    answer = await router.release(router.table.issue("plant", 0.0))
    assert answer.outcome is outcome


@pytest.mark.parametrize("step", ["refused", FULL, "lost after"])
@run_on_event_loop
async def test_repeatable_call_is_retried_once(step):
    service = Service(step, DONE)
    answer = await _routers(service)[0].read()
    assert answer.outcome is ANSWERED
    assert len({port for port, _, _ in service.requests}) == 2


@run_on_event_loop
async def test_repeatable_call_is_tried_twice_at_most():
    service = Service("refused", "refused")
    answer = await _routers(service)[0].read()
    assert (answer.outcome, answer.fresh_permit) == (NOT_RUN, "")
    assert len(service.requests) == 2


@run_on_event_loop
async def test_retries_have_a_budget():
    service = Service(*["refused"] * 200)
    router = _routers(service)[0]
    for _ in range(100):
        await router.read()
    assert len(service.requests) <= 100 + services.RETRY_BUDGET_BURST + 10


@run_on_event_loop
async def test_least_loaded_runner_is_chosen_and_equals_take_turns():
    service = Service()
    router = _routers(service)[0]
    router.loads = {1: 2, 2: 0, 3: 0}
    for _ in range(4):
        await router.read()
    ports = [port for port, _, _ in service.requests]
    assert sorted(ports) == [2, 2, 3, 3]


@run_on_event_loop
async def test_refusal_without_the_permit_holder_has_unknown_outcome():
    caller = _routers(Service())[0].caller
    key = caller._table.issue("plant", 0.0)
    for received_key, outcome in (
        (key, UNKNOWN),
        ("x", NOT_RUN),
        (None, NOT_RUN),
    ):
        error = caller.mark_outcome_unknown(
            errors.StoppingError("stopping"), received_key
        )
        assert error.outcome is outcome


@run_on_event_loop
async def test_unknown_names_are_not_run():
    router = _routers(Service())[0]
    answer = await router.caller.call("plant", "x", "y", b"", None, 0)
    assert (answer.status, answer.outcome) == (404, NOT_RUN)


@pytest.mark.parametrize("seed", range(40))
@run_on_event_loop
async def test_random_fleet_runs_at_most_once_and_reports_true_outcomes(seed):
    rng = random.Random(seed)
    steps = ["refused", FULL, "lost before", "lost after", DONE]
    service = Service(*rng.choices(steps, k=400))
    fleet = _fleet(service)
    keys = [
        rng.choice([*fleet.values()]).table.issue("plant", 0.0)
        for _ in range(10)
    ]
    outcomes = collections.defaultdict(set)
    incarnation = 100
    for _ in range(12):
        calls = [
            (key, name) for key in rng.choices(keys, k=4) for name in fleet
        ]
        rng.shuffle(calls)
        answers = await asyncio.gather(
            *(fleet[name].release(key) for key, name in calls)
        )
        for (key, _), answer in zip(calls, answers, strict=True):
            outcomes[key].add(answer.outcome)
        incarnation += 1
        _disturb(rng, fleet, service, incarnation)
    assert max(service.executed.values(), default=0) <= 1
    for key in keys:
        assert not (NOT_RUN in outcomes[key] and service.executed[key])
        assert not (ANSWERED in outcomes[key] and not service.executed[key])


def _disturb(rng, fleet, service, incarnation):
    """Disconnects, reconnects, restarts or hands over a random router."""
    name, other = rng.sample("abcd", 2)
    router = fleet[name]
    match rng.choice(["disconnect", "reconnect", "restart", "hand over"]):
        case "disconnect":
            router.up = False
        case "reconnect":
            router.up = True
        case "restart":
            fleet[name] = Router(name, incarnation, fleet, service)
        case "hand over":
            table = fleet[other].table
            successor = permits.Remote(other, table.incarnation)
            data = router.table.export(successor, 1.0)
            if rng.random() < 0.8:
                table.adopt(data, 1.0)
            new = Router(name, incarnation, fleet, service)
            for member in [*fleet.values(), new]:
                for pointer in router.table.pointers(1.0):
                    member.table.add_pointer(pointer, 1.0)
            fleet[name] = new
