"""A replica's log in memory: a snapshot and the records after it.

Pure: `storage` keeps the log on the disk.
"""

from typing import Sequence

from rackpost.consensus import messages as m

_NO_CONFIG = m.Config(voters=())


class Log:
    """A snapshot and the records after it."""

    def __init__(self, snapshot: m.Snapshot | None = None) -> None:
        self.snapshot = snapshot or m.Snapshot(
            index=m.Index(0), term=m.Term(0), config=_NO_CONFIG
        )
        self._entries: list[m.Entry] = []

    @property
    def last_index(self) -> m.Index:
        """Index of the last record, or of the snapshot."""
        return m.Index(self.snapshot.index + len(self._entries))

    @property
    def last_term(self) -> m.Term:
        """Term of the last record, or of the snapshot."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    def term_at(self, index: int) -> m.Term | None:
        """Return the term of a record, or None if the log does not hold it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        at = index - self.snapshot.index - 1
        if 0 <= at < len(self._entries):
            return self._entries[at].term
        return None

    def is_covered_by(self, term: m.Term, index: m.Index) -> bool:
        """Whether a log that ends with (`term`, `index`) is as up to date.

        This is Raft's check before a vote.
        """
        return (term, index) >= (self.last_term, self.last_index)

    def conflict_hint(self, index: int, *, down_to: int) -> int:
        """Return an index at which a log that differs at `index` may agree.

        Skips the whole term of the record at `index`, but not below
        `down_to`.
        """
        hint = min(self.last_index, index - 1)
        term = self.term_at(index)
        if term is not None:
            while hint > down_to and self.term_at(hint) == term:
                hint -= 1
        return hint

    def entries_after(
        self, index: int, limit: int, max_bytes: int | None = None
    ) -> tuple[m.Entry, ...]:
        """Return at most `limit` records that follow `index`.

        With `max_bytes`, stop before the record whose command exceeds that
        total; the first record is always returned.
        """
        at = index - self.snapshot.index
        found = self._entries[at : at + limit]
        if max_bytes is not None:
            size = 0
            for idx, entry in enumerate(found):
                size += len(entry.data)
                if idx and size > max_bytes:
                    return tuple(found[:idx])
        return tuple(found)

    def entries_between(self, low: int, high: int) -> tuple[m.Entry, ...]:
        """Return the records after `low` up to and including `high`."""
        base = self.snapshot.index
        return tuple(self._entries[low - base : high - base])

    def append(self, entries: Sequence[m.Entry]) -> None:
        """Append records."""
        self._entries.extend(entries)

    def truncate_from(self, index: int) -> None:
        """Drop the record at `index` and all after it."""
        del self._entries[index - self.snapshot.index - 1 :]

    def compact(self, snapshot: m.Snapshot) -> None:
        """Replace the records that a snapshot covers by it."""
        keep: list[m.Entry] = []
        if self.term_at(snapshot.index) == snapshot.term:
            keep = list(self.entries_after(snapshot.index, len(self._entries)))
        self.snapshot = snapshot
        self._entries = keep

    def compact_at(self, index: m.Index, data: bytes) -> m.Snapshot:
        """Compact the log to a snapshot `data` of the state at `index`.

        The log must hold the record at `index`.
        """
        term = self.term_at(index)
        assert term is not None
        snapshot = m.Snapshot(
            index=index, term=term, config=self.config_at(index), data=data
        )
        self.compact(snapshot)
        return snapshot

    def config(self) -> tuple[m.Config, m.Index]:
        """Return the latest config, committed or not, and its index."""
        for entry in reversed(self._entries):
            if entry.config is not None:
                return entry.config, entry.index
        return self.snapshot.config, self.snapshot.index

    def config_at(self, index: int) -> m.Config:
        """Return the config in force at a record."""
        for entry in reversed(
            self.entries_between(self.snapshot.index, index)
        ):
            if entry.config is not None:
                return entry.config
        return self.snapshot.config
