"""Anti-entropy between gateways for the publications of the platform.

A gateway that cannot reach the platform polls several peers for the newest
configuration and endpoint list. One that learns of a newer configuration polls
them at once. Any other gateway polls one peer per interval, since it may not
have noticed yet that the platform stopped responding.

A document can take most of a second to transfer, so it is asked of one peer at
a time, and only while the platform fails to deliver it. Another peer is asked
as well if the first one is silent or slow.
"""

import asyncio
from collections.abc import Callable

import cbor2

from nutmegpost_core import calls
from nutmegpost_core import errors
from nutmegpost_core import evacuations
from nutmegpost_core import events
from nutmegpost_core import roster
from nutmegpost_core import vms
from nutmegpost_router import http_client
from nutmegpost_router import http_server
from nutmegpost_router import log
from nutmegpost_router.gateway import crash_guard
from nutmegpost_router.gateway import ports
from nutmegpost_router.gateway import state

__all__ = ["PeerSync"]

# Poll interval. Changes must take effect within 2 s, polling included.
_POLL_S = 0.5
# Maximum wait for the head of an answer, and for each next part of its body.
_TIMEOUT_S = 0.4
# Maximum time for a whole body.
_BODY_TIMEOUT_S = 6.0
# Time that the platform has to deliver a configuration that peers know.
_PLATFORM_LEAD_S = 1.0
# Version that a poll names as known if it asks for no document.
_NO_DOCUMENT = 2**53
# Time that a peer has to begin its answer, and to send a document, before
# another one is asked as well.
_HEAD_LEAD_S = 0.25
_DOCUMENT_LEAD_S = 1.5
# Peers asked for a document until the next round begins.
_DOCUMENT_PEERS_MAX = 6
# Time for which a peer that did not answer is asked after all others.
_SILENT_RETENTION_S = 5.0
# Peers polled in one round when the platform or a newer version is missing.
_PEERS_POLLED_MAX = 3
# Time of observation after which peers have no more to tell of the versions.
_VERSIONS_OBSERVED_S = 300.0
_PUBLISHED_PATH = "/published"
# Query flag that requests the cache estimates too.
_CACHES_FLAG = "caches"
# Query flag of a gateway that knows eras of revisions, and of one that also
# requests the software versions that have served.
_ERAS_FLAG = "eras"
_VERSIONS_FLAG = "versions"
# Position of the digest of evacuated zones among the fields of a poll, and of
# the zones among the items of an answer. Gateways that know neither ignore what
# follows the fields and items that they know.
_ZONES_FIELD = 6
_ZONES_ITEM = 7
# Fields of an endpoint that a gateway without this flag expects.
_OLD_FIELDS_COUNT = 9


