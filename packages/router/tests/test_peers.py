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
        served = peers.Links(peers.Peer(answers_as, 2), keys[1], _none, serve)
        await served.listen(vms.Address("127.0.0.1", 0))
        port = served._server.sockets[0].getsockname()[1]
        address = vms.Address("127.0.0.1", port)
        asking = peers.Links(
            peers.Peer("a", 1), keys[0], lambda _: address, _nothing
        )
        try:
            return await asyncio.wait_for(use(asking, served, address), 20)
        finally:
            await asking.close()
            await served.close()

    return asyncio.run(main())


def _none(_):
    return None


async def _nothing(peer, message, send):
    pass


async def _answer(peer, message, send):
    send(FRAMES._replace(request_id=message.request_id))


def test_answers_reach_their_conversation():
    async def use(asking, served, address):
        first = await asking.converse("b", SUBMIT)
        second = await asking.converse("b", SUBMIT._replace(request_id="r2"))
        return await first.inbox.get(), await second.inbox.get()

    first, second = _run(_answer, use)
    assert first == FRAMES
    assert second.request_id == "r2"


def test_foreign_answers_are_dropped():
    async def serve(peer, message, send):
        send(FRAMES._replace(account="other"))
        send(FRAMES)

    async def use(asking, served, address):
        conversation = await asking.converse("b", SUBMIT)
        return await conversation.inbox.get()

    assert _run(serve, use) == FRAMES


def test_a_lost_link_ends_its_conversations():
    async def use(asking, served, address):
        conversation = await asking.converse("b", SUBMIT)
        await served.close()
        return await conversation.inbox.get()

    assert _run(_nothing, use) == peers.LinkLost("b")


@pytest.mark.parametrize(
    ("keys", "name"), [((b"x" * 16, KEY), "b"), ((KEY, KEY), "c")]
)
def test_a_peer_that_cannot_prove_itself_is_refused(keys, name):
    async def use(asking, served, address):
        with pytest.raises(peers.LinkError):
            await asking.converse("b", SUBMIT)

    _run(_answer, use, keys, name)


def test_nothing_is_taken_before_the_proof():
    seen = []

    async def serve(peer, message, send):
        seen.append(message)

    async def use(asking, served, address):
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
    assert not seen


def test_a_peer_without_address_is_a_link_error():
    async def use(asking, served, address):
        with pytest.raises(peers.LinkError):
            await served.converse("a", SUBMIT)

    _run(_nothing, use)
