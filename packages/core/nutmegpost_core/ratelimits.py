"""Request limits of endpoints, divided among the routers.

An endpoint in need names the requests a second that it takes from all routers
together. An endpoint that is cold takes few until its caches are filled, as its
service says. For each limited endpoint the routers compute alike which of them
send requests to it, and each of these has an equal share of the limit in a
token bucket of its own. With a low limit only few routers send, because each
one can send a whole request at any moment. An endpoint with both limits gets
what the lower one allows.

Too many requests in one second crash a cold endpoint. So its buckets start
empty, hold less than the requests that it may get at once, and a router that
may not see all others takes part for its part of the fleet only.

A request that no endpoint can take is refused. Its caller is told to return
when a token will be free, later than those that were told so before.
"""

from collections.abc import Collection, Iterable, Mapping
import math
from typing import NamedTuple

import xxhash

__all__ = [
    "LIMIT_LIFETIME_S",
    "ColdRate",
    "EndpointLimits",
    "Limit",
]

# Routers that share a limit, per request a second. Together their buckets hold
# no more than the limit allows in two seconds.
ROUTERS_PER_REQUEST_S = 2.0
# Requests that the bucket of one router holds.
BURST = 1.0
# Part of what a cold endpoint may get beyond its rate in one second that the
# buckets hold together. The rest is for routers whose view of the fleet differs
# and for requests that are delayed on the way.
BUCKETS_SHARE = 0.75
# Requests per second that a router sends to a cold endpoint while it sees no
# other router.
ALONE_REQUESTS_PER_S = 1.0
# Time without an answer after which a limit no longer counts.
LIMIT_LIFETIME_S = 60.0
# Relative change below which a limit counts as the same.
CHANGE_MIN = 0.1
# Callers are not told to return later than this.
RETURN_MAX_S = 30.0


class Limit(NamedTuple):
    """The limit of an endpoint.

    Attributes:
        requests_per_s: Requests per second from all routers together.
        confirmed_at: Monotonic time at which it was last named, seconds.
        announced_at: Monotonic time at which a router last told the others,
            seconds.
    """

    requests_per_s: float
    confirmed_at: float
    announced_at: float


class ColdRate(NamedTuple):
    """What cold endpoints of a service take from all routers together.

    Attributes:
        requests_per_s: Requests per second.
        window_max: Requests in any one second.
    """

    requests_per_s: float
    window_max: float


class _Fleet(NamedTuple):
    """The routers that share limits.

    Attributes:
        names: Names of the routers that take requests, sorted.
        size: Number of routers that may be running, whether seen or not.
        is_alone: Whether this router sees no other one.
        has_met: Whether it has seen one since its start.
    """

    names: tuple[str, ...]
    size: int
    is_alone: bool = False
    has_met: bool = True


class _Rate(NamedTuple):
    """How a limit is divided.

    Attributes:
        requests_per_s: Requests per second from all routers together.
        senders_max: Routers among which they are divided at most.
    """

    requests_per_s: float
    senders_max: int


class _Bucket:
    __slots__ = ("tokens", "updated")

    def __init__(self, tokens: float, now: float) -> None:
        self.tokens = tokens
        self.updated = now


