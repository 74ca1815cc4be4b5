"""Injectable faults of a stand-in, set over HTTP.

`POST /standin/faults` with a JSON object updates the faults that it contains;
`GET /standin/faults` returns the values of all of them.
"""

import asyncio
from collections.abc import Callable
import json
from typing import Any

from nutmegpost_standins import http

__all__ = ["Faults"]


class Faults:
    """The faults of a stand-in and their current values."""

    def __init__(self, **defaults: Any):
        self._values = dict(defaults)
        self._waiters: list[asyncio.Future[None]] = []

    def __getitem__(self, name: str) -> Any:
        return self._values[name]

    def set(self, **values: Any) -> None:
        """Sets the values of faults.

        Raises:
            ValueError: The stand-in has no such fault.
        """
        unknown = set(values) - set(self._values)
        if unknown:
            raise ValueError(f"no such fault: {', '.join(sorted(unknown))}")
        self._values.update(values)
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_until(self, predicate: Callable[[], bool]) -> None:
        """Waits until a predicate over the faults is true."""
        while not predicate():
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await waiter

    async def handle(self, request: http.Request) -> http.Response:
        """Handles a request to `/standin/faults`."""
        if request.method == "POST":
            try:
                self.set(**json.loads(request.body))
            except (ValueError, TypeError) as caught:
                return http.error(400, "invalid-request", str(caught))
        return http.json_response(self._values)

    async def delay_and_hang(
        self, delay: str = "delay_s", hang: str = "hang"
    ) -> None:
        """Applies a delay fault and a hang fault to the caller.

        Args:
            delay: Name of the fault with the delay in seconds.
            hang: Name of the fault that blocks the caller until it is cleared.
        """
        if self._values[delay]:
            await asyncio.sleep(self._values[delay])
        await self.wait_until(lambda: not self._values[hang])
