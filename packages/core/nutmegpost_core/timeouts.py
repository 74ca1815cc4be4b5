"""Timeouts after which a gateway tries another endpoint."""

from nutmegpost_core import calls
from nutmegpost_core import catalog

__all__ = [
    "FIRST_BYTE_TARGETS",
    "SHARED_PREFILL_TOKENS_MIN",
    "first_byte_timeout_s",
    "has_long_prompt",
    "next_event_timeout_s",
    "prefill_wait_s",
    "silent_first_byte_timeout_s",
]

# An answer that has not started after this many targets probably never will.
FIRST_BYTE_TARGETS = 2.0
FIRST_BYTE_MIN_S = 0.4
# Silence after which a stream is resumed at another endpoint, in multiples of
# the target for the time between events.
SILENCE_GAPS = 2.0
SILENCE_MIN_S = 1.0

# A prefill of fewer tokens costs less to repeat than to wait for.
SHARED_PREFILL_TOKENS_MIN = 1_000
# Share of its target for which a request waits while an endpoint prefills the
# same prompt for another request.
PREFILL_WAIT_TARGET_SHARE = 0.4


def prefill_wait_s(call: calls.Call) -> float:
    """Returns the time to wait for a prefill of the same prompt, seconds."""
    return PREFILL_WAIT_TARGET_SHARE * call.route.target_s


def has_long_prompt(call: calls.Call) -> bool:
    """Returns whether a prompt is long enough to wait for its prefill.

    The last part of the prompt is not counted, as it is the request's own.
    """
    return (
        sum(part.tokens for part in call.shared_parts)
        >= SHARED_PREFILL_TOKENS_MIN
    )


def silent_first_byte_timeout_s(call: calls.Call) -> float:
    """Returns the timeout for the start of an answer of a silent endpoint.

    Args:
        call: The request.

    Returns:
        Time after which a request that may be retried is sent to another
        endpoint if this one has sent nothing to any request, seconds.
    """
    return max(FIRST_BYTE_MIN_S, FIRST_BYTE_TARGETS * call.route.target_s)


def first_byte_timeout_s(
    call: calls.Call, remaining_s: float, can_retry: bool
) -> float:
    """Returns the timeout for the start of an answer, in seconds.

    Args:
        call: The request.
        remaining_s: Time until the deadline of the request, seconds.
        can_retry: Whether another endpoint may be tried afterwards.
    """
    if not can_retry:
        return remaining_s
    timeout_s = silent_first_byte_timeout_s(call)
    return min(remaining_s, max(timeout_s, remaining_s / 3))


def next_event_timeout_s(
    call: calls.Call, remaining_s: float, can_retry: bool
) -> float:
    """Returns the timeout for the next event of a stream, in seconds.

    The arguments are those of `first_byte_timeout_s`.
    """
    route: catalog.Route = call.route
    if not can_retry:
        return remaining_s
    return min(
        remaining_s, max(SILENCE_MIN_S, SILENCE_GAPS * route.event_gap_max_s)
    )
