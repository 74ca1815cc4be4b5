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
from collections.abc import Callable, Sequence
import math
from typing import Any

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
from nutmegpost_router.gateway import reader_polls
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
# Position of the digest of evacuated zones, and of the request of a follower,
# among the fields of a poll, and of the zones and the news of a reader among
# the items of an answer. Gateways that know neither ignore what follows the
# fields and items that they know.
_ZONES_FIELD = 6
_FOLLOW_FIELD = 7
_ZONES_ITEM = 7
_NEWS_ITEM = 8
# Digest that a gateway sends whose zones cannot be evacuated.
_NO_ZONES = "-"
# Key of the part of an answer that tells a follower how current it is.
_NEWS_KEY = "news"
# Interval at which followers ask for a document that they lack.
_DOCUMENT_RETRY_S = 0.2
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
        self._long_polls = reader_polls.LongPolls(local_state)
        self._is_following = False
        self._following_since = 0.0
        # Time at which a version newer than the known one was first heard of.
        self._announced_at = 0.0

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
        if version > self._announced_version <= self._known_version:
            self._platform_lead_until = _now() + _PLATFORM_LEAD_S
        self._record_version(version, peer)
        self._request_sync(f"{name} has {version}")

    def _record_version(self, version: int, peer: vms.Address) -> None:
        """Records that a peer has a version."""
        if version > self._announced_version:
            if self._announced_version <= self._known_version:
                self._announced_at = _now()
            self._announced_version = version
            self._announcers.clear()
        if version == self._announced_version:
            self._announcers.add(peer)

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

    @property
    def is_following(self) -> bool:
        """Whether readers tell this gateway what the platform publishes."""
        return self._is_following

    @property
    def following_since(self) -> float:
        """Monotonic time at which that began last, seconds."""
        return self._following_since

    @property
    def behind_since(self) -> float:
        """Monotonic time since which a known configuration is missing, seconds.

        Infinity if this gateway has the newest one that it has heard of.
        """
        if self._announced_version <= self._known_version:
            return math.inf
        return self._announced_at

    def set_following(self, is_following: bool) -> None:
        """Stops or resumes the regular polls of peers."""
        self._is_following = is_following
        if is_following:
            self._following_since = _now()
        self._sync_requested.set()

    def notify_followers(self) -> None:
        """Answers the followers that wait, if anything has changed."""
        self._long_polls.notify()

    def end_polls_of_followers(self) -> None:
        """Makes followers ask another gateway, as this one stops."""
        self._long_polls.close()

    async def follow(
        self, address: vms.Address, request: reader_polls.FollowRequest
    ) -> reader_polls.News | None:
        """Polls a reader.

        Args:
            address: Its control address.
            request: The request; the digest of the endpoints is added.

        Returns:
            The news, or None if it sent none.
        """
        request = request._replace(
            details=self._state.roster.details_digest(_now())
        )
        heard: list[reader_polls.News] = []
        await self._poll_peer(
            address, _NO_DOCUMENT, follow=request, on_news=heard.append
        )
        if not heard:
            return None
        news = heard[0]
        if news.version > self._known_version and news.is_available:
            self._record_version(news.version, address)
            self._document_requested.set()
        return news

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
            if self._is_following:
                await self._sync_requested.wait()
                continue
            await self._poll_peers(_PEERS_POLLED_MAX if polls_several else 1)
            await _wait_for_request(self._sync_requested)

    async def _poll_for_documents(self) -> None:
        while True:
            self._document_requested.clear()
            if self._needs_document:
                await self._run_document_task()
            interval_s = _POLL_S
            if self._is_following and self._needs_document:
                interval_s = _DOCUMENT_RETRY_S
            await _wait_for_request(self._document_requested, interval_s)

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
        version, digest, flag, crashes_digest, newer_flag, _, follow = [
            *fields,
            "",
            "",
            "",
            "",
            "",
            "",
        ][:_FOLLOW_FIELD]
        if path != _PUBLISHED_PATH or self._state.catalog is None:
            return http_server.Response(404, [], b"")
        asked = reader_polls.decode_request(follow)
        if asked is not None:
            await self._long_polls.wait(asked)
            if self._long_polls.is_closed:
                return http_server.Response(503, [], b"")
        document = self._document_for(version, asked is not None)
        now = _now()
        revision: object = 0
        listed: list[list[object]] = []
        if self._is_list_unknown(digest, asked):
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
        if newer_flag == _VERSIONS_FLAG or self._is_change_for(asked):
            content.append(self._state.versions.encode(now))
        content += self._encode_zones(content, fields)
        if asked is not None:
            padding: list[object] = [None] * (_NEWS_ITEM - 1 - len(content))
            news = {_NEWS_KEY: self._long_polls.encode_news()}
            content += [*padding, news]
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
            or fields[_ZONES_FIELD - 1] in (_NO_ZONES, table.digest())
        ):
            return []
        padding: list[object] = [None] * (_ZONES_ITEM - 1 - len(content))
        zones = [
            [zone, *revision, is_evacuated]
            for zone, revision, is_evacuated in table.changes
        ]
        return [*padding, zones]

    def _is_change_for(
        self, request: reader_polls.FollowRequest | None
    ) -> bool:
        """Returns whether the state is another than a follower was told."""
        return request is not None and request.token != self._long_polls.token()

    def _is_list_unknown(
        self,
        digest: str,
        asked: reader_polls.FollowRequest | None,
    ) -> bool:
        """Returns whether a peer lacks the list of endpoints."""
        if asked is not None and asked.details:
            return asked.details != self._long_polls.details()
        return digest != self._state.roster.digest()

    def _document_for(self, version: str, is_follower: bool) -> bytes:
        """Returns the configuration, for a peer that knows a version."""
        known_version = int(version) if version.isdecimal() else 0
        if self._known_version <= known_version:
            return b""
        # Followers ask for it all at once, and have others to ask.
        if is_follower and not self._long_polls.may_send_document():
            return b""
        return self._state.document

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
        if self._is_following:
            return is_behind
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
                        self._poll_peer(
                            address,
                            known_version,
                            answered.set,
                            reader_polls.FollowRequest()
                            if self._is_following
                            else None,
                        )
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
        follow: reader_polls.FollowRequest | None = None,
        on_news: Callable[[reader_polls.News], None] = lambda _: None,
    ) -> bool:
        """Polls a peer.

        Args:
            address: Its control address.
            known_version: The peer sends its configuration if that is newer.
            on_answer: Called when the answer begins.
            follow: The request of a follower; None for a poll that is answered
                at once.
            on_news: Called with the news of a reader.

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
                self._zones_field(),
                *([follow.encode()] if follow else []),
            ]
        )
        started = _now()
        try:
            answer = await self._client.request(
                address,
                "GET",
                f"{_PUBLISHED_PATH}?{query}",
                {},
                timeout_s=_TIMEOUT_S + (follow.wait_s if follow else 0.0),
                body_timeout_s=_BODY_TIMEOUT_S,
                on_answer=on_answer,
            )
            if answer.status == 200:
                content = cbor2.loads(answer.body)
                if (
                    follow is not None
                    and follow.details
                    and not self._apply_news(content, follow, on_news)
                ):
                    return False
                size = len(answer.body)
                return self._apply(
                    content, size, str(address), _now() - started
                )
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

    def _zones_field(self) -> str:
        """Returns the digest of the evacuated zones, if any can be."""
        if not self._state.can_evacuate:
            return _NO_ZONES
        return self._state.evacuations.digest()

    def _newer_flag(self) -> str:
        since = _now() - _VERSIONS_OBSERVED_S
        if self._state.versions.is_observed(since):
            return _ERAS_FLAG
        return _VERSIONS_FLAG

    def _apply_news(
        self,
        content: Sequence[Any],
        follow: reader_polls.FollowRequest,
        on_news: Callable[[reader_polls.News], None],
    ) -> bool:
        """Queues how current the answer of a reader is, before the rest.

        Returns:
            Whether the rest counts. It does not while the platform does not
            answer the reader: entries that lapsed have their grace period
            there, which it does not know yet.
        """
        is_available = True
        _, _, listed, *rest = content
        now = _now()
        for part in rest:
            if isinstance(part, dict) and _NEWS_KEY in part:
                is_same_list = (
                    not listed
                    and follow.details == self._state.roster.details_digest(now)
                )
                news = reader_polls.decode_news(
                    part[_NEWS_KEY], is_same_list, now
                )
                is_available = news.is_available
                if is_available:
                    self._updates.put_nowait(news.update)
                on_news(news)
        return is_available

    def _apply(
        self, content: Sequence[Any], size: int, source: str, elapsed_s: float
    ) -> bool:
        """Queues what a peer sent; returns whether a configuration was in it.

        Args:
            content: The decoded answer of the peer.
            size: Size of the answer, bytes.
            source: Address of the peer, for the log.
            elapsed_s: Time that the poll took, seconds.
        """
        document, revision, listed, caches, *rest = content
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
                bytes=size,
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


async def _wait_for_request(
    requested: asyncio.Event, interval_s: float = _POLL_S
) -> None:
    """Waits for a request to poll, or for the next regular poll."""
    try:
        async with asyncio.timeout(interval_s):
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
