"""TCP socket options shared by the HTTP server and client."""

import asyncio
import socket

__all__ = ["enable_dead_peer_detection"]

# Time after which unacknowledged data closes a connection. Must not exceed the
# 2 s within which a configuration change must be in force.
DEAD_PEER_TIMEOUT_S = 2
_PROBE_IDLE_S = 1
_PROBE_INTERVAL_S = 1
_PROBE_COUNT = 2


def enable_dead_peer_detection(transport: asyncio.BaseTransport) -> None:
    """Makes a connection fail when the peer stops responding.

    Sets TCP_USER_TIMEOUT for data in flight and TCP keepalive for an idle
    connection. Does nothing for transports other than TCP over IPv4.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family != socket.AF_INET:
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, DEAD_PEER_TIMEOUT_S * 1000)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _PROBE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _PROBE_COUNT)
