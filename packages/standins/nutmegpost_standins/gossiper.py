"""A process that runs only membership and gossip.

It joins the fleet that its flags describe, measures its own traffic and
processor time, and prints one line of JSON.
"""

import asyncio
from collections.abc import Sequence
import json
import random
import time

from absl import app
from absl import flags

from nutmegpost_core import budget
from nutmegpost_core import dissemination
from nutmegpost_core import membership
from nutmegpost_router import gossip
from nutmegpost_router import log
from nutmegpost_router import settings

__all__ = ["address", "main"]

# Separate flag values, because other commands define the same flag names.
_FLAGS = flags.FlagValues()
_NUMBER = flags.DEFINE_integer(
    "number", 0, "Index of this process, from 0.", flag_values=_FLAGS
)
_COUNT = flags.DEFINE_integer(
    "count", 4, "Number of processes.", flag_values=_FLAGS
)
_PORT = flags.DEFINE_integer(
    "port", 17_946, "Port of all processes.", flag_values=_FLAGS
)
_WARM_S = flags.DEFINE_float(
    "warm", 10.0, "Seconds before the measurement starts.", flag_values=_FLAGS
)
_MEASURE_S = flags.DEFINE_float(
    "measure", 10.0, "Length of the measurement in seconds.", flag_values=_FLAGS
)

_PEER_KEY = "a key of stand-ins only"


def address(number: int, port: int) -> str:
    """Returns the loopback address of a process."""
    return f"127.0.{64 + number // 250}.{number % 250 + 1}:{port}"


def main(argv: Sequence[str]) -> None:
    """Runs the process and prints its measurements."""
    del argv
    log.set_up("gossiper", "ERROR")
    print(json.dumps(asyncio.run(_measure())))  # noqa: T201


async def _measure() -> dict[str, float]:
    task = _gossip_task()
    running = asyncio.create_task(task.run())
    task.send(
        gossip.Seed(
            [address(number, _PORT.value) for number in range(_COUNT.value)]
        )
    )
    await asyncio.sleep(_WARM_S.value)
    before = _totals(task)
    await asyncio.sleep(_MEASURE_S.value)
    after = _totals(task)
    running.cancel()
    elapsed_s = after["at"] - before["at"]
    return {
        "alive": len(task.members.alive),
        "sent": (after["sent"] - before["sent"]) / elapsed_s,
        "received": (after["received"] - before["received"]) / elapsed_s,
        "cpu": (after["cpu"] - before["cpu"]) / elapsed_s,
    }


def _gossip_task() -> gossip.Gossip:
    own_address = address(_NUMBER.value, _PORT.value)
    name = f"router-{_NUMBER.value:04d}"
    rng = random.Random()
    disseminator = dissemination.Disseminator(rng)
    local_member = membership.Member(
        name, rng.getrandbits(48), own_address, own_address, "zone-a"
    )
    members = membership.Membership(
        local_member, rng, membership.Timing(), disseminator, budget.Budget()
    )
    config: settings.Settings = {
        "name": name,
        "zone": "zone-a",
        "public_address": own_address,
        "peer_address": own_address,
        "admin_address": own_address,
        "platform_address": own_address,
        "peer_key": _PEER_KEY,
        "admin_key": _PEER_KEY,
    }
    return gossip.Gossip(config, members, disseminator, asyncio.Queue())


def _totals(task: gossip.Gossip) -> dict[str, float]:
    counts = task.members.traffic_budget.counts.values()
    return {
        "at": time.monotonic(),
        "cpu": time.process_time(),
        "sent": sum(count.bytes for count in counts),
        "received": task.counts.received_bytes,
    }


def _parse(argv: list[str]) -> list[str]:
    flags.FLAGS(argv[:1])
    return _FLAGS(argv)


if __name__ == "__main__":
    app.run(main, flags_parser=_parse)
