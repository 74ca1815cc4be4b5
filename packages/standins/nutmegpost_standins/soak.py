"""Runs the state machines of the tests for a long time.

    python -m nutmegpost_standins.soak --seed=N --seconds=S

Every hypothesis state machine of the core tests runs again and again with
new seeds, all drawn from the first. The invariants inside the program are
armed: a violation fails the run. The exit code is 0 when nothing failed.
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

__all__ = ["Machine", "Result", "find", "main", "soak"]

# Flags of its own: other commands have flags of the same names.
_FLAGS = flags.FlagValues()
_SEED = flags.DEFINE_integer("seed", 0, "First seed.", flag_values=_FLAGS)
_SECONDS = flags.DEFINE_float(
    "seconds", 600.0, "Length of the run.", 0.0, flag_values=_FLAGS
)
_TESTS = flags.DEFINE_string(
    "tests",
    str(pathlib.Path(__file__).parents[2] / "core" / "tests"),
    "Directory of the tests whose state machines run.",
    flag_values=_FLAGS,
)

_EXAMPLES = 50
_STEPS = 60


class Machine(NamedTuple):
    """A state machine of the tests.

    Attributes:
        name: Name of its test file and class.
        kind: The class.
    """

    name: str
    kind: type[stateful.RuleBasedStateMachine]


class Result(NamedTuple):
    """What became of the rounds of a machine.

    Attributes:
        name: Name of the machine.
        rounds: Rounds of `_EXAMPLES` runs each that passed.
        failures: Text of each failure with its seed.
    """

    name: str
    rounds: int
    failures: list[str]


def find(directory: pathlib.Path) -> list[Machine]:
    """Returns the state machines of the test files of a directory."""
    found = []
    for path in sorted(directory.glob("test_*.py")):
        spec = importlib.util.spec_from_file_location(f"soak_{path.stem}", path)
        assert spec is not None
        assert spec.loader is not None
        module = importlib.util.module_from_spec(spec)
        sys.modules[module.__name__] = module
        spec.loader.exec_module(module)
        for name, kind in inspect.getmembers(module, inspect.isclass):
            # Names with an underscore are bases without rules.
            if _is_machine(kind, module) and not name.startswith("_"):
                found.append(Machine(f"{path.stem}.{name}", kind))
    return found


def soak(
    machines: Sequence[Machine], seed: int, seconds: float
) -> list[Result]:
    """Runs machines in turn until the time is over.

    Args:
        machines: The machines; each runs at least once.
        seed: Decides on all that the machines do.
        seconds: Length of the run.

    Returns:
        One result for each machine.
    """
    rng = random.Random(seed)
    end = time.monotonic() + seconds
    results = {item.name: Result(item.name, 0, []) for item in machines}
    first = True
    while first or time.monotonic() < end:
        for machine in machines:
            if not first and time.monotonic() >= end:
                break
            result = results[machine.name]
            results[machine.name] = _round(machine, rng.getrandbits(32), result)
        first = False
    return list(results.values())


def _round(machine: Machine, seed: int, result: Result) -> Result:
    settings = hypothesis.settings(
        max_examples=_EXAMPLES,
        stateful_step_count=_STEPS,
        deadline=None,
        database=None,
        derandomize=False,
        # Minutes of shrinking would be minutes without new runs.
        phases=[hypothesis.Phase.generate],
        print_blob=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    kind = type(machine.kind.__name__, (machine.kind,), {})
    try:
        _run(kind, seed, settings)
    except Exception:
        failure = f"seed {seed}\n{traceback.format_exc()}"
        print(f"FAILED {machine.name} {failure}", flush=True)  # noqa: T201
        return result._replace(failures=[*result.failures, failure])
    return result._replace(rounds=result.rounds + 1)


def _run(
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
    """Runs the command."""
    del argv
    machines = find(pathlib.Path(_TESTS.value))
    _say(f"seed {_SEED.value}, {_SECONDS.value:g} s, {len(machines)} machines")
    if not machines:
        return 1
    results = soak(machines, _SEED.value, _SECONDS.value)
    for result in results:
        _say(
            f"{result.name}: {result.rounds} rounds passed, "
            f"{len(result.failures)} failed"
        )
    failed = sum(len(result.failures) for result in results)
    verdict = "FAILED" if failed else "passed"
    _say(f"seed {_SEED.value}: {verdict}")
    return 1 if failed else 0


def _say(text: str) -> None:
    print(text, flush=True)  # noqa: T201


def _parse(argv: list[str]) -> list[str]:
    flags.FLAGS(argv[:1])
    return _FLAGS(argv)


if __name__ == "__main__":
    app.run(main, flags_parser=_parse)
