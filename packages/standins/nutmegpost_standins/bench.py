"""Measures one router process: latency added, and tokens relayed a second.

Run as `python -m nutmegpost_standins.bench [--streams N,N]`. It starts a
platform, engines, one router and callers as processes on loopback addresses,
and ends them. The last line is one JSON object.
"""

import asyncio
from collections.abc import Sequence
import contextlib
import hashlib
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import Any, NamedTuple

from absl import app
from absl import flags

from nutmegpost_standins import figures

__all__ = ["Latency", "Throughput", "main"]

_STREAMS = flags.DEFINE_list(
    "streams", ["200", "500", "1000"], "streams at once, of each step"
)
_REQUESTS = flags.DEFINE_integer("requests", 400, "requests each way")
_CLIENT = flags.DEFINE_integer("client", 0, "streams of a client process")
_DIRECT = flags.DEFINE_bool("direct", False, "pass the router by")
_HELD_S = flags.DEFINE_float("held_s", 8.0, "length of each step, seconds")

_NET = "127.0.66"
_KEY = "bench-key-of-the-only-account"
_ROUTER = f"{_NET}.1"
_PLATFORM = f"{_NET}.9:20070"
_ENGINES = 4
_STEP_MS = 30.0
_CLIENTS = 3
_START_S = 30.0
# Goals of the figures.
P50_MS_MAX = 2.0
P99_MS_MAX = 10.0
TOKENS_PER_S_MIN = 31_000.0


class Latency(NamedTuple):
    """Time to the first token, milliseconds.

    Attributes:
        direct_p50: Straight from the engine.
        direct_p99: The same, 99th percentile.
        routed_p50: Through the router.
        routed_p99: The same, 99th percentile.
    """

    direct_p50: float
    direct_p99: float
    routed_p50: float
    routed_p99: float


class Throughput(NamedTuple):
    """What one router relayed.

    Attributes:
        streams: Streams at once.
        tokens_per_s: Tokens that reached the callers a second.
        share: The same, of what the engines make at their step time.
        cores: Cores that the router process used.
    """

    streams: int
    tokens_per_s: float
    share: float
    cores: float


def _engine(number: int) -> str:
    return f"{_NET}.{11 + number}:20090"


def _write_documents(folder: pathlib.Path) -> None:
    work_class = {
        "name": "bench",
        "rank": 1,
        "first_token_ms": 60_000,
        "worth": 1,
    }
    account = {
        "name": "bench",
        "key_digests": [hashlib.sha256(_KEY.encode()).hexdigest()],
        "classes": ["bench"],
    }
    models = [
        {
            "name": name,
            "version": "v1",
            "slots": 512,
            "rollout": {"max_unavailable": 1},
        }
        for name in ("streams", "quick")
    ]
    configuration = {
        "version": 1,
        "load_bound": 4.0,
        "classes": [work_class],
        "accounts": [account],
        "models": models,
        "services": [],
    }
    vms = [_vm("router-1", f"{_ROUTER}:20080", f"{_ROUTER}:20081", "router")]
    for number in range(_ENGINES + 1):
        pool = "quick" if number == _ENGINES else "streams"
        address = _engine(number)
        vms.append(_vm(f"engine-{number}", address, address, "engine", pool))
    settings = {
        "name": "router-1",
        "zone": "a",
        "public_address": f"{_ROUTER}:20080",
        "peer_address": f"{_ROUTER}:20081",
        "admin_address": f"{_ROUTER}:20082",
        "platform_address": _PLATFORM,
        "peer_key": "bench-peer-key-0123456789",
        "admin_key": "bench-admin-key-0123456789",
        "log_level": "WARNING",
        "stop_grace_s": 1.0,
    }
    documents = {
        "configuration": configuration,
        "vms": {"version": 1, "vms": vms},
        "router": settings,
    }
    for name, document in documents.items():
        (folder / f"{name}.json").write_text(json.dumps(document))


def _vm(
    name: str, address: str, peer_address: str, kind: str, pool: str = ""
) -> dict[str, Any]:
    return {
        "name": name,
        "address": address,
        "peer_address": peer_address,
        "zone": "a",
        "kind": kind,
        "pool": pool,
        "state": "live",
        "fenced": True,
    }


def _start(
    stack: contextlib.ExitStack, log: pathlib.Path, *command: str
) -> subprocess.Popen[bytes]:
    with log.open("ab") as output:
        process = subprocess.Popen(command, stdout=output, stderr=output)
    stack.callback(_end, process)
    return process


