"""Runs the state machines of the tests for a long time.

    python -m nutmegpost_standins.soak --seed=N --seconds=S

Runs every hypothesis state machine of the core tests repeatedly, with seeds
derived from the first. Invariant checks inside the program are enabled: a
violation fails the run. The exit code is 0 if nothing failed.
"""

from collections.abc import Sequence
import importlib.util
import inspect
import pathlib
import random
import sys
import time
import traceback
import types
from typing import NamedTuple, TypeGuard

from absl import app
from absl import flags
import hypothesis
from hypothesis import stateful

__all__ = ["Machine", "Result", "find_machines", "main", "soak"]

# Separate flag values, because other commands define the same flag names.
_FLAGS = flags.FlagValues()
_SEED = flags.DEFINE_integer("seed", 0, "First seed.", flag_values=_FLAGS)
_SECONDS = flags.DEFINE_float(
    "seconds", 600.0, "Length of the run in seconds.", 0.0, flag_values=_FLAGS
)
_TESTS = flags.DEFINE_string(
    "tests",
    str(pathlib.Path(__file__).parents[2] / "core" / "tests"),
    "Directory of the tests with the state machines.",
    flag_values=_FLAGS,
)

_EXAMPLES_PER_ROUND = 50
_STEPS_PER_EXAMPLE = 60


class Machine(NamedTuple):
    """A state machine from a test file.

    Attributes:
        name: Name of the test file, a dot and the name of the class.
        kind: Its class.
    """

    name: str
    kind: type[stateful.RuleBasedStateMachine]


class Result(NamedTuple):
    """Results of the rounds of a machine.

    Attributes:
        name: Name of the machine.
        rounds: Passed rounds of `_EXAMPLES_PER_ROUND` runs each.
        failures: Seed and traceback of each failed round.
    """

    name: str
    rounds: int
    failures: list[str]


def find_machines(directory: pathlib.Path) -> list[Machine]:
    """Returns the state machines in the test files of a directory."""
    machines = []
    for path in sorted(directory.glob("test_*.py")):
        spec = importlib.util.spec_from_file_location(f"soak_{path.stem}", path)
        assert spec is not None
        assert spec.loader is not None
        module = importlib.util.module_from_spec(spec)
        sys.modules[module.__name__] = module
        spec.loader.exec_module(module)
        for name, kind in inspect.getmembers(module, inspect.isclass):
            # Classes with a leading underscore are base classes without rules.
            if _is_machine(kind, module) and not name.startswith("_"):
                machines.append(Machine(f"{path.stem}.{name}", kind))
    return machines


def soak(
    machines: Sequence[Machine], seed: int, seconds: float
) -> list[Result]:
    """Runs machines in turn until the time has passed.

    Args:
        machines: The machines; each runs at least once.
        seed: Seed from which the seeds of all rounds are derived.
        seconds: Length of the run.

    Returns:
        A result for each machine.
    """
    rng = random.Random(seed)
    deadline = time.monotonic() + seconds
    results = {
        machine.name: Result(machine.name, 0, []) for machine in machines
    }
    is_first_round = True
    while is_first_round or time.monotonic() < deadline:
        for machine in machines:
            if not is_first_round and time.monotonic() >= deadline:
                break
            result = results[machine.name]
            results[machine.name] = _run_round(
                machine, rng.getrandbits(32), result
            )
        is_first_round = False
    return list(results.values())


def _run_round(machine: Machine, seed: int, result: Result) -> Result:
    settings = hypothesis.settings(
        max_examples=_EXAMPLES_PER_ROUND,
        stateful_step_count=_STEPS_PER_EXAMPLE,
        deadline=None,
        database=None,
        derandomize=False,
        # Shrinking can take minutes, in which no new examples run.
        phases=[hypothesis.Phase.generate],
        print_blob=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    kind = type(machine.kind.__name__, (machine.kind,), {})
    try:
        _run_machine(kind, seed, settings)
    except Exception:
        failure = f"seed {seed}\n{traceback.format_exc()}"
        print(f"FAILED {machine.name} {failure}", flush=True)  # noqa: T201
        return result._replace(failures=[*result.failures, failure])
    return result._replace(rounds=result.rounds + 1)


def _run_machine(
    kind: type[stateful.RuleBasedStateMachine],
    seed: int,
    settings: hypothesis.settings,
) -> None:
    stateful.run_state_machine_as_test(
        hypothesis.seed(seed)(kind), settings=settings
    )


def _is_machine(
    kind: type, module: types.ModuleType
) -> TypeGuard[type[stateful.RuleBasedStateMachine]]:
    return (
        issubclass(kind, stateful.RuleBasedStateMachine)
        and kind.__module__ == module.__name__
    )


def main(argv: Sequence[str]) -> int:
    """Runs the state machines and returns the exit code."""
    del argv
    machines = find_machines(pathlib.Path(_TESTS.value))
    _print_line(
        f"seed {_SEED.value}, {_SECONDS.value:g} s, {len(machines)} machines"
    )
    if not machines:
        return 1
    results = soak(machines, _SEED.value, _SECONDS.value)
    for result in results:
        _print_line(
            f"{result.name}: {result.rounds} rounds passed, "
            f"{len(result.failures)} failed"
        )
    failed = sum(len(result.failures) for result in results)
    verdict = "FAILED" if failed else "passed"
    _print_line(f"seed {_SEED.value}: {verdict}")
    return 1 if failed else 0


def _print_line(text: str) -> None:
    print(text, flush=True)  # noqa: T201


def _parse(argv: list[str]) -> list[str]:
    flags.FLAGS(argv[:1])
    return _FLAGS(argv)


if __name__ == "__main__":
    app.run(main, flags_parser=_parse)
