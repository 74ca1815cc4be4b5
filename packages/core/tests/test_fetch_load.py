"""Simulates engines that copy prompts from one another, under a burst.

Prompts of three kinds return to a few shared parts, some of them very popular.
Prefilling is fast, so that nearly all callers are served in time wherever
their prompt goes; each copy that is not needed evicts the prompt of another
chat.
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
RATES = promptmodel.EngineRates(157_000.0, 600_000.0, 0.008)
SEEDS = range(1, 4)


def _route(name, target_s):
    return catalog.Route(
        name,
        "shop",
        f"/{name}/",
        catalog.RequestKind.STREAM,
        (catalog.TrafficShare("engines", 1.0),),
        12.0,
        target_s,
        1,
        1,
        True,
        False,
        0.3,
    )


# Route, requests per second, and the number and size of the shared parts.
KINDS = (
    (_route("short", 0.25), 31.0, 200, 580),
    (_route("long", 1.0), 52.0, 60, 10_000),
    (_route("tag", 0.3), 90.0, 20, 2_041),
)
OWN_TOKENS = 400


def _call(route, count, tokens, number, now, rng):
    popular = int(rng.paretovariate(0.9)) % count
    parts = (
        calls.PromptPart(f"{route.name}-{popular}", tokens),
        calls.PromptPart(f"own-{number}", OWN_TOKENS),
    )
    hints = calls.PromptHints("m", parts, tokens + OWN_TOKENS, 300)
    return calls.Call(
        f"id-{number}", route, "engines", "", 1, now + 10, now, "", hints
    )


@functools.cache
def _simulate(fetch_target_share, seed):
    """Returns the share of requests on time and the number of copies."""
    clock = enginemodel.Clock(seed)
    policy = dispatch.Policy(
        prefill_tokens_per_s=RATES.prefill_tokens_per_s,
        fetch_tokens_per_s=RATES.fetch_tokens_per_s,
        fetch_target_share=fetch_target_share,
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
            target_s=call.route.target_s,
        )

    fleet = promptmodel.Fleet(clock, ROUTERS, ENGINES, choose, rates=RATES)
    rng = clock.random
    number = 0
    for route, per_s, count, tokens in KINDS:
        now = rng.expovariate(per_s)
        while now < LENGTH_S:
            number += 1
            call = _call(route, count, tokens, number, now, rng)
            clock.call_at(now, functools.partial(fleet.arrive, call))
            in_burst = route.name == "long" and 3 < now < 10
            now += rng.expovariate(per_s * (2.3 if in_burst else 1.0))
    clock.run(LENGTH_S + 20)
    outcomes = fleet.outcomes
    on_time = sum(
        outcome.first_event_s <= outcome.call.route.target_s
        for outcome in outcomes
    )
    copies = sum(outcome.fetched_tokens > 0 for outcome in outcomes)
    return on_time / len(outcomes), copies


@pytest.mark.parametrize("seed", SEEDS)
def test_waiting_within_the_target_saves_copies_and_costs_no_target(seed):
    on_time, copies = _simulate(dispatch.Policy().fetch_target_share, seed)
    on_time_without, copies_without = _simulate(0.0, seed)
    assert on_time >= min(0.995, on_time_without)
    assert copies < copies_without / 3
