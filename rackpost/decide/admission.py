"""Whether a plain request can be in time at its endpoint.  Pure."""

import msgspec

# Part of the target that the expected answer time may take; the rest is
# for the spread of the work and the way.
_TARGET_SHARE = 0.85
# The same for one that came back: it is late already, since its time counts
# from its first try, and takes a place only where the wait is short for those
# who can still be in time.  Served whatever the wait, those who came back
# filled the queue for all: of a crowd at 1.6 times what an endpoint carries
# 31 in 100 were in time, now 68, and 26 are refused for good in place of 21
# (tests/test_plain_overload.py, with the queue of 24 that endpoints have).
_BACK_SHARE = 0.6
# Nobody is told to come back sooner than this, in seconds.
_SOONEST_S = 0.3
_SPREAD_S = 0.6
# Clients heed a time to come back up to this part of what they have left.
_HEEDED = 1.0 / 3.0


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """A request at the endpoint where the wait is least.

    Attributes:
        ahead: requests under way there.
        slots: how many of them it works on at once.
        work_s: the work of one of them, as observed; 0 if none was.
        target_s: what is left until it would be late; 0 without a target.
        remaining_s: what is left of its time.
        refused_before: it was refused before.
    """

    ahead: int
    slots: int
    work_s: float
    target_s: float
    remaining_s: float
    refused_before: bool


def expected_s(arrival: Arrival) -> float:
    """How long its answer will take."""
    rounds = (arrival.ahead + 1) / max(1, arrival.slots)
    return arrival.work_s * max(1.0, rounds)


def should_refuse(arrival: Arrival) -> bool:
    """Whether it does better to be refused now than to be late.

    Only while the endpoint has more to do than it can work on at once.
    """
    if arrival.target_s <= 0.0 or arrival.ahead < arrival.slots:
        return False
    share = _BACK_SHARE if arrival.refused_before else _TARGET_SHARE
    return expected_s(arrival) > share * arrival.target_s


def retry_after_s(arrival: Arrival, jitter: float) -> float:
    """When it should come back, in seconds; `jitter` is from 0 to 1."""
    too_long = expected_s(arrival) - arrival.target_s
    after = max(_SOONEST_S, too_long) + _SPREAD_S * jitter
    return min(after, _HEEDED * arrival.remaining_s)
