"""Tests of the decoding of documents."""

from typing import TypedDict

import hypothesis
from hypothesis import strategies as st
import pytest

from nutmegpost_core import documents
from nutmegpost_core import errors


class _Item(TypedDict):
    count: int


class _Document(TypedDict):
    items: list[_Item]


def test_value_is_decoded():
    value = documents.decode(b'{"items": [{"count": 1}]}', _Document, "test")
    assert value == {"items": [{"count": 1}]}


@pytest.mark.parametrize(
    ("data", "key"),
    [
        (b'{"items": [{"count": 1}, {"count": "x"}]}', "$.items[1].count"),
        (b'{"items": [{}]}', "$.items[0]"),
        (b"{}", "$"),
        (b"[]", "$"),
        (b"", "$"),
        (b"\xff", "$"),
        (b'{"items": [', "$"),
        (b'"\xff"', "$"),
        (b"[" * 100_000, "$"),
    ],
)
def test_mismatch_names_the_source_and_the_key(data, key):
    with pytest.raises(errors.SettingsError) as caught:
        documents.decode(data, _Document, "file.json", errors.SettingsError)
    assert caught.value.source == "file.json"
    assert caught.value.key == key
    assert caught.value.expected


@hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
@hypothesis.given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_the_typed_error(data):
    with pytest.raises(errors.DocumentError):
        documents.decode(data, _Document, "test")
