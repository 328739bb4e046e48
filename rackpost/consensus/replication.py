"""The next message from a leader to a follower.  Pure."""

from typing import NamedTuple

from rackpost.consensus import followers
from rackpost.consensus import log as log_mod
from rackpost.consensus import messages as m

_MAX_BATCH_ENTRIES = 512
# Keeps a message well below a link's frame limit, and short enough not to
# delay heartbeats.  A single larger record is still sent.
_MAX_BATCH_BYTES = 1 << 20


class LeaderState(NamedTuple):
    """A leader's state; `round_number` is its current round of heartbeats."""

    me: m.ReplicaId
    term: m.Term
    commit: m.Index
    round_number: int


def needs_snapshot(
    progress: followers.FollowerProgress, log: log_mod.Log
) -> bool:
    """Whether the log no longer holds the records that a follower needs."""
    prev = progress.next_index - 1
    return prev < log.snapshot.index or log.term_at(prev) is None


def next_message(
    progress: followers.FollowerProgress,
    log: log_mod.Log,
    leader: LeaderState,
    now: float,
) -> m.Append | m.Install | None:
    """Return the next records or snapshot, or None during its back-off."""
    if not needs_snapshot(progress, log):
        return _next_entries(progress, log, leader)
    if not progress.try_start_install(now):
        return None
    return m.Install(
        sender=leader.me,
        term=leader.term,
        snapshot=log.snapshot,
        number=leader.round_number,
    )


def _next_entries(
    progress: followers.FollowerProgress, log: log_mod.Log, leader: LeaderState
) -> m.Append:
    prev = progress.next_index - 1
    entries = log.entries_after(prev, _MAX_BATCH_ENTRIES, _MAX_BATCH_BYTES)
    # Pipelined: the next records are sent before this reply arrives.
    progress.next_index = prev + len(entries) + 1
    return _append_message(leader, prev, log.term_at(prev), entries)


def heartbeat(log: log_mod.Log, leader: LeaderState) -> m.Append:
    """Return an empty message, for a follower that awaits a snapshot."""
    return _append_message(leader, log.snapshot.index, log.snapshot.term, ())


def _append_message(
    leader: LeaderState,
    prev: int,
    prev_term: m.Term | None,
    entries: tuple[m.Entry, ...],
) -> m.Append:
    assert prev_term is not None
    return m.Append(
        sender=leader.me,
        term=leader.term,
        prev_index=m.Index(prev),
        prev_term=prev_term,
        commit=leader.commit,
        number=leader.round_number,
        entries=entries,
    )
