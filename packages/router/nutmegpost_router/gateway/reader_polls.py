"""The long polls by which the gateways of a large fleet follow a few readers.

A follower names the state that it was told last by an opaque token. The answer
comes as soon as the state of the reader is another, once the platform has
confirmed the state sufficiently later than the follower knows, or at the end of
the wait.
"""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
import random
from typing import Any, NamedTuple

import xxhash

from nutmegpost_core import events
from nutmegpost_core import readers
from nutmegpost_core import roster
from nutmegpost_core import vms
from nutmegpost_router import log
from nutmegpost_router.gateway import metrics
from nutmegpost_router.gateway import ports
from nutmegpost_router.gateway import state

__all__ = [
    "FollowRequest",
    "LongPolls",
    "News",
    "ReaderFollower",
    "decode_news",
    "decode_request",
]

# Maximum wait that a follower may ask for.
_WAIT_MAX_S = 2.0
# Age that stands for any higher one.
_AGE_MAX_MS = 1_000_000
# Shortest time between two polls: of a follower, so that many changes share an
# answer, of one all of whose readers failed, and of a gateway that reads the
# platform itself.
_FOLLOWING_INTERVAL_S = 0.1
_FAILED_INTERVAL_S = 0.25
_READING_INTERVAL_S = 0.5
# Time after which it is checked again whether there are readers.
_IDLE_S = 0.5
# Time for which digests are used again.
_DIGESTS_RETENTION_S = 0.2
# Interval at which the members are looked at; there can be 1,000 of them.
_CHOICE_INTERVAL_S = 0.5
# Link of a VM whose settings name none, and the share of it for documents.
_LINK_MBPS = 10.0
_DOCUMENT_LINK_SHARE = 0.5


class FollowRequest(NamedTuple):
    """What a follower tells a reader in its poll.

    Attributes:
        wait_s: Time for which the reader may wait for a change, seconds.
        age_s: Time since the platform confirmed what the follower knows,
            seconds.
        renewal_s: Time by which it must have confirmed the reader's state
            later for an answer before the end of the wait, seconds.
        token: Stands for the state that the reader told last; empty for none.
        details: Digest of the endpoints that the follower knows.
    """

    wait_s: float = 0.0
    age_s: float = 0.0
    renewal_s: float = 0.0
    token: str = ""
    details: str = ""

    def encode(self) -> str:
        """Returns the field of a query."""
        return ".".join(
            [
                str(round(self.wait_s * 1000)),
                str(_age_ms(self.age_s)),
                str(round(self.renewal_s * 1000)),
                self.token,
                self.details,
            ]
        )


def decode_request(text: str) -> FollowRequest | None:
    """Returns what a query field says; None if it is not of a follower."""
    parts = text.split(".")
    if len(parts) != 5 or not all(part.isdecimal() for part in parts[:3]):
        return None
    wait_s, age_s, renewal_s = (int(part) / 1000 for part in parts[:3])
    return FollowRequest(min(wait_s, _WAIT_MAX_S), age_s, renewal_s, *parts[3:])


class News(NamedTuple):
    """How current the answer of a reader is.

    Attributes:
        token: Stands for the state that it tells.
        version: Version of its configuration.
        confirmed_at: Monotonic time at which the platform confirmed its list,
            seconds.
        is_available: Whether the platform answers it.
        update: The same for the task that applies updates.
    """

    token: str
    version: int
    confirmed_at: float
    is_available: bool
    update: ports.ReaderNews


def decode_news(encoded: list[Any], is_same_list: bool, now: float) -> News:
    """Returns the news in an answer.

    Args:
        encoded: The news as encoded by `LongPolls.encode_news`.
        is_same_list: Whether the reader's list is that of this gateway.
        now: Monotonic time, seconds.

    Raises:
        TypeError, ValueError: They are malformed.
    """
    token, version, is_available, ages_ms, revision = encoded[:5]
    confirmed_at, available_since, gap_at = (
        now - int(age_ms) / 1000 if age_ms < _AGE_MAX_MS else float("-inf")
        for age_ms in ages_ms
    )
    era, number = revision
    return News(
        str(token),
        int(version),
        confirmed_at,
        bool(is_available),
        ports.ReaderNews(
            confirmed_at,
            available_since,
            gap_at,
            roster.Revision(int(era), int(number)) if is_same_list else None,
        ),
    )


