import random

import pytest

from nutmegpost_core import quantile


@pytest.mark.parametrize("share", [0.25, 0.5, 0.98])
def test_estimate_converges_to_the_quantile(share):
    rng = random.Random(1)
    estimate = 1.0
    for _ in range(5_000):
        estimate = quantile.track(estimate, rng.uniform(1, 2), share, 0.02)
    assert estimate == pytest.approx(1 + share, abs=0.15)
