"""Prints the tables of docs/CAPACITY.md.

    python -m nutmegpost_standins.capacity

Measures costs at several sizes and extrapolates them along fitted lines to the
size that the fleet is designed for. Takes a few minutes on one machine.
"""

from collections.abc import Sequence
from typing import NamedTuple

from absl import app
from absl import flags

from nutmegpost_core import permits
from nutmegpost_core import quarantine
from nutmegpost_core import wire
from nutmegpost_router import watcher
from nutmegpost_standins import slopes

__all__ = ["Limit", "Size", "limits", "main", "measure", "roles"]

# Separate flag values, because other commands define the same flag names.
_FLAGS = flags.FlagValues()
_PROCESSES = flags.DEFINE_bool(
    "processes",
    True,
    "Whether to measure gossip between real processes as well.",
    flag_values=_FLAGS,
)

_DAY_S = 86_400.0
_LINK_HEADER_BYTES = 60
_DELTA_BYTES = 500
_WATCHERS = 16
_REPORT_BYTES = 55
_SENDS_PER_REPORT = 12


class Size(NamedTuple):
    """The size that the fleet is designed for."""

    nodes: int = 1_100
    engines: int = 10_000
    requests_s: float = 59_000.0
    tokens_s: float = 17e6
    chats: float = 8.4e6
    accounts: int = 1_400
    models: int = 7
    zones: int = 7
    changes_day: float = 10_000.0
    vm_changes_day: float = 3_300.0
    vm_failures_day: float = 200.0
    reads_s: float = 2_000.0
    value_kb: float = 1_000.0
    control_cpu: float = 1.8
    control_bytes_s: float = 2_000.0
    control_mb: float = 256.0
    change_spread_s: float = 4.0


class Limit(NamedTuple):
    """An estimated value and its limit.

    Attributes:
        name: Name of the value.
        unit: Unit of both numbers.
        value: Estimate.
        limit: Highest value that is allowed.
    """

    name: str
    unit: str
    value: float
    limit: float


Table = dict[str, slopes.Slope]


def measure(processes: bool) -> Table:
    """Measures all costs.

    Args:
        processes: Whether to measure real processes as well.

    Returns:
        The slopes by the names of their costs.
    """
    results: list[slopes.Slope] = []
    if processes:
        results += slopes.gossip_processes()
    results += slopes.simulated_members()
    results += [
        slopes.zone_loss(),
        slopes.partition_heal(),
        *slopes.configuration_spread(),
    ]
    results += [slopes.suspect_spread()]
    results += [
        *slopes.engine_ring(),
        *slopes.owner_table(),
        slopes.chat_memory(),
    ]
    results += [*slopes.configuration_document(), *slopes.vm_list()]
    results += [
        *slopes.permit_records(),
        slopes.suspect_memory(),
        slopes.token_encoding(),
    ]
    results += [slopes.member_memory()]
    return {slope.name: slope for slope in results}


