"""What endpoints have in their caches, learnt by a gateway that starts.

A gateway that starts, or that stood still, takes the knowledge of a peer. When
all start at once nobody knows, and they ask the endpoints: each gateway all of
them, or where these are many some of them, and they tell one another.
"""

import asyncio
from collections.abc import Callable, Mapping, Sequence

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

__all__ = ["CacheLearning"]

# Time for the peers to answer before endpoints are asked; a peer that knows
# answers within a round trip, and requests wait meanwhile.
_PEERS_S = 0.1
_POLL_S = 0.01
_TIMEOUT_S = 1.0
# Endpoints that one gateway asks; each is delayed by every list that it gives.
_LISTS_MAX = 16
# Parts that are told with one placement, so that it fits into a datagram.
_PARTS_TOLD = 8


class CacheLearning:
    """The task that asks endpoints for their caches once."""

    def __init__(
        self,
        local_state: state.State,
        endpoint_protocol: ports.EndpointProtocol,
        client: http_client.Client,
        gateways: Callable[[], list[str]],
    ):
        """Prepares the task.

        Args:
            local_state: State of the gateway.
            endpoint_protocol: The protocol of endpoints.
            client: Connections to endpoints.
            gateways: Gives the names of the gateways that are alive.
        """
        self._state = local_state
        self._endpoint_protocol = endpoint_protocol
        self._client = client
        self._gateways = gateways
        self._wanted = asyncio.Event()
        if not local_state.caches_synced:
            self._wanted.set()

    def ask_again(self) -> None:
        """Learns the caches anew, for what was known is old."""
        self._state.caches_synced = False
        self._wanted.set()

    async def run(self) -> None:
        """Learns the caches whenever they are not known, for ever."""
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            await self._learn()

    async def _learn(self) -> None:
        """Asks the endpoints, unless a peer told what they have."""
        while not self._state.roster.endpoints or not self._state.catalog:
            await asyncio.sleep(_POLL_S)
        until = asyncio.get_running_loop().time() + _PEERS_S
        while asyncio.get_running_loop().time() < until:
            if self._state.caches_synced:
                return
            await asyncio.sleep(_POLL_S)
        endpoints = self._endpoints()
        if len(endpoints) <= _LISTS_MAX:
            await asyncio.gather(*(self._ask(item) for item in endpoints))
        else:
            share = [item for item in endpoints if self._is_own(item.name)]
            told = await asyncio.gather(*(self._ask(item) for item in share))
            self._tell(dict(zip((x.name for x in share), told, strict=True)))
            # The other gateways tell what they asked for meanwhile.
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
        ]

    def _is_own(self, endpoint: str) -> bool:
        def weight(gateway: str) -> int:
            return xxhash.xxh3_64_intdigest(f"{endpoint}#{gateway}".encode())

        own = self._state.config["name"]
        return max([own, *self._gateways()], key=weight) == own

    async def _ask(self, endpoint: roster.Endpoint) -> list[calls.PromptPart]:
        """Learns one cache, and returns its parts."""
        address = vms.parse_address(endpoint.address)
        try:
            answer = await self._client.request(
                address,
                "GET",
                self._endpoint_protocol.cache_path,
                {},
                b"",
                _TIMEOUT_S,
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

    def _tell(self, caches: Mapping[str, Sequence[calls.PromptPart]]) -> None:
        for endpoint, parts in caches.items():
            for first in range(0, len(parts), _PARTS_TOLD):
                told = tuple(parts[first : first + _PARTS_TOLD])
                self._state.on_placement(loads.Placement(endpoint, 0.0, told))
