"""Following a request over redirections, lost links and stray frames."""

import asyncio

import pytest

from nutmegpost_core import errors
from nutmegpost_core import wire
from nutmegpost_router import peers
from nutmegpost_router import relay
from nutmegpost_router import view

SUBMIT = wire.Submit("r1", "press", "quick", "m", "c1", b"{}")
TOKENS = [b"t%d" % number for number in range(6)]


def _view():
    found = view.View("me", "a")
    vms = [
        {
            "name": name,
            "address": f"127.0.0.1:{port}",
            "peer_address": f"127.0.0.1:{port}",
            "zone": "a",
            "kind": "engine",
            "pool": "m",
            "state": "live",
            "fenced": False,
        }
        for port, name in enumerate(("e1", "e2"), 1000)
    ]
    found.set_vms({"version": 1, "vms": vms})
    found.set_routers(["me", "p1", "p2"])
    found.set_available("m", ())
    return found


class _Conversation:
    def __init__(self, messages):
        self.inbox = asyncio.Queue()
        for message in messages:
            self.inbox.put_nowait(message)

    def close(self):
        pass


class _Fleet:
    """Answers each try with the next scripted list of messages."""

    def __init__(self, script):
        self.script = list(script)
        self.asked = []
        self.dropped = []

    def ports(self):
        return relay.Ports(
            view=_view(),
            answers=self._answers,
            converse=self._converse,
            resumed=lambda: None,
            dropped=self.dropped.append,
        )

    def _next(self, submit):
        self.asked.append(submit)
        return self.script.pop(0) if self.script else None

    async def _answers(self, submit):
        for message in self._next(submit) or [_lost()]:
            yield message
        await asyncio.Event().wait()

    async def _converse(self, peer, submit):
        messages = self._next(submit)
        if messages is None:
            raise peers.LinkError(peer)
        return _Conversation(messages)


def _lost():
    return peers.LinkLost("p")


def _frames(first, count, last=False, engine="e1", attempt=5):
    return wire.Frames(
        "r1",
        "press",
        engine,
        attempt,
        first,
        TOKENS[first : first + count],
        last,
    )


def _failed(outcome):
    return wire.Failed("r1", "press", 429, "overloaded", outcome, "full", 2.0)


def _follow(fleet, submit=SUBMIT):
    async def main():
        found = []
        async for frames in relay.follow(fleet.ports(), submit):
            found += frames.events
        return found

    return asyncio.run(main())


def test_frames_come_through():
    fleet = _Fleet([[_frames(0, 2), _frames(2, 4, last=True)]])
    assert _follow(fleet) == TOKENS


def test_a_redirection_is_followed():
    moved = wire.Redirected("r1", "press", "e2")
    fleet = _Fleet([[moved], [_frames(0, 6, last=True, engine="e2")]])
    assert _follow(fleet) == TOKENS
    assert [ask.engine for ask in fleet.asked] == ["", "e2"]
    assert fleet.asked[1].hops == 1


def test_a_request_that_is_placed_anew_says_so():
    moved = wire.Redirected("r1", "press", "e1", fresh=True)
    fleet = _Fleet([[_frames(0, 2), moved], [_frames(2, 1), _lost()]])
    fleet.script.append([_frames(3, 3, last=True)])
    assert _follow(fleet) == TOKENS
    assert [ask.fresh for ask in fleet.asked] == [False, True, False]


def test_a_lost_link_goes_on_after_the_last_event():
    fleet = _Fleet([[_frames(0, 3), _lost()], [_frames(3, 3, last=True)]])
    assert _follow(fleet) == TOKENS
    assert fleet.asked[1].last_event == "e1/5/2"
    assert fleet.asked[1].engine == "e1"


def test_doubled_events_are_dropped():
    fleet = _Fleet([[_frames(0, 3), _frames(1, 3), _frames(4, 2, last=True)]])
    assert _follow(fleet) == TOKENS
    assert fleet.dropped == ["doubled"]


def test_after_a_gap_the_rest_is_asked_for_again():
    fleet = _Fleet([[_frames(0, 1), _frames(3, 3)], [_frames(1, 5, last=True)]])
    assert _follow(fleet) == TOKENS
    assert fleet.dropped == ["gap"]
    assert fleet.asked[1].last_event == "e1/5/0"


def test_not_run_holds_only_when_nothing_can_have_run():
    with pytest.raises(errors.RequestError) as caught:
        _follow(_Fleet([[_failed("not-run")]]))
    assert caught.value.outcome is errors.Outcome.NOT_RUN
    assert caught.value.retry_after == 2.0
    with pytest.raises(errors.RequestError) as caught:
        _follow(_Fleet([[_lost()], [_failed("not-run")]]))
    assert caught.value.outcome is errors.Outcome.UNKNOWN


def test_a_request_that_never_finds_its_owner_ends(monkeypatch):
    monkeypatch.setattr(relay, "BACKOFF_S", 0.0)
    moved = wire.Redirected("r1", "press", "e2")
    with pytest.raises(errors.RequestError) as caught:
        _follow(_Fleet([[moved]] * 40))
    assert caught.value.outcome is errors.Outcome.NOT_RUN


def test_without_engines_nothing_runs():
    fleet = _Fleet([])
    with pytest.raises(errors.UnavailableError) as caught:
        _follow(fleet, SUBMIT._replace(model="other"))
    assert caught.value.outcome is errors.Outcome.NOT_RUN
    assert not fleet.asked
