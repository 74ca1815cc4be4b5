"""Whether this gateway reaches any endpoint at all.

An endpoint that cannot be reached is most often down. If none of several others
can be reached either, this gateway is isolated: it is cut off from all of them,
its failures say nothing of the endpoints, and requests go through peers until a
probe reaches an endpoint again.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
import random

from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import roster
from nutmegpost_router import log

__all__ = ["EndpointLinks"]

# Endpoints that are probed at a time.
_PROBED_MAX = 3
# Time after which a probe has failed.
_PROBE_TIMEOUT_S = 0.4
# Interval between the probes of an isolated gateway.
_PROBE_INTERVAL_S = 0.25


class EndpointLinks:
    """State of the links to all endpoints, and the task that probes them."""

    def __init__(
        self,
        endpoints: Callable[[], Sequence[roster.Endpoint]],
        probe: Callable[[roster.Endpoint], Awaitable[None]],
        on_reconnected: Callable[[], None],
        rng: random.Random,
    ):
        """Creates the state with all endpoints reachable.

        Args:
            endpoints: Returns all known endpoints.
            probe: Connects to an endpoint; raises PeerError if it cannot.
            on_reconnected: Called when the isolation has ended.
            rng: Chooses the endpoints to probe.
        """
        self._endpoints = endpoints
        self._probe = probe
        self._on_reconnected = on_reconnected
        self._rng = rng
        self._is_isolated = False
        self._check: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()

    @property
    def is_isolated(self) -> bool:
        """Whether no endpoint can be reached."""
        return self._is_isolated

    def suspect(self) -> None:
        """Requests a check, after a sign that an endpoint is unreachable."""
        self._wake.set()

    async def check(self, unreachable: roster.Endpoint) -> bool:
        """Checks whether an endpoint is unreachable because all are.

        Args:
            unreachable: The endpoint; it is not probed again.

        Returns:
            Whether this gateway is isolated.
        """
        await self._join_check(unreachable.name)
        return self._is_isolated

    async def run(self) -> None:
        """Checks on request, and probes while isolated, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            await self._join_check("")
            while self._is_isolated:
                await asyncio.sleep(_PROBE_INTERVAL_S)
                if await self._reaches_any(""):
                    self._is_isolated = False
                    log.emit(events.GATEWAY_RECONNECTED)
                    self._on_reconnected()

    async def _join_check(self, excluded: str) -> None:
        """Waits for the check in progress, or for a new one if connected."""
        if self._check is None and not self._is_isolated:
            self._check = asyncio.create_task(self._run_check(excluded))
        if self._check is not None:
            await asyncio.shield(self._check)

    async def _run_check(self, excluded: str) -> None:
        try:
            if not await self._reaches_any(excluded):
                self._is_isolated = True
                log.emit(events.GATEWAY_ISOLATED)
                self._wake.set()
        finally:
            self._check = None

    async def _reaches_any(self, excluded: str) -> bool:
        """Returns whether one of a few endpoints can be reached.

        Returns:
            True if there is no endpoint to probe.
        """
        known = [
            endpoint
            for endpoint in self._endpoints()
            if endpoint.name != excluded
        ]
        if not known:
            return True
        probed = self._rng.sample(known, min(_PROBED_MAX, len(known)))
        probes = [
            asyncio.create_task(self._reaches(endpoint)) for endpoint in probed
        ]
        try:
            for next_probe in asyncio.as_completed(probes):
                if await next_probe:
                    return True
            return False
        finally:
            for task in probes:
                task.cancel()

    async def _reaches(self, endpoint: roster.Endpoint) -> bool:
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                await self._probe(endpoint)
        except (errors.PeerError, TimeoutError) as caught:
            log.emit(
                events.ENDPOINT_UNREACHED,
                endpoint=endpoint.name,
                reason=str(caught),
            )
            return False
        return True
