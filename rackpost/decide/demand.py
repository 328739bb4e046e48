"""How much work of which worth was offered lately, or is declared.

Worth is density: the weight of an answer over its cost.  What a request
must leave to denser ones follows from how much of them comes.  Pure:
times are readings of the owner's clock, in seconds.
"""

import collections
from typing import Mapping
from typing import NamedTuple

from rackpost import types

# Offers of this long ago and younger make up the present demand.
WINDOW_S = 2.0
_NEW = 0.05


class Offer(NamedTuple):
    """Work that was asked for; `cost_s` is in seconds of the resource."""

    at: float
    density: float
    cost_s: float


class Share(NamedTuple):
    """Denser work: requests a second, and seconds of work in a second."""

    rate: float
    load: float


class _Kind:
    """What is known of one kind's requests, as moving averages."""

    def __init__(self, *, density: float, cost_s: float) -> None:
        self.density = density
        self.cost_s = cost_s
        self.recent: collections.deque[float] = collections.deque()

    def add(self, offer: Offer) -> None:
        """Take in one of its requests."""
        self.density += _NEW * (offer.density - self.density)
        self.cost_s += _NEW * (offer.cost_s - self.cost_s)
        self.recent.append(offer.at)

    def rate(self, now: float) -> float:
        """Its requests a second of late."""
        while self.recent and self.recent[0] < now - WINDOW_S:
            self.recent.popleft()
        return len(self.recent) / WINDOW_S


class Demand:
    """The demand on one resource of one endpoint."""

    def __init__(self) -> None:
        self._offers: collections.deque[Offer] = collections.deque()
        self._kinds: dict[types.KindName, _Kind] = {}
        self._declared: Mapping[types.KindName, float] = {}

    def offered(
        self,
        *,
        kind: types.KindName,
        density: float,
        cost_s: float,
        now: float,
    ) -> None:
        """A request asked for work, whether or not it is given any."""
        offer = Offer(now, density, cost_s)
        self._offers.append(offer)
        known = self._kinds.get(kind)
        if known is None:
            known = _Kind(density=density, cost_s=cost_s)
            self._kinds[kind] = known
        known.add(offer)

    def declare(self, rates: Mapping[types.KindName, float]) -> None:
        """Requests a second of each kind that are declared for now."""
        self._declared = rates

    def above(self, density: float, now: float) -> Share:
        """The demand of requests denser than `density`.

        A declared kind counts with its declared rate where that is more
        than what has come.
        """
        while self._offers and self._offers[0].at < now - WINDOW_S:
            self._offers.popleft()
        rate = 0.0
        load = 0.0
        for offer in self._offers:
            if offer.density > density:
                rate += 1.0
                load += offer.cost_s
        rate /= WINDOW_S
        load /= WINDOW_S
        for name, expected in self._declared.items():
            known = self._kinds.get(name)
            if known is not None and known.density > density:
                missing = max(0.0, expected - known.rate(now))
                rate += missing
                load += missing * known.cost_s
        return Share(rate, load)
