"""Tests of the catalogue of log events."""

import string

from nutmegpost_core import events

_LEVELS = {"DEBUG", "INFO", "WARNING", "ERROR"}


def test_numbers_are_unique_have_three_digits_and_are_sorted():
    numbers = [event.number for event in events.catalogue()]
    assert len(numbers) == len(set(numbers))
    assert all(100 < number < 1000 for number in numbers)
    assert numbers == sorted(numbers)


def test_levels_are_log_levels():
    assert {event.level for event in events.catalogue()} <= _LEVELS


def test_invariants_are_errors():
    for event in events.catalogue():
        assert event.number < 900 or event.level == "ERROR"


def test_placeholders_of_templates_are_identifiers():
    for event in events.catalogue():
        for _, field, _, _ in string.Formatter().parse(event.template):
            assert field is None or field.isidentifier(), event


def test_no_template_shows_a_secret():
    for event in events.catalogue():
        for _, field, _, _ in string.Formatter().parse(event.template):
            assert field not in ("key", "secret", "permit", "body"), event
