"""Numbered log events through loguru."""

import sys
from typing import Any

import loguru

from nutmegpost_core import events

__all__ = ["emit", "set_up"]

_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <7} {extra[process]} "
    "{extra[number]} {message}"
)


def set_up(process: str, level: str = "INFO") -> None:
    """Sends the log to standard error.

    Args:
        process: Name of this process in each line.
        level: Least level that is written.
    """
    loguru.logger.remove()
    loguru.logger.configure(extra={"process": process, "number": 0})
    loguru.logger.add(sys.stderr, level=level, format=_FORMAT)


def emit(event: events.Event, **fields: Any) -> None:
    """Writes one event.

    Args:
        event: The event.
        **fields: Values of the places in its template.
    """
    text = event.template.format(**fields)
    loguru.logger.bind(number=event.number).log(event.level, "{}", text)
