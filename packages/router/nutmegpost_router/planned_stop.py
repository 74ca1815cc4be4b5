"""A planned stop: connections are served until none is left, or for a time."""

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

from nutmegpost_router import http_server

__all__ = ["Times", "drain", "drain_callers", "times"]

_TICK_S = 0.1
# Time after the stop signal during which new connections are still accepted,
# as a multiple of the address TTL: callers cache addresses for one TTL.
_LINGER_TTLS = 2.0
# Part of the grace period reserved for the exit of the process.
_STOP_MARGIN_S = 0.4


class Times(NamedTuple):
    """Times of a planned stop.

    Attributes:
        listens_until: Monotonic time until which connections are accepted,
            seconds.
        idle_s: Time for which a connection is open without a request until it
            is closed, seconds.
        end: Monotonic time at which open requests are ended, seconds.
    """

    listens_until: float
    idle_s: float
    end: float


def times(now: float, address_ttl_s: float, stop_grace_s: float) -> Times:
    """Returns the times of a stop that begins now.

    Args:
        now: Monotonic time, seconds.
        address_ttl_s: Time for which callers cache addresses, seconds.
        stop_grace_s: Time until the process is killed, seconds.
    """
    return Times(
        now + _LINGER_TTLS * address_ttl_s,
        address_ttl_s,
        now + stop_grace_s - _STOP_MARGIN_S,
    )


async def drain_callers(
    server: http_server.HttpServer, stop_times: Times
) -> None:
    """Serves until no connection is open or the grace period ends.

    New connections are accepted until the addresses that callers have cached
    have expired. A connection stays open until all of its answer is sent.
    """
    server.disable_keep_alive()
    await asyncio.sleep(min(stop_times.listens_until, stop_times.end) - _now())
    server.stop_listening()
    # The loop still hands over what it has accepted before.
    await asyncio.sleep(_TICK_S)
    while server.open_work.connections and _now() < stop_times.end:
        server.drain(stop_times.idle_s)
        await asyncio.sleep(min(_TICK_S, stop_times.end - _now()))


async def drain(
    servers: Sequence[http_server.HttpServer], end: float
) -> http_server.OpenWork:
    """Serves open requests of several servers, for at least one tick.

    Past the end the kernel gets what is unsent, in another tick.

    Args:
        servers: The servers.
        end: Monotonic time at which it ends, seconds.

    Returns:
        What the connections that are still open have to do.
    """
    for server in servers:
        server.stop_listening()
    while True:
        is_over = _now() >= end
        for server in servers:
            server.drain()
            if is_over:
                server.offer_unsent_bytes()
        await asyncio.sleep(_TICK_S)
        counts = zip(*(server.open_work for server in servers), strict=True)
        work = http_server.OpenWork(*map(sum, counts))
        if is_over or not work.connections:
            return work


def _now() -> float:
    return asyncio.get_running_loop().time()