class PeerSync:
    """Polls peers for publications and answers their polls."""

    def __init__(
        self,
        local_state: state.State,
        protocols: ports.Ports,
        client: http_client.Client,
        updates: "asyncio.Queue[ports.StateUpdate]",
        addresses: Callable[[], list[vms.Address]],
        crashes: crash_guard.CrashGuard,
    ):
        """Creates the task; the platform counts as unavailable at first.

        Args:
            local_state: State of the gateway.
            protocols: Protocol implementations of the deployment.
            client: Connections to peers.
            updates: Queue that receives what the peers sent.
            addresses: Returns the control addresses of the peers.
            crashes: Crash charges, which are synced too.
        """
        self._state = local_state
        self._protocols = protocols
        self._client = client
        self._updates = updates
        self._addresses = addresses
        self._crashes = crashes
        self._sync_requested = asyncio.Event()
        self._document_requested = asyncio.Event()
        # Whether the platform responds; None until it has or has not.
        self._is_platform_available: bool | None = None
        # Time until which the platform may deliver the newest configuration.
        self._platform_lead_until = 0.0
        self._announced_version = 0
        # The peers that announced it.
        self._announcers: set[vms.Address] = set()
        self._document_task: asyncio.Task[None] | None = None
        # Time until which a peer that did not answer is asked last.
        self._silent_until: dict[vms.Address, float] = {}
        # Whether no document has been asked for since the last pause.
        self._has_paused = False

    def handle_pause(self, seconds: float) -> None:
        """Polls several peers at once, as this process stood still.

        Args:
            seconds: Length of the pause.
        """
        self._has_paused = True
        self._request_sync(f"paused for {seconds:.1f} s")

    def record_announcement(
        self, name: str, peer: vms.Address, version: int
    ) -> None:
        """Records that a peer has a newer configuration, and polls several.

        Args:
            name: Name of the peer.
            peer: Its control address.
            version: The version that it has.
        """
        if version > self._announced_version:
            if self._announced_version <= self._known_version:
                self._platform_lead_until = _now() + _PLATFORM_LEAD_S
            self._announced_version = version
            self._announcers.clear()
        if version == self._announced_version:
            self._announcers.add(peer)
        self._request_sync(f"{name} has {version}")

    def record_transfer(self, is_in_progress: bool) -> None:
        """Records whether the platform is sending a configuration.

        Args:
            is_in_progress: Whether it is sending, or has just ended.
        """
        lead_s = _BODY_TIMEOUT_S if is_in_progress else _PLATFORM_LEAD_S
        self._platform_lead_until = _now() + lead_s

    def record_published(self) -> None:
        """Records that the platform delivered a configuration."""
        if self._document_task is not None:
            self._document_task.cancel()

    def _request_sync(self, reason: str) -> None:
        log.emit(events.PEERS_ASKED, reason=reason)
        self._sync_requested.set()
        self._document_requested.set()

    @property
    def is_platform_unavailable(self) -> bool:
        """Whether the platform does not respond to this gateway."""
        return not self._is_platform_available

    def mark_platform_unavailable(self) -> None:
        """Polls several peers until the platform responds again."""
        self._is_platform_available = False
        self._sync_requested.set()
        self._document_requested.set()

    def mark_platform_available(self) -> None:
        """Returns to polling one peer per interval."""
        self._is_platform_available = True

    async def run(self) -> None:
        """Polls the peers until it is cancelled."""
        self._platform_lead_until = _now() + _PLATFORM_LEAD_S
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_for_lists())
            group.create_task(self._poll_for_documents())

    async def _poll_for_lists(self) -> None:
        while True:
            polls_several = (
                self.is_platform_unavailable or self._sync_requested.is_set()
            )
            self._sync_requested.clear()
            await self._poll_peers(_PEERS_POLLED_MAX if polls_several else 1)
            await _wait_for_request(self._sync_requested)

    async def _poll_for_documents(self) -> None:
        while True:
            self._document_requested.clear()
            if self._needs_document:
                await self._run_document_task()
            await _wait_for_request(self._document_requested)

    async def _run_document_task(self) -> None:
        """Reads a document, until the platform delivers it."""
        self._document_task = asyncio.create_task(self._read_document())
        try:
            await asyncio.wait([self._document_task])
            if not self._document_task.cancelled():
                self._document_task.result()
        finally:
            self._document_task.cancel()

    async def handle(
        self, request: http_server.Request
    ) -> http_server.Response:
        """Answers the poll of a peer."""
        path, _, query = request.target.partition("?")
        fields = query.split("&")
        version, digest, flag, crashes_digest, newer_flag = [
            *fields,
            "",
            "",
            "",
            "",
        ][:5]
        active_catalog = self._state.catalog
        if path != _PUBLISHED_PATH or active_catalog is None:
            return http_server.Response(404, [], b"")
        known_version = int(version) if version.isdecimal() else 0
        document = (
            self._state.document
            if active_catalog.version > known_version
            else b""
        )
        now = _now()
        revision: object = 0
        listed: list[list[object]] = []
        if digest != self._state.roster.digest():
            revision, listed = self._encode_roster(bool(newer_flag), now)
        caches = {
            name: [list(part) for part in parts]
            for name, parts in self._state.prefixes.parts_by_endpoint().items()
            if flag == _CACHES_FLAG and self._state.caches_synced
        }
        content: list[object] = [document, revision, listed, caches]
        # Earlier versions send no digest and expect no charges.
        if crashes_digest and crashes_digest != self._crashes.digest(now):
            content.append(self._crashes.encode(now))
        elif newer_flag:
            content.append(None)
        if newer_flag == _VERSIONS_FLAG:
            content.append(self._state.versions.encode(now))
        content += self._encode_zones(content, fields)
        body = cbor2.dumps(content)
        return http_server.Response(200, [], body)

    def _encode_zones(
        self, content: list[object], fields: list[str]
    ) -> list[object]:
        """Returns what the answer needs to tell of evacuated zones.

        Args:
            content: The answer so far.
            fields: The fields of the poll. Only a gateway whose zones can be
                evacuated names its digest.
        """
        table = self._state.evacuations
        if (
            not self._state.can_evacuate
            or len(fields) < _ZONES_FIELD
            or fields[_ZONES_FIELD - 1] == table.digest()
        ):
            return []
        padding: list[object] = [None] * (_ZONES_ITEM - 1 - len(content))
        zones = [
            [zone, *revision, is_evacuated]
            for zone, revision, is_evacuated in table.changes
        ]
        return [*padding, zones]

    def _encode_roster(
        self, has_eras: bool, now: float
    ) -> tuple[object, list[list[object]]]:
        """Returns the revision and the entries of the roster, for a peer."""
        current = self._state.roster
        listed = [
            endpoint._replace(warming_until=endpoint.warming_until - now)
            for endpoint in current.listed
        ]
        if has_eras:
            return list(current.revision), [list(each) for each in listed]
        return current.revision.number, [
            [
                field.number if isinstance(field, roster.Revision) else field
                for field in endpoint[:_OLD_FIELDS_COUNT]
            ]
            for endpoint in listed
        ]

    @property
    def _known_version(self) -> int:
        active_catalog = self._state.catalog
        return active_catalog.version if active_catalog else 0

    @property
    def _needs_document(self) -> bool:
        """Whether the platform fails to deliver the newest configuration."""
        if self._is_platform_available is False or self._has_paused:
            return True
        is_behind = self._announced_version > self._known_version
        return (
            is_behind or not self._known_version
        ) and _now() >= self._platform_lead_until

    async def _poll_peers(self, count: int) -> None:
        addresses = self._addresses()
        self._state.rng.shuffle(addresses)
        # Polls concurrently, so that a peer that is down delays no other.
        await asyncio.gather(
            *(
                self._poll_peer(address, _NO_DOCUMENT)
                for address in addresses[:count]
            )
        )

    async def _read_document(self) -> None:
        """Asks peers for a newer configuration until one has sent it."""
        self._has_paused = False
        known_version = self._known_version
        polls: dict[asyncio.Task[bool], vms.Address] = {}
        try:
            while True:
                for address in self._document_peers():
                    if address in polls.values():
                        continue
                    answered = asyncio.Event()
                    poll = asyncio.create_task(
                        self._poll_peer(address, known_version, answered.set)
                    )
                    polls[poll] = address
                    if await _wait_for_document(polls, poll, answered):
                        return
                if not polls or await _has_document(polls, _POLL_S):
                    return
        finally:
            for poll in polls:
                poll.cancel()

    def _document_peers(self) -> list[vms.Address]:
        """Returns the peers to ask for a document, in order."""
        now = _now()
        addresses = self._addresses()
        self._state.rng.shuffle(addresses)
        addresses.sort(
            key=lambda each: (
                self._silent_until.get(each, 0.0) > now,
                each not in self._announcers,
            )
        )
        return addresses[:_DOCUMENT_PEERS_MAX]

    async def _poll_peer(
        self,
        address: vms.Address,
        known_version: int,
        on_answer: Callable[[], None] = lambda: None,
    ) -> bool:
        """Polls a peer.

        Args:
            address: Its control address.
            known_version: The peer sends its configuration if that is newer.
            on_answer: Called when the answer begins.

        Returns:
            Whether it sent its configuration.
        """
        # An identical list is useful only while the platform is unavailable,
        # as evidence that the endpoints are still listed.
        digest = (
            "" if self.is_platform_unavailable else self._state.roster.digest()
        )
        flag = "" if self._state.caches_synced else _CACHES_FLAG
        crashes_digest = self._crashes.digest(_now())
        query = "&".join(
            [
                str(known_version),
                digest,
                flag,
                crashes_digest,
                self._newer_flag(),
                *self._zones_fields(),
            ]
        )
        started = _now()
        try:
            answer = await self._client.request(
                address,
                "GET",
                f"{_PUBLISHED_PATH}?{query}",
                {},
                timeout_s=_TIMEOUT_S,
                body_timeout_s=_BODY_TIMEOUT_S,
                on_answer=on_answer,
            )
            if answer.status == 200:
                return self._apply(answer.body, str(address), _now() - started)
        except errors.PeerError as caught:
            self._silent_until[address] = _now() + _SILENT_RETENTION_S
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
        return False

    def _zones_fields(self) -> list[str]:
        if not self._state.can_evacuate:
            return []
        return [self._state.evacuations.digest()]

    def _newer_flag(self) -> str:
        since = _now() - _VERSIONS_OBSERVED_S
        if self._state.versions.is_observed(since):
            return _ERAS_FLAG
        return _VERSIONS_FLAG

    def _apply(self, body: bytes, source: str, elapsed_s: float) -> bool:
        """Queues what a peer sent; returns whether a configuration was in it.

        Args:
            body: The answer of the peer.
            source: Address of the peer, for the log.
            elapsed_s: Time that the poll took, seconds.
        """
        document, revision, listed, caches, *rest = cbor2.loads(body)
        charges, history, zones = [*rest, None, None, None][:3]
        if zones and self._state.can_evacuate:
            self._updates.put_nowait(
                ports.ZonesEvacuated(
                    [
                        evacuations.Change(
                            str(zone),
                            roster.Revision(int(era), int(number)),
                            bool(is_evacuated),
                        )
                        for zone, era, number, is_evacuated in zones
                    ],
                    roster.Revision(),
                    is_list=False,
                    source=source,
                )
            )
        if charges is not None:
            self._crashes.merge(charges, _now())
        if history is not None:
            self._state.versions.merge(history, _now())
        if document:
            log.emit(
                events.CONFIGURATION_READ,
                source=source,
                versions=1,
                bytes=len(body),
                transfer_ms=round(elapsed_s * 1000),
            )
            decoded = self._protocols.publications.decode_configuration(
                document
            )
            self._updates.put_nowait(
                ports.CatalogPublished(
                    decoded, document, source, is_from_peer=True
                )
            )
        list_revision = _decode_revision(revision)
        if list_revision > self._state.roster.revision:
            now = _now()
            endpoints = [roster.Endpoint(*fields) for fields in listed]
            endpoints = [
                endpoint._replace(
                    warming_until=endpoint.warming_until + now,
                    revision=_decode_revision(endpoint.revision),
                )
                for endpoint in endpoints
            ]
            self._updates.put_nowait(
                ports.EndpointsListed(
                    endpoints, list_revision, is_from_peer=True
                )
            )
        if caches and not self._state.caches_synced:
            self._updates.put_nowait(
                ports.PeerCachesReceived(
                    {
                        name: [calls.PromptPart(*part) for part in parts]
                        for name, parts in caches.items()
                    }
                )
            )
        return bool(document)


