"""State charts, which define the allowed state transitions.

A chart is stored in `charts/NAME.json`; the `transitions` library reads and
validates it. The machine is built once per chart and holds no model; an
instance stores only its state, so that a chart adds little cost to a request.
"""

import functools
import importlib.resources
from typing import NamedTuple, TypedDict

import msgspec
import transitions

from nutmegpost_core import documents
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import invariants

__all__ = ["NAMES", "Chart", "Definition", "definition"]

NAMES = ("endpoint", "link", "request", "rollout", "router")


class _Transition(TypedDict):
    trigger: str
    source: str | list[str]
    dest: str


class _Document(TypedDict):
    initial: str
    states: list[str]
    transitions: list[_Transition]


class Definition(NamedTuple):
    """Definition of a chart, as read from its file.

    Attributes:
        name: Name of the chart.
        initial: Initial state of an instance.
        states: All states, in the order of the file.
        moves: For each state, the destination state of each allowed trigger.
    """

    name: str
    initial: str
    states: tuple[str, ...]
    moves: dict[str, dict[str, str]]


@functools.cache
def definition(name: str) -> Definition:
    """Reads a chart; the result is cached and must not be modified.

    Args:
        name: Name of the chart, one of `NAMES`.

    Returns:
        The definition of the chart.

    Raises:
        errors.DocumentError: The file does not match the schema of a chart, or
            a transition is ambiguous or names an undeclared state.
        FileNotFoundError: No chart has that name.
    """
    folder = importlib.resources.files("nutmegpost_core")
    data = folder.joinpath("charts", f"{name}.json").read_bytes()
    document = documents.decode(data, _Document, f"charts/{name}.json")
    machine = transitions.Machine(
        model=None,
        initial=document["initial"],
        states=document["states"],
        transitions=msgspec.to_builtins(document["transitions"]),
        auto_transitions=False,
    )
    return Definition(
        name, document["initial"], tuple(machine.states), _moves(machine, name)
    )


def _moves(
    machine: transitions.Machine, name: str
) -> dict[str, dict[str, str]]:
    """Returns the destination of each state and trigger.

    The library checks a destination only when it is reached, and uses the
    first of several transitions. This check rejects such a chart when it is
    read.
    """
    moves: dict[str, dict[str, str]] = {state: {} for state in machine.states}
    for trigger, event in machine.events.items():
        for source, candidates in event.transitions.items():
            dest = str(candidates[0].dest)
            if source not in moves or dest not in moves or len(candidates) > 1:
                raise errors.DocumentError(
                    f"charts/{name}.json",
                    f"$.transitions, {trigger} in {source}",
                    "one transition between declared states",
                )
            moves[source][trigger] = dest
    return moves


class Chart:
    """Instance of a chart, which changes state only as the chart allows."""

    __slots__ = ("_definition", "_state")

    def __init__(self, name: str):
        """Starts in the initial state.

        Args:
            name: Name of the chart, one of `NAMES`.
        """
        self._definition = definition(name)
        self._state = self._definition.initial

    def __repr__(self) -> str:
        return f"Chart({self._definition.name!r}, {self._state!r})"

    @property
    def name(self) -> str:
        """Name of the chart."""
        return self._definition.name

    @property
    def state(self) -> str:
        """The current state."""
        return self._state

    def allows(self, trigger: str) -> bool:
        """Returns whether the trigger is allowed in the current state."""
        return trigger in self._definition.moves[self._state]

    def fire(self, trigger: str) -> bool:
        """Applies a trigger to the current state.

        Args:
            trigger: Name of the trigger.

        Returns:
            True when the transition was made; False, after the invariant event
            was reported, when the trigger is not allowed in the state.

        Raises:
            invariants.InvariantError: The trigger is not allowed and no
                invariant handler is installed.
        """
        dest = self._definition.moves[self._state].get(trigger)
        if dest is None:
            return invariants.check(
                False,
                events.CHART_REFUSED,
                chart=self._definition.name,
                state=self._state,
                trigger=trigger,
            )
        self._state = dest
        return True
