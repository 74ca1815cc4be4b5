"""Loads and placements that gateways tell one another.

Each gateway sends its own part of every endpoint's load to each peer, as often
as its budget of bytes allows. With it go the prompts that it placed where it
had not placed them before, so that its peers know of the caches.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping
import hmac
from typing import NamedTuple

import cbor2

from nutmegpost_core import calls
from nutmegpost_core import dispatch
from nutmegpost_core import events
from nutmegpost_core import vms
from nutmegpost_router import log

__all__ = ["Loads", "LoadSharing", "Placement", "interval_s"]

# Least time between two reports.
INTERVAL_MIN_S = 0.1
# Bytes of reports that a gateway sends in a second; letter 1 allows 2 KB.
BUDGET_BYTES_S = 2_000.0
# A report of a gateway that fell silent counts no longer than this.
REPORT_LIFETIME_S = 2.0
# Times that a placement is sent, against lost datagrams.
PLACEMENT_REPEATS = 2
DATAGRAM_BYTES_MAX = 1_200
_MAC_BYTES = 8
_HEADER_BYTES = 28
_MAC_PURPOSE = b"nutmegpost loads"


class Placement(NamedTuple):
    """A prompt that an endpoint read."""

    endpoint: str
    parts: tuple[calls.Part, ...]


class _Report(NamedTuple):
    at: float
    loads: dict[str, dispatch.Load]


class Loads:
    """The load of each endpoint over all gateways."""

    def __init__(self) -> None:
        self._own: dict[str, dispatch.Load] = {}
        self._reports: dict[str, _Report] = {}

    @property
    def own(self) -> Mapping[str, dispatch.Load]:
        """This gateway's part, by endpoint."""
        return self._own

    def add(self, endpoint: str, running: int, unread_tokens: int) -> None:
        """Changes this gateway's part."""
        load = self._own.get(endpoint, dispatch.Load())
        changed = dispatch.Load(
            load.running + running, load.unread_tokens + unread_tokens
        )
        if changed.running or changed.unread_tokens:
            self._own[endpoint] = changed
        else:
            self._own.pop(endpoint, None)

    def reported(
        self, peer: str, loads: dict[str, dispatch.Load], now: float
    ) -> None:
        """Takes the part of a peer, which replaces its last one."""
        self._reports[peer] = _Report(now, loads)

    def expire(self, now: float) -> None:
        """Forgets the parts of peers that fell silent."""
        for peer, report in list(self._reports.items()):
            if now - report.at > REPORT_LIFETIME_S:
                del self._reports[peer]

    def age_s(self, now: float) -> float:
        """Returns the age of the oldest part that counts."""
        return max(
            (now - item.at for item in self._reports.values()), default=0
        )

    def total(self, endpoint: str) -> dispatch.Load:
        """Returns the load of an endpoint over all gateways."""
        running, unread = self._own.get(endpoint, dispatch.Load())
        for report in self._reports.values():
            part = report.loads.get(endpoint)
            if part is not None:
                running += part.running
                unread += part.unread_tokens
        return dispatch.Load(running, unread)


def interval_s(peers: int, size: int) -> float:
    """Returns the time between two reports.

    Args:
        peers: Gateways that get each report.
        size: Bytes of a report.
    """
    return max(INTERVAL_MIN_S, peers * (size + _HEADER_BYTES) / BUDGET_BYTES_S)


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, deliver: Callable[[bytes], None]):
        self._deliver = deliver

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._deliver(data)

    def error_received(self, exc: Exception) -> None:
        # A peer that is down is noticed by its membership.
        pass


class LoadSharing:
    """The task that owns the socket for reports."""

    def __init__(
        self,
        name: str,
        address: str,
        key: str,
        loads: Loads,
        peers: Callable[[], Iterable[str]],
        on_placement: Callable[[Placement], None],
    ):
        """Prepares the task.

        Args:
            name: Name of this gateway.
            address: Where reports arrive; peers use the same port.
            key: Secret shared by the gateways.
            loads: Loads to report and to fill.
            peers: Gives the hosts of the peers.
            on_placement: Told of each placement of a peer.
        """
        self._name = name
        self._address = vms.parse_address(address)
        self._key = hmac.digest(key.encode(), _MAC_PURPOSE, "sha256")
        self._loads = loads
        self._peers = peers
        self._on_placement = on_placement
        self._placements: list[tuple[Placement, int]] = []
        self._transport: asyncio.DatagramTransport | None = None
        self._sent_bytes = 0

    @property
    def sent_bytes(self) -> int:
        """Bytes sent since the start, headers of UDP and IP included."""
        return self._sent_bytes

    def placed(self, placement: Placement) -> None:
        """Tells peers of a placement with the next reports."""
        self._placements.append((placement, PLACEMENT_REPEATS))

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
        try:
            while True:
                hosts = list(self._peers())
                size = self._report(hosts)
                await asyncio.sleep(interval_s(len(hosts), size))
                self._loads.expire(loop.time())
        finally:
            self._transport.close()

    def _report(self, hosts: list[str]) -> int:
        body = cbor2.dumps([self._name, self._encoded_loads(), self._due()])
        datagram = body + self._mac(body)
        assert self._transport is not None
        for host in hosts:
            self._transport.sendto(datagram, (host, self._address.port))
            self._sent_bytes += len(datagram) + _HEADER_BYTES
        return len(datagram)

    def _encoded_loads(self) -> dict[str, list[int]]:
        return {name: list(load) for name, load in self._loads.own.items()}

    def _due(self) -> list[list[object]]:
        found: list[list[object]] = []
        kept: list[tuple[Placement, int]] = []
        size = 0
        for placement, repeats in self._placements:
            size += 20 + 24 * len(placement.parts)
            if size > DATAGRAM_BYTES_MAX / 2:
                kept.append((placement, repeats))
                continue
            found.append([placement.endpoint, *map(list, placement.parts)])
            if repeats > 1:
                kept.append((placement, repeats - 1))
        self._placements = kept
        return found

    def _receive(self, data: bytes) -> None:
        body, mac = data[:-_MAC_BYTES], data[-_MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(body)):
            log.emit(events.DATAGRAM_FORGED, source="loads")
            return
        try:
            name, loads, placements = cbor2.loads(body)
            found = {
                endpoint: dispatch.Load(*load)
                for endpoint, load in loads.items()
            }
            placed = [
                Placement(endpoint, tuple(calls.Part(*part) for part in parts))
                for endpoint, *parts in placements
            ]
        except (cbor2.CBORDecodeError, TypeError, ValueError) as caught:
            log.emit(
                events.DATAGRAM_MALFORMED, source="loads", reason=str(caught)
            )
            return
        now = asyncio.get_running_loop().time()
        self._loads.reported(name, found, now)
        for placement in placed:
            self._on_placement(placement)

    def _mac(self, body: bytes) -> bytes:
        return hmac.digest(self._key, body, "sha256")[:_MAC_BYTES]
