"""What a gateway needs of the protocols around it.

A deployment gives one implementation of each port. Decisions see the types of
this module and of the core only.
"""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
import enum
from typing import NamedTuple

from nutmegpost_core import calls
from nutmegpost_core import catalog
from nutmegpost_core import errors
from nutmegpost_core import roster
from nutmegpost_router import http_server

__all__ = [
    "Answer",
    "CachesTold",
    "CatalogPublished",
    "Dialect",
    "Directory",
    "Door",
    "EndpointsChanged",
    "EndpointsListed",
    "Fields",
    "Forward",
    "Opening",
    "Ports",
    "PublicationReader",
    "SourceLost",
    "SourceNews",
    "SourceReturned",
    "Verdict",
]

Fields = Sequence[tuple[str, str]]


class Opening(NamedTuple):
    """What a caller's request says of itself.

    Attributes:
        identity: The caller's name for this attempt.
        host: Host that it is for.
        key: Key of the client account; empty for none.
        patience_s: How long the caller will wait; None when not told.
        resume_after: Id of the last event that the caller has, or empty.
        hints: What is told of the prompt, or None.
    """

    identity: str
    host: str
    key: str
    patience_s: float | None
    resume_after: str
    hints: calls.PromptHints | None


class Forward(NamedTuple):
    """A request as it is sent to an endpoint.

    Attributes:
        call: The request.
        fields: Header lines of the caller's request.
        endpoint: Name of the endpoint that must take it.
        left_s: Time until the answer is of no use.
        resume_after: Id of the last event that was passed on, or empty.
        cache_source: Address of an endpoint from whose cache the prompt is
            to be fetched, or empty.
    """

    call: calls.Call
    fields: Fields
    endpoint: str
    left_s: float
    resume_after: str
    cache_source: str = ""


class Verdict(enum.StrEnum):
    """What the head of an answer says.

    RUN: The endpoint ran the request and answers it.
    NOT_RUN: The endpoint did not run it and never will.
    FOREIGN: The answer is not one to this request.
    """

    RUN = "run"
    NOT_RUN = "not-run"
    FOREIGN = "foreign"


class Answer(NamedTuple):
    """The head of an answer.

    Attributes:
        verdict: What it says.
        fields: Header lines to pass on.
        idle_s: How long the endpoint keeps an idle connection; None when it
            does not tell.
        load: Requests that the endpoint runs or queues; None when it does not
            tell.
    """

    verdict: Verdict
    fields: list[tuple[str, str]]
    idle_s: float | None = None
    load: int | None = None


class Door(NamedTuple):
    """The protocol of callers.

    Attributes:
        open: Reads a request; raises InvalidRequestError.
        refuse: Returns the response for an error.
    """

    open: Callable[[http_server.Request], Opening]
    refuse: Callable[[errors.RequestError], http_server.Response]


class Dialect(NamedTuple):
    """The protocol of endpoints.

    Attributes:
        request_fields: Returns the header lines of a request.
        read_answer: Judges the head of an answer by status and lines.
        cache_path: Path at which an endpoint lists its cache.
        read_cache: Reads that list; raises PeerError.
    """

    request_fields: Callable[[Forward], list[tuple[str, str]]]
    read_answer: Callable[[calls.Call, int, Fields], Answer]
    cache_path: str
    read_cache: Callable[[bytes], list[calls.PromptPart]]


class Directory(NamedTuple):
    """The protocol by which callers find a gateway.

    Attributes:
        answer: Returns the response with some addresses and the seconds for
            which they may be kept.
        is_readiness: Whether a request asks if this gateway is ready.
        is_resolution: Whether a request asks for addresses.
    """

    answer: Callable[[Sequence[str], float], http_server.Response]
    is_readiness: Callable[[http_server.Request], bool]
    is_resolution: Callable[[http_server.Request], bool]


class CatalogPublished(NamedTuple):
    """A version of the configuration was read."""

    catalog: catalog.Catalog
    document: bytes


class EndpointsListed(NamedTuple):
    """The whole list of endpoints was read."""

    endpoints: list[roster.Endpoint]
    revision: int


class EndpointsChanged(NamedTuple):
    """Entries of endpoints were written or removed.

    Attributes:
        endpoints: Entries that were written.
        removed: Revisions of the removals, by name of the endpoint.
        revision: Revision after the changes.
    """

    endpoints: list[roster.Endpoint]
    removed: dict[str, int]
    revision: int


class SourceLost(NamedTuple):
    """The platform does not answer."""

    reason: str


class SourceReturned(NamedTuple):
    """The platform answers again."""


class CachesTold(NamedTuple):
    """A peer told what endpoints have in their caches."""

    caches: dict[str, list[calls.PromptPart]]


SourceNews = (
    CachesTold
    | CatalogPublished
    | EndpointsListed
    | EndpointsChanged
    | SourceLost
    | SourceReturned
)


class PublicationReader(NamedTuple):
    """The platform's publications.

    Attributes:
        run: Reads and watches them for ever; takes the platform's address,
            the seconds within which an endpoint that leaves gets no more
            work, and the queue that news goes into.
        decode_configuration: Reads a document that a peer handed on; raises
            ConfigurationError.
    """

    run: Callable[
        [str, float, "asyncio.Queue[SourceNews]"],
        Coroutine[None, None, None],
    ]
    decode_configuration: Callable[[bytes], catalog.Catalog]


class Ports(NamedTuple):
    """All ports of a gateway."""

    door: Door
    dialect: Dialect
    directory: Directory
    publications: PublicationReader
