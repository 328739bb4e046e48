"""Reads that wait until a quorum has confirmed the leader."""

from typing import NamedTuple


class _PendingRead(NamedTuple):
    """A read that a quorum's replies to round `round_number` confirm."""

    round_number: int
    token: int


class PendingReads:
    """The unconfirmed reads of one leader, oldest first."""

    def __init__(self) -> None:
        self._pending: list[_PendingRead] = []

    def add(self, round_number: int, token: int) -> None:
        """Add a read that round `round_number` or a later one confirms."""
        self._pending.append(_PendingRead(round_number, token))

    def take_confirmed(self, round_number: int) -> list[int]:
        """Remove and return the reads that `round_number` confirms."""
        confirmed = [
            item.token
            for item in self._pending
            if item.round_number <= round_number
        ]
        self._pending = [
            item for item in self._pending if item.round_number > round_number
        ]
        return confirmed

    def take_all(self) -> list[int]:
        """Remove and return all reads, which will not be confirmed."""
        dropped = [item.token for item in self._pending]
        self._pending = []
        return dropped
