import cbor2
import pytest

from nutmegpost_core import dissemination
from nutmegpost_core import roster
from nutmegpost_router import gossip
from nutmegpost_router.gateway import crash_guard
from nutmegpost_router.gateway import pending_request

PART = pending_request.crashing_parts.part_digest("bad")
FIRST = pending_request.crashing_parts.part_digest("first")
PARTS = (FIRST, PART)


class _Call:
    """The attributes of a call that the log needs."""

    identity = "id"
    part_names = "first bad"


def _fingerprint(number, parts=PARTS):
    """Returns that of a request that is like no other but for its parts."""
    return pending_request.Fingerprint(f"{number:016x}", parts)


def _endpoint(number):
    return roster.Endpoint(
        f"e{number}", "s", "127.0.0.1:1", "z", 8, False, 0.0, 1, 1
    )


def _charge(guard, number, at):
    guard.charge(_fingerprint(number), _Call, _endpoint(number), at)


def _crash(guard, times):
    for number, at in enumerate(times):
        _charge(guard, number, at)


def _receive(guard, published, now, delay_s=0.0):
    """Delivers items after a delay that has used up some of their lifetime."""
    for item in published:
        expires = now + item.lifetime_s
        received = gossip.ItemReceived(
            dissemination.Kind(item.kind), item.key, item.payload, expires
        )
        guard.receive(received, now + delay_s)


def _admits(guard, number, now, parts=PARTS):
    return not guard.admit(_fingerprint(number, parts), now)


def test_requests_with_a_charged_part_are_refused_at_each_gateway():
    published = []
    first = crash_guard.CrashGuard(published.append)
    second = crash_guard.CrashGuard(lambda _: None)
    for number, at in enumerate([0.0, 1.0, 2.0]):
        _charge(first, number, at)
        _receive(second, published[number:], at)
    assert not _admits(first, 9, 2.0)
    assert not _admits(second, 9, 2.0)


def test_reports_that_arrive_together_tell_when_the_crashes_were():
    published = []
    first = crash_guard.CrashGuard(published.append)
    late = crash_guard.CrashGuard(lambda _: None)
    for number, at in enumerate([0.0, 1.0, 2.0]):
        _charge(first, number, at)
        _receive(late, published[number:], at, 60.0 - at)
    times = late.parts.charges.crash_times(PART, 60.0).values()
    assert sorted(times) == [0.0, 1.0, 2.0]
    assert late.parts.is_suspect(PART, 60.0)


def test_an_answer_clears_the_part_at_each_gateway():
    published = []
    first = crash_guard.CrashGuard(published.append)
    second = crash_guard.CrashGuard(lambda _: None)
    for number, at in enumerate([0.0, 1.0, 2.0]):
        _charge(first, number, at)
        _receive(second, published[number:], at)
    del published[:]
    answered = pending_request.Fingerprint("f" * 16, (FIRST,))
    first.record_answer(answered, 3.0)
    _receive(second, published, 3.0)
    assert FIRST not in second.parts.charges.charged
    assert _admits(second, 9, 3.0, (FIRST,))
    assert not _admits(second, 9, 3.0)


def test_a_trial_at_one_gateway_delays_that_of_the_others():
    published = []
    first = crash_guard.CrashGuard(published.append)
    second = crash_guard.CrashGuard(lambda _: None)
    for guard in (first, second):
        _crash(guard, [0.0, 1.0, 2.0])
    del published[:]
    assert _admits(first, 9, 12.0)
    _receive(second, published, 12.0)
    assert not _admits(second, 9, 12.0)
    assert not _admits(first, 9, 12.0)


def test_a_gateway_that_starts_later_gets_all_charges_from_a_peer():
    first = crash_guard.CrashGuard(lambda _: None)
    late = crash_guard.CrashGuard(lambda _: None)
    _crash(first, [0.0, 1.0, 2.0])
    assert first.digest(5.0) != late.digest(5.0)
    late.merge(cbor2.loads(cbor2.dumps(first.encode(5.0))), 105.0)
    assert first.digest(5.0) == late.digest(105.0)
    assert not _admits(late, 9, 105.0)


@pytest.mark.parametrize("encoded", [[], [[], [], []], [[["a"]], []]])
def test_malformed_charges_of_a_peer_are_an_error(encoded):
    guard = crash_guard.CrashGuard(lambda _: None)
    with pytest.raises((TypeError, ValueError)):
        guard.merge(encoded, 0.0)


def test_a_malformed_report_is_dropped():
    guard = crash_guard.CrashGuard(lambda _: None)
    kind = dissemination.Kind.CRASH_REPORT
    guard.receive(gossip.ItemReceived(kind, b"short", b"", 60.0), 0.0)
    assert not guard.parts.charges.charged


def test_a_request_that_was_lost_is_not_sent_again_with_a_suspect_part():
    guard = crash_guard.CrashGuard(lambda _: None)
    _crash(guard, [0.0, 1.0, 2.0])
    assert guard.is_refused(_fingerprint(2), 2.0)
    assert not guard.is_refused(_fingerprint(2, ("0" * 16,)), 2.0)
