"""Metrics of a gateway, in a registry of its own.

docs/METRICS.md explains each metric.
"""

from typing import TYPE_CHECKING

from nutmegpost_router.gateway import meters

if TYPE_CHECKING:
    import prometheus_client

__all__ = ["CONTENT_TYPE", "GatewayMetrics"]

CONTENT_TYPE = meters.CONTENT_TYPE
_BUCKETS_REQUESTS = (0, 1, 2, 4, 8, 16, 32)
_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.5, 0.8, 1.0, 2.5, 5.0, 10.0)


class GatewayMetrics:
    """The counters, histograms and gauges of one gateway."""

    def __init__(self) -> None:
        self._registry = meters.Registry()
        self._requests = meters.counter(
            "nutmegpost_gateway_requests",
            "Requests that ended.",
            ["route", "code"],
            registry=self._registry,
        )
        self._attempts = meters.counter(
            "nutmegpost_gateway_attempts_failed",
            "Sends to endpoints that did not bring an answer.",
            ["end"],
            registry=self._registry,
        )
        self._notices = meters.counter(
            "nutmegpost_gateway_endpoint_notices",
            "Responses in which endpoints said that they leave or pause.",
            ["notice"],
            registry=self._registry,
        )
        self._first_event = meters.histogram(
            "nutmegpost_gateway_first_event_seconds",
            "Time from the receipt of a request to its first event.",
            ["route"],
            buckets=_BUCKETS_S,
            registry=self._registry,
        )
        self._through_peers = meters.counter(
            "nutmegpost_gateway_sent_through_peers",
            "Requests sent through a peer as no endpoint could be reached.",
            ["end"],
            registry=self._registry,
        )
        self._repeats = meters.counter(
            "nutmegpost_gateway_repeats",
            "Decisions of the retry budget on sending a request again.",
            ["service", "decision"],
            registry=self._registry,
        )
        self._resolutions = meters.counter(
            "nutmegpost_gateway_resolutions",
            "Responses with addresses selected by zone and capacity.",
            ["zone"],
            registry=self._registry,
        )
        self._load_error = meters.histogram(
            "nutmegpost_gateway_load_error_requests",
            "Requests by which the reported load exceeds the estimate.",
            buckets=_BUCKETS_REQUESTS,
            registry=self._registry,
        )
        self._configuration = meters.gauge(
            "nutmegpost_gateway_configuration_version",
            "Version of the configuration in force.",
            registry=self._registry,
        )
        self._endpoints = meters.gauge(
            "nutmegpost_gateway_endpoints",
            "Endpoints known, those that leave included.",
            registry=self._registry,
        )

    @property
    def registry(self) -> "prometheus_client.CollectorRegistry":
        """The registry of the Prometheus library that holds the metrics."""
        return self._registry.prometheus

    def addresses_selected(self, result: str) -> None:
        """Counts a response with addresses by whose they were."""
        self._resolutions.labels(result).inc()

    def request_ended(self, route: str, code: str) -> None:
        """Counts a request by its route and its result code.

        Args:
            route: Name of the route; empty if none matched.
            code: Error code, or `answered`.
        """
        self._requests.labels(route, code).inc()

    def attempt_failed(self, end: str) -> None:
        """Counts a failed attempt by how it ended."""
        self._attempts.labels(end).inc()

    def sent_through_peer(self, end: str) -> None:
        """Counts a request sent through a peer by how it ended."""
        self._through_peers.labels(end).inc()

    def repeat_decided(self, service: str, is_allowed: bool) -> None:
        """Counts a decision of the retry budget.

        Args:
            service: The service of the request.
            is_allowed: Whether the request may be sent again.
        """
        decision = "allowed" if is_allowed else "refused"
        self._repeats.labels(service, decision).inc()

    def notice_received(self, notice: str) -> None:
        """Counts a response by what the endpoint said of itself."""
        self._notices.labels(notice).inc()

    def first_event(self, route: str, seconds: float) -> None:
        """Records the time to the first event of a stream."""
        self._first_event.labels(route).observe(seconds)

    def load_reported(self, excess: int) -> None:
        """Records by how many requests a load exceeds its estimate.

        Args:
            excess: Load that an endpoint reported, less the estimate.
        """
        self._load_error.labels().observe(max(0, excess))

    def set_configuration_version(self, version: int) -> None:
        """Sets the version of the active configuration."""
        self._configuration.set(version)

    def set_endpoint_count(self, count: int) -> None:
        """Sets the number of known endpoints, including draining ones."""
        self._endpoints.set(count)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return self._registry.render()
