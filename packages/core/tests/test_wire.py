"""Tests of the messages between routers."""

import inspect

import cbor2
import hypothesis
from hypothesis import strategies as st
import pytest

from nutmegpost_core import errors
from nutmegpost_core import wire

_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=500
)
_messages = st.one_of([st.from_type(kind) for kind in wire._KINDS])
_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=20)
    | st.binary(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.text(max_size=5) | st.integers(), inner, max_size=3
        )
    ),
    max_leaves=12,
)


def _decode(data):
    """Returns the decoded message, or None for the typed error."""
    try:
        message = wire.decode(data)
    except errors.PeerError:
        return None
    assert type(message) in wire._KINDS
    return message


@_SETTINGS
@hypothesis.given(_messages)
def test_round_trip(message):
    decoded = wire.decode(wire.encode(message))
    assert type(decoded) is type(message)
    assert repr(decoded) == repr(message)


@_SETTINGS
@hypothesis.given(st.binary(max_size=300))
def test_any_bytes_give_a_message_or_the_typed_error(data):
    _decode(data)


@_SETTINGS
@hypothesis.given(_values)
def test_any_value_gives_a_message_or_the_typed_error(value):
    _decode(cbor2.dumps(value))


@_SETTINGS
@hypothesis.given(
    st.integers(-2, len(wire._KINDS) + 1), st.lists(_values, max_size=12)
)
def test_any_fields_give_a_message_or_the_typed_error(number, fields):
    _decode(cbor2.dumps([wire.WIRE_VERSION, number, *fields]))


@_SETTINGS
@hypothesis.given(_messages, st.data())
def test_changed_bytes_give_a_message_or_the_typed_error(message, data):
    encoded = bytearray(wire.encode(message))
    for _ in range(data.draw(st.integers(1, 4))):
        index = data.draw(st.integers(0, len(encoded) - 1))
        encoded[index] = data.draw(st.integers(0, 255))
    _decode(bytes(encoded))


@_SETTINGS
@hypothesis.given(_messages, st.data())
def test_truncated_bytes_give_the_typed_error(message, data):
    encoded = wire.encode(message)
    length = data.draw(st.integers(0, len(encoded) - 1))
    with pytest.raises(errors.PeerError):
        wire.decode(encoded[:length])


@pytest.mark.parametrize("depth", [100, 100_000])
def test_deep_nesting_gives_the_typed_error(depth):
    with pytest.raises(errors.PeerError):
        wire.decode(b"\x81" * depth + b"\x00")


@pytest.mark.parametrize("prefix", [b"\x9b", b"\x5b", b"\x7b", b"\xbb"])
def test_claimed_length_beyond_the_data_gives_the_typed_error(prefix):
    with pytest.raises(errors.PeerError):
        wire.decode(prefix + b"\x7f" + b"\xff" * 7)


@pytest.mark.parametrize("number", range(64))
def test_tagged_values_give_the_typed_error(number):
    for content in (b"x", [1, 2], "x", 1e308, {1: 2}, -(2**70)):
        data = cbor2.dumps(cbor2.CBORTag(number, content))
        assert _decode(data) is None
        _decode(b"\x83\x02\x00" + data)


def test_negative_kind_number_gives_the_typed_error():
    encoded = wire.encode(wire.Withdraw("r", "a"))
    number = wire._KINDS.index(wire.Withdraw) - len(wire._KINDS)
    values = cbor2.loads(encoded)
    values[1] = number
    with pytest.raises(errors.PeerError):
        wire.decode(cbor2.dumps(values))


def test_oversized_message_gives_the_typed_error():
    with pytest.raises(errors.PeerError):
        wire.decode(bytes(wire.MESSAGE_BYTES_MAX + 1))


def test_message_of_a_later_version_loses_only_its_new_fields():
    data = cbor2.dumps([wire.WIRE_VERSION + 1, 5, "r", "a", "new field", 7])
    assert wire.decode(data) == wire.Withdraw("r", "a")


def test_message_of_an_earlier_version_gets_the_defaults():
    data = cbor2.dumps([wire.WIRE_VERSION - 1, 7, "p", "a", "s", "o", b""])
    assert wire.decode(data) == wire.Call("p", "a", "s", "o", b"", 0.0, 0)


def test_every_message_has_one_kind_number():
    kinds = {
        kind
        for _, kind in inspect.getmembers(wire, inspect.isclass)
        if kind.__module__ == wire.__name__
    }
    assert kinds == set(wire._KINDS)
    assert len(kinds) == len(wire._KINDS)
