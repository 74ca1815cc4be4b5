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
    # Text from the network must not send control sequences to the terminal.
    return ascii(text)[1:-1]


def table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Lays out rows in columns.

    Args:
        headers: Headers of the columns.
        rows: The rows; a column of numbers and None is right-aligned.

    Returns:
        The lines, without a trailing newline.
    """
    text_rows = [[cell(value) for value in row] for row in rows]
    widths = [
        max(len(line[column]) for line in [list(headers), *text_rows])
        for column in range(len(headers))
    ]
    numeric = [
        bool(rows) and all(_is_number(row[column]) for row in rows)
        for column in range(len(headers))
    ]
    lines = [_line(headers, widths, numeric)]
    lines.extend(_line(line, widths, numeric) for line in text_rows)
    return "\n".join(lines)


def duration(seconds: float) -> str:
    """Returns a duration such as `5 min`, in the largest unit that fits."""
    for unit_s, unit in ((_DAY_S, "d"), (_HOUR_S, "h"), (_MINUTE_S, "min")):
        if seconds >= unit_s:
            return f"{seconds / unit_s:.3g} {unit}"
    return f"{seconds:.3g} s"


def short_digest(digest: str) -> str:
    """Returns a prefix of a digest, long enough to distinguish two."""
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