class LongPolls:
    """Makes followers wait for news, and paces the documents sent to them."""

    def __init__(self, local_state: state.State):
        """Creates an object that has notified nobody.

        Args:
            local_state: State of the gateway.
        """
        self._state = local_state
        self._notified = asyncio.Event()
        self._is_closed = False
        self._document_allowed_at = 0.0
        # Token, digest of the endpoints, and the time until which they hold
        # unless followers are notified: endpoints warm up without a notice.
        self._digests: tuple[str, str, float] | None = None
        link_mbps = local_state.config.get("link_mbps", _LINK_MBPS)
        self._document_bytes_per_s = link_mbps * 1e6 / 8 * _DOCUMENT_LINK_SHARE

    @property
    def is_closed(self) -> bool:
        """Whether followers have to ask another gateway."""
        return self._is_closed

    def close(self) -> None:
        """Ends all waits: this gateway stops."""
        self._is_closed = True
        self.notify()

    def notify(self) -> None:
        """Wakes the polls that wait, to see what has changed."""
        self._digests = None
        self._notified.set()
        self._notified = asyncio.Event()

    def token(self) -> str:
        """Returns the token of the state that a follower would be told."""
        return self._current_digests()[0]

    def details(self) -> str:
        """Returns the digest of the listed endpoints."""
        return self._current_digests()[1]

    def _current_digests(self) -> tuple[str, str, float]:
        now = _now()
        if self._digests is None or now >= self._digests[2]:
            details = self._state.roster.details_digest(now)
            token = self._compute_token(details)
            self._digests = token, details, now + _DIGESTS_RETENTION_S
        return self._digests

    def _compute_token(self, details: str) -> str:
        local_state = self._state
        active_catalog = local_state.catalog
        told = (
            active_catalog.version if active_catalog else 0,
            details,
            local_state.roster.is_directory_unavailable,
            local_state.roster.available_since,
            local_state.versions_gap_at,
            local_state.versions.known(),
            local_state.evacuations.digest(),
        )
        return xxhash.xxh3_64_hexdigest(repr(told).encode())

    async def wait(self, request: FollowRequest) -> None:
        """Waits until a follower is to be answered."""
        known_at = _now() - request.age_s
        try:
            async with asyncio.timeout(request.wait_s):
                while not (
                    self._is_closed
                    or request.token != self.token()
                    or self._state.directory_confirmed_at
                    >= known_at + request.renewal_s
                ):
                    await self._notified.wait()
        except TimeoutError:
            return

    def encode_news(self) -> list[object]:
        """Returns how current the state is, for `decode_news`."""
        local_state = self._state
        now = _now()
        active_catalog = local_state.catalog
        return [
            self.token(),
            active_catalog.version if active_catalog else 0,
            not local_state.roster.is_directory_unavailable,
            [
                _age_ms(now - at)
                for at in (
                    local_state.directory_confirmed_at,
                    local_state.roster.available_since,
                    local_state.versions_gap_at,
                )
            ],
            list(local_state.roster.revision),
        ]

    def may_send_document(self) -> bool:
        """Returns whether the link is free for a document, and reserves it.

        A follower that is refused asks another gateway, which may have the
        document meanwhile.
        """
        now = _now()
        if now < self._document_allowed_at:
            return False
        self._document_allowed_at = now + (
            len(self._state.document) / self._document_bytes_per_s
        )
        return True


_Poll = Callable[[vms.Address, FollowRequest], Coroutine[Any, Any, News | None]]


