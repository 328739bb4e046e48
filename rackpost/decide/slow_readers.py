"""Decide which clients that read slowly are disconnected.

A process holds what its clients have not read yet.  While all of it fits in
the process's budget, answers are taken from their endpoints as they come: an
endpoint cuts an answer that is left unread.  Beyond the budget the client
that would take longest to read what is held for it is disconnected first, so
that other clients are not affected.

Pure: sizes are in bytes, times in seconds.
"""

import collections
import math
from typing import Hashable
from typing import NamedTuple
from typing import Sequence

# A client that reads what is held for it within this time is not slow: it is
# the silence after which clients themselves give a stream up.
_SLOW_S = 2.0
# Share of the budget that one client may use.
_SHARE_OF_ONE = 0.1
# Reading rates are means of this time: a client may pause for less than the
# silence above.
_RATE_WINDOW_S = _SLOW_S


class Reader(NamedTuple):
    """A client, what is held for it, and how fast it reads.

    `held_s` is how long something has been held for it without a break.
    """

    key: Hashable
    held_bytes: int
    bytes_per_s: float
    held_s: float = math.inf

    @property
    def drain_s(self) -> float:
        """How long it takes to read what is held; infinite if it stalls."""
        if self.bytes_per_s <= 0.0:
            return float("inf") if self.held_bytes else 0.0
        return self.held_bytes / self.bytes_per_s


class ReadRate:
    """Measures how fast one client reads while something is held for it.

    A client that has read everything is measured anew: how long it waited for
    the next answer says nothing about how fast it reads.
    """

    def __init__(self) -> None:
        # Times, and the bytes that the client had read then.
        self._samples: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._held_since = 0.0
        self.bytes_per_s = 0.0

    def sample(self, read_bytes: int, held_bytes: int, now: float) -> float:
        """Record what the client has read since its connection.

        Returns how long something has been held without a break, in seconds.
        """
        if not held_bytes:
            self._samples.clear()
            self.bytes_per_s = 0.0
            return 0.0
        if not self._samples:
            self._held_since = now
        self._samples.append((now, read_bytes))
        while self._samples[0][0] < now - _RATE_WINDOW_S:
            self._samples.popleft()
        since, first_bytes = self._samples[0]
        if now > since:
            self.bytes_per_s = (read_bytes - first_bytes) / (now - since)
        return now - self._held_since


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

        Clients that read what is held for them in time are never returned,
        nor those for which nothing was held a moment ago: their answers wait
        at the endpoints instead.
        """
        excess = sum(item.held_bytes for item in readers) - self.max_bytes
        slow = sorted(
            (
                item
                for item in readers
                if item.drain_s > _SLOW_S and item.held_s >= _SLOW_S
            ),
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
