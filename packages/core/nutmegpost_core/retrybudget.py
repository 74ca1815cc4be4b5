"""The share of one router in a budget of retries that all routers keep.

In each window the retries of a service may be a ratio of its requests, and a
fixed number more. A router cannot know what the others spend. It takes the
ratio of its own requests and an equal part of the fixed number.
"""

import collections
from typing import NamedTuple

__all__ = ["RetryBudget", "Terms"]


class Terms(NamedTuple):
    """The budget of the whole fleet for one service.

    Attributes:
        ratio: Retries for each request.
        extra: Retries beyond the ratio in each window.
        window_s: Length of the window.
    """

    ratio: float
    extra: float
    window_s: float


class _Account:
    __slots__ = ("requests", "retries")

    def __init__(self) -> None:
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()


class RetryBudget:
    """Counts requests and retries by service."""

    def __init__(self, terms: Terms):
        """Starts with nothing spent.

        Args:
            terms: The budget of the whole fleet.
        """
        self._terms = terms
        self._accounts: dict[str, _Account] = {}

    def request(self, service: str, now: float) -> None:
        """Counts a request of a caller.

        Args:
            service: Its service.
            now: Monotonic time, seconds.
        """
        self._account(service, now).requests.append(now)

    def remaining(self, service: str, routers: int, now: float) -> float:
        """Returns how many retries this router has left.

        Args:
            service: The service.
            routers: Routers that share the budget; too many is on the safe
                side.
            now: Monotonic time, seconds.
        """
        account = self._account(service, now)
        extra = self._terms.extra / max(1, routers)
        allowed = self._terms.ratio * len(account.requests) + extra
        return allowed - len(account.retries)

    def spend(self, service: str, routers: int, now: float) -> bool:
        """Takes one retry, if there is one.

        Args:
            service: Its service.
            routers: Routers that share the budget.
            now: Monotonic time, seconds.

        Returns:
            Whether the retry may be sent.
        """
        if self.remaining(service, routers, now) < 1:
            return False
        self._accounts[service].retries.append(now)
        return True

    def _account(self, service: str, now: float) -> _Account:
        account = self._accounts.setdefault(service, _Account())
        oldest = now - self._terms.window_s
        for times in (account.requests, account.retries):
            while times and times[0] < oldest:
                times.popleft()
        return account
