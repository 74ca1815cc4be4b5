"""Text tables and the text forms of values."""

from collections.abc import Sequence

__all__ = ["cell", "duration", "short_digest", "table"]

_MINUTE_S = 60
_HOUR_S = 3600
_DAY_S = 86_400
_DIGEST_CHARS = 12


def cell(value: object) -> str:
    """Returns the text of a cell; `-` for None."""
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.2f}"
    text = str(value)
    if text.isprintable():
        return text
    # A name from the network must not move the cursor of the terminal.
    return ascii(text)[1:-1]


def table(heads: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Lays out rows in columns.

    Args:
        heads: Heads of the columns.
        rows: The rows; a column of numbers and None is set to the right.

    Returns:
        The lines, without a line end after the last.
    """
    texts = [[cell(value) for value in row] for row in rows]
    widths = [
        max(len(line[column]) for line in [list(heads), *texts])
        for column in range(len(heads))
    ]
    numeric = [
        bool(rows) and all(_is_number(row[column]) for row in rows)
        for column in range(len(heads))
    ]
    lines = [_line(heads, widths, numeric)]
    lines.extend(_line(line, widths, numeric) for line in texts)
    return "\n".join(lines)


def duration(seconds: float) -> str:
    """Returns a length of time such as `5 min`, in its largest whole unit."""
    for unit_s, unit in ((_DAY_S, "d"), (_HOUR_S, "h"), (_MINUTE_S, "min")):
        if seconds >= unit_s:
            return f"{seconds / unit_s:.3g} {unit}"
    return f"{seconds:.3g} s"


def short_digest(digest: str) -> str:
    """Returns enough of a digest to tell two apart."""
    return digest[:_DIGEST_CHARS]


def _is_number(value: object) -> bool:
    if value is None:
        return True
    return isinstance(value, int | float) and not isinstance(value, bool)


def _line(
    cells: Sequence[str], widths: Sequence[int], numeric: Sequence[bool]
) -> str:
    parts = [
        text.rjust(width) if right else text.ljust(width)
        for text, width, right in zip(cells, widths, numeric, strict=True)
    ]
    return "  ".join(parts).rstrip()
