"""The usual demand of accounts and prompts, and what exceeds it.

A source of requests, such as an account, may send a multiple of its usual
demand, and more while all other sources grow as well. What it sends beyond is
the excess of a flood, of callers that retry at once, or of one hot prompt.
"""

import math

__all__ = ["DemandShares"]

# Length of a period of demand, and time in which the usual demand is learnt.
PERIOD_S = 5.0
USUAL_S = 30.0
# Growth up to which the demand of a source is its share: as a multiple of its
# usual demand, and in addition to the growth of all other sources.
GROWTH_MAX = 3.0
# Growth in one period from which the usual demand is learnt, so that a flood of
# some tens of seconds does not become usual.
LEARNT_GROWTH_MAX = 1.5
# Share of the median demand of a source that is usual for one not seen before.
NEWCOMER_SHARE = 0.5
# Requests of the mean cost, and time of its share, that a source may send at
# once.
BURST_REQUESTS = 4.0
BURST_S = 1.0
# Sources that are remembered from one period to the next.
SOURCES_MAX = 2048
_RECENT_S = 2.0
_COST_WEIGHT = 0.05


class _Source:
    """Demand of one account or prompt.

    Attributes:
        usual: Usual demand, cost per second.
        period: Cost of the requests of the current period.
        recent: Decaying sum of the cost of its requests.
        served: Decaying sum of the cost of its requests that were sent.
        tokens: Cost that it may still demand at once.
        at: Time of the last update, monotonic seconds.
    """

    __slots__ = ("at", "period", "recent", "served", "tokens", "usual")

    def __init__(self, tokens: float, now: float):
        self.usual = 0.0
        self.period = 0.0
        self.recent = 0.0
        self.served = 0.0
        self.tokens = tokens
        self.at = now


class DemandShares:
    """The usual demand of the sources of a service, and what exceeds it."""

    def __init__(self) -> None:
        self._sources: dict[str, _Source] = {}
        self._period_started: float | None = None
        self._periods = 0
        self._usual_total = 0.0
        # Usual demand of a source that was not seen before.
        self._newcomer = 0.0
        self._recent_total = 0.0
        self._recent_at = 0.0
        self._mean_cost = 0.0

    def record_arrival(self, name: str, cost: float, now: float) -> bool:
        """Records a request.

        Args:
            name: Its source.
            cost: Endpoint time that it takes.
            now: Monotonic time, seconds.

        Returns:
            Whether it exceeds the share of its source.
        """
        self._advance(now)
        self._mean_cost += _COST_WEIGHT * (cost - self._mean_cost)
        source = self._sources.get(name)
        if source is None:
            tokens = BURST_REQUESTS * max(cost, self._mean_cost)
            source = self._sources[name] = _Source(tokens, now)
        elapsed_s = now - source.at
        source.at = now
        decay = math.exp(-elapsed_s / _RECENT_S)
        source.recent = source.recent * decay + cost
        source.served *= decay
        source.period += cost
        self._recent_total += cost
        if not self._periods:
            # There is no history to compare with.
            return False
        rate = self._share_rate(source)
        burst = BURST_REQUESTS * max(cost, self._mean_cost) + BURST_S * rate
        source.tokens = min(burst, source.tokens + rate * elapsed_s)
        if source.tokens < cost:
            return True
        source.tokens -= cost
        return False

    def record_served(self, name: str, cost: float) -> None:
        """Records that a request of a source was sent."""
        source = self._sources.get(name)
        if source is not None:
            source.served += cost

    def received(self, name: str) -> float:
        """Returns what a source received lately, relative to its usual."""
        source = self._sources.get(name)
        if source is None:
            return 0.0
        return source.served / ((source.usual + self._newcomer) or 1.0)

    def _share_rate(self, source: _Source) -> float:
        """Returns the demand that is the share of a source, cost per second.

        If all sources grow, as in a burst or when callers retry, so does it.
        """
        usual = source.usual + self._newcomer
        others_usual = self._usual_total - source.usual + self._newcomer
        others = max(0.0, self._recent_total - source.recent) / _RECENT_S
        growth = others / others_usual if others_usual > 0 else 1.0
        return GROWTH_MAX * usual * max(1.0, growth)

    def _advance(self, now: float) -> None:
        if self._period_started is None:
            self._period_started = self._recent_at = now
        self._recent_total *= math.exp(-(now - self._recent_at) / _RECENT_S)
        self._recent_at = now
        elapsed_s = now - self._period_started
        if elapsed_s >= PERIOD_S:
            self._end_period(elapsed_s)
            self._period_started = now

    def _end_period(self, elapsed_s: float) -> None:
        """Learns the usual demand, which a flood raises only slowly."""
        self._periods += 1
        step = max(PERIOD_S / USUAL_S, 1 / self._periods)
        total = sum(source.period for source in self._sources.values())
        mean = total / elapsed_s / max(1, len(self._sources))
        for source in self._sources.values():
            rate = source.period / elapsed_s
            if self._periods > 1:
                rate = min(
                    rate, LEARNT_GROWTH_MAX * source.usual + self._newcomer
                )
            source.usual += step * (rate - source.usual)
            source.period = 0.0
        largest = sorted(
            self._sources.items(), key=lambda item: -item[1].usual
        )[:SOURCES_MAX]
        self._sources = {
            name: source
            for name, source in largest
            if source.usual > 0.01 * mean
        }
        self._usual_total = sum(s.usual for s in self._sources.values())
        usual = sorted(source.usual for source in self._sources.values())
        median = usual[(len(usual) - 1) // 2] if usual else 0.0
        self._newcomer = NEWCOMER_SHARE * median
