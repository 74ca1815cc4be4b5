"""Follows the configuration and the VM list.

Two tasks long-poll the platform, one for each document. A third task fetches
the configuration from a peer that has a higher version. Every configuration is
checked by `acceptance`, and each change is put into the outbox as a notice.
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

# A long poll on a connection that went silent is detected only when its wait
# ends, so the wait bounds the delay of a change.
CONFIGURATION_WAIT_S = 2.5
VMS_WAIT_S = 5.0
BACKOFF_MIN_S = 0.25
BACKOFF_MAX_S = 3.0
PEER_TIMEOUT_S = 1.0
PEER_DELAY_MAX_S = 0.5
PEER_ATTEMPTS_MAX = 10

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
    """Exponential backoff with jitter between failed reads."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._limit_s = BACKOFF_MIN_S

    def next_delay(self) -> float:
        """Returns the delay after a failure, seconds, and raises the limit."""
        delay = self._rng.uniform(BACKOFF_MIN_S / 2, self._limit_s)
        self._limit_s = min(BACKOFF_MAX_S, self._limit_s * 2)
        return delay

    def reset(self) -> None:
        """Resets the limit after a success."""
        self._limit_s = BACKOFF_MIN_S


class _NewerPeer:
    """A peer with a higher version of the configuration in force.

    Attributes:
        version: Its version.
        digest: Its digest, or a prefix of it; empty when unknown.
        attempts: Number of attempts to fetch its configuration.
    """

    def __init__(self, version: int, digest: str):
        self.version = version
        self.digest = digest
        self.attempts = 0


