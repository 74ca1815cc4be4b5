"""Prometheus metrics of a router, in a registry of its own.

docs/METRICS.md explains each metric. Label values come from the configuration
and from the code, never from a request, so their number is bounded.
"""

import bisect
from collections.abc import Collection, Iterable, Mapping
import itertools

import prometheus_client
from prometheus_client import core as prometheus_core
from prometheus_client import registry as prometheus_registry

__all__ = [
    "CONTENT_TYPE",
    "FIRST_TOKEN_BUCKETS_S",
    "INTER_TOKEN_BUCKETS_S",
    "Metrics",
]

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST

FIRST_TOKEN_BUCKETS_S = (
    0.02,
    0.05,
    0.1,
    0.2,
    0.3,
    0.4,
    0.49,
    0.75,
    1.0,
    2.0,
    5.0,
    15.0,
    60.0,
)
INTER_TOKEN_BUCKETS_S = (
    0.005,
    0.01,
    0.02,
    0.03,
    0.04,
    0.06,
    0.1,
    0.2,
    0.5,
    1.0,
    5.0,
)

_INTER_TOKEN_NAME = "nutmegpost_between_tokens_seconds"
_INTER_TOKEN_HELP = "Time between two tokens of an answer."


class _InterTokenCollector(prometheus_registry.Collector):
    """Histogram of the time between tokens.

    prometheus_client.Histogram takes a lock and walks its buckets on each
    observation, which costs too much for every token.
    """

    def __init__(self) -> None:
        self._counts: dict[str, list[int]] = {}
        self._sums: dict[str, float] = {}

    def observe(self, work_class: str, seconds: float, count: int) -> None:
        counts = self._counts.get(work_class)
        if counts is None:
            counts = [0] * (len(INTER_TOKEN_BUCKETS_S) + 1)
            self._counts[work_class] = counts
            self._sums[work_class] = 0.0
        counts[bisect.bisect_left(INTER_TOKEN_BUCKETS_S, seconds)] += count
        self._sums[work_class] += seconds * count

    def collect(self) -> Iterable[prometheus_core.Metric]:
        family = prometheus_core.HistogramMetricFamily(
            _INTER_TOKEN_NAME, _INTER_TOKEN_HELP, labels=["class"]
        )
        bounds = [*(str(bound) for bound in INTER_TOKEN_BUCKETS_S), "+Inf"]
        for work_class, counts in self._counts.items():
            cumulative_counts = itertools.accumulate(counts)
            buckets = list(zip(bounds, cumulative_counts, strict=True))
            family.add_metric(
                [work_class], buckets=buckets, sum_value=self._sums[work_class]
            )
        yield family