def _end(process: subprocess.Popen[bytes]) -> None:
    process.kill()
    process.wait()


def _start_all(
    stack: contextlib.ExitStack, folder: pathlib.Path
) -> subprocess.Popen[bytes]:
    """Starts the processes and returns the router's."""
    module = (sys.executable, "-m")
    log = folder / "log"
    _start(
        stack,
        log,
        *module,
        "nutmegpost_standins.platform",
        f"--address={_PLATFORM}",
        f"--configuration={folder / 'configuration.json'}",
        f"--vms={folder / 'vms.json'}",
    )
    for number in range(_ENGINES + 1):
        is_quick = number == _ENGINES
        _start(
            stack,
            log,
            *module,
            "nutmegpost_standins.engine",
            f"--address={_engine(number)}",
            f"--model={'quick' if is_quick else 'streams'}",
            f"--step_ms={1.0 if is_quick else _STEP_MS}",
            "--prefill_per_s=10000000",
            "--batch=512",
        )
    binary = pathlib.Path(sys.executable).parent / "nutmegpost-router"
    return _start(
        stack, log, str(binary), f"--settings={folder / 'router.json'}"
    )


def _request(model: str, chat: str, tokens: int, is_direct: bool) -> bytes:
    body = json.dumps(
        {
            "model": model,
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": "how thick is it"}],
        }
    )
    headers = [
        "POST /v1/chat/completions HTTP/1.1",
        "Host: bench",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
    ]
    if is_direct:
        headers += [
            f"X-Request-Id: bench/{chat}",
            "X-Attempt: 1",
            "X-Priority: 1",
            f"X-Cache-Key: {hashlib.md5(chat.encode()).hexdigest()}",
        ]
    else:
        headers += [
            f"Authorization: Bearer {_KEY}",
            f"X-Chat-Id: {chat}",
            "X-Class: bench",
        ]
    return ("\r\n".join(headers) + "\r\n\r\n" + body).encode()


class _Connection:
    """A connection that is kept open between requests."""

    def __init__(self, address: str):
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def first_token_ms(self, request: bytes) -> float:
        """Sends a request and returns the time to its first event."""
        if self._streams is None:
            self._streams = await asyncio.open_connection(
                self._host, self._port
            )
        reader, writer = self._streams
        start = time.perf_counter()
        writer.write(request)
        await reader.readuntil(b"data:")
        elapsed = time.perf_counter() - start
        # The end of the chunked body, and its trailers.
        await reader.readuntil(b"\r\n0\r\n")
        while await reader.readline() != b"\r\n":
            pass
        return elapsed * 1000.0


async def _measure_latency() -> Latency:
    address = _engine(_ENGINES)
    direct = _Connection(address)
    routed = _Connection(f"{_ROUTER}:20080")
    times: tuple[list[float], list[float]] = ([], [])
    for number in range(_REQUESTS.value):
        for index, connection in enumerate((direct, routed)):
            name = f"{os.getpid()}-{index}-{number}"
            request = _request("quick", name, 2, index == 0)
            async with asyncio.timeout(10.0):
                elapsed = await connection.first_token_ms(request)
            times[index].append(elapsed)
    return Latency(
        figures.percentile(times[0], 0.50),
        figures.percentile(times[0], 0.99),
        figures.percentile(times[1], 0.50),
        figures.percentile(times[1], 0.99),
    )


