"""Tests of the index of a configuration."""

import json

import pytest

from nutmegpost_core import configuration
from nutmegpost_core import directory
from nutmegpost_core import errors


@pytest.fixture
def index():
    document = {
        "version": 3,
        "load_bound": 1.5,
        "classes": [
            {"name": "quick", "rank": 1, "first_token_ms": 490, "worth": 9},
            {"name": "night", "rank": 3, "first_token_ms": 9000, "worth": 1},
        ],
        "accounts": [
            {
                "name": "press",
                "key_digests": [configuration.key_digest("key-1")],
                "classes": ["quick"],
            }
        ],
        "models": [
            {
                "name": "m",
                "version": "v1",
                "slots": 4,
                "rollout": {"max_unavailable": 1},
            }
        ],
        "services": [
            {
                "name": "line",
                "operations": [{"name": "release", "repeatable": False}],
                "slots": 2,
            }
        ],
    }
    data = json.dumps(document).encode()
    return directory.Directory(configuration.parse(data, "test"))


def test_account_is_found_by_key_and_by_name(index):
    assert index.authenticate("Bearer key-1")["name"] == "press"
    assert index.account("press")["name"] == "press"


@pytest.mark.parametrize("value", ["", "Bearer", "Bearer key-2", "Basic x"])
def test_an_unknown_key_is_refused(index, value):
    with pytest.raises(errors.AccountError):
        index.authenticate(value)


def test_the_first_class_is_the_default(index):
    account = index.account("press")
    assert index.work_class(account, "")["name"] == "quick"
    with pytest.raises(errors.UnknownNameError):
        index.work_class(account, "night")


def test_unknown_names_are_refused(index):
    assert index.model("m")["slots"] == 4
    assert not index.operation("line", "release")["repeatable"]
    for look_up in (
        lambda: index.model("x"),
        lambda: index.operation("x", "release"),
        lambda: index.operation("line", "x"),
        lambda: index.account("x"),
    ):
        with pytest.raises(errors.RequestError) as caught:
            look_up()
        assert caught.value.outcome is errors.Outcome.NOT_RUN