class _Estimate:
    """Estimates for a fleet of a given size, from the measured slopes."""

    def __init__(self, table: Table, size: Size):
        self._table = table
        self.size = size
        self.changes_s = size.changes_day / _DAY_S
        self.vm_changes_s = size.vm_changes_day / _DAY_S
        vms = size.nodes + size.engines
        self.vms = vms
        self.router_changes_s = self.vm_changes_s * size.nodes / vms
        self.engine_changes_s = self.vm_changes_s * size.engines / vms

    def at(self, name: str, size: float) -> float:
        """Returns a cost at a size, from its fitted line; at least 0."""
        return max(0.0, self._table[name].line.at(size))

    def cost_per_unit(self, name: str) -> float:
        """Returns the cost of one more unit of size."""
        return self._table[name].line.slope

    @property
    def ring_ms(self) -> float:
        """Time to build the hash ring of one model's engines."""
        engines = self.size.engines / self.size.models
        return self.at("ring of engines, built anew", engines)

    @property
    def owners_ms(self) -> float:
        """Time to build the table of owners."""
        thousands = self.size.engines / 1_000
        per_thousand_ms = self.at(
            "table of owners, built anew", self.size.nodes
        )
        return per_thousand_ms * thousands

    @property
    def document_kb(self) -> float:
        """Size of the configuration."""
        return self.at("configuration document", self.size.accounts)

    @property
    def list_kb(self) -> float:
        """Size of the VM list."""
        return self.at("VM list", self.vms)

    @property
    def sums_bytes_s(self) -> float:
        """Bytes a second when each router sends its load sums to all others."""
        models = self.size.models
        names = [f"model-{number}" for number in range(models)]
        least = ["engine-00000"] * models
        sums = wire.PoolLoads(
            1 << 20, names, [500] * models, [9] * models, least, [50] * models
        )
        message = len(wire.encode(sums)) + _LINK_HEADER_BYTES
        return message * (self.size.nodes - 1)

    @property
    def reads_s(self) -> float:
        """Platform reads a second when every node watches both values."""
        waits = 1 / watcher.CONFIGURATION_WAIT_S + 1 / watcher.VMS_WAIT_S
        changes = self.changes_s + self.vm_changes_s
        return self.size.nodes * (waits + changes)

    @property
    def document_bytes_s(self) -> float:
        """Bytes a second that a node reads as whole documents."""
        document = self.document_kb * self.changes_s
        return 1e3 * (document + self.list_kb * self.vm_changes_s)

    @property
    def parse_cpu(self) -> float:
        """Percent of a core for parsing whole documents."""
        document = self.at("configuration, checked", self.size.accounts)
        listed = self.at("VM list, checked", self.vms)
        spent = document * self.changes_s + listed * self.vm_changes_s
        return spent / 10

    @property
    def tables_cpu(self) -> float:
        """Percent of a core for rebuilding tables on each change."""
        owners = self.owners_ms * self.vm_changes_s
        rings = self.ring_ms * self.engine_changes_s
        return (owners + rings) / 10

    @property
    def suspects_stored(self) -> float:
        """Suspects of a day, for 64 requests in flight on each engine."""
        engines = self.size.engines / self.vms
        return self.size.vm_failures_day * engines * 64

    @property
    def update_bytes_s(self) -> float:
        """Bytes a second that a node sends for configuration and suspects.

        Each suspect has two reports, each of which a node sends 12 times.
        """
        change = self.at(
            "bytes that a node sends for a change", self.size.nodes
        )
        suspects = 2 * self.suspects_stored / _DAY_S * _REPORT_BYTES
        return change * self.changes_s + suspects * _SENDS_PER_REPORT

    @property
    def memory_mb(self) -> float:
        """Memory of the control plane on a node."""
        owners = self.at("table of owners, memory", self.size.nodes)
        return sum(
            (
                self.at("members, memory", self.size.nodes),
                owners * self.size.engines / 1_000,
                self.size.models
                * self.at(
                    "ring of engines, memory",
                    self.size.engines / self.size.models,
                ),
                self.at(
                    "chats with their holder",
                    self.size.chats / self.size.nodes,
                ),
                self.at("suspect requests", self.suspects_stored),
                3 * (self.document_kb + self.list_kb) / 1e3,
            )
        )


