"""A short soak of gateway processes, and tests of its checks."""

import asyncio

import faultsoak
import pytest
import soak_checks
import standin

from nutmegpost_core import vms
from nutmegpost_router import http_client

pytestmark = [
    pytest.mark.processes,
    pytest.mark.xdist_group("processes"),
]

FAULT_SECONDS = 4.0


@pytest.mark.parametrize(
    ("seed", "seconds", "matter"),
    [
        (1, FAULT_SECONDS, "all"),
        (2, FAULT_SECONDS, "all"),
        # Common prompt parts and requests were blamed for crashes and refused.
        (611003, 10.0, "all"),
        (2, 20.0, "store"),
        (2, 10.0, "repeats"),
    ],
)
def test_no_guarantee_is_violated_under_faults(seed, seconds, matter):
    violations, soak = faultsoak.run_seed(seed, seconds, matter=matter)
    assert violations == []
    assert any(outcome.status == 200 for outcome in soak.outcomes)


def _check_outcome(tmp_path, outcome, executed):
    soak = faultsoak.Soak(1, tmp_path)
    runner = standin.Runner("p1", "plain")
    runner.executed = executed
    soak._runners = {"p1": runner}
    soak._gateways = []
    soak.outcomes = [outcome]
    return soak._find_violations()


BASE_OUTCOME = faultsoak.Outcome(
    "a", "/issue/1", 200, b"answer to /issue/1", "p1"
)


@pytest.mark.parametrize(
    ("outcome", "executed", "count"),
    [
        (BASE_OUTCOME._replace(seal="seal-of-p1"), ["a"], 0),
        (BASE_OUTCOME._replace(seal="seal-of-p1"), ["a", "a"], 1),
        (BASE_OUTCOME._replace(seal="seal-of-p2"), ["a"], 1),
        (BASE_OUTCOME._replace(seal="seal-of-p1", body=b"answer"), ["a"], 1),
        (BASE_OUTCOME._replace(status=503, body=b""), ["a"], 1),
        (BASE_OUTCOME._replace(status=503, body=b""), [], 0),
        (BASE_OUTCOME._replace(status=502, body=b""), ["a"], 0),
    ],
)
def test_checks_detect_a_violated_guarantee(tmp_path, outcome, executed, count):
    assert len(_check_outcome(tmp_path, outcome, executed)) == count


BUDGET = soak_checks.Budget(0.2, 2, 4.0)


@pytest.mark.parametrize(
    ("sent", "repeated", "is_over"),
    [
        ([], [9.0, 9.5], False),
        ([], [9.0, 9.5, 10.0], True),
        # The window has the requests, the one before or half of both.
        ([9.0] * 5, [9.0, 9.5, 10.0], False),
        ([5.1] * 5, [9.0, 9.5, 10.0], False),
        ([7.0] * 5, [9.0, 9.5, 10.0], False),
        ([9.0] * 4, [9.0, 9.5, 10.0], True),
        ([7.5, 7.5, 12.5, 12.5, 12.5], [9.0, 9.5, 10.0], True),
        ([4.9] * 5, [9.0, 9.5, 10.0], True),
        # No window of this length has three.
        ([], [9.0, 11.0, 13.0], False),
        ([], [9.0, 11.0, 12.9], True),
    ],
)
def test_checks_detect_repeats_over_the_budget(sent, repeated, is_over):
    assert bool(soak_checks.over_budget(sent, repeated, BUDGET)) == is_over


def test_repeats_are_the_arrivals_beyond_the_first():
    arrivals = [(3.0, "a"), (1.0, "a"), (2.0, "b"), (4.0, "a")]
    assert soak_checks.repeats(arrivals) == [3.0, 4.0]


PROCESS = ("gateway-0", 1)


def _probe(check, now, answer, process=PROCESS, is_latest=False):
    probe = check.probe("route added", process, is_latest, now)
    check.record(probe, answer, "old")


