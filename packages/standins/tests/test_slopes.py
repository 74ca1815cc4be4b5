import pytest

from nutmegpost_standins import slopes


def test_fit_passes_through_collinear_points():
    points = [slopes.Point(n, 3 + 2 * n) for n in (1, 5, 9)]
    line = slopes.fit(points)
    assert line.intercept == pytest.approx(3)
    assert line.slope == pytest.approx(2)
    assert line.at(100) == pytest.approx(203)


def test_equal_sizes_give_a_level_line():
    line = slopes.fit([slopes.Point(4, 1), slopes.Point(4, 3)])
    assert line == slopes.Line(2, 0)


@pytest.mark.parametrize(
    ("measure", "sizes"),
    [
        (slopes.configuration_document, (2, 4)),
        (slopes.vm_list, (2, 4)),
        (slopes.permit_records, (2, 4)),
        (slopes.engine_ring, (20, 40)),
        (slopes.configuration_spread, (20, 40)),
        (slopes.simulated_members, (8, 16)),
    ],
)
def test_costs_are_measured_at_each_size(measure, sizes):
    for slope in measure(sizes):
        assert [point.size for point in slope.points] == list(sizes)
        assert all(point.value > 0 for point in slope.points)


@pytest.mark.parametrize(
    "measure",
    [slopes.suspect_memory, slopes.chat_memory, slopes.member_memory],
)
def test_memory_grows_with_the_size(measure):
    small, large = measure((100, 1_000)).points
    assert large.value > small.value


def test_the_suspects_of_a_crash_reach_all_nodes():
    (point,) = slopes.suspect_spread((8,), 64).points
    assert point.value < 5


@pytest.mark.processes
def test_processes_gossip_within_the_budget():
    sent, received, _ = slopes.gossip_processes((3,), 4, 3)
    assert 0 < sent.points[0].value < 2_000
    assert 0 < received.points[0].value < 2_000
