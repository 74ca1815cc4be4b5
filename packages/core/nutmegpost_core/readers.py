"""Which gateways of a large fleet read the platform, and who follows whom.

All gateways choose the same readers from the live members. Any other gateway
follows two of them in turn, one of its own zone and one of another, so that a
reader that missed a change hides it for one poll only. Each answer says when
the platform last confirmed what it tells; an answer that comes through several
gateways is as old as their answers together, so gateways that follow one
another by mistake notice that nobody reads.
"""

import collections
from collections.abc import Mapping
import math
import random
from typing import NamedTuple

from nutmegpost_core import ownership

__all__ = [
    "FleetSize",
    "Follower",
    "Timing",
    "choose",
    "reader_count",
    "timing",
]

# One reader for this many gateways, so that it answers as many polls a second,
# and sends less than 2 KB/s for them. 135 gateways have 12 readers.
GATEWAYS_PER_READER = 12
# One for each of three zones, and two others when one is lost.
READERS_MIN = 3
# Share of the limit at which a large fleet counts as small again.
SMALL_FLEET_SHARE = 0.9
# Time for which a reader that failed is asked after the others.
FAILED_RETENTION_S = 2.0
# Share of the maximum age that news may have when following begins, so that it
# does not end again at once.
FRESH_SHARE = 0.6

_KEY = "readers of the platform"


class Timing(NamedTuple):
    """Times of a follower, seconds.

    Attributes:
        wait_s: Time after which a reader answers though nothing has changed.
        silence_s: Time beyond that after which it has failed.
        news_max_s: Time without an answer after which the follower reads the
            platform.
        age_max_s: Time since the platform confirmed what the readers tell,
            after which the follower reads the platform.
        document_max_s: Time without a configuration that readers have, after
            which the follower reads the platform.
        spread_s: Time by which that is delayed at most, so that not all
            followers read the platform at the same moment.
        renewal_s: Time by which the platform must have confirmed news later
            than what the follower knows for a reader to answer early.
    """

    wait_s: float
    silence_s: float
    news_max_s: float
    age_max_s: float
    document_max_s: float
    spread_s: float
    renewal_s: float


def timing(leave_limit_s: float) -> Timing:
    """Returns the times of a follower.

    A reader's polls of the platform end after 1 s and are followed by a pause
    of 0.3 of the limit, so its news are no older than that plus 0.2 s for
    their way. With a limit of 3 s a follower reads the platform after 2.4 s at
    the latest, which leaves 0.6 s for the read.

    Args:
        leave_limit_s: Time from the publication that an endpoint is draining
            until it must get no new requests, seconds.
    """
    wait_s = min(1.0, leave_limit_s / 3)
    return Timing(
        wait_s=wait_s,
        silence_s=0.4,
        news_max_s=wait_s + 0.3 * leave_limit_s,
        age_max_s=0.3 * leave_limit_s + 1.2,
        document_max_s=0.3 * leave_limit_s,
        spread_s=0.1 * leave_limit_s,
        renewal_s=0.8 * wait_s,
    )


def reader_count(gateways: int) -> int:
    """Returns how many gateways of a large fleet read the platform."""
    return max(READERS_MIN, math.ceil(gateways / GATEWAYS_PER_READER))


def choose(zones: Mapping[str, str], count: int) -> list[str]:
    """Returns the gateways that read the platform, equally many of each zone.

    Args:
        zones: Zones of the live gateways by name.
        count: Maximum number of readers.
    """
    order = ownership.first(_KEY, list(zones), len(zones))
    chosen_of_zone: collections.Counter[str] = collections.Counter()
    rank_in_zone = {}
    for name in order:
        rank_in_zone[name] = chosen_of_zone[zones[name]]
        chosen_of_zone[zones[name]] += 1
    return sorted(order, key=lambda name: rank_in_zone[name])[:count]


class FleetSize:
    """Whether a fleet is large, with hysteresis."""

    def __init__(self, limit: int):
        """Starts as a small fleet.

        Args:
            limit: Number of gateways above which a fleet is large; 0 if none
                is.
        """
        self._limit = limit
        self._is_large = False

    def update(self, gateways: int) -> bool:
        """Records the number of gateways; returns whether the fleet is large.

        Args:
            gateways: Number of gateways that were seen of late.
        """
        limit = self._limit
        if self._is_large:
            limit = int(self._limit * SMALL_FLEET_SHARE)
        self._is_large = self._limit > 0 and gateways > limit
        return self._is_large