async def _count_stream(
    address: str, request: bytes, deadline: float
) -> list[float]:
    """Returns the times at which tokens of one stream arrived."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request)
    arrivals = []
    try:
        while (left := deadline - time.time()) > 0:
            async with asyncio.timeout(left):
                data = await reader.read(65536)
            if not data:
                break
            arrivals += [time.time()] * data.count(b"\nid: ")
    except TimeoutError:
        pass
    writer.close()
    return arrivals


async def _run_client(streams: int, held_s: float, is_direct: bool) -> None:
    """Holds streams open and prints the tokens a second of the last part."""
    start = time.time()
    deadline = start + held_s
    tokens = int(held_s * 2000 / _STEP_MS)
    work = []
    for number in range(streams):
        name = f"{os.getpid()}-{number}"
        address = (
            _engine(number % _ENGINES) if is_direct else f"{_ROUTER}:20080"
        )
        request = _request("streams", name, tokens, is_direct)
        work.append(_count_stream(address, request, deadline))
    found = await asyncio.gather(*work)
    middle = start + held_s / 2
    count = sum(at >= middle for arrivals in found for at in arrivals)
    print(count / (deadline - middle))  # noqa: T201


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    ticks = sum(int(item) for item in fields.split()[11:13])
    return ticks / os.sysconf("SC_CLK_TCK")


def _measure_throughput(
    stack: contextlib.ExitStack,
    router: subprocess.Popen[bytes],
    streams: int,
    is_direct: bool = False,
) -> Throughput:
    each = streams // _CLIENTS
    clients = []
    for _ in range(_CLIENTS):
        command = [
            sys.executable,
            "-m",
            "nutmegpost_standins.bench",
            f"--client={each}",
            f"--held_s={_HELD_S.value}",
            f"--direct={str(is_direct).lower()}",
        ]
        process = subprocess.Popen(command, stdout=subprocess.PIPE)
        stack.callback(_end, process)
        clients.append(process)
    time.sleep(_HELD_S.value / 2 + 0.5)
    before, start = _cpu_s(router.pid), time.time()
    time.sleep(_HELD_S.value / 3)
    cores = (_cpu_s(router.pid) - before) / (time.time() - start)
    tokens = 0.0
    for process in clients:
        output, _ = process.communicate(timeout=_HELD_S.value + _START_S)
        tokens += float(output.decode().split()[-1])
    made = each * _CLIENTS * 1000.0 / _STEP_MS
    return Throughput(each * _CLIENTS, tokens, tokens / made, cores)


async def _wait_until_served() -> None:
    """Waits until the router answers a chat request."""
    deadline = time.time() + _START_S
    while True:
        for model in ("quick", "streams"):
            try:
                connection = _Connection(f"{_ROUTER}:20080")
                request = _request(model, f"warm-{time.time()}", 2, False)
                async with asyncio.timeout(2.0):
                    await connection.first_token_ms(request)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                if time.time() > deadline:
                    raise
                await asyncio.sleep(0.2)
                break
        else:
            return


def _report(
    latency: Latency, direct: Throughput, steps: Sequence[Throughput]
) -> None:
    p50 = latency.routed_p50 - latency.direct_p50
    p99 = latency.routed_p99 - latency.direct_p99
    # Only steps that keep pace with the engines count.
    kept = [step.tokens_per_s for step in steps if step.share >= 0.95]
    best = max(kept, default=0.0)
    for line in (latency, *steps):
        print(line)  # noqa: T201
    print(f"without the router: {direct}")  # noqa: T201
    print(f"added p50 {p50:.2f} ms (goal < {P50_MS_MAX})")  # noqa: T201
    print(f"added p99 {p99:.2f} ms (goal < {P99_MS_MAX})")  # noqa: T201
    print(f"relayed {best:.0f} tokens/s (goal {TOKENS_PER_S_MIN:.0f})")  # noqa: T201
    result = {
        "added_p50_ms": p50,
        "added_p99_ms": p99,
        "latency": latency._asdict(),
        "tokens_per_s_in_pace": best,
        "tokens_per_s_most": max(step.tokens_per_s for step in steps),
        "direct": direct._asdict(),
        "steps": [step._asdict() for step in steps],
        "met": p50 < P50_MS_MAX
        and p99 < P99_MS_MAX
        and best >= TOKENS_PER_S_MIN,
    }
    print(json.dumps(result))  # noqa: T201


def main(argv: Sequence[str]) -> None:
    """Runs the benchmark, or one of its client processes."""
    if len(argv) > 1:
        raise app.UsageError(f"unknown argument {argv[1]!r}")
    if _CLIENT.value:
        asyncio.run(_run_client(_CLIENT.value, _HELD_S.value, _DIRECT.value))
        return
    with tempfile.TemporaryDirectory() as name, contextlib.ExitStack() as stack:
        folder = pathlib.Path(name)
        _write_documents(folder)
        router = _start_all(stack, folder)
        try:
            asyncio.run(_wait_until_served())
            latency = asyncio.run(_measure_latency())
            steps = [
                _measure_throughput(stack, router, int(streams))
                for streams in _STREAMS.value
            ]
            most = max(int(streams) for streams in _STREAMS.value)
            direct = _measure_throughput(stack, router, most, is_direct=True)
        except BaseException:
            sys.stderr.write((folder / "log").read_text(errors="replace"))
            raise
        _report(latency, direct, steps)


if __name__ == "__main__":
    app.run(main)
