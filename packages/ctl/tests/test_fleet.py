import asyncio

import pytest

from nutmegpost_core import vms
from nutmegpost_ctl import exits
from nutmegpost_ctl import fleet
from nutmegpost_router import admin
from nutmegpost_router import http_server

_MEMBERS = b'{"name": "r", "members": []}'


def _response(status, body):
    return http_server.Response(status, [], body)


async def _serve(handle):
    server = await http_server.serve(
        vms.Address("127.0.0.1", 0), http_server.responder(handle)
    )
    port = server._server.sockets[0].getsockname()[1]
    return server, vms.Address("127.0.0.1", port)


def _fetch(*responses, timeout_s=5.0):
    """Fetches the members from one server for each response."""
    requests = []

    async def run():
        servers = []
        addresses = []
        for response in responses:

            async def handle(request, response=response):
                requests.append(request)
                if response is None:
                    await asyncio.sleep(30)
                return response

            server, address = await _serve(handle)
            servers.append(server)
            addresses.append(address)
        try:
            return await fleet.fetch(
                addresses,
                "/admin/members",
                {"chat": "a b&c"},
                "key",
                admin.MembersStatus,
                timeout_s,
            )
        finally:
            for server in servers:
                await server.close()

    return asyncio.run(run()), requests


def test_every_router_gets_the_request_with_the_key():
    answers, requests = _fetch(
        _response(200, _MEMBERS), _response(200, _MEMBERS)
    )
    assert [value["name"] for value in answers.values] == ["r", "r"]
    assert answers.code == exits.Exit.OK
    assert requests[0].target == "/admin/members?chat=a+b%26c"
    assert requests[0].headers["authorization"] == "Bearer key"


@pytest.mark.parametrize(
    ("response", "reason"),
    [
        (_response(200, b"{"), "not the expected document"),
        (_response(200, b'{"name": 5}'), "not the expected document"),
        (_response(200, b"\xff"), "not the expected document"),
        (_response(500, b"oops"), "status 500"),
        (None, "no answer in "),
    ],
)
def test_a_failure_does_not_affect_other_views(response, reason):
    answers, _ = _fetch(response, _response(200, _MEMBERS), timeout_s=0.2)
    assert len(answers.values) == 1
    assert reason in str(answers.failures[0])
    assert answers.failures[0].code == exits.Exit.UNREACHABLE
    assert answers.code == exits.Exit.PARTIAL


def test_a_refusal_differs_from_no_answer():
    body = b'{"error": {"code": "unknown-name", "message": "no such model"}}'
    answers, _ = _fetch(_response(404, body))
    (failure,) = answers.failures
    assert failure.code == exits.Exit.REFUSED
    assert str(failure).endswith("unknown-name: no such model")
    assert answers.code == exits.Exit.UNREACHABLE


def test_a_closed_port_is_a_failure():
    answers = asyncio.run(
        fleet.fetch(
            [vms.Address("127.0.0.1", 1)],
            "/admin/members",
            {},
            "key",
            admin.MembersStatus,
            1.0,
        )
    )
    assert answers.values == []
    assert "cannot connect" in str(answers.failures[0])
    assert answers.failures[0].address == "127.0.0.1:1"
