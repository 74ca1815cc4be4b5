"""Loads and placements that gateways tell one another.

Each gateway tells every peer its own part of each endpoint's load. In a large
fleet these reports would come too seldom; there it hands on what endpoints told
of their whole load, of which one telling serves all. The prompts
that it placed where they had not been before go out at once, so that its peers
know of the caches, and so do endpoints that it found down. A budget of bytes
bounds all of it; loads wait for room first.
"""

import asyncio
import bisect
from collections.abc import Callable, Iterable, Mapping
import hmac
from typing import NamedTuple

import cbor2
import xxhash

from nutmegpost_core import budget
from nutmegpost_core import calls
from nutmegpost_core import dispatch
from nutmegpost_core import events
from nutmegpost_core import vms
from nutmegpost_router import log

__all__ = [
    "SILENT_REPORTS",
    "LoadSharing",
    "Loads",
    "Placement",
    "PeerUpdate",
    "endpoint_digest",
]

# Time between two reports of loads.
INTERVAL_S = 0.2
# Part of the budget of bytes that reports of loads may take. Where they would
# come less often than they live, they are not sent; endpoints tell their load.
REPORTS_SHARE = 0.6
# A placement that found no room for this time is old update.
PLACEMENT_LIFETIME_S = 1.0
# Placements that were made within this time share a datagram.
GATHERING_S = 0.02
# Bytes that a gateway sends in a second; letter 1 allows 2 KB.
BUDGET_BYTES_S = 2_000.0
# Bytes that a gateway saves up for a burst of placements.
BUDGET_BURST_BYTES = 24_000.0
# A report of a gateway that fell silent counts no longer than this.
REPORT_LIFETIME_S = 2.0
# What an endpoint told of its load with an answer counts no longer than this.
OBSERVATION_LIFETIME_S = 1.0
# Loads of endpoints that one report hands on.
OBSERVATIONS_TOLD = 12
DATAGRAM_BYTES_MAX = 1_200
# A peer that sent nothing for this many of its reports is silent; a link that
# loses a fifth of its packets loses so many in a row once in 125 times.
SILENT_REPORTS = 3
# Slower reports tell nothing of a peer before its membership does.
_WATCHED_INTERVAL_S = 0.5
# Endpoints, and charges, that fit into a datagram beside placements.
_TOLD_MAX = 10
_ENDPOINT_BYTES = 4
_MAC_BYTES = 8
_HEADER_BYTES = 28
_MAC_PURPOSE = b"nutmegpost loads"


class Placement(NamedTuple):
    """A prompt that an endpoint reads.

    Attributes:
        endpoint: Name of the endpoint.
        prefill_s: Seconds that it will probably take from now on.
        parts: Parts of the prompt.
    """

    endpoint: str
    prefill_s: float
    parts: tuple[calls.PromptPart, ...]


class _Report(NamedTuple):
    at: float
    loads: dict[str, dispatch.Load]


class Loads:
    """The load of each endpoint over all gateways."""

    def __init__(self) -> None:
        self._own: dict[str, dispatch.Load] = {}
        self._reports: dict[str, _Report] = {}
        self._observed: dict[str, tuple[float, int]] = {}
        self._fresh: dict[str, tuple[float, int]] = {}

    @property
    def own(self) -> Mapping[str, dispatch.Load]:
        """This gateway's part, by endpoint."""
        return self._own

    def add(self, endpoint: str, running: int, unread_tokens: int) -> None:
        """Changes this gateway's part."""
        load = self._own.get(endpoint, dispatch.Load())
        changed = dispatch.Load(
            load.running + running,
            load.pending_prefill_tokens + unread_tokens,
        )
        if changed.running or changed.pending_prefill_tokens:
            self._own[endpoint] = changed
        else:
            self._own.pop(endpoint, None)

    def reported(
        self, peer: str, loads: dict[str, dispatch.Load], now: float
    ) -> None:
        """Takes the part of a peer, which replaces its last one."""
        self._reports[peer] = _Report(now, loads)

    def observed(self, endpoint: str, running: int, now: float) -> None:
        """Takes what an endpoint told of its load over all gateways."""
        own = self._own.get(endpoint, dispatch.Load()).running
        self._observed[endpoint] = now, max(0, running - own)
        self._fresh[endpoint] = now, running

    def handed_on(self, endpoint: str, running: int, at: float) -> None:
        """Takes what a peer was told by an endpoint.

        Args:
            endpoint: Name of the endpoint.
            running: Its load over all gateways.
            at: Monotonic time at which it told, seconds.
        """
        if at > self._observed.get(endpoint, (0.0, 0))[0]:
            own = self._own.get(endpoint, dispatch.Load()).running
            self._observed[endpoint] = at, max(0, running - own)

    def take_fresh(self, now: float) -> list[tuple[str, int, float]]:
        """Returns what endpoints told since the last call, the highest first.

        Returns:
            Name, load over all gateways, and age in seconds of each.
        """
        found = [
            (endpoint, running, now - at)
            for endpoint, (at, running) in self._fresh.items()
            if now - at <= OBSERVATION_LIFETIME_S
        ]
        self._fresh.clear()
        found.sort(key=lambda item: -item[1])
        return found[:OBSERVATIONS_TOLD]

    def expire(self, now: float) -> None:
        """Forgets the parts of peers that fell silent, and old tellings."""
        for endpoint, (at, _) in list(self._observed.items()):
            if now - at > OBSERVATION_LIFETIME_S:
                del self._observed[endpoint]
        for peer, report in list(self._reports.items()):
            if now - report.at > REPORT_LIFETIME_S:
                del self._reports[peer]

    def age_s(self, now: float) -> float:
        """Returns the age of the oldest part that counts."""
        return max(
            (now - item.at for item in self._reports.values()), default=0
        )

    def total(self, endpoint: str) -> dispatch.Load:
        """Returns the load of an endpoint over all gateways.

        The peers' part is what they report or what the endpoint told of late,
        whichever is more: reports come seldom in a large fleet.
        """
        running, unread = self._own.get(endpoint, dispatch.Load())
        others = 0
        for report in self._reports.values():
            part = report.loads.get(endpoint)
            if part is not None:
                others += part.running
                unread += part.pending_prefill_tokens
        _, told = self._observed.get(endpoint, (0.0, 0))
        return dispatch.Load(running + max(others, told), unread)


