"""Faults of a gateway's own process: tasks, descriptors, settings."""

import json

import standin

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
        assert gateway.known.config["load_multiple"] == 3.0
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
