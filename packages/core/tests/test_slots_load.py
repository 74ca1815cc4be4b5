"""Simulates engines with few slots whose prompts are not equally popular.

Requests beyond the slots of an engine wait until others end, however little
there is to prefill. A router that sends each prompt to the engine that has it
cached must notice when that engine cannot begin it in time.
"""

import functools

import pytest

from nutmegpost_core import calls
from nutmegpost_core import catalog
from nutmegpost_core import dispatch
from nutmegpost_standins import enginemodel
from nutmegpost_standins import promptmodel

ROUTERS = 4
ENGINES = "abcdefghi"
LENGTH_S = 20.0
ANSWER_S = 1.5
RATES = promptmodel.EngineRates(157_000.0, 600_000.0, 0.008, 12, ANSWER_S)
# Seven tenths of what the slots allow.
LOAD_PER_S = 0.7 * len(ENGINES) * RATES.slots / ANSWER_S
TARGET_S = 0.25
SHARED_TOKENS = 700
PROMPTS = 60
SEEDS = range(1, 5)

ROUTE = catalog.Route(
    "chat",
    "shop",
    "/chat/",
    catalog.RequestKind.STREAM,
    (catalog.TrafficShare("engines", 1.0),),
    12.0,
    TARGET_S,
    1,
    1,
    True,
    False,
    0.3,
)


def _call(number, now, rng):
    popular = int(rng.paretovariate(0.7)) % PROMPTS
    parts = (
        calls.PromptPart(f"chat-{popular}", SHARED_TOKENS),
        calls.PromptPart(f"own-{number}", 130),
    )
    hints = calls.PromptHints("m", parts, SHARED_TOKENS + 130, 300)
    return calls.Call(
        f"id-{number}", ROUTE, "engines", "", 1, now + 10, now, "", hints
    )


@functools.cache
def _share_on_time(slot_s, seed):
    clock = enginemodel.Clock(seed)
    policy = dispatch.Policy(
        prefill_tokens_per_s=RATES.prefill_tokens_per_s,
        fetch_tokens_per_s=RATES.fetch_tokens_per_s,
        slot_s=slot_s,
        tie_width_s=dispatch.tie_width_s(ROUTERS),
    )

    def choose(router, call, endpoints, now):
        return dispatch.choose(
            endpoints,
            router.load,
            router.caches,
            call.hints,
            "zone-a",
            now,
            policy,
            target_s=TARGET_S,
        ) or _least_loaded(router, endpoints)

    fleet = promptmodel.Fleet(clock, ROUTERS, ENGINES, choose, rates=RATES)
    rng = clock.random
    number = 0
    now = rng.expovariate(LOAD_PER_S)
    while now < LENGTH_S:
        number += 1
        call = _call(number, now, rng)
        clock.call_at(now, functools.partial(fleet.arrive, call))
        now += rng.expovariate(LOAD_PER_S)
    clock.run(LENGTH_S + 20)
    on_time = sum(
        outcome.first_event_s <= TARGET_S for outcome in fleet.outcomes
    )
    return on_time / number


def _least_loaded(router, endpoints):
    endpoint = min(endpoints, key=lambda candidate: router.load(candidate.name))
    load = router.load(endpoint.name)
    return dispatch.Choice(endpoint, 0, 0, None, 0.0, 0, load)


@pytest.mark.parametrize("seed", SEEDS)
def test_requests_begin_in_time_while_other_engines_have_slots(seed):
    assert _share_on_time(ANSWER_S, seed) >= 0.9
    assert _share_on_time(ANSWER_S, seed) > _share_on_time(0.0, seed)
