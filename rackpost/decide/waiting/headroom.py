"""Capacity that is kept free for more urgent arrivals, and expected waits.

Pure: no input or output; durations are in seconds.
"""

import bisect
import math
from typing import Sequence

import msgspec

from rackpost.decide.waiting import arrival_rates

# Number of points of time at which arrivals and releases are compared.
_POINTS = 8
# Share of the expected arrivals that surely come.  A request is refused only
# if even these take what it waits for.
_SURE_SHARE = 0.7
# How long arrivals are assumed to go on, in seconds: as long as they were
# observed.
_FORESEEN_S = 2.0


class PoolState(msgspec.Struct, frozen=True, kw_only=True):
    """The decode capacity of a service now and in the next seconds.

    Attributes:
        capacity: requests like the one to be admitted that fit now.
        endpoints: the number of decode endpoints.
        releases_s: seconds until running generations end, in order.
        generation_s: mean time that a generation holds capacity.
        prefills_per_s: prompts that can be prefilled a second; 0 if unknown.
    """

    capacity: int
    endpoints: int = 0
    releases_s: Sequence[float] = ()
    generation_s: float = 0.0
    prefills_per_s: float = 0.0


def kept_capacity(
    rates: Sequence[arrival_rates.ArrivalRate], pool: PoolState, hold_s: float
) -> int:
    """Return how many requests' capacity to keep for these arrivals.

    A request that is admitted now holds capacity for `hold_s`.  Until then
    the arrivals need capacity within the time that each can wait, and take
    what running generations release.  At most one request's capacity is kept
    for each endpoint, as the arrivals may not come.
    """
    if not rates or hold_s <= 0.0:
        return 0
    most = 0
    for point in range(1, _POINTS + 1):
        at = hold_s * point / _POINTS
        most = max(most, _shortage(rates, pool, at))
    return min(most, pool.endpoints)


def _shortage(
    rates: Sequence[arrival_rates.ArrivalRate], pool: PoolState, at: float
) -> int:
    """Return the arrivals until `at` that no release serves in time."""
    count = sum(item.per_s for item in rates) * at
    slack_s = min(item.slack_s for item in rates)
    released = bisect.bisect(pool.releases_s, at + max(0.0, slack_s))
    return math.ceil(count) - released


def expected_wait_s(
    ahead: int, rates: Sequence[arrival_rates.ArrivalRate], pool: PoolState
) -> float:
    """Return the expected wait for capacity, in seconds.

    `ahead` requests and the arrivals of the next seconds are served before.
    """
    per_s = _SURE_SHARE * sum(item.per_s for item in rates)
    return max(
        _decode_wait_s(ahead, per_s, pool),
        _prefill_wait_s(ahead, per_s, pool),
    )


def _decode_wait_s(ahead: int, per_s: float, pool: PoolState) -> float:
    if pool.capacity > ahead:
        return 0.0
    releases = pool.releases_s
    if not releases:
        return (ahead + 1) * pool.generation_s
    needed = ahead + 1.0 - pool.capacity
    for number, at in enumerate(releases, 1):
        if number >= needed + per_s * min(at, _FORESEEN_S):
            return at
    # What is admitted meanwhile is released at the same rate.
    needed += per_s * _FORESEEN_S
    return max(pool.generation_s, releases[-1]) * needed / len(releases)


def _prefill_wait_s(ahead: int, per_s: float, pool: PoolState) -> float:
    if pool.prefills_per_s <= 0.0 or ahead == 0:
        return 0.0
    spare_per_s = pool.prefills_per_s - per_s
    if spare_per_s > 0.0 and ahead <= spare_per_s * _FORESEEN_S:
        return ahead / spare_per_s
    return (ahead + per_s * _FORESEEN_S) / pool.prefills_per_s
