"""Encoding of header fields; their values may hold bytes outside ASCII.

Received values are decoded as Latin-1, so that each byte is passed on as it
came; see RFC 9110, section 5.5, on obs-text.
"""

from collections.abc import Iterable

__all__ = ["encode"]


def encode(fields: Iterable[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    """Returns header fields as bytes.

    Args:
        fields: Names and values. Values that were not received, such as names
            in a configuration, are encoded as UTF-8 if Latin-1 lacks a
            character.
    """
    return [
        (name.encode("ascii"), _encode_value(value)) for name, value in fields
    ]


def _encode_value(value: str) -> bytes:
    try:
        return value.encode("latin-1")
    except UnicodeEncodeError:
        return value.encode("utf-8")
