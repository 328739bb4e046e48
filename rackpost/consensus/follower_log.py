"""Apply a leader's records and snapshots to a follower's log.

Pure: the changes for the disk go to the replica's `Output`.
"""

from typing import Sequence

from rackpost.consensus import log as log_mod
from rackpost.consensus import messages as m
from rackpost.consensus import output


def append_entries(
    log: log_mod.Log,
    out: output.Output,
    entries: Sequence[m.Entry],
    commit: m.Index,
) -> None:
    """Append a leader's records after removing conflicting ones.

    Records up to `commit` are skipped: they are committed and can't conflict.
    """
    for at, entry in enumerate(entries):
        if entry.index <= commit:
            continue
        term = log.term_at(entry.index)
        if term == entry.term:
            continue
        if term is not None:
            _truncate_from(log, out, entry.index)
        log.append(entries[at:])
        out.append += entries[at:]
        return


def _truncate_from(
    log: log_mod.Log, out: output.Output, index: m.Index
) -> None:
    log.truncate_from(index)
    out.append = [item for item in out.append if item.index < index]
    if out.cut_from is None or index < out.cut_from:
        out.cut_from = index


def install_snapshot(
    log: log_mod.Log, out: output.Output, snapshot: m.Snapshot
) -> None:
    """Replace the records that a leader's snapshot covers by it."""
    log.compact(snapshot)
    out.install = snapshot
    out.append = [item for item in out.append if item.index > snapshot.index]
    out.committed = []
