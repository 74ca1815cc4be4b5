"""A short soak of gateway processes, and tests of its checks."""

import faultsoak
import pytest
import standin

pytestmark = [
    pytest.mark.processes,
    pytest.mark.xdist_group("processes"),
]

FAULT_SECONDS = 4.0


@pytest.mark.parametrize(
    ("seed", "seconds"),
    [
        (1, FAULT_SECONDS),
        (2, FAULT_SECONDS),
        # Common prompt parts and requests were blamed for crashes and refused.
        (611003, 10.0),
    ],
)
def test_no_guarantee_is_violated_under_faults(seed, seconds):
    violations, soak = faultsoak.run_seed(seed, seconds)
    assert violations == []
    assert any(outcome.status == 200 for outcome in soak.outcomes)


def _check_outcome(tmp_path, outcome, executed):
    soak = faultsoak.Soak(1, tmp_path)
    runner = standin.Runner("p1", "plain")
    runner.executed = executed
    soak._runners = {"p1": runner}
    soak._gateways = []
    soak.outcomes = [outcome]
    return soak._find_violations()


BASE_OUTCOME = faultsoak.Outcome(
    "a", "/issue/1", 200, b"answer to /issue/1", "p1"
)


@pytest.mark.parametrize(
    ("outcome", "executed", "count"),
    [
        (BASE_OUTCOME._replace(seal="seal-of-p1"), ["a"], 0),
        (BASE_OUTCOME._replace(seal="seal-of-p1"), ["a", "a"], 1),
        (BASE_OUTCOME._replace(seal="seal-of-p2"), ["a"], 1),
        (BASE_OUTCOME._replace(seal="seal-of-p1", body=b"answer"), ["a"], 1),
        (BASE_OUTCOME._replace(status=503, body=b""), ["a"], 1),
        (BASE_OUTCOME._replace(status=503, body=b""), [], 0),
        (BASE_OUTCOME._replace(status=502, body=b""), ["a"], 0),
    ],
)
def test_checks_detect_a_violated_guarantee(tmp_path, outcome, executed, count):
    assert len(_check_outcome(tmp_path, outcome, executed)) == count
