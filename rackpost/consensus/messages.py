"""Records of the replicated log and messages between replicas."""

from typing import NewType
from typing import Union

import msgspec

ReplicaId = NewType("ReplicaId", str)
Term = NewType("Term", int)
Index = NewType("Index", int)


class Config(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The replicas that vote and those that only receive the log."""

    voters: tuple[ReplicaId, ...]
    learners: tuple[ReplicaId, ...] = ()

    @property
    def everyone(self) -> tuple[ReplicaId, ...]:
        """Voters and learners."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """How many voters make a quorum."""
        return len(self.voters) // 2 + 1


class Entry(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One record of the log: an encoded command or a new config."""

    index: Index
    term: Term
    data: bytes = b""
    config: Config | None = None


class Snapshot(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The state after the record at `index`, with all earlier records."""

    index: Index
    term: Term
    config: Config
    data: bytes = b""


class HardState(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The state besides the log that must survive a restart."""

    term: Term
    voted_for: ReplicaId | None = None


class _Message(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The base of messages between replicas."""

    sender: ReplicaId
    term: Term


class VoteRequest(_Message, frozen=True, tag="vote"):
    """A request for a vote, or with `pre` for a pre-vote."""

    pre: bool
    last_index: Index
    last_term: Term


class VoteReply(_Message, frozen=True, tag="voted"):
    """The answer to a `VoteRequest` of the same kind."""

    pre: bool
    granted: bool


class Append(_Message, frozen=True, tag="append"):
    """Records that follow (`prev_index`, `prev_term`), or a heartbeat.

    `number` is the leader's round of heartbeats; its replies confirm reads.
    """

    prev_index: Index
    prev_term: Term
    commit: Index
    number: int
    entries: tuple[Entry, ...] = ()


class AppendReply(_Message, frozen=True, tag="appended"):
    """The answer to `Append` and `Install`.

    `match` is the index up to which the logs match, or without `ok` an index
    at which they may match.
    """

    ok: bool
    match: Index
    number: int


class Install(_Message, frozen=True, tag="install"):
    """A snapshot, for a follower that needs records no longer in the log."""

    snapshot: Snapshot
    number: int


AnyMessage = Union[VoteRequest, VoteReply, Append, AppendReply, Install]
