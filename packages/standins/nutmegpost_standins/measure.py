"""Compares the policies of the router with baselines, in the same run.

Run as `python -m nutmegpost_standins.measure [--scenario NAME_OR_FILE]
[--seed N] [--plot FILE]`. Engines are simulated; the policies are the code that
the router runs. The last line of the output is a JSON object.
"""

from collections.abc import Callable
import json
from typing import Any, NamedTuple

from absl import app
from absl import flags
from matplotlib import figure

from nutmegpost_standins import enginemodel
from nutmegpost_standins import figures
from nutmegpost_standins import policies
from nutmegpost_standins import scenarios
from nutmegpost_standins import workload

__all__ = ["Line", "measure", "run"]

# Size of a message with the load sums of one pool, headers included.
SUMS_BYTES = 150
BOUNDS = (1.1, 1.2, 1.25, 1.3, 1.4, 1.5, 1.75, 2.0, 2.5)
# Time until a flood has its full effect; figures exclude it.
SETTLE_S = 30.0

_SCENARIO = flags.DEFINE_multi_string(
    "scenario", [], "name of a built-in scenario, or a JSON file"
)
_SEED = flags.DEFINE_integer("seed", 1, "seed of the random choices")
_PLOT = flags.DEFINE_string(
    "plot", "", "PNG file for the plot of reuse over skew"
)


class Line(NamedTuple):
    """A measured figure and its goal.

    Attributes:
        scenario: Name of the scenario.
        figure: Name of the figure.
        value: The value.
        goal: The goal as text; empty if there is none.
        met: Whether the goal is met; None if there is none.
    """

    scenario: str
    figure: str
    value: float
    goal: str
    met: bool | None


FleetFactory = Callable[[scenarios.Scenario, enginemodel.Clock], policies.Fleet]


def run(
    scenario: scenarios.Scenario, seed: int, new_fleet: FleetFactory
) -> policies.Fleet:
    """Runs a scenario.

    Args:
        scenario: The scenario.
        seed: Seed of the random choices.
        new_fleet: Creates the fleet.

    Returns:
        The fleet, with a record of all requests.
    """
    clock = enginemodel.Clock(seed)
    fleet = new_fleet(scenario, clock)
    workload.drive(scenario, clock, fleet.arrive)
    clock.run(scenario["seconds"])
    return fleet


def _baseline(policy: str) -> FleetFactory:
    return lambda scenario, clock: policies.BaselineFleet(
        scenario, clock, policy
    )


def _churn(scenario: scenarios.Scenario, seed: int) -> list[Line]:
    fleets = {
        policy: run(scenario, seed, _baseline(policy))
        for policy in policies.BASELINE_POLICIES
    }
    fleets["owned"] = run(scenario, seed, policies.OwnershipFleet)
    lines = []
    for policy, fleet in fleets.items():
        lines += _churn_lines(scenario, policy, fleet)
    if scenario.get("changes"):
        return [*lines, _bound_line(scenario, fleets["owned"])]
    return lines + _churn_goals(scenario, fleets)


def _churn_lines(
    scenario: scenarios.Scenario, policy: str, fleet: policies.Fleet
) -> list[Line]:
    warm_s = scenario["warm_s"]
    served = figures.service(
        fleet, warm_s, scenario["seconds"] - SETTLE_S, lambda _: True
    )
    values = {
        "reuse": figures.reuse(fleet.requests, warm_s),
        "skew p50": figures.percentile(fleet.skews, 0.50),
        "skew p99": figures.percentile(fleet.skews, 0.99),
        "over the bound": float(fleet.over_bound),
        "first token p95, s": served.first_p95_s,
        "within target": served.within,
    }
    return [
        Line(scenario["name"], f"{policy}: {name}", value, "", None)
        for name, value in values.items()
    ]


def _bound_line(scenario: scenarios.Scenario, fleet: policies.Fleet) -> Line:
    name = f"over bound {scenario['bound']} of {fleet.dispatches} dispatches"
    over = fleet.over_bound
    return Line(scenario["name"], name, float(over), "0", over == 0)


