"""The catalogue of log events.

Each event has a number whose meaning never changes. The first digit is its
group: 1xx process and settings, 2xx platform and configuration, 3xx members and
peers, 4xx requests, 5xx endpoints and placement, 6xx services and permits, 7xx
rollouts, 8xx quarantine, 9xx violated invariants. docs/EVENTS.md describes each
event.
"""

from typing import NamedTuple

__all__ = ["Event", "catalogue"]


class Event(NamedTuple):
    """A kind of log event.

    Attributes:
        number: Unique number of the event.
        level: Log level.
        template: Text of the log line, with `{field}` placeholders.
    """

    number: int
    level: str
    template: str


# 1xx process and settings
PROCESS_STARTED = Event(
    101, "INFO", "router {name} started, incarnation {incarnation}"
)
PROCESS_STOPPING = Event(102, "INFO", "router {name} is stopping")
PROCESS_STOPPED = Event(
    103,
    "INFO",
    "router {name} stopped; it cut {requests} requests, {begun} of them with "
    "an answer begun, and {unsent_bytes} unsent bytes on {connections} "
    "connections",
)
SETTINGS_REFUSED = Event(104, "ERROR", "settings refused: {reason}")
CLOCK_GAP = Event(105, "WARNING", "process was paused for {seconds:.1f} s")
STOP_GRACE_OVER = Event(
    107,
    "WARNING",
    "router {name} stops with {requests} open requests, {begun} of them with "
    "an answer begun, and {unsent_bytes} unsent bytes on {connections} "
    "connections: grace period over",
)
ADDRESS_UNUSABLE = Event(
    108, "ERROR", "cannot listen on a configured address: {reason}"
)
TASK_FAILED = Event(
    106, "ERROR", "task {task} failed and is restarted: {reason}"
)

SETTINGS_RELOADED = Event(
    109,
    "INFO",
    "gateway {name} reloaded its settings; applied: {changed}; deferred to"
    " the next start: {kept}",
)
ACKNOWLEDGEMENTS_UNKNOWN = Event(
    110,
    "WARNING",
    "the system does not tell what peers acknowledge: {reason}",
)

# 2xx platform and configuration
CONFIGURATION_ACCEPTED = Event(
    201, "INFO", "configuration {version} {digest} of {source} is in force"
)
CONFIGURATION_REFUSED = Event(
    202, "ERROR", "configuration from {source} refused: {reason}"
)
CONFIGURATION_OLD = Event(
    203, "WARNING", "{source} returned outdated configuration {version}"
)
CONFIGURATION_CONFLICT = Event(
    204,
    "ERROR",
    "{source} has different content {digest} for version {version}",
)
VMS_CHANGED = Event(205, "INFO", "VM list {version} has {count} VMs")
VMS_REFUSED = Event(206, "ERROR", "VM list refused: {reason}")
PLATFORM_FAILED = Event(207, "WARNING", "platform request failed: {reason}")
PLATFORM_RECOVERED = Event(208, "INFO", "platform is reachable again")
PEER_READ_FAILED = Event(
    209, "WARNING", "cannot read the configuration of peer {peer}: {reason}"
)

