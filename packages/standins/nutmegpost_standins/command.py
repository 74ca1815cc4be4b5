"""The command line of a stand-in: one absl flag for each of its options."""

import asyncio
from collections.abc import Awaitable, Callable
import signal
import sys
from typing import Any, TypeVar, get_type_hints

from absl import app
from absl import flags

__all__ = ["run"]

T = TypeVar("T")

_DEFINE: dict[type, Callable[..., Any]] = {
    str: flags.DEFINE_string,
    int: flags.DEFINE_integer,
    float: flags.DEFINE_float,
    bool: flags.DEFINE_bool,
}


def run(options: type[T], serve: Callable[[T], Awaitable[None]]) -> None:
    """Runs a stand-in until it ends or gets SIGTERM or SIGINT.

    Args:
        options: NamedTuple of the options; each field becomes a flag.
        serve: Runs the stand-in with its options.
    """
    hints = get_type_hints(options)
    defaults = options._field_defaults  # type: ignore[attr-defined]
    for name, kind in hints.items():
        help_text = f"{name} of {options.__module__}"
        _DEFINE[kind](name, defaults.get(name), help_text)
        if name not in defaults:
            flags.mark_flag_as_required(name)

    def main(argv: list[str]) -> None:
        if len(argv) > 1:
            raise app.UsageError(f"unknown argument {argv[1]!r}")
        values = {name: flags.FLAGS[name].value for name in hints}
        asyncio.run(_until_signal(serve(options(**values))))

    app.run(main, argv=sys.argv)


async def _until_signal(work: Awaitable[None]) -> None:
    task = asyncio.ensure_future(work)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        await task
    except asyncio.CancelledError:
        if not task.cancelled():
            raise
