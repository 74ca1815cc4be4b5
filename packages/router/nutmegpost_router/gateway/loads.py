"""Exchange of loads, placements and endpoint failures between gateways.

Each gateway reports its own part of each endpoint's load to every peer. In a
large fleet these reports would be too infrequent; there it relays the total
loads that are known of endpoints, and each report goes to one random peer.
Placements of prompts that the endpoint had not cached are sent at once, so that
the peers can update their cache estimates, and so are endpoints that are down.
A token bucket limits the bytes sent; when it runs short, load reports are
delayed first.
"""

import asyncio
import bisect
from collections.abc import Callable, Collection, Iterable, Sequence
import functools
import hmac
import random
from typing import NamedTuple

import cbor2
import xxhash

from nutmegpost_core import budget
from nutmegpost_core import calls
from nutmegpost_core import dispatch
from nutmegpost_core import endpoint_speeds
from nutmegpost_core import events
from nutmegpost_core import load_table
from nutmegpost_core import vms
from nutmegpost_router import log
from nutmegpost_router import ticks
from nutmegpost_router.gateway import load_queries

__all__ = [
    "SILENT_AFTER_REPORTS",
    "LoadExchange",
    "PeerUpdate",
    "Placement",
    "endpoint_digest",
]

# Shortest interval between load reports.
REPORT_INTERVAL_S = 0.2
# Share of the byte budget for load reports.
REPORT_BUDGET_SHARE = 0.6
# If that share makes the interval between reports longer than this, they say
# too little of the present load: observations are relayed, and queries sent.
REPORT_INTERVAL_MAX_S = 1.0
# Part of that share for relays; queries take the rest.
RELAY_BUDGET_SHARE = 0.5
# A placement that did not fit the budget for this time is discarded as stale.
PLACEMENT_LIFETIME_S = 1.0
# Delay before sending, so that placements within it share a datagram.
BATCH_DELAY_S = 0.02
# Limit of the bytes sent per second; the requirements allow 2 KB.
BUDGET_BYTES_PER_S = 2_000.0
# Size of the token bucket, for bursts of placements.
BUDGET_BURST_BYTES = 24_000.0
DATAGRAM_BYTES_MAX = 1_200
# Missed reports after which a peer is silent. A link with 20 % packet loss
# loses this many in a row once in 125 times.
SILENT_AFTER_REPORTS = 3
# With a longer report interval, the failure detector of the membership notices
# a dead peer sooner than its missing reports do.
_SILENCE_CHECK_INTERVAL_MAX_S = 0.5
# Down endpoints that fit in a datagram with placements.
_NOTICES_PER_DATAGRAM_MAX = 10
_ENDPOINT_BYTES = 4
_DIGESTS_CACHED_MAX = 16_384
_MAC_BYTES = 8
_HEADER_BYTES = 28
_MAC_CONTEXT = b"nutmegpost loads"


# Follows the digest of an endpoint where its speed is observed, not its load.
# Older builds ignore an observation of a digest that they do not know.
_SPEED_MARK = b"s"

_EntriesCallback = Callable[[str, Sequence[load_queries.Entry]], None]
_SpeedCallback = Callable[[str, endpoint_speeds.Figure], None]
_SpeedSource = Callable[[str, float], endpoint_speeds.Figure | None]


class Placement(NamedTuple):
    """A prompt that was sent to an endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        prefill_s: Expected remaining time of the prefill, seconds.
        parts: Parts of the prompt, in order.
    """

    endpoint: str
    prefill_s: float
    parts: tuple[calls.PromptPart, ...]


@functools.lru_cache(maxsize=_DIGESTS_CACHED_MAX)
def endpoint_digest(name: str) -> bytes:
    """Returns the digest that stands for an endpoint name in datagrams."""
    return xxhash.xxh3_64_digest(name.encode())[:_ENDPOINT_BYTES]


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, deliver: Callable[[bytes], None]):
        self._deliver = deliver

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._deliver(data)

    def error_received(self, exc: Exception) -> None:
        # The membership detects peers that are down.
        pass


class _QueuedPlacement(NamedTuple):
    placement: Placement
    at: float


