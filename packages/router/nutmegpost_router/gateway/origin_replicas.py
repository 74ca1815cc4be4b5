"""Keeps the origins of streams at the gateways that rendezvous hashing names.

Each gateway that knows an origin tells it to those of its holders that may lack
it: to all of them when it is new, and later to those that joined, restarted, or
replaced a holder that is gone. A stream thus keeps its origin while gateways
are stopped and started in turn.
"""

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

import cbor2

from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import origin_holders
from nutmegpost_core import stream_origins
from nutmegpost_core import vms
from nutmegpost_router import http_client
from nutmegpost_router import log

__all__ = ["PATH", "OriginReplicas", "Peer", "PeersByName", "decode", "encode"]

PATH = "/stream-origins"
# Delay before peers are told, so that origins within it share a message.
_BATCH_DELAY_S = 0.03
_TIMEOUT_S = 0.4
# Delay before a peer that did not take origins is told again. One that starts
# is known to its peers before it listens.
_RETRY_DELAY_S = 0.3
# Interval at which the peers are compared to those of the last comparison.
_PEERS_INTERVAL_S = 0.25
_ENTRIES_PER_MESSAGE_MAX = 500
# Streams whose holders are computed without giving way to other tasks.
_STREAMS_PER_STEP = 100


class Peer(NamedTuple):
    """Another gateway.

    Attributes:
        address: Its control address.
        incarnation: Changes when it restarts, and with it loses its origins.
    """

    address: vms.Address
    incarnation: int


PeersByName = Callable[[], Mapping[str, Peer]]


class OriginReplicas:
    """The origins of streams that this gateway keeps at its peers."""

    def __init__(
        self,
        own_name: str,
        origins: stream_origins.StreamOrigins,
        client: http_client.Client,
        peers: PeersByName,
    ):
        """Creates a task that has told no peer anything.

        Args:
            own_name: Name of this gateway.
            origins: The origins that it knows.
            client: Connections to peers.
            peers: Returns the live peers by name.
        """
        self._own_name = own_name
        self._origins = origins
        self._client = client
        self._peers = peers
        self._holders = origin_holders.HolderTable(own_name)
        self._untold: set[bytes] = set()
        self._untold_event = asyncio.Event()
        # Set while streams are held, so that the peers are compared.
        self._has_streams = asyncio.Event()
        self._messages: set[asyncio.Task[None]] = set()

    def tell(self, attempts: Iterable[bytes]) -> None:
        """Tells the holders of streams all that is known of their origins.

        Args:
            attempts: Digests of the attempts that began them.
        """
        for attempt in attempts:
            self._holders.add(attempt)
            self._has_streams.set()
            self._queue(attempt)

    def record_told(self, attempts: Iterable[bytes]) -> None:
        """Records streams whose holders have been told by another gateway."""
        self._holders.update(_incarnations(self._peers()))
        for attempt in attempts:
            # What this gateway is to tell of a known stream may be newer.
            if attempt not in self._holders:
                self._holders.add(attempt)
                self._holders.take_untold(attempt)
                self._has_streams.set()

    def holders(self, attempt: bytes) -> dict[str, vms.Address]:
        """Returns the peers that may know an origin, by name."""
        peers = self._peers()
        names = origin_holders.holders(attempt, [self._own_name, *peers])
        return {name: peers[name].address for name in names if name in peers}

    def retain(self) -> None:
        """Discards what is known of streams whose origins have expired."""
        self._holders.retain(self._origins)
        if not self._holders.attempts:
            self._has_streams.clear()

    async def run(self) -> None:
        """Tells peers what they lack, until it is cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._tell_untold())
            group.create_task(self._watch_peers())

    def _queue(self, attempt: bytes) -> None:
        self._untold.add(attempt)
        self._untold_event.set()

    async def _watch_peers(self) -> None:
        """Finds holders that lack origins after each change of the peers."""
        compared_version = self._holders.version
        while True:
            await self._has_streams.wait()
            await asyncio.sleep(_PEERS_INTERVAL_S)
            self._holders.update(_incarnations(self._peers()))
            if self._holders.version == compared_version:
                continue
            compared_version = self._holders.version
            found = 0
            for number, attempt in enumerate(self._holders.attempts):
                if number % _STREAMS_PER_STEP == 0:
                    await asyncio.sleep(0)
                if self._holders.untold(attempt):
                    self._queue(attempt)
                    found += 1
            if found:
                log.emit(
                    events.ORIGINS_REPLICATED,
                    count=found,
                    gateways=" ".join(sorted(self._peers())),
                )

    async def _tell_untold(self) -> None:
        while True:
            await self._untold_event.wait()
            await asyncio.sleep(_BATCH_DELAY_S)
            self._untold_event.clear()
            untold, self._untold = self._untold, set()
            peers = self._peers()
            self._holders.update(_incarnations(peers))
            by_holder: dict[str, list[bytes]] = {}
            for attempt in untold:
                for name in self._holders.take_untold(attempt):
                    by_holder.setdefault(name, []).append(attempt)
            for name, attempts in by_holder.items():
                self._send(name, peers[name], attempts)

    def _send(self, name: str, peer: Peer, attempts: list[bytes]) -> None:
        """Sends origins in tasks, so that no peer delays the others."""
        for start in range(0, len(attempts), _ENTRIES_PER_MESSAGE_MAX):
            batch = attempts[start : start + _ENTRIES_PER_MESSAGE_MAX]
            self._start(self._post(name, peer, batch))

    def _start(self, message: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(message)
        self._messages.add(task)
        task.add_done_callback(self._messages.discard)

    async def _post(self, name: str, peer: Peer, attempts: list[bytes]) -> None:
        """Sends a peer what is known, and queues it again if that fails."""
        entries = [
            entry
            for attempt in attempts
            for entry in self._origins.find(attempt)
        ]
        try:
            await self._client.request(
                peer.address,
                "POST",
                PATH,
                {},
                encode(entries),
                timeout_s=_TIMEOUT_S,
            )
            return
        except errors.PeerError as caught:
            log.emit(events.ORIGINS_UNSENT, peer=name, reason=str(caught))
        await asyncio.sleep(_RETRY_DELAY_S)
        for attempt in attempts:
            self._holders.set_untold(attempt, name, peer.incarnation)
            self._queue(attempt)


def encode(entries: Sequence[stream_origins.OriginEntry]) -> bytes:
    """Returns entries as they are sent to a peer."""
    now = _now()
    return cbor2.dumps(
        [
            [attempt, *origin, int((expires - now) * 1000)]
            for attempt, origin, expires in entries
        ]
    )


def decode(body: bytes) -> list[stream_origins.OriginEntry]:
    """Returns the entries that a peer sent.

    Raises:
        cbor2.CBORDecodeError, TypeError, ValueError: They are malformed.
    """
    now = _now()
    return [
        stream_origins.OriginEntry(
            bytes(attempt),
            stream_origins.Origin(str(service), str(software)),
            now + int(lifetime_ms) / 1000,
        )
        for attempt, service, software, lifetime_ms in cbor2.loads(body)
    ]


def _incarnations(peers: Mapping[str, Peer]) -> dict[str, int]:
    return {name: peer.incarnation for name, peer in peers.items()}


def _now() -> float:
    return asyncio.get_running_loop().time()
