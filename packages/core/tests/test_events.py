import string

from nutmegpost_core import events

_LEVELS = {"DEBUG", "INFO", "WARNING", "ERROR"}


def test_numbers_are_unique_and_in_their_hundreds():
    numbers = [event.number for event in events.catalogue()]
    assert len(numbers) == len(set(numbers))
    assert all(100 < number < 1000 for number in numbers)
    assert numbers == sorted(numbers)


def test_levels_are_levels_of_the_log():
    assert {event.level for event in events.catalogue()} <= _LEVELS


def test_invariants_are_errors():
    for event in events.catalogue():
        assert event.number < 900 or event.level == "ERROR"


def test_templates_name_all_their_fields():
    for event in events.catalogue():
        for _, field, _, _ in string.Formatter().parse(event.template):
            assert field is None or field.isidentifier(), event


def test_no_template_shows_a_secret():
    for event in events.catalogue():
        for _, field, _, _ in string.Formatter().parse(event.template):
            assert field not in ("key", "secret", "permit", "body"), event
