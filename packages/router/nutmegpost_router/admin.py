"""The administration API: read-only views of one router as JSON.

Operators change the system only by publishing a configuration, so every
request here is a GET. All paths except `/metrics` need the administration key.
"""

from collections.abc import Awaitable, Callable
import hashlib
import hmac
import re
from typing import Any, NamedTuple, TypedDict
import urllib.parse

import msgspec

from nutmegpost_core import burn
from nutmegpost_core import configuration
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_router import http_server
from nutmegpost_router import log
from nutmegpost_router import metrics

__all__ = [
    "AdminSource",
    "BurnStatus",
    "BurnWindow",
    "ConfigurationStatus",
    "EndpointStatus",
    "EndpointsStatus",
    "Explanation",
    "MemberStatus",
    "MembersStatus",
    "Status",
    "make_handler",
]

_QUERY_FIELDS_MAX = 8
_BEARER_PREFIX = "bearer "
_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,63}")
_CHAT_PATTERN = re.compile(r"[A-Za-z0-9._-]{0,128}")


class Status(TypedDict):
    """State of a router.

    Attributes:
        name: Name of the router.
        zone: Its availability zone.
        incarnation: Random number generated when it started.
        state: State of its chart.
        uptime_s: Seconds since its start.
        configuration_version: Version in force; 0 for none.
        configuration_digest: Digest of that version; empty for none.
        vm_list_version: Version of the VM list; 0 for none.
        counts: Number of members, endpoints, owned engines, open requests and
            requests in flight, by name.
    """

    name: str
    zone: str
    incarnation: int
    state: str
    uptime_s: float
    configuration_version: int
    configuration_digest: str
    vm_list_version: int
    counts: dict[str, int]


class MemberStatus(TypedDict):
    """A member router as another router sees it.

    Attributes:
        name: Name of the member.
        address: Its public address.
        zone: Its availability zone.
        state: Membership state that the other router records for it.
        incarnation: Its incarnation; 0 while unknown.
        configuration_version: Configuration version that it last announced.
    """

    name: str
    address: str
    zone: str
    state: str
    incarnation: int
    configuration_version: int


class MembersStatus(TypedDict):
    """The members as one router sees them."""

    name: str
    members: list[MemberStatus]


class EndpointStatus(TypedDict):
    """An endpoint as one router sees it.

    Attributes:
        name: Name of the endpoint.
        pool: Model or service that it serves.
        owner: Router that dispatches to it.
        state: State of its chart.
        load: Requests in flight on it.
        bound: Maximum of requests in flight under the current load bound.
        waiting: Requests queued for it at its owner.
        version: Version that it last reported; empty for a plain service.
    """

    name: str
    pool: str
    owner: str
    state: str
    load: int
    bound: int
    waiting: int
    version: str


class EndpointsStatus(TypedDict):
    """The endpoints as one router sees them."""

    name: str
    endpoints: list[EndpointStatus]


class ConfigurationStatus(TypedDict):
    """The configuration in force in one router."""

    name: str
    version: int
    digest: str
    document: configuration.Document | None


class Explanation(TypedDict):
    """How a request would be placed.

    Attributes:
        name: Router that computed the placement.
        model: Model of the request.
        account: Account of the request.
        chat: Chat of the request; empty for none.
        engine: Engine that would be chosen; empty for none.
        owner: Router that owns that engine; empty for none.
        steps: Steps of the decision in order, as readable text.
    """

    name: str
    model: str
    account: str
    chat: str
    engine: str
    owner: str
    steps: list[str]


class BurnWindow(TypedDict):
    """The fields of `burn.BurnRow` as a JSON object."""

    work_class: str
    window_s: float
    total: int
    good: int
    bad: int
    late_first: int
    slow_tokens: int
    late_finish: int
    refused: int
    lost: int
    within: float
    rate: float


class BurnStatus(TypedDict):
    """The burn counts of one router."""

    name: str
    windows: list[BurnWindow]


