"""Rates at which generations of each priority arrived lately.

Pure: times are readings of the owner's clock, in seconds.
"""

import collections

import msgspec

# Arrivals count for this long, in seconds: as long as the longest usual
# target, so that capacity kept for a kind is free again soon after it stops.
_WINDOW_S = 2.0
# Weight of the newest request in the running average of the time to spare.
_SLACK_WEIGHT = 0.1


class ArrivalRate(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Recent arrivals of one priority.

    Attributes:
        per_s: arrivals a second.
        slack_s: how long such a request can wait on arrival, in seconds.
    """

    priority: int
    per_s: float
    slack_s: float


class ArrivalRates:
    """Counts arrivals by priority over the last seconds."""

    def __init__(self) -> None:
        self._arrived: dict[int, collections.deque[float]] = {}
        self._slack_s: dict[int, float] = {}

    def add(self, priority: int, slack_s: float, now: float) -> None:
        """Record an arrival that can wait `slack_s`."""
        self._arrived.setdefault(priority, collections.deque()).append(now)
        known = self._slack_s.get(priority, slack_s)
        self._slack_s[priority] = known + _SLACK_WEIGHT * (slack_s - known)
        self._drop_old(now)

    def rates(self, now: float) -> tuple[ArrivalRate, ...]:
        """Return the rates of the priorities that arrived lately."""
        self._drop_old(now)
        return tuple(
            ArrivalRate(
                priority=priority,
                per_s=len(times) / _WINDOW_S,
                slack_s=round(self._slack_s[priority], 3),
            )
            for priority, times in sorted(self._arrived.items())
            if times
        )

    def _drop_old(self, now: float) -> None:
        for times in self._arrived.values():
            while times and times[0] <= now - _WINDOW_S:
                times.popleft()
