"""The example deployments parse, and their parts agree with one another."""

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
def test_sizes(name: str):
    found = _vm_list(name)
    kinds = [vm["kind"] for vm in found]
    assert kinds.count("router") == 4
    assert (kinds.count("engine"), kinds.count("service")) == SIZES[name]
    assert {vm["zone"] for vm in found} == {"a", "b", "c"}
    assert len(_configuration(name)["accounts"]) == 10
    assert {item["rank"] for item in _configuration(name)["classes"]} == {
        1,
        2,
        3,
    }


@pytest.mark.parametrize("name", SIZES)
def test_pools_exist(name: str):
    document = _configuration(name)
    pools = {item["name"] for item in document["models"]}
    pools |= {item["name"] for item in document["services"]}
    assert {vm["pool"] for vm in _vm_list(name)} == pools | {""}


@pytest.mark.parametrize("name", SIZES)
def test_settings_agree_with_the_vm_list(name: str):
    listed = {vm["name"]: vm for vm in _vm_list(name)}
    for number in range(1, 5):
        path = EXAMPLES / name / f"router-{number}.json"
        found = settings.load(str(path))
        vm = listed[found["name"]]
        assert vm["address"] == found["public_address"]
        assert vm["peer_address"] == found["peer_address"]
        assert vm["zone"] == found["zone"]


@pytest.mark.parametrize("name", SIZES)
def test_callers_keys(name: str):
    path = EXAMPLES / name / "callers.json"
    keys = json.loads(path.read_text())["keys"]
    for account in _configuration(name)["accounts"]:
        digest = configuration.key_digest(keys[account["name"]])
        assert account["key_digests"] == [digest]


@pytest.mark.parametrize("name", SIZES)
def test_one_call_may_not_be_repeated(name: str):
    (service,) = _configuration(name)["services"]
    flags = [item["repeatable"] for item in service["operations"]]
    assert flags == [False, True]
