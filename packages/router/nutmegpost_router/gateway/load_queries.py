"""Loads that this gateway asks for before it sends a request.

In a large fleet a gateway knows little of the load of an endpoint. It asks the
gateway that tracks the endpoint, chosen alike by all, and tells it its own part
with the same datagram, so that of two gateways that ask at the same time at
least one learns of the other. Without an answer it goes by what it knows.
"""

import asyncio
import collections
from collections.abc import Callable, Mapping, Sequence
import enum
from typing import NamedTuple

from nutmegpost_core import dispatch
from nutmegpost_core import events
from nutmegpost_core import load_table
from nutmegpost_core import ownership
from nutmegpost_core import tracked_loads
from nutmegpost_router import log
from nutmegpost_router import ticks

__all__ = ["Entry", "EntryKind", "LoadQueries"]

# Time to wait for the answer of a tracker: some round trips between
# availability zones.
_ANSWER_TIMEOUT_S = 0.025
# Time for which a tracker that did not answer is not asked again.
_UNANSWERED_PAUSE_S = 1.0
# Endpoints whose load is asked for before one request is sent.
_QUERIES_MAX = 3
# Age up to which a known load is not asked for again, and up to which a low one
# is not: to exceed the bound it would have to double in that time.
_FRESH_S = 0.01
_FRESH_IF_LOW_S = 0.5
# Share of the bound up to which a load is low.
_LOW_SHARE = 0.5
# Interval at which changed parts are told to the trackers.
_TELL_INTERVAL_S = 0.2
# Interval at which unchanged parts are repeated to the trackers.
_REPEAT_INTERVAL_S = 1.0

# Endpoints whose tracker is remembered; names of endpoints are used once.
_TRACKERS_CACHED_MAX = 16_384


class EntryKind(enum.IntEnum):
    """Kind of an entry.

    Attributes:
        PART: The sender's part of the load.
        QUERY: The sender's part, and a request for an answer.
        ANSWER: The load but for the part of the gateway that asked.
    """

    PART = 0
    QUERY = 1
    ANSWER = 2


class Entry(NamedTuple):
    """One entry of a datagram.

    Attributes:
        kind: What the entry is.
        endpoint: Name of the endpoint.
        running: Requests in flight.
    """

    kind: EntryKind
    endpoint: str
    running: int


