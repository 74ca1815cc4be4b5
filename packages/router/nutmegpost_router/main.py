"""Entry point of the program `nutmegpost-router`."""

import asyncio
from collections.abc import Sequence
import logging
import signal
import sys

from absl import app
from absl import flags

from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_router import log
from nutmegpost_router import router
from nutmegpost_router import settings

__all__ = ["run"]

_SETTINGS = flags.DEFINE_string(
    "settings", None, "Path of the settings file.", required=True
)

EXIT_SETTINGS = 2
EXIT_ADDRESS = 3


async def _serve(config: settings.Settings) -> None:
    process = router.Router(config)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, process.stop)
    await process.run()


def _main(argv: Sequence[str]) -> None:
    del argv
    try:
        config = settings.load(_SETTINGS.value)
    except errors.SettingsError as caught:
        log.set_up("nutmegpost-router")
        log.emit(events.SETTINGS_REFUSED, reason=str(caught))
        sys.exit(EXIT_SETTINGS)
    log.set_up(config["name"], config.get("log_level", "INFO"))
    # The router logs numbered events for its peer connections instead.
    logging.getLogger("websockets").setLevel(logging.CRITICAL)
    try:
        asyncio.run(_serve(config))
    except OSError as caught:
        log.emit(events.ADDRESS_UNUSABLE, reason=str(caught))
        sys.exit(EXIT_ADDRESS)


def run() -> None:
    """Runs the program."""
    app.run(_main)


if __name__ == "__main__":
    run()
