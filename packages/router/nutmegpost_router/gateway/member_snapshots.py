"""Snapshots of the membership, for gateways that join a large fleet.

Membership datagrams stay within a byte budget, so that a fleet of 300 that
starts at one moment takes 70 s until all know one another. A gateway that
starts therefore asks a few gateways for all members that they know, over
their control addresses. In a small fleet the datagrams suffice, and the answer
is empty.
"""

import asyncio
from collections.abc import Callable, Iterable
import hmac
import random

import cbor2

from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import member_table
from nutmegpost_core import membership
from nutmegpost_core import vms
from nutmegpost_router import http_client
from nutmegpost_router import http_server
from nutmegpost_router import log

__all__ = ["PATH", "MemberSnapshots"]

PATH = "/members"
# Times after the start at which a gateway asks, seconds. Gateways that start
# together are known to the seeds after about half a second.
_REQUEST_TIMES_S = (0.4, 1.0, 2.0, 4.0, 8.0)
# Share of these times by which gateways that start together ask apart.
_JITTER = 0.3
_TIMEOUT_S = 0.5
# Longest wait for the first answer.
_FIRST_WAIT_S = 1.0
_MAC_BYTES = 16
_MAC_PURPOSE = b"nutmegpost members"
# Fields of a member in a snapshot; later versions may add more.
_FIELD_COUNT = 7


class MemberSnapshots:
    """The task that asks for snapshots at the start, and answers others."""

    def __init__(
        self,
        members: membership.Membership,
        client: http_client.Client,
        peer_key: str,
        large_fleet_gateways: int,
        addresses: Callable[[], list[vms.Address]],
        add_members: Callable[[list[membership.Member]], None],
        rng: random.Random,
    ):
        """Creates the task.

        Args:
            members: Membership of the gateways, which is only read.
            client: Connections to peers.
            peer_key: Secret shared by the gateways.
            large_fleet_gateways: Number of gateways above which a fleet is
                large; 0 if none is, and then nothing is asked.
            addresses: Returns the control addresses of the peers.
            add_members: Adds the members of a snapshot to the membership.
            rng: Chooses the peers to ask.
        """
        self._members = members
        self._client = client
        self._key = hmac.digest(peer_key.encode(), _MAC_PURPOSE, "sha256")
        self._large_fleet_gateways = large_fleet_gateways
        self._addresses = addresses
        self._add_members = add_members
        self._rng = rng
        self._is_first_answered = asyncio.Event()

    async def wait_for_first(self) -> None:
        """Waits until the first snapshot has been asked for, if any is."""
        if self._large_fleet_gateways and self._addresses():
            try:
                async with asyncio.timeout(_FIRST_WAIT_S):
                    await self._is_first_answered.wait()
            except TimeoutError:
                return

    def handle(self) -> http_server.Response:
        """Answers with all live members, or with nothing in a small fleet."""
        live = [
            member
            for member in self._members.members.values()
            if member_table.is_live(member)
        ]
        if not 0 < self._large_fleet_gateways < len(live):
            return http_server.Response(200, [], b"")
        body = cbor2.dumps([_encode(member) for member in live])
        return http_server.Response(200, [], body + self._mac(body))

    async def run(self) -> None:
        """Asks a few peers, one after the other, for their snapshots."""
        if not self._large_fleet_gateways:
            return
        loop = asyncio.get_running_loop()
        started = loop.time()
        for seconds in _REQUEST_TIMES_S:
            at = started + seconds * self._rng.uniform(1 - _JITTER, 1 + _JITTER)
            await asyncio.sleep(at - loop.time())
            addresses = self._addresses()
            if addresses:
                await self._request(self._rng.choice(addresses))
                self._is_first_answered.set()

    async def _request(self, address: vms.Address) -> None:
        try:
            answer = await self._client.request(
                address, "GET", PATH, {}, timeout_s=_TIMEOUT_S
            )
        except errors.PeerError as caught:
            log.emit(
                events.PEER_READ_FAILED, peer=str(address), reason=str(caught)
            )
            return
        if answer.status != 200 or not answer.body:
            # The peer knows a small fleet, or is of an earlier version.
            return
        body, mac = answer.body[:-_MAC_BYTES], answer.body[-_MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(body)):
            log.emit(events.DATAGRAM_FORGED, source=str(address))
            return
        try:
            received = _decode(cbor2.loads(body))
        except (cbor2.CBORDecodeError, TypeError, ValueError) as caught:
            log.emit(
                events.DATAGRAM_MALFORMED,
                source=str(address),
                reason=str(caught),
            )
            return
        known = len(self._members.alive)
        self._add_members(received)
        log.emit(
            events.MEMBERS_RECEIVED,
            peer=str(address),
            received=len(received),
            known=known,
        )

    def _mac(self, body: bytes) -> bytes:
        return hmac.digest(self._key, body, "sha256")[:_MAC_BYTES]


def _encode(member: membership.Member) -> list[object]:
    return [
        member.name,
        member.incarnation,
        member.revision,
        str(member.state),
        member.public_address,
        member.peer_address,
        member.zone,
    ]


def _decode(
    encoded: Iterable[list[object]],
) -> list[membership.Member]:
    """Decodes the members of a snapshot.

    Raises:
        TypeError: A field has another type.
        ValueError: A field is missing, or its value is invalid.
    """
    decoded = []
    for fields in encoded:
        name, incarnation, revision, state, public, peer, zone = fields[
            :_FIELD_COUNT
        ]
        for address in (public, peer):
            vms.parse_address(str(address))
        decoded.append(
            membership.Member(
                str(name),
                int(incarnation),  # type: ignore[call-overload]
                str(public),
                str(peer),
                str(zone),
                membership.State(str(state)),
                int(revision),  # type: ignore[call-overload]
            )
        )
    return decoded
