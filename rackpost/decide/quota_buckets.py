"""Quotas by a bucket that all gateways keep alike.  Pure.

Each gateway tells how much it has admitted since its start, and each takes
what the others have admitted from its own copy of the bucket.
"""

import collections
from typing import NamedTuple

from rackpost.decide import quota
from rackpost.routing import model
from rackpost import types

# A gateway that has told nothing for this long may serve on where it is not
# heard, in seconds: figures are told each second.
_SILENT_S = 1.3
# After a longer silence what one has admitted meanwhile was its own part, and
# is not drawn from the others' in one piece: three tellings may be lost.
_APART_S = 3.5
# Everything is told again after this long, in seconds, so that a lost
# datagram is made good.
_WHOLE_S = 0.9
# The part of what is not given out that those share who have just started
# and know of nobody who has not.
_FORGOTTEN_PART = 0.25


class _Heard:
    """What another gateway has told in its present life."""

    def __init__(self, *, life: int) -> None:
        self.life = life
        self.at = 0.0
        self.totals: dict[types.OrganisationName, int] = {}
        self.waiting: dict[types.OrganisationName, int] = {}
        # Whether all that it admitted before its last word was drawn.
        self.counts = False


class _Level(NamedTuple):
    """What a bucket holds, at a reading."""

    units: float
    at: float


