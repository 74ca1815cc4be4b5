"""A request of a caller, in the form used by routing decisions."""

from typing import NamedTuple

from nutmegpost_core import catalog

__all__ = ["Call", "PromptHints", "PromptPart"]


class PromptPart(NamedTuple):
    """A part of a prompt, the unit of prefix caching.

    A cached part is valid only after the same preceding parts.

    Attributes:
        identity: Identifier of the part and its content.
        tokens: Length in tokens.
    """

    identity: str
    tokens: int


class PromptHints(NamedTuple):
    """Description of a prompt by its caller.

    Attributes:
        model: Name of the model.
        parts: Parts of the prompt in order; the last one is specific to this
            request and not shared.
        prompt_tokens: Length of the prompt, tokens.
        output_tokens_max: Maximum length of the answer, tokens; 0 if not given.
        output_tokens_hint: Expected length of the answer, tokens; 0 if not
            given.
    """

    model: str
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens_max: int = 0
    output_tokens_hint: int = 0


class Call(NamedTuple):
    """One attempt of a caller.

    Attributes:
        identity: Unique id of this attempt, set by the caller.
        route: Route of the request.
        service: Service that the request is routed to.
        account: Name of the client account; empty on a public route.
        rank: Priority; 0 is the highest.
        deadline: Monotonic time at which the caller stops waiting, seconds.
        received: Monotonic time at which the request was complete, seconds.
        resume_after: Id of the last event that the caller received; empty to
            start from the beginning.
        hints: Description of the prompt; None for a plain service.
        resumed_attempt: Identity of the attempt that brought the caller the
            first event of the stream; empty if the caller named none.
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
    resumed_attempt: str = ""

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts of the prompt that other requests may have in common."""
        return self.hints.parts[:-1] if self.hints else ()

    @property
    def part_names(self) -> str:
        """Identities of the shared parts, for the log."""
        return " ".join(part.identity for part in self.shared_parts)
