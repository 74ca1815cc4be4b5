"""Messages between routers, and their CBOR form.

A message on a link is a CBOR array: the wire version, the kind of the
message, and its fields in order. A reader ignores fields past those it knows
and fills fields that are missing with their defaults, so routers of two
successive wire versions work together.
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
    "Failed",
    "Frames",
    "Handover",
    "HandoverDone",
    "Hello",
    "Message",
    "Redirected",
    "Standings",
    "Submit",
    "Sums",
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
        incarnation: Random number that the sender drew at its start.
        nonce: Random bytes that the other side must authenticate.
        proof: MAC over the other side's nonce; empty in the first message.
    """

    name: str
    incarnation: int
    nonce: bytes
    proof: bytes = b""


class Submit(NamedTuple):
    """Asks a router to place or run a chat request.

    Attributes:
        request_id: Name of the request, unique within its account.
        account: Account of the caller.
        work_class: Class of the work.
        model: Model asked for.
        chat: Name of the chat, unique within its account.
        body: The request as sent to the engine, JSON.
        engine: Engine to run it on; empty to have it placed.
        last_event: Id of the last event the caller has; empty for a start.
        age: Seconds since the caller's request reached the fleet.
        hops: Routers that handled it before this one.
        digest: Names the request by its content, whoever sends it again.
        fresh: Whether to begin anew on the engine, though it may have run
            the request before.
    """

    request_id: str
    account: str
    work_class: str
    model: str
    chat: str
    body: bytes
    engine: str = ""
    last_event: str = ""
    age: float = 0.0
    hops: int = 0
    digest: bytes = b""
    fresh: bool = False

    @property
    def chat_name(self) -> str:
        """Name of the chat, unique in the fleet."""
        return f"{self.account}/{self.chat}"


class Redirected(NamedTuple):
    """The request was placed on an engine that another router owns.

    Attributes:
        request_id: Name of the request.
        account: Account of the caller.
        engine: Engine that was chosen.
        fresh: Whether the request begins anew there.
    """

    request_id: str
    account: str
    engine: str
    fresh: bool = False


class Frames(NamedTuple):
    """Events of a running stream, in order.

    Attributes:
        request_id: Name of the request.
        account: Account of the caller.
        engine: Engine that runs it.
        attempt: Number of the attempt.
        first: Sequence number of the first event.
        events: Data of the events.
        last: Whether the stream ends with these events.
    """

    request_id: str
    account: str
    engine: str
    attempt: int
    first: int
    events: list[bytes]
    last: bool = False


class Failed(NamedTuple):
    """The request ended without its answer.

    Attributes:
        request_id: Name of the request.
        account: Account of the caller.
        status: HTTP status.
        code: Stable code of the error.
        outcome: Whether it ran.
        reason: Text for people.
        retry_after: Seconds; 0 for none.
    """

    request_id: str
    account: str
    status: int
    code: str
    outcome: str
    reason: str
    retry_after: float = 0.0


class Withdraw(NamedTuple):
    """Asks the owner to give up a request of this link."""

    request_id: str
    account: str


class Withdrawn(NamedTuple):
    """Answers a withdrawal.

    Attributes:
        request_id: Name of the request.
        account: Account of the caller.
        ran: False only when no byte of it can have reached an endpoint.
    """

    request_id: str
    account: str
    ran: bool


class Call(NamedTuple):
    """Asks the issuer of a permit to run a call that may not be repeated.

    Attributes:
        permit: The permit.
        account: Account of the caller.
        service: Service.
        operation: Operation of the service.
        body: Body of the call.
        age: Seconds since the caller's request reached the fleet.
        hops: Routers that handled it before this one.
    """

    permit: str
    account: str
    service: str
    operation: str
    body: bytes
    age: float = 0.0
    hops: int = 0


class CallResult(NamedTuple):
    """The result of a call.

    Attributes:
        permit: The permit of the call.
        outcome: Whether it ran.
        status: HTTP status.
        code: Code of the error; empty when answered.
        body: The answer, or the text of the error.
        fresh_permit: A permit for the next try; empty for none.
    """

    permit: str
    outcome: str
    status: int
    code: str
    body: bytes
    fresh_permit: str = ""


class Handover(NamedTuple):
    """Gives the permit tables of stopping incarnations to the receiver.

    Attributes:
        incarnations: Incarnations whose tables follow.
        tables: One encoded table for each.
    """

    incarnations: list[int]
    tables: list[bytes]


class HandoverDone(NamedTuple):
    """Answers a hand-over.

    Attributes:
        incarnations: Incarnations that the sender holds from now on; none
            when it refuses the hand-over for good.
        incarnation: Incarnation of the sender; a refusal counts only when it
            is the one that the hand-over is for.
    """

    incarnations: list[int]
    incarnation: int = 0


class Sums(NamedTuple):
    """Loads of the engines that the sender owns.

    Attributes:
        sequence: Grows with each message of an incarnation.
        pools: Name of each pool.
        loads: Requests in flight on the sender's engines of that pool.
        engines: Live engines of that pool that the sender owns.
        least: Name of its least loaded engine of the pool.
        least_load: Load of that engine.
    """

    sequence: int
    pools: list[str]
    loads: list[int]
    engines: list[int]
    least: list[str]
    least_load: list[int]


class ConfigurationRequest(NamedTuple):
    """Asks for the configuration in force at the receiver."""


class ConfigurationReply(NamedTuple):
    """The configuration in force at the sender.

    Attributes:
        version: Its version; 0 for none.
        data: The document as published.
    """

    version: int
    data: bytes


class Standings(NamedTuple):
    """How the engines of a model stand that the sender owns.

    Attributes:
        configuration: Version in force at the sender.
        model: The model.
        engines: The engines.
        flags: For each engine 1 when it serves what that version asks for,
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
    | Sums
    | ConfigurationRequest
    | ConfigurationReply
    | Standings
)

# The position is the number on the wire: append only.
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
    Sums,
    ConfigurationRequest,
    ConfigurationReply,
    Standings,
)
_NUMBERS = {kind: number for number, kind in enumerate(_KINDS)}
_FIELD_COUNTS = [len(kind._fields) for kind in _KINDS]  # type: ignore[attr-defined]

T = TypeVar("T")


def encode(message: Message) -> bytes:
    """Encodes a message."""
    return cbor2.dumps([WIRE_VERSION, _NUMBERS[type(message)], *message])


def decode(data: bytes) -> Message:
    """Decodes a message.

    Raises:
        errors.PeerError: The bytes are not a message.
    """
    if len(data) > MESSAGE_BYTES_MAX:
        raise errors.PeerError(f"message of {len(data)} bytes")
    try:
        _, number, *fields = cbor2.loads(data)
        if number < 0:
            raise ValueError("negative number of a kind")
        kind = _KINDS[number]
        known = fields[: _FIELD_COUNTS[number]]
        return msgspec.convert(known, kind)
    except (
        cbor2.CBORDecodeError,
        msgspec.ValidationError,
        ValueError,
        TypeError,
        IndexError,
    ) as caught:
        raise errors.PeerError(f"not a message: {caught}") from caught