class _DividedLimits:
    """Limits by endpoint, and the shares of one router in them."""

    def __init__(self, router: str, is_cold: bool) -> None:
        """Creates a table without limits.

        Args:
            router: Name of the router.
            is_cold: Whether these are the limits of cold endpoints: buckets
                start empty, and a router that may not see all others counts
                on those that it does not see.
        """
        self._router = router
        self._is_cold = is_cold
        self._fleet = _Fleet((router,), 1, is_alone=True, has_met=not is_cold)
        self._rates: dict[str, _Rate] = {}
        self._shares: dict[str, float] = {}
        self._buckets: dict[str, _Bucket] = {}

    def requests_per_s(self, endpoint: str) -> float:
        """Returns the limit of an endpoint; infinite if it has none."""
        rate = self._rates.get(endpoint)
        return math.inf if rate is None else rate.requests_per_s

    def set_fleet(self, fleet: _Fleet, now: float) -> None:
        """Sets the routers that share the limits."""
        if fleet != self._fleet:
            # What was gained until now is of the previous share.
            if self._is_cold:
                for endpoint in self._rates:
                    self._refill(endpoint, now)
            self._fleet = fleet
            self._shares.clear()

    def set(self, endpoint: str, rate: _Rate, now: float) -> None:
        """Sets the limit of an endpoint; a bucket keeps its tokens."""
        known = self._rates.get(endpoint)
        if known == rate:
            return
        if known is None:
            tokens = 0.0 if self._is_cold else BURST
            self._buckets[endpoint] = _Bucket(tokens, now)
        else:
            self._refill(endpoint, now)
        self._rates[endpoint] = rate
        self._shares.pop(endpoint, None)

    def remove(self, endpoint: str) -> None:
        """Removes the limit of an endpoint."""
        del self._rates[endpoint], self._buckets[endpoint]
        self._shares.pop(endpoint, None)

    def record_sent(self, endpoint: str, now: float) -> None:
        """Takes a token for a request that is sent to an endpoint."""
        if endpoint in self._rates:
            self._refill(endpoint, now)
            self._buckets[endpoint].tokens -= 1

    def wait_s(self, endpoint: str, now: float) -> float:
        """Returns the time until this router may send a request, seconds."""
        if endpoint not in self._rates:
            return 0.0
        share = self._share(endpoint)
        self._refill(endpoint, now)
        if share <= 0:
            return math.inf
        return max(0.0, 1 - self._buckets[endpoint].tokens) / share

    def _share(self, endpoint: str) -> float:
        """Returns the requests per second that this router may send."""
        share = self._shares.get(endpoint)
        if share is None:
            share = self._shares[endpoint] = self._compute_share(endpoint)
        return share

    def _compute_share(self, endpoint: str) -> float:
        rate, senders_max = self._rates[endpoint]
        names, size, is_alone, has_met = self._fleet
        if self._is_cold and not has_met:
            return max(0.0, min(rate, ALONE_REQUESTS_PER_S))
        size = max(size, len(names), 1)
        count = min(size, senders_max)
        # Routers that are not seen may see only each other, and take part for
        # their part of the fleet.
        seen_count = count * len(names) // size
        senders = sorted(
            names, key=lambda name: _rendezvous_score(endpoint, name)
        )[:seen_count]
        if self._router not in senders:
            return 0.0
        share = max(0.0, rate) / count
        if self._is_cold and is_alone:
            share = min(share, ALONE_REQUESTS_PER_S)
        return share

    def _refill(self, endpoint: str, now: float) -> None:
        bucket = self._buckets[endpoint]
        share = self._share(endpoint)
        gained = (now - bucket.updated) * share
        bucket.tokens = min(BURST, bucket.tokens + gained)
        if self._is_cold and not share:
            # The tokens of all senders are within the bound; this router is
            # none of them, and begins again if it becomes one.
            bucket.tokens = min(0.0, bucket.tokens)
        bucket.updated = now


