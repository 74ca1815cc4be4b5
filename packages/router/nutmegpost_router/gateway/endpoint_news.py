"""Gossip between gateways about what endpoints say of themselves."""

from collections.abc import Callable

from nutmegpost_core import dissemination
from nutmegpost_core import events
from nutmegpost_core import ratelimits
from nutmegpost_core import roster
from nutmegpost_router import gossip
from nutmegpost_router import log
from nutmegpost_router.gateway import state

__all__ = ["EndpointNews"]

# Time for which peers tell each other that an endpoint leaves.
_LEAVING_LIFETIME_S = 60.0


class EndpointNews:
    """Publishes what endpoints say here, and applies what they say to peers."""

    def __init__(
        self,
        local_state: state.State,
        publish: Callable[[gossip.Publish], None],
    ):
        """Publishes the news of a state from now on.

        Args:
            local_state: State of the gateway.
            publish: Publishes an item to the peers.
        """
        self._state = local_state
        self._publish = publish
        local_state.on_rate_limit = self._publish_rate_limit
        local_state.on_leaving = self._publish_leaving
        local_state.cold.on_cold = self._publish_cold

    def receive(self, item: gossip.ItemReceived) -> bool:
        """Applies an item of a peer; returns whether it was such news."""
        try:
            if item.kind is dissemination.Kind.ENDPOINT_LIMIT:
                requests_per_s = float(item.payload) if item.payload else None
                self._state.apply_peer_rate_limit(
                    item.key.decode(), requests_per_s
                )
                return True
            if item.kind is dissemination.Kind.ENDPOINT_COLD:
                self._state.cold.apply_peer(item.key.decode(), item.expires)
                return True
            if item.kind is dissemination.Kind.ENDPOINT_LEAVING:
                self._state.apply_peer_leaving(
                    item.key.decode(), int(item.payload)
                )
                return True
        except ValueError as caught:
            log.emit(
                events.DATAGRAM_MALFORMED,
                source="news of an endpoint",
                reason=str(caught),
            )
            return True
        return False

    def _publish_rate_limit(
        self, endpoint: str, requests_per_s: float | None
    ) -> None:
        """Tells the peers the limit that an endpoint named, or its end."""
        text = "" if requests_per_s is None else str(requests_per_s)
        self._publish(
            gossip.Publish(
                dissemination.Kind.ENDPOINT_LIMIT,
                endpoint.encode(),
                text.encode(),
                ratelimits.LIMIT_LIFETIME_S,
            )
        )

    def _publish_cold(self, endpoint: str, remaining_s: float) -> None:
        """Tells the peers for how long an endpoint stays cold.

        The item expires when the endpoint is warm.
        """
        self._publish(
            gossip.Publish(
                dissemination.Kind.ENDPOINT_COLD,
                endpoint.encode(),
                b"",
                remaining_s,
            )
        )

    def _publish_leaving(self, endpoint: roster.Endpoint) -> None:
        """Tells the peers that an endpoint said that it leaves."""
        self._publish(
            gossip.Publish(
                dissemination.Kind.ENDPOINT_LEAVING,
                endpoint.name.encode(),
                str(endpoint.started_ms).encode(),
                _LEAVING_LIFETIME_S,
            )
        )
