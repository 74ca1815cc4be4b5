"""What endpoints say of themselves in their answers: that they leave, or pause.

An endpoint that leaves takes no new requests until its instance is gone. One
that refused a request can ask the router that sent it for a pause.
"""

from collections.abc import Collection, Iterable, Mapping
import math

from nutmegpost_core import roster

__all__ = ["RETURN_MAX_S", "EndpointNotices"]

# Callers of endpoints that all pause return this far apart, within this time
# from the end of the first pause, seconds.
RETURN_SPACING_S = 0.02
RETURN_SPREAD_S = 1.0
# The longest time after which a caller is told to return.
RETURN_MAX_S = 30.0


class _Notice:
    """What one instance of an endpoint said last.

    Attributes:
        started_ms: Start time of the instance, Unix milliseconds.
        is_leaving: Whether it leaves.
        paused_until: Monotonic time, seconds; 0 if it never paused.
    """

    __slots__ = ("is_leaving", "paused_until", "started_ms")

    def __init__(self, started_ms: int):
        self.started_ms = started_ms
        self.is_leaving = False
        self.paused_until = 0.0


class EndpointNotices:
    """The endpoints that take no requests from this router."""

    def __init__(self) -> None:
        self._notices: dict[str, _Notice] = {}
        self._returning_until: dict[str, float] = {}

    def record_leaving(self, endpoint: str, started_ms: int) -> bool:
        """Records that an instance leaves.

        Args:
            endpoint: Name of the endpoint.
            started_ms: Start time of the instance, Unix milliseconds.

        Returns:
            Whether this is new.
        """
        notice = self._notice(endpoint, started_ms)
        is_new = not notice.is_leaving
        notice.is_leaving = True
        return is_new

    def record_pause(
        self, endpoint: str, started_ms: int, until: float, now: float
    ) -> bool:
        """Records that an instance asked this router for a pause.

        Args:
            endpoint: Name of the endpoint.
            started_ms: Start time of the instance, Unix milliseconds.
            until: End of the pause, monotonic seconds.
            now: Monotonic time, seconds.

        Returns:
            Whether the endpoint took requests before.
        """
        notice = self._notice(endpoint, started_ms)
        was_open = not _is_closed(notice, now)
        notice.paused_until = max(notice.paused_until, until)
        return was_open

    def closed(self, endpoints: Iterable[str], now: float) -> set[str]:
        """Returns the endpoints that take no requests from this router now."""
        return {
            endpoint
            for endpoint in endpoints
            if endpoint in self._notices
            and _is_closed(self._notices[endpoint], now)
        }

    def return_after_s(
        self, service: str, endpoints: Collection[str], now: float
    ) -> float | None:
        """Returns when the caller of a refused request should return.

        Successive callers are told times that are a little apart, so that they
        do not return all at once when the pause ends.

        Args:
            service: The service.
            endpoints: Names of its endpoints, none of which takes requests.
            now: Monotonic time, seconds.

        Returns:
            Seconds; None if no pause is known to end.
        """
        ends = [
            notice.paused_until
            for endpoint in endpoints
            if (notice := self._notices.get(endpoint)) is not None
            and not notice.is_leaving
            and notice.paused_until > now
        ]
        if not ends:
            return None
        end = min(ends)
        after = self._returning_until.get(service, -math.inf)
        if not end <= after < end + RETURN_SPREAD_S:
            after = end
        at = after + RETURN_SPACING_S
        self._returning_until[service] = at
        return min(at - now, RETURN_MAX_S)

    def retain(self, endpoints: Mapping[str, roster.Endpoint]) -> None:
        """Discards the notices of other endpoints and of earlier instances."""
        self._notices = {
            name: notice
            for name, notice in self._notices.items()
            if name in endpoints
            and endpoints[name].started_ms == notice.started_ms
        }

    def _notice(self, endpoint: str, started_ms: int) -> _Notice:
        notice = self._notices.get(endpoint)
        if notice is None or notice.started_ms != started_ms:
            notice = self._notices[endpoint] = _Notice(started_ms)
        return notice


def _is_closed(notice: _Notice, now: float) -> bool:
    return notice.is_leaving or notice.paused_until > now
