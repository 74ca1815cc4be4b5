"""Decoding of JSON documents into validated types.

The type is the schema of a document. A mismatch raises an error with the
source, the key and what was expected.
"""

import re
from typing import Any, TypeVar

import msgspec

from nutmegpost_core import errors

__all__ = ["decode"]

T = TypeVar("T")

_VALIDATION_MESSAGE = re.compile(
    r"^(?P<expected>.*?)(?: - at `(?P<path>[^`]*)`)?$", re.S
)


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
        source: Origin of the text, for error messages.
        error: The class of error to raise.

    Returns:
        The decoded value.

    Raises:
        errors.DocumentError: The text is not JSON or does not match the type;
            an instance of `error`.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError as caught:
        match: Any = _VALIDATION_MESSAGE.match(str(caught))
        raise error(source, match["path"] or "$", match["expected"]) from caught
    except (msgspec.DecodeError, UnicodeDecodeError) as caught:
        raise error(source, "$", f"not JSON: {caught}") from caught
    except RecursionError as caught:
        raise error(source, "$", "less deep nesting") from caught
