"""A budget for retries: a share of first attempts, with a small burst."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Allows retries as a share of first attempts.

    A retry that multiplies with the load would keep an outage going, so the
    budget is earned by first attempts and never by retries or by time.
    """

    def __init__(self, share: float, burst: float):
        """Starts with the whole burst available.

        Args:
            share: Retries for each first attempt, 0 to 1.
            burst: Most retries that can be saved up.
        """
        self._share = share
        self._burst = burst
        self._tokens = burst

    @property
    def available(self) -> int:
        """Retries that may start now."""
        return int(self._tokens)

    def attempted(self, now: float) -> None:
        """Counts a first attempt."""
        del now
        self._tokens = min(self._burst, self._tokens + self._share)

    def may_retry(self, now: float) -> bool:
        """Takes one retry from the budget if there is one."""
        del now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
