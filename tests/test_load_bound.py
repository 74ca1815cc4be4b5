"""The bound on the load of an engine, checked against the engines' records."""

import asyncio
import bisect
import logging
import math
from typing import Any, NamedTuple

import harness
import load
import observe
import pytest

pytestmark = [
    pytest.mark.processes,
    pytest.mark.xdist_group("processes"),
]

CALLERS = 32
TURNS = 8
WORDS = 2_000
TOKENS = 40
# Maximum time in transit of a request to its engine, and of a decreased load to
# the other owners.
TRANSIT_S = 0.5
# A request that arrives within this time after another one was dispatched
# before the other one arrived, so it was already part of the load.
CONCURRENT_DISPATCH_S = 0.2
_LOAD_CHANGES = ("arrive", "finished", "cancelled", "aborted")
_LOGGER = logging.getLogger(__name__)


class BoundReport(NamedTuple):
    """Result of checking the records against the bound.

    Attributes:
        violations: Arrivals that exceeded the bound of an engine for every
            total load around the time of dispatch.
        transit_excesses: Number of arrivals that exceeded the bound only for
            the total at arrival. That total decreased while the request was in
            transit, or did not yet include other requests in transit.
        arrivals: Number of arrivals.
        peak_total: Maximum total load.
    """

    violations: list[str]
    transit_excesses: int
    arrivals: int
    peak_total: int


def check_bound(
    rows: list[list[Any]], bound: float, engines: int
) -> BoundReport:
    """Checks merged records against the load bound.

    Args:
        rows: Records of all engines, sorted by time.
        bound: Multiple of the mean load that no engine may exceed.
        engines: Number of engines.
    """
    totals = _totals(rows)
    violations, transit_excesses = [], 0
    arrivals = [row for row in rows if row[2] == "arrive"]
    for at, engine, _, name, attempt, in_flight in arrivals:
        before = _max_total(totals, at - TRANSIT_S, at)
        # The totals before the arrival do not include the request itself.
        total = max(
            before + 1, _max_total(totals, at, at + CONCURRENT_DISPATCH_S)
        )
        if in_flight > _load_limit(bound, total, engines):
            violations.append(
                f"{name}#{attempt} at {engine}: {in_flight}/{total}"
            )
        elif in_flight > _load_limit(bound, _total_at(totals, at), engines):
            transit_excesses += 1
    peak_total = max(total for _, total in totals)
    return BoundReport(violations, transit_excesses, len(arrivals), peak_total)


def _totals(rows: list[list[Any]]) -> list[tuple[float, int]]:
    """Returns (time, total load from then on) for each change of the load."""
    loads: dict[str, int] = {}
    totals = [(-math.inf, 0)]
    for at, engine, kind, *_, in_flight in rows:
        if kind in _LOAD_CHANGES:
            loads[engine] = in_flight
            totals.append((at, sum(loads.values())))
    return totals


def _total_at(totals: list[tuple[float, int]], at: float) -> int:
    return totals[bisect.bisect_right(totals, (at, math.inf)) - 1][1]


def _max_total(
    totals: list[tuple[float, int]], since: float, until: float
) -> int:
    """Returns the maximum total in the interval from `since` to `until`."""
    first = bisect.bisect_right(totals, (since, math.inf)) - 1
    last = bisect.bisect_left(totals, (until, -1))
    return max(total for _, total in totals[first : max(last, first + 1)])


def _load_limit(bound: float, total: int, engines: int) -> int:
    """Returns the maximum load of an engine for a total with the request."""
    return math.ceil(bound * total / engines - 1e-9)


def test_check_finds_an_engine_over_the_bound():
    rows = [[0.1, "a", "arrive", "r", 1, 1], [0.2, "a", "arrive", "s", 1, 2]]
    rows += [[0.3, "b", "arrive", "t", 1, 1]]
    rows += [[0.4, "a", "arrive", "u", 1, 3], [0.5, "a", "arrive", "v", 1, 4]]
    assert check_bound(rows, 1.5, 2).violations == []
    assert check_bound(rows, 1.1, 2).violations == ["v#1 at a: 4/5"]


def test_check_counts_excess_after_a_drop_of_the_total():
    rows = [[0.1, "a", "arrive", "r", 1, 1], [0.1, "b", "arrive", "s", 1, 1]]
    rows += [[0.2, "b", "finished", "s", 1, 0]]
    late = [*rows, [0.3, "a", "arrive", "t", 1, 2]]
    assert check_bound(late, 1.0, 2)[:2] == ([], 1)
    later = [*rows, [0.9, "a", "arrive", "t", 1, 2]]
    assert len(check_bound(later, 1.0, 2).violations) == 1


async def _send_hot_chat(deployment: harness.Deployment, number: int):
    """Sends requests of one chat, whose prefix is cached on one engine."""
    client = deployment.caller("press-line-1", number, request_timeout_s=60.0)
    text = " ".join(f"word-{place}" for place in range(WORDS))
    results = []
    for turn in range(TURNS):
        question = f"{text} {number} {turn}"
        result = await client.chat(
            deployment.model,
            [{"role": "user", "content": question}],
            chat_id="hot",
            tokens=TOKENS,
        )
        results.append(result)
    return results


def _run(tmp_path, disturb):
    async def main():
        async with harness.deployment(tmp_path) as deployment:
            # One engine has the chat in its cache before the load starts.
            await _send_hot_chat(deployment, CALLERS)
            chats = [
                asyncio.create_task(_send_hot_chat(deployment, number))
                for number in range(CALLERS)
            ]
            await disturb(deployment)
            for results in await asyncio.gather(*chats):
                load.check_answers(results)
            rows = await observe.merged_records(deployment)
            engines = len(deployment.vm_names("engine"))
            report = check_bound(
                rows, deployment.document["load_bound"], engines
            )
            _LOGGER.info("%s", report)
            assert report.arrivals >= CALLERS * TURNS
            assert report.violations == []

    asyncio.run(main())


def test_no_engine_over_the_bound(tmp_path):
    async def disturb(_: harness.Deployment):
        pass

    _run(tmp_path, disturb)


def test_no_engine_over_the_bound_when_owners_change(tmp_path):
    async def disturb(deployment: harness.Deployment):
        await asyncio.sleep(1.0)
        await deployment.processes["router-3"].stop()

    _run(tmp_path, disturb)
