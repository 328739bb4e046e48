"""What organisations may still ask for, over all gateways.  Pure.

What an organisation has spent in any window, at all gateways together, must
stay below its limit.  Each gateway admits by itself, before anything is
read, with what it knows of the others; docs/design/quotas.md weighs the ways.
"""

import abc
from typing import Callable
from typing import NamedTuple

import msgspec

from rackpost.routing import model
from rackpost import types

# The parts of the slack and of the overshoot that are given out; the rest is
# for what gateways have not heard of each other yet (figures are told within
# 10 ms of a change), for figures that are lost, and for what all have
# forgotten after a restart.  Those grow with the rate, as the overshoot does.
_SLACK_USED = 0.7
_OVERSHOOT_USED = 0.9


class QuotaSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How a site counts quotas.

    Attributes:
        window_s: the length of any span that is counted.
        overshoot: part of a limit that may be spent beyond it.
        slack: units that may be spent beyond that.
    """

    window_s: float = 8.0
    overshoot: float = 0.0
    slack: float = 0.0

    def limit(self, quota: model.Quota) -> float:
        """What is surely the organisation's own within a window."""
        return quota.rate_per_s * self.window_s + quota.burst

    def bound(self, quota: model.Quota) -> float:
        """The most that is admitted within a window.

        Refusing at the limit itself would lose what it may have: requests
        come by chance, and a large one is half a second of a small rate.
        """
        most = self.limit(quota) * (1.0 + _OVERSHOOT_USED * self.overshoot)
        return most + _SLACK_USED * self.slack

    @property
    def reserve(self) -> float:
        """The part of the slack that is not given out."""
        return (1.0 - _SLACK_USED) * self.slack


class OverQuota(NamedTuple):
    """Over the limit; there is room after so long, in seconds."""

    retry_after_s: float
    used: float
    bound: float


def request_units(quota: model.Quota, tokens: int | None) -> int:
    """What a request counts; `tokens` are all that it names, if it does."""
    if quota.by_tokens and tokens is not None:
        return tokens
    return quota.plain_units


class QuotaReport(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What a gateway tells others of what its clients have spent.

    Attributes:
        uptime_s: how long it has run, in seconds.
        is_complete: everything is told, not only what has changed.
        spent: units since its start, by organisation.
        waiting: units that are admitted and not sent yet.
        levels: what is left where it is not all, when everything is told.
    """

    uptime_s: int = 0
    is_complete: bool = False
    spent: dict[types.OrganisationName, int] = {}
    waiting: dict[types.OrganisationName, int] = {}
    levels: dict[types.OrganisationName, int] = {}


# The limit of an organisation in the document in force, if it has one.
LimitOf = Callable[[types.OrganisationName], model.Quota | None]


class Quotas(abc.ABC):
    """Decides on what organisations ask for at one gateway."""

    def __init__(
        self, *, terms: QuotaSettings, began: float, limit_of: LimitOf
    ) -> None:
        """`began` is the clock reading at which this gateway started."""
        self.terms = terms
        self.limit_of = limit_of
        self.began = began
        self.gateways = 1

    @abc.abstractmethod
    def check(
        self, item: model.Organisation, wanted: int, now: float
    ) -> OverQuota | None:
        """None where a request of so many units may pass."""

    @abc.abstractmethod
    def admit(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        """A request is admitted here, and waits to be sent."""

    @abc.abstractmethod
    def record_sent(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        """One that was admitted is sent to an endpoint."""

    @abc.abstractmethod
    def record_not_run(
        self, name: types.OrganisationName, units: int, at: float, now: float
    ) -> None:
        """What was sent at a reading has not run: it waits again."""

    @abc.abstractmethod
    def cancel(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        """One that waits is not sent any more."""

    def receive(
        self,
        sender: types.VmId,
        incarnation: int,
        report: QuotaReport,
        now: float,
    ) -> bool:
        """Take another gateway's word; whether it has just begun to tell.

        `incarnation` differs after a restart.  A newcomer is told everything
        next.
        """
        return False

    def next_report(self, now: float) -> QuotaReport:
        """What others should know."""
        return QuotaReport()

    def forget(self, now: float) -> None:
        """Drop what has left the window."""
