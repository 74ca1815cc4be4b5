"""Streams that go bad between two events."""

import pytest
import standin

COMPLETE_STREAM = b"".join(
    b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6)
)


def _spoil_with(spoilt):
    async def behavior(runner, exchange):
        request = exchange.request
        runner.executed.append(request.headers["attempt-id"])
        headers = [
            *runner.response_fields(request),
            ("Content-Type", "text/event-stream"),
        ]
        exchange.start(200, headers)
        first_id = int(request.headers.get("last-event-id", "0")) + 1
        events = b"".join(
            b"id: %d\ndata: piece %d\n\n" % (number, number)
            for number in (first_id, first_id + 1)
        )
        exchange.write(events + spoilt)
        exchange.finish()

    return behavior


@pytest.mark.parametrize(
    "spoilt", [b"garbage\n\n", b"id: x\ndata: piece\n\n", b"\n\n"]
)
def test_events_before_a_spoilt_one_are_not_missing(spoilt):
    async def scenario():
        runners = [
            standin.Runner(name, "engines", 8) for name in ("e1", "e2", "e3")
        ]
        spoils = _spoil_with(spoilt)
        count = 0

        async def spoil_the_first(runner, exchange):
            nonlocal count
            count += 1
            behavior = spoils if count == 1 else standin.respond
            await behavior(runner, exchange)

        for runner in runners:
            runner.behaviors = [spoil_the_first] * 2
        async with standin.Fleet(runners) as fleet:
            response = await fleet.send_stream_request("/draft/1", "id-1")
            assert response.body == COMPLETE_STREAM

    standin.run_scenario(scenario)
