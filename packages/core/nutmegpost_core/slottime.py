"""Estimates how long a request holds a slot of an endpoint."""

__all__ = ["SlotTime"]

# Weight of the newest sample in the exponential moving average.
_EWMA_WEIGHT = 0.05


class SlotTime:
    """Mean time for which the requests of a service hold a slot."""

    def __init__(self) -> None:
        self._mean_s = 0.0

    @property
    def mean_s(self) -> float:
        """Mean time in seconds; 0 before the first sample."""
        return self._mean_s

    def record(self, seconds: float) -> None:
        """Adds the time for which a request that was answered held a slot."""
        if not self._mean_s:
            self._mean_s = seconds
        self._mean_s += _EWMA_WEIGHT * (seconds - self._mean_s)
