"""What replaces an attempt whose endpoint sends nothing.

An attempt is given up only for another one that is certain: its endpoint keeps
room for it, and the budget has paid for it.
"""

import asyncio
from collections.abc import Callable

from nutmegpost_core import catalog
from nutmegpost_core import dispatch
from nutmegpost_core import events
from nutmegpost_router import log
from nutmegpost_router.gateway import crash_guard
from nutmegpost_router.gateway import links
from nutmegpost_router.gateway import pending_request
from nutmegpost_router.gateway import repeats
from nutmegpost_router.gateway import state

__all__ = ["ATTEMPT_TIME_MIN_S", "Replacements", "attempts_max", "is_full"]

# Remaining time below which no attempt is made, as it could not finish.
ATTEMPT_TIME_MIN_S = 0.03
# Attempts of one request that endpoints may reject, in addition to those that
# run.
_REJECTIONS_MAX = 3
# Requests per slot at which an endpoint is full; those above one per slot wait
# in its queue.
_LOAD_PER_SLOT_MAX = 2.0


def attempts_max(route: catalog.Route) -> int:
    """Returns the number of attempts of a request, rejected ones included."""
    return route.endpoints_max + _REJECTIONS_MAX


def is_full(choice: dispatch.Choice) -> bool:
    """Returns whether the chosen endpoint has no room for another request."""
    slots = choice.endpoint.slots
    return slots > 0 and choice.load.running >= slots * _LOAD_PER_SLOT_MAX


class Replacements:
    """Reserves what replaces an attempt before the attempt is given up."""

    def __init__(
        self,
        local_state: state.State,
        budgeted_repeats: repeats.Repeats,
        crashes: crash_guard.CrashGuard,
        endpoint_links: links.EndpointLinks,
        has_peer: Callable[[], bool],
    ):
        """Creates an object that has reserved nothing.

        Args:
            local_state: State of the gateway.
            budgeted_repeats: Pays for attempts.
            crashes: Refuses requests that crash endpoints.
            endpoint_links: Knows whether any endpoint can be reached.
            has_peer: Returns whether a peer may reach endpoints.
        """
        self._state = local_state
        self._repeats = budgeted_repeats
        self._crashes = crashes
        self._links = endpoint_links
        self._has_peer = has_peer

    def are_possible(self, pending: pending_request.PendingRequest) -> bool:
        """Returns whether the route allows a run after the current attempt.

        While two attempts run, none is replaced.
        """
        route = pending.call.route
        return (
            route.repeatable
            and not pending.is_hedged
            and pending.runs + 1 < route.endpoints_max
            and pending.attempts < attempts_max(route)
        )

    def try_reserve(
        self, pending: pending_request.PendingRequest, endpoint: str
    ) -> bool:
        """Reserves what replaces the current attempt, if that is possible now.

        The first failure while the endpoint sends nothing is logged.

        Args:
            pending: The request; gets the replacement.
            endpoint: Name of the endpoint of the current attempt.

        Returns:
            Whether the current attempt is to be given up.
        """
        call = pending.call
        now = _now()
        if (
            not self.are_possible(pending)
            or call.deadline - now < ATTEMPT_TIME_MIN_S
        ):
            return False
        obstacle = self._reserve(pending, endpoint, now)
        if obstacle and not pending.is_kept:
            pending.is_kept = True
            self.log_kept(pending, endpoint, obstacle)
        return not obstacle

    def log_kept(
        self,
        pending: pending_request.PendingRequest,
        endpoint: str,
        reason: str,
    ) -> None:
        """Logs that an attempt goes on that should be replaced.

        Args:
            pending: The request.
            endpoint: Name of the endpoint of the attempt.
            reason: Why nothing replaces it.
        """
        call = pending.call
        log.emit(
            events.ATTEMPT_KEPT,
            request=call.identity,
            attempt=pending.attempts,
            endpoint=endpoint,
            after_ms=round((_now() - call.received) * 1000),
            reason=reason,
        )

    def _reserve(
        self,
        pending: pending_request.PendingRequest,
        endpoint: str,
        now: float,
    ) -> str:
        """Reserves a replacement.

        Returns:
            Why there is none; empty if it is reserved.
        """
        call = pending.call
        if self._crashes.is_refused(pending.fingerprint, now):
            return "this request crashes endpoints"
        if not self._repeats.is_allowed(call.service):
            return "no retry is left in the budget"
        choice: dispatch.Choice | None = None
        if not self._links.is_isolated:
            choice = self._state.choose(
                call,
                {
                    endpoint,
                    *pending.tried_endpoints,
                    *self._state.outliers.ejected(now),
                    *self._state.liveness.avoided(False, now),
                },
                pending.software,
            )
            if choice is None:
                return "no other sound endpoint may take it"
            if is_full(choice):
                return "all other endpoints are full"
        elif (
            pending.exchange.started
            or pending.is_relayed
            or not self._has_peer()
        ):
            return "no endpoint can be reached"
        if not self._repeats.try_spend(call, pending.attempts + 1):
            return "no retry is left in the budget"
        pending.is_repeat_paid = True
        if choice is not None:
            pending.replacement = pending_request.InFlightLoad(
                self._state, call, choice
            )
        return ""

    def take(
        self, pending: pending_request.PendingRequest
    ) -> pending_request.InFlightLoad | None:
        """Returns the replacement of the last attempt, which is then in use.

        Returns:
            The load of the next attempt; None if nothing is reserved, or if
            its endpoint takes no requests any more or cannot be reached.
        """
        replacement = pending.replacement
        if replacement is None:
            return None
        if self._links.is_isolated or not self._state.is_open(
            replacement.choice.endpoint
        ):
            pending.release_replacement()
            return None
        pending.replacement = None
        pending.is_repeat_paid = False
        return replacement


def _now() -> float:
    return asyncio.get_running_loop().time()
