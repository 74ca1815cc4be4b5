"""Tests of the exception hierarchy."""

import inspect

import pytest

from nutmegpost_core import errors


def _request_errors():
    return [
        kind
        for _, kind in inspect.getmembers(errors, inspect.isclass)
        if issubclass(kind, errors.RequestError)
    ]


def test_all_errors_share_one_base():
    for name in errors.__all__:
        kind = getattr(errors, name)
        if issubclass(kind, Exception):
            assert issubclass(kind, errors.NutmegpostError)


@pytest.mark.parametrize("kind", _request_errors())
def test_a_request_error_has_a_status_a_code_and_an_outcome(kind):
    error = kind("reason")
    assert 400 <= error.status < 600
    assert error.code
    assert error.outcome in (errors.Outcome.NOT_RUN, errors.Outcome.UNKNOWN)
    assert error.retry_after is None
    assert str(error) == "reason"


def test_codes_are_unique():
    codes = [kind.code for kind in _request_errors()]
    assert len(codes) == len(set(codes))


def test_only_a_lost_answer_leaves_the_outcome_unknown():
    unknown = [
        kind
        for kind in _request_errors()
        if kind("reason").outcome == errors.Outcome.UNKNOWN
    ]
    assert unknown == [errors.AttemptLostError]


def test_a_document_error_names_source_key_and_expectation():
    error = errors.SettingsError("r.json", "$.zone", "a name")
    assert isinstance(error, errors.DocumentError)
    assert str(error) == "r.json: $.zone: a name"
    assert (error.source, error.key, error.expected) == (
        "r.json",
        "$.zone",
        "a name",
    )


def test_outcomes_have_their_values_on_the_wire():
    assert [str(outcome) for outcome in errors.Outcome] == [
        "answered",
        "not-run",
        "unknown",
    ]
