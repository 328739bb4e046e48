"""Who waits for room, who goes first, who should come back.  Pure."""

from typing import NamedTuple

import msgspec

# Who is told to come back does so later than room is expected by up to
# this part of the wait, so that a crowd does not come back at once.
_SPREAD = 0.5
# Nobody is told to come back sooner than this, in seconds.
_SOONEST_S = 0.4
# What others have left is some milliseconds old when it comes, so that each
# would hold itself to be first; nearer than this, names decide, in seconds.
_TIE_S = 0.06


class Rank(NamedTuple):
    """Place in the order of those that wait; the least goes first.

    `at` is a deadline, in seconds by a clock that all ranks that are
    compared share.
    """

    late: bool
    priority: int
    at: float


class WaitingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that needs room.

    Attributes:
        priority: 0 goes first.
        target: clock reading by which its first token is in time.
        start_by: clock reading at which its client leaves without one.
        deadline: clock reading at which its client's time is up.
        start_s: from a place to the first token, as expected.
        run_s: from a place to its end, as expected.
        refused_before: it was refused before; another refusal is its last.
        gateway_stopping: its gateway is being stopped, and would cut it at
        `deadline`.
    """

    priority: int
    target: float
    start_by: float
    deadline: float
    start_s: float
    run_s: float
    refused_before: bool = False
    gateway_stopping: bool = False


def is_infeasible(claim: WaitingRequest, now: float) -> bool:
    """Whether it can't begin or can't end within its time any more."""
    return (
        now + claim.start_s > claim.start_by
        or now + claim.run_s > claim.deadline
    )


def rank_of(claim: WaitingRequest, now: float) -> Rank:
    """Sort key: the least goes first.

    What can still be in time goes before what is late already and loses
    nothing more by waiting; among equals the earliest deadline first.
    """
    late = now + claim.start_s > claim.target
    at = claim.start_by if late else claim.target
    return Rank(late, claim.priority, at)


class WaitingSummary(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """What a request that waits has left, as other gateways are told it.

    Times that are left need no common clock.

    Attributes:
        slack_s: until it can't be in time any more.
        start_s: until its client leaves.
    """

    priority: int
    slack_s: float
    start_s: float

    def rank(self, age_s: float) -> Rank:
        """`rank_of`, some time after it was told."""
        late = self.slack_s < age_s
        at = self.start_s if late else self.slack_s
        return Rank(late, self.priority, at - age_s)


def is_ahead(
    other: Rank,
    other_name: str,
    mine: Rank,
    my_name: str,
) -> bool:
    """Whether another gateway's request goes before one here, by rank."""
    alike = other.late == mine.late and other.priority == mine.priority
    if alike and abs(other.at - mine.at) < _TIE_S:
        return other_name < my_name
    return other < mine


def summarize(claim: WaitingRequest, now: float) -> WaitingSummary:
    """What a request has left."""
    return WaitingSummary(
        priority=claim.priority,
        slack_s=round(claim.target - claim.start_s - now, 3),
        start_s=round(claim.start_by - now, 3),
    )


def expected_wait_s(*, ahead: int, running: int, run_s: float) -> float:
    """How long until room comes (Little's law), in seconds.

    `ahead` requests wait already and `running` hold a place, for `run_s`
    seconds each.
    """
    if run_s <= 0.0:
        return 0.0
    if running <= 0:
        return run_s
    return (ahead + 1) * run_s / running


def will_be_infeasible(
    claim: WaitingRequest, wait_s: float, now: float
) -> bool:
    """Whether it would still wait when it can't begin or end any more.

    One that would only be late waits: its client gets an answer by it,
    and none by a refusal.
    """
    return is_infeasible(claim, now + wait_s)


def retry_after_s(
    claim: WaitingRequest, wait_s: float, now: float, jitter: float
) -> float:
    """When to come back, in seconds; `jitter` is from 0 to 1.

    Clients heed up to a third of the time that they have left.
    """
    later = wait_s * (1.0 + _SPREAD * jitter) + 0.3 * jitter
    # What ends now can still come back at once, to somebody else.
    heeded = max(0.0, (claim.deadline - now) / 3.0)
    return min(max(_SOONEST_S, later), heeded)