class SharedBuckets(quota.Quotas):
    """Admits from a bucket for each organisation, filled at its rate.

    - A bucket holds so much that it and the rate fill a window's limit; what
      passes in any window stays within that whoever has forgotten what.
    - What is sent is drawn; what waits is kept for, while its bucket fills
      to the brim and no further.
    - One that has just started takes its buckets' levels from gateways that
      have run for longer; where all have just started they begin with next
      to nothing, and have what is missing a window later.
    - Where some are not heard, size and rate are the part of those that are:
      halves that do not hear each other together stay within the limit.
    """

    def __init__(
        self,
        *,
        terms: quota.QuotaSettings,
        began: float,
        limit_of: quota.LimitOf,
    ) -> None:
        super().__init__(terms=terms, began=began, limit_of=limit_of)
        self._heard: dict[types.VmId, _Heard] = {}
        self._levels: dict[types.OrganisationName, _Level] = {}
        # What was sent since the start, and what waits.
        self._totals: collections.Counter[types.OrganisationName]
        self._totals = collections.Counter()
        self._waiting: collections.Counter[types.OrganisationName]
        self._waiting = collections.Counter()
        self._told: dict[types.OrganisationName, int] = {}
        self._whole_at = began
        # Levels were taken from one that has run for so long, in seconds.
        self._learned_s = 0.0
        # Whether what was admitted before the start counts no more.
        self._is_settled = False

    def bucket_size(self, limit: model.Quota) -> float:
        """What a full bucket holds."""
        filled = limit.rate_per_s * self.terms.window_s
        return self.terms.bound(limit) - filled

    def reachable_gateways(self, now: float) -> int:
        """How many gateways are heard, this one included."""
        return 1 + sum(
            now - item.at <= _SILENT_S for item in self._heard.values()
        )

    def _share(self, now: float) -> float:
        """The part of all gateways that are heard."""
        return min(1.0, self.reachable_gateways(now) / self.gateways)

    def _level(self, name: types.OrganisationName, now: float) -> float:
        """What a bucket holds now; it may be below 0."""
        limit = self.limit_of(name)
        if limit is None:
            return 0.0
        self._end_start(now)
        known = self._levels.get(name) or self._first(limit)
        share = self._share(now)
        units = known.units
        units += limit.rate_per_s * share * max(0.0, now - known.at)
        units = min(units, self.bucket_size(limit))
        self._levels[name] = _Level(units, now)
        return units

    def _end_start(self, now: float) -> None:
        """A window after the start nothing forgotten counts any more."""
        if self._is_settled or now < self.began + self.terms.window_s:
            return
        self._is_settled = True
        if self._learned_s > 0.0:
            return
        for name, known in self._levels.items():
            limit = self.limit_of(name)
            if limit is not None:
                units = known.units + self.bucket_size(limit)
                self._levels[name] = _Level(units, known.at)

    def _first(self, limit: model.Quota) -> _Level:
        """A bucket that nothing is known of.

        It would have been filled since the start; before that it may have
        been emptied by lives that are forgotten, unless somebody knows.
        """
        if self._is_settled or self._learned_s > 0.0:
            # Nothing is known of it that is not full.
            return _Level(self.bucket_size(limit), self.began)
        return _Level(_FORGOTTEN_PART * self.terms.reserve, self.began)

    def _draw(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        if self.limit_of(name) is not None:
            self._levels[name] = _Level(self._level(name, now) - units, now)

    def admit(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        """A request is admitted here, and waits to be sent."""
        self._waiting[name] += units

    def record_sent(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        """One that was admitted is sent to an endpoint."""
        self._waiting[name] -= units
        self._totals[name] += units
        self._draw(name, units, now)

    def record_not_run(
        self, name: types.OrganisationName, units: int, at: float, now: float
    ) -> None:
        """What was sent at a reading has not run: it waits again."""
        self._totals[name] -= units
        self._draw(name, -units, now)
        self._waiting[name] += units

    def cancel(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        """One that waits is not sent any more."""
        self._waiting[name] -= units

    def _free(self, name: types.OrganisationName, now: float) -> float:
        """What a bucket holds for others than those that wait already."""
        taken = self._waiting[name]
        for heard in self._heard.values():
            if now - heard.at <= _SILENT_S:
                taken += heard.waiting.get(name, 0)
        return self._level(name, now) - taken

    def receive(
        self,
        sender: types.VmId,
        incarnation: int,
        report: quota.QuotaReport,
        now: float,
    ) -> bool:
        """Take another gateway's word; whether it has just begun to tell."""
        heard = self._heard.get(sender)
        is_new = heard is None or heard.life != incarnation
        if heard is None or is_new:
            heard = self._heard[sender] = _Heard(life=incarnation)
            # All that it has admitted is fresh, if it is itself.
            heard.counts = report.uptime_s < self.terms.window_s
            self._whole_at = now - _WHOLE_S
        elif now - heard.at > _APART_S:
            heard.counts = False
        heard.at = now
        heard.waiting = report.waiting
        if heard.counts:
            self._take_spent(heard, report, now)
        elif report.is_complete:
            self._take_levels(report, now)
            heard.totals = dict(report.spent)
            heard.counts = True
        return is_new

    def _take_spent(
        self, heard: _Heard, told: quota.QuotaReport, now: float
    ) -> None:
        """Draw what it has admitted since its last word."""
        for name, total in told.spent.items():
            more = total - heard.totals.get(name, 0)
            heard.totals[name] = total
            if more:
                self._draw(name, more, now)

    def _take_levels(self, told: quota.QuotaReport, now: float) -> None:
        """Its buckets' levels, of one that was not heard for a while.

        What both have admitted meanwhile is not in one's own: the lower
        one holds, but for one's own that rest on nothing.
        """
        up_s = now - self.began
        knows_more = up_s < self.terms.window_s and told.uptime_s > up_s + 1.0
        if knows_more and told.uptime_s > self._learned_s:
            self._learned_s = told.uptime_s
            self._levels.clear()
        for name, units in told.levels.items():
            known = self._level(name, now)
            self._levels[name] = _Level(min(units, known), now)

    def next_report(self, now: float) -> quota.QuotaReport:
        """What others should know: all, or what has changed since."""
        whole = now >= self._whole_at + _WHOLE_S
        if whole:
            self._whole_at = now
            spent = dict(self._totals)
        else:
            spent = {
                name: value
                for name, value in self._totals.items()
                if value != self._told.get(name, 0)
            }
        self._told = dict(self._totals)
        return quota.QuotaReport(
            uptime_s=int(now - self.began),
            is_complete=whole,
            spent=spent,
            levels=self._below_full(now) if whole else {},
            waiting={k: units for k, units in self._waiting.items() if units},
        )

    def forget(self, now: float) -> None:
        """Drop gateways that have been silent for a window.

        One that is heard again tells everything, as a newcomer does.
        """
        before = now - self.terms.window_s
        for sender, heard in list(self._heard.items()):
            if heard.at < before:
                del self._heard[sender]

    def _below_full(self, now: float) -> dict[types.OrganisationName, int]:
        """What the buckets hold that are not full."""
        found = {}
        for name in list(self._levels):
            limit = self.limit_of(name)
            if limit is None:
                del self._levels[name]
                continue
            units = self._level(name, now)
            if units < self.bucket_size(limit):
                found[name] = int(units)
        return found

    def check(
        self, item: model.Organisation, wanted: int, now: float
    ) -> quota.OverQuota | None:
        """None where a request of so many units may pass."""
        limit = item.quota
        if limit is None:
            return None
        size = self.bucket_size(limit)
        if wanted > self.terms.bound(limit):
            # More than any window may hold, whenever it comes.
            return quota.OverQuota(self.terms.window_s, wanted, size)
        share = self._share(now)
        # What those hold that are not heard is theirs.
        level = self._free(item.name, now) - size * (1.0 - share)
        # What is larger than the bucket passes when that is full.
        needed = min(wanted, size * share)
        if level >= needed:
            return None
        room_s = (needed - level) / (limit.rate_per_s * share)
        return quota.OverQuota(
            retry_after_s=min(room_s, self.terms.window_s),
            used=size - level,
            bound=size,
        )
