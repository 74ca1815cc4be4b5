"""Estimates the prefill time per prompt token from observed answers."""

from nutmegpost_core import quantile

__all__ = ["PREFILL_TOKENS_PER_S", "PrefillEstimator", "PrefillRate"]

# Assumed rate before the first sample.
PREFILL_TOKENS_PER_S = 48_200.0

# With fewer uncached tokens, an answer is no usable sample of the prefill time.
SAMPLE_TOKENS_MIN = 64
# Weight of the newest sample in the exponential moving average.
_EWMA_WEIGHT = 0.1
# Answers to prompts with fewer uncached tokens show the fixed delay of an
# answer, and those with more show the prefill rate.
SHORT_TOKENS_MAX = 400
LONG_TOKENS_MIN = 2_000
# Quantile of the samples that is tracked: the fast ones were not queued.
_QUANTILE = 0.25
_QUANTILE_STEP = 0.05


class PrefillEstimator:
    """Prefill time of the engines of one pool."""

    def __init__(self) -> None:
        self._token_s = 0.0

    @property
    def token_s(self) -> float:
        """Time to prefill one token, seconds; 0 before the first sample."""
        return self._token_s

    def record_answer(self, first_token_s: float, uncached_tokens: int) -> None:
        """Adds the time to first token of an answer as a sample.

        Args:
            first_token_s: Time from the dispatch to the first token, seconds.
            uncached_tokens: Prompt tokens that were not in the cache.
        """
        if uncached_tokens < SAMPLE_TOKENS_MIN or first_token_s <= 0.0:
            return
        sample = first_token_s / uncached_tokens
        if self._token_s <= 0.0:
            self._token_s = sample
        else:
            self._token_s += _EWMA_WEIGHT * (sample - self._token_s)

    def queue_target_s(
        self, first_token_s: float, uncached_tokens: int, share_min: float
    ) -> float:
        """Returns the part of a latency target left for queueing, seconds.

        Args:
            first_token_s: Target for the time to first token, seconds.
            uncached_tokens: Prompt tokens that must be prefilled.
            share_min: Minimum share of the target to return.
        """
        left = first_token_s - max(0, uncached_tokens) * self._token_s
        return max(share_min * first_token_s, left)


class PrefillRate:
    """Rate at which the endpoints of a service prefill prompts, unqueued.

    Tracks a low quantile of the time to the first event, because requests that
    waited for others are slower, and one whose prompt was cached after all is
    faster than the rate.
    """

    def __init__(self) -> None:
        self._fixed_s = 0.0
        self._token_s = 1 / PREFILL_TOKENS_PER_S

    @property
    def tokens_per_s(self) -> float:
        """Estimated rate, tokens per second."""
        return 1 / self._token_s

    def record_answer(self, first_event_s: float, uncached_tokens: int) -> None:
        """Adds the time to the first event of an answer as a sample.

        Args:
            first_event_s: Time from the dispatch to the first event, seconds.
            uncached_tokens: Prompt tokens that were prefilled for it.
        """
        if uncached_tokens <= SHORT_TOKENS_MAX:
            fixed_s = self._fixed_s or first_event_s
            self._fixed_s = quantile.track(
                fixed_s, first_event_s, _QUANTILE, _QUANTILE_STEP
            )
        elif uncached_tokens >= LONG_TOKENS_MIN:
            prefill_s = max(0.0, first_event_s - self._fixed_s)
            self._token_s = quantile.track(
                self._token_s,
                prefill_s / uncached_tokens,
                _QUANTILE,
                _QUANTILE_STEP,
            )
