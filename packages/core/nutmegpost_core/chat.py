"""Validation of chat requests, and assembly of streamed answers."""

import json
import re
from typing import Annotated, Any, NamedTuple, NotRequired, TypedDict

import msgspec
import xxhash

from nutmegpost_core import documents
from nutmegpost_core import errors

__all__ = [
    "BYTES_PER_TOKEN",
    "ChatRequest",
    "Message",
    "ParsedRequest",
    "assemble",
    "estimate_tokens",
    "parse",
    "validate",
    "validate_name",
]

MESSAGE_COUNT_MAX = 4_096
MAX_TOKENS_DEFAULT = 256
BYTES_PER_TOKEN = 4
_NAME = re.compile(r"[A-Za-z0-9._-]{1,128}")


class Message(TypedDict):
    """One message of a chat."""

    role: Annotated[str, msgspec.Meta(max_length=32)]
    content: str


class ChatRequest(TypedDict):
    """The fields of a request that the router uses.

    Attributes:
        model: Name of the model.
        messages: The chat so far.
        max_tokens: Maximum number of tokens in the answer.
        stream: Whether the answer is streamed.
        seed: Sampling seed.
    """

    model: Annotated[str, msgspec.Meta(max_length=64)]
    messages: Annotated[
        list[Message],
        msgspec.Meta(min_length=1, max_length=MESSAGE_COUNT_MAX),
    ]
    max_tokens: NotRequired[Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]]
    stream: NotRequired[bool]
    seed: NotRequired[int]


class ParsedRequest(NamedTuple):
    """A validated request.

    Attributes:
        request: The fields that the router uses.
        body: The body for the engine: always streamed and with a seed.
        content: The received body in canonical form, independent of whitespace
            and key order.
    """

    request: ChatRequest
    body: bytes
    content: bytes


class _BodyError(errors.DocumentError):
    pass


def validate(body: bytes) -> ChatRequest:
    """Validates a request and returns the fields that the router uses.

    Args:
        body: The body as received.

    Raises:
        errors.InvalidRequestError: The body is malformed.
    """
    try:
        return documents.decode(body, ChatRequest, "body", _BodyError)
    except _BodyError as caught:
        raise errors.InvalidRequestError(str(caught)) from caught


def parse(body: bytes, request_id: str) -> ParsedRequest:
    """Validates a request and builds the body for the engine.

    A missing seed is derived from the request id, so that a retry generates the
    same tokens as the first attempt and an interrupted stream can be resumed.

    Args:
        body: The body as received.
        request_id: Id of the request.

    Raises:
        errors.InvalidRequestError: The body is malformed.
    """
    request = validate(body)
    document: dict[str, Any] = msgspec.json.decode(body)
    content = msgspec.json.encode(document, order="sorted")
    document["stream"] = True
    if "seed" not in document:
        document["seed"] = xxhash.xxh32_intdigest(request_id.encode())
    return ParsedRequest(request, msgspec.json.encode(document), content)


def estimate_tokens(request: ChatRequest, body_bytes: int) -> int:
    """Returns the estimated tokens of prompt and answer together.

    Args:
        request: The request.
        body_bytes: Length of its body, bytes.
    """
    answer = request.get("max_tokens", MAX_TOKENS_DEFAULT)
    return max(1, body_bytes // BYTES_PER_TOKEN) + answer


def validate_name(value: str, header: str, length_max: int) -> str:
    """Validates a name from a header of a request and returns it.

    Args:
        value: The name.
        header: Name of the header, for the error message.
        length_max: Maximum length, characters.

    Raises:
        errors.InvalidRequestError: The name is empty, too long or has a
            character that is not allowed.
    """
    if len(value) > length_max or not _NAME.fullmatch(value):
        raise errors.InvalidRequestError(
            f"{header}: expected 1 to {length_max} of A-Za-z0-9._-"
        )
    return value


def assemble(events: list[bytes]) -> bytes:
    """Assembles the chunks of a streamed answer into one JSON answer.

    Args:
        events: The chunks, in order.

    Raises:
        errors.AttemptLostError: A chunk is malformed.
    """
    content: list[str] = []
    last: dict[str, Any] = {}
    reason = None
    try:
        for event in events:
            last = msgspec.json.decode(event)
            for choice in last.get("choices", ()):
                content.append(choice.get("delta", {}).get("content") or "")
                reason = choice.get("finish_reason") or reason
    except (msgspec.DecodeError, AttributeError, TypeError) as caught:
        raise errors.AttemptLostError(f"bad chunk: {caught}") from caught
    message = {"role": "assistant", "content": "".join(content)}
    answer = {
        "id": last.get("id", ""),
        "object": "chat.completion",
        "created": last.get("created", 0),
        "model": last.get("model", ""),
        "choices": [{"index": 0, "message": message, "finish_reason": reason}],
        "usage": last.get("usage", {}),
    }
    return json.dumps(answer).encode()
