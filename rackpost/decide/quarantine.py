"""Which requests are held back, since endpoints ended under them.  Pure.

A request may end every endpoint that begins it, with all that runs there,
and come again under another id, at any gateway.  What is counted is how many
different lives of endpoints ended, or seem to have, while they ran it.  One
such end says little: a dozen others ran there, connections are reset, and
processes end by themselves.  So a request is held back only

* once `MIN_ENDED_TO_QUARANTINE` lives ended under it, and
* unless other requests that are held back explain all but one of these, and
* unless something cleared it: it was answered in full, an endpoint turned out
  to be alive, an operator says so.

Books that were told the same, in whatever order, hold back the same: what is
known only grows, and a cleared suspicion stays cleared.
"""

import dataclasses
from typing import Iterable
from typing import NamedTuple

import msgspec

from rackpost.routing import endpoints
from rackpost import types

# Lives that may end under a request before it is held back.  Each takes some
# twelve other runs with it; a caller that repeats once, at a gateway that
# repeats once, meets more only if three endpoints end in one deadline.
MIN_ENDED_TO_QUARANTINE = 3
# Of these, lives that no other request explains.  Two requests that end
# endpoints may have met on one of them; whoever only ran beside one that is
# held back shares all of its lives.
_LEAST_OWN = 2
# Coordinators tell all gateways, and keep on their disks, from this many
# lives on.  Who has been told of two knows at once that the next is the third,
# before it repeats the request itself; a loss of all power costs two endpoints
# at most.  What broke once, by hundreds as many endpoints end, costs nothing.
MIN_ENDED_TO_REPORT = 2
# How long a request is held back after the last end under it, in seconds.  A
# release may have mended it: one endpoint an hour is no storm.
QUARANTINE_S = 3600.0
# How long it is known, so that one more end holds it back again, in seconds.
# What never was held back is forgotten after `QUARANTINE_S`: who ran beside
# those that end, a dozen each time, and one endpoint an hour is no storm.
_KNOWN_S = 24 * QUARANTINE_S
# Requests that are known: four times a thousand that end endpoints at once,
# some 2 MB.  The least suspected go first.
_MOST_KNOWN = 4096
# Part of them that goes when there are too many.
_DROPPED = 8
# Lives that are kept of one request, the newest; more say nothing new.
_MOST_LIVES = 5


