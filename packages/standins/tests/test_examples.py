"""Tests that the example deployments parse and that their files agree."""

import json
import pathlib

import pytest

from nutmegpost_core import configuration
from nutmegpost_core import vms
from nutmegpost_router import settings

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
SIZES = {"plant": (5, 3), "timber": (10, 3)}


def _configuration(name: str) -> configuration.Document:
    path = EXAMPLES / name / "configuration.json"
    return configuration.parse(path.read_bytes(), str(path)).document


def _vm_list(name: str) -> list[vms.Vm]:
    path = EXAMPLES / name / "vms.json"
    return vms.parse(path.read_bytes(), str(path))["vms"]


@pytest.mark.parametrize("name", SIZES)
def test_numbers_of_vms_and_accounts(name: str):
    listed = _vm_list(name)
    kinds = [vm["kind"] for vm in listed]
    assert kinds.count("router") == 4
    assert (kinds.count("engine"), kinds.count("service")) == SIZES[name]
    assert {vm["zone"] for vm in listed} == {"a", "b", "c"}
    assert len(_configuration(name)["accounts"]) == 10
    assert {
        work_class["rank"] for work_class in _configuration(name)["classes"]
    } == {
        1,
        2,
        3,
    }


@pytest.mark.parametrize("name", SIZES)
def test_pools_match_models_and_services(name: str):
    document = _configuration(name)
    pools = {model["name"] for model in document["models"]}
    pools |= {service["name"] for service in document["services"]}
    assert {vm["pool"] for vm in _vm_list(name)} == pools | {""}


@pytest.mark.parametrize("name", SIZES)
def test_settings_agree_with_the_vm_list(name: str):
    listed = {vm["name"]: vm for vm in _vm_list(name)}
    for number in range(1, 5):
        path = EXAMPLES / name / f"router-{number}.json"
        router = settings.load(str(path))
        vm = listed[router["name"]]
        assert vm["address"] == router["public_address"]
        assert vm["peer_address"] == router["peer_address"]
        assert vm["zone"] == router["zone"]


@pytest.mark.parametrize("name", SIZES)
def test_keys_of_callers_match_the_digests(name: str):
    path = EXAMPLES / name / "callers.json"
    keys = json.loads(path.read_text())["keys"]
    for account in _configuration(name)["accounts"]:
        digest = configuration.key_digest(keys[account["name"]])
        assert account["key_digests"] == [digest]


@pytest.mark.parametrize("name", SIZES)
def test_first_operation_is_not_repeatable(name: str):
    (service,) = _configuration(name)["services"]
    flags = [operation["repeatable"] for operation in service["operations"]]
    assert flags == [False, True]
