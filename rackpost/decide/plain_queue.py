"""Who waits for endpoints that say when they take requests again.  Pure.

Endpoints in a back-off and endpoints that name a rate are capacity that is
known: who of those that wait can be served by its time is known too, and who
can't is told at once, with the time at which its turn would come.
"""

import contextlib
import math
from typing import Iterator
from typing import NamedTuple

from rackpost.decide import backoff


def expected_wait_s(
    *,
    ahead: int,
    count: int,
    answer_s: float,
    available_in_s: float,
    rate_per_s: float | None,
) -> float:
    """How long until one of those that wait is sent, in seconds.

    `ahead` of it wait here for `count` endpoints, which answer within
    `answer_s`; the first opens in `available_in_s`, all take `rate_per_s`
    requests a second from here, None where they name no rate.
    """
    found = available_in_s
    if rate_per_s is not None:
        found += ahead / rate_per_s
    if available_in_s > 0.0:
        found += backoff.slow_start_s(ahead // max(1, count), answer_s)
    return found


class Rank(NamedTuple):
    """Place in the order of those that wait; the least goes first."""

    priority: int
    deadline: float


class Waiter:
    """One request that waits."""

    def __init__(self, *, rank: Rank) -> None:
        self.rank = rank
        # When it looks for an endpoint.  Others may look before: it may have
        # tried those that they find.
        self.next_check_at = -math.inf


class PlainQueue:
    """Those that wait at one gateway for a plain service, in order."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._next_turn = 0.0

    @contextlib.contextmanager
    def join(self, rank: Rank) -> Iterator[Waiter]:
        """Stand in the line until the block ends."""
        waiter = Waiter(rank=rank)
        self._waiters.append(waiter)
        try:
            yield waiter
        finally:
            self._waiters.remove(waiter)

    def ahead(self, rank: Rank) -> int:
        """How many go before one of this rank."""
        return sum(item.rank < rank for item in self._waiters)

    def may_check(self, rank: Rank, now: float) -> bool:
        """Whether it is its turn to look for an endpoint."""
        return all(
            item.next_check_at > now
            for item in self._waiters
            if item.rank < rank
        )

    def retry_after_s(self, opens_s: float, per_s: float, now: float) -> float:
        """When one that is refused may come back, in seconds.

        After those that wait and those that were refused before it.
        """
        first = now + opens_s + len(self._waiters) / per_s
        turn = max(first, self._next_turn)
        self._next_turn = turn + 1.0 / per_s
        return turn - now
