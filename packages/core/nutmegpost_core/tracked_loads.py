"""Requests in flight at endpoints, counted by one router of the fleet each.

In a large fleet each router sends an endpoint a small part of its requests, and
reports of all parts to all routers would cost too much. There one router, the
tracker of the endpoint, adds the parts up: each router tells it its own part,
and asks it for that of all others before it sends a request.

A part counts until it is replaced or has not been repeated for some time, so a
router that died, or a message that was lost, distorts the sum only that long.
"""

from typing import NamedTuple

__all__ = ["PART_LIFETIME_S", "TrackedLoads"]

# Time after which a part that was not repeated is discarded.
PART_LIFETIME_S = 3.0


class _Part(NamedTuple):
    running: int
    at: float


class TrackedLoads:
    """The parts of the load of the endpoints that this router tracks."""

    def __init__(self) -> None:
        self._parts: dict[str, dict[str, _Part]] = {}

    def record(
        self, endpoint: str, router: str, running: int, now: float
    ) -> None:
        """Replaces the part of a router.

        Args:
            endpoint: Name of the endpoint.
            router: Name of the router.
            running: Requests that it has in flight there.
            now: Monotonic time, seconds.
        """
        parts = self._parts.setdefault(endpoint, {})
        if running:
            parts[router] = _Part(running, now)
        else:
            parts.pop(router, None)
        if not parts:
            del self._parts[endpoint]

    def others(self, endpoint: str, router: str) -> int:
        """Returns the requests in flight of all routers but one.

        Args:
            endpoint: Name of the endpoint.
            router: Name of the router that is left out.
        """
        return sum(
            part.running
            for name, part in self._parts.get(endpoint, {}).items()
            if name != router
        )

    def expire(self, now: float) -> None:
        """Discards the parts that were not repeated in time."""
        oldest = now - PART_LIFETIME_S
        kept = {
            endpoint: {
                router: part
                for router, part in parts.items()
                if part.at >= oldest
            }
            for endpoint, parts in self._parts.items()
        }
        self._parts = {
            endpoint: parts for endpoint, parts in kept.items() if parts
        }
