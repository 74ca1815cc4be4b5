"""A request that is being forwarded, and the load of its current attempt."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from nutmegpost_core import calls
from nutmegpost_core import crashes
from nutmegpost_core import crashing_parts
from nutmegpost_core import dispatch
from nutmegpost_core import errors
from nutmegpost_core import vms
from nutmegpost_router import http_server
from nutmegpost_router.gateway import state

__all__ = ["Fingerprint", "InFlightLoad", "PendingRequest", "fingerprint"]

_CALLER_IS_LATE = "the caller reads too slowly"


class Fingerprint(NamedTuple):
    """What a request may have in common with others that crash endpoints.

    Attributes:
        request: Digest that identifies the request across its caller's
            retries.
        parts: Digests of the shared parts of its prompt.
    """

    request: str
    parts: tuple[str, ...]


def fingerprint(call: calls.Call, target: str, body: bytes) -> Fingerprint:
    """Returns the fingerprint of a request."""
    return Fingerprint(
        crashes.digest(call.account, target, body),
        tuple(
            crashing_parts.part_digest(part.identity)
            for part in call.shared_parts
        ),
    )


class PendingRequest:
    """One request and the state of its attempts.

    Attributes:
        exchange: The caller's request and its response.
        call: The request in the form used by routing decisions.
        fingerprint: Identifies the request and its parts in crashes.
        attempts: Number of attempts so far.
        has_arrived: Whether it may have arrived at an endpoint, which may have
            rejected it. Each further arrival is a repeat.
        runs: Number of ended attempts in which an endpoint may have run the
            request.
        is_in_flight: Whether an attempt has not ended.
        is_relayed: Whether a peer relays it to this gateway.
        is_kept: Whether it is known, while the endpoint of the current attempt
            sends nothing, that nothing can replace the attempt.
        is_repeat_paid: Whether the budget has paid for the next attempt.
        replacement: Load of the next attempt, at an endpoint that keeps room
            for it; None if there is none.
        tried_endpoints: Names of the endpoints that it was sent to.
        tried_addresses: Their addresses; endpoints can have the same one in
            turn.
        last_event_id: Id of the last event that the caller has; empty for none.
        software: Software version that began the stream, which alone can
            continue it; None while any version can run the request.
        failure_response: Last failure response of an endpoint, or None.
        reason: Why the last attempt failed; empty before the first failure.
        is_hedged: Whether two attempts run and none has decided.
        on_first_event: Called with the load of an attempt before its first
            event is relayed; None if nothing depends on it.
        is_held_up: Whether a stream has waited for its caller to read.
    """

    def __init__(
        self,
        exchange: http_server.Exchange,
        call: calls.Call,
        crash_fingerprint: Fingerprint,
    ):
        """Creates a request that has not been sent.

        Args:
            exchange: The caller's request and its response.
            call: The request in the form used by routing decisions.
            crash_fingerprint: Identifies the request and its parts in
                crashes.
        """
        self.exchange = exchange
        self.call = call
        self.fingerprint = crash_fingerprint
        self.attempts = 0
        self.has_arrived = False
        self.runs = 0
        self.is_in_flight = False
        self.is_relayed = False
        self.is_kept = False
        self.is_repeat_paid = False
        self.replacement: InFlightLoad | None = None
        self.tried_endpoints: set[str] = set()
        self.tried_addresses: set[vms.Address] = set()
        self.last_event_id = call.resume_after
        self.software: str | None = None
        self.failure_response: http_server.Response | None = None
        self.reason = ""
        self.is_hedged = False
        self.on_first_event: Callable[[InFlightLoad], None] | None = None
        self.is_held_up = False

    @property
    def has_relayed_event(self) -> bool:
        """Whether an endpoint ran the request far enough to send an event.

        A request that crashes its endpoint does so at the start of its run.
        """
        return self.last_event_id != self.call.resume_after

    @property
    def may_run_again(self) -> bool:
        """Whether the route allows another run of the request."""
        if not self.runs:
            return True
        route = self.call.route
        return route.repeatable and self.runs < route.endpoints_max

    async def drain(self) -> None:
        """Waits until the caller has read enough of a stream.

        Raises:
            errors.AttemptLostError: It has not at the deadline.
        """
        if self.exchange.writable:
            return
        self.is_held_up = True
        try:
            async with asyncio.timeout_at(self.call.deadline):
                await self.exchange.drain()
        except TimeoutError as caught:
            raise errors.AttemptLostError(_CALLER_IS_LATE) from caught

    def end_if_caller_is_late(self) -> None:
        """Ends a stream that its caller has held up until its deadline.

        Raises:
            errors.AttemptLostError: The caller has; no endpoint is to blame.
        """
        if self.is_held_up and _now() >= self.call.deadline:
            raise errors.AttemptLostError(_CALLER_IS_LATE)

    def release_replacement(self) -> None:
        """Gives up the room that is kept for the next attempt, if any."""
        if self.replacement is not None:
            self.replacement.release()
            self.replacement = None


class InFlightLoad:
    """The load that one attempt adds to an endpoint until it is released."""

    def __init__(
        self,
        local_state: state.State,
        call: calls.Call,
        choice: dispatch.Choice,
    ):
        """Adds the load, and records the dispatch.

        Args:
            local_state: State of the gateway.
            call: The request.
            choice: The chosen endpoint.
        """
        endpoint = choice.endpoint.name
        self._state = local_state
        self._choice = choice
        self._endpoint = endpoint
        # Prompt tokens that the endpoint must prefill.
        self._uncached_tokens = 0
        if call.hints is not None:
            self._uncached_tokens = max(
                0, call.hints.prompt_tokens - choice.reusable_tokens
            )
        self._started = _now()
        local_state.record_dispatch(call, choice)
        local_state.loads.add(endpoint, 1, self._uncached_tokens)
        local_state.liveness.record_trial(endpoint, self._started)
        local_state.liveness.begin(
            endpoint, choice.endpoint.service, self._started
        )

    @property
    def choice(self) -> dispatch.Choice:
        """The chosen endpoint."""
        return self._choice

    @property
    def endpoint(self) -> str:
        """Name of the endpoint."""
        return self._endpoint

    @property
    def started(self) -> float:
        """Monotonic time at which the attempt began, seconds."""
        return self._started

    def finish_prefill(self) -> None:
        """Removes the prompt from the pending prefill of the endpoint."""
        self._state.loads.add(self._endpoint, 0, -self._uncached_tokens)
        self._uncached_tokens = 0

    def record_sign(self) -> None:
        """Records that the endpoint sent something."""
        self._state.liveness.record_sign(self._endpoint, _now())

    def release(self) -> None:
        """Removes the attempt from the load of the endpoint."""
        self._state.liveness.end(self._endpoint)
        self._state.loads.add(self._endpoint, -1, -self._uncached_tokens)


def _now() -> float:
    return asyncio.get_running_loop().time()
