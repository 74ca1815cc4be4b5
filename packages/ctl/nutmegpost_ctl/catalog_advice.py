"""Checks of the gateways' configuration before it is published.

The gateways accept every document that can be decoded. The checks find entries
that contradict each other or have no effect. No text contains an API key.
"""

import collections
from collections.abc import Iterable, Iterator

from nutmegpost_core import catalog
from nutmegpost_ctl import advice

__all__ = ["advise", "find_errors"]


def find_errors(content: catalog.Content) -> list[advice.Advice]:
    """Returns why a configuration must not be published.

    Args:
        content: The configuration.

    Returns:
        The errors, by section of the document.
    """
    return [
        *_duplicate_routes(content.routes),
        *_missing_services(content),
        *_duplicates(
            "$.services", [service.name for service in content.services]
        ),
        *_shared_keys(content.accounts or ()),
    ]


def advise(content: catalog.Content) -> list[advice.Advice]:
    """Returns what has no effect or looks like a mistake.

    Args:
        content: The configuration.

    Returns:
        The warnings, by section of the document.
    """
    warnings: list[advice.Advice] = []
    if not content.routes:
        warnings.append(
            advice.Advice("$.routes", "is empty: nothing is served")
        )
    for position, route in enumerate(content.routes):
        path = f"$.routes[{position}]"
        warnings.extend(_advise_match(route, path))
        warnings.extend(_advise_times(route, path))
    warnings.extend(_advise_services(content))
    warnings.extend(_advise_accounts(content.accounts))
    limits = content.limits
    if limits.header_timeout_s > limits.idle_timeout_s:
        warnings.append(
            advice.Advice("$.limits.headerTimeoutMs", "is above idleTimeoutMs")
        )
    return warnings


def _duplicate_routes(
    routes: Iterable[catalog.Route],
) -> Iterator[advice.Advice]:
    # The last of several equal routes is in force; see `catalog.Catalog`.
    last = {
        (route.host, route.prefix): position
        for position, route in enumerate(routes)
    }
    for position, route in enumerate(routes):
        winner = last[route.host, route.prefix]
        if winner != position:
            yield advice.Advice(
                f"$.routes[{position}]",
                f"{route.name} never matches: $.routes[{winner}] has the same "
                "host and prefix",
            )


def _missing_services(content: catalog.Content) -> Iterator[advice.Advice]:
    known = {service.name for service in content.services}
    for position, route in enumerate(content.routes):
        for share in route.shares:
            if share.service not in known:
                yield advice.Advice(
                    f"$.routes[{position}]",
                    f"{route.name} names service {share.service}, which does "
                    "not exist",
                )


def _duplicates(path: str, names: Iterable[str]) -> Iterator[advice.Advice]:
    for name, count in collections.Counter(names).items():
        if count > 1:
            yield advice.Advice(path, f"{name} is listed {count} times")


def _shared_keys(
    accounts: Iterable[catalog.AccountKeys],
) -> Iterator[advice.Advice]:
    owners: dict[str, int] = {}
    for position, entry in enumerate(accounts):
        for index, key in enumerate(entry.keys):
            owner = owners.setdefault(key, position)
            if owner != position:
                yield advice.Advice(
                    f"$.tenants[{position}].apiKeys[{index}]",
                    f"of {entry.account.name} is also a key of "
                    f"$.tenants[{owner}]",
                )


def _advise_match(route: catalog.Route, path: str) -> Iterator[advice.Advice]:
    if not route.prefix.startswith("/"):
        yield advice.Advice(
            f"{path}.prefix", "does not begin with a slash and never matches"
        )
    elif not route.prefix.endswith("/"):
        yield advice.Advice(
            f"{path}.prefix", "does not end with a slash and never matches"
        )
    if ":" in route.host:
        # The port of a request is removed before its route is looked up.
        yield advice.Advice(f"{path}.host", "has a port and never matches")
    for share in route.shares:
        if share.weight == 0:
            yield advice.Advice(
                f"{path}.trafficSplit",
                f"{share.service} has weight 0 and gets no requests",
            )


def _advise_times(route: catalog.Route, path: str) -> Iterator[advice.Advice]:
    if route.target_s > route.timeout_s:
        yield advice.Advice(f"{path}.targetLatencyMs", "is above timeoutMs")
    is_stream = route.kind is catalog.RequestKind.STREAM
    # Routes of other kinds have the default, which has no effect on them.
    if is_stream and route.event_gap_max_s > route.timeout_s:
        yield advice.Advice(f"{path}.gapAimMs", "is above timeoutMs")
    if route.endpoints_max > 1 and not route.repeatable:
        yield advice.Advice(
            f"{path}.maxAttempts", "is above 1, but requests are not repeatable"
        )


def _advise_services(content: catalog.Content) -> Iterator[advice.Advice]:
    used = {share.service for route in content.routes for share in route.shares}
    for position, service in enumerate(content.services):
        path = f"$.services[{position}]"
        if service.name not in used:
            yield advice.Advice(path, f"{service.name} has no route")
        if service.cold_per_s and not service.cold_start_s:
            yield advice.Advice(
                f"{path}.coldPerS",
                "without coldStartS load does not shift gradually to a cold "
                "endpoint",
            )
        if service.cold_start_s and not service.cold_per_s:
            yield advice.Advice(
                f"{path}.coldStartS", "has no effect without coldPerS"
            )


def _advise_accounts(
    accounts: tuple[catalog.AccountKeys, ...] | None,
) -> Iterator[advice.Advice]:
    if accounts is None:
        return
    if not any(entry.keys for entry in accounts):
        yield advice.Advice(
            "$.tenants", "have no keys: only public routes are served"
        )
    yield from _duplicates(
        "$.tenants", [entry.account.name for entry in accounts]
    )
    for position, entry in enumerate(accounts):
        if not entry.keys:
            yield advice.Advice(
                f"$.tenants[{position}].apiKeys",
                f"of {entry.account.name} is empty",
            )
