"""Routes, services and client accounts of one version of the configuration.

A catalog is the form that a gateway decides by. It is built once for each
version, and look-ups need no further checks.
"""

from collections.abc import Iterable, Mapping
import enum
from typing import NamedTuple

import xxhash

__all__ = [
    "Account",
    "Catalog",
    "Kind",
    "Limits",
    "Route",
    "Service",
    "Share",
    "choose_service",
]


class Kind(enum.StrEnum):
    """What may be repeated of a request.

    SAFE: It may run any number of times.
    UNSAFE: It may run once for each attempt of the caller.
    STREAM: Its answer is a stream of events; see `Route.resumable`.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Share(NamedTuple):
    """Part of the requests of a route that goes to one service."""

    service: str
    weight: float


class Route(NamedTuple):
    """One class of work, by host and prefix of the path.

    Attributes:
        name: Its name.
        host: Host of the requests, in lower case.
        prefix: What the path begins with.
        kind: What may be repeated.
        shares: Services that serve it.
        timeout_s: Longest time that a caller is kept waiting.
        target_s: Time within which an answer is worth most.
        rank: Urgency, 0 is the highest.
        endpoints_max: Most endpoints that one request may run on.
        is_public: Whether it needs no key.
        resumable: Whether a stream may go on at another endpoint.
        pause_s: Longest pause between events that is on time.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    shares: tuple[Share, ...]
    timeout_s: float
    target_s: float
    rank: int
    endpoints_max: int
    is_public: bool
    resumable: bool
    pause_s: float

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again after it may have run."""
        if self.kind is Kind.STREAM:
            return self.resumable
        return self.kind is Kind.SAFE


class Service(NamedTuple):
    """A group of endpoints that serve alike.

    Attributes:
        name: Its name.
        connections_max: Connections that each endpoint takes from all
            routers together.
        slots: Requests that an endpoint runs at once; 0 when not told.
        cache_tokens: Prompt tokens that an endpoint keeps; 0 for a plain
            service.
        fetch_tokens_per_s: Rate at which an endpoint fetches cached prompt
            tokens from another endpoint, tokens per second; 0 if it cannot.
    """

    name: str
    connections_max: int
    slots: int = 0
    cache_tokens: int = 0
    fetch_tokens_per_s: float = 0.0


class Account(NamedTuple):
    """A client account.

    Attributes:
        name: Its name.
        rank: Rank of its requests, before that of the route; None for none.
    """

    name: str
    rank: int | None


class Limits(NamedTuple):
    """Bounds on what callers send."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


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
        """Builds the look-up tables.

        Args:
            version: Version of the configuration.
            routes: All routes.
            services: All services.
            accounts: Accounts by key; None when requests need no key.
            limits: Bounds on what callers send.
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
        """Bounds on what callers send."""
        return self._limits

    @property
    def services(self) -> Mapping[str, Service]:
        """Services by name."""
        return self._services

    @property
    def needs_key(self) -> bool:
        """Whether routes that are not public need a key."""
        return self._accounts is not None

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix, or None.

        Args:
            host: Host of the request, with or without a port.
            path: Path with or without a query.
        """
        name = host.partition(":")[0].lower()
        prefix = path.partition("?")[0]
        while True:
            cut = prefix.rfind("/")
            if cut < 0:
                return None
            found = self._routes.get((name, prefix[: cut + 1]))
            if found is not None:
                return found
            prefix = prefix[:cut]

    def account(self, key: str) -> Account | None:
        """Returns the account that holds a key, or None."""
        return self._accounts.get(key) if self._accounts else None


def choose_service(route: Route, request_id: str) -> str:
    """Returns the service of one request, by the weights of its route."""
    total = sum(share.weight for share in route.shares)
    digest = xxhash.xxh3_64_intdigest(request_id.encode())
    point = digest / 2**64 * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
