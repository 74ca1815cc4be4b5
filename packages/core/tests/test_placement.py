import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from nutmegpost_core import placement

POOL = "m"
ENGINES = [f"e{number}" for number in range(6)]
CHATS = [f"a/{number}" for number in range(60)]


def _placement(names=ENGINES):
    placed = placement.Placement(chats_max=20)
    placed.set_engines(POOL, names)
    return placed


def _choose(placed, chat, loads, limit=5, **more):
    least = sorted(((n, loads.get(n, 0)) for n in ENGINES), key=lambda i: i[1])
    return placed.choose(
        POOL, chat, lambda n: loads.get(n, 0), limit, least, **more
    )


class MemoryMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.placement = _placement()
        self.live = set(ENGINES)

    @stateful.rule(
        chat=st.sampled_from(CHATS),
        engine=st.sampled_from(ENGINES),
        tokens=st.integers(1, 9999),
    )
    def served(self, chat, engine, tokens):
        self.placement.record_served(POOL, chat, engine, tokens)
        tokens_by_engine = dict(self.placement.cache_holders(POOL, chat))
        assert engine not in self.live or tokens_by_engine

    @stateful.rule(
        chat=st.sampled_from(CHATS),
        engine=st.sampled_from(ENGINES),
        kind=st.sampled_from(["stored", "evicted"]),
    )
    def cache_event(self, chat, engine, kind):
        key = placement.cache_key(*chat.split("/"))
        self.placement.apply_cache_event(engine, kind, key, 100)
        if kind == "evicted":
            tokens_by_engine = dict(self.placement.cache_holders(POOL, chat))
            assert engine not in tokens_by_engine

    @stateful.rule(engine=st.sampled_from(ENGINES))
    def join_or_leave(self, engine):
        self.live ^= {engine}
        self.placement.set_engines(POOL, self.live)

    @stateful.rule(engine=st.sampled_from(ENGINES))
    def forget(self, engine):
        self.placement.forget_engine(engine)
        for chat in CHATS:
            assert engine not in dict(self.placement.cache_holders(POOL, chat))

    @stateful.rule(
        chat=st.sampled_from(CHATS),
        counts=st.lists(st.integers(0, 8), min_size=6, max_size=6),
        limit=st.integers(1, 8),
    )
    def choose(self, chat, counts, limit):
        loads = dict(zip(ENGINES, counts, strict=True))
        choice = _choose(self.placement, chat, loads, limit)
        if not self.live:
            assert choice.engine == ""
            return
        assert choice.engine in self.live
        if choice.reason == placement.REASON_QUEUE:
            assert all(loads[name] >= limit for name in self.live)
        else:
            assert loads[choice.engine] < limit

    @stateful.invariant()
    def memory_is_bounded(self):
        assert len(self.placement) <= 20


TestMemory = MemoryMachine.TestCase
TestMemory.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=60
)


def test_chat_is_placed_on_the_holder_of_most_tokens():
    placed = _placement()
    preferred = placed.ring_engine(POOL, "a/1")
    other = next(name for name in ENGINES if name != preferred)
    placed.record_served(POOL, "a/1", preferred, 100)
    placed.record_served(POOL, "a/1", other, 300)
    assert _choose(placed, "a/1", {}).engine == other
    assert _choose(placed, "a/1", {other: 5})[:2] == (preferred, "home")


def test_queues_at_a_cache_holder_only_while_that_saves_time():
    placed = _placement()
    preferred = placed.ring_engine(POOL, "a/1")
    placed.record_served(POOL, "a/1", preferred, 1000)
    more = {"token_s": 0.001, "wait_max_s": 2.0}
    short_wait = _choose(
        placed, "a/1", {preferred: 5}, wait_of=lambda _: 0.9, **more
    )
    assert (short_wait.engine, short_wait.reason) == (
        preferred,
        "queue-at-home",
    )
    assert short_wait.wait_s == 1.0
    long_wait = _choose(
        placed, "a/1", {preferred: 5}, wait_of=lambda _: 1.1, **more
    )
    assert long_wait.reason == "least-loaded"


def test_zone_decides_a_tie():
    placed = _placement()
    zones = dict.fromkeys(ENGINES, "z1") | {"e4": "z2", "e5": "z2"}
    placed.set_engines(POOL, ENGINES, zones)
    preferred = placed.ring_engine(POOL, "a/1")
    choice = _choose(placed, "a/1", {preferred: 5}, zone="z2")
    assert choice.engine in ({"e4", "e5"} - {preferred})


def test_pool_without_engines_returns_empty_choice():
    assert _choose(_placement([]), "a/1", {}).engine == ""
