"""Repeats of requests, as far as the retry budget of the fleet allows them."""

import asyncio

from nutmegpost_core import calls
from nutmegpost_core import events
from nutmegpost_router import log
from nutmegpost_router.gateway import metrics
from nutmegpost_router.gateway import state

__all__ = ["Repeats"]


class Repeats:
    """Spends the part of the retry budget that this gateway has."""

    def __init__(
        self, local_state: state.State, counters: metrics.GatewayMetrics
    ):
        """Creates the repeats of a gateway.

        Args:
            local_state: State of the gateway.
            counters: Metrics.
        """
        self._state = local_state
        self._counters = counters

    def record_request(self, call: calls.Call) -> None:
        """Records a request of a caller."""
        self._state.budget.record_request(call.service, call.received)

    def is_allowed(self, service: str) -> bool:
        """Returns whether a request for a service may be sent again now."""
        remaining = self._state.budget.remaining(
            service, self._state.retry_sharers, _now()
        )
        return remaining >= 1

    def try_spend(self, call: calls.Call, attempt: int) -> bool:
        """Spends one repeat if the budget allows it.

        Args:
            call: The request.
            attempt: Number of the attempt that it is for.

        Returns:
            Whether the request may be sent again.
        """
        now = _now()
        routers = self._state.retry_sharers
        usage = self._state.budget.usage(call.service, routers, now)
        is_allowed = usage.remaining >= 1
        if is_allowed:
            self._state.budget.record_retry(call.service, now)
        self._counters.repeat_decided(call.service, is_allowed)
        log.emit(
            events.REPEAT_ALLOWED if is_allowed else events.REPEAT_REFUSED,
            request=call.identity,
            attempt=attempt,
            service=call.service,
            remaining=round(usage.remaining, 2),
            requests=usage.requests,
            repeats=usage.retries,
            gateways=routers,
            started_s=round(now - self._state.started, 1),
        )
        return is_allowed


def _now() -> float:
    return asyncio.get_running_loop().time()
