import copy
import json

import hypothesis
from hypothesis import strategies
import pytest

from nutmegpost_core import configuration
from nutmegpost_core import errors
from nutmegpost_ctl import advice

_DOCUMENT = {
    "version": 1,
    "load_bound": 1.5,
    "classes": [
        {"name": "press", "rank": 1, "first_token_ms": 490, "worth": 100},
        {
            "name": "tagging",
            "rank": 3,
            "first_token_ms": 60000,
            "finish_s": 3600,
            "worth": 1,
        },
    ],
    "accounts": [
        {
            "name": "desk",
            "key_digests": [configuration.key_digest("key")],
            "classes": ["press", "tagging"],
        }
    ],
    "models": [
        {
            "name": "panel",
            "version": "v1",
            "slots": 8,
            "rollout": {"max_unavailable": 1},
        }
    ],
    "services": [
        {
            "name": "line",
            "operations": [{"name": "release", "repeatable": False}],
            "slots": 4,
        }
    ],
}


def _advise(document):
    data = json.dumps(document).encode()
    return advice.advise(configuration.parse(data, "c.json"))


def _changed(path, value):
    document = copy.deepcopy(_DOCUMENT)
    parent = document
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    return document


def test_a_configuration_without_mistakes_gets_no_advice():
    assert _advise(_DOCUMENT) == []


@pytest.mark.parametrize(
    ("path", "value", "key"),
    [
        (["load_bound"], 1.05, "$.load_bound"),
        (["load_limit"], 1.05, "$.load_limit"),
        (
            ["classes", 0, "betwen_tokens_ms"],
            30,
            "$.classes[0].betwen_tokens_ms",
        ),
        (["models", 0, "rollout", "burn"], 2, "$.models[0].rollout.burn"),
        (
            ["services", 0, "operations", 0, "x"],
            2,
            "$.services[0].operations[0].x",
        ),
        (["classes", 0, "within"], 0.9999, "$.classes[0].within"),
        (["classes", 1, "worth"], 200, "$.classes[1].worth"),
        (["classes", 1, "finish_s"], 30, "$.classes[1].first_token_ms"),
        (["accounts", 0, "classes"], ["press"], "$.classes[1].name"),
        (
            ["accounts", 0, "classes"],
            ["press", "tagging", "press"],
            "$.accounts[0].classes",
        ),
        (
            ["accounts", 0, "key_digests"],
            [configuration.key_digest("")],
            "$.accounts[0].key_digests",
        ),
        (["models", 0, "name"], "press", "$.models[0].name"),
    ],
)
def test_what_looks_like_a_mistake_is_reported(path, value, key):
    assert [remark.key for remark in _advise(_changed(path, value))] == [key]


def test_empty_lists_are_reported():
    document = {**_DOCUMENT, "accounts": [], "models": [], "services": []}
    keys = {remark.key for remark in _advise(document)}
    assert {"$.accounts", "$.models"} <= keys


_KEYS = strategies.sampled_from(
    ["version", "load_bound", "classes", "accounts", "models", "services", "x"]
)
_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.sampled_from(
        [_DOCUMENT[key] for key in ("classes", "accounts", "models")]
    ),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(["name", "rank", "worth", "slots", "y"]),
            inner,
        )
    ),
    max_leaves=6,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
@hypothesis.given(key=_KEYS, value=_VALUES)
def test_any_value_gives_a_configuration_with_advice_or_the_error(key, value):
    data = json.dumps({**_DOCUMENT, key: value}).encode()
    try:
        published = configuration.parse(data, "c.json")
    except errors.ConfigurationError as caught:
        assert caught.source == "c.json"
        return
    for remark in advice.advise(published):
        assert remark.key.startswith("$.") and remark.text


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(data=strategies.binary())
def test_any_bytes_give_a_configuration_or_the_error(data):
    try:
        configuration.parse(data, "c.json")
    except errors.ConfigurationError as caught:
        assert caught.expected
