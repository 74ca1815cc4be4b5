"""The bound on the load of an engine, judged from the engines' records."""

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
# A request is on its way to its engine, and a lower load on its way to the
# other owners, for at most this long.
ON_THE_WAY_S = 0.5
# A request that arrives so soon after another one was dispatched before it
# arrived, so it was part of the load.
DISPATCHED_S = 0.2
_CHANGES = ("arrive", "finished", "cancelled", "aborted")
_LOGGER = logging.getLogger(__name__)


class Judged(NamedTuple):
    """What the records tell of the bound.

    Attributes:
        over: Arrivals that took an engine over the bound, whichever of the
            total loads around the dispatch is put into it.
        late: Arrivals that are over only by the total at the arrival, which
            fell while the request was on its way, or did not count others yet
            that were on theirs.
        arrivals: All arrivals.
        peak: Largest total.
    """

    over: list[str]
    late: int
    arrivals: int
    peak: int


def judge(rows: list[list[Any]], bound: float, engines: int) -> Judged:
    """Judges merged records.

    Args:
        rows: Records of all engines, in order of time.
        bound: Multiple of the mean.
        engines: Number of engines.
    """
    totals = _totals(rows)
    over, late = [], 0
    arrivals = [row for row in rows if row[2] == "arrive"]
    for at, engine, _, name, attempt, in_flight in arrivals:
        before = _most(totals, at - ON_THE_WAY_S, at)
        # Before it arrived, the request itself was no part of the total.
        total = max(before + 1, _most(totals, at, at + DISPATCHED_S))
        if in_flight > _limit(bound, total, engines):
            over.append(f"{name}#{attempt} at {engine}: {in_flight}/{total}")
        elif in_flight > _limit(bound, _at(totals, at), engines):
            late += 1
    peak = max(total for _, total in totals)
    return Judged(over, late, len(arrivals), peak)


def _totals(rows: list[list[Any]]) -> list[tuple[float, int]]:
    """Returns the total load from each moment on."""
    loads: dict[str, int] = {}
    totals = [(-math.inf, 0)]
    for at, engine, kind, *_, in_flight in rows:
        if kind in _CHANGES:
            loads[engine] = in_flight
            totals.append((at, sum(loads.values())))
    return totals


def _at(totals: list[tuple[float, int]], at: float) -> int:
    return totals[bisect.bisect_right(totals, (at, math.inf)) - 1][1]


def _most(totals: list[tuple[float, int]], since: float, until: float) -> int:
    """Returns the largest total from a time on and before another."""
    first = bisect.bisect_right(totals, (since, math.inf)) - 1
    last = bisect.bisect_left(totals, (until, -1))
    return max(total for _, total in totals[first : max(last, first + 1)])


def _limit(bound: float, total: int, engines: int) -> int:
    """Returns the most at an engine, with the request already in the total."""
    return math.ceil(bound * total / engines - 1e-9)


def test_judge_finds_an_engine_over_the_bound():
    rows = [[0.1, "a", "arrive", "r", 1, 1], [0.2, "a", "arrive", "s", 1, 2]]
    rows += [[0.3, "b", "arrive", "t", 1, 1]]
    rows += [[0.4, "a", "arrive", "u", 1, 3], [0.5, "a", "arrive", "v", 1, 4]]
    assert judge(rows, 1.5, 2).over == []
    assert judge(rows, 1.1, 2).over == ["v#1 at a: 4/5"]


def test_judge_counts_what_a_fall_of_the_total_leaves():
    rows = [[0.1, "a", "arrive", "r", 1, 1], [0.1, "b", "arrive", "s", 1, 1]]
    rows += [[0.2, "b", "finished", "s", 1, 0]]
    late = [*rows, [0.3, "a", "arrive", "t", 1, 2]]
    assert judge(late, 1.0, 2)[:2] == ([], 1)
    later = [*rows, [0.9, "a", "arrive", "t", 1, 2]]
    assert len(judge(later, 1.0, 2).over) == 1


async def _ask_hot_chat(found: harness.Deployment, number: int):
    """Goes on in one chat, whose cache is on one engine."""
    program = found.caller("press-line-1", number, request_timeout_s=60.0)
    text = " ".join(f"word-{place}" for place in range(WORDS))
    results = []
    for turn in range(TURNS):
        question = f"{text} {number} {turn}"
        result = await program.chat(
            found.model,
            [{"role": "user", "content": question}],
            chat_id="hot",
            tokens=TOKENS,
        )
        results.append(result)
    return results


def _run(tmp_path, disturb):
    async def main():
        async with harness.deployment(tmp_path) as found:
            # The cache of the chat is on one engine before the others ask.
            await _ask_hot_chat(found, CALLERS)
            asked = [
                asyncio.create_task(_ask_hot_chat(found, number))
                for number in range(CALLERS)
            ]
            await disturb(found)
            for results in await asyncio.gather(*asked):
                load.check_answers(results)
            rows = await observe.merged_rows(found)
            engines = len(found.names("engine"))
            judged = judge(rows, found.document["load_bound"], engines)
            _LOGGER.info("%s", judged)
            assert judged.arrivals >= CALLERS * TURNS
            assert judged.over == []

    asyncio.run(main())


def test_no_engine_over_the_bound(tmp_path):
    async def disturb(_: harness.Deployment):
        pass

    _run(tmp_path, disturb)


def test_no_engine_over_the_bound_when_owners_change(tmp_path):
    async def disturb(found: harness.Deployment):
        await asyncio.sleep(1.0)
        await found.processes["router-3"].stop()

    _run(tmp_path, disturb)
