"""Faults of a gateway's own process: silent peers, tasks, settings."""

import asyncio
import json

import standin

from nutmegpost_core import membership
from nutmegpost_platform import main


def _run_with_file(scenario, tmp_path):
    """Runs a scenario with a settings file and a gateway that serves."""

    async def with_gateway():
        async with standin.Fleet([standin.Runner("p1", "plain")]) as fleet:
            path = tmp_path / "settings.json"

            def write(**values):
                config = dict(fleet.gateways[0].config) | values
                path.write_text(json.dumps(config))

            await scenario(fleet, path, write)

    standin.run_scenario(with_gateway)


def _add_peer(gateway, host, age_s):
    """Adds a peer that last reported `age_s` ago; returns its address."""
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


def test_address_list_prefers_peers_that_report():
    async def scenario():
        async with standin.Fleet([standin.Runner("p1", "plain")]) as fleet:
            gateway = fleet.gateways[0]
            own = gateway.config["public_address"]
            silent = _add_peer(gateway, "127.0.0.8", 0.9)
            assert set(gateway._public_addresses()) == {own, silent}
            reporting = _add_peer(gateway, "127.0.0.9", 0.0)
            assert set(gateway._public_addresses()) == {own, reporting}

    standin.run_scenario(scenario)


def test_address_list_has_only_the_gateway_itself_if_all_peers_are_silent():
    async def scenario():
        async with standin.Fleet([standin.Runner("p1", "plain")]) as fleet:
            gateway = fleet.gateways[0]
            own = gateway.config["public_address"]
            silent = _add_peer(gateway, "127.0.0.8", 30.0)
            assert gateway._public_addresses() == [own]
            gateway._peer_sync.mark_platform_unavailable()
            assert set(gateway._public_addresses()) == {own, silent}

    standin.run_scenario(scenario)


def test_no_peer_counts_as_silent_after_a_pause_of_the_gateway():
    async def scenario():
        async with standin.Fleet([standin.Runner("p1", "plain")]) as fleet:
            gateway = fleet.gateways[0]
            _add_peer(gateway, "127.0.0.8", 30.0)
            gateway._load_exchange.reset_silence()
            assert gateway._load_exchange.silent_peers() == set()

    standin.run_scenario(scenario)


def test_failed_task_is_restarted_and_the_others_continue():
    async def scenario():
        async with standin.Fleet([standin.Runner("p1", "plain")]) as fleet:
            runs = []

            async def fail_once():
                runs.append(1)
                if len(runs) == 1:
                    raise RuntimeError("a fault of the program")

            await fleet.gateways[0]._supervise("test", fail_once)
            assert len(runs) == 2
            assert (await fleet.send_request("/look/1", "id-1")).status == 200

    standin.run_scenario(scenario)


def test_reloadable_settings_take_effect_and_others_do_not(tmp_path):
    async def scenario(fleet, path, write):
        gateway = fleet.gateways[0]
        zone = gateway.config["zone"]
        write(address_ttl_s=0.7, load_multiple=3.0, zone="another")
        main._reload(gateway, str(path))
        assert gateway.config["address_ttl_s"] == 0.7
        assert gateway.local_state.config["load_multiple"] == 3.0
        assert gateway.config["zone"] == zone

    _run_with_file(scenario, tmp_path)


def test_invalid_settings_have_no_effect(tmp_path):
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
        assert (await fleet.send_request("/look/1", "id-1")).status == 200

    _run_with_file(scenario, tmp_path)
