"""Records of the requests at a stand-in, from which tests check a run.

Times are those of the monotonic clock, which all processes of a machine
share, so the records of several stand-ins can be merged.
"""

import collections
import time

from nutmegpost_standins import http

__all__ = ["Records"]

_ROWS_MAX = 500_000


class Records:
    """Events of requests, oldest first, and the executions per key."""

    def __init__(self) -> None:
        self._rows: collections.deque[list[object]] = collections.deque(
            maxlen=_ROWS_MAX
        )
        self._executions: collections.Counter[str] = collections.Counter()

    @property
    def executions(self) -> dict[str, int]:
        """Number of executions by key."""
        return dict(self._executions)

    def add(self, kind: str, key: str, attempt: int, in_flight: int) -> None:
        """Appends an event of a request.

        Args:
            kind: `arrive`, `refused`, `begin`, `executed`, `order` or the
                final state of the request.
            key: Request id or idempotency key; the text of an order.
            attempt: Number of the attempt.
            in_flight: Running and waiting requests after the event.
        """
        self._rows.append([time.monotonic(), kind, key, attempt, in_flight])

    def count_execution(self, key: str) -> None:
        """Counts an execution."""
        self._executions[key] += 1

    def handle(self, request: http.Request) -> http.Response:
        """Handles a request to `/standin/records`; DELETE clears them."""
        if request.method == "DELETE":
            self._rows.clear()
            self._executions.clear()
        return http.json_response(
            {"rows": list(self._rows), "executions": self.executions}
        )
