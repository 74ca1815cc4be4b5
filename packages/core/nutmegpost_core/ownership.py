"""Assigns endpoints to owning routers by rendezvous hashing.

Routers with the same lists of live routers and endpoints compute the same
owners. When a router leaves, only its endpoints get new owners; when one joins,
it takes over endpoints from each of the others.
"""

from collections.abc import Iterable, Sequence

import xxhash

__all__ = ["Owners", "first", "owner"]


def owner(endpoint: str, routers: Sequence[str]) -> str:
    """Returns the router that owns an endpoint.

    Args:
        endpoint: Name of the endpoint.
        routers: Names of the live routers, in any order.

    Raises:
        LookupError: There are no routers.
    """
    if not routers:
        raise LookupError("no routers")
    return max(routers, key=lambda router: (_score(endpoint, router), router))


def first(key: str, routers: Sequence[str], count: int) -> list[str]:
    """Returns the routers that come first for a key.

    Args:
        key: Any key, such as the name of an endpoint.
        routers: Names of the routers, in any order.
        count: Maximum number of routers to return.
    """
    return sorted(
        routers, key=lambda router: (_score(key, router), router), reverse=True
    )[:count]


def _score(endpoint: str, router: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{router}|{endpoint}".encode())


class Owners:
    """The owners of all endpoints for one set of live routers."""

    def __init__(self, routers: Iterable[str], endpoints: Iterable[str]):
        """Computes the owner of each endpoint.

        Args:
            routers: Names of the live routers.
            endpoints: Names of the endpoints.
        """
        self._routers = sorted(set(routers))
        self._owners: dict[str, str] = {}
        self._owned: dict[str, list[str]] = {}
        if not self._routers:
            return
        for endpoint in sorted(set(endpoints)):
            router = owner(endpoint, self._routers)
            self._owners[endpoint] = router
            self._owned.setdefault(router, []).append(endpoint)

    @property
    def routers(self) -> list[str]:
        """Names of the live routers, sorted."""
        return list(self._routers)

    def owner_of(self, endpoint: str) -> str:
        """Returns the owner of an endpoint.

        Raises:
            LookupError: The endpoint is unknown, or there are no routers.
        """
        return self._owners[endpoint]

    def owned_by(self, router: str) -> list[str]:
        """Returns the endpoints that a router owns, sorted."""
        return list(self._owned.get(router, ()))