@pytest.mark.parametrize(
    ("now", "disrupted_until", "is_violated"),
    [
        (12.01, {}, True),
        (11.99, {}, False),
        (12.99, {"links": 10.0}, False),
        (13.01, {"links": 12.0}, True),
        (13.0, {"store": 10.0}, True),
        (12.99, {"store": 10.0}, False),
        (12.99, {"gateway-0": 10.0}, False),
        (12.99, {"gateway-1": 10.0}, True),
    ],
)
def test_checks_detect_an_older_version(now, disrupted_until, is_violated):
    check = soak_checks.ConfigurationCheck()
    check.acknowledge(2, 10.0)
    for subject, time in disrupted_until.items():
        with check.disrupted(subject, lambda time=time: time):
            pass
    _probe(check, now, 404)
    assert bool(check.violations) == is_violated


def test_a_gateway_that_is_disrupted_is_not_in_touch():
    check = soak_checks.ConfigurationCheck()
    check.acknowledge(2, 10.0)
    with check.disrupted("gateway-0", lambda: 20.0):
        _probe(check, 20.0, 404)
    assert check.violations == []


def test_checks_detect_that_a_process_goes_back():
    check = soak_checks.ConfigurationCheck()
    check.acknowledge(2, 10.0)
    _probe(check, 10.1, 200, is_latest=True)
    _probe(check, 10.2, 404, process=("gateway-0", 2), is_latest=True)
    assert check.violations == []
    _probe(check, 10.2, 404)
    assert len(check.violations) == 1


@pytest.mark.parametrize(
    ("kind", "status", "service", "expected"),
    [
        ("route added", 404, "", True),
        ("route added", 200, "old", False),
        ("route moved", 200, "old", True),
        ("route moved", 200, "new", False),
        ("key added", 401, "", True),
        ("key added", 200, "old", False),
        ("key revoked", 200, "old", True),
        ("key revoked", 401, "", False),
        ("route added", 503, "", None),
        ("route moved", 0, "", None),
        ("key revoked", 504, "", None),
    ],
)
def test_answers_tell_the_version(kind, status, service, expected):
    assert soak_checks.is_older(kind, status, service) is expected


async def _call(client, address, path, timeout_s=5.0):
    return await client.request(
        vms.parse_address(address), "GET", path, {}, timeout_s=timeout_s
    )


RANGE = "/api/kv-range?prefix=op/"
POLL = "/api/kv-watch?prefix=op/&after=2&waitMs=200"


def test_the_connections_of_a_link_share_its_rate():
    async def scenario():
        store = standin.Store()
        store.put("op/config", bytes(60_000))
        link, address = await store.add_link()
        link.bytes_per_s = 200_000
        client = http_client.Client()
        begin = asyncio.get_running_loop().time()
        answers = await asyncio.gather(
            *(_call(client, address, RANGE) for _ in range(2))
        )
        spent_s = asyncio.get_running_loop().time() - begin
        size = sum(len(answer.body) for answer in answers)
        assert size > 160_000
        assert spent_s >= 0.95 * size / link.bytes_per_s

    standin.run_scenario(scenario)


def test_a_silent_store_answers_no_call_that_waits_or_arrives():
    async def scenario():
        store = standin.Store()
        store.put("op/config", {})
        _, address = await store.add_link()
        client = http_client.Client()
        waiting = asyncio.create_task(_call(client, address, POLL, 0.6))
        await asyncio.sleep(0.05)
        store.begin_silence()
        with pytest.raises(http_client.ExchangeError):
            await _call(client, address, RANGE, 0.1)
        store.end_silence()
        with pytest.raises(http_client.ExchangeError):
            await waiting
        assert (await _call(client, address, RANGE)).status == 200

    standin.run_scenario(scenario)


def test_a_store_that_loses_an_answer_answers_the_next():
    async def scenario():
        store = standin.Store()
        _, address = await store.add_link()
        client = http_client.Client()
        lost = [True]
        store.loses_answer = lambda: bool(lost) and lost.pop()
        with pytest.raises(http_client.ExchangeError):
            await _call(client, address, RANGE, 0.1)
        assert (await _call(client, address, RANGE)).status == 200

    standin.run_scenario(scenario)
