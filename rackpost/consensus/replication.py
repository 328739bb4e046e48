"""What a leader sends one follower next.  Pure."""

from typing import NamedTuple

from rackpost.consensus import followers
from rackpost.consensus import log as log_mod
from rackpost.consensus import messages as m

_MAX_BATCH = 512
# Records of one message hold at most so many bytes, but for a single one
# that is larger: a frame of all that a replica may have missed (8 MB) is
# more than a link takes, and heartbeats wait behind it.
_MAX_BATCH_BYTES = 1 << 20


class Leading(NamedTuple):
    """A leader at one moment; `number` is its present round."""

    me: m.ReplicaId
    term: m.Term
    commit: m.Index
    number: int


def needs_snapshot(
    known: followers.FollowerProgress, log: log_mod.Log
) -> bool:
    """Whether the log does not reach back to where a follower is."""
    prev = known.next_index - 1
    return prev < log.snapshot.index or log.term_at(prev) is None


def next_message(
    known: followers.FollowerProgress,
    log: log_mod.Log,
    leading: Leading,
    now: float,
) -> m.Append | m.Install | None:
    """Records that a follower lacks, or a snapshot; none if it waits."""
    if not needs_snapshot(known, log):
        return _records(known, log, leading)
    if not known.try_start_install(now):
        return None
    return m.Install(
        sender=leading.me,
        term=leading.term,
        snapshot=log.snapshot,
        number=leading.number,
    )


def _records(
    known: followers.FollowerProgress, log: log_mod.Log, leading: Leading
) -> m.Append:
    prev = known.next_index - 1
    entries = log.after(prev, _MAX_BATCH, _MAX_BATCH_BYTES)
    # Records are sent on without waiting for the reply to the last.
    known.next_index = prev + len(entries) + 1
    return _append(leading, prev, log.term_at(prev), entries)


def heartbeat(log: log_mod.Log, leading: Leading) -> m.Append:
    """What tells one who waits for a snapshot that there is a leader."""
    return _append(leading, log.snapshot.index, log.snapshot.term, ())


def _append(
    leading: Leading,
    prev: int,
    prev_term: m.Term | None,
    entries: tuple[m.Entry, ...],
) -> m.Append:
    assert prev_term is not None
    return m.Append(
        sender=leading.me,
        term=leading.term,
        prev_index=m.Index(prev),
        prev_term=prev_term,
        commit=leading.commit,
        number=leading.number,
        entries=entries,
    )
