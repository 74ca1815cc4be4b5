"""A simulated datagram network that connects members of a fleet.

Simulated time advances only in `run`. Datagrams can be lost, delayed or
duplicated; nodes can be killed, restarted, paused and partitioned. The network
records the traffic of each node, to be compared with its byte budget.
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
PAUSE_DETECTED_S = 1.0


class Faults(NamedTuple):
    """Faults that the network injects.

    Attributes:
        loss: Probability that a datagram is lost.
        duplication: Probability that a datagram is sent twice.
        delay_s: Longest one-way delay, seconds.
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay_s: float = 0.005


class _Transit(NamedTuple):
    due: float
    sequence: int
    destination: str
    source: str
    data: bytes


class Node:
    """A member, with its socket and its recorded traffic.

    Attributes:
        disseminator: Items that the member disseminates.
        members: Membership as the member sees it.
        received_items: Items received from other members.
        paused_until: End of a pause, simulated seconds; 0 if not paused.
        paused_at: Start of the last pause, simulated seconds.
        socket_buffer: Datagrams that arrived during a pause.
        next_tick: Time of the next tick, simulated seconds.
        sent_bytes: Bytes sent in total, headers included.
        bucket_bytes: Fill of a leaky bucket that drains at the budget's rate.
        bucket_updated_at: Time of the last change, simulated seconds.
        peak_bytes: Highest fill of the bucket.
    """

    def __init__(
        self,
        member: membership.Member,
        seed: int,
        timing: membership.Timing,
        start: float,
    ):
        rng = random.Random(seed)
        self.disseminator = dissemination.Disseminator(rng)
        self.members = membership.Membership(
            member, rng, timing, self.disseminator, budget.Budget()
        )
        self.received_items: list[dissemination.ReceivedItem] = []
        self.paused_until = 0.0
        self.paused_at = 0.0
        self.socket_buffer: list[_Transit] = []
        self.next_tick = start
        self.sent_bytes = 0
        self.bucket_bytes = 0.0
        self.bucket_updated_at = start
        self.peak_bytes = 0.0

    def record_sent(self, size: int, now: float) -> None:
        """Adds a sent datagram to the total and to the leaky bucket."""
        drained = (now - self.bucket_updated_at) * budget.RATE_BYTES_S
        self.bucket_bytes = max(0.0, self.bucket_bytes - drained) + size
        self.bucket_updated_at = now
        self.sent_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.bucket_bytes)


class Network:
    """The network and its nodes.

    Attributes:
        vm_addresses: Addresses in the VM list, which seed the members.
        nodes: Running nodes by address.
        faults: Faults that the network injects.
        now: Simulated time, seconds.
    """

    def __init__(self, seed: int, timing: membership.Timing | None = None):
        self._rng = random.Random(seed)
        self._timing = timing or membership.Timing()
        self._queue: list[_Transit] = []
        self._sequence = 0
        self._groups: dict[str, int] = {}
        self.vm_addresses: list[str] = []
        self.nodes: dict[str, Node] = {}
        self.faults = Faults()
        self.now = 0.0

    def start(self, number: int, zone: str = "zone-a") -> str:
        """Starts a node with a new incarnation.

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
        if address not in self.vm_addresses:
            self.vm_addresses.append(address)
        node.members.seed(self.vm_addresses)
        return address

    def seed_all(self) -> None:
        """Seeds every node with the current VM list."""
        for node in self.nodes.values():
            node.members.seed(self.vm_addresses)

    def introduce_all(self) -> None:
        """Adds all members to the view of every node, as after convergence."""
        members = [node.members.local for node in self.nodes.values()]
        for node in self.nodes.values():
            node.members.seed(self.vm_addresses)
            node.members.add_members(members, self.now)
            node.members.changes()

    def kill(self, address: str) -> None:
        """Ends a node without notice to the others."""
        del self.nodes[address]

    def pause(self, address: str, seconds: float) -> None:
        """Pauses a node; its socket buffers the datagrams that arrive."""
        node = self.nodes[address]
        node.paused_at = self.now
        node.paused_until = self.now + seconds

    def partition(self, groups: Iterable[Iterable[str]]) -> None:
        """Partitions the network into groups; no groups heals it.

        Nodes in none of the groups form another one.
        """
        self._groups = {
            address: number
            for number, group in enumerate(groups, 1)
            for address in group
        }

    def send(self, source: str, sent: Iterable[membership.Datagram]) -> None:
        """Sends the datagrams of a node."""
        node = self.nodes[source]
        for datagram in sent:
            size = len(datagram.data) + datagrams.HEADER_BYTES
            node.record_sent(size, self.now)
            if self._rng.random() >= self.faults.loss:
                self._schedule_delivery(datagram, source)
            if self._rng.random() < self.faults.duplication:
                self._schedule_delivery(datagram, source)

    def run(
        self,
        seconds: float,
        until: Callable[[], bool] | None = None,
        check_s: float = 0.5,
    ) -> bool:
        """Advances the simulated time.

        Args:
            seconds: Longest simulated time.
            until: Ends the run early when it returns true.
            check_s: Interval between two calls of `until`, simulated seconds.

        Returns:
            Whether `until` returned true.
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

    def has_converged(self) -> bool:
        """Returns whether all nodes see exactly the running nodes as alive."""
        expected = {
            node.members.local.name: node.members.local.incarnation
            for node in self.nodes.values()
        }
        return all(
            self._alive_incarnations(node) == expected
            for node in self.nodes.values()
        )

    @staticmethod
    def _alive_incarnations(node: Node) -> dict[str, int]:
        incarnations = {}
        for name, member in node.members.members.items():
            if member.state is membership.State.SUSPECT:
                return {}
            if member.state is membership.State.ALIVE:
                incarnations[name] = member.incarnation
        return incarnations

    def _schedule_delivery(
        self, datagram: membership.Datagram, source: str
    ) -> None:
        if self._groups.get(datagram.address, 0) != self._groups.get(source, 0):
            return
        delay = self._rng.uniform(0.2, 1.0) * self.faults.delay_s
        self._sequence += 1
        transit = _Transit(
            self.now + delay,
            self._sequence,
            datagram.address,
            source,
            datagram.data,
        )
        heapq.heappush(self._queue, transit)

    def _step(self) -> None:
        self.now += TICK_S / 2
        while self._queue and self._queue[0].due <= self.now:
            self._deliver(heapq.heappop(self._queue))
        for address, node in list(self.nodes.items()):
            if node.next_tick <= self.now and self._is_running(node):
                node.next_tick += TICK_S
                self.send(address, node.members.tick(self.now))
                node.received_items += node.disseminator.received()

    def _deliver(self, transit: _Transit) -> None:
        node = self.nodes.get(transit.destination)
        if node is None:
            return
        if not self._is_running(node):
            node.socket_buffer.append(transit)
            return
        self.send(
            transit.destination,
            node.members.receive(transit.data, transit.source, self.now),
        )

    def _is_running(self, node: Node) -> bool:
        if node.paused_until > self.now:
            return False
        if node.paused_until:
            self._resume(node)
        return True

    def _resume(self, node: Node) -> None:
        gap = self.now - node.paused_at
        node.paused_until = 0.0
        node.next_tick = self.now
        if gap > PAUSE_DETECTED_S:
            node.members.handle_pause(self.now, gap)
        buffered, node.socket_buffer = node.socket_buffer, []
        for transit in buffered:
            self._deliver(transit)
