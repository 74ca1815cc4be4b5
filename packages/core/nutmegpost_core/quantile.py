"""Tracking of a quantile of positive samples, without storing them."""

__all__ = ["track"]


def track(
    estimate: float, sample: float, quantile: float, step: float
) -> float:
    """Returns an estimate moved by one step toward the quantile.

    Args:
        estimate: Current estimate of the quantile.
        sample: Newest sample.
        quantile: The quantile, 0 to 1.
        step: Largest relative change by one sample.
    """
    if sample > estimate:
        return estimate * (1 + step * quantile)
    return estimate * (1 - step * (1 - quantile))
