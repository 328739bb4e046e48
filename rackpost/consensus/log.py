"""A replica's log in memory: a snapshot and the records after it."""

from typing import Sequence

from rackpost.consensus import messages as m

_NO_CONFIG = m.Config(voters=())


class Log:
    """The records after a snapshot.

    Pure: what is on the disk, or is to be there, is the storage's matter.
    """

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
        """Term of a record; None where the log does not hold it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        at = index - self.snapshot.index - 1
        if 0 <= at < len(self._entries):
            return self._entries[at].term
        return None

    def is_covered_by(self, term: m.Term, index: m.Index) -> bool:
        """Whether a log that ends so holds all that this one may have."""
        return (term, index) >= (self.last_term, self.last_index)

    def conflict_hint(self, index: int, *, down_to: int) -> int:
        """Where another log may agree that differs at `index`.

        A whole term is skipped at once, down to what is committed.
        """
        hint = min(self.last_index, index - 1)
        term = self.term_at(index)
        if term is not None:
            while hint > down_to and self.term_at(hint) == term:
                hint -= 1
        return hint

    def after(
        self, index: int, limit: int, max_bytes: int | None = None
    ) -> tuple[m.Entry, ...]:
        """At most `limit` records that follow `index`.

        With `max_bytes` the commands of all but the first are within it.
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

    def upto(self, low: int, high: int) -> tuple[m.Entry, ...]:
        """The records from after `low` up to and with `high`."""
        base = self.snapshot.index
        return tuple(self._entries[low - base : high - base])

    def append(self, entries: Sequence[m.Entry]) -> None:
        """Put records at the end."""
        self._entries.extend(entries)

    def cut(self, index: int) -> None:
        """Drop the record at `index` and all after it."""
        del self._entries[index - self.snapshot.index - 1 :]

    def compact(self, snapshot: m.Snapshot) -> None:
        """Put a snapshot in place of the records that it covers."""
        keep: list[m.Entry] = []
        if self.term_at(snapshot.index) == snapshot.term:
            keep = list(self.after(snapshot.index, len(self._entries)))
        self.snapshot = snapshot
        self._entries = keep

    def compact_at(self, index: m.Index, data: bytes) -> m.Snapshot:
        """Put a snapshot of the state at a record it holds in place."""
        term = self.term_at(index)
        assert term is not None
        snapshot = m.Snapshot(
            index=index, term=term, config=self.config_at(index), data=data
        )
        self.compact(snapshot)
        return snapshot

    def config(self) -> tuple[m.Config, m.Index]:
        """The latest config in the log, committed or not, and its index."""
        for entry in reversed(self._entries):
            if entry.config is not None:
                return entry.config, entry.index
        return self.snapshot.config, self.snapshot.index

    def config_at(self, index: int) -> m.Config:
        """The config in force at a record."""
        for entry in reversed(self.upto(self.snapshot.index, index)):
            if entry.config is not None:
                return entry.config
        return self.snapshot.config
