import pathlib

from nutmegpost_standins import soak

CORE = pathlib.Path(__file__).parents[2] / "core" / "tests"
MACHINES = """
from hypothesis import stateful, strategies as st

class _Base(stateful.RuleBasedStateMachine):
    pass

class Sound(_Base):
    @stateful.rule(number=st.integers(0, 1_000))
    def add(self, number):
        pass

class Faulty(_Base):
    @stateful.rule(number=st.integers(0, 1_000))
    def add(self, number):
        assert number < 500
"""


def test_the_machines_of_the_core_tests_are_found():
    names = {machine.name for machine in soak.find_machines(CORE)}
    assert "test_membership.FleetMachine" in names
    assert "test_quarantine.FleetMachine" in names


def test_a_failure_is_reported_with_its_seed(tmp_path):
    (tmp_path / "test_machines.py").write_text(MACHINES)
    machines = soak.find_machines(tmp_path)
    results = {result.name: result for result in soak.soak(machines, 1, 0)}
    assert results["test_machines.Sound"].rounds == 1
    assert not results["test_machines.Sound"].failures
    faulty = results["test_machines.Faulty"]
    assert faulty.rounds == 0
    assert faulty.failures[0].startswith("seed ")


def test_the_same_seed_finds_the_same_failure(tmp_path):
    (tmp_path / "test_machines.py").write_text(MACHINES)
    machines = soak.find_machines(tmp_path)
    first, second = (soak.soak(machines, 7, 0) for _ in range(2))
    assert [result.failures for result in first] == [
        result.failures for result in second
    ]
