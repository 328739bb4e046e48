"""Order the plain requests that wait for an endpoint.

Back-offs and announced rates tell when endpoints accept requests again.  So
the gateway knows which waiting requests can be served in time, and refuses
the others at once with a time to retry.
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
    """Return how long until a waiting request is sent, in seconds.

    `ahead` requests are ahead of it at this gateway for `count` endpoints,
    which answer within `answer_s`.  The first endpoint is available in
    `available_in_s`; all together accept `rate_per_s` requests a second from
    this gateway, or None where they announce no rate.
    """
    found = available_in_s
    if rate_per_s is not None:
        found += ahead / rate_per_s
    if available_in_s > 0.0:
        found += backoff.slow_start_s(ahead // max(1, count), answer_s)
    return found


class Rank(NamedTuple):
    """Position of a waiting request; the lowest is served first."""

    priority: int
    deadline: float


class Waiter:
    """A waiting request."""

    def __init__(self, *, rank: Rank) -> None:
        self.rank = rank
        # Clock reading of its next check for an endpoint.  Until then others
        # may check, since it may already have tried what they find.
        self.next_check_at = -math.inf


class PlainQueue:
    """The requests that wait at one gateway for a plain service."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._next_retry_at = 0.0

    @contextlib.contextmanager
    def join(self, rank: Rank) -> Iterator[Waiter]:
        """Keep a request in the queue while the block runs."""
        waiter = Waiter(rank=rank)
        self._waiters.append(waiter)
        try:
            yield waiter
        finally:
            self._waiters.remove(waiter)

    def ahead(self, rank: Rank) -> int:
        """Return the number of waiting requests with a lower rank."""
        return sum(item.rank < rank for item in self._waiters)

    def may_check(self, rank: Rank, now: float) -> bool:
        """Whether a request may check for an endpoint now.

        All requests ahead of it must have a later next check.
        """
        return all(
            item.next_check_at > now
            for item in self._waiters
            if item.rank < rank
        )

    def retry_after_s(
        self, available_in_s: float, rate_per_s: float, now: float
    ) -> float:
        """Return when a refused request should be retried, in seconds.

        That is after the waiting requests and those refused earlier.
        """
        earliest = now + available_in_s + len(self._waiters) / rate_per_s
        retry_at = max(earliest, self._next_retry_at)
        self._next_retry_at = retry_at + 1.0 / rate_per_s
        return retry_at - now
