"""Request limits that endpoints name, divided among the routers.

An endpoint in need names the requests a second that it takes from all routers
together. For each limited endpoint the routers compute alike which of them send
requests to it, and each of these has an equal share of the limit in a token
bucket of its own. With a low limit only few routers send, because each one can
send a whole request at any moment.

A request that no endpoint can take is refused. Its caller is told to return
when a token will be free, later than those that were told so before.
"""

from collections.abc import Collection, Iterable, Mapping
import math
from typing import NamedTuple

import xxhash

__all__ = ["LIMIT_LIFETIME_S", "EndpointLimits", "Limit"]

# Routers that share a limit, per request a second. Together their buckets hold
# no more than the limit allows in two seconds.
ROUTERS_PER_REQUEST_S = 2.0
# Requests that the bucket of one router holds.
BURST = 1.0
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


class _Bucket:
    __slots__ = ("tokens", "updated")

    def __init__(self, now: float) -> None:
        self.tokens = BURST
        self.updated = now


class EndpointLimits:
    """The limits that one router knows, and its shares of them."""

    def __init__(self, router: str) -> None:
        """Creates a table without limits.

        Args:
            router: Name of this router.
        """
        self._router = router
        self._routers: tuple[str, ...] = (router,)
        self._limits: dict[str, Limit] = {}
        self._shares: dict[str, float] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._returning_until: dict[str, float] = {}

    @property
    def limits(self) -> Mapping[str, Limit]:
        """Limits by the name of the endpoint."""
        return self._limits

    def set_routers(self, names: Collection[str]) -> None:
        """Sets the routers that take requests; this one may be missing."""
        routers = tuple(sorted(names))
        if routers != self._routers:
            self._routers = routers
            self._shares.clear()

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
        if known is None:
            self._buckets[endpoint] = _Bucket(now)
        else:
            self._refill(endpoint, now)
        self._limits[endpoint] = Limit(requests_per_s, now, now)
        self._shares.pop(endpoint, None)
        return True

    def exhausted(self, endpoints: Iterable[str], now: float) -> set[str]:
        """Returns the endpoints that this router may not send to now."""
        return {
            endpoint
            for endpoint in endpoints
            if endpoint in self._limits and self._wait_s(endpoint, now) > 0
        }

    def record_sent(self, endpoint: str, now: float) -> None:
        """Records that a request is sent to an endpoint."""
        if endpoint in self._limits:
            self._refill(endpoint, now)
            self._buckets[endpoint].tokens -= 1

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
            self._limits[endpoint].requests_per_s for endpoint in endpoints
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

    def _remove(self, endpoint: str) -> None:
        del self._limits[endpoint], self._buckets[endpoint]
        self._shares.pop(endpoint, None)

    def _share(self, endpoint: str) -> float:
        """Returns the requests per second that this router may send."""
        share = self._shares.get(endpoint)
        if share is None:
            share = self._shares[endpoint] = self._compute_share(endpoint)
        return share

    def _compute_share(self, endpoint: str) -> float:
        rate = self._limits[endpoint].requests_per_s
        count = min(
            len(self._routers), max(1, int(ROUTERS_PER_REQUEST_S * rate))
        )
        senders = sorted(
            self._routers, key=lambda name: _rendezvous_score(endpoint, name)
        )[:count]
        return rate / count if self._router in senders else 0.0

    def _refill(self, endpoint: str, now: float) -> None:
        bucket = self._buckets[endpoint]
        gained = (now - bucket.updated) * self._share(endpoint)
        bucket.tokens = min(BURST, bucket.tokens + gained)
        bucket.updated = now

    def _wait_s(self, endpoint: str, now: float) -> float:
        """Returns the time until this router may send a request, seconds."""
        share = self._share(endpoint)
        if share <= 0:
            return math.inf
        self._refill(endpoint, now)
        return max(0.0, 1 - self._buckets[endpoint].tokens) / share


def _rendezvous_score(endpoint: str, router: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{endpoint}#{router}".encode())
