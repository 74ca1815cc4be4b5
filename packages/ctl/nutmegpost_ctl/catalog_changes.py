"""Compares a new configuration of the gateways with the one in force."""

from collections.abc import Iterator, Mapping
from typing import Any

from nutmegpost_core import catalog
from nutmegpost_ctl import changes

__all__ = ["compare"]

_REMOVAL_EFFECTS = {
    "routes": "requests that no other route matches are refused",
    "services": "its endpoints get no requests",
    "tenants": "callers of this account are refused",
}
# Keys of the document for fields that it names otherwise. Times are shown in
# the milliseconds of the document.
_DOCUMENT_KEYS = {
    "shares": "trafficSplit",
    "timeout_s": "timeoutMs",
    "target_s": "targetLatencyMs",
    "rank": "priority",
    "endpoints_max": "maxAttempts",
    "is_public": "public",
    "event_gap_max_s": "gapAimMs",
    "connections_max": "maxConns",
    "slots": "engine.slots",
    "cache_tokens": "engine.kvCapacity",
    "fetch_tokens_per_s": "engine tokens fetched per second",
    "cold_start_s": "coldStartS",
    "cold_per_s": "coldPerS",
    "header_bytes": "maxHeaderBytes",
    "body_bytes": "maxBodyBytes",
    "header_timeout_s": "headerTimeoutMs",
    "idle_timeout_s": "idleTimeoutMs",
}

_Fields = Mapping[str, Any]


def compare(
    before: catalog.Content, after: catalog.Content
) -> list[changes.Change]:
    """Returns the differences between two configurations.

    Routes are identified by host and prefix, services and accounts by name. Of
    duplicate entries the last one counts. API keys are counted, not shown.

    Args:
        before: The configuration in force.
        after: The new one.

    Returns:
        The changes, by section of the document, without that of the version.
    """
    found = [
        *_compare_items("routes", _routes(before), _routes(after)),
        *_compare_items("services", _services(before), _services(after)),
    ]
    if (before.accounts is None) != (after.accounts is None):
        text = "removed" if after.accounts is None else "added"
        needed = "no" if after.accounts is None else "a"
        effect = f"requests on non-public routes need {needed} key"
        found.append(changes.Change("tenants", text, effect))
    else:
        found.extend(_compare_accounts(before, after))
    found.extend(
        _compare_fields(
            "limits", before.limits._asdict(), after.limits._asdict()
        )
    )
    return found


def _routes(content: catalog.Content) -> dict[str, _Fields]:
    return {
        route.host + route.prefix: route._asdict() for route in content.routes
    }


def _services(content: catalog.Content) -> dict[str, _Fields]:
    return {service.name: service._asdict() for service in content.services}


def _accounts(content: catalog.Content) -> dict[str, _Fields]:
    return {
        entry.account.name: entry.account._asdict()
        for entry in content.accounts or ()
    }


def _keys(content: catalog.Content) -> dict[str, set[str]]:
    keys: dict[str, set[str]] = {}
    for entry in content.accounts or ():
        keys.setdefault(entry.account.name, set()).update(entry.keys)
    return keys


def _compare_items(
    section: str, before: Mapping[str, _Fields], after: Mapping[str, _Fields]
) -> Iterator[changes.Change]:
    for name in [*before, *(name for name in after if name not in before)]:
        path = f"{section}.{name}"
        if name not in after:
            yield changes.Change(path, "removed", _REMOVAL_EFFECTS[section])
        elif name not in before:
            yield changes.Change(path, "added", "")
        else:
            yield from _compare_fields(path, before[name], after[name])


def _compare_fields(
    path: str, before: _Fields, after: _Fields
) -> Iterator[changes.Change]:
    for field, old in before.items():
        new = after[field]
        if old != new:
            key = _DOCUMENT_KEYS.get(field, field)
            text = f"{_format_value(key, old)} -> {_format_value(key, new)}"
            yield changes.Change(f"{path}.{key}", text, "")


def _compare_accounts(
    before: catalog.Content, after: catalog.Content
) -> Iterator[changes.Change]:
    yield from _compare_items("tenants", _accounts(before), _accounts(after))
    old_keys = _keys(before)
    for name, new in _keys(after).items():
        old = old_keys.get(name)
        if old is not None and old != new:
            removed = len(old - new)
            yield changes.Change(
                f"tenants.{name}.apiKeys",
                f"{len(new - old)} added, {removed} removed",
                f"keys refused from now on: {removed}" if removed else "",
            )


def _format_value(key: str, value: Any) -> str:
    if value is None:
        return "none"
    if key == "trafficSplit":
        return ", ".join(f"{share.service} {share.weight:g}" for share in value)
    if key.endswith("Ms"):
        return f"{value * 1000:.10g}"
    if isinstance(value, float):
        return f"{value:.10g}"
    return str(value)
