"""Options of TCP sockets that all our connections share."""

import asyncio
import socket

__all__ = ["detect_silence"]

# Time without an acknowledgement after which a connection is given up. It is
# below the 2 s within which a change of the configuration must be in force.
SILENCE_S = 2
_PROBE_IDLE_S = 1
_PROBE_INTERVAL_S = 1
_PROBE_COUNT = 2


def detect_silence(transport: asyncio.BaseTransport) -> None:
    """Makes a connection fail soon after the other side falls silent."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family != socket.AF_INET:
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, SILENCE_S * 1000)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _PROBE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _PROBE_COUNT)
