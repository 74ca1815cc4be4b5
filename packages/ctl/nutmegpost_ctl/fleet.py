"""Fetches a view of the administration API from all routers concurrently."""

import asyncio
from collections.abc import Mapping, Sequence
import http
from typing import Generic, NamedTuple, TypeVar
import urllib.parse

import msgspec

from nutmegpost_core import errors
from nutmegpost_core import vms
from nutmegpost_ctl import exits
from nutmegpost_router import http_client

__all__ = ["Answers", "fetch"]

T = TypeVar("T")


class _ErrorDetail(msgspec.Struct):
    code: str
    message: str


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetail


class Answers(NamedTuple, Generic[T]):
    """Responses of the routers.

    Attributes:
        values: The views, in the order of the addresses.
        failures: The errors of the routers that returned no view.
    """

    values: list[T]
    failures: list[exits.RouterError]

    @property
    def code(self) -> exits.Exit:
        """Exit code for how many of the routers returned a view."""
        if not self.failures:
            return exits.Exit.OK
        return exits.Exit.PARTIAL if self.values else exits.Exit.UNREACHABLE


async def fetch(
    addresses: Sequence[vms.Address],
    path: str,
    query: Mapping[str, str],
    key: str,
    view_type: type[T],
    timeout_s: float,
) -> Answers[T]:
    """Fetches the same view from all routers.

    Args:
        addresses: Administration addresses.
        path: Path of the view.
        query: Fields of the query.
        key: Administration key.
        view_type: Type of the view.
        timeout_s: Longest wait for each router, seconds.

    Returns:
        The views and the failures. A failure of one router does not affect the
        views of the others.
    """
    target = path
    if query:
        target = f"{path}?{urllib.parse.urlencode(query)}"
    client = http_client.Client()
    outcomes = await asyncio.gather(
        *(
            _fetch_one(client, address, target, key, view_type, timeout_s)
            for address in addresses
        ),
        return_exceptions=True,
    )
    client.close()
    answers: Answers[T] = Answers([], [])
    for outcome in outcomes:
        if isinstance(outcome, exits.RouterError):
            answers.failures.append(outcome)
        elif isinstance(outcome, BaseException):
            raise outcome
        else:
            answers.values.append(outcome)
    return answers


async def _fetch_one(
    client: http_client.Client,
    address: vms.Address,
    target: str,
    key: str,
    view_type: type[T],
    timeout_s: float,
) -> T:
    try:
        response = await client.request(
            address,
            "GET",
            target,
            {"Authorization": f"Bearer {key}"},
            timeout_s=timeout_s,
        )
    except errors.PeerError as caught:
        raise exits.RouterError(str(address), str(caught)) from caught
    if response.status != http.HTTPStatus.OK:
        raise _failure(address, response)
    try:
        return msgspec.json.decode(response.body, type=view_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as caught:
        raise exits.RouterError(
            str(address), f"not the expected document: {caught}"
        ) from caught


def _failure(
    address: vms.Address, response: http_client.Response
) -> exits.RouterError:
    try:
        body = msgspec.json.decode(response.body, type=_ErrorBody)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return exits.RouterError(str(address), f"status {response.status}")
    return exits.RefusedError(
        str(address), f"{body.error.code}: {body.error.message}"
    )
