import random

import hypothesis
from hypothesis import strategies

from nutmegpost_core import calls
from nutmegpost_core import dispatch
from nutmegpost_core import prefixes
from nutmegpost_core import roster

POLICY = dispatch.Policy(fetch_tokens_per_s=5_000_000.0)
BOUNDLESS = POLICY._replace(load_slack=99.0)
PARTS = (
    calls.PromptPart("system", 500),
    calls.PromptPart("chat", 10_000),
    calls.PromptPart("own", 300),
)
HINTS = calls.PromptHints("m", PARTS, 10_800, 200)


def _endpoint(name, zone="zone-a", warming_until=0.0):
    return roster.Endpoint(
        name, "engines", "127.0.0.1:1", zone, 64, False, warming_until, 1
    )


def _choose(names, loads=None, caches=None, hints=HINTS, **more):
    loads = loads or {}
    values = {"zone": "zone-a", "now": 0.0, "policy": POLICY} | more
    return dispatch.choose(
        [
            name if isinstance(name, roster.Endpoint) else _endpoint(name)
            for name in names
        ],
        lambda name: loads.get(name, dispatch.Load()),
        caches or prefixes.PrefixCaches(),
        hints,
        **values,
    )


def _cached_at(*names):
    caches = prefixes.PrefixCaches()
    for name in names:
        caches.touch(name, PARTS[:-1], 400_000)
    return caches


def test_returning_chat_is_routed_to_its_cache():
    caches = _cached_at("c")
    loads = {"c": dispatch.Load(3, 0)}
    choice = _choose("abcd", loads, caches)
    assert choice.endpoint.name == "c"
    assert choice.cached_tokens == 10_500
    assert choice.source is None


def test_long_queue_at_the_cache_moves_the_chat_and_fetches_its_cache():
    caches = _cached_at("c")
    loads = {"c": dispatch.Load(3, 200_000)}
    choice = _choose("abcd", loads, caches)
    assert choice.endpoint.name != "c"
    assert choice.source.endpoint.name == "c"
    assert choice.source.tokens == 10_500
    assert choice.duplicate_prefill_tokens == 0


def test_unknown_prompt_goes_to_the_first_in_order_though_it_has_more_load():
    first = _order("abcd")[0]
    loads = {name: dispatch.Load(2, 0) for name in "abcd"}
    loads[first] = dispatch.Load(8, 5_000)
    choice = _choose("abcd", loads, target_s=1.0)
    assert choice.endpoint.name == first
    assert choice.cached_tokens == 0
    assert choice.source is None
    choice = _choose("abcd", loads, target_s=1.0, ejected={first})
    assert choice.endpoint.name == _order("abcd")[1]


def test_prompt_waits_at_its_cache_within_a_part_of_the_target():
    caches = _cached_at("c")
    loads = {"c": dispatch.Load(3, 8_000)}
    assert _choose("abcd", loads, caches).endpoint.name != "c"
    choice = _choose("abcd", loads, caches, target_s=1.0)
    assert choice.endpoint.name == "c"


def test_without_fetches_a_second_prefill_costs_more_than_a_short_queue():
    caches = _cached_at("c")
    loads = {"c": dispatch.Load(3, 60_000)}
    policy = dispatch.Policy()
    assert _choose("abcd", loads, caches, policy=policy).endpoint.name == "c"


def test_cache_of_a_draining_endpoint_is_fetched():
    caches = _cached_at("gone")
    choice = _choose("ab", caches=caches, draining=[_endpoint("gone")])
    assert choice.endpoint.name in "ab"
    assert choice.source.endpoint.name == "gone"


def test_routers_with_different_load_views_choose_one_endpoint():
    names = "abcdefgh"
    rng = random.Random(1)
    chosen = {
        _choose(
            names,
            {name: dispatch.Load(rng.randrange(4), 0) for name in names},
        ).endpoint.name
        for _ in range(50)
    }
    assert len(chosen) == 1


def test_prompts_spread_over_the_endpoints():
    chosen = set()
    for number in range(200):
        parts = (
            calls.PromptPart(f"chat-{number}", 5000),
            calls.PromptPart("own", 10),
        )
        hints = calls.PromptHints("m", parts, 5010)
        chosen.add(_choose("abcdefgh", hints=hints).endpoint.name)
    assert chosen == set("abcdefgh")


def test_a_plain_call_goes_to_the_least_loaded_endpoint():
    loads = {"a": dispatch.Load(2, 0), "b": dispatch.Load(1, 0)}
    loads["c"] = dispatch.Load(3, 0)
    assert _choose("abc", loads, hints=None).endpoint.name == "b"


