"""Decide which requests to quarantine because they crash endpoints.

A request may crash each endpoint that starts it, with all other requests
there, and may be repeated under another id at any gateway.  A crash is weak
evidence against a single request: a dozen others ran there, connections are
reset, and processes end for other reasons.  So a request is quarantined only

* once `MIN_ENDED_TO_QUARANTINE` different incarnations of endpoints ended, or
  seem to have ended, while they ran it, and
* unless other quarantined requests explain all but one of these, and
* unless the suspicions were cleared: the request was answered in full, an
  endpoint turned out to be alive, or an operator released the request.

Suspicions are only ever added, and a cleared one stays cleared.  So processes
that received the same suspicions, in any order, quarantine the same requests.
"""

import dataclasses
from typing import Iterable
from typing import NamedTuple

import msgspec

from rackpost.routing import endpoints
from rackpost import types

# Incarnations that end under a request before it is quarantined.  A request
# that is repeated once by its caller and once by the gateway reaches this
# only if three endpoints end within one deadline.
MIN_ENDED_TO_QUARANTINE = 3
# Of these, incarnations whose end no other quarantined request explains.
_MIN_UNEXPLAINED = 2
# Coordinators store the suspicions of a request, and send them to all
# gateways, from this many incarnations on.  A gateway then recognises the
# third end before it repeats the request.
MIN_ENDED_TO_REPORT = 2
# Duration of a quarantine after the last end, in seconds; the fault may have
# been mended since.
QUARANTINE_S = 3600.0
# How long a quarantined request is remembered, in seconds, so that one more
# end quarantines it again.  Others are forgotten after `QUARANTINE_S`.
_MEMORY_S = 24 * QUARANTINE_S
# Bounds memory to some 2 MB.
_MAX_REQUESTS = 4096
# One in this many requests, the least suspected, is dropped at the bound.
_DROP_DIVISOR = 8
# Incarnations remembered of one request, the newest.
_MAX_SUSPICIONS = 5


