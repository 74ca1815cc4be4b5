"""The picture of the burn report.

One panel for each class, one bar for each window. The parts of a bar are the
causes of the misses; its length is the burn rate.
"""

from collections.abc import Sequence
import io

import matplotlib
from matplotlib import axes
from matplotlib import figure

from nutmegpost_core import burn
from nutmegpost_ctl import tables

__all__ = ["draw"]

_WIDTH_IN = 9.0
_PANEL_HEIGHT_IN = 1.9
_MARGIN_IN = 1.3
_DPI = 130
_SCALE_MIN = 2.0
_LABEL_SPACE_FACTOR = 1.28

_CAUSES = (
    ("late_first", "first token late", "#4477aa"),
    ("slow_tokens", "tokens too far apart", "#66ccee"),
    ("late_finish", "end late", "#228833"),
    ("refused", "refused, not run", "#ccbb44"),
    ("lost", "answer lost", "#ee6677"),
)


def draw(rows: Sequence[burn.BurnRow], title: str) -> bytes:
    """Draws the report.

    Args:
        rows: The rows of all classes.
        title: Title of the picture.

    Returns:
        The picture, PNG.
    """
    by_class: dict[str, list[burn.BurnRow]] = {}
    for row in rows:
        by_class.setdefault(row.work_class, []).append(row)
    count = max(len(by_class), 1)
    with matplotlib.rc_context({"font.size": 9, "axes.titlesize": 10}):
        sheet = figure.Figure(
            figsize=(_WIDTH_IN, _PANEL_HEIGHT_IN * count + _MARGIN_IN),
            layout="constrained",
        )
        panels = sheet.subplots(count, 1, squeeze=False)[:, 0]
        for panel, (name, class_rows) in zip(
            panels, by_class.items(), strict=False
        ):
            _draw_class(panel, name, class_rows)
            panel.set_xlim(0, _scale_end(rows))
        _add_title_and_legend(sheet, panels[0], panels[-1], title)
        output = io.BytesIO()
        sheet.savefig(output, format="png", dpi=_DPI)
    return output.getvalue()


def _draw_class(
    panel: axes.Axes, name: str, rows: Sequence[burn.BurnRow]
) -> None:
    positions = range(len(rows))
    offsets = [0.0] * len(rows)
    for field, label, color in _CAUSES:
        lengths = [_segment_length(row, getattr(row, field)) for row in rows]
        panel.barh(
            positions,
            lengths,
            left=offsets,
            color=color,
            label=label,
            height=0.7,
        )
        offsets = [
            start + length
            for start, length in zip(offsets, lengths, strict=True)
        ]
    for position, row in zip(positions, rows, strict=True):
        annotation = f"{row.rate:.2f}  ({row.bad} of {row.total})"
        panel.text(
            max(row.rate, 1.0),
            position,
            f"  {annotation if row.total else 'no requests'}",
            va="center",
            fontsize=8,
            color="#444444",
        )
    panel.axvline(1.0, color="#222222", linewidth=1, linestyle="--")
    panel.set_yticks(positions, [tables.duration(row.window_s) for row in rows])
    panel.invert_yaxis()
    share = f"{rows[0].within * 100:.4g}%"
    panel.set_title(f"{name}: {share} must meet the target", loc="left")
    panel.spines[["top", "right"]].set_visible(False)


def _scale_end(rows: Sequence[burn.BurnRow]) -> float:
    """Returns the end of the scale, common to all panels for comparison."""
    longest = max(row.rate for row in rows)
    return max(longest, _SCALE_MIN) * _LABEL_SPACE_FACTOR


def _segment_length(row: burn.BurnRow, count: int) -> float:
    return row.rate * count / row.bad if row.bad else 0.0


def _add_title_and_legend(
    sheet: figure.Figure, first: axes.Axes, last: axes.Axes, title: str
) -> None:
    sheet.suptitle(title, x=0.01, ha="left", fontsize=12, fontweight="bold")
    last.set_xlabel("burn rate (dashed: the target is just kept)")
    handles, labels = first.get_legend_handles_labels()
    if handles:
        sheet.legend(
            handles,
            labels,
            loc="outside lower center",
            ncols=len(labels),
            frameon=False,
            fontsize=8,
        )
