"""Estimates the prefill time per prompt token from observed answers."""

__all__ = ["PrefillEstimator"]

# With fewer uncached tokens, an answer is no usable sample of the prefill time.
SAMPLE_TOKENS_MIN = 64
# Weight of the newest sample in the exponential moving average.
_EWMA_WEIGHT = 0.1


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
