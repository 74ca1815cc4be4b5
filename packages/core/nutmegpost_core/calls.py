"""A request of a caller in the form that decisions need."""

from typing import NamedTuple

from nutmegpost_core import catalog

__all__ = ["Call", "Part", "PromptHints"]


class Part(NamedTuple):
    """A part of a prompt; a cache keeps parts, each behind those before it.

    Attributes:
        identity: What names the part and its content.
        tokens: Its length.
    """

    identity: str
    tokens: int


class PromptHints(NamedTuple):
    """What a caller tells of its prompt.

    Attributes:
        model: Name of the model.
        parts: Parts of the prompt in order; the last is the request's own.
        prompt_tokens: Length of the prompt.
        output_tokens_max: Most tokens of the answer; 0 when not told.
        output_tokens_hint: Estimate of the length of the answer; 0 for none.
    """

    model: str
    parts: tuple[Part, ...] = ()
    prompt_tokens: int = 0
    output_tokens_max: int = 0
    output_tokens_hint: int = 0


class Call(NamedTuple):
    """One attempt of a caller.

    Attributes:
        identity: The caller's name for this attempt, unique.
        route: Its class of work.
        service: Service that serves it.
        account: Name of the client account; empty on a public route.
        rank: Its urgency, 0 is the highest.
        deadline: Monotonic time at which the caller stops waiting, seconds.
        received: Monotonic time at which the request was complete, seconds.
        resume_after: Id of the last event that the caller has; empty for a
            request from its start.
        hints: What is known of the prompt; None for a plain service.
    """

    identity: str
    route: catalog.Route
    service: str
    account: str
    rank: int
    deadline: float
    received: float
    resume_after: str = ""
    hints: PromptHints | None = None
