"""Numbered log events through loguru.

Lines go to standard error, one for each event. An event that repeats fast is
written a bounded number of times a second, so that a flood of refusals costs
a bounded part of the processor; the next line of it says how many were left
out.
"""

import sys
import time
from typing import Any

import loguru

from nutmegpost_core import events

__all__ = ["LINES_PER_SECOND", "emit", "set_up"]

LINES_PER_SECOND = 20

_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <7} {extra[process]} "
    "{extra[number]} {message}"
)


class _Throttle:
    """Counts the lines of one event in the current second."""

    __slots__ = ("_lines", "_omitted", "_second")

    def __init__(self) -> None:
        self._second = 0
        self._lines = 0
        self._omitted = 0

    def admit(self, now: float) -> bool:
        """Tells whether a line may be written, and counts it."""
        second = int(now)
        if second != self._second:
            self._second = second
            self._lines = 0
        if self._lines >= LINES_PER_SECOND:
            self._omitted += 1
            return False
        self._lines += 1
        return True

    def take_omitted(self) -> int:
        """Returns the lines left out since the last call."""
        omitted = self._omitted
        self._omitted = 0
        return omitted


_throttles: dict[int, _Throttle] = {}


def set_up(process: str, level: str = "INFO", to_stdout: bool = False) -> None:
    """Sends the log to standard error or output.

    Args:
        process: Name of this process in each line.
        level: Least level that is written.
        to_stdout: Whether lines go to standard output.
    """
    loguru.logger.remove()
    loguru.logger.configure(extra={"process": process, "number": 0})
    # Without diagnose=False a traceback would show the values of variables,
    # and keys are among them.
    loguru.logger.add(
        sys.stdout if to_stdout else sys.stderr,
        level=level,
        format=_FORMAT,
        diagnose=False,
        backtrace=False,
    )


def emit(event: events.Event, **fields: Any) -> None:
    """Writes one event.

    Args:
        event: The event.
        **fields: Values of the places in its template. Control characters
            in them are escaped, so that an event stays on its line.
    """
    throttle = _throttles.setdefault(event.number, _Throttle())
    if not throttle.admit(time.monotonic()):
        return
    text = _one_line(_fill(event, fields))
    omitted = throttle.take_omitted()
    if omitted:
        text = f"{text} (and {omitted} more of {event.number} not written)"
    loguru.logger.bind(number=event.number).log(event.level, "{}", text)


def _fill(event: events.Event, fields: dict[str, Any]) -> str:
    try:
        return event.template.format(**fields)
    except (LookupError, ValueError, TypeError):
        # A wrong field must not turn a log line into a second fault.
        return f"{event.template} {fields!r}"


def _one_line(text: str) -> str:
    if text.isprintable():
        return text
    return "".join(
        char if char.isprintable() else ascii(char)[1:-1] for char in text
    )
