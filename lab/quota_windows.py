"""Ways to keep quotas by what was admitted in the window.

Gateways are built with buckets (`rackpost.decide.quota_buckets`); these
are what was compared with them.
"""

import collections
from typing import NamedTuple

from rackpost.decide import quota
from rackpost.routing import model
from rackpost import types

# A gateway that has told nothing for this long may serve on where it is not
# heard, in seconds: figures are told each second.
_SILENT_AFTER_S = 1.3
# Everything is told again after this long, in seconds, so that a lost
# datagram and what has left the window are made good.
_COMPLETE_REPORT_INTERVAL_S = 0.9
# The part of what is not given out that those share who have just started.
_RECENT_START_FRACTION = 0.25


class WindowReport(
    quota.QuotaReport, frozen=True, array_like=True, kw_only=True
):
    """What a gateway tells others of what its clients have spent.

    `spent` is within the window; `ended` the same of gateways that have
    ended since, as it knows it.
    """

    ended: dict[types.OrganisationName, int] = {}


class WindowUsage:
    """What one gateway has let pass, by organisation, over a window.

    What is admitted counts from then on, and leaves the window a window
    after it was last sent to an endpoint: while it waits it does not age.
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
        """A request is admitted."""
        self._totals[name] += units

    def cancel(self, name: types.OrganisationName, units: int) -> None:
        """A request that was admitted has not run and won't."""
        self._take_off(name, units)

    def sent(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        """A request that was admitted is sent to an endpoint."""
        found = self._sent.setdefault(name, collections.deque())
        found.append(_SentUnits(now, units))

    def not_run(
        self, name: types.OrganisationName, units: int, at: float
    ) -> None:
        """What was sent at a reading has not run: it waits again."""
        try:
            self._sent[name].remove(_SentUnits(at, units))
        except (KeyError, ValueError):
            # It has left the window since.
            self.reserve(name, units)

    def recent(self, now: float) -> dict[types.OrganisationName, int]:
        """What counts now, of each organisation that has spent any."""
        self._expire(now)
        return dict(self._totals)

    def of(self, name: types.OrganisationName, now: float) -> int:
        """What counts now of one organisation."""
        self._expire(now)
        return self._totals[name]

    def _expire(self, now: float) -> None:
        before = now - self._window_s
        for name, found in list(self._sent.items()):
            while found and found[0].at <= before:
                self._take_off(name, found.popleft().units)
            if not found:
                del self._sent[name]

    def _take_off(self, name: types.OrganisationName, units: int) -> None:
        self._totals[name] -= units
        if self._totals[name] <= 0:
            del self._totals[name]


class _SentUnits(NamedTuple):
    """What was sent at a clock reading."""

    at: float
    units: int


def over_quota(
    terms: quota.QuotaSettings, used: float, wanted: int, bound: float
) -> quota.OverQuota | None:
    """None where a request stays within a bound of what is used."""
    over = used + wanted - bound
    if over <= 0.0:
        return None
    # What was spent evenly leaves the window evenly.
    part = min(1.0, over / used) if used > 0.0 else 1.0
    return quota.OverQuota(part * terms.window_s, used, bound)


class WindowQuotas(quota.Quotas):
    """Counts what was admitted here over the window."""

    def __init__(
        self,
        *,
        terms: quota.QuotaSettings,
        began: float,
        limit_of: quota.LimitOf,
    ) -> None:
        super().__init__(terms=terms, began=began, limit_of=limit_of)
        self.own = WindowUsage(window_s=terms.window_s)

    def admit(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        """A request is admitted here, and waits to be sent."""
        self.own.reserve(name, units)

    def record_sent(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        """One that was admitted is sent to an endpoint."""
        self.own.sent(name, units, now)

    def record_not_run(
        self, name: types.OrganisationName, units: int, at: float, now: float
    ) -> None:
        """What was sent at a reading has not run: it waits again."""
        self.own.not_run(name, units, at)

    def cancel(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        """One that waits is not sent any more."""
        self.own.cancel(name, units)


class EvenShares(WindowQuotas):
    """Each gateway admits its part of the limit, and asks nobody."""

    def check(
        self, item: model.Organisation, wanted: int, now: float
    ) -> quota.OverQuota | None:
        """None where this gateway's part has room."""
        if item.quota is None:
            return None
        bound = self.terms.bound(item.quota) / max(1, self.gateways)
        return over_quota(
            self.terms, self.own.of(item.name, now), wanted, bound
        )


class _PeerUsage:
    """What another gateway has told in its present life."""

    def __init__(self, *, life: int) -> None:
        self.incarnation = life
        self.at = 0.0
        self.uptime_s = 0.0
        self.spent: dict[types.OrganisationName, int] = {}
        # Of gateways that have ended, as it knew it at a reading.
        self.ended: dict[types.OrganisationName, int] = {}
        self.ended_at = 0.0


class _EndedUsage(NamedTuple):
    """What a life that has ended had spent, when it was last heard of."""

    at: float
    spent: dict[types.OrganisationName, int]


class ReportedUsage(WindowQuotas):
    """Judges by the sum of what all gateways tell.

    - A gateway that has ended, or is silent, counts on: what it had spent
      leaves the window by and by.  Who started since is told of it.
    - Where some are not heard, only the part of the limit is admitted that
      those have that are: halves that do not hear each other together stay
      within it.
    - One that has just started does not know what it had admitted before,
      nor, after a restart of all, what anybody had: until it has run for a
      window, those that are as new admit together no more than the rate
      since its start and the reserve.
    """

    def __init__(
        self,
        *,
        terms: quota.QuotaSettings,
        began: float,
        limit_of: quota.LimitOf,
    ) -> None:
        super().__init__(terms=terms, began=began, limit_of=limit_of)
        self._peers: dict[types.VmId, _PeerUsage] = {}
        self._ended_usage: list[_EndedUsage] = []
        self._last_reported: dict[types.OrganisationName, int] = {}
        self._complete_report_at = began

    def receive(
        self,
        sender: types.VmId,
        incarnation: int,
        report: quota.QuotaReport,
        now: float,
    ) -> bool:
        """Take another gateway's word; whether it has just begun to tell.

        `incarnation` differs after a restart.  A newcomer is told everything
        next.
        """
        heard = self._peers.get(sender)
        is_new = heard is None or heard.incarnation != incarnation
        if heard is None or is_new:
            if heard is not None:
                self._ended_usage.append(_EndedUsage(heard.at, heard.spent))
            heard = self._peers[sender] = _PeerUsage(life=incarnation)
            self._complete_report_at = now - _COMPLETE_REPORT_INTERVAL_S
        heard.at = now
        heard.uptime_s = report.uptime_s
        if isinstance(report, WindowReport) and report.is_complete:
            heard.spent = dict(report.spent)
            heard.ended = dict(report.ended)
            heard.ended_at = now
        else:
            heard.spent.update(report.spent)
        return is_new

    def next_report(self, now: float) -> WindowReport:
        """What others should know: all, or what has grown since."""
        recent = self.own.recent(now)
        whole = now >= self._complete_report_at + _COMPLETE_REPORT_INTERVAL_S
        if whole:
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
            uptime_s=int(now - self.began),
            is_complete=whole,
            spent=spent,
            ended=self._ended_units(now) if whole else {},
        )

    def _ended_units(self, now: float) -> dict[types.OrganisationName, int]:
        """What gateways that have ended had spent, as seen here."""
        found: collections.Counter[types.OrganisationName]
        found = collections.Counter()
        for past in self._ended_usage:
            part = self._remaining_fraction(past.at, now)
            for name, units in past.spent.items():
                found[name] += int(units * part)
        return {name: units for name, units in found.items() if units > 0}

    def forget(self, now: float) -> None:
        """Drop what has left the window."""
        before = now - self.terms.window_s
        self._ended_usage = [
            item for item in self._ended_usage if item.at > before
        ]
        for sender, heard in list(self._peers.items()):
            if heard.at <= before:
                del self._peers[sender]

    def used(self, name: types.OrganisationName, now: float) -> float:
        """What was spent at all gateways that are known."""
        found = float(self.own.of(name, now))
        ended = 0.0
        for past in self._ended_usage:
            ended += past.spent.get(name, 0) * self._remaining_fraction(
                past.at, now
            )
        for heard in self._peers.values():
            units = heard.spent.get(name, 0)
            found += units * self._remaining_fraction(heard.at, now)
            told = heard.ended.get(name, 0) * self._remaining_fraction(
                heard.ended_at, now
            )
            # All tell of the same: who has run longest knows most.
            ended = max(ended, told)
        return found + ended

    def _remaining_fraction(self, at: float, now: float) -> float:
        """The part of what was told at a reading that counts still.

        It may have been spent all at the end, or evenly: it counts in full
        for half of the window, and then less and less.
        """
        left = 2.0 * (1.0 - (now - at) / self.terms.window_s)
        return min(1.0, max(0.0, left))

    def bound(self, quota_: model.Quota, now: float) -> float:
        """The limit, or the part of those that are heard."""
        heard = 1 + sum(
            now - item.at <= _SILENT_AFTER_S for item in self._peers.values()
        )
        return self.terms.bound(quota_) * min(1.0, heard / self.gateways)

    def check(
        self, item: model.Organisation, wanted: int, now: float
    ) -> quota.OverQuota | None:
        """The limit, and what a start does not remember is left free."""
        if item.quota is None:
            return None
        used = self.used(item.name, now)
        bound = self.bound(item.quota, now)
        refused = over_quota(self.terms, used, wanted, bound)
        if refused is not None:
            return refused
        up_s = now - self.began
        if up_s >= self.terms.window_s:
            return None
        spent = self._spent_by_recently_started(item.name, now)
        most = item.quota.rate_per_s * up_s
        most += _RECENT_START_FRACTION * self.terms.reserve
        over = spent + wanted - most
        if over <= 0.0:
            return None
        room_s = over / item.quota.rate_per_s
        return quota.OverQuota(min(room_s, self.terms.window_s), spent, most)

    def _spent_by_recently_started(
        self, name: types.OrganisationName, now: float
    ) -> float:
        """What those have admitted that have not run for a window."""
        found = float(self.own.of(name, now))
        for heard in self._peers.values():
            if heard.uptime_s + now - heard.at < self.terms.window_s:
                found += heard.spent.get(name, 0)
        return found
