"""Requests under which endpoints end: what a gateway sees and is told."""

from typing import Callable
from typing import Iterable
from typing import NamedTuple

import msgspec

from rackpost.decide import quarantine
from rackpost import logs
from rackpost.routing import endpoints
from rackpost import types

# A request that was answered in full this long ago or less does not end
# endpoints, in seconds.  Longer ago it may: software is replaced.
_SERVED_S = 30.0
# Requests that are remembered as answered, some 150 KB: what a gateway with
# 30 requests a second answers in `_SERVED_S`.
_MOST_SERVED = 1024
# A heartbeat tells that an endpoint is alive if it came this long after a
# connection to it broke, in seconds: it may have been sent a second before,
# and coordinators tell of it half a second later.
_SURELY_LATER_S = 2.0
# And so does only the second one, this much later, in seconds: some are held
# up by seconds on the way, but not by the same time.
_BETWEEN_BEATS_S = 0.6
# An endpoint that has not been heard of after this long has ended, in
# seconds: some ten heartbeats.
_WATCHED_S = 12.0

# Broken connections that are watched; the oldest go first.
_MOST_WATCHED = 4096

# Why a request is cleared, for the log.
_IN_FULL = "answered in full"
_ALIVE = "endpoint is alive"

Tell = Callable[[tuple[quarantine.Suspicion, ...]], None]


class _Watched(NamedTuple):
    """A suspicion whose endpoint may yet turn out to be alive.

    `heard_at` is when it was first heard of afterwards, if it was.
    """

    suspicion: quarantine.Suspicion
    endpoint: endpoints.Endpoint
    broke_at: float
    heard_at: float | None = None


class CrashTracker:
    """The book of one gateway, and what it adds to it."""

    def __init__(self, *, table: endpoints.EndpointTable) -> None:
        self.book = quarantine.Quarantine()
        # Tells the coordinators; set by who is linked to them.
        self.publish: Tell = _nobody
        self._table = table
        self._watched: list[_Watched] = []
        self._served: dict[types.Fingerprint, float] = {}

    def record_broken(
        self,
        request: types.Fingerprint,
        endpoint: endpoints.Endpoint,
        *,
        ran_s: float,
        now: float,
    ) -> None:
        """A connection broke on which an endpoint ran a request.

        An endpoint that said it would leave may end while it runs some.
        """
        if self._table.has_left(endpoint):
            return
        found = quarantine.Suspicion(
            request=request,
            endpoint=endpoint.id,
            born=endpoint.born,
            ran_ms=int(ran_s * 1000),
        )
        self._watched.append(
            _Watched(suspicion=found, endpoint=endpoint, broke_at=now)
        )
        del self._watched[:-_MOST_WATCHED]
        self._add((found,), now)

    def record_served(self, request: types.Fingerprint, now: float) -> None:
        """A request was answered in full, so that it ends no endpoint."""
        self._served.pop(request, None)
        self._served[request] = now
        while len(self._served) > _MOST_SERVED:
            del self._served[next(iter(self._served))]
        self._clear(self.book.clearances(request), _IN_FULL, now)

    def receive(
        self, items: Iterable[quarantine.Suspicion], now: float
    ) -> None:
        """A coordinator tells what counts against some requests."""
        for request in self.book.add(items, now):
            served_at = self._served.get(request)
            if served_at is not None and now - served_at < _SERVED_S:
                self._clear(self.book.clearances(request), _IN_FULL, now)
            elif self.book.is_quarantined(request, now):
                self._log_held(request, now)

    def quarantine_left_s(
        self, request: types.Fingerprint, now: float
    ) -> float:
        """How much longer a request is held back, in seconds; 0 if not."""
        return self.book.remaining_s(request, now)

    def recheck(self, now: float) -> None:
        """Clear what endpoints have shown that are alive; about each second.

        Their heartbeats go on, in the same life, after their connection
        broke: it was reset or cut.
        """
        self._watched = [
            item
            for item in (self._looked_at(one, now) for one in self._watched)
            if item is not None
        ]
        self.book.forget(now)

    def _looked_at(self, item: _Watched, now: float) -> _Watched | None:
        if not self._table.is_current(item.endpoint):
            return None
        heard_at = self._table.last_heartbeat_at.get(
            item.endpoint.id, item.broke_at
        )
        if heard_at < item.broke_at + _SURELY_LATER_S:
            return item if now - item.broke_at < _WATCHED_S else None
        if item.heard_at is None:
            return item._replace(heard_at=heard_at)
        if heard_at < item.heard_at + _BETWEEN_BEATS_S:
            return item
        cleared = msgspec.structs.replace(item.suspicion, cleared=True)
        self._clear((cleared,), _ALIVE, now)
        return None

    def _clear(
        self,
        items: tuple[quarantine.Suspicion, ...],
        why: str,
        now: float,
    ) -> None:
        """Take what clears a request, if anything counted against it."""
        if not items:
            return
        logs.say(
            logs.Part.GATEWAY,
            "Request cleared.",
            fingerprint=items[0].request.hex(),
            why=why,
            endpoints=[one.endpoint for one in items],
        )
        self._add(items, now)

    def _add(
        self, items: tuple[quarantine.Suspicion, ...], now: float
    ) -> None:
        for request in self.book.add(items, now):
            if self.book.is_quarantined(request, now):
                self._log_held(request, now)
        self.publish(items)

    def _log_held(self, request: types.Fingerprint, now: float) -> None:
        logs.say(
            logs.Part.GATEWAY,
            "Request is held back.",
            fingerprint=request.hex(),
            endpoints=self.book.ended_endpoints(request),
            left_s=round(self.book.remaining_s(request, now)),
        )


def _nobody(items: tuple[quarantine.Suspicion, ...]) -> None:
    """No coordinator is linked yet."""
