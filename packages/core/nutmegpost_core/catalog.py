"""Routes, services and client accounts of one version of the configuration.

A gateway builds a catalog once for each version of the configuration, from
validated data, and uses it for all routing decisions.
"""

from collections.abc import Iterable, Mapping
import enum
from typing import NamedTuple

import xxhash

__all__ = [
    "Account",
    "AccountKeys",
    "Catalog",
    "Content",
    "Limits",
    "RequestKind",
    "Route",
    "Service",
    "TrafficShare",
    "choose_service",
]


class RequestKind(enum.StrEnum):
    """How often the requests of a route may be executed.

    SAFE: Any number of times; the requests are idempotent.
    UNSAFE: At most once for each attempt of the caller.
    STREAM: The answer is a stream of events; see `Route.resumable`.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class TrafficShare(NamedTuple):
    """Weight of one service in the traffic split of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """The requests of one host and path prefix, and how they are handled.

    Attributes:
        name: Its name.
        host: Host of the requests, in lower case.
        prefix: Path prefix, ending in a slash.
        kind: How often a request may be executed.
        shares: Services of the route, with their weights.
        timeout_s: Maximum time to an answer, seconds.
        target_s: Latency target of an answer, seconds.
        rank: Priority; 0 is the highest.
        endpoints_max: Maximum number of endpoints that one request may run on.
        is_public: Whether requests need no key.
        resumable: Whether a stream can be resumed at another endpoint.
        event_gap_max_s: Target for the time between events, seconds.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[TrafficShare, ...]
    timeout_s: float
    target_s: float
    rank: int
    endpoints_max: int
    is_public: bool
    resumable: bool
    event_gap_max_s: float

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have been executed can be retried."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.SAFE


class Service(NamedTuple):
    """A group of interchangeable endpoints.

    Attributes:
        name: Its name.
        connections_max: Maximum number of connections of all routers to one
            endpoint.
        slots: Requests that an endpoint runs concurrently; 0 if unknown.
        cache_tokens: Prompt tokens that fit in the cache of an endpoint; 0 for
            a plain service.
        fetch_tokens_per_s: Rate at which an endpoint fetches cached prompt
            tokens from another endpoint, tokens per second; 0 if it cannot.
        cold_start_s: Time for which an endpoint is cold after it starts,
            seconds; 0 if unknown.
        cold_per_s: Requests per second that a cold endpoint takes from all
            routers together; 0 for no limit.
    """

    name: str
    connections_max: int
    slots: int = 0
    cache_tokens: int = 0
    fetch_tokens_per_s: float = 0.0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class Account(NamedTuple):
    """A client account.

    Attributes:
        name: Its name.
        rank: Priority that overrides the rank of the route; None for none.
    """

    name: str
    rank: int | None


class Limits(NamedTuple):
    """Limits on the requests of callers.

    Sizes are in bytes, timeouts in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class AccountKeys(NamedTuple):
    """An account and the API keys of its callers."""

    account: Account
    keys: tuple[str, ...]


class Content(NamedTuple):
    """The entries of a configuration as listed, with any duplicates.

    Attributes:
        version: Version of the configuration.
        routes: All routes.
        services: All services.
        accounts: All accounts; None if no request needs a key.
        limits: Limits on the requests of callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    accounts: tuple[AccountKeys, ...] | None
    limits: Limits


class Catalog:
    """One version of the configuration."""

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        accounts: Mapping[str, Account] | None,
        limits: Limits,
    ):
        """Builds the lookup tables.

        Args:
            version: Version of the configuration.
            routes: All routes.
            services: All services.
            accounts: Accounts by key; None if no request needs a key.
            limits: Limits on the requests of callers.
        """
        self._version = version
        self._services = {service.name: service for service in services}
        self._accounts = accounts
        self._limits = limits
        self._routes: dict[tuple[str, str], Route] = {}
        for route in routes:
            self._routes[route.host, route.prefix] = route

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self._version

    @property
    def limits(self) -> Limits:
        """Limits on the requests of callers."""
        return self._limits

    @property
    def services(self) -> Mapping[str, Service]:
        """Services by name."""
        return self._services

    @property
    def needs_key(self) -> bool:
        """Whether requests on non-public routes need a key."""
        return self._accounts is not None

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None.

        Args:
            host: Host of the request, with or without a port.
            path: Path with or without a query.
        """
        name = host.partition(":")[0].lower()
        prefix = path.partition("?")[0]
        while True:
            slash = prefix.rfind("/")
            if slash < 0:
                return None
            route = self._routes.get((name, prefix[: slash + 1]))
            if route is not None:
                return route
            prefix = prefix[:slash]

    def account(self, key: str) -> Account | None:
        """Returns the account of a key, or None."""
        return self._accounts.get(key) if self._accounts else None


def choose_service(route: Route, request_id: str) -> str:
    """Returns the service of a request by the weights of its route.

    The choice is a hash of the request id, so the same id always gets the same
    service.

    Args:
        route: Route of the request.
        request_id: Id of the request.
    """
    total = sum(share.weight for share in route.shares)
    digest = xxhash.xxh3_64_intdigest(request_id.encode())
    point = digest / 2**64 * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
