import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from nutmegpost_core import placement

POOL = "m"
ENGINES = [f"e{number}" for number in range(6)]
CHATS = [f"a/{number}" for number in range(60)]


def made(names=ENGINES):
    found = placement.Placement(chats_max=20)
    found.set_engines(POOL, names)
    return found


def choose(found, chat, loads, limit=5, **more):
    least = sorted(((n, loads.get(n, 0)) for n in ENGINES), key=lambda i: i[1])
    return found.choose(
        POOL, chat, lambda n: loads.get(n, 0), limit, least, **more
    )


class MemoryMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.placement = made()
        self.live = set(ENGINES)

    @stateful.rule(
        chat=st.sampled_from(CHATS),
        engine=st.sampled_from(ENGINES),
        tokens=st.integers(1, 9999),
    )
    def served(self, chat, engine, tokens):
        self.placement.served(POOL, chat, engine, tokens)
        held = dict(self.placement.holders(POOL, chat))
        assert engine not in self.live or held

    @stateful.rule(
        chat=st.sampled_from(CHATS),
        engine=st.sampled_from(ENGINES),
        kind=st.sampled_from(["stored", "evicted"]),
    )
    def cache_event(self, chat, engine, kind):
        key = placement.cache_key(*chat.split("/"))
        self.placement.cache_event(engine, kind, key, 100)
        if kind == "evicted":
            held = dict(self.placement.holders(POOL, chat))
            assert engine not in held

    @stateful.rule(engine=st.sampled_from(ENGINES))
    def join_or_leave(self, engine):
        self.live ^= {engine}
        self.placement.set_engines(POOL, self.live)

    @stateful.rule(engine=st.sampled_from(ENGINES))
    def forget(self, engine):
        self.placement.forget_engine(engine)
        for chat in CHATS:
            assert engine not in dict(self.placement.holders(POOL, chat))

    @stateful.rule(
        chat=st.sampled_from(CHATS),
        counts=st.lists(st.integers(0, 8), min_size=6, max_size=6),
        limit=st.integers(1, 8),
    )
    def choose(self, chat, counts, limit):
        loads = dict(zip(ENGINES, counts, strict=True))
        choice = choose(self.placement, chat, loads, limit)
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


def test_chat_returns_to_the_holder_of_most_tokens():
    found = made()
    home = found.home(POOL, "a/1")
    other = next(name for name in ENGINES if name != home)
    found.served(POOL, "a/1", home, 100)
    found.served(POOL, "a/1", other, 300)
    assert choose(found, "a/1", {}).engine == other
    assert choose(found, "a/1", {other: 5})[:2] == (home, "home")


def test_waits_for_a_holder_only_while_that_saves_time():
    found = made()
    home = found.home(POOL, "a/1")
    found.served(POOL, "a/1", home, 1000)
    more = {"token_s": 0.001, "patience_s": 2.0}
    soon = choose(found, "a/1", {home: 5}, wait_of=lambda _: 0.9, **more)
    assert (soon.engine, soon.reason) == (home, "queue-at-home")
    assert soon.wait_s == 1.0
    late = choose(found, "a/1", {home: 5}, wait_of=lambda _: 1.1, **more)
    assert late.reason == "least-loaded"


def test_zone_decides_a_tie():
    found = made()
    zones = dict.fromkeys(ENGINES, "z1") | {"e4": "z2", "e5": "z2"}
    found.set_engines(POOL, ENGINES, zones)
    home = found.home(POOL, "a/1")
    choice = choose(found, "a/1", {home: 5}, zone="z2")
    assert choice.engine in ({"e4", "e5"} - {home})


def test_pool_without_engines_gives_none():
    assert choose(made([]), "a/1", {}).engine == ""
