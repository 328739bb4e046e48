"""How much work of which worth was offered lately, or is declared.

Worth is density: the weight of an answer over its cost.  What a request
must leave to denser ones follows from how much of them comes.  An entry
counts each request offered to it once, wherever it was placed and
whether or not it was admitted: counted by the agents, the demand would
follow the placement and the placement the demand.  Pure: times are
readings of the owner's clock, in seconds.
"""

import collections
from typing import Mapping
from typing import NamedTuple

from rackpost import types

# Offers of this long ago and younger make up the present demand.
WINDOW_S = 2.0
_NEW = 0.05


class Offer(NamedTuple):
    """Work that was asked for.

    `cost_s` is in seconds of prefill, `target_s` the time to the first
    token that its kind was promised.
    """

    at: float
    density: float
    cost_s: float
    target_s: float


class HigherDensityDemand(NamedTuple):
    """Denser work in a second: requests, and seconds of prefill.

    Of what is `urgent` the target is shorter, so it goes first; the
    `other` work runs in its turn, but must find room.
    """

    urgent_rate: float = 0.0
    urgent_load: float = 0.0
    other_rate: float = 0.0
    other_load: float = 0.0

    def scaled(self, rate: float, load: float) -> "HigherDensityDemand":
        """The rates times `rate`, the loads times `load`."""
        return HigherDensityDemand(
            self.urgent_rate * rate,
            self.urgent_load * load,
            self.other_rate * rate,
            self.other_load * load,
        )


NO_DEMAND = HigherDensityDemand()


class _Kind:
    """What is known of one kind's requests, as moving averages."""

    def __init__(self, *, first: Offer) -> None:
        self.density = first.density
        self.cost_s = first.cost_s
        self.target_s = first.target_s
        self.recent: collections.deque[float] = collections.deque()

    def add(self, offer: Offer) -> None:
        """Take in one of its requests."""
        self.density += _NEW * (offer.density - self.density)
        self.cost_s += _NEW * (offer.cost_s - self.cost_s)
        self.target_s = offer.target_s
        self.recent.append(offer.at)

    def rate(self, now: float) -> float:
        """Its requests a second of late."""
        while self.recent and self.recent[0] < now - WINDOW_S:
            self.recent.popleft()
        return len(self.recent) / WINDOW_S


class DemandEstimator:
    """The demand on one service at one entry."""

    def __init__(self) -> None:
        self._offers: collections.deque[Offer] = collections.deque()
        self._kinds: dict[types.KindName, _Kind] = {}
        self._declared: Mapping[types.KindName, float] = {}

    def record_offer(self, kind: types.KindName, offer: Offer) -> None:
        """A request asked for work, whether or not it is given any."""
        self._offers.append(offer)
        known = self._kinds.get(kind)
        if known is None:
            known = _Kind(first=offer)
            self._kinds[kind] = known
        known.add(offer)

    def set_declared_rates(
        self, rates: Mapping[types.KindName, float]
    ) -> None:
        """Requests a second of each kind that are declared for now."""
        self._declared = rates

    def rates(self, now: float) -> dict[types.KindName, float]:
        """Requests a second of each kind of late."""
        return {name: kind.rate(now) for name, kind in self._kinds.items()}

    def higher_density_than(self, mine: Offer) -> HigherDensityDemand:
        """The demand of requests denser than `mine`, at its moment.

        A declared kind counts with its declared rate where that is more
        than what has come.
        """
        while self._offers and self._offers[0].at < mine.at - WINDOW_S:
            self._offers.popleft()
        found = [0.0, 0.0, 0.0, 0.0]
        for offer in self._offers:
            if offer.density > mine.density:
                first = 0 if offer.target_s < mine.target_s else 2
                found[first] += 1.0 / WINDOW_S
                found[first + 1] += offer.cost_s / WINDOW_S
        for name, expected in self._declared.items():
            known = self._kinds.get(name)
            if known is not None and known.density > mine.density:
                missing = max(0.0, expected - known.rate(mine.at))
                first = 0 if known.target_s < mine.target_s else 2
                found[first] += missing
                found[first + 1] += missing * known.cost_s
        return HigherDensityDemand(*found)
