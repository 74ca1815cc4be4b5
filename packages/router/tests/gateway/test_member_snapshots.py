"""Tests of the snapshots of the membership, over real sockets.

They guard against gateways that know few of a large fleet for most of a minute
after a start, as datagrams within the byte budget spread members slowly.
"""

import asyncio
import random

import cbor2
import pytest

from nutmegpost_core import membership
from nutmegpost_core import vms
from nutmegpost_router import http_client
from nutmegpost_router import http_server
from nutmegpost_router.gateway import member_snapshots

FLEET = 30


def _member(number, **fields):
    host = f"10.0.0.{number}"
    return membership.Member(
        f"gateway-{number}", number, f"{host}:1", f"{host}:2", "a", **fields
    )


def _view(count):
    view = membership.Membership(_member(0), random.Random(1))
    view.add_members([_member(number) for number in range(1, count)], 0.0)
    return view


def _snapshots(view, add_members, address=None, key="k" * 16, limit=FLEET - 1):
    return member_snapshots.MemberSnapshots(
        view,
        http_client.Client(),
        key,
        limit,
        lambda: [address] if address else [],
        add_members,
        random.Random(1),
    )


def _ask(serve, **options):
    """Returns what a gateway adds after it has asked a peer once."""

    async def scenario():
        async def handler(_):
            return serve()

        server = await http_server.serve(
            vms.Address("127.0.0.1", 0), http_server.responder(handler)
        )
        port = server._server.sockets[0].getsockname()[1]
        added = []
        joiner = _snapshots(
            _view(1), added.extend, vms.Address("127.0.0.1", port), **options
        )
        task = asyncio.create_task(joiner.run())
        await asyncio.sleep(0.8)
        task.cancel()
        await server.close()
        return added

    return asyncio.run(scenario())


def test_gateway_that_starts_learns_all_members_of_a_large_fleet():
    peer = _snapshots(_view(FLEET), lambda _: None)
    assert {member.name for member in _ask(peer.handle)} == {
        f"gateway-{number}" for number in range(FLEET)
    }


def test_departed_members_are_not_told():
    view = _view(FLEET)
    view.add_members([_member(3, state=membership.State.LEFT, revision=1)], 0.0)
    peer = _snapshots(view, lambda _: None, limit=FLEET - 2)
    names = {member.name for member in _ask(peer.handle)}
    assert len(names) == FLEET - 1
    assert "gateway-3" not in names


def test_small_fleet_tells_nothing():
    peer = _snapshots(_view(FLEET - 1), lambda _: None)
    assert _ask(peer.handle) == []


def test_nothing_is_asked_without_the_setting():
    peer = _snapshots(_view(FLEET), lambda _: None)
    assert _ask(peer.handle, limit=0) == []


def _answer(body):
    return lambda: http_server.Response(200, [], body)


@pytest.mark.parametrize(
    "content",
    [[["a", 1]], [["a", 1, 0, "alive", "x", "y", "z"]], 7, [[1] * 7]],
)
def test_malformed_or_forged_snapshot_adds_nothing(content):
    peer = _snapshots(_view(1), lambda _: None)
    body = cbor2.dumps(content)
    assert _ask(_answer(body + peer._mac(body))) == []
    assert _ask(_answer(body + bytes(16))) == []


def test_snapshot_of_another_key_adds_nothing():
    peer = _snapshots(_view(FLEET), lambda _: None, key="o" * 16)
    assert _ask(peer.handle) == []
