"""Waiting generations as gateways report them to each other.

Pure: no input or output; durations are in seconds.
"""

import enum
from typing import NamedTuple

import msgspec

from rackpost.decide import queue_order
from rackpost.decide.waiting import arrival_rates
from rackpost import types

# Most of the time that a start may take longer than estimated, as a share of
# the estimate, and of the time from arrival to the target.
_START_ERROR_SHARE = 0.5
_TARGET_SHARE = 0.1
# Reports are some milliseconds old; closer ranks count as equal.
_TIE_S = 0.06


class Lateness(enum.IntEnum):
    """Whether a request that is admitted now will start in time."""

    IN_TIME = 0
    # In time only if the estimate of its start is right.
    UNSURE = 1
    LATE = 2


class ContenderRank(NamedTuple):
    """Position among the waiting requests; the lowest is served first.

    `position` counts only over the share.  `at` is a time in seconds.
    """

    is_late: bool
    priority: int
    lateness: Lateness
    over_share: bool
    first_time: bool
    position: float
    at: float


class Contender(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A waiting generation.

    Attributes:
        slack_s: time until its first token can't be in time.
        margin_s: usual error of this time.
        leave_s: time until its client leaves without a token.
        over_share: its organisation uses its share without it.
        position: place among those over their share, by their use.
        returned: it was refused before.
    """

    priority: int
    slack_s: float
    margin_s: float
    leave_s: float
    over_share: bool = False
    position: float = 0.0
    returned: bool = False

    def rank(self, age_s: float = 0.0) -> ContenderRank:
        """Return the rank, `age_s` seconds after the report."""
        slack_s = self.slack_s - age_s
        lateness = lateness_of(slack_s, self.margin_s)
        return ContenderRank(
            is_late=lateness is Lateness.LATE,
            priority=self.priority,
            lateness=lateness,
            over_share=self.over_share,
            first_time=not self.returned,
            position=self.position if self.over_share else 0.0,
            at=(
                self.leave_s - age_s if lateness is Lateness.LATE else slack_s
            ),
        )


class OrganisationLoad(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """Generations of one organisation and priority at a gateway."""

    priority: int
    organisation: types.OrganisationName | None
    held: int
    waiting: int


class ContentionReport(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """What a gateway tells the others of one model service.

    Attributes:
        rates: its recent arrivals.
        loads: what organisations use and wait for there.
        waiting: the first of its waiting requests.
    """

    rates: tuple[arrival_rates.ArrivalRate, ...] = ()
    loads: tuple[OrganisationLoad, ...] = ()
    waiting: tuple[Contender, ...] = ()


def lateness_of(slack_s: float, margin_s: float) -> Lateness:
    """Return the lateness of a request with this time to spare."""
    if slack_s < 0.0:
        return Lateness.LATE
    return Lateness.UNSURE if slack_s < margin_s else Lateness.IN_TIME


def slack_s(request: queue_order.WaitingRequest, now: float) -> float:
    """Return the time until a request can't start in time."""
    return request.target - request.start_s - now


def margin_s(request: queue_order.WaitingRequest) -> float:
    """Return the usual error of the time to spare."""
    target_s = max(0.0, request.target - request.arrived_at)
    return min(_START_ERROR_SHARE * request.start_s, _TARGET_SHARE * target_s)


def is_ahead(
    other: ContenderRank,
    other_vm: types.VmId,
    own: ContenderRank,
    own_vm: types.VmId,
) -> bool:
    """Whether another gateway's request is ahead of this gateway's."""
    if other[:6] == own[:6] and abs(other.at - own.at) < _TIE_S:
        return other_vm < own_vm
    return other < own
