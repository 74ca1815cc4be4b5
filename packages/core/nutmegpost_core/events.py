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
STOP_GRACE_OVER = Event(
    107, "WARNING", "router {name} stops with requests still open"
)
ADDRESS_UNUSABLE = Event(
    108, "ERROR", "an address of the settings cannot be used: {reason}"
)
TASK_FAILED = Event(106, "ERROR", "task {task} failed and restarts: {reason}")

SETTINGS_RELOADED = Event(
    109,
    "INFO",
    "gateway {name} read its settings again; in force: {changed}; at the"
    " next start: {kept}",
)

# 2xx platform and configuration
CONFIGURATION_ACCEPTED = Event(
    201, "INFO", "configuration {version} {digest} of {source} is in force"
)
CONFIGURATION_REFUSED = Event(
    202, "ERROR", "configuration of {source} refused: {reason}"
)
CONFIGURATION_OLD = Event(
    203, "WARNING", "{source} has old configuration {version}"
)
CONFIGURATION_CONFLICT = Event(
    204, "ERROR", "{source} has other content {digest} for version {version}"
)
VMS_CHANGED = Event(205, "INFO", "VM list {version} has {count} VMs")
VMS_REFUSED = Event(206, "ERROR", "VM list refused: {reason}")
PLATFORM_FAILED = Event(207, "WARNING", "platform: {reason}")
PLATFORM_RECOVERED = Event(208, "INFO", "platform answers again")
PEER_READ_FAILED = Event(
    209, "WARNING", "no configuration from peer {peer}: {reason}"
)

ENDPOINTS_CHANGED = Event(
    211, "INFO", "endpoints at {revision}: usable {usable}; leaving {leaving}"
)
ENTRY_REFUSED = Event(
    212, "WARNING", "entry {name} of revision {revision} refused: {reason}"
)

# 3xx members and peers
MEMBER_CHANGED = Event(301, "INFO", "member {name} is {state}, was {previous}")
DATAGRAM_FORGED = Event(
    302, "WARNING", "datagram from {source} has a wrong MAC"
)
DATAGRAM_MALFORMED = Event(
    303, "WARNING", "datagram from {source} is malformed: {reason}"
)
RUMOUR_REFUSED = Event(
    304, "ERROR", "rumour of kind {kind} not published: {reason}"
)
LINK_OPENED = Event(350, "INFO", "link to {peer} is open")
LINK_LOST = Event(351, "INFO", "link with {peer} is lost: {reason}")
PEER_REFUSED = Event(352, "WARNING", "peer refused: {reason}")

PEERS_ASKED = Event(305, "INFO", "peers are asked for news: {reason}")

# 4xx requests
REQUEST_REFUSED = Event(401, "INFO", "request refused, {code}: {reason}")
REQUEST_FAILED = Event(
    402, "WARNING", "request {request} of {account} failed, {code}: {reason}"
)
STREAM_RESUMED = Event(
    403, "INFO", "stream {request} resumed on {engine} at {position}"
)
FRAME_DROPPED = Event(404, "WARNING", "frame of {request} dropped: {reason}")
REQUEST_RETRIED = Event(
    405, "INFO", "request {request} tried again after {engine}: {reason}"
)
REQUEST_MOVED = Event(406, "DEBUG", "request {request} moved to {engine}")
REQUEST_CANCELLED = Event(
    407, "INFO", "request {request} cancelled, nobody reads it"
)

REQUEST_SENT = Event(
    410,
    "INFO",
    "{request} attempt {attempt} of {route} goes to {endpoint}: running "
    "{running} of {bound}, cached {cached} tokens, {fetched} fetched, {reread} "
    "read again, cost {cost_ms} ms, left {left_ms} ms, loads {loads_age_ms} "
    "ms old, endpoints at {endpoints_revision}, configuration {configuration}",
)
REQUEST_ANSWERED = Event(
    411,
    "INFO",
    "{request} of {route} answered with {status} by {endpoint} after "
    "{after_ms} ms and {attempts} attempts",
)
ATTEMPT_FAILED = Event(
    412,
    "INFO",
    "{request} attempt {attempt} at {endpoint} ended {end} after {after_ms} "
    "ms: {reason}",
)
REQUEST_ENDED = Event(
    413,
    "INFO",
    "{request} of {route} ends with {status}, {outcome}, begun {begun}, "
    "configuration {configuration}: {reason}",
)
CALLER_GONE = Event(
    414, "INFO", "{request} cancelled by its caller after {after_ms} ms"
)
REQUEST_UNREADABLE = Event(
    415, "INFO", "request refused with {status}: {reason}"
)

