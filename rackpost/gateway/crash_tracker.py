"""Tracks requests that were in flight when endpoints crashed.

Each broken connection is a suspicion against its request, shared with all
gateways through the coordinators.  It is cleared when the request is answered
or the endpoint turns out to be alive.
"""

from typing import Callable
from typing import Iterable
from typing import NamedTuple

import msgspec

from rackpost.decide import quarantine
from rackpost import logs
from rackpost.routing import endpoints
from rackpost import types

# An answer clears its request for this long, in seconds; later the endpoints'
# software may have been replaced.
_SERVED_S = 30.0
# Bounds the memory for answered requests.
_MOST_SERVED = 1024
# Heartbeats that arrive sooner than this after a connection broke may have
# been sent before, in seconds.
_SURELY_LATER_S = 2.0
# A second heartbeat has to follow the first one after this long, in seconds,
# as single heartbeats can be delayed on the way.
_BETWEEN_BEATS_S = 0.6
# Without heartbeats for this long the endpoint has crashed, in seconds.
_WATCHED_S = 12.0

# Bounds the broken connections that are watched; the oldest are dropped.
_MOST_WATCHED = 4096

# Reasons in the log for clearing a request.
_IN_FULL = "answered in full"
_ALIVE = "endpoint is alive"

Tell = Callable[[tuple[quarantine.Suspicion, ...]], None]


class _Watched(NamedTuple):
    """A suspicion whose endpoint may turn out to be alive.

    `heard_at` is the time of its first heartbeat after the connection broke.
    """

    suspicion: quarantine.Suspicion
    endpoint: endpoints.Endpoint
    broke_at: float
    heard_at: float | None = None


class CrashTracker:
    """One gateway's quarantine table, and the suspicions that it adds."""

    def __init__(self, *, table: endpoints.EndpointTable) -> None:
        self.book = quarantine.Quarantine()
        # Sends suspicions to the coordinators; set by ControlLinks.
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
        """Record that a connection broke while an endpoint ran a request.

        Ignored for endpoints that have announced that they leave.
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
        """Clear a request that was answered in full."""
        self._served.pop(request, None)
        self._served[request] = now
        while len(self._served) > _MOST_SERVED:
            del self._served[next(iter(self._served))]
        self._clear(self.book.clearances(request), _IN_FULL, now)

    def receive(
        self, items: Iterable[quarantine.Suspicion], now: float
    ) -> None:
        """Add suspicions that a coordinator has sent."""
        for request in self.book.add(items, now):
            served_at = self._served.get(request)
            if served_at is not None and now - served_at < _SERVED_S:
                self._clear(self.book.clearances(request), _IN_FULL, now)
            elif self.book.is_quarantined(request, now):
                self._log_held(request, now)

    def quarantine_left_s(
        self, request: types.Fingerprint, now: float
    ) -> float:
        """Return how long a request stays quarantined, 0 if it is not."""
        return self.book.remaining_s(request, now)

    def recheck(self, now: float) -> None:
        """Clear requests whose endpoint is alive; call about each second.

        An endpoint is alive if its heartbeats go on in the same incarnation
        after the connection broke.
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
        """Add suspicions marked as cleared, if there are any."""
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
    """Send nothing: no coordinator is linked yet."""
