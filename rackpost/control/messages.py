"""Messages between control replicas and the other processes."""

from typing import Union

import msgspec

from rackpost.consensus import messages as consensus
from rackpost.state import commands
from rackpost.state import machine
from rackpost import types


class _Message(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The base of control's messages."""


class Watch(_Message, frozen=True, tag="watch"):
    """A subscription to the changes after `revision`."""

    name: str
    revision: types.Revision


class Status(_Message, frozen=True, tag="status"):
    """A process is alive and runs on `revision`."""

    name: str
    incarnation: types.Incarnation
    revision: types.Revision


class CommandRequest(_Message, frozen=True, tag="ask"):
    """A request to commit a command; its `Answer` has the same `number`."""

    number: int
    command: commands.AnyCommand


class Feed(_Message, frozen=True, tag="feed"):
    """Consecutive changes, from the watcher's next revision on."""

    changes: tuple[machine.Change, ...]


class FullState(_Message, frozen=True, tag="whole"):
    """The full state, for a watcher too far behind for changes."""

    image: machine.Image


class Alive(_Message, frozen=True, tag="alive"):
    """The replica is in contact with a quorum and has `revision`."""

    revision: types.Revision


class Answer(_Message, frozen=True, tag="answer"):
    """The result of a command, or None if it is unknown.

    The same operation may then be sent again.
    """

    number: int
    result: commands.Result | None


class Forward(_Message, frozen=True, tag="forward"):
    """A command that a follower passes to the leader."""

    number: int
    command: bytes


class Forwarded(_Message, frozen=True, tag="forwarded"):
    """The leader's answer to `Forward`; None if the result is unknown."""

    number: int
    result: commands.Result | None


class ReadRequest(_Message, frozen=True, tag="read"):
    """A follower's request for a confirmed read index."""

    number: int


class ReadIndex(_Message, frozen=True, tag="read-at"):
    """The leader's answer to `ReadRequest`; None if it can't confirm one."""

    number: int
    index: consensus.Index | None


class StatusReport(_Message, frozen=True, tag="heard"):
    """The latest status of processes since the replica's last report."""

    seen: tuple[Status, ...]


class ReplicaHello(_Message, frozen=True, tag="replica"):
    """The first message on a link between two replicas."""

    replica: consensus.ReplicaId


FromClient = Union[Watch, Status, CommandRequest]
FromControl = Union[Feed, FullState, Alive, Answer]
FromReplica = Union[
    ReplicaHello,
    Forward,
    Forwarded,
    ReadRequest,
    ReadIndex,
    StatusReport,
    consensus.VoteRequest,
    consensus.VoteReply,
    consensus.Append,
    consensus.AppendReply,
    consensus.Install,
]
