"""Entries of endpoints that another writer left in the store."""

import json

import pytest
import standin

_GOOD = {
    "service": "plain",
    "address": "127.0.0.1:20000",
    "zone": "zone-a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldRemainingMs": 0,
    "seq": 1,
    "born": 1,
}
_DEEP = 100_000
_ODD_FIELDS = {
    "slots": [10**400, 2**63, -5, 1.5, "4", None],
    "born": [2**70, -1, 1.5, "1"],
    "seq": [-1, 2**70, "1"],
    "coldRemainingMs": [1e300, -1.0, "0", [], 10**400],
    "address": [
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:" + "9" * 5_000,
        "127.0.0.1",
        "[::1]:80",
        "host:80",
        7,
    ],
    "state": ["gone", "", 1],
    "service": [None, 5, {}],
}
_ODD_VALUES = [
    b"",
    b"\xff\xfe",
    b"null",
    b"[]",
    b"{",
    b"[" * _DEEP,
    b'{"service":' + b"[" * _DEEP + b"]" * _DEEP + b"}",
    b'{"other":' * _DEEP + b"1" + b"}" * _DEEP,
    *(
        json.dumps(_GOOD | {field: value}).encode()
        for field, values in _ODD_FIELDS.items()
        for value in values
    ),
]
_ODD_NAMES = ["", "two words", "line\r\nInjected: 1", "naïve"]


async def _assert_only_good_ones_are_used(fleet, name):
    gateway = fleet.gateways[0]
    assert set(gateway.local_state.roster.endpoints) == set(fleet.runners)
    for number in range(8):
        response = await fleet.send_request("/look/1", f"{name}-{number}")
        assert response.status == 200


def test_odd_entries_name_no_endpoint_and_stop_nothing():
    async def scenario():
        runners = [standin.Runner(name, "plain") for name in ("p1", "p2")]
        async with standin.Fleet(runners) as fleet:
            for number, value in enumerate(_ODD_VALUES):
                fleet.store.put(f"servers/odd-{number}", value)
            for name in _ODD_NAMES:
                fleet.store.put(f"servers/{name}", _GOOD)
            added = standin.Runner("p3", "plain")
            await added.start()
            fleet.runners["p3"] = added
            fleet.store.put("servers/p3", added.entry())
            endpoints = fleet.gateways[0].local_state.roster.endpoints
            await fleet.wait_until(lambda: "p3" in endpoints)
            await _assert_only_good_ones_are_used(fleet, "watched")
            fleet.start_gateway()
            await fleet.kill_gateway(0)
            fleet.gateways.reverse()
            fleet.tasks.reverse()
            await fleet.wait_until(lambda: fleet.gateways[0].ready)
            await _assert_only_good_ones_are_used(fleet, "listed")

    standin.run_scenario(scenario)


@pytest.mark.parametrize("field", sorted(_ODD_FIELDS))
def test_an_endpoint_whose_entry_turns_odd_is_not_used(field):
    async def scenario():
        runners = [standin.Runner(name, "plain") for name in ("p1", "p2")]
        async with standin.Fleet(runners) as fleet:
            endpoints = fleet.gateways[0].local_state.roster.endpoints
            for value in _ODD_FIELDS[field]:
                fleet.store.put("servers/p1", fleet.runners["p1"].entry())
                await fleet.wait_until(lambda: "p1" in endpoints)
                odd = fleet.runners["p1"].entry(**{field: value})
                fleet.store.put("servers/p1", odd)
                await fleet.wait_until(lambda: "p1" not in endpoints)

    standin.run_scenario(scenario)


_ENGINE = _GOOD | {"service": "engines"}


def _without(field):
    return {name: value for name, value in _ENGINE.items() if name != field}


async def _write_and_remove(fleet, value):
    fleet.store.put("servers/odd", value)
    fleet.store.remove("servers/odd")


async def _write_and_remove_later(fleet, value):
    fleet.store.put("servers/odd", value)
    await _wait_until_read(fleet)
    fleet.store.remove("servers/odd")


async def _write(fleet, value):
    fleet.store.put("servers/odd", value)


async def _write_twice(fleet, value):
    fleet.store.put("servers/odd", value)
    await _wait_until_read(fleet)
    fleet.store.put("servers/odd", value)


async def _write_over_another(fleet, value):
    fleet.store.put("servers/e3", value)
    await _wait_until_read(fleet)
    fleet.store.put("servers/e3", fleet.runners["e3"].entry(seq=2))


