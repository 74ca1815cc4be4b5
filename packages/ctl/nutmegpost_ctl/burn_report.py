"""The burn report as text and as a page."""

import base64
from collections.abc import Sequence
import html

from nutmegpost_core import burn
from nutmegpost_ctl import tables

__all__ = ["COLUMN_HEADERS", "burn_level", "cells", "page", "text"]

COLUMN_HEADERS = (
    "class",
    "window",
    "requests",
    "good",
    "late first",
    "slow tokens",
    "late end",
    "refused",
    "lost",
    "target",
    "burn",
    "",
)

_BURNING_RATE = 1.0
_FAST_BURN_RATE = 6.0

_STYLE = """
body { font: 15px/1.4 sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; margin-top: 1.5em; }
th, td { padding: .25em .8em; text-align: right; }
th { border-bottom: 2px solid #888; }
td:first-child, th:first-child { text-align: left; }
tr.next td { border-top: 1px solid #ccc; }
td.fast { color: #b00020; font-weight: bold; }
td.burning { color: #a35200; font-weight: bold; }
img { max-width: 100%; }
"""


def burn_level(row: burn.BurnRow) -> str:
    """Returns the level of a burn rate; empty when the target is met."""
    if row.rate > _FAST_BURN_RATE:
        return "fast"
    return "burning" if row.rate > _BURNING_RATE else ""


def cells(row: burn.BurnRow) -> list[object]:
    """Returns the cells of a row under `COLUMN_HEADERS`."""
    return [
        row.work_class,
        tables.duration(row.window_s),
        row.total,
        row.good,
        row.late_first,
        row.slow_tokens,
        row.late_finish,
        row.refused,
        row.lost,
        f"{row.within * 100:.4g}%",
        row.rate if row.total else None,
        burn_level(row),
    ]


def text(rows: Sequence[burn.BurnRow]) -> str:
    """Returns the report as a text table."""
    return tables.table(COLUMN_HEADERS, [cells(row) for row in rows])


def page(rows: Sequence[burn.BurnRow], title: str, picture: bytes) -> str:
    """Returns the report as one HTML page that needs no other file.

    Args:
        rows: The rows.
        title: Title of the page.
        picture: The picture of the report, PNG.

    Returns:
        The text of the page.
    """
    header_cells = "".join(
        f"<th>{html.escape(header)}</th>" for header in COLUMN_HEADERS
    )
    table_rows = []
    previous = ""
    for row in rows:
        table_rows.append(_page_row(row, row.work_class != previous))
        previous = row.work_class
    data = base64.b64encode(picture).decode("ascii")
    return (
        "<!doctype html>\n"
        '<html lang="en"><head><meta charset="utf-8">'
        f"<title>{html.escape(title)}</title><style>{_STYLE}</style></head>\n"
        f"<body><h1>{html.escape(title)}</h1>\n"
        f'<img alt="Burn rate by class and window" '
        f'src="data:image/png;base64,{data}">\n'
        f"<table><tr>{header_cells}</tr>\n{''.join(table_rows)}</table>\n"
        "<p>Burn rate: the share of requests that missed their target, "
        "divided by the share that may miss it. Above 1 the class misses its "
        "target.</p></body></html>\n"
    )


def _page_row(row: burn.BurnRow, is_first: bool) -> str:
    level = burn_level(row)
    parts = [
        f'<td class="{level}">{html.escape(tables.cell(value))}</td>'
        if level and COLUMN_HEADERS[position] in ("burn", "")
        else f"<td>{html.escape(tables.cell(value))}</td>"
        for position, value in enumerate(cells(row))
    ]
    row_class = ' class="next"' if is_first else ""
    return f"<tr{row_class}>{''.join(parts)}</tr>\n"