class LoadQueries:
    """Asks trackers for loads, and answers as the tracker of some endpoints."""

    def __init__(
        self,
        name: str,
        loads: load_table.LoadTable,
        send: Callable[[str, Sequence[Entry]], bool],
        is_active: Callable[[], bool],
    ):
        """Creates an instance that has been told nothing yet.

        Args:
            name: Name of this gateway.
            loads: Source of the own parts and target of the answers.
            send: Sends entries to a host; returns whether the byte budget
                allowed it.
            is_active: Returns whether the fleet is too large for reports to
                all peers; nothing is asked or told otherwise.
        """
        self._name = name
        self._loads = loads
        self._send = send
        self._tracked = tracked_loads.TrackedLoads()
        self._hosts: dict[str, str] = {}
        self._trackers: dict[str, str] = {}
        self._waiters: dict[str, set[asyncio.Future[None]]] = {}
        # Requests for which a load was asked and that were not sent yet.
        self._intended: collections.Counter[str] = collections.Counter()
        # Part and time that was last told of each endpoint.
        self._told: dict[str, tuple[int, float]] = {}
        self._unanswered_until: dict[str, float] = {}
        self._is_active = is_active

    def set_hosts(self, hosts: Mapping[str, str]) -> None:
        """Sets the hosts of all live gateways by name, this one included."""
        if self._hosts != hosts:
            self._hosts = dict(hosts)
            self._trackers.clear()

    async def learn(self, choose: Callable[[], dispatch.Choice | None]) -> None:
        """Learns the load of the endpoint that a request would be sent to.

        If that load makes another endpoint the choice, its load is asked for
        too.

        Args:
            choose: Chooses the endpoint by the loads that are known.
        """
        if not self._is_active():
            return
        for _ in range(_QUERIES_MAX):
            choice = choose()
            if choice is None or self._is_known_low(choice):
                return
            if not await self._ask(choice.endpoint.name):
                return

    def receive(self, peer: str, entries: Sequence[Entry]) -> None:
        """Applies the entries of a peer's datagram and answers its queries."""
        now = _now()
        answers = []
        for entry in entries:
            if entry.kind is EntryKind.ANSWER:
                self._record_answer(entry.endpoint, entry.running, now)
                continue
            self._record_part(entry.endpoint, peer, entry.running, now)
            if entry.kind is EntryKind.QUERY:
                others = self._tracked.others(entry.endpoint, peer)
                answers.append(Entry(EntryKind.ANSWER, entry.endpoint, others))
        host = self._hosts.get(peer)
        if answers and host is not None:
            self._send(host, answers)

    async def run(self) -> None:
        """Tells the trackers the own parts until it is cancelled."""
        while True:
            now = _now()
            await asyncio.sleep(ticks.next_tick(now, _TELL_INTERVAL_S) - now)
            self._tell()

    def _tell(self) -> None:
        """Tells the trackers the parts that changed or must be repeated."""
        now = _now()
        self._tracked.expire(now)
        if not self._is_active():
            self._told.clear()
            return
        by_tracker: dict[str, list[Entry]] = {}
        for endpoint in {*self._loads.own, *self._told}:
            running = self._part(endpoint)
            told, at = self._told.get(endpoint, (0, now))
            if running == told and now - at < _REPEAT_INTERVAL_S:
                continue
            tracker = self._tracker(endpoint)
            entry = Entry(EntryKind.PART, endpoint, running)
            by_tracker.setdefault(tracker, []).append(entry)
        for tracker, entries in by_tracker.items():
            if tracker == self._name:
                for entry in entries:
                    self._record_part(
                        entry.endpoint, tracker, entry.running, now
                    )
            elif not self._send(self._hosts[tracker], entries):
                continue
            for entry in entries:
                self._set_told(entry.endpoint, entry.running, now)

    def _is_known_low(self, choice: dispatch.Choice) -> bool:
        """Returns whether the load of the choice is surely below the bound."""
        age_s = self._loads.endpoint_age_s(choice.endpoint.name, _now())
        return (
            age_s is not None
            and age_s <= _FRESH_IF_LOW_S
            and choice.load.running < _LOW_SHARE * choice.bound
        )

    async def _ask(self, endpoint: str) -> bool:
        """Asks for the load of an endpoint.

        Returns:
            Whether it is news; False if the known load is fresh, or cannot be
            asked for.
        """
        now = _now()
        age_s = self._loads.endpoint_age_s(endpoint, now)
        tracker = self._tracker(endpoint)
        if (age_s is not None and age_s <= _FRESH_S) or not tracker:
            return False
        running = self._part(endpoint) + 1
        if tracker == self._name:
            self._record_part(endpoint, tracker, running, now)
            self._set_told(endpoint, running, now)
            return True
        if now < self._unanswered_until.get(tracker, now) or not self._send(
            self._hosts[tracker], [Entry(EntryKind.QUERY, endpoint, running)]
        ):
            return False
        self._set_told(endpoint, running, now)
        return await self._wait_for_answer(endpoint, tracker)

    async def _wait_for_answer(self, endpoint: str, tracker: str) -> bool:
        waiter: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        waiters = self._waiters.setdefault(endpoint, set())
        waiters.add(waiter)
        self._intended[endpoint] += 1
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                await waiter
        except TimeoutError:
            self._unanswered_until[tracker] = _now() + _UNANSWERED_PAUSE_S
            log.emit(events.LOAD_UNANSWERED, endpoint=endpoint, tracker=tracker)
            return False
        finally:
            waiters.discard(waiter)
            self._intended[endpoint] -= 1
            if not waiters:
                self._waiters.pop(endpoint, None)
                del self._intended[endpoint]
        return True

    def _part(self, endpoint: str) -> int:
        """Returns the own requests in flight and those about to be sent."""
        own = self._loads.own.get(endpoint, dispatch.Load()).running
        return own + self._intended[endpoint]

    def _set_told(self, endpoint: str, running: int, now: float) -> None:
        if running:
            self._told[endpoint] = running, now
        else:
            self._told.pop(endpoint, None)

    def _tracker(self, endpoint: str) -> str:
        """Returns the name of the tracker of an endpoint; empty for none."""
        tracker = self._trackers.get(endpoint, "")
        if not tracker and self._hosts:
            if len(self._trackers) >= _TRACKERS_CACHED_MAX:
                self._trackers.clear()
            tracker = ownership.owner(endpoint, list(self._hosts))
            self._trackers[endpoint] = tracker
        return tracker

    def _record_part(
        self, endpoint: str, gateway: str, running: int, now: float
    ) -> None:
        self._tracked.record(endpoint, gateway, running, now)
        if self._tracker(endpoint) != self._name:
            return
        others = self._tracked.others(endpoint, self._name)
        self._loads.record_peers_load(endpoint, others, now)

    def _record_answer(self, endpoint: str, others: int, now: float) -> None:
        self._loads.record_peers_load(endpoint, others, now)
        for waiter in self._waiters.get(endpoint, ()):
            if not waiter.done():
                waiter.set_result(None)


def _now() -> float:
    return asyncio.get_running_loop().time()