async def _wait_for_request(requested: asyncio.Event) -> None:
    """Waits for a request to poll, or for the next regular poll."""
    try:
        async with asyncio.timeout(_POLL_S):
            await requested.wait()
    except TimeoutError:
        return


async def _wait_for_document(
    polls: dict[asyncio.Task[bool], vms.Address],
    newest: asyncio.Task[bool],
    answered: asyncio.Event,
) -> bool:
    """Waits until a poll brings a document or another peer should be asked.

    Args:
        polls: Polls in progress; those that end are removed.
        newest: The poll that began last.
        answered: Whether the answer to that poll has begun.

    Returns:
        Whether a poll brought a document.
    """
    started = _now()
    while newest in polls:
        lead_s = _DOCUMENT_LEAD_S if answered.is_set() else _HEAD_LEAD_S
        left_s = started + lead_s - _now()
        if left_s <= 0:
            return False
        if await _has_document(polls, left_s):
            return True
    return False


async def _has_document(
    polls: dict[asyncio.Task[bool], vms.Address], timeout_s: float
) -> bool:
    """Waits until polls end, and returns whether they brought a document.

    Args:
        polls: Polls in progress; those that end are removed.
        timeout_s: Maximum wait, seconds.
    """
    done, _ = await asyncio.wait(
        polls, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
    )
    for poll in done:
        del polls[poll]
    return any(poll.result() for poll in done)


def _decode_revision(encoded: object) -> roster.Revision:
    """Returns a revision; earlier versions send a number without an era."""
    if isinstance(encoded, int):
        return roster.Revision(0, encoded)
    return roster.Revision(*map(int, encoded))  # type: ignore[call-overload]


def _now() -> float:
    return asyncio.get_running_loop().time()
