"""Handing on between gateways what the platform told one of them.

A gateway that the platform does not answer asks its peers for the newest
configuration and list of endpoints. One that hears of a newer configuration
asks at once. Any other asks one peer now and then whether that knows a newer
configuration or other endpoints, as it may not know yet that the platform has
fallen silent.
"""

import asyncio
from collections.abc import Callable

import cbor2

from nutmegpost_core import calls
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import roster
from nutmegpost_core import vms
from nutmegpost_router import http_client
from nutmegpost_router import http_server
from nutmegpost_router import log
from nutmegpost_router.gateway import ports
from nutmegpost_router.gateway import state

__all__ = ["HandingOn"]

# Time between two rounds of questions; it is a part of the 2 s within which
# changes must be in force.
_POLL_S = 0.5
_TIMEOUT_S = 0.4
# Peers that are asked in one round.
_ASKED_MAX = 3
_PATH = "/published"
# Asks for what endpoints have in their caches, too.
_CACHES = "caches"


class HandingOn:
    """Both sides of handing on."""

    def __init__(
        self,
        local_state: state.State,
        protocols: ports.Ports,
        client: http_client.Client,
        news: "asyncio.Queue[ports.StateUpdate]",
        addresses: Callable[[], list[vms.Address]],
    ):
        """Prepares the task.

        Args:
            local_state: State of the gateway.
            protocols: Protocol implementations of the deployment.
            client: Connections to peers.
            news: Where what peers tell goes.
            addresses: Gives the control addresses of the peers.
        """
        self._state = local_state
        self._protocols = protocols
        self._client = client
        self._news = news
        self._addresses = addresses
        self._wanted = asyncio.Event()
        self._lost = True

    def ask(self, name: str, version: int) -> None:
        """Asks the peers at once.

        Args:
            name: The peer that told of something newer, for the log.
            version: The version that it told of.
        """
        log.emit(events.PEERS_ASKED, reason=f"{name} has {version}")
        self._wanted.set()

    @property
    def is_source_lost(self) -> bool:
        """Whether the platform does not answer this gateway."""
        return self._lost

    def source_lost(self) -> None:
        """Asks the peers until the platform answers again."""
        self._lost = True
        self._wanted.set()

    def source_returned(self) -> None:
        """Stops to ask the peers."""
        self._lost = False

    async def run(self) -> None:
        """Asks the peers for ever."""
        while True:
            is_asked_all = self._lost or self._wanted.is_set()
            self._wanted.clear()
            await self._ask_some(_ASKED_MAX if is_asked_all else 1)
            try:
                async with asyncio.timeout(_POLL_S):
                    await self._wanted.wait()
            except TimeoutError:
                continue

    async def handle(
        self, request: http_server.Request
    ) -> http_server.Response:
        """Answers the question of a peer."""
        path, _, query = request.target.partition("?")
        version, digest, asked = [*query.split("&"), "", ""][:3]
        found = self._state.catalog
        if path != _PATH or found is None:
            return http_server.Response(404, [], b"")
        known_version = int(version) if version.isdecimal() else 0
        document = (
            self._state.document if found.version > known_version else b""
        )
        now = asyncio.get_running_loop().time()
        revision, listed = 0, []
        if digest != self._state.roster.digest():
            revision = self._state.roster.revision
            listed = [
                list(item._replace(warming_until=item.warming_until - now))
                for item in self._state.roster.listed
            ]
        caches = {
            name: [list(part) for part in parts]
            for name, parts in self._state.prefixes.parts_by_endpoint().items()
            if asked == _CACHES and self._state.caches_synced
        }
        body = cbor2.dumps([document, revision, listed, caches])
        return http_server.Response(200, [], body)

    async def _ask_some(self, count: int) -> None:
        addresses = self._addresses()
        self._state.rng.shuffle(addresses)
        # One that is down must not keep the others waiting.
        await asyncio.gather(*map(self._ask, addresses[:count]))

    async def _ask(self, address: vms.Address) -> None:
        found = self._state.catalog
        # A list that is as old as this one's own is of use only when the
        # platform is gone: then it is a sign of life of the endpoints.
        digest = "" if self._lost else self._state.roster.digest()
        query = f"{found.version if found else 0}&{digest}"
        if not self._state.caches_synced:
            query = f"{query}&{_CACHES}"
        try:
            answer = await self._client.request(
                address, "GET", f"{_PATH}?{query}", {}, timeout_s=_TIMEOUT_S
            )
            if answer.status == 200:
                self._take(answer.body)
        except errors.PeerError as caught:
            log.emit(
                events.PEER_READ_FAILED, peer=str(address), reason=str(caught)
            )
        except (cbor2.CBORDecodeError, TypeError, ValueError) as caught:
            log.emit(
                events.DATAGRAM_MALFORMED,
                source=str(address),
                reason=str(caught),
            )
        except errors.ConfigurationError as caught:
            log.emit(
                events.CONFIGURATION_REFUSED,
                source=str(address),
                reason=str(caught),
            )

    def _take(self, body: bytes) -> None:
        document, revision, listed, caches = cbor2.loads(body)
        if document:
            decoded = self._protocols.publications.decode_configuration(
                document
            )
            self._news.put_nowait(ports.CatalogPublished(decoded, document))
        if revision > self._state.roster.revision:
            now = asyncio.get_running_loop().time()
            endpoints = [roster.Endpoint(*fields) for fields in listed]
            endpoints = [
                item._replace(warming_until=item.warming_until + now)
                for item in endpoints
            ]
            self._news.put_nowait(ports.EndpointsListed(endpoints, revision))
        if caches and not self._state.caches_synced:
            self._news.put_nowait(
                ports.PeerCachesReceived(
                    {
                        name: [calls.PromptPart(*part) for part in parts]
                        for name, parts in caches.items()
                    }
                )
            )
