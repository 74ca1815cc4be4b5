import re

from prometheus_client import parser
import pytest

from nutmegpost_router import metrics


def _samples(router_metrics):
    text = router_metrics.render().decode()
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    }


def _value(router_metrics, name, **labels):
    labels = {key.rstrip("_"): value for key, value in labels.items()}
    return _samples(router_metrics).get((name, tuple(sorted(labels.items()))))


def test_each_method_updates_its_metric():
    router_metrics = metrics.Metrics()
    router_metrics.request_ended("press", "answered", "")
    router_metrics.request_ended("press", "not-run", "overloaded")
    router_metrics.first_token("press", 0.2)
    router_metrics.frame_dropped("order")
    router_metrics.prompt_tokens_used("panel", 100, 80)
    router_metrics.retried()
    router_metrics.resumed("engine")
    router_metrics.permit_event("issued")
    router_metrics.control_sent("ping", 60)
    router_metrics.invariant_violated(901)
    router_metrics.fault_caught("handler")
    router_metrics.set_configuration_version(7)
    expected = [
        (
            "requests_total",
            1,
            {"class_": "press", "outcome": "answered", "code": ""},
        ),
        (
            "requests_total",
            1,
            {"class_": "press", "outcome": "not-run", "code": "overloaded"},
        ),
        ("first_token_seconds_sum", 0.2, {"class_": "press"}),
        ("frames_dropped_total", 1, {"reason": "order"}),
        ("prompt_tokens_total", 100, {"model": "panel"}),
        ("cached_tokens_total", 80, {"model": "panel"}),
        ("retries_total", 1, {}),
        ("resumptions_total", 1, {"leg": "engine"}),
        ("permits_total", 1, {"event": "issued"}),
        ("control_bytes_total", 60, {"kind": "ping"}),
        ("invariants_violated_total", 1, {"event": "901"}),
        ("faults_total", 1, {"where": "handler"}),
        ("configuration_version", 7, {}),
    ]
    for name, value, labels in expected:
        assert (
            _value(router_metrics, f"nutmegpost_{name}", **labels) == value
        ), name


def test_inter_token_histogram_counts_each_token():
    router_metrics = metrics.Metrics()
    router_metrics.tokens_relayed("press", 0.03)
    router_metrics.tokens_relayed("press", 0.12, count=4)
    router_metrics.tokens_relayed("press", 9.0)
    name = "nutmegpost_between_tokens_seconds"
    assert _value(router_metrics, "nutmegpost_tokens_relayed_total") == 6
    assert _value(router_metrics, f"{name}_count", class_="press") == 6
    assert _value(
        router_metrics, f"{name}_sum", class_="press"
    ) == pytest.approx(9.15)
    bucket = f"{name}_bucket"
    assert _value(router_metrics, bucket, class_="press", le="0.02") == 0
    assert _value(router_metrics, bucket, class_="press", le="0.03") == 5
    assert _value(router_metrics, bucket, class_="press", le="5.0") == 5
    assert _value(router_metrics, bucket, class_="press", le="+Inf") == 6


def test_gauges_of_removed_endpoints_are_removed():
    router_metrics = metrics.Metrics()
    router_metrics.set_endpoint_load("engine-1", 3, 4)
    waiting = "nutmegpost_endpoint_waiting"
    in_flight = "nutmegpost_endpoint_in_flight"
    assert _value(router_metrics, waiting, endpoint="engine-1") == 3
    assert _value(router_metrics, in_flight, endpoint="engine-1") == 4
    router_metrics.set_endpoint_load("engine-2", 5, 6)
    router_metrics.retain_endpoints(["engine-2", "engine-9"])
    router_metrics.retain_endpoints(["engine-2", "engine-9"])
    assert _value(router_metrics, waiting, endpoint="engine-2") == 5
    assert _value(router_metrics, waiting, endpoint="engine-1") is None
    assert _value(router_metrics, in_flight, endpoint="engine-1") is None


def test_control_totals_raise_the_counters():
    router_metrics = metrics.Metrics()
    name = "nutmegpost_control_bytes_total"
    for total in (10, 10, 35):
        router_metrics.update_control_totals({"ping": total, "ack": 2 * total})
    assert _value(router_metrics, name, kind="ping") == 35
    assert _value(router_metrics, name, kind="ack") == 70


def test_instances_do_not_share_a_registry():
    first = metrics.Metrics()
    second = metrics.Metrics()
    first.retried()
    assert _value(second, "nutmegpost_retries_total") == 0
    assert first.registry is not second.registry


def test_every_metric_has_help_text_and_prefix():
    text = metrics.Metrics().render().decode()
    names = re.findall(r"^# HELP (\S+) (.+)$", text, re.M)
    assert len(names) > 10
    for name, _ in names:
        assert name.startswith(("nutmegpost_", "process_"))


def test_latency_targets_are_bucket_bounds():
    assert 0.49 in metrics.FIRST_TOKEN_BUCKETS_S
    assert 0.03 in metrics.INTER_TOKEN_BUCKETS_S
