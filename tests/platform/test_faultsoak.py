"""A short soak of gateways as processes, and what its checks notice."""

import faultsoak
import pytest
import standin

pytestmark = [
    pytest.mark.processes,
    pytest.mark.xdist_group("processes"),
]

SECONDS = 4.0


@pytest.mark.parametrize("seed", [1, 2])
def test_no_promise_is_broken_under_faults(seed):
    found, one = faultsoak.soak(seed, SECONDS)
    assert found == []
    assert any(answer.status == 200 for answer in one.answers)


def _checked(tmp_path, answer, runs):
    one = faultsoak.Soak(1, tmp_path)
    runner = standin.Runner("p1", "plain")
    runner.runs = runs
    one._runners = {"p1": runner}
    one._gateways = []
    one.answers = [answer]
    return one._broken()


GOOD = faultsoak.Answer("a", "/issue/1", 200, b"answer to /issue/1", "p1")


@pytest.mark.parametrize(
    ("answer", "runs", "count"),
    [
        (GOOD._replace(seal="seal-of-p1"), ["a"], 0),
        (GOOD._replace(seal="seal-of-p1"), ["a", "a"], 1),
        (GOOD._replace(seal="seal-of-p2"), ["a"], 1),
        (GOOD._replace(seal="seal-of-p1", body=b"answer"), ["a"], 1),
        (GOOD._replace(status=503, body=b""), ["a"], 1),
        (GOOD._replace(status=503, body=b""), [], 0),
        (GOOD._replace(status=502, body=b""), ["a"], 0),
    ],
)
def test_the_checks_notice_a_broken_promise(tmp_path, answer, runs, count):
    assert len(_checked(tmp_path, answer, runs)) == count
