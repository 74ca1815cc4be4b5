from nutmegpost_core import calls
from nutmegpost_core import prefixes

SYSTEM = calls.Part("system", 100)
CHAT = calls.Part("chat", 1000)
OWN = calls.Part("own", 10)
MEMORY = 10_000


def _touched(*parts):
    found = prefixes.Prefixes()
    found.touch("e1", parts, MEMORY)
    return found


def test_only_parts_behind_cached_parts_count():
    found = _touched(CHAT)
    assert found.cached("e1", [SYSTEM, CHAT]) == 0
    found.touch("e1", [SYSTEM], MEMORY)
    assert found.cached("e1", [SYSTEM, CHAT, OWN]) == 1100
    assert found.cached("e2", [SYSTEM, CHAT]) == 0


def test_the_least_recently_used_part_yields():
    found = prefixes.Prefixes()
    size = int(MEMORY * prefixes.CACHE_SHARE) // 2
    first, second, third = (calls.Part(name, size) for name in "abc")
    found.touch("e1", [first], MEMORY)
    found.touch("e1", [second], MEMORY)
    found.touch("e1", [first], MEMORY)
    found.touch("e1", [third], MEMORY)
    assert found.cached("e1", [second]) == 0
    assert found.cached("e1", [first]) == size


def test_the_first_part_outlives_those_behind_it():
    found = prefixes.Prefixes()
    size = int(MEMORY * prefixes.CACHE_SHARE) // 2
    parts = [calls.Part("a", size), calls.Part("b", size)]
    found.touch("e1", parts, MEMORY)
    found.touch("e1", [calls.Part("c", size)], MEMORY)
    assert found.cached("e1", parts) == size


def test_what_is_just_read_cannot_be_fetched():
    found = _touched(SYSTEM, CHAT)
    found.begin_reading("e1", [CHAT], until=5.0)
    parts = [SYSTEM, CHAT]
    assert found.reading("e1", parts, 1.0) == 1000
    assert found.fetchable("e1", parts, 1.0) == 100
    assert found.cached("e1", parts) == 1100
    found.finish_reading("e1", [CHAT])
    assert found.fetchable("e1", parts, 1.0) == 1100


def test_a_reading_that_nobody_ends_is_over_at_its_time():
    found = _touched(SYSTEM, CHAT)
    found.begin_reading("e1", [CHAT], until=5.0)
    assert found.reading("e1", [CHAT], 5.0) == 0
    assert found.fetchable("e1", [SYSTEM, CHAT], 5.0) == 1100


def test_a_lost_cache_is_forgotten():
    found = _touched(SYSTEM, CHAT)
    found.forget("e1")
    assert found.cached("e1", [SYSTEM, CHAT]) == 0
    found.touch("e1", [SYSTEM], MEMORY)
    found.begin_reading("e1", [SYSTEM], until=5.0)
    found.keep(["e2"])
    assert found.cached("e1", [SYSTEM]) == 0
    assert found.reading("e1", [SYSTEM], 1.0) == 0
