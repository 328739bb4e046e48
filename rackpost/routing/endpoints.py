"""What endpoints say of themselves, in the order they said it.  Pure."""

import enum
from typing import Iterable

import msgspec

from rackpost import types

# Ended incarnations are remembered so that a late heartbeat does not
# bring them back; an id is never used twice.
_MAX_ENDED = 4096


class EndpointState(enum.Enum):
    """How far an endpoint's life has gone; it never goes back."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


_ORDER = {
    EndpointState.READY: 0,
    EndpointState.DRAINING: 1,
    EndpointState.GONE: 2,
}


class Endpoint(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One incarnation of an endpoint, as its latest heartbeat tells it.

    Attributes:
        sequence: number of the heartbeat, to tell late ones.
        cold_s: how much longer it is slow from its start, in seconds.
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


class EndpointTable:
    """The endpoints that one process knows of."""

    def __init__(self) -> None:
        self.alive: dict[types.EndpointId, Endpoint] = {}
        self.heard_at: dict[types.EndpointId, float] = {}
        self._ended: dict[types.EndpointId, None] = {}
        # Last heartbeat of those that something else has shown to be gone;
        # a later heartbeat brings them back.
        self._dropped: dict[types.EndpointId, int] = {}

    def take(self, new: Endpoint, now: float) -> bool:
        """Take news of an endpoint; whether anything but its age changed.

        News older than what is known is dropped, and an ended incarnation
        stays ended.
        """
        if new.id in self._ended:
            return False
        if new.state is EndpointState.GONE:
            self._end(new.id)
            return True
        old = self.alive.get(new.id)
        if old is None:
            return self._add(new, now)
        if new.sequence <= old.sequence:
            return False
        if _ORDER[new.state] < _ORDER[old.state]:
            return False
        self.alive[new.id] = new
        self.heard_at[new.id] = now
        return _differs(old, new)

    def _add(self, new: Endpoint, now: float) -> bool:
        if new.sequence <= self._dropped.get(new.id, -1):
            return False
        self._dropped.pop(new.id, None)
        # An address has one endpoint at a time: whoever was there before
        # has ended without a word.
        for other in list(self.alive.values()):
            if other.address == new.address:
                self.drop(other.id)
        self.alive[new.id] = new
        self.heard_at[new.id] = now
        return True

    def drop(self, key: types.EndpointId) -> bool:
        """Take an endpoint as gone until it is heard of again."""
        old = self.alive.pop(key, None)
        self.heard_at.pop(key, None)
        if old is None:
            return False
        self._dropped[key] = old.sequence
        while len(self._dropped) > _MAX_ENDED:
            del self._dropped[next(iter(self._dropped))]
        return True

    def hear(self, keys: Iterable[types.EndpointId], now: float) -> None:
        """Some endpoints have sent a heartbeat."""
        for key in keys:
            if key in self.heard_at:
                self.heard_at[key] = now

    def heard_since(self, since: float) -> tuple[types.EndpointId, ...]:
        """Endpoints heard of after a clock reading."""
        return tuple(key for key, at in self.heard_at.items() if at > since)

    def is_silent(self, key: types.EndpointId, before: float) -> bool:
        """Whether an endpoint was last heard of before a clock reading."""
        return self.heard_at.get(key, before) < before

    def forget_silent(self, before: float) -> list[Endpoint]:
        """Drop, and return, endpoints last heard of before a reading."""
        silent = [
            self.alive[key] for key, at in self.heard_at.items() if at < before
        ]
        for item in silent:
            del self.alive[item.id]
            del self.heard_at[item.id]
        return silent

    def ended(self) -> list[types.EndpointId]:
        """Incarnations that have ended, as far as they are remembered."""
        return list(self._ended)

    def _end(self, key: types.EndpointId) -> None:
        self.alive.pop(key, None)
        self.heard_at.pop(key, None)
        self._dropped.pop(key, None)
        self._ended[key] = None
        while len(self._ended) > _MAX_ENDED:
            del self._ended[next(iter(self._ended))]


def _differs(old: Endpoint, new: Endpoint) -> bool:
    return (old.state, old.role, old.address, old.slots, old.service) != (
        new.state,
        new.role,
        new.address,
        new.slots,
        new.service,
    )
