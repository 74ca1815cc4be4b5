"""The catalogue of log events.

Each event has a number that never changes its meaning. The hundreds group
them: 1xx process and settings, 2xx platform and configuration, 3xx members and
peers, 4xx requests, 5xx endpoints and placement, 6xx services and permits, 7xx
rollouts, 8xx quarantine, 9xx violated invariants. docs/EVENTS.md explains each
one.
"""

from typing import NamedTuple

__all__ = ["Event", "catalogue"]


class Event(NamedTuple):
    """A kind of log event.

    Attributes:
        number: Its number.
        level: Level of the log.
        template: Text with `{field}` places.
    """

    number: int
    level: str
    template: str


# 1xx process and settings
PROCESS_STARTED = Event(
    101, "INFO", "router {name} started, incarnation {incarnation}"
)
PROCESS_STOPPING = Event(102, "INFO", "router {name} stops")
PROCESS_STOPPED = Event(103, "INFO", "router {name} stopped")
SETTINGS_REFUSED = Event(104, "ERROR", "settings refused: {reason}")
CLOCK_GAP = Event(105, "WARNING", "process was paused for {seconds:.1f} s")
TASK_FAILED = Event(106, "ERROR", "task {task} failed and restarts: {reason}")

# 4xx requests
REQUEST_REFUSED = Event(401, "INFO", "request refused, {code}: {reason}")
REQUEST_FAILED = Event(
    402, "WARNING", "request {request} of {account} failed, {code}: {reason}"
)
STREAM_RESUMED = Event(
    403, "INFO", "stream {request} resumed on {engine} after event {event}"
)
FRAME_DROPPED = Event(404, "WARNING", "frame of {request} dropped: {reason}")

# 9xx violated invariants
CHART_REFUSED = Event(
    901, "ERROR", "chart {chart} refuses {trigger} in state {state}"
)

PERMIT_SENT_TWICE = Event(
    961, "ERROR", "permit {incarnation}/{sequence} was sent twice"
)
PERMIT_ENDED_TWICE = Event(
    962, "ERROR", "permit {incarnation}/{sequence} ended twice"
)
PERMIT_REFUSED_AFTER_SENDING = Event(
    963,
    "ERROR",
    "permit {incarnation}/{sequence} was refused after it was sent",
)


def catalogue() -> list[Event]:
    """Returns all events by number."""
    found = [item for item in globals().values() if isinstance(item, Event)]
    return sorted(found)
