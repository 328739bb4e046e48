"""Track the back-off times that endpoints request from this process.

An endpoint that rejects a request may request a back-off, during which the
process sends it nothing.  Load balancing alone would not spare the endpoint:
one that rejects within a millisecond has few requests in flight and looks
like the best choice.

A back-off ends with a slow start, so that the requests that waited for the
endpoint do not all arrive at once: one request is sent first, then two more
for each one that the endpoint accepts, for one second.

A back-off applies to one process and one incarnation of the endpoint.
"""

import math
import random

import msgspec

from rackpost.routing import endpoints

# The first request is delayed at random by up to this share of the back-off
# and at most `_MAX_JITTER_S`, so that gateways do not resume together.
_JITTER_SHARE = 0.1
_MAX_JITTER_S = 0.3
# Bounds the slow start where the answer to a first request is lost.
_SLOW_START_S = 1.0
# Requests allowed at the start, and for each accepted one.
_INITIAL_REQUESTS = 1
_REQUESTS_PER_ACCEPTED = 2
# Expired records are removed once the table has this many.
_CLEANUP_SIZE = 256


def slow_start_s(ahead: int, answer_s: float) -> float:
    """Return how long a slow start delays a request, in seconds.

    `ahead` requests precede it to the same endpoint, which answers within
    `answer_s`.
    """
    rounds = math.log2(ahead + 1)
    return min(_SLOW_START_S, math.floor(rounds) * answer_s)


class _Backoff(msgspec.Struct, kw_only=True):
    """The back-off of one incarnation of an endpoint.

    Attributes:
        until: clock reading at which the back-off ends.
        available_at: clock reading from which requests may be sent again.
        started: requests sent in the slow start.
        accepted: requests that the endpoint accepted in the slow start.
    """

    until: float
    available_at: float
    started: int = 0
    accepted: int = 0


class BackoffTable:
    """The back-offs that endpoints requested from this process."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._records: dict[endpoints.Incarnation, _Backoff] = {}

    def record_backoff(
        self, endpoint: endpoints.Endpoint, backoff_s: float, now: float
    ) -> bool:
        """Record a requested back-off; return whether it extends the current.

        Of several back-offs the one that ends last applies.
        """
        self._drop_expired(now)
        until = now + backoff_s
        record = self._records.get(endpoint.incarnation)
        if record is not None and record.until >= until:
            return False
        jitter_s = (
            min(_JITTER_SHARE * backoff_s, _MAX_JITTER_S) * self._rng.random()
        )
        self._records[endpoint.incarnation] = _Backoff(
            until=until, available_at=until + jitter_s
        )
        return True

    def is_active(self, endpoint: endpoints.Endpoint, now: float) -> bool:
        """Whether the endpoint is in a back-off."""
        return self.remaining_s(endpoint, now) > 0.0

    def may_select(self, endpoint: endpoints.Endpoint, now: float) -> bool:
        """Whether back-off and slow start allow one more request."""
        if not self._records:
            return True
        record = self._records.get(endpoint.incarnation)
        if record is None or now >= record.available_at + _SLOW_START_S:
            return True
        if now < record.available_at:
            return False
        return (
            record.started
            < _INITIAL_REQUESTS + _REQUESTS_PER_ACCEPTED * record.accepted
        )

    def available_at(self, endpoint: endpoints.Endpoint) -> float:
        """Return the clock reading from which requests may be sent again."""
        record = self._records.get(endpoint.incarnation)
        return 0.0 if record is None else record.available_at

    def record_selection(
        self, endpoint: endpoints.Endpoint, now: float
    ) -> None:
        """Record that the endpoint was selected for a request."""
        record = self._records.get(endpoint.incarnation)
        if record is not None and now >= record.available_at:
            record.started += 1

    def record_accepted(
        self, endpoint: endpoints.Endpoint, now: float
    ) -> None:
        """Record that the endpoint accepted a request."""
        record = self._records.get(endpoint.incarnation)
        if record is not None and now >= record.available_at:
            record.accepted += 1

    def remaining_s(self, endpoint: endpoints.Endpoint, now: float) -> float:
        """Return how much longer the back-off lasts, in seconds."""
        if not self._records:
            # The common case; called for each endpoint in each choice.
            return 0.0
        record = self._records.get(endpoint.incarnation)
        return 0.0 if record is None else max(0.0, record.until - now)

    @property
    def size(self) -> int:
        """The number of incarnations with a recorded back-off."""
        return len(self._records)

    def _drop_expired(self, now: float) -> None:
        if len(self._records) < _CLEANUP_SIZE:
            return
        for key, record in list(self._records.items()):
            if now >= record.available_at + _SLOW_START_S:
                del self._records[key]