def _churn_goals(
    scenario: scenarios.Scenario, fleets: dict[str, policies.Fleet]
) -> list[Line]:
    name = scenario["name"]
    owned = fleets["owned"]
    hash_fleet = fleets["hash"]
    warm_s = scenario["warm_s"]
    reuse_min = 0.98 if scenario["flows"][0].get("running", 0) >= 16 else 0.95
    reuse_share = figures.reuse(owned.requests, warm_s) / figures.reuse(
        hash_fleet.requests, warm_s
    )
    lines = [
        _bound_line(scenario, owned),
        Line(
            name,
            "reuse over hash",
            reuse_share,
            f">= {reuse_min}",
            reuse_share >= reuse_min,
        ),
    ]
    for quantile in (0.50, 0.99):
        skew_max = 1 + (figures.percentile(hash_fleet.skews, quantile) - 1) / 2
        skew = figures.percentile(owned.skews, quantile)
        figure_name = f"skew p{quantile * 100:.0f}"
        lines.append(
            Line(
                name, figure_name, skew, f"<= {skew_max:.2f}", skew <= skew_max
            )
        )
    if isinstance(owned, policies.OwnershipFleet):
        sent = owned.messages * SUMS_BYTES
        rate = sent / scenario["seconds"] / scenario["routers"]
        lines.append(
            Line(name, "sums, bytes/s a router", rate, "< 2000", rate < 2000)
        )
    return lines


def _flood(scenario: scenarios.Scenario, seed: int) -> list[Line]:
    flood = scenario["flows"][-1]
    start_s = flood.get("start_s", 0.0)
    stop_s = flood.get("stop_s", scenario["seconds"])
    fifo = run(scenario, seed, _baseline("least-loaded"))
    owned = run(scenario, seed, policies.OwnershipFleet)
    lines = []
    for policy, fleet in (("fifo", fifo), ("owned", owned)):
        for rank in (1, 2, 3):
            lines += _rank_lines(scenario, policy, fleet, rank)
    capacity = figures.tokens_per_s(
        fifo, start_s + SETTLE_S, stop_s, lambda _: True
    )
    good = figures.tokens_per_s(owned, start_s + SETTLE_S, stop_s, _is_within)
    share = good / capacity
    lines.append(
        Line(
            scenario["name"],
            "goodput over capacity",
            share,
            ">= 0.95",
            share >= 0.95,
        )
    )
    if flood["rank"] == 3:
        return lines + _urgent_goals(scenario, owned, start_s, stop_s)
    return lines + _floor_goals(scenario, owned, start_s, stop_s, capacity)


def _rank_lines(
    scenario: scenarios.Scenario, policy: str, fleet: policies.Fleet, rank: int
) -> list[Line]:
    flood = scenario["flows"][-1]
    stop_s = flood.get("stop_s", scenario["seconds"])
    served = figures.service(
        fleet,
        flood.get("start_s", 0.0) + SETTLE_S,
        stop_s,
        _of_rank(rank),
    )
    figure_name = f"{policy}: rank {rank}"
    return [
        Line(
            scenario["name"], f"{figure_name} within", served.within, "", None
        ),
        Line(
            scenario["name"],
            f"{figure_name} p95, s",
            served.first_p95_s,
            "",
            None,
        ),
    ]


def _of_rank(rank: int) -> Callable[[enginemodel.Request], bool]:
    return lambda request: request.rank == rank


def _is_within(request: enginemodel.Request) -> bool:
    first = request.first_token_at
    if first is None:
        return False
    return first - request.arrived_at <= request.first_token_s


def _urgent_goals(
    scenario: scenarios.Scenario,
    fleet: policies.Fleet,
    start_s: float,
    stop_s: float,
) -> list[Line]:
    name = scenario["name"]
    is_rank_1 = _of_rank(1)
    before = figures.service(fleet, scenario["warm_s"], start_s, is_rank_1)
    during = figures.service(fleet, start_s + SETTLE_S, stop_s, is_rank_1)
    ratio = during.first_p95_s / before.first_p95_s
    return [
        Line(
            name,
            "rank 1 within target",
            during.within,
            ">= 0.99",
            during.within >= 0.99,
        ),
        Line(name, "rank 1 p95 over calm", ratio, "<= 1.1", ratio <= 1.1),
    ]


def _floor_goals(
    scenario: scenarios.Scenario,
    fleet: policies.Fleet,
    start_s: float,
    stop_s: float,
    capacity: float,
) -> list[Line]:
    lines = []
    for rank, floor in ((2, 0.10), (3, 0.05)):
        tokens = figures.tokens_per_s(
            fleet,
            start_s + SETTLE_S,
            stop_s,
            _of_rank(rank),
        )
        share = tokens / capacity
        lines.append(
            Line(
                scenario["name"],
                f"rank {rank} share of capacity",
                share,
                f">= {floor:.2f}",
                share >= floor,
            )
        )
    return lines


