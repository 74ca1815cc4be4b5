"""Parsing of data that consists of whole chunks of an HTTP/1.1 body."""

import re

__all__ = ["split_whole_chunks"]

# Size of a chunk, without an extension. Size 0 ends the body.
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,6})\r\n")


def split_whole_chunks(data: bytes) -> list[bytes] | None:
    """Returns the content of chunks, if data consists of nothing else.

    Args:
        data: Bytes that begin at the start of a chunk.

    Returns:
        The content of each chunk, in order; None if the data ends within a
        chunk, contains the end of the body or a chunk extension, or is no
        chunk at all.
    """
    contents = []
    position = 0
    while position < len(data):
        size_line = _SIZE_LINE.match(data, position)
        if size_line is None:
            return None
        start = size_line.end()
        end = start + int(size_line[1], 16)
        position = end + 2
        if end == start or data[end:position] != b"\r\n":
            return None
        contents.append(data[start:end])
    return contents
