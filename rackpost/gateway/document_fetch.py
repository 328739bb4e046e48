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
from rackpost.routing import changes

Peer = TypeVar("Peer", bound=Hashable)

# A chunk is requested again after the longer of these: a time in seconds, and
# a multiple of the time that the last chunk took.  The time suffices for a
# chunk on a link of 5 Mbit/s.
_MIN_TIMEOUT_S = 0.5
_TIMEOUT_FACTOR = 4.0
# The timeout doubles with each missing chunk up to this, in seconds.
_MAX_TIMEOUT_S = 4.0
# After an unusable document the whole one is requested this much later, in
# seconds, as the next may be unusable too.
_REJECT_PAUSE_S = 1.0


class FetchRequest(NamedTuple, Generic[Peer]):
    """A message to send to a peer.

    `is_retry` is set if the last request was not answered.
    """

    peer: Peer
    msg: messages.FetchRouting
    is_retry: bool


class _InFlight(NamedTuple, Generic[Peer]):
    """A request in flight, with the times of its start and its timeout."""

    peer: Peer
    sent_at: float
    timeout_at: float


class _PartialTransfer:
    """The received chunks of a transfer."""

    def __init__(self, *, chunk: messages.RoutingChunk, began: float) -> None:
        self.digest = chunk.digest
        self.size = chunk.size
        self.began = began
        self.data = bytearray()


class Transfer(NamedTuple):
    """A complete transfer, and how long it took in seconds."""

    data: bytes
    took_s: float


class DocumentFetch(Generic[Peer]):
    """The transfers of one gateway; a peer is a linked coordinator."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._versions: dict[Peer, int] = {}
        self._in_flight: _InFlight[Peer] | None = None
        self._partial: _PartialTransfer | None = None
        self._last_peer: Peer | None = None
        self._timeout_s = _MIN_TIMEOUT_S
        # Version whose last change was unusable; the whole document is
        # requested instead.
        self._unusable_base: int | None = None
        self._paused_until: float | None = None

    @property
    def newest(self) -> int | None:
        """The newest version that a peer has; None if none has any."""
        return max(self._versions.values(), default=None)

    @property
    def wake_at(self) -> float | None:
        """When to call `next_request` next, if nothing arrives before."""
        if self._in_flight is not None:
            return self._in_flight.timeout_at
        return self._paused_until

    def record_version(self, peer: Peer, version: int) -> None:
        """Record that a peer has this version."""
        self._versions[peer] = version

    def remove_peer(self, peer: Peer) -> None:
        """Record that the link to a peer has ended."""
        self._versions.pop(peer, None)
        if self._in_flight is not None and self._in_flight.peer == peer:
            self._in_flight = None

    def next_request(
        self, *, held_version: int | None, now: float
    ) -> FetchRequest[Peer] | None:
        """Return the request to send now, None if there is none.

        `held_version` is the version that the gateway has, if it has any.
        """
        if not self._is_behind(held_version):
            self._in_flight = None
            self._partial = None
            self._paused_until = None
            return None
        if self._paused_until is not None:
            if now < self._paused_until:
                return None
            self._paused_until = None
        silent_peer = None
        if self._in_flight is not None:
            if now < self._in_flight.timeout_at:
                return None
            silent_peer = self._in_flight.peer
            self._timeout_s = min(2.0 * self._timeout_s, _MAX_TIMEOUT_S)
        peer = self._choose(silent_peer)
        self._in_flight = _InFlight(peer, now, now + self._timeout_s)
        self._last_peer = peer
        return FetchRequest(
            peer, self._message(held_version), silent_peer is not None
        )

    def _is_behind(self, held_version: int | None) -> bool:
        newest = self.newest
        if newest is None:
            return False
        return held_version is None or held_version < newest

    def _choose(self, silent_peer: Peer | None) -> Peer:
        """Return the peer of the last request, unless it did not answer.

        It knows the transfer.  Otherwise a random one with the newest version,
        so that gateways spread over the coordinators.
        """
        newest = self.newest
        candidates = [
            key for key, at in self._versions.items() if at == newest
        ]
        if self._last_peer in candidates and self._last_peer != silent_peer:
            assert self._last_peer is not None
            return self._last_peer
        others = [key for key in candidates if key != silent_peer]
        return self._rng.choice(others or candidates)

    def _message(self, held_version: int | None) -> messages.FetchRouting:
        base = held_version
        if base is None or base == self._unusable_base:
            base = changes.NO_BASE
        if self._partial is None:
            return messages.FetchRouting(held_version=base)
        return messages.FetchRouting(
            held_version=base,
            digest=self._partial.digest,
            offset=len(self._partial.data),
        )

    def receive(
        self, peer: Peer, chunk: messages.RoutingChunk, now: float
    ) -> Transfer | None:
        """Add a chunk; return the transfer once it is complete.

        A chunk other than the next one is a duplicate and is dropped.
        """
        if not self._is_next(peer, chunk):
            return None
        if chunk.offset == 0:
            began = now if self._in_flight is None else self._in_flight.sent_at
            self._partial = _PartialTransfer(chunk=chunk, began=began)
        partial = self._partial
        assert partial is not None
        partial.data += chunk.data
        self._adapt_timeout(now)
        if len(partial.data) < partial.size:
            return None
        self._partial = None
        return Transfer(bytes(partial.data), now - partial.began)

    def reject_document(self, *, held_version: int | None, now: float) -> None:
        """Record that the transfer for version `held_version` was unusable."""
        self._unusable_base = held_version
        self._paused_until = now + _REJECT_PAUSE_S

    def _is_next(self, peer: Peer, chunk: messages.RoutingChunk) -> bool:
        partial = self._partial
        if partial is not None and chunk.digest == partial.digest:
            return chunk.offset == len(partial.data)
        # A new transfer may start only with the requested peer: a late answer
        # to an abandoned request must not discard received chunks.
        requested = (
            self._in_flight is not None and self._in_flight.peer == peer
        )
        return chunk.offset == 0 and requested

    def _adapt_timeout(self, now: float) -> None:
        if self._in_flight is not None:
            took = now - self._in_flight.sent_at
            self._timeout_s = min(
                max(_MIN_TIMEOUT_S, _TIMEOUT_FACTOR * took), _MAX_TIMEOUT_S
            )
        self._in_flight = None
