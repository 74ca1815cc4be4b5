"""Follows the configuration and the VM list.

Two tasks hold a long poll each at the platform. A third one fetches the
configuration from a peer that has a higher version. All answers go through
`acceptance`, and what changed goes out as a message.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
import random
from typing import Any, NamedTuple

from nutmegpost_core import acceptance
from nutmegpost_core import configuration
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import vms
from nutmegpost_router import http_client
from nutmegpost_router import log
from nutmegpost_router import platform

__all__ = [
    "CONFIGURATION_WAIT_S",
    "PEER_TIMEOUT_S",
    "VMS_WAIT_S",
    "ConfigurationInForce",
    "VmsChanged",
    "Watcher",
]

# A watch on a connection that went silent is noticed when it ends, so the
# wait bounds how late a change can be.
CONFIGURATION_WAIT_S = 2.5
VMS_WAIT_S = 5.0
BACKOFF_LEAST_S = 0.25
BACKOFF_MOST_S = 3.0
PEER_TIMEOUT_S = 1.0
PEER_DELAY_S = 0.5
PEER_TRIES_MAX = 10

_FetchFromPeer = Callable[[str], Awaitable[bytes]]


class ConfigurationInForce(NamedTuple):
    """A configuration came into force.

    Attributes:
        published: The configuration.
    """

    published: configuration.Published


class VmsChanged(NamedTuple):
    """The VM list changed.

    Attributes:
        listed: The list.
    """

    listed: vms.VmList


class _Backoff:
    """Time to wait after a failed read, with jitter."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._limit_s = BACKOFF_LEAST_S

    def failed(self) -> float:
        """Returns the seconds to wait now."""
        delay = self._rng.uniform(BACKOFF_LEAST_S / 2, self._limit_s)
        self._limit_s = min(BACKOFF_MOST_S, self._limit_s * 2)
        return delay

    def succeeded(self) -> None:
        """Starts again with the least wait."""
        self._limit_s = BACKOFF_LEAST_S


class _Ahead:
    """A peer with a higher version."""

    def __init__(self, version: int, digest: str):
        self.version = version
        self.digest = digest
        self.tries = 0


