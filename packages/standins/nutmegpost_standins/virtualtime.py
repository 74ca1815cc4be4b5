"""An event loop in simulated time with an in-memory datagram network.

Time advances only when nothing is left to run, so a scenario of many tasks ends
as fast as it can be computed and gives the same result each time.
"""

import asyncio
from collections.abc import Callable, Coroutine
import selectors
from typing import Any

__all__ = ["Loop", "run"]


class _Selector(selectors.SelectSelector):
    """Advances the simulated time instead of waiting."""

    def __init__(self, advance: Callable[[float], None]):
        super().__init__()
        self._advance = advance

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns the ready files; simulated time passes at once."""
        if timeout is None:
            raise AssertionError("the scenario waits for nothing")
        self._advance(timeout)
        return super().select(0)


class _Transport(asyncio.DatagramTransport):
    def __init__(self, loop: "Loop", address: tuple[str, int]):
        super().__init__()
        self._loop = loop
        self._address = address

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Sends a datagram."""
        self._loop.deliver(data, self._address, addr)

    def close(self) -> None:
        """Closes the socket."""
        self._loop.unbind(self._address)


class Loop(asyncio.SelectorEventLoop):
    """An event loop whose clock and datagrams are simulated.

    Attributes:
        sent_bytes: Payload bytes that each address sent.
    """

    def __init__(self, latency_s: float):
        """Creates a loop at time 0.

        Args:
            latency_s: Time from the dispatch of a datagram to its arrival,
                seconds.
        """
        self._simulated_s = 0.0
        self._latency_s = latency_s
        self._protocols: dict[tuple[str, int], asyncio.DatagramProtocol] = {}
        self.sent_bytes: dict[tuple[str, int], int] = {}
        super().__init__(_Selector(self._advance))

    def time(self) -> float:
        """Returns the simulated time, seconds."""
        return self._simulated_s

    def deliver(
        self, data: bytes, source: tuple[str, int], target: tuple[str, int]
    ) -> None:
        """Delivers a datagram after the latency; drops it without a target."""
        self.sent_bytes[source] = self.sent_bytes.get(source, 0) + len(data)
        self.call_later(self._latency_s, self._receive, data, source, target)

    def unbind(self, address: tuple[str, int]) -> None:
        """Closes the socket of an address."""
        self._protocols.pop(address, None)

    async def create_datagram_endpoint(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.DatagramProtocol],
        local_addr: tuple[str, int],
    ) -> tuple[asyncio.DatagramTransport, asyncio.DatagramProtocol]:
        """Binds an address of the simulated network."""
        protocol = protocol_factory()
        self._protocols[local_addr] = protocol
        transport = _Transport(self, local_addr)
        protocol.connection_made(transport)
        return transport, protocol

    def _receive(
        self, data: bytes, source: tuple[str, int], target: tuple[str, int]
    ) -> None:
        protocol = self._protocols.get(target)
        if protocol is not None:
            protocol.datagram_received(data, source)

    def _advance(self, seconds: float) -> None:
        self._simulated_s += seconds


def run(
    scenario: Callable[[Loop], Coroutine[None, None, None]], latency_s: float
) -> None:
    """Runs a scenario in simulated time.

    Args:
        scenario: Receives the loop that it runs in.
        latency_s: Latency of the network, seconds.
    """
    loop = Loop(latency_s)
    try:
        loop.run_until_complete(scenario(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
