"""The exception hierarchy, with the HTTP status and code of each error.

Every error that can reach a caller carries the HTTP status, a stable error
code, and the outcome, which says whether the request ran.
"""

import enum

__all__ = [
    "AccountError",
    "AttemptLostError",
    "ConfigurationError",
    "DocumentError",
    "IdempotencyError",
    "InvalidRequestError",
    "NutmegpostError",
    "Outcome",
    "OverloadError",
    "PeerError",
    "PermitError",
    "PlatformError",
    "QuarantineError",
    "RequestError",
    "SettingsError",
    "StoppingError",
    "UnavailableError",
    "UnknownNameError",
]


class Outcome(enum.StrEnum):
    """Whether a request ran.

    Attributes:
        ANSWERED: The request ran and was answered.
        NOT_RUN: The request did not run, so that a retry is safe.
        UNKNOWN: The request may have run.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class NutmegpostError(Exception):
    """Base of all errors of the project."""


class DocumentError(NutmegpostError):
    """A document does not match its schema.

    Attributes:
        source: File or service that the document came from.
        key: Path of the offending value, such as `$.classes[2].rank`.
        expected: Description of a valid value.
    """

    def __init__(self, source: str, key: str, expected: str):
        super().__init__(f"{source}: {key}: {expected}")
        self.source = source
        self.key = key
        self.expected = expected


class SettingsError(DocumentError):
    """The settings file of a process is invalid."""


class ConfigurationError(DocumentError):
    """A published configuration is invalid."""


class PlatformError(NutmegpostError):
    """The platform did not answer, or violated the protocol."""


class PeerError(NutmegpostError):
    """A peer could not be reached, or violated the protocol."""


class RequestError(NutmegpostError):
    """A request ended without an answer.

    Attributes:
        outcome: Whether the request ran.
        retry_after: Seconds after which a retry may succeed, or None.
    """

    status = 500
    code = "internal"

    def __init__(
        self,
        message: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after: float | None = None,
    ):
        super().__init__(message)
        self.outcome = outcome
        self.retry_after = retry_after


class InvalidRequestError(RequestError):
    """The request is malformed or over a size limit."""

    status = 400
    code = "invalid-request"

    def __init__(self, message: str, status: int = 400):
        super().__init__(message)
        self.status = status


class AccountError(RequestError):
    """The key is missing or unknown, or the account lacks the permission."""

    status = 401
    code = "unknown-account"


class UnknownNameError(RequestError):
    """The model, service, class or operation does not exist."""

    status = 404
    code = "unknown-name"


class PermitError(RequestError):
    """A call that must not be repeated has no valid permit.

    Attributes:
        permit: A fresh permit for the next attempt, or None.
    """

    status = 428
    code = "permit-required"

    def __init__(self, message: str, permit: str | None = None):
        super().__init__(message)
        self.permit = permit


class IdempotencyError(RequestError):
    """An idempotency key was reused with a different request."""

    status = 422
    code = "idempotency-mismatch"


class OverloadError(RequestError):
    """The request was shed: it cannot meet its target, or too many are open."""

    status = 429
    code = "overloaded"


class QuarantineError(RequestError):
    """The request is quarantined because it crashed engines."""

    status = 422
    code = "quarantined"


class UnavailableError(RequestError):
    """No endpoint can take the request now."""

    status = 503
    code = "unavailable"


class StoppingError(RequestError):
    """The router is stopping and takes no new request."""

    status = 503
    code = "stopping"


class AttemptLostError(RequestError):
    """The request may have run, but its answer is lost."""

    status = 504
    code = "answer-lost"

    def __init__(
        self,
        message: str,
        outcome: Outcome = Outcome.UNKNOWN,
        retry_after: float | None = None,
        status: int = 504,
    ):
        super().__init__(message, outcome, retry_after)
        self.status = status
