"""Measures one router process: added latency, and tokens relayed a second.

Run as `python -m nutmegpost_standins.bench [--streams N,N]`. It starts a
platform, engines, one router and clients as processes on loopback addresses,
and stops them. The last line of the output is a JSON object.
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
    "streams", ["200", "500", "1000"], "concurrent streams in each step"
)
_REQUESTS = flags.DEFINE_integer(
    "requests", 400, "requests to the engine, and to the router"
)
_CLIENT = flags.DEFINE_integer("client", 0, "streams of a client process")
_DIRECT = flags.DEFINE_bool("direct", False, "bypass the router")
_DURATION_S = flags.DEFINE_float("held_s", 8.0, "length of each step, seconds")

_NETWORK = "127.0.66"
_KEY = "bench-key-of-the-only-account"
_ROUTER = f"{_NETWORK}.1"
_PLATFORM = f"{_NETWORK}.9:20070"
_ENGINES = 4
_STEP_MS = 30.0
_CLIENTS = 3
_START_S = 30.0
# Goals for the added latency and the throughput.
P50_MS_MAX = 2.0
P99_MS_MAX = 10.0
TOKENS_PER_S_MIN = 31_000.0


class Latency(NamedTuple):
    """Time to the first token, milliseconds.

    Attributes:
        direct_p50: Median of requests sent directly to the engine.
        direct_p99: 99th percentile of these requests.
        routed_p50: Median of requests sent through the router.
        routed_p99: 99th percentile of these requests.
    """

    direct_p50: float
    direct_p99: float
    routed_p50: float
    routed_p99: float


class Throughput(NamedTuple):
    """Throughput of one step.

    Attributes:
        streams: Concurrent streams.
        tokens_per_s: Tokens received by the clients a second.
        share: This rate over that at which the engines produce tokens.
        cores: Processor time of the router over elapsed time.
    """

    streams: int
    tokens_per_s: float
    share: float
    cores: float


def _engine_address(number: int) -> str:
    return f"{_NETWORK}.{11 + number}:20090"


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
    vms = [
        _vm_entry("router-1", f"{_ROUTER}:20080", f"{_ROUTER}:20081", "router")
    ]
    for number in range(_ENGINES + 1):
        pool = "quick" if number == _ENGINES else "streams"
        address = _engine_address(number)
        vms.append(
            _vm_entry(f"engine-{number}", address, address, "engine", pool)
        )
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


def _vm_entry(
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


def _start_process(
    stack: contextlib.ExitStack, log: pathlib.Path, *command: str
) -> subprocess.Popen[bytes]:
    with log.open("ab") as output:
        process = subprocess.Popen(command, stdout=output, stderr=output)
    stack.callback(_kill_process, process)
    return process


def _kill_process(process: subprocess.Popen[bytes]) -> None:
    process.kill()
    process.wait()


def _start_processes(
    stack: contextlib.ExitStack, folder: pathlib.Path
) -> subprocess.Popen[bytes]:
    """Starts all processes and returns that of the router."""
    module = (sys.executable, "-m")
    log = folder / "log"
    _start_process(
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
        _start_process(
            stack,
            log,
            *module,
            "nutmegpost_standins.engine",
            f"--address={_engine_address(number)}",
            f"--model={'quick' if is_quick else 'streams'}",
            f"--step_ms={1.0 if is_quick else _STEP_MS}",
            "--prefill_per_s=10000000",
            "--batch=512",
        )
    binary = pathlib.Path(sys.executable).parent / "nutmegpost-router"
    return _start_process(
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
    """A persistent HTTP connection."""

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
        # Reads the end of the chunked body, and its trailers.
        await reader.readuntil(b"\r\n0\r\n")
        while await reader.readline() != b"\r\n":
            pass
        return elapsed * 1000.0


async def _measure_latency() -> Latency:
    address = _engine_address(_ENGINES)
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
    """Returns the arrival times of the tokens of one stream."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request)
    arrivals = []
    try:
        while (remaining_s := deadline - time.time()) > 0:
            async with asyncio.timeout(remaining_s):
                data = await reader.read(65536)
            if not data:
                break
            arrivals += [time.time()] * data.count(b"\nid: ")
    except TimeoutError:
        pass
    writer.close()
    return arrivals


async def _run_client(streams: int, duration_s: float, is_direct: bool) -> None:
    """Reads streams and prints the tokens a second of the second half."""
    start = time.time()
    deadline = start + duration_s
    tokens = int(duration_s * 2000 / _STEP_MS)
    counts = []
    for number in range(streams):
        name = f"{os.getpid()}-{number}"
        address = (
            _engine_address(number % _ENGINES)
            if is_direct
            else f"{_ROUTER}:20080"
        )
        request = _request("streams", name, tokens, is_direct)
        counts.append(_count_stream(address, request, deadline))
    arrivals_by_stream = await asyncio.gather(*counts)
    middle = start + duration_s / 2
    count = sum(
        at >= middle for arrivals in arrivals_by_stream for at in arrivals
    )
    print(count / (deadline - middle))  # noqa: T201


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    ticks = sum(int(tick) for tick in fields.split()[11:13])
    return ticks / os.sysconf("SC_CLK_TCK")


def _measure_throughput(
    stack: contextlib.ExitStack,
    router: subprocess.Popen[bytes],
    streams: int,
    is_direct: bool = False,
) -> Throughput:
    streams_per_client = streams // _CLIENTS
    clients = []
    for _ in range(_CLIENTS):
        command = [
            sys.executable,
            "-m",
            "nutmegpost_standins.bench",
            f"--client={streams_per_client}",
            f"--held_s={_DURATION_S.value}",
            f"--direct={str(is_direct).lower()}",
        ]
        process = subprocess.Popen(command, stdout=subprocess.PIPE)
        stack.callback(_kill_process, process)
        clients.append(process)
    time.sleep(_DURATION_S.value / 2 + 0.5)
    before, start = _cpu_s(router.pid), time.time()
    time.sleep(_DURATION_S.value / 3)
    cores = (_cpu_s(router.pid) - before) / (time.time() - start)
    tokens = 0.0
    for process in clients:
        output, _ = process.communicate(timeout=_DURATION_S.value + _START_S)
        tokens += float(output.decode().split()[-1])
    produced_tokens_per_s = streams_per_client * _CLIENTS * 1000.0 / _STEP_MS
    return Throughput(
        streams_per_client * _CLIENTS,
        tokens,
        tokens / produced_tokens_per_s,
        cores,
    )


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
    # Only steps in which the router keeps pace with the engines count.
    in_pace = [step.tokens_per_s for step in steps if step.share >= 0.95]
    best = max(in_pace, default=0.0)
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
        asyncio.run(
            _run_client(_CLIENT.value, _DURATION_S.value, _DIRECT.value)
        )
        return
    with tempfile.TemporaryDirectory() as name, contextlib.ExitStack() as stack:
        folder = pathlib.Path(name)
        _write_documents(folder)
        router = _start_processes(stack, folder)
        try:
            asyncio.run(_wait_until_served())
            latency = asyncio.run(_measure_latency())
            steps = [
                _measure_throughput(stack, router, int(streams))
                for streams in _STREAMS.value
            ]
            max_streams = max(int(streams) for streams in _STREAMS.value)
            direct = _measure_throughput(
                stack, router, max_streams, is_direct=True
            )
        except BaseException:
            sys.stderr.write((folder / "log").read_text(errors="replace"))
            raise
        _report(latency, direct, steps)


if __name__ == "__main__":
    app.run(main)
