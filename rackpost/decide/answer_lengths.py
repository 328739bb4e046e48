"""Correct clients' estimates of answer length by the lengths observed.

Answer lengths are skewed: an estimate that is right in the median is too
short on average.
"""

import math

# Weight of the newest answer in the running averages.
_EWMA_WEIGHT = 0.05
# Relative error of estimates that is assumed until answers were observed.
_INITIAL_SPREAD = 0.5
# Limits the influence of a single outlier.
_MAX_RATIO = 4.0


class AnswerLengths:
    """Running mean and variance of actual over estimated answer length."""

    def __init__(self) -> None:
        self._ratio = 1.0
        self._variance = _INITIAL_SPREAD * _INITIAL_SPREAD

    def record_answer(self, *, guess: int, actual: int) -> None:
        """Record the estimated and actual length of a complete answer."""
        if guess <= 0 or actual <= 0:
            return
        ratio = min(_MAX_RATIO, actual / guess)
        deviation = ratio - self._ratio
        self._variance += _EWMA_WEIGHT * (
            deviation * deviation - self._variance
        )
        self._ratio += _EWMA_WEIGHT * deviation

    @property
    def spread(self) -> float:
        """The usual error of an estimate, as a share of the length."""
        return math.sqrt(self._variance) / max(1.0, self._ratio)

    def expected(self, guess: int, max_tokens: int) -> int:
        """Return the mean length of answers with this estimate, in tokens."""
        return min(max_tokens, int(guess * max(1.0, self._ratio)))
