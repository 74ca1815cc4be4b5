"""Ports: the interfaces between a gateway and the protocols around it.

A deployment supplies one implementation of each port. Routing decisions use
only the types of this module and of the core, never a protocol.
"""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
import enum
from typing import NamedTuple

from nutmegpost_core import calls
from nutmegpost_core import catalog
from nutmegpost_core import endpoint_speeds
from nutmegpost_core import errors
from nutmegpost_core import evacuations
from nutmegpost_core import roster
from nutmegpost_router import http_server

__all__ = [
    "CallerProtocol",
    "CatalogPublished",
    "ConfigurationTransfer",
    "Directory",
    "EndpointProtocol",
    "EndpointsChanged",
    "EndpointsListed",
    "Fields",
    "OutboundRequest",
    "PeerCachesReceived",
    "PlatformAvailable",
    "PlatformUnavailable",
    "Ports",
    "PublicationReader",
    "ReaderNews",
    "ReadingSwitch",
    "RELAY_FIELD",
    "RequestMetadata",
    "ResponseHead",
    "StateUpdate",
    "Verdict",
    "ZonesEvacuated",
]

# Header field with the proof that a gateway relays a request for a peer.
RELAY_FIELD = "nutmegpost-relay"

Fields = Sequence[tuple[str, str]]


class RequestMetadata(NamedTuple):
    """Routing metadata in the header of a caller's request.

    Attributes:
        identity: Unique id of this attempt, set by the caller.
        host: Host that the request is addressed to.
        key: API key of the client account; empty if none was sent.
        timeout_s: Time that the caller waits for the answer, seconds; None if
            not given.
        resume_after: Id of the last event that the caller received; empty to
            start from the beginning.
        resumed_attempt: Identity of the attempt that brought the caller the
            first event of the stream; empty if not given.
        hints: Description of the prompt; None if not given.
    """

    identity: str
    host: str
    key: str
    timeout_s: float | None
    resume_after: str
    resumed_attempt: str
    hints: calls.PromptHints | None


class OutboundRequest(NamedTuple):
    """A request as it is sent to an endpoint.

    Attributes:
        call: The request.
        fields: Header fields of the caller's request.
        endpoint: Name of the endpoint instance that must run it.
        remaining_s: Time until the deadline, seconds.
        resume_after: Id of the last event that was relayed to the caller;
            empty to start from the beginning.
        cache_source: Address of an endpoint from whose cache the prompt is
            fetched; empty for none.
    """

    call: calls.Call
    fields: Fields
    endpoint: str
    remaining_s: float
    resume_after: str
    cache_source: str = ""


class Verdict(enum.StrEnum):
    """Classification of a response by its status and header.

    Attributes:
        RUN: The endpoint ran the request and this is its answer.
        NOT_RUN: The endpoint did not run the request and will not run it.
        FOREIGN: The response does not belong to this request.
    """

    RUN = "run"
    NOT_RUN = "not-run"
    FOREIGN = "foreign"


class ResponseHead(NamedTuple):
    """Status and header of an endpoint's response, interpreted.

    Attributes:
        verdict: Whether the response answers the request.
        fields: Header fields to relay to the caller.
        idle_s: Time for which the endpoint keeps an idle connection open,
            seconds; None if not given.
        load: Requests that the endpoint runs or queues; None if not given.
        rate_limit: Requests per second that the endpoint takes from all
            gateways together; None if it names no limit.
        names_request: Whether the response has the identity of the request. A
            response without one may be a late copy of an earlier response on
            the same connection.
        is_leaving: Whether the endpoint says that it leaves.
        pause_text: Time in seconds for which the endpoint wants no requests
            from this gateway, as it was sent; empty for none.
        speed: What the response says of the slots and the speed of the
            endpoint.
        cold_text: Time in milliseconds for which the endpoint stays cold, as
            it was sent; empty if not given.
    """

    verdict: Verdict
    fields: list[tuple[str, str]]
    idle_s: float | None = None
    load: int | None = None
    rate_limit: float | None = None
    names_request: bool = True
    is_leaving: bool = False
    pause_text: str = ""
    speed: endpoint_speeds.Report = endpoint_speeds.Report()
    cold_text: str = ""


class CallerProtocol(NamedTuple):
    """The protocol between callers and the gateway.

    Attributes:
        parse_request: Returns the metadata of a request; raises
            InvalidRequestError.
        error_response: Returns the response for an error.
        relay_fields: Returns the header fields of a request as it is sent to
            another gateway, given its fields and the time until its deadline
            in seconds.
    """

    parse_request: Callable[[http_server.Request], RequestMetadata]
    error_response: Callable[[errors.RequestError], http_server.Response]
    relay_fields: Callable[[Fields, float], list[tuple[str, str]]]


class EndpointProtocol(NamedTuple):
    """The protocol between the gateway and endpoints.

    Attributes:
        request_fields: Returns the header fields of an outbound request.
        read_response_head: Interprets the status and the header fields of a
            response.
        cache_path: Path at which an endpoint lists the content of its cache.
        decode_cache_list: Decodes such a list; raises PeerError.
    """

    request_fields: Callable[[OutboundRequest], list[tuple[str, str]]]
    read_response_head: Callable[[calls.Call, int, Fields], ResponseHead]
    cache_path: str
    decode_cache_list: Callable[[bytes], list[calls.PromptPart]]


