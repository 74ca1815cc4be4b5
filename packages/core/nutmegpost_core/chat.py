"""Chat requests as callers send them, and answers put together."""

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
    "cost",
    "parse",
    "read",
    "read_name",
]

MESSAGE_COUNT_MAX = 4_096
TOKENS_DEFAULT = 256
BYTES_PER_TOKEN = 4
_NAME = re.compile(r"[A-Za-z0-9._-]{1,128}")


class Message(TypedDict):
    """One message of a chat."""

    role: Annotated[str, msgspec.Meta(max_length=32)]
    content: str


class ChatRequest(TypedDict):
    """The parts of a request that the router looks at.

    Attributes:
        model: Name of the model.
        messages: The chat so far.
        max_tokens: Most tokens of the answer.
        stream: Whether the answer is streamed.
        seed: Seed of the sampling.
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
    """A request that was checked.

    Attributes:
        request: The parts the router looks at.
        body: The body for the engine: streamed and with a seed.
        content: The body as received, in a form that does not depend on
            white space or the order of the keys.
    """

    request: ChatRequest
    body: bytes
    content: bytes


class _BodyError(errors.DocumentError):
    pass


def read(body: bytes) -> ChatRequest:
    """Checks a request.

    Args:
        body: The body as received.

    Raises:
        errors.InvalidRequestError: The body has not the form it must have.
    """
    try:
        return documents.decode(body, ChatRequest, "body", _BodyError)
    except _BodyError as caught:
        raise errors.InvalidRequestError(str(caught)) from caught


def parse(body: bytes, request_id: str) -> ParsedRequest:
    """Checks a request and makes the body for the engine.

    The seed is fixed here, so that a second attempt gives the same tokens as
    the first and a stream can go on where it broke off.

    Args:
        body: The body as received.
        request_id: Name of the request; the seed is drawn from it.

    Raises:
        errors.InvalidRequestError: The body has not the form it must have.
    """
    request = read(body)
    whole: dict[str, Any] = msgspec.json.decode(body)
    content = msgspec.json.encode(whole, order="sorted")
    whole["stream"] = True
    if "seed" not in whole:
        whole["seed"] = xxhash.xxh32_intdigest(request_id.encode())
    return ParsedRequest(request, msgspec.json.encode(whole), content)


def cost(request: ChatRequest, body_bytes: int) -> int:
    """Estimates the tokens that a request takes, prompt and answer."""
    answer = request.get("max_tokens", TOKENS_DEFAULT)
    return max(1, body_bytes // BYTES_PER_TOKEN) + answer


def read_name(value: str, header: str, length_max: int) -> str:
    """Checks a name that a caller gives in a header.

    Raises:
        errors.InvalidRequestError: It has other characters or is too long.
    """
    if len(value) > length_max or not _NAME.fullmatch(value):
        raise errors.InvalidRequestError(
            f"{header}: expected 1 to {length_max} of A-Za-z0-9._-"
        )
    return value


def assemble(events: list[bytes]) -> bytes:
    """Puts the chunks of a streamed answer together into one answer.

    Raises:
        errors.AttemptLostError: A chunk is not a chunk.
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
