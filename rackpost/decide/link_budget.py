"""The transfers promised on one endpoint's link of limited rate."""

from rackpost.decide import slots
from rackpost import types


class LinkBudget:
    """Promised transfers, one after the other at `bytes_s`.

    A transfer holds its share from the promise until it is done.  Pure:
    times are readings of the caller's clock, in seconds.
    """

    def __init__(self, *, bytes_s: float) -> None:
        self.bytes_s = bytes_s
        self._held: dict[slots.Key, int] = {}

    def backlog_s(self) -> float:
        """Seconds of promised transfers that are not done."""
        return sum(self._held.values()) / self.bytes_s

    def promise(
        self, *, key: slots.Key, size: int, within_s: float
    ) -> float | types.Refusal:
        """Promise a transfer; how long it and those before it take."""
        ends = self.backlog_s() + size / self.bytes_s
        if ends > within_s:
            return types.Refusal.LINK_FULL
        self._held[key] = size
        return ends

    def end(self, key: slots.Key) -> None:
        """The transfer is done or given up; an unheld key is ignored."""
        self._held.pop(key, None)
