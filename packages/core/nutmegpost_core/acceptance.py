"""Which configuration is in force in one process.

A process takes a document only when its version is higher than the one in
force and the document passes its checks. It never goes back, and it never
takes other content under a version that it has. A new process is not ready
before it has the highest version that it heard of. docs/design/configuration.md
says what follows and what cannot hold.
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
    "Old",
    "Refused",
    "Same",
    "Verdict",
]


class Accepted(NamedTuple):
    """The document is in force from now on.

    Attributes:
        published: The document.
    """

    published: configuration.Published


class Old(NamedTuple):
    """The document is of an older version than is allowed.

    Attributes:
        version: Its version.
    """

    version: int


class Same(NamedTuple):
    """The document is the one in force."""


class Conflict(NamedTuple):
    """The version in force was published with two contents.

    Attributes:
        version: The version.
        digest: Digest of the content that is not in force here.
    """

    version: int
    digest: str


class Refused(NamedTuple):
    """The document does not pass its checks.

    Attributes:
        error: What is wrong with it.
    """

    error: errors.ConfigurationError


Verdict = Accepted | Old | Same | Conflict | Refused


class Acceptance:
    """The configuration in force."""

    def __init__(self) -> None:
        self._in_force: configuration.Published | None = None
        self._floor = 0
        self._is_contested = False

    @property
    def in_force(self) -> configuration.Published | None:
        """The configuration in force, or None."""
        return self._in_force

    @property
    def version(self) -> int:
        """Version in force; 0 for none."""
        return self._in_force.version if self._in_force else 0

    @property
    def least_version(self) -> int:
        """Highest version that is known to be in force anywhere."""
        return max(self._floor, self.version)

    @property
    def ready(self) -> bool:
        """Whether a new process may begin to serve.

        A process that already serves goes on with what it has while it
        fetches a higher version.
        """
        return self._in_force is not None and not self.is_behind

    @property
    def is_behind(self) -> bool:
        """Whether a higher version is in force elsewhere."""
        return self._floor > self.version

    @property
    def is_contested(self) -> bool:
        """Whether the version in force is known to have two contents."""
        return self._is_contested

    def consider(self, data: bytes, source: str) -> Verdict:
        """Takes a document into force if that is allowed.

        Args:
            data: The document as published.
            source: Where it came from, for the error.

        Returns:
            What became of it.
        """
        current = self._in_force
        digest = configuration.digest(data)
        if current and current.digest == digest:
            return Same()
        try:
            published = configuration.parse(data, source)
        except errors.ConfigurationError as caught:
            return Refused(caught)
        least = current.version if current else self._floor
        if published.version < least:
            return Old(published.version)
        if current and published.version == current.version:
            self._is_contested = True
            return Conflict(published.version, published.digest)
        self._accept(published)
        return Accepted(published)

    def floor(self, version: int) -> bool:
        """Takes note of a version that is in force elsewhere.

        Args:
            version: Version of a peer, or of the fencing number of an engine.

        Returns:
            Whether a higher version must be fetched.
        """
        self._floor = max(self._floor, version)
        return self.is_behind

    def compare(self, version: int, digest: str) -> bool:
        """Compares what a peer has in force with what is in force here.

        Args:
            version: Version of the peer.
            digest: Digest of the peer, whole or cut.

        Returns:
            False when the peer has other content under the same version.
        """
        self.floor(version)
        current = self._in_force
        if current is None or current.version != version or not digest:
            return True
        is_equal = current.digest.startswith(digest)
        self._is_contested = self._is_contested or not is_equal
        return is_equal

    def _accept(self, published: configuration.Published) -> None:
        invariants.check(
            published.version > self.version,
            events.CONFIGURATION_REVERTED,
            version=published.version,
            previous=self.version,
        )
        self._in_force = published
        self._is_contested = False
