"""Invariant checks at run time.

By default, as in tests, a violated invariant raises. A process installs a
handler that logs and counts the event instead, so that a bug in one decision
does not terminate the process.
"""

from collections.abc import Callable
from typing import Any

from nutmegpost_core import errors
from nutmegpost_core import events

__all__ = ["InvariantError", "check", "install"]


class InvariantError(errors.NutmegpostError):
    """An invariant was violated."""


Handler = Callable[[events.Event, dict[str, Any]], None]


def _raise(event: events.Event, fields: dict[str, Any]) -> None:
    raise InvariantError(event.template.format(**fields))


_handler: Handler = _raise


def install(handler: Handler | None) -> None:
    """Sets the handler of violations; None restores raising an error."""
    global _handler  # noqa: PLW0603
    _handler = handler or _raise


def check(condition: bool, event: events.Event, **fields: Any) -> bool:
    """Reports a violation when the condition is false.

    Args:
        condition: The invariant.
        event: Event of the group 9xx that reports the violation.
        **fields: Fields of the event.

    Returns:
        The condition.

    Raises:
        InvariantError: The condition is false and no handler is installed.
    """
    if not condition:
        _handler(event, fields)
    return condition
