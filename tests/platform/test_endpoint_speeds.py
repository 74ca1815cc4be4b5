"""Endpoints that report how long work takes on their VM."""

import asyncio

import pytest
import standin

from nutmegpost_core import calls
from nutmegpost_core import catalog
from nutmegpost_core import endpoint_speeds
from nutmegpost_platform import endpoint_protocol
from nutmegpost_router.gateway import loads

ROUTE = catalog.Route(
    "look", "", "/", catalog.RequestKind.SAFE, (), 1, 1, 0, 1, True, False, 1
)
CALL = calls.Call("id-1", ROUTE, "plain", "", 0, 0.0, 0.0)


class _Reporting(standin.Runner):
    """An endpoint whose answers have the load that it is told to report."""

    load = "1,0,4,100"

    def response_fields(self, request):
        fields = [
            field
            for field in super().response_fields(request)
            if field[0] != "Server-Load"
        ]
        return [*fields, ("Server-Load", self.load)]


def _read(load, status=200):
    fields = [("attempt-id", "id-1"), ("server-seal", "s")]
    return endpoint_protocol.ENDPOINT_PROTOCOL.read_response_head(
        CALL, status, [*fields, ("server-load", load)]
    )


@pytest.mark.parametrize(
    ("load", "running", "slots", "percent"),
    [
        ("1,2,4", 3, 4, None),
        ("1,2,4,250", 3, 4, 250),
        (" 1, 2, 4, 97.5 ", 3, 4, 97),
        ("1,2,4,250,future", 3, 4, 250),
        ("1,2,,250", 3, None, 250),
        ("1,2,-4,-250", 3, None, None),
        ("1,2,4,nan", 3, 4, None),
        ("1,2", 3, None, None),
        ("", None, None, None),
        ("x,y,z,w", None, None, None),
        (f"{'9' * 5000},0,{'9' * 5000},{'9' * 5000}", None, None, None),
    ],
)
def test_figures_are_read_and_wrong_ones_are_harmless(
    load, running, slots, percent
):
    head = _read(load)
    assert (head.load, head.speed.slots) == (running, slots)
    assert endpoint_speeds.parse_percent(head.speed.speed_text) == percent


# Guards against figures that another instance at the same address reported.
def test_answer_of_another_instance_says_nothing_of_the_speed():
    assert _read("1,2,4,250", 421).speed == endpoint_speeds.Report()


def test_endpoint_that_reports_to_be_slow_gets_fewer_requests():
    async def scenario():
        runners = [_Reporting(name, "plain", 8) for name in ("p1", "p2")]
        async with standin.Fleet(runners) as fleet:
            slow, usual = runners
            slow.load = "1,0,4,250"
            for number in range(40):
                response = await fleet.send_request("/look/1", f"id-{number}")
                assert response.status == 200
                await asyncio.sleep(0.01)
            assert len(slow.received) < len(usual.received) / 4

    standin.run_scenario(scenario)


# Guards against a handler that fails on a figure, and a caller that gets an
# error for it.
@pytest.mark.parametrize("figure", ["x", "-1", "1e999", "9" * 3_000, "0"])
def test_requests_are_answered_whatever_the_figure_is(figure):
    async def scenario():
        runner = _Reporting("p1", "plain", 8)
        async with standin.Fleet([runner]) as fleet:
            runner.load = f"1,0,4,{figure}"
            for number in range(3):
                response = await fleet.send_request("/look/1", f"id-{number}")
                assert response.status == 200
            metrics = await fleet.client.request(
                fleet.address("metrics_address"), "GET", "/metrics", {}
            )
            count = b"nutmegpost_gateway_speeds_refused_total 3.0"
            assert count in metrics.body

    standin.run_scenario(scenario)


# Guards against a gateway of a large fleet that knows of no speed, as it rarely
# sends to any one endpoint.
@pytest.mark.parametrize("names", [("p1", "p2"), ("q1", "q2"), ("r1", "r2")])
def test_gateway_learns_speeds_from_the_gateway_that_counts(names, monkeypatch):
    monkeypatch.setattr(loads, "REPORT_INTERVAL_MAX_S", 0.0)

    async def scenario():
        runners = [_Reporting(name, "plain", 8) for name in names]
        async with standin.Fleet(runners, gateways=2) as fleet:
            await fleet.wait_until_all_met()
            for gateway in fleet.gateways:
                await fleet.wait_until(
                    lambda gateway=gateway: (
                        gateway._load_exchange.is_sampling
                        and len(gateway._load_queries._hosts) == 2
                    )
                )
            for runner in runners:
                runner.load = "1,0,4,250"
            for number in range(8):
                await fleet.send_request("/look/1", f"id-{number}")
            await asyncio.sleep(0.3)
            other = fleet.gateways[1]
            now = asyncio.get_running_loop().time()
            used = [runner.name for runner in runners if runner.received]
            for name in used:
                await other._load_queries._ask(name)
                assert other.local_state.speeds.slowdown(name, now) > 1.2

    standin.run_scenario(scenario)
