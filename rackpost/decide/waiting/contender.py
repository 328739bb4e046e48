"""Waiting generations as gateways report them to each other.

Pure: no input or output; durations are in seconds, in reports in
milliseconds.
"""

import enum
import math
from typing import NamedTuple

import msgspec

from rackpost.decide import queue_order
from rackpost.decide.waiting import arrival_rates
from rackpost.decide.waiting import kind_guard
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


# What else counts in the rank of a waiting generation: bits of its marks.
# Plain integers, as ranks are compared some thousand times a second.
# Its organisation uses its share without it.
OVER_SHARE = 1
# It was refused before.
RETURNED = 2
# Its prompt is prefilled.
HOLDS_PROMPT = 4
# Late, but ranked as in time, since its kind is served too seldom.
LIFTED = 8


class ContenderRank(NamedTuple):
    """Position among the waiting requests; the lowest is served first.

    `position` counts only over the share.  `at` is a time in seconds.
    """

    is_late: bool
    priority: int
    needs_prefill: bool
    lateness: Lateness
    over_share: bool
    first_time: bool
    position: int
    at: float


class Contender(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A waiting generation; integers, which are short in messages.

    Attributes:
        slack_ms: time until its first token can't be in time.
        margin_ms: usual error of this time.
        leave_ms: time until its client leaves without a token.
        marks: `OVER_SHARE` and the like, added up.
        position: place among those over their share, by their use.
    """

    priority: int
    slack_ms: int
    margin_ms: int
    leave_ms: int
    marks: int = 0
    position: int = 0

    @property
    def is_lifted(self) -> bool:
        """Whether it is late, but ranked as in time."""
        return self.marks & LIFTED != 0

    def is_late_after(self, age_s: float) -> bool:
        """Whether it ranks as late, `age_s` seconds after the report."""
        return self.slack_ms < 1000.0 * age_s and self.marks & LIFTED == 0

    def rank(self, age_s: float = 0.0) -> ContenderRank:
        """Return the rank, `age_s` seconds after the report."""
        marks = self.marks
        at = self.slack_ms / 1000.0 - age_s
        lateness = lateness_of(at, self.margin_ms / 1000.0)
        is_late = lateness is Lateness.LATE
        if is_late:
            at = self.leave_ms / 1000.0 - age_s
        over_share = marks & OVER_SHARE != 0
        return ContenderRank(
            is_late and marks & LIFTED == 0,
            self.priority,
            marks & HOLDS_PROMPT == 0,
            lateness,
            over_share,
            marks & RETURNED == 0,
            self.position if over_share else 0,
            at,
        )

    def deadline_rank(self, age_s: float = 0.0) -> queue_order.Rank:
        """Return the rank by deadline, `age_s` seconds after the report."""
        return queue_order.WaitingSummary(
            priority=self.priority,
            slack_s=self.slack_ms / 1000.0,
            start_s=self.leave_ms / 1000.0,
            holds_prompt=self.marks & HOLDS_PROMPT != 0,
        ).rank(age_s)


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

    None is as in its last report.

    Attributes:
        rates: its recent arrivals.
        loads: what organisations use and wait for there.
        waiting: the first of its waiting requests.
        outcomes: how its requests of the last seconds ended, by priority.
    """

    rates: tuple[arrival_rates.ArrivalRate, ...] | None = None
    loads: tuple[OrganisationLoad, ...] | None = None
    waiting: tuple[Contender, ...] | None = None
    outcomes: tuple[kind_guard.KindOutcomes, ...] | None = None


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


def contender(
    request: queue_order.WaitingRequest,
    now: float,
    *,
    marks: int = 0,
    position: int = 0,
) -> Contender:
    """Return a waiting request as it is now.

    `marks` are those that the request itself does not tell.
    """
    if request.refused_before:
        marks |= RETURNED
    if request.holds_prompt:
        marks |= HOLDS_PROMPT
    return Contender(
        priority=request.priority,
        # Rounded down, so that one that is late is never in time.
        slack_ms=math.floor(1000.0 * slack_s(request, now)),
        margin_ms=round(1000.0 * margin_s(request)),
        leave_ms=round(1000.0 * (request.start_by - now)),
        marks=marks,
        position=position,
    )


def is_ahead(
    other: ContenderRank,
    other_vm: types.VmId,
    own: ContenderRank,
    own_vm: types.VmId,
) -> bool:
    """Whether another gateway's request is ahead of this gateway's."""
    if other[:-1] == own[:-1] and abs(other.at - own.at) < _TIE_S:
        return other_vm < own_vm
    return other < own
