"""How long a gateway waits for an endpoint before it tries another."""

from nutmegpost_core import calls
from nutmegpost_core import catalog

__all__ = [
    "FIRST_BYTE_TARGETS",
    "READING_TOKENS_MIN",
    "first_byte_s",
    "is_long",
    "next_event_s",
    "reading_s",
]

# An answer that took this many targets to begin will probably not come.
FIRST_BYTE_TARGETS = 2.0
FIRST_BYTE_MIN_S = 0.4
# Silence within a stream after which it is resumed elsewhere, in pauses that
# are on time.
SILENT_PAUSES = 2.0
SILENCE_MIN_S = 1.0

# Reading fewer tokens twice costs less than to wait for them.
READING_TOKENS_MIN = 1_000
# Part of its target for which a request waits while another reads its prompt.
READING_TARGET_SHARE = 0.4


def reading_s(call: calls.Call) -> float:
    """Returns how long to wait while an endpoint reads the same prompt."""
    return READING_TARGET_SHARE * call.route.target_s


def is_long(call: calls.Call) -> bool:
    """Returns whether it pays to wait for what is known of a prompt."""
    parts = call.hints.parts[:-1] if call.hints else ()
    return sum(part.tokens for part in parts) >= READING_TOKENS_MIN


def first_byte_s(call: calls.Call, left_s: float, can_retry: bool) -> float:
    """Returns how long to wait for the start of an answer.

    Args:
        call: The request.
        left_s: Time until the answer is of no use.
        can_retry: Whether another endpoint may be tried afterwards.
    """
    if not can_retry:
        return left_s
    wait = max(FIRST_BYTE_MIN_S, FIRST_BYTE_TARGETS * call.route.target_s)
    return min(left_s, max(wait, left_s / 3))


def next_event_s(call: calls.Call, left_s: float, can_retry: bool) -> float:
    """Returns how long to wait for the next event of a stream."""
    route: catalog.Route = call.route
    if not can_retry:
        return left_s
    return min(
        left_s, max(SILENCE_MIN_S, SILENT_PAUSES * route.event_gap_max_s)
    )
