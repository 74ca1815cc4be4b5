"""What a stand-in did, for judging a run from the outside.

Times are those of the monotonic clock, which all processes of a machine
share, so the records of several stand-ins can be merged.
"""

import collections
import time

from nutmegpost_standins import http

__all__ = ["Records"]

_RECORDS_MAX = 500_000


class Records:
    """Rows of what happened, oldest first, and executions by key."""

    def __init__(self) -> None:
        self._rows: collections.deque[list[object]] = collections.deque(
            maxlen=_RECORDS_MAX
        )
        self._executions: collections.Counter[str] = collections.Counter()

    @property
    def executions(self) -> dict[str, int]:
        """Number of executions by key."""
        return dict(self._executions)

    def add(self, kind: str, name: str, attempt: int, in_flight: int) -> None:
        """Notes that something happened.

        Args:
            kind: `arrive`, `refused`, `begin` or the state that ended it.
            name: Request or idempotency key.
            attempt: Number of the attempt.
            in_flight: Requests running and waiting afterwards.
        """
        self._rows.append([time.monotonic(), kind, name, attempt, in_flight])

    def count(self, key: str) -> None:
        """Notes an execution."""
        self._executions[key] += 1

    def handle(self, request: http.Request) -> http.Response:
        """Answers a request to `/standin/records`; DELETE forgets all."""
        if request.method == "DELETE":
            self._rows.clear()
            self._executions.clear()
        return http.json_response(
            {"rows": list(self._rows), "executions": self.executions}
        )
