"""Counters, gauges and histograms that the Prometheus library only renders.

The library takes three megabytes of memory. A gateway whose metrics nobody
reads has no use for it, so it is loaded when they are rendered for the first
time. The calls are those of the library.
"""

import bisect
from collections.abc import Iterator, Sequence
import itertools
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import prometheus_client
    from prometheus_client import metrics_core

__all__ = [
    "CONTENT_TYPE",
    "Meter",
    "Registry",
    "Values",
    "counter",
    "gauge",
    "histogram",
]

# As `prometheus_client.CONTENT_TYPE_LATEST`.
CONTENT_TYPE = "text/plain; version=1.0.0; charset=utf-8"


class Values:
    """The values of a meter for one combination of labels."""

    __slots__ = ("_bounds", "counts", "created", "total")

    def __init__(self, bounds: Sequence[float]):
        """Creates values of 0.

        Args:
            bounds: Upper bounds of the buckets of a histogram, rising.
        """
        self._bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.created = time.time()
        self.total = 0.0

    def inc(self, amount: float = 1) -> None:
        """Adds to a counter."""
        self.total += amount

    def set(self, value: float) -> None:
        """Sets a gauge."""
        self.total = float(value)

    def observe(self, value: float) -> None:
        """Counts an observation in its bucket of a histogram."""
        self.total += value
        self.counts[bisect.bisect_left(self._bounds, value)] += 1


class Meter:
    """A metric, with its values by the values of its labels."""

    def __init__(
        self,
        name: str,
        text: str,
        labels: Sequence[str],
        bounds: Sequence[float] = (),
    ):
        """Creates a metric; without labels it has values at once.

        Args:
            name: Its name.
            text: What it tells.
            labels: Names of its labels.
            bounds: Upper bounds of the buckets of a histogram, rising.
        """
        self.name = name
        self.text = text
        self.label_names = tuple(labels)
        self.bounds = tuple(float(bound) for bound in bounds)
        self.values: dict[tuple[str, ...], Values] = {}
        if not labels:
            self.labels()

    def labels(self, *labels: str) -> Values:
        """Returns the values for some values of the labels, 0 at first.

        Raises:
            ValueError: Their number is not that of the names.
        """
        found = self.values.get(labels)
        if found is None:
            if len(labels) != len(self.label_names):
                raise ValueError(f"{self.name} has labels {self.label_names}")
            found = self.values[labels] = Values(self.bounds)
        return found


class Registry:
    """The meters of a process, as a collector for the Prometheus library."""

    def __init__(self) -> None:
        """Creates a registry without meters."""
        self._meters: list[tuple[str, Meter]] = []
        self._prometheus: prometheus_client.CollectorRegistry | None = None

    @property
    def prometheus(self) -> "prometheus_client.CollectorRegistry":
        """Registry of the library, with these meters and the process's."""
        if self._prometheus is None:
            import prometheus_client

            self._prometheus = prometheus_client.CollectorRegistry()
            prometheus_client.ProcessCollector(registry=self._prometheus)
            self._prometheus.register(self)
        return self._prometheus

    def add(self, kind: str, meter: Meter) -> Meter:
        """Adds a meter of a kind and returns it."""
        self._meters.append((kind, meter))
        return meter

    def collect(self) -> Iterator["metrics_core.Metric"]:
        """Yields the metrics; the library calls this."""
        for kind, meter in self._meters:
            yield _FAMILIES[kind](meter)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        import prometheus_client

        return prometheus_client.generate_latest(self.prometheus)


def counter(
    name: str, text: str, labels: Sequence[str] = (), *, registry: Registry
) -> Meter:
    """Returns a new counter.

    Args:
        name: Name of the metric, without `_total`.
        text: What it counts.
        labels: Names of its labels.
        registry: The registry that renders it.
    """
    return registry.add("counter", Meter(name, text, labels))


def gauge(name: str, text: str, *, registry: Registry) -> Values:
    """Returns a new gauge.

    Args:
        name: Name of the metric.
        text: What it tells.
        registry: The registry that renders it.
    """
    return registry.add("gauge", Meter(name, text, ())).labels()


def histogram(
    name: str,
    text: str,
    labels: Sequence[str] = (),
    *,
    buckets: Sequence[float],
    registry: Registry,
) -> Meter:
    """Returns a new histogram.

    Args:
        name: Name of the metric.
        text: What is observed.
        labels: Names of its labels.
        buckets: Upper bounds of the buckets, rising.
        registry: The registry that renders it.
    """
    return registry.add("histogram", Meter(name, text, labels, buckets))


def _counter_family(meter: Meter) -> "metrics_core.Metric":
    from prometheus_client import metrics_core

    family = metrics_core.CounterMetricFamily(
        meter.name, meter.text, labels=meter.label_names
    )
    for labels, values in meter.values.items():
        family.add_metric(labels, values.total, created=values.created)
    return family


def _gauge_family(meter: Meter) -> "metrics_core.Metric":
    from prometheus_client import metrics_core

    family = metrics_core.GaugeMetricFamily(
        meter.name, meter.text, labels=meter.label_names
    )
    for labels, values in meter.values.items():
        family.add_metric(labels, values.total)
    return family


def _histogram_family(meter: Meter) -> "metrics_core.Metric":
    from prometheus_client import metrics_core

    family = metrics_core.HistogramMetricFamily(
        meter.name, meter.text, labels=meter.label_names
    )
    bounds = [*map(str, meter.bounds), "+Inf"]
    for labels, values in meter.values.items():
        buckets = list(
            zip(bounds, itertools.accumulate(values.counts), strict=True)
        )
        family.add_metric(labels, buckets, values.total)
        family.add_sample(
            f"{meter.name}_created",
            dict(zip(meter.label_names, labels, strict=True)),
            values.created,
        )
    return family


_FAMILIES = {
    "counter": _counter_family,
    "gauge": _gauge_family,
    "histogram": _histogram_family,
}
