"""Token bucket for retries, filled by first attempts."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Limits retries to a share of first attempts.

    Retries that multiply with the load would prolong an outage, so only first
    attempts add tokens; retries and the passage of time add none.
    """

    def __init__(self, share: float, burst: float):
        """Creates a full bucket.

        Args:
            share: Retries earned per first attempt, 0 to 1.
            burst: Capacity, in retries.
        """
        self._share = share
        self._burst = burst
        self._tokens = burst

    @property
    def available(self) -> int:
        """Number of retries that may start now."""
        return int(self._tokens)

    def record_first_attempt(self, now: float) -> None:
        """Records a first attempt."""
        del now
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_spend(self, now: float) -> bool:
        """Spends one retry if one is available; returns whether it did."""
        del now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
