import itertools

import hypothesis
from hypothesis import strategies

from nutmegpost_core import crashing_parts

Verdict = crashing_parts.Verdict


def _crash(breaker, times, *parts):
    """Charges parts with one crash at each of some times."""
    for at in times:
        for part in parts:
            breaker.charges.charge(part, f"crash-{at}", at)


def test_a_part_is_refused_after_three_crashes_whatever_the_requests():
    breaker = crashing_parts.PartBreaker()
    _crash(breaker, [0.0, 1.0], "bad")
    assert breaker.verdict(["bad"], 1.0) is Verdict.SEND
    _crash(breaker, [2.0], "bad")
    assert breaker.verdict(["bad"], 2.0) is Verdict.REFUSE
    assert breaker.verdict(["other", "bad"], 2.0) is Verdict.REFUSE
    assert breaker.verdict(["other"], 2.0) is Verdict.SEND


def test_a_part_that_was_answered_between_the_crashes_is_sent():
    breaker = crashing_parts.PartBreaker()
    for at in range(10):
        _crash(breaker, [float(at)], "first", "bad")
        breaker.record_answer(["first"])
    assert breaker.verdict(["first"], 9.0) is Verdict.SEND
    assert breaker.verdict(["first", "bad"], 9.0) is Verdict.REFUSE


def test_many_endpoints_lost_at_one_moment_make_no_part_suspect():
    breaker = crashing_parts.PartBreaker()
    _crash(breaker, [0.0, 0.01, 0.1, 0.2, 0.3], "first", "second")
    assert breaker.verdict(["first", "second"], 0.4) is Verdict.SEND


def test_a_part_with_fewer_crashes_is_explained_by_the_one_with_more():
    breaker = crashing_parts.PartBreaker()
    _crash(breaker, [0.0], "bad")
    _crash(breaker, [1.0, 2.0, 3.0], "bad", "first")
    assert breaker.verdict(["first"], 3.0) is Verdict.SEND
    assert breaker.verdict(["first", "bad"], 3.0) is Verdict.REFUSE


def test_of_two_parts_with_equal_crashes_the_answered_one_is_sent():
    breaker = crashing_parts.PartBreaker()
    breaker.record_answer(["first"])
    _crash(breaker, [0.0, 1.0, 2.0], "bad", "first")
    assert breaker.verdict(["first"], 2.0) is Verdict.SEND
    assert breaker.verdict(["bad"], 2.0) is not Verdict.SEND


def test_parts_with_equal_crashes_are_told_apart_by_one_request_with_one():
    breaker = crashing_parts.PartBreaker()
    _crash(breaker, [0.0, 1.0, 2.0], "bad", "first")
    assert breaker.verdict(["bad", "first"], 2.0) is Verdict.REFUSE
    assert breaker.verdict(["first"], 2.0) is Verdict.TRY
    assert breaker.record_trial(["first"], 2.0) == ["first"]
    assert breaker.verdict(["first"], 2.5) is Verdict.REFUSE
    breaker.record_answer(["first"])
    assert breaker.verdict(["first"], 2.6) is Verdict.SEND
    assert breaker.verdict(["bad", "first"], 2.6) is Verdict.REFUSE


def test_a_wrongly_blamed_part_is_served_again_after_one_trial():
    breaker = crashing_parts.PartBreaker()
    _crash(breaker, [0.0, 1.0], "sound")
    breaker.charges.charge("sound", "third", 1.1)
    at = 1.1 + crashing_parts.TRIAL_INTERVAL_S
    assert breaker.verdict(["sound"], at - 0.1) is Verdict.REFUSE
    assert breaker.verdict(["sound"], at) is Verdict.TRY
    breaker.record_trial(["sound"], at)
    assert breaker.verdict(["sound"], at) is Verdict.REFUSE
    breaker.record_answer(["sound"])
    assert breaker.verdict(["sound"], at) is Verdict.SEND


def test_a_peer_that_tries_a_part_delays_the_trial():
    breaker = crashing_parts.PartBreaker()
    _crash(breaker, [0.0, 1.0], "bad")
    breaker.charges.charge("bad", "third", 1.1)
    at = 1.1 + crashing_parts.TRIAL_INTERVAL_S
    breaker.record_peer_trial("bad", at)
    assert breaker.verdict(["bad"], at) is Verdict.REFUSE


