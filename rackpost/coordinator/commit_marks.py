"""Keeps on disk how far the log is known to be committed.

After a restart of all, a coordinator can so tell gateways the document at
once; without it nothing of the log counts until a quorum has elected a
leader.  The mark is a hint: no acknowledgement waits for it, and one that
is old or lost costs nothing but that time.
"""

import asyncio

from rackpost.consensus import storage
from rackpost.control import node as node_mod
from rackpost import exceptions
from rackpost import logs

# How often the mark is looked at, in seconds: a change of the document is
# known after a restart if it was committed this long before.  Written only
# when it has moved; a change of the document costs two syncs more.
_ROUND_S = 0.3


class CommitMarks:
    """Writes the mark of one replica when it has moved."""

    def __init__(self, *, node: node_mod.Node, disk: storage.FileDisk) -> None:
        self._node = node
        self._disk = disk
        self._well = True
        # What the disk holds of this life.
        self.written: storage.CommitMark | None = None

    async def run(self) -> None:
        """Keep the mark until cancelled."""
        while True:
            await asyncio.sleep(_ROUND_S)
            mark = self._node.mark
            if mark is None or mark == self.written:
                continue
            if await self._write(mark):
                self.written = mark

    async def _write(self, mark: storage.CommitMark) -> bool:
        try:
            await self._disk.record_committed(mark)
        except exceptions.StorageError as exc:
            if self._well:
                logs.say(
                    logs.Part.COORDINATOR,
                    "Commit mark not written.",
                    index=mark.index,
                    why=str(exc),
                )
            self._well = False
            return False
        self._well = True
        return True
