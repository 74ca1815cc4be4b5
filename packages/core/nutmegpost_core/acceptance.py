"""Acceptance of configuration versions in one process.

A process accepts a document only when its version is higher than the one in
force and the document is valid. It never reverts to a lower version, and never
accepts different content for the version in force. A new process is not ready
before it has the highest version that it has observed in the fleet.
docs/design/configuration.md derives the guarantees and their limits.
"""

from typing import NamedTuple

from nutmegpost_core import configuration
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import invariants

__all__ = [
    "Acceptance",
    "Accepted",
    "Conflict",
    "Outdated",
    "Refused",
    "Unchanged",
    "Verdict",
]


class Accepted(NamedTuple):
    """The document is now in force.

    Attributes:
        published: The document.
    """

    published: configuration.Published


class Outdated(NamedTuple):
    """The document's version is lower than the lowest acceptable one.

    Attributes:
        version: Version of the document.
    """

    version: int


class Unchanged(NamedTuple):
    """The document is already in force."""


class Conflict(NamedTuple):
    """The document has the version in force but different content.

    Attributes:
        version: The version.
        digest: Digest of the content that is not in force here.
    """

    version: int
    digest: str


class Refused(NamedTuple):
    """The document is not valid.

    Attributes:
        error: Why it is not valid.
    """

    error: errors.ConfigurationError


Verdict = Accepted | Outdated | Unchanged | Conflict | Refused


class Acceptance:
    """State of the configuration in force in one process."""

    def __init__(self) -> None:
        self._in_force: configuration.Published | None = None
        self._observed_version = 0
        self._has_conflict = False

    @property
    def in_force(self) -> configuration.Published | None:
        """The configuration in force, or None."""
        return self._in_force

    @property
    def version(self) -> int:
        """Version in force; 0 for none."""
        return self._in_force.version if self._in_force else 0

    @property
    def highest_known_version(self) -> int:
        """Highest version known to be in force in any process."""
        return max(self._observed_version, self.version)

    @property
    def ready(self) -> bool:
        """Whether a new process may begin to serve.

        A process that already serves keeps its configuration while it fetches
        a higher version.
        """
        return self._in_force is not None and not self.is_behind

    @property
    def is_behind(self) -> bool:
        """Whether a higher version is in force in another process."""
        return self._observed_version > self.version

    @property
    def has_conflict(self) -> bool:
        """Whether different content of the version in force was observed."""
        return self._has_conflict

    def consider(self, data: bytes, source: str) -> Verdict:
        """Puts a document in force if it is valid and its version allows it.

        Args:
            data: The document as published.
            source: Origin of the document, for error messages.

        Returns:
            Whether the document was accepted, or why it was not.
        """
        current = self._in_force
        digest = configuration.digest(data)
        if current and current.digest == digest:
            return Unchanged()
        try:
            published = configuration.parse(data, source)
        except errors.ConfigurationError as caught:
            return Refused(caught)
        lowest = current.version if current else self._observed_version
        if published.version < lowest:
            return Outdated(published.version)
        if current and published.version == current.version:
            self._has_conflict = True
            return Conflict(published.version, published.digest)
        self._accept(published)
        return Accepted(published)

    def observe_version(self, version: int) -> bool:
        """Records a version that is in force in another process.

        Args:
            version: Version of a peer, or of the fencing token of an engine.

        Returns:
            Whether a higher version must be fetched.
        """
        self._observed_version = max(self._observed_version, version)
        return self.is_behind

    def compare(self, version: int, digest: str) -> bool:
        """Compares a peer's configuration with the one in force here.

        Args:
            version: Version in force at the peer.
            digest: Digest in force at the peer, or a prefix of it; empty when
                it is not known.

        Returns:
            False when the peer has different content for the same version.
        """
        self.observe_version(version)
        current = self._in_force
        if current is None or current.version != version or not digest:
            return True
        is_equal = current.digest.startswith(digest)
        self._has_conflict = self._has_conflict or not is_equal
        return is_equal

    def _accept(self, published: configuration.Published) -> None:
        invariants.check(
            published.version > self.version,
            events.CONFIGURATION_REVERTED,
            version=published.version,
            previous=self.version,
        )
        self._in_force = published
        self._has_conflict = False