def _size_order(queued: _QueuedPlacement) -> int:
    return -sum(part.tokens for part in queued.placement.parts)


class PeerUpdate(NamedTuple):
    """Notices that a peer sent in addition to loads.

    Attributes:
        placements: Prompts that the peer sent to endpoints.
        down: Names of endpoints that refuse connections.
    """

    placements: list[Placement]
    down: list[str]


class LoadExchange:
    """The task that owns the UDP socket for reports and notices."""

    def __init__(
        self,
        name: str,
        address: str,
        key: str,
        loads: load_table.LoadTable,
        peers: Callable[[], Sequence[str]],
        endpoints: Callable[[], Collection[str]],
        on_peer_update: Callable[[PeerUpdate], None],
    ):
        """Creates the task with nothing queued.

        Args:
            name: Name of this gateway.
            address: Address to bind; peers use the same port.
            key: Secret shared by the gateways.
            loads: Source of the own reports and target of the received ones.
            peers: Returns the hosts of the peers.
            endpoints: Returns the names of all endpoints: the same object only
                if they have not changed.
            on_peer_update: Called with the notices that a peer sent.
        """
        self._name = name
        self._address = vms.parse_address(address)
        self._key = hmac.digest(key.encode(), _MAC_CONTEXT, "sha256")
        self._loads = loads
        self._peers = peers
        self._endpoints = endpoints
        # The endpoints for which the names by digest were built.
        self._named: Collection[str] | None = None
        self._names_by_digest: dict[bytes, str] = {}
        self._on_peer_update = on_peer_update
        self._budget = budget.Budget(BUDGET_BYTES_PER_S, BUDGET_BURST_BYTES)
        self._placements: list[_QueuedPlacement] = []
        self._down: list[str] = []
        self._queued_event = asyncio.Event()
        self._next_report = 0.0
        self._report_interval_s = REPORT_INTERVAL_S
        self._rng = random.Random(name)
        # Called with the name of a peer and the entries that it sent.
        self.on_entries: _EntriesCallback = lambda *_: None
        # Called with an endpoint and a figure of its speed that a peer sent.
        self.on_speed: _SpeedCallback = lambda *_: None
        # Returns the figure to tell peers of an endpoint at a time.
        self.speed_of: _SpeedSource = lambda *_: None
        self._last_received: dict[str, float] = {}
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def is_sampling(self) -> bool:
        """Whether the fleet is too large for reports to all peers."""
        return self._report_interval_s > REPORT_INTERVAL_MAX_S

    def reset_silence(self) -> None:
        """Restarts silence detection after this process was paused.

        While it was paused it missed the reports of all peers.
        """
        now = asyncio.get_running_loop().time()
        self._last_received = dict.fromkeys(self._last_received, now)

    def silent_peers(self, reports: int = SILENT_AFTER_REPORTS) -> set[str]:
        """Returns the names of the peers whose reports stopped arriving.

        In a large fleet reports are infrequent and no peer counts as silent.

        Args:
            reports: Missed reports after which a peer is silent.
        """
        interval_s = self._report_interval_s
        if interval_s > _SILENCE_CHECK_INTERVAL_MAX_S:
            return set()
        now = asyncio.get_running_loop().time()
        oldest = now - reports * interval_s
        return {name for name, at in self._last_received.items() if at < oldest}

    def queue_placement(self, placement: Placement) -> None:
        """Queues a placement to be sent to the peers."""
        now = asyncio.get_running_loop().time()
        # Sends the largest prompts first: a duplicate prefill of these costs
        # most.
        bisect.insort(
            self._placements, _QueuedPlacement(placement, now), key=_size_order
        )
        self._queued_event.set()

    def queue_endpoint_down(self, endpoint: str) -> None:
        """Queues a notice that an endpoint refuses connections."""
        self._down.append(endpoint)
        self._queued_event.set()

    def send_entries(
        self, host: str, entries: Sequence[load_queries.Entry]
    ) -> bool:
        """Sends parts of loads, queries or answers to one peer.

        The speeds that are known of their endpoints go along.

        Returns:
            Whether the byte budget allowed it.
        """
        if self._transport is None:
            return False
        encoded = [
            [int(entry.kind), endpoint_digest(entry.endpoint), entry.running]
            for entry in entries
        ]
        now = asyncio.get_running_loop().time()
        speeds = self._encoded_speeds(
            [entry.endpoint for entry in entries], now
        )
        datagram = self._datagram([None, [], [], encoded, speeds])
        # An answer that is not sent makes the peer wait in vain.
        is_answer = any(
            entry.kind is load_queries.EntryKind.ANSWER for entry in entries
        )
        kind = budget.Kind.ACK if is_answer else budget.Kind.PING
        return self._send_to_peers(datagram, [host], kind, now)

    async def run(self) -> None:
        """Sends and receives reports and notices until it is cancelled.

        Raises:
            OSError: The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Protocol(self._receive),
            local_addr=(self._address.host, self._address.port),
        )
        next_report = loop.time()
        try:
            while True:
                now = loop.time()
                is_due = now >= next_report
                if is_due:
                    next_report = ticks.next_tick(now, REPORT_INTERVAL_S)
                    self._loads.expire(now)
                    self._send_report(now)
                self._send_notices(now)
                await self._wait(next_report - loop.time())
        finally:
            self._transport.close()

    async def _wait(self, seconds: float) -> None:
        if self._placements or self._down:
            await asyncio.sleep(BATCH_DELAY_S)
            return
        self._queued_event.clear()
        timer = asyncio.get_running_loop().call_later(
            max(0.0, seconds), self._queued_event.set
        )
        try:
            await self._queued_event.wait()
        finally:
            timer.cancel()
        if self._placements or self._down:
            await asyncio.sleep(BATCH_DELAY_S)

    def _send_report(self, now: float) -> None:
        """Sends this gateway's loads, or relays observations.

        Sends nothing if the next report is not due or exceeds the budget.
        """
        hosts = self._peers()
        datagram = self._datagram([self._encoded_loads(), [], [], [], []])
        self._report_interval_s = max(
            REPORT_INTERVAL_S, self._interval_s(datagram, hosts)
        )
        if self.is_sampling:
            if now < self._next_report:
                return
            observations = [
                [endpoint_digest(endpoint), running, int(age_s * 1000)]
                for endpoint, running, age_s in self._loads.select_observations(
                    now
                )
            ]
            if not observations:
                return
            datagram = self._datagram([None, [], [], [], observations])
            hosts = [self._rng.choice(hosts)]
        if now < self._next_report:
            return
        if self._send_to_peers(datagram, hosts, budget.Kind.LINK, now):
            share = RELAY_BUDGET_SHARE if self.is_sampling else 1.0
            interval_s = self._interval_s(datagram, hosts) / share
            self._next_report = now + interval_s

    def _interval_s(self, datagram: bytes, hosts: Sequence[str]) -> float:
        """Returns the time in which the report budget pays for one report."""
        size = (len(datagram) + _HEADER_BYTES) * len(hosts)
        return size / (REPORT_BUDGET_SHARE * BUDGET_BYTES_PER_S)

    def _send_notices(self, now: float) -> None:
        """Sends queued placements and down endpoints.

        Those that do not fit the datagram or the budget remain queued.
        """
        oldest = now - PLACEMENT_LIFETIME_S
        self._placements = [
            queued for queued in self._placements if queued.at > oldest
        ]
        placements = self._next_placements()
        down = self._down[:_NOTICES_PER_DATAGRAM_MAX]
        if not (placements or down):
            return
        datagram = self._datagram([None, placements, down, [], []])
        hosts = self._peers()
        if self._send_to_peers(datagram, hosts, budget.Kind.UPDATE, now):
            del self._placements[: len(placements)]
            del self._down[: len(down)]

    def _datagram(self, content: list[object]) -> bytes:
        body = cbor2.dumps([self._name, *content])
        return body + self._mac(body)

    def _send_to_peers(
        self,
        datagram: bytes,
        hosts: Sequence[str],
        kind: budget.Kind,
        now: float,
    ) -> bool:
        """Sends a datagram to all peers if the budget allows it.

        Returns:
            Whether it was sent.
        """
        size = (len(datagram) + _HEADER_BYTES) * len(hosts)
        if not self._budget.spend(kind, size, now):
            return False
        assert self._transport is not None
        for host in hosts:
            self._transport.sendto(datagram, (host, self._address.port))
        return True

    def _encoded_loads(self) -> dict[bytes, list[int]]:
        return {
            endpoint_digest(name): list(load)
            for name, load in self._loads.own.items()
        }

    def _encoded_speeds(
        self, endpoints: Iterable[str], now: float
    ) -> list[list[object]]:
        return [
            [
                endpoint_digest(endpoint) + _SPEED_MARK,
                figure.percent,
                int((now - figure.at) * 1000),
            ]
            for endpoint in endpoints
            if (figure := self.speed_of(endpoint, now)) is not None
        ]

    def _next_placements(self) -> list[list[object]]:
        """Returns the encoded placements that come next and fit a datagram."""
        encoded: list[list[object]] = []
        size = 0
        for placement, _ in self._placements:
            parts = [field for part in placement.parts for field in part]
            prefill_ms = int(placement.prefill_s * 1000)
            digest = endpoint_digest(placement.endpoint)
            entry: list[object] = [digest, prefill_ms, *parts]
            size += len(cbor2.dumps(entry))
            if size > DATAGRAM_BYTES_MAX / 2 and encoded:
                break
            encoded.append(entry)
        return encoded

    def _receive(self, data: bytes) -> None:
        body, mac = data[:-_MAC_BYTES], data[-_MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(body)):
            log.emit(events.DATAGRAM_FORGED, source="loads")
            return
        try:
            self._apply(body)
        except (cbor2.CBORDecodeError, TypeError, ValueError) as caught:
            log.emit(
                events.DATAGRAM_MALFORMED, source="loads", reason=str(caught)
            )

    def _apply(self, body: bytes) -> None:
        name, loads, placements, down, entries, observations = cbor2.loads(body)
        self._last_received[str(name)] = asyncio.get_running_loop().time()
        names_by_digest = self._endpoint_names()
        if loads is not None:
            reported = {
                names_by_digest[digest]: dispatch.Load(*load)
                for digest, load in loads.items()
                if digest in names_by_digest
            }
            now = asyncio.get_running_loop().time()
            self._loads.record_report(name, reported, now)
        for digest, figure, age_ms in observations:
            at = asyncio.get_running_loop().time() - max(0, age_ms) / 1000
            if digest in names_by_digest:
                self._loads.record_observation(
                    names_by_digest[digest], int(figure), at
                )
            elif (
                digest.endswith(_SPEED_MARK)
                and (endpoint := names_by_digest.get(digest[:-1])) is not None
            ):
                self.on_speed(endpoint, endpoint_speeds.Figure(int(figure), at))
        if entries:
            received = [
                load_queries.Entry(
                    load_queries.EntryKind(kind),
                    names_by_digest[digest],
                    max(0, int(running)),
                )
                for kind, digest, running in entries
                if digest in names_by_digest
            ]
            self.on_entries(str(name), received)
        received_placements = [
            Placement(
                names_by_digest[digest], prefill_ms / 1000, _parts(fields)
            )
            for digest, prefill_ms, *fields in placements
            if digest in names_by_digest
        ]
        if received_placements or down:
            self._on_peer_update(
                PeerUpdate(
                    received_placements, [str(endpoint) for endpoint in down]
                )
            )

    def _endpoint_names(self) -> dict[bytes, str]:
        """Returns the names of all endpoints by digest."""
        endpoints = self._endpoints()
        if endpoints is not self._named:
            self._named = endpoints
            self._names_by_digest = {
                endpoint_digest(endpoint): endpoint for endpoint in endpoints
            }
        return self._names_by_digest

    def _mac(self, body: bytes) -> bytes:
        return hmac.digest(self._key, body, "sha256")[:_MAC_BYTES]


def _parts(fields: list[object]) -> tuple[calls.PromptPart, ...]:
    pairs = zip(fields[::2], fields[1::2], strict=True)
    return tuple(
        calls.PromptPart(str(identity), int(str(tokens)))
        for identity, tokens in pairs
    )
