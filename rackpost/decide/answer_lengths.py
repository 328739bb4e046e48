"""What clients' guesses of an answer's length are worth.  Pure.

A guess that is right in the median is too short on the average, since
long answers are longer than short ones are short.
"""

import math

# Weight of the newest answer in the running average.
_ALPHA = 0.05
# By what part of the answer guesses are wrong until some were seen: they
# are right in the median and often far off.
_USUAL_SPREAD = 0.5
# One answer that is far off its guess does not count for more than this.
_MOST_X = 4.0


class AnswerLengths:
    """The running average of length over guess, and its deviation."""

    def __init__(self) -> None:
        self._ratio = 1.0
        self._variance = _USUAL_SPREAD * _USUAL_SPREAD

    def record_answer(self, *, guess: int, actual: int) -> None:
        """An answer has come whole."""
        if guess <= 0 or actual <= 0:
            return
        ratio = min(_MOST_X, actual / guess)
        off = ratio - self._ratio
        self._variance += _ALPHA * (off * off - self._variance)
        self._ratio += _ALPHA * off

    @property
    def spread(self) -> float:
        """By what part of an answer's length guesses are usually wrong."""
        return math.sqrt(self._variance) / max(1.0, self._ratio)

    def expected(self, guess: int, max_tokens: int) -> int:
        """Tokens that an answer will have, on the average."""
        return min(max_tokens, int(guess * max(1.0, self._ratio)))
