"""Requests whose answers were lost, and the crashes that may explain it."""

import asyncio
from typing import NamedTuple

from nutmegpost_core import calls
from nutmegpost_core import errors
from nutmegpost_core import roster
from nutmegpost_core import vms
from nutmegpost_router import http_client
from nutmegpost_router.gateway import crash_guard
from nutmegpost_router.gateway import links
from nutmegpost_router.gateway import loads
from nutmegpost_router.gateway import pending_request
from nutmegpost_router.gateway import state

__all__ = ["Losses"]

# A lost response and a refused connection within this time count as one crash;
# a crashed endpoint is back after a few seconds.
_CRASH_WINDOW_S = 3.0
# Longest time that a request waits for the probe of its endpoint.
_PROBE_WAIT_S = 0.05
# Bad Gateway: the endpoint failed before the deadline.
_STATUS_BAD_GATEWAY = 502


class _LostAttempt(NamedTuple):
    """A request that was lost before its answer began.

    Attributes:
        at: Monotonic time, seconds.
        fingerprint: Identifies the request and its parts.
        call: The request.
    """

    at: float
    fingerprint: pending_request.Fingerprint
    call: calls.Call


class Losses:
    """Lost requests, and the endpoints that went down with them."""

    def __init__(
        self,
        local_state: state.State,
        client: http_client.Client,
        load_exchange: loads.LoadExchange,
        crashes: crash_guard.CrashGuard,
        endpoint_links: links.EndpointLinks,
    ):
        """Creates an object that knows of no loss.

        Args:
            local_state: State of the gateway.
            client: Connections to endpoints.
            load_exchange: Sends down endpoints to the peers.
            crashes: Is told which requests crashed endpoints.
            endpoint_links: Knows whether any endpoint can be reached.
        """
        self._state = local_state
        self._client = client
        self._load_exchange = load_exchange
        self._crashes = crashes
        self._links = endpoint_links
        self._probes: set[asyncio.Task[None]] = set()
        self._attempts: dict[str, list[_LostAttempt]] = {}

    def record(
        self, name: str, pending: pending_request.PendingRequest, now: float
    ) -> None:
        """Records a lost request until a crash can no longer explain it."""
        oldest = now - _CRASH_WINDOW_S
        self._attempts = {
            endpoint: recent
            for endpoint, attempts in self._attempts.items()
            if (
                recent := [
                    attempt for attempt in attempts if attempt.at >= oldest
                ]
            )
        }
        # Keeps no reference to the body of the request.
        self._attempts.setdefault(name, []).append(
            _LostAttempt(now, pending.fingerprint, pending.call)
        )

    async def check_for_crash(
        self, pending: pending_request.PendingRequest, endpoint: roster.Endpoint
    ) -> None:
        """Checks whether an endpoint went down while it ran a request.

        Raises:
            errors.AttemptLostError: The request crashed endpoints and is not
                sent again.
        """
        probe = asyncio.create_task(self._probe_endpoint(endpoint))
        self._probes.add(probe)
        probe.add_done_callback(self._probes.discard)
        await asyncio.wait([probe], timeout=_PROBE_WAIT_S)
        if self._crashes.is_refused(pending.fingerprint, _now()):
            raise errors.AttemptLostError(
                "this request crashes endpoints", status=_STATUS_BAD_GATEWAY
            )

    async def _probe_endpoint(self, endpoint: roster.Endpoint) -> None:
        try:
            await self._client.probe(vms.parse_address(endpoint.address))
        except http_client.ConnectError as caught:
            await self.handle_unreachable(endpoint, caught.refused)

    async def handle_unreachable(
        self, endpoint: roster.Endpoint, is_refused: bool
    ) -> None:
        """Marks an endpoint as down unless none can be reached from here.

        Args:
            endpoint: An endpoint to which no connection could be made.
            is_refused: Whether it refused the connection.
        """
        is_isolated = await self._links.check(endpoint)
        if is_refused and not is_isolated:
            self._handle_endpoint_down(endpoint)

    def _handle_endpoint_down(self, endpoint: roster.Endpoint) -> None:
        """Marks an endpoint as down and charges the requests it just lost."""
        now = _now()
        name = endpoint.name
        self._state.mark_endpoint_down(name)
        self._load_exchange.queue_endpoint_down(name)
        for at, fingerprint, call in self._attempts.pop(name, []):
            if now - at > _CRASH_WINDOW_S:
                continue
            self._crashes.charge(fingerprint, call, endpoint, now)


def _now() -> float:
    return asyncio.get_running_loop().time()
