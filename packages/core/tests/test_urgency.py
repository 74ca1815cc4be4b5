import pytest

from nutmegpost_core import calls
from nutmegpost_core import catalog
from nutmegpost_core import urgency


def _call(rank, target_s):
    route = catalog.Route(
        "r",
        "h",
        "/",
        catalog.RequestKind.STREAM,
        (),
        10.0,
        target_s,
        rank,
        1,
        False,
        False,
        0.8,
    )
    return calls.Call("id", route, "s", "", rank, 10.0, 0.0)


def test_a_higher_rank_goes_first_whatever_its_target():
    levels = [urgency.level(_call(rank, 60.0)) for rank in range(3)]
    short = [urgency.level(_call(rank, 0.1)) for rank in range(3)]
    assert levels[0] < short[1]
    assert levels[1] < short[2]


def test_within_a_rank_a_shorter_target_goes_first():
    levels = [urgency.level(_call(1, target)) for target in (0.5, 0.8, 2.5)]
    assert levels == sorted(set(levels))


def test_similar_targets_share_a_level():
    assert urgency.level(_call(0, 0.8)) == urgency.level(_call(0, 0.81))
    assert urgency.level(_call(0, 0.0)) == urgency.level(_call(0, 0.5))


@pytest.mark.parametrize("rank", [3, 9, 1000])
def test_the_lowest_ranks_share_the_last_level(rank):
    assert urgency.level(_call(rank, 0.1)) == urgency.LEVEL_MAX
