"""Quotas by token buckets that are replicated at all gateways.

Each gateway reports its spending since its start, and subtracts the spending
that others report from its own copy of each bucket.
"""

import collections
from typing import NamedTuple

from rackpost.decide import quota
from rackpost.routing import model
from rackpost import types

# A gateway without a report for this long is unreachable, and may admit
# requests on its own where it is cut off; reports come each second.
_UNREACHABLE_S = 1.3
# Spending reported after a longer silence came out of the sender's own share
# of the quota and is not subtracted here.  Up to three reports may be lost.
_CUT_OFF_S = 3.5
# A complete report is due after this long, in case a report was lost.
_COMPLETE_INTERVAL_S = 0.9
# Share of the reserve that a gateway admits after a restart of all gateways,
# when earlier spending is unknown.
_FORGOTTEN_SHARE = 0.25


class _Peer:
    """What another gateway has reported in its current incarnation."""

    def __init__(self, *, incarnation: int) -> None:
        self.incarnation = incarnation
        self.received_at = 0.0
        self.totals: dict[types.OrganisationName, int] = {}
        self.waiting: dict[types.OrganisationName, int] = {}
        # Whether the buckets here include its spending up to `totals`.
        self.is_included = False


class _Level(NamedTuple):
    """Units in a bucket at a clock reading."""

    units: float
    at: float