def endpoint_digest(name: str) -> bytes:
    """Returns the short form of the name of an endpoint in datagrams."""
    return xxhash.xxh3_64_digest(name.encode())[:_ENDPOINT_BYTES]


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, deliver: Callable[[bytes], None]):
        self._deliver = deliver

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._deliver(data)

    def error_received(self, exc: Exception) -> None:
        # A peer that is down is noticed by its membership.
        pass


class _Queued(NamedTuple):
    placement: Placement
    at: float


def _urgency(queued: _Queued) -> int:
    return -sum(part.tokens for part in queued.placement.parts)


class PeerUpdate(NamedTuple):
    """What a peer tells beside its loads.

    Attributes:
        placements: Prompts that it placed.
        down: Names of endpoints that refuse connections.
        charges: Requests by digest, each with an endpoint that crashed while
            it ran the request.
    """

    placements: list[Placement]
    down: list[str]
    charges: list[tuple[str, str]]


class LoadSharing:
    """The task that owns the socket for reports."""

    def __init__(
        self,
        name: str,
        address: str,
        key: str,
        loads: Loads,
        peers: Callable[[], Iterable[str]],
        endpoints: Callable[[], Iterable[str]],
        on_told: Callable[[PeerUpdate], None],
    ):
        """Prepares the task.

        Args:
            name: Name of this gateway.
            address: Where reports arrive; peers use the same port.
            key: Secret shared by the gateways.
            loads: Loads to report and to fill.
            peers: Gives the hosts of the peers.
            endpoints: Gives the names of all endpoints.
            on_told: PeerUpdate of what a peer tells beside its loads.
        """
        self._name = name
        self._address = vms.parse_address(address)
        self._key = hmac.digest(key.encode(), _MAC_PURPOSE, "sha256")
        self._loads = loads
        self._peers = peers
        self._endpoints = endpoints
        self._on_told = on_told
        self._budget = budget.Budget(BUDGET_BYTES_S, BUDGET_BURST_BYTES)
        self._placements: list[_Queued] = []
        self._down: list[str] = []
        self._charges: list[tuple[str, str]] = []
        self._waiting = asyncio.Event()
        self._next_report = 0.0
        self._report_interval_s = INTERVAL_S
        self._heard: dict[str, float] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def resumed(self) -> None:
        """Notes that this process stood still, so it missed reports."""
        now = asyncio.get_running_loop().time()
        self._heard = dict.fromkeys(self._heard, now)

    def silent(self, reports: int = SILENT_REPORTS) -> set[str]:
        """Returns the peers whose reports stopped coming.

        In a large fleet reports come seldom, and nobody is called silent.

        Args:
            reports: Reports that a peer must have missed.
        """
        interval_s = self._report_interval_s
        if interval_s > _WATCHED_INTERVAL_S:
            return set()
        now = asyncio.get_running_loop().time()
        oldest = now - reports * interval_s
        return {name for name, at in self._heard.items() if at < oldest}

    def placed(self, placement: Placement) -> None:
        """Tells the peers of a placement soon."""
        now = asyncio.get_running_loop().time()
        # The largest prompts go first: they cost most when read again.
        bisect.insort(self._placements, _Queued(placement, now), key=_urgency)
        self._waiting.set()

    def found_down(self, endpoint: str) -> None:
        """Tells the peers of an endpoint that refuses connections."""
        self._down.append(endpoint)
        self._waiting.set()

    def charged(self, digest: str, endpoint: str) -> None:
        """Tells the peers of a request that ran as an endpoint crashed."""
        self._charges.append((digest, endpoint))
        self._waiting.set()

    async def run(self) -> None:
        """Sends reports until it is cancelled.

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
                    next_report = now + INTERVAL_S
                    self._loads.expire(now)
                    self._report(now)
                self._tell(now)
                await self._wait(next_report - loop.time())
        finally:
            self._transport.close()

    async def _wait(self, seconds: float) -> None:
        if self._placements or self._down or self._charges:
            await asyncio.sleep(GATHERING_S)
            return
        self._waiting.clear()
        try:
            async with asyncio.timeout(max(0.0, seconds)):
                await self._waiting.wait()
            await asyncio.sleep(GATHERING_S)
        except TimeoutError:
            return

    def _report(self, now: float) -> None:
        """Sends this gateway's loads, or hands on what endpoints told."""
        hosts = list(self._peers())
        datagram = self._datagram([self._encoded_loads(), [], [], [], []])
        self._report_interval_s = max(
            INTERVAL_S, self._interval_s(datagram, hosts)
        )
        if self._report_interval_s > REPORT_LIFETIME_S:
            if now < self._next_report:
                return
            fresh = [
                [endpoint_digest(endpoint), running, int(age_s * 1000)]
                for endpoint, running, age_s in self._loads.take_fresh(now)
            ]
            datagram = self._datagram([None, [], [], [], fresh])
        if now < self._next_report:
            return
        if self._transmit(datagram, hosts, budget.Kind.LINK, now):
            self._next_report = now + self._interval_s(datagram, hosts)

    def _interval_s(self, datagram: bytes, hosts: list[str]) -> float:
        """Returns the time in which reports may spend what one costs."""
        size = (len(datagram) + _HEADER_BYTES) * len(hosts)
        return size / (REPORTS_SHARE * BUDGET_BYTES_S)

    def _tell(self, now: float) -> None:
        """Sends placements and endpoints that are down, if there are any."""
        oldest = now - PLACEMENT_LIFETIME_S
        self._placements = [x for x in self._placements if x.at > oldest]
        placements = self._next_placements()
        down, charges = self._down[:_TOLD_MAX], self._charges[:_TOLD_MAX]
        if not (placements or down or charges):
            return
        datagram = self._datagram([None, placements, down, charges, []])
        hosts = list(self._peers())
        if self._transmit(datagram, hosts, budget.Kind.UPDATE, now):
            del self._placements[: len(placements)]
            del self._down[: len(down)]
            del self._charges[: len(charges)]

    def _datagram(self, content: list[object]) -> bytes:
        body = cbor2.dumps([self._name, *content])
        return body + self._mac(body)

    def _transmit(
        self, datagram: bytes, hosts: list[str], kind: budget.Kind, now: float
    ) -> bool:
        """Sends a datagram to all peers, if there is room for it."""
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

    def _next_placements(self) -> list[list[object]]:
        """Returns the oldest placements, as many as a datagram takes."""
        found: list[list[object]] = []
        size = 0
        for placement, _ in self._placements:
            parts = [x for part in placement.parts for x in part]
            read_ms = int(placement.prefill_s * 1000)
            digest = endpoint_digest(placement.endpoint)
            item: list[object] = [digest, read_ms, *parts]
            size += len(cbor2.dumps(item))
            if size > DATAGRAM_BYTES_MAX / 2 and found:
                break
            found.append(item)
        return found

    def _receive(self, data: bytes) -> None:
        body, mac = data[:-_MAC_BYTES], data[-_MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(body)):
            log.emit(events.DATAGRAM_FORGED, source="loads")
            return
        try:
            self._take(body)
        except (cbor2.CBORDecodeError, TypeError, ValueError) as caught:
            log.emit(
                events.DATAGRAM_MALFORMED, source="loads", reason=str(caught)
            )

    def _take(self, body: bytes) -> None:
        name, loads, placements, down, charges, told_loads = cbor2.loads(body)
        self._heard[str(name)] = asyncio.get_running_loop().time()
        names = {endpoint_digest(item): item for item in self._endpoints()}
        if loads is not None:
            found = {
                names[digest]: dispatch.Load(*load)
                for digest, load in loads.items()
                if digest in names
            }
            now = asyncio.get_running_loop().time()
            self._loads.reported(name, found, now)
        for digest, running, age_ms in told_loads:
            if digest in names:
                at = asyncio.get_running_loop().time() - age_ms / 1000
                self._loads.handed_on(names[digest], int(running), at)
        told = [
            Placement(names[digest], read_ms / 1000, _parts(fields))
            for digest, read_ms, *fields in placements
            if digest in names
        ]
        if told or down or charges:
            charged = [(str(digest), str(item)) for digest, item in charges]
            self._on_told(
                PeerUpdate(told, [str(item) for item in down], charged)
            )

    def _mac(self, body: bytes) -> bytes:
        return hmac.digest(self._key, body, "sha256")[:_MAC_BYTES]


def _parts(fields: list[object]) -> tuple[calls.PromptPart, ...]:
    pairs = zip(fields[::2], fields[1::2], strict=True)
    return tuple(
        calls.PromptPart(str(name), int(str(size))) for name, size in pairs
    )