ENDPOINTS_CHANGED = Event(
    211,
    "INFO",
    "endpoints at revision {revision}: usable {usable}; leaving {leaving}",
)
ENTRY_REFUSED = Event(
    212, "WARNING", "entry {name} of revision {revision} refused: {reason}"
)
PLATFORM_RESTORED = Event(
    213,
    "WARNING",
    "platform was restored from a copy: era {era}, known were era {known_era} "
    "and revision {known_revision}",
)
ENTRIES_OUTDATED = Event(
    214,
    "INFO",
    "entries ignored as older than those known here: {names}; they came with "
    "revision {revision}, known is {known}",
)
CONFIGURATION_READ = Event(
    215,
    "INFO",
    "{versions} versions of the configuration read from {source}: {bytes} "
    "bytes in {transfer_ms} ms",
)
PLATFORM_READ_FAILED = Event(
    216, "INFO", "reading {prefix} failed after {after_ms} ms: {reason}"
)
HISTORY_SKIPPED = Event(
    217,
    "INFO",
    "changes since {revision} are too long to read, the newest version is "
    "read instead: {reason}",
)
POLL_OVERDUE = Event(
    218, "INFO", "poll for {prefix} is sent again for lost answers: {reason}"
)
ZONE_EVACUATED = Event(
    220,
    "WARNING",
    "zone {zone} is evacuated since revision {revision}, by {source}; its "
    "endpoints get no requests",
)
ZONE_RESTORED = Event(
    221,
    "WARNING",
    "zone {zone} is not evacuated since revision {revision}, by {source}",
)
EVACUATION_RETAINED = Event(
    222,
    "WARNING",
    "the key that evacuates zone {zone} is missing in the restored platform "
    "at revision {revision}; the zone stays evacuated for now",
)
REQUEST_WITHHELD = Event(
    223,
    "INFO",
    "request {request}: attempt {attempt} is not sent to endpoint {endpoint}, "
    "as zone {zone} is evacuated",
)
OPERATOR_KEY_IGNORED = Event(
    224,
    "WARNING",
    "unknown key {name} at revision {revision} is ignored",
)
ENDPOINT_COLD = Event(
    225,
    "INFO",
    "endpoint {endpoint} is cold for {remaining_ms} ms, by {source}",
)
COLD_HEADER_REFUSED = Event(
    226,
    "WARNING",
    "endpoint {endpoint} sent an invalid time for which it is cold: {text}",
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
LINK_OPENED = Event(350, "INFO", "link to {peer} opened")
LINK_LOST = Event(351, "INFO", "link to {peer} lost: {reason}")
PEER_REFUSED = Event(352, "WARNING", "peer refused: {reason}")

PEERS_ASKED = Event(305, "INFO", "querying peers for newer state: {reason}")
ORIGINS_UNSENT = Event(
    306,
    "INFO",
    "cannot exchange origins of streams with peer {peer}: {reason}",
)
ORIGINS_REPLICATED = Event(
    308,
    "INFO",
    "origins of {count} streams told again, as the gateways are now {gateways}",
)
MEMBERS_RECEIVED = Event(
    307,
    "INFO",
    "{peer} sent {received} members, of which {known} were known",
)

READERS_CHOSEN = Event(
    320, "INFO", "{gateways} gateways; the platform is read by {readers}"
)
FOLLOWING_BEGUN = Event(
    321, "INFO", "follows the readers of the platform: {readers}"
)
FOLLOWING_ENDED = Event(322, "INFO", "reads the platform itself: {reason}")
READER_SILENT = Event(323, "INFO", "no news of reader {reader}: {reason}")
ADDRESSES_SELECTED = Event(
    310,
    "INFO",
    "addresses of {gateways} gateways are selected by zone and capacity",
)
ADDRESSES_UNSELECTED = Event(
    311, "INFO", "all addresses of {gateways} gateways are listed"
)
ZONE_SHORT = Event(
    312, "WARNING", "zone {zone} has room for {share} of its demand"
)
ZONE_SUFFICIENT = Event(313, "INFO", "zone {zone} has room for its demand")

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
    405, "INFO", "request {request} retried after {engine}: {reason}"
)
REQUEST_MOVED = Event(406, "DEBUG", "request {request} moved to {engine}")
REQUEST_CANCELLED = Event(
    407, "INFO", "request {request} cancelled: no subscriber is left"
)