class Directory(NamedTuple):
    """The protocol by which callers discover gateways.

    Attributes:
        address_response: Returns the response that lists addresses and the
            time in seconds for which callers may cache them.
        is_readiness: Returns whether a request is a readiness probe.
        is_resolution: Returns whether a request asks for addresses.
        caller_zone: Returns the zone of the caller that asks for addresses;
            empty if it is unknown.
    """

    address_response: Callable[[Sequence[str], float], http_server.Response]
    is_readiness: Callable[[http_server.Request], bool]
    is_resolution: Callable[[http_server.Request], bool]
    caller_zone: Callable[[http_server.Request], str] = lambda _: ""


class CatalogPublished(NamedTuple):
    """A version of the configuration was published.

    Attributes:
        catalog: The decoded configuration.
        document: The document as published.
        source: Who sent it, for the log.
        is_from_peer: Whether a peer sent it, not the platform.
    """

    catalog: catalog.Catalog
    document: bytes
    source: str
    is_from_peer: bool = False


class ConfigurationTransfer(NamedTuple):
    """The platform began or ended to send an answer on the configuration."""

    is_in_progress: bool


class EndpointsListed(NamedTuple):
    """The complete list of endpoints was read.

    Attributes:
        endpoints: All entries.
        revision: Revision of the list.
        is_from_peer: Whether a peer sent it, not the platform.
    """

    endpoints: list[roster.Endpoint]
    revision: roster.Revision
    is_from_peer: bool = False


class EndpointsChanged(NamedTuple):
    """Entries of endpoints were written or removed.

    Attributes:
        endpoints: Entries that were written.
        removed: Revision of each removal, by endpoint name.
        revision: Revision of the list after the changes.
        passed: Entries that were written and replaced or removed since.
        unseen: Names of removed entries of which no write was read.
    """

    endpoints: list[roster.Endpoint]
    removed: dict[str, roster.Revision]
    revision: roster.Revision
    passed: list[roster.Endpoint]
    unseen: list[str]


class PlatformUnavailable(NamedTuple):
    """The platform stopped responding."""

    reason: str


class PlatformAvailable(NamedTuple):
    """The platform responds again."""


class ReaderNews(NamedTuple):
    """A reader of the platform told how current its answer is.

    Attributes:
        confirmed_at: Monotonic time at which the platform confirmed it,
            seconds.
        available_since: Monotonic time of the end of the last outage that the
            reader noticed, seconds; minus infinity if there was none.
        gap_at: Monotonic time of the last gap in the reader's history of
            versions, seconds; minus infinity if there was none.
        revision: Revision of the reader's list if it is the same as that of
            this gateway; None otherwise.
    """

    confirmed_at: float
    available_since: float
    gap_at: float
    revision: roster.Revision | None


class PeerCachesReceived(NamedTuple):
    """A peer sent the cache content of endpoints, by endpoint name."""

    caches: dict[str, list[calls.PromptPart]]


class ZonesEvacuated(NamedTuple):
    """Evacuations of zones were read.

    Attributes:
        changes: Evacuated zones, or changes of them, oldest first.
        revision: Revision of the platform that they reflect.
        is_list: Whether they are all evacuated zones.
        source: The peer that sent them; empty for the platform.
    """

    changes: list[evacuations.Change]
    revision: roster.Revision
    is_list: bool
    source: str = ""


StateUpdate = (
    PeerCachesReceived
    | CatalogPublished
    | ConfigurationTransfer
    | EndpointsListed
    | EndpointsChanged
    | PlatformUnavailable
    | PlatformAvailable
    | ZonesEvacuated
    | ReaderNews
)


class ReadingSwitch:
    """Pauses the reads of the platform while another gateway makes them."""

    def __init__(self) -> None:
        self._is_on = True
        self._changed = asyncio.Event()

    @property
    def is_on(self) -> bool:
        """Whether the platform is to be read."""
        return self._is_on

    def turn(self, on: bool) -> None:
        """Pauses or resumes the reads."""
        if on != self._is_on:
            self._is_on = on
            self._changed.set()
            self._changed = asyncio.Event()

    async def wait_for_change(self) -> None:
        """Waits until the reads are paused or resumed."""
        await self._changed.wait()


class PublicationReader(NamedTuple):
    """Reader of the configuration and endpoints that the platform publishes.

    Attributes:
        run: Reads and watches the publications until it is cancelled. Takes
            the platform's address, the time in seconds within which a draining
            endpoint must get no new requests, the queue that receives the
            updates, whether evacuations of zones are read, and the switch that
            pauses the reads.
        decode_configuration: Decodes a document that a peer forwarded; raises
            ConfigurationError.
        is_current: Asks the platform whether the list of endpoints has not
            changed since a revision. Takes the platform's address and the
            revision; returns False if the platform does not answer.
    """

    run: Callable[
        [str, float, "asyncio.Queue[StateUpdate]", bool, ReadingSwitch],
        Coroutine[None, None, None],
    ]
    decode_configuration: Callable[[bytes], catalog.Catalog]
    is_current: Callable[[str, roster.Revision], Coroutine[None, None, bool]]


class Ports(NamedTuple):
    """The port implementations of a deployment."""

    caller_protocol: CallerProtocol
    endpoint_protocol: EndpointProtocol
    directory: Directory
    publications: PublicationReader
