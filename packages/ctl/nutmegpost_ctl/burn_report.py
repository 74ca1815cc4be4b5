"""The burn report as text and as a page."""

import base64
from collections.abc import Sequence
import html

from nutmegpost_core import burn
from nutmegpost_ctl import tables

__all__ = ["HEADS", "cells", "page", "text", "verdict"]

HEADS = (
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

_BURNING = 1.0
_BURNING_FAST = 6.0

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


def verdict(row: burn.BurnRow) -> str:
    """Returns a word on the burn rate of a row; empty when all is well."""
    if row.rate > _BURNING_FAST:
        return "fast"
    return "burning" if row.rate > _BURNING else ""


def cells(row: burn.BurnRow) -> list[object]:
    """Returns the cells of a row under `HEADS`."""
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
        verdict(row),
    ]


def text(rows: Sequence[burn.BurnRow]) -> str:
    """Returns the report as a text table."""
    return tables.table(HEADS, [cells(row) for row in rows])


def page(rows: Sequence[burn.BurnRow], title: str, picture: bytes) -> str:
    """Returns the report as one HTML page that needs no other file.

    Args:
        rows: The rows.
        title: Title of the page.
        picture: The picture of the report, PNG.
    """
    heads = "".join(f"<th>{html.escape(head)}</th>" for head in HEADS)
    lines = []
    previous = ""
    for row in rows:
        lines.append(_page_row(row, row.work_class != previous))
        previous = row.work_class
    data = base64.b64encode(picture).decode("ascii")
    return (
        "<!doctype html>\n"
        '<html lang="en"><head><meta charset="utf-8">'
        f"<title>{html.escape(title)}</title><style>{_STYLE}</style></head>\n"
        f"<body><h1>{html.escape(title)}</h1>\n"
        f'<img alt="Burn rate by class and window" '
        f'src="data:image/png;base64,{data}">\n'
        f"<table><tr>{heads}</tr>\n{''.join(lines)}</table>\n"
        "<p>Burn rate: the share of requests that missed their target, "
        "divided by the share that may miss it. Above 1 the class misses its "
        "target.</p></body></html>\n"
    )


def _page_row(row: burn.BurnRow, is_first: bool) -> str:
    mark = verdict(row)
    parts = [
        f'<td class="{mark}">{html.escape(tables.cell(value))}</td>'
        if mark and HEADS[position] in ("burn", "")
        else f"<td>{html.escape(tables.cell(value))}</td>"
        for position, value in enumerate(cells(row))
    ]
    kind = ' class="next"' if is_first else ""
    return f"<tr{kind}>{''.join(parts)}</tr>\n"
