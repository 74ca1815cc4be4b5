"""Streams whose route moves to a service with several software versions."""

import asyncio

import pytest
import standin
import stream_versions


def _moved_configuration(version, service):
    """Returns a configuration whose resumable route leads to a service."""
    document = standin.configuration(version)
    document["services"].append(document["services"][1] | {"name": "others"})
    for route in document["routes"]:
        if route["name"] == "draft":
            route["service"] = service
    return document


async def _move_route(fleet, gateway_indexes, version=2, service="others"):
    fleet.store.put("op/config", _moved_configuration(version, service))
    for index in gateway_indexes:
        await fleet.wait_until(
            lambda index=index: (
                fleet.gateways[index].local_state.catalog.version == version
            )
        )


def _set_behaviors(fleet, behavior, is_chosen=lambda runner: True):
    for runner in fleet.runners.values():
        runner.behaviors = [behavior] * 4 if is_chosen(runner) else []


async def _take_up_and_break_off(fleet, identity, begun, gateway_index):
    """Takes a stream up; the answer ends after one event.

    Returns:
        The version that sent it.
    """
    for runner in fleet.runners.values():
        runner.behaviors = [standin.cut_stream_after(1), standin.reject] * 2
    with pytest.raises(standin.http_client.ExchangeError):
        await stream_versions.take_up(fleet, identity, begun, gateway_index)
    _set_behaviors(fleet, standin.respond)
    (version,) = stream_versions.versions_that_ran(fleet, identity)
    return version


# Guards against streams of two versions of a service that their route moved to.
@pytest.mark.parametrize("gateway_index", [0, 1])
def test_moved_stream_stays_at_the_version_that_went_on_with_it(gateway_index):
    async def scenario():
        runners = [
            *stream_versions.runners(e1="v1", e2="v2"),
            *stream_versions.runners(
                "others", o1="v3", o2="v4", o3="v3", o4="v4"
            ),
        ]
        async with standin.Fleet(
            runners, gateways=2, config=_moved_configuration(1, "engines")
        ) as fleet:
            await fleet.wait_until_all_met()
            await stream_versions.begin_and_break_off(fleet, "begun")
            await _move_route(fleet, (0, 1))
            version = await _take_up_and_break_off(fleet, "again", "begun", 0)
            assert version in ("v3", "v4")
            # The peers are told what went on with the stream.
            await asyncio.sleep(0.2)
            _set_behaviors(
                fleet, standin.reject, lambda runner: runner.version == version
            )
            await stream_versions.take_up(
                fleet, "rejected", "begun", gateway_index
            )
            assert not stream_versions.versions_that_ran(fleet, "rejected")
            _set_behaviors(fleet, standin.respond)
            response = await stream_versions.take_up(
                fleet, "last", "begun", gateway_index
            )
            assert response.status == 200
            assert stream_versions.versions_that_ran(fleet, "last") == {version}

    standin.run_scenario(scenario)


# Guards against two versions where a gateway is lost before it tells its peers.
def test_gateways_choose_the_same_version_for_a_moved_stream():
    async def scenario():
        runners = [
            *stream_versions.runners(e1="v1", e2="v2"),
            *stream_versions.runners(
                "others", o1="v3", o2="v4", o3="v3", o4="v4"
            ),
        ]
        async with standin.Fleet(
            runners, gateways=3, config=_moved_configuration(1, "engines")
        ) as fleet:
            await fleet.wait_until_all_met()
            for number in range(6):
                await stream_versions.begin_and_break_off(
                    fleet, f"begun-{number}"
                )
            await _move_route(fleet, (0, 1, 2))
            await asyncio.sleep(0.2)
            answers = await asyncio.gather(
                *(
                    stream_versions.take_up(
                        fleet, f"a-{number}-{index}", f"begun-{number}", index
                    )
                    for number in range(6)
                    for index in (1, 2)
                )
            )
            assert {answer.status for answer in answers} == {200}
            for number in range(6):
                assert stream_versions.versions_that_ran(
                    fleet, f"a-{number}-1"
                ) == stream_versions.versions_that_ran(fleet, f"a-{number}-2")

    standin.run_scenario(scenario)


