"""Sends requests through peers while no endpoint can be reached from here.

The peer gets the request as its caller sent it, with a field that proves that a
gateway relays it. It sends it to endpoints itself and never through another
peer, so a request takes at most one detour.
"""

import asyncio
from collections.abc import Callable
import hmac
from typing import NamedTuple

from nutmegpost_core import catalog
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import vms
from nutmegpost_router import http_client
from nutmegpost_router import http_server
from nutmegpost_router import log
from nutmegpost_router.gateway import pending_request
from nutmegpost_router.gateway import ports
from nutmegpost_router.gateway import sending

__all__ = ["Peer", "PeerRelay"]

_CONTEXT = b"nutmegpost relay"
# Peers that are tried for one request.
_PEERS_TRIED_MAX = 4
# Time for which a peer that did not take a request is tried last.
_DECLINED_PAUSE_S = 1.0
# Longest idle time of a connection that is reused; it may carry a request that
# must not be repeated.
_IDLE_LIMIT_S = 0.5
# Statuses with which a gateway promises that the request has not run.
_NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])
# Refusals by a configuration that differs from the one in force here.
_UNKNOWN_NAME_STATUSES = frozenset([401, 403, 404])


class Peer(NamedTuple):
    """A gateway that may reach endpoints.

    Attributes:
        name: Its name.
        address: Its address for callers.
    """

    name: str
    address: vms.Address


class PeerRelay:
    """Sends requests through peers, and recognizes those that peers sent."""

    def __init__(
        self,
        protocols: ports.Ports,
        client: http_client.Client,
        key: str,
        peers: Callable[[], list[Peer]],
    ):
        """Creates a relay.

        Args:
            protocols: Protocol implementations of the deployment.
            client: Connections to peers.
            key: Secret shared by the gateways.
            peers: Returns the live peers, those to try first in front.
        """
        self._protocols = protocols
        self._client = client
        self._key = hmac.digest(key.encode(), _CONTEXT, "sha256")
        self._peers = peers
        self._declined_until: dict[str, float] = {}

    def has_peer(self) -> bool:
        """Returns whether a live peer is known."""
        return bool(self._peers())

    def is_relayed(self, request: http_server.Request, identity: str) -> bool:
        """Returns whether a peer relays a request.

        Args:
            request: The request.
            identity: Its identity.
        """
        proof = request.headers.get(ports.RELAY_FIELD, "")
        return hmac.compare_digest(proof.encode(), self._proof(identity))

    async def send(
        self,
        pending: pending_request.PendingRequest,
        may_send_again: Callable[[], bool],
    ) -> sending.AttemptResult:
        """Sends a request through the first peer that takes it.

        Args:
            pending: The request.
            may_send_again: Spends a repeat and returns whether it may be sent.

        Returns:
            How the request ended; NOT_RUN if no peer took it.
        """
        now = _now()
        peers = sorted(
            self._peers(),
            key=lambda peer: now < self._declined_until.get(peer.name, now),
        )
        result = sending.AttemptResult(
            sending.AttemptEnd.NOT_RUN, "no peer can be reached"
        )
        for peer in peers[:_PEERS_TRIED_MAX]:
            if pending.has_arrived and not may_send_again():
                reason = f"{result.reason}; no retry is left in the budget"
                return result._replace(reason=reason)
            result = await self._send_to(peer, pending)
            if result.end is not sending.AttemptEnd.NOT_RUN:
                break
            # Endpoints may have rejected what a peer says has not run.
            if not result.is_unreachable:
                pending.has_arrived = True
            self._declined_until[peer.name] = _now() + _DECLINED_PAUSE_S
        return result

    async def _send_to(
        self, peer: Peer, pending: pending_request.PendingRequest
    ) -> sending.AttemptResult:
        call = pending.call
        request = pending.exchange.request
        remaining_s = max(0.0, call.deadline - _now())
        log.emit(
            events.REQUEST_THROUGH_PEER,
            request=call.identity,
            peer=peer.name,
            left_ms=round(remaining_s * 1000),
        )
        fields = self._protocols.caller_protocol.relay_fields(
            request.fields, remaining_s
        )
        fields = [field for field in fields if field[0] != ports.RELAY_FIELD]
        fields.append((ports.RELAY_FIELD, self._proof(call.identity).decode()))
        try:
            stream = await self._client.stream(
                peer.address,
                request.method,
                request.target,
                fields,
                request.body,
                remaining_s,
                idle_limit_s=_IDLE_LIMIT_S,
            )
        except http_client.ConnectError as caught:
            return sending.AttemptResult(
                sending.AttemptEnd.NOT_RUN, str(caught), is_unreachable=True
            )
        except http_client.ExchangeError as caught:
            return sending.AttemptResult(sending.AttemptEnd.LOST, str(caught))
        try:
            return await self._read(peer, pending, stream)
        except BaseException:
            stream.abort()
            raise

    async def _read(
        self,
        peer: Peer,
        pending: pending_request.PendingRequest,
        stream: http_client.Stream,
    ) -> sending.AttemptResult:
        call = pending.call
        head = self._protocols.endpoint_protocol.read_response_head(
            call, stream.status, stream.fields
        )
        if head.verdict is not ports.Verdict.RUN:
            stream.abort()
            end = sending.AttemptEnd.LOST
            if stream.status in _NOT_RUN_STATUSES | _UNKNOWN_NAME_STATUSES:
                end = sending.AttemptEnd.NOT_RUN
            return sending.AttemptResult(
                end, f"{peer.name} answered {stream.status}"
            )
        try:
            if call.route.kind is catalog.RequestKind.STREAM:
                await self._copy(pending, stream, head)
            else:
                body = await stream.read_all(max(0.0, call.deadline - _now()))
                pending.exchange.send(
                    http_server.Response(stream.status, head.fields, body)
                )
        except errors.PeerError as caught:
            stream.abort()
            return sending.AttemptResult(sending.AttemptEnd.LOST, str(caught))
        stream.close_with_idle_timeout(head.idle_s)
        log.emit(
            events.REQUEST_ANSWERED,
            request=call.identity,
            route=call.route.name,
            endpoint=f"peer {peer.name}",
            status=pending.exchange.status,
            attempts=pending.attempts,
            after_ms=round((_now() - call.received) * 1000),
        )
        return sending.AttemptResult(sending.AttemptEnd.ANSWERED)

    async def _copy(
        self,
        pending: pending_request.PendingRequest,
        stream: http_client.Stream,
        head: ports.ResponseHead,
    ) -> None:
        """Relays a stream; the peer has checked its events.

        Raises:
            errors.PeerError: The stream failed.
        """
        exchange = pending.exchange

        def write(data: bytes) -> http_client.Consumed:
            if not exchange.started:
                exchange.start(stream.status, head.fields)
            exchange.write(data)
            if not exchange.writable:
                return http_client.Consumed.FULL
            # Progress would extend the time beyond the deadline.
            return http_client.Consumed.NOTHING

        while not await stream.consume(
            write, max(0.0, pending.call.deadline - _now())
        ):
            await pending.drain()
        if not exchange.started:
            exchange.start(stream.status, head.fields)
        exchange.finish()

    def _proof(self, identity: str) -> bytes:
        proof = hmac.digest(self._key, identity.encode(), "sha256")
        return proof.hex().encode()


def _now() -> float:
    return asyncio.get_running_loop().time()
