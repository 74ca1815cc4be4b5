"""Compares a new configuration with the one in force."""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, NamedTuple

from nutmegpost_core import configuration

__all__ = ["Change", "compare", "refusal_reason"]

_LIST_KEYS = ("classes", "accounts", "models", "services")
_ROLLOUT_KEYS = frozenset(["version", "adapter", "role"])
_REMOVAL_EFFECTS = {
    "classes": "requests of this class are refused",
    "accounts": "callers of this account are refused",
    "models": "requests for this model are refused",
    "services": "calls of this service are refused",
}
_DIGEST_CHARS = 8


class Change(NamedTuple):
    """One difference between two configurations.

    Attributes:
        key: Path of the value, such as `models.panel.version`.
        text: The old and the new value, or `added` or `removed`.
        effect: Consequence for callers or engines; empty if the key and the
            text make it clear.
    """

    key: str
    text: str
    effect: str


def refusal_reason(
    version: int, digest: str, version_in_force: int, digest_in_force: str
) -> str:
    """Returns why the routers would refuse a valid document.

    Args:
        version: Version of the document.
        digest: Digest of the document.
        version_in_force: Highest version in force; 0 for none.
        digest_in_force: Digest of that version.

    Returns:
        The reason; empty if they would accept the document or already use it.
    """
    if version > version_in_force or digest == digest_in_force:
        return ""
    if version == version_in_force:
        return f"version {version} is in force with another content"
    return f"version {version} is below {version_in_force}, which is in force"


def compare(
    before: configuration.Document, after: configuration.Document
) -> list[Change]:
    """Returns the differences between two configurations.

    Args:
        before: The configuration in force.
        after: The new one.

    Returns:
        The changes in the order of the document, without that of the version.
    """
    changes: list[Change] = []
    if before["load_bound"] != after["load_bound"]:
        text = f"{before['load_bound']} -> {after['load_bound']}"
        changes.append(Change("load_bound", text, ""))
    old: Mapping[str, Any] = before
    new: Mapping[str, Any] = after
    for list_key in _LIST_KEYS:
        changes.extend(_compare_items(list_key, old[list_key], new[list_key]))
    return changes


def _compare_items(
    list_key: str,
    before: Sequence[Mapping[str, Any]],
    after: Sequence[Mapping[str, Any]],
) -> Iterator[Change]:
    old = {entry["name"]: entry for entry in before}
    new = {entry["name"]: entry for entry in after}
    for name in [*old, *(name for name in new if name not in old)]:
        path = f"{list_key}.{name}"
        if name not in new:
            yield Change(path, "removed", _REMOVAL_EFFECTS[list_key])
        elif name not in old:
            yield Change(path, "added", "")
        else:
            yield from _compare_keys(list_key, path, old[name], new[name])


def _compare_keys(
    list_key: str, path: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[Change]:
    for key in [*old, *(key for key in new if key not in old)]:
        before = old.get(key)
        after = new.get(key)
        if before != after:
            text = f"{_format_value(before)} -> {_format_value(after)}"
            yield Change(
                f"{path}.{key}", text, _effect(list_key, key, old, new)
            )


def _effect(
    list_key: str, key: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> str:
    if list_key == "models" and key in _ROLLOUT_KEYS:
        limit = new["rollout"]["max_unavailable"]
        return f"rollout, at most {limit} engines out of service at once"
    if key == "key_digests":
        count = len(set(old[key]) - set(new[key]))
        return f"keys refused from now on: {count}" if count else ""
    if key == "classes":
        removed = sorted(set(old[key]) - set(new[key]))
        return f"refused: {', '.join(removed)}" if removed else ""
    return ""


def _format_value(value: Any) -> str:
    if value is None:
        return "none"
    if isinstance(value, list):
        return "[" + ", ".join(_format_value(item) for item in value) + "]"
    if isinstance(value, dict):
        parts = [f"{key} {_format_value(item)}" for key, item in value.items()]
        return ", ".join(parts)
    if isinstance(value, str) and len(value) > 2 * _DIGEST_CHARS:
        return value[:_DIGEST_CHARS] + "..."
    return str(value)
