"""Command-line entry point of the stand-ins, with an absl flag per option."""

import asyncio
from collections.abc import Awaitable, Callable
import signal
import sys
from typing import Any, TypeVar, get_type_hints

from absl import app
from absl import flags

__all__ = ["run"]

OptionsT = TypeVar("OptionsT")

_FLAG_DEFINERS: dict[type, Callable[..., Any]] = {
    str: flags.DEFINE_string,
    int: flags.DEFINE_integer,
    float: flags.DEFINE_float,
    bool: flags.DEFINE_bool,
}


def run(
    options: type[OptionsT], serve: Callable[[OptionsT], Awaitable[None]]
) -> None:
    """Runs a stand-in until it ends or receives SIGTERM or SIGINT.

    Args:
        options: NamedTuple class of the options; each field becomes a flag,
            which is required when the field has no default.
        serve: Runs the stand-in with its options.
    """
    hints = get_type_hints(options)
    defaults = options._field_defaults  # type: ignore[attr-defined]
    for name, option_type in hints.items():
        help_text = f"{name} of {options.__module__}"
        _FLAG_DEFINERS[option_type](name, defaults.get(name), help_text)
        if name not in defaults:
            flags.mark_flag_as_required(name)

    def main(argv: list[str]) -> None:
        if len(argv) > 1:
            raise app.UsageError(f"unknown argument {argv[1]!r}")
        values = {name: flags.FLAGS[name].value for name in hints}
        asyncio.run(_run_until_signal(serve(options(**values))))

    app.run(main, argv=sys.argv)


async def _run_until_signal(awaitable: Awaitable[None]) -> None:
    task = asyncio.ensure_future(awaitable)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, task.cancel)
    try:
        await task
    except asyncio.CancelledError:
        if not task.cancelled():
            raise
