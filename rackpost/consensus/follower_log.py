"""A follower's log takes what its leader sends.  Pure."""

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
    """Put a leader's records into the log; those that differ give way.

    What is committed up to `commit` can't differ.
    """
    for at, entry in enumerate(entries):
        if entry.index <= commit:
            continue
        term = log.term_at(entry.index)
        if term == entry.term:
            continue
        if term is not None:
            _cut(log, out, entry.index)
        log.append(entries[at:])
        out.append += entries[at:]
        return


def _cut(log: log_mod.Log, out: output.Output, index: m.Index) -> None:
    log.cut(index)
    out.append = [item for item in out.append if item.index < index]
    if out.cut_from is None or index < out.cut_from:
        out.cut_from = index


def install_snapshot(
    log: log_mod.Log, out: output.Output, snapshot: m.Snapshot
) -> None:
    """Put a leader's snapshot in place of all that it covers."""
    log.compact(snapshot)
    out.install = snapshot
    out.append = [item for item in out.append if item.index > snapshot.index]
    out.committed = []