# 5xx endpoints and placement
ENGINE_OWNED = Event(501, "INFO", "endpoint {engine} is owned by this router")
ENGINE_RELEASED = Event(502, "INFO", "endpoint {engine} has another owner")
ENGINE_UNREACHABLE = Event(
    503, "WARNING", "endpoint {engine} is unreachable: {reason}"
)
ENGINE_READY = Event(504, "INFO", "endpoint {engine} is ready")
ENGINE_LEAVING = Event(505, "INFO", "endpoint {engine} is leaving")
ENGINE_EJECTED = Event(506, "WARNING", "endpoint {engine} is ejected")


CACHE_LEARNT = Event(508, "INFO", "cache of {endpoint} has {count} parts")
CACHE_UNKNOWN = Event(
    509, "WARNING", "cache of {endpoint} is not known: {reason}"
)

# 7xx rollouts
ROLLOUT_DRAINS = Event(
    701, "INFO", "engine {engine} is drained for configuration {version}"
)
ROLLOUT_READMITS = Event(702, "INFO", "engine {engine} gets requests again")
ROLLOUT_HELD = Event(703, "WARNING", "rollout of {model} waits: {reason}")
ORDER_SENT = Event(710, "INFO", "order {fence} goes to engine {engine}")
ORDER_FAILED = Event(711, "WARNING", "order to engine {engine}: {reason}")
ORDER_SKIPPED = Event(
    712, "WARNING", "order to engine {engine} is not sent: {reason}"
)

# 8xx quarantine
REQUEST_SUSPECTED = Event(
    801, "WARNING", "request {digest} ran on {engine} as it crashed"
)
REQUEST_CLEARED = Event(803, "INFO", "request {digest} is no suspect any more")

REQUEST_CHARGED = Event(
    804, "WARNING", "request {digest} charged with the crash of {endpoint}"
)

# 6xx services and permits
CALL_FAULTED = Event(
    601, "ERROR", "call of a service ended by a fault: {reason}"
)
HANDOVER_DONE = Event(650, "INFO", "permits are handed to {successor}")
HANDOVER_REFUSED = Event(651, "WARNING", "hand-over refused: {reason}")
HANDOVER_FAILED = Event(652, "WARNING", "no router took the permits over")
POINTER_MALFORMED = Event(653, "WARNING", "malformed pointer to a successor")

SUSPECT_MALFORMED = Event(
    850, "WARNING", "malformed report of a suspected request: {reason}"
)

# 9xx violated invariants
CHART_REFUSED = Event(
    901, "ERROR", "chart {chart} refuses {trigger} in state {state}"
)
STREAM_GAP = Event(
    904, "ERROR", "stream {request} got event {first}, expected {expected}"
)
LOAD_OVER_BOUND = Event(
    905, "ERROR", "endpoint {engine} has load {load} over bound {bound}"
)
BUDGET_EXCEEDED = Event(
    931, "ERROR", "control traffic is {bytes} bytes over its budget"
)
STATE_REGRESSED = Event(
    932, "ERROR", "member {name} went back from revision {old} to {new}"
)
ENGINES_CRASHED = Event(
    981, "ERROR", "request {digest} crashed {crashes} engines"
)

CONFIGURATION_REVERTED = Event(
    921, "ERROR", "configuration {version} comes after {previous}"
)
ROLLOUT_TOO_WIDE = Event(
    971, "ERROR", "rollout of {model} takes {out} engines out, limit {limit}"
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
