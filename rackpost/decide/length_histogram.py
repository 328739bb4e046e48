"""Answer lengths by service and kind, used to forecast when slots free."""

import itertools

from rackpost import types

# Lengths are shares of the request's token limit, in equal bins.
_BINS = 32
# Weight that older answers keep with each new one.
_DECAY = 0.995
# Below this weight of answers the histogram forecasts nothing.
_MIN_ANSWERS = 8.0


class LengthHistogram:
    """Decaying histogram of the answer lengths of one kind."""

    def __init__(self) -> None:
        self._bins = [0.0] * _BINS
        self._answers = 0.0
        # For each bin, the weight of answers that reached at least it.
        self._reached = [0.0] * (_BINS + 1)

    def record(self, *, tokens: int, limit: int) -> None:
        """Record the length of a complete answer."""
        share = tokens / max(1, limit)
        idx = min(_BINS - 1, int(share * _BINS))
        self._bins = [b * _DECAY for b in self._bins]
        self._bins[idx] += 1.0
        self._answers = self._answers * _DECAY + 1.0
        tails = itertools.accumulate(reversed(self._bins), initial=0.0)
        self._reached = list(tails)[::-1]

    def ends_within(self, *, done: int, more: int, limit: int) -> float:
        """Return the probability that a stream ends in `more` more tokens.

        The stream has generated `done` of at most `limit` tokens.  Until
        enough answers are recorded, streams are assumed to use their limit.
        """
        if done + more >= limit:
            return 1.0
        if self._answers < _MIN_ANSWERS:
            return 0.0
        low = min(_BINS - 1, int(done / limit * _BINS))
        reached = self._reached[low]
        if reached <= 0.0:
            return 0.0
        high = min(_BINS - 1, int((done + more) / limit * _BINS))
        return (reached - self._reached[high]) / reached


class LengthHistograms:
    """A `LengthHistogram` for each service and kind."""

    def __init__(self) -> None:
        self._histograms: dict[
            tuple[types.ServiceName, types.KindName], LengthHistogram
        ] = {}

    def of(
        self, service: types.ServiceName, kind: types.KindName
    ) -> LengthHistogram:
        """Return the histogram of a kind, creating it on first use."""
        return self._histograms.setdefault((service, kind), LengthHistogram())