class ReaderFollower:
    """The task that follows the readers of the platform."""

    def __init__(
        self,
        local_state: state.State,
        counters: metrics.GatewayMetrics,
        switch: ports.ReadingSwitch,
        poll: _Poll,
        set_following: Callable[[bool], None],
        behind_since: Callable[[], float],
        control_address: Callable[[str], vms.Address],
    ):
        """Creates a task that follows nobody.

        Args:
            local_state: State of the gateway.
            counters: Metrics.
            switch: Pauses the reads of the platform.
            poll: Polls a reader, given its control address and the request
                without digests; returns None if it sent no news.
            set_following: Told whether the gateway follows.
            behind_since: Returns since when the newest configuration known has
                been missing, monotonic seconds; infinity if it is not.
            control_address: Returns the control address of a live peer.
        """
        config = local_state.config
        self._state = local_state
        self._counters = counters
        self._switch = switch
        self._poll = poll
        self._set_following = set_following
        self._behind_since = behind_since
        self._control_address = control_address
        self._name = config["name"]
        self._times = readers.timing(config["leave_limit_ms"] / 1000)
        self._follower = readers.Follower(
            self._name, config["zone"], self._times, random.Random()
        )
        self._size = readers.FleetSize(config.get("large_fleet_gateways", 0))
        self._zones: dict[str, str] = {}
        self._chosen: list[str] = []
        self._choice_due = 0.0
        self._tokens: dict[str, str] = {}
        self._counters.set_reads_platform(True)

    def update(
        self, live_zones: Callable[[], Mapping[str, str]], gateways: int
    ) -> None:
        """Updates the readers and the role of this gateway.

        Args:
            live_zones: Returns the zones of the live gateways by name, this
                one included unless it stops.
            gateways: Number of gateways that were seen of late.
        """
        if _now() >= self._choice_due:
            self._choice_due = _now() + _CHOICE_INTERVAL_S
            is_large = self._size.update(gateways)
            self._update_zones(live_zones() if is_large else {})
        self._update_role()

    def _update_zones(self, zones: Mapping[str, str]) -> None:
        if zones != self._zones:
            self._zones = dict(zones)
            chosen = readers.choose(zones, readers.reader_count(len(zones)))
            if chosen != self._chosen:
                self._set_readers(chosen, len(zones))

    def _set_readers(self, chosen: list[str], gateways: int) -> None:
        log.emit(
            events.READERS_CHOSEN,
            gateways=gateways,
            readers=" ".join(chosen),
        )
        self._chosen = chosen
        self._tokens = {
            name: token
            for name, token in self._tokens.items()
            if name in chosen
        }
        followed = [] if self._name in chosen else chosen
        self._follower.set_readers({n: self._zones[n] for n in followed})

    def _update_role(self) -> None:
        follower = self._follower
        was_following = follower.is_following
        is_following = follower.update(_now(), self._behind_since())
        if is_following == was_following:
            return
        if is_following:
            log.emit(events.FOLLOWING_BEGUN, readers=" ".join(self._chosen))
        else:
            log.emit(events.FOLLOWING_ENDED, reason=follower.reason)
            if follower.is_platform_refused:
                # Entries can have lapsed since; they have a grace period.
                self._state.roster.mark_directory_unavailable()
        self._counters.set_reads_platform(not is_following)
        self._set_following(is_following)
        self._switch.turn(not is_following)

    async def run(self) -> None:
        """Follows the readers until it is cancelled."""
        while True:
            reader = self._follower.next_reader(_now())
            if reader is None:
                await asyncio.sleep(_IDLE_S)
                continue
            started = _now()
            await self._ask(reader)
            self._update_role()
            interval_s = _READING_INTERVAL_S
            if self._follower.is_following:
                interval_s = _FAILED_INTERVAL_S
                if self._follower.has_usable_reader(_now()):
                    interval_s = _FOLLOWING_INTERVAL_S
            await asyncio.sleep(max(0.0, started + interval_s - _now()))

    async def _ask(self, reader: str) -> None:
        follower = self._follower
        request = FollowRequest(
            follower.wait_s,
            _now() - follower.confirmed_at,
            self._times.renewal_s,
            self._tokens.pop(reader, ""),
        )
        news = None
        try:
            async with asyncio.timeout(request.wait_s + self._times.silence_s):
                address = self._control_address(reader)
                news = await self._poll(address, request)
        except (KeyError, TimeoutError) as caught:
            # The reader is no member any more, or it is silent.
            log.emit(
                events.READER_SILENT,
                reader=reader,
                reason=type(caught).__name__,
            )
        self._counters.reader_polled("news" if news else "none")
        if news is None:
            follower.record_failure(reader, _now())
            return
        self._tokens[reader] = news.token
        follower.record_news(
            reader, news.confirmed_at, news.is_available, _now()
        )


def _age_ms(seconds: float) -> int:
    return int(min(max(0.0, seconds) * 1000, _AGE_MAX_MS))


def _now() -> float:
    return asyncio.get_running_loop().time()
