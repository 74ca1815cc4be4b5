"""Tests of the handover of permits between two routers."""

import asyncio
import collections
import time

from nutmegpost_core import permits
from nutmegpost_core import wire
from nutmegpost_router import handover
from nutmegpost_router import peers

KEY = b"0123456789abcdef"
DIGEST = permits.call_digest("line", "release", b"{}")
ANSWER = permits.Result("answered", 200, "", b"done")
Member = collections.namedtuple("Member", "incarnation")


class Conversation:
    def __init__(self, reply):
        self.inbox = asyncio.Queue()
        self.inbox.put_nowait(reply)

    def close(self):
        pass


class Network:
    """Links to one successor, with scripted faults.

    It also stands in for the gossip task and its members.
    """

    def __init__(self, script=()):
        self.members = self
        self.receiver = None
        self.script = list(script)
        self.published = []

    def join(self, name, incarnation):
        table = permits.Table(name, incarnation, KEY, time.monotonic())
        self.receiver = handover.Handover(table, self, self)
        self.table = table

    def get(self, _):
        return Member(2)

    def send(self, command):
        self.published.append(command)

    async def start_conversation(self, _, message):
        step = self.script.pop(0) if self.script else "answered"
        if step == "no link":
            raise peers.LinkError("no link")
        reply = self.receiver.adopt(message, time.monotonic())
        if step == "answer lost":
            return Conversation(peers.LinkLost("b"))
        if step == "restarted":
            self.join("b", 22)
            return Conversation(peers.LinkLost("b"))
        return Conversation(reply)


def _start(*script):
    network = Network(script)
    network.join("b", 2)
    table = permits.Table("a", 1, KEY, time.monotonic())
    return network, table, handover.Handover(table, network, network)


def _permit(table):
    return permits.decode(table.issue("plant", time.monotonic()), KEY)


def test_permits_are_handed_over_despite_lost_replies():
    for script in ([], ["answer lost"], ["answer lost", "no link"]):
        network, table, task = _start(*script)
        permit = _permit(table)
        asyncio.run(task.run(lambda: ["b"]))
        assert table.successor == permits.Remote("b", 2)
        claim = network.table.claim(permit, "plant", DIGEST, time.monotonic())
        assert claim == permits.Run(permit)
        assert network.published


def test_export_is_cancelled_when_nothing_was_sent():
    _, table, task = _start("no link")
    asyncio.run(task.run(lambda: ["b"]))
    assert table.successor is None


def test_refusal_of_a_restarted_successor_does_not_free_the_permits():
    """The first process may have executed some of them before it ended."""
    network, table, task = _start("restarted")
    asyncio.run(task.run(lambda: ["b", "c"]))
    assert table.successor == permits.Remote("b", 2)
    assert network.table.incarnation == 22


def test_refusal_of_the_successor_frees_the_permits():
    network, table, task = _start()
    network.table.export(permits.Remote("c", 3), time.monotonic())
    asyncio.run(task.run(lambda: ["b"]))
    assert table.successor is None


def test_running_calls_do_not_block_the_hand_over(monkeypatch):
    monkeypatch.setattr(handover, "CALLS_WAIT_MAX_S", 0.05)

    async def run():
        network, table, task = _start()
        running, unused = _permit(table), _permit(table)
        table.claim(running, "plant", DIGEST, time.monotonic())
        work = asyncio.create_task(task.run(lambda: ["b"]))
        while not table.successor:
            await asyncio.sleep(0.01)
        claim = network.table.claim(unused, "plant", DIGEST, time.monotonic())
        assert claim == permits.Run(unused)
        table.record(running, ANSWER)
        await work
        claim = network.table.claim(running, "plant", DIGEST, time.monotonic())
        assert claim == permits.Recorded(ANSWER)

    asyncio.run(run())


def test_malformed_hand_over_is_refused():
    network, _, _ = _start()
    done = network.receiver.adopt(wire.Handover([1], [b"x"]), 0.0)
    assert done == wire.HandoverDone([], 2)