def test_charges_that_arrive_after_their_removal_do_not_count():
    breaker = crashing_parts.PartBreaker()
    for crash in ("a", "b", "c"):
        breaker.charges.clear_crash("sound", crash, 0.0)
    for crash, at in [("a", 0.0), ("b", 1.0), ("c", 2.0)]:
        assert not breaker.charges.charge("sound", crash, at)
    assert breaker.verdict(["sound"], 2.0) is Verdict.SEND


def test_an_answer_at_a_peer_ends_the_trials_too():
    breaker = crashing_parts.PartBreaker()
    _crash(breaker, [0.0, 1.0, 2.0], "sound")
    breaker.record_peer_trial("sound", 12.0)
    breaker.merge(
        charge._replace(is_cleared=True)
        for charge in breaker.charges.charges(12.0)
    )
    assert breaker.verdict(["sound"], 12.0) is Verdict.SEND
    _crash(breaker, [20.0, 21.0, 22.0], "sound")
    at = 22.0 + crashing_parts.TRIAL_INTERVAL_S
    assert breaker.verdict(["sound"], at) is Verdict.TRY


def test_a_common_part_is_not_blamed_for_the_crashes_of_several_others():
    breaker = crashing_parts.PartBreaker()
    breaker.record_answer(["common"])
    _crash(breaker, [0.0, 1.0, 2.0], "common", "bad-1")
    _crash(breaker, [3.0, 4.0, 5.0], "common", "bad-2")
    assert breaker.verdict(["common", "sound"], 5.0) is Verdict.SEND
    assert breaker.verdict(["common", "bad-1"], 5.0) is Verdict.REFUSE
    assert breaker.verdict(["common", "bad-2"], 5.0) is Verdict.REFUSE


def test_a_part_blamed_for_many_crashes_is_tried_as_soon_as_for_few():
    breaker = crashing_parts.PartBreaker()
    _crash(breaker, [float(at) for at in range(20)], "sound")
    at = 19.0 + crashing_parts.TRIAL_INTERVAL_S
    assert breaker.verdict(["sound"], at) is Verdict.TRY


def test_a_blamed_part_that_was_answered_before_is_tried_soon():
    breaker = crashing_parts.PartBreaker()
    breaker.record_answer(["sound"])
    _crash(breaker, [0.0, 1.0, 2.0], "sound")
    assert breaker.verdict(["sound"], 2.0) is Verdict.REFUSE
    at = 2.0 + crashing_parts.ANSWERED_TRIAL_INTERVAL_S
    assert breaker.verdict(["sound"], at) is Verdict.TRY


def test_the_trials_of_a_crashing_part_become_rare():
    breaker = crashing_parts.PartBreaker()
    _crash(breaker, [0.0, 1.0, 2.0], "bad")
    tried = []
    for second in range(3, 1800):
        if breaker.verdict(["bad"], float(second)) is Verdict.TRY:
            breaker.record_trial(["bad"], float(second))
            _crash(breaker, [float(second)], "bad")
            tried.append(second)
    assert len(tried) == 4


@hypothesis.given(
    gaps=strategies.lists(
        strategies.floats(0.01, 4.0), min_size=40, max_size=300
    )
)
def test_at_most_three_requests_with_a_crashing_part_after_the_fifth(gaps):
    """Requests arrive one at a time; each one that is sent ends an endpoint."""
    breaker = crashing_parts.PartBreaker()
    crashes = []
    for at in itertools.accumulate(gaps):
        verdict = breaker.verdict(["bad", "first"], at)
        if verdict is Verdict.REFUSE:
            continue
        if verdict is Verdict.TRY:
            breaker.record_trial(["bad", "first"], at)
        crashes.append(at)
        for part in ("bad", "first"):
            breaker.charges.charge(part, f"crash-{len(crashes)}", at)
        breaker.record_answer(["first"])
    if len(crashes) >= 5:
        # 3 s is the time in which the requirements let the news spread.
        late = [at for at in crashes if at > crashes[4] + 3.0]
        assert len(late) <= 3
