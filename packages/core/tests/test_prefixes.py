import hypothesis
from hypothesis import strategies

from nutmegpost_core import calls
from nutmegpost_core import prefixes

SYSTEM = calls.PromptPart("system", 100)
CHAT = calls.PromptPart("chat", 1000)
OWN = calls.PromptPart("own", 10)
CACHE_TOKENS = 10_000


def _touched(*parts):
    caches = prefixes.PrefixCaches()
    caches.touch("e1", parts, CACHE_TOKENS)
    return caches


def test_part_counts_only_when_all_parts_before_it_are_cached():
    caches = _touched(CHAT)
    assert caches.cached_tokens("e1", [SYSTEM, CHAT]) == 0
    caches.touch("e1", [SYSTEM], CACHE_TOKENS)
    assert caches.cached_tokens("e1", [SYSTEM, CHAT, OWN]) == 1100
    assert caches.cached_tokens("e2", [SYSTEM, CHAT]) == 0


def test_least_recently_used_part_is_evicted():
    caches = prefixes.PrefixCaches()
    size = int(CACHE_TOKENS * prefixes.CACHE_SHARE) // 2
    first, second, third = (calls.PromptPart(name, size) for name in "abc")
    caches.touch("e1", [first], CACHE_TOKENS)
    caches.touch("e1", [second], CACHE_TOKENS)
    caches.touch("e1", [first], CACHE_TOKENS)
    caches.touch("e1", [third], CACHE_TOKENS)
    assert caches.cached_tokens("e1", [second]) == 0
    assert caches.cached_tokens("e1", [first]) == size


def test_first_part_is_evicted_after_the_parts_that_depend_on_it():
    caches = prefixes.PrefixCaches()
    size = int(CACHE_TOKENS * prefixes.CACHE_SHARE) // 2
    parts = [calls.PromptPart("a", size), calls.PromptPart("b", size)]
    caches.touch("e1", parts, CACHE_TOKENS)
    caches.touch("e1", [calls.PromptPart("c", size)], CACHE_TOKENS)
    assert caches.cached_tokens("e1", parts) == size


def test_part_in_prefill_cannot_be_fetched():
    caches = _touched(SYSTEM, CHAT)
    caches.begin_prefill("e1", [CHAT], until=5.0)
    parts = [SYSTEM, CHAT]
    assert caches.prefilling_tokens("e1", parts, 1.0) == 1000
    assert caches.fetchable_tokens("e1", parts, 1.0) == 100
    assert caches.cached_tokens("e1", parts) == 1100
    caches.finish_prefill("e1", [CHAT])
    assert caches.fetchable_tokens("e1", parts, 1.0) == 1100


def test_unfinished_prefill_record_expires():
    caches = _touched(SYSTEM, CHAT)
    caches.begin_prefill("e1", [CHAT], until=5.0)
    assert caches.prefilling_tokens("e1", [CHAT], 5.0) == 0
    assert caches.fetchable_tokens("e1", [SYSTEM, CHAT], 5.0) == 1100


def test_lost_cache_is_discarded():
    caches = _touched(SYSTEM, CHAT)
    caches.forget("e1")
    assert caches.cached_tokens("e1", [SYSTEM, CHAT]) == 0
    caches.touch("e1", [SYSTEM], CACHE_TOKENS)
    caches.begin_prefill("e1", [SYSTEM], until=5.0)
    caches.retain(["e2"])
    assert caches.cached_tokens("e1", [SYSTEM]) == 0
    assert caches.prefilling_tokens("e1", [SYSTEM], 1.0) == 0


_ENDPOINTS = ("e1", "e2", "e3")
_PARTS = tuple(calls.PromptPart(f"p{n}", 1_500 * (n + 1)) for n in range(5))
_prompts = strategies.lists(
    strategies.sampled_from(_PARTS), min_size=1, max_size=3, unique=True
)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.sampled_from(_ENDPOINTS), _prompts)
        | strategies.sampled_from(_ENDPOINTS),
        max_size=20,
    ),
    _prompts,
)
def test_index_by_part_agrees_with_the_caches(steps, prompt):
    caches = prefixes.PrefixCaches()
    for step in steps:
        if isinstance(step, str):
            caches.forget(step)
        else:
            caches.touch(step[0], step[1], CACHE_TOKENS)
    cached = {
        name: tokens
        for name in _ENDPOINTS
        if (tokens := caches.cached_tokens(name, prompt))
    }
    assert caches.cached_by_endpoint(prompt) == cached