class Suspicion(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A life of an endpoint ended, as it seems, while it ran a request.

    Attributes:
        born: which life of the endpoint it was.
        ran_ms: how long the request had been there, in milliseconds.
        cleared: something has shown that the request did not end it.
    """

    request: types.Fingerprint
    endpoint: types.EndpointId
    born: int = 0
    ran_ms: int = 0
    cleared: bool = False

    @property
    def incarnation(self) -> endpoints.Incarnation:
        """The life that ended."""
        return endpoints.Incarnation(self.endpoint, self.born)


class QuarantinedRequest(NamedTuple):
    """A request that is held back, for `remaining_s` seconds more."""

    request: types.Fingerprint
    incarnations: tuple[endpoints.Incarnation, ...]
    remaining_s: float


@dataclasses.dataclass
class _Record:
    """What is known of one request; `at` is when a life ended last."""

    at: float
    suspicions: dict[endpoints.Incarnation, Suspicion] = dataclasses.field(
        default_factory=dict
    )

    @property
    def open(self) -> list[Suspicion]:
        """Those that nothing has cleared."""
        return [one for one in self.suspicions.values() if not one.cleared]

    def take(self, new: Suspicion, now: float) -> bool:
        """Take a suspicion; whether it changed anything."""
        old = self.suspicions.get(new.incarnation)
        if old is not None and (old.cleared or not new.cleared):
            return False
        if old is None and not new.cleared:
            self.at = now
        self.suspicions[new.incarnation] = new
        while len(self.suspicions) > _MOST_LIVES:
            del self.suspicions[next(iter(self.suspicions))]
        return True

    @property
    def order(self) -> tuple[float, float]:
        """Whom to blame first: most lives, then ended them soonest.

        Who ends endpoints does so as it begins; who only ran there had been
        there for any time.
        """
        found = self.open
        ran_ms = sum(one.ran_ms for one in found) / max(1, len(found))
        return (-len(found), ran_ms)


class Quarantine:
    """What one process knows of requests under which endpoints ended."""

    def __init__(self) -> None:
        self._records: dict[types.Fingerprint, _Record] = {}
        # Those with enough lives to be held back.
        self._many: set[types.Fingerprint] = set()
        self._guilty: frozenset[types.Fingerprint] = frozenset()
        self._judged = True

    def __len__(self) -> int:
        """How many requests are known."""
        return len(self._records)

    def add(
        self, items: Iterable[Suspicion], now: float
    ) -> set[types.Fingerprint]:
        """Take suspicions; the requests of which something was news."""
        changed = set()
        for item in items:
            record = self._records.get(item.request)
            if record is None:
                record = self._records[item.request] = _Record(at=now)
            if record.take(item, now):
                changed.add(item.request)
        for request in changed:
            self._recount(request)
        if len(self._records) > _MOST_KNOWN:
            self._drop_least()
        return changed

    def _recount(self, request: types.Fingerprint) -> None:
        has_many = len(self._records[request].open) >= MIN_ENDED_TO_QUARANTINE
        if has_many or request in self._many:
            self._judged = False
        if has_many:
            self._many.add(request)
        else:
            self._many.discard(request)

    def _drop_least(self) -> None:
        """Forget those with the fewest lives, the oldest of them first."""
        by_weight = sorted(
            self._records.items(),
            key=lambda pair: (len(pair[1].open), pair[1].at),
        )
        for request, _ in by_weight[: len(by_weight) // _DROPPED]:
            self._drop(request)

    def _drop(self, request: types.Fingerprint) -> None:
        del self._records[request]
        self._many.discard(request)
        self._judged = False

    def _judge(self) -> frozenset[types.Fingerprint]:
        """The requests to blame, each for lives that others don't explain."""
        if not self._judged:
            guilty = set()
            explained: set[endpoints.Incarnation] = set()
            for request in sorted(
                self._many, key=lambda one: (self._records[one].order, one)
            ):
                lives = {
                    one.incarnation for one in self._records[request].open
                }
                if len(lives - explained) >= _LEAST_OWN:
                    guilty.add(request)
                    explained |= lives
            self._guilty = frozenset(guilty)
            self._judged = True
        return self._guilty

    def may_hold_any(self) -> bool:
        """Whether anything may be held back at all."""
        return bool(self._many)

    def remaining_s(self, request: types.Fingerprint, now: float) -> float:
        """How much longer a request is held back, in seconds; 0 if not."""
        if request not in self._many or request not in self._judge():
            return 0.0
        return max(0.0, self._records[request].at + QUARANTINE_S - now)

    def is_quarantined(self, request: types.Fingerprint, now: float) -> bool:
        """Whether a request is held back."""
        return self.remaining_s(request, now) > 0.0

    def quarantined(self, now: float) -> list[QuarantinedRequest]:
        """All that are held back, the newest last."""
        found = [
            QuarantinedRequest(
                request=request,
                incarnations=tuple(
                    one.incarnation for one in self._records[request].open
                ),
                remaining_s=self.remaining_s(request, now),
            )
            for request in self._judge()
        ]
        found = [item for item in found if item.remaining_s > 0.0]
        return sorted(found, key=lambda item: item.remaining_s)

    def suspicions_of(
        self, request: types.Fingerprint
    ) -> tuple[Suspicion, ...]:
        """All that is known of a request."""
        record = self._records.get(request)
        return () if record is None else tuple(record.suspicions.values())

    def ended_endpoints(
        self, request: types.Fingerprint
    ) -> list[types.EndpointId]:
        """The endpoints whose lives count against a request."""
        record = self._records.get(request)
        return [] if record is None else [one.endpoint for one in record.open]

    def suspicions(self, min_ended: int) -> tuple[Suspicion, ...]:
        """All of the requests against which at least so many lives count."""
        return tuple(
            item
            for record in self._records.values()
            if len(record.open) >= min_ended
            for item in record.suspicions.values()
        )

    def clearances(self, request: types.Fingerprint) -> tuple[Suspicion, ...]:
        """What clears a request of all that counts against it; to take."""
        record = self._records.get(request)
        if record is None:
            return ()
        return tuple(
            msgspec.structs.replace(one, cleared=True) for one in record.open
        )

    def forget(self, now: float) -> None:
        """Forget requests under which nothing has ended for long."""
        for request, record in list(self._records.items()):
            known_s = _KNOWN_S if request in self._many else QUARANTINE_S
            if now - record.at > known_s:
                self._drop(request)
