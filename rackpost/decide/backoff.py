"""Endpoints that ask one process for a time without requests.  Pure.

An endpoint that turns a request away may say for how long it wants no other
from whoever sent it.  Until that time is over nothing is sent there, whatever
else is left: an endpoint that turns away within a millisecond has the least
under way and would look the best to every request that follows.

When the time is over, all that waited for the endpoint would come in one
moment, and be the reason of the next refusal.  So one is sent first, and two
more for each that was not turned away, until the endpoint has shown that it
takes requests again or a second has passed.

What was asked of one process binds that process alone, and one life of the
endpoint: who starts again has asked for nothing.
"""

import math
import random

import msgspec

from rackpost.routing import endpoints

# The first requests are spread over this part of the time asked for, and this
# long at most, in seconds: many processes that were asked in one moment do
# not come back in one.
_SPREAD = 0.1
_MOST_SPREAD_S = 0.3
# How long the slow start after a back-off lasts, in seconds: some usual
# answers.  One whose first answer is lost is not left out for ever.
_SLOW_START_S = 1.0
# Requests that are begun during the slow start: one, and so many for each that
# was taken.
_FIRST = 1
_EACH = 2
# Records are looked through for those that are over from this many on.
_MANY = 256


def slow_start_s(ahead: int, answer_s: float) -> float:
    """How long the slow start holds one up, in seconds.

    `ahead` requests go before it to the same endpoint, which answers within
    `answer_s`.
    """
    rounds = math.log2(ahead + 1)
    return min(_SLOW_START_S, math.floor(rounds) * answer_s)


class _Record(msgspec.Struct, kw_only=True):
    """What one life of an endpoint asked for.

    Attributes:
        until: clock reading at which its time is over.
        opens: when the first request is sent after that.
        begun: requests that were begun since.
        taken: requests that it did not turn away since.
    """

    until: float
    opens: float
    begun: int = 0
    taken: int = 0


class BackoffTable:
    """What the endpoints have asked of one process."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._records: dict[endpoints.Incarnation, _Record] = {}

    def record_backoff(
        self, endpoint: endpoints.Endpoint, backoff_s: float, now: float
    ) -> bool:
        """It wants nothing for so long; whether that is longer than known.

        Of two times that it asked for, the one that ends later holds: each
        was asked for by itself.
        """
        self._drop_old(now)
        until = now + backoff_s
        record = self._records.get(endpoint.incarnation)
        if record is not None and record.until >= until:
            return False
        spread = min(_SPREAD * backoff_s, _MOST_SPREAD_S) * self._rng.random()
        self._records[endpoint.incarnation] = _Record(
            until=until, opens=until + spread
        )
        return True

    def is_active(self, endpoint: endpoints.Endpoint, now: float) -> bool:
        """Whether nothing may be sent there now."""
        return self.remaining_s(endpoint, now) > 0.0

    def may_select(self, endpoint: endpoints.Endpoint, now: float) -> bool:
        """Whether one more request may be meant for it."""
        if not self._records:
            return True
        record = self._records.get(endpoint.incarnation)
        if record is None or now >= record.opens + _SLOW_START_S:
            return True
        if now < record.opens:
            return False
        return record.begun < _FIRST + _EACH * record.taken

    def available_at(self, endpoint: endpoints.Endpoint) -> float:
        """Clock reading at which the first request may begin there."""
        record = self._records.get(endpoint.incarnation)
        return 0.0 if record is None else record.opens

    def record_selection(
        self, endpoint: endpoints.Endpoint, now: float
    ) -> None:
        """A request was chosen to go there."""
        record = self._records.get(endpoint.incarnation)
        if record is not None and now >= record.opens:
            record.begun += 1

    def record_accepted(
        self, endpoint: endpoints.Endpoint, now: float
    ) -> None:
        """It has answered a request other than by turning it away."""
        record = self._records.get(endpoint.incarnation)
        if record is not None and now >= record.opens:
            record.taken += 1

    def remaining_s(self, endpoint: endpoints.Endpoint, now: float) -> float:
        """How much longer nothing may be sent there, in seconds."""
        if not self._records:
            # As a rule; asked for each endpoint in each choice.
            return 0.0
        record = self._records.get(endpoint.incarnation)
        return 0.0 if record is None else max(0.0, record.until - now)

    @property
    def size(self) -> int:
        """How many lives of endpoints are known to have asked."""
        return len(self._records)

    def _drop_old(self, now: float) -> None:
        if len(self._records) < _MANY:
            return
        for key, record in list(self._records.items()):
            if now >= record.opens + _SLOW_START_S:
                del self._records[key]