class Watcher:
    """Keeps the configuration and the VM list up to date."""

    def __init__(
        self,
        address: vms.Address,
        client: http_client.Client,
        accepted: acceptance.Acceptance,
        outbox: "asyncio.Queue[Any]",
        fetch_from_peer: _FetchFromPeer,
        rng: random.Random | None = None,
    ):
        """Prepares the tasks.

        Args:
            address: Where the platform is.
            client: The HTTP client.
            accepted: Holds the configuration in force; changed only here but
                for its floor.
            outbox: Gets `ConfigurationInForce` and `VmsChanged`.
            fetch_from_peer: Returns the document in force at a peer, or
                raises `errors.PeerError`.
            rng: Source of the jitter.
        """
        self._address = address
        self._client = client
        self._accepted = accepted
        self._outbox = outbox
        self._fetch_from_peer = fetch_from_peer
        self._rng = rng or random.Random()
        self._vm_version = -1
        self._peers: dict[str, _Ahead] = {}
        self._news = asyncio.Event()
        self._refresh = asyncio.Event()
        self._reported: dict[str, acceptance.Verdict] = {}
        self._read_at: float | None = None
        self._is_failing = False

    @property
    def read_age_s(self) -> float:
        """Seconds since the platform last answered about the configuration."""
        if self._read_at is None:
            return float("inf")
        return self._now() - self._read_at

    def peer_has(self, name: str, version: int, digest: str = "") -> None:
        """Takes note of what is in force at a peer.

        Args:
            name: Name of the peer.
            version: Its version.
            digest: Its digest, whole or cut; empty when it is not known.
        """
        if not self._accepted.compare(version, digest):
            log.emit(
                events.CONFIGURATION_CONFLICT,
                source=name,
                digest=digest,
                version=version,
            )
        if version > self._accepted.version:
            self._peers[name] = _Ahead(version, digest)
            self._news.set()

    def refresh(self) -> None:
        """Reads again at once, as after a pause of the process."""
        self._refresh.set()

    async def run(self) -> None:
        """Runs the tasks until they are cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch_configuration())
            group.create_task(self._watch_vms())
            group.create_task(self._follow_peers())

    # Configuration

    async def _watch_configuration(self) -> None:
        backoff = _Backoff(self._rng)
        while True:
            delay = await self._read_configuration(backoff)
            await self._sleep(delay)

    async def _read_configuration(self, backoff: _Backoff) -> float:
        """Reads once; returns the seconds to wait before the next read."""
        is_urgent = self._refresh.is_set() or not self._accepted.version
        self._refresh.clear()
        wait_s = 0.0 if is_urgent else self._jittered(CONFIGURATION_WAIT_S)
        reading = platform.read_configuration(
            self._client, self._address, self._accepted.version, wait_s
        )
        began = self._now()
        try:
            value = await self._until_refresh(reading)
        except errors.PlatformError as caught:
            self._failed(caught)
            return backoff.failed()
        if self._refresh.is_set():
            return 0.0
        self._answered()
        if value is not None:
            is_useful = self.consider(value.data, "platform")
        else:
            is_useful = is_urgent or self._now() - began > wait_s / 2
        if not is_useful or not self._accepted.version:
            return backoff.failed()
        backoff.succeeded()
        return 0.0

    def consider(self, data: bytes, source: str) -> bool:
        """Takes a document into force if that is allowed.

        Args:
            data: The document.
            source: Where it came from.

        Returns:
            Whether it came into force.
        """
        verdict = self._accepted.consider(data, source)
        if isinstance(verdict, acceptance.Accepted):
            published = verdict.published
            self._reported.clear()
            log.emit(
                events.CONFIGURATION_ACCEPTED,
                version=published.version,
                digest=published.digest[:12],
                source=source,
            )
            self._compare_peers(published.version)
            self._outbox.put_nowait(ConfigurationInForce(published))
            return True
        if str(self._reported.get(source)) != str(verdict):
            self._reported[source] = verdict
            _report(verdict, source)
        return False

    async def confirm(self) -> bool:
        """Reads the configuration now, as before an order to an engine.

        Returns:
            Whether the platform and the peers that were heard have nothing
            newer than what is in force.
        """
        version = self._accepted.version
        try:
            value = await platform.read_configuration(
                self._client, self._address, version, 0.0
            )
        except errors.PlatformError as caught:
            self._failed(caught)
            return False
        self._answered()
        if value is not None:
            self.consider(value.data, "platform")
        is_same = self._accepted.version == version
        return is_same and not self._accepted.is_behind

    # Peers

    def _compare_peers(self, version: int) -> None:
        # A peer that was ahead tells its digest once, before there is
        # anything here to compare it with.
        for name, ahead in list(self._peers.items()):
            if ahead.version == version:
                self.peer_has(name, version, ahead.digest)

    async def _follow_peers(self) -> None:
        while True:
            await self._news.wait()
            self._news.clear()
            # The own watch brings the change at about the same time.
            if self._accepted.version and not self._is_failing:
                await asyncio.sleep(PEER_DELAY_S * self._rng.random())
            while self._drop_peers_behind():
                await self._read_from_peer(self._rng.choice([*self._peers]))

    def _drop_peers_behind(self) -> bool:
        """Forgets peers of no use; returns whether any is left."""
        version = self._accepted.version
        self._peers = {
            name: ahead
            for name, ahead in self._peers.items()
            if ahead.version > version and ahead.tries < PEER_TRIES_MAX
        }
        return bool(self._peers)

    async def _read_from_peer(self, name: str) -> None:
        ahead = self._peers[name]
        ahead.tries += 1
        try:
            data = await self._fetch_from_peer(name)
        except errors.PeerError as caught:
            log.emit(events.PEER_READ_FAILED, peer=name, reason=str(caught))
            await asyncio.sleep(PEER_DELAY_S * self._rng.random())
            return
        if not self.consider(data, name):
            self._peers.pop(name, None)

    # VM list

    async def _watch_vms(self) -> None:
        backoff = _Backoff(self._rng)
        while True:
            delay = await self._read_vms(backoff)
            await self._sleep(delay)

    async def _read_vms(self, backoff: _Backoff) -> float:
        is_first = self._vm_version < 0
        wait_s = 0.0 if is_first else self._jittered(VMS_WAIT_S)
        began = self._now()
        try:
            value = await platform.read_vms(
                self._client, self._address, self._vm_version, wait_s
            )
        except errors.PlatformError as caught:
            self._failed(caught)
            return backoff.failed()
        if value is not None:
            is_useful = self._take_vms(value.data)
        else:
            is_useful = not is_first and self._now() - began > wait_s / 2
        if not is_useful:
            return backoff.failed()
        backoff.succeeded()
        return 0.0

    def _take_vms(self, data: bytes) -> bool:
        try:
            listed = vms.parse(data, "platform")
        except errors.DocumentError as caught:
            log.emit(events.VMS_REFUSED, reason=str(caught))
            return False
        if listed["version"] <= self._vm_version:
            return False
        self._vm_version = listed["version"]
        log.emit(
            events.VMS_CHANGED,
            version=listed["version"],
            count=len(listed["vms"]),
        )
        self._outbox.put_nowait(VmsChanged(listed))
        return True

    # Common parts

    def _jittered(self, wait_s: float) -> float:
        return wait_s * self._rng.uniform(0.7, 1.0)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _until_refresh(
        self, reading: Coroutine[Any, Any, platform.Value | None]
    ) -> platform.Value | None:
        """Awaits a read, and gives it up when a refresh is asked for."""
        read = asyncio.create_task(reading)
        asked = asyncio.create_task(self._refresh.wait())
        try:
            await asyncio.wait(
                [read, asked], return_when=asyncio.FIRST_COMPLETED
            )
            return read.result() if read.done() else None
        finally:
            asked.cancel()
            read.cancel()

    async def _sleep(self, delay: float) -> None:
        if delay <= 0:
            return
        try:
            async with asyncio.timeout(delay):
                await self._refresh.wait()
        except TimeoutError:
            pass

    def _failed(self, error: errors.PlatformError) -> None:
        if not self._is_failing:
            log.emit(events.PLATFORM_FAILED, reason=str(error))
        self._is_failing = True

    def _answered(self) -> None:
        self._read_at = self._now()
        if self._is_failing:
            log.emit(events.PLATFORM_RECOVERED)
        self._is_failing = False


def _report(verdict: acceptance.Verdict, source: str) -> None:
    match verdict:
        case acceptance.Refused(error):
            log.emit(
                events.CONFIGURATION_REFUSED, source=source, reason=str(error)
            )
        case acceptance.Outdated(version):
            log.emit(events.CONFIGURATION_OLD, source=source, version=version)
        case acceptance.Conflict(version, digest):
            log.emit(
                events.CONFIGURATION_CONFLICT,
                source=source,
                version=version,
                digest=digest[:12],
            )
