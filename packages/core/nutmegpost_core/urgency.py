"""In which order an endpoint takes the requests that wait there.

Requests of a higher rank go first. Within a rank those with a shorter target
go before those with a longer one: a long prompt of a patient class, read
first, would make every short prompt behind it late.
"""

import math

from nutmegpost_core import calls

__all__ = ["LEVEL_MAX", "level"]

# Levels are 0, which goes first, to this one.
LEVEL_MAX = 9
# Levels of one rank. The lowest ranks share what is left of the levels.
_BANDS = 3
# Targets up to about this time are in the first band of their rank, and each
# doubling of it is a band further.
_SHORT_TARGET_S = 0.5


def level(call: calls.Call) -> int:
    """Returns the level of a request; lower ones go first."""
    target_s = max(call.route.target_s, _SHORT_TARGET_S)
    band = round(math.log2(target_s / _SHORT_TARGET_S))
    return min(LEVEL_MAX, _BANDS * call.rank + min(band, _BANDS - 1))
