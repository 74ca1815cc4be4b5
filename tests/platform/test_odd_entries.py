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