REQUEST_SENT = Event(
    410,
    "INFO",
    "{request} attempt {attempt} of {route} sent to {endpoint} of software "
    "{software}, to resume {resumes} after event {after_event}: prompt parts "
    "{parts}, running {running} of {bound}, cached {cached} tokens, {fetched} "
    "fetched, {reread} recomputed, cost {cost_ms} ms, deadline in {left_ms} "
    "ms, loads {loads_age_ms} ms old, that of the endpoint {load_age_ms} ms "
    "(-1: only its own requests are known), endpoints at revision "
    "{endpoints_revision}, configuration {configuration}",
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
    "{request} attempt {attempt} at {endpoint} ended with {end} after "
    "{after_ms} ms, begun {begun}, last event {last_event}: {reason}",
)
REQUEST_ENDED = Event(
    413,
    "INFO",
    "{request} of {route} ended with {status}, {outcome}, begun {begun}, "
    "configuration {configuration}: {reason}",
)
CALLER_GONE = Event(
    414,
    "INFO",
    "{request} cancelled after {after_ms} ms, begun {begun}, as the connection "
    "of its caller ended: {reason}",
)
REQUEST_UNREADABLE = Event(
    415, "INFO", "request refused with {status}: {reason}"
)
REPEAT_REFUSED = Event(
    418,
    "INFO",
    "{request} is not sent a {attempt}. time: the budget of {service} has "
    "{remaining} repeats left, with {requests} requests and {repeats} repeats "
    "in the window, shared by {gateways} gateways; started {started_s} s ago",
)
REPEAT_ALLOWED = Event(
    419,
    "INFO",
    "{request} may be sent a {attempt}. time: the budget of {service} had "
    "{remaining} repeats left, with {requests} requests and {repeats} repeats "
    "in the window, shared by {gateways} gateways; started {started_s} s ago",
)
ATTEMPT_KEPT = Event(
    420,
    "INFO",
    "attempt {attempt} of {request} goes on at {endpoint}, which sends it "
    "nothing, after {after_ms} ms: {reason}",
)
STREAM_TAKEN_UP = Event(
    416,
    "INFO",
    "{request} takes up the stream of {resumes}, which goes on at {service} of "
    "software {software}, by {source}",
)

CONTENTION_BEGAN = Event(
    430,
    "INFO",
    "requests of service {service} wait: {slots} slots, room for {free:.0f} "
    "more, {own} in flight from here; loads of the peers known: {known}",
)
CONTENTION_ENDED = Event(
    431, "INFO", "requests of service {service} are sent without a wait again"
)
REQUEST_WAITED = Event(
    432,
    "INFO",
    "{request} waited {waited_ms} ms for room at service {service}, beyond the "
    "share of its account or prompt {excess}, returning as agreed {returning}",
)
REQUEST_REFUSED_FOR_CAPACITY = Event(
    433,
    "INFO",
    "{request} refused for lack of room at service {service} after {waited_ms} "
    "ms, {left_ms} ms before its deadline, to return in {retry_after_ms} ms: "
    "{reason}",
)
ENDPOINT_SPEED_REFUSED = Event(
    440,
    "WARNING",
    "endpoint {endpoint} reports an invalid speed: {text}",
)

HEDGE_SENT = Event(
    445,
    "INFO",
    "{request} gets a second attempt at {second} after {after_ms} ms: {first} "
    "has slowdown {first_slowdown}, the second {second_slowdown}; usual are "
    "{usual_ms} ms, late are {late_ms} ms",
)
HEDGE_ENDED = Event(
    446,
    "INFO",
    "second attempt of {request} ended after {after_ms} ms: {result}",
)

