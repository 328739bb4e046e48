"""Records of the replicated log, and the messages between replicas."""

from typing import NewType
from typing import Union

import msgspec

ReplicaId = NewType("ReplicaId", str)
Term = NewType("Term", int)
Index = NewType("Index", int)


class Config(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Who votes, and who only receives the log (learners)."""

    voters: tuple[ReplicaId, ...]
    learners: tuple[ReplicaId, ...] = ()

    @property
    def everyone(self) -> tuple[ReplicaId, ...]:
        """Voters and learners."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """How many voters decide."""
        return len(self.voters) // 2 + 1


class Entry(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One record of the log: a command's bytes, or a new config."""

    index: Index
    term: Term
    data: bytes = b""
    config: Config | None = None


class Snapshot(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The state up to and with `index`, in place of the log."""

    index: Index
    term: Term
    config: Config
    data: bytes = b""


class HardState(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What a replica must never forget besides the log."""

    term: Term
    voted_for: ReplicaId | None = None


class _Message(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The base of messages between replicas."""

    sender: ReplicaId
    term: Term


class VoteRequest(_Message, frozen=True, tag="vote"):
    """Ask for a vote; with `pre`, only whether it would be given."""

    pre: bool
    last_index: Index
    last_term: Term


class VoteReply(_Message, frozen=True, tag="voted"):
    """A vote, or the promise of one."""

    pre: bool
    granted: bool


class Append(_Message, frozen=True, tag="append"):
    """Records that follow (`prev_index`, `prev_term`), or a heartbeat.

    `number` grows with each round of the leader, and confirms reads.
    """

    prev_index: Index
    prev_term: Term
    commit: Index
    number: int
    entries: tuple[Entry, ...] = ()


class AppendReply(_Message, frozen=True, tag="appended"):
    """How far the follower's log matches; where not, a hint of it."""

    ok: bool
    match: Index
    number: int


class Install(_Message, frozen=True, tag="install"):
    """A snapshot for a follower that is too far behind for the log."""

    snapshot: Snapshot
    number: int


AnyMessage = Union[VoteRequest, VoteReply, Append, AppendReply, Install]
