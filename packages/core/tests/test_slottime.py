import pytest

from nutmegpost_core import slottime


def test_mean_follows_the_samples():
    slot_time = slottime.SlotTime()
    assert slot_time.mean_s == 0.0
    slot_time.record(0.5)
    assert slot_time.mean_s == 0.5
    for _ in range(200):
        slot_time.record(1.5)
    assert slot_time.mean_s == pytest.approx(1.5, rel=0.01)
