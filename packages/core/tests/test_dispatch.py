import random

import hypothesis
from hypothesis import strategies

from nutmegpost_core import calls
from nutmegpost_core import dispatch
from nutmegpost_core import prefixes
from nutmegpost_core import roster

POLICY = dispatch.Policy(fetch_tokens_s=5_000_000.0)
PARTS = (
    calls.Part("system", 500),
    calls.Part("chat", 10_000),
    calls.Part("own", 300),
)
HINTS = calls.PromptHints("m", PARTS, 10_800, 200)


def _endpoint(name, zone="zone-a", slow_until=0.0):
    return roster.Endpoint(
        name, "engines", "127.0.0.1:1", zone, 64, False, slow_until, 1
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
        caches or prefixes.Prefixes(),
        hints,
        **values,
    )


def _cached_at(*names):
    found = prefixes.Prefixes()
    for name in names:
        found.touch(name, PARTS[:-1], 400_000)
    return found


def test_a_returning_chat_goes_to_its_cache():
    caches = _cached_at("c")
    loads = {"c": dispatch.Load(3, 0)}
    choice = _choose("abcd", loads, caches)
    assert choice.endpoint.name == "c"
    assert choice.cached_tokens == 10_500
    assert choice.source is None


def test_a_queue_at_the_cache_sends_the_chat_elsewhere_and_it_is_fetched():
    caches = _cached_at("c")
    loads = {"c": dispatch.Load(3, 200_000)}
    choice = _choose("abcd", loads, caches)
    assert choice.endpoint.name != "c"
    assert choice.source.endpoint.name == "c"
    assert choice.source.tokens == 10_500
    assert choice.reread_tokens == 0


def test_without_fetches_reading_again_costs_more_than_a_short_queue():
    caches = _cached_at("c")
    loads = {"c": dispatch.Load(3, 60_000)}
    policy = dispatch.Policy()
    assert _choose("abcd", loads, caches, policy=policy).endpoint.name == "c"


def test_the_cache_of_an_endpoint_that_leaves_is_fetched():
    caches = _cached_at("gone")
    choice = _choose("ab", caches=caches, leaving=[_endpoint("gone")])
    assert choice.endpoint.name in "ab"
    assert choice.source.endpoint.name == "gone"


def test_routers_with_other_loads_meet_at_one_endpoint():
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
        parts = (calls.Part(f"chat-{number}", 5000), calls.Part("own", 10))
        hints = calls.PromptHints("m", parts, 5010)
        chosen.add(_choose("abcdefgh", hints=hints).endpoint.name)
    assert chosen == set("abcdefgh")


def test_a_plain_call_goes_to_the_least_loaded_endpoint():
    loads = {"a": dispatch.Load(2, 0), "b": dispatch.Load(1, 0)}
    loads["c"] = dispatch.Load(3, 0)
    assert _choose("abc", loads, hints=None).endpoint.name == "b"


def test_the_own_zone_is_preferred_when_all_else_is_equal():
    names = [_endpoint("a", "zone-b"), _endpoint("b", "zone-a")]
    assert _choose(names, hints=None).endpoint.name == "b"


def test_an_endpoint_that_warms_up_is_passed_over():
    names = [_endpoint("a", slow_until=9.0), _endpoint("b")]
    loads = {"b": dispatch.Load(2, 0)}
    assert _choose(names, loads, hints=None).endpoint.name == "b"


def test_suspects_are_used_only_when_there_is_no_other():
    assert _choose("ab", hints=None, suspects={"a"}).endpoint.name == "b"
    assert _choose("a", hints=None, suspects={"a"}).endpoint.name == "a"


def test_there_is_no_choice_when_all_had_the_request():
    assert _choose("ab", avoid={"a", "b"}) is None
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
    assert before + 1 <= POLICY.load_multiple * mean + POLICY.load_extra + 1
    assert before < choice.bound


def test_in_a_large_fleet_the_shared_order_decides_over_larger_differences():
    loads = {name: dispatch.Load(0, 0) for name in "abcd"}
    small = POLICY._replace(tie_s=dispatch.tie_s(4))
    large = POLICY._replace(tie_s=dispatch.tie_s(60))
    hints = calls.PromptHints(
        "m", (calls.Part("chat", 10), calls.Part("own", 5)), 15
    )
    home = _choose("abcd", loads, hints=hints).endpoint.name
    busy = loads | {home: dispatch.Load(4, 12_000)}
    assert (
        _choose("abcd", busy, hints=hints, policy=small).endpoint.name != home
    )
    assert (
        _choose("abcd", busy, hints=hints, policy=large).endpoint.name == home
    )


def _order(names):
    """Returns names in the order that all routers share."""
    found = []
    left = list(names)
    while left:
        found.append(_choose(left).endpoint.name)
        left.remove(found[-1])
    return found


def test_a_prompt_of_which_no_cache_is_known_is_asked_of_the_next_in_order():
    first, second, *_ = _order("abcd")
    choice = _choose("abcd")
    assert choice.source is None
    assert (choice.endpoint.name, choice.guess.name) == (first, second)


def test_a_prompt_that_its_first_endpoint_cannot_take_is_asked_of_it():
    first, second, *_ = _order("abcd")
    choice = _choose("abcd", avoid=[first])
    assert (choice.endpoint.name, choice.guess.name) == (second, first)


def test_no_endpoint_that_failed_lately_is_asked():
    first, second, third, _ = _order("abcd")
    choice = _choose("abcd", suspects=[second])
    assert (choice.endpoint.name, choice.guess.name) == (first, third)


def test_nothing_is_guessed_where_the_cache_is_known():
    caches = _cached_at("c")
    assert _choose("abcd", caches=caches).guess is None
    busy = {"c": dispatch.Load(3, 200_000)}
    assert _choose("abcd", busy, caches).guess is None


def test_nothing_is_guessed_where_nothing_can_be_fetched():
    assert _choose("abcd", policy=dispatch.Policy()).guess is None
    assert _choose("a").guess is None
    short = calls.PromptHints("m", (PARTS[2],), 300, 20)
    assert _choose("abcd", hints=short._replace(parts=())).guess is None