def limits(table: Table, size: Size) -> list[Limit]:
    """Returns the limits with the estimate for each."""
    estimate = _Estimate(table, size)
    gossip = estimate.at("control bytes sent, quiet", size.nodes)
    cpu = _gossip_cpu(estimate)
    spread = estimate.at(
        "a change read by 16 watchers is everywhere after", size.nodes
    )
    return [
        Limit("gossip of a node", "B/s", gossip, size.control_bytes_s),
        Limit(
            "gossip, and whole documents read",
            "B/s",
            gossip + estimate.document_bytes_s,
            size.control_bytes_s,
        ),
        Limit(
            "sums of load to every router each second",
            "B/s",
            estimate.sums_bytes_s,
            size.control_bytes_s,
        ),
        Limit(
            "gossip, with news of changes and of suspects",
            "B/s",
            gossip + estimate.update_bytes_s,
            size.control_bytes_s,
        ),
        Limit("gossip, processor", "% of a core", cpu, size.control_cpu),
        Limit(
            "gossip and checks of documents",
            "% of a core",
            cpu + estimate.parse_cpu,
            size.control_cpu,
        ),
        Limit(
            "tables built anew on each change",
            "% of a core",
            estimate.tables_cpu,
            size.control_cpu,
        ),
        Limit("memory of control", "MB", estimate.memory_mb, size.control_mb),
        Limit("reads, all nodes watch", "1/s", estimate.reads_s, size.reads_s),
        Limit(
            "reads within one second of a change",
            "1/s",
            estimate.reads_s + size.nodes,
            size.reads_s,
        ),
        Limit("configuration", "kB", estimate.document_kb, size.value_kb),
        Limit("VM list as one value", "kB", estimate.list_kb, size.value_kb),
        Limit("spread of a change", "s", spread, size.change_spread_s),
        Limit(
            "spread of the suspects of a crash",
            "s",
            estimate.at(
                "64 suspects of a crash known to all after", size.nodes
            ),
            quarantine.Limits().propagation_s,
        ),
    ]


def _gossip_cpu(estimate: _Estimate) -> float:
    process_cpu = "processor time of gossip"
    quiet = estimate.at("processor time, quiet", estimate.size.nodes)
    if process_cpu not in estimate._table:
        return quiet
    # The cost of the event loop does not depend on the size of the fleet.
    event_loop_cpu = estimate._table[process_cpu].line.intercept
    return event_loop_cpu + quiet


def roles(table: Table, size: Size) -> list[list[str]]:
    """Returns a table row for each role of a node."""
    estimate = _Estimate(table, size)
    nodes = size.nodes
    requests = size.requests_s / nodes
    tokens = size.tokens_s / nodes
    chats = size.chats / nodes
    token_us = estimate.at(
        "encoding and decoding of a token between routers", 1
    )
    packed_us = estimate.at(
        "encoding and decoding of a token between routers", 1 / 16
    )
    claim_ms = estimate.cost_per_unit("permits issued, claimed, recorded")
    retention_s = permits.LIFETIME_S + permits.RETENTION_S
    permit_kb = 1e3 * estimate.cost_per_unit(
        "used permits with answers of 100 bytes"
    )
    return [
        [
            "entry",
            f"{requests:.0f} requests/s, {tokens:,.0f} tokens/s",
            "one link to each owner that it forwards to",
            f"{tokens * packed_us / 1e4:.1f}% of a core in link frames at 16 "
            f"tokens a message, {tokens * token_us / 1e4:.0f}% at 1; none "
            "for a well-advised caller",
            "streams in progress",
            "coalesced frames; advised addresses",
        ],
        [
            "home owner of a chat",
            f"{chats:,.0f} chats",
            "cache events of its engines",
            "choice by the ring "
            f"{estimate.at('choice of an engine by the ring', 1_430):.1f} us",
            f"{estimate.at('chats with their holder', chats):.1f} MB",
            "ring, two generations of holders",
        ],
        [
            "owner of an engine",
            f"{size.engines / nodes:.1f} engines",
            f"sums to all: {estimate.sums_bytes_s / 1e3:.0f} kB/s",
            f"owners {estimate.owners_ms:,.0f} ms and "
            f"ring {estimate.ring_ms:.0f} ms "
            "for each change of the lists, built anew",
            f"{estimate.at('table of owners, memory', nodes) * 10:.1f} MB",
            "rendezvous, one writer for each engine",
        ],
        [
            "permit issuer",
            "used permits of its incarnation",
            "one link message for each call that came elsewhere",
            f"{claim_ms:.2f} ms a call with 10,000 on record",
            f"{permit_kb:.2f} kB each for {retention_s:.0f} s: "
            f"{permit_kb * retention_s / 1e3:.1f} MB at 1 call/s",
            "table in memory, one successor at a planned stop",
        ],
        [
            "member of the fleet",
            f"{nodes} members",
            f"{estimate.at('control bytes sent, quiet', nodes):.0f} B/s sent, "
            "as much received",
            f"{_gossip_cpu(estimate):.2f}% of a core",
            f"{estimate.at('members, memory', nodes):.1f} MB",
            "probes and rumours over UDP",
        ],
        [
            "watcher of the platform",
            f"configuration {estimate.document_kb:.0f} kB, "
            f"VM list {estimate.list_kb:,.0f} kB",
            f"{estimate.reads_s:.0f} reads/s by all; whole documents "
            f"{estimate.document_bytes_s / 1e3:.0f} kB/s a node",
            f"{estimate.parse_cpu:.2f}% of a core",
            f"{3 * (estimate.document_kb + estimate.list_kb) / 1e3:.1f} MB",
            "long polls with jitter, news by gossip",
        ],
        [
            "rollout owner",
            "orders to its own engines",
            "one order and one report for each engine and step",
            "a wave in the order that all compute alike",
            "small beside the others",
            "configuration version as fencing number",
        ],
        [
            "quarantine",
            f"{estimate.suspects_stored:,.0f} suspects of a day",
            "one rumour for each incident",
            "a look-up for each request",
            f"{estimate.at('suspect requests', estimate.suspects_stored):.1f}"
            " MB",
            "rumours, one deciding router for a digest",
        ],
    ]


