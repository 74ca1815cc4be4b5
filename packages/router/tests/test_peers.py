import asyncio

import pytest
from websockets.asyncio import client as ws_client

from nutmegpost_core import vms
from nutmegpost_core import wire
from nutmegpost_router import peers

KEY = b"a key that both sides have"
SUBMIT = wire.Submit("r1", "press", "quick", "m", "c1", b"{}")
FRAMES = wire.Frames("r1", "press", "e1", 1, 0, [b"t0"], True)


def _run(serve, use, keys=(KEY, KEY), answers_as="b"):
    async def main():
        server = peers.Links(peers.Peer(answers_as, 2), keys[1], _none, serve)
        await server.listen(vms.Address("127.0.0.1", 0))
        port = server._server.sockets[0].getsockname()[1]
        address = vms.Address("127.0.0.1", port)
        client = peers.Links(
            peers.Peer("a", 1), keys[0], lambda _: address, _nothing
        )
        try:
            return await asyncio.wait_for(use(client, server, address), 20)
        finally:
            await client.close()
            await server.close()

    return asyncio.run(main())


def _none(_):
    return None


async def _nothing(peer, message, send):
    pass


async def _answer(peer, message, send):
    send(FRAMES._replace(request_id=message.request_id))


def test_replies_reach_their_conversation():
    async def use(client, server, address):
        first = await client.start_conversation("b", SUBMIT)
        second = await client.start_conversation(
            "b", SUBMIT._replace(request_id="r2")
        )
        return await first.inbox.get(), await second.inbox.get()

    first, second = _run(_answer, use)
    assert first == FRAMES
    assert second.request_id == "r2"


def test_replies_to_other_conversations_are_dropped():
    async def serve(peer, message, send):
        send(FRAMES._replace(account="other"))
        send(FRAMES)

    async def use(client, server, address):
        conversation = await client.start_conversation("b", SUBMIT)
        return await conversation.inbox.get()

    assert _run(serve, use) == FRAMES


def test_lost_link_ends_its_conversations():
    async def use(client, server, address):
        conversation = await client.start_conversation("b", SUBMIT)
        await server.close()
        return await conversation.inbox.get()

    assert _run(_nothing, use) == peers.LinkLost("b")


@pytest.mark.parametrize(
    ("keys", "name"), [((b"x" * 16, KEY), "b"), ((KEY, KEY), "c")]
)
def test_peer_without_a_valid_proof_is_refused(keys, name):
    async def use(client, server, address):
        with pytest.raises(peers.LinkError):
            await client.start_conversation("b", SUBMIT)

    _run(_answer, use, keys, name)


def test_no_message_is_accepted_before_the_proof():
    received = []

    async def serve(peer, message, send):
        received.append(message)

    async def use(client, server, address):
        async with ws_client.connect(f"ws://{address}", proxy=None) as socket:
            await socket.send(wire.encode(SUBMIT))
            await socket.wait_closed()
        async with ws_client.connect(f"ws://{address}", proxy=None) as socket:
            await socket.send(wire.encode(wire.Hello("a", 1, b"n")))
            await socket.recv()
            await socket.send(wire.encode(wire.Hello("a", 1, b"", b"forged")))
            await socket.send(wire.encode(SUBMIT))
            await socket.wait_closed()

    _run(serve, use)
    assert not received


def test_peer_without_an_address_is_a_link_error():
    async def use(client, server, address):
        with pytest.raises(peers.LinkError):
            await server.start_conversation("a", SUBMIT)

    _run(_nothing, use)
