"""Track how organisations use their quotas at one gateway.

The figures are for operators; `quota_buckets` decides what is admitted.
"""

import collections
from typing import Iterable
from typing import NamedTuple

from rackpost import types

# Bounds the size of a report; further organisations are added up.
_MAX_REPORTED = 20
OTHERS = types.OrganisationName("(others)")


class QuotaUse(NamedTuple):
    """Units admitted and requests refused for an organisation in a window."""

    organisation: types.OrganisationName
    units: int
    refused: int


class _Event(NamedTuple):
    """A request that was admitted or refused."""

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
        """Record an admitted request."""
        self._events.append(_Event(now, name, units, 0))

    def record_refused(self, name: types.OrganisationName, now: float) -> None:
        """Record a request that was refused as over quota."""
        self._events.append(_Event(now, name, 0, 1))

    def recent(self, now: float) -> tuple[QuotaUse, ...]:
        """Return the use of the largest organisations, and of all others."""
        before = now - self._window_s
        while self._events and self._events[0].at <= before:
            self._events.popleft()
        return largest(
            QuotaUse(item.organisation, item.units, item.refused)
            for item in self._events
        )


def largest(uses: Iterable[QuotaUse]) -> tuple[QuotaUse, ...]:
    """Return uses added up by organisation, the largest first.

    Organisations beyond the largest are added up as `OTHERS`.
    """
    units: collections.Counter[types.OrganisationName]
    units = collections.Counter()
    refused: collections.Counter[types.OrganisationName]
    refused = collections.Counter()
    for item in uses:
        units[item.organisation] += item.units
        refused[item.organisation] += item.refused
    found = [QuotaUse(name, units[name], refused[name]) for name in units]
    found.sort(key=lambda item: (item.organisation == OTHERS, -item.units))
    rest = found[_MAX_REPORTED:]
    if not rest:
        return tuple(found)
    others = QuotaUse(
        OTHERS,
        sum(item.units for item in rest),
        sum(item.refused for item in rest),
    )
    return (*found[:_MAX_REPORTED], others)
