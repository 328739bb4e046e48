"""What a replica of the log asks its owner to do."""

from typing import NamedTuple

from rackpost.consensus import messages as m


class Send(NamedTuple):
    """A message for another replica."""

    to: m.ReplicaId
    msg: m.AnyMessage


class Output:
    """What the owner of the replica must do, in this order.

    First `cut_from`, `append`, `hard` and `install` are written and
    synced, then `sends` are sent, then `committed` is applied, then
    `reads` are answered (True: confirmed).
    """

    def __init__(self) -> None:
        self.hard: m.HardState | None = None
        self.cut_from: m.Index | None = None
        self.append: list[m.Entry] = []
        self.install: m.Snapshot | None = None
        self.sends: list[Send] = []
        self.committed: list[m.Entry] = []
        self.reads: list[tuple[int, bool]] = []
        self.lost: bool = False
