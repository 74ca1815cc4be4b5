"""Decoding of JSON documents into checked types.

The type says what a document must look like; this module turns a mismatch
into an error that names the source, the key and what was expected.
"""

import re
from typing import Any, TypeVar

import msgspec

from nutmegpost_core import errors

__all__ = ["decode"]

T = TypeVar("T")

_PATH = re.compile(r"^(?P<expected>.*?)(?: - at `(?P<path>[^`]*)`)?$", re.S)


def decode(
    data: bytes,
    kind: type[T],
    source: str,
    error: type[errors.DocumentError] = errors.DocumentError,
) -> T:
    """Decodes JSON into a type.

    Args:
        data: The JSON text in UTF-8.
        kind: The type to decode into, usually a TypedDict.
        source: Where the text came from, for the error.
        error: The class of error to raise.

    Returns:
        The decoded value.

    Raises:
        errors.DocumentError: The text is not JSON or not of that type; of
            the class given by `error`.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError as caught:
        found: Any = _PATH.match(str(caught))
        raise error(source, found["path"] or "$", found["expected"]) from caught
    except (msgspec.DecodeError, UnicodeDecodeError) as caught:
        raise error(source, "$", f"not JSON: {caught}") from caught
    except RecursionError as caught:
        raise error(source, "$", "not nested so deeply") from caught
