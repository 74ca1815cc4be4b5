"""Measured costs over size, and straight lines through them.

Each function measures one cost at three sizes or more. The page on capacity
is worked out from the lines.
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
    "accounts",
    "chats",
    "engines",
    "fit",
    "member_memory",
    "members_apart",
    "members_together",
    "news",
    "owners",
    "permit_records",
    "suspect_spread",
    "suspects",
    "tokens",
    "region_heal",
    "vm_list",
    "zone_loss",
]

_READ_S = 0.05
_WATCHERS = 16


class Point(NamedTuple):
    """One measurement.

    Attributes:
        size: Size of the thing measured.
        value: The cost.
    """

    size: float
    value: float


class Line(NamedTuple):
    """A straight line through points, by least squares."""

    intercept: float
    slope: float

    def at(self, size: float) -> float:
        """Returns the value at a size."""
        return self.intercept + self.slope * size


class Slope(NamedTuple):
    """A cost over size.

    Attributes:
        name: What costs.
        unit: Unit of the cost.
        over: What the size counts.
        points: The measurements.
    """

    name: str
    unit: str
    over: str
    points: list[Point]

    @property
    def line(self) -> Line:
        """The line through the points."""
        return fit(self.points)


def fit(points: Sequence[Point]) -> Line:
    """Returns the line of least squares through points."""
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


def _seconds(call: Callable[[], Any], repeats: int = 3) -> float:
    best = float("inf")
    for _ in range(repeats):
        began = time.perf_counter()
        call()
        best = min(best, time.perf_counter() - began)
    return best


def _bytes(make: Callable[[], Any]) -> int:
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return used


def members_apart(
    sizes: Sequence[int] = (4, 8, 16, 32),
    warm_s: float = 15.0,
    measure_s: float = 15.0,
) -> list[Slope]:
    """Measures processes that do nothing but gossip over real UDP."""
    sent: list[Point] = []
    received: list[Point] = []
    cpu: list[Point] = []
    for size in sizes:
        found = _gossipers(size, warm_s, measure_s)
        joined = min(item["alive"] for item in found)
        if joined < size:
            raise RuntimeError(f"{size} processes, one sees {joined}")
        for points, key in ((sent, "sent"), (received, "received")):
            mean = sum(item[key] for item in found) / size
            points.append(Point(size, mean))
        mean = 100 * sum(item["cpu"] for item in found) / size
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


def _gossipers(
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


def members_together(
    sizes: Sequence[int] = (100, 300, 1_100), quiet_s: float = 10.0
) -> list[Slope]:
    """Measures members on the simulated network."""
    costs: dict[str, list[Point]] = {}

    def note(name: str, size: int, value: float) -> None:
        costs.setdefault(name, []).append(Point(size, value))

    for size in sizes:
        net = _quiet_fleet(size)
        before = _sent(net)
        began = time.process_time()
        net.run(quiet_s)
        cpu = time.process_time() - began
        note("sent", size, (_sent(net) - before) / size / quiet_s)
        note("cpu", size, 100 * cpu / size / quiet_s)
        note("death", size, _time_of_death(net))
    over = "members, simulated"
    return [
        Slope("control bytes sent, quiet", "bytes/s", over, costs["sent"]),
        Slope("processor time, quiet", "% of a core", over, costs["cpu"]),
        Slope("one death known to all after", "s", over, costs["death"]),
    ]


def _quiet_fleet(size: int) -> network.Network:
    net = network.Network(size)
    for number in range(size):
        net.start(number)
    net.acquaint()
    net.run(3)
    return net


def _sent(net: network.Network) -> int:
    return sum(node.sent_bytes for node in net.nodes.values())


def _time_of_death(net: network.Network) -> float:
    began = net.now
    net.kill(net.listed[len(net.listed) // 2])
    if not net.run(120, net.agrees):
        raise RuntimeError("a death did not become known within 120 s")
    return net.now - began


def zone_loss(sizes: Sequence[int] = (100, 300, 1_100)) -> Slope:
    """Measures the loss of one zone of seven at once."""
    points = []
    for size in sizes:
        net = _quiet_fleet(size)
        for address in net.listed[: size // 7]:
            net.kill(address)
        began = net.now
        if not net.run(600, net.agrees):
            raise RuntimeError("the loss did not become known within 600 s")
        points.append(Point(size, net.now - began))
    return Slope(
        "loss of 1 zone of 7 known to all after",
        "s",
        "members, simulated",
        points,
    )


def region_heal(
    sizes: Sequence[int] = (60, 120, 240), apart_s: float = 120.0
) -> Slope:
    """Measures the end of a partition that cut off a region of three."""
    points = []
    for size in sizes:
        net = _quiet_fleet(size)
        third = size // 3
        net.cut([net.listed[:third], net.listed[third:]])
        net.run(apart_s)
        net.cut([])
        began = net.now
        if not net.run(900, net.agrees):
            raise RuntimeError("the views did not agree within 900 s")
        points.append(Point(size, net.now - began))
    return Slope(
        "views agree after a region returns",
        "s",
        "members, simulated",
        points,
    )


def news(sizes: Sequence[int] = (100, 300, 1_100)) -> list[Slope]:
    """Measures how soon a configuration read by 16 watchers is everywhere.

    Each node that hears of a higher version reads it 50 ms later and then
    announces it in turn.
    """
    times, costs = [], []
    for size in sizes:
        net = _quiet_fleet(size)
        quiet_s = _quiet_rate(net)
        began, before = net.now, _sent(net)
        due = dict.fromkeys(net.listed[:_WATCHERS], net.now)
        done: set[str] = set()
        while len(done) < size and net.now < began + 60:
            _read_configuration(net, due, done)
            net.run(_READ_S)
            _hear_of_configuration(net, due, done)
        times.append(Point(size, net.now - began))
        spent = (_sent(net) - before) / size - quiet_s * (net.now - began)
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


def _quiet_rate(net: network.Network, seconds: float = 10.0) -> float:
    before = _sent(net)
    net.run(seconds)
    return (_sent(net) - before) / len(net.nodes) / seconds


def suspect_spread(
    sizes: Sequence[int] = (8, 100, 300, 1_100), count: int = 64
) -> Slope:
    """Measures how soon the suspects of one crash are known to all."""
    points = []
    for size in sizes:
        net = _quiet_fleet(size)
        node = net.nodes[net.listed[0]]
        reports = _crash(count)
        for report in reports:
            node.riders.publish(
                dissemination.Kind.SUSPECT_REQUEST, *report[:2], net.now, 86_400
            )
        began = net.now
        net.post(net.listed[0], node.members.announce(net.now))
        known = functools.partial(_all_hold, net, len(reports))
        if not net.run(300, known, 0.1):
            raise RuntimeError("the suspects are not known after 300 s")
        points.append(Point(size, net.now - began))
    return Slope(
        f"{count} suspects of a crash known to all after",
        "s",
        "members, simulated",
        points,
    )


def _all_hold(net: network.Network, count: int) -> bool:
    return all(len(node.riders) == count for node in net.nodes.values())


def _crash(count: int) -> list[quarantine.Report]:
    store = quarantine.Quarantine("router-0000")
    for number in range(count):
        request = quarantine.digest("account", b"%d" % number)
        store.note_started(request, "engine-00001", 0.0)
    store.note_engine_crashed("engine-00001", 0.0)
    return store.reports()


def _read_configuration(
    net: network.Network, due: dict[str, float], done: set[str]
) -> None:
    for address, at in list(due.items()):
        if at <= net.now:
            del due[address]
            done.add(address)
            node = net.nodes[address]
            node.members.set_configuration(1, "ab" * 32)
            net.post(address, node.members.announce(net.now))


def _hear_of_configuration(
    net: network.Network, due: dict[str, float], done: set[str]
) -> None:
    for address, node in net.nodes.items():
        heard = any(
            member.config_version
            for member in node.members.changed_configurations()
        )
        if heard and address not in done:
            due.setdefault(address, net.now + _READ_S)


def _engine_names(count: int) -> list[str]:
    return [f"engine-{number:05d}" for number in range(count)]


def _router_names(count: int) -> list[str]:
    return [f"router-{number:04d}" for number in range(count)]


def engines(sizes: Sequence[int] = (1_000, 3_000, 10_000)) -> list[Slope]:
    """Measures the ring of engines."""
    build, memory, choose = [], [], []
    for size in sizes:
        names = _engine_names(size)
        build.append(
            Point(size, 1e3 * _seconds(functools.partial(ring.Ring, names)))
        )
        used = _bytes(functools.partial(ring.Ring, names))
        memory.append(Point(size, used / 1e6))
        built = ring.Ring(names)
        keys = [b"%d" % number for number in range(10_000)]
        taken = _seconds(functools.partial(_choose, built, keys))
        choose.append(Point(size, 1e6 * taken / len(keys)))
    over = "engines"
    return [
        Slope("ring of engines, built anew", "ms", over, build),
        Slope("ring of engines, memory", "MB", over, memory),
        Slope("choice of an engine by the ring", "us", over, choose),
    ]


def _choose(built: ring.Ring, keys: list[bytes]) -> None:
    for key in keys:
        built.lookup(key)


def owners(
    routers: Sequence[int] = (50, 100, 200, 400), endpoints: int = 1_000
) -> list[Slope]:
    """Measures the table of owners, at 1,000 endpoints."""
    build, memory = [], []
    names = _engine_names(endpoints)
    for size in routers:
        live = _router_names(size)
        taken = _seconds(functools.partial(ownership.Owners, live, names), 1)
        build.append(Point(size, 1e3 * taken))
        used = _bytes(functools.partial(ownership.Owners, live, names))
        memory.append(Point(size, used / 1e6))
    over = f"routers, {endpoints} endpoints"
    return [
        Slope("table of owners, built anew", "ms", over, build),
        Slope("table of owners, memory", "MB", over, memory),
    ]


def chats(sizes: Sequence[int] = (10_000, 20_000, 40_000)) -> Slope:
    """Measures the memory of holders of chats."""

    def remember(size: int) -> placement.Placement:
        memory = placement.Placement(size)
        memory.set_engines("model", _engine_names(100))
        for number in range(size):
            engine = f"engine-{number % 100:05d}"
            memory.record_served("model", f"account/{number}", engine, 1_000)
        return memory

    points = [
        Point(size, _bytes(functools.partial(remember, size)) / 1e6)
        for size in sizes
    ]
    return Slope("chats with their holder", "MB", "chats", points)


def accounts(sizes: Sequence[int] = (100, 400, 1_400)) -> list[Slope]:
    """Measures the configuration document."""
    size_kb, parse = [], []
    for size in sizes:
        data = _document(size)
        size_kb.append(Point(size, len(data) / 1e3))
        taken = _seconds(
            functools.partial(configuration.parse, data, "measure")
        )
        parse.append(Point(size, 1e3 * taken))
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
    names = [item["name"] for item in classes]
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
    """Measures the VM list."""
    size_kb, parse = [], []
    for size in sizes:
        data = _vm_document(size)
        size_kb.append(Point(size, len(data) / 1e3))
        taken = _seconds(functools.partial(vms.parse, data, "measure"))
        parse.append(Point(size, 1e3 * taken))
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
    """Measures the table of permits that were used."""
    result = permits.Result("answered", 200, "", b"x" * 100)

    def use(size: int) -> permits.Table:
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
        Point(size, _bytes(functools.partial(use, size)) / 1e6)
        for size in sizes
    ]
    taken = [
        Point(size, 1e3 * _seconds(functools.partial(use, size), 1))
        for size in sizes
    ]
    return [
        Slope("used permits with answers of 100 bytes", "MB", "calls", memory),
        Slope("permits issued, claimed, recorded", "ms", "calls", taken),
    ]


def suspects(sizes: Sequence[int] = (1_000, 3_000, 10_000)) -> Slope:
    """Measures the memory of suspects, with the rumours that carry them."""

    def learn(
        size: int,
    ) -> tuple[quarantine.Quarantine, dissemination.Disseminator]:
        store = quarantine.Quarantine("router-1")
        riders = dissemination.Disseminator(random.Random(1))
        for number in range(size):
            request = quarantine.digest("account", b"%d" % number)
            store.record_remote_crashes(request, 1, "engine-00001", 0.0)
            key = request + b"0000engine-00001"
            kind = dissemination.Kind.SUSPECT_REQUEST
            riders.publish(kind, key, b"\x02", 0.0, 86_400)
        return store, riders

    points = [
        Point(size, _bytes(functools.partial(learn, size)) / 1e6)
        for size in sizes
    ]
    return Slope("suspect requests", "MB", "suspects", points)


def member_memory(sizes: Sequence[int] = (100, 300, 1_100)) -> Slope:
    """Measures the memory of the view of a fleet."""

    def know(size: int) -> member_table.MemberTable:
        table = member_table.MemberTable(_member(0))
        for number in range(1, size):
            table.put(_member(number), 0.0)
        table.changes()
        return table

    points = [
        Point(size, _bytes(functools.partial(know, size)) / 1e6)
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


def tokens(sizes: Sequence[int] = (1, 2, 4, 16)) -> Slope:
    """Measures one token over a link, with several in a message.

    The size is the share of a message that a token has, so the intercept is
    the cost of a token and the slope that of a message.
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

        taken = _seconds(relay) / 2_000 / size
        points.append(Point(1 / size, 1e6 * taken))
    return Slope(
        "encoding and decoding of a token between routers",
        "us",
        "messages a token",
        points,
    )
