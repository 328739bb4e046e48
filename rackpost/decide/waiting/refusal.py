"""Who is refused before its time is up, and when it should return.

Pure: times are readings of the queue's clock, in seconds.
"""

import abc
import bisect
import math
from typing import Callable
from typing import Sequence

from rackpost.decide import queue_order
from rackpost.decide.waiting import contender
from rackpost.decide.waiting import headroom
from rackpost.decide.waiting import peer_reports

# Running generations may end this much before they are expected to, as a
# share of the time: clients' estimates of answers are that far off.
_EARLIEST_END_SHARE = 0.5


# Returns the pool, and the requests that are ahead.
PoolAndQueue = Callable[
    [], tuple[headroom.PoolState, Sequence[contender.Contender]]
]


class RefusalPolicy(abc.ABC):
    """Refuses waiting requests, and says when they should return."""

    @abc.abstractmethod
    def expected_wait_s(self, ahead: int, pool: headroom.PoolState) -> float:
        """Return the expected wait behind `ahead` others, in seconds."""

    @abc.abstractmethod
    def is_hopeless(
        self,
        request: queue_order.WaitingRequest,
        wait_s: float,
        state: PoolAndQueue,
        now: float,
    ) -> bool:
        """Whether to refuse a request that arrives, and would wait `wait_s`.

        `state` is called where it matters.
        """

    @abc.abstractmethod
    def return_in_s(
        self, wait_s: float, pool: headroom.PoolState, now: float
    ) -> float | None:
        """Take a place in the order of return; return when it is due.

        In seconds; None without such an order.
        """


class ExpectedRefusals(RefusalPolicy):
    """Refuses by the expected wait, as services without contention."""

    def expected_wait_s(self, ahead: int, pool: headroom.PoolState) -> float:
        """Return the wait by Little's law, in seconds."""
        return queue_order.expected_wait_s(
            ahead=ahead,
            running=len(pool.releases_s),
            run_s=pool.generation_s,
        )

    def is_hopeless(
        self,
        request: queue_order.WaitingRequest,
        wait_s: float,
        state: PoolAndQueue,
        now: float,
    ) -> bool:
        """Whether it can't be served in time after the expected wait."""
        return queue_order.will_be_infeasible(request, wait_s, now)

    def return_in_s(
        self, wait_s: float, pool: headroom.PoolState, now: float
    ) -> float | None:
        """Return None: refused requests have no order."""
        return None


class SureRefusals(RefusalPolicy):
    """Refuses on arrival only what surely can't be served.

    That is, even if nothing more arrives and running generations end as early
    as they may.
    """

    def __init__(self, *, peers: peer_reports.PeerReports) -> None:
        self._peers = peers
        # Clock reading of the last place in the order of return.
        self._last_return_at = -math.inf

    def expected_wait_s(self, ahead: int, pool: headroom.PoolState) -> float:
        """Return the wait until releases reach it, in seconds."""
        return headroom.expected_wait_s(ahead, (), pool)

    def is_hopeless(
        self,
        request: queue_order.WaitingRequest,
        wait_s: float,
        state: PoolAndQueue,
        now: float,
    ) -> bool:
        """Whether others take all that is released until its time is up.

        Only those count that wait as long and are ahead until then.
        """
        if not queue_order.will_be_infeasible(request, wait_s, now):
            return False
        pool, ahead = state()
        if not pool.releases_s:
            return False
        left_s = _time_left_s(request, now)
        ends = _EARLIEST_END_SHARE
        released = bisect.bisect(pool.releases_s, left_s / ends)
        # What starts now may end in time as well.
        rounds = 1 + int(left_s / (ends * pool.generation_s or math.inf))
        own = contender.contender(request, now).rank(left_s)
        lasting = sum(
            other.leave_ms / 1000.0 >= left_s + request.start_s
            and other.rank(left_s) < own
            for other in ahead
        )
        return max(0, pool.capacity) * rounds + released * rounds <= lasting

    def return_in_s(
        self, wait_s: float, pool: headroom.PoolState, now: float
    ) -> float | None:
        """Take the next place, as far apart as capacity is released."""
        # All gateways give places of their own, so that each gives few.
        spacing_s = (
            pool.generation_s
            * (1 + self._peers.count(now))
            / max(1, len(pool.releases_s))
        )
        at = max(now + wait_s, self._last_return_at + spacing_s)
        self._last_return_at = at
        return at - now


def _time_left_s(request: queue_order.WaitingRequest, now: float) -> float:
    """Return how long it can still wait to be served, in seconds."""
    start_by = request.start_by - request.start_s
    end_by = request.deadline - request.generation_s
    return max(0.0, min(start_by, end_by) - now)
