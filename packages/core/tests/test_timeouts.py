import pytest

from nutmegpost_core import calls
from nutmegpost_core import catalog
from nutmegpost_core import timeouts


def _call(target_s):
    route = catalog.Route(
        "chat",
        "shop",
        "/chat/",
        catalog.RequestKind.STREAM,
        (catalog.TrafficShare("engines", 1.0),),
        10.0,
        target_s,
        1,
        2,
        True,
        True,
        0.3,
    )
    return calls.Call("id", route, "engines", "", 1, 10.0, 0.0)


def test_without_a_retry_the_whole_time_is_waited():
    assert timeouts.first_byte_timeout_s(_call(0.25), 9.0, False) == 9.0
    assert timeouts.next_event_timeout_s(_call(0.25), 9.0, False) == 9.0


@pytest.mark.parametrize("target_s", [0.05, 0.25, 2.0])
def test_a_silent_endpoint_is_left_sooner_than_a_slow_one(target_s):
    call = _call(target_s)
    silent_s = timeouts.silent_first_byte_timeout_s(call)
    assert silent_s >= timeouts.FIRST_BYTE_MIN_S
    assert silent_s >= timeouts.FIRST_BYTE_TARGETS * target_s
    slow_s = timeouts.first_byte_timeout_s(call, 9.0, True)
    assert silent_s <= slow_s <= 9.0
    assert slow_s >= 9.0 / 3


def test_no_timeout_exceeds_the_remaining_time():
    assert timeouts.first_byte_timeout_s(_call(0.25), 0.1, True) == 0.1
    assert timeouts.next_event_timeout_s(_call(0.25), 0.1, True) == 0.1
