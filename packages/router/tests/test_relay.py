"""Tests of relaying with redirections, lost links, duplicates and gaps."""

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
    router_view = view.View("me", "a")
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
    router_view.set_vms({"version": 1, "vms": vms})
    router_view.set_routers(["me", "p1", "p2"])
    router_view.set_available("m", ())
    return router_view


class _Conversation:
    def __init__(self, messages):
        self.inbox = asyncio.Queue()
        for message in messages:
            self.inbox.put_nowait(message)

    def close(self):
        pass


class _Fleet:
    """Replies to each submission with the next scripted list of messages."""

    def __init__(self, script):
        self.script = list(script)
        self.submits = []
        self.dropped_reasons = []

    def ports(self):
        return relay.Ports(
            view=_view(),
            submit_locally=self._submit_locally,
            submit_to_peer=self._submit_to_peer,
            on_resumed=lambda: None,
            on_dropped=self.dropped_reasons.append,
        )

    def _next_messages(self, submit):
        self.submits.append(submit)
        return self.script.pop(0) if self.script else None

    async def _submit_locally(self, submit):
        for message in self._next_messages(submit) or [_link_lost()]:
            yield message
        await asyncio.Event().wait()

    async def _submit_to_peer(self, peer, submit):
        messages = self._next_messages(submit)
        if messages is None:
            raise peers.LinkError(peer)
        return _Conversation(messages)


def _link_lost():
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


def _failure(outcome):
    return wire.Failed("r1", "press", 429, "overloaded", outcome, "full", 2.0)


def _collect_events(fleet, submit=SUBMIT):
    async def main():
        relayed = []
        async for frames in relay.stream_answer(fleet.ports(), submit):
            relayed += frames.events
        return relayed

    return asyncio.run(main())


def test_frames_are_relayed():
    fleet = _Fleet([[_frames(0, 2), _frames(2, 4, last=True)]])
    assert _collect_events(fleet) == TOKENS


def test_redirection_is_followed():
    redirected = wire.Redirected("r1", "press", "e2")
    fleet = _Fleet([[redirected], [_frames(0, 6, last=True, engine="e2")]])
    assert _collect_events(fleet) == TOKENS
    assert [submit.engine for submit in fleet.submits] == ["", "e2"]
    assert fleet.submits[1].hops == 1


def test_fresh_redirection_starts_a_fresh_attempt():
    redirected = wire.Redirected("r1", "press", "e1", fresh=True)
    fleet = _Fleet([[_frames(0, 2), redirected], [_frames(2, 1), _link_lost()]])
    fleet.script.append([_frames(3, 3, last=True)])
    assert _collect_events(fleet) == TOKENS
    assert [submit.fresh for submit in fleet.submits] == [False, True, False]


def test_lost_link_resumes_after_last_event():
    fleet = _Fleet([[_frames(0, 3), _link_lost()], [_frames(3, 3, last=True)]])
    assert _collect_events(fleet) == TOKENS
    assert fleet.submits[1].last_event == "e1/5/2"
    assert fleet.submits[1].engine == "e1"


def test_duplicate_events_are_dropped():
    fleet = _Fleet([[_frames(0, 3), _frames(1, 3), _frames(4, 2, last=True)]])
    assert _collect_events(fleet) == TOKENS
    assert fleet.dropped_reasons == ["doubled"]


def test_gap_resumes_after_last_event():
    fleet = _Fleet([[_frames(0, 1), _frames(3, 3)], [_frames(1, 5, last=True)]])
    assert _collect_events(fleet) == TOKENS
    assert fleet.dropped_reasons == ["gap"]
    assert fleet.submits[1].last_event == "e1/5/0"


def test_not_run_is_reported_only_if_no_submission_may_have_run():
    with pytest.raises(errors.RequestError) as caught:
        _collect_events(_Fleet([[_failure("not-run")]]))
    assert caught.value.outcome is errors.Outcome.NOT_RUN
    assert caught.value.retry_after == 2.0
    with pytest.raises(errors.RequestError) as caught:
        _collect_events(_Fleet([[_link_lost()], [_failure("not-run")]]))
    assert caught.value.outcome is errors.Outcome.UNKNOWN


def test_endless_redirections_fail(monkeypatch):
    monkeypatch.setattr(relay, "BACKOFF_BASE_S", 0.0)
    redirected = wire.Redirected("r1", "press", "e2")
    with pytest.raises(errors.RequestError) as caught:
        _collect_events(_Fleet([[redirected]] * 40))
    assert caught.value.outcome is errors.Outcome.NOT_RUN


def test_model_without_engines_is_unavailable():
    fleet = _Fleet([])
    with pytest.raises(errors.UnavailableError) as caught:
        _collect_events(fleet, SUBMIT._replace(model="other"))
    assert caught.value.outcome is errors.Outcome.NOT_RUN
    assert not fleet.submits