class Suspicion(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """An incarnation of an endpoint seems to have ended under a request.

    Attributes:
        born: start time that identifies the incarnation.
        ran_ms: how long the request had run there, in milliseconds.
        cleared: the request is known not to be the cause.
    """

    request: types.Fingerprint
    endpoint: types.EndpointId
    born: int = 0
    ran_ms: int = 0
    cleared: bool = False

    @property
    def incarnation(self) -> endpoints.Incarnation:
        """The incarnation that ended."""
        return endpoints.Incarnation(self.endpoint, self.born)


class QuarantinedRequest(NamedTuple):
    """A request in quarantine for another `remaining_s` seconds."""

    request: types.Fingerprint
    incarnations: tuple[endpoints.Incarnation, ...]
    remaining_s: float


@dataclasses.dataclass
class _Record:
    """The suspicions against a request; `at` is when the last one arose."""

    at: float
    suspicions: dict[endpoints.Incarnation, Suspicion] = dataclasses.field(
        default_factory=dict
    )

    @property
    def uncleared(self) -> list[Suspicion]:
        """The suspicions that are not cleared."""
        return [item for item in self.suspicions.values() if not item.cleared]

    def add(self, new: Suspicion, now: float) -> bool:
        """Add a suspicion; return whether it changed anything."""
        old = self.suspicions.get(new.incarnation)
        if old is not None and (old.cleared or not new.cleared):
            return False
        if old is None and not new.cleared:
            self.at = now
        self.suspicions[new.incarnation] = new
        while len(self.suspicions) > _MAX_SUSPICIONS:
            del self.suspicions[next(iter(self.suspicions))]
        return True

    @property
    def blame_order(self) -> tuple[float, float]:
        """Sort key: most incarnations first, then the shortest run time.

        A request that crashes endpoints does so soon after its start; others
        had run there for any time.
        """
        found = self.uncleared
        ran_ms = sum(item.ran_ms for item in found) / max(1, len(found))
        return (-len(found), ran_ms)


class Quarantine:
    """The suspicions that one process knows, and the quarantined requests."""

    def __init__(self) -> None:
        self._records: dict[types.Fingerprint, _Record] = {}
        # Requests with enough incarnations to be quarantined.
        self._suspects: set[types.Fingerprint] = set()
        self._blamed: frozenset[types.Fingerprint] = frozenset()
        self._is_current = True

    def __len__(self) -> int:
        """Return the number of requests with suspicions."""
        return len(self._records)

    def add(
        self, items: Iterable[Suspicion], now: float
    ) -> set[types.Fingerprint]:
        """Add suspicions; return the requests for which something changed."""
        changed = set()
        for item in items:
            record = self._records.get(item.request)
            if record is None:
                record = self._records[item.request] = _Record(at=now)
            if record.add(item, now):
                changed.add(item.request)
        for request in changed:
            self._update_suspect(request)
        if len(self._records) > _MAX_REQUESTS:
            self._drop_least_suspected()
        return changed

    def _update_suspect(self, request: types.Fingerprint) -> None:
        is_suspect = (
            len(self._records[request].uncleared) >= MIN_ENDED_TO_QUARANTINE
        )
        if is_suspect or request in self._suspects:
            self._is_current = False
        if is_suspect:
            self._suspects.add(request)
        else:
            self._suspects.discard(request)

    def _drop_least_suspected(self) -> None:
        """Drop requests with the fewest suspicions, the oldest first."""
        by_weight = sorted(
            self._records.items(),
            key=lambda pair: (len(pair[1].uncleared), pair[1].at),
        )
        for request, _ in by_weight[: len(by_weight) // _DROP_DIVISOR]:
            self._drop(request)

    def _drop(self, request: types.Fingerprint) -> None:
        del self._records[request]
        self._suspects.discard(request)
        self._is_current = False

    def _blamed_requests(self) -> frozenset[types.Fingerprint]:
        """Return the requests to blame for ends that others don't explain."""
        if not self._is_current:
            blamed = set()
            explained: set[endpoints.Incarnation] = set()
            for request in sorted(
                self._suspects,
                key=lambda item: (self._records[item].blame_order, item),
            ):
                incarnations = {
                    item.incarnation
                    for item in self._records[request].uncleared
                }
                if len(incarnations - explained) >= _MIN_UNEXPLAINED:
                    blamed.add(request)
                    explained |= incarnations
            self._blamed = frozenset(blamed)
            self._is_current = True
        return self._blamed

    def may_hold_any(self) -> bool:
        """Whether any request may be in quarantine; cheap to call."""
        return bool(self._suspects)

    def remaining_s(self, request: types.Fingerprint, now: float) -> float:
        """Return the rest of a request's quarantine, in seconds, or 0."""
        if (
            request not in self._suspects
            or request not in self._blamed_requests()
        ):
            return 0.0
        return max(0.0, self._records[request].at + QUARANTINE_S - now)

    def is_quarantined(self, request: types.Fingerprint, now: float) -> bool:
        """Whether a request is in quarantine."""
        return self.remaining_s(request, now) > 0.0

    def quarantined(self, now: float) -> list[QuarantinedRequest]:
        """Return all requests in quarantine, the newest last."""
        found = [
            QuarantinedRequest(
                request=request,
                incarnations=tuple(
                    suspicion.incarnation
                    for suspicion in self._records[request].uncleared
                ),
                remaining_s=self.remaining_s(request, now),
            )
            for request in self._blamed_requests()
        ]
        found = [item for item in found if item.remaining_s > 0.0]
        return sorted(found, key=lambda item: item.remaining_s)

    def suspicions_of(
        self, request: types.Fingerprint
    ) -> tuple[Suspicion, ...]:
        """Return all suspicions against a request."""
        record = self._records.get(request)
        return () if record is None else tuple(record.suspicions.values())

    def ended_endpoints(
        self, request: types.Fingerprint
    ) -> list[types.EndpointId]:
        """Return the endpoints of uncleared suspicions against a request."""
        record = self._records.get(request)
        return (
            []
            if record is None
            else [item.endpoint for item in record.uncleared]
        )

    def suspicions(self, min_ended: int) -> tuple[Suspicion, ...]:
        """Return the suspicions of requests with `min_ended` or more."""
        return tuple(
            item
            for record in self._records.values()
            if len(record.uncleared) >= min_ended
            for item in record.suspicions.values()
        )

    def clearances(self, request: types.Fingerprint) -> tuple[Suspicion, ...]:
        """Return what clears a request when it is added."""
        record = self._records.get(request)
        if record is None:
            return ()
        return tuple(
            msgspec.structs.replace(item, cleared=True)
            for item in record.uncleared
        )

    def forget(self, now: float) -> None:
        """Drop requests whose last suspicion is old enough."""
        for request, record in list(self._records.items()):
            memory_s = _MEMORY_S if request in self._suspects else QUARANTINE_S
            if now - record.at > memory_s:
                self._drop(request)
