"""Encoding of crash charges for the other routers.

Each router reports what it observed of a crash: the requests and the prompt
parts that it had in flight on the endpoint, and which of these were answered
later. Only this router writes the report, so that a later version always
includes the earlier ones; receivers merge the reports of all routers.
"""

from collections.abc import Iterable
from typing import NamedTuple

from nutmegpost_core import crashes
from nutmegpost_core import errors

__all__ = [
    "REPORTER_BYTES",
    "CrashReports",
    "Entry",
    "Report",
    "charges",
    "read",
]

# Crashes whose reports can still be extended.
CRASHES_MAX = 500
# Entries in one report; a longer one is continued in the next.
ENTRIES_MAX = 40
REPORTER_BYTES = 6
_DIGEST_BYTES = 8
_FLAG_CLEARED = 1
_FLAG_PART = 2


class Entry(NamedTuple):
    """One entry of a report.

    Attributes:
        subject: Digest of a request, or of a part of a prompt.
        is_part: Whether it is a part.
        is_cleared: Whether it has been answered since the crash.
    """

    subject: str
    is_part: bool
    is_cleared: bool


class Report(NamedTuple):
    """An encoded report.

    Attributes:
        key: Names the crash, the router and the number of the report.
        payload: The entries.
        at: Monotonic time of the crash, seconds.
    """

    key: bytes
    payload: bytes
    at: float


class CrashReports:
    """The reports of one router."""

    def __init__(self, reporter: bytes):
        """Creates an empty set of reports.

        Args:
            reporter: `REPORTER_BYTES` that no other process has.
        """
        self._reporter = reporter
        self._entries: dict[str, dict[tuple[str, bool], bool]] = {}
        self._crashed_at: dict[str, float] = {}
        self._changed: dict[tuple[str, int], None] = {}

    def add(self, crash: str, at: float, entry: Entry) -> None:
        """Adds an entry to the report of a crash, or marks it as cleared.

        Args:
            crash: The crash.
            at: Monotonic time of the crash, seconds.
            entry: The entry.
        """
        entries = self._entries.get(crash)
        if entries is None:
            if len(self._entries) >= CRASHES_MAX:
                oldest = next(iter(self._entries))
                del self._entries[oldest], self._crashed_at[oldest]
            entries = self._entries[crash] = {}
            self._crashed_at[crash] = at
        subject = entry.subject, entry.is_part
        entries[subject] = entries.get(subject, False) or entry.is_cleared
        number = list(entries).index(subject) // ENTRIES_MAX
        self._changed[crash, min(number, 255)] = None

    def take_changed(self) -> list[Report]:
        """Returns the reports that changed since the last call."""
        changed, self._changed = self._changed, {}
        return [
            self._encode(crash, number)
            for crash, number in changed
            if crash in self._entries
        ]

    def _encode(self, crash: str, number: int) -> Report:
        first = number * ENTRIES_MAX
        entries = list(self._entries[crash].items())[first:][:ENTRIES_MAX]
        payload = b"".join(
            bytes([is_part * _FLAG_PART | is_cleared * _FLAG_CLEARED])
            + bytes.fromhex(subject)
            for (subject, is_part), is_cleared in entries
        )
        key = bytes.fromhex(crash) + self._reporter + bytes([number])
        return Report(key, payload, self._crashed_at[crash])


def read(report: Report) -> tuple[str, list[Entry]]:
    """Returns the crash and the entries of a report.

    Raises:
        errors.PeerError: The report is malformed.
    """
    key, payload, _ = report
    entry_bytes = 1 + _DIGEST_BYTES
    if (
        len(key) != _DIGEST_BYTES + REPORTER_BYTES + 1
        or len(payload) % entry_bytes
    ):
        raise errors.PeerError("malformed crash report")
    entries = [
        Entry(
            payload[start + 1 : start + entry_bytes].hex(),
            bool(payload[start] & _FLAG_PART),
            bool(payload[start] & _FLAG_CLEARED),
        )
        for start in range(0, len(payload), entry_bytes)
    ]
    return key[:_DIGEST_BYTES].hex(), entries


def charges(
    crash: str, at: float, entries: Iterable[Entry], is_part: bool
) -> list[crashes.Charge]:
    """Returns the charges in a report of one kind of subject.

    Args:
        crash: The crash.
        at: Monotonic time of the crash, seconds.
        entries: Entries of the report.
        is_part: Whether to return those of parts or those of requests.
    """
    return [
        crashes.Charge(entry.subject, crash, at, entry.is_cleared)
        for entry in entries
        if entry.is_part is is_part
    ]
