"""Decides when to request which chunk of the routing document.  Pure.

At most one request is in flight, whatever is announced meanwhile: more would
fill a slow link and delay its keepalives until it is closed.  Received chunks
are kept and count whichever coordinator sends the rest.
"""

import random
from typing import Generic
from typing import Hashable
from typing import NamedTuple
from typing import TypeVar

from rackpost.coordinator import messages

H = TypeVar("H", bound=Hashable)

# A chunk is requested again after the longer of these: a time in seconds, and
# a multiple of the time that the last chunk took.  The time suffices for a
# chunk on a link of 5 Mbit/s.
_PATIENCE_S = 0.5
_PATIENCE_PARTS = 4.0
# The timeout doubles with each missing chunk up to this, in seconds.
_MAX_PATIENCE_S = 4.0
# After an unusable document the whole one is requested this much later, in
# seconds, as the next may be unusable too.
_REST_S = 1.0


class FetchRequest(NamedTuple, Generic[H]):
    """A message to send to a peer.

    `is_retry` is set if the last request was not answered.
    """

    peer: H
    msg: messages.FetchRouting
    is_retry: bool


class _Asked(NamedTuple, Generic[H]):
    """A request in flight, with the times of its start and its timeout."""

    holder: H
    at: float
    until: float


class _Partial:
    """The received chunks of a transfer."""

    def __init__(self, *, part: messages.RoutingChunk, began: float) -> None:
        self.digest = part.digest
        self.size = part.size
        self.began = began
        self.data = bytearray()


class Transfer(NamedTuple):
    """A complete transfer, and how long it took in seconds."""

    data: bytes
    took_s: float


class DocumentFetch(Generic[H]):
    """The transfers of one gateway; a peer is a linked coordinator."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._holders: dict[H, int] = {}
        self._asked: _Asked[H] | None = None
        self._partial: _Partial | None = None
        self._last: H | None = None
        self._patience_s = _PATIENCE_S
        # Version whose last change was unusable; the whole document is
        # requested instead.
        self._spoilt: int | None = None
        self._rest_until: float | None = None

    @property
    def newest(self) -> int:
        """The newest version that a peer has."""
        return max(self._holders.values(), default=0)

    @property
    def wake_at(self) -> float | None:
        """When to call `next_request` next, if nothing arrives before."""
        if self._asked is not None:
            return self._asked.until
        return self._rest_until

    def record_version(self, holder: H, version: int) -> None:
        """Record that a peer has this version."""
        self._holders[holder] = version

    def remove_peer(self, holder: H) -> None:
        """Record that the link to a peer has ended."""
        self._holders.pop(holder, None)
        if self._asked is not None and self._asked.holder == holder:
            self._asked = None

    def next_request(self, *, have: int, now: float) -> FetchRequest[H] | None:
        """Return the request to send now, None if there is none.

        `have` is the version that the gateway has.
        """
        if self.newest <= have:
            self._asked = None
            self._partial = None
            self._rest_until = None
            return None
        if self._rest_until is not None:
            if now < self._rest_until:
                return None
            self._rest_until = None
        silent = None
        if self._asked is not None:
            if now < self._asked.until:
                return None
            silent = self._asked.holder
            self._patience_s = min(2.0 * self._patience_s, _MAX_PATIENCE_S)
        holder = self._choose(silent)
        self._asked = _Asked(holder, now, now + self._patience_s)
        self._last = holder
        return FetchRequest(holder, self._fetch(have), silent is not None)

    def _choose(self, silent: H | None) -> H:
        """Return the peer of the last request, unless it did not answer.

        It knows the transfer.  Otherwise a random one with the newest version,
        so that gateways spread over the coordinators.
        """
        newest = self.newest
        found = [key for key, at in self._holders.items() if at == newest]
        if self._last in found and self._last != silent:
            assert self._last is not None
            return self._last
        others = [key for key in found if key != silent]
        return self._rng.choice(others or found)

    def _fetch(self, have: int) -> messages.FetchRouting:
        base = 0 if have == self._spoilt else have
        if self._partial is None:
            return messages.FetchRouting(held_version=base)
        return messages.FetchRouting(
            held_version=base,
            digest=self._partial.digest,
            offset=len(self._partial.data),
        )

    def receive(
        self, holder: H, part: messages.RoutingChunk, now: float
    ) -> Transfer | None:
        """Add a chunk; return the transfer once it is complete.

        A chunk other than the next one is a duplicate and is dropped.
        """
        if not self._is_next(holder, part):
            return None
        if part.offset == 0:
            began = now if self._asked is None else self._asked.at
            self._partial = _Partial(part=part, began=began)
        partial = self._partial
        assert partial is not None
        partial.data += part.data
        self._note_pace(now)
        if len(partial.data) < partial.size:
            return None
        self._partial = None
        return Transfer(bytes(partial.data), now - partial.began)

    def reject_document(self, *, have: int, now: float) -> None:
        """Record that the last transfer was unusable for version `have`."""
        self._spoilt = have
        self._rest_until = now + _REST_S

    def _is_next(self, holder: H, part: messages.RoutingChunk) -> bool:
        partial = self._partial
        if partial is not None and part.digest == partial.digest:
            return part.offset == len(partial.data)
        # A new transfer may start only with the requested peer: a late answer
        # to an abandoned request must not discard received chunks.
        asked = self._asked is not None and self._asked.holder == holder
        return part.offset == 0 and asked

    def _note_pace(self, now: float) -> None:
        if self._asked is not None:
            took = now - self._asked.at
            self._patience_s = min(
                max(_PATIENCE_S, _PATIENCE_PARTS * took), _MAX_PATIENCE_S
            )
        self._asked = None
