"""Finds the software version that began a stream that a caller takes up.

Each gateway records what began the streams that it relays. While it is not
known of each service that one version alone has served recently, a few peers
keep the origin too, so that it is known after the loss of this gateway. A
gateway that does not know an origin asks these peers. Otherwise, the only
version that the service has had began the stream. The caches of endpoints tell
nothing: the prompt of a session is cached wherever a request of it ran.

A stream whose route has moved to another service has an origin at each service
that sent events of it.
"""

import asyncio
from collections.abc import Awaitable, Callable

import cbor2

from nutmegpost_core import calls
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import stream_origins
from nutmegpost_core import vms
from nutmegpost_router import http_client
from nutmegpost_router import http_server
from nutmegpost_router import log
from nutmegpost_router.gateway import origin_replicas
from nutmegpost_router.gateway import state

__all__ = ["OriginExchange"]

# Time to wait for the peers that may know an origin.
_ASK_TIMEOUT_S = 0.2
# Time to wait after a start until the peers are known.
_SYNC_WAIT_S = 1.5
# Age of the list of endpoints above which it may lack a new version.
_DIRECTORY_AGE_MAX_S = 1.0
_EXPIRY_INTERVAL_S = 10.0
_POLL_S = 0.02


class OriginExchange:
    """The origins of streams, shared with a few peers."""

    def __init__(
        self,
        local_state: state.State,
        client: http_client.Client,
        peers: origin_replicas.PeersByName,
        is_directory_current: Callable[[], Awaitable[bool]],
    ):
        """Creates an exchange that knows no origin.

        Args:
            local_state: State of the gateway.
            client: Connections to peers.
            peers: Returns the live peers by name.
            is_directory_current: Asks the platform whether the known list of
                endpoints is up to date.
        """
        self._state = local_state
        self._client = client
        self._peers = peers
        self._is_directory_current = is_directory_current
        self._directory_lock = asyncio.Lock()
        self._origins = stream_origins.StreamOrigins()
        self._replicas = origin_replicas.OriginReplicas(
            local_state.config["name"], self._origins, client, peers
        )
        # Whether peers are told origins, since several versions may serve.
        self._are_needed = False

    def record(self, call: calls.Call, software: str) -> None:
        """Records what began the stream of a call, or goes on with it.

        Args:
            call: The call; its caller can take the stream up.
            software: Version of the endpoint that sends the events; that of no
                endpoint if it is not known.
        """
        begun = call.resumed_attempt if call.resume_after else call.identity
        if not begun:
            return
        entry = stream_origins.OriginEntry(
            stream_origins.attempt_digest(begun),
            stream_origins.Origin(call.service, software),
            stream_origins.expiry(call),
        )
        self._origins.record(entry)
        since = stream_origins.earliest_begin(call)
        versions = self._state.versions
        # All gateways know the only version that has served, whichever service
        # the route leads to by then.
        if (
            not versions.has_sole_versions(since)
            or versions.sole_version(call.service, since) != software
        ):
            self._replicas.tell([entry.attempt])

    def update_versions(self, now: float) -> None:
        """Tells peers all origins once they are needed.

        They are needed while it is not known that one version alone has served
        each service: another has joined, or endpoints may have come and gone
        unnoticed. The route of a stream may lead to any service when its caller
        takes it up.

        Args:
            now: Monotonic time, seconds.
        """
        was_needed = self._are_needed
        self._are_needed = not self._state.versions.has_sole_versions(
            now - stream_origins.TAKE_UP_S
        )
        if self._are_needed and not was_needed:
            self._replicas.tell(self._origins.attempts())

    async def find(self, call: calls.Call) -> stream_origins.Origin | None:
        """Returns where the stream that a call takes up goes on.

        Returns:
            A service of the route and the only version there that can run the
            call; None if they are not known.
        """
        origin, source = await self._find(call)
        log.emit(
            events.STREAM_TAKEN_UP,
            request=call.identity,
            resumes=call.resumed_attempt,
            service=origin.service if origin else "",
            software=origin.software if origin else "",
            source=source,
        )
        return origin

    async def _find(
        self, call: calls.Call
    ) -> tuple[stream_origins.Origin | None, str]:
        if call.resumed_attempt:
            known = self._known(call)
            if known is not None:
                return known, "record"
        # After a start, this gateway knows its peers when it is synced.
        until = _now() + _SYNC_WAIT_S
        while not self._state.caches_synced and _now() < until:
            await asyncio.sleep(_POLL_S)
        if call.resumed_attempt:
            has_answer = await self._ask_holders(call)
            known = self._known(call)
            if known is not None:
                return known, "peer"
            moved = self._choose_after_move(call)
            if moved is not None:
                return moved, "another service"
            if not has_answer and await self._may_lack_version():
                return None, "out of step"
        software = self._state.versions.sole_version(
            call.service, stream_origins.earliest_begin(call)
        )
        if software is not None:
            return stream_origins.Origin(call.service, software), "directory"
        return None, "nothing"

    def _known(self, call: calls.Call) -> stream_origins.Origin | None:
        """Returns the known origin of a stream at a service of its route."""
        services = {share.service for share in call.route.shares}
        attempt = stream_origins.attempt_digest(call.resumed_attempt)
        for entry in self._origins.find(attempt):
            if entry.origin.service in services:
                return entry.origin
        return None

    def _choose_after_move(
        self, call: calls.Call
    ) -> stream_origins.Origin | None:
        """Returns where a stream goes on whose route has moved.

        Returns:
            A version of the service of the call; None if no origin of the
            stream is known.
        """
        attempt = stream_origins.attempt_digest(call.resumed_attempt)
        origins = [entry.origin for entry in self._origins.find(attempt)]
        if not origins:
            return None
        usable = self._state.usable(call.service)
        uncertain = self._state.versions.uncertain(usable, _now())
        versions = {
            endpoint.name: endpoint.software
            for endpoint in usable
            if endpoint.name not in uncertain
        }
        if not versions:
            # No endpoint can take the call.
            return origins[0]._replace(service=call.service)
        return stream_origins.Origin(
            call.service,
            stream_origins.version_after_move(attempt, origins, versions),
        )

    async def _may_lack_version(self) -> bool:
        """Returns whether a version may have joined without being noticed.

        Its streams can have begun at the peers, of which none answers.
        """
        if not self._peers():
            return False
        # Those that wait for the lock find the directory read.
        async with self._directory_lock:
            asked_at = _now()
            age_s = asked_at - self._state.directory_read_at
            if age_s <= _DIRECTORY_AGE_MAX_S:
                return False
            if not await self._is_directory_current():
                return True
            self._state.directory_read_at = asked_at
            return False

    # Peers.

    async def run(self) -> None:
        """Tells peers what they lack, until it is cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._replicas.run())
            group.create_task(self._expire())

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            self._origins.expire(_now())
            self._replicas.retain()

    async def handle(
        self, request: http_server.Request
    ) -> http_server.Response:
        """Answers a peer that tells origins, or asks for one."""
        try:
            if request.method == "POST":
                self._merge(request.body)
                return http_server.Response(200, [], b"")
            attempt = bytes.fromhex(request.target.partition("?")[2])
        except (cbor2.CBORDecodeError, TypeError, ValueError) as caught:
            log.emit(
                events.DATAGRAM_MALFORMED,
                source="origins of streams",
                reason=str(caught),
            )
            return http_server.Response(400, [], b"")
        entries = self._origins.find(attempt)
        if not entries:
            return http_server.Response(404, [], b"")
        return http_server.Response(200, [], origin_replicas.encode(entries))

    def _merge(self, body: bytes) -> None:
        entries = origin_replicas.decode(body)
        for entry in entries:
            self._origins.record(entry)
        self._replicas.record_told([entry.attempt for entry in entries])

    async def _ask_holders(self, call: calls.Call) -> bool:
        """Records what the peers know that may know the origin of a stream.

        It ends once the origin at a service of the route is known.

        Returns:
            Whether any peer answered.
        """
        has_answer = False
        attempt = stream_origins.attempt_digest(call.resumed_attempt)
        questions = [
            asyncio.create_task(self._ask(name, address, attempt))
            for name, address in self._replicas.holders(attempt).items()
        ]
        try:
            for answer in asyncio.as_completed(
                questions, timeout=_ASK_TIMEOUT_S
            ):
                entries = await answer
                has_answer = has_answer or entries is not None
                for entry in entries or []:
                    self._origins.record(entry)
                if self._known(call) is not None:
                    break
        except TimeoutError:
            log.emit(
                events.ORIGINS_UNSENT,
                peer="all",
                reason="no answer about the origin of a stream in time",
            )
        finally:
            for question in questions:
                question.cancel()
        return has_answer

    async def _ask(
        self, name: str, address: vms.Address, attempt: bytes
    ) -> list[stream_origins.OriginEntry] | None:
        """Returns what a peer knows; None if it did not answer."""
        try:
            answer = await self._client.request(
                address, "GET", f"{origin_replicas.PATH}?{attempt.hex()}", {}
            )
            return (
                origin_replicas.decode(answer.body)
                if answer.status == 200
                else []
            )
        except errors.PeerError as caught:
            log.emit(events.ORIGINS_UNSENT, peer=name, reason=str(caught))
            return None
        except (cbor2.CBORDecodeError, TypeError, ValueError) as caught:
            log.emit(events.DATAGRAM_MALFORMED, source=name, reason=str(caught))
            return None


def _now() -> float:
    return asyncio.get_running_loop().time()
