"""The administration API: read-only views of one router as JSON.

Operators change the system only by publishing a configuration, so every call
here is a GET. All calls but `/metrics` need the administration key.
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
    "handlers",
]

_QUERY_FIELDS_MAX = 8
_BEARER = "bearer "
_NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,63}")
_CHAT = re.compile(r"[A-Za-z0-9._-]{0,128}")


class Status(TypedDict):
    """State of a router.

    Attributes:
        name: Name of the router.
        zone: Its availability zone.
        incarnation: Random number drawn at its start.
        state: State of its chart.
        uptime_s: Seconds since its start.
        configuration_version: Version in force; 0 for none.
        configuration_digest: Digest of that version; empty for none.
        vm_list_version: Version of the VM list; 0 for none.
        counts: Members, endpoints, requests in flight and the like.
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
    """A router as another one sees it.

    Attributes:
        name: Name of the member.
        address: Its address for callers.
        zone: Its availability zone.
        state: What the other one holds it for.
        incarnation: Its incarnation; 0 while unknown.
        configuration_version: Version it last told of.
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
        bound: Most requests in flight that the load bound allows now.
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
        name: Router that explains.
        model: Model of the request.
        account: Account of the request.
        chat: Chat of the request; empty for none.
        engine: Engine that would be chosen; empty for none.
        owner: Router that owns that engine; empty for none.
        steps: The steps of the decision in order, for people.
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
    """Where the views come from: one function for each.

    Attributes:
        status: Returns the state of the router.
        members: Returns its members.
        endpoints: Returns its endpoints.
        configuration: Returns its configuration.
        explain: Explains a placement, given model, account and chat; may
            raise `errors.RequestError`.
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


def handlers(
    source: AdminSource, admin_key: str
) -> Callable[[http_server.Request], Awaitable[http_server.Response]]:
    """Returns the function that answers the administration API.

    Args:
        source: Where the views come from.
        admin_key: Key that callers must present.

    Returns:
        A function that answers a request; it raises nothing of its own, and
        passes on what a function of `source` raises besides
        `errors.RequestError`.
    """
    expected = _digest(admin_key.encode())
    views = _views(source)

    async def handle(request: http_server.Request) -> http_server.Response:
        try:
            return _answer(request, views, source, expected)
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
        "/admin/burn": lambda _: _burn(source),
    }


def _answer(
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
    _check_key(request.headers, expected)
    view = views.get(path)
    if view is None:
        raise errors.UnknownNameError("no such call")
    body = msgspec.json.encode(view(_fields(query)))
    headers = [("Content-Type", "application/json")]
    return http_server.Response(200, headers, body)


def _check_key(headers: dict[str, str], expected: bytes) -> None:
    value = headers.get("authorization", "")
    if not value.lower().startswith(_BEARER):
        raise errors.AccountError("the administration key is missing")
    key = value[len(_BEARER) :].strip().encode("utf-8", "replace")
    # Digests are of one length, so the comparison leaks not even that.
    if not hmac.compare_digest(_digest(key), expected):
        raise errors.AccountError("the administration key is wrong")


def _digest(key: bytes) -> bytes:
    return hashlib.sha256(key).digest()


def _fields(query: str) -> dict[str, str]:
    try:
        pairs = urllib.parse.parse_qsl(
            query, keep_blank_values=True, max_num_fields=_QUERY_FIELDS_MAX
        )
    except ValueError as caught:
        raise errors.InvalidRequestError(f"query: {caught}") from caught
    return dict(pairs)


def _explain(source: AdminSource, query: dict[str, str]) -> Explanation:
    model = _field(query, "model", _NAME)
    account = _field(query, "account", _NAME)
    chat = _field(query, "chat", _CHAT)
    return source.explain(model, account, chat)


def _field(query: dict[str, str], name: str, pattern: re.Pattern[str]) -> str:
    value = query.get(name, "")
    if not pattern.fullmatch(value):
        raise errors.InvalidRequestError(
            f"query: {name} must match {pattern.pattern}"
        )
    return value


def _burn(source: AdminSource) -> BurnStatus:
    name = source.status()["name"]
    rows = source.burn()
    return {"name": name, "windows": [_window(row) for row in rows]}


def _window(row: burn.BurnRow) -> BurnWindow:
    return msgspec.convert(row._asdict(), BurnWindow)
