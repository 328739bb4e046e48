"""Track the request rates that endpoints announce.

An endpoint short of capacity announces in its answers how many requests a
second it accepts from all gateways together.  A rate applies to the
incarnation that announced it.

Rates are recorded when the head of an answer arrives, so the later of two
answers applies.  Between gateways the age of the information decides.

A rate ends only after several answers without one, since an endpoint may
announce it in some answers and not in others.
"""

import math
from typing import Collection
from typing import NamedTuple

import msgspec

from rackpost.routing import endpoints
from rackpost import types

# Answers in a row without a rate that end it.
_ANSWERS_TO_END = 3
# A single such answer ends a rate that was announced longer ago than this: at
# a low rate, several answers take long.
_SINGLE_ANSWER_ENDS_AFTER_S = 4.0
# All rates are reported to other gateways at this interval.
_COMPLETE_INTERVAL_S = 0.9
# Bounds a report to one datagram, at 40 bytes for each rate.
_MAX_REPORTED = 64


class AnswerRate(NamedTuple):
    """The rate that one answer announces.

    `per_s` is in requests a second, None without a rate; `unreadable` means
    that the answer has a rate that cannot be parsed.
    """

    per_s: float | None = None
    unreadable: bool = False


class RateUpdate(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """An endpoint's rate, as one gateway reports it to another.

    `per_s` is None where the rate has ended; `age_s` is the time since the
    answer that announced or ended it, in seconds.
    """

    endpoint: types.EndpointId
    born: int
    per_s: float | None
    age_s: float

    @property
    def incarnation(self) -> endpoints.Incarnation:
        """The incarnation of the endpoint."""
        return endpoints.Incarnation(self.endpoint, self.born)


class _Record(msgspec.Struct, kw_only=True):
    """The rate of one incarnation of an endpoint.

    Attributes:
        per_s: the rate in requests a second; None where it has ended.
        since: clock reading at which this gateway first knew of a rate.
        at: clock reading of the answer that announced or ended the rate,
            here or at another gateway.
        answers_without: answers in a row since then without a rate.
    """

    per_s: float | None
    since: float
    at: float
    answers_without: int = 0


class RateTable:
    """The announced rates that one process knows."""

    def __init__(self) -> None:
        self._records: dict[endpoints.Incarnation, _Record] = {}
        # Incarnations that have announced an unreadable rate.
        self._unreadable: set[endpoints.Incarnation] = set()
        # Changes since the last report, and when all rates were reported.
        self._changed: dict[endpoints.Incarnation, None] = {}
        self._complete_at = -math.inf

    def per_s(self, endpoint: endpoints.Endpoint) -> float | None:
        """Return the current rate in requests a second, or None."""
        if not self._records:
            # The common case; called for each endpoint in each choice.
            return None
        record = self._records.get(endpoint.incarnation)
        return None if record is None else record.per_s

    def record_unreadable(self, endpoint: endpoints.Endpoint) -> bool:
        """Record an unreadable rate; return whether it is the first one."""
        is_first = endpoint.incarnation not in self._unreadable
        self._unreadable.add(endpoint.incarnation)
        return is_first

    def record_answer(
        self, endpoint: endpoints.Endpoint, announced: AnswerRate, now: float
    ) -> bool:
        """Record the rate in an answer's head; return whether it changed.

        An unreadable rate is ignored.
        """
        if announced.unreadable:
            return False
        record = self._records.get(endpoint.incarnation)
        if announced.per_s is None:
            has_ended = record is not None and self._record_without(
                record, now
            )
            if has_ended:
                self._changed[endpoint.incarnation] = None
            return has_ended
        if not self._set(
            endpoint.incarnation, announced.per_s, at=now, now=now
        ):
            return False
        self._changed[endpoint.incarnation] = None
        return True

    def _set(
        self,
        key: endpoints.Incarnation,
        per_s: float | None,
        *,
        at: float,
        now: float,
    ) -> bool:
        """Set the rate known at a clock reading; return whether it changed."""
        record = self._records.get(key)
        before = None if record is None else record.per_s
        since = now if record is None or before is None else record.since
        self._records[key] = _Record(per_s=per_s, since=since, at=at)
        return before != per_s

    def since(self, key: endpoints.Incarnation) -> float:
        """Return the clock reading since which a rate is known here."""
        return self._records[key].since

    def _record_without(self, record: _Record, now: float) -> bool:
        """Record an answer without a rate; return whether it ends the rate."""
        if record.per_s is None:
            return False
        record.answers_without += 1
        is_old = now - record.at >= _SINGLE_ANSWER_ENDS_AFTER_S
        if record.answers_without < _ANSWERS_TO_END and not is_old:
            return False
        record.per_s = None
        record.at = now
        return True

    def receive(self, update: RateUpdate, now: float) -> bool:
        """Take in another process's update, if it is later than what is known.

        Return whether the rate changed.
        """
        at = now - update.age_s
        key = update.incarnation
        record = self._records.get(key)
        if record is not None and record.at >= at:
            return False
        if record is None and update.per_s is None:
            return False
        return self._set(key, update.per_s, at=at, now=now)

    def next_updates(self, now: float) -> tuple[RateUpdate, ...]:
        """Return the changes to report, or periodically all rates.

        All rates are reported at an interval in case a report was lost.
        """
        keys = [key for key in self._changed if key in self._records]
        self._changed.clear()
        if now >= self._complete_at + _COMPLETE_INTERVAL_S:
            self._complete_at = now
            return self.complete_updates(now)
        return self._updates(keys, now)

    def complete_updates(self, now: float) -> tuple[RateUpdate, ...]:
        """Return all rates; the next ones in turn where there are many."""
        return self._updates(list(self._records), now)

    def _updates(
        self, keys: list[endpoints.Incarnation], now: float
    ) -> tuple[RateUpdate, ...]:
        del keys[_MAX_REPORTED:]
        for key in keys:
            # Move to the end, so that the next report starts with others.
            self._records[key] = self._records.pop(key)
        return tuple(self.update_for(key, now) for key in keys)

    def update_for(self, key: endpoints.Incarnation, now: float) -> RateUpdate:
        """Return the update to report for one incarnation."""
        record = self._records.get(key)
        return RateUpdate(
            endpoint=key.id,
            born=key.born,
            per_s=None if record is None else record.per_s,
            age_s=math.inf if record is None else round(now - record.at, 3),
        )

    def retain(self, alive: Collection[endpoints.Incarnation]) -> None:
        """Drop all incarnations but these."""
        for key in list(self._records):
            if key not in alive:
                del self._records[key]
        self._unreadable.intersection_update(alive)

    @property
    def incarnations(self) -> tuple[endpoints.Incarnation, ...]:
        """The incarnations that have announced a rate."""
        return tuple(self._records)
