"""Priority levels that order the queue of an endpoint.

Requests of a higher rank go first. Within a rank, requests with a shorter
latency target go before those with a longer one: a long prompt with a long
target, prefilled first, would delay every short prompt behind it past its
target (head-of-line blocking).
"""

import math

from nutmegpost_core import calls

__all__ = ["LEVEL_MAX", "level"]

# Levels range from 0, which goes first, to this value.
LEVEL_MAX = 9
# Levels of one rank. The lowest ranks share the remaining levels.
_LEVELS_PER_RANK = 3
# Targets up to about this value are in the first band (level) of their rank;
# each doubling moves a target to the next band.
_FIRST_BAND_TARGET_S = 0.5


def level(call: calls.Call) -> int:
    """Returns the level of a request; lower levels go first."""
    target_s = max(call.route.target_s, _FIRST_BAND_TARGET_S)
    band = round(math.log2(target_s / _FIRST_BAND_TARGET_S))
    return min(
        LEVEL_MAX,
        _LEVELS_PER_RANK * call.rank + min(band, _LEVELS_PER_RANK - 1),
    )
