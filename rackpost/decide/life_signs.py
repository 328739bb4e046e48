"""Recognise endpoints that live on after connections to them broke.

A broken connection may be the end of an endpoint, or a cut, a reset or a
truncated answer.  Heartbeats of the same incarnation that go on afterwards
tell them apart.  Any process that hears them can tell, so that no process
depends on the one that saw the connection break.
"""

from typing import NamedTuple

from rackpost.routing import endpoints

__all__ = ["LifeSigns"]

# A heartbeat that arrives sooner than this after a connection broke may have
# been sent before, in seconds.
_MAX_HEARTBEAT_DELAY_S = 2.0
# A second heartbeat has to follow the first one after this long, in seconds,
# as single heartbeats can be delayed on the way.
_MIN_HEARTBEAT_GAP_S = 0.6


class _Heartbeats(NamedTuple):
    """Arrivals of two heartbeats of one incarnation."""

    earlier: float
    latest: float


class LifeSigns:
    """The latest heartbeats of endpoints, as one process received them."""

    def __init__(self) -> None:
        self._heartbeats: dict[endpoints.Incarnation, _Heartbeats] = {}

    def sample(self, table: endpoints.EndpointTable) -> None:
        """Record the latest heartbeats; call about each second."""
        found = {}
        for item in table.alive.values():
            at = table.last_heartbeat_at[item.id]
            known = self._heartbeats.get(item.incarnation)
            if known is None:
                known = _Heartbeats(earlier=at, latest=at)
            elif at - known.latest >= _MIN_HEARTBEAT_GAP_S:
                known = _Heartbeats(earlier=known.latest, latest=at)
            found[item.incarnation] = known
        self._heartbeats = found

    def lived_until(self) -> dict[endpoints.Incarnation, float]:
        """Return up to when each incarnation is known to have lived on.

        A connection that broke before was not the end of the endpoint.
        """
        return {
            incarnation: found.earlier - _MAX_HEARTBEAT_DELAY_S
            for incarnation, found in self._heartbeats.items()
            if found.latest > found.earlier
        }
