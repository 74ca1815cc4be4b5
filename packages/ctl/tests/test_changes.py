import copy

import hypothesis
from hypothesis import strategies
import pytest

from nutmegpost_ctl import changes

_DOCUMENT = {
    "version": 1,
    "load_bound": 1.5,
    "classes": [
        {"name": "press", "rank": 1, "first_token_ms": 490, "worth": 100.0}
    ],
    "accounts": [
        {
            "name": "desk",
            "key_digests": ["a" * 64, "b" * 64],
            "classes": ["press"],
        }
    ],
    "models": [
        {
            "name": "panel",
            "version": "v1",
            "slots": 8,
            "rollout": {"max_unavailable": 2},
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
_LIST_KEYS = ["classes", "accounts", "models", "services"]


def _changed(path, value):
    document = copy.deepcopy(_DOCUMENT)
    parent = document
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    return document


def test_the_same_content_changes_nothing_whatever_its_version():
    assert changes.compare(_DOCUMENT, {**_DOCUMENT, "version": 9}) == []


@pytest.mark.parametrize(
    ("path", "value", "key", "text", "effect"),
    [
        (["load_bound"], 2.0, "load_bound", "1.5 -> 2.0", ""),
        (["classes", 0, "rank"], 2, "classes.press.rank", "1 -> 2", ""),
        (
            ["classes", 0, "finish_s"],
            9.0,
            "classes.press.finish_s",
            "none -> 9.0",
            "",
        ),
        (
            ["models", 0, "version"],
            "v2",
            "models.panel.version",
            "v1 -> v2",
            "rollout, at most 2 engines out of service at once",
        ),
        (
            ["models", 0, "adapter"],
            "x",
            "models.panel.adapter",
            "none -> x",
            "rollout, at most 2 engines out of service at once",
        ),
        (
            ["accounts", 0, "key_digests"],
            ["b" * 64],
            "accounts.desk.key_digests",
            "[aaaaaaaa..., bbbbbbbb...] -> [bbbbbbbb...]",
            "keys refused from now on: 1",
        ),
        (
            ["accounts", 0, "classes"],
            ["other"],
            "accounts.desk.classes",
            "[press] -> [other]",
            "refused: press",
        ),
        (
            ["services", 0, "operations", 0, "repeatable"],
            True,
            "services.line.operations",
            "[name release, repeatable False] -> "
            "[name release, repeatable True]",
            "",
        ),
    ],
)
def test_a_change_is_reported_with_its_effect(path, value, key, text, effect):
    (change,) = changes.compare(_DOCUMENT, _changed(path, value))
    assert change == (key, text, effect)


@pytest.mark.parametrize("list_key", _LIST_KEYS)
def test_a_removal_has_an_effect_and_an_addition_has_none(list_key):
    (item,) = _DOCUMENT[list_key]
    without = _changed([list_key], [])
    (change,) = changes.compare(_DOCUMENT, without)
    assert (change.key, change.text) == (
        f"{list_key}.{item['name']}",
        "removed",
    )
    assert "are refused" in change.effect
    (change,) = changes.compare(without, _DOCUMENT)
    assert (change.text, change.effect) == ("added", "")


@pytest.mark.parametrize(
    ("version", "digest", "reason"),
    [
        (4, "x", ""),
        (3, "d", ""),
        (3, "x", "version 3 is in force with another content"),
        (2, "x", "version 2 is below 3, which is in force"),
        (2, "d", ""),
    ],
)
def test_a_version_must_increase(version, digest, reason):
    assert changes.refusal_reason(version, digest, 3, "d") == reason


@hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
@hypothesis.given(
    names=strategies.lists(
        strategies.sampled_from("abcd"), unique=True, max_size=4
    ),
    others=strategies.lists(
        strategies.sampled_from("abcd"), unique=True, max_size=4
    ),
    list_key=strategies.sampled_from(_LIST_KEYS),
)
def test_order_makes_no_change(names, others, list_key):
    (item,) = _DOCUMENT[list_key]

    def document(item_names):
        return {
            **_DOCUMENT,
            list_key: [{**item, "name": name} for name in item_names],
        }

    differences = changes.compare(document(names), document(others))
    assert {change.key for change in differences} == {
        f"{list_key}.{name}" for name in set(names) ^ set(others)
    }