class SharedBuckets(quota.Quotas):
    """Admits from a bucket for each organisation, filled at its rate.

    - The size of a bucket and what flows in during a window are together the
      window's limit, so no window exceeds it, even after lost reports.
    - Sent requests are subtracted from the bucket.  Admitted requests that
      wait to be sent keep their units reserved.
    - A gateway that has just started takes its buckets' levels from gateways
      that have run for longer.  Where all have just started, buckets start
      almost empty, and get the missing units one window later.
    - Where some gateways are unreachable, size and rate are scaled by the
      share of reachable ones, so that both sides of a network partition
      together stay within the limit.
    """

    def __init__(
        self,
        *,
        settings: quota.QuotaSettings,
        started_at: float,
        limit_of: quota.LimitOf,
    ) -> None:
        super().__init__(
            settings=settings, started_at=started_at, limit_of=limit_of
        )
        self._peers: dict[types.VmId, _Peer] = {}
        self._levels: dict[types.OrganisationName, _Level] = {}
        # Units sent since the start, and units that wait to be sent.
        self._totals: collections.Counter[types.OrganisationName]
        self._totals = collections.Counter()
        self._waiting: collections.Counter[types.OrganisationName]
        self._waiting = collections.Counter()
        self._reported: dict[types.OrganisationName, int] = {}
        self._complete_at = started_at
        # Uptime of the gateway from which levels were taken at the start.
        self._learned_s = 0.0
        # Whether spending before the start has left the window.
        self._is_settled = False

    def bucket_size(self, limit: model.Quota) -> float:
        """Return the units in a full bucket."""
        inflow = limit.rate_per_s * self.settings.window_s
        return self.settings.bound(limit) - inflow

    def reachable_gateways(self, now: float) -> int:
        """Return the number of reachable gateways, this one included."""
        return 1 + sum(
            now - peer.received_at <= _UNREACHABLE_S
            for peer in self._peers.values()
        )

    def _share(self, now: float) -> float:
        """Return the share of gateways that are reachable."""
        return min(1.0, self.reachable_gateways(now) / self.gateways)

    def _level(self, name: types.OrganisationName, now: float) -> float:
        """Return the units in a bucket now; may be negative."""
        limit = self.limit_of(name)
        if limit is None:
            return 0.0
        self._settle(now)
        known = self._levels.get(name) or self._initial_level(limit)
        share = self._share(now)
        units = known.units
        units += limit.rate_per_s * share * max(0.0, now - known.at)
        units = min(units, self.bucket_size(limit))
        self._levels[name] = _Level(units, now)
        return units

    def _settle(self, now: float) -> None:
        """Fill the buckets up once forgotten spending has left the window."""
        if self._is_settled or now < self.started_at + self.settings.window_s:
            return
        self._is_settled = True
        if self._learned_s > 0.0:
            return
        for name, known in self._levels.items():
            limit = self.limit_of(name)
            if limit is not None:
                units = known.units + self.bucket_size(limit)
                self._levels[name] = _Level(units, known.at)

    def _initial_level(self, limit: model.Quota) -> _Level:
        """Return the level of a bucket that has no record.

        It is full unless spending before the start may be forgotten.
        """
        if self._is_settled or self._learned_s > 0.0:
            # Reports list all buckets that are not full.
            return _Level(self.bucket_size(limit), self.started_at)
        return _Level(
            _FORGOTTEN_SHARE * self.settings.reserve, self.started_at
        )

    def _subtract(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        if self.limit_of(name) is not None:
            self._levels[name] = _Level(self._level(name, now) - units, now)

    def admit(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        """Record that a request is admitted and waits to be sent."""
        self._waiting[name] += units

    def record_sent(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        """Record that an admitted request is sent to an endpoint."""
        self._waiting[name] -= units
        self._totals[name] += units
        self._subtract(name, units, now)

    def record_not_run(
        self, name: types.OrganisationName, units: int, at: float, now: float
    ) -> None:
        """Record that a request sent at `at` did not run and waits again."""
        self._totals[name] -= units
        self._subtract(name, -units, now)
        self._waiting[name] += units

    def cancel(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        """Record that an admitted request will not be sent."""
        self._waiting[name] -= units

    def _free(self, name: types.OrganisationName, now: float) -> float:
        """Return the level less what is reserved for waiting requests."""
        reserved = self._waiting[name]
        for peer in self._peers.values():
            if now - peer.received_at <= _UNREACHABLE_S:
                reserved += peer.waiting.get(name, 0)
        return self._level(name, now) - reserved

    def receive(
        self,
        sender: types.VmId,
        incarnation: int,
        report: quota.QuotaReport,
        now: float,
    ) -> bool:
        """Take in another gateway's report.

        Return whether it is the first one of that incarnation.
        """
        peer = self._peers.get(sender)
        is_new = peer is None or peer.incarnation != incarnation
        if peer is None or is_new:
            peer = self._peers[sender] = _Peer(incarnation=incarnation)
            # All spending of a gateway that has just started is new here.
            peer.is_included = report.uptime_s < self.settings.window_s
            self._complete_at = now - _COMPLETE_INTERVAL_S
        elif now - peer.received_at > _CUT_OFF_S:
            peer.is_included = False
        peer.received_at = now
        peer.waiting = report.waiting
        if peer.is_included:
            self._subtract_spent(peer, report, now)
        elif report.is_complete:
            self._adopt_levels(report, now)
            peer.totals = dict(report.spent)
            peer.is_included = True
        return is_new

    def _subtract_spent(
        self, peer: _Peer, report: quota.QuotaReport, now: float
    ) -> None:
        """Subtract what a gateway has spent since its last report."""
        for name, total in report.spent.items():
            units = total - peer.totals.get(name, 0)
            peer.totals[name] = total
            if units:
                self._subtract(name, units, now)

    def _adopt_levels(self, report: quota.QuotaReport, now: float) -> None:
        """Take the lower level of each bucket, here and in the report.

        Neither includes what the other gateway spent during a silence.  A
        gateway that has just started takes the reported levels instead.
        """
        uptime_s = now - self.started_at
        knows_more = (
            uptime_s < self.settings.window_s
            and report.uptime_s > uptime_s + 1.0
        )
        if knows_more and report.uptime_s > self._learned_s:
            self._learned_s = report.uptime_s
            self._levels.clear()
        for name, units in report.levels.items():
            known = self._level(name, now)
            self._levels[name] = _Level(min(units, known), now)

    def next_report(self, now: float) -> quota.QuotaReport:
        """Return a complete report, or what changed since the last one."""
        if now < self._complete_at + _COMPLETE_INTERVAL_S:
            return self.changed_report(now)
        self._complete_at = now
        self._reported = dict(self._totals)
        return self.complete_report(now)

    def complete_report(self, now: float) -> quota.QuotaReport:
        """Return all figures."""
        return quota.QuotaReport(
            uptime_s=int(now - self.started_at),
            is_complete=True,
            spent=dict(self._totals),
            levels=self._below_full(now),
            waiting=self._waiting_units(),
        )

    def changed_report(self, now: float) -> quota.QuotaReport:
        """Return what changed since the last report of changes."""
        spent = {
            name: value
            for name, value in self._totals.items()
            if value != self._reported.get(name, 0)
        }
        self._reported = dict(self._totals)
        return quota.QuotaReport(
            uptime_s=int(now - self.started_at),
            spent=spent,
            waiting=self._waiting_units(),
        )

    def _waiting_units(self) -> dict[types.OrganisationName, int]:
        return {name: units for name, units in self._waiting.items() if units}

    def forget(self, now: float) -> None:
        """Drop gateways without a report for a window."""
        before = now - self.settings.window_s
        for sender, peer in list(self._peers.items()):
            if peer.received_at < before:
                del self._peers[sender]

    def _below_full(self, now: float) -> dict[types.OrganisationName, int]:
        """Return the levels of buckets that are not full."""
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
        """Return None if a request of `wanted` units may be admitted."""
        limit = item.quota
        if limit is None:
            return None
        size = self.bucket_size(limit)
        if wanted > self.settings.bound(limit):
            # Exceeds any window.
            return quota.OverQuota(self.settings.window_s, wanted, size)
        share = self._share(now)
        # Unreachable gateways keep their share of the bucket.
        level = self._free(item.name, now) - size * (1.0 - share)
        # A request larger than the bucket is admitted when that is full.
        needed = min(wanted, size * share)
        if level >= needed:
            return None
        retry_after_s = (needed - level) / (limit.rate_per_s * share)
        return quota.OverQuota(
            retry_after_s=min(retry_after_s, self.settings.window_s),
            used=size - level,
            bound=size,
        )
