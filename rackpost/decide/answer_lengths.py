"""What clients' guesses of an answer's length are worth.  Pure.

A guess that is right in the median is too short on the average, since
long answers are longer than short ones are short.
"""

# Weight of the newest answer in the running average.
_ALPHA = 0.05
# One answer that is far off its guess does not count for more than this.
_MOST_X = 4.0


class AnswerLengths:
    """The running average of length over guess."""

    def __init__(self) -> None:
        self._ratio = 1.0

    def ended(self, *, guess: int, made: int) -> None:
        """An answer has come whole."""
        if guess <= 0 or made <= 0:
            return
        ratio = min(_MOST_X, made / guess)
        self._ratio += _ALPHA * (ratio - self._ratio)

    def expected(self, guess: int, most: int) -> int:
        """Tokens that an answer will have, on the average."""
        return min(most, int(guess * max(1.0, self._ratio)))
