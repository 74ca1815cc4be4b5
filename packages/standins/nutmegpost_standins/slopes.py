"""Measures costs at several sizes and fits straight lines to them.

Each public function measures the costs of one part at three sizes or more.
`capacity` extrapolates them along the fitted lines.
"""

from collections.abc import Callable, Sequence
import functools
import gc
import json
import random
import socket
import subprocess
import sys
import time
import tracemalloc
from typing import Any, NamedTuple

from nutmegpost_core import configuration
from nutmegpost_core import dissemination
from nutmegpost_core import member_table
from nutmegpost_core import ownership
from nutmegpost_core import permits
from nutmegpost_core import placement
from nutmegpost_core import quarantine
from nutmegpost_core import ring
from nutmegpost_core import vms
from nutmegpost_core import wire
from nutmegpost_standins import gossiper
from nutmegpost_standins import network

__all__ = [
    "Line",
    "Point",
    "Slope",
    "chat_memory",
    "configuration_document",
    "configuration_spread",
    "engine_ring",
    "fit",
    "gossip_processes",
    "member_memory",
    "owner_table",
    "partition_heal",
    "permit_records",
    "simulated_members",
    "suspect_memory",
    "suspect_spread",
    "token_encoding",
    "vm_list",
    "zone_loss",
]

_READ_DELAY_S = 0.05
_WATCHERS = 16


class Point(NamedTuple):
    """One measurement.

    Attributes:
        size: Size at which the cost was measured.
        value: The cost.
    """

    size: float
    value: float


class Line(NamedTuple):
    """A straight line fitted by least squares."""

    intercept: float
    slope: float

    def at(self, size: float) -> float:
        """Returns the value at a size."""
        return self.intercept + self.slope * size


class Slope(NamedTuple):
    """A cost as a function of size.

    Attributes:
        name: Name of the cost.
        unit: Unit of the cost.
        over: Unit of the size.
        points: The measurements.
    """

    name: str
    unit: str
    over: str
    points: list[Point]

    @property
    def line(self) -> Line:
        """The line fitted to the points."""
        return fit(self.points)


def fit(points: Sequence[Point]) -> Line:
    """Returns the least-squares line; level if all sizes are equal."""
    count = len(points)
    mean_size = sum(point.size for point in points) / count
    mean_value = sum(point.value for point in points) / count
    spread = sum((point.size - mean_size) ** 2 for point in points)
    if spread == 0:
        return Line(mean_value, 0.0)
    slope = (
        sum(
            (point.size - mean_size) * (point.value - mean_value)
            for point in points
        )
        / spread
    )
    return Line(mean_value - slope * mean_size, slope)


def _fastest_s(call: Callable[[], Any], repeats: int = 3) -> float:
    best = float("inf")
    for _ in range(repeats):
        start = time.perf_counter()
        call()
        best = min(best, time.perf_counter() - start)
    return best


def _allocated_bytes(make: Callable[[], Any]) -> int:
    gc.collect()
    tracemalloc.start()
    result = make()
    gc.collect()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return used_bytes


def gossip_processes(
    sizes: Sequence[int] = (4, 8, 16, 32),
    warm_s: float = 15.0,
    measure_s: float = 15.0,
) -> list[Slope]:
    """Measures gossip-only processes that communicate over UDP."""
    sent: list[Point] = []
    received: list[Point] = []
    cpu: list[Point] = []
    for size in sizes:
        results = _run_gossipers(size, warm_s, measure_s)
        alive_min = min(report["alive"] for report in results)
        if alive_min < size:
            raise RuntimeError(
                f"{size} processes, but one sees only {alive_min}"
            )
        for points, key in ((sent, "sent"), (received, "received")):
            mean = sum(report[key] for report in results) / size
            points.append(Point(size, mean))
        mean = 100 * sum(report["cpu"] for report in results) / size
        cpu.append(Point(size, mean))
    over = "processes"
    return [
        Slope("control bytes sent by a node", "bytes/s", over, sent),
        Slope("control bytes received", "bytes/s", over, received),
        Slope("processor time of gossip", "% of a core", over, cpu),
    ]


