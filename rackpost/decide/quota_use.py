"""What organisations have used of their quotas at one gateway.  Pure.

For operators: decisions rest on `quota_buckets`.
"""

import collections
from typing import Iterable
from typing import NamedTuple

from rackpost import types

# Organisations that are told one by one; the rest are told together, so
# that it costs the same whatever their number is.
_MOST_TOLD = 20
OTHERS = types.OrganisationName("(others)")


class QuotaUse(NamedTuple):
    """What an organisation did within the window.

    `units` were admitted, `record_refused` requests were over its quota.
    """

    organisation: types.OrganisationName
    units: int
    refused: int


class _Event(NamedTuple):
    """A request that was admitted, or refused."""

    at: float
    organisation: types.OrganisationName
    units: int
    refused: int


class QuotaUseTracker:
    """Requests of the last window, by organisation."""

    def __init__(self, *, window_s: float) -> None:
        self._window_s = window_s
        self._events: collections.deque[_Event] = collections.deque()

    def record_admitted(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        """A request may pass."""
        self._events.append(_Event(now, name, units, 0))

    def record_refused(self, name: types.OrganisationName, now: float) -> None:
        """A request was over the quota."""
        self._events.append(_Event(now, name, 0, 1))

    def recent(self, now: float) -> tuple[QuotaUse, ...]:
        """The organisations that used most, and the rest together."""
        before = now - self._window_s
        while self._events and self._events[0].at <= before:
            self._events.popleft()
        return largest(
            QuotaUse(item.organisation, item.units, item.refused)
            for item in self._events
        )


def largest(uses: Iterable[QuotaUse]) -> tuple[QuotaUse, ...]:
    """Uses added up by organisation, the largest first."""
    units: collections.Counter[types.OrganisationName]
    units = collections.Counter()
    refused: collections.Counter[types.OrganisationName]
    refused = collections.Counter()
    for item in uses:
        units[item.organisation] += item.units
        refused[item.organisation] += item.refused
    found = [QuotaUse(name, units[name], refused[name]) for name in units]
    found.sort(key=lambda item: (item.organisation == OTHERS, -item.units))
    rest = found[_MOST_TOLD:]
    if not rest:
        return tuple(found)
    others = QuotaUse(
        OTHERS,
        sum(item.units for item in rest),
        sum(item.refused for item in rest),
    )
    return (*found[:_MOST_TOLD], others)