class AdminSource(NamedTuple):
    """Functions that build the views, one for each view.

    Attributes:
        status: Returns the state of the router.
        members: Returns its members.
        endpoints: Returns its endpoints.
        configuration: Returns its configuration.
        explain: Returns how a request would be placed, given model, account
            and chat; may raise `errors.RequestError`.
        burn: Returns the rows of the burn counts.
        metrics: Returns the metrics in the Prometheus text format.
    """

    status: Callable[[], Status]
    members: Callable[[], MembersStatus]
    endpoints: Callable[[], EndpointsStatus]
    configuration: Callable[[], ConfigurationStatus]
    explain: Callable[[str, str, str], Explanation]
    burn: Callable[[], list[burn.BurnRow]]
    metrics: Callable[[], bytes]


def make_handler(
    source: AdminSource, admin_key: str
) -> Callable[[http_server.Request], Awaitable[http_server.Response]]:
    """Returns a request handler for the administration API.

    Args:
        source: Functions that build the views.
        admin_key: Key that requests must carry.

    Returns:
        A coroutine function that answers a request. It turns
        `errors.RequestError` into a response; any other exception of a
        function of `source` propagates.
    """
    expected = _digest(admin_key.encode())
    views = _views(source)

    async def handle(request: http_server.Request) -> http_server.Response:
        try:
            return _respond(request, views, source, expected)
        except errors.RequestError as caught:
            log.emit(
                events.REQUEST_REFUSED, code=caught.code, reason=str(caught)
            )
            return http_server.error_response(caught)

    return handle


def _views(source: AdminSource) -> dict[str, Callable[[dict[str, str]], Any]]:
    return {
        "/admin/status": lambda _: source.status(),
        "/admin/members": lambda _: source.members(),
        "/admin/endpoints": lambda _: source.endpoints(),
        "/admin/configuration": lambda _: source.configuration(),
        "/admin/explain": lambda query: _explain(source, query),
        "/admin/burn": lambda _: _burn_status(source),
    }


def _respond(
    request: http_server.Request,
    views: dict[str, Callable[[dict[str, str]], Any]],
    source: AdminSource,
    expected: bytes,
) -> http_server.Response:
    path, _, query = request.target.partition("?")
    if request.method != "GET":
        raise errors.InvalidRequestError("only GET is answered here", 405)
    if path == "/metrics":
        headers = [("Content-Type", metrics.CONTENT_TYPE)]
        return http_server.Response(200, headers, source.metrics())
    _check_admin_key(request.headers, expected)
    view = views.get(path)
    if view is None:
        raise errors.UnknownNameError("no such call")
    body = msgspec.json.encode(view(_parse_query(query)))
    headers = [("Content-Type", "application/json")]
    return http_server.Response(200, headers, body)


def _check_admin_key(headers: dict[str, str], expected: bytes) -> None:
    value = headers.get("authorization", "")
    if not value.lower().startswith(_BEARER_PREFIX):
        raise errors.AccountError("the administration key is missing")
    key = value[len(_BEARER_PREFIX) :].strip().encode("utf-8", "replace")
    # Comparing digests of equal length does not leak the length of the key.
    if not hmac.compare_digest(_digest(key), expected):
        raise errors.AccountError("the administration key is wrong")


def _digest(key: bytes) -> bytes:
    return hashlib.sha256(key).digest()


def _parse_query(query: str) -> dict[str, str]:
    try:
        pairs = urllib.parse.parse_qsl(
            query, keep_blank_values=True, max_num_fields=_QUERY_FIELDS_MAX
        )
    except ValueError as caught:
        raise errors.InvalidRequestError(f"query: {caught}") from caught
    return dict(pairs)


def _explain(source: AdminSource, query: dict[str, str]) -> Explanation:
    model = _query_value(query, "model", _NAME_PATTERN)
    account = _query_value(query, "account", _NAME_PATTERN)
    chat = _query_value(query, "chat", _CHAT_PATTERN)
    return source.explain(model, account, chat)


def _query_value(
    query: dict[str, str], name: str, pattern: re.Pattern[str]
) -> str:
    value = query.get(name, "")
    if not pattern.fullmatch(value):
        raise errors.InvalidRequestError(
            f"query: {name} must match {pattern.pattern}"
        )
    return value


def _burn_status(source: AdminSource) -> BurnStatus:
    name = source.status()["name"]
    rows = source.burn()
    return {"name": name, "windows": [_burn_window(row) for row in rows]}


def _burn_window(row: burn.BurnRow) -> BurnWindow:
    return msgspec.convert(row._asdict(), BurnWindow)
