"""Tests of the published configuration."""

import copy
import hashlib
import json

import hypothesis
from hypothesis import strategies as st
import pytest

from nutmegpost_core import configuration
from nutmegpost_core import errors

DOCUMENT = {
    "version": 7,
    "load_bound": 1.25,
    "classes": [
        {"name": "quick", "rank": 1, "first_token_ms": 500, "worth": 5.0},
        {
            "name": "dossier",
            "rank": 2,
            "first_token_ms": 2000,
            "finish_s": 600.0,
            "within": 0.95,
            "worth": 1.0,
        },
    ],
    "accounts": [
        {
            "name": "press",
            "key_digests": [configuration.key_digest("secret")],
            "classes": ["quick"],
        }
    ],
    "models": [
        {
            "name": "panel",
            "version": "v1",
            "slots": 8,
            "rollout": {"max_unavailable": 1, "burn_limit": 2.0},
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


def _encode(document):
    return json.dumps(document).encode()


def _changed(path, value):
    document = copy.deepcopy(DOCUMENT)
    parent = document
    for step in path[:-1]:
        parent = parent[step]
    parent[path[-1]] = value
    return _encode(document)


def _paths(value, path=()):
    """Returns the paths of all values inside a document."""
    paths = [path] if path else []
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    else:
        return paths
    for key, inner in items:
        paths.extend(_paths(inner, (*path, key)))
    return paths


def test_document_is_parsed():
    data = _encode(DOCUMENT)
    published = configuration.parse(data, "test")
    assert (published.version, published.data, published.document) == (
        7,
        data,
        DOCUMENT,
    )
    assert published.digest == hashlib.sha256(data).hexdigest()


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("version",), 0),
        (("version",), 1.5),
        (("version",), 2**63),
        (("load_bound",), 0.9),
        (("load_bound",), "x"),
        (("classes",), []),
        (("classes", 0, "rank"), 4),
        (("classes", 0, "worth"), 0),
        (("classes", 0, "first_token_ms"), 0),
        (("classes", 1, "within"), 1),
        (("classes", 1, "name"), "quick"),
        (("accounts", 0, "key_digests"), []),
        (("accounts", 0, "key_digests", 0), "abc"),
        (("accounts", 0, "key_digests", 0), "0" * 64 + "\n"),
        (("accounts", 0, "classes"), ["none"]),
        (("models", 0, "slots"), 0),
        (("models", 0, "name"), "line"),
        (("models", 0, "name"), "panel\n"),
        (("models", 0, "role"), "other"),
        (("models", 0, "rollout", "max_unavailable"), 0),
        (("models", 0, "rollout", "burn_limit"), 0),
        (("services", 0, "operations"), []),
        (("services", 0, "operations", 0, "repeatable"), "no"),
    ],
)
def test_invalid_value_is_rejected(path, value):
    with pytest.raises(errors.ConfigurationError) as caught:
        configuration.parse(_changed(path, value), "test")
    assert caught.value.key.startswith("$")


def test_duplicate_operation_is_rejected():
    operation = {"name": "release", "repeatable": True}
    data = _changed(
        ("services", 0, "operations"),
        [*DOCUMENT["services"][0]["operations"], operation],
    )
    with pytest.raises(errors.ConfigurationError):
        configuration.parse(data, "test")


def test_key_of_two_accounts_is_rejected():
    account = {**DOCUMENT["accounts"][0], "name": "other"}
    data = _changed(("accounts",), [*DOCUMENT["accounts"], account])
    with pytest.raises(errors.ConfigurationError):
        configuration.parse(data, "test")


def test_oversized_document_is_rejected():
    data = _encode(DOCUMENT)
    padding = b" " * (configuration.DOCUMENT_BYTES_MAX - len(data))
    configuration.parse(data + padding, "test")
    with pytest.raises(errors.ConfigurationError):
        configuration.parse(data + padding + b" ", "test")


@hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
@hypothesis.given(
    st.sampled_from(_paths(DOCUMENT)),
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.text(max_size=8)
    | st.lists(st.integers(), max_size=2)
    | st.dictionaries(st.text(max_size=4), st.integers(), max_size=2),
)
def test_any_change_is_parsed_or_rejected_with_its_key(path, value):
    data = _changed(path, value)
    try:
        published = configuration.parse(data, "test")
    except errors.ConfigurationError as caught:
        assert caught.key.startswith("$")
    else:
        assert published.data == data


@hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
@hypothesis.given(st.binary(max_size=200))
def test_arbitrary_bytes_are_rejected(data):
    with pytest.raises(errors.ConfigurationError):
        configuration.parse(data, "test")
