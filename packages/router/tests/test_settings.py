import json

import hypothesis
from hypothesis import strategies
import pytest

from nutmegpost_core import errors
from nutmegpost_router import settings

_VALID = {
    "name": "router-1",
    "zone": "a",
    "public_address": "127.0.1.1:8080",
    "peer_address": "127.0.1.1:8081",
    "admin_address": "127.0.1.1:8082",
    "platform_address": "127.0.0.2:8000",
    "peer_key": "peer-key-0123456789",
    "admin_key": "admin-key-0123456789",
}


def _parse(**changes):
    values = {**_VALID, **changes}
    document = {
        key: value for key, value in values.items() if value is not None
    }
    return settings.parse(json.dumps(document).encode(), "r.json")


def test_valid_settings_pass_without_added_defaults():
    config = _parse()
    assert config == _VALID
    assert _parse(log_level="DEBUG", stop_grace_s=5) == {
        **_VALID,
        "log_level": "DEBUG",
        "stop_grace_s": 5.0,
    }


@pytest.mark.parametrize("key", sorted(_VALID))
def test_error_names_the_missing_key(key):
    with pytest.raises(errors.SettingsError, match=key) as caught:
        _parse(**{key: None})
    assert caught.value.source == "r.json"


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("name", ""),
        ("name", "Router 1"),
        ("name", "r" * 65),
        ("name", "router-1\n"),
        ("zone", "a\n"),
        ("public_address", "127.0.1.1:80\n"),
        ("peer_key", "peer-key-0123456789\n"),
        ("log_level", "INFO\n"),
        ("zone", 3),
        ("public_address", "localhost:8080"),
        ("public_address", "127.0.1.1:0"),
        ("public_address", "127.0.1.1:65536"),
        ("public_address", "999.0.1.1:80"),
        ("peer_address", "127.0.1.1"),
        ("admin_address", "....... :80"),
        ("admin_address", "127.0.1.1:8080"),
        ("platform_address", "127.0.1:8000"),
        ("peer_key", "short"),
        ("peer_key", "k" * 257),
        ("admin_key", "peer-key-0123456789"),
        ("admin_key", "with a line\nend 0123456789"),
        ("admin_key", "clé-d-administration"),
        ("log_level", "TRACE"),
        ("stop_grace_s", -1),
        ("stop_grace_s", "5"),
        ("stop_grace_s", 1e9),
    ],
)
def test_error_names_the_invalid_key_but_no_secret(key, value):
    with pytest.raises(errors.SettingsError) as caught:
        _parse(**{key: value})
    assert caught.value.key.startswith("$.")
    assert caught.value.expected
    assert "0123456789" not in str(caught.value)


def test_oversized_settings_are_refused():
    data = json.dumps(_VALID).encode() + b" " * settings.SETTINGS_BYTES_MAX
    with pytest.raises(errors.SettingsError, match="at most"):
        settings.parse(data, "r.json")


@pytest.mark.parametrize("name", ["none.json", ".", "nul\0.json"])
def test_unreadable_file_raises_settings_error(tmp_path, name):
    with pytest.raises(errors.SettingsError):
        settings.load(str(tmp_path / name))


def test_load_reads_a_file(tmp_path):
    path = tmp_path / "r.json"
    path.write_text(json.dumps(_VALID))
    assert settings.load(str(path)) == _VALID


_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(), inner, max_size=3)
    ),
    max_leaves=5,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(data=strategies.binary())
def test_arbitrary_bytes_parse_or_raise_settings_error(data):
    _parse_or_expect_error(data)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(key=strategies.sampled_from(sorted(_VALID)), value=_VALUES)
def test_arbitrary_value_parses_or_raises_settings_error(key, value):
    _parse_or_expect_error(json.dumps({**_VALID, key: value}).encode())


def _parse_or_expect_error(data):
    try:
        config = settings.parse(data, "r.json")
    except errors.SettingsError as caught:
        assert caught.source == "r.json"
    else:
        assert set(_VALID) <= set(config)