async def _wait_until_read(fleet):
    """Waits until all gateways have read what the store has."""
    for gateway in fleet.gateways:
        await fleet.wait_until(
            lambda gateway=gateway: (
                gateway.local_state.roster.revision.number
                >= fleet.store.revision
            )
        )


async def _take_up_after(fleet, change):
    """Breaks a stream off by a kill after a change, and takes it up.

    Returns:
        The statuses at the gateways that are left.
    """
    await fleet.wait_until_all_met()
    for runner in fleet.runners.values():
        runner.behaviors = [standin.cut_stream_after(2)] * 2
    with pytest.raises(standin.http_client.ExchangeError):
        await fleet.send_stream_request("/draft/1", "begun")
    for runner in fleet.runners.values():
        runner.behaviors = []
    await change(fleet)
    await _wait_until_read(fleet)
    await fleet.kill_gateway(0)
    return [
        (
            await fleet.send_stream_request(
                "/draft/1",
                f"again-{index}",
                gateway_index=index,
                Last_Event_Id="2",
                Resumes="begun",
            )
        ).status
        for index in (1, 2)
    ]


def _check_that_streams_go_on(change, value):
    async def scenario():
        async with _engines() as fleet:
            statuses = await _take_up_after(
                fleet, lambda _: change(fleet, value)
            )
            assert statuses == [200, 200]

    standin.run_scenario(scenario)


def _engines():
    return standin.Fleet(
        [standin.Runner(name, "engines", 8) for name in ("e1", "e2", "e3")],
        gateways=3,
    )


_UNREADABLE = b"\xff"
_UNNAMED_STATE = _ENGINE | {"state": "unknown", "address": 7}


# Guards against an odd entry that makes gateways refuse streams taken up.
@pytest.mark.parametrize("value", [_UNREADABLE, _UNNAMED_STATE], ids=str)
@pytest.mark.parametrize(
    "change",
    [
        _write,
        _write_twice,
        _write_and_remove,
        _write_and_remove_later,
        _write_over_another,
    ],
)
def test_streams_go_on_at_other_gateways_after_an_odd_entry(value, change):
    _check_that_streams_go_on(change, value)


# Guards against an incomplete entry that counts as another software version.
@pytest.mark.parametrize("change", [_write, _write_and_remove_later])
@pytest.mark.parametrize(
    "value",
    [
        b"",
        *(_without(field) for field in sorted(_ENGINE) if field != "born"),
        _ENGINE | {"version": 1},
        _ENGINE | {"version": ""},
    ],
    ids=str,
)
def test_incomplete_entry_is_no_other_software_version(value, change):
    _check_that_streams_go_on(change, value)


def test_entry_without_a_start_time_names_an_endpoint():
    async def scenario():
        async with _engines() as fleet:
            fleet.store.put("servers/e4", _without("born"))
            endpoints = fleet.gateways[0].local_state.roster.endpoints
            await fleet.wait_until(lambda: "e4" in endpoints)

    standin.run_scenario(scenario)


# Guards against refused streams after an endpoint was there between two polls.
@pytest.mark.parametrize(("version", "status"), [("v1", 200), ("v2", 503)])
def test_endpoint_that_comes_and_goes_between_two_polls_counts(version, status):
    async def scenario():
        async with _engines() as fleet:
            entry = _ENGINE | {"version": version}
            statuses = await _take_up_after(
                fleet, lambda _: _write_and_remove(fleet, entry)
            )
            assert statuses == [status, status]

    standin.run_scenario(scenario)


# Guards against entries of unknown services that make a gateway seem cut off.
def test_entries_of_services_that_are_not_configured_are_not_probed():
    async def scenario():
        runners = [standin.Runner(name, "plain") for name in ("p1", "p2")]
        async with standin.Fleet(runners, gateways=2) as fleet:
            await fleet.wait_until_all_met()
            for number in range(20):
                entry = _GOOD | {
                    "service": f"unnamed-{number}",
                    "address": standin.free_address(),
                }
                fleet.store.put(f"servers/other-{number}", entry)
            await _wait_until_read(fleet)
            await fleet.runners["p1"].crash()
            for number in range(6):
                response = await fleet.send_request(
                    "/look/1", f"id-{number}", "POST"
                )
                assert response.status == 200
            for gateway in fleet.gateways:
                assert not gateway._links.is_isolated

    standin.run_scenario(scenario)
