"""Quota policies that count the units admitted in a sliding window.

They are alternatives to `rackpost.decide.quota_buckets`, which gateways use.
"""

import collections
from typing import NamedTuple

from rackpost.decide import quota
from rackpost.routing import model
from rackpost import types

# A peer without a report for this long may still be serving elsewhere;
# gateways report every second.
_SILENT_AFTER_S = 1.3
# Complete reports make up for lost datagrams and expired units.
_COMPLETE_REPORT_INTERVAL_S = 0.9
# The fraction of the reserve that recently started gateways share.
_RECENT_START_FRACTION = 0.25


class WindowReport(
    quota.QuotaReport, frozen=True, array_like=True, kw_only=True
):
    """A report of the units that a gateway has admitted in the window.

    `ended` holds the units of gateways that have ended, as far as known.
    """

    ended: dict[types.OrganisationName, int] = {}


class WindowUsage:
    """The units that one gateway has admitted in the window.

    Units count from admission on, and expire one window after they were
    last sent to an endpoint: units of waiting requests do not expire.
    """

    def __init__(self, *, window_s: float) -> None:
        self._window_s = window_s
        self._sent: dict[
            types.OrganisationName, collections.deque[_SentUnits]
        ] = {}
        self._totals: collections.Counter[types.OrganisationName] = (
            collections.Counter()
        )

    def reserve(self, name: types.OrganisationName, units: int) -> None:
        """Record an admitted request."""
        self._totals[name] += units

    def cancel(self, name: types.OrganisationName, units: int) -> None:
        """Record that an admitted request will not run."""
        self._subtract(name, units)

    def sent(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        """Record that an admitted request was sent to an endpoint."""
        found = self._sent.setdefault(name, collections.deque())
        found.append(_SentUnits(now, units))

    def not_run(
        self, name: types.OrganisationName, units: int, at: float
    ) -> None:
        """Record that a request sent at time `at` did not run and waits."""
        try:
            self._sent[name].remove(_SentUnits(at, units))
        except (KeyError, ValueError):
            # The units have expired since.
            self.reserve(name, units)

    def recent(self, now: float) -> dict[types.OrganisationName, int]:
        """Return the units in the window of each organisation."""
        self._expire(now)
        return dict(self._totals)

    def of(self, name: types.OrganisationName, now: float) -> int:
        """Return the units in the window of one organisation."""
        self._expire(now)
        return self._totals[name]

    def _expire(self, now: float) -> None:
        before = now - self._window_s
        for name, found in list(self._sent.items()):
            while found and found[0].at <= before:
                self._subtract(name, found.popleft().units)
            if not found:
                del self._sent[name]

    def _subtract(self, name: types.OrganisationName, units: int) -> None:
        self._totals[name] -= units
        if self._totals[name] <= 0:
            del self._totals[name]


class _SentUnits(NamedTuple):
    """Units, and the time at which they were sent."""

    at: float
    units: int


def over_quota(
    terms: quota.QuotaSettings, used: float, wanted: int, bound: float
) -> quota.OverQuota | None:
    """Return None if a request fits within the bound, else the refusal."""
    over = used + wanted - bound
    if over <= 0.0:
        return None
    # Assumes that the units expire evenly over the window.
    part = min(1.0, over / used) if used > 0.0 else 1.0
    return quota.OverQuota(part * terms.window_s, used, bound)


class WindowQuotas(quota.Quotas):
    """Base of the policies that count admitted units over the window."""

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
        self.own = WindowUsage(window_s=settings.window_s)

    def admit(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        """Record an admitted request, which waits to be sent."""
        self.own.reserve(name, units)

    def record_sent(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        """Record that an admitted request was sent to an endpoint."""
        self.own.sent(name, units, now)

    def record_not_run(
        self, name: types.OrganisationName, units: int, at: float, now: float
    ) -> None:
        """Record that a request sent at time `at` did not run and waits."""
        self.own.not_run(name, units, at)

    def cancel(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        """Record that a waiting request will not be sent."""
        self.own.cancel(name, units)


class EvenShares(WindowQuotas):
    """Each gateway admits an even share of the limit, without reports."""

    def check(
        self, item: model.Organisation, wanted: int, now: float
    ) -> quota.OverQuota | None:
        """Return None if the request fits in this gateway's share."""
        if item.quota is None:
            return None
        bound = self.settings.bound(item.quota) / max(1, self.gateways)
        return over_quota(
            self.settings, self.own.of(item.name, now), wanted, bound
        )


class _PeerUsage:
    """The reports of another gateway in its current incarnation."""

    def __init__(self, *, incarnation: int) -> None:
        self.incarnation = incarnation
        self.at = 0.0
        self.uptime_s = 0.0
        self.spent: dict[types.OrganisationName, int] = {}
        # Units of ended gateways, as of `ended_at`.
        self.ended: dict[types.OrganisationName, int] = {}
        self.ended_at = 0.0


class _EndedUsage(NamedTuple):
    """The units of an ended incarnation, and the time of its last report."""

    at: float
    spent: dict[types.OrganisationName, int]


class ReportedUsage(WindowQuotas):
    """Compares the sum of all gateways' reported units with the limit.

    - The units of an ended or silent gateway continue to count until they
      expire, and are reported to gateways that start later.
    - If some gateways are silent, only the reachable ones' share of the
      limit is admitted, so that both sides of a partition stay within it.
    - A gateway that has just started does not know what was admitted before.
      For one window, recently started gateways together admit no more than
      the rate since their start and a share of the reserve.
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
        self._peers: dict[types.VmId, _PeerUsage] = {}
        self._ended_usage: list[_EndedUsage] = []
        self._last_reported: dict[types.OrganisationName, int] = {}
        self._complete_report_at = started_at

    def receive(
        self,
        sender: types.VmId,
        incarnation: int,
        report: quota.QuotaReport,
        now: float,
    ) -> bool:
        """Record a peer's report; return whether its incarnation is new.

        A new incarnation makes the next own report complete.
        """
        peer = self._peers.get(sender)
        is_new = peer is None or peer.incarnation != incarnation
        if peer is None or is_new:
            if peer is not None:
                self._ended_usage.append(_EndedUsage(peer.at, peer.spent))
            peer = self._peers[sender] = _PeerUsage(incarnation=incarnation)
            self._complete_report_at = now - _COMPLETE_REPORT_INTERVAL_S
        peer.at = now
        peer.uptime_s = report.uptime_s
        if isinstance(report, WindowReport) and report.is_complete:
            peer.spent = dict(report.spent)
            peer.ended = dict(report.ended)
            peer.ended_at = now
        else:
            peer.spent.update(report.spent)
        return is_new

    def next_report(self, now: float) -> WindowReport:
        """Return the next report: complete, or with the increased units."""
        recent = self.own.recent(now)
        is_complete = (
            now >= self._complete_report_at + _COMPLETE_REPORT_INTERVAL_S
        )
        if is_complete:
            self._complete_report_at = now
            spent = recent
        else:
            spent = {
                name: value
                for name, value in recent.items()
                if value > self._last_reported.get(name, 0)
            }
        self._last_reported = recent
        return WindowReport(
            uptime_s=int(now - self.started_at),
            is_complete=is_complete,
            spent=spent,
            ended=self._ended_units(now) if is_complete else {},
        )

    def _ended_units(self, now: float) -> dict[types.OrganisationName, int]:
        """Return the unexpired units of ended gateways."""
        found: collections.Counter[types.OrganisationName]
        found = collections.Counter()
        for ended_incarnation in self._ended_usage:
            part = self._remaining_fraction(ended_incarnation.at, now)
            for name, units in ended_incarnation.spent.items():
                found[name] += int(units * part)
        return {name: units for name, units in found.items() if units > 0}

    def forget(self, now: float) -> None:
        """Drop peers and ended incarnations whose units have expired."""
        before = now - self.settings.window_s
        self._ended_usage = [
            item for item in self._ended_usage if item.at > before
        ]
        for sender, peer in list(self._peers.items()):
            if peer.at <= before:
                del self._peers[sender]

    def used(self, name: types.OrganisationName, now: float) -> float:
        """Return the units of an organisation at all known gateways."""
        found = float(self.own.of(name, now))
        ended = 0.0
        for ended_incarnation in self._ended_usage:
            ended += ended_incarnation.spent.get(
                name, 0
            ) * self._remaining_fraction(ended_incarnation.at, now)
        for peer in self._peers.values():
            units = peer.spent.get(name, 0)
            found += units * self._remaining_fraction(peer.at, now)
            reported = peer.ended.get(name, 0) * self._remaining_fraction(
                peer.ended_at, now
            )
            # The peers report the same incarnations: do not add them up.
            ended = max(ended, reported)
        return found + ended

    def _remaining_fraction(self, at: float, now: float) -> float:
        """Return the fraction of units reported at time `at` to count.

        They count in full for half of the window, then linearly less.
        """
        left = 2.0 * (1.0 - (now - at) / self.settings.window_s)
        return min(1.0, max(0.0, left))

    def bound(self, quota_: model.Quota, now: float) -> float:
        """Return the limit, reduced to the share of reachable gateways."""
        reachable = 1 + sum(
            now - item.at <= _SILENT_AFTER_S for item in self._peers.values()
        )
        return self.settings.bound(quota_) * min(
            1.0, reachable / self.gateways
        )

    def check(
        self, item: model.Organisation, wanted: int, now: float
    ) -> quota.OverQuota | None:
        """Check the limit, and the lower one after a recent start."""
        if item.quota is None:
            return None
        used = self.used(item.name, now)
        bound = self.bound(item.quota, now)
        refused = over_quota(self.settings, used, wanted, bound)
        if refused is not None:
            return refused
        uptime_s = now - self.started_at
        if uptime_s >= self.settings.window_s:
            return None
        spent = self._spent_by_recently_started(item.name, now)
        max_units = item.quota.rate_per_s * uptime_s
        max_units += _RECENT_START_FRACTION * self.settings.reserve
        over = spent + wanted - max_units
        if over <= 0.0:
            return None
        available_in_s = over / item.quota.rate_per_s
        return quota.OverQuota(
            min(available_in_s, self.settings.window_s), spent, max_units
        )

    def _spent_by_recently_started(
        self, name: types.OrganisationName, now: float
    ) -> float:
        """Return the units of gateways that started within the window."""
        found = float(self.own.of(name, now))
        for peer in self._peers.values():
            if peer.uptime_s + now - peer.at < self.settings.window_s:
                found += peer.spent.get(name, 0)
        return found
