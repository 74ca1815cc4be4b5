import pytest

from nutmegpost_ctl import tables


def test_numbers_are_right_aligned_and_text_left_aligned():
    text = tables.table(
        ["name", "n", "rate"], [["a", 5, 0.5], ["longer", 12345, None]]
    )
    assert text.splitlines() == [
        "name        n  rate",
        "a           5  0.50",
        "longer  12345     -",
    ]


def test_a_table_without_rows_has_its_headers():
    assert tables.table(["name", "n"], []) == "name  n"


@pytest.mark.parametrize(
    ("seconds", "text"),
    [
        (0.25, "0.25 s"),
        (59, "59 s"),
        (60, "1 min"),
        (1800, "30 min"),
        (3600, "1 h"),
        (21600, "6 h"),
        (100_000, "1.16 d"),
    ],
)
def test_durations(seconds, text):
    assert tables.duration(seconds) == text


def test_control_characters_from_a_router_are_escaped():
    assert tables.cell("a\x1b[2J\n") == r"a\x1b[2J\n"
    assert tables.cell("café") == "café"


def test_digests_are_truncated():
    assert tables.short_digest("0123456789abcdef") == "0123456789ab"
