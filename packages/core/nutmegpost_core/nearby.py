"""Selects the routers that a caller should connect to, by availability zone."""

from collections.abc import Mapping

__all__ = ["ROUTERS_MIN", "nearby_routers"]

# Routers of a zone that are enough for its callers: when some of them fail,
# others are left in the answer that callers have cached.
ROUTERS_MIN = 4


def nearby_routers(zone_by_router: Mapping[str, str], zone: str) -> list[str]:
    """Returns the names of the routers to list for a caller, sorted.

    These are the routers of the caller's zone, so that its requests and their
    answers do not cross zones, or all of them if there are too few.

    Args:
        zone_by_router: Zone of each reachable router, by its name.
        zone: Zone of the caller; empty if unknown.
    """
    nearby = [name for name, at in zone_by_router.items() if at == zone]
    if len(nearby) < ROUTERS_MIN:
        return sorted(zone_by_router)
    return sorted(nearby)
