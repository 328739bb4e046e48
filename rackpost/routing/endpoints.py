"""What endpoints say of themselves, in the order they said it.  Pure."""

import enum
from typing import Iterable
from typing import NamedTuple

import msgspec

from rackpost.routing import digests
from rackpost import types

# Ended incarnations are remembered so that a late heartbeat does not
# bring them back.
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


class Incarnation(NamedTuple):
    """One life of an endpoint, which may start again under its id.

    `born` is its start in milliseconds, of which the later one holds; 0
    where the endpoint does not tell it, and then its id is used once.
    """

    id: types.EndpointId
    born: int = 0


class Endpoint(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One incarnation of an endpoint, as its latest heartbeat tells it.

    Attributes:
        sequence: number of the heartbeat within one life, to tell late ones.
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
    born: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """Which life of the endpoint this is."""
        return Incarnation(self.id, self.born)


class EndpointTable:
    """The endpoints that one process knows of."""

    def __init__(self) -> None:
        self.alive: dict[types.EndpointId, Endpoint] = {}
        self.last_heartbeat_at: dict[types.EndpointId, float] = {}
        self._by_digest: dict[bytes, set[types.EndpointId]] = {}
        # The life that has ended, of each endpoint.
        self._ended: dict[types.EndpointId, int] = {}
        # The life whose answers said that it leaves, of each endpoint: its
        # heartbeats may say for a while yet, or come late and say again, that
        # it is ready.
        self._leaving: dict[types.EndpointId, int] = {}
        # Last word of those that something else has shown to be gone; a
        # later heartbeat brings them back.
        self._dropped: dict[types.EndpointId, Endpoint] = {}

    def update(self, new: Endpoint, now: float) -> bool:
        """Take news of an endpoint; whether anything but its age changed.

        News older than what is known is dropped, and an ended life stays
        ended.  A later life knows nothing of the one before.
        """
        if self._has_ended(new):
            return False
        if new.state is EndpointState.GONE:
            return self._end(new)
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
        """An answer of it says that it leaves; whether that is news.

        That is its last word in this life, whatever comes later.
        """
        if self._has_ended(endpoint) or self.has_restarted(endpoint):
            return False
        if self._leaving.get(endpoint.id) == endpoint.born:
            return False
        self._leaving.pop(endpoint.id, None)
        self._leaving[endpoint.id] = endpoint.born
        while len(self._leaving) > _MAX_ENDED:
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
        """Know an endpoint no more; what was known of it, if anything."""
        self.last_heartbeat_at.pop(key, None)
        short = digests.digest(key)
        alike = self._by_digest.get(short, set())
        alike.discard(key)
        if not alike:
            self._by_digest.pop(short, None)
        return self.alive.pop(key, None)

    def _drop_others_at(self, new: Endpoint) -> None:
        """An address has one endpoint: who was there ended without a word."""
        for other in list(self.alive.values()):
            if other.address == new.address and other.id != new.id:
                self.drop(other.id)

    def is_current(self, endpoint: Endpoint) -> bool:
        """Whether it is in the life in which it was chosen.

        One that started again holds nothing of what it was sent before.
        """
        known = self.alive.get(endpoint.id)
        return known is not None and known.born == endpoint.born

    def has_restarted(self, endpoint: Endpoint) -> bool:
        """Whether it has started again since it was chosen.

        One that is only silent, or has said that it leaves, has not.
        """
        known = self.alive.get(endpoint.id)
        return known is not None and _is_later(endpoint.born, known.born)

    def has_left(self, endpoint: Endpoint) -> bool:
        """Whether it said, in the life in which it was chosen, to leave."""
        known = self.alive.get(endpoint.id)
        if known is not None and known.born == endpoint.born:
            return known.state is not EndpointState.READY
        return self._ended.get(endpoint.id) == endpoint.born

    def drop(self, key: types.EndpointId) -> bool:
        """Take an endpoint as gone until it is heard of again."""
        old = self._remove(key)
        if old is None:
            return False
        self._dropped[key] = old
        while len(self._dropped) > _MAX_ENDED:
            del self._dropped[next(iter(self._dropped))]
        return True

    def record_heartbeats(
        self, keys: Iterable[types.EndpointId], now: float
    ) -> None:
        """Some endpoints have sent a heartbeat."""
        for key in keys:
            if key in self.last_heartbeat_at:
                self.last_heartbeat_at[key] = now

    def record_heartbeat_digests(self, data: bytes, now: float) -> None:
        """As `record_heartbeats`, of endpoints told by their digests."""
        for short in digests.unpack(data):
            self.record_heartbeats(self._by_digest.get(short, ()), now)

    def with_heartbeat_since(
        self, since: float
    ) -> tuple[types.EndpointId, ...]:
        """Endpoints heard of after a clock reading."""
        return tuple(
            key for key, at in self.last_heartbeat_at.items() if at > since
        )

    def silent(self, before: float) -> list[types.EndpointId]:
        """Endpoints last heard of before a clock reading."""
        return [
            key for key, at in self.last_heartbeat_at.items() if at < before
        ]

    def is_silent(self, key: types.EndpointId, before: float) -> bool:
        """Whether an endpoint was last heard of before a clock reading."""
        return self.last_heartbeat_at.get(key, before) < before

    def forget_silent(self, before: float) -> list[Endpoint]:
        """Drop, and return, endpoints last heard of before a reading."""
        silent = [
            self.alive[key]
            for key, at in self.last_heartbeat_at.items()
            if at < before
        ]
        for item in silent:
            self._remove(item.id)
        return silent

    def ended(self) -> list[Incarnation]:
        """Lives that have ended, as far as they are remembered."""
        return [Incarnation(key, born) for key, born in self._ended.items()]

    def _end(self, gone: Endpoint) -> bool:
        """A life has ended; whether that is news."""
        old = self.alive.get(gone.id)
        if old is not None and _is_later(gone.born, old.born):
            # It has started again since.
            return False
        # Who ends without telling its life ends the one that is known.
        born = gone.born or (old.born if old is not None else 0)
        self._remove(gone.id)
        self._dropped.pop(gone.id, None)
        self._ended[gone.id] = born
        while len(self._ended) > _MAX_ENDED:
            del self._ended[next(iter(self._ended))]
        return True


def _is_later(born: int, other: int) -> bool:
    """Whether `other` is a later life; not if one of both is not told."""
    return 0 < born < other


def _is_newer(old: Endpoint, new: Endpoint) -> bool:
    """Whether news of an endpoint come after what it said before."""
    if _is_later(old.born, new.born):
        return True
    if _is_later(new.born, old.born) or new.sequence <= old.sequence:
        return False
    return _ORDER[new.state] >= _ORDER[old.state]


def _differs(old: Endpoint, new: Endpoint) -> bool:
    return _facts(old) != _facts(new)


def _facts(item: Endpoint) -> tuple[object, ...]:
    return (
        item.born,
        item.state,
        item.role,
        item.address,
        item.slots,
        item.service,
    )
