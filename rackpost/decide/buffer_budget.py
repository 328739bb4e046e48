"""Decide whose buffers are released when other parties fill too much memory.

Each connection holds what its peer has sent until it has been processed.  All
of them together stay within a budget that follows from the VM's memory: beyond
it the connections that hold most are shed first, so that many that send little
are not affected by a few that send without end.

Pure: sizes are in bytes.
"""

import abc

__all__ = ["BufferBudget", "Holder"]


class Holder(abc.ABC):
    """A connection whose peer fills a buffer."""

    @property
    @abc.abstractmethod
    def can_shed(self) -> bool:
        """Whether what it holds may be released."""

    @abc.abstractmethod
    def shed(self) -> None:
        """Release what is held: refuse the request or close."""


class BufferBudget:
    """The bytes that a process may hold for all peers of one kind."""

    def __init__(self, *, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        # How many have been shed.
        self.shed = 0
        self._held: dict[Holder, int] = {}

    @property
    def has_room(self) -> bool:
        """Whether more may be held."""
        return self.held_bytes < self.max_bytes

    def record(self, holder: Holder, held_bytes: int) -> list[Holder]:
        """Record what one holds; return those to shed, the largest first."""
        self.held_bytes += held_bytes - self._held.pop(holder, 0)
        if held_bytes:
            self._held[holder] = held_bytes
        if self.held_bytes <= self.max_bytes:
            return []
        return self._excess()

    def _excess(self) -> list[Holder]:
        excess = self.held_bytes - self.max_bytes
        found = []
        for holder, held_bytes in sorted(
            self._held.items(), key=lambda item: item[1], reverse=True
        ):
            if excess <= 0:
                break
            if holder.can_shed:
                found.append(holder)
                excess -= held_bytes
        self.shed += len(found)
        return found