def test_own_zone_is_preferred_when_costs_are_equal():
    names = [_endpoint("a", "zone-b"), _endpoint("b", "zone-a")]
    assert _choose(names, hints=None).endpoint.name == "b"


def test_load_shifts_gradually_to_an_endpoint_that_warms_up():
    policy = POLICY._replace(cold_start_s=60.0)
    shares = []
    for now in (0.0, 30.0, 55.0, 60.0):
        # A plain request goes to the endpoint that costs less.
        names = [_endpoint("a", warming_until=60.0), _endpoint("b")]
        chosen = [
            _choose(
                names,
                {"b": dispatch.Load(running)},
                hints=None,
                policy=policy._replace(load_multiple=10.0, load_slack=200.0),
                now=now,
            ).endpoint.name
            for running in range(150)
        ]
        shares.append(chosen.count("a"))
    assert shares == sorted(set(shares))


def test_endpoint_in_warm_up_is_avoided():
    names = [_endpoint("a", warming_until=9.0), _endpoint("b")]
    loads = {"b": dispatch.Load(2, 0)}
    assert _choose(names, loads, hints=None).endpoint.name == "b"


def test_ejected_endpoint_is_used_only_when_there_is_no_other():
    assert _choose("ab", hints=None, ejected={"a"}).endpoint.name == "b"
    assert _choose("a", hints=None, ejected={"a"}).endpoint.name == "a"


def test_no_choice_when_all_endpoints_were_tried():
    assert _choose("ab", excluded={"a", "b"}) is None
    assert _choose("") is None


@hypothesis.given(
    running=strategies.lists(
        strategies.integers(0, 40), min_size=1, max_size=12
    ),
    cached=strategies.integers(0, 11),
    seed=strategies.integers(0, 99),
)
def test_no_endpoint_is_chosen_at_its_bound(running, cached, seed):
    names = [f"e{number}" for number in range(len(running))]
    loads = {
        name: dispatch.Load(count, random.Random(seed).randrange(50_000))
        for name, count in zip(names, running, strict=True)
    }
    caches = _cached_at(f"e{cached}")
    choice = _choose(names, loads, caches)
    mean = sum(running) / len(running)
    assert choice is not None
    before = loads[choice.endpoint.name].running
    assert before + 1 <= POLICY.load_multiple * mean + POLICY.load_slack + 1
    assert before < choice.bound


def test_large_fleet_has_wider_ties():
    loads = {name: dispatch.Load(0, 0) for name in "abcd"}
    small = POLICY._replace(tie_width_s=dispatch.tie_width_s(4))
    large = POLICY._replace(tie_width_s=dispatch.tie_width_s(60))
    hints = calls.PromptHints(
        "m", (calls.PromptPart("chat", 10), calls.PromptPart("own", 5)), 15
    )
    preferred = _choose("abcd", loads, hints=hints).endpoint.name
    busy = loads | {preferred: dispatch.Load(4, 12_000)}
    assert (
        _choose("abcd", busy, hints=hints, policy=small).endpoint.name
        != preferred
    )
    assert (
        _choose("abcd", busy, hints=hints, policy=large).endpoint.name
        == preferred
    )


def _order(names):
    """Returns names in the rendezvous order that all routers share."""
    ordered = []
    remaining = list(names)
    while remaining:
        ordered.append(_choose(remaining).endpoint.name)
        remaining.remove(ordered[-1])
    return ordered


def test_uncached_prompt_is_speculatively_fetched_from_second_in_order():
    first, second, *_ = _order("abcd")
    choice = _choose("abcd")
    assert choice.source is None
    assert (choice.endpoint.name, choice.speculative_source.name) == (
        first,
        second,
    )


def test_known_source_of_a_short_part_does_not_replace_the_presumed_holder():
    first, second, third, _ = _order("abcd")
    caches = prefixes.PrefixCaches()
    caches.touch(third, PARTS[:1], 400_000)
    choice = _choose("abcd", caches=caches, excluded={first})
    assert choice.endpoint.name == second
    assert choice.source is None
    assert choice.speculative_source.name == first


def test_excluded_first_endpoint_is_the_speculative_source():
    first, second, *_ = _order("abcd")
    choice = _choose("abcd", excluded=[first])
    assert (choice.endpoint.name, choice.speculative_source.name) == (
        second,
        first,
    )


def test_ejected_endpoint_is_no_speculative_source():
    first, second, third, _ = _order("abcd")
    choice = _choose("abcd", ejected=[second])
    assert (choice.endpoint.name, choice.speculative_source.name) == (
        first,
        third,
    )


