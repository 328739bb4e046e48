"""Decide which clients that read slowly are disconnected.

A process holds what its clients have not read yet.  While all of it fits in
the process's budget, answers are taken from their endpoints as they come: an
endpoint cuts an answer that is left unread.  Beyond the budget the client
that would take longest to read what is held for it is disconnected first, so
that other clients are not affected.

Pure: sizes are in bytes, times in seconds.
"""

from typing import Hashable
from typing import NamedTuple
from typing import Sequence

# A client that reads what is held for it within this time is not slow: it is
# the silence after which clients themselves give a stream up.
_SLOW_S = 2.0
# Share of the budget that one client may use.
_SHARE_OF_ONE = 0.1
# Reading rates are averaged with this weight of the newest sample.
_EWMA_WEIGHT = 0.5


class Reader(NamedTuple):
    """A client, what is held for it, and how fast it reads."""

    key: Hashable
    held_bytes: int
    bytes_per_s: float

    @property
    def drain_s(self) -> float:
        """How long it takes to read what is held; infinite if it stalls."""
        if self.bytes_per_s <= 0.0:
            return float("inf") if self.held_bytes else 0.0
        return self.held_bytes / self.bytes_per_s


class ReadRate:
    """Measures how fast one client reads."""

    def __init__(self) -> None:
        self._read_bytes = 0
        self._sampled_at: float | None = None
        self.bytes_per_s = 0.0

    def sample(self, read_bytes: int, now: float) -> None:
        """Record how many bytes the client has read since its connection."""
        if self._sampled_at is None:
            self._sampled_at, self._read_bytes = now, read_bytes
            return
        elapsed_s = now - self._sampled_at
        if elapsed_s <= 0.0:
            return
        rate = (read_bytes - self._read_bytes) / elapsed_s
        self.bytes_per_s += _EWMA_WEIGHT * (rate - self.bytes_per_s)
        self._sampled_at, self._read_bytes = now, read_bytes


class ReaderBudget:
    """The bytes that a process may hold for all of its clients."""

    def __init__(self, *, max_bytes: int) -> None:
        self.max_bytes = max_bytes

    def has_room(self, held_bytes: int, total_bytes: int) -> bool:
        """Whether more may be held for a client that has `held_bytes`.

        `total_bytes` is held for all clients together.
        """
        return (
            held_bytes < _SHARE_OF_ONE * self.max_bytes
            and total_bytes < self.max_bytes
        )

    def to_disconnect(self, readers: Sequence[Reader]) -> list[Reader]:
        """Return the clients to disconnect, until the rest fit the budget.

        Clients that read what is held for them in time are never returned:
        their answers wait at the endpoints instead.
        """
        excess = sum(item.held_bytes for item in readers) - self.max_bytes
        slow = sorted(
            (item for item in readers if item.drain_s > _SLOW_S),
            key=lambda item: (item.drain_s, item.held_bytes),
            reverse=True,
        )
        found = []
        for item in slow:
            if excess <= 0:
                break
            found.append(item)
            excess -= item.held_bytes
        return found