def _relay_rows(table: Table, size: Size) -> list[str]:
    estimate = _Estimate(table, size)
    waits = 1 / watcher.CONFIGURATION_WAIT_S + 1 / watcher.VMS_WAIT_S
    changes = estimate.changes_s + estimate.vm_changes_s
    reads = _WATCHERS * (waits + changes)
    delta = _DELTA_BYTES * changes
    return [
        f"- reads by {_WATCHERS} watchers for all: {reads:.1f} a second",
        f"- changes of {_DELTA_BYTES} bytes in place of whole documents: "
        f"{delta:.0f} B/s a node",
    ]


def _row(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def _slope_rows(table: Table) -> list[str]:
    rows = [
        _row(["cost", "unit", "over", "measured", "line"]),
        _row(["---"] * 5),
    ]
    for slope in table.values():
        points = ", ".join(
            f"{point.size:g}: {point.value:.3g}" for point in slope.points
        )
        line = f"{slope.line.intercept:.3g} + {slope.line.slope:.3g} n"
        rows.append(_row([slope.name, slope.unit, slope.over, points, line]))
    return rows


def _limit_rows(entries: Sequence[Limit]) -> list[str]:
    rows = [
        _row(["what", "unit", "worked out", "limit", "verdict"]),
        _row(["---"] * 5),
    ]
    for entry in entries:
        verdict = "holds" if entry.value <= entry.limit else "**missed**"
        rows.append(
            _row(
                [
                    entry.name,
                    entry.unit,
                    f"{entry.value:,.4g}",
                    f"{entry.limit:,g}",
                    verdict,
                ]
            )
        )
    return rows


def _role_rows(cells: Sequence[Sequence[str]]) -> list[str]:
    head = ["role", "state", "messages", "processor", "memory", "mechanism"]
    return [_row(head), _row(["---"] * 6), *[_row(row) for row in cells]]


def main(argv: Sequence[str]) -> None:
    """Measures the costs and prints the tables."""
    del argv
    table = measure(_PROCESSES.value)
    size = Size()
    lines = [
        "### Measured slopes",
        "",
        *_slope_rows(table),
        "",
        "### A node at the size to design for, as built",
        "",
        *_role_rows(roles(table, size)),
        "",
        "### Limits, as built",
        "",
        *_limit_rows(limits(table, size)),
        "",
        "### With news relayed by gossip",
        "",
        *_relay_rows(table, size),
    ]
    print("\n".join(lines))  # noqa: T201


def _parse(argv: list[str]) -> list[str]:
    flags.FLAGS(argv[:1])
    return _FLAGS(argv)


if __name__ == "__main__":
    app.run(main, flags_parser=_parse)
