"""Advice on a configuration that passes its checks but looks like a mistake.

`configuration.parse` decides whether a router accepts a document; advice does
not affect that.
"""

from collections.abc import Iterator
import typing
from typing import Any, NamedTuple

import msgspec

from nutmegpost_core import configuration

__all__ = ["Advice", "advise"]

_LOAD_BOUND_ADVISED_MIN = 1.1
_WITHIN_ADVISED_MAX = 0.999


class Advice(NamedTuple):
    """One value that looks like a mistake.

    Attributes:
        key: Path of the value, such as `$.classes[2].worth`.
        text: Why it looks like a mistake.
    """

    key: str
    text: str


def advise(published: configuration.Published) -> list[Advice]:
    """Returns what looks like a mistake in a valid configuration.

    Args:
        published: The configuration.

    Returns:
        The advice, in the order of the document.
    """
    document = published.document
    raw = msgspec.json.decode(published.data)
    return [
        *_unknown_keys(raw, configuration.Document, "$"),
        *_advise_document(document),
        *_advise_classes(document),
        *_advise_accounts(document),
        *_advise_names(document),
    ]


def _unknown_keys(
    value: Any, declared_type: Any, path: str
) -> Iterator[Advice]:
    """Yields keys that a router of this version ignores."""
    origin = typing.get_origin(declared_type)
    if origin is list:
        (element_type,) = typing.get_args(declared_type)
        for position, element in enumerate(value):
            yield from _unknown_keys(
                element, element_type, f"{path}[{position}]"
            )
    elif typing.is_typeddict(declared_type):
        fields = typing.get_type_hints(declared_type)
        for key, nested in value.items():
            if key not in fields:
                yield Advice(f"{path}.{key}", "is not known and is ignored")
            else:
                yield from _unknown_keys(nested, fields[key], f"{path}.{key}")


def _advise_document(document: configuration.Document) -> Iterator[Advice]:
    if document["load_bound"] < _LOAD_BOUND_ADVISED_MIN:
        yield Advice(
            "$.load_bound",
            f"below {_LOAD_BOUND_ADVISED_MIN} moves chats off the engines that "
            "hold their cache",
        )
    if not document["accounts"]:
        yield Advice("$.accounts", "is empty: every caller is refused")
    if not document["models"] and not document["services"]:
        yield Advice("$.models", "and services are empty: nothing is served")


def _advise_classes(document: configuration.Document) -> Iterator[Advice]:
    classes = document["classes"]
    used = {
        name for account in document["accounts"] for name in account["classes"]
    }
    for position, work_class in enumerate(classes):
        path = f"$.classes[{position}]"
        if work_class["name"] not in used:
            yield Advice(f"{path}.name", "no account may use this class")
        if work_class.get("within", 0.0) > _WITHIN_ADVISED_MAX:
            yield Advice(
                f"{path}.within",
                f"above {_WITHIN_ADVISED_MAX}: one miss in a small window is a "
                "high burn rate",
            )
        finish_s = work_class.get("finish_s")
        if finish_s and work_class["first_token_ms"] > finish_s * 1000:
            yield Advice(
                f"{path}.first_token_ms", "is later than the end, finish_s"
            )
        yield from _advise_worth(work_class, classes, path)


def _advise_worth(
    work_class: configuration.WorkClass,
    classes: list[configuration.WorkClass],
    path: str,
) -> Iterator[Advice]:
    for other in classes:
        if (
            other["rank"] < work_class["rank"]
            and other["worth"] < work_class["worth"]
        ):
            yield Advice(
                f"{path}.worth",
                f"is above that of {other['name']}, which has a higher rank",
            )


def _advise_accounts(document: configuration.Document) -> Iterator[Advice]:
    empty = configuration.key_digest("")
    for position, account in enumerate(document["accounts"]):
        path = f"$.accounts[{position}]"
        if empty in account["key_digests"]:
            yield Advice(f"{path}.key_digests", "has the digest of no key")
        if len(set(account["classes"])) < len(account["classes"]):
            yield Advice(f"{path}.classes", "names a class twice")


def _advise_names(document: configuration.Document) -> Iterator[Advice]:
    classes = {work_class["name"] for work_class in document["classes"]}
    for position, model in enumerate(document["models"]):
        if model["name"] in classes:
            yield Advice(
                f"$.models[{position}].name",
                "is also a class; their burn rates are counted together",
            )
