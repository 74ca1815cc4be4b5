"""Schema, validation and digest of the published configuration.

Operators publish one document per version. `parse` gives the same result in
every router and in `nutmegpostctl check`, because it depends only on the bytes
of the document.
"""

import collections
import hashlib
from typing import Annotated, NamedTuple, NotRequired, TypedDict

import msgspec

from nutmegpost_core import documents
from nutmegpost_core import errors

__all__ = [
    "DOCUMENT_BYTES_MAX",
    "Account",
    "Document",
    "Model",
    "Operation",
    "Published",
    "RolloutPolicy",
    "Service",
    "WorkClass",
    "digest",
    "key_digest",
    "parse",
]

DOCUMENT_BYTES_MAX = 1_000_000

Name = Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]*\Z", max_length=64)
]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}\Z")]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
# Processes exchange versions as signed 64-bit integers.
Version = Annotated[int, msgspec.Meta(ge=1, le=2**63 - 1)]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=7 * 86_400)]


class WorkClass(TypedDict):
    """A work class with its latency targets and its weight.

    Attributes:
        name: Name that callers send in the X-Class header.
        rank: Priority; 1 is served before 2, and 2 before 3.
        first_token_ms: Target for the time to the first token, milliseconds.
        between_tokens_ms: Target for the time between tokens, milliseconds.
        finish_s: Target for the whole answer, seconds; no target when absent.
        within: Share of requests that must meet the targets, between 0 and 1.
        worth: Value of one request relative to those of other classes.
    """

    name: Name
    rank: Annotated[int, msgspec.Meta(ge=1, le=3)]
    first_token_ms: Milliseconds
    between_tokens_ms: NotRequired[Milliseconds]
    finish_s: NotRequired[Seconds]
    within: NotRequired[Annotated[float, msgspec.Meta(gt=0, lt=1)]]
    worth: Annotated[float, msgspec.Meta(gt=0, le=1e6)]


class Account(TypedDict):
    """A client account.

    Attributes:
        name: Name of the account in metrics and placement explanations.
        key_digests: SHA-256 of each valid key, in hexadecimal.
        classes: Work classes that the account may use.
    """

    name: Name
    key_digests: Annotated[list[Digest], msgspec.Meta(min_length=1)]
    classes: Annotated[list[Name], msgspec.Meta(min_length=1)]


class RolloutPolicy(TypedDict):
    """Limits of a rolling update of the engines of a model.

    Attributes:
        max_unavailable: Most engines out of service at once for the update.
        burn_limit: Burn rate above which no further engine is taken out of
            service; no limit when absent.
    """

    max_unavailable: PositiveInt
    burn_limit: NotRequired[Annotated[float, msgspec.Meta(gt=0)]]


class Model(TypedDict):
    """A model and the target state of its engines.

    Attributes:
        name: Name that callers send as `model`.
        version: Version of the weights.
        adapter: Adapter to load; no adapter when absent.
        role: Role of the engines; "both" when absent.
        slots: Requests that one engine batches at once.
        rollout: Limits of a rolling update of the engines.
    """

    name: Name
    version: Name
    adapter: NotRequired[Name]
    role: NotRequired[Annotated[str, msgspec.Meta(pattern=r"^(both|decode)\Z")]]
    slots: PositiveInt
    rollout: RolloutPolicy


class Operation(TypedDict):
    """An operation of a plain service.

    Attributes:
        name: Last segment of the path of the call.
        repeatable: False when a call must run at most once.
    """

    name: Name
    repeatable: bool


class Service(TypedDict):
    """A plain service.

    Attributes:
        name: Name of the service in the path of the call.
        operations: Operations that callers may call.
        slots: Calls that one runner handles at once.
    """

    name: Name
    operations: Annotated[list[Operation], msgspec.Meta(min_length=1)]
    slots: PositiveInt


class Document(TypedDict):
    """The whole configuration.

    Attributes:
        version: Number that increases with each accepted change.
        load_bound: Multiple of the mean load that no engine may exceed.
        classes: Work classes.
        accounts: Client accounts.
        models: Models.
        services: Plain services.
    """

    version: Version
    load_bound: Annotated[float, msgspec.Meta(ge=1, le=10)]
    classes: Annotated[list[WorkClass], msgspec.Meta(min_length=1)]
    accounts: list[Account]
    models: list[Model]
    services: list[Service]


class Published(NamedTuple):
    """A validated configuration.

    Attributes:
        version: Version of the document.
        digest: SHA-256 of the bytes of the document, in hexadecimal.
        data: The bytes as published, which peers may fetch.
        document: The decoded document; must not be modified.
    """

    version: int
    digest: str
    data: bytes
    document: Document


def digest(data: bytes) -> str:
    """Returns the digest that identifies the content of a document."""
    return hashlib.sha256(data).hexdigest()


def key_digest(key: str) -> str:
    """Returns the digest of a caller's key, as listed in `key_digests`."""
    return hashlib.sha256(key.encode()).hexdigest()


def parse(data: bytes, source: str) -> Published:
    """Decodes and validates a document.

    Args:
        data: The document as published, JSON in UTF-8.
        source: Origin of the document, for error messages.

    Returns:
        The validated document.

    Raises:
        errors.ConfigurationError: The document is not valid.
    """
    if len(data) > DOCUMENT_BYTES_MAX:
        raise errors.ConfigurationError(
            source, "$", f"at most {DOCUMENT_BYTES_MAX} bytes"
        )
    document = documents.decode(
        data, Document, source, errors.ConfigurationError
    )
    _check_names(document, source)
    _check_references(document, source)
    return Published(document["version"], digest(data), data, document)


def _check_names(document: Document, source: str) -> None:
    unique_names: list[tuple[str, list[str]]] = [
        ("classes", [entry["name"] for entry in document["classes"]]),
        ("accounts", [entry["name"] for entry in document["accounts"]]),
        (
            "pools",
            [model["name"] for model in document["models"]]
            + [service["name"] for service in document["services"]],
        ),
        (
            "key_digests",
            [
                key
                for account in document["accounts"]
                for key in account["key_digests"]
            ],
        ),
    ]
    unique_names.extend(
        (
            f"services[{position}].operations",
            [operation["name"] for operation in service["operations"]],
        )
        for position, service in enumerate(document["services"])
    )
    for key, names in unique_names:
        counts = collections.Counter(names)
        name, count = max(
            counts.items(), key=lambda entry: entry[1], default=("", 0)
        )
        if count > 1:
            raise errors.ConfigurationError(
                source, f"$.{key}", f"unique values, got duplicate {name!r}"
            )


def _check_references(document: Document, source: str) -> None:
    classes = {entry["name"] for entry in document["classes"]}
    for position, account in enumerate(document["accounts"]):
        for name in account["classes"]:
            if name not in classes:
                raise errors.ConfigurationError(
                    source,
                    f"$.accounts[{position}].classes",
                    f"names of declared classes, got {name!r}",
                )
