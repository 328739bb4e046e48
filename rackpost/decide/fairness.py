"""No caller is starved by another that asks for much.

Under pressure what is least dense is refused first.  A caller that asks
for more than an even share has the density of its requests lowered by as
much, so that those of the others go before the excess.  Pure: times are
readings of the entry's clock, in seconds.
"""

import math

from rackpost import types

# Usage fades to a third in this time.
_FADE_S = 5.0
# Callers that have faded to less than this are forgotten.
_LEAST = 1e-6


class _Usage:
    """What a caller has asked for, fading."""

    def __init__(self, *, at: float) -> None:
        self.cost = 0.0
        self.at = at

    def now(self, at: float) -> float:
        """The faded sum."""
        return self.cost * math.exp((self.at - at) / _FADE_S)


class FairShareTracker:
    """The callers of one service at one entry."""

    def __init__(self) -> None:
        self._usage: dict[types.CallerId, _Usage] = {}
        self._total = _Usage(at=0.0)
        self._looked_at = 0.0

    def record_request(
        self, caller: types.CallerId, cost: float, at: float
    ) -> float:
        """Count a request; the factor for its density, at most 1.

        `cost` is in any unit that is the same for all requests.
        """
        if at > self._looked_at + _FADE_S:
            self._forget(at)
        mine = self._usage.get(caller)
        if mine is None:
            mine = _Usage(at=at)
            self._usage[caller] = mine
        for usage in (mine, self._total):
            usage.cost = usage.now(at) + cost
            usage.at = at
        even = self._total.cost / len(self._usage)
        return min(1.0, even / mine.cost)

    def _forget(self, at: float) -> None:
        self._looked_at = at
        gone = [
            name
            for name, usage in self._usage.items()
            if usage.now(at) < _LEAST
        ]
        for name in gone:
            del self._usage[name]
