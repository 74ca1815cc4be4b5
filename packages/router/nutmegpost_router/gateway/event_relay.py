"""Relay of the events of a stream from an endpoint to a caller."""

import asyncio
from collections.abc import Callable

from nutmegpost_core import errors
from nutmegpost_core import sse
from nutmegpost_router import http_client
from nutmegpost_router.gateway import pending_request
from nutmegpost_router.gateway import ports

__all__ = ["EventRelay"]

_ID_DIGITS_MAX = 18


class EventRelay:
    """Relays the events of one stream that the caller does not have yet.

    Attributes:
        event_count: Number of events relayed.
    """

    def __init__(
        self,
        pending: pending_request.PendingRequest,
        status: int,
        fields: ports.Fields,
        load: pending_request.InFlightLoad,
        on_begun: Callable[[], None],
    ):
        """Creates a relay that has relayed nothing.

        Args:
            pending: The request.
            status: Status of the response.
            fields: Header fields of the response to relay.
            load: Load of the attempt; is told of each event.
            on_begun: Called before the first event is relayed.
        """
        self._pending = pending
        self._load = load
        self._on_begun = on_begun
        self._status = status
        self._fields = list(fields)
        self._splitter = sse.Splitter()
        self._bytes_since_event = 0
        self.event_count = 0

    @property
    def is_within_event(self) -> bool:
        """Whether the data so far ends within an event."""
        return bool(self._splitter.incomplete)

    def add(self, data: bytes) -> http_client.Consumed:
        """Relays the new events that some data completes.

        Raises:
            errors.PeerError: The data is not a stream of events, or the
                deadline of the request has passed.
        """
        if _now() >= self._pending.call.deadline:
            raise errors.PeerError("the stream goes on after the deadline")
        self._bytes_since_event += len(data)
        events_data, malformed_id = self._new_events(self._splitter.feed(data))
        consumed = self._relay(events_data)
        if malformed_id is not None:
            raise errors.PeerError(
                f"event id is not a number: {malformed_id[:40]!r}"
            )
        return consumed

    def _relay(self, events_data: list[bytes]) -> http_client.Consumed:
        if not events_data:
            if self._bytes_since_event > sse.EVENT_BYTES_MAX:
                raise errors.PeerError("too much data without an event")
            return http_client.Consumed.NOTHING
        self._bytes_since_event = 0
        if not self.event_count:
            self._on_begun()
        self._load.record_sign()
        exchange = self._pending.exchange
        if not exchange.started:
            exchange.start(self._status, self._fields)
        exchange.write(b"".join(events_data))
        self.event_count += len(events_data)
        if not exchange.writable:
            return http_client.Consumed.FULL
        return http_client.Consumed.PROGRESS

    def _new_events(
        self, received: list[sse.RawEvent]
    ) -> tuple[list[bytes], bytes | None]:
        """Returns the events that the caller does not have yet.

        Records the id of the last one in the pending request.

        Returns:
            The events up to the first whose id is missing or not a number, and
            that id; None if there is no such event.
        """
        pending = self._pending
        new_events: list[bytes] = []
        for event in received:
            if _is_comment(event):
                # It is no part of the answer.
                continue
            event_id = event.event_id
            if not (event_id.isdigit() and len(event_id) <= _ID_DIGITS_MAX):
                return new_events, event_id
            last_id = pending.last_event_id
            if last_id and int(event_id) <= int(last_id):
                continue
            pending.last_event_id = event_id.decode("ascii")
            new_events.append(event.data)
        return new_events, None


def _is_comment(event: sse.RawEvent) -> bool:
    """Returns whether an event consists of comment lines only."""
    return event.data.startswith(b":") and all(
        line.startswith(b":") for line in event.data.rstrip().splitlines()
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
