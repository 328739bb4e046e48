"""The writes, messages and results that a replica hands to its owner."""

from typing import NamedTuple

from rackpost.consensus import messages as m


class Send(NamedTuple):
    """A message to another replica."""

    to: m.ReplicaId
    msg: m.AnyMessage


class Output:
    """Work for the owner of the replica.

    The owner first writes and syncs `cut_from`, `append`, `hard` and
    `install`, then sends `sends`, then applies `committed`, then answers
    `reads` (token, whether the read is confirmed).  With `lost_leadership`
    the outcome of proposed commands is unknown.
    """

    def __init__(self) -> None:
        self.hard: m.HardState | None = None
        self.cut_from: m.Index | None = None
        self.append: list[m.Entry] = []
        self.install: m.Snapshot | None = None
        self.sends: list[Send] = []
        self.committed: list[m.Entry] = []
        self.reads: list[tuple[int, bool]] = []
        self.lost_leadership: bool = False
