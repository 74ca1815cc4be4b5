"""Attempts that stay open until the attempt that replaces them is accepted."""

import asyncio
from typing import NamedTuple

from nutmegpost_router import http_client
from nutmegpost_router.gateway import event_relay
from nutmegpost_router.gateway import pending_request
from nutmegpost_router.gateway import ports

__all__ = ["HeldAttempt", "OpenStream"]

# Longest time for which two endpoints may work on one request.
_OVERLAP_MAX_S = 0.2


class OpenStream(NamedTuple):
    """A stream that an endpoint has begun.

    Attributes:
        response: The response, whose body is the stream.
        head: Its head.
        relay: Relays its events.
        load: Load of the attempt.
    """

    response: http_client.Stream
    head: ports.ResponseHead
    relay: event_relay.EventRelay
    load: pending_request.InFlightLoad


class HeldAttempt:
    """A silent stream that goes on if its replacement is rejected at once."""

    def __init__(self, stream: OpenStream):
        """Holds a stream.

        Args:
            stream: The stream; nothing reads it meanwhile.
        """
        self._stream = stream
        self._is_open = True
        self._timer: asyncio.TimerHandle | None = None

    @property
    def stream(self) -> OpenStream:
        """The stream."""
        return self._stream

    @property
    def is_open(self) -> bool:
        """Whether the stream can go on."""
        return self._is_open

    def yield_to_next(self) -> bool:
        """Ends the attempt soon, as the next endpoint gets the request now.

        Returns:
            Whether the next endpoint is to get it; False if this one has sent
            something meanwhile, and the attempt is to go on.
        """
        self._stop_timer()
        if self._stream.response.has_unread_data:
            return False
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_OVERLAP_MAX_S, self._end_unless_settled)
        return True

    def _end_unless_settled(self) -> None:
        """Ends the attempt after what has been received is handled.

        If the event loop is late, a rejection may have come in time.
        """
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(0, self.end)

    def settle(self, is_rejected: bool) -> None:
        """Ends the attempt, unless the next endpoint has not run the request.

        Args:
            is_rejected: Whether it has not.
        """
        if is_rejected:
            self._stop_timer()
        else:
            self.end()

    def release(self) -> OpenStream:
        """Returns the stream, which goes on and is no longer held."""
        self._stop_timer()
        self._is_open = False
        return self._stream

    def end(self) -> None:
        """Closes the connection unless the stream is no longer held."""
        self._stop_timer()
        if self._is_open:
            self._is_open = False
            self._stream.response.abort()
            self._stream.load.release()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
