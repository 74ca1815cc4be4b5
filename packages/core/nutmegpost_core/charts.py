"""State charts: which changes of state are allowed.

A chart stands in `charts/NAME.json` and is read by the `transitions` library,
which also checks it. The machine is built once per chart and holds no model;
an instance keeps only its state, so that a chart costs a request little.
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
    """A chart as read from its file.

    Attributes:
        name: Name of the chart.
        initial: State in which an instance starts.
        states: All states, in the order of the file.
        moves: For each state, the state that each allowed trigger leads to.
    """

    name: str
    initial: str
    states: tuple[str, ...]
    moves: dict[str, dict[str, str]]


@functools.cache
def definition(name: str) -> Definition:
    """Reads a chart; the result is shared and must not be changed.

    Args:
        name: Name of the chart, one of `NAMES`.

    Returns:
        The chart.

    Raises:
        errors.DocumentError: The file does not have the form of a chart, or
            a transition is ambiguous or names a state that is not declared.
        FileNotFoundError: There is no such chart.
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
    """Returns the only move of each state and trigger.

    The library looks at a destination only when it is reached, and takes the
    first of several moves; a chart must fail when it is read.
    """
    moves: dict[str, dict[str, str]] = {state: {} for state in machine.states}
    for trigger, event in machine.events.items():
        for source, found in event.transitions.items():
            dest = str(found[0].dest)
            if source not in moves or dest not in moves or len(found) > 1:
                raise errors.DocumentError(
                    f"charts/{name}.json",
                    f"$.transitions, {trigger} in {source}",
                    "one move between declared states",
                )
            moves[source][trigger] = dest
    return moves


class Chart:
    """The state of one thing, changed only as its chart allows."""

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
        """The state now."""
        return self._state

    def allows(self, trigger: str) -> bool:
        """Tells whether the trigger is allowed in the state now."""
        return trigger in self._definition.moves[self._state]

    def fire(self, trigger: str) -> bool:
        """Changes the state.

        Args:
            trigger: What happened.

        Returns:
            True when the state changed as the chart says; False, after the
            invariant event, when the trigger is not allowed in the state.

        Raises:
            invariants.InvariantError: The trigger is not allowed and no
                handler of invariants is installed.
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
