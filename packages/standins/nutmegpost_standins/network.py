"""A simulated datagram network with members of a fleet on it.

Time stands still but in `run`. Datagrams can be lost, late or doubled; nodes
can be killed, started again, paused, and cut off from one another. Every node
is checked against its byte budget.
"""

from collections.abc import Callable, Iterable
import heapq
import random
from typing import NamedTuple

from nutmegpost_core import budget
from nutmegpost_core import datagrams
from nutmegpost_core import dissemination
from nutmegpost_core import membership

__all__ = ["Faults", "Network", "Node"]

TICK_S = 0.1
PAUSE_NOTICED_S = 1.0


class Faults(NamedTuple):
    """What the network does to datagrams.

    Attributes:
        loss: Share that is lost.
        doubling: Share that arrives twice.
        delay_s: Longest one-way delay in seconds.
    """

    loss: float = 0.0
    doubling: float = 0.0
    delay_s: float = 0.005


class _Flight(NamedTuple):
    due: float
    number: int
    target: str
    source: str
    data: bytes


class Node:
    """One member with what the network knows of it."""

    def __init__(
        self,
        member: membership.Member,
        seed: int,
        timing: membership.Timing,
        start: float,
    ):
        rng = random.Random(seed)
        self.riders = dissemination.Disseminator(rng)
        self.members = membership.Membership(
            member, rng, timing, self.riders, budget.Budget()
        )
        self.arrived: list[dissemination.ReceivedItem] = []
        self.paused_until = 0.0
        self.paused_at = 0.0
        self.waiting: list[_Flight] = []
        self.next_tick = start
        self.sent_bytes = 0
        self.level = 0.0
        self.level_at = start
        self.peak_bytes = 0.0

    def account(self, size: int, now: float) -> None:
        """Follows the fill of a bucket that drains at the budget's rate."""
        drained = (now - self.level_at) * budget.RATE_BYTES_S
        self.level = max(0.0, self.level - drained) + size
        self.level_at = now
        self.sent_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.level)


class Network:
    """The network and its nodes."""

    def __init__(self, seed: int, timing: membership.Timing | None = None):
        self._rng = random.Random(seed)
        self._timing = timing or membership.Timing()
        self._queue: list[_Flight] = []
        self._number = 0
        self._sides: dict[str, int] = {}
        self.listed: list[str] = []
        self.nodes: dict[str, Node] = {}
        self.faults = Faults()
        self.now = 0.0

    def start(self, number: int, zone: str = "zone-a") -> str:
        """Starts a process with a new incarnation.

        Returns:
            Its peer address.
        """
        address = f"10.{number // 62500}.{number // 250 % 250}.{number % 250}"
        address += ":7000"
        member = membership.Member(
            f"router-{number:04d}",
            self._rng.getrandbits(48),
            address,
            address,
            zone,
        )
        delay = self._rng.uniform(0, TICK_S)
        node = Node(
            member, self._rng.getrandbits(32), self._timing, self.now + delay
        )
        self.nodes[address] = node
        if address not in self.listed:
            self.listed.append(address)
        node.members.seed(self.listed)
        return address

    def seed_all(self) -> None:
        """Gives every node the present VM list."""
        for node in self.nodes.values():
            node.members.seed(self.listed)

    def acquaint(self) -> None:
        """Lets every node know all others, as after a long quiet time."""
        members = [node.members.local for node in self.nodes.values()]
        for node in self.nodes.values():
            node.members.seed(self.listed)
            node.members.add_members(members, self.now)
            node.members.changes()

    def kill(self, address: str) -> None:
        """Ends a process without a word."""
        del self.nodes[address]

    def pause(self, address: str, seconds: float) -> None:
        """Stops a process; its socket keeps what arrives."""
        node = self.nodes[address]
        node.paused_at = self.now
        node.paused_until = self.now + seconds

    def cut(self, sides: Iterable[Iterable[str]]) -> None:
        """Parts the network; no sides heals it."""
        self._sides = {
            address: number
            for number, side in enumerate(sides, 1)
            for address in side
        }

    def post(self, source: str, sent: Iterable[membership.Datagram]) -> None:
        """Puts the datagrams of a node on the network."""
        node = self.nodes[source]
        for item in sent:
            size = len(item.data) + datagrams.HEADER_BYTES
            node.account(size, self.now)
            if self._rng.random() >= self.faults.loss:
                self._fly(item, source)
            if self._rng.random() < self.faults.doubling:
                self._fly(item, source)

    def run(
        self,
        seconds: float,
        until: Callable[[], bool] | None = None,
        check_s: float = 0.5,
    ) -> bool:
        """Lets time pass.

        Args:
            seconds: Longest time.
            until: Ends the run when it is true.
            check_s: Seconds between two looks at `until`.

        Returns:
            Whether `until` became true.
        """
        end = self.now + seconds
        next_check = self.now
        while self.now < end:
            if until is not None and self.now >= next_check:
                next_check += check_s
                if until():
                    return True
            self._step()
        return until is not None and until()

    def agrees(self) -> bool:
        """Whether all live nodes see just the live processes as alive."""
        expected = {
            node.members.local.name: node.members.local.incarnation
            for node in self.nodes.values()
        }
        return all(self._seen(node) == expected for node in self.nodes.values())

    @staticmethod
    def _seen(node: Node) -> dict[str, int]:
        seen = {}
        for name, member in node.members.members.items():
            if member.state is membership.State.SUSPECT:
                return {}
            if member.state is membership.State.ALIVE:
                seen[name] = member.incarnation
        return seen

    def _fly(self, item: membership.Datagram, source: str) -> None:
        if self._sides.get(item.address, 0) != self._sides.get(source, 0):
            return
        delay = self._rng.uniform(0.2, 1.0) * self.faults.delay_s
        self._number += 1
        flight = _Flight(
            self.now + delay, self._number, item.address, source, item.data
        )
        heapq.heappush(self._queue, flight)

    def _step(self) -> None:
        self.now += TICK_S / 2
        while self._queue and self._queue[0].due <= self.now:
            self._deliver(heapq.heappop(self._queue))
        for address, node in list(self.nodes.items()):
            if node.next_tick <= self.now and self._is_running(node):
                node.next_tick += TICK_S
                self.post(address, node.members.tick(self.now))
                node.arrived += node.riders.received()

    def _deliver(self, flight: _Flight) -> None:
        node = self.nodes.get(flight.target)
        if node is None:
            return
        if not self._is_running(node):
            node.waiting.append(flight)
            return
        self.post(
            flight.target,
            node.members.receive(flight.data, flight.source, self.now),
        )

    def _is_running(self, node: Node) -> bool:
        if node.paused_until > self.now:
            return False
        if node.paused_until:
            self._wake(node)
        return True

    def _wake(self, node: Node) -> None:
        gap = self.now - node.paused_at
        node.paused_until = 0.0
        node.next_tick = self.now
        if gap > PAUSE_NOTICED_S:
            node.members.handle_pause(self.now, gap)
        waiting, node.waiting = node.waiting, []
        for flight in waiting:
            self._deliver(flight)
