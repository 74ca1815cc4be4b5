import re

import prometheus_client

from nutmegpost_router.gateway import meters


def _text(rendered):
    """Returns the text without times of creation and values of the process."""
    return [
        re.sub(r"(_created(?:\{.*\})?) .*", r"\1", line)
        for line in rendered.decode().splitlines()
        if "process_" not in line
    ]


def _fill(counter, labeled_histogram, histogram, gauge):
    counter.labels("a", 'q"\n').inc()
    counter.labels("a", 'q"\n').inc()
    counter.labels("b", "").inc(2)
    for value in (0, 0.5, 0.50001, 7, 99):
        labeled_histogram.labels("r").observe(value)
        histogram.observe(value)
    gauge.set(3)


def test_text_is_that_of_the_prometheus_library():
    """Guards against another format, order or bucket than the library's."""
    bounds = (0, 0.5, 8)
    own = meters.Registry()
    _fill(
        meters.counter("c", "Text.", ["x", "y"], registry=own),
        meters.histogram("h", "Text.", ["x"], buckets=bounds, registry=own),
        meters.histogram("g", "Text.", buckets=bounds, registry=own).labels(),
        meters.gauge("v", "Text.", registry=own),
    )
    theirs = prometheus_client.CollectorRegistry()
    _fill(
        prometheus_client.Counter("c", "Text.", ["x", "y"], registry=theirs),
        prometheus_client.Histogram(
            "h", "Text.", ["x"], buckets=bounds, registry=theirs
        ),
        prometheus_client.Histogram(
            "g", "Text.", buckets=bounds, registry=theirs
        ),
        prometheus_client.Gauge("v", "Text.", registry=theirs),
    )
    expected = prometheus_client.generate_latest(theirs)
    assert _text(own.render()) == _text(expected)
    assert meters.CONTENT_TYPE == prometheus_client.CONTENT_TYPE_LATEST
