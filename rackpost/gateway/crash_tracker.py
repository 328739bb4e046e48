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
_CLEARED_S = 30.0
# Bounds the memory for answered requests.
_MAX_SERVED = 1024
# Heartbeats that arrive sooner than this after a connection broke may have
# been sent before, in seconds.
_MIN_HEARTBEAT_DELAY_S = 2.0
# A second heartbeat has to follow the first one after this long, in seconds,
# as single heartbeats can be delayed on the way.
_MIN_HEARTBEAT_GAP_S = 0.6
# Without heartbeats for this long the endpoint has crashed, in seconds.
_MAX_WATCH_S = 12.0

# Bounds the broken connections that are watched; the oldest are dropped.
_MAX_WATCHED = 4096

# Reasons in the log for clearing a request.
_ANSWERED_IN_FULL = "answered in full"
_ENDPOINT_ALIVE = "endpoint is alive"

Publish = Callable[[tuple[quarantine.Suspicion, ...]], None]


class _WatchedSuspicion(NamedTuple):
    """A suspicion whose endpoint may turn out to be alive.

    `first_heartbeat_at` is the time of its first heartbeat after the
    connection broke.
    """

    suspicion: quarantine.Suspicion
    endpoint: endpoints.Endpoint
    broke_at: float
    first_heartbeat_at: float | None = None


class CrashTracker:
    """One gateway's quarantine table, and the suspicions that it adds."""

    def __init__(self, *, table: endpoints.EndpointTable) -> None:
        self.quarantine = quarantine.Quarantine()
        # Sends suspicions to the coordinators; set by ControlLinks.
        self.publish: Publish = _publish_nothing
        self._table = table
        self._watched: list[_WatchedSuspicion] = []
        self._served_at: dict[types.Fingerprint, float] = {}

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
            _WatchedSuspicion(suspicion=found, endpoint=endpoint, broke_at=now)
        )
        del self._watched[:-_MAX_WATCHED]
        self._add((found,), now)

    def record_served(self, request: types.Fingerprint, now: float) -> None:
        """Clear a request that was answered in full."""
        self._served_at.pop(request, None)
        self._served_at[request] = now
        while len(self._served_at) > _MAX_SERVED:
            del self._served_at[next(iter(self._served_at))]
        self._clear(
            self.quarantine.clearances(request), _ANSWERED_IN_FULL, now
        )

    def receive(
        self, items: Iterable[quarantine.Suspicion], now: float
    ) -> None:
        """Add suspicions that a coordinator has sent."""
        for request in self.quarantine.add(items, now):
            served_at = self._served_at.get(request)
            if served_at is not None and now - served_at < _CLEARED_S:
                self._clear(
                    self.quarantine.clearances(request), _ANSWERED_IN_FULL, now
                )
            elif self.quarantine.is_quarantined(request, now):
                self._log_quarantined(request, now)

    def quarantine_left_s(
        self, request: types.Fingerprint, now: float
    ) -> float:
        """Return how long a request stays quarantined, 0 if it is not."""
        return self.quarantine.remaining_s(request, now)

    def recheck(self, now: float) -> None:
        """Clear requests whose endpoint is alive; call about each second.

        An endpoint is alive if its heartbeats go on in the same incarnation
        after the connection broke.
        """
        self._watched = [
            item
            for item in (self._recheck_one(one, now) for one in self._watched)
            if item is not None
        ]
        self.quarantine.forget(now)

    def _recheck_one(
        self, item: _WatchedSuspicion, now: float
    ) -> _WatchedSuspicion | None:
        if not self._table.is_current(item.endpoint):
            return None
        last_heartbeat_at = self._table.last_heartbeat_at.get(
            item.endpoint.id, item.broke_at
        )
        if last_heartbeat_at < item.broke_at + _MIN_HEARTBEAT_DELAY_S:
            return item if now - item.broke_at < _MAX_WATCH_S else None
        if item.first_heartbeat_at is None:
            return item._replace(first_heartbeat_at=last_heartbeat_at)
        if last_heartbeat_at < item.first_heartbeat_at + _MIN_HEARTBEAT_GAP_S:
            return item
        cleared = msgspec.structs.replace(item.suspicion, cleared=True)
        self._clear((cleared,), _ENDPOINT_ALIVE, now)
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
        for request in self.quarantine.add(items, now):
            if self.quarantine.is_quarantined(request, now):
                self._log_quarantined(request, now)
        self.publish(items)

    def _log_quarantined(self, request: types.Fingerprint, now: float) -> None:
        logs.say(
            logs.Part.GATEWAY,
            "Request is held back.",
            fingerprint=request.hex(),
            endpoints=self.quarantine.ended_endpoints(request),
            left_s=round(self.quarantine.remaining_s(request, now)),
        )


def _publish_nothing(items: tuple[quarantine.Suspicion, ...]) -> None:
    """Send nothing: no coordinator is linked yet."""
