"""Estimates the demand of requests that have precedence over a request.

Precedence follows value density: the weight of an answer over its cost.
An entry records each request that it is offered once, admitted or not.
Counts of the agents would not do: they depend on placement, which itself
depends on the demand.

Pure: times are readings of the owner's clock, in seconds.
"""

import collections
from typing import Mapping
from typing import NamedTuple

from rackpost import types

# Demand is the rate of offers within this time.
WINDOW_S = 2.0
# Weight of the newest sample in moving averages.
_EWMA_WEIGHT = 0.05


class Offer(NamedTuple):
    """A request that was offered at time `at`.

    `cost_s` is in seconds of prefill, `target_s` is the time to the first
    token that is promised to requests of its kind.
    """

    at: float
    density: float
    cost_s: float
    target_s: float


class HigherDensityDemand(NamedTuple):
    """Demand of requests of higher value density than a given one.

    Rates are in requests a second, loads in seconds of prefill a second.
    Urgent requests have a shorter target, so they run first; the others
    run in deadline order, but capacity must be left for them.
    """

    urgent_rate: float = 0.0
    urgent_load: float = 0.0
    other_rate: float = 0.0
    other_load: float = 0.0

    def scaled(self, rate: float, load: float) -> "HigherDensityDemand":
        """Return it with rates times `rate` and loads times `load`."""
        return HigherDensityDemand(
            self.urgent_rate * rate,
            self.urgent_load * load,
            self.other_rate * rate,
            self.other_load * load,
        )


NO_DEMAND = HigherDensityDemand()


class _KindStats:
    """Moving averages over the requests of one kind."""

    def __init__(self, *, first: Offer) -> None:
        self.density = first.density
        self.cost_s = first.cost_s
        self.target_s = first.target_s
        self.recent: collections.deque[float] = collections.deque()

    def add(self, offer: Offer) -> None:
        """Add a request of the kind."""
        self.density += _EWMA_WEIGHT * (offer.density - self.density)
        self.cost_s += _EWMA_WEIGHT * (offer.cost_s - self.cost_s)
        self.target_s = offer.target_s
        self.recent.append(offer.at)

    def rate(self, now: float) -> float:
        """Return the recent requests a second."""
        while self.recent and self.recent[0] < now - WINDOW_S:
            self.recent.popleft()
        return len(self.recent) / WINDOW_S


class DemandEstimator:
    """Estimates the demand on one service from the offers to one entry."""

    def __init__(self) -> None:
        self._offers: collections.deque[Offer] = collections.deque()
        self._kinds: dict[types.KindName, _KindStats] = {}
        self._declared: Mapping[types.KindName, float] = {}

    def record_offer(self, kind: types.KindName, offer: Offer) -> None:
        """Record an offered request, admitted or not."""
        self._offers.append(offer)
        stats = self._kinds.get(kind)
        if stats is None:
            stats = _KindStats(first=offer)
            self._kinds[kind] = stats
        stats.add(offer)

    def set_declared_rates(
        self, rates: Mapping[types.KindName, float]
    ) -> None:
        """Set the requests a second of each kind that events declare."""
        self._declared = rates

    def rates(self, now: float) -> dict[types.KindName, float]:
        """Return the recent requests a second of each kind."""
        return {name: kind.rate(now) for name, kind in self._kinds.items()}

    def higher_density_than(self, mine: Offer) -> HigherDensityDemand:
        """Return the demand of requests denser than `mine`, at its time.

        A declared kind counts with its declared rate where that exceeds the
        observed one.
        """
        while self._offers and self._offers[0].at < mine.at - WINDOW_S:
            self._offers.popleft()
        totals = [0.0, 0.0, 0.0, 0.0]
        for offer in self._offers:
            if offer.density > mine.density:
                first = 0 if offer.target_s < mine.target_s else 2
                totals[first] += 1.0 / WINDOW_S
                totals[first + 1] += offer.cost_s / WINDOW_S
        for name, declared in self._declared.items():
            stats = self._kinds.get(name)
            if stats is not None and stats.density > mine.density:
                missing = max(0.0, declared - stats.rate(mine.at))
                first = 0 if stats.target_s < mine.target_s else 2
                totals[first] += missing
                totals[first + 1] += missing * stats.cost_s
        return HigherDensityDemand(*totals)
