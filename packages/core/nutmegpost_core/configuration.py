"""The published configuration: its form, its checks and its digest.

Operators publish one document per version. `parse` gives the same verdict in
every router and in `nutmegpostctl check`, because it depends on the bytes of
the document alone.
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
# Versions travel between processes as 64 bit numbers.
Version = Annotated[int, msgspec.Meta(ge=1, le=2**63 - 1)]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=7 * 86_400)]


class WorkClass(TypedDict):
    """A class of work with its target and its worth.

    Attributes:
        name: Name that callers give in the X-Class header.
        rank: 1 is served before 2, and 2 before 3.
        first_token_ms: Target for the time to the first token, milliseconds.
        between_tokens_ms: Target for the time between tokens, milliseconds.
        finish_s: Target for the whole answer, seconds; none when left out.
        within: Share of requests that must meet the target, 0 to 1.
        worth: Value of one request against those of other classes.
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
        name: Name of the account in metrics and explanations.
        key_digests: SHA-256 of each key that is valid, in hexadecimal.
        classes: Classes of work that the account may use.
    """

    name: Name
    key_digests: Annotated[list[Digest], msgspec.Meta(min_length=1)]
    classes: Annotated[list[Name], msgspec.Meta(min_length=1)]


class RolloutPolicy(TypedDict):
    """How a change of a model reaches its engines.

    Attributes:
        max_unavailable: Most engines out of service at once for the change.
        burn_limit: Burn rate above which no further wave opens.
    """

    max_unavailable: PositiveInt
    burn_limit: NotRequired[Annotated[float, msgspec.Meta(gt=0)]]


class Model(TypedDict):
    """A model and the state its engines must be brought to.

    Attributes:
        name: Name that callers give as `model`.
        version: Version of the weights.
        adapter: Adapter to load, or none when left out.
        role: Part that the engines play.
        slots: Requests that one engine batches at once.
        rollout: How a change reaches the engines.
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
        name: Last part of the path of the call.
        repeatable: False when the operation must run at most once.
    """

    name: Name
    repeatable: bool


class Service(TypedDict):
    """A plain service.

    Attributes:
        name: Name of the service in the path of the call.
        operations: Operations that callers may call.
        slots: Calls that one runner takes at once.
    """

    name: Name
    operations: Annotated[list[Operation], msgspec.Meta(min_length=1)]
    slots: PositiveInt


class Document(TypedDict):
    """The whole configuration.

    Attributes:
        version: Number that grows with each accepted change.
        load_bound: Multiple of the mean load that no engine may exceed.
        classes: Classes of work.
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
    """A configuration that passed its checks.

    Attributes:
        version: Version of the document.
        digest: SHA-256 of the bytes of the document, in hexadecimal.
        data: The bytes as published, to hand to peers.
        document: The decoded document; not to be changed.
    """

    version: int
    digest: str
    data: bytes
    document: Document


def digest(data: bytes) -> str:
    """Returns the digest that identifies the content of a document."""
    return hashlib.sha256(data).hexdigest()


def key_digest(key: str) -> str:
    """Returns the digest under which a caller's key is configured."""
    return hashlib.sha256(key.encode()).hexdigest()


def parse(data: bytes, source: str) -> Published:
    """Checks a document.

    Args:
        data: The document as published, JSON in UTF-8.
        source: Where it came from, for the error.

    Returns:
        The checked document.

    Raises:
        errors.ConfigurationError: The document may not come into force.
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
    lists: list[tuple[str, list[str]]] = [
        ("classes", [item["name"] for item in document["classes"]]),
        ("accounts", [item["name"] for item in document["accounts"]]),
        (
            "pools",
            [item["name"] for item in document["models"]]
            + [item["name"] for item in document["services"]],
        ),
        (
            "key_digests",
            [
                key
                for item in document["accounts"]
                for key in item["key_digests"]
            ],
        ),
    ]
    lists.extend(
        (
            f"services[{position}].operations",
            [operation["name"] for operation in item["operations"]],
        )
        for position, item in enumerate(document["services"])
    )
    for key, names in lists:
        counts = collections.Counter(names)
        name, count = max(
            counts.items(), key=lambda item: item[1], default=("", 0)
        )
        if count > 1:
            raise errors.ConfigurationError(
                source, f"$.{key}", f"no name twice, got {name!r}"
            )


def _check_references(document: Document, source: str) -> None:
    classes = {item["name"] for item in document["classes"]}
    for position, account in enumerate(document["accounts"]):
        for name in account["classes"]:
            if name not in classes:
                raise errors.ConfigurationError(
                    source,
                    f"$.accounts[{position}].classes",
                    f"a class that is declared, got {name!r}",
                )