class Watcher:
    """Tasks that keep the configuration and the VM list up to date."""

    def __init__(
        self,
        address: vms.Address,
        client: http_client.Client,
        accepted: acceptance.Acceptance,
        outbox: "asyncio.Queue[Any]",
        fetch_from_peer: _FetchFromPeer,
        rng: random.Random | None = None,
    ):
        """Creates a watcher; `run` starts its tasks.

        Args:
            address: Address of the platform.
            client: The HTTP client.
            accepted: The configuration in force. Only this class changes it,
                apart from the highest version observed elsewhere.
            outbox: Queue for `ConfigurationInForce` and `VmsChanged` notices.
            fetch_from_peer: Returns the document in force at a peer, or
                raises `errors.PeerError`.
            rng: Source of the jitter.
        """
        self._address = address
        self._client = client
        self._acceptance = accepted
        self._outbox = outbox
        self._fetch_from_peer = fetch_from_peer
        self._rng = rng or random.Random()
        self._vm_version = -1
        self._newer_peers: dict[str, _NewerPeer] = {}
        self._newer_peer_seen = asyncio.Event()
        self._refresh = asyncio.Event()
        self._logged_verdicts: dict[str, acceptance.Verdict] = {}
        self._last_read_at: float | None = None
        self._is_failing = False

    @property
    def read_age_s(self) -> float:
        """Seconds since the platform last answered a configuration read.

        Infinite before the first answer.
        """
        if self._last_read_at is None:
            return float("inf")
        return self._now() - self._last_read_at

    def observe_peer_version(
        self, name: str, version: int, digest: str = ""
    ) -> None:
        """Records the configuration in force at a peer.

        A higher version than the one in force here is fetched from the peer.

        Args:
            name: Name of the peer.
            version: Its version.
            digest: Its digest, or a prefix of it; empty when unknown.
        """
        if not self._acceptance.compare(version, digest):
            log.emit(
                events.CONFIGURATION_CONFLICT,
                source=name,
                digest=digest,
                version=version,
            )
        if version > self._acceptance.version:
            self._newer_peers[name] = _NewerPeer(version, digest)
            self._newer_peer_seen.set()

    def refresh(self) -> None:
        """Reads the configuration at once, for instance after a pause."""
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
        """Reads once and returns the delay before the next read, seconds."""
        is_urgent = self._refresh.is_set() or not self._acceptance.version
        self._refresh.clear()
        wait_s = 0.0 if is_urgent else self._jittered(CONFIGURATION_WAIT_S)
        request = platform.read_configuration(
            self._client, self._address, self._acceptance.version, wait_s
        )
        start = self._now()
        try:
            value = await self._read_until_refresh(request)
        except errors.PlatformError as caught:
            self._record_failure(caught)
            return backoff.next_delay()
        if self._refresh.is_set():
            return 0.0
        self._record_success()
        if value is not None:
            made_progress = self.consider(value.data, "platform")
        else:
            # Back off when the platform answers long before the wait ends, to
            # avoid polling it in a tight loop.
            made_progress = is_urgent or self._now() - start > wait_s / 2
        if not made_progress or not self._acceptance.version:
            return backoff.next_delay()
        backoff.reset()
        return 0.0

    def consider(self, data: bytes, source: str) -> bool:
        """Puts a document in force if its version and content allow it.

        Args:
            data: The document.
            source: "platform" or the name of the peer that returned it.

        Returns:
            Whether it came into force.
        """
        verdict = self._acceptance.consider(data, source)
        if isinstance(verdict, acceptance.Accepted):
            published = verdict.published
            self._logged_verdicts.clear()
            log.emit(
                events.CONFIGURATION_ACCEPTED,
                version=published.version,
                digest=published.digest[:12],
                source=source,
            )
            self._compare_peers(published.version)
            self._outbox.put_nowait(ConfigurationInForce(published))
            return True
        if str(self._logged_verdicts.get(source)) != str(verdict):
            self._logged_verdicts[source] = verdict
            _log_rejection(verdict, source)
        return False

    async def confirm_current(self) -> bool:
        """Reads the configuration now, for instance before an engine order.

        Returns:
            Whether the platform answered and no newer version than the one in
            force before the read is known, from it or from any peer.
        """
        version = self._acceptance.version
        try:
            value = await platform.read_configuration(
                self._client, self._address, version, 0.0
            )
        except errors.PlatformError as caught:
            self._record_failure(caught)
            return False
        self._record_success()
        if value is not None:
            self.consider(value.data, "platform")
        is_same = self._acceptance.version == version
        return is_same and not self._acceptance.is_behind

    # Peers

    def _compare_peers(self, version: int) -> None:
        # A peer announces each digest only once, which may be before this
        # router has the same version to compare it with.
        for name, peer in list(self._newer_peers.items()):
            if peer.version == version:
                self.observe_peer_version(name, version, peer.digest)

    async def _follow_peers(self) -> None:
        while True:
            await self._newer_peer_seen.wait()
            self._newer_peer_seen.clear()
            # The long poll to the platform returns the change at about the same
            # time, and the delay usually avoids a second copy from the peer.
            if self._acceptance.version and not self._is_failing:
                await asyncio.sleep(PEER_DELAY_MAX_S * self._rng.random())
            while self._drop_unusable_peers():
                await self._read_from_peer(
                    self._rng.choice([*self._newer_peers])
                )

    def _drop_unusable_peers(self) -> bool:
        """Drops peers without a higher version or with too many attempts.

        Returns:
            Whether any peer remains.
        """
        version = self._acceptance.version
        self._newer_peers = {
            name: peer
            for name, peer in self._newer_peers.items()
            if peer.version > version and peer.attempts < PEER_ATTEMPTS_MAX
        }
        return bool(self._newer_peers)

    async def _read_from_peer(self, name: str) -> None:
        peer = self._newer_peers[name]
        peer.attempts += 1
        try:
            data = await self._fetch_from_peer(name)
        except errors.PeerError as caught:
            log.emit(events.PEER_READ_FAILED, peer=name, reason=str(caught))
            await asyncio.sleep(PEER_DELAY_MAX_S * self._rng.random())
            return
        if not self.consider(data, name):
            self._newer_peers.pop(name, None)

    # VM list

    async def _watch_vms(self) -> None:
        backoff = _Backoff(self._rng)
        while True:
            delay = await self._read_vms(backoff)
            await self._sleep(delay)

    async def _read_vms(self, backoff: _Backoff) -> float:
        is_first = self._vm_version < 0
        wait_s = 0.0 if is_first else self._jittered(VMS_WAIT_S)
        start = self._now()
        try:
            value = await platform.read_vms(
                self._client, self._address, self._vm_version, wait_s
            )
        except errors.PlatformError as caught:
            self._record_failure(caught)
            return backoff.next_delay()
        if value is not None:
            made_progress = self._accept_vms(value.data)
        else:
            made_progress = not is_first and self._now() - start > wait_s / 2
        if not made_progress:
            return backoff.next_delay()
        backoff.reset()
        return 0.0

    def _accept_vms(self, data: bytes) -> bool:
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

    # Helpers

    def _jittered(self, wait_s: float) -> float:
        return wait_s * self._rng.uniform(0.7, 1.0)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _read_until_refresh(
        self, request: Coroutine[Any, Any, platform.Value | None]
    ) -> platform.Value | None:
        """Awaits a read, but cancels it when a refresh is requested."""
        read = asyncio.create_task(request)
        refresh_wait = asyncio.create_task(self._refresh.wait())
        try:
            await asyncio.wait(
                [read, refresh_wait], return_when=asyncio.FIRST_COMPLETED
            )
            return read.result() if read.done() else None
        finally:
            refresh_wait.cancel()
            read.cancel()

    async def _sleep(self, delay: float) -> None:
        if delay <= 0:
            return
        try:
            async with asyncio.timeout(delay):
                await self._refresh.wait()
        except TimeoutError:
            pass

    def _record_failure(self, error: errors.PlatformError) -> None:
        if not self._is_failing:
            log.emit(events.PLATFORM_FAILED, reason=str(error))
        self._is_failing = True

    def _record_success(self) -> None:
        self._last_read_at = self._now()
        if self._is_failing:
            log.emit(events.PLATFORM_RECOVERED)
        self._is_failing = False


def _log_rejection(verdict: acceptance.Verdict, source: str) -> None:
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
