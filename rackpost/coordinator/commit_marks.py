"""Persists the index up to which the log is known to be committed.

After a restart of all coordinators, the mark lets each of them serve the
routing document before a quorum has elected a leader.  It is a hint: no
acknowledgement waits for it, and a stale or lost mark only delays gateways
until there is a leader.
"""

import asyncio

from rackpost.consensus import storage
from rackpost.control import node as node_mod
from rackpost import exceptions
from rackpost import logs

# How often a moved mark is written; bounds how stale it can be.  After a
# restart a document is known without a quorum if it was committed this long
# before.
_WRITE_INTERVAL_S = 0.3


class CommitMarks:
    """Writes the commit mark of one replica to disk when it has moved."""

    def __init__(self, *, node: node_mod.Node, disk: storage.FileDisk) -> None:
        self._node = node
        self._disk = disk
        self._is_healthy = True
        # The last mark that this process has written.
        self.last_written: storage.CommitMark | None = None

    async def run(self) -> None:
        """Write the mark whenever it has moved, until cancelled."""
        while True:
            await asyncio.sleep(_WRITE_INTERVAL_S)
            mark = self._node.mark
            if mark is None or mark == self.last_written:
                continue
            if await self._write(mark):
                self.last_written = mark

    async def _write(self, mark: storage.CommitMark) -> bool:
        try:
            await self._disk.record_committed(mark)
        except exceptions.StorageError as exc:
            if self._is_healthy:
                logs.say(
                    logs.Part.COORDINATOR,
                    "Commit mark not written.",
                    index=mark.index,
                    why=str(exc),
                )
            self._is_healthy = False
            return False
        self._is_healthy = True
        return True