class EndpointLimits:
    """The limits that one router knows, and its shares of them."""

    def __init__(self, router: str) -> None:
        """Creates a table without limits.

        Args:
            router: Name of this router.
        """
        self._router = router
        self._routers: tuple[str, ...] = (router,)
        self._has_met_routers = False
        self._limits: dict[str, Limit] = {}
        self._named = _DividedLimits(router, is_cold=False)
        self._cold = _DividedLimits(router, is_cold=True)
        self._cold_until: dict[str, float] = {}
        self._returning_until: dict[str, float] = {}

    @property
    def limits(self) -> Mapping[str, Limit]:
        """Limits that endpoints named, by the name of the endpoint."""
        return self._limits

    @property
    def has_met_routers(self) -> bool:
        """Whether another router has been seen since the start."""
        return self._has_met_routers

    def set_routers(
        self, names: Collection[str], now: float = 0.0, fleet_size: int = 0
    ) -> None:
        """Sets the routers that share the limits.

        Args:
            names: Names of the routers that take requests; this one may be
                missing.
            now: Monotonic time, seconds; needed once an endpoint is cold.
            fleet_size: Number of routers that may be running, whether they are
                seen or not.
        """
        self._routers = routers = tuple(sorted(names))
        is_alone = not set(routers) - {self._router}
        self._has_met_routers |= not is_alone
        # A named limit is divided among the routers that are seen.
        self._named.set_fleet(_Fleet(routers, len(routers)), now)
        self._cold.set_fleet(
            _Fleet(routers, fleet_size, is_alone, self._has_met_routers), now
        )

    def record(
        self, endpoint: str, requests_per_s: float | None, now: float
    ) -> bool:
        """Records what an answer of an endpoint said of its limit.

        Args:
            endpoint: Name of the endpoint.
            requests_per_s: Requests per second that it takes from all routers
                together; None if it named no limit.
            now: Monotonic time, seconds.

        Returns:
            Whether the limit changed, or has not been confirmed for long, so
            that the other routers must be told.
        """
        known = self._limits.get(endpoint)
        if requests_per_s is None:
            if known is None:
                return False
            self._remove(endpoint)
            return True
        if known is not None and (
            now - known.announced_at < LIMIT_LIFETIME_S / 2
            and abs(requests_per_s - known.requests_per_s)
            <= CHANGE_MIN * known.requests_per_s
        ):
            self._limits[endpoint] = known._replace(confirmed_at=now)
            return False
        self._limits[endpoint] = Limit(requests_per_s, now, now)
        senders_max = max(1, int(ROUTERS_PER_REQUEST_S * requests_per_s))
        self._named.set(endpoint, _Rate(requests_per_s, senders_max), now)
        return True

    def limit_cold(
        self, endpoint: str, rate: ColdRate, until: float, now: float
    ) -> None:
        """Limits an endpoint while it is cold.

        Args:
            endpoint: Name of the endpoint.
            rate: What it takes from all routers together.
            until: Monotonic time until which it is cold, seconds.
            now: Monotonic time, seconds.
        """
        if until <= now:
            return
        if self._cold_until.get(endpoint, until) <= now:
            # It was cold before, and is again.
            self._end_cold(endpoint)
        self._cold_until[endpoint] = until
        self._cold.set(endpoint, _cold_rate(rate), now)

    def cold_among(self, endpoints: Iterable[str], now: float) -> set[str]:
        """Returns the endpoints that are limited because they are cold."""
        return {
            endpoint
            for endpoint in endpoints
            if self._cold_until.get(endpoint, -math.inf) > now
        }

    def exhausted(self, endpoints: Iterable[str], now: float) -> set[str]:
        """Returns the endpoints that this router may not send to now."""
        return {
            endpoint
            for endpoint in endpoints
            if self._wait_s(endpoint, now) > 0
        }

    def record_sent(self, endpoint: str, now: float) -> None:
        """Records that a request is sent to an endpoint."""
        self._named.record_sent(endpoint, now)
        self._cold.record_sent(endpoint, now)

    def return_after_s(
        self, service: str, endpoints: Collection[str], now: float
    ) -> float:
        """Returns when the caller of a refused request should return, seconds.

        Args:
            service: The service.
            endpoints: Names of its endpoints, all of which are exhausted.
            now: Monotonic time, seconds.
        """
        # Callers return to any of the routers.
        rate = sum(
            min(
                self._named.requests_per_s(endpoint),
                self._cold.requests_per_s(endpoint),
            )
            for endpoint in endpoints
        ) / max(1, len(self._routers))
        if rate <= 0:
            return RETURN_MAX_S
        wait_s = min(self._wait_s(endpoint, now) for endpoint in endpoints)
        free_at = now + min(wait_s, 1 / rate)
        after = self._returning_until.get(service, -math.inf)
        at = min(max(free_at, after + 1 / rate), now + RETURN_MAX_S)
        self._returning_until[service] = at
        return at - now

    def retain(self, endpoints: Collection[str], now: float) -> None:
        """Discards the limits of other endpoints and those that are too old."""
        for endpoint, limit in list(self._limits.items()):
            if (
                endpoint not in endpoints
                or now - limit.confirmed_at >= LIMIT_LIFETIME_S
            ):
                self._remove(endpoint)
        for endpoint, until in list(self._cold_until.items()):
            if endpoint not in endpoints or until <= now:
                self._end_cold(endpoint)

    def _remove(self, endpoint: str) -> None:
        del self._limits[endpoint]
        self._named.remove(endpoint)

    def _end_cold(self, endpoint: str) -> None:
        del self._cold_until[endpoint]
        self._cold.remove(endpoint)

    def _wait_s(self, endpoint: str, now: float) -> float:
        """Returns the time until this router may send a request, seconds."""
        wait_s = self._named.wait_s(endpoint, now)
        if self._cold_until.get(endpoint, -math.inf) > now:
            wait_s = max(wait_s, self._cold.wait_s(endpoint, now))
        return wait_s


def _cold_rate(rate: ColdRate) -> _Rate:
    """Returns how the limit of a cold endpoint is divided.

    The buckets of all senders and the refill of one second stay within what
    the endpoint may get in a second.
    """
    requests_per_s, window_max = rate
    # A bucket holds a whole request.
    requests_per_s = max(0.0, min(requests_per_s, window_max - BURST))
    buckets = BUCKETS_SHARE * (window_max - requests_per_s) / BURST
    return _Rate(requests_per_s, max(1, int(buckets)))


def _rendezvous_score(endpoint: str, router: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{endpoint}#{router}".encode())
