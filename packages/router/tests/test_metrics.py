import re

from prometheus_client import parser
import pytest

from nutmegpost_router import metrics


def _samples(state):
    text = state.render().decode()
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    }


def _value(state, name, **labels):
    labels = {key.rstrip("_"): value for key, value in labels.items()}
    return _samples(state).get((name, tuple(sorted(labels.items()))))


def test_each_method_moves_its_metric():
    state = metrics.Metrics()
    state.request_ended("press", "answered", "")
    state.request_ended("press", "not-run", "overloaded")
    state.first_token("press", 0.2)
    state.frame_dropped("order")
    state.usage("panel", 100, 80)
    state.retried()
    state.resumed("engine")
    state.permit("issued")
    state.control_sent("ping", 60)
    state.invariant_violated(901)
    state.fault("handler")
    state.configuration(7)
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
        assert _value(state, f"nutmegpost_{name}", **labels) == value, name


def test_gaps_between_tokens_are_counted_for_each_token():
    state = metrics.Metrics()
    state.tokens_relayed("press", 0.03)
    state.tokens_relayed("press", 0.12, count=4)
    state.tokens_relayed("press", 9.0)
    name = "nutmegpost_between_tokens_seconds"
    assert _value(state, "nutmegpost_tokens_relayed_total") == 6
    assert _value(state, f"{name}_count", class_="press") == 6
    assert _value(state, f"{name}_sum", class_="press") == pytest.approx(9.15)
    bucket = f"{name}_bucket"
    assert _value(state, bucket, class_="press", le="0.02") == 0
    assert _value(state, bucket, class_="press", le="0.03") == 5
    assert _value(state, bucket, class_="press", le="5.0") == 5
    assert _value(state, bucket, class_="press", le="+Inf") == 6


def test_gauges_of_an_endpoint_go_with_it():
    state = metrics.Metrics()
    state.endpoint("engine-1", 3, 4)
    waiting = "nutmegpost_endpoint_waiting"
    in_flight = "nutmegpost_endpoint_in_flight"
    assert _value(state, waiting, endpoint="engine-1") == 3
    assert _value(state, in_flight, endpoint="engine-1") == 4
    state.endpoint("engine-2", 5, 6)
    state.keep_endpoints(["engine-2", "engine-9"])
    state.keep_endpoints(["engine-2", "engine-9"])
    assert _value(state, waiting, endpoint="engine-2") == 5
    assert _value(state, waiting, endpoint="engine-1") is None
    assert _value(state, in_flight, endpoint="engine-1") is None


def test_totals_that_are_counted_elsewhere_become_counters():
    state = metrics.Metrics()
    name = "nutmegpost_control_bytes_total"
    for total in (10, 10, 35):
        state.control_totals({"ping": total, "ack": 2 * total})
    assert _value(state, name, kind="ping") == 35
    assert _value(state, name, kind="ack") == 70


def test_two_routers_of_one_process_do_not_share_a_registry():
    first = metrics.Metrics()
    second = metrics.Metrics()
    first.retried()
    assert _value(second, "nutmegpost_retries_total") == 0
    assert first.registry is not second.registry


def test_every_metric_has_a_help_text_and_the_prefix():
    text = metrics.Metrics().render().decode()
    names = re.findall(r"^# HELP (\S+) (.+)$", text, re.M)
    assert len(names) > 10
    for name, _ in names:
        assert name.startswith(("nutmegpost_", "process_"))


def test_a_target_of_the_letter_is_a_bound_of_a_bucket():
    assert 0.49 in metrics.FIRST_TOKEN_BUCKETS_S
    assert 0.03 in metrics.GAP_BUCKETS_S
