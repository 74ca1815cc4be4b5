"""Tests of the VM list."""

import json

import hypothesis
from hypothesis import strategies as st
import pytest

from nutmegpost_core import errors
from nutmegpost_core import vms

VM = {
    "name": "engine-1",
    "address": "127.0.0.2:8000",
    "peer_address": "127.0.0.2:8000",
    "zone": "z1",
    "kind": "engine",
    "pool": "panel",
    "state": "live",
    "fenced": True,
}


def _parse(**changes):
    content = {"version": 1, "vms": [{**VM, **changes}]}
    return vms.parse(json.dumps(content).encode(), "test")


def test_list_is_parsed():
    assert _parse() == {"version": 1, "vms": [VM]}


@pytest.mark.parametrize(
    "changes",
    [
        {"name": "Engine 1"},
        {"name": "x" * 65},
        {"name": "engine-1\n"},
        {"address": "localhost:80"},
        {"address": "127.0.0.2:8000\n"},
        {"address": "127.0.0.2:0"},
        {"address": "127.0.0.2:99999"},
        {"peer_address": "999.0.0.2:80"},
        {"kind": "other"},
        {"state": "gone"},
        {"fenced": "yes"},
        {"pool": 3},
    ],
)
def test_invalid_value_is_rejected_with_its_key(changes):
    with pytest.raises(errors.DocumentError) as caught:
        _parse(**changes)
    assert caught.value.key.startswith("$.vms")


def test_duplicate_name_is_rejected():
    content = {"version": 1, "vms": [VM, VM]}
    with pytest.raises(errors.DocumentError):
        vms.parse(json.dumps(content).encode(), "test")


@hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
@hypothesis.given(st.binary(max_size=200) | st.text(max_size=200))
def test_arbitrary_bytes_raise_the_typed_error(data):
    raw = data if isinstance(data, bytes) else data.encode(errors="replace")
    with pytest.raises(errors.DocumentError):
        vms.parse(raw, "test")


def test_address_round_trip():
    assert str(vms.parse_address("127.0.0.2:80")) == "127.0.0.2:80"


@pytest.mark.parametrize("text", ["", "80", ":80", "1.2.3.4:", "1.2.3.4:x"])
def test_invalid_address_is_rejected(text):
    with pytest.raises(ValueError):
        vms.parse_address(text)
