"""Keeps a caller that sends many requests from starving the others.

Under pressure the requests of the lowest value density are refused first.
The density of a caller's requests is lowered in proportion to its excess
over an even share.

Pure: times are readings of the entry's clock, in seconds.
"""

import math

from rackpost import types

# Time constant of the decay of recorded cost.
_DECAY_S = 5.0
# Callers whose cost has decayed below this are forgotten.
_MIN_COST = 1e-6


class _Usage:
    """Exponentially decaying sum of the cost of requests."""

    def __init__(self, *, at: float) -> None:
        self.cost = 0.0
        self.at = at

    def now(self, at: float) -> float:
        """Return the sum, decayed until `at`."""
        return self.cost * math.exp((self.at - at) / _DECAY_S)


class FairShareTracker:
    """Recent usage of the callers of one service at one entry."""

    def __init__(self) -> None:
        self._usage: dict[types.CallerId, _Usage] = {}
        self._total = _Usage(at=0.0)
        self._pruned_at = 0.0

    def record_request(
        self, caller: types.CallerId, cost: float, at: float
    ) -> float:
        """Record a request; return the factor for its density, at most 1.

        `cost` may be in any unit, the same for all requests.
        """
        if at > self._pruned_at + _DECAY_S:
            self._prune(at)
        mine = self._usage.get(caller)
        if mine is None:
            mine = _Usage(at=at)
            self._usage[caller] = mine
        for usage in (mine, self._total):
            usage.cost = usage.now(at) + cost
            usage.at = at
        even = self._total.cost / len(self._usage)
        return min(1.0, even / mine.cost)

    def _prune(self, at: float) -> None:
        self._pruned_at = at
        expired = [
            name
            for name, usage in self._usage.items()
            if usage.now(at) < _MIN_COST
        ]
        for name in expired:
            del self._usage[name]
