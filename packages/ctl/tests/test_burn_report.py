import pytest

from nutmegpost_core import burn
from nutmegpost_ctl import burn_report


def _row(name="press", rate=0.0, total=100):
    return burn.BurnRow(name, 60.0, total, 90, 10, 10, 0, 0, 0, 0, 0.95, rate)


@pytest.mark.parametrize(
    ("rate", "level"),
    [(0.0, ""), (1.0, ""), (1.1, "burning"), (6.0, "burning"), (7.0, "fast")],
)
def test_the_level_follows_the_rate(rate, level):
    assert burn_report.burn_level(_row(rate=rate)) == level


def test_the_text_has_a_line_for_each_row():
    lines = burn_report.text([_row(rate=2.0), _row("tagging", total=0)])
    header, first, second = lines.splitlines()
    assert header.split()[:3] == ["class", "window", "requests"]
    assert first.split()[0] == "press" and first.endswith("2.00  burning")
    assert second.split()[-2:] == ["95%", "-"]


def test_the_page_escapes_names_and_embeds_its_picture():
    page = burn_report.page([_row("<b>", 7.0)], "a & b", b"\x89PNG")
    assert "<b>" not in page and "&lt;b&gt;" in page
    assert "a &amp; b" in page
    assert "data:image/png;base64,iVBORw==" in page
    assert 'class="fast">7.00' in page
    assert "http" not in page