# 5xx endpoints and placement
ENGINE_OWNED = Event(501, "INFO", "this router now owns endpoint {engine}")
ENGINE_RELEASED = Event(
    502, "INFO", "another router now owns endpoint {engine}"
)
ENGINE_UNREACHABLE = Event(
    503, "WARNING", "endpoint {engine} is unreachable: {reason}"
)
ENGINE_READY = Event(504, "INFO", "endpoint {engine} is ready")
ENGINE_LEAVING = Event(505, "INFO", "endpoint {engine} is leaving")
ENGINE_EJECTED = Event(506, "WARNING", "endpoint {engine} is ejected")
ENDPOINT_SILENT = Event(
    510,
    "WARNING",
    "endpoint {endpoint} sent nothing for {silent_ms} ms, {usual_ms} ms are"
    " usual; {open} requests are open on it",
)
ENDPOINT_LIMITED = Event(
    511,
    "WARNING",
    "endpoint {endpoint} takes only {requests_per_s} requests a second",
)
ENDPOINT_UNLIMITED = Event(
    512, "INFO", "endpoint {endpoint} names no limit any more"
)
ENDPOINT_LEAVES = Event(
    513,
    "INFO",
    "endpoint {endpoint} leaves, by {source}; it gets no more requests",
)
ENDPOINT_PAUSED = Event(
    514,
    "INFO",
    "endpoint {endpoint} wants no requests for {seconds} s, by its answer to "
    "{request}",
)
ENDPOINT_HEADER_REFUSED = Event(
    515, "WARNING", "endpoint {endpoint} sent a Retry-After of {text}; ignored"
)
LOAD_UNANSWERED = Event(
    516,
    "INFO",
    "{tracker} did not tell the load of endpoint {endpoint} in time",
)
GATEWAY_ISOLATED = Event(
    517,
    "WARNING",
    "no endpoint can be reached; requests go through peers",
)
GATEWAY_RECONNECTED = Event(
    518, "INFO", "an endpoint can be reached again; requests go to endpoints"
)
ENDPOINT_UNREACHED = Event(
    519, "INFO", "a probe did not reach endpoint {endpoint}: {reason}"
)
VERSIONS_UNCERTAIN = Event(
    520,
    "WARNING",
    "software versions may have served that are not known: {reason}",
)
REQUEST_THROUGH_PEER = Event(
    417,
    "INFO",
    "{request} sent through {peer}: no endpoint can be reached; deadline in "
    "{left_ms} ms",
)
CACHE_LEARNT = Event(
    508, "INFO", "cache of {endpoint} holds {count} prompt parts"
)
CACHE_UNKNOWN = Event(
    509, "WARNING", "cannot read the cache of {endpoint}: {reason}"
)

# 7xx rollouts
ROLLOUT_DRAINS = Event(
    701, "INFO", "engine {engine} is draining for configuration {version}"
)
ROLLOUT_READMITS = Event(702, "INFO", "engine {engine} receives requests again")
ROLLOUT_HELD = Event(703, "WARNING", "rollout of {model} is on hold: {reason}")
ORDER_SENT = Event(710, "INFO", "order {fence} sent to engine {engine}")
ORDER_FAILED = Event(
    711, "WARNING", "order to engine {engine} failed: {reason}"
)
ORDER_SKIPPED = Event(
    712, "WARNING", "order to engine {engine} not sent: {reason}"
)

# 8xx quarantine
REQUEST_SUSPECTED = Event(
    801, "WARNING", "request {digest} was running on {engine} when it crashed"
)
REQUEST_CLEARED = Event(803, "INFO", "request {digest} is no longer suspected")

REQUEST_CHARGED = Event(
    804,
    "WARNING",
    "request {request}, {digest}, with prompt parts {parts} counted as a"
    " suspect in the crash of {endpoint}",
)

SUBJECT_TRIED = Event(
    805,
    "WARNING",
    "request or prompt part {subject}, charged with {crashes} crashes, is tried"
    " once more",
)
PART_CLEARED = Event(
    806,
    "INFO",
    "prompt part {part} was answered and is not charged with crash {crash}",
)

# 6xx services and permits
CALL_FAULTED = Event(
    601, "ERROR", "service call ended with an internal error: {reason}"
)
HANDOVER_DONE = Event(650, "INFO", "permits handed over to {successor}")
HANDOVER_REFUSED = Event(651, "WARNING", "hand-over refused: {reason}")
HANDOVER_FAILED = Event(652, "WARNING", "no router accepted the permits")
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
    932, "ERROR", "member {name} regressed from revision {old} to {new}"
)
ENGINES_CRASHED = Event(
    981, "ERROR", "request {digest} crashed {crashes} engines"
)

CONFIGURATION_REVERTED = Event(
    921, "ERROR", "configuration {version} accepted after {previous}"
)
ROLLOUT_TOO_WIDE = Event(
    971,
    "ERROR",
    "rollout of {model} takes {out} engines out of service, limit {limit}",
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
    """Returns all events, sorted by number."""
    catalogued = [
        value for value in globals().values() if isinstance(value, Event)
    ]
    return sorted(catalogued)
