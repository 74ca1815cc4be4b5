"""Numbered log events.

Each event is one line, as text on standard error or as JSON on standard output.
Loguru writes the text. It is loaded when it is first needed, because it takes
two megabytes of memory that a process with JSON output has no use for.
Lines of the same event are rate limited, so that a flood of refusals costs a
bounded share of the processor; the next line that is written reports how many
were suppressed.
"""

import atexit
import datetime
import os
import sys
import time
from typing import TYPE_CHECKING, Any

import msgspec

from nutmegpost_core import events

if TYPE_CHECKING:
    import loguru

__all__ = [
    "LINES_PER_SECOND",
    "OUTPUT_BYTES_MAX",
    "STRUCTURED_LINES_PER_SECOND",
    "emit",
    "flush",
    "set_process_name",
    "set_up",
    "set_up_structured",
]

# Lines written per event and second.
LINES_PER_SECOND = 20
STRUCTURED_LINES_PER_SECOND = 200
# Size of the buffer for a standard output that is read slowly.
OUTPUT_BYTES_MAX = 262_144
# Size of the buffered lines at which they are written without a flush.
BATCH_BYTES = 8_192
# Numbers of the levels; lines of the level WARNING and above are not delayed.
_LEVELS = {
    "TRACE": 5,
    "DEBUG": 10,
    "INFO": 20,
    "SUCCESS": 25,
    "WARNING": 30,
    "ERROR": 40,
    "CRITICAL": 50,
}
_FLUSHED_LEVEL = _LEVELS["WARNING"]

_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <7} {extra[process]} "
    "{extra[number]} {message}"
)


class _Throttle:
    """Rate limiter for the lines of one event, in windows of one second."""

    __slots__ = ("_lines", "_omitted", "_second")

    def __init__(self) -> None:
        self._second = 0
        self._lines = 0
        self._omitted = 0

    def admit(self, now: float, lines_max: int) -> bool:
        """Counts a line and returns whether it may be written.

        Args:
            now: Current time, seconds.
            lines_max: Maximum number of lines per second.
        """
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
        """Returns the number of suppressed lines and resets it."""
        omitted = self._omitted
        self._omitted = 0
        return omitted


_throttles: dict[int, _Throttle] = {}
_limits = {"lines": LINES_PER_SECOND}
_event_names = {
    event.number: name
    for name, event in vars(events).items()
    if isinstance(event, events.Event)
}


class _NonBlockingSink:
    """Sink, also for loguru, that writes JSON lines without blocking.

    Lines are buffered until `flush`, a line of a high level or a full batch,
    since each write costs as much as formatting a line. Data that the file
    descriptor does not accept is kept in the same bounded buffer. A line that
    does not fit is dropped; the next line that fits reports the number of
    dropped lines.
    """

    def __init__(self, descriptor: int, level: str = "TRACE"):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._level = _LEVELS[level]
        self._buffer = bytearray()
        self._dropped = 0

    def write(self, message: "loguru.Message") -> None:
        """Writes or buffers one record as a line of JSON."""
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
        self._write_line(line, record["level"].no)

    def write_event(self, event: events.Event, fields: dict[str, Any]) -> None:
        """Writes or buffers an event as a line of JSON."""
        level = _LEVELS[event.level]
        if level < self._level:
            return
        time_now = datetime.datetime.now().astimezone()
        line = {
            "time": time_now.isoformat(timespec="milliseconds"),
            "level": event.level,
            "process": _process["name"],
            "number": event.number,
            "event": _event_names.get(event.number, ""),
            **fields,
        }
        self._write_line(line, level)

    def _write_line(self, line: dict[str, Any], level: int) -> None:
        if self._dropped:
            line["lines_dropped"] = self._dropped
        data = msgspec.json.encode(line, enc_hook=str) + b"\n"
        if len(self._buffer) + len(data) > OUTPUT_BYTES_MAX:
            self._dropped += 1
        else:
            self._dropped = 0
            self._buffer += data
        is_urgent = level >= _FLUSHED_LEVEL
        if is_urgent or len(self._buffer) >= BATCH_BYTES:
            self.flush()

    def flush(self) -> None:
        """Writes the buffered lines, as far as that does not block."""
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        del self._buffer[:written]


# The sink of the structured output, if it is set up.
_sinks: list[_NonBlockingSink] = []
_process = {"name": ""}


def set_up(process: str, level: str = "INFO") -> None:
    """Configures text output on standard error.

    Args:
        process: Name of this process, written in each line.
        level: Minimum level that is written.
    """
    import loguru

    _configure(process, LINES_PER_SECOND)
    loguru.logger.remove()
    loguru.logger.configure(extra={"process": process, "number": 0})
    # diagnose=False keeps the values of variables, such as keys, out of
    # tracebacks.
    loguru.logger.add(
        sys.stderr,
        level=level,
        format=_FORMAT,
        diagnose=False,
        backtrace=False,
    )


def set_up_structured(process: str, level: str = "INFO") -> None:
    """Configures output as one JSON object per line on standard output.

    Args:
        process: Name of this process, written in each line.
        level: Minimum level that is written.
    """
    _configure(process, STRUCTURED_LINES_PER_SECOND)
    sink = _NonBlockingSink(sys.stdout.fileno(), level)
    _sinks.append(sink)
    atexit.register(sink.flush)


def flush() -> None:
    """Writes the lines that are buffered for the structured output."""
    for sink in _sinks:
        sink.flush()


def set_process_name(process: str) -> None:
    """Changes the name of this process in the lines that follow."""
    _process["name"] = process
    if not _sinks:
        import loguru

        loguru.logger.configure(extra={"process": process, "number": 0})


def _configure(process: str, lines_max: int) -> None:
    _limits["lines"] = lines_max
    _sinks.clear()
    _process["name"] = process


def emit(event: events.Event, **fields: Any) -> None:
    """Logs an event, subject to the rate limit of its number.

    Args:
        event: The event.
        **fields: Values of the fields in its template. Control characters
            in them are escaped, so that an event cannot span lines.
    """
    throttle = _throttles.setdefault(event.number, _Throttle())
    if not throttle.admit(time.monotonic(), _limits["lines"]):
        return
    omitted = throttle.take_omitted()
    if omitted:
        fields["lines_omitted"] = omitted
    if _sinks:
        # Structured lines hold the fields of the event in place of its text.
        for sink in _sinks:
            sink.write_event(event, fields)
        return
    import loguru

    text = _escape_unprintable(_format_message(event, fields))
    if omitted:
        text = f"{text} (and {omitted} more of {event.number} not written)"
    bound_logger = loguru.logger.bind(
        number=event.number,
        event=_event_names.get(event.number, ""),
        fields=fields,
    )
    bound_logger.log(event.level, "{}", text)


def _format_message(event: events.Event, fields: dict[str, Any]) -> str:
    try:
        return event.template.format(**fields)
    except (LookupError, ValueError, TypeError):
        # A mismatch of fields and template must not fail the caller.
        return f"{event.template} {fields!r}"


def _escape_unprintable(text: str) -> str:
    if text.isprintable():
        return text
    return "".join(
        char if char.isprintable() else ascii(char)[1:-1] for char in text
    )
