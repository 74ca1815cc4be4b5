"""Prints the tables of docs/CAPACITY.md.

    python -m nutmegpost_standins.capacity

Costs are measured at several sizes, and lines through them are read at the
size that the fleet is designed for. A few minutes on one machine.
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

# Flags of its own: other commands have flags of the same names.
_FLAGS = flags.FlagValues()
_PROCESSES = flags.DEFINE_bool(
    "processes",
    True,
    "Whether real processes are measured as well.",
    flag_values=_FLAGS,
)

_DAY_S = 86_400.0
_LINK_HEADER_BYTES = 60
_DELTA_BYTES = 500
_WATCHERS = 16
_REPORT_BYTES = 55
_TIMES_SENT = 12


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
    in_force_s: float = 4.0


class Limit(NamedTuple):
    """A limit, and what is worked out against it.

    Attributes:
        name: What is limited.
        unit: Unit of both values.
        value: Worked out.
        limit: The most that is allowed.
    """

    name: str
    unit: str
    value: float
    limit: float


Table = dict[str, slopes.Slope]


def measure(processes: bool) -> Table:
    """Measures all slopes.

    Args:
        processes: Whether to start real processes as well.
    """
    found: list[slopes.Slope] = []
    if processes:
        found += slopes.gossip_processes()
    found += slopes.simulated_members()
    found += [
        slopes.zone_loss(),
        slopes.partition_heal(),
        *slopes.configuration_spread(),
    ]
    found += [slopes.suspect_spread()]
    found += [
        *slopes.engine_ring(),
        *slopes.owner_table(),
        slopes.chat_memory(),
    ]
    found += [*slopes.configuration_document(), *slopes.vm_list()]
    found += [
        *slopes.permit_records(),
        slopes.suspect_memory(),
        slopes.token_encoding(),
    ]
    found += [slopes.member_memory()]
    return {slope.name: slope for slope in found}


class _Work:
    """What follows from the slopes at a size."""

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
        """Reads a line at a size, never below zero."""
        return max(0.0, self._table[name].line.at(size))

    def each(self, name: str) -> float:
        """Returns the cost of one more."""
        return self._table[name].line.slope

    @property
    def ring_ms(self) -> float:
        """Time to build the ring of one model's engines."""
        engines = self.size.engines / self.size.models
        return self.at("ring of engines, built anew", engines)

    @property
    def owners_ms(self) -> float:
        """Time to build the table of owners."""
        thousands = self.size.engines / 1_000
        one = self.at("table of owners, built anew", self.size.nodes)
        return one * thousands

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
        """Bytes a second when every router tells every other its sums."""
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
        """Reads of the platform when every node watches both values."""
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
        """Percent of a core for checking whole documents."""
        document = self.at("configuration, checked", self.size.accounts)
        listed = self.at("VM list, checked", self.vms)
        spent = document * self.changes_s + listed * self.vm_changes_s
        return spent / 10

    @property
    def tables_cpu(self) -> float:
        """Percent of a core for tables that are built anew on a change."""
        owners = self.owners_ms * self.vm_changes_s
        rings = self.ring_ms * self.engine_changes_s
        return (owners + rings) / 10

    @property
    def suspects_held(self) -> float:
        """Suspects of a day, at 64 requests in flight on an engine."""
        engines = self.size.engines / self.vms
        return self.size.vm_failures_day * engines * 64

    @property
    def news_bytes_s(self) -> float:
        """Bytes a second that a node sends on news.

        Each suspect has two reports, each sent on a dozen times.
        """
        change = self.at(
            "bytes that a node sends for a change", self.size.nodes
        )
        suspects = 2 * self.suspects_held / _DAY_S * _REPORT_BYTES
        return change * self.changes_s + suspects * _TIMES_SENT

    @property
    def memory_mb(self) -> float:
        """Memory of control on a node."""
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
                self.at("suspect requests", self.suspects_held),
                3 * (self.document_kb + self.list_kb) / 1e3,
            )
        )


def limits(table: Table, size: Size) -> list[Limit]:
    """Returns the limits and what is worked out against each."""
    work = _Work(table, size)
    gossip = work.at("control bytes sent, quiet", size.nodes)
    cpu = _gossip_cpu(work)
    spread = work.at(
        "a change read by 16 watchers is everywhere after", size.nodes
    )
    return [
        Limit("gossip of a node", "B/s", gossip, size.control_bytes_s),
        Limit(
            "gossip, and whole documents read",
            "B/s",
            gossip + work.document_bytes_s,
            size.control_bytes_s,
        ),
        Limit(
            "sums of load to every router each second",
            "B/s",
            work.sums_bytes_s,
            size.control_bytes_s,
        ),
        Limit(
            "gossip, with news of changes and of suspects",
            "B/s",
            gossip + work.news_bytes_s,
            size.control_bytes_s,
        ),
        Limit("gossip, processor", "% of a core", cpu, size.control_cpu),
        Limit(
            "gossip and checks of documents",
            "% of a core",
            cpu + work.parse_cpu,
            size.control_cpu,
        ),
        Limit(
            "tables built anew on each change",
            "% of a core",
            work.tables_cpu,
            size.control_cpu,
        ),
        Limit("memory of control", "MB", work.memory_mb, size.control_mb),
        Limit("reads, all nodes watch", "1/s", work.reads_s, size.reads_s),
        Limit(
            "reads within one second of a change",
            "1/s",
            work.reads_s + size.nodes,
            size.reads_s,
        ),
        Limit("configuration", "kB", work.document_kb, size.value_kb),
        Limit("VM list as one value", "kB", work.list_kb, size.value_kb),
        Limit("spread of a change", "s", spread, size.in_force_s),
        Limit(
            "spread of the suspects of a crash",
            "s",
            work.at("64 suspects of a crash known to all after", size.nodes),
            quarantine.Limits().propagation_s,
        ),
    ]


