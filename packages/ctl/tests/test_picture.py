import pytest

from nutmegpost_core import burn
from nutmegpost_ctl import picture


def _rows(names, bad):
    return [
        burn.BurnRow(
            name, window_s, 10, 10 - bad, bad, bad, 0, 0, 0, 0, 0.95, bad * 2.0
        )
        for name in names
        for window_s in burn.WINDOWS_S
    ]


@pytest.mark.parametrize(
    "rows", [[], _rows(["press"], 0), _rows(["press", "tagging"], 3)]
)
def test_a_report_of_any_size_is_a_png(rows):
    assert picture.draw(rows, "burn").startswith(b"\x89PNG\r\n")


def test_the_height_grows_with_the_classes():
    def height(names):
        data = picture.draw(_rows(names, 1), "burn")
        return int.from_bytes(data[20:24], "big")

    assert height(["a", "b", "c"]) > height(["a"])
