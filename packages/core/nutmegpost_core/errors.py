"""The exception tree, and what each error tells a caller.

Every error that can reach a caller carries three facts: the HTTP status, a
stable code, and the outcome of the request. The outcome says whether the
request ran.
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
    """What became of a request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class NutmegpostError(Exception):
    """Base of all errors of the project."""


class DocumentError(NutmegpostError):
    """A document does not have the form it must have.

    Attributes:
        source: File or service the document came from.
        key: Path of the offending value, such as `$.classes[2].rank`.
        expected: What the value had to be.
    """

    def __init__(self, source: str, key: str, expected: str):
        super().__init__(f"{source}: {key}: {expected}")
        self.source = source
        self.key = key
        self.expected = expected


class SettingsError(DocumentError):
    """The settings file of a process is broken."""


class ConfigurationError(DocumentError):
    """A published configuration is broken."""


class PlatformError(NutmegpostError):
    """The platform did not answer, or answered out of protocol."""


class PeerError(NutmegpostError):
    """A peer could not be reached, or sent a message out of protocol."""


class RequestError(NutmegpostError):
    """A request ends without its answer.

    Attributes:
        outcome: Whether the request ran.
        retry_after: Seconds after which a repeat may succeed, or None.
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
    """The key is missing or unknown, or the account may not do this."""

    status = 401
    code = "unknown-account"


class UnknownNameError(RequestError):
    """The model, service, class or operation does not exist."""

    status = 404
    code = "unknown-name"


class PermitError(RequestError):
    """A call that may not be repeated came without a valid permit.

    Attributes:
        permit: A fresh permit for the next try, or None.
    """

    status = 428
    code = "permit-required"

    def __init__(self, message: str, permit: str | None = None):
        super().__init__(message)
        self.permit = permit


class IdempotencyError(RequestError):
    """An idempotency key was repeated with another request."""

    status = 422
    code = "idempotency-mismatch"


class OverloadError(RequestError):
    """The request cannot meet its target and is refused early."""

    status = 429
    code = "overloaded"


class QuarantineError(RequestError):
    """The request is known to crash engines."""

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
