"""Endpoints and their latest state, ordered by incarnation and sequence.

Pure: no input or output.
"""

import enum
from typing import Iterable
from typing import NamedTuple

import msgspec

from rackpost.routing import digests
from rackpost import types

# Bound on remembered incarnations, which keep a late heartbeat from bringing
# an ended endpoint back.
_MAX_REMEMBERED = 4096


class EndpointState(enum.Enum):
    """State of an incarnation; it only moves forward."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


_STATE_ORDER = {
    EndpointState.READY: 0,
    EndpointState.DRAINING: 1,
    EndpointState.GONE: 2,
}


class Incarnation(NamedTuple):
    """One incarnation of an endpoint, which may restart under the same id.

    `born` is the start time in milliseconds; the latest one counts.  It is 0
    for an endpoint that does not report it and whose id is never reused.
    """

    id: types.EndpointId
    born: int = 0


class Endpoint(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One incarnation of an endpoint, as its latest heartbeat reports it.

    Attributes:
        sequence: number of the heartbeat within the incarnation.
        cold_s: remaining time of its slow warm-up, in seconds.
        software: version of its software, not of its model's weights.
    """

    id: types.EndpointId
    service: types.ServiceName = types.ServiceName("")
    address: str = ""
    data_centre: types.DataCentre = types.DataCentre("")
    role: types.Role = types.Role.PLAIN
    slots: int = 0
    state: EndpointState = EndpointState.READY
    sequence: int = 0
    cold_s: float = 0.0
    born: int = 0
    software: types.SoftwareVersion = types.SoftwareVersion("")

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of the endpoint."""
        return Incarnation(self.id, self.born)


class EndpointTable:
    """The endpoints that a process knows."""

    def __init__(self) -> None:
        self.alive: dict[types.EndpointId, Endpoint] = {}
        self.last_heartbeat_at: dict[types.EndpointId, float] = {}
        self._by_digest: dict[bytes, set[types.EndpointId]] = {}
        # Start time of the ended incarnation, by endpoint.
        self._ended: dict[types.EndpointId, int] = {}
        # Start time of the incarnation that announced in an answer that it
        # leaves, by endpoint; its late heartbeats may still report "ready".
        self._leaving: dict[types.EndpointId, int] = {}
        # Last state of dropped endpoints, which sent no notice of their end;
        # a later heartbeat adds them again.
        self._dropped: dict[types.EndpointId, Endpoint] = {}

    def update(self, new: Endpoint, now: float) -> bool:
        """Apply an update; return whether more than its age changed.

        Stale updates are ignored, and an ended incarnation stays ended.  A
        later incarnation inherits no state from an earlier one.
        """
        if self._has_ended(new):
            return False
        if new.state is EndpointState.GONE:
            return self._record_end(new)
        if self._leaving.get(new.id) == new.born:
            new = msgspec.structs.replace(new, state=EndpointState.DRAINING)
        old = self.alive.get(new.id)
        if old is None:
            return self._add(new, now)
        if not _is_newer(old, new):
            return False
        if old.address != new.address:
            self._drop_others_at(new)
        self.alive[new.id] = new
        self.last_heartbeat_at[new.id] = now
        return _differs(old, new)

    def _has_ended(self, new: Endpoint) -> bool:
        ended = self._ended.get(new.id)
        return ended is not None and not _is_later(ended, new.born)

    def record_leaving(self, endpoint: Endpoint) -> bool:
        """Record that an answer announced that an endpoint leaves.

        It stays draining for the rest of its incarnation.  Returns whether
        that changed its state.
        """
        if self._has_ended(endpoint) or self.has_restarted(endpoint):
            return False
        if self._leaving.get(endpoint.id) == endpoint.born:
            return False
        self._leaving.pop(endpoint.id, None)
        self._leaving[endpoint.id] = endpoint.born
        while len(self._leaving) > _MAX_REMEMBERED:
            del self._leaving[next(iter(self._leaving))]
        known = self.alive.get(endpoint.id)
        if known is None:
            return True
        self.alive[endpoint.id] = msgspec.structs.replace(
            known, state=EndpointState.DRAINING
        )
        return known.state is EndpointState.READY

    def _add(self, new: Endpoint, now: float) -> bool:
        dropped = self._dropped.get(new.id)
        if dropped is not None and not _is_newer(dropped, new):
            return False
        self._dropped.pop(new.id, None)
        self._ended.pop(new.id, None)
        self._drop_others_at(new)
        self.alive[new.id] = new
        self.last_heartbeat_at[new.id] = now
        self._by_digest.setdefault(digests.digest(new.id), set()).add(new.id)
        return True

    def _remove(self, key: types.EndpointId) -> Endpoint | None:
        """Remove an endpoint; return its last state if it was known."""
        self.last_heartbeat_at.pop(key, None)
        id_digest = digests.digest(key)
        same_digest = self._by_digest.get(id_digest, set())
        same_digest.discard(key)
        if not same_digest:
            self._by_digest.pop(id_digest, None)
        return self.alive.pop(key, None)

    def _drop_others_at(self, new: Endpoint) -> None:
        """Drop other endpoints at the address, which must have crashed."""
        for other in list(self.alive.values()):
            if other.address == new.address and other.id != new.id:
                self.drop(other.id)

    def is_current(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint is still in the given incarnation.

        A restarted endpoint has lost all state of earlier requests.
        """
        known = self.alive.get(endpoint.id)
        return known is not None and known.born == endpoint.born

    def has_restarted(self, endpoint: Endpoint) -> bool:
        """Whether a later incarnation of an endpoint is known.

        Silence or an announced leave do not count as a restart.
        """
        known = self.alive.get(endpoint.id)
        return known is not None and _is_later(endpoint.born, known.born)

    def is_replaced(self, endpoint: Endpoint) -> bool:
        """Whether another process is known at an endpoint's address.

        It is a later incarnation, or another endpoint.
        """
        if self.has_restarted(endpoint):
            return True
        dropped = self._dropped.get(endpoint.id)
        return dropped is not None and dropped.born == endpoint.born

    def has_left(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint left, or announced it, in this incarnation."""
        known = self.alive.get(endpoint.id)
        if known is not None and known.born == endpoint.born:
            return known.state is not EndpointState.READY
        return self._ended.get(endpoint.id) == endpoint.born

    def drop(self, key: types.EndpointId) -> bool:
        """Remove an endpoint until its next heartbeat."""
        old = self._remove(key)
        if old is None:
            return False
        self._dropped[key] = old
        while len(self._dropped) > _MAX_REMEMBERED:
            del self._dropped[next(iter(self._dropped))]
        return True

    def record_heartbeats(
        self, keys: Iterable[types.EndpointId], now: float
    ) -> None:
        """Record that known endpoints have sent a heartbeat."""
        for key in keys:
            if key in self.last_heartbeat_at:
                self.last_heartbeat_at[key] = now

    def record_heartbeat_digests(self, data: bytes, now: float) -> None:
        """Record heartbeats of endpoints given by packed digests."""
        for id_digest in digests.unpack(data):
            self.record_heartbeats(self._by_digest.get(id_digest, ()), now)

    def id_of_digest(self, id_digest: bytes) -> types.EndpointId | None:
        """Return the only known endpoint with this digest, or None."""
        found = self._by_digest.get(id_digest, set())
        return next(iter(found)) if len(found) == 1 else None

    def with_heartbeat_since(
        self, since: float
    ) -> tuple[types.EndpointId, ...]:
        """Return the endpoints whose last heartbeat came after `since`."""
        return tuple(
            key for key, at in self.last_heartbeat_at.items() if at > since
        )

    def versions(
        self, service: types.ServiceName
    ) -> set[types.SoftwareVersion]:
        """Return the software versions of a service's endpoints."""
        return {
            item.software
            for item in self.alive.values()
            if item.service == service
        }

    def of_version(
        self, service: types.ServiceName, software: types.SoftwareVersion
    ) -> list[types.EndpointId]:
        """Return the endpoints of a service with this software."""
        return [
            item.id
            for item in self.alive.values()
            if item.service == service and item.software == software
        ]

    def other_versions(
        self, service: types.ServiceName, software: types.SoftwareVersion
    ) -> list[types.EndpointId]:
        """Return the endpoints of a service with other software."""
        return [
            item.id
            for item in self.alive.values()
            if item.service == service and item.software != software
        ]

    def silent(self, before: float) -> list[types.EndpointId]:
        """Return the endpoints whose last heartbeat came before `before`."""
        return [
            key for key, at in self.last_heartbeat_at.items() if at < before
        ]

    def is_silent(self, key: types.EndpointId, before: float) -> bool:
        """Whether an endpoint's last heartbeat came before `before`."""
        return self.last_heartbeat_at.get(key, before) < before

    def forget_silent(self, before: float) -> list[Endpoint]:
        """Remove and return endpoints without a heartbeat since `before`."""
        silent = [
            self.alive[key]
            for key, at in self.last_heartbeat_at.items()
            if at < before
        ]
        for item in silent:
            self._remove(item.id)
        return silent

    def ended(self) -> list[Incarnation]:
        """Return the ended incarnations that are still remembered."""
        return [Incarnation(key, born) for key, born in self._ended.items()]

    def _record_end(self, gone: Endpoint) -> bool:
        """End an incarnation; return whether that changed anything."""
        old = self.alive.get(gone.id)
        if old is not None and _is_later(gone.born, old.born):
            # It has restarted since.
            return False
        # An end without an incarnation refers to the known one.
        born = gone.born or (old.born if old is not None else 0)
        self._remove(gone.id)
        self._dropped.pop(gone.id, None)
        self._ended[gone.id] = born
        while len(self._ended) > _MAX_REMEMBERED:
            del self._ended[next(iter(self._ended))]
        return True


def _is_later(born: int, other: int) -> bool:
    """Whether `other` is a later incarnation; False if either is unknown."""
    return 0 < born < other


def _is_newer(old: Endpoint, new: Endpoint) -> bool:
    """Whether an update of an endpoint supersedes the known state.

    One without a start time may come from another writer, whose sequence
    numbers say nothing: it never supersedes one with a start time.
    """
    if _is_later(old.born, new.born):
        return True
    if (old.born > 0) != (new.born > 0):
        return new.born > 0
    if _is_later(new.born, old.born) or new.sequence <= old.sequence:
        return False
    return _STATE_ORDER[new.state] >= _STATE_ORDER[old.state]


def _differs(old: Endpoint, new: Endpoint) -> bool:
    return _visible_state(old) != _visible_state(new)


def _visible_state(item: Endpoint) -> tuple[object, ...]:
    return (
        item.born,
        item.state,
        item.role,
        item.address,
        item.slots,
        item.service,
    )
