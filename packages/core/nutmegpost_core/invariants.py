"""Checks of invariants inside the running program.

A violated invariant raises in tests. A process installs a handler that logs
the event and counts it instead, so that a fault in one decision does not end
the process.
"""

from collections.abc import Callable
from typing import Any

from nutmegpost_core import errors
from nutmegpost_core import events

__all__ = ["InvariantError", "check", "install"]


class InvariantError(errors.NutmegpostError):
    """An invariant does not hold."""


Handler = Callable[[events.Event, dict[str, Any]], None]


def _raise(event: events.Event, fields: dict[str, Any]) -> None:
    raise InvariantError(event.template.format(**fields))


_handler: Handler = _raise


def install(handler: Handler | None) -> None:
    """Sets what happens at a violation; None raises again."""
    global _handler  # noqa: PLW0603
    _handler = handler or _raise


def check(condition: bool, event: events.Event, **fields: Any) -> bool:
    """Reports a violation when the condition is false.

    Args:
        condition: What must hold.
        event: Event of the 9xx range that names the invariant.
        **fields: Fields of the event.

    Returns:
        The condition.

    Raises:
        InvariantError: The condition is false and no handler is installed.
    """
    if not condition:
        _handler(event, fields)
    return condition