class Follower:
    """What a gateway knows of its readers, and whether it follows them."""

    def __init__(self, name: str, zone: str, times: Timing, rng: random.Random):
        """Creates a gateway that reads the platform itself.

        Args:
            name: Name of the gateway.
            zone: Its zone.
            times: Times to keep.
            rng: Spreads the followers that begin to read the platform.
        """
        self._name = name
        self._zone = zone
        self._times = times
        self._rng = rng
        self._is_following = False
        # The readers to ask, first the two that are asked in turn.
        self._order: list[str] = []
        self._failed_until: dict[str, float] = {}
        self._last_asked = ""
        self._has_failure = False
        # Time of the last answer of a reader that the platform answers, and
        # the latest time at which the platform confirmed one.
        self._news_at = -math.inf
        self._confirmed_at = -math.inf
        self._refusals: set[str] = set()
        self._spread_s = 0.0
        self._distrusted_since: float | None = None
        self._reason = ""

    @property
    def is_following(self) -> bool:
        """Whether the gateway makes no reads of the platform itself."""
        return self._is_following

    @property
    def confirmed_at(self) -> float:
        """Latest time at which the platform confirmed what a reader told."""
        return self._confirmed_at

    @property
    def reason(self) -> str:
        """Why the gateway stopped following."""
        return self._reason

    @property
    def is_platform_refused(self) -> bool:
        """Whether the platform answers none of the readers."""
        return bool(self._order) and self._refusals.issuperset(self._order)

    @property
    def wait_s(self) -> float:
        """Time for which the next reader may wait for a change, seconds.

        It is 0 after a failure, so that the silence of the next reader shows
        soon.
        """
        if self._is_following and self._has_failure:
            return 0.0
        return self._times.wait_s

    def set_readers(self, zones: Mapping[str, str]) -> None:
        """Sets the readers.

        Args:
            zones: Zones of the readers by name; empty if this gateway reads
                the platform itself.
        """
        names = ownership.first(self._name, list(zones), len(zones))
        near = [name for name in names if zones[name] == self._zone]
        far = [name for name in names if zones[name] != self._zone]
        pair = [*near[:1], *far[:1]]
        self._order = pair + [name for name in names if name not in pair]
        self._refusals &= set(names)

    def has_usable_reader(self, now: float) -> bool:
        """Returns whether a reader has not failed of late."""
        return any(
            self._failed_until.get(name, now) <= now for name in self._order
        )

    def next_reader(self, now: float) -> str | None:
        """Returns the reader to ask next; None if there is none."""
        if not self._order:
            return None
        self._failed_until = {
            name: until
            for name, until in self._failed_until.items()
            if until > now
        }
        usable = [n for n in self._order if n not in self._failed_until][:2]
        if not usable:
            chosen = min(self._order, key=lambda n: self._failed_until[n])
        elif usable[0] == self._last_asked:
            chosen = usable[-1]
        else:
            chosen = usable[0]
        self._last_asked = chosen
        return chosen

    def record_failure(self, reader: str, now: float) -> None:
        """Records that a reader did not answer."""
        self._failed_until[reader] = now + FAILED_RETENTION_S
        self._has_failure = True

    def record_news(
        self, reader: str, confirmed_at: float, is_available: bool, now: float
    ) -> None:
        """Records the answer of a reader.

        Args:
            reader: Its name.
            confirmed_at: Monotonic time at which the platform confirmed what
                it told, seconds.
            is_available: Whether the platform answers it.
            now: Monotonic time, seconds.
        """
        if not is_available:
            self._refusals.add(reader)
            self.record_failure(reader, now)
            return
        self._refusals.discard(reader)
        self._failed_until.pop(reader, None)
        self._has_failure = False
        self._news_at = now
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def update(self, now: float, behind_since: float = math.inf) -> bool:
        """Decides whether the gateway follows, and returns it.

        Args:
            now: Monotonic time, seconds.
            behind_since: Monotonic time since which it has known of a
                configuration that no peer has sent yet, seconds; infinity if
                it has the newest one.
        """
        if not self._order:
            self._end("it is a reader, or the fleet is small")
        elif not self._is_following:
            age_max_s = FRESH_SHARE * self._times.age_max_s
            if (
                now - self._confirmed_at <= age_max_s
                and now - self._news_at <= self._times.wait_s
                and not self._has_failure
                and math.isinf(behind_since)
            ):
                self._is_following = True
                self._spread_s = self._rng.uniform(0, self._times.spread_s)
                self._distrusted_since = None
        else:
            self._update_distrust(now, behind_since)
        return self._is_following

    def _update_distrust(self, now: float, behind_since: float) -> None:
        reason = self._distrust_reason(now, behind_since)
        if not reason:
            self._distrusted_since = None
            return
        if self._distrusted_since is None:
            self._distrusted_since = now
        if now - self._distrusted_since >= self._spread_s:
            self._end(reason)

    def _distrust_reason(self, now: float, behind_since: float) -> str:
        """Returns why not to rely on the readers; empty for no reason."""
        if self.is_platform_refused:
            return "the platform answers no reader"
        if now - self._news_at > self._times.news_max_s:
            return "no reader answers"
        if now - self._confirmed_at > self._times.age_max_s:
            return "what the readers tell is too old"
        if now - behind_since > self._times.document_max_s:
            return "no gateway sends the configuration"
        return ""

    def _end(self, reason: str) -> None:
        self._is_following = False
        self._reason = reason
        # What is known may be old when the gateway follows again.
        self._confirmed_at = -math.inf