def _gossip_cpu(work: _Work) -> float:
    apart = "processor time of gossip"
    quiet = work.at("processor time, quiet", work.size.nodes)
    if apart not in work._table:
        return quiet
    # A process pays for its event loop whatever the size of the fleet.
    loop = work._table[apart].line.intercept
    return loop + quiet


def roles(table: Table, size: Size) -> list[list[str]]:
    """Returns a row for each role: state, messages, processor, memory."""
    work = _Work(table, size)
    nodes = size.nodes
    requests = size.requests_s / nodes
    tokens = size.tokens_s / nodes
    chats = size.chats / nodes
    token_us = work.at("encoding and decoding of a token between routers", 1)
    packed_us = work.at(
        "encoding and decoding of a token between routers", 1 / 16
    )
    claim_ms = work.each("permits issued, claimed, recorded")
    kept_s = permits.LIFETIME_S + permits.RETENTION_S
    permit_kb = 1e3 * work.each("used permits with answers of 100 bytes")
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
            f"{work.at('choice of an engine by the ring', 1_430):.1f} us",
            f"{work.at('chats with their holder', chats):.1f} MB",
            "ring, two generations of holders",
        ],
        [
            "owner of an engine",
            f"{size.engines / nodes:.1f} engines",
            f"sums to all: {work.sums_bytes_s / 1e3:.0f} kB/s",
            f"owners {work.owners_ms:,.0f} ms and ring {work.ring_ms:.0f} ms "
            "for each change of the lists, built anew",
            f"{work.at('table of owners, memory', nodes) * 10:.1f} MB",
            "rendezvous, one writer for each engine",
        ],
        [
            "permit issuer",
            "used permits of its incarnation",
            "one link message for each call that came elsewhere",
            f"{claim_ms:.2f} ms a call with 10,000 on record",
            f"{permit_kb:.2f} kB each for {kept_s:.0f} s: "
            f"{permit_kb * kept_s / 1e3:.1f} MB at 1 call/s",
            "table in memory, one successor at a planned stop",
        ],
        [
            "member of the fleet",
            f"{nodes} members",
            f"{work.at('control bytes sent, quiet', nodes):.0f} B/s sent, "
            "as much received",
            f"{_gossip_cpu(work):.2f}% of a core",
            f"{work.at('members, memory', nodes):.1f} MB",
            "probes and rumours over UDP",
        ],
        [
            "watcher of the platform",
            f"configuration {work.document_kb:.0f} kB, "
            f"VM list {work.list_kb:,.0f} kB",
            f"{work.reads_s:.0f} reads/s by all; whole documents "
            f"{work.document_bytes_s / 1e3:.0f} kB/s a node",
            f"{work.parse_cpu:.2f}% of a core",
            f"{3 * (work.document_kb + work.list_kb) / 1e3:.1f} MB",
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
            f"{work.suspects_held:,.0f} suspects of a day",
            "one rumour for each incident",
            "a look-up for each request",
            f"{work.at('suspect requests', work.suspects_held):.1f} MB",
            "rumours, one deciding router for a digest",
        ],
    ]


def _relayed(table: Table, size: Size) -> list[str]:
    work = _Work(table, size)
    waits = 1 / watcher.CONFIGURATION_WAIT_S + 1 / watcher.VMS_WAIT_S
    changes = work.changes_s + work.vm_changes_s
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


def _limit_rows(found: Sequence[Limit]) -> list[str]:
    rows = [
        _row(["what", "unit", "worked out", "limit", "verdict"]),
        _row(["---"] * 5),
    ]
    for item in found:
        verdict = "holds" if item.value <= item.limit else "**missed**"
        rows.append(
            _row(
                [
                    item.name,
                    item.unit,
                    f"{item.value:,.4g}",
                    f"{item.limit:,g}",
                    verdict,
                ]
            )
        )
    return rows


def _role_rows(found: Sequence[Sequence[str]]) -> list[str]:
    head = ["role", "state", "messages", "processor", "memory", "mechanism"]
    return [_row(head), _row(["---"] * 6), *[_row(row) for row in found]]


def main(argv: Sequence[str]) -> None:
    """Runs the command."""
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
        *_relayed(table, size),
    ]
    print("\n".join(lines))  # noqa: T201


def _parse(argv: list[str]) -> list[str]:
    flags.FLAGS(argv[:1])
    return _FLAGS(argv)


if __name__ == "__main__":
    app.run(main, flags_parser=_parse)
