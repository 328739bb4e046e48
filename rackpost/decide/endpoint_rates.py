"""Which endpoints name a rate that they take from all gateways.  Pure.

An endpoint in need says in its answers how many requests a second it takes
from all gateways together, for as long as it says so.  What one life of an
endpoint names binds that life: who starts again has named nothing.

An answer tells what held when its head was written.  Heads are noted as they
come, so that of two answers the later one holds; between gateways the age of
what is told decides.

One answer without a rate is not yet its end: an endpoint may name it in some
answers and not in others.
"""

import math
from typing import Collection
from typing import NamedTuple

import msgspec

from rackpost.routing import endpoints
from rackpost import types

# Answers in a row that name no rate and show that it has ended.
_ENDS_AFTER = 3
# One such answer shows it where nothing has named the rate for so long, in
# seconds: at a low rate three answers would take as many times longer.
_ENDS_AFTER_S = 4.0
# Others are told everything this often, in seconds, and of no more lives of
# endpoints at a time, of 40 bytes each.
_WHOLE_S = 0.9
_MOST_TOLD = 64


class AnswerRate(NamedTuple):
    """What an answer says of a rate.

    `per_s` is the rate in requests a second, None where it names none;
    `unreadable` tells that it names one that can't be read.
    """

    per_s: float | None = None
    unreadable: bool = False


class RateUpdate(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What one process tells another of an endpoint's rate.

    `per_s` is None where the rate has ended, `age_s` how long ago an answer
    said so, in seconds.
    """

    endpoint: types.EndpointId
    born: int
    per_s: float | None
    age_s: float

    @property
    def incarnation(self) -> endpoints.Incarnation:
        """The life of the endpoint that it is about."""
        return endpoints.Incarnation(self.endpoint, self.born)


class _Record(msgspec.Struct, kw_only=True):
    """What one life of an endpoint says.

    Attributes:
        per_s: the rate in requests a second; None where it has ended.
        since: clock reading at which it became known here to name one.
        at: clock reading at which an answer last said so, here or elsewhere.
        without: answers in a row since then that named none.
    """

    per_s: float | None
    since: float
    at: float
    without: int = 0


class RateTable:
    """The rates that endpoints name, as one process knows them."""

    def __init__(self) -> None:
        self._records: dict[endpoints.Incarnation, _Record] = {}
        # Lives that have named one that can't be read.
        self._unreadable: set[endpoints.Incarnation] = set()
        # What has changed since others were told, and when they were told all.
        self._changed: dict[endpoints.Incarnation, None] = {}
        self._whole_at = -math.inf

    def per_s(self, endpoint: endpoints.Endpoint) -> float | None:
        """The rate that holds now, in requests a second; None without."""
        if not self._records:
            # As a rule; asked for each endpoint in each choice.
            return None
        record = self._records.get(endpoint.incarnation)
        return None if record is None else record.per_s

    def record_unreadable(self, endpoint: endpoints.Endpoint) -> bool:
        """Note one that can't be read; whether it is this life's first."""
        is_first = endpoint.incarnation not in self._unreadable
        self._unreadable.add(endpoint.incarnation)
        return is_first

    def record_answer(
        self, endpoint: endpoints.Endpoint, named: AnswerRate, now: float
    ) -> bool:
        """Note what an answer's head names; whether the rate has changed.

        What can't be read changes nothing.
        """
        if named.unreadable:
            return False
        record = self._records.get(endpoint.incarnation)
        if named.per_s is None:
            has_ended = record is not None and self._named_none(record, now)
            if has_ended:
                self._changed[endpoint.incarnation] = None
            return has_ended
        if not self._put(endpoint.incarnation, named.per_s, at=now, now=now):
            return False
        self._changed[endpoint.incarnation] = None
        return True

    def _put(
        self,
        key: endpoints.Incarnation,
        per_s: float | None,
        *,
        at: float,
        now: float,
    ) -> bool:
        """Keep what was said at a clock reading; whether it is news."""
        record = self._records.get(key)
        before = None if record is None else record.per_s
        since = now if record is None or before is None else record.since
        self._records[key] = _Record(per_s=per_s, since=since, at=at)
        return before != per_s

    def since(self, key: endpoints.Incarnation) -> float:
        """Clock reading since which it is known to name a rate."""
        return self._records[key].since

    def _named_none(self, record: _Record, now: float) -> bool:
        if record.per_s is None:
            return False
        record.without += 1
        is_old = now - record.at >= _ENDS_AFTER_S
        if record.without < _ENDS_AFTER and not is_old:
            return False
        record.per_s = None
        record.at = now
        return True

    def receive(self, told: RateUpdate, now: float) -> bool:
        """Take another process's word, if it is later; whether it is news."""
        at = now - told.age_s
        key = told.incarnation
        record = self._records.get(key)
        if record is not None and record.at >= at:
            return False
        if record is None and told.per_s is None:
            return False
        return self._put(key, told.per_s, at=at, now=now)

    def next_updates(self, now: float) -> tuple[RateUpdate, ...]:
        """What others should know: what has changed since, or all of it.

        All once in `_WHOLE_S`, so that a word that was lost is made good.
        """
        keys = [key for key in self._changed if key in self._records]
        self._changed.clear()
        if now >= self._whole_at + _WHOLE_S:
            self._whole_at = now
            keys = list(self._records)
        del keys[_MOST_TOLD:]
        for key in keys:
            # Those that are told go last the next time.
            self._records[key] = self._records.pop(key)
        return tuple(self.update_for(key, now) for key in keys)

    def update_for(self, key: endpoints.Incarnation, now: float) -> RateUpdate:
        """What others should know of one endpoint."""
        record = self._records.get(key)
        return RateUpdate(
            endpoint=key.id,
            born=key.born,
            per_s=None if record is None else record.per_s,
            age_s=math.inf if record is None else round(now - record.at, 3),
        )

    def retain(self, alive: Collection[endpoints.Incarnation]) -> None:
        """Forget all lives of endpoints but these."""
        for key in list(self._records):
            if key not in alive:
                del self._records[key]
        self._unreadable.intersection_update(alive)

    @property
    def incarnations(self) -> tuple[endpoints.Incarnation, ...]:
        """The lives of endpoints that have named a rate."""
        return tuple(self._records)
