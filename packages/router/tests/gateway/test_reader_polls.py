"""Tests of what followers and readers tell each other."""

import asyncio
import math
import types

import pytest

from nutmegpost_core import evacuations
from nutmegpost_core import roster
from nutmegpost_core import software_versions
from nutmegpost_router.gateway import reader_polls


def _state():
    return types.SimpleNamespace(
        config={},
        catalog=types.SimpleNamespace(version=3),
        document=b"x" * 62_500,
        roster=roster.Roster(2.0),
        versions=software_versions.VersionHistory(True),
        evacuations=evacuations.Evacuations(5.0),
        versions_gap_at=-math.inf,
        directory_confirmed_at=-math.inf,
    )


def _run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_request_survives_its_encoding():
    request = reader_polls.FollowRequest(1.0, 0.25, 0.8, "token", "details")
    assert reader_polls.decode_request(request.encode()) == request
    endless = request._replace(age_s=math.inf, wait_s=50.0)
    decoded = reader_polls.decode_request(endless.encode())
    assert decoded.age_s == 1000.0
    assert decoded.wait_s == 2.0


# Guards against polls of earlier builds, and malformed ones, that wait.
@pytest.mark.parametrize(
    "text", ["", "1", "a.b.c.d.e", "1.2.3.t", "-1.2.3.t.d"]
)
def test_other_queries_are_none_of_a_follower(text):
    assert reader_polls.decode_request(text) is None


def test_news_survive_their_encoding():
    async def scenario():
        local_state = _state()
        now = asyncio.get_running_loop().time()
        local_state.directory_confirmed_at = now - 1.5
        local_state.roster.confirm(roster.Revision(2, 7))
        polls = reader_polls.LongPolls(local_state)
        news = reader_polls.decode_news(polls.encode_news(), True, now)
        assert news.token == polls.token()
        assert news.version == 3
        assert news.is_available
        assert news.confirmed_at == pytest.approx(now - 1.5, abs=0.05)
        assert news.update.available_since == -math.inf
        assert news.update.revision == roster.Revision(2, 7)

    _run(scenario)


@pytest.mark.parametrize(
    "encoded", [[], ["t", 1, True, [1, 2], [0, 1]], ["t", 1, True, 5, [0, 1]]]
)
def test_malformed_news_raise_what_is_caught(encoded):
    with pytest.raises((TypeError, ValueError)):
        reader_polls.decode_news(encoded, True, 0.0)


async def _answer_after_s(polls, request, change):
    started = asyncio.get_running_loop().time()
    task = asyncio.create_task(polls.wait(request))
    await asyncio.sleep(0.05)
    change()
    polls.notify()
    await task
    return asyncio.get_running_loop().time() - started


# Guards against changes that a follower learns at the end of its wait only.
@pytest.mark.parametrize(
    ("change", "answers_early"),
    [
        (lambda state: setattr(state.catalog, "version", 4), True),
        (lambda state: state.roster.mark_directory_unavailable(), True),
        (lambda state: setattr(state, "versions_gap_at", 1.0), True),
        (lambda state: state.roster.confirm(roster.Revision(1, 1)), False),
        (lambda state: setattr(state, "directory_confirmed_at", 9e9), True),
    ],
)
def test_poll_is_answered_when_the_state_changes(change, answers_early):
    async def scenario():
        local_state = _state()
        polls = reader_polls.LongPolls(local_state)
        request = reader_polls.FollowRequest(0.4, 0.0, 0.3, polls.token())
        elapsed_s = await _answer_after_s(
            polls, request, lambda: change(local_state)
        )
        assert (elapsed_s < 0.3) == answers_early

    _run(scenario)


def test_poll_with_an_old_token_is_answered_at_once():
    async def scenario():
        polls = reader_polls.LongPolls(_state())
        async with asyncio.timeout(0.2):
            await polls.wait(reader_polls.FollowRequest(2.0, 0.0, 1.0, "old"))

    _run(scenario)


def test_documents_leave_room_on_the_link():
    async def scenario():
        polls = reader_polls.LongPolls(_state())
        assert polls.may_send_document()
        assert not polls.may_send_document()
        # 62,500 bytes take 0.1 s at 5 Mbit/s.
        await asyncio.sleep(0.11)
        assert polls.may_send_document()

    _run(scenario)