# Guards against a stream that leaves its version when its route moves.
def test_moved_stream_goes_on_at_its_version_if_the_service_has_it():
    async def scenario():
        runners = [
            *stream_versions.runners(e1="v1", e2="v2"),
            *stream_versions.runners("others", o1="v1", o2="v2"),
        ]
        async with standin.Fleet(
            runners, config=_moved_configuration(1, "engines")
        ) as fleet:
            began = [
                await stream_versions.begin_and_break_off(
                    fleet, f"begun-{number}"
                )
                for number in range(4)
            ]
            await _move_route(fleet, (0,))
            for number, runner in enumerate(began):
                again = f"again-{number}"
                response = await stream_versions.take_up(
                    fleet, again, f"begun-{number}", 0
                )
                assert response.status == 200
                assert stream_versions.versions_that_ran(fleet, again) == {
                    runner.version
                }

    standin.run_scenario(scenario)


# Guards against streams that only a killed gateway knows when their route moves
# to a service of two versions.
@pytest.mark.parametrize("joins_late", [False, True])
def test_stream_of_one_version_goes_on_after_its_route_moved(joins_late):
    async def scenario():
        others = stream_versions.runners("others", o1="v1", o2="v2")
        runners = [
            *stream_versions.runners(e1="v1", e2="v1"),
            *others[: 2 - joins_late],
        ]
        async with standin.Fleet(
            runners, gateways=3, config=_moved_configuration(1, "engines")
        ) as fleet:
            await fleet.wait_until_all_met()
            for number in range(4):
                await stream_versions.begin_and_break_off(
                    fleet, f"begun-{number}"
                )
            if joins_late:
                await stream_versions.add(fleet, others[1])
                for gateway in fleet.gateways:
                    endpoints = gateway.local_state.roster.endpoints
                    await fleet.wait_until(
                        lambda endpoints=endpoints: "o2" in endpoints
                    )
            await _move_route(fleet, (0, 1, 2))
            await asyncio.sleep(0.3)
            await fleet.kill_gateway(0)
            for number in range(4):
                again = f"again-{number}"
                response = await stream_versions.take_up(
                    fleet, again, f"begun-{number}", 1
                )
                assert response.status == 200
                assert stream_versions.versions_that_ran(fleet, again) == {"v1"}

    standin.run_scenario(scenario)


# Guards against streams that are lost where two services share a route.
def test_stream_goes_on_at_the_service_of_a_shared_route_that_began_it():
    async def scenario():
        document = _moved_configuration(1, "engines")
        for route in document["routes"]:
            if route["name"] == "draft":
                route["trafficSplit"] = [
                    {"service": name, "weight": 1}
                    for name in ("engines", "others")
                ]
        runners = [
            *stream_versions.runners(e1="v1", e2="v1"),
            *stream_versions.runners(
                "others", o1="v1", o2="v2", o3="v1", o4="v2"
            ),
        ]
        async with standin.Fleet(runners, gateways=3, config=document) as fleet:
            await fleet.wait_until_all_met()
            began = [
                await stream_versions.begin_and_break_off(
                    fleet, f"begun-{number}"
                )
                for number in range(8)
            ]
            assert {runner.service for runner in began} == {"engines", "others"}
            await asyncio.sleep(0.3)
            await fleet.kill_gateway(0)
            for number, runner in enumerate(began):
                again = f"again-{number}"
                response = await stream_versions.take_up(
                    fleet, again, f"begun-{number}", 1
                )
                assert response.status == 200
                (ran,) = [
                    other
                    for other in fleet.runners.values()
                    if again in other.executed
                ]
                assert ran.service == runner.service
                assert ran.version == runner.version

    standin.run_scenario(scenario)
