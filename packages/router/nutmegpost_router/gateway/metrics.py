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
        self._waiting = meters.gauge(
            "nutmegpost_gateway_waiting",
            "Requests that wait at this gateway for room at an endpoint.",
            registry=self._registry,
        )
        self._contention_refused = meters.counter(
            "nutmegpost_gateway_contention_refused",
            "Requests refused because demand exceeds the capacity.",
            ["reason"],
            registry=self._registry,
        )
        self._wait = meters.histogram(
            "nutmegpost_gateway_wait_seconds",
            "Time for which requests waited for room at an endpoint.",
            ["result"],
            buckets=_BUCKETS_S,
            registry=self._registry,
        )
        self._speeds_refused = meters.counter(
            "nutmegpost_gateway_speeds_refused",
            "Responses with a wrong figure of the speed of their endpoint.",
            registry=self._registry,
        )
        self._hedges = meters.counter(
            "nutmegpost_gateway_hedges",
            "Second attempts that were sent or refused.",
            ["service", "result"],
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

        self._reads_platform = meters.gauge(
            "nutmegpost_gateway_reads_platform",
            "Whether the gateway reads the platform itself.",
            registry=self._registry,
        )
        self._reader_polls = meters.counter(
            "nutmegpost_gateway_reader_polls",
            "Polls of the readers of the platform.",
            ["result"],
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

    def speed_refused(self) -> None:
        """Counts a response with a wrong figure of its endpoint's speed."""
        self._speeds_refused.labels().inc()

    def hedge_ended(self, service: str, result: str) -> None:
        """Counts a second attempt that ended, or was refused.

        Args:
            service: The service of the request.
            result: How it ended, or why there was none.
        """
        self._hedges.labels(service, result).inc()

    def first_event(self, route: str, seconds: float) -> None:
        """Records the time to the first event of a stream."""
        self._first_event.labels(route).observe(seconds)

    def load_reported(self, excess: int) -> None:
        """Records by how many requests a load exceeds its estimate.

        Args:
            excess: Load that an endpoint reported, less the estimate.
        """
        self._load_error.labels().observe(max(0, excess))

    def set_waiting(self, count: int) -> None:
        """Sets the number of requests that wait for room."""
        self._waiting.set(count)

    def contention_refused(self, reason: str) -> None:
        """Counts a request that was refused for lack of capacity."""
        self._contention_refused.labels(reason).inc()

    def wait_ended(self, result: str, seconds: float) -> None:
        """Records how long a request waited for room, and how that ended."""
        self._wait.labels(result).observe(seconds)

    def set_configuration_version(self, version: int) -> None:
        """Sets the version of the active configuration."""
        self._configuration.set(version)

    def set_endpoint_count(self, count: int) -> None:
        """Sets the number of known endpoints, including draining ones."""
        self._endpoints.set(count)

    def set_reads_platform(self, reads: bool) -> None:
        """Sets whether the gateway reads the platform itself."""
        self._reads_platform.set(reads)

    def reader_polled(self, result: str) -> None:
        """Counts a poll of a reader by its result, `news` or `none`."""
        self._reader_polls.labels(result).inc()

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return self._registry.render()
