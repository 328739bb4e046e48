"""Decide when a read is sent to a second endpoint as well.

A read that takes longer than nearly all of its kind is probably at an
endpoint that is slow or has lost it.  A second endpoint may answer sooner;
the request that loses is cancelled.

Pure: times are readings of the gateway's clock, in seconds.
"""

import collections
import math

import msgspec

from rackpost import types

# A read is late when this share of its kind has been answered sooner.
_LATE_QUANTILE = 0.95
# Answers of a kind that are kept, and needed to tell which reads are late.
_MAX_ANSWERS = 64
_MIN_ANSWERS = 8
# Share of reads that may be sent a second time.
_MAX_SHARE = 0.05
# Second reads that may be saved up for later, above the share.
_MAX_SAVED = 2.0
# Retries that failures may need at once, kept in the budget.
_MIN_RESERVE = 1.0
# Share of the recent retries after failures that is kept in the budget too.
_RESERVE_SHARE = 0.5
# Time in which retries after failures are counted, in seconds.
_RECENT_S = 10.0


class Situation(msgspec.Struct, frozen=True, kw_only=True):
    """What the decision on a second read depends on.

    Attributes:
        attempts_left: endpoints that the request may still be sent to, the
            one that has it included.
        budget_left: retries that the service's budget has left.
        in_flight: requests at the second endpoint, over all gateways.
        slots: requests that it serves at once.
        time_left_s: time until the request's deadline.
    """

    attempts_left: int
    budget_left: float
    in_flight: int
    slots: int
    time_left_s: float


class SecondReads:
    """The reads of one service at one gateway."""

    def __init__(self, *, phase: float) -> None:
        """`phase` is drawn from [0, 1) by each gateway.

        It is the share of a second read at which the gateway may send its
        first one, so that the share of second reads holds over many
        gateways with few reads each.
        """
        self._phase = phase
        self._allowed = 0.0
        self._answers: dict[types.KindName, collections.deque[float]] = {}
        self._failure_retries: collections.deque[float] = collections.deque()

    def record_read(self) -> None:
        """Record a client's read."""
        self._allowed = min(
            self._allowed + _MAX_SHARE, self._phase + _MAX_SAVED
        )

    def record_answer(self, kind: types.KindName, took_s: float) -> None:
        """Record how long an endpoint took to answer a read of a kind."""
        answers = self._answers.setdefault(
            kind, collections.deque(maxlen=_MAX_ANSWERS)
        )
        answers.append(took_s)

    def record_failure_retry(self, now: float) -> None:
        """Record a retry after a failure, which the budget must cover."""
        self._failure_retries.append(now)
        self._drop_expired(now)

    def _drop_expired(self, now: float) -> None:
        times = self._failure_retries
        while times and times[0] < now - _RECENT_S:
            times.popleft()

    def late_after_s(self, kind: types.KindName) -> float | None:
        """Return after what time a read of a kind is late, if known."""
        answers = sorted(self._answers.get(kind, ()))
        if len(answers) < _MIN_ANSWERS:
            return None
        return answers[math.ceil(_LATE_QUANTILE * len(answers)) - 1]

    def median_s(self, kind: types.KindName) -> float:
        """Return the median time of a kind; 0 if there is none."""
        answers = sorted(self._answers.get(kind, ()))
        return answers[len(answers) // 2] if answers else 0.0

    def may_send(
        self, kind: types.KindName, situation: Situation, now: float
    ) -> bool:
        """Whether a late read may be sent to a second endpoint."""
        self._drop_expired(now)
        reserve = max(
            _MIN_RESERVE, _RESERVE_SHARE * len(self._failure_retries)
        )
        return (
            situation.attempts_left >= 2
            and self._allowed > self._phase
            and situation.budget_left >= 1.0 + reserve
            and situation.in_flight < situation.slots
            and situation.time_left_s > self.median_s(kind)
        )

    def record_second(self) -> None:
        """Record that a second read is sent."""
        self._allowed -= 1.0