def test_no_speculative_source_when_cache_is_known():
    caches = _cached_at("c")
    assert _choose("abcd", caches=caches).speculative_source is None
    busy = {"c": dispatch.Load(3, 200_000)}
    assert _choose("abcd", busy, caches).speculative_source is None


def test_no_speculative_source_when_nothing_can_be_fetched():
    assert _choose("abcd", policy=dispatch.Policy()).speculative_source is None
    assert _choose("a").speculative_source is None
    short = calls.PromptHints("m", (PARTS[2],), 300, 20)
    assert (
        _choose("abcd", hints=short._replace(parts=())).speculative_source
        is None
    )


def test_an_endpoint_at_its_request_limit_gets_nothing_but_serves_its_cache():
    caches = _cached_at("c")
    choice = _choose("abcd", caches=caches, exhausted={"c"})
    assert choice.endpoint.name != "c"
    assert choice.source.endpoint.name == "c"
    assert _choose("ab", exhausted={"a", "b"}) is None


def test_the_bound_is_that_of_the_endpoints_that_are_not_at_their_limit():
    loads = {"a": dispatch.Load(9, 0), "b": dispatch.Load(8, 0)}
    limited = set("cdefgh")
    choice = _choose("abcdefgh", loads, hints=None, exhausted=limited)
    assert choice.endpoint.name == "b"
    assert _choose("ab", loads, hints=None).bound == choice.bound


# Guards against a choice that changes although no endpoint reports its speed.
@hypothesis.given(
    strategies.lists(strategies.integers(0, 12), min_size=1, max_size=8)
)
@hypothesis.settings(derandomize=True, database=None)
def test_plain_call_without_speeds_goes_to_the_first_least_loaded(running):
    names = "abcdefgh"[: len(running)]
    loads = {
        name: dispatch.Load(count)
        for name, count in zip(names, running, strict=True)
    }
    choice = _choose(names, loads, hints=None, policy=BOUNDLESS)
    assert choice.endpoint.name == min(names, key=lambda name: loads[name])
    assert choice.cost == POLICY.running_request_s * min(running)


# As above. The cost must be that of the same operations, to the last bit.
@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 9), strategies.integers(0)),
        min_size=2,
        max_size=8,
    )
)
@hypothesis.settings(derandomize=True, database=None)
def test_prompt_without_speeds_costs_its_reading_and_the_queue(figures):
    names = "abcdefgh"[: len(figures)]
    loads = {
        name: dispatch.Load(*figure)
        for name, figure in zip(names, figures, strict=True)
    }
    caches = _cached_at(*names)
    choice = _choose(names, loads, caches, policy=BOUNDLESS)
    running, pending = choice.load
    assert choice.cost == POLICY.running_request_s * running + (
        (300 + pending) / POLICY.prefill_tokens_per_s
    )


def test_plain_call_avoids_a_slow_endpoint_until_the_others_are_loaded():
    policy = POLICY._replace(delayed_work_s=0.02)
    speeds = dispatch.Speeds({"a": 2.5}, random.Random(1))
    choice = _choose("ab", hints=None, policy=policy, speeds=speeds)
    assert choice.endpoint.name == "b"
    loads = {"b": dispatch.Load(40, 0)}
    policy = policy._replace(load_slack=99)
    choice = _choose("ab", loads, hints=None, policy=policy, speeds=speeds)
    assert choice.endpoint.name == "a"


def test_prompt_avoids_a_slow_endpoint_that_has_nothing_cached():
    first = _choose("abcd", hints=HINTS).endpoint.name
    caches = _cached_at(*"abcd")
    speeds = dispatch.Speeds({first: 4.0}, random.Random(1))
    loads = {first: dispatch.Load(3, 8_000)}
    policy = POLICY._replace(delayed_work_s=0.2)
    choice = _choose("abcd", loads, caches, policy=policy, speeds=speeds)
    assert choice.endpoint.name != first


def test_calls_spread_over_endpoints_of_similar_cost_in_the_zone():
    names = [
        _endpoint("slow"),
        *map(_endpoint, "abc"),
        _endpoint("d", "zone-b"),
    ]
    policy = POLICY._replace(delayed_work_s=0.02)
    speeds = dispatch.Speeds({"slow": 2.0}, random.Random(1))
    chosen = {
        _choose(names, hints=None, policy=policy, speeds=speeds).endpoint.name
        for _ in range(60)
    }
    assert chosen == set("abc")
