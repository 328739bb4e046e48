"""Interface of the quotas that organisations have over all gateways.

What an organisation spends in any window, at all gateways together, stays
below its limit.  Each gateway decides by itself, before it reads a request's
body, with what it knows of the others' spending.  docs/design/quotas.md
compares the alternatives.
"""

import abc
from typing import Callable
from typing import NamedTuple

import msgspec

from rackpost.routing import model
from rackpost import types

# Shares of the slack and of the overshoot that gateways admit.  The rest
# covers spending that gateways have not reported to each other yet, lost
# reports, and spending that is forgotten when all gateways restart.
_SLACK_USED = 0.7
_OVERSHOOT_USED = 0.9


class QuotaSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How a site counts quotas.

    Attributes:
        window_s: length of the window over which spending is limited.
        overshoot: share of a limit that may be spent beyond it.
        slack: units that may be spent beyond the overshoot.
    """

    window_s: float = 8.0
    overshoot: float = 0.0
    slack: float = 0.0

    def limit(self, quota: model.Quota) -> float:
        """Return the units that an organisation is entitled to in a window."""
        return quota.rate_per_s * self.window_s + quota.burst

    def bound(self, quota: model.Quota) -> float:
        """Return the most units that are admitted in a window.

        It is above the limit, since refusing at the limit would deny units
        that the organisation is entitled to: requests are large in relation
        to a small rate and arrive at random.
        """
        bound = self.limit(quota) * (1.0 + _OVERSHOOT_USED * self.overshoot)
        return bound + _SLACK_USED * self.slack

    @property
    def reserve(self) -> float:
        """The part of the slack that is not admitted."""
        return (1.0 - _SLACK_USED) * self.slack


class OverQuota(NamedTuple):
    """A refusal; the quota has capacity again in `retry_after_s` seconds."""

    retry_after_s: float
    used: float
    bound: float


def request_units(quota: model.Quota, tokens: int | None) -> int:
    """Return the units of a request that declares `tokens`, or none."""
    if quota.by_tokens and tokens is not None:
        return tokens
    return quota.plain_units


class QuotaReport(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What a gateway reports to the others about its spending.

    Attributes:
        uptime_s: time since the gateway's start, in seconds.
        is_complete: the report has all figures, not only changed ones.
        spent: units since the gateway's start, by organisation.
        waiting: units that are admitted and not sent yet.
        levels: levels of buckets that are not full, in a complete report.
    """

    uptime_s: int = 0
    is_complete: bool = False
    spent: dict[types.OrganisationName, int] = {}
    waiting: dict[types.OrganisationName, int] = {}
    levels: dict[types.OrganisationName, int] = {}


# Returns an organisation's quota in the current routing document, or None.
LimitOf = Callable[[types.OrganisationName], model.Quota | None]


class Quotas(abc.ABC):
    """Admits requests of organisations at one gateway."""

    def __init__(
        self, *, settings: QuotaSettings, started_at: float, limit_of: LimitOf
    ) -> None:
        """`started_at` is the clock reading at which this gateway started."""
        self.settings = settings
        self.limit_of = limit_of
        self.started_at = started_at
        self.gateways = 1

    @abc.abstractmethod
    def check(
        self, item: model.Organisation, wanted: int, now: float
    ) -> OverQuota | None:
        """Return None if a request of `wanted` units may be admitted."""

    @abc.abstractmethod
    def admit(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        """Record that a request is admitted and waits to be sent."""

    @abc.abstractmethod
    def record_sent(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        """Record that an admitted request is sent to an endpoint."""

    @abc.abstractmethod
    def record_not_run(
        self, name: types.OrganisationName, units: int, at: float, now: float
    ) -> None:
        """Record that a request sent at `at` did not run and waits again."""

    @abc.abstractmethod
    def cancel(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        """Record that an admitted request will not be sent."""

    def receive(
        self,
        sender: types.VmId,
        incarnation: int,
        report: QuotaReport,
        now: float,
    ) -> bool:
        """Take in another gateway's report.

        Return whether it is the first one of that incarnation.  The next
        report of this gateway is then complete.
        """
        return False

    def next_report(self, now: float) -> QuotaReport:
        """Return what to report to the other gateways."""
        return QuotaReport()

    def complete_report(self, now: float) -> QuotaReport:
        """Return all figures, for a gateway that may lack some."""
        return QuotaReport()

    def changed_report(self, now: float) -> QuotaReport:
        """Return what changed since the last report of changes."""
        return QuotaReport()

    def forget(self, now: float) -> None:
        """Drop what has left the window."""