def _fairness(scenario: scenarios.Scenario, seed: int) -> list[Line]:
    fifo = run(scenario, seed, _baseline("least-loaded"))
    owned = run(scenario, seed, policies.OwnershipFleet)
    alone = run(_without_large(scenario), seed, policies.OwnershipFleet)
    lines = []
    for flow in scenario["flows"]:
        kind = flow["work_class"]
        large = {f"account-{n}" for n in range(flow.get("large", 0))}

        def is_small(
            request: enginemodel.Request,
            kind: str = kind,
            large: set[str] = large,
        ) -> bool:
            return request.work_class == kind and request.account not in large

        p95_s = [
            figures.service(
                fleet, scenario["warm_s"], scenario["seconds"] - 50, is_small
            ).first_p95_s
            for fleet in (fifo, owned, alone)
        ]
        ratio = p95_s[1] / p95_s[2]
        figure_name = f"small accounts, {kind}"
        name = scenario["name"]
        lines += [
            Line(name, f"fifo: {figure_name} p95, s", p95_s[0], "", None),
            Line(name, f"owned: {figure_name} p95, s", p95_s[1], "", None),
            Line(name, f"alone: {figure_name} p95, s", p95_s[2], "", None),
            Line(
                name, f"{figure_name} over alone", ratio, "<= 1.2", ratio <= 1.2
            ),
        ]
    return lines


def _without_large(scenario: scenarios.Scenario) -> scenarios.Scenario:
    """Returns the scenario without its large accounts."""
    flows = []
    for flow in scenario["flows"]:
        large = flow.get("large", 0)
        small = flow.get("accounts", 1) - large
        total_weight = small + large * flow.get("large_factor", 20.0)
        flow_alone = flow.copy()
        flow_alone["load"] = flow.get("load", 0.5) * small / total_weight
        flow_alone["large_factor"] = 1.0
        flows.append(flow_alone)
    alone = scenario.copy()
    alone["flows"] = flows
    return alone


_KINDS = {"churn": _churn, "flood": _flood, "fairness": _fairness}


def measure(scenario: scenarios.Scenario, seed: int) -> list[Line]:
    """Returns the figures of one scenario, those of the baselines included."""
    return _KINDS[scenario["kind"]](scenario, seed)


def _plot(path: str, seed: int) -> None:
    """Plots reuse over skew for several load bounds."""
    canvas = figure.Figure(figsize=(7, 4.5))
    axes = canvas.subplots()
    for name in ("churn4", "churn16"):
        points = []
        for bound in BOUNDS:
            scenario = scenarios.load(name)
            scenario["bound"] = bound
            fleet = run(scenario, seed, policies.OwnershipFleet)
            skew = figures.percentile(fleet.skews, 0.99)
            share = figures.reuse(fleet.requests, scenario["warm_s"])
            points.append((skew, share))
            axes.annotate(f"{bound}", (skew, share))
        axes.plot(*zip(*points, strict=True), marker="o", label=name)
        hash_fleet = run(scenario, seed, _baseline("hash"))
        axes.plot(
            figures.percentile(hash_fleet.skews, 0.99),
            figures.reuse(hash_fleet.requests, scenario["warm_s"]),
            marker="x",
            linestyle="",
            label=f"{name}, plain hash",
        )
    axes.set_xlabel("load skew, p99 of max over mean")
    axes.set_ylabel("share of prompt tokens found in a cache")
    axes.set_title("Reuse against skew; the numbers are the bound")
    axes.legend()
    canvas.savefig(path, dpi=120)


def _print_line(line: Line) -> None:
    verdict = {None: "", True: "met", False: "MISSED"}[line.met]
    print(  # noqa: T201
        f"{line.scenario:9} {line.figure:42} {line.value:10.3f}  "
        f"{line.goal:10} {verdict}",
        flush=True,
    )


def _main(argv: list[str]) -> None:
    if len(argv) > 1:
        raise app.UsageError(f"unknown argument {argv[1]!r}")
    result: dict[str, Any] = {"seed": _SEED.value, "figures": []}
    for name in _SCENARIO.value or scenarios.names():
        for line in measure(scenarios.load(name), _SEED.value):
            _print_line(line)
            result["figures"].append(line._asdict())
    if _PLOT.value:
        _plot(_PLOT.value, _SEED.value)
    met = [line["met"] for line in result["figures"]]
    result["met"] = met.count(True)
    result["missed"] = met.count(False)
    print(json.dumps(result))  # noqa: T201


if __name__ == "__main__":
    app.run(_main)
