"""Reads that wait until a quorum has confirmed who leads."""

from typing import NamedTuple


class _Pending(NamedTuple):
    """A read; the round with `number` must have reached a quorum."""

    number: int
    token: int


class PendingReads:
    """The reads of one leader, oldest first."""

    def __init__(self) -> None:
        self._pending: list[_Pending] = []

    def add(self, number: int, token: int) -> None:
        """A read waits for a round of messages, or a later one."""
        self._pending.append(_Pending(number, token))

    def confirmed(self, number: int) -> list[int]:
        """The reads that are done once a quorum has answered a round."""
        done = [item.token for item in self._pending if item.number <= number]
        self._pending = [
            item for item in self._pending if item.number > number
        ]
        return done

    def drop(self) -> list[int]:
        """All that wait: they will not be confirmed."""
        dropped = [item.token for item in self._pending]
        self._pending = []
        return dropped
