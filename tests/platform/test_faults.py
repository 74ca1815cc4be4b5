"""Faults of a gateway's own process: tasks, descriptors, settings."""

import asyncio
import json

import standin

from nutmegpost_core import membership
from nutmegpost_platform import main


def _run_with_file(scenario, tmp_path):
    """Runs a scenario with a settings file for a gateway that serves."""

    async def with_gateway():
        async with standin.Fleet([standin.Runner("p1", "plain")]) as fleet:
            path = tmp_path / "settings.json"

            def write(**values):
                found = dict(fleet.gateways[0].config) | values
                path.write_text(json.dumps(found))

            await scenario(fleet, path, write)

    standin.run(with_gateway)


def _told(gateway, host, age_s):
    """Makes a gateway know a peer that it heard some seconds ago."""
    now = asyncio.get_running_loop().time()
    name = f"peer-{host}"
    gateway.members.add_members(
        [
            membership.Member(
                name, 1, f"{host}:1", f"{host}:2", "zone-a", revision=1
            )
        ],
        now,
    )
    gateway._load_exchange._last_received[name] = now - age_s
    return f"{host}:1"


def test_callers_are_sent_to_the_gateways_that_are_heard():
    async def scenario():
        async with standin.Fleet([standin.Runner("p1", "plain")]) as fleet:
            gateway = fleet.gateways[0]
            own = gateway.config["public_address"]
            silent = _told(gateway, "127.0.0.8", 0.9)
            assert set(gateway._public_addresses()) == {own, silent}
            heard = _told(gateway, "127.0.0.9", 0.0)
            assert set(gateway._public_addresses()) == {own, heard}

    standin.run(scenario)


def test_a_gateway_whose_peers_stay_silent_names_only_itself():
    async def scenario():
        async with standin.Fleet([standin.Runner("p1", "plain")]) as fleet:
            gateway = fleet.gateways[0]
            own = gateway.config["public_address"]
            silent = _told(gateway, "127.0.0.8", 30.0)
            assert gateway._public_addresses() == [own]
            gateway._peer_sync.mark_platform_unavailable()
            assert set(gateway._public_addresses()) == {own, silent}

    standin.run(scenario)


def test_a_gateway_that_stood_still_takes_no_peer_for_silent():
    async def scenario():
        async with standin.Fleet([standin.Runner("p1", "plain")]) as fleet:
            gateway = fleet.gateways[0]
            _told(gateway, "127.0.0.8", 30.0)
            gateway._load_exchange.reset_silence()
            assert gateway._load_exchange.silent_peers() == set()

    standin.run(scenario)


def test_a_task_that_fails_runs_again_and_the_others_go_on():
    async def scenario():
        async with standin.Fleet([standin.Runner("p1", "plain")]) as fleet:
            runs = []

            async def fail_once():
                runs.append(1)
                if len(runs) == 1:
                    raise RuntimeError("a fault of the program")

            await fleet.gateways[0]._supervise("test", fail_once)
            assert len(runs) == 2
            assert (await fleet.ask("/look/1", "id-1")).status == 200

    standin.run(scenario)


def test_changed_settings_are_in_force_and_others_are_kept(tmp_path):
    async def scenario(fleet, path, write):
        gateway = fleet.gateways[0]
        zone = gateway.config["zone"]
        write(address_ttl_s=0.7, load_multiple=3.0, zone="another")
        main._reload(gateway, str(path))
        assert gateway.config["address_ttl_s"] == 0.7
        assert gateway.local_state.config["load_multiple"] == 3.0
        assert gateway.config["zone"] == zone

    _run_with_file(scenario, tmp_path)


def test_broken_settings_change_nothing(tmp_path):
    async def scenario(fleet, path, write):
        gateway = fleet.gateways[0]
        before = dict(gateway.config)
        for text in ("", "{", "[]", json.dumps({"name": "x"})):
            path.write_text(text)
            main._reload(gateway, str(path))
        write(load_multiple=-1, address_ttl_s=0.7)
        main._reload(gateway, str(path))
        path.unlink()
        main._reload(gateway, str(path))
        assert gateway.config == before
        assert (await fleet.ask("/look/1", "id-1")).status == 200

    _run_with_file(scenario, tmp_path)
