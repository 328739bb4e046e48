"""How long answers are, learned per kind, to foresee when slots free."""

import itertools

from rackpost import types

# Lengths are kept as shares of the limit the caller set, in this many
# equal bins; older answers fade by FADE each time a new one ends.
_BINS = 32
_FADE = 0.995
_MIN_SEEN = 8.0


class LengthModel:
    """The observed lengths of one kind's answers, as a fading histogram."""

    def __init__(self) -> None:
        self._bins = [0.0] * _BINS
        self._seen = 0.0
        # For each bin, how many answers were at least that long.
        self._alive = [0.0] * (_BINS + 1)

    def learn(self, *, tokens: int, limit: int) -> None:
        """Take in the length of an answer that has ended."""
        share = tokens / max(1, limit)
        idx = min(_BINS - 1, int(share * _BINS))
        self._bins = [b * _FADE for b in self._bins]
        self._bins[idx] += 1.0
        self._seen = self._seen * _FADE + 1.0
        tails = itertools.accumulate(reversed(self._bins), initial=0.0)
        self._alive = list(tails)[::-1]

    def ends_within(self, *, done: int, more: int, limit: int) -> float:
        """The chance that a stream ends within `more` further tokens.

        Given that it has produced `done` tokens of at most `limit`.  Until
        enough answers were seen, only the limit itself counts.
        """
        if done + more >= limit:
            return 1.0
        if self._seen < _MIN_SEEN:
            return 0.0
        low = min(_BINS - 1, int(done / limit * _BINS))
        alive = self._alive[low]
        if alive <= 0.0:
            return 0.0
        high = min(_BINS - 1, int((done + more) / limit * _BINS))
        return (alive - self._alive[high]) / alive


class LengthModels:
    """One `LengthModel` for each service and kind."""

    def __init__(self) -> None:
        self._models: dict[
            tuple[types.ServiceName, types.KindName], LengthModel
        ] = {}

    def of(
        self, service: types.ServiceName, kind: types.KindName
    ) -> LengthModel:
        """The model of a kind, made when first asked for."""
        return self._models.setdefault((service, kind), LengthModel())
