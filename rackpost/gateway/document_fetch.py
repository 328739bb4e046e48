"""When a gateway asks whom for which part of the routing document.  Pure.

At most one part is asked for at a time, whatever is announced meanwhile:
copies of what takes long would fill a gateway's slow link, keepalives would
wait behind them, and the link would be given up with all that had come.
What has come is kept: it counts whoever sends the rest.
"""

import random
from typing import Generic
from typing import Hashable
from typing import NamedTuple
from typing import TypeVar

from rackpost.coordinator import messages

H = TypeVar("H", bound=Hashable)

# A part that has not come after the longest of these is asked for again:
# this time, in seconds, and a multiple of what the last part took.  The
# first is 20 times what a part takes on a link of 5 Mbit/s.
_PATIENCE_S = 0.5
_PATIENCE_PARTS = 4.0
# It doubles with each part that did not come, up to this, in seconds.
_MAX_PATIENCE_S = 4.0
# After something that could not be used the whole is asked for this much
# later, in seconds: the next one may be no better.
_REST_S = 1.0


class FetchRequest(NamedTuple, Generic[H]):
    """What to send to whom; `is_retry` if the last one asked was silent."""

    peer: H
    msg: messages.FetchRouting
    is_retry: bool


class _Asked(NamedTuple, Generic[H]):
    """A part that is under way, and since when."""

    holder: H
    at: float
    until: float


class _Partial:
    """What has come of a transfer."""

    def __init__(self, *, part: messages.RoutingChunk, began: float) -> None:
        self.digest = part.digest
        self.size = part.size
        self.began = began
        self.data = bytearray()


class Transfer(NamedTuple):
    """A transfer that is whole, and how long it took in seconds."""

    data: bytes
    took_s: float


class DocumentFetch(Generic[H]):
    """The transfers of one gateway; a holder is a linked coordinator."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._holders: dict[H, int] = {}
        self._asked: _Asked[H] | None = None
        self._partial: _Partial | None = None
        self._last: H | None = None
        self._patience_s = _PATIENCE_S
        # No change to this version is asked for: one could not be used.
        self._spoilt: int | None = None
        self._rest_until: float | None = None

    @property
    def newest(self) -> int:
        """The newest version that a holder has."""
        return max(self._holders.values(), default=0)

    @property
    def wake_at(self) -> float | None:
        """When there may be something to ask, if nothing comes before."""
        if self._asked is not None:
            return self._asked.until
        return self._rest_until

    def record_version(self, holder: H, version: int) -> None:
        """A holder has this version."""
        self._holders[holder] = version

    def remove_peer(self, holder: H) -> None:
        """A holder is linked no more."""
        self._holders.pop(holder, None)
        if self._asked is not None and self._asked.holder == holder:
            self._asked = None

    def next_request(self, *, have: int, now: float) -> FetchRequest[H] | None:
        """What to ask now by a gateway that has the version `have`."""
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
        """Who is asked: the last one again, unless it was silent.

        It knows the transfer, and what this gateway has.  Gateways that
        have asked nobody yet spread by chance.
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
        """Take a part; the whole once all of it is there.

        A part that is not the next one came twice, and is dropped.
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
        """What came was of no use to a gateway that has `have`."""
        self._spoilt = have
        self._rest_until = now + _REST_S

    def _is_next(self, holder: H, part: messages.RoutingChunk) -> bool:
        partial = self._partial
        if partial is not None and part.digest == partial.digest:
            return part.offset == len(partial.data)
        # Another transfer may begin only where it was asked for: what one
        # says late that was given up must not undo what has come since.
        asked = self._asked is not None and self._asked.holder == holder
        return part.offset == 0 and asked

    def _note_pace(self, now: float) -> None:
        if self._asked is not None:
            took = now - self._asked.at
            self._patience_s = min(
                max(_PATIENCE_S, _PATIENCE_PARTS * took), _MAX_PATIENCE_S
            )
        self._asked = None
