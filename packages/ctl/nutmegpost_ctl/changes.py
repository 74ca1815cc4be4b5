"""What a new configuration changes against the one in force."""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, NamedTuple

from nutmegpost_core import configuration

__all__ = ["Change", "compare", "verdict"]

_LISTS = ("classes", "accounts", "models", "services")
_ROLLOUT_KEYS = frozenset(["version", "adapter", "role"])
_REMOVED = {
    "classes": "requests of this class are refused",
    "accounts": "callers of this account are refused",
    "models": "requests for this model are refused",
    "services": "calls of this service are refused",
}
_DIGEST_CHARS = 8


class Change(NamedTuple):
    """One difference.

    Attributes:
        key: What differs, such as `models.panel.version`.
        text: How it differs.
        effect: What follows for callers or engines; empty when nothing that
            the key does not say itself.
    """

    key: str
    text: str
    effect: str


def verdict(
    version: int, digest: str, in_force: int, digest_in_force: str
) -> str:
    """Returns why a checked document would not come into force.

    Args:
        version: Version of the document.
        digest: Digest of the document.
        in_force: Highest version in force; 0 for none.
        digest_in_force: Digest of that version.

    Returns:
        The reason; empty when it would come into force, or is in force.
    """
    if version > in_force or digest == digest_in_force:
        return ""
    if version == in_force:
        return f"version {version} is in force with another content"
    return f"version {version} is below {in_force}, which is in force"


def compare(
    before: configuration.Document, after: configuration.Document
) -> list[Change]:
    """Returns what changes.

    Args:
        before: The configuration in force.
        after: The new one.

    Returns:
        The changes, in the order of the document; the version is left out.
    """
    found: list[Change] = []
    if before["load_bound"] != after["load_bound"]:
        text = f"{before['load_bound']} -> {after['load_bound']}"
        found.append(Change("load_bound", text, ""))
    old: Mapping[str, Any] = before
    new: Mapping[str, Any] = after
    for kind in _LISTS:
        found.extend(_compare_items(kind, old[kind], new[kind]))
    return found


def _compare_items(
    kind: str,
    before: Sequence[Mapping[str, Any]],
    after: Sequence[Mapping[str, Any]],
) -> Iterator[Change]:
    old = {item["name"]: item for item in before}
    new = {item["name"]: item for item in after}
    for name in [*old, *(name for name in new if name not in old)]:
        path = f"{kind}.{name}"
        if name not in new:
            yield Change(path, "removed", _REMOVED[kind])
        elif name not in old:
            yield Change(path, "added", "")
        else:
            yield from _compare_keys(kind, path, old[name], new[name])


def _compare_keys(
    kind: str, path: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[Change]:
    for key in [*old, *(key for key in new if key not in old)]:
        before = old.get(key)
        after = new.get(key)
        if before != after:
            text = f"{_text(before)} -> {_text(after)}"
            yield Change(f"{path}.{key}", text, _effect(kind, key, old, new))


def _effect(
    kind: str, key: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> str:
    if kind == "models" and key in _ROLLOUT_KEYS:
        most = new["rollout"]["max_unavailable"]
        return f"rollout, at most {most} engines out of service at once"
    if key == "key_digests":
        count = len(set(old[key]) - set(new[key]))
        return f"keys refused from now on: {count}" if count else ""
    if key == "classes":
        gone = sorted(set(old[key]) - set(new[key]))
        return f"refused: {', '.join(gone)}" if gone else ""
    return ""


def _text(value: Any) -> str:
    if value is None:
        return "none"
    if isinstance(value, list):
        return "[" + ", ".join(_text(item) for item in value) + "]"
    if isinstance(value, dict):
        parts = [f"{key} {_text(item)}" for key, item in value.items()]
        return ", ".join(parts)
    if isinstance(value, str) and len(value) > 2 * _DIGEST_CHARS:
        return value[:_DIGEST_CHARS] + "..."
    return str(value)
