"""Exit codes of the command, and the errors that lead to them."""

import enum

from nutmegpost_core import errors

__all__ = [
    "CommandError",
    "Exit",
    "KeyFileError",
    "RefusedError",
    "RouterError",
    "UsageError",
]


class Exit(enum.IntEnum):
    """Exit codes of `nutmegpostctl`.

    Attributes:
        OK: The command succeeded.
        REFUSED: A checked file is invalid, or a router refused the request.
        USAGE: The command line is wrong, or a file cannot be read or written.
        PARTIAL: Some routers did not answer; the output omits them.
        UNREACHABLE: No router answered.
    """

    OK = 0
    REFUSED = 1
    USAGE = 2
    PARTIAL = 3
    UNREACHABLE = 4


class CommandError(errors.NutmegpostError):
    """The command failed.

    Attributes:
        code: Exit code.
    """

    code = Exit.USAGE


class UsageError(CommandError):
    """The command line is wrong."""


class KeyFileError(CommandError):
    """The administration key is missing or cannot be read."""


class RouterError(CommandError):
    """A router did not answer, or its answer violates the protocol.

    Attributes:
        address: Administration address of the router.
    """

    code = Exit.UNREACHABLE

    def __init__(self, address: str, reason: str):
        super().__init__(f"{address}: {reason}")
        self.address = address


class RefusedError(RouterError):
    """A router refused the request."""

    code = Exit.REFUSED
