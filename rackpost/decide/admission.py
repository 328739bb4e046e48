"""Who may take the last room: lines by weight and cost, moved by events.

A request's density is its weight over what it costs; under pressure the
room near the limit is kept for the denser ones (trunk reservation).  The
agent enforces the line, so entries need not agree on the load.  Pure:
times are readings of the entry's clock, in seconds.
"""

import bisect
import collections
from typing import NamedTuple

# Densities of the latest requests, among which a new one is ranked.
_REMEMBERED = 256
_MIN_KNOWN = 32
# The least dense request may wait this share of its slack and must leave
# this share of the slots when everything is under full pressure.
_MIN_QUEUE_SHARE = 0.25
_MAX_SLOTS_KEPT = 0.25
_NEW = 0.05


class Line(NamedTuple):
    """What a request must leave to denser ones."""

    slots_kept: float
    queue_share: float


class Ranks:
    """Where a density stands among those of the latest requests."""

    def __init__(self) -> None:
        self._order: collections.deque[float] = collections.deque()
        self._sorted: list[float] = []

    def add(self, density: float) -> None:
        """Take in the density of an offered request."""
        self._order.append(density)
        bisect.insort(self._sorted, density)
        if len(self._order) > _REMEMBERED:
            old = self._order.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, old)]

    def rank(self, density: float) -> float:
        """The share of requests that are less dense; 1 if few are known."""
        if len(self._sorted) < _MIN_KNOWN:
            return 1.0
        low = bisect.bisect_left(self._sorted, density)
        high = bisect.bisect_right(self._sorted, density)
        return (low + high) / 2 / len(self._sorted)


class Pressure:
    """How often requests were refused lately, between 0 and 1."""

    def __init__(self) -> None:
        self.level = 0.0

    def granted(self) -> None:
        """A reservation was granted at the first try."""
        self.level -= _NEW * self.level

    def refused(self) -> None:
        """A reservation was refused for want of room."""
        self.level += _NEW * (1.0 - self.level)


class Admission:
    """The lines of one service at one entry."""

    def __init__(self) -> None:
        self._ranks = Ranks()
        self.pressure = Pressure()

    def line(self, *, weight: float, cost: float) -> Line:
        """What an offered request of this weight and cost must leave.

        `cost` is in any unit that is the same for all requests of the
        service, such as the larger share of a second that it takes of
        the prefill pool or of the decode pool.
        """
        density = weight / max(cost, 1e-6)
        self._ranks.add(density)
        rank = self._ranks.rank(density)
        harsh = min(1.0, 4.0 * self.pressure.level)
        lack = (1.0 - rank) * harsh
        return Line(
            slots_kept=_MAX_SLOTS_KEPT * lack,
            queue_share=1.0 - (1.0 - _MIN_QUEUE_SHARE) * lack,
        )
