"""Detection of dead TCP peers, shared by the HTTP server and client."""

import asyncio
from collections.abc import Callable
import functools
import socket
import struct
from typing import NamedTuple

from nutmegpost_core import events
from nutmegpost_router import log

__all__ = ["PeerWatch", "enlarge_send_buffer"]

# Time after which unacknowledged data closes a connection.
DEAD_PEER_TIMEOUT_S = 2
_CHECK_INTERVAL_S = 0.5
# The first check is one interval after the data was sent.
_CHECKS_UNTIL_DEAD = round(DEAD_PEER_TIMEOUT_S / _CHECK_INTERVAL_S)
_SILENCE_MIN_S = DEAD_PEER_TIMEOUT_S - _CHECK_INTERVAL_S
_PROBE_IDLE_S = 1
_PROBE_INTERVAL_S = 1
# Unanswered probes that end an idle connection, unless TCP_USER_TIMEOUT is set.
# A single one may have been lost.
_PROBE_COUNT = 2
# struct tcp_info of Linux: tcpi_state, tcpi_unacked, tcpi_last_ack_recv,
# tcpi_bytes_acked and tcpi_notsent_bytes.
_TCP_INFO = struct.Struct("=B23xI28xI60xQ16xI")


# More than any system allows.
_SEND_BUFFER_BYTES_MAX = 1 << 30


def enlarge_send_buffer(transport: asyncio.BaseTransport, more: int) -> None:
    """Lets the kernel take more data of a connection, as far as it allows.

    Args:
        transport: The connection.
        more: Size of the data, bytes.
    """
    sock = transport.get_extra_info("socket")
    size = sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)
    # The kernel may have made the buffer larger than an option can.
    if size < _largest_send_buffer():
        # It counts its own overhead as well.
        size += 2 * more
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)


@functools.cache
def _largest_send_buffer() -> int:
    """Returns the size of the largest send buffer to be had, bytes."""
    with socket.socket() as sock:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES_MAX
        )
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)


class _Progress(NamedTuple):
    """How far the peer has acknowledged what was sent.

    Attributes:
        state: State of the connection; 0 for none.
        unacked: Number of segments in flight. None is while the receive window
            of the peer is closed.
        silence_ms: Time since the last acknowledgement, milliseconds; 0 where
            the system does not tell it.
        acked_bytes: Number of bytes acknowledged so far.
        unsent_bytes: Number of bytes not sent yet.
    """

    state: int
    unacked: int
    silence_ms: int
    acked_bytes: int
    unsent_bytes: int

    @property
    def is_outstanding(self) -> bool:
        """Whether the peer has not acknowledged all data."""
        return bool(self.unacked or self.unsent_bytes)


def _read_progress(sock: socket.socket) -> _Progress:
    """Returns the progress of a connection.

    Raises:
        OSError: The system does not tell it.
    """
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    if len(info) < _TCP_INFO.size:
        raise OSError(f"TCP_INFO has {len(info)} bytes")
    return _Progress(*_TCP_INFO.unpack(info))


@functools.cache
def _tells_progress() -> bool:
    """Returns whether the system tells how far a peer acknowledged data."""
    try:
        with socket.socket() as sock:
            state = _read_progress(sock).state
        reason = "" if state else "TCP_INFO has no state"
    except OSError as caught:
        reason = str(caught)
    if reason:
        log.emit(events.ACKNOWLEDGEMENTS_UNKNOWN, reason=reason)
    return not reason


class PeerWatch:
    """Ends a connection whose peer is dead.

    TCP keepalive ends an idle connection. While data is in flight, the
    acknowledgements are checked. TCP_USER_TIMEOUT would also end connections to
    peers that acknowledge everything but do not read, so it is set only if the
    system does not tell what was acknowledged.
    """

    def __init__(
        self, transport: asyncio.BaseTransport, on_dead: Callable[[], None]
    ):
        """Sets the options of the connection.

        Does nothing for transports other than TCP over IPv4.

        Args:
            transport: The connection.
            on_dead: Called when data is not acknowledged in time; closes the
                connection.
        """
        self._on_dead = on_dead
        self._timer: asyncio.TimerHandle | None = None
        self._acked_bytes = 0
        self._progressed_at = 0.0
        self._unchanged_checks = 0
        self._is_silence_told = False
        self._socket = transport.get_extra_info("socket")
        is_tcp = (
            self._socket is not None and self._socket.family == socket.AF_INET
        )
        self._is_active = is_tcp and _tells_progress()
        if not is_tcp:
            return
        tcp = socket.IPPROTO_TCP
        if not self._is_active:
            timeout_ms = DEAD_PEER_TIMEOUT_S * 1000
            self._socket.setsockopt(tcp, socket.TCP_USER_TIMEOUT, timeout_ms)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        self._socket.setsockopt(tcp, socket.TCP_KEEPIDLE, _PROBE_IDLE_S)
        self._socket.setsockopt(tcp, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S)
        self._socket.setsockopt(tcp, socket.TCP_KEEPCNT, _PROBE_COUNT)

    def record_sent(self) -> None:
        """Starts the checks; they end when all data is acknowledged."""
        if self._timer is None and self._is_active:
            self._unchanged_checks = 0
            self._progressed_at = asyncio.get_running_loop().time()
            self._start_timer()

    def is_outstanding(self) -> bool:
        """Returns whether the peer is known not to have acknowledged all."""
        return self._is_active and self._read().is_outstanding

    def stall_s(self) -> float | None:
        """Returns the time since the peer last acknowledged more, seconds.

        Returns:
            The time; None if it has acknowledged all, or if that is unknown.
        """
        if self._timer is None or not self._read().is_outstanding:
            return None
        return asyncio.get_running_loop().time() - self._progressed_at

    def stop(self) -> None:
        """Ends the checks; must be called when the connection is lost."""
        self._is_active = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_CHECK_INTERVAL_S, self._check)

    def _read(self) -> _Progress:
        progress = _read_progress(self._socket)
        self._is_silence_told |= progress.silence_ms > 0
        if progress.acked_bytes != self._acked_bytes:
            self._acked_bytes = progress.acked_bytes
            self._progressed_at = asyncio.get_running_loop().time()
            self._unchanged_checks = 0
        return progress

    def _check(self) -> None:
        self._timer = None
        progress = self._read()
        if not progress.is_outstanding:
            return
        self._unchanged_checks += 1
        if not progress.unacked:
            self._unchanged_checks = 0
        # The peer may acknowledge again what it has while it takes no more.
        is_silent = (
            not self._is_silence_told
            or progress.silence_ms >= _SILENCE_MIN_S * 1000
        )
        if self._unchanged_checks >= _CHECKS_UNTIL_DEAD and is_silent:
            self._on_dead()
        else:
            self._start_timer()
