"""Initial synchronization of the prefix cache estimates of a gateway.

A gateway that starts, or that was paused, copies the estimates of a peer.
When all gateways start at once no peer has estimates, and they query the
endpoints for their caches: each gateway queries all of them, or, if there are
many, only its share, and announces the results to its peers.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence

import xxhash

from nutmegpost_core import calls
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import roster
from nutmegpost_core import vms
from nutmegpost_router import http_client
from nutmegpost_router import log
from nutmegpost_router.gateway import loads
from nutmegpost_router.gateway import ports
from nutmegpost_router.gateway import state

__all__ = ["CacheSync"]

# Time for the peers to respond before endpoints are queried. A synced peer
# responds within a round trip, and requests with long prompts wait meanwhile.
_PEER_WAIT_S = 0.1
_POLL_S = 0.01
# Maximum wait for the head of a list, and for each next part of its body.
_TIMEOUT_S = 1.0
# Maximum time for a whole body: the lists of all endpoints may share a link.
_BODY_TIMEOUT_S = 6.0
# Up to this many endpoints, each gateway queries all of them. Every query
# delays the endpoint.
_ENDPOINTS_QUERIED_MAX = 16
# Parts in one placement, so that it fits in a datagram.
_PARTS_PER_PLACEMENT = 8


class CacheSync:
    """The task that synchronizes the cache estimates when they are missing."""

    def __init__(
        self,
        local_state: state.State,
        endpoint_protocol: ports.EndpointProtocol,
        client: http_client.Client,
        gateways: Callable[[], list[str]],
        wait_for_gateways: Callable[[], Awaitable[None]],
    ):
        """Creates the task; it syncs at once if the state is not synced.

        Args:
            local_state: State of the gateway.
            endpoint_protocol: The protocol of endpoints.
            client: Connections to endpoints.
            gateways: Returns the names of the gateways that are alive.
            wait_for_gateways: Waits until the first peer has told which
                gateways there are. A gateway that knows no other one queries
                all endpoints: 135 that started together sent 45 endpoints
                over 5,000 queries.
        """
        self._state = local_state
        self._endpoint_protocol = endpoint_protocol
        self._client = client
        self._gateways = gateways
        self._wait_for_gateways = wait_for_gateways
        self._sync_requested = asyncio.Event()
        if not local_state.caches_synced:
            self._sync_requested.set()

    def resync(self) -> None:
        """Starts a new synchronization because the estimates are outdated."""
        self._state.caches_synced = False
        self._sync_requested.set()

    async def run(self) -> None:
        """Synchronizes on each request to do so, until it is cancelled."""
        while True:
            await self._sync_requested.wait()
            self._sync_requested.clear()
            await self._sync()

    async def _sync(self) -> None:
        """Queries the endpoints unless a peer sends its estimates in time."""
        while not self._state.roster.endpoints or not self._state.catalog:
            await asyncio.sleep(_POLL_S)
        wait_until = asyncio.get_running_loop().time() + _PEER_WAIT_S
        while asyncio.get_running_loop().time() < wait_until:
            if self._state.caches_synced:
                return
            await asyncio.sleep(_POLL_S)
        endpoints = self._endpoints()
        if len(endpoints) <= _ENDPOINTS_QUERIED_MAX:
            await asyncio.gather(
                *(self._fetch_cache(endpoint) for endpoint in endpoints)
            )
        else:
            await self._wait_for_gateways()
            if self._state.caches_synced:
                return
            assigned = [
                endpoint
                for endpoint in endpoints
                if self._is_assigned(endpoint.name)
            ]
            fetched = await asyncio.gather(
                *(self._fetch_cache(endpoint) for endpoint in assigned)
            )
            self._announce(
                dict(
                    zip(
                        (endpoint.name for endpoint in assigned),
                        fetched,
                        strict=True,
                    )
                )
            )
            # Waits for the announcements of the other gateways.
            await asyncio.sleep(_TIMEOUT_S)
        self._state.caches_synced = True

    def _endpoints(self) -> list[roster.Endpoint]:
        """Returns the endpoints that have a cache."""
        assert self._state.catalog is not None
        services = self._state.catalog.services
        return [
            endpoint
            for endpoint in self._state.roster.listed
            if endpoint.service in services
            and services[endpoint.service].cache_tokens
            and self._state.may_send(endpoint)
        ]

    def _is_assigned(self, endpoint: str) -> bool:
        """Returns whether rendezvous hashing assigns it to this gateway."""

        def weight(gateway: str) -> int:
            return xxhash.xxh3_64_intdigest(f"{endpoint}#{gateway}".encode())

        own = self._state.config["name"]
        return max([own, *self._gateways()], key=weight) == own

    async def _fetch_cache(
        self, endpoint: roster.Endpoint
    ) -> list[calls.PromptPart]:
        """Queries one endpoint and merges the parts in its cache.

        Returns:
            The cached parts; empty if the query failed.
        """
        address = vms.parse_address(endpoint.address)
        try:
            answer = await self._client.request(
                address,
                "GET",
                self._endpoint_protocol.cache_path,
                {},
                timeout_s=_TIMEOUT_S,
                body_timeout_s=_BODY_TIMEOUT_S,
            )
            parts = self._endpoint_protocol.decode_cache_list(answer.body)
        except errors.PeerError as caught:
            log.emit(
                events.CACHE_UNKNOWN,
                endpoint=endpoint.name,
                reason=str(caught),
            )
            return []
        log.emit(events.CACHE_LEARNT, endpoint=endpoint.name, count=len(parts))
        self._state.merge_cache(endpoint.name, parts)
        return parts

    def _announce(
        self, caches: Mapping[str, Sequence[calls.PromptPart]]
    ) -> None:
        for endpoint, parts in caches.items():
            for first in range(0, len(parts), _PARTS_PER_PLACEMENT):
                batch = tuple(parts[first : first + _PARTS_PER_PLACEMENT])
                self._state.on_placement(loads.Placement(endpoint, 0.0, batch))
