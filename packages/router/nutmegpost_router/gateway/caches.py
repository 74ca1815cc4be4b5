"""What endpoints have in their caches, learnt by a gateway that starts.

A gateway that starts takes the knowledge of a peer. When all start at once
nobody knows, and they ask the endpoints, each gateway some of them, and tell
one another.
"""

import asyncio
from collections.abc import Callable

import xxhash

from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import vms
from nutmegpost_router import http_client
from nutmegpost_router import log
from nutmegpost_router.gateway import loads
from nutmegpost_router.gateway import ports
from nutmegpost_router.gateway import state

__all__ = ["CacheLearning"]

# Time for the peers to be known and to answer before endpoints are asked.
_PEERS_S = 0.4
_POLL_S = 0.05
_TIMEOUT_S = 1.0
# Parts that are told with one placement, so that it fits into a datagram.
_PARTS_TOLD = 8


class CacheLearning:
    """The task that asks endpoints for their caches once."""

    def __init__(
        self,
        known: state.State,
        dialect: ports.Dialect,
        client: http_client.Client,
        gateways: Callable[[], list[str]],
    ):
        """Prepares the task.

        Args:
            known: What the gateway knows.
            dialect: The protocol of endpoints.
            client: Connections to endpoints.
            gateways: Gives the names of the gateways that are alive.
        """
        self._known = known
        self._dialect = dialect
        self._client = client
        self._gateways = gateways

    async def run(self) -> None:
        """Asks the endpoints, unless a peer told what they have."""
        while not self._known.roster.endpoints or not self._known.catalog:
            await asyncio.sleep(_POLL_S)
        await asyncio.sleep(_PEERS_S)
        if self._known.caches_known:
            return
        await asyncio.gather(*(self._ask(item) for item in self._own_share()))
        # The other gateways tell what they asked for meanwhile.
        await asyncio.sleep(_TIMEOUT_S)
        self._known.caches_known = True

    def _own_share(self) -> list[tuple[str, vms.Address]]:
        assert self._known.catalog is not None
        services = self._known.catalog.services
        return [
            (endpoint.name, vms.parse_address(endpoint.address))
            for endpoint in self._known.roster.listed
            if endpoint.service in services
            and services[endpoint.service].cache_tokens
            and self._is_own(endpoint.name)
        ]

    def _is_own(self, endpoint: str) -> bool:
        def weight(gateway: str) -> int:
            return xxhash.xxh3_64_intdigest(f"{endpoint}#{gateway}".encode())

        own = self._known.config["name"]
        return max([own, *self._gateways()], key=weight) == own

    async def _ask(self, endpoint: tuple[str, vms.Address]) -> None:
        name, address = endpoint
        try:
            answer = await self._client.request(
                address, "GET", self._dialect.cache_path, {}, b"", _TIMEOUT_S
            )
            parts = self._dialect.read_cache(answer.body)
        except errors.PeerError as caught:
            log.emit(events.CACHE_UNKNOWN, endpoint=name, reason=str(caught))
            return
        log.emit(events.CACHE_LEARNT, endpoint=name, count=len(parts))
        self._known.learn_cache(name, parts)
        for first in range(0, len(parts), _PARTS_TOLD):
            told = tuple(parts[first : first + _PARTS_TOLD])
            self._known.on_placement(loads.Placement(name, 0.0, told))
