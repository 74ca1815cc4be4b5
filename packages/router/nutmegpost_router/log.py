"""Numbered log events through loguru.

Lines go to standard error as text, or to standard output as JSON, one for each
event. An event that repeats fast is written a bounded number of times a second,
so that a flood of refusals costs a bounded part of the processor; the next line
of it says how many were left out.
"""

import os
import sys
import time
from typing import Any

import loguru
import msgspec

from nutmegpost_core import events

__all__ = [
    "LINES_PER_SECOND",
    "OUTPUT_BYTES_MAX",
    "STRUCTURED_LINES_PER_SECOND",
    "emit",
    "set_up",
    "set_up_structured",
]

# Lines of one event in a second, so that a flood costs a bounded part of the
# processor.
LINES_PER_SECOND = 20
STRUCTURED_LINES_PER_SECOND = 200
# Bytes that wait for a standard output that is read slowly.
OUTPUT_BYTES_MAX = 262_144

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

    def admit(self, now: float, lines_max: int) -> bool:
        """Tells whether a line may be written, and counts it."""
        second = int(now)
        if second != self._second:
            self._second = second
            self._lines = 0
        if self._lines >= lines_max:
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
_limits = {"lines": LINES_PER_SECOND}
_names = {
    item.number: name
    for name, item in vars(events).items()
    if isinstance(item, events.Event)
}


class _Output:
    """Lines for a descriptor that must never make the process wait.

    What the descriptor does not take at once waits in a bounded buffer. A line
    that does not fit is left out, and the next one says how many were.
    """

    def __init__(self, descriptor: int):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._waiting = bytearray()
        self._dropped = 0

    def write(self, message: "loguru.Message") -> None:
        """Takes one record as a line of JSON."""
        record = message.record
        extra = record["extra"]
        line: dict[str, Any] = {
            "time": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            "process": extra["process"],
            "number": extra["number"],
            "event": extra.get("event", ""),
            **extra.get("fields", {}),
        }
        if "fields" not in extra:
            line["text"] = record["message"]
        if self._dropped:
            line["lines_dropped"] = self._dropped
        data = msgspec.json.encode(line, enc_hook=str) + b"\n"
        if len(self._waiting) + len(data) > OUTPUT_BYTES_MAX:
            self._dropped += 1
        else:
            self._dropped = 0
            self._waiting += data
        self._flush()

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._waiting)
        except BlockingIOError:
            return
        del self._waiting[:written]


def set_up(process: str, level: str = "INFO") -> None:
    """Sends the log to standard error, as text.

    Args:
        process: Name of this process in each line.
        level: Least level that is written.
    """
    _configure(process, LINES_PER_SECOND)
    # Without diagnose=False a traceback would show the values of variables,
    # and keys are among them.
    loguru.logger.add(
        sys.stderr,
        level=level,
        format=_FORMAT,
        diagnose=False,
        backtrace=False,
    )


def set_up_structured(process: str, level: str = "INFO") -> None:
    """Sends the log to standard output, a JSON object a line.

    Args:
        process: Name of this process in each line.
        level: Least level that is written.
    """
    _configure(process, STRUCTURED_LINES_PER_SECOND)
    output = _Output(sys.stdout.fileno())
    loguru.logger.add(
        output.write, level=level, diagnose=False, backtrace=False
    )


def _configure(process: str, lines_max: int) -> None:
    _limits["lines"] = lines_max
    loguru.logger.remove()
    loguru.logger.configure(extra={"process": process, "number": 0})


def emit(event: events.Event, **fields: Any) -> None:
    """Writes one event.

    Args:
        event: The event.
        **fields: Values of the places in its template. Control characters
            in them are escaped, so that an event stays on its line.
    """
    throttle = _throttles.setdefault(event.number, _Throttle())
    if not throttle.admit(time.monotonic(), _limits["lines"]):
        return
    text = _one_line(_fill(event, fields))
    omitted = throttle.take_omitted()
    if omitted:
        text = f"{text} (and {omitted} more of {event.number} not written)"
        fields["lines_omitted"] = omitted
    bound = loguru.logger.bind(
        number=event.number, event=_names.get(event.number, ""), fields=fields
    )
    bound.log(event.level, "{}", text)


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
