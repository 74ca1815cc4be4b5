"""Messages between routers, and their CBOR form.

A message on a link is a CBOR array: the wire version, the number of the
message's kind, and its fields in order. A decoder ignores trailing fields that
it does not define and fills missing ones with their defaults, so that routers
of two successive wire versions interoperate.
"""

from typing import NamedTuple, TypeVar

import cbor2
import msgspec

from nutmegpost_core import errors

__all__ = [
    "MESSAGE_BYTES_MAX",
    "WIRE_VERSION",
    "Call",
    "CallResult",
    "ConfigurationReply",
    "ConfigurationRequest",
    "EngineStatuses",
    "Failed",
    "Frames",
    "Handover",
    "HandoverDone",
    "Hello",
    "Message",
    "PoolLoads",
    "Redirected",
    "Submit",
    "Withdraw",
    "Withdrawn",
    "decode",
    "encode",
]

WIRE_VERSION = 2
MESSAGE_BYTES_MAX = 4_000_000


class Hello(NamedTuple):
    """First message of a link in each direction.

    Attributes:
        name: Name of the sender.
        incarnation: Random number that the sender chose when it started.
        nonce: Random bytes over which the other side computes its MAC.
        proof: MAC over the other side's nonce; empty in the first message.
    """

    name: str
    incarnation: int
    nonce: bytes
    proof: bytes = b""


class Submit(NamedTuple):
    """Asks a router to place or run a chat request.

    Attributes:
        request_id: Id of the request, unique within its account.
        account: Account of the caller.
        work_class: Name of the work class.
        model: Requested model.
        chat: Id of the chat, unique within its account.
        body: The request as sent to the engine, JSON.
        engine: Engine to run it on; empty to let the receiver place it.
        last_event: Id of the last event that the caller received; empty for
            a new stream.
        age_s: Seconds since the caller's request reached the fleet.
        hops: Number of routers that handled it before the receiver.
        digest: Digest of the content, equal for every repeat of the request
            by any caller.
        fresh: Whether to start a new attempt on the engine although it may
            have run the request before.
    """

    request_id: str
    account: str
    work_class: str
    model: str
    chat: str
    body: bytes
    engine: str = ""
    last_event: str = ""
    age_s: float = 0.0
    hops: int = 0
    digest: bytes = b""
    fresh: bool = False

    @property
    def chat_name(self) -> str:
        """Id of the chat, unique in the fleet."""
        return f"{self.account}/{self.chat}"


class Redirected(NamedTuple):
    """The request was placed on an engine that another router owns.

    Attributes:
        request_id: Id of the request.
        account: Account of the caller.
        engine: Engine that was chosen.
        fresh: Whether the request starts a new attempt there.
    """

    request_id: str
    account: str
    engine: str
    fresh: bool = False


class Frames(NamedTuple):
    """Events of a running stream, in order.

    Attributes:
        request_id: Id of the request.
        account: Account of the caller.
        engine: Engine that runs it.
        attempt: Number of the attempt.
        first_sequence: Sequence number of the first event.
        events: Data of the events.
        is_last: Whether the stream ends with these events.
    """

    request_id: str
    account: str
    engine: str
    attempt: int
    first_sequence: int
    events: list[bytes]
    is_last: bool = False


class Failed(NamedTuple):
    """The request ended without an answer.

    Attributes:
        request_id: Id of the request.
        account: Account of the caller.
        status: HTTP status.
        code: Stable error code.
        outcome: Whether the request ran, one of `errors.Outcome`.
        reason: Error message for people.
        retry_after: Seconds until a retry may succeed; 0 when not known.
    """

    request_id: str
    account: str
    status: int
    code: str
    outcome: str
    reason: str
    retry_after: float = 0.0


class Withdraw(NamedTuple):
    """Asks the owner to cancel a request submitted over this link."""

    request_id: str
    account: str


class Withdrawn(NamedTuple):
    """Reply to `Withdraw`.

    Attributes:
        request_id: Id of the request.
        account: Account of the caller.
        may_have_run: False only when no byte of the request can have reached
            an endpoint.
    """

    request_id: str
    account: str
    may_have_run: bool


class Call(NamedTuple):
    """Asks the issuer of a permit to run a call that must not be repeated.

    Attributes:
        permit: The permit.
        account: Account of the caller.
        service: Name of the service.
        operation: Operation of the service.
        body: Body of the call.
        age_s: Seconds since the caller's request reached the fleet.
        hops: Number of routers that handled it before the receiver.
    """

    permit: str
    account: str
    service: str
    operation: str
    body: bytes
    age_s: float = 0.0
    hops: int = 0


