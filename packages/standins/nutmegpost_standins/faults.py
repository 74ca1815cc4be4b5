"""Faults of a stand-in, switched over HTTP.

`POST /standin/faults` with a JSON object replaces the values that it names;
`GET /standin/faults` returns all of them.
"""

import asyncio
from collections.abc import Callable
import json
from typing import Any

from nutmegpost_standins import http

__all__ = ["Faults"]


class Faults:
    """The faults of one stand-in and their present values."""

    def __init__(self, **defaults: Any):
        self._values = dict(defaults)
        self._waiters: list[asyncio.Future[None]] = []

    def __getitem__(self, name: str) -> Any:
        return self._values[name]

    def set(self, **values: Any) -> None:
        """Sets faults.

        Raises:
            ValueError: The stand-in has no fault of that name.
        """
        unknown = set(values) - set(self._values)
        if unknown:
            raise ValueError(f"no such fault: {', '.join(sorted(unknown))}")
        self._values.update(values)
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def until(self, check: Callable[[], bool]) -> None:
        """Waits until a check of the faults holds."""
        while not check():
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await waiter

    async def handle(self, request: http.Request) -> http.Response:
        """Answers a request to `/standin/faults`."""
        if request.method == "POST":
            try:
                self.set(**json.loads(request.body))
            except (ValueError, TypeError) as caught:
                return http.error(400, "invalid-request", str(caught))
        return http.json_response(self._values)

    async def wait(self, delay: str = "delay_s", hang: str = "hang") -> None:
        """Waits as the faults of these two names ask.

        A hang lasts until the fault is switched off.
        """
        if self._values[delay]:
            await asyncio.sleep(self._values[delay])
        await self.until(lambda: not self._values[hang])
