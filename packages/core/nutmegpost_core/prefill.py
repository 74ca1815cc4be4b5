"""How long an engine takes to prefill a prompt token, learnt from answers."""

__all__ = ["Prefill"]

# Uncached tokens below which an answer says nothing about the prefill.
TOKENS_LEAST = 64
# Weight of the newest answer in the moving average.
_EWMA = 0.1


class Prefill:
    """The prefill time of the engines of one pool."""

    def __init__(self) -> None:
        self._token_s = 0.0

    @property
    def token_s(self) -> float:
        """Time to prefill one token, seconds; 0 until an answer told it."""
        return self._token_s

    def answered(self, first_token_s: float, uncached_tokens: int) -> None:
        """Takes the time to the first token of an answer.

        Args:
            first_token_s: Time from the dispatch to the first token, seconds.
            uncached_tokens: Prompt tokens that were not found in the cache.
        """
        if uncached_tokens < TOKENS_LEAST or first_token_s <= 0.0:
            return
        sample = first_token_s / uncached_tokens
        if self._token_s <= 0.0:
            self._token_s = sample
        else:
            self._token_s += _EWMA * (sample - self._token_s)

    def target_s(
        self, first_token_s: float, missing_tokens: int, least_share: float
    ) -> float:
        """Returns the part of a target that is left for the queue.

        Args:
            first_token_s: Target for the first token, seconds.
            missing_tokens: Prompt tokens that must be prefilled.
            least_share: Least share of the target that is left.
        """
        left = first_token_s - max(0, missing_tokens) * self._token_s
        return max(least_share * first_token_s, left)