class CallResult(NamedTuple):
    """The result of a call.

    Attributes:
        permit: The permit of the call.
        outcome: Whether the call ran, one of `errors.Outcome`.
        status: HTTP status.
        code: Stable error code; empty when the call was answered.
        body: The answer, or the error message.
        fresh_permit: Permit for the next attempt; empty for none.
    """

    permit: str
    outcome: str
    status: int
    code: str
    body: bytes
    fresh_permit: str = ""


class Handover(NamedTuple):
    """Hands the permit tables of stopping incarnations to the receiver.

    Attributes:
        incarnations: Incarnations whose tables follow.
        tables: One encoded table for each incarnation.
    """

    incarnations: list[int]
    tables: list[bytes]


class HandoverDone(NamedTuple):
    """Reply to `Handover`.

    Attributes:
        incarnations: Incarnations whose tables the sender holds from now on;
            empty when it refuses the hand-over permanently.
        incarnation: Incarnation of the sender; a refusal counts only when it
            equals the incarnation that the hand-over was addressed to.
    """

    incarnations: list[int]
    incarnation: int = 0


class PoolLoads(NamedTuple):
    """Loads of the engines that the sender owns.

    Attributes:
        sequence: Increases with each message of an incarnation.
        pools: Name of each pool; the lists below have one element for each.
        loads: Requests in flight on the sender's engines of the pool.
        engines: Number of live engines of the pool that the sender owns.
        least_loaded: Name of the sender's least loaded engine of the pool.
        least_load: Load of that engine.
    """

    sequence: int
    pools: list[str]
    loads: list[int]
    engines: list[int]
    least_loaded: list[str]
    least_load: list[int]


class ConfigurationRequest(NamedTuple):
    """Asks for the configuration in force at the receiver."""


class ConfigurationReply(NamedTuple):
    """The configuration in force at the sender.

    Attributes:
        version: Version of the document; 0 when none is in force.
        data: The document as published.
    """

    version: int
    data: bytes


class EngineStatuses(NamedTuple):
    """Rollout status of the engines of a model that the sender owns.

    Attributes:
        configuration: Configuration version in force at the sender.
        model: Name of the model.
        engines: Names of the engines.
        flags: For each engine 1 when it serves the target of that version,
            plus 2 when it is out of service.
    """

    configuration: int
    model: str
    engines: list[str]
    flags: list[int]


Message = (
    Hello
    | Submit
    | Redirected
    | Frames
    | Failed
    | Withdraw
    | Withdrawn
    | Call
    | CallResult
    | Handover
    | HandoverDone
    | PoolLoads
    | ConfigurationRequest
    | ConfigurationReply
    | EngineStatuses
)

# The position of a kind is its number on the wire: append only.
_KINDS: tuple[type, ...] = (
    Hello,
    Submit,
    Redirected,
    Frames,
    Failed,
    Withdraw,
    Withdrawn,
    Call,
    CallResult,
    Handover,
    HandoverDone,
    PoolLoads,
    ConfigurationRequest,
    ConfigurationReply,
    EngineStatuses,
)
_KIND_NUMBERS = {kind: number for number, kind in enumerate(_KINDS)}
_FIELD_COUNTS = [len(kind._fields) for kind in _KINDS]  # type: ignore[attr-defined]

T = TypeVar("T")


def encode(message: Message) -> bytes:
    """Returns the CBOR form of a message."""
    return cbor2.dumps([WIRE_VERSION, _KIND_NUMBERS[type(message)], *message])


def decode(data: bytes) -> Message:
    """Decodes a message.

    Raises:
        errors.PeerError: The bytes are malformed or over the size limit.
    """
    if len(data) > MESSAGE_BYTES_MAX:
        raise errors.PeerError(f"message of {len(data)} bytes is too large")
    try:
        _, number, *fields = cbor2.loads(data)
        if number < 0:
            raise ValueError("negative message kind number")
        kind = _KINDS[number]
        known_fields = fields[: _FIELD_COUNTS[number]]
        return msgspec.convert(known_fields, kind)
    except (
        cbor2.CBORDecodeError,
        msgspec.ValidationError,
        ValueError,
        TypeError,
        IndexError,
    ) as caught:
        raise errors.PeerError(f"malformed message: {caught}") from caught