def _free_port() -> int:
    host, _ = gossiper.address(0, 0).split(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


def _run_gossipers(
    size: int, warm_s: float, measure_s: float
) -> list[dict[str, float]]:
    port = _free_port()
    processes = [
        subprocess.Popen(
            [
                sys.executable,
                "-m",
                "nutmegpost_standins.gossiper",
                f"--number={number}",
                f"--count={size}",
                f"--port={port}",
                f"--warm={warm_s}",
                f"--measure={measure_s}",
            ],
            stdout=subprocess.PIPE,
        )
        for number in range(size)
    ]
    try:
        limit = warm_s + measure_s + 60
        return [
            json.loads(process.communicate(timeout=limit)[0])
            for process in processes
        ]
    finally:
        for process in processes:
            process.kill()


def simulated_members(
    sizes: Sequence[int] = (100, 300, 1_100), quiet_s: float = 10.0
) -> list[Slope]:
    """Measures members without changes, and a death, on a simulated network."""
    costs: dict[str, list[Point]] = {}

    def record(name: str, size: int, value: float) -> None:
        costs.setdefault(name, []).append(Point(size, value))

    for size in sizes:
        net = _converged_network(size)
        before = _total_sent_bytes(net)
        start = time.process_time()
        net.run(quiet_s)
        cpu = time.process_time() - start
        record("sent", size, (_total_sent_bytes(net) - before) / size / quiet_s)
        record("cpu", size, 100 * cpu / size / quiet_s)
        record("death", size, _death_spread_s(net))
    over = "members, simulated"
    return [
        Slope("control bytes sent, quiet", "bytes/s", over, costs["sent"]),
        Slope("processor time, quiet", "% of a core", over, costs["cpu"]),
        Slope("one death known to all after", "s", over, costs["death"]),
    ]


def _converged_network(size: int) -> network.Network:
    net = network.Network(size)
    for number in range(size):
        net.start(number)
    net.introduce_all()
    net.run(3)
    return net


def _total_sent_bytes(net: network.Network) -> int:
    return sum(node.sent_bytes for node in net.nodes.values())


def _death_spread_s(net: network.Network) -> float:
    start = net.now
    net.kill(net.vm_addresses[len(net.vm_addresses) // 2])
    if not net.run(120, net.has_converged):
        raise RuntimeError("a dead member was not detected by all within 120 s")
    return net.now - start


def zone_loss(sizes: Sequence[int] = (100, 300, 1_100)) -> Slope:
    """Measures how soon all members detect the loss of one zone of seven."""
    points = []
    for size in sizes:
        net = _converged_network(size)
        for address in net.vm_addresses[: size // 7]:
            net.kill(address)
        start = net.now
        if not net.run(600, net.has_converged):
            raise RuntimeError(
                "the zone loss was not detected by all within 600 s"
            )
        points.append(Point(size, net.now - start))
    return Slope(
        "loss of 1 zone of 7 known to all after",
        "s",
        "members, simulated",
        points,
    )


def partition_heal(
    sizes: Sequence[int] = (60, 120, 240), apart_s: float = 120.0
) -> Slope:
    """Measures how soon views converge after one region of three returns."""
    points = []
    for size in sizes:
        net = _converged_network(size)
        third = size // 3
        net.partition([net.vm_addresses[:third], net.vm_addresses[third:]])
        net.run(apart_s)
        net.partition([])
        start = net.now
        if not net.run(900, net.has_converged):
            raise RuntimeError("the views did not converge within 900 s")
        points.append(Point(size, net.now - start))
    return Slope(
        "views agree after a region returns",
        "s",
        "members, simulated",
        points,
    )


def configuration_spread(
    sizes: Sequence[int] = (100, 300, 1_100),
) -> list[Slope]:
    """Measures how soon a configuration read by 16 watchers reaches all nodes.

    Each node that learns of a higher version reads it 50 ms later and then
    announces it itself.
    """
    times, costs = [], []
    for size in sizes:
        net = _converged_network(size)
        quiet_bytes_s = _quiet_bytes_s(net)
        start, before = net.now, _total_sent_bytes(net)
        read_due = dict.fromkeys(net.vm_addresses[:_WATCHERS], net.now)
        done: set[str] = set()
        while len(done) < size and net.now < start + 60:
            _read_configuration(net, read_due, done)
            net.run(_READ_DELAY_S)
            _schedule_reads(net, read_due, done)
        times.append(Point(size, net.now - start))
        spent = (_total_sent_bytes(net) - before) / size - quiet_bytes_s * (
            net.now - start
        )
        costs.append(Point(size, spent))
    over = "members, simulated"
    return [
        Slope(
            "a change read by 16 watchers is everywhere after",
            "s",
            over,
            times,
        ),
        Slope("bytes that a node sends for a change", "bytes", over, costs),
    ]


def _quiet_bytes_s(net: network.Network, seconds: float = 10.0) -> float:
    before = _total_sent_bytes(net)
    net.run(seconds)
    return (_total_sent_bytes(net) - before) / len(net.nodes) / seconds


def suspect_spread(
    sizes: Sequence[int] = (8, 100, 300, 1_100), count: int = 64
) -> Slope:
    """Measures how soon the suspects of one crash reach all nodes."""
    points = []
    for size in sizes:
        net = _converged_network(size)
        node = net.nodes[net.vm_addresses[0]]
        reports = _crash_reports(count)
        for report in reports:
            node.disseminator.publish(
                dissemination.Kind.SUSPECT_REQUEST, *report[:2], net.now, 86_400
            )
        start = net.now
        net.send(net.vm_addresses[0], node.members.announce(net.now))
        is_complete = functools.partial(_all_have_items, net, len(reports))
        if not net.run(300, is_complete, 0.1):
            raise RuntimeError(
                "the suspects did not reach all nodes within 300 s"
            )
        points.append(Point(size, net.now - start))
    return Slope(
        f"{count} suspects of a crash known to all after",
        "s",
        "members, simulated",
        points,
    )


def _all_have_items(net: network.Network, count: int) -> bool:
    return all(len(node.disseminator) == count for node in net.nodes.values())


def _crash_reports(count: int) -> list[quarantine.Report]:
    store = quarantine.Quarantine("router-0000")
    for number in range(count):
        request = quarantine.digest("account", b"%d" % number)
        store.note_started(request, "engine-00001", 0.0)
    store.note_engine_crashed("engine-00001", 0.0)
    return store.reports()


def _read_configuration(
    net: network.Network, read_due: dict[str, float], done: set[str]
) -> None:
    for address, read_at in list(read_due.items()):
        if read_at <= net.now:
            del read_due[address]
            done.add(address)
            node = net.nodes[address]
            node.members.set_configuration(1, "ab" * 32)
            net.send(address, node.members.announce(net.now))


def _schedule_reads(
    net: network.Network, read_due: dict[str, float], done: set[str]
) -> None:
    for address, node in net.nodes.items():
        has_new_version = any(
            member.config_version
            for member in node.members.changed_configurations()
        )
        if has_new_version and address not in done:
            read_due.setdefault(address, net.now + _READ_DELAY_S)


def _engine_names(count: int) -> list[str]:
    return [f"engine-{number:05d}" for number in range(count)]


def _router_names(count: int) -> list[str]:
    return [f"router-{number:04d}" for number in range(count)]


def engine_ring(sizes: Sequence[int] = (1_000, 3_000, 10_000)) -> list[Slope]:
    """Measures the hash ring of engines: build time, memory and look-up."""
    build, memory, look_up = [], [], []
    for size in sizes:
        names = _engine_names(size)
        build.append(
            Point(size, 1e3 * _fastest_s(functools.partial(ring.Ring, names)))
        )
        used_bytes = _allocated_bytes(functools.partial(ring.Ring, names))
        memory.append(Point(size, used_bytes / 1e6))
        hash_ring = ring.Ring(names)
        keys = [b"%d" % number for number in range(10_000)]
        elapsed_s = _fastest_s(functools.partial(_look_up_all, hash_ring, keys))
        look_up.append(Point(size, 1e6 * elapsed_s / len(keys)))
    over = "engines"
    return [
        Slope("ring of engines, built anew", "ms", over, build),
        Slope("ring of engines, memory", "MB", over, memory),
        Slope("choice of an engine by the ring", "us", over, look_up),
    ]


def _look_up_all(hash_ring: ring.Ring, keys: list[bytes]) -> None:
    for key in keys:
        hash_ring.lookup(key)


def owner_table(
    routers: Sequence[int] = (50, 100, 200, 400), endpoints: int = 1_000
) -> list[Slope]:
    """Measures the table of owners of 1,000 endpoints: build time, memory."""
    build, memory = [], []
    names = _engine_names(endpoints)
    for size in routers:
        router_names = _router_names(size)
        elapsed_s = _fastest_s(
            functools.partial(ownership.Owners, router_names, names), 1
        )
        build.append(Point(size, 1e3 * elapsed_s))
        used_bytes = _allocated_bytes(
            functools.partial(ownership.Owners, router_names, names)
        )
        memory.append(Point(size, used_bytes / 1e6))
    over = f"routers, {endpoints} endpoints"
    return [
        Slope("table of owners, built anew", "ms", over, build),
        Slope("table of owners, memory", "MB", over, memory),
    ]


def chat_memory(sizes: Sequence[int] = (10_000, 20_000, 40_000)) -> Slope:
    """Measures the memory for the engines that hold the caches of chats."""

    def store_chats(size: int) -> placement.Placement:
        memory = placement.Placement(size)
        memory.set_engines("model", _engine_names(100))
        for number in range(size):
            engine = f"engine-{number % 100:05d}"
            memory.record_served("model", f"account/{number}", engine, 1_000)
        return memory

    points = [
        Point(
            size, _allocated_bytes(functools.partial(store_chats, size)) / 1e6
        )
        for size in sizes
    ]
    return Slope("chats with their holder", "MB", "chats", points)


def configuration_document(
    sizes: Sequence[int] = (100, 400, 1_400),
) -> list[Slope]:
    """Measures the configuration document: size and parse time."""
    size_kb, parse = [], []
    for size in sizes:
        data = _document(size)
        size_kb.append(Point(size, len(data) / 1e3))
        elapsed_s = _fastest_s(
            functools.partial(configuration.parse, data, "measure")
        )
        parse.append(Point(size, 1e3 * elapsed_s))
    over = "accounts"
    return [
        Slope("configuration document", "kB", over, size_kb),
        Slope("configuration, checked", "ms", over, parse),
    ]


def _document(count: int) -> bytes:
    classes: list[dict[str, Any]] = [
        {
            "name": f"class-{rank}",
            "rank": rank,
            "first_token_ms": 490,
            "between_tokens_ms": 30,
            "within": 0.95,
            "worth": 100.0 / rank,
        }
        for rank in (1, 2, 3)
    ]
    names = [work_class["name"] for work_class in classes]
    clients = [
        {
            "name": f"account-{number:04d}",
            "key_digests": [f"{number:064x}"],
            "classes": names,
        }
        for number in range(count)
    ]
    models = [
        {
            "name": f"model-{number}",
            "version": "v1",
            "slots": 64,
            "rollout": {"max_unavailable": 10},
        }
        for number in range(7)
    ]
    return json.dumps(
        {
            "version": 1,
            "load_bound": 1.5,
            "classes": classes,
            "accounts": clients,
            "models": models,
            "services": [],
        }
    ).encode()


def vm_list(sizes: Sequence[int] = (1_000, 3_000, 11_100)) -> list[Slope]:
    """Measures the VM list: size and parse time."""
    size_kb, parse = [], []
    for size in sizes:
        data = _vm_document(size)
        size_kb.append(Point(size, len(data) / 1e3))
        elapsed_s = _fastest_s(functools.partial(vms.parse, data, "measure"))
        parse.append(Point(size, 1e3 * elapsed_s))
    over = "VMs"
    return [
        Slope("VM list", "kB", over, size_kb),
        Slope("VM list, checked", "ms", over, parse),
    ]


def _vm_document(count: int) -> bytes:
    entries = [
        {
            "name": f"engine-{number:05d}",
            "address": f"10.{number // 250}.{number % 250}.1:8000",
            "peer_address": f"10.{number // 250}.{number % 250}.1:8000",
            "zone": f"zone-{number % 7}",
            "kind": "engine",
            "pool": f"model-{number % 7}",
            "state": "live",
            "fenced": True,
        }
        for number in range(count)
    ]
    return json.dumps({"version": 1, "vms": entries}).encode()


def permit_records(
    sizes: Sequence[int] = (1_000, 3_000, 10_000),
) -> list[Slope]:
    """Measures the table of used permits: memory, and time to use them."""
    result = permits.Result("answered", 200, "", b"x" * 100)

    def use_permits(size: int) -> permits.Table:
        table = permits.Table("router-0001", 1 << 47, b"k" * 16, 0.0)
        for number in range(size):
            text = table.issue("account-0001", 0.0)
            permit = permits.decode(text, table.key)
            digest = permits.call_digest("service", "issue", b"%d" % number)
            table.claim(permit, "account-0001", digest, 0.0)
            table.mark_sent(permit)
            table.record(permit, result)
        return table

    memory = [
        Point(
            size, _allocated_bytes(functools.partial(use_permits, size)) / 1e6
        )
        for size in sizes
    ]
    times = [
        Point(size, 1e3 * _fastest_s(functools.partial(use_permits, size), 1))
        for size in sizes
    ]
    return [
        Slope("used permits with answers of 100 bytes", "MB", "calls", memory),
        Slope("permits issued, claimed, recorded", "ms", "calls", times),
    ]


def suspect_memory(sizes: Sequence[int] = (1_000, 3_000, 10_000)) -> Slope:
    """Measures the memory of suspects and of their gossip items."""

    def store_suspects(
        size: int,
    ) -> tuple[quarantine.Quarantine, dissemination.Disseminator]:
        store = quarantine.Quarantine("router-1")
        disseminator = dissemination.Disseminator(random.Random(1))
        for number in range(size):
            request = quarantine.digest("account", b"%d" % number)
            store.record_remote_crashes(request, 1, "engine-00001", 0.0)
            key = request + b"0000engine-00001"
            kind = dissemination.Kind.SUSPECT_REQUEST
            disseminator.publish(kind, key, b"\x02", 0.0, 86_400)
        return store, disseminator

    points = [
        Point(
            size,
            _allocated_bytes(functools.partial(store_suspects, size)) / 1e6,
        )
        for size in sizes
    ]
    return Slope("suspect requests", "MB", "suspects", points)


def member_memory(sizes: Sequence[int] = (100, 300, 1_100)) -> Slope:
    """Measures the memory of the member table."""

    def store_members(size: int) -> member_table.MemberTable:
        table = member_table.MemberTable(_member(0))
        for number in range(1, size):
            table.put(_member(number), 0.0)
        table.changes()
        return table

    points = [
        Point(
            size, _allocated_bytes(functools.partial(store_members, size)) / 1e6
        )
        for size in sizes
    ]
    return Slope("members, memory", "MB", "members", points)


def _member(number: int) -> member_table.Member:
    address = f"10.0.{number // 250}.{number % 250}:7000"
    return member_table.Member(
        f"router-{number:04d}",
        (1 << 47) + number,
        address,
        address,
        f"zone-{number % 7}",
    )


def token_encoding(sizes: Sequence[int] = (1, 2, 4, 16)) -> Slope:
    """Measures the time to encode and decode a token in a link message.

    The size is the number of messages per token, so the intercept is the cost
    of a token and the slope that of a message.
    """
    event = b'{"choices":[{"delta":{"content":"token"}}]}'
    points = []
    for size in sizes:
        frames = wire.Frames(
            "r-1", "account", "engine-00001", 1, 0, [event] * size
        )

        def relay(message: wire.Frames = frames) -> None:
            for _ in range(2_000):
                wire.decode(wire.encode(message))

        elapsed_s = _fastest_s(relay) / 2_000 / size
        points.append(Point(1 / size, 1e6 * elapsed_s))
    return Slope(
        "encoding and decoding of a token between routers",
        "us",
        "messages a token",
        points,
    )