class Metrics:
    """The counters, histograms and gauges of one router."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        prometheus_client.ProcessCollector(registry=self._registry)
        self._endpoints: set[str] = set()
        self._control_totals: dict[str, int] = {}
        self._inter_token = _InterTokenCollector()
        self._registry.register(self._inter_token)
        self._requests = self._counter(
            "nutmegpost_requests",
            "Requests that ended.",
            ["class", "outcome", "code"],
        )
        self._first_token = prometheus_client.Histogram(
            "nutmegpost_first_token_seconds",
            "Time from the receipt of a request to its first token.",
            ["class"],
            buckets=FIRST_TOKEN_BUCKETS_S,
            registry=self._registry,
        )
        self._tokens = self._counter(
            "nutmegpost_tokens_relayed", "Tokens sent to callers.", []
        )
        self._frames_dropped = self._counter(
            "nutmegpost_frames_dropped",
            "Frames that belonged to no running attempt or came out of order.",
            ["reason"],
        )
        self._prompt_tokens = self._counter(
            "nutmegpost_prompt_tokens", "Tokens of prompts.", ["model"]
        )
        self._cached_tokens = self._counter(
            "nutmegpost_cached_tokens",
            "Tokens of prompts that an engine found in its cache.",
            ["model"],
        )
        self._retries = self._counter(
            "nutmegpost_retries", "Requests tried on another engine.", []
        )
        self._resumptions = self._counter(
            "nutmegpost_resumptions",
            "Streams resumed on a new connection.",
            ["leg"],
        )
        self._permits = self._counter(
            "nutmegpost_permits", "Permits, by what became of them.", ["event"]
        )
        self._control_bytes = self._counter(
            "nutmegpost_control_bytes",
            "Bytes of control traffic sent to peers and endpoints.",
            ["kind"],
        )
        self._invariants = self._counter(
            "nutmegpost_invariants_violated",
            "Invariants found violated, by number of the event.",
            ["event"],
        )
        self._faults = self._counter(
            "nutmegpost_faults",
            "Unexpected errors that a handler or a task survived.",
            ["where"],
        )
        self._waiting = self._gauge(
            "nutmegpost_endpoint_waiting",
            "Requests queued for an endpoint that this router owns.",
            ["endpoint"],
        )
        self._in_flight = self._gauge(
            "nutmegpost_endpoint_in_flight",
            "Requests running on an endpoint that this router owns.",
            ["endpoint"],
        )
        self._configuration = self._gauge(
            "nutmegpost_configuration_version",
            "Version of the configuration in force.",
            [],
        )

    @property
    def registry(self) -> prometheus_client.CollectorRegistry:
        """The registry that holds the metrics."""
        return self._registry

    def request_ended(self, work_class: str, outcome: str, code: str) -> None:
        """Counts a request that ended.

        Args:
            work_class: Configured class of the request; the service name for
                a call to a plain service; empty when it has none.
            outcome: Whether the request ran, a value of `errors.Outcome`.
            code: Error code; empty when the request was answered.
        """
        self._requests.labels(work_class, outcome, code).inc()

    def first_token(self, work_class: str, seconds: float) -> None:
        """Records the time from a request to its first token, seconds."""
        self._first_token.labels(work_class).observe(seconds)

    def tokens_relayed(
        self, work_class: str, interval_s: float, count: int = 1
    ) -> None:
        """Records tokens that were sent to a caller together.

        Args:
            work_class: Class of the request.
            interval_s: Time since the previous tokens, seconds; divided evenly
                among the tokens.
            count: Number of tokens.
        """
        self._tokens.inc(count)
        self._inter_token.observe(work_class, interval_s / count, count)

    def frame_dropped(self, reason: str) -> None:
        """Counts a dropped frame; `reason` must be a constant."""
        self._frames_dropped.labels(reason).inc()

    def prompt_tokens_used(self, model: str, prompt: int, cached: int) -> None:
        """Counts the prompt tokens of a request, and the cached ones."""
        self._prompt_tokens.labels(model).inc(prompt)
        self._cached_tokens.labels(model).inc(cached)

    def retried(self) -> None:
        """Counts a request that was retried on another engine."""
        self._retries.inc()

    def resumed(self, leg: str) -> None:
        """Counts a stream that was resumed on a new connection to `leg`."""
        self._resumptions.labels(leg).inc()

    def permit_event(self, event: str) -> None:
        """Counts an event of a permit; `event` must be a constant."""
        self._permits.labels(event).inc()

    def control_sent(self, kind: str, size: int) -> None:
        """Counts the bytes of a control message by its kind."""
        self._control_bytes.labels(kind).inc(size)

    def update_control_totals(self, totals: Mapping[str, int]) -> None:
        """Raises the counters of control traffic that is counted elsewhere.

        Args:
            totals: Bytes sent since the process started, by kind.
        """
        for kind, total in totals.items():
            self.control_sent(kind, total - self._control_totals.get(kind, 0))
            self._control_totals[kind] = total

    def invariant_violated(self, number: int) -> None:
        """Counts a violated invariant by the number of its event."""
        self._invariants.labels(str(number)).inc()

    def fault_caught(self, where: str) -> None:
        """Counts an unexpected exception that a handler or task caught."""
        self._faults.labels(where).inc()

    def set_endpoint_load(
        self, name: str, waiting: int, in_flight: int
    ) -> None:
        """Sets the gauges of an endpoint that this router owns.

        Args:
            name: Name of the endpoint.
            waiting: Number of queued requests.
            in_flight: Number of running requests.
        """
        self._endpoints.add(name)
        self._waiting.labels(name).set(waiting)
        self._in_flight.labels(name).set(in_flight)

    def retain_endpoints(self, names: Collection[str]) -> None:
        """Removes the gauges of all endpoints except `names`."""
        for name in self._endpoints - set(names):
            self._waiting.remove(name)
            self._in_flight.remove(name)
        self._endpoints &= set(names)

    def set_configuration_version(self, version: int) -> None:
        """Sets the version of the configuration in force."""
        self._configuration.set(version)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format, encoded."""
        return prometheus_client.generate_latest(self._registry)

    def _counter(
        self, name: str, help_text: str, labels: list[str]
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            name, help_text, labels, registry=self._registry
        )

    def _gauge(
        self, name: str, help_text: str, labels: list[str]
    ) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            name, help_text, labels, registry=self._registry
        )
