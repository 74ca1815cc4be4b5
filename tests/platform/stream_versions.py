"""Streams of endpoints that run several versions of their software."""

import pytest
import standin


def runners(service="engines", **versions):
    """Returns endpoints of a service, by name and software version."""
    return [
        standin.Runner(name, service, 8, version=version)
        for name, version in versions.items()
    ]


async def add(fleet, runner):
    """Starts and publishes an endpoint."""
    fleet.runners[runner.name] = runner
    await runner.start()
    fleet.store.put(f"servers/{runner.name}", runner.entry())


class Cut:
    """Cuts the first stream after two events.

    Attributes:
        runner: The endpoint that began the stream.
    """

    def __init__(self, fleet, later=standin.respond):
        """Sets the behavior of all endpoints.

        Args:
            fleet: The endpoints.
            later: Behavior for the requests after the first.
        """
        self.runner = None
        self._later = later
        for runner in fleet.runners.values():
            runner.behaviors = [self._behave] * 4

    async def _behave(self, runner, exchange):
        if self.runner is not None:
            await self._later(runner, exchange)
            return
        self.runner = runner
        await standin.cut_stream_after(2)(runner, exchange)


async def begin_and_break_off(fleet, identity, gateway_index=0):
    """Begins a stream whose answer ends after two events.

    Returns:
        The endpoint that began it.
    """
    cut = Cut(fleet, standin.drop_connection)
    with pytest.raises(standin.http_client.ExchangeError):
        await fleet.send_stream_request(
            "/draft/1", identity, gateway_index=gateway_index
        )
    for runner in fleet.runners.values():
        runner.behaviors = []
    return cut.runner


async def take_up(fleet, identity, begun, gateway_index):
    return await fleet.send_stream_request(
        "/draft/1",
        identity,
        gateway_index=gateway_index,
        Last_Event_Id="2",
        Resumes=begun,
    )


def versions_that_ran(fleet, identity):
    return {
        runner.version
        for runner in fleet.runners.values()
        if identity in runner.executed
    }
